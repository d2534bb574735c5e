#include <stdlib.h>

#include "base/log.h"
#include "base/switches.h"
#include "node/internal.h"

#define JOIN_PERIOD (1 * MS_SEC)

static void
append_own (struct ms_node *node, enum ms_record_kind kind)
{
  struct ms_record record = node->join;
  char *text;
  struct ms_effect effect;

  record.kind = kind;
  text = ms_record_print (&record);
  effect = (struct ms_effect){ .kind = MS_EFFECT_APPEND,
                               .append = { MS_STREAM_CONTROL, 0, text } };
  node->inner.emit (node->inner.context, &effect);
  free (text);
}

/* Join, join again after having been expired, and repeat the join before the
   log forgets it.  */
static void
stay_member (struct ms_node *node, ms_time now)
{
  struct ms_view *view = node->view;
  const struct ms_member *self = ms_view_member (view, view->self);
  bool joined = self && self->incarnation == view->incarnation;
  bool fading
      = joined
        && ms_log_fades (self->join_offset, node->first_kept, view->applied);

  if (node->draining || !view->log_caught_up || now < node->next_join)
    return;
  if (ms_view_stale (view, now) || (joined && !fading))
    return;
  if (!ms_liveness_connected (node->liveness, now))
    return;
  node->next_join = now + JOIN_PERIOD;
  append_own (node, MS_RECORD_JOIN);
}

void
ms_node_drain (struct ms_node *node, ms_time now)
{
  if (node->draining)
    return;
  node->draining = true;
  ms_entry_drain (node->entry);
  ms_dispatch_stop (node->dispatch);
  ms_dispatch_view_changed (node->dispatch, now);
}

static void
go_on_draining (struct ms_node *node, ms_time now)
{
  const struct ms_effect effect = { .kind = MS_EFFECT_DRAINED };

  if (!node->draining || node->drained)
    return;
  if (now >= node->next_join && ms_view_member (node->view, node->view->self))
    {
      node->next_join = now + JOIN_PERIOD;
      append_own (node, MS_RECORD_LEAVE);
    }
  if (ms_enabled (MS_DRAIN_WAIT) && ms_entry_count_open (node->entry))
    return;
  if (ms_view_member (node->view, node->view->self)
      && !ms_view_stale (node->view, now))
    return;
  node->drained = true;
  node->sink.emit (node->sink.context, &effect);
}

void
ms_node_tick (struct ms_node *node, ms_time now)
{
  ms_once_tick (node->once, now);
  ms_guard_tick (node->guard, now);
  ms_liveness_tick (node->liveness, now);
  ms_follower_tick (node->follower, node->first_kept, now);
  stay_member (node, now);
  ms_dispatch_tick (node->dispatch, now);
  ms_entry_tick (node->entry, now);
  go_on_draining (node, now);
}

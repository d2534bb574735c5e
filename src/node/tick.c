#include <stdlib.h>

#include "base/log.h"
#include "base/switches.h"
#include "node/internal.h"

/* Minimum interval between two join or leave records of this router, while
   it waits to read the first one back.  */
#define MEMBERSHIP_APPEND_PERIOD (1 * MS_SEC)

static void
append_own_record (struct ms_node *node, enum ms_record_kind kind)
{
  struct ms_record record = node->own_record;
  char *text;
  struct ms_effect effect;

  record.kind = kind;
  text = ms_record_print (&record);
  effect = (struct ms_effect){ .kind = MS_EFFECT_APPEND,
                               .append = { MS_STREAM_CONTROL, 0, text } };
  node->module_sink.emit (node->module_sink.context, &effect);
  free (text);
}

/* Append a join record if this router is no member (it has just started, or
   other routers have expired it), or if the log will soon drop its earlier
   join record.  It must have read the log lately and be connected to another
   zone, if there is one.  */
static void
maintain_membership (struct ms_node *node, ms_time now)
{
  struct ms_view *view = node->view;
  const struct ms_member *self = ms_view_member (view, view->self);
  bool joined = self && self->incarnation == view->incarnation;
  bool must_renew = joined
                    && ms_log_drops_soon (self->join_offset, node->first_kept,
                                          view->applied);

  if (node->draining || !view->log_caught_up
      || now < node->next_membership_append)
    return;
  if (ms_view_stale (view, now) || (joined && !must_renew))
    return;
  if (!ms_liveness_connected (node->liveness, now))
    return;
  node->next_membership_append = now + MEMBERSHIP_APPEND_PERIOD;
  append_own_record (node, MS_RECORD_JOIN);
}

void
ms_node_drain (struct ms_node *node, ms_time now)
{
  if (node->draining)
    return;
  node->draining = true;
  ms_entry_drain (node->entry);
  ms_dispatch_stop (node->dispatch);
  /* The view is the same, but this makes dispatch give up its cells now, not
     at its next tick.  */
  ms_dispatch_view_changed (node->dispatch, now);
}

/* Once draining, append the leave record.  The drain is complete when all
   requests are answered and this router is no longer a member, which it learns
   by reading the leave record back.  If the log cannot be read, the drain does
   not wait for that.  */
static void
continue_drain (struct ms_node *node, ms_time now)
{
  const struct ms_effect effect = { .kind = MS_EFFECT_DRAINED };

  if (!node->draining || node->drained)
    return;
  if (now >= node->next_membership_append
      && ms_view_member (node->view, node->view->self))
    {
      node->next_membership_append = now + MEMBERSHIP_APPEND_PERIOD;
      append_own_record (node, MS_RECORD_LEAVE);
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
  maintain_membership (node, now);
  ms_dispatch_tick (node->dispatch, now);
  ms_entry_tick (node->entry, now);
  continue_drain (node, now);
}

#include <stdlib.h>

#include "base/alloc.h"
#include "dispatch/internal.h"

static struct demand *
find_demand (struct ms_dispatch *dispatch, const struct demand_key *key)
{
  struct demand *demand;

  HASH_FIND (hh, dispatch->demands, key, sizeof *key, demand);
  return demand;
}

/* Create or update the demand that ITEM of MESSAGE states.  Messages that
   arrive out of order are ignored.  */
static void
update_demand (struct ms_dispatch *dispatch, const peer_message *message,
               const peer_demand_item *item, ms_time now)
{
  const peer_demand *body = &message->body.peer_body_u.demand;
  struct demand_key key = { body->cell, message->from, item->team };
  struct demand *demand = find_demand (dispatch, &key);
  bool is_waiting = item->interactive || item->batch || item->alone;

  if (!demand && !is_waiting)
    return;
  if (!demand)
    {
      demand = ms_new (sizeof *demand);
      demand->key = key;
      demand->waiting_since = now;
      HASH_ADD (hh, dispatch->demands, key, sizeof demand->key, demand);
    }
  if (demand->entry_incarnation != message->incarnation)
    {
      demand->entry_incarnation = message->incarnation;
      demand->pending_grants = 0;
      /* The order is checked only among messages of one incarnation.  */
      demand->sent_at = body->sent_at;
    }
  if (body->sent_at < demand->sent_at)
    return;
  demand->waiting[MS_LANE_INTERACTIVE] = item->interactive;
  demand->waiting[MS_LANE_LONG] = item->batch;
  demand->waiting[MS_LANE_SUSPECT] = item->alone;
  demand->cost_hint = item->hint;
  demand->sent_at = body->sent_at;
  demand->received_at = now;
}

void
ms_demand_receive (struct ms_dispatch *dispatch, const peer_message *message,
                   ms_time now)
{
  const peer_demand *body = &message->body.peer_body_u.demand;
  struct cell_state *state = ms_dispatch_cell (dispatch, body->cell);

  if (!state || !state->active || dispatch->stopped)
    return;
  /* This router's own demands count even if it is not a member.  */
  if (message->from != dispatch->view->self
      && !ms_view_member_incarnation (dispatch->view, message->from,
                                      message->incarnation))
    return;
  for (unsigned i = 0; i < body->items.items_len; i++)
    update_demand (dispatch, message, &body->items.items_val[i], now);
  ms_grant_slots (dispatch, state, now);
}

void
ms_demand_expire (struct ms_dispatch *dispatch, ms_time now)
{
  struct demand *demand, *next;

  HASH_ITER (hh, dispatch->demands, demand, next)
  {
    if (now - demand->received_at <= DEMAND_LIFETIME)
      continue;
    HASH_DEL (dispatch->demands, demand);
    free (demand);
  }
}

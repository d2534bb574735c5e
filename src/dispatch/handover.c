#include "dispatch/internal.h"

/* Period at which a handover is repeated until none of this router's grants is
   left and MS_TAKEOVER_DELAY has passed since the cell was released.  */
#define HANDOVER_PERIOD (500 * MS_MSEC)

/* For FAST_HANDOVER_TIME after the cell was released, the period is
   FAST_HANDOVER_PERIOD: the successor ignores handovers until it has read the
   change of term in the log, and should get one soon after that.  */
#define FAST_HANDOVER_PERIOD (50 * MS_MSEC)
#define FAST_HANDOVER_TIME (500 * MS_MSEC)

/* Upper bound of the requests that run on EP, whoever granted them.  */
static unsigned
total_bound (const struct endpoint_state *ep)
{
  return ep->foreign_bound == NO_BOUND ? NO_BOUND
                                       : ep->granted + ep->foreign_bound;
}

void
ms_handover_send (struct ms_dispatch *dispatch, struct cell_state *state,
                  ms_time now)
{
  const struct ms_cell *cell = ms_view_cell (dispatch->view, state->id);
  peer_handover_item items[PEER_CELL_ENDPOINTS];
  peer_message message = { .body = { .kind = PEER_HANDOVER } };
  peer_handover *handover = &message.body.peer_body_u.handover;
  unsigned granted = 0;
  unsigned count = 0;

  if (!cell || !state->successor)
    return;
  for (unsigned i = 0; i < cell->endpoints_count; i++)
    {
      struct endpoint_state *ep
          = ms_dispatch_endpoint (dispatch, cell->endpoints[i]->id);

      if (!ep || count == PEER_CELL_ENDPOINTS)
        continue;
      items[count++] = (peer_handover_item){
        .endpoint = ep->id,
        .running = total_bound (ep),
        .limit = ep->limit.current,
        .warm = ep->limit.is_warm,
      };
      granted += ep->granted;
    }
  handover->cell = state->id;
  handover->term = state->successor_term;
  handover->items.items_val = items;
  handover->items.items_len = count;
  ms_view_send (dispatch->view, dispatch->sink, state->successor, &message);
  state->next_handover
      = now
        + (now - state->released_at < FAST_HANDOVER_TIME ? FAST_HANDOVER_PERIOD
                                                         : HANDOVER_PERIOD);
  if (!granted && now - state->released_at > MS_TAKEOVER_DELAY)
    state->successor = 0;
}

/* Lower the bound of foreign requests to the one that ITEM states for an
   endpoint.  If no bound was known and ITEM states one for a warm endpoint,
   take over its limit too.  ITEM is ignored unless ALL_INFORMED, that is,
   unless every predecessor has learned that it was replaced, or has restarted:
   otherwise one may still start requests that the sender doesn't know of.  */
static void
apply_item (struct ms_dispatch *dispatch, const peer_handover_item *item,
            bool all_informed)
{
  struct endpoint_state *ep = ms_dispatch_endpoint (dispatch, item->endpoint);

  if (!ep || !all_informed)
    return;
  if (ep->foreign_bound == NO_BOUND && item->running != NO_BOUND && item->warm)
    {
      ep->limit.is_warm = true;
      ep->limit.current
          = item->limit < ep->limit.warm ? item->limit : ep->limit.warm;
    }
  if (item->running < ep->foreign_bound)
    ep->foreign_bound = item->running;
}

void
ms_handover_receive (struct ms_dispatch *dispatch, const peer_message *message,
                     ms_time now)
{
  const peer_handover *handover = &message->body.peer_body_u.handover;
  struct ms_cell *cell = ms_view_cell (dispatch->view, handover->cell);
  struct cell_state *state = ms_dispatch_cell (dispatch, handover->cell);

  if (!cell || !state || !state->active || handover->term != cell->term)
    return;
  ms_view_prune_predecessors (dispatch->view, cell);
  for (unsigned i = 0; i < handover->items.items_len; i++)
    apply_item (dispatch, &handover->items.items_val[i],
                !cell->predecessors_count);
  ms_grant_slots (dispatch, state, now);
}

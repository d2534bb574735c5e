#include "dispatch/internal.h"

#define HANDOVER_PERIOD (500 * MS_MSEC)

/* The successor may read the log later: at first it is told more often.  */
#define FIRST_PERIOD (50 * MS_MSEC)
#define FIRST_TIME (500 * MS_MSEC)

/* Bound on the requests that run on SLOT, whoever granted them.  */
static unsigned
bound_on (const struct slot_state *slot)
{
  return slot->foreign == UNBOUNDED ? UNBOUNDED
                                    : slot->granted + slot->foreign;
}

void
ms_handover_send (struct ms_dispatch *dispatch, struct held_cell *held,
                  ms_time now)
{
  const struct ms_cell *cell = ms_view_cell (dispatch->view, held->id);
  peer_handover_item items[PEER_CELL_ENDPOINTS];
  peer_message message = { .body = { .kind = PEER_HANDOVER } };
  peer_handover *handover = &message.body.peer_body_u.handover;
  unsigned running = 0;
  unsigned count = 0;

  if (!cell || !held->moved_to)
    return;
  for (unsigned i = 0; i < cell->endpoints_count; i++)
    {
      struct slot_state *slot
          = ms_dispatch_slot (dispatch, cell->endpoints[i]->id);

      if (!slot || count == PEER_CELL_ENDPOINTS)
        continue;
      items[count++] = (peer_handover_item){
        .endpoint = slot->endpoint,
        .running = bound_on (slot),
        .limit = slot->limit.current,
        .warm = slot->limit.is_warm,
      };
      running += slot->granted;
    }
  handover->cell = held->id;
  handover->term = held->moved_term;
  handover->items.items_val = items;
  handover->items.items_len = count;
  ms_view_send (dispatch->view, dispatch->sink, held->moved_to, &message);
  held->next_handover
      = now
        + (now - held->released_at < FIRST_TIME ? FIRST_PERIOD
                                                : HANDOVER_PERIOD);
  if (!running && now - held->released_at > MS_TAKEOVER_DELAY)
    held->moved_to = 0;
}

static void
take_item (struct ms_dispatch *dispatch, const peer_handover_item *item,
           bool only_predecessor)
{
  struct slot_state *slot = ms_dispatch_slot (dispatch, item->endpoint);

  if (!slot || !only_predecessor)
    return;
  if (slot->foreign == UNBOUNDED && item->running != UNBOUNDED && item->warm)
    {
      slot->limit.is_warm = true;
      slot->limit.current
          = item->limit < slot->limit.warm ? item->limit : slot->limit.warm;
    }
  if (item->running < slot->foreign)
    slot->foreign = item->running;
}

void
ms_handover_take (struct ms_dispatch *dispatch, const peer_message *message,
                  ms_time now)
{
  const peer_handover *handover = &message->body.peer_body_u.handover;
  struct ms_cell *cell = ms_view_cell (dispatch->view, handover->cell);
  struct held_cell *held = ms_dispatch_cell (dispatch, handover->cell);

  if (!cell || !held || !held->held || handover->term != cell->term)
    return;
  ms_view_prune_predecessors (dispatch->view, cell);
  for (unsigned i = 0; i < handover->items.items_len; i++)
    take_item (dispatch, &handover->items.items_val[i],
               !cell->predecessors_count);
  ms_grant_slots (dispatch, held, now);
}

#include "entry/internal.h"

/* Where more than this many requests of a team wait, the rounds tell often
   enough.  */
#define KNOWN_DEMAND 16

#define ROUND_PERIOD (500 * MS_MSEC)

/* Cells told in a round; with more of them each hears of a router's demand
   now and then, and the shared totals keep shares even.  */
#define ROUND_CELLS 8

/* A request that waited this long is made known to every cell.  */
#define SPREAD_AFTER (50 * MS_MSEC)

static bool
has_usable (const struct ms_entry *entry, const struct ms_cell *cell)
{
  for (unsigned i = 0; i < cell->endpoints_count; i++)
    if (ms_view_usable (entry->view, cell->endpoints[i]))
      return true;
  return false;
}

/* Whether TEAM's requests may go to CELL, by the service's trial.  */
static bool
allowed (const struct ms_service *service, const struct ms_cell *cell,
         uint64_t team)
{
  if (!service->trial || service->trial->by != MS_TRIAL_BY_TEAM)
    return true;
  return ms_config_trial_cell (service, cell->index)
         == ms_config_trial_team (service, team);
}

static unsigned
fill_items (struct ms_entry *entry, const struct ms_cell *cell, uint64_t team,
            peer_demand_item *items)
{
  const struct ms_service *service
      = ms_config_service (entry->view->config, cell->service);
  unsigned count = 0;

  for (struct queue *q = entry->queues; q && count < PEER_DEMANDS;
       q = q->hh.next)
    {
      const struct request *first = NULL;

      if (q->key.service != cell->service || !ms_queue_length (q)
          || (team && q->key.team != team)
          || !allowed (service, cell, q->key.team))
        continue;
      for (int lane = 0; lane < MS_LANES && !first; lane++)
        first = q->lanes[lane];
      items[count++] = (peer_demand_item){
        .team = q->key.team,
        .interactive = q->count[MS_LANE_INTERACTIVE],
        .batch = q->count[MS_LANE_LONG],
        .alone = q->count[MS_LANE_SUSPECT],
        .hint = first ? first->arrival.hint : 0,
      };
    }
  return count;
}

void
ms_demand_send (struct ms_entry *entry, const struct ms_cell *cell,
                uint64_t team, ms_time now)
{
  peer_demand_item items[PEER_DEMANDS];
  peer_message message = { .body = { .kind = PEER_DEMAND } };
  peer_demand *demand = &message.body.peer_body_u.demand;
  uint64_t dispatcher = ms_view_dispatcher (entry->view, cell, now);
  unsigned count;

  if (!dispatcher || !entry->view->config)
    return;
  count = fill_items (entry, cell, team, items);
  if (!count)
    return;
  demand->cell = cell->id;
  demand->sent_at = now;
  demand->items.items_val = items;
  demand->items.items_len = count;
  ms_view_send (entry->view, entry->sink, dispatcher, &message);
}

/* A cell of SERVICE that can serve TEAM, the next from START on; NULL if
   there is none.  NEAR asks for one in the router's own zone.  */
static struct ms_cell *
pick_cell (struct ms_entry *entry, const struct request *request, bool near,
           const struct ms_cell *except)
{
  struct ms_view *view = entry->view;
  const struct ms_service *service
      = ms_config_service (view->config, request->arrival.service);
  unsigned start
      = (unsigned)ms_random_below (entry->random, view->cells_count);

  for (unsigned i = 0; i < view->cells_count; i++)
    {
      struct ms_cell *cell = &view->cells[(start + i) % view->cells_count];

      if (cell->service != request->arrival.service || cell == except
          || (near && cell->zone != view->zone)
          || !allowed (service, cell, request->arrival.team)
          || !has_usable (entry, cell))
        continue;
      return cell;
    }
  return NULL;
}

void
ms_demand_fresh (struct ms_entry *entry, const struct request *request,
                 ms_time now)
{
  struct ms_cell *first;
  struct ms_cell *second;

  if (!entry->view->config || !entry->view->cells_count
      || ms_queue_length (request->queue) > KNOWN_DEMAND)
    return;
  first = pick_cell (entry, request, true, NULL);
  second = pick_cell (entry, request, false, first);
  if (first)
    ms_demand_send (entry, first, request->arrival.team, now);
  if (second)
    ms_demand_send (entry, second, request->arrival.team, now);
}

static bool
waited_long (const struct ms_entry *entry, uint64_t service, ms_time now)
{
  for (struct queue *q = entry->queues; q; q = q->hh.next)
    for (int lane = 0; lane < MS_LANES; lane++)
      if (q->key.service == service && q->lanes[lane]
          && now - q->lanes[lane]->queued_at >= SPREAD_AFTER)
        return true;
  return false;
}

/* Tell the next ROUND_CELLS cells of the service, in turn over the rounds.  */
static void
send_round (struct ms_entry *entry, struct service_round *round, ms_time now)
{
  struct ms_view *view = entry->view;
  unsigned told = 0;

  for (unsigned i = 0; i < view->cells_count && told < ROUND_CELLS; i++)
    {
      struct ms_cell *cell
          = &view->cells[round->next_cell++ % view->cells_count];

      if (cell->service != round->service || !has_usable (entry, cell))
        continue;
      ms_demand_send (entry, cell, 0, now);
      told++;
    }
}

void
ms_demand_rounds (struct ms_entry *entry, ms_time now)
{
  for (struct service_round *r = entry->rounds; r; r = r->hh.next)
    {
      if (!r->waiting || now - r->last_round < ROUND_PERIOD
          || !waited_long (entry, r->service, now))
        continue;
      r->last_round = now;
      send_round (entry, r, now);
    }
}

#include "entry/internal.h"

/* New requests are announced one by one only while at most this many wait in
   their queue; beyond that the periodic rounds report often enough.  */
#define ANNOUNCE_QUEUE_LIMIT 16

/* Minimum interval between the rounds of a service.  */
#define ROUND_PERIOD (500 * MS_MSEC)

/* Cells that get a report in one round.  In a service with more cells, each
   cell learns of a router's demand only every few rounds; the totals that
   routers share still keep the teams' shares even.  */
#define CELLS_PER_ROUND 8

/* Rounds run for a service once a request at the head of a lane has waited
   for this long.  */
#define ROUND_MIN_WAIT (50 * MS_MSEC)

static bool
has_usable_endpoint (const struct ms_entry *entry, const struct ms_cell *cell)
{
  for (unsigned i = 0; i < cell->endpoints_count; i++)
    if (ms_view_usable (entry->view, cell->endpoints[i]))
      return true;
  return false;
}

/* Return true unless SERVICE has a trial by team that assigns TEAM and CELL
   to different sides.  */
static bool
trial_allows (const struct ms_service *service, const struct ms_cell *cell,
              uint64_t team)
{
  if (!service->trial || service->trial->by != MS_TRIAL_BY_TEAM)
    return true;
  return ms_config_trial_cell (service, cell->index)
         == ms_config_trial_team (service, team);
}

/* Fill ITEMS with the numbers of requests that wait for CELL's service, an
   item for each team, or for TEAM only if it is not 0.  Teams that wait for
   nothing, or that a trial keeps from CELL, are left out, and so are those
   beyond PEER_DEMANDS.  Items call the long lane "batch" and the suspect lane
   "alone".  Return the number of items.  */
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
      const struct request *first = NULL; /* Of the first lane with any.  */

      if (q->key.service != cell->service || !ms_queue_length (q)
          || (team && q->key.team != team)
          || !trial_allows (service, cell, q->key.team))
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

/* Return a cell that can serve REQUEST, other than EXCEPT, or NULL.  The
   search starts at a random cell.  If OWN_ZONE, only cells in the router's
   own availability zone count.  */
static struct ms_cell *
pick_cell (struct ms_entry *entry, const struct request *request,
           bool own_zone, const struct ms_cell *except)
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
          || (own_zone && cell->zone != view->zone)
          || !trial_allows (service, cell, request->arrival.team)
          || !has_usable_endpoint (entry, cell))
        continue;
      return cell;
    }
  return NULL;
}

void
ms_demand_announce (struct ms_entry *entry, const struct request *request,
                    ms_time now)
{
  struct ms_cell *first;
  struct ms_cell *second;

  if (!entry->view->config || !entry->view->cells_count
      || ms_queue_length (request->queue) > ANNOUNCE_QUEUE_LIMIT)
    return;
  first = pick_cell (entry, request, true, NULL);
  second = pick_cell (entry, request, false, first);
  if (first)
    ms_demand_send (entry, first, request->arrival.team, now);
  if (second)
    ms_demand_send (entry, second, request->arrival.team, now);
}

/* Return true if a request at the head of a lane of SERVICE has waited for at
   least ROUND_MIN_WAIT since it was queued.  */
static bool
has_long_wait (const struct ms_entry *entry, uint64_t service, ms_time now)
{
  for (struct queue *q = entry->queues; q; q = q->hh.next)
    for (int lane = 0; lane < MS_LANES; lane++)
      if (q->key.service == service && q->lanes[lane]
          && now - q->lanes[lane]->queued_at >= ROUND_MIN_WAIT)
        return true;
  return false;
}

/* Report DEMAND to the next CELLS_PER_ROUND cells of its service that have a
   usable endpoint; the next round continues after them.  */
static void
send_round (struct ms_entry *entry, struct service_demand *demand, ms_time now)
{
  struct ms_view *view = entry->view;
  unsigned reported = 0;

  for (unsigned i = 0; i < view->cells_count && reported < CELLS_PER_ROUND;
       i++)
    {
      struct ms_cell *cell
          = &view->cells[demand->next_cell++ % view->cells_count];

      if (cell->service != demand->service
          || !has_usable_endpoint (entry, cell))
        continue;
      ms_demand_send (entry, cell, 0, now);
      reported++;
    }
}

void
ms_demand_send_rounds (struct ms_entry *entry, ms_time now)
{
  for (struct service_demand *d = entry->demands; d; d = d->hh.next)
    {
      if (!d->waiting || now - d->last_round_at < ROUND_PERIOD
          || !has_long_wait (entry, d->service, now))
        continue;
      d->last_round_at = now;
      send_round (entry, d, now);
    }
}

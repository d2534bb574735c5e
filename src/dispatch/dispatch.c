#include "dispatch/dispatch.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/switches.h"
#include "dispatch/internal.h"

struct ms_dispatch *
ms_dispatch_create (struct ms_view *view, const struct ms_sink *sink,
                    struct ms_random *random)
{
  struct ms_dispatch *dispatch = ms_new (sizeof *dispatch);

  dispatch->view = view;
  dispatch->sink = sink;
  dispatch->random = random;
  return dispatch;
}

void
ms_dispatch_destroy (struct ms_dispatch *dispatch)
{
  struct grant *grant, *next_grant;
  struct demand *demand, *next_demand;
  struct slot_state *slot, *next_slot;
  struct held_cell *cell, *next_cell;
  struct team_service *service, *next_service;

  if (!dispatch)
    return;
  HASH_ITER (hh, dispatch->grants, grant, next_grant)
  {
    HASH_DEL (dispatch->grants, grant);
    free (grant);
  }
  HASH_ITER (hh, dispatch->demands, demand, next_demand)
  {
    HASH_DEL (dispatch->demands, demand);
    free (demand);
  }
  HASH_ITER (hh, dispatch->slots, slot, next_slot)
  {
    HASH_DEL (dispatch->slots, slot);
    free (slot);
  }
  HASH_ITER (hh, dispatch->cells, cell, next_cell)
  {
    HASH_DEL (dispatch->cells, cell);
    free (cell);
  }
  HASH_ITER (hh, dispatch->services, service, next_service)
  {
    ms_fair_destroy (service->fair);
    HASH_DEL (dispatch->services, service);
    free (service);
  }
  free (dispatch);
}

struct held_cell *
ms_dispatch_cell (struct ms_dispatch *dispatch, uint64_t id)
{
  struct held_cell *cell;

  HASH_FIND (hh, dispatch->cells, &id, sizeof id, cell);
  return cell;
}

struct slot_state *
ms_dispatch_slot (struct ms_dispatch *dispatch, uint64_t endpoint)
{
  struct slot_state *slot;

  HASH_FIND (hh, dispatch->slots, &endpoint, sizeof endpoint, slot);
  return slot;
}

struct team_service *
ms_dispatch_service (struct ms_dispatch *dispatch, uint64_t id, ms_time now)
{
  struct team_service *service;

  HASH_FIND (hh, dispatch->services, &id, sizeof id, service);
  if (service)
    return service;
  service = ms_new (sizeof *service);
  service->service = id;
  service->fair
      = ms_fair_create (dispatch->view->self, dispatch->view->incarnation);
  service->created_at = now;
  HASH_ADD (hh, dispatch->services, service, sizeof service->service, service);
  return service;
}

static void
apply_weights (struct ms_dispatch *dispatch, ms_time now)
{
  const struct ms_config *config = dispatch->view->config;

  for (unsigned s = 0; s < config->services_count; s++)
    {
      struct team_service *service
          = ms_dispatch_service (dispatch, config->services[s].id, now);

      for (unsigned t = 0; t < config->teams_count; t++)
        if (config->teams[t].weight != 1)
          ms_fair_set_weight (service->fair, config->teams[t].id,
                              config->teams[t].weight);
    }
}

static struct slot_state *
add_slot (struct ms_dispatch *dispatch, const struct ms_endpoint *endpoint,
          const struct ms_service *service, ms_time now)
{
  struct slot_state *slot = ms_new (sizeof *slot);

  slot->endpoint = endpoint->id;
  slot->cell = endpoint->cell;
  slot->idle_since = now;
  ms_limit_start (&slot->limit, service->cold_limit, service->warm_limit, now);
  ms_occupancy_distrust (slot, now);
  HASH_ADD (hh, dispatch->slots, endpoint, sizeof slot->endpoint, slot);
  return slot;
}

/* Bring the endpoints of a held cell up to date.  One that comes back into
   service is cold.  */
static void
update_slots (struct ms_dispatch *dispatch, const struct ms_cell *cell,
              const struct ms_service *service, ms_time now)
{
  for (unsigned i = 0; i < cell->endpoints_count; i++)
    {
      const struct ms_endpoint *endpoint = cell->endpoints[i];
      struct slot_state *slot = ms_dispatch_slot (dispatch, endpoint->id);
      bool usable = ms_view_usable (dispatch->view, endpoint);

      if (!slot)
        slot = add_slot (dispatch, endpoint, service, now);
      ms_limit_bounds (&slot->limit, service->cold_limit, service->warm_limit);
      slot->cell = cell->id;
      if (usable && !slot->usable)
        ms_limit_chill (&slot->limit, now);
      slot->usable = usable;
    }
}

/* The cell is this router's from now on: what others run is not known.  An
   endpoint that has run requests of this router all along is as warm as it
   was.  */
static void
acquire (struct ms_dispatch *dispatch, struct held_cell *held,
         const struct ms_cell *cell, const struct ms_service *service,
         ms_time now)
{
  for (unsigned i = 0; i < cell->endpoints_count; i++)
    {
      struct slot_state *slot
          = ms_dispatch_slot (dispatch, cell->endpoints[i]->id);

      if (!slot)
        continue;
      if (!slot->limit.is_warm || !ms_ledger_ran_since (dispatch, slot, now))
        ms_limit_start (&slot->limit, service->cold_limit, service->warm_limit,
                        now);
      ms_occupancy_distrust (slot, now);
    }
  held->held = true;
  held->term = cell->term;
  held->moved_to = 0;
  held->acquired_at = now;
}

static void
release (struct ms_dispatch *dispatch, struct held_cell *held,
         const struct ms_cell *cell, ms_time now)
{
  held->held = false;
  held->moved_to = cell->holder;
  held->moved_term = cell->term;
  held->released_at = now;
  ms_handover_send (dispatch, held, now);
}

static void
update_cell (struct ms_dispatch *dispatch, struct ms_cell *cell, ms_time now)
{
  const struct ms_service *service
      = ms_config_service (dispatch->view->config, cell->service);
  struct held_cell *held = ms_dispatch_cell (dispatch, cell->id);
  bool mine = !dispatch->stopped
              && ms_view_dispatcher (dispatch->view, cell, now)
                     == dispatch->view->self;

  if (!held && !mine)
    return;
  if (!held)
    {
      held = ms_new (sizeof *held);
      held->id = cell->id;
      held->service = cell->service;
      HASH_ADD (hh, dispatch->cells, id, sizeof held->id, held);
    }
  if (mine && !held->held)
    acquire (dispatch, held, cell, service, now);
  if (!mine && held->held)
    release (dispatch, held, cell, now);
  held->term = cell->term;
  if (held->held)
    update_slots (dispatch, cell, service, now);
}

void
ms_dispatch_view_changed (struct ms_dispatch *dispatch, ms_time now)
{
  struct ms_view *view = dispatch->view;

  if (!view->config)
    return;
  apply_weights (dispatch, now);
  for (unsigned i = 0; i < view->cells_count; i++)
    update_cell (dispatch, &view->cells[i], now);
}

/* Stand-in duty follows from silence, which no event announces.  */
static void
update_stand_ins (struct ms_dispatch *dispatch, ms_time now)
{
  struct ms_view *view = dispatch->view;

  for (unsigned i = 0; i < view->cells_count; i++)
    {
      struct ms_cell *cell = &view->cells[i];
      const struct held_cell *held = ms_dispatch_cell (dispatch, cell->id);
      bool mine = !dispatch->stopped
                  && ms_view_dispatcher (view, cell, now) == view->self;

      if (mine != (held && held->held))
        update_cell (dispatch, cell, now);
    }
}

static void
offer_idle (struct ms_dispatch *dispatch, struct held_cell *held, ms_time now)
{
  struct ms_view *view = dispatch->view;
  const struct ms_cell *cell = ms_view_cell (view, held->id);
  peer_message message = { .body = { .kind = PEER_IDLE } };
  uint32_t room = 0;

  if (!cell || now < held->next_idle || !ms_enabled (MS_IDLE_OFFERS))
    return;
  for (unsigned i = 0; i < cell->endpoints_count; i++)
    {
      struct slot_state *slot
          = ms_dispatch_slot (dispatch, cell->endpoints[i]->id);

      if (slot)
        room += ms_occupancy_free (dispatch, slot, now);
    }
  held->next_idle = now + MS_IDLE_PERIOD;
  if (!room || !view->members_count)
    return;
  message.body.peer_body_u.idle.cell = held->id;
  message.body.peer_body_u.idle.slots = room;
  for (int i = 0; i < MS_IDLE_PEERS; i++)
    {
      uint64_t pick = ms_random_below (dispatch->random, view->members_count);

      ms_view_send (dispatch->view, dispatch->sink, view->members[pick].id,
                    &message);
    }
}

void
ms_dispatch_tick (struct ms_dispatch *dispatch, ms_time now)
{
  struct held_cell *held, *next;

  if (!dispatch->view->config)
    return;
  update_stand_ins (dispatch, now);
  ms_ledger_tick (dispatch, now);
  ms_demand_expire (dispatch, now);
  HASH_ITER (hh, dispatch->cells, held, next)
  {
    if (held->held)
      {
        ms_grant_slots (dispatch, held, now);
        offer_idle (dispatch, held, now);
      }
    else if (held->moved_to && now >= held->next_handover)
      ms_handover_send (dispatch, held, now);
  }
  ms_totals_tick (dispatch, now);
}

void
ms_dispatch_message (struct ms_dispatch *dispatch, const peer_message *message,
                     ms_time now)
{
  switch (message->body.kind)
    {
    case PEER_DEMAND:
      ms_demand_take (dispatch, message, now);
      break;
    case PEER_GRANT_REPLY:
      ms_ledger_reply (dispatch, message, now);
      break;
    case PEER_DONE:
      ms_ledger_done (dispatch, message, now);
      break;
    case PEER_RUNNING_LIST:
      ms_ledger_running (dispatch, message, now);
      break;
    case PEER_HANDOVER:
      ms_handover_take (dispatch, message, now);
      break;
    case PEER_TOTALS_SHARE:
      ms_totals_take (dispatch, message, now);
      break;
    case PEER_TOTALS_WANT:
      ms_totals_want (dispatch, message, now);
      break;
    default:
      break;
    }
}

void
ms_dispatch_stop (struct ms_dispatch *dispatch)
{
  dispatch->stopped = true;
}

bool
ms_dispatch_covers (struct ms_dispatch *dispatch, uint64_t endpoint,
                    ms_time now)
{
  const struct ms_endpoint *known
      = ms_view_endpoint (dispatch->view, endpoint);
  const struct held_cell *held
      = known ? ms_dispatch_cell (dispatch, known->cell) : NULL;

  (void)now;
  return held && held->held;
}

struct ms_dispatch_status
ms_dispatch_status (struct ms_dispatch *dispatch, ms_time now)
{
  struct ms_dispatch_status status = { 0 };

  for (struct held_cell *c = dispatch->cells; c; c = c->hh.next)
    status.cells += c->held;
  for (struct slot_state *s = dispatch->slots; s; s = s->hh.next)
    {
      const struct held_cell *held = ms_dispatch_cell (dispatch, s->cell);

      if (!held || !held->held)
        continue;
      status.endpoints++;
      status.slots += s->granted + ms_occupancy_free (dispatch, s, now);
      status.granted += s->granted;
    }
  for (struct demand *d = dispatch->demands; d; d = d->hh.next)
    for (int lane = 0; lane < MS_LANES; lane++)
      status.waiting += d->waiting[lane];
  for (struct team_service *s = dispatch->services; s; s = s->hh.next)
    status.bytes += ms_fair_bytes (s->fair);
  status.bytes += HASH_COUNT (dispatch->grants) * sizeof (struct grant)
                  + HASH_COUNT (dispatch->demands) * sizeof (struct demand)
                  + HASH_COUNT (dispatch->slots) * sizeof (struct slot_state);
  return status;
}

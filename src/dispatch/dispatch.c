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
  struct endpoint_state *ep, *next_ep;
  struct cell_state *state, *next_state;
  struct service_accounts *accounts, *next_accounts;

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
  HASH_ITER (hh, dispatch->endpoints, ep, next_ep)
  {
    HASH_DEL (dispatch->endpoints, ep);
    free (ep);
  }
  HASH_ITER (hh, dispatch->cells, state, next_state)
  {
    HASH_DEL (dispatch->cells, state);
    free (state);
  }
  HASH_ITER (hh, dispatch->services, accounts, next_accounts)
  {
    ms_fair_destroy (accounts->fair);
    HASH_DEL (dispatch->services, accounts);
    free (accounts);
  }
  free (dispatch);
}

struct cell_state *
ms_dispatch_cell (struct ms_dispatch *dispatch, uint64_t id)
{
  struct cell_state *state;

  HASH_FIND (hh, dispatch->cells, &id, sizeof id, state);
  return state;
}

struct endpoint_state *
ms_dispatch_endpoint (struct ms_dispatch *dispatch, uint64_t id)
{
  struct endpoint_state *ep;

  HASH_FIND (hh, dispatch->endpoints, &id, sizeof id, ep);
  return ep;
}

struct service_accounts *
ms_dispatch_accounts (struct ms_dispatch *dispatch, uint64_t id, ms_time now)
{
  struct service_accounts *accounts;

  HASH_FIND (hh, dispatch->services, &id, sizeof id, accounts);
  if (accounts)
    return accounts;
  accounts = ms_new (sizeof *accounts);
  accounts->service = id;
  accounts->fair
      = ms_fair_create (dispatch->view->self, dispatch->view->incarnation);
  accounts->created_at = now;
  HASH_ADD (hh, dispatch->services, service, sizeof accounts->service,
            accounts);
  return accounts;
}

/* Set the weights other than 1, the default, in the accounts of all services.
   A team whose weight was changed back to 1 keeps its old weight there.  */
static void
set_team_weights (struct ms_dispatch *dispatch, ms_time now)
{
  const struct ms_config *config = dispatch->view->config;

  for (unsigned s = 0; s < config->services_count; s++)
    {
      struct service_accounts *accounts
          = ms_dispatch_accounts (dispatch, config->services[s].id, now);

      for (unsigned t = 0; t < config->teams_count; t++)
        if (config->teams[t].weight != 1)
          ms_fair_set_weight (accounts->fair, config->teams[t].id,
                              config->teams[t].weight);
    }
}

static struct endpoint_state *
add_endpoint (struct ms_dispatch *dispatch, const struct ms_endpoint *endpoint,
              const struct ms_service *service, ms_time now)
{
  struct endpoint_state *ep = ms_new (sizeof *ep);

  ep->id = endpoint->id;
  ep->cell = endpoint->cell;
  ep->idle_since = now;
  ms_limit_init (&ep->limit, service->cold_limit, service->warm_limit, now);
  ms_occupancy_reset_foreign (ep, now);
  HASH_ADD (hh, dispatch->endpoints, id, sizeof ep->id, ep);
  return ep;
}

/* Add the endpoints of CELL that are new and update the others.  An endpoint
   that becomes usable again is treated as cold.  */
static void
update_endpoints (struct ms_dispatch *dispatch, const struct ms_cell *cell,
                  const struct ms_service *service, ms_time now)
{
  for (unsigned i = 0; i < cell->endpoints_count; i++)
    {
      const struct ms_endpoint *endpoint = cell->endpoints[i];
      struct endpoint_state *ep
          = ms_dispatch_endpoint (dispatch, endpoint->id);
      bool usable = ms_view_usable (dispatch->view, endpoint);

      if (!ep)
        ep = add_endpoint (dispatch, endpoint, service, now);
      ms_limit_set_bounds (&ep->limit, service->cold_limit,
                           service->warm_limit);
      ep->cell = cell->id;
      if (usable && !ep->usable)
        ms_limit_set_cold (&ep->limit, now);
      ep->usable = usable;
    }
}

/* Begin to dispatch CELL.  The foreign requests on its endpoints are not
   known.  An endpoint's limit is reset to cold, unless a request of this
   router's ledger still runs there: then the endpoint has not restarted and is
   as warm as before.  */
static void
take_over_cell (struct ms_dispatch *dispatch, struct cell_state *state,
                const struct ms_cell *cell, const struct ms_service *service,
                ms_time now)
{
  for (unsigned i = 0; i < cell->endpoints_count; i++)
    {
      struct endpoint_state *ep
          = ms_dispatch_endpoint (dispatch, cell->endpoints[i]->id);

      if (!ep)
        continue;
      if (!ep->limit.is_warm || !ms_ledger_ran_at (dispatch, ep, now))
        ms_limit_init (&ep->limit, service->cold_limit, service->warm_limit,
                       now);
      ms_occupancy_reset_foreign (ep, now);
    }
  state->active = true;
  state->term = cell->term;
  state->successor = 0;
  state->acquired_at = now;
}

/* Stop dispatching CELL, and send its present holder a handover: that is the
   router that it has moved to, or the one that this router stood in for.  If
   the holder is still this router, as may be after ms_dispatch_stop, it
   ignores the handover.  */
static void
hand_over_cell (struct ms_dispatch *dispatch, struct cell_state *state,
                const struct ms_cell *cell, ms_time now)
{
  state->active = false;
  state->successor = cell->holder;
  state->successor_term = cell->term;
  state->released_at = now;
  ms_handover_send (dispatch, state, now);
}

/* Take over or hand over CELL if its dispatcher changed, and follow changes
   of its endpoints.  */
static void
update_cell (struct ms_dispatch *dispatch, struct ms_cell *cell, ms_time now)
{
  const struct ms_service *service
      = ms_config_service (dispatch->view->config, cell->service);
  struct cell_state *state = ms_dispatch_cell (dispatch, cell->id);
  bool is_dispatcher = !dispatch->stopped
                       && ms_view_dispatcher (dispatch->view, cell, now)
                              == dispatch->view->self;

  if (!state && !is_dispatcher)
    return;
  if (!state)
    {
      state = ms_new (sizeof *state);
      state->id = cell->id;
      state->service = cell->service;
      HASH_ADD (hh, dispatch->cells, id, sizeof state->id, state);
    }
  if (is_dispatcher && !state->active)
    take_over_cell (dispatch, state, cell, service, now);
  if (!is_dispatcher && state->active)
    hand_over_cell (dispatch, state, cell, now);
  state->term = cell->term;
  if (state->active)
    update_endpoints (dispatch, cell, service, now);
}

void
ms_dispatch_view_changed (struct ms_dispatch *dispatch, ms_time now)
{
  struct ms_view *view = dispatch->view;

  if (!view->config)
    return;
  set_team_weights (dispatch, now);
  for (unsigned i = 0; i < view->cells_count; i++)
    update_cell (dispatch, &view->cells[i], now);
}

/* Update cells whose dispatcher changed without a change of the view: a router
   stands in once the holder has been silent for long enough, and gives up its
   cells after ms_dispatch_stop.  */
static void
update_changed_cells (struct ms_dispatch *dispatch, ms_time now)
{
  struct ms_view *view = dispatch->view;

  for (unsigned i = 0; i < view->cells_count; i++)
    {
      struct ms_cell *cell = &view->cells[i];
      const struct cell_state *state = ms_dispatch_cell (dispatch, cell->id);
      bool is_dispatcher
          = !dispatch->stopped
            && ms_view_dispatcher (view, cell, now) == view->self;

      if (is_dispatcher != (state && state->active))
        update_cell (dispatch, cell, now);
    }
}

/* When due, tell a few random routers that the cell has free slots.  Those
   where requests wait answer with a demand.  */
static void
offer_idle (struct ms_dispatch *dispatch, struct cell_state *state,
            ms_time now)
{
  struct ms_view *view = dispatch->view;
  const struct ms_cell *cell = ms_view_cell (view, state->id);
  peer_message message = { .body = { .kind = PEER_IDLE } };
  uint32_t free_slots = 0;

  if (!cell || now < state->next_idle_offer || !ms_enabled (MS_IDLE_OFFERS))
    return;
  for (unsigned i = 0; i < cell->endpoints_count; i++)
    {
      struct endpoint_state *ep
          = ms_dispatch_endpoint (dispatch, cell->endpoints[i]->id);

      if (ep)
        free_slots += ms_occupancy_free (dispatch, ep, now);
    }
  state->next_idle_offer = now + IDLE_OFFER_PERIOD;
  if (!free_slots || !view->members_count)
    return;
  message.body.peer_body_u.idle.cell = state->id;
  message.body.peer_body_u.idle.slots = free_slots;
  for (int i = 0; i < IDLE_OFFER_PEERS; i++)
    {
      uint64_t pick = ms_random_below (dispatch->random, view->members_count);

      ms_view_send (dispatch->view, dispatch->sink, view->members[pick].id,
                    &message);
    }
}

void
ms_dispatch_tick (struct ms_dispatch *dispatch, ms_time now)
{
  struct cell_state *state, *next;

  if (!dispatch->view->config)
    return;
  update_changed_cells (dispatch, now);
  ms_ledger_tick (dispatch, now);
  ms_demand_expire (dispatch, now);
  HASH_ITER (hh, dispatch->cells, state, next)
  {
    if (state->active)
      {
        ms_grant_slots (dispatch, state, now);
        offer_idle (dispatch, state, now);
      }
    else if (state->successor && now >= state->next_handover)
      ms_handover_send (dispatch, state, now);
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
      ms_demand_receive (dispatch, message, now);
      break;
    case PEER_GRANT_REPLY:
      ms_ledger_receive_reply (dispatch, message, now);
      break;
    case PEER_DONE:
      ms_ledger_receive_done (dispatch, message, now);
      break;
    case PEER_RUNNING_LIST:
      ms_ledger_receive_running (dispatch, message, now);
      break;
    case PEER_HANDOVER:
      ms_handover_receive (dispatch, message, now);
      break;
    case PEER_TOTALS_SHARE:
      ms_totals_receive (dispatch, message, now);
      break;
    case PEER_TOTALS_WANT:
      ms_totals_answer (dispatch, message, now);
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
  const struct cell_state *state
      = known ? ms_dispatch_cell (dispatch, known->cell) : NULL;

  (void)now;
  return state && state->active;
}

struct ms_dispatch_status
ms_dispatch_status (struct ms_dispatch *dispatch, ms_time now)
{
  struct ms_dispatch_status status = { 0 };

  for (struct cell_state *c = dispatch->cells; c; c = c->hh.next)
    status.cells += c->active;
  for (struct endpoint_state *e = dispatch->endpoints; e; e = e->hh.next)
    {
      const struct cell_state *state = ms_dispatch_cell (dispatch, e->cell);

      if (!state || !state->active)
        continue;
      status.endpoints++;
      status.slots += e->granted + ms_occupancy_free (dispatch, e, now);
      status.granted += e->granted;
    }
  for (struct demand *d = dispatch->demands; d; d = d->hh.next)
    for (int lane = 0; lane < MS_LANES; lane++)
      status.waiting += d->waiting[lane];
  for (struct service_accounts *s = dispatch->services; s; s = s->hh.next)
    status.bytes += ms_fair_bytes (s->fair);
  status.bytes
      += HASH_COUNT (dispatch->grants) * sizeof (struct grant)
         + HASH_COUNT (dispatch->demands) * sizeof (struct demand)
         + HASH_COUNT (dispatch->endpoints) * sizeof (struct endpoint_state);
  return status;
}

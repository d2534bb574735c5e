#include "base/alloc.h"
#include "dispatch/internal.h"

/* After this many grants of a cell without a long request, a waiting long
   request goes before interactive ones of its team.  */
#define LONG_REQUEST_INTERVAL 4

/* The most teams that are compared for one grant.  */
#define MAX_WAITING_TEAMS 1024

/* The teams that wait for a slot of one cell.  */
struct waiting_teams
{
  struct ms_candidate candidates[MAX_WAITING_TEAMS];
  size_t count;
};

/* Waiting requests of DEMAND less the grants that may yet serve them.  */
static uint32_t
unmet_demand (const struct demand *demand)
{
  uint32_t total = 0;

  for (int lane = 0; lane < MS_LANES; lane++)
    total += demand->waiting[lane];
  return total > demand->pending_grants ? total - demand->pending_grants : 0;
}

/* Whether DEMAND is for the cell of STATE, is not too old, and states more
   waiting requests than pending grants.  Some of the requests must be suspects
   if SUSPECT is true, and in another lane if not.  */
static bool
has_waiting (const struct demand *demand, const struct cell_state *state,
             bool suspect, ms_time now)
{
  if (demand->key.cell != state->id || !unmet_demand (demand)
      || now - demand->received_at > DEMAND_LIFETIME)
    return false;
  if (suspect)
    return demand->waiting[MS_LANE_SUSPECT];
  return demand->waiting[MS_LANE_INTERACTIVE] || demand->waiting[MS_LANE_LONG];
}

/* Add DEMAND's team to WAITING, or update since when it has waited.  Teams
   beyond MAX_WAITING_TEAMS are left out.  */
static void
add_candidate (struct waiting_teams *waiting, const struct demand *demand)
{
  for (size_t i = 0; i < waiting->count; i++)
    if (waiting->candidates[i].team == demand->key.team)
      {
        if (demand->waiting_since < waiting->candidates[i].waiting_since)
          waiting->candidates[i].waiting_since = demand->waiting_since;
        return;
      }
  if (waiting->count < MAX_WAITING_TEAMS)
    waiting->candidates[waiting->count++]
        = (struct ms_candidate){ demand->key.team, demand->waiting_since };
}

/* Set WAITING to the teams with requests, other than suspects, that wait for
   slots of the cell of STATE.  */
static void
gather_candidates (struct ms_dispatch *dispatch,
                   const struct cell_state *state,
                   struct waiting_teams *waiting, ms_time now)
{
  waiting->count = 0;
  for (struct demand *d = dispatch->demands; d; d = d->hh.next)
    if (has_waiting (d, state, false, now))
      add_candidate (waiting, d);
}

/* The demand of TEAM, among those of all entry routers, that has waited
   longest for a grant; suspects don't count.  */
static struct demand *
oldest_demand (struct ms_dispatch *dispatch, const struct cell_state *state,
               uint64_t team, ms_time now)
{
  struct demand *best = NULL;

  for (struct demand *d = dispatch->demands; d; d = d->hh.next)
    if (d->key.team == team && has_waiting (d, state, false, now)
        && (!best || d->waiting_since < best->waiting_since))
      best = d;
  return best;
}

/* The lane, interactive or long, that the next grant for DEMAND is for.  */
static enum ms_lane
choose_lane (const struct cell_state *state, const struct demand *demand)
{
  bool long_due = state->grants_since_long >= LONG_REQUEST_INTERVAL;

  if (demand->waiting[MS_LANE_LONG]
      && (long_due || !demand->waiting[MS_LANE_INTERACTIVE]))
    return MS_LANE_LONG;
  return MS_LANE_INTERACTIVE;
}

/* Whether nothing is known to run on EP, as a suspect needs: no grant is in
   the ledger, and the bound of foreign requests is 0.  Neither shows a request
   that a predecessor started since the bound became 0, nor one whose grant
   was abandoned while EP was warm.  */
static bool
is_empty (const struct endpoint_state *ep)
{
  return !ep->granted && !ep->foreign_bound;
}

/* The one of A and B with the smaller part of its slots in use; on a tie, the
   one with more free slots.  */
static struct endpoint_state *
least_loaded (struct endpoint_state *a, uint32_t free_a,
              struct endpoint_state *b, uint32_t free_b)
{
  uint64_t load_a = (uint64_t)a->granted * (b->granted + free_b);
  uint64_t load_b = (uint64_t)b->granted * (a->granted + free_a);

  return load_b < load_a || (load_b == load_a && free_b > free_a) ? b : a;
}

/* The endpoint for the next grant: the least loaded of all that have a free
   slot, or with MS_PLACE_TWO_CHOICES of the first two of them from a random
   start; NULL if none has.  If SUSPECT is true, only empty endpoints are
   considered; if not, all but the one reserved for a waiting suspect.  */
static struct endpoint_state *
choose_endpoint (struct ms_dispatch *dispatch, const struct cell_state *state,
                 const struct ms_cell *cell, enum ms_placement_name placement,
                 bool suspect, ms_time now)
{
  struct endpoint_state *best = NULL;
  uint32_t best_free = 0;
  unsigned count = cell->endpoints_count;
  unsigned start = (unsigned)ms_random_below (dispatch->random, count);
  unsigned compared = 0;

  for (unsigned i = 0; i < count; i++)
    {
      struct endpoint_state *ep = ms_dispatch_endpoint (
          dispatch, cell->endpoints[(start + i) % count]->id);
      uint32_t free_slots = ep ? ms_occupancy_free (dispatch, ep, now) : 0;

      if (!free_slots || (suspect && !is_empty (ep))
          || (!suspect && ep->id == state->suspect_endpoint))
        continue;
      best = best ? least_loaded (best, best_free, ep, free_slots) : ep;
      best_free = best == ep ? free_slots : best_free;
      if (++compared == 2 && placement == MS_PLACE_TWO_CHOICES)
        break;
    }
  return best;
}

void
ms_grant_send (struct ms_dispatch *dispatch, struct grant *grant, ms_time now)
{
  const struct endpoint_state *ep
      = ms_dispatch_endpoint (dispatch, grant->endpoint);
  peer_message message = { .body = { .kind = PEER_GRANT } };

  message.body.peer_body_u.grant
      = (peer_grant){ .grant = grant->id,
                      .cell = grant->cell,
                      .team = grant->team,
                      .endpoint = grant->endpoint,
                      .lane = grant->lane,
                      .warm = ep && ep->limit.is_warm,
                      .start_id = ep ? ep->start_id : 0,
                      .echo = grant->demand_sent_at };
  grant->next_send = now + GRANT_RESEND_PERIOD;
  ms_view_send (dispatch->view, dispatch->sink, grant->entry, &message);
}

/* Grant a slot of EP to a request in LANE of DEMAND.  The team is charged the
   expected cost at once; ms_ledger_close corrects it to the true cost.  */
static void
issue_grant (struct ms_dispatch *dispatch, struct cell_state *state,
             struct demand *demand, struct endpoint_state *ep,
             enum ms_lane lane, ms_time now)
{
  struct service_accounts *accounts
      = ms_dispatch_accounts (dispatch, state->service, now);
  struct grant *grant = ms_new (sizeof *grant);

  grant->id = ms_id_pair (
      ms_id_pair (dispatch->view->self, dispatch->view->incarnation),
      ++dispatch->grant_sequence);
  grant->entry = demand->key.entry;
  grant->entry_incarnation = demand->entry_incarnation;
  grant->team = demand->key.team;
  grant->endpoint = ep->id;
  grant->cell = state->id;
  grant->service = state->service;
  grant->lane = lane;
  grant->issued_at = now;
  grant->last_heard = now;
  grant->demand_sent_at = demand->sent_at;
  grant->expires_at = demand->received_at + MS_GRANT_LIFETIME;
  grant->charged_cost
      = ms_fair_estimate (accounts->fair, grant->team, demand->cost_hint);
  ms_fair_charge (accounts->fair, grant->team, grant->charged_cost);
  HASH_ADD (hh, dispatch->grants, id, sizeof grant->id, grant);
  ep->granted++;
  ep->runs_suspect = lane == MS_LANE_SUSPECT;
  demand->pending_grants++;
  demand->waiting_since = now;
  if (lane == MS_LANE_LONG)
    state->grants_since_long = 0;
  else
    state->grants_since_long++;
  ms_grant_send (dispatch, grant, now);
}

/* The demand with suspects that has waited longest for a grant, of all teams
   and entry routers, for slots of the cell of STATE; NULL if there is none. */
static struct demand *
oldest_suspect (struct ms_dispatch *dispatch, const struct cell_state *state,
                ms_time now)
{
  struct demand *best = NULL;

  for (struct demand *d = dispatch->demands; d; d = d->hh.next)
    if (has_waiting (d, state, true, now)
        && (!best || d->waiting_since < best->waiting_since))
      best = d;
  return best;
}

/* Identifier of the usable endpoint of CELL with the fewest grants, which is
   likely to be empty first; 0 if there is none.  Those that run a suspect are
   left out.  */
static uint64_t
endpoint_with_fewest_grants (struct ms_dispatch *dispatch,
                             const struct ms_cell *cell)
{
  const struct endpoint_state *best = NULL;

  for (unsigned i = 0; i < cell->endpoints_count; i++)
    {
      const struct endpoint_state *ep
          = ms_dispatch_endpoint (dispatch, cell->endpoints[i]->id);

      if (ep && ep->usable && !ep->runs_suspect
          && (!best || ep->granted < best->granted))
        best = ep;
    }
  return best ? best->id : 0;
}

/* Grant a waiting suspect an empty endpoint.  If there is none, reserve one
   that gets no new grants until it is empty: under load no endpoint would
   become empty otherwise.  */
static void
grant_suspect (struct ms_dispatch *dispatch, struct cell_state *state,
               const struct ms_cell *cell, const struct ms_service *service,
               ms_time now)
{
  struct demand *demand = oldest_suspect (dispatch, state, now);
  struct endpoint_state *ep;

  if (!demand)
    {
      state->suspect_endpoint = 0;
      return;
    }
  ep = choose_endpoint (dispatch, state, cell, service->placement, true, now);
  if (ep)
    {
      state->suspect_endpoint = 0;
      issue_grant (dispatch, state, demand, ep, MS_LANE_SUSPECT, now);
    }
  else if (!state->suspect_endpoint)
    state->suspect_endpoint = endpoint_with_fewest_grants (dispatch, cell);
}

/* Issue one grant for a request other than a suspect.  Return false if no
   endpoint has a free slot or no team waits.  */
static bool
grant_one (struct ms_dispatch *dispatch, struct cell_state *state,
           const struct ms_cell *cell, const struct ms_service *service,
           ms_time now)
{
  /* Scratch space, filled anew by each call; each thread has its own.  */
  static _Thread_local struct waiting_teams waiting;
  struct service_accounts *accounts
      = ms_dispatch_accounts (dispatch, state->service, now);
  struct endpoint_state *ep = choose_endpoint (dispatch, state, cell,
                                               service->placement, false, now);
  const struct ms_policy *policy = ms_policy (
      ms_config_trial_cell (service, cell->index) ? service->trial->policy
                                                  : service->policy);
  struct demand *demand;
  size_t pick;

  if (!ep)
    return false;
  gather_candidates (dispatch, state, &waiting, now);
  if (!waiting.count)
    return false;
  for (size_t i = 0; i < waiting.count; i++)
    ms_fair_note_waiting (accounts->fair, waiting.candidates[i].team, now);
  pick = policy->pick (accounts->fair, waiting.candidates, waiting.count);
  demand = oldest_demand (dispatch, state, waiting.candidates[pick].team, now);
  issue_grant (dispatch, state, demand, ep, choose_lane (state, demand), now);
  return true;
}

void
ms_grant_slots (struct ms_dispatch *dispatch, struct cell_state *state,
                ms_time now)
{
  const struct ms_cell *cell = ms_view_cell (dispatch->view, state->id);
  const struct ms_service *service
      = cell ? ms_config_service (dispatch->view->config, cell->service)
             : NULL;

  if (!service || !cell->endpoints_count || dispatch->stopped)
    return;
  grant_suspect (dispatch, state, cell, service, now);
  while (grant_one (dispatch, state, cell, service, now))
    continue;
}

#include "base/alloc.h"
#include "dispatch/internal.h"

/* Every so many grants of a team, a waiting long request goes first.  */
#define LONG_TURN 4

/* The teams of one cell that wait, gathered for one choice.  */
#define MAX_CANDIDATES 1024

struct choice
{
  struct ms_candidate candidates[MAX_CANDIDATES];
  size_t count;
};

static uint32_t
unmet (const struct demand *demand)
{
  uint32_t total = 0;

  for (int lane = 0; lane < MS_LANES; lane++)
    total += demand->waiting[lane];
  return total > demand->pending ? total - demand->pending : 0;
}

/* Whether DEMAND is CELL's and in force, and a request of it waits that is to
   run ALONE, or else one that is not.  */
static bool
wants (const struct demand *demand, const struct held_cell *cell, bool alone,
       ms_time now)
{
  if (demand->key.cell != cell->id || !unmet (demand)
      || now - demand->received_at > DEMAND_LIFETIME)
    return false;
  if (alone)
    return demand->waiting[MS_LANE_ALONE];
  return demand->waiting[MS_LANE_INTERACTIVE] || demand->waiting[MS_LANE_LONG];
}

static void
add_candidate (struct choice *choice, const struct demand *demand)
{
  for (size_t i = 0; i < choice->count; i++)
    if (choice->candidates[i].team == demand->key.team)
      {
        if (demand->since < choice->candidates[i].since)
          choice->candidates[i].since = demand->since;
        return;
      }
  if (choice->count < MAX_CANDIDATES)
    choice->candidates[choice->count++]
        = (struct ms_candidate){ demand->key.team, demand->since };
}

static void
gather (struct ms_dispatch *dispatch, const struct held_cell *cell,
        struct choice *choice, ms_time now)
{
  choice->count = 0;
  for (struct demand *d = dispatch->demands; d; d = d->hh.next)
    if (wants (d, cell, false, now))
      add_candidate (choice, d);
}

/* Of the routers where TEAM waits, the one that has waited longest for a
   grant.  */
static struct demand *
oldest_demand (struct ms_dispatch *dispatch, const struct held_cell *cell,
               uint64_t team, ms_time now)
{
  struct demand *best = NULL;

  for (struct demand *d = dispatch->demands; d; d = d->hh.next)
    if (d->key.team == team && wants (d, cell, false, now)
        && (!best || d->since < best->since))
      best = d;
  return best;
}

static enum ms_lane
choose_lane (const struct held_cell *cell, const struct demand *demand)
{
  bool turn = cell->interactive_run >= LONG_TURN;

  if (demand->waiting[MS_LANE_LONG]
      && (turn || !demand->waiting[MS_LANE_INTERACTIVE]))
    return MS_LANE_LONG;
  return MS_LANE_INTERACTIVE;
}

/* A suspect needs an endpoint that nothing runs on.  */
static bool
is_empty (const struct slot_state *slot)
{
  return !slot->granted && !slot->foreign;
}

static struct slot_state *
least_loaded (struct slot_state *a, uint32_t free_a, struct slot_state *b,
              uint32_t free_b)
{
  uint64_t load_a = (uint64_t)a->granted * (b->granted + free_b);
  uint64_t load_b = (uint64_t)b->granted * (a->granted + free_a);

  return load_b < load_a || (load_b == load_a && free_b > free_a) ? b : a;
}

/* The endpoint with the least part of its limit in use, or of two chosen by
   chance; NULL if none has room.  One that is kept for a suspect counts only
   for that, once it is empty.  */
static struct slot_state *
choose_slot (struct ms_dispatch *dispatch, const struct held_cell *held,
             const struct ms_cell *cell, enum ms_placement_name placement,
             bool alone, ms_time now)
{
  struct slot_state *best = NULL;
  uint32_t best_room = 0;
  unsigned count = cell->endpoints_count;
  unsigned start = (unsigned)ms_random_below (dispatch->random, count);
  unsigned seen = 0;

  for (unsigned i = 0; i < count; i++)
    {
      struct slot_state *slot = ms_dispatch_slot (
          dispatch, cell->endpoints[(start + i) % count]->id);
      uint32_t room = slot ? ms_occupancy_free (dispatch, slot, now) : 0;

      if (!room || (alone && !is_empty (slot))
          || (!alone && slot->endpoint == held->kept_for_suspect))
        continue;
      best = best ? least_loaded (best, best_room, slot, room) : slot;
      best_room = best == slot ? room : best_room;
      if (++seen == 2 && placement == MS_PLACE_TWO_CHOICES)
        break;
    }
  return best;
}

void
ms_grant_send (struct ms_dispatch *dispatch, struct grant *grant, ms_time now)
{
  const struct slot_state *slot = ms_dispatch_slot (dispatch, grant->endpoint);
  peer_message message = { .body = { .kind = PEER_GRANT } };

  message.body.peer_body_u.grant
      = (peer_grant){ .grant = grant->id,
                      .cell = grant->cell,
                      .team = grant->team,
                      .endpoint = grant->endpoint,
                      .lane = grant->lane,
                      .warm = slot && slot->limit.is_warm,
                      .start_id = slot ? slot->start_id : 0,
                      .echo = grant->echo };
  grant->next_send = now + GRANT_RESEND;
  ms_view_send (dispatch->view, dispatch->sink, grant->entry, &message);
}

static void
issue (struct ms_dispatch *dispatch, struct held_cell *cell,
       struct demand *demand, struct slot_state *slot, enum ms_lane lane,
       ms_time now)
{
  struct team_service *service
      = ms_dispatch_service (dispatch, cell->service, now);
  struct grant *grant = ms_new (sizeof *grant);

  grant->id = ms_id_pair (
      ms_id_pair (dispatch->view->self, dispatch->view->incarnation),
      ++dispatch->grant_sequence);
  grant->entry = demand->key.entry;
  grant->entry_incarnation = demand->entry_incarnation;
  grant->team = demand->key.team;
  grant->endpoint = slot->endpoint;
  grant->cell = cell->id;
  grant->service = cell->service;
  grant->lane = lane;
  grant->issued_at = now;
  grant->heard_at = now;
  grant->echo = demand->echo;
  grant->lapses_at = demand->received_at + MS_GRANT_LIFETIME;
  grant->charged = ms_fair_estimate (service->fair, grant->team, demand->hint);
  ms_fair_charge (service->fair, grant->team, grant->charged);
  HASH_ADD (hh, dispatch->grants, id, sizeof grant->id, grant);
  slot->granted++;
  slot->exclusive = lane == MS_LANE_ALONE;
  demand->pending++;
  demand->since = now;
  if (lane == MS_LANE_LONG)
    cell->interactive_run = 0;
  else
    cell->interactive_run++;
  ms_grant_send (dispatch, grant, now);
}

static struct demand *
oldest_suspect (struct ms_dispatch *dispatch, const struct held_cell *held,
                ms_time now)
{
  struct demand *best = NULL;

  for (struct demand *d = dispatch->demands; d; d = d->hh.next)
    if (wants (d, held, true, now) && (!best || d->since < best->since))
      best = d;
  return best;
}

/* The endpoint of CELL that will be empty soonest, by what runs on it.  */
static uint64_t
least_granted (struct ms_dispatch *dispatch, const struct ms_cell *cell)
{
  const struct slot_state *best = NULL;

  for (unsigned i = 0; i < cell->endpoints_count; i++)
    {
      const struct slot_state *slot
          = ms_dispatch_slot (dispatch, cell->endpoints[i]->id);

      if (slot && slot->usable && !slot->exclusive
          && (!best || slot->granted < best->granted))
        best = slot;
    }
  return best ? best->endpoint : 0;
}

/* Give a waiting suspect an endpoint of its own, or keep one free of new
   work until it is empty: under load none would ever be.  */
static void
grant_suspect (struct ms_dispatch *dispatch, struct held_cell *held,
               const struct ms_cell *cell, const struct ms_service *service,
               ms_time now)
{
  struct demand *demand = oldest_suspect (dispatch, held, now);
  struct slot_state *slot;

  if (!demand)
    {
      held->kept_for_suspect = 0;
      return;
    }
  slot = choose_slot (dispatch, held, cell, service->placement, true, now);
  if (slot)
    {
      held->kept_for_suspect = 0;
      issue (dispatch, held, demand, slot, MS_LANE_ALONE, now);
    }
  else if (!held->kept_for_suspect)
    held->kept_for_suspect = least_granted (dispatch, cell);
}

static bool
grant_one (struct ms_dispatch *dispatch, struct held_cell *held,
           const struct ms_cell *cell, const struct ms_service *service,
           ms_time now)
{
  static _Thread_local struct choice choice;
  struct team_service *shared
      = ms_dispatch_service (dispatch, held->service, now);
  struct slot_state *slot
      = choose_slot (dispatch, held, cell, service->placement, false, now);
  const struct ms_policy *policy = ms_policy (
      ms_config_trial_cell (service, cell->index) ? service->trial->policy
                                                  : service->policy);
  struct demand *demand;
  size_t pick;

  if (!slot)
    return false;
  gather (dispatch, held, &choice, now);
  if (!choice.count)
    return false;
  for (size_t i = 0; i < choice.count; i++)
    ms_fair_waiting (shared->fair, choice.candidates[i].team, now);
  pick = policy->pick (shared->fair, choice.candidates, choice.count);
  demand = oldest_demand (dispatch, held, choice.candidates[pick].team, now);
  issue (dispatch, held, demand, slot, choose_lane (held, demand), now);
  return true;
}

void
ms_grant_slots (struct ms_dispatch *dispatch, struct held_cell *held,
                ms_time now)
{
  const struct ms_cell *cell = ms_view_cell (dispatch->view, held->id);
  const struct ms_service *service
      = cell ? ms_config_service (dispatch->view->config, cell->service)
             : NULL;

  if (!service || !cell->endpoints_count || dispatch->stopped)
    return;
  grant_suspect (dispatch, held, cell, service, now);
  while (grant_one (dispatch, held, cell, service, now))
    continue;
}

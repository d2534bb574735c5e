#include "base/switches.h"
#include "dispatch/internal.h"

/* A stale dispatcher that ran nothing on a cold endpoint for this long gives
   up its part of it.  */
#define CLAIM_IDLE (5 * MS_SEC)

/* A successor takes that part once reports showed no other's request for
   this long.  */
#define QUIET_PROOF (20 * MS_SEC)

/* A stand-in takes half of a warm endpoint for so long.  */
#define STAND_IN_PROOF (5 * MS_SEC)

void
ms_occupancy_distrust (struct slot_state *slot, ms_time now)
{
  slot->foreign = ms_enabled (MS_DISTRUST) ? UNBOUNDED : 0;
  slot->distrusted_at = now;
  slot->quiet_since = MS_NEVER;
  slot->report.known = false;
  slot->lapsed = false;
}

/* What a stale dispatcher entitled to SHARE of a cold LIMIT goes on using.  */
static uint32_t
stale_share (uint32_t limit, uint32_t share)
{
  if (limit == 1)
    return share;
  return share / 2;
}

/* What predecessors may still use of a cold LIMIT, each after the other.  */
static uint32_t
reserved (const struct ms_cell *cell, uint32_t limit)
{
  uint32_t left = limit;

  if (!ms_enabled (MS_RESERVE))
    return 0;
  for (unsigned i = 0; i < cell->predecessors_count; i++)
    left -= stale_share (limit, left);
  return limit - left;
}

static bool
proved_quiet (const struct slot_state *slot, const struct ms_service *service,
              ms_time now)
{
  ms_time needed = QUIET_PROOF + (ms_time)service->report_lag_ms * MS_MSEC;

  return slot->quiet_since != MS_NEVER && now - slot->quiet_since > needed;
}

static void
note_lapse (struct ms_dispatch *dispatch, struct slot_state *slot, ms_time now)
{
  const struct ms_view *view = dispatch->view;

  if (!ms_view_stale (view, now))
    {
      slot->lapsed = false;
      return;
    }
  if (slot->granted || now - slot->idle_since < CLAIM_IDLE)
    return;
  if (ms_view_count_stale_members (view, now) + 1 < view->members_count)
    slot->lapsed = true;
}

/* Every foreign request has ended by its longest run time.  */
static void
bound_by_time (struct slot_state *slot, const struct ms_service *service,
               ms_time now)
{
  ms_time longest = (ms_time)service->max_run_ms * MS_MSEC;

  if (slot->foreign && now - slot->distrusted_at > MS_TAKEOVER_DELAY + longest)
    slot->foreign = 0;
}

static uint32_t
cold_room (struct ms_dispatch *dispatch, struct slot_state *slot,
           const struct ms_cell *cell, const struct ms_service *service,
           ms_time now)
{
  uint32_t limit = slot->limit.current;
  uint32_t reserve = reserved (cell, limit);
  uint32_t share;
  uint32_t others;

  if (!ms_view_holds (dispatch->view, cell) || slot->foreign == UNBOUNDED)
    return 0;
  if (ms_enabled (MS_RESERVE) && cell->predecessors_count
      && now - cell->holder_changed_at < MS_TAKEOVER_DELAY)
    return 0;
  if (proved_quiet (slot, service, now))
    reserve = 0;
  share = limit - reserve;
  if (ms_enabled (MS_STALE_SHARE) && ms_view_stale (dispatch->view, now))
    share = slot->lapsed ? 0 : stale_share (limit, share);
  others = slot->foreign > reserve ? slot->foreign : reserve;
  if (slot->granted >= share || slot->granted + others >= limit)
    return 0;
  if (share - slot->granted < limit - slot->granted - others)
    return share - slot->granted;
  return limit - slot->granted - others;
}

static uint32_t
warm_room (const struct slot_state *slot, uint32_t limit)
{
  uint32_t foreign = slot->foreign == UNBOUNDED ? 0 : slot->foreign;

  if (slot->granted + foreign >= limit)
    return 0;
  return limit - slot->granted - foreign;
}

/* Whether a stand-in has had the endpoint for a while and the endpoint
   reports no more than the stand-in granted.  */
static bool
seems_alone (struct ms_dispatch *dispatch, const struct slot_state *slot,
             ms_time now)
{
  const struct held_cell *held = ms_dispatch_cell (dispatch, slot->cell);

  return held && now - held->acquired_at > STAND_IN_PROOF
         && slot->report.running <= slot->granted + 1;
}

/* A stand-in has only what grants said of the endpoint to go by.  */
static uint32_t
stand_in_room (struct ms_dispatch *dispatch, const struct slot_state *slot,
               ms_time now)
{
  const struct ms_endpoint *endpoint
      = ms_view_endpoint (dispatch->view, slot->endpoint);

  if (!endpoint || now - endpoint->last_warm_grant_at > MS_WARM_MEMORY)
    return 0;
  if (!slot->report.known || slot->start_id != endpoint->warm_start_id)
    return 0;
  return warm_room (slot, seems_alone (dispatch, slot, now)
                              ? slot->limit.warm
                              : slot->limit.warm / 2);
}

uint32_t
ms_occupancy_free (struct ms_dispatch *dispatch, struct slot_state *slot,
                   ms_time now)
{
  struct ms_view *view = dispatch->view;
  struct ms_cell *cell = ms_view_cell (view, slot->cell);
  const struct ms_endpoint *endpoint = ms_view_endpoint (view, slot->endpoint);
  const struct ms_service *service;

  if (!cell || !endpoint || slot->exclusive || dispatch->stopped)
    return 0;
  if (!ms_view_usable (view, endpoint))
    return 0;
  if (slot->refusals && (slot->granted || now < slot->closed_until))
    return 0;
  service = ms_config_service (view->config, cell->service);
  ms_view_prune_predecessors (view, cell);
  note_lapse (dispatch, slot, now);
  bound_by_time (slot, service, now);
  if (!ms_view_holds (view, cell))
    return stand_in_room (dispatch, slot, now);
  if (!slot->limit.is_warm)
    return cold_room (dispatch, slot, cell, service, now);
  return warm_room (slot,
                    slot->confirmed ? slot->limit.current : slot->limit.cold);
}

/* Requests of this router's ledger that certainly ran on SLOT when REPORT was
   made: started before it could be made and not ended by now.  */
static unsigned
certainly_ran (struct ms_dispatch *dispatch, const struct slot_state *slot,
               ms_time before)
{
  unsigned count = 0;

  for (const struct grant *g = dispatch->grants; g; g = g->hh.next)
    if (g->endpoint == slot->endpoint && g->state == GRANT_STARTED
        && g->started_at < before)
      count++;
  return count;
}

/* Bound foreign requests by the report before this one, now that the ends of
   what ran at its time have arrived.  Their number only falls: whoever else
   dispatched starts nothing more but within the reserve.  */
static void
weigh_report (struct ms_dispatch *dispatch, struct slot_state *slot,
              ms_time lag, ms_time now)
{
  ms_time made_after = slot->report.received_at - lag;
  unsigned mine;
  unsigned others;

  if (made_after < slot->distrusted_at
      || now - slot->report.received_at < TRANSIT_MARGIN)
    return;
  mine = certainly_ran (dispatch, slot, made_after);
  others = slot->report.running > mine ? slot->report.running - mine : 0;
  if (others < slot->foreign)
    slot->foreign = others;
  if (others)
    slot->quiet_since = MS_NEVER;
  else if (slot->quiet_since == MS_NEVER)
    slot->quiet_since = slot->report.received_at;
}

/* Whether another dispatcher may have requests on the endpoint.  Where none
   can, the ledger is exact and reports add nothing.  */
static bool
others_possible (struct ms_dispatch *dispatch, const struct slot_state *slot)
{
  struct ms_cell *cell = ms_view_cell (dispatch->view, slot->cell);

  if (!cell)
    return true;
  ms_view_prune_predecessors (dispatch->view, cell);
  return cell->predecessors_count || slot->foreign;
}

void
ms_dispatch_load (struct ms_dispatch *dispatch, uint64_t endpoint,
                  uint64_t start_id, unsigned running, ms_time now)
{
  struct slot_state *slot = ms_dispatch_slot (dispatch, endpoint);
  const struct ms_cell *cell;
  const struct ms_service *service;
  struct held_cell *held;

  if (!slot || !dispatch->view->config)
    return;
  cell = ms_view_cell (dispatch->view, slot->cell);
  if (!cell)
    return;
  service = ms_config_service (dispatch->view->config, cell->service);
  if (slot->start_id && start_id != slot->start_id)
    {
      ms_limit_chill (&slot->limit, now);
      if (others_possible (dispatch, slot))
        ms_occupancy_distrust (slot, now);
    }
  if (start_id == slot->start_id
      && ms_ledger_ran_since (dispatch, slot,
                              now - (ms_time)service->report_lag_ms * MS_MSEC))
    slot->confirmed = true;
  slot->start_id = start_id;
  slot->refusals = 0;

  if (slot->report.known && others_possible (dispatch, slot))
    weigh_report (dispatch, slot, (ms_time)service->report_lag_ms * MS_MSEC,
                  now);
  if (!slot->report.known || now - slot->report.received_at >= TRANSIT_MARGIN)
    slot->report = (struct report){ true, running, now };
  held = ms_dispatch_cell (dispatch, slot->cell);
  if (held && held->held)
    ms_grant_slots (dispatch, held, now);
}

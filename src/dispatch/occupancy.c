#include "base/switches.h"
#include "dispatch/internal.h"

/* This file decides how many more requests may start on an endpoint.  The
   difficulty is that more than one router may dispatch the same endpoint for
   a while: a stale one, which cannot read the log, may have been replaced
   without knowing it.  A cold endpoint must not get more than its cold limit
   from all of them together.  So a stale dispatcher uses only a share of the
   limit, and its successor leaves that share to it until the predecessor is
   known to have learned of its replacement, or load reports prove that it no
   longer uses the share.  */

/* A stale dispatcher gives up its share of a cold endpoint that it has not
   used for this long.  */
#define GIVE_UP_AFTER_IDLE (5 * MS_SEC)

/* A successor uses the share of its predecessors too, once load reports have
   shown no foreign request for this long.  This is longer than
   GIVE_UP_AFTER_IDLE, so that the predecessor has given up its share.  */
#define NO_FOREIGN_TIME (20 * MS_SEC)

/* A stand-in uses only half of the limit of a warm endpoint until it has
   dispatched the cell for this long, and later too while the endpoint reports
   more than one request beyond the stand-in's own grants.  */
#define HALF_LIMIT_TIME (5 * MS_SEC)

void
ms_occupancy_reset_foreign (struct endpoint_state *ep, ms_time now)
{
  ep->foreign_bound = ms_enabled (MS_DISTRUST) ? NO_BOUND : 0;
  ep->foreign_raised_at = now;
  ep->no_foreign_since = MS_NEVER;
  ep->report.known = false;
  ep->share_given_up = false;
}

/* The part of its SHARE, in slots, that a dispatcher still uses once it is
   stale: half of it, or all if the cold limit LIMIT is 1, as half would be
   none.  */
static uint32_t
stale_share (uint32_t limit, uint32_t share)
{
  if (limit == 1)
    return share;
  return share / 2;
}

/* Slots of the cold limit LIMIT that the predecessors in CELL may still use.
   Each one takes its share of what those before it left.  */
static uint32_t
predecessors_share (const struct ms_cell *cell, uint32_t limit)
{
  uint32_t left = limit;

  if (!ms_enabled (MS_RESERVE))
    return 0;
  for (unsigned i = 0; i < cell->predecessors_count; i++)
    left -= stale_share (limit, left);
  return limit - left;
}

/* Whether load reports have shown no foreign request for NO_FOREIGN_TIME.  The
   service's report lag is added, as the newest report may be that old.  */
static bool
proved_no_foreign (const struct endpoint_state *ep,
                   const struct ms_service *service, ms_time now)
{
  ms_time needed = NO_FOREIGN_TIME + (ms_time)service->report_lag_ms * MS_MSEC;

  return ep->no_foreign_since != MS_NEVER
         && now - ep->no_foreign_since > needed;
}

/* Decide whether this router, while stale, gives up its share of EP.  It keeps
   the share while all other members are stale too, as then none can have
   replaced it.  */
static void
update_given_up (struct ms_dispatch *dispatch, struct endpoint_state *ep,
                 ms_time now)
{
  const struct ms_view *view = dispatch->view;

  if (!ms_view_stale (view, now))
    {
      ep->share_given_up = false;
      return;
    }
  if (ep->granted || now - ep->idle_since < GIVE_UP_AFTER_IDLE)
    return;
  if (ms_view_count_stale_members (view, now) + 1 < view->members_count)
    ep->share_given_up = true;
}

/* Set the bound of foreign requests to 0 when the last of them must have
   ended: after MS_TAKEOVER_DELAY, a replaced dispatcher starts none on a cold
   endpoint beyond its reserved share, for which free_on_cold leaves slots, and
   none runs longer than the service's longest run time.  */
static void
expire_foreign (struct endpoint_state *ep, const struct ms_service *service,
                ms_time now)
{
  ms_time longest = (ms_time)service->max_run_ms * MS_MSEC;

  if (ep->foreign_bound
      && now - ep->foreign_raised_at > MS_TAKEOVER_DELAY + longest)
    ep->foreign_bound = 0;
}

/* Free slots of a cold endpoint in CELL, which this router holds: for a
   stand-in, ms_occupancy_free calls free_for_stand_in instead.  There are none
   while foreign requests have no known bound.  */
static uint32_t
free_on_cold (struct ms_dispatch *dispatch, struct endpoint_state *ep,
              const struct ms_cell *cell, const struct ms_service *service,
              ms_time now)
{
  uint32_t limit = ep->limit.current;
  uint32_t reserved = predecessors_share (cell, limit);
  uint32_t share;  /* Slots that this router may use.  */
  uint32_t others; /* Slots that other routers use or may use: the bound of
                      foreign requests or the reserved slots, whichever is
                      larger, as a predecessor counts its running requests
                      towards its share.  */

  if (!ms_view_holds (dispatch->view, cell) || ep->foreign_bound == NO_BOUND)
    return 0;
  /* Until MS_TAKEOVER_DELAY after the move, a predecessor that isn't stale yet
     may still use more than predecessors_share reserves for it.  */
  if (ms_enabled (MS_RESERVE) && cell->predecessors_count
      && now - cell->holder_changed_at < MS_TAKEOVER_DELAY)
    return 0;
  if (proved_no_foreign (ep, service, now))
    reserved = 0;
  share = limit - reserved;
  if (ms_enabled (MS_STALE_SHARE) && ms_view_stale (dispatch->view, now))
    share = ep->share_given_up ? 0 : stale_share (limit, share);
  others = ep->foreign_bound > reserved ? ep->foreign_bound : reserved;
  if (ep->granted >= share || ep->granted + others >= limit)
    return 0;
  if (share - ep->granted < limit - ep->granted - others)
    return share - ep->granted;
  return limit - ep->granted - others;
}

/* Free slots of a warm endpoint that may run LIMIT requests at once.  Foreign
   requests count only when they have a known bound.  */
static uint32_t
free_on_warm (const struct endpoint_state *ep, uint32_t limit)
{
  uint32_t foreign = ep->foreign_bound == NO_BOUND ? 0 : ep->foreign_bound;

  if (ep->granted + foreign >= limit)
    return 0;
  return limit - ep->granted - foreign;
}

/* Whether this stand-in seems to be the only dispatcher of EP: it has
   dispatched the cell for HALF_LIMIT_TIME, and the endpoint reported at most
   one request more than this router's ledger has for it.  */
static bool
appears_sole_user (struct ms_dispatch *dispatch,
                   const struct endpoint_state *ep, ms_time now)
{
  const struct cell_state *state = ms_dispatch_cell (dispatch, ep->cell);

  return state && now - state->acquired_at > HALF_LIMIT_TIME
         && ep->report.running <= ep->granted + 1;
}

/* Free slots of an endpoint for which this router stands in.  There are none
   unless a grant that this router used within WARM_SEEN_LIFETIME said that the
   endpoint is warm, and by its load reports the endpoint's process is still
   the one that the grant named.  */
static uint32_t
free_for_stand_in (struct ms_dispatch *dispatch,
                   const struct endpoint_state *ep, ms_time now)
{
  const struct ms_endpoint *endpoint
      = ms_view_endpoint (dispatch->view, ep->id);

  if (!endpoint || now - endpoint->last_warm_grant_at > WARM_SEEN_LIFETIME)
    return 0;
  if (!ep->report.known || ep->start_id != endpoint->warm_start_id)
    return 0;
  return free_on_warm (ep, appears_sole_user (dispatch, ep, now)
                               ? ep->limit.warm
                               : ep->limit.warm / 2);
}

uint32_t
ms_occupancy_free (struct ms_dispatch *dispatch, struct endpoint_state *ep,
                   ms_time now)
{
  struct ms_view *view = dispatch->view;
  struct ms_cell *cell = ms_view_cell (view, ep->cell);
  const struct ms_endpoint *endpoint = ms_view_endpoint (view, ep->id);
  const struct ms_service *service;

  if (!cell || !endpoint || ep->runs_suspect || dispatch->stopped)
    return 0;
  if (!ms_view_usable (view, endpoint))
    return 0;
  if (ep->connect_failures && (ep->granted || now < ep->blocked_until))
    return 0;
  service = ms_config_service (view->config, cell->service);
  ms_view_prune_predecessors (view, cell);
  update_given_up (dispatch, ep, now);
  expire_foreign (ep, service, now);
  if (!ms_view_holds (view, cell))
    return free_for_stand_in (dispatch, ep, now);
  if (!ep->limit.is_warm)
    return free_on_cold (dispatch, ep, cell, service, now);
  return free_on_warm (ep, ep->warm_confirmed ? ep->limit.current
                                              : ep->limit.cold);
}

/* Number of grants for EP in the ledger that became GRANT_STARTED before
   CUTOFF.  */
static unsigned
count_started_before (struct ms_dispatch *dispatch,
                      const struct endpoint_state *ep, ms_time cutoff)
{
  unsigned count = 0;

  for (const struct grant *g = dispatch->grants; g; g = g->hh.next)
    if (g->endpoint == ep->id && g->state == GRANT_STARTED
        && g->started_at < cutoff)
      count++;
  return count;
}

/* Bound the foreign requests on EP by its stored load report, which was made
   at most LAG before it arrived.  This is done MAX_DONE_DELAY later at the
   earliest, when the done messages of requests that ended before the report
   have arrived.  What the report counts beyond the requests of this router's
   ledger is foreign.  A report lowers the bound but never raises it:
   predecessors start no more requests except within their reserved share.  */
static void
apply_report (struct ms_dispatch *dispatch, struct endpoint_state *ep,
              ms_time lag, ms_time now)
{
  ms_time made_after = ep->report.received_at - lag;
  unsigned mine;
  unsigned foreign;

  if (made_after < ep->foreign_raised_at
      || now - ep->report.received_at < MAX_DONE_DELAY)
    return;
  mine = count_started_before (dispatch, ep, made_after);
  foreign = ep->report.running > mine ? ep->report.running - mine : 0;
  if (foreign < ep->foreign_bound)
    ep->foreign_bound = foreign;
  if (foreign)
    ep->no_foreign_since = MS_NEVER;
  else if (ep->no_foreign_since == MS_NEVER)
    ep->no_foreign_since = ep->report.received_at;
}

/* Whether foreign requests may run on EP.  If none can, the ledger is exact
   and load reports add nothing to it.  */
static bool
foreign_possible (struct ms_dispatch *dispatch,
                  const struct endpoint_state *ep)
{
  struct ms_cell *cell = ms_view_cell (dispatch->view, ep->cell);

  if (!cell)
    return true;
  ms_view_prune_predecessors (dispatch->view, cell);
  return cell->predecessors_count || ep->foreign_bound;
}

void
ms_dispatch_load_report (struct ms_dispatch *dispatch, uint64_t endpoint,
                         uint64_t start_id, unsigned running, ms_time now)
{
  struct endpoint_state *ep = ms_dispatch_endpoint (dispatch, endpoint);
  const struct ms_cell *cell;
  const struct ms_service *service;
  struct cell_state *state;

  if (!ep || !dispatch->view->config)
    return;
  cell = ms_view_cell (dispatch->view, ep->cell);
  if (!cell)
    return;
  service = ms_config_service (dispatch->view->config, cell->service);
  if (ep->start_id && start_id != ep->start_id)
    {
      ms_limit_set_cold (&ep->limit, now);
      /* The bound was that of the old process; how many foreign requests the
         new one runs is not known.  */
      if (foreign_possible (dispatch, ep))
        ms_occupancy_reset_foreign (ep, now);
    }
  if (start_id == ep->start_id
      && ms_ledger_ran_at (dispatch, ep,
                           now - (ms_time)service->report_lag_ms * MS_MSEC))
    ep->warm_confirmed = true;
  ep->start_id = start_id;
  ep->connect_failures = 0;

  if (ep->report.known && foreign_possible (dispatch, ep))
    apply_report (dispatch, ep, (ms_time)service->report_lag_ms * MS_MSEC,
                  now);
  /* A stored report that is too young to be applied yet is kept, and this one
     is not stored.  */
  if (!ep->report.known || now - ep->report.received_at >= MAX_DONE_DELAY)
    ep->report = (struct load_report){ true, running, now };
  state = ms_dispatch_cell (dispatch, ep->cell);
  if (state && state->active)
    ms_grant_slots (dispatch, state, now);
}

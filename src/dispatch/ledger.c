#include <stdlib.h>

#include "dispatch/internal.h"

/* A pending grant stays in the ledger for this long after it expired, in case
   a reply is late.  */
#define LATE_REPLY_TIME (1 * MS_SEC)

static struct grant *
find_grant (struct ms_dispatch *dispatch, uint64_t id)
{
  struct grant *grant;

  HASH_FIND (hh, dispatch->grants, &id, sizeof id, grant);
  return grant;
}

static struct demand *
demand_of (struct ms_dispatch *dispatch, const struct grant *grant)
{
  struct demand_key key = { grant->cell, grant->entry, grant->team };
  struct demand *demand;

  HASH_FIND (hh, dispatch->demands, &key, sizeof key, demand);
  return demand;
}

/* Stop counting GRANT as pending in its demand.  */
static void
clear_pending (struct ms_dispatch *dispatch, const struct grant *grant)
{
  struct demand *demand = demand_of (dispatch, grant);

  if (grant->state == GRANT_PENDING && demand && demand->pending_grants)
    demand->pending_grants--;
}

bool
ms_ledger_ran_at (struct ms_dispatch *dispatch,
                  const struct endpoint_state *ep, ms_time at)
{
  for (const struct grant *g = dispatch->grants; g; g = g->hh.next)
    if (g->endpoint == ep->id && g->state == GRANT_STARTED
        && g->started_at + MAX_START_DELAY < at
        && g->last_heard + MAX_RUNNING_LIST_GAP > at)
      return true;
  return false;
}

void
ms_ledger_close (struct ms_dispatch *dispatch, struct grant *grant,
                 uint32_t cost, ms_time now)
{
  struct service_accounts *accounts
      = ms_dispatch_accounts (dispatch, grant->service, now);
  struct endpoint_state *ep = ms_dispatch_endpoint (dispatch, grant->endpoint);

  clear_pending (dispatch, grant);
  HASH_DEL (dispatch->grants, grant);
  ms_fair_charge (accounts->fair, grant->team,
                  (int64_t)cost - grant->charged_cost);
  if (ep && ep->granted)
    {
      ep->granted--;
      ep->idle_since = now;
      if (!ms_ledger_ran_at (dispatch, ep, now))
        ep->warm_confirmed = false;
      if (grant->lane == MS_LANE_SUSPECT)
        ep->runs_suspect = false;
    }
  free (grant);
}

/* Grant a slot that became free in cell CELL_ID, or if the cell has moved,
   tell its successor.  */
static void
reuse_freed_slot (struct ms_dispatch *dispatch, uint64_t cell_id, ms_time now)
{
  struct cell_state *state = ms_dispatch_cell (dispatch, cell_id);

  if (!state)
    return;
  if (state->active)
    ms_grant_slots (dispatch, state, now);
  else
    ms_handover_send (dispatch, state, now);
}

void
ms_ledger_receive_reply (struct ms_dispatch *dispatch,
                         const peer_message *message, ms_time now)
{
  const peer_grant_reply *reply = &message->body.peer_body_u.reply;
  struct grant *grant = find_grant (dispatch, reply->grant);
  struct demand *demand;
  uint64_t cell;

  if (!grant || grant->entry != message->from || grant->state != GRANT_PENDING)
    return;
  demand = demand_of (dispatch, grant);
  if (reply->accepted)
    {
      clear_pending (dispatch, grant);
      grant->state = GRANT_STARTED;
      grant->started_at = now;
      grant->last_heard = now;
      if (demand && demand->waiting[grant->lane])
        demand->waiting[grant->lane]--;
      return;
    }
  /* Declined: the entry gets no more grants for this cell, team and lane until
     its next demand message.  */
  if (demand)
    demand->waiting[grant->lane] = 0;
  cell = grant->cell;
  ms_ledger_close (dispatch, grant, 0, now);
  reuse_freed_slot (dispatch, cell, now);
}

/* Withhold grants from EP after a failed connection, for a time that doubles
   with each further failure in a row.  */
static void
delay_reconnect (struct endpoint_state *ep, ms_time now)
{
  unsigned doublings = ep->connect_failures < MAX_RECONNECT_DOUBLINGS
                           ? ep->connect_failures
                           : MAX_RECONNECT_DOUBLINGS;

  ep->connect_failures++;
  ep->blocked_until = now + (RECONNECT_DELAY << doublings);
}

/* Adapt the endpoint's limit and the team's mean cost to how a request ended.
   A broken connection is a sign that the endpoint may have restarted.  */
static void
apply_result (struct ms_dispatch *dispatch, const struct grant *grant,
              const peer_done *done, ms_time now)
{
  struct endpoint_state *ep = ms_dispatch_endpoint (dispatch, grant->endpoint);
  struct service_accounts *accounts
      = ms_dispatch_accounts (dispatch, grant->service, now);
  const struct ms_service *service
      = ms_config_service (dispatch->view->config, grant->service);

  if (!ep || !service)
    return;
  switch (done->result)
    {
    case MS_RESULT_OK:
      ep->connect_failures = 0;
      ms_fair_learn (accounts->fair, grant->team, done->cost);
      if (ms_limit_success (&ep->limit, done->cost, done->duration,
                            service->unit_us, now))
        ep->warm_confirmed = true;
      break;
    case MS_RESULT_OVERLOADED:
      ms_limit_overload (&ep->limit, now);
      break;
    case MS_RESULT_CONNECT_FAILED:
      ms_limit_set_cold (&ep->limit, now);
      delay_reconnect (ep, now);
      break;
    case MS_RESULT_RESET:
      ms_limit_set_cold (&ep->limit, now);
      break;
    default:
      break;
    }
}

void
ms_ledger_receive_done (struct ms_dispatch *dispatch,
                        const peer_message *message, ms_time now)
{
  const peer_done *done = &message->body.peer_body_u.done;
  struct grant *grant = find_grant (dispatch, done->grant);
  uint64_t cell;

  if (!grant || grant->entry != message->from || !dispatch->view->config)
    return;
  apply_result (dispatch, grant, done, now);
  cell = grant->cell;
  ms_ledger_close (dispatch, grant, done->cost, now);
  reuse_freed_slot (dispatch, cell, now);
}

/* Charge the team for what a running request has used beyond what was charged
   so far, which was its estimated cost at first.  COST is what it has used in
   all.  */
static void
charge_progress (struct ms_dispatch *dispatch, struct grant *grant,
                 uint32_t cost, ms_time now)
{
  struct service_accounts *accounts
      = ms_dispatch_accounts (dispatch, grant->service, now);

  if (cost <= grant->charged_cost)
    return;
  ms_fair_charge (accounts->fair, grant->team, cost - grant->charged_cost);
  grant->charged_cost = cost;
}

/* Check the pace of a running request, which has used COST in all: slowing
   down is the first sign of a cold start.  Requests without a reported cost
   are ignored.  */
static void
check_pace (struct ms_dispatch *dispatch, struct grant *grant, uint32_t cost,
            ms_time now)
{
  struct endpoint_state *ep = ms_dispatch_endpoint (dispatch, grant->endpoint);
  const struct ms_service *service
      = ms_config_service (dispatch->view->config, grant->service);

  if (!cost || !ep || !service)
    return;
  if (grant->reported_cost && cost >= grant->reported_cost)
    ms_limit_progress (&ep->limit, cost - grant->reported_cost,
                       now - grant->reported_cost_at, service->unit_us, now);
  grant->reported_cost = cost;
  grant->reported_cost_at = now;
}

static bool
is_listed (const peer_running *running, uint64_t grant)
{
  for (unsigned i = 0; i < running->items.items_len; i++)
    if (running->items.items_val[i].grant == grant)
      return true;
  return false;
}

/* Close the grants of a cell that are missing in an entry's complete running
   list for it.  The request of a started one has ended, and the done message
   was lost; that of a pending one didn't start or has ended too.  Grants
   younger than MS_GRANT_LIFETIME are kept, as the entry may start requests
   under them after it sent the list.  */
static void
close_unlisted (struct ms_dispatch *dispatch, const peer_message *message,
                ms_time now)
{
  const peer_running *running = &message->body.peer_body_u.running;
  struct grant *grant, *next;

  HASH_ITER (hh, dispatch->grants, grant, next)
  {
    if (grant->entry != message->from || grant->cell != running->cell)
      continue;
    if (now - grant->issued_at < MS_GRANT_LIFETIME
        || is_listed (running, grant->id))
      continue;
    ms_ledger_close (dispatch, grant, grant->charged_cost, now);
  }
}

void
ms_ledger_receive_running (struct ms_dispatch *dispatch,
                           const peer_message *message, ms_time now)
{
  const peer_running *running = &message->body.peer_body_u.running;

  if (!dispatch->view->config)
    return;
  for (unsigned i = 0; i < running->items.items_len; i++)
    {
      const peer_running_item *item = &running->items.items_val[i];
      struct grant *grant = find_grant (dispatch, item->grant);

      if (!grant || grant->entry != message->from)
        continue;
      clear_pending (dispatch, grant);
      if (grant->state == GRANT_PENDING)
        grant->started_at = now;
      grant->state = GRANT_STARTED;
      grant->last_heard = now;
      charge_progress (dispatch, grant, item->cost, now);
      check_pace (dispatch, grant, item->cost, now);
    }
  if (running->complete)
    close_unlisted (dispatch, message, now);
}

/* Close a grant whose entry has ended, is silent or did not reply to it.  The
   request may still run for a while, until the endpoint notices that its
   connection has closed.  On a cold endpoint it counts as foreign until a load
   report shows that it has ended, or expire_foreign drops the bound.  */
static void
abandon_grant (struct ms_dispatch *dispatch, struct grant *grant, ms_time now)
{
  struct endpoint_state *ep = ms_dispatch_endpoint (dispatch, grant->endpoint);

  if (ep && !ep->limit.is_warm && ep->foreign_bound != NO_BOUND)
    {
      ep->foreign_bound++;
      ep->foreign_raised_at = now;
      ep->no_foreign_since = MS_NEVER;
    }
  ms_ledger_close (dispatch, grant, grant->charged_cost, now);
}

void
ms_ledger_tick (struct ms_dispatch *dispatch, ms_time now)
{
  struct grant *grant, *next;

  HASH_ITER (hh, dispatch->grants, grant, next)
  {
    const struct ms_member *entry
        = ms_view_member (dispatch->view, grant->entry);
    bool ended = entry && entry->incarnation != grant->entry_incarnation;
    bool silent = now - grant->last_heard > ENTRY_TIMEOUT;
    bool overdue = grant->state == GRANT_PENDING
                       ? now > grant->expires_at + LATE_REPLY_TIME
                       : ended || silent;

    if (overdue)
      abandon_grant (dispatch, grant, now);
    else if (grant->state == GRANT_PENDING && now >= grant->next_send
             && now <= grant->expires_at)
      ms_grant_send (dispatch, grant, now);
  }
}

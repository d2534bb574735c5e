#include <stdlib.h>

#include "dispatch/internal.h"

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

/* The grant is no longer owed a reply.  */
static void
settle_pending (struct ms_dispatch *dispatch, const struct grant *grant)
{
  struct demand *demand = demand_of (dispatch, grant);

  if (grant->state == GRANT_PENDING && demand && demand->pending)
    demand->pending--;
}

bool
ms_ledger_ran_since (struct ms_dispatch *dispatch,
                     const struct slot_state *slot, ms_time before)
{
  for (const struct grant *g = dispatch->grants; g; g = g->hh.next)
    if (g->endpoint == slot->endpoint && g->state == GRANT_STARTED
        && g->started_at + START_MARGIN < before
        && g->heard_at + RUNNING_LIST_PERIOD > before)
      return true;
  return false;
}

void
ms_ledger_close (struct ms_dispatch *dispatch, struct grant *grant,
                 uint32_t cost, ms_time now)
{
  struct team_service *service
      = ms_dispatch_service (dispatch, grant->service, now);
  struct slot_state *slot = ms_dispatch_slot (dispatch, grant->endpoint);

  settle_pending (dispatch, grant);
  HASH_DEL (dispatch->grants, grant);
  ms_fair_charge (service->fair, grant->team, (int64_t)cost - grant->charged);
  if (slot && slot->granted)
    {
      slot->granted--;
      slot->idle_since = now;
      if (!ms_ledger_ran_since (dispatch, slot, now))
        slot->confirmed = false;
      if (grant->lane == MS_LANE_ALONE)
        slot->exclusive = false;
    }
  free (grant);
}

static void
use_freed_slot (struct ms_dispatch *dispatch, uint64_t cell_id, ms_time now)
{
  struct held_cell *held = ms_dispatch_cell (dispatch, cell_id);

  if (!held)
    return;
  if (held->held)
    ms_grant_slots (dispatch, held, now);
  else
    ms_handover_send (dispatch, held, now);
}

void
ms_ledger_reply (struct ms_dispatch *dispatch, const peer_message *message,
                 ms_time now)
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
      settle_pending (dispatch, grant);
      grant->state = GRANT_STARTED;
      grant->started_at = now;
      grant->heard_at = now;
      if (demand && demand->waiting[grant->lane])
        demand->waiting[grant->lane]--;
      return;
    }
  if (demand)
    demand->waiting[grant->lane] = 0;
  cell = grant->cell;
  ms_ledger_close (dispatch, grant, 0, now);
  use_freed_slot (dispatch, cell, now);
}

static void
close_for_a_while (struct slot_state *slot, ms_time now)
{
  unsigned doublings = slot->refusals < MAX_REOPEN_DOUBLINGS
                           ? slot->refusals
                           : MAX_REOPEN_DOUBLINGS;

  slot->refusals++;
  slot->closed_until = now + (REOPEN_AFTER << doublings);
}

/* A broken connection is a sign that the endpoint may have started anew.  */
static void
learn_from_end (struct ms_dispatch *dispatch, const struct grant *grant,
                const peer_done *done, ms_time now)
{
  struct slot_state *slot = ms_dispatch_slot (dispatch, grant->endpoint);
  struct team_service *shared
      = ms_dispatch_service (dispatch, grant->service, now);
  const struct ms_service *service
      = ms_config_service (dispatch->view->config, grant->service);

  if (!slot || !service)
    return;
  switch (done->result)
    {
    case MS_RESULT_OK:
      slot->refusals = 0;
      ms_fair_learn (shared->fair, grant->team, done->cost);
      if (ms_limit_success (&slot->limit, done->cost, done->duration,
                            service->unit_us, now))
        slot->confirmed = true;
      break;
    case MS_RESULT_OVERLOADED:
      ms_limit_overload (&slot->limit, now);
      break;
    case MS_RESULT_CONNECT_FAILED:
      ms_limit_chill (&slot->limit, now);
      close_for_a_while (slot, now);
      break;
    case MS_RESULT_RESET:
      ms_limit_chill (&slot->limit, now);
      break;
    default:
      break;
    }
}

void
ms_ledger_done (struct ms_dispatch *dispatch, const peer_message *message,
                ms_time now)
{
  const peer_done *done = &message->body.peer_body_u.done;
  struct grant *grant = find_grant (dispatch, done->grant);
  uint64_t cell;

  if (!grant || grant->entry != message->from || !dispatch->view->config)
    return;
  learn_from_end (dispatch, grant, done, now);
  cell = grant->cell;
  ms_ledger_close (dispatch, grant, done->cost, now);
  use_freed_slot (dispatch, cell, now);
}

/* Charge what a running request has used beyond the estimate.  */
static void
charge_progress (struct ms_dispatch *dispatch, struct grant *grant,
                 uint32_t cost, ms_time now)
{
  struct team_service *service
      = ms_dispatch_service (dispatch, grant->service, now);

  if (cost <= grant->charged)
    return;
  ms_fair_charge (service->fair, grant->team, cost - grant->charged);
  grant->charged = cost;
}

/* A pace that drops while a request runs is the first sign of a cold start.
   Requests that report no progress say nothing.  */
static void
watch_pace (struct ms_dispatch *dispatch, struct grant *grant, uint32_t cost,
            ms_time now)
{
  struct slot_state *slot = ms_dispatch_slot (dispatch, grant->endpoint);
  const struct ms_service *service
      = ms_config_service (dispatch->view->config, grant->service);

  if (!cost || !slot || !service)
    return;
  if (grant->cost_seen && cost >= grant->cost_seen)
    ms_limit_pace (&slot->limit, cost - grant->cost_seen,
                   now - grant->cost_seen_at, service->unit_us, now);
  grant->cost_seen = cost;
  grant->cost_seen_at = now;
}

static bool
lists (const peer_running *running, uint64_t grant)
{
  for (unsigned i = 0; i < running->items.items_len; i++)
    if (running->items.items_val[i].grant == grant)
      return true;
  return false;
}

/* Close grants that the entry no longer runs: their done message was lost.  */
static void
close_missing (struct ms_dispatch *dispatch, const peer_message *message,
               ms_time now)
{
  const peer_running *running = &message->body.peer_body_u.running;
  struct grant *grant, *next;

  HASH_ITER (hh, dispatch->grants, grant, next)
  {
    if (grant->entry != message->from || grant->cell != running->cell)
      continue;
    if (now - grant->issued_at < MS_GRANT_LIFETIME
        || lists (running, grant->id))
      continue;
    ms_ledger_close (dispatch, grant, grant->charged, now);
  }
}

void
ms_ledger_running (struct ms_dispatch *dispatch, const peer_message *message,
                   ms_time now)
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
      settle_pending (dispatch, grant);
      if (grant->state == GRANT_PENDING)
        grant->started_at = now;
      grant->state = GRANT_STARTED;
      grant->heard_at = now;
      charge_progress (dispatch, grant, item->cost, now);
      watch_pace (dispatch, grant, item->cost, now);
    }
  if (running->complete)
    close_missing (dispatch, message, now);
}

/* The entry has ended or is cut off.  Its request may still run, though the
   endpoint ends requests whose connection closed; on a cold endpoint it
   counts until a report shows that it has ended.  */
static void
give_up_on_entry (struct ms_dispatch *dispatch, struct grant *grant,
                  ms_time now)
{
  struct slot_state *slot = ms_dispatch_slot (dispatch, grant->endpoint);

  if (slot && !slot->limit.is_warm && slot->foreign != UNBOUNDED)
    {
      slot->foreign++;
      slot->distrusted_at = now;
      slot->quiet_since = MS_NEVER;
    }
  ms_ledger_close (dispatch, grant, grant->charged, now);
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
    bool silent = now - grant->heard_at > ENTRY_SILENT_AFTER;
    bool overdue = grant->state == GRANT_PENDING
                       ? now > grant->lapses_at + MS_SEC
                       : ended || silent;

    if (overdue)
      give_up_on_entry (dispatch, grant, now);
    else if (grant->state == GRANT_PENDING && now >= grant->next_send
             && now <= grant->lapses_at)
      ms_grant_send (dispatch, grant, now);
  }
}

#include "entry/entry.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/metrics.h"
#include "base/switches.h"
#include "entry/internal.h"

/* Retry budget (token bucket): each arrival adds RETRY_RATIO retries, up to
   RETRY_BUDGET_MAX; each retry takes one.  */
#define RETRY_RATIO 0.1
#define RETRY_BUDGET_MAX 20.0

/* A request whose key the log has not decided on within this time of its
   arrival is not run.  */
#define INTENT_TIMEOUT (3 * MS_SEC)

/* Interval of the reports of running requests to dispatchers.  */
#define RUNNING_REPORT_PERIOD (1 * MS_SEC)

struct ms_entry *
ms_entry_create (struct ms_view *view, const struct ms_sink *sink,
                 struct ms_random *random, struct ms_guard *guard,
                 struct ms_once *once)
{
  struct ms_entry *entry = ms_new (sizeof *entry);

  entry->view = view;
  entry->sink = sink;
  entry->random = random;
  entry->guard = guard;
  entry->once = once;
  entry->retry_budget = RETRY_BUDGET_MAX;
  return entry;
}

void
ms_entry_destroy (struct ms_entry *entry)
{
  struct request *request, *next_request;
  struct queue *queue, *next_queue;
  struct service_demand *demand, *next_demand;

  if (!entry)
    return;
  HASH_ITER (hh, entry->requests, request, next_request)
  {
    HASH_DEL (entry->requests, request);
    free (request);
  }
  HASH_ITER (hh, entry->queues, queue, next_queue)
  {
    HASH_DEL (entry->queues, queue);
    free (queue);
  }
  HASH_ITER (hh, entry->demands, demand, next_demand)
  {
    HASH_DEL (entry->demands, demand);
    free (demand);
  }
  free (entry);
}

struct request *
ms_entry_find_request (const struct ms_entry *entry, uint64_t id)
{
  struct request *request;

  HASH_FIND (hh, entry->requests, &id, sizeof id, request);
  return request;
}

static void
emit_answer (struct ms_entry *entry, uint64_t request, enum ms_outcome outcome,
             enum ms_reason reason, ms_time retry_after, uint64_t endpoint)
{
  static const enum ms_metric metrics[]
      = { MS_M_ANSWERED, MS_M_NOT_RUN, MS_M_FAILED, MS_M_UNKNOWN };
  struct ms_effect effect
      = { .kind = MS_EFFECT_ANSWER,
          .answer = { request, outcome, reason, retry_after, endpoint } };

  ms_count (metrics[outcome], 1);
  entry->sink->emit (entry->sink->context, &effect);
}

/* Return true if a request refused for REASON may succeed later; its answer
   then carries a retry time.  */
static bool
is_worth_retrying_later (enum ms_reason reason)
{
  return reason == MS_REASON_QUEUE_FULL || reason == MS_REASON_DEADLINE
         || reason == MS_REASON_LOG_DOWN || reason == MS_REASON_DRAINING
         || reason == MS_REASON_NOT_READY || reason == MS_REASON_NO_CAPACITY;
}

void
ms_entry_answer (struct ms_entry *entry, struct request *request,
                 enum ms_outcome outcome, enum ms_reason reason, ms_time now)
{
  ms_time retry_after = 0;

  (void)now;
  if (is_worth_retrying_later (reason) && outcome == MS_NOT_RUN)
    retry_after = ms_entry_retry_after (request->queue);
  if (request->has_intent)
    ms_once_end (entry->once, request->arrival.key, request->id, outcome);
  emit_answer (entry, request->id, outcome, reason, retry_after,
               request->endpoint);
  if (request->state == REQUEST_WAITING)
    ms_entry_dequeue (entry, request);
  HASH_DEL (entry->requests, request);
  free (request);
}

static void
refuse (struct ms_entry *entry, const struct ms_arrival *arrival,
        enum ms_reason reason, const struct queue *queue)
{
  ms_time retry_after
      = is_worth_retrying_later (reason) ? ms_entry_retry_after (queue) : 0;

  emit_answer (entry, arrival->request, MS_NOT_RUN, reason, retry_after, 0);
}

/* Return the reason to refuse ARRIVAL, or MS_REASON_NONE to accept it.  */
static enum ms_reason
check_arrival (struct ms_entry *entry, const struct ms_arrival *arrival,
               ms_time now)
{
  const struct ms_config *config = entry->view->config;
  const struct ms_service *service;
  const struct queue *queue;

  if (entry->draining)
    return MS_REASON_DRAINING;
  if (!config || !entry->view->log_caught_up
      || !ms_view_is_member (entry->view))
    return MS_REASON_NOT_READY;
  if (!ms_config_team (config, arrival->team))
    return MS_REASON_UNKNOWN_TEAM;
  service = ms_config_service (config, arrival->service);
  if (!service)
    return MS_REASON_UNKNOWN_SERVICE;
  if (ms_guard_check (entry->guard, arrival->fingerprint, now)
      == MS_QUARANTINED)
    return MS_REASON_QUARANTINED;
  queue = ms_entry_get_queue (entry, arrival->service, arrival->team);
  if (ms_queue_length (queue) >= service->queue_limit
      && ms_enabled (MS_QUEUE_BOUND))
    return MS_REASON_QUEUE_FULL;
  return MS_REASON_NONE;
}

static struct request *
admit (struct ms_entry *entry, const struct ms_arrival *arrival, ms_time now)
{
  struct request *request = ms_new (sizeof *request);

  request->id = arrival->request;
  request->arrival = *arrival;
  request->lane = arrival->lane;
  request->arrived = now;
  request->queue = ms_entry_get_queue (entry, arrival->service, arrival->team);
  HASH_ADD (hh, entry->requests, id, sizeof request->id, request);
  return request;
}

/* Queue a new request, in MS_LANE_SUSPECT if such requests are suspected of
   crashing endpoints, and announce it to dispatchers.  */
static void
enqueue_admitted (struct ms_entry *entry, struct request *request, ms_time now)
{
  if (ms_guard_check (entry->guard, request->arrival.fingerprint, now)
      == MS_SUSPECT)
    request->lane = MS_LANE_SUSPECT;
  ms_entry_enqueue (entry, request, false, now);
  ms_demand_announce (entry, request, now);
}

void
ms_entry_arrive (struct ms_entry *entry, const struct ms_arrival *arrival,
                 ms_time now)
{
  enum ms_reason reason = check_arrival (entry, arrival, now);
  struct ms_once_verdict verdict;
  struct request *request;

  ms_count (MS_M_ACCEPTED, 1); /* Counts refused requests too.  */
  entry->retry_budget += RETRY_RATIO;
  if (entry->retry_budget > RETRY_BUDGET_MAX)
    entry->retry_budget = RETRY_BUDGET_MAX;
  if (reason != MS_REASON_NONE)
    {
      refuse (entry, arrival, reason,
              reason == MS_REASON_QUEUE_FULL
                  ? ms_entry_get_queue (entry, arrival->service, arrival->team)
                  : NULL);
      return;
    }
  request = admit (entry, arrival, now);
  if (arrival->idempotent || !arrival->key || !ms_enabled (MS_KEY_INTENTS))
    {
      enqueue_admitted (entry, request, now);
      return;
    }
  request->state = REQUEST_INTENT;
  if (ms_view_stale (entry->view, now))
    {
      ms_entry_answer (entry, request, MS_NOT_RUN, MS_REASON_LOG_DOWN, now);
      return;
    }
  verdict = ms_once_begin (entry->once, arrival->key, request->id);
  if (verdict.state == MS_ONCE_WAIT)
    request->has_intent = true;
  else
    ms_entry_verdict (entry, &verdict, now);
}

void
ms_entry_verdict (struct ms_entry *entry,
                  const struct ms_once_verdict *verdict, ms_time now)
{
  struct request *request = ms_entry_find_request (entry, verdict->request);

  if (!request || request->state != REQUEST_INTENT)
    return;
  switch (verdict->state)
    {
    case MS_ONCE_RUN:
      request->has_intent = true;
      enqueue_admitted (entry, request, now);
      break;
    case MS_ONCE_REPEAT:
      request->has_intent = false;
      ms_entry_answer (entry, request, verdict->outcome, MS_REASON_REPEATED,
                       now);
      break;
    case MS_ONCE_NOT_READY:
      ms_entry_answer (entry, request, MS_NOT_RUN, MS_REASON_LOG_DOWN, now);
      break;
    case MS_ONCE_WAIT:
      break;
    }
}

/* Emit a cancel for REQUEST's running attempt, unless one was emitted.  The
   request is answered when the attempt ends.  */
static void
cancel_attempt (struct ms_entry *entry, struct request *request)
{
  struct ms_effect effect = { .kind = MS_EFFECT_CANCEL,
                              .cancel = { request->id, request->attempts } };

  if (request->cancelled)
    return;
  request->cancelled = true;
  entry->sink->emit (entry->sink->context, &effect);
}

void
ms_entry_caller_gone (struct ms_entry *entry, uint64_t id, ms_time now)
{
  struct request *request = ms_entry_find_request (entry, id);

  if (!request)
    return;
  if (request->state == REQUEST_RUNNING)
    {
      request->caller_gone = true;
      cancel_attempt (entry, request);
      return;
    }
  ms_entry_answer (entry, request,
                   request->may_have_run ? MS_UNKNOWN : MS_NOT_RUN,
                   MS_REASON_CALLER_GONE, now);
}

void
ms_entry_progress (struct ms_entry *entry, uint64_t id, uint32_t cost)
{
  struct request *request = ms_entry_find_request (entry, id);

  if (request && request->state == REQUEST_RUNNING)
    request->cost = cost;
}

void
ms_entry_message (struct ms_entry *entry, const peer_message *message,
                  ms_time now)
{
  const peer_death *death = &message->body.peer_body_u.death;
  const struct ms_cell *cell;

  switch (message->body.kind)
    {
    case PEER_GRANT:
      ms_binding_grant (entry, message, now);
      break;
    case PEER_IDLE:
      cell = ms_view_cell (entry->view, message->body.peer_body_u.idle.cell);
      if (cell)
        ms_demand_send (entry, cell, 0, now);
      break;
    case PEER_DEATH:
      ms_guard_merge (entry->guard, death->fingerprint, death->deaths,
                      death->cleared, now);
      break;
    default:
      break;
    }
}

/* End REQUEST, or cancel its attempt, if its time limit has passed.  */
static void
check_timeout (struct ms_entry *entry, struct request *request, ms_time now)
{
  switch (request->state)
    {
    case REQUEST_INTENT:
      if (now - request->arrived > INTENT_TIMEOUT)
        ms_entry_answer (entry, request, MS_NOT_RUN, MS_REASON_LOG_DOWN, now);
      else if (now >= request->arrival.deadline)
        ms_entry_answer (entry, request, MS_NOT_RUN, MS_REASON_DEADLINE, now);
      break;
    case REQUEST_WAITING:
      if (now >= request->arrival.deadline)
        ms_entry_answer (entry, request, ms_entry_failed_outcome (request),
                         MS_REASON_DEADLINE, now);
      break;
    case REQUEST_RUNNING:
      if (now >= request->run_deadline)
        cancel_attempt (entry, request);
      break;
    }
}

static void
check_timeouts (struct ms_entry *entry, ms_time now)
{
  struct request *request, *next;

  HASH_ITER (hh, entry->requests, request, next)
  {
    check_timeout (entry, request, now);
  }
}

void
ms_entry_tick (struct ms_entry *entry, ms_time now)
{
  check_timeouts (entry, now);
  ms_demand_send_rounds (entry, now);
  ms_death_repeat_notices (entry);
  ms_binding_repeat_done (entry);
  if (now >= entry->next_running_report)
    {
      entry->next_running_report = now + RUNNING_REPORT_PERIOD;
      ms_binding_report_running (entry, now);
    }
}

void
ms_entry_drain (struct ms_entry *entry)
{
  entry->draining = true;
}

unsigned
ms_entry_count_open (const struct ms_entry *entry)
{
  return HASH_COUNT (entry->requests);
}

bool
ms_entry_status (const struct ms_entry *entry, uint64_t id, ms_time now,
                 struct ms_request_status *status)
{
  static const char *const names[] = { "intent", "waiting", "running" };
  const struct request *request = ms_entry_find_request (entry, id);

  if (!request)
    return false;
  *status = (struct ms_request_status){ .state = names[request->state],
                                        .attempts = request->attempts,
                                        .endpoint = request->endpoint,
                                        .waited = now - request->arrived };
  if (request->state == REQUEST_WAITING)
    for (const struct request *r = request->queue->lanes[request->lane];
         r && r != request; r = r->next)
      status->ahead++;
  return true;
}

size_t
ms_entry_bytes (const struct ms_entry *entry)
{
  return sizeof *entry + HASH_COUNT (entry->requests) * sizeof (struct request)
         + HASH_COUNT (entry->queues) * sizeof (struct queue);
}

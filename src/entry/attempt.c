#include "base/metrics.h"
#include "base/switches.h"
#include "entry/internal.h"

/* A new run has a weight of 1 / 8 in the mean run time.  */
#define RUN_TIME_DIVISOR 8

/* Return true if REQUEST may be run again after the failed attempt END.  A
   request that may have run is retried only if it is idempotent, and never
   after part of the response was sent to the caller.  */
static bool
may_retry (struct ms_entry *entry, const struct request *request,
           const struct ms_attempt_end *end, ms_time now)
{
  bool attempt_may_have_run = end->result != MS_RESULT_CONNECT_FAILED;

  if (end->sent_to_caller || request->caller_gone || request->cancelled)
    return false;
  if (attempt_may_have_run && !request->arrival.idempotent)
    return false;
  if (request->attempts >= MAX_ATTEMPTS || now >= request->arrival.deadline)
    return false;
  if (ms_guard_check (entry->guard, request->arrival.fingerprint, now)
      == MS_QUARANTINED)
    return false;
  return entry->retry_budget >= 1;
}

/* Put REQUEST back at the head of its queue, to run on another endpoint.  */
static void
requeue_for_retry (struct ms_entry *entry, struct request *request,
                   ms_time now)
{
  entry->retry_budget -= 1;
  ms_count (MS_M_RETRIES, 1);
  if (request->tried_endpoints_count < MAX_ATTEMPTS)
    request->tried_endpoints[request->tried_endpoints_count++]
        = request->endpoint;
  request->lane = request->arrival.lane;
  if (ms_guard_check (entry->guard, request->arrival.fingerprint, now)
      == MS_SUSPECT)
    request->lane = MS_LANE_SUSPECT;
  request->endpoint = 0;
  request->cost = 0;
  request->cancelled = false;
  ms_entry_enqueue (entry, request, true, now);
  ms_demand_announce (entry, request, now);
}

/* Count the death of REQUEST's endpoint against REQUEST, and tell the other
   routers.  */
static void
record_endpoint_death (struct ms_entry *entry, const struct request *request,
                       ms_time now)
{
  uint64_t fingerprint = request->arrival.fingerprint;
  unsigned deaths
      = ms_guard_death (entry->guard, fingerprint, request->endpoint, now);

  ms_death_announce (entry, fingerprint, deaths, false);
}

enum ms_outcome
ms_entry_failed_outcome (const struct request *request)
{
  if (!request->may_have_run)
    return MS_NOT_RUN;
  return request->arrival.idempotent ? MS_FAILED : MS_UNKNOWN;
}

/* Retry or answer REQUEST after the failed attempt END.  A connection that
   broke before the end of the response counts as a death of the endpoint.  */
static void
handle_failure (struct ms_entry *entry, struct request *request,
                const struct ms_attempt_end *end, ms_time now)
{
  enum ms_reason reason = MS_REASON_ENDPOINT;

  if (end->result != MS_RESULT_CONNECT_FAILED)
    request->may_have_run = true;
  if (end->result == MS_RESULT_RESET)
    record_endpoint_death (entry, request, now);
  if (may_retry (entry, request, end, now))
    {
      requeue_for_retry (entry, request, now);
      return;
    }
  if (!request->may_have_run)
    reason = MS_REASON_NO_CAPACITY;
  else if (request->caller_gone)
    reason = MS_REASON_CALLER_GONE;
  ms_entry_answer (entry, request, ms_entry_failed_outcome (request), reason,
                   now);
}

/* Queue REQUEST again after its grant expired before the attempt started.  The
   attempt does not count, since nothing was sent to the endpoint, and the next
   one gets the same number.  Answer REQUEST instead if its caller has gone, or
   if more than MAX_EXPIRED_GRANTS of its grants have expired.  */
static void
requeue_unstarted (struct ms_entry *entry, struct request *request,
                   ms_time now)
{
  request->attempts--;
  request->endpoint = 0;
  if (request->caller_gone || ++request->expired_grants > MAX_EXPIRED_GRANTS)
    {
      ms_entry_answer (
          entry, request,
          request->may_have_run ? ms_entry_failed_outcome (request)
                                : MS_NOT_RUN,
          request->caller_gone ? MS_REASON_CALLER_GONE : MS_REASON_NO_CAPACITY,
          now);
      return;
    }
  ms_entry_enqueue (entry, request, true, now);
  ms_demand_announce (entry, request, now);
}

static void
update_run_time (struct request *request, ms_time duration)
{
  ms_time *mean = &request->queue->mean_run_time[request->lane];

  *mean += *mean ? (duration - *mean) / RUN_TIME_DIVISOR : duration;
}

void
ms_entry_attempt_end (struct ms_entry *entry, const struct ms_attempt_end *end,
                      ms_time now)
{
  struct request *request = ms_entry_find_request (entry, end->request);

  if (!request || request->state != REQUEST_RUNNING
      || (request->attempts != end->attempt
          && ms_enabled (MS_ATTEMPT_NUMBERS)))
    return;
  request->cost = end->cost;
  ms_binding_report_done (entry, request, end->result, end->duration);
  switch (end->result)
    {
    case MS_RESULT_OK:
      update_run_time (request, end->duration);
      if (ms_guard_success (entry->guard, request->arrival.fingerprint))
        ms_death_announce (entry, request->arrival.fingerprint, 0, true);
      ms_entry_answer (entry, request, MS_ANSWERED, MS_REASON_NONE, now);
      break;
    case MS_RESULT_NOT_STARTED:
      requeue_unstarted (entry, request, now);
      break;
    default:
      handle_failure (entry, request, end, now);
      break;
    }
}

#include "base/metrics.h"
#include "base/switches.h"
#include "entry/internal.h"

/* Weight of the newest run in the mean run time.  */
#define RUN_TIME_SHARE 8

static bool
may_retry (struct ms_entry *entry, const struct request *request,
           const struct ms_attempt_end *end, ms_time now)
{
  bool ran = end->result != MS_RESULT_CONNECT_FAILED;

  if (end->sent_to_caller || request->caller_gone || request->cancelled)
    return false;
  if (ran && !request->arrival.idempotent)
    return false;
  if (request->attempts >= MAX_ATTEMPTS || now >= request->arrival.deadline)
    return false;
  if (ms_guard_check (entry->guard, request->arrival.fingerprint, now)
      == MS_QUARANTINED)
    return false;
  return entry->retry_budget >= 1;
}

static void
retry (struct ms_entry *entry, struct request *request, ms_time now)
{
  entry->retry_budget -= 1;
  ms_count (MS_M_RETRIES, 1);
  if (request->tried_count < MAX_ATTEMPTS)
    request->tried[request->tried_count++] = request->endpoint;
  request->lane = request->arrival.lane;
  if (ms_guard_check (entry->guard, request->arrival.fingerprint, now)
      == MS_SUSPECT)
    request->lane = MS_LANE_SUSPECT;
  request->endpoint = 0;
  request->cost = 0;
  request->cancelled = false;
  ms_entry_enqueue (entry, request, true, now);
  ms_demand_fresh (entry, request, now);
}

static void
note_reset (struct ms_entry *entry, const struct request *request, ms_time now)
{
  uint64_t fingerprint = request->arrival.fingerprint;
  unsigned deaths
      = ms_guard_death (entry->guard, fingerprint, request->endpoint, now);

  ms_death_note (entry, fingerprint, deaths, false);
}

/* The outcome of a request whose last attempt gave no whole answer.  */
enum ms_outcome
ms_entry_broken_outcome (const struct request *request)
{
  if (!request->may_have_run)
    return MS_NOT_RUN;
  return request->arrival.idempotent ? MS_FAILED : MS_UNKNOWN;
}

static void
end_broken (struct ms_entry *entry, struct request *request,
            const struct ms_attempt_end *end, ms_time now)
{
  enum ms_reason reason = MS_REASON_ENDPOINT;

  if (end->result != MS_RESULT_CONNECT_FAILED)
    request->may_have_run = true;
  if (end->result == MS_RESULT_RESET)
    note_reset (entry, request, now);
  if (may_retry (entry, request, end, now))
    {
      retry (entry, request, now);
      return;
    }
  if (!request->may_have_run)
    reason = MS_REASON_NO_CAPACITY;
  else if (request->caller_gone)
    reason = MS_REASON_CALLER_GONE;
  ms_entry_answer (entry, request, ms_entry_broken_outcome (request), reason,
                   now);
}

/* The grant lapsed before the attempt began: nothing was sent.  */
static void
start_over (struct ms_entry *entry, struct request *request, ms_time now)
{
  request->attempts--;
  request->endpoint = 0;
  if (request->caller_gone || ++request->false_starts > MAX_FALSE_STARTS)
    {
      ms_entry_answer (
          entry, request,
          request->may_have_run ? ms_entry_broken_outcome (request)
                                : MS_NOT_RUN,
          request->caller_gone ? MS_REASON_CALLER_GONE : MS_REASON_NO_CAPACITY,
          now);
      return;
    }
  ms_entry_enqueue (entry, request, true, now);
  ms_demand_fresh (entry, request, now);
}

static void
note_run_time (struct request *request, ms_time duration)
{
  ms_time *mean = &request->queue->run_time[request->lane];

  *mean += *mean ? (duration - *mean) / RUN_TIME_SHARE : duration;
}

void
ms_entry_attempt_end (struct ms_entry *entry, const struct ms_attempt_end *end,
                      ms_time now)
{
  struct request *request = ms_entry_find (entry, end->request);

  if (!request || request->state != REQUEST_RUNNING
      || (request->attempts != end->attempt
          && ms_enabled (MS_ATTEMPT_NUMBERS)))
    return;
  request->cost = end->cost;
  ms_binding_done (entry, request, end->result, end->duration);
  switch (end->result)
    {
    case MS_RESULT_OK:
      note_run_time (request, end->duration);
      if (ms_guard_success (entry->guard, request->arrival.fingerprint))
        ms_death_note (entry, request->arrival.fingerprint, 0, true);
      ms_entry_answer (entry, request, MS_ANSWERED, MS_REASON_NONE, now);
      break;
    case MS_RESULT_NOT_STARTED:
      start_over (entry, request, now);
      break;
    default:
      end_broken (entry, request, end, now);
      break;
    }
}

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/event.h"
#include "gateway/caller.h"
#include "gateway/internal.h"
#include "gateway/metrics.h"
#include "gateway/request.h"

/* Retry-After is MIN_RETRY_AFTER, plus the time by which the fastest endpoint
   was expected to miss the first-byte target, or for which all endpoints asked
   for a pause, plus a random time below
   RETRY_AFTER_JITTER so that refused callers do not return all at once.  */
#define MIN_RETRY_AFTER (200 * MS_MSEC)
#define RETRY_AFTER_JITTER (400 * MS_MSEC)

/* The metric that counts a request which ended with STATUS and OUTCOME.  */
static enum ms_result_metric
result_metric (const struct ms_request *r, unsigned status,
               const char *outcome)
{
  if (strcmp (outcome, "answered") == 0)
    return MS_RESULT_ANSWERED;
  if (strcmp (outcome, "caller_gone") == 0)
    return MS_RESULT_CALLER_GONE;
  if (r->head_sent)
    return MS_RESULT_BROKEN_OFF;
  return status == HTTP_STATUS_SERVICE_UNAVAILABLE ? MS_RESULT_REFUSED
                                                   : MS_RESULT_FAILED;
}

/* Record R's end in the metrics and in its team's share.  */
static void
record_end (const struct ms_request *r, unsigned status, const char *outcome)
{
  enum ms_result_metric result = result_metric (r, status, outcome);

  ms_metric_result (result);
  if (result == MS_RESULT_ANSWERED && r->cost > r->done_cost)
    ms_share_answered (r->gw->share, r->team, r->cost - r->done_cost,
                       r->gw->now);
  if (r->first_sent_at)
    ms_metric_latency (MS_LATENCY_WAIT, r->first_sent_at - r->arrived);
  if (r->first_byte_at)
    ms_metric_latency (MS_LATENCY_FIRST_BYTE, r->first_byte_at - r->arrived);
  ms_metric_latency (MS_LATENCY_TOTAL, r->gw->now - r->arrived);
}

void
ms_request_log_end (const struct ms_request *r, unsigned status,
                    const char *outcome)
{
  ms_time now = r->gw->now;

  const struct ms_service_entry *service
      = r->gw->routes ? ms_routes_service (r->gw->routes, r->service) : NULL;

  record_end (r, status, outcome);

  ms_event (
      now, "request",
      "id=%s route=%s team=%.*s outcome=%s status=%u endpoint=%s "
      "attempts=%u waited_ms=%.1f expected_ms=%.1f first_ms=%.1f "
      "total_ms=%.1f prompt=%u output=%u uncached=%u bytes=%llu config=%llu "
      "list_ms=%lld takes_up=%d service=%s version=%x",
      r->request_id, r->route.name.data, (int)r->team_name.length,
      r->team_name.data, outcome, status,
      r->last_endpoint.length ? r->last_endpoint.data : "-", r->attempts,
      (double)((r->first_sent_at ? r->first_sent_at : now) - r->arrived)
          / MS_MSEC,
      (double)r->choice.fit.expected / MS_MSEC,
      r->first_byte_at ? (double)(r->first_byte_at - r->arrived) / MS_MSEC
                       : -1.0,
      (double)(now - r->arrived) / MS_MSEC, r->prompt.tokens,
      r->prompt.max_output, r->choice.fit.uncached,
      (unsigned long long)r->bytes_forwarded,
      (unsigned long long)r->config_version,
      (long long)(r->list_age / MS_MSEC), r->takes_up,
      service ? service->name.data : "-",
      r->first_sent_at ? r->sent_version : 0);
}

void
ms_request_end_attempt (struct ms_request *r, enum ms_place_end end)
{
  struct ms_endpoint_state *e = r->endpoint;

  if (!e)
    return;
  if (r->sent)
    ms_request_note_end (r, end);
  r->endpoint = NULL;
  if (r->upstream)
    ms_upstream_release (r->upstream);
  r->upstream = NULL;
  ms_place_ended (r->gw->place, e, &r->load, end, r->gw->now);
}

void
ms_request_free (struct ms_request *r)
{
  struct ms_gateway *gw = r->gw;

  ms_waiting_remove (gw->waiting, &r->waiter);
  ms_request_end_attempt (r, MS_END_CANCELLED);
  for (unsigned i = 0; i < r->tried_count; i++)
    ms_place_release (gw->place, r->tried[i]);
  DL_DELETE (gw->requests, r);
  if (gw->starting_request == r)
    gw->starting_request = NULL;
  gw->requests_count--;
  gw->held_back -= r->unsent_capacity;
  free (r->unsent_body);
  free (r->services);
  free (r);
}

ms_time
ms_gateway_retry_after (struct ms_gateway *gw, ms_time late_by)
{
  return MIN_RETRY_AFTER + late_by
         + (ms_time)ms_random_below (&gw->random, RETRY_AFTER_JITTER);
}

void
ms_request_refuse (struct ms_request *r, unsigned status, const char *reason)
{
  struct ms_caller *caller = r->caller;
  ms_time delay = 0;

  if (status == HTTP_STATUS_SERVICE_UNAVAILABLE)
    {
      delay = ms_request_promised_return (r, reason);
      if (!delay)
        delay = ms_gateway_retry_after (r->gw, r->choice.late_by
                                                   + r->choice.paused_for);
    }
  ms_request_log_end (r, status, reason);
  ms_request_free (r);
  ms_caller_refuse (caller, status, reason, delay);
}

void
ms_request_abort (struct ms_request *r, const char *reason)
{
  struct ms_caller *caller = r->caller;

  ms_request_log_end (r, r->status, reason);
  ms_request_free (r);
  ms_caller_abort (caller);
}

void
ms_request_give_up (struct ms_request *r, const char *reason)
{
  /* Tell the shares that the request, although within its team's share, was
     not sent because no endpoint had free capacity.  */
  if (!r->attempts && r->choice.result == MS_PLACE_FULL && r->cost > 0)
    ms_share_unplaced (r->gw->share, r->team, r->cost, r->gw->now);
  if (r->head_sent)
    ms_request_abort (r, reason);
  else if (r->may_have_run)
    ms_request_refuse (r, HTTP_STATUS_BAD_GATEWAY, reason);
  else
    ms_request_refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, reason);
}

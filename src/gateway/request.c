#include "gateway/request.h"

#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/caller.h"
#include "gateway/internal.h"
#include "gateway/metrics.h"
#include "gateway/peers.h"

/* After its deadline or timeout an attempt is given up; the endpoint itself
   stops then and may still say so.  */
#define ENDPOINT_SAYS_SO (60 * MS_MSEC)

/* Requests that come within this time of SIGTERM are served whatever they
   take; later ones if they end so long before the grace period does.  */
#define ACCEPT_AFTER_TERM (3 * MS_SEC)
#define EXIT_MARGIN (600 * MS_MSEC)

/* Without a deadline of the caller's.  */
#define DEFAULT_DEADLINE (60 * MS_SEC)

/* A generated token costs as much as so many tokens of a prompt.  */
#define OUTPUT_COST 2.0

/* Of a route without an aim.  */
#define DEFAULT_AIM (1 * MS_SEC)

/* A request waits for room for this part of its aim, at most.  */
#define WAIT_PART 0.2
#define LONGEST_WAIT (150 * MS_MSEC)

/* Part of the aim within which an endpoint has to begin.  */
#define AIM_PART 0.9

/* The aim that a request is placed by is never below this: what comes late
   is worth something.  */
#define LEAST_AIM (50 * MS_MSEC)

/* Bounds of the time after which callers are asked to come again.  */
#define LEAST_RETRY_AFTER (200 * MS_MSEC)
#define RETRY_SPREAD (400 * MS_MSEC)

/* Whole answers of up to so many bytes are held until they are complete.  */
#define MAX_HELD_BYTES 262144

static bool
may_repeat (const struct ms_request *r)
{
  return r->route.repeat == MS_IDEMPOTENT
         || (r->route.repeat == MS_STREAMING && r->route.resumable);
}

static enum ms_result_metric
result_of (const struct ms_request *r, unsigned status, const char *outcome)
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

static void
count_end (const struct ms_request *r, unsigned status, const char *outcome)
{
  ms_metric_result (result_of (r, status, outcome));
  if (r->first_sent_at)
    ms_metric_latency (MS_LATENCY_WAIT, r->first_sent_at - r->arrived);
  if (r->first_at)
    ms_metric_latency (MS_LATENCY_FIRST, r->first_at - r->arrived);
  ms_metric_latency (MS_LATENCY_TOTAL, r->gw->now - r->arrived);
}

static void
log_end (const struct ms_request *r, unsigned status, const char *outcome)
{
  ms_time now = r->gw->now;

  count_end (r, status, outcome);

  ms_event (
      now, "request",
      "id=%s route=%s team=%.*s outcome=%s status=%u endpoint=%s "
      "attempts=%u waited_ms=%.1f expected_ms=%.1f first_ms=%.1f "
      "total_ms=%.1f prompt=%u output=%u uncached=%u bytes=%llu config=%llu",
      r->attempt_id, r->route.name.data, (int)r->team_name.length,
      r->team_name.data, outcome, status,
      r->last_endpoint.length ? r->last_endpoint.data : "-", r->attempts,
      (double)((r->first_sent_at ? r->first_sent_at : now) - r->arrived)
          / MS_MSEC,
      (double)r->choice.fit.expected / MS_MSEC,
      r->first_at ? (double)(r->first_at - r->arrived) / MS_MSEC : -1.0,
      (double)(now - r->arrived) / MS_MSEC, r->prompt.tokens,
      r->prompt.max_output, r->choice.fit.uncached,
      (unsigned long long)r->bytes_forwarded,
      (unsigned long long)r->config_version);
}

/* Let go of the attempt's endpoint, which ended with END.  */
static void
end_attempt (struct ms_request *r, enum ms_place_end end)
{
  struct ms_endpoint_state *e = r->endpoint;

  if (!e)
    return;
  r->endpoint = NULL;
  if (r->upstream)
    ms_upstream_release (r->upstream);
  r->upstream = NULL;
  ms_place_ended (r->gw->place, e, &r->load, end, r->gw->now);
}

static void
free_request (struct ms_request *r)
{
  struct ms_gateway *gw = r->gw;

  end_attempt (r, MS_END_CANCELLED);
  for (unsigned i = 0; i < r->tried_count; i++)
    ms_place_release (gw->place, r->tried[i]);
  DL_DELETE (gw->requests, r);
  if (gw->beginning == r)
    gw->beginning = NULL;
  gw->requests_count--;
  free (r->held);
  free (r);
}

static ms_time
retry_after (struct ms_request *r)
{
  return LEAST_RETRY_AFTER + r->choice.room_in
         + (ms_time)ms_random_below (&r->gw->random, RETRY_SPREAD);
}

/* Give the final answer STATUS of the gateway's own.  */
static void
refuse (struct ms_request *r, unsigned status, const char *reason)
{
  struct ms_caller *caller = r->caller;
  ms_time later
      = status == HTTP_STATUS_SERVICE_UNAVAILABLE ? retry_after (r) : 0;

  log_end (r, status, reason);
  free_request (r);
  ms_caller_refuse (caller, status, reason, later);
}

/* End an answer that has begun and cannot be completed.  */
static void
break_off (struct ms_request *r, const char *reason)
{
  struct ms_caller *caller = r->caller;

  log_end (r, r->status, reason);
  free_request (r);
  ms_caller_abort (caller);
}

/* Answer for a request that no endpoint answers.  */
static void
give_up (struct ms_request *r, const char *reason)
{
  if (!r->attempts && r->choice.result == MS_PLACE_FULL && r->cost > 0)
    ms_share_refused (r->gw->share, r->team, r->cost, r->gw->now);
  if (r->head_sent)
    break_off (r, reason);
  else if (r->may_have_run)
    refuse (r, HTTP_STATUS_BAD_GATEWAY, reason);
  else
    refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, reason);
}

static ms_time
time_left (const struct ms_request *r, ms_time now)
{
  ms_time end = r->deadline < r->timeout_at ? r->deadline : r->timeout_at;

  return end - now;
}

static void
fill_offer (struct ms_request *r, struct ms_offer *offer)
{
  ms_time aim = (ms_time)(AIM_PART * (double)r->aim);
  ms_time left = r->arrived + aim - r->gw->now;

  memset (offer, 0, sizeof *offer);
  offer->service = r->service;
  offer->prompt_tokens = r->prompt.tokens;
  offer->output_tokens = r->prompt.output;
  offer->time_left = time_left (r, r->gw->now);
  offer->parts_count = r->prompt.parts_count;
  offer->parts = r->prompt.parts;
  offer->aim_left = left > LEAST_AIM ? left : LEAST_AIM;
  offer->tried = r->tried;
  offer->tried_count = r->tried_count;
}

static void
print_header (char *out, size_t size, size_t *used, struct ms_str name,
              struct ms_str value)
{
  int n;

  if (*used >= size)
    return;
  n = snprintf (out + *used, size - *used, "%.*s: %.*s\r\n", (int)name.length,
                name.data, (int)value.length, value.data);
  *used += (size_t)n;
}

/* Compose the request's head for its endpoint; returns the length, or 0 if it
   does not fit.  */
static size_t
compose_head (struct ms_request *r, char *out, size_t size)
{
  const struct ms_head *head = ms_caller_head (r->caller);
  struct ms_str body = ms_caller_body (r->caller);
  const struct ms_endpoint_entry *entry = &r->endpoint->entry;
  char number[32];
  size_t used = (size_t)snprintf (out, size, "%.*s %.*s HTTP/1.1\r\n",
                                  (int)head->method.length, head->method.data,
                                  (int)head->target.length, head->target.data);

  for (unsigned i = 0; i < head->headers_count; i++)
    if (!plat_header_dropped (head->headers[i].name)
        && !(r->last_event.length
             && ms_header_is (head->headers[i].name, PLAT_RESUME_AFTER)))
      print_header (out, size, &used, head->headers[i].name,
                    head->headers[i].value);
  snprintf (number, sizeof number, "%lld",
            (long long)(time_left (r, r->gw->now) / MS_MSEC));
  print_header (out, size, &used, ms_str (PLAT_DEADLINE), ms_str (number));
  print_header (out, size, &used, ms_str (PLAT_EXPECTED_ENDPOINT),
                (struct ms_str){ entry->id.data, entry->id.length });
  if (r->team_name.length)
    print_header (out, size, &used, ms_str (PLAT_TEAM),
                  (struct ms_str){ r->team_name.data, r->team_name.length });
  if (r->last_event.length)
    print_header (out, size, &used, ms_str (PLAT_RESUME_AFTER),
                  (struct ms_str){ r->last_event.data, r->last_event.length });
  if (body.length || head->has_length || head->chunked)
    {
      snprintf (number, sizeof number, "%zu", body.length);
      print_header (out, size, &used, ms_str ("Content-Length"),
                    ms_str (number));
    }
  if (used + 2 >= size)
    return 0;
  out[used++] = '\r';
  out[used++] = '\n';
  return used;
}

/* Whether the request may still be sent, by what is known right now.  */
static bool
check_send (struct ms_request *r, ms_time now)
{
  if (r->keyed && !ms_gateway_keys_fresh (r->gw, now))
    {
      give_up (r, "configuration_old");
      return false;
    }
  if (time_left (r, now) <= 0)
    {
      give_up (r, "deadline");
      return false;
    }
  return true;
}

static void
send_request (struct ms_request *r)
{
  static char head[65536];
  struct ms_str body = ms_caller_body (r->caller);
  ms_time now = ms_gateway_time (r->gw);
  uv_buf_t buffers[2];
  size_t length;

  if (!check_send (r, now))
    return;
  length = compose_head (r, head, sizeof head);
  if (!length)
    {
      refuse (r, HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE, "head");
      return;
    }
  buffers[0] = uv_buf_init (head, (unsigned)length);
  buffers[1] = uv_buf_init ((char *)body.data, (unsigned)body.length);
  r->sent = true;
  r->sent_at = now;
  if (!r->first_sent_at)
    r->first_sent_at = now;
  r->attempts++;
  ms_metric_attempt ();
  r->last_endpoint = r->endpoint->entry.id;
  ms_upstream_send (r->upstream, buffers, body.length ? 2 : 1);
}

void
ms_request_ready (struct ms_request *r)
{
  if (ms_place_may_send (r->gw->place, r->endpoint, r->gw->now)
      || r->load.running)
    send_request (r);
}

/* Begin an attempt at the chosen endpoint.  */
static void
attempt (struct ms_request *r, const struct ms_offer *offer)
{
  struct ms_gateway *gw = r->gw;

  r->endpoint = r->choice.endpoint;
  r->sent = false;
  r->began = false;
  r->answer_status = 0;
  r->held_length = 0;
  ms_place_sent (gw->place, offer, &r->choice, &r->load, gw->now);
  if (r->tried_count < MS_MAX_TRIED)
    {
      r->tried[r->tried_count++] = r->endpoint;
      ms_place_hold (r->endpoint);
    }
  r->upstream = ms_upstream_open (gw, r->endpoint, r);
  if (!r->upstream)
    {
      end_attempt (r, MS_END_CANCELLED);
      give_up (r, "no_socket");
      return;
    }
  if (ms_upstream_connected (r->upstream))
    send_request (r);
}

/* Place the request, let it wait, or refuse it.  */
static void
dispatch (struct ms_request *r)
{
  struct ms_offer offer;

  if (!check_send (r, r->gw->now))
    return;
  fill_offer (r, &offer);
  ms_place_choose (r->gw->place, &offer, r->gw->now, &r->choice);
  if (r->choice.result == MS_PLACED)
    {
      r->waiting = false;
      attempt (r, &offer);
      return;
    }
  r->waiting = true;
  if (r->gw->now >= r->wait_until)
    give_up (r, r->choice.result == MS_PLACE_FULL ? "full" : "no_endpoint");
}

/* Try again after an attempt that failed, or give the final answer.  SENT_ON
   tells whether a further attempt counts as a retry.  */
static void
try_again (struct ms_request *r, bool counts, const char *reason)
{
  bool allowed = r->tried_count < MS_MAX_TRIED;

  if (counts)
    allowed = allowed && r->attempts < r->route.max_attempts
              && ms_budget_take (r->gw->budget, r->service, r->gw->now);
  if (!allowed)
    {
      give_up (r, reason);
      return;
    }
  ms_metric_retry ();
  ms_event (r->gw->now, "retry", "id=%s reason=%s attempts=%u", r->attempt_id,
            reason, r->attempts);
  dispatch (r);
}

/* An endpoint ended or broke off while the request may have run there.  */
static void
broken (struct ms_request *r, const char *reason)
{
  end_attempt (r, MS_END_BROKEN);
  r->may_have_run = true;
  if (may_repeat (r) && (!r->head_sent || r->last_event.length))
    try_again (r, true, reason);
  else
    give_up (r, reason);
}

void
ms_request_failed (struct ms_request *r, enum ms_upstream_error error)
{
  static const char *const names[] = { [MS_UP_CONNECT] = "connect",
                                       [MS_UP_BROKEN] = "broken",
                                       [MS_UP_BAD_BYTES] = "bad_bytes" };
  uint64_t endpoint = r->endpoint->id;

  r->upstream = NULL;
  if (!r->sent)
    {
      end_attempt (r, MS_END_UNREACHABLE);
      try_again (r, false, names[error]);
      return;
    }
  if (error == MS_UP_BROKEN && !r->began)
    {
      unsigned deaths = ms_guard_death (r->gw->guard, r->fingerprint, endpoint,
                                        r->gw->now);

      ms_peers_death (r->gw->peers, r->fingerprint, deaths, r->gw->now);
      ms_event (r->gw->now, "endpoint_broke", "id=%s endpoint=%s deaths=%u",
                r->attempt_id, r->last_endpoint.data, deaths);
    }
  broken (r, names[error]);
}

/* The endpoint refuses without having run the request.  */
static void
refused_by_endpoint (struct ms_request *r, unsigned status)
{
  end_attempt (r, status == HTTP_STATUS_MISDIRECTED_REQUEST
                      ? MS_END_MISDIRECTED
                      : MS_END_REFUSED);
  try_again (r, true, "endpoint_refused");
}

bool
ms_request_head (struct ms_request *r, const struct ms_head *head)
{
  struct ms_str id = ms_head_find (head, PLAT_ATTEMPT_ID);
  unsigned running, waiting, slots;

  if (id.data && !ms_str_equal (id, ms_str (r->attempt_id)))
    {
      ms_event (r->gw->now, "crossed_answer", "id=%s endpoint=%s",
                r->attempt_id, r->last_endpoint.data);
      return false;
    }
  if (plat_decode_load (ms_head_find (head, PLAT_LOAD), &running, &waiting,
                        &slots))
    ms_place_reported (r->endpoint, running, waiting, r->gw->now);
  r->answer_status = head->status;
  r->answer = head;
  r->not_run = ms_head_find (head, PLAT_NOT_RUN).data != NULL
               || head->status == HTTP_STATUS_MISDIRECTED_REQUEST;
  r->proper = head->status >= 300
              || (ms_head_find (head, PLAT_SIGNATURE).data != NULL
                  && !ms_head_find (head, "Content-Encoding").data);
  r->streams
      = r->route.repeat == MS_STREAMING && head->status == 200 && r->proper;
  return true;
}

static void
hold (struct ms_request *r, const char *data, size_t length)
{
  if (r->held_length + length > r->held_space)
    {
      r->held_space = r->held_space ? r->held_space * 2 : 1024;
      while (r->held_space < r->held_length + length)
        r->held_space *= 2;
      r->held = ms_resize (r->held, r->held_space, 1);
    }
  memcpy (r->held + r->held_length, data, length);
  r->held_length += length;
}

static enum ms_framing
framing_of (const struct ms_request *r, const struct ms_head *answer)
{
  /* A stream may go on from another endpoint, of another length.  */
  if (answer->has_length)
    return r->streams ? MS_FRAMED_CHUNKS : MS_FRAMED_LENGTH;
  return answer->chunked ? MS_FRAMED_CHUNKS : MS_FRAMED_CLOSE;
}

/* Begin the answer to the caller, unless an earlier attempt did.  */
static void
begin_answer (struct ms_request *r)
{
  if (r->head_sent)
    return;
  r->head_sent = true;
  r->status = r->answer_status;
  ms_caller_answer (r->caller, r->answer, framing_of (r, r->answer),
                    r->answer->content_length);
}

static void
forward_held (struct ms_request *r, size_t length)
{
  ms_caller_send (r->caller, r->held, length);
  r->bytes_forwarded += length;
  memmove (r->held, r->held + length, r->held_length - length);
  r->held_length -= length;
}

/* Note that the answer begins.  */
static void
note_begin (struct ms_request *r)
{
  if (r->began)
    return;
  r->began = true;
  if (!r->first_at)
    r->first_at = r->gw->now;
  ms_place_began (r->gw->place, r->endpoint, &r->load, r->choice.fit.expected,
                  r->gw->now - r->sent_at);
}

/* Forward the whole events that came; what is behind them waits.  */
static void
forward_events (struct ms_request *r)
{
  unsigned count;
  size_t whole
      = ms_events_whole (r->held, r->held_length, &r->last_event, &count);

  if (!whole)
    return;
  if (r->began)
    ms_place_paced (r->gw->place, r->endpoint, count,
                    r->gw->now - r->last_event_at, r->gw->now);
  r->last_event_at = r->gw->now;
  note_begin (r);
  begin_answer (r);
  forward_held (r, whole);
}

void
ms_request_body (struct ms_request *r, const char *data, size_t length)
{
  hold (r, data, length);
  if (r->streams)
    {
      forward_events (r);
      return;
    }
  if (r->held_length <= MAX_HELD_BYTES || !r->proper || r->not_run)
    return;
  note_begin (r);
  begin_answer (r);
  forward_held (r, r->held_length);
}

void
ms_request_flush (struct ms_request *r)
{
  if (!ms_caller_flush (r->caller) && r->upstream)
    ms_upstream_pause (r->upstream);
}

void
ms_request_caller_drained (struct ms_request *r)
{
  if (r->upstream)
    ms_upstream_resume (r->upstream);
}

/* The whole answer came and is good for the caller.  */
static void
complete (struct ms_request *r)
{
  struct ms_caller *caller = r->caller;
  unsigned status = r->answer_status;

  note_begin (r);
  begin_answer (r);
  forward_held (r, r->held_length);
  if (status < 500)
    ms_guard_success (r->gw->guard, r->fingerprint);
  end_attempt (r, status < 500 ? MS_END_GOOD : MS_END_ERROR);
  log_end (r, status, "answered");
  free_request (r);
  ms_caller_end (caller);
}

void
ms_request_end (struct ms_request *r)
{
  if (r->not_run && r->answer_status >= 400)
    {
      if (r->answer_status == HTTP_STATUS_SERVICE_UNAVAILABLE
          || r->answer_status == HTTP_STATUS_TOO_MANY_REQUESTS
          || r->answer_status == HTTP_STATUS_MISDIRECTED_REQUEST)
        {
          refused_by_endpoint (r, r->answer_status);
          return;
        }
    }
  if (!r->proper)
    {
      broken (r, "unsigned");
      return;
    }
  if (r->answer_status >= 500 && r->head_sent)
    {
      broken (r, "resumed_failed");
      return;
    }
  if (r->answer_status >= 500 && may_repeat (r)
      && r->attempts < r->route.max_attempts && r->tried_count < MS_MAX_TRIED
      && ms_budget_take (r->gw->budget, r->service, r->gw->now))
    {
      end_attempt (r, MS_END_ERROR);
      r->may_have_run = true;
      dispatch (r);
      return;
    }
  complete (r);
}

void
ms_request_caller_gone (struct ms_request *r)
{
  struct ms_caller *caller = r->caller;

  log_end (r, r->status, "caller_gone");
  free_request (r);
  ms_caller_abort (caller);
}

/* The route of the request that waits at CALLER, or NULL after an answer.  */
static const struct ms_route *
find_route (struct ms_gateway *gw, struct ms_caller *caller)
{
  const struct ms_head *head = ms_caller_head (caller);
  struct ms_str host = ms_head_find (head, "Host");
  struct ms_str path = head->target;
  const char *query = memchr (path.data, '?', path.length);
  const char *port = memchr (host.data, ':', host.length);
  const struct ms_route *route;

  if (query)
    path.length = (size_t)(query - path.data);
  if (port)
    host.length = (size_t)(port - host.data);
  route = ms_routes_find (gw->routes, host, path);
  if (route)
    return route;
  ms_event (gw->now, "no_route", "host=%.*s path=%.*s config=%llu",
            (int)host.length, host.data, (int)path.length, path.data,
            (unsigned long long)gw->routes->version);
  if (ms_gateway_config_recent (gw, gw->now))
    ms_caller_refuse (caller, HTTP_STATUS_NOT_FOUND, "no_route", 0);
  else
    ms_caller_refuse (caller, HTTP_STATUS_SERVICE_UNAVAILABLE,
                      "configuration_old", MS_SEC);
  return NULL;
}

/* The team whose key the request carries: 0 after an answer.  */
static uint64_t
find_team (struct ms_gateway *gw, struct ms_caller *caller)
{
  struct ms_str key = ms_head_find (ms_caller_head (caller), PLAT_KEY);
  uint64_t team = ms_routes_key (gw->routes, key);

  if (!ms_gateway_keys_fresh (gw, gw->now)
      || (!team && !ms_gateway_config_recent (gw, gw->now)))
    {
      ms_caller_refuse (caller, HTTP_STATUS_SERVICE_UNAVAILABLE,
                        "configuration_old", MS_SEC);
      return 0;
    }
  if (!team)
    {
      ms_event (gw->now, "unknown_key", "config=%llu",
                (unsigned long long)gw->routes->version);
      ms_caller_refuse (caller, HTTP_STATUS_UNAUTHORIZED, "unknown_key", 0);
    }
  return team;
}

static void
read_deadline (struct ms_request *r, const struct ms_head *head)
{
  struct ms_str text = ms_head_find (head, PLAT_DEADLINE);
  char copy[24] = "";

  if (text.data && text.length < sizeof copy)
    memcpy (copy, text.data, text.length);
  r->deadline = r->arrived
                + (*copy ? (ms_time)(strtod (copy, NULL) * MS_MSEC)
                         : DEFAULT_DEADLINE);
  r->timeout_at = r->route.timeout ? r->arrived + r->route.timeout : MS_NEVER;
}

static uint64_t
fingerprint_of (const struct ms_request *r)
{
  struct ms_str body = ms_caller_body (r->caller);
  const struct ms_head *head = ms_caller_head (r->caller);
  uint64_t path = ms_id (head->target);

  return ms_id_pair (ms_id_pair (r->team, path),
                     body.length ? ms_id (body) : 0);
}

static struct ms_request *
create (struct ms_gateway *gw, struct ms_caller *caller,
        const struct ms_route *route, uint64_t team)
{
  const struct ms_head *head = ms_caller_head (caller);
  struct ms_str id = ms_head_find (head, PLAT_ATTEMPT_ID);
  const struct ms_team_entry *entry
      = team ? ms_routes_team (gw->routes, team) : NULL;
  struct ms_request *r = ms_new (sizeof *r);
  ms_time wait;

  r->gw = gw;
  r->caller = caller;
  r->route = *route;
  r->route.host = r->route.prefix = (struct ms_str){ "", 0 };
  r->service = ms_route_service (route, ms_random_next (&gw->random));
  r->team = team;
  r->keyed = team != 0;
  r->config_version = gw->routes->version;
  if (entry)
    {
      r->team_name.length = entry->name.length < MS_NAME_BYTES
                                ? entry->name.length
                                : MS_NAME_BYTES - 1;
      memcpy (r->team_name.data, entry->name.data, r->team_name.length);
    }
  snprintf (r->attempt_id, sizeof r->attempt_id, "%.*s", (int)id.length,
            id.data ? id.data : "");
  r->arrived = gw->now;
  read_deadline (r, head);
  plat_decode_prompt (head, &r->prompt);
  r->cost = r->prompt.tokens + OUTPUT_COST * r->prompt.output;
  r->fingerprint = fingerprint_of (r);
  r->aim = route->aim ? route->aim : DEFAULT_AIM;
  wait = (ms_time)(WAIT_PART * (double)r->aim);
  r->wait_until = r->arrived + (wait < LONGEST_WAIT ? wait : LONGEST_WAIT);
  DL_APPEND (gw->requests, r);
  gw->requests_count++;
  return r;
}

/* Whether a gateway that is told to end can still serve R: it came soon after
   that, or is sure to end before the process does.  */
static bool
ends_before_exit (const struct ms_request *r)
{
  const struct ms_gateway *gw = r->gw;
  ms_time exit_at = gw->terminated_at
                    + (ms_time)(gw->settings->grace_period_s * MS_SEC)
                    - EXIT_MARGIN;

  return !gw->terminated_at || gw->now - gw->terminated_at <= ACCEPT_AFTER_TERM
         || gw->now + time_left (r, gw->now) < exit_at;
}

struct ms_request *
ms_request_begin (struct ms_gateway *gw, struct ms_caller *caller)
{
  const struct ms_route *route;
  uint64_t team = 0;
  struct ms_request *r;
  enum ms_verdict verdict;

  ms_gateway_time (gw);
  gw->tally.count++;
  if (gw->late && ms_caller_left (caller))
    {
      ms_event (gw->now, "caller_left", "read late");
      ms_caller_refuse (caller, HTTP_STATUS_SERVICE_UNAVAILABLE, "left", 0);
      return NULL;
    }
  if (!gw->routes)
    {
      ms_caller_refuse (caller, HTTP_STATUS_SERVICE_UNAVAILABLE,
                        "no_configuration", MS_SEC);
      return NULL;
    }
  route = find_route (gw, caller);
  if (!route)
    return NULL;
  if (gw->routes->keys_required && !route->public)
    {
      team = find_team (gw, caller);
      if (!team)
        return NULL;
    }
  r = create (gw, caller, route, team);
  ms_budget_request (gw->budget, r->service, gw->now);
  verdict = ms_guard_check (gw->guard, r->fingerprint, gw->now);
  if (verdict == MS_QUARANTINED)
    {
      refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, "quarantined");
      return NULL;
    }
  if (!ends_before_exit (r))
    {
      refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, "leaving");
      return NULL;
    }
  if (team && r->cost > 0
      && !ms_share_arrive (gw->share, team, r->cost, gw->now))
    {
      refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, "over_share");
      return NULL;
    }
  gw->beginning = r;
  ms_place_arrived (gw->place, r->service, r->prompt.output,
                    time_left (r, gw->now) - r->aim);
  dispatch (r);
  if (gw->beginning != r)
    return NULL; /* It is answered already.  */
  gw->beginning = NULL;
  return r;
}

/* Whether R is over time; answers it then.  */
static bool
check_time (struct ms_request *r, ms_time now)
{
  ms_time margin = r->sent ? ENDPOINT_SAYS_SO : 0;

  if (time_left (r, now) > -margin)
    return false;
  if (r->head_sent)
    break_off (r, "timeout");
  else if (r->sent || r->may_have_run)
    refuse (r, HTTP_STATUS_GATEWAY_TIMEOUT, "timeout");
  else
    refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, "timeout");
  return true;
}

void
ms_requests_tick (struct ms_gateway *gw, ms_time now)
{
  struct ms_request *r, *next;

  DL_FOREACH_SAFE (gw->requests, r, next)
  {
    if (!check_time (r, now) && r->waiting)
      dispatch (r);
  }
}

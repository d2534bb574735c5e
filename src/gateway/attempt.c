#include <http_parser.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "gateway/caller.h"
#include "gateway/internal.h"
#include "gateway/metrics.h"
#include "gateway/peers.h"
#include "gateway/request.h"

/* Fraction of the first-byte target that placement may use; the rest is a
   reserve.  */
#define PLACEMENT_TARGET_FRACTION 0.9

/* Least time to the first byte that placement is given, even when the
   first-byte target has nearly passed: a late response is still worth
   something.  */
#define MIN_PLACEMENT_TARGET (50 * MS_MSEC)

/* Estimates of the bytes that a request takes besides its body: of both heads,
   and of each token of a response.  */
#define HEADS_BYTES 800
#define TOKEN_BYTES 16

bool
ms_request_may_repeat (const struct ms_request *r)
{
  return r->route.repeat == MS_IDEMPOTENT
         || (r->route.repeat == MS_STREAMING && r->route.resumable);
}

ms_time
ms_request_time_left (const struct ms_request *r, ms_time now)
{
  ms_time end = r->deadline < r->timeout_at ? r->deadline : r->timeout_at;

  return end - now;
}

/* Describe R to the placement.  */
static void
fill_offer (struct ms_request *r, struct ms_offer *offer)
{
  ms_time target
      = (ms_time)(PLACEMENT_TARGET_FRACTION * (double)r->first_byte_target);
  ms_time left = r->arrived + target - r->gw->now;

  memset (offer, 0, sizeof *offer);
  offer->service = r->service;
  offer->prompt_tokens = r->prompt.tokens;
  offer->output_tokens = r->prompt.output;
  offer->bytes = HEADS_BYTES + TOKEN_BYTES * r->prompt.output
                 + (uint32_t)ms_caller_body (r->caller).length;
  offer->parts_count = r->prompt.parts_count;
  offer->parts = r->prompt.parts;
  offer->target_left
      = left > MIN_PLACEMENT_TARGET ? left : MIN_PLACEMENT_TARGET;
  offer->tried = r->tried;
  offer->tried_count = r->tried_count;
  offer->repeatable = ms_request_may_repeat (r) && r->route.max_attempts > 1
                      && ms_budget_has (r->gw->budget, r->service, r->gw->now);
  offer->alone = r->trial;
}

bool
ms_request_other_usable (struct ms_request *r)
{
  struct ms_offer offer;
  struct ms_choice choice;

  fill_offer (r, &offer);
  offer.version = r->version;
  ms_place_choose (r->gw->place, &offer, r->gw->now, &choice);
  return choice.usable > 0;
}

/* Append a header to OUT of SIZE bytes, of which *USED are filled.  *USED is
   at least SIZE once something did not fit.  */
static void
append_header (char *out, size_t size, size_t *used, struct ms_str name,
               struct ms_str value)
{
  int n;

  if (*used >= size)
    return;
  n = snprintf (out + *used, size - *used, "%.*s: %.*s\r\n", (int)name.length,
                name.data, (int)value.length, value.data);
  *used += (size_t)n;
}

/* Write the request line and headers for R's endpoint to OUT of SIZE bytes.
   Hop-by-hop headers are left out; deadline, endpoint, team and the id of the
   last event passed on are set.  Return the length, or 0 if it does not fit.
 */
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
        && !(r->last_event_id.length
             && ms_header_is (head->headers[i].name, PLAT_RESUME_AFTER)))
      append_header (out, size, &used, head->headers[i].name,
                     head->headers[i].value);
  snprintf (number, sizeof number, "%lld",
            (long long)(ms_request_time_left (r, r->gw->now) / MS_MSEC));
  append_header (out, size, &used, ms_str (PLAT_DEADLINE), ms_str (number));
  append_header (out, size, &used, ms_str (PLAT_EXPECTED_ENDPOINT),
                 (struct ms_str){ entry->id.data, entry->id.length });
  if (r->team_name.length)
    append_header (out, size, &used, ms_str (PLAT_TEAM),
                   (struct ms_str){ r->team_name.data, r->team_name.length });
  if (r->last_event_id.length)
    append_header (
        out, size, &used, ms_str (PLAT_RESUME_AFTER),
        (struct ms_str){ r->last_event_id.data, r->last_event_id.length });
  if (body.length || head->has_length || head->chunked)
    {
      snprintf (number, sizeof number, "%zu", body.length);
      append_header (out, size, &used, ms_str ("Content-Length"),
                     ms_str (number));
    }
  if (used + 2 >= size)
    return 0;
  out[used++] = '\r';
  out[used++] = '\n';
  return used;
}

/* Whether R may be sent at NOW: its caller still waits, its key cannot have
   been revoked unseen, its time is not over, and no part of its prompt has
   come under suspicion since it was admitted.  If not, R is ended and freed.
   The kernel is asked whether the caller has disconnected: after the loop did
   not run for a while, ticks and other connections come before its event.  */
static bool
check_may_send (struct ms_request *r, ms_time now)
{
  if (ms_caller_has_closed (r->caller))
    {
      ms_request_caller_gone (r);
      return false;
    }
  if (r->keyed && !ms_gateway_keys_fresh (r->gw, now))
    {
      ms_request_give_up (r, "configuration_old");
      return false;
    }
  if (ms_request_time_left (r, now) <= 0)
    {
      ms_request_give_up (r, "deadline");
      return false;
    }
  if (!r->trial
      && !ms_part_guard_is_clear (r->gw->part_guard, r->guarded,
                                  r->guarded_count, now))
    {
      ms_request_give_up (r, "quarantined");
      return false;
    }
  return true;
}

/* Write R to its connected upstream.  The checks are repeated, and the choice
   is checked against what is known now, since time may have passed while
   connecting.  */
static void
send_request (struct ms_request *r)
{
  static char head[65536];
  struct ms_str body = ms_caller_body (r->caller);
  ms_time now = ms_gateway_update_time (r->gw);
  uv_buf_t buffers[2];
  size_t length;

  if (!check_may_send (r, now))
    return;
  r->sent_version = r->endpoint->entry.version;
  if (!ms_place_confirm_send (r->gw->place, r->endpoint, r->placed_at, now)
      || (r->version && r->version != r->sent_version))
    {
      ms_request_end_attempt (r, MS_END_CANCELLED);
      ms_request_retry (r, false, "endpoint_unavailable");
      return;
    }
  if (!ms_request_version_allowed (r, r->sent_version))
    {
      ms_metric_rollout_withdrawn ();
      ms_request_end_attempt (r, MS_END_CANCELLED);
      ms_request_retry (r, false, "version_withdrawn");
      return;
    }
  length = compose_head (r, head, sizeof head);
  if (!length)
    {
      ms_request_refuse (r, HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE,
                         "head");
      return;
    }
  buffers[0] = uv_buf_init (head, (unsigned)length);
  buffers[1] = uv_buf_init ((char *)body.data, (unsigned)body.length);
  ms_request_note_sent (r);
  if (r->stream && !r->version)
    r->moved
        = ms_streams_sent (r->gw->streams, r->stream, r->sent_version, now);
  r->sent = true;
  r->sent_at = now;
  r->list_age = now - ms_topic_read_at (r->gw->endpoint_topic);
  if (!r->first_sent_at)
    r->first_sent_at = now;
  r->attempts++;
  ms_metric_attempt ();
  r->last_endpoint = r->endpoint->entry.id;
  if (r->takes_up || r->last_event_id.length)
    ms_event (now, "resume", "id=%s stream=%llx by=%s endpoint=%s version=%x",
              r->request_id, (unsigned long long)r->stream,
              r->last_event_id.length ? "router" : "caller",
              r->last_endpoint.data, r->endpoint->entry.version);
  ms_upstream_send (r->upstream, buffers, body.length ? 2 : 1);
}

void
ms_request_upstream_connected (struct ms_request *r)
{
  send_request (r);
}

/* Start an attempt at the chosen endpoint.  */
static void
start_attempt (struct ms_request *r, const struct ms_offer *offer)
{
  struct ms_gateway *gw = r->gw;

  r->endpoint = r->choice.endpoint;
  r->sent = false;
  r->response_started = false;
  r->began_at = 0;
  r->paced_events = 0;
  r->held_at = 0;
  r->response_status = 0;
  r->unsent_length = 0;
  /* The endpoint's load includes the request from now on, also while the
     connection to it is being made.  */
  r->placed_at = gw->now;
  ms_place_sent (gw->place, offer, &r->choice, &r->load, gw->now);
  if (r->tried_count < MS_MAX_TRIED)
    {
      r->tried[r->tried_count++] = r->endpoint;
      ms_place_hold (r->endpoint);
    }
  r->upstream = ms_upstream_open (gw, r->endpoint, r, ms_id (r->full_id));
  if (!r->upstream)
    {
      ms_request_end_attempt (r, MS_END_CANCELLED);
      ms_request_give_up (r, "no_socket");
      return;
    }
  if (ms_upstream_connected (r->upstream))
    send_request (r);
}

bool
ms_request_dispatch (struct ms_request *r)
{
  struct ms_offer offer;

  if (!check_may_send (r, r->gw->now))
    return true;
  if (r->version && !ms_request_version_allowed (r, r->version))
    {
      ms_request_give_up (r, "version_stopped");
      return true;
    }
  fill_offer (r, &offer);
  if (ms_request_choose (r, &offer))
    {
      r->waiter.give_up_at = r->gw->now + MS_ROLLOUT_MAX_WAIT;
      ms_waiting_add (r->gw->waiting, &r->waiter);
      return false;
    }
  if (r->choice.result == MS_PLACED)
    {
      start_attempt (r, &offer);
      return true;
    }
  if (r->gw->now + r->choice.paused_for < r->waiter.give_up_at)
    ms_waiting_add (r->gw->waiting, &r->waiter);
  else
    ms_request_give_up_unplaced (r);
  return false;
}

void
ms_request_give_up_unplaced (struct ms_request *r)
{
  ms_request_give_up (r, r->choice.result == MS_PLACE_FULL ? "full"
                         : r->choice.paused_for            ? "paused"
                                                           : "no_endpoint");
}

void
ms_request_retry (struct ms_request *r, bool was_sent, const char *reason)
{
  bool allowed = r->tried_count < MS_MAX_TRIED;

  if (was_sent)
    allowed = allowed && !r->trial && r->attempts < r->route.max_attempts
              && ms_budget_take (r->gw->budget, r->service, r->gw->now);
  if (!allowed)
    {
      ms_request_give_up (r, reason);
      return;
    }
  ms_metric_retry ();
  ms_event (r->gw->now, "retry", "id=%s reason=%s attempts=%u", r->request_id,
            reason, r->attempts);
  ms_request_dispatch (r);
}

void
ms_request_attempt_failed (struct ms_request *r, const char *reason)
{
  ms_request_end_attempt (r, MS_END_BROKEN);
  r->may_have_run = true;
  /* Once part of a response was passed on, only a stream can be continued, and
     only after a whole event and with the id of the last one.  */
  if (ms_request_may_repeat (r) && (!r->head_sent || r->last_event_id.length))
    ms_request_retry (r, true, reason);
  else
    ms_request_give_up (r, reason);
}

/* Write the identifiers of the shared parts of R's prompt to TEXT, with commas
   between them; "-" if there is none.  */
static void
write_parts (const struct ms_request *r, char *text, size_t size)
{
  size_t used = 0;

  snprintf (text, size, "-");
  for (unsigned i = 0; i + 1 < r->guarded_count && used < size; i++)
    used += (size_t)snprintf (text + used, size - used, "%s%llx", i ? "," : "",
                              (unsigned long long)r->guarded[i]);
}

/* The connection to ENDPOINT, of the start that START stands for, broke before
   any of R's response was passed on: it may have crashed because of R.  Peers
   are told, so that R or another request with a part of its prompt does not
   bring down one endpoint after another.  */
static void
note_death (struct ms_request *r, uint64_t endpoint, uint64_t start)
{
  struct ms_gateway *gw = r->gw;
  uint64_t crash_start = start;
  char parts[MS_MAX_PARTS * 20];
  unsigned deaths
      = ms_guard_death (gw->guard, r->fingerprint, endpoint, gw->now);

  ms_peers_report_death (gw->peers, r->fingerprint, deaths, gw->now);
  /* A trial counts at whichever endpoint it was.  */
  if (r->trial)
    start = ms_id_pair (start, (uint64_t)gw->now);
  ms_part_guard_died (gw->part_guard, r->guarded, r->guarded_count, start,
                      gw->now);
  /* A request that ends endpoints of two versions is harmful itself.  */
  if (r->crash_start && r->crash_version != r->sent_version)
    {
      ms_crashes_drop (gw->crashes, r->crash_start, gw->now);
      ms_crashes_drop (gw->crashes, crash_start, gw->now);
    }
  r->crash_start = crash_start;
  r->crash_version = r->sent_version;
  write_parts (r, parts, sizeof parts);
  ms_event (gw->now, "endpoint_broke", "id=%s endpoint=%s deaths=%u parts=%s",
            r->request_id, r->last_endpoint.data, deaths, parts);
}

void
ms_request_upstream_failed (struct ms_request *r, enum ms_upstream_error error)
{
  static const char *const names[] = { [MS_UPSTREAM_CONNECT] = "connect",
                                       [MS_UPSTREAM_BROKEN] = "broken",
                                       [MS_UPSTREAM_BAD_BYTES] = "bad_bytes" };
  uint64_t endpoint = r->endpoint->id;
  uint64_t start = ms_id_pair (endpoint, (uint64_t)r->endpoint->entry.born);

  r->crashed = error == MS_UPSTREAM_BROKEN;
  r->upstream = NULL;
  /* It goes on after them, at their version.  */
  ms_request_release_held (r);
  if (!r->sent)
    {
      /* Nothing was sent, so the next attempt takes nothing from the retry
         budget.  */
      ms_request_end_attempt (r, MS_END_UNREACHABLE);
      ms_request_retry (r, false, names[error]);
      return;
    }
  if (error == MS_UPSTREAM_BROKEN && !r->response_started)
    note_death (r, endpoint, start);
  ms_request_attempt_failed (r, names[error]);
}

void
ms_request_attempt_not_run (struct ms_request *r, unsigned status)
{
  ms_request_end_attempt (r, status == HTTP_STATUS_MISDIRECTED_REQUEST
                                 ? MS_END_MISDIRECTED
                                 : MS_END_REFUSED);
  ms_request_retry (r, true, "endpoint_refused");
}

#include <http_parser.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "gateway/caller.h"
#include "gateway/internal.h"
#include "gateway/metrics.h"
#include "gateway/peers.h"
#include "gateway/request.h"

/* Part of the aim within which an endpoint has to begin.  */
#define AIM_PART 0.9

/* The aim that a request is placed by is never below this: what comes late
   is worth something.  */
#define LEAST_AIM (50 * MS_MSEC)

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

static void
fill_offer (struct ms_request *r, struct ms_offer *offer)
{
  ms_time aim = (ms_time)(AIM_PART * (double)r->aim);
  ms_time left = r->arrived + aim - r->gw->now;

  memset (offer, 0, sizeof *offer);
  offer->service = r->service;
  offer->prompt_tokens = r->prompt.tokens;
  offer->output_tokens = r->prompt.output;
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
            (long long)(ms_request_time_left (r, r->gw->now) / MS_MSEC));
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
      ms_request_give_up (r, "configuration_old");
      return false;
    }
  if (ms_request_time_left (r, now) <= 0)
    {
      ms_request_give_up (r, "deadline");
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
      ms_request_refuse (r, HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE,
                         "head");
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

  if (!check_send (r, r->gw->now))
    return true;
  fill_offer (r, &offer);
  ms_place_choose (r->gw->place, &offer, r->gw->now, &r->choice);
  if (r->choice.result == MS_PLACED)
    {
      attempt (r, &offer);
      return true;
    }
  if (r->gw->now < r->waiter.until)
    ms_waiting_add (r->gw->waiting, &r->waiter);
  else
    ms_request_find_no_room (r);
  return false;
}

void
ms_request_find_no_room (struct ms_request *r)
{
  ms_request_give_up (r, r->choice.result == MS_PLACE_FULL ? "full"
                                                           : "no_endpoint");
}

/* Try again after an attempt that failed, or give the final answer.  SENT_ON
   tells whether a further attempt counts as a retry.  */
void
ms_request_try_again (struct ms_request *r, bool counts, const char *reason)
{
  bool allowed = r->tried_count < MS_MAX_TRIED;

  if (counts)
    allowed = allowed && r->attempts < r->route.max_attempts
              && ms_budget_take (r->gw->budget, r->service, r->gw->now);
  if (!allowed)
    {
      ms_request_give_up (r, reason);
      return;
    }
  ms_metric_retry ();
  ms_event (r->gw->now, "retry", "id=%s reason=%s attempts=%u", r->attempt_id,
            reason, r->attempts);
  ms_request_dispatch (r);
}

/* An endpoint ended or broke off while the request may have run there.  */
void
ms_request_broken (struct ms_request *r, const char *reason)
{
  ms_request_end_attempt (r, MS_END_BROKEN);
  r->may_have_run = true;
  if (ms_request_may_repeat (r) && (!r->head_sent || r->last_event.length))
    ms_request_try_again (r, true, reason);
  else
    ms_request_give_up (r, reason);
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
      ms_request_end_attempt (r, MS_END_UNREACHABLE);
      ms_request_try_again (r, false, names[error]);
      return;
    }
  if (error == MS_UP_BROKEN && !r->began)
    {
      unsigned deaths = ms_guard_death (r->gw->guard, r->fingerprint, endpoint,
                                        r->gw->now);

      ms_peers_report_death (r->gw->peers, r->fingerprint, deaths, r->gw->now);
      ms_event (r->gw->now, "endpoint_broke", "id=%s endpoint=%s deaths=%u",
                r->attempt_id, r->last_endpoint.data, deaths);
    }
  ms_request_broken (r, names[error]);
}

/* The endpoint refuses without having run the request.  */
void
ms_request_not_taken (struct ms_request *r, unsigned status)
{
  ms_request_end_attempt (r, status == HTTP_STATUS_MISDIRECTED_REQUEST
                                 ? MS_END_MISDIRECTED
                                 : MS_END_REFUSED);
  ms_request_try_again (r, true, "endpoint_refused");
}

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/caller.h"
#include "gateway/internal.h"
#include "gateway/request.h"

/* A response, or the incomplete last event of a stream, is buffered up to this
   size, so that if it breaks off the caller can still get that of another
   attempt or an error; a larger one is passed on as it arrives.  */
#define MAX_BUFFERED_BYTES 262144

bool
ms_request_response_head (struct ms_request *r, const struct ms_head *head)
{
  struct ms_str id = ms_head_find (head, PLAT_ATTEMPT_ID);

  if (id.data && !ms_str_equal (id, ms_str (r->attempt_id)))
    {
      ms_event (r->gw->now, "crossed_answer", "id=%s endpoint=%s",
                r->attempt_id, r->last_endpoint.data);
      return false;
    }
  r->answer_status = head->status;
  r->answer = head;
  r->not_run = ms_head_find (head, PLAT_NOT_RUN).data != NULL
               || head->status == HTTP_STATUS_MISDIRECTED_REQUEST;
  /* A success is accepted only if the endpoint signed it.  */
  r->proper = head->status >= 300
              || (ms_head_find (head, PLAT_SIGNATURE).data != NULL
                  && !ms_head_find (head, "Content-Encoding").data);
  r->streams
      = r->route.repeat == MS_STREAMING && head->status == 200 && r->proper;
  return true;
}

/* Append to the part of the response that is not passed on yet.  */
static void
buffer_body (struct ms_request *r, const char *data, size_t length)
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

/* How the end of R's body is marked to the caller, by the endpoint's HEAD.  */
static enum ms_framing
choose_framing (const struct ms_request *r, const struct ms_head *head)
{
  /* A stream may be resumed at another endpoint, whose part has another
     length.  */
  if (head->has_length)
    return r->streams ? MS_FRAMED_CHUNKS : MS_FRAMED_LENGTH;
  return head->chunked ? MS_FRAMED_CHUNKS : MS_FRAMED_CLOSE;
}

/* Send the response head to the caller, unless an earlier attempt did.  */
static void
send_head (struct ms_request *r)
{
  if (r->head_sent)
    return;
  r->head_sent = true;
  r->status = r->answer_status;
  ms_caller_start_response (r->caller, r->answer,
                            choose_framing (r, r->answer),
                            r->answer->content_length);
}

/* Pass on the first LENGTH buffered bytes.  */
static void
forward_buffered (struct ms_request *r, size_t length)
{
  ms_caller_append_body (r->caller, r->held, length);
  r->bytes_forwarded += length;
  memmove (r->held, r->held + length, r->held_length - length);
  r->held_length -= length;
}

/* Record the time to the first byte of the current attempt, once.  */
static void
record_first_byte (struct ms_request *r)
{
  if (r->began)
    return;
  r->began = true;
  if (!r->first_at)
    r->first_at = r->gw->now;
  ms_place_began (r->gw->place, r->endpoint, &r->load, r->choice.fit.expected,
                  r->gw->now - r->sent_at);
}

/* Pass on the complete events in the buffer and keep the incomplete rest: a
   stream can only be resumed after a complete event.  */
static void
forward_events (struct ms_request *r)
{
  unsigned count;
  size_t length
      = ms_events_whole (r->held, r->held_length, &r->last_event, &count);

  if (!length)
    return;
  if (r->began)
    ms_place_paced (r->gw->place, r->endpoint, count,
                    r->gw->now - r->last_event_at, r->gw->now);
  r->last_event_at = r->gw->now;
  record_first_byte (r);
  send_head (r);
  forward_buffered (r, length);
}

void
ms_request_response_body (struct ms_request *r, const char *data,
                          size_t length)
{
  bool discard = !r->proper || r->not_run;

  /* This response is most likely not passed on, so its buffer is bounded.  */
  if (discard && r->held_length + length > MAX_BUFFERED_BYTES)
    return;
  buffer_body (r, data, length);
  if (r->streams)
    forward_events (r);
  if (r->held_length <= MAX_BUFFERED_BYTES || discard)
    return;
  record_first_byte (r);
  send_head (r);
  forward_buffered (r, r->held_length);
}

void
ms_request_flush_response (struct ms_request *r)
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

/* Pass on the rest of a complete response and end R.  */
static void
complete_response (struct ms_request *r)
{
  struct ms_caller *caller = r->caller;
  unsigned status = r->answer_status;

  record_first_byte (r);
  send_head (r);
  forward_buffered (r, r->held_length);
  if (status < 500)
    ms_guard_success (r->gw->guard, r->fingerprint);
  ms_request_end_attempt (r, status < 500 ? MS_END_GOOD : MS_END_ERROR);
  ms_request_log_end (r, status, "answered");
  ms_request_free (r);
  ms_caller_end_response (caller);
}

void
ms_request_response_complete (struct ms_request *r)
{
  /* Busy, or the wrong endpoint: another one may take the request.  */
  if (r->not_run && r->answer_status >= 400)
    {
      if (r->answer_status == HTTP_STATUS_SERVICE_UNAVAILABLE
          || r->answer_status == HTTP_STATUS_TOO_MANY_REQUESTS
          || r->answer_status == HTTP_STATUS_MISDIRECTED_REQUEST)
        {
          ms_request_not_taken (r, r->answer_status);
          return;
        }
    }
  if (!r->proper)
    {
      ms_request_broken (r, "unsigned");
      return;
    }
  /* A resumed stream cannot be ended by passing on an error.  */
  if (r->answer_status >= 500 && r->head_sent)
    {
      ms_request_broken (r, "resumed_failed");
      return;
    }
  /* Retry a server error if that is safe and allowed; else pass it on.  */
  if (r->answer_status >= 500 && ms_request_may_repeat (r)
      && r->attempts < r->route.max_attempts && r->tried_count < MS_MAX_TRIED
      && ms_budget_take (r->gw->budget, r->service, r->gw->now))
    {
      ms_request_end_attempt (r, MS_END_ERROR);
      r->may_have_run = true;
      ms_request_dispatch (r);
      return;
    }
  complete_response (r);
}

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/caller.h"
#include "gateway/internal.h"
#include "gateway/metrics.h"
#include "gateway/request.h"

/* A response is held back up to this size, so that the caller can get another
   attempt's response or an error if the endpoint breaks off.  Whenever the
   buffer exceeds this size, its content is passed on.  */
#define MAX_BUFFERED_BYTES 262144

/* The same for the incomplete last event of a stream, which cannot be resumed
   once a part of that was passed on; MAX_BUFFERED_BYTES while room is
   scarce.  */
#define MAX_EVENT_BYTES 1048576

/* While room is scarce, a whole response is held back only up to this size. */
#define MAX_SCARCE_BYTES 16384

/* Write the media type that HEAD states, without parameters, to TEXT.  */
static void
read_media_type (const struct ms_head *head, char text[MS_MEDIA_TYPE_BYTES])
{
  struct ms_str value = ms_head_find (head, "Content-Type");
  size_t length = 0;

  while (length < value.length && length < MS_MEDIA_TYPE_BYTES - 1
         && value.data[length] != ';' && value.data[length] != ' ')
    {
      text[length] = value.data[length];
      length++;
    }
  text[length] = '\0';
}

/* Whether HEAD may belong to a part of R's stream: its media type is that of
   the first part, if both state one.  */
static bool
continues_stream (const struct ms_request *r, const struct ms_head *head)
{
  char type[MS_MEDIA_TYPE_BYTES];

  if (!r->head_sent)
    return true;
  read_media_type (head, type);
  return !*type || !*r->media_type || strcasecmp (type, r->media_type) == 0;
}

bool
ms_request_response_head (struct ms_request *r, const struct ms_head *head)
{
  struct ms_str id = ms_head_find (head, PLAT_ATTEMPT_ID);
  bool repeats_id;

  if (id.data && !ms_str_equal (id, r->full_id))
    {
      ms_event (r->gw->now, "crossed_answer", "id=%s endpoint=%s",
                r->request_id, r->last_endpoint.data);
      return false;
    }
  /* Endpoints repeat the id.  A response without it may belong to another
     request, so nothing that it says is believed.  */
  repeats_id = id.data || !r->full_id.length;
  r->response_status = head->status;
  r->response_head = head;
  r->not_run = repeats_id
               && (ms_head_find (head, PLAT_NOT_RUN).data != NULL
                   || head->status == HTTP_STATUS_MISDIRECTED_REQUEST);
  /* A response with a status below 300 is accepted only if the endpoint signed
     it and it has no Content-Encoding.  */
  r->response_accepted
      = repeats_id
        && (head->status >= 300
            || (ms_head_find (head, PLAT_SIGNATURE).data != NULL
                && !ms_head_find (head, "Content-Encoding").data));
  r->stream_response = r->route.repeat == MS_STREAMING && head->status == 200
                       && r->response_accepted && continues_stream (r, head);
  return true;
}

/* Append to the part of the response that is not passed on yet.  */
static void
buffer_body (struct ms_request *r, const char *data, size_t length)
{
  if (r->unsent_length + length > r->unsent_capacity)
    {
      r->gw->held_back -= r->unsent_capacity;
      r->unsent_capacity = r->unsent_capacity ? r->unsent_capacity * 2 : 1024;
      while (r->unsent_capacity < r->unsent_length + length)
        r->unsent_capacity *= 2;
      r->gw->held_back += r->unsent_capacity;
      r->unsent_body = ms_resize (r->unsent_body, r->unsent_capacity, 1);
    }
  memcpy (r->unsent_body + r->unsent_length, data, length);
  r->unsent_length += length;
}

/* Whether a response to R with HEAD has no body whatever its headers say.  */
static bool
is_bodiless (const struct ms_request *r, const struct ms_head *head)
{
  return head->status == HTTP_STATUS_NO_CONTENT
         || head->status == HTTP_STATUS_NOT_MODIFIED
         || ms_str_equal (ms_caller_head (r->caller)->method, ms_str ("HEAD"));
}

/* Choose how to mark the end of the response body to R's caller; HEAD is that
   of the endpoint's response.  An end that only the endpoint's connection
   tells is passed on as such: the endpoint may have crashed, so chunks would
   say more than is known.  */
static enum ms_framing
choose_framing (const struct ms_request *r, const struct ms_head *head)
{
  bool takes_chunks = ms_caller_head (r->caller)->takes_chunks;

  if (is_bodiless (r, head))
    return MS_FRAMED_NONE;
  if (head->has_length && !r->stream_response)
    return MS_FRAMED_LENGTH;
  /* A stream may be resumed at another endpoint, whose part has another
     length.  */
  return (head->has_length || head->chunked) && takes_chunks ? MS_FRAMED_CHUNKS
                                                             : MS_FRAMED_CLOSE;
}

/* Send the response head to the caller, unless an earlier attempt did.  */
static void
send_head (struct ms_request *r)
{
  enum ms_framing framing;

  if (r->head_sent)
    return;
  framing = choose_framing (r, r->response_head);
  r->head_sent = true;
  r->status = r->response_status;
  r->ends_by_closing = framing == MS_FRAMED_CLOSE;
  read_media_type (r->response_head, r->media_type);
  ms_caller_start_response (r->caller, r->response_head, framing,
                            r->response_head->content_length);
}

/* Pass on the first LENGTH buffered bytes.  */
static void
forward_buffered (struct ms_request *r, size_t length)
{
  if (!length)
    return;
  ms_caller_append_body (r->caller, r->unsent_body, length);
  r->bytes_forwarded += length;
  memmove (r->unsent_body, r->unsent_body + length, r->unsent_length - length);
  r->unsent_length -= length;
  if (r->unsent_length || r->unsent_capacity <= MAX_SCARCE_BYTES)
    return;
  r->gw->held_back -= r->unsent_capacity;
  free (r->unsent_body);
  r->unsent_body = NULL;
  r->unsent_capacity = 0;
}

/* Tell those that learn from answers that the current attempt's has begun to
   arrive.  */
static void
note_arrival (struct ms_request *r)
{
  r->load.whole = !r->stream_response;
  ms_place_began (r->gw->place, r->endpoint, &r->load, r->choice.fit.expected,
                  r->gw->now - r->sent_at, r->gw->now);
  if (r->response_status < 300 && r->done_cost <= 0)
    {
      r->done_cost = r->prompt.tokens;
      ms_share_began (r->gw->share, r->team, r->done_cost, r->stream_response,
                      r->gw->now);
    }
  if (r->response_status < 300)
    ms_part_guard_began (r->gw->part_guard, r->guarded, r->guarded_count,
                         r->gw->now);
  if (r->stream_response)
    ms_request_note_began (r);
}

/* Record when the current attempt's response is first passed on, once per
   attempt.  */
static void
record_first_byte (struct ms_request *r)
{
  if (r->response_started)
    return;
  r->response_started = true;
  r->began_at = r->held_at ? r->held_at : r->gw->now;
  if (!r->first_byte_at)
    r->first_byte_at = r->gw->now;
  if (!r->held_at)
    note_arrival (r);
}

/* Whether the first events of R's stream are to be held back.  */
static bool
is_held (const struct ms_request *r)
{
  const struct ms_gateway *gw = r->gw;

  return !r->response_started && r->stream && !r->version
         && gw->now < ms_streams_hold_until (gw->streams, r->service, r->moved,
                                             r->sent_at, r->arrived,
                                             r->first_byte_target, gw->now);
}

/* Pass on the complete events in the buffer and keep the incomplete rest: a
   stream can only be resumed after a complete event.  */
static void
forward_events (struct ms_request *r)
{
  unsigned count;
  size_t length = ms_events_complete_length (r->unsent_body, r->unsent_length,
                                             &r->last_event_id, &count);

  if (!length)
    return;
  if (r->response_started)
    {
      ms_place_note_pace (r->gw->place, r->endpoint, count,
                          r->gw->now - r->last_event_at, r->gw->now);
      r->paced_events += count;
    }
  if (!r->response_started)
    {
      r->version = r->sent_version;
      if (r->stream)
        ms_streams_begin (r->gw->streams, r->stream, r->version, r->gw->now);
    }
  /* The next event's pace counts from when these arrived.  */
  r->last_event_at
      = r->held_at && !r->response_started ? r->held_at : r->gw->now;
  record_first_byte (r);
  send_head (r);
  forward_buffered (r, length);
  r->mid_event = false;
}

/* Whether the endpoint refused the request, so that another one may take
   it.  */
static bool
is_refusal (const struct ms_request *r)
{
  return r->not_run
         && (r->response_status == HTTP_STATUS_SERVICE_UNAVAILABLE
             || r->response_status == HTTP_STATUS_TOO_MANY_REQUESTS
             || r->response_status == HTTP_STATUS_MISDIRECTED_REQUEST);
}

/* Whether the current attempt resumes a stream, but its response is no
   stream, so that no part of it may be passed on.  */
static bool
fails_to_resume (const struct ms_request *r)
{
  return r->head_sent && !r->response_started && !r->stream_response;
}

/* Whether the response may not be passed on because its status promises that
   the request has not run and never will, but the endpoint does not state
   that, or an earlier attempt may have run.  */
static bool
is_false_promise (const struct ms_request *r)
{
  return ms_status_promises_not_run (r->response_status)
         && (!r->not_run || r->may_have_run);
}

/* Whether no part of R's response may be passed on before it is complete, if
   at all: another attempt's may replace it.  */
static bool
is_passed_on_whole (const struct ms_request *r)
{
  return !r->response_accepted || is_refusal (r) || fails_to_resume (r)
         || is_false_promise (r)
         || r->response_status >= HTTP_STATUS_INTERNAL_SERVER_ERROR;
}

/* How many bytes of a response are held back.  */
static size_t
hold_back_limit (const struct ms_request *r)
{
  if (r->stream_response)
    return ms_room_scarce (r->gw->room) ? MAX_BUFFERED_BYTES : MAX_EVENT_BYTES;
  return ms_room_scarce (r->gw->room) ? MAX_SCARCE_BYTES : MAX_BUFFERED_BYTES;
}

/* R's response does not fit into the memory that it may take before it is
   complete.  Its end is not awaited, as there may be none.  */
static void
drop_response (struct ms_request *r)
{
  if (is_refusal (r))
    ms_request_attempt_not_run (r, r->response_status);
  else
    ms_request_attempt_failed (r, fails_to_resume (r) ? "resumed_failed"
                                                      : "too_long");
}

void
ms_request_response_body (struct ms_request *r, const char *data,
                          size_t length)
{
  if (is_passed_on_whole (r)
      && r->unsent_length + length > hold_back_limit (r))
    {
      drop_response (r);
      return;
    }
  buffer_body (r, data, length);
  if (r->stream_response && is_held (r))
    {
      if (!r->held_at)
        note_arrival (r);
      r->held_at = r->gw->now;
    }
  else if (r->stream_response)
    forward_events (r);
  if (is_passed_on_whole (r) || r->unsent_length <= hold_back_limit (r))
    return;
  record_first_byte (r);
  send_head (r);
  forward_buffered (r, r->unsent_length);
  if (!r->stream_response)
    return;
  r->mid_event = true;
  /* Its id may have been passed on with this part.  */
  r->last_event_id.length = 0;
}

void
ms_request_flush_response (struct ms_request *r)
{
  if (ms_caller_flush (r->caller) || !r->upstream)
    return;
  ms_upstream_pause (r->upstream);
  ms_metric_endpoint_pause ();
}

void
ms_request_release_held (struct ms_request *r)
{
  if (!r->held_at || r->response_started)
    return;
  forward_events (r);
  ms_request_flush_response (r);
}

void
ms_request_release_stored (struct ms_request *r)
{
  if (r->held_at && r->upstream && !is_held (r))
    ms_request_release_held (r);
}

void
ms_request_caller_drained (struct ms_request *r)
{
  if (r->upstream)
    ms_upstream_resume (r->upstream);
}

/* Whether the end of R's stream, which the caller is told, is not known: only
   the endpoint's connection tells it, which a crash ends as well.  */
static bool
ends_unknown (const struct ms_request *r)
{
  const struct ms_head *head = r->response_head;

  return r->stream_response && r->head_sent && !r->ends_by_closing
         && !head->has_length && !head->chunked;
}

/* How the current attempt, whose response is complete, has ended.  */
static enum ms_place_end
response_end (const struct ms_request *r)
{
  if (r->response_status < HTTP_STATUS_INTERNAL_SERVER_ERROR)
    return MS_END_GOOD;
  return r->failed_at
                 && ms_place_same_error (r->gw->place, r->failed_at,
                                         r->endpoint)
             ? MS_END_SAME_ERROR
             : MS_END_ERROR;
}

/* Whether R, whose response is an error, is sent to another endpoint; if so,
   that is taken from the retry budget.  If no other endpoint can get the
   request, the response is passed on, or replaced if it is a false promise. */
static bool
retries_error (struct ms_request *r)
{
  return ms_request_may_repeat (r) && r->attempts < r->route.max_attempts
         && r->tried_count < MS_MAX_TRIED
         && ms_request_time_left (r, r->gw->now) > 0
         && ms_request_other_usable (r)
         && ms_budget_take (r->gw->budget, r->service, r->gw->now);
}

/* Pass on the rest of a complete response and end R.  */
static void
complete_response (struct ms_request *r)
{
  struct ms_caller *caller = r->caller;
  unsigned status = r->response_status;

  record_first_byte (r);
  send_head (r);
  forward_buffered (r, r->unsent_length);
  if (status < 500)
    ms_guard_success (r->gw->guard, r->fingerprint);
  ms_request_end_attempt (r, response_end (r));
  ms_request_log_end (r, status, "answered");
  ms_request_free (r);
  ms_caller_end_response (caller);
}

/* Retry R, whose complete response is an error, if that is safe and allowed;
   else pass the response on, or end R with 502 if it is a false promise.  */
static void
handle_error (struct ms_request *r)
{
  bool retries = retries_error (r);
  enum ms_place_end end;

  if (!retries && !is_false_promise (r))
    {
      complete_response (r);
      return;
    }
  end = response_end (r);
  if (end == MS_END_ERROR)
    r->failed_at = r->endpoint;
  ms_request_end_attempt (r, end);
  r->may_have_run = true;
  if (retries)
    ms_request_dispatch (r);
  else
    ms_request_give_up (r, "false_promise");
}

void
ms_request_response_complete (struct ms_request *r)
{
  if (is_refusal (r))
    {
      ms_request_attempt_not_run (r, r->response_status);
      return;
    }
  /* A response with Content-Encoding is reported as unsigned as well.  */
  if (!r->response_accepted)
    {
      ms_request_attempt_failed (r, "unsigned");
      return;
    }
  ms_request_release_held (r);
  /* The end of the connection ends a stream without a length, also when the
     endpoint broke it off.  */
  if (r->stream_response && (r->unsent_length || r->mid_event))
    {
      ms_request_attempt_failed (r, "cut_event");
      return;
    }
  if (ends_unknown (r))
    {
      ms_request_attempt_failed (r, "end_unknown");
      return;
    }
  if (fails_to_resume (r))
    {
      ms_request_attempt_failed (r, "resumed_failed");
      return;
    }
  if (r->response_status >= 500 || is_false_promise (r))
    handle_error (r);
  else
    complete_response (r);
}

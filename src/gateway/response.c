#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/caller.h"
#include "gateway/internal.h"
#include "gateway/request.h"

/* Whole answers of up to so many bytes are held until they are complete.  */
#define MAX_HELD_BYTES 262144

bool
ms_request_head (struct ms_request *r, const struct ms_head *head)
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
  size_t whole = ms_events_complete_length (r->held, r->held_length,
                                            &r->last_event, &count);

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
  bool useless = !r->proper || r->not_run;

  /* What is not passed on need not be kept beyond the bound.  */
  if (useless && r->held_length + length > MAX_HELD_BYTES)
    return;
  hold (r, data, length);
  if (r->streams)
    forward_events (r);
  if (r->held_length <= MAX_HELD_BYTES || useless)
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
  ms_request_end_attempt (r, status < 500 ? MS_END_GOOD : MS_END_ERROR);
  ms_request_log_end (r, status, "answered");
  ms_request_free (r);
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
          ms_request_not_taken (r, r->answer_status);
          return;
        }
    }
  if (!r->proper)
    {
      ms_request_broken (r, "unsigned");
      return;
    }
  if (r->answer_status >= 500 && r->head_sent)
    {
      ms_request_broken (r, "resumed_failed");
      return;
    }
  if (r->answer_status >= 500 && ms_request_may_repeat (r)
      && r->attempts < r->route.max_attempts && r->tried_count < MS_MAX_TRIED
      && ms_budget_take (r->gw->budget, r->service, r->gw->now))
    {
      ms_request_end_attempt (r, MS_END_ERROR);
      r->may_have_run = true;
      ms_request_dispatch (r);
      return;
    }
  complete (r);
}

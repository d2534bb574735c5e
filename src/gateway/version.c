#include <http_parser.h>
#include <string.h>

#include "gateway/internal.h"
#include "gateway/metrics.h"
#include "gateway/rollouts.h"

/* Which versions of its service a request is sent to while that is moved to
   another one, and what its answer says of the version that gave it.  */

_Static_assert(MS_MAX_EXCEPT == MS_ROLLOUT_EXCLUDED,
               "an offer excludes what a rollout does");

/* A request that ended before an answer began says something of its endpoint
   only if that was late by this factor.  */
#define LATE_RATIO 3

/* Added to measured and predicted times: delays of this process and of the
   network, which say nothing of an endpoint that answers in a millisecond.  */
#define MEASURING_TIME (3 * MS_MSEC)

/* Events of a stream from which its pace is known.  */
#define MIN_PACED_EVENTS 4

/* Replace CHOICE if it leaves no usable endpoint.  A version that was stopped
   remains excluded while others are listed.  Return whether it was replaced.
 */
static bool
relax_choice (const struct ms_request *r, struct ms_rollout_choice *choice)
{
  const struct ms_gateway *gw = r->gw;
  uint32_t only
      = choice->only && !choice->fallback ? choice->only : choice->rest;

  if (choice->wait
      || (!only && !choice->except[0] && !choice->except[1]
          && !choice->except[2])
      || ms_place_any_usable (gw->place, r->service, only, choice->except,
                              gw->now))
    return false;
  *choice = ms_rollouts_choose_rest (gw->rollouts, r->service);
  for (unsigned i = 0; i < MS_ROLLOUT_EXCLUDED; i++)
    if (choice->except[i]
        && !ms_place_version_use (gw->place, r->service, choice->except[i],
                                  gw->now)
                .others)
      choice->except[i] = 0;
  return true;
}

static bool
allows (const struct ms_rollout_choice *choice, uint32_t version)
{
  for (unsigned i = 0; i < MS_ROLLOUT_EXCLUDED; i++)
    if (choice->except[i] && version == choice->except[i])
      return false;
  if (choice->wait)
    return false;
  if (choice->only && (version == choice->only || !choice->fallback))
    return version == choice->only;
  return !choice->rest || version == choice->rest;
}

bool
ms_request_version_allowed (const struct ms_request *r, uint32_t version)
{
  const struct ms_gateway *gw = r->gw;
  struct ms_rollout_choice choice;

  if (r->version)
    return ms_rollout_driver_allows (gw->rollout_driver, r->service, version,
                                     gw->now);
  choice = ms_rollout_driver_choose (gw->rollout_driver, r->service,
                                     r->attempts, gw->now);
  if (allows (&choice, version))
    return true;
  return relax_choice (r, &choice) && allows (&choice, version);
}

/* Choose an endpoint of ONLY, or of the version REST if that is 0, or of any,
   without those that OFFER excludes.  */
static void
choose_of (struct ms_request *r, struct ms_offer *offer, uint32_t only,
           uint32_t rest)
{
  offer->version = only ? only : rest;
  offer->canary = only != 0;
  ms_place_choose (r->gw->place, offer, r->gw->now, &r->choice);
}

/* Choose an endpoint of the version that CHOICE names or, if none can take the
   request, of another that OFFER does not exclude.  If the request has failed
   at that version, the others come first.  */
static void
choose_with_fallback (struct ms_request *r, struct ms_offer *offer,
                      const struct ms_rollout_choice *choice)
{
  uint32_t only = choice->only;
  bool avoid = r->failed_version == only;
  struct ms_choice first;

  /* Nothing else stands in the first place of the list then.  */
  offer->except[0] = avoid ? only : 0;
  choose_of (r, offer, avoid ? 0 : only, choice->rest);
  if (r->choice.result == MS_PLACED)
    return;
  first = r->choice;
  offer->except[0] = avoid ? 0 : only;
  choose_of (r, offer, avoid ? only : 0, choice->rest);
  /* It may wait for capacity of either.  */
  if (r->choice.result == MS_PLACE_NONE && first.result == MS_PLACE_FULL)
    r->choice = first;
}

bool
ms_request_choose (struct ms_request *r, struct ms_offer *offer)
{
  struct ms_gateway *gw = r->gw;
  struct ms_rollout_choice choice;
  struct ms_rollout_state state;

  if (r->version)
    {
      offer->version = r->version;
      if (ms_rollouts_state (gw->rollouts, r->service, gw->now, &state))
        offer->fresh = state.order.version;
      ms_place_choose (gw->place, offer, gw->now, &r->choice);
      return false;
    }
  choice = ms_rollout_driver_choose (gw->rollout_driver, r->service,
                                     r->attempts, gw->now);
  if (choice.wait)
    {
      r->choice = (struct ms_choice){ .result = MS_PLACE_FULL };
      return true;
    }
  offer->fresh = choice.only;
  for (unsigned i = 0; i < MS_ROLLOUT_EXCLUDED; i++)
    offer->except[i] = choice.except[i];
  if (choice.only && choice.fallback)
    choose_with_fallback (r, offer, &choice);
  else
    choose_of (r, offer, choice.only, choice.rest);
  if (r->choice.result != MS_PLACE_NONE || !relax_choice (r, &choice))
    return false;
  memcpy (offer->except, choice.except, sizeof offer->except);
  choose_of (r, offer, choice.only, choice.rest);
  return false;
}

void
ms_request_note_sent (struct ms_request *r)
{
  struct ms_gateway *gw = r->gw;
  struct ms_rollout_state state;

  ms_rollouts_sent (gw->rollouts, r->service, r->sent_version, r->attempts,
                    gw->now);
  if (ms_rollouts_state (gw->rollouts, r->service, gw->now, &state))
    ms_metric_rollout_sent (r->sent_version == state.order.version);
}

/* Tell the rollouts of an answer of the current attempt.  */
static void
note_answer (struct ms_request *r, bool failed, double ratio)
{
  const struct ms_endpoint_state *e = r->endpoint;
  const struct ms_rollout_answer answer = {
    .service = r->service,
    .version = r->sent_version,
    .route = ms_id (ms_str (r->route.name.data)),
    .zone = e->entry.zone,
    .endpoint = e->id,
    .failed = failed,
    .ratio = ratio,
    .warming = ms_place_is_warming (r->gw->place, e, r->gw->now),
  };

  if (failed)
    r->failed_version = r->sent_version;
  /* After this process did not run for a while, answers came late, or their
     endpoints gave them up.  */
  if (r->suspect || r->gw->stalled_at >= r->sent_at)
    return;
  if (!failed || !r->crashed
      || !ms_crashes_hold (r->gw->crashes,
                           ms_id_pair (e->id, (uint64_t)e->entry.born),
                           &answer, r->gw->now))
    ms_rollouts_note (r->gw->rollouts, &answer, r->gw->now);
}

/* Return the time for which data that is read now may have waited since this
   process did not run.  */
static ms_time
waited_unread (const struct ms_gateway *gw)
{
  return gw->delayed_at && gw->now - gw->delayed_at < MS_TICK_MS * MS_MSEC
             ? gw->delayed_for
             : 0;
}

/* Return TOOK over the time in which an endpoint as fast as usual would have
   begun to answer; 0 if that was not predicted.  An answer that may have
   waited here counts as if it had.  */
static double
ratio_of (const struct ms_request *r, ms_time took)
{
  if (r->choice.fit.usual <= 0)
    return 0;
  took -= waited_unread (r->gw);
  if (took < 0)
    took = 0;
  return (double)(took + MEASURING_TIME)
         / (double)(r->choice.fit.usual + MEASURING_TIME);
}

void
ms_request_note_began (struct ms_request *r)
{
  note_answer (r, false, ratio_of (r, r->gw->now - r->sent_at));
}

/* The attempt ended before an answer began.  Where its time was over, the
   endpoint has failed it, unless that is still warming up; else it says
   something only if the answer was late by then.  */
static void
note_unanswered (struct ms_request *r)
{
  ms_time now = r->gw->now;
  double ratio = ratio_of (r, now - r->sent_at);

  if (ms_place_is_warming (r->gw->place, r->endpoint, now) || r->held_at)
    return;
  if (ms_request_time_left (r, now) <= 0)
    note_answer (r, true, 0);
  else if (ratio > LATE_RATIO)
    note_answer (r, false, ratio);
}

/* Note the pace of a stream that sent COUNT events TOOK apart in all, if it
   has one.  */
static void
note_pace (struct ms_request *r, unsigned count, ms_time took)
{
  double ratio = ms_place_pace_ratio (r->gw->place, r->endpoint, count, took);

  if (ratio > 0)
    note_answer (r, false, ratio);
}

/* A complete answer has ended.  That a stream began was noted.  */
static void
note_complete (struct ms_request *r)
{
  ms_time began = r->began_at ? r->began_at : r->gw->now;

  if (r->not_run)
    return;
  if (!r->stream_response)
    note_answer (r, r->response_status >= HTTP_STATUS_BAD_REQUEST,
                 ratio_of (r, began - r->sent_at));
  else if (r->paced_events >= MIN_PACED_EVENTS)
    note_pace (r, r->paced_events, r->last_event_at - r->began_at);
}

void
ms_request_note_end (struct ms_request *r, enum ms_place_end end)
{
  switch (end)
    {
    case MS_END_GOOD:
    case MS_END_ERROR:
    case MS_END_SAME_ERROR:
      note_complete (r);
      break;
    case MS_END_BROKEN:
      note_answer (r, true, 0);
      break;
    case MS_END_CANCELLED:
      if (!r->response_started)
        note_unanswered (r);
      /* The stream has not ended in time.  */
      else if (r->stream_response && ms_request_time_left (r, r->gw->now) <= 0)
        note_pace (r, r->paced_events ? r->paced_events : 1,
                   r->gw->now - r->began_at);
      break;
    case MS_END_REFUSED:
    case MS_END_MISDIRECTED:
    case MS_END_UNREACHABLE:
      break;
    }
}

#include <stdlib.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/internal.h"
#include "platform.h"

/* Streams that callers take up, after they have broken off at this router or
   at another one: each goes on at the version that began it.  */

/* A request that takes up a stream waits for this long for the store to
   confirm the list of endpoints, but not longer than half of its time.  */
#define CONFIRM_TIME (500 * MS_MSEC)

/* A stream that is taken up began at least this long ago.  */
#define MIN_STREAM_AGE (50 * MS_MSEC)

/* Keep the services of R's route: the routing table may be replaced.  */
static void
copy_services (struct ms_request *r)
{
  r->services_count = r->route.splits_count;
  r->services = ms_new_array (r->services_count, sizeof *r->services);
  for (unsigned i = 0; i < r->services_count; i++)
    r->services[i] = r->route.splits[i].service;
}

void
ms_request_identify_stream (struct ms_request *r, const struct ms_head *head)
{
  struct ms_str resumes = ms_head_find (head, PLAT_RESUMES);

  if (r->route.repeat != MS_STREAMING || !r->route.resumable)
    return;
  r->takes_up = ms_head_find (head, PLAT_RESUME_AFTER).length > 0;
  if (!r->takes_up)
    resumes = r->full_id;
  r->stream = resumes.length ? ms_id (resumes) : 0;
  if (!r->takes_up)
    return;
  copy_services (r);
  if (!ms_request_find_version (r))
    {
      ms_time most = ms_request_time_left (r, r->gw->now) / 2;

      r->confirm_until
          = r->gw->now + (most < CONFIRM_TIME ? most : CONFIRM_TIME);
      ms_topic_confirm (r->gw->endpoint_topic);
    }
}

/* R goes on at VERSION, which one of its route's services has; 0 if the
   version is not known.  */
static void
set_version (struct ms_request *r, uint32_t version)
{
  r->version = version;
  r->confirm_until = 0;
  for (unsigned i = 0; i < r->services_count; i++)
    if (ms_place_has_version (r->gw->place, r->services[i], version))
      r->service = r->waiter.service = r->services[i];
}

/* Whether all versions that were listed when R's stream began are known. While
   this router is cut off, or does not run, others may learn of a new version
   and begin streams at it.  */
static bool
knows_versions (const struct ms_request *r)
{
  return ms_topic_read_at (r->gw->endpoint_topic)
         >= r->arrived - MIN_STREAM_AGE;
}

bool
ms_request_find_version (struct ms_request *r)
{
  const struct ms_gateway *gw = r->gw;
  uint32_t version = ms_streams_version (gw->streams, r->stream, r->services,
                                         r->services_count, gw->now);

  if (version && !ms_streams_reported (gw->streams, r->stream)
      && !knows_versions (r))
    return false;
  set_version (r, version);
  return true;
}

/* The list of endpoints was not confirmed in time for R.  The store may be
   down for all: then no router learns of a new version, and this one, which
   hears the others, would have learned of it from them.  */
static void
decide_unconfirmed (struct ms_request *r)
{
  const struct ms_gateway *gw = r->gw;

  if (ms_fleet_heard_since (gw->fleet, r->arrived))
    set_version (r, ms_streams_version (gw->streams, r->stream, r->services,
                                        r->services_count, gw->now));
  else
    set_version (r, 0);
  ms_event (
      gw->now, "stream_unconfirmed", "id=%s list_ms=%lld version=%x",
      r->request_id,
      (long long)((gw->now - ms_topic_read_at (gw->endpoint_topic)) / MS_MSEC),
      r->version);
}

void
ms_request_await_version (struct ms_request *r)
{
  struct ms_gateway *gw = r->gw;

  if (!ms_request_find_version (r))
    {
      if (gw->now < r->confirm_until)
        {
          ms_topic_confirm (gw->endpoint_topic);
          return;
        }
      decide_unconfirmed (r);
    }
  /* It has not waited for capacity so far.  */
  r->waiter.give_up_at += gw->now - r->arrived;
  if (r->version)
    ms_request_dispatch (r);
  else
    ms_request_give_up (r, "version_unknown");
}

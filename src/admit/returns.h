#ifndef ADMIT_RETURNS_H
#define ADMIT_RETURNS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* When refused callers return.  A refused request gets a promise if the share
   of its team at this router is predicted to have room for it in time: a time
   from which, for MS_RETURN_WINDOW, a request with its key goes before new
   ones of its team.  The promises of a router are paid for from its own part
   of the team's share, so that all routers together promise no more than the
   fleet is predicted to admit.  A request that returns when it cannot be
   answered in time any more, or whose promise was claimed already, goes after
   new ones.

   The user of this module exchanges what routers have refused.  What another
   router reports counts as long as it is repeated, so that it ends with that
   router.  Reads no clock: the time is passed in.  Not thread-safe.  */

/* How long a promise may be claimed.  */
#define MS_RETURN_WINDOW (100 * MS_MSEC)

struct ms_returns;

/* A request that consumes cost units of a team's share.  KEY is a hash of
   team, API key and content: a caller that sends a request again uses the same
   one.  */
struct ms_return_request
{
  uint64_t team;
  uint64_t key;
  double size; /* In cost units.  */
  ms_time arrived;
  ms_time target; /* Duration from the first arrival within which it must be
                     sent to an endpoint to be answered in time.  */
  ms_time limit;  /* Longest duration until a return that the caller
                     honours.  */
};

/* What a team may be admitted at this router.  */
struct ms_return_share
{
  double rate;   /* In cost units per second; 0 if it is not limited.  */
  double credit; /* In cost units; below 0 if it is overdrawn.  */
};

struct ms_returns *ms_returns_create (void);

/* Free RETURNS, which may be NULL.  */
void ms_returns_destroy (struct ms_returns *returns);

/* A request arrived at NOW.  Return the least credit, in cost units, that the
   team must exceed for it to be admitted: -HUGE_VAL if it claims a promise,
   HUGE_VAL if its promise cannot be claimed yet.  */
double ms_returns_arrived (struct ms_returns *returns,
                           const struct ms_return_request *request,
                           const struct ms_return_share *share, ms_time now);

/* The request was refused at NOW, and did not run.  Return the duration after
   which its promise can be claimed, or 0 if it has no promise.  While it has
   one, it gets no other.  */
ms_time ms_returns_refused (struct ms_returns *returns,
                            const struct ms_return_request *request,
                            const struct ms_return_share *share, ms_time now);

/* Return the sum of this router's promises to TEAM that can still be claimed,
   in cost units.  */
double ms_returns_promised (const struct ms_returns *returns, uint64_t team,
                            ms_time now);

/* Remove what has expired.  */
void ms_returns_tick (struct ms_returns *returns, ms_time now);

/* A refused request, as routers report it.  */
struct ms_return_report
{
  uint64_t key;
  ms_time age;  /* Duration since it first arrived.  */
  ms_time wait; /* Duration from then until its promise can be claimed; 0 if
                   it has none.  */
  double size;  /* Of the promise, in cost units.  */
  bool claimed; /* The promise, which has ended.  */
};

/* Store what this router has refused, newest first, in REPORTS.  Return how
   many were stored, at most SPACE.  */
unsigned ms_returns_report (const struct ms_returns *returns, ms_time now,
                            struct ms_return_report *reports, unsigned space);

/* Take the report of another router that arrived at NOW.  Implausible ones are
   counted and ignored.  */
void ms_returns_merge (struct ms_returns *returns,
                       const struct ms_return_report *report, ms_time now);

/* Counts since the start.  */
struct ms_returns_counts
{
  uint64_t promised;
  uint64_t claimed; /* Here, of any router.  */
  uint64_t expired; /* Of this router, unclaimed.  */
  uint64_t late;    /* Requests that returned too late, or again.  */
  uint64_t implausible;
  unsigned records; /* Now.  */
};

struct ms_returns_counts ms_returns_counts (const struct ms_returns *returns);

#endif

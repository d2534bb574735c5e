#ifndef GUARD_CRASHES_H
#define GUARD_CRASHES_H

#include <stdbool.h>
#include <stdint.h>

#include "rollout/rollout.h"

/* Failures of requests whose endpoint crashed, which say something of its
   version only if none of them has caused the crash.  They are held for
   MS_CRASH_HOLD.  A request that then crashes an endpoint of another version
   as well is harmful whatever the version: the failures that came with its
   crashes are dropped.  Without that, a few harmful requests in a canary, each
   of which ends all requests that run beside it, make a good version look bad.

   Opens no socket and reads no clock.  Not thread-safe.  */

#define MS_CRASH_HOLD (1 * MS_SEC)

struct ms_crashes;

struct ms_crashes *ms_crashes_create (void);

/* Free CRASHES, which may be NULL.  */
void ms_crashes_destroy (struct ms_crashes *crashes);

/* Hold ANSWER, a failure by the crash of the endpoint of which START stands
   for the start.  Return false if there is no room: then it counts at once. */
bool ms_crashes_hold (struct ms_crashes *crashes, uint64_t start,
                      const struct ms_rollout_answer *answer, ms_time now);

/* A harmful request has caused the crash of START: drop what is held of it and
   what comes of it until MS_CRASH_HOLD later.  */
void ms_crashes_drop (struct ms_crashes *crashes, uint64_t start, ms_time now);

/* Move a failure that was held long enough to ANSWER.  Return false if there
   is none.  */
bool ms_crashes_release (struct ms_crashes *crashes,
                         struct ms_rollout_answer *answer, ms_time now);

#endif

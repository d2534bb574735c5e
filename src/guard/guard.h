#ifndef GUARD_GUARD_H
#define GUARD_GUARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/* Requests that end the endpoints that run them.  A request whose endpoint
   ended is a suspect and is tried again only alone; one with two ended
   endpoints is refused.  A suspect that runs well is cleared.  */

struct ms_guard;

enum ms_verdict
{
  MS_CLEAR,
  MS_SUSPECT,
  MS_QUARANTINED
};

struct ms_guard *ms_guard_create (void);
void ms_guard_destroy (struct ms_guard *guard);

enum ms_verdict ms_guard_check (struct ms_guard *guard, uint64_t fingerprint,
                                ms_time now);

/* An endpoint ended under the request.  Returns the deaths now known; 0 if so
   many endpoints ended at once that the request is hardly the cause.  That
   too is remembered, and counts once another endpoint ends under it.  */
unsigned ms_guard_death (struct ms_guard *guard, uint64_t fingerprint,
                         uint64_t endpoint, ms_time now);

/* The request ran well; true if it was a suspect.  */
bool ms_guard_success (struct ms_guard *guard, uint64_t fingerprint);

/* A peer or the log tells of DEATHS, 0 for an unproved one, or that the
   request was CLEARED.  */
void ms_guard_told (struct ms_guard *guard, uint64_t fingerprint,
                    unsigned deaths, bool cleared, ms_time now);

/* Forget what is older than the quarantine lasts.  */
void ms_guard_tick (struct ms_guard *guard, ms_time now);

#endif

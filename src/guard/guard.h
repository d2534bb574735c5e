#ifndef GUARD_GUARD_H
#define GUARD_GUARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/* Quarantine of requests that crash the endpoints that run them, so that
   retries don't carry a crash from endpoint to endpoint.  A request whose
   endpoint died while running it is a suspect and is retried only with nothing
   else on the endpoint; after the death of a second endpoint it is refused.  A
   suspect that completes is cleared.

   Requests are told apart by fingerprint, a hash of their contents: equal
   requests count as one.  Not thread-safe.  */

struct ms_guard;

enum ms_verdict
{
  MS_CLEAR,      /* May run as usual.  */
  MS_SUSPECT,    /* May run only alone at its endpoint.  */
  MS_QUARANTINED /* Must not run at any endpoint.  */
};

struct ms_guard *ms_guard_create (void);

/* Free GUARD, which may be NULL.  */
void ms_guard_destroy (struct ms_guard *guard);

/* Return how the request with FINGERPRINT may run at NOW.  Always MS_CLEAR if
   the quarantine mechanism is switched off.  */
enum ms_verdict ms_guard_check (struct ms_guard *guard, uint64_t fingerprint,
                                ms_time now);

/* Record that ENDPOINT died at NOW while it ran the request with FINGERPRINT.
   Return the deaths that now count against the request.  If so many endpoints
   died at once that the request is unlikely to be the cause, and it has no
   earlier death, return 0: the death is kept as unconfirmed and counts once
   another endpoint dies while running the request.  */
unsigned ms_guard_death (struct ms_guard *guard, uint64_t fingerprint,
                         uint64_t endpoint, ms_time now);

/* Record that the request with FINGERPRINT completed, which clears a suspect
   or an unconfirmed death.  Return whether there was one to clear; a
   quarantined request stays quarantined.  */
bool ms_guard_success (struct ms_guard *guard, uint64_t fingerprint);

/* Merge what a peer or the control log reports about FINGERPRINT at NOW: that
   it was CLEARED, which leaves a quarantined request quarantined, or else that
   DEATHS count against it, where 0 stands for one unconfirmed death.  */
void ms_guard_merge (struct ms_guard *guard, uint64_t fingerprint,
                     unsigned deaths, bool cleared, ms_time now);

/* Remove the records of requests of which no death was recorded or reported
   for longer than a quarantine lasts.  */
void ms_guard_tick (struct ms_guard *guard, ms_time now);

#endif

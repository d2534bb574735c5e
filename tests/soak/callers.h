#ifndef SOAK_CALLERS_H
#define SOAK_CALLERS_H

#include <stdbool.h>
#include <stdint.h>

/* Callers that load the gateways.  Each runs in a thread of its own, stays
   with one gateway until a request fails, and records each request and its
   answer for callers_check.  Non-idempotent requests get a new connection
   each, other requests reuse connections.  */

#define CALLERS 32
#define MOVED_CALLERS 8 /* Of the service that has orders; the last ones.  */

/* Start all callers; SEED determines their requests.  Exits the process on a
   failure.  */
void callers_start (uint64_t seed);

/* Stop all callers and wait until their open requests have ended.  */
void callers_stop (void);

/* Set the time at which the second API key, "k2", was revoked: AT_MS, on the
   clock of fleet_now_ms, or 0 while the key is valid.  A request with that key
   that is sent more than REVOCATION_MS after AT_MS must not run.  */
void callers_set_revoked (long long at_ms);

/* Compare the recorded answers with the runs that the endpoints logged.
   IN_TOUCH tells whether a gateway, or for GATEWAYS the store, was undisturbed
   at a time and for long enough before it, IS_RUNNING whether a gateway's
   process was.  Prints each breach of a rule and returns their number.  Call
   it after callers_stop.  */
unsigned callers_check (bool (*in_touch) (unsigned gateway, long long at_ms),
                        bool (*is_running) (unsigned gateway,
                                            long long at_ms));

/* Print the number of requests by status.  */
void callers_print_counts (void);

/* Return whether GATEWAY answers COUNT requests in a row.  */
int callers_probe (unsigned gateway, unsigned count);

#endif

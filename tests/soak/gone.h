#ifndef SOAK_GONE_H
#define SOAK_GONE_H

#include <stdbool.h>
#include <stdint.h>

/* Callers of streams that disconnect early, or whose time is over early. Their
   request ids begin with GONE_ID.  */

#define GONE_ID "gone"

/* Start them; SEED determines their requests.  Exits the process on a failure.
 */
void gone_start (uint64_t seed);

/* Stop them and wait until they have ended.  */
void gone_stop (void);

/* Compare when they left with the runs that the endpoints logged.  Only
   requests at gateways that ran undisturbed when their caller left count;
   IS_RUNNING tells whether one did.  Prints each breach of GONE and returns
   their number.  Call it after gone_stop.  */
unsigned gone_check (bool (*is_running) (unsigned gateway, long long at_ms));

#endif

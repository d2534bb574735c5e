#ifndef SOAK_ROLLOUTS_H
#define SOAK_ROLLOUTS_H

#include <stdbool.h>
#include <stdint.h>

/* Orders to move the service "moved" to good and bad versions, one after the
   other, beside the other faults, as the operators write them: endpoints of
   the ordered version start at the time of the order; those of the old one are
   killed at "completed", and those of the new one some seconds after
   "rolled_back".  */

/* Draw the orders with SEED.  None begins later than UNTIL_MS on the clock of
   fleet_now_ms.  */
void rollouts_start (uint64_t seed, long long until_ms);

/* Go on with the orders; call it every 50 ms.  Return whether one is
   unfinished or another is to come.  */
bool rollouts_step (void);

/* An engine of VERSION ran at AT_MS what a caller had sent through GATEWAY at
   SENT_MS.  */
void rollouts_take_run (unsigned version, unsigned gateway, long long at_ms,
                        long long sent_ms);

/* An engine of VERSION answered badly at AT_MS.  */
void rollouts_take_bad (unsigned version, long long at_ms);

/* Print the orders and the breaches of the following rules, and return the
   number of breaches.  IN_TOUCH is as for callers_check.

   EXPOSURE  a bad version got more requests until the deadline than it may, or
             one that was sent later than ROLLBACK_MS after its 50th bad answer
   ROUTE     a version got a request before the order that names it, or one
             that was sent later than ROLLBACK_MS after "rolled_back"  */
unsigned rollouts_check (bool (*in_touch) (unsigned gateway, long long at_ms));

#endif

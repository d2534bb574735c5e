#ifndef ADMIT_PRESSURE_H
#define ADMIT_PRESSURE_H

#include <stdbool.h>

#include "base/clock.h"

/* Whether one router's own callers ask more of its processor than it has, by
   how much of its loop's time is idle and how late its turns come.  Answers
   the load of callers that keep to one router: they are sent elsewhere before
   requests wait longer than their callers do.  No socket, no clock.  */

struct ms_pressure;

struct ms_pressure *ms_pressure_create (void);
void ms_pressure_destroy (struct ms_pressure *pressure);

/* A turn of the loop begins, which should come every PERIOD; the loop was idle
   for IDLE in all since it was made.  */
void ms_pressure_turn (struct ms_pressure *pressure, ms_time now,
                       ms_time period, ms_time idle);

/* Part of its time that the loop was busy lately, 0 to 1.  */
double ms_pressure_busy (const struct ms_pressure *pressure);

/* Whether callers had better use another router.  */
bool ms_pressure_high (const struct ms_pressure *pressure);

/* Whether new connections are to be turned away: turns come so late that what
   is read has waited for long already.  Never for longer than a second at a
   time, so that callers can tell that the router is up.  */
bool ms_pressure_shut (const struct ms_pressure *pressure);

#endif

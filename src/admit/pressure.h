#ifndef ADMIT_PRESSURE_H
#define ADMIT_PRESSURE_H

#include <stdbool.h>

#include "base/clock.h"

/* Overload detection for the processor of one router, from the fraction of
   time that its event loop is busy and from how late its timer ticks come.
   When too many callers use one router, they are to be sent to other routers
   before requests wait here until their callers have given up.

   Opens no sockets and reads no clock: the time is passed in.  Not
   thread-safe.  */

struct ms_pressure;

struct ms_pressure *ms_pressure_create (void);

/* Free PRESSURE, which may be NULL.  */
void ms_pressure_destroy (struct ms_pressure *pressure);

/* Update PRESSURE; call it at each timer tick of the event loop.  NOW is the
   time of this tick, PERIOD the interval at which ticks are due, and IDLE the
   total time that the loop has been idle since it was created.  */
void ms_pressure_tick (struct ms_pressure *pressure, ms_time now,
                       ms_time period, ms_time idle);

/* Return the fraction of time that the loop was busy, 0 to 1, over the last
   complete window of at least 250 ms; 0 before the first such window.  */
double ms_pressure_busy (const struct ms_pressure *pressure);

/* Return whether the router is so busy that callers should use another.  */
bool ms_pressure_high (const struct ms_pressure *pressure);

/* Return whether the router should keep its port closed, that is, refuse new
   connections, because ticks come so late that data has already waited for
   long when it is read.  Once the port has been closed for a second, the next
   tick opens it in any case, so that callers can tell that the router is
   up.  */
bool ms_pressure_shut (const struct ms_pressure *pressure);

#endif

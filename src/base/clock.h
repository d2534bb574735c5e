#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>
#include <time.h>

/* Time for deadlines and intervals.  Values of different machines cannot be
   compared.  */

/* A time or duration in microseconds, on a clock that never steps and that
   counts the time while the system is suspended.  */
typedef int64_t ms_time;

#define MS_MSEC ((ms_time)1000)
#define MS_SEC ((ms_time)1000000)
#define MS_NEVER INT64_MAX /* Later than every time.  */

/* A source of time; tests and replays supply simulated ones.  */
struct ms_clock
{
  struct timespec (*now) (void *context);
  void *context;
};

/* The clock of the running system, which counts from boot.  */
struct ms_clock ms_system_clock (void);

/* Read CLOCK, in microseconds.  */
ms_time ms_now (const struct ms_clock *clock);

#endif

#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>
#include <time.h>

/* Microseconds on a clock that never steps and counts suspended time.  */
typedef int64_t ms_time;

#define MS_MSEC ((ms_time)1000)
#define MS_SEC ((ms_time)1000000)
#define MS_NEVER INT64_MAX

/* A source of time, so that tests and replays can pass their own.  */
struct ms_clock
{
  struct timespec (*now) (void *context);
  void *context;
};

/* The system's boot clock.  */
struct ms_clock ms_system_clock (void);

/* The current time of CLOCK in microseconds.  */
ms_time ms_now (const struct ms_clock *clock);

#endif

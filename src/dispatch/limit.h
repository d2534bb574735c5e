#ifndef DISPATCH_LIMIT_H
#define DISPATCH_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Adaptive concurrency limit of one endpoint: how many requests it runs at
   once.  The limit starts at the service's cold limit.  After a few requests
   in a row have ended near the usual pace, the endpoint is taken as warm; then
   the limit grows by one with each such request, up to the warm limit.  It
   halves on overload; if the half is below the cold limit, the endpoint is
   taken as cold.  Signs of a cold start, such as a slow request, put the limit
   back to the cold limit.

   Costs are in cost units.  A pace is the time that a cost unit takes.  */
struct ms_limit
{
  uint32_t cold;        /* Requests at once while cold.  */
  uint32_t warm;        /* The most requests at once.  */
  uint32_t current;     /* Requests at once now.  */
  unsigned warm_streak; /* Successes in a row near the usual pace.  */
  bool is_warm;
  ms_time cold_since; /* Last sign of a cold start.  Requests that began
                         before don't show that the endpoint is warm.  */
};

/* Initialize LIMIT as cold at NOW, with the limits COLD and WARM.  */
void ms_limit_init (struct ms_limit *limit, uint32_t cold, uint32_t warm,
                    ms_time now);

/* Change the limits to COLD and WARM.  The current limit becomes COLD if the
   endpoint is cold, and at most WARM if it is warm.  */
void ms_limit_set_bounds (struct ms_limit *limit, uint32_t cold,
                          uint32_t warm);

/* Record that a request of COST units ended well at NOW after DURATION.  UNIT
   is the usual time of a cost unit.  Return false if the pace is a sign of a
   cold start.  */
bool ms_limit_success (struct ms_limit *limit, uint32_t cost, ms_time duration,
                       ms_time unit, ms_time now);

/* Record that a running request used COST more units within DURATION, up to
   NOW.  UNIT is the usual time of a cost unit.  A slow pace is a sign of a
   cold start.  */
void ms_limit_progress (struct ms_limit *limit, uint32_t cost,
                        ms_time duration, ms_time unit, ms_time now);

/* Record that the endpoint refused a request at NOW as it is overloaded.  */
void ms_limit_overload (struct ms_limit *limit, ms_time now);

/* Go back to the cold limit: the endpoint is, or may be, in a cold start at
   NOW.  */
void ms_limit_set_cold (struct ms_limit *limit, ms_time now);

#endif

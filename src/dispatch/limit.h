#ifndef DISPATCH_LIMIT_H
#define DISPATCH_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* How many requests an endpoint gets at once.  It starts at its service's
   cold limit, grows by one with each request that runs near the usual pace,
   halves on overload, and falls back to the cold limit on a sign of a cold
   start.  */
struct ms_limit
{
  uint32_t cold;
  uint32_t warm;
  uint32_t current;
  unsigned streak; /* Requests in a row near the usual pace.  */
  bool is_warm;
  ms_time chilled_at; /* Requests begun before say nothing of the pace.  */
};

void ms_limit_start (struct ms_limit *limit, uint32_t cold, uint32_t warm,
                     ms_time now);

/* Take over new bounds from a configuration.  */
void ms_limit_bounds (struct ms_limit *limit, uint32_t cold, uint32_t warm);

/* A request of COST units ended well at NOW after DURATION; UNIT is the usual
   time a unit takes.  Returns false if the pace is a sign of a cold start.  */
bool ms_limit_success (struct ms_limit *limit, uint32_t cost, ms_time duration,
                       ms_time unit, ms_time now);

/* A running request used COST more units within DURATION.  */
void ms_limit_pace (struct ms_limit *limit, uint32_t cost, ms_time duration,
                    ms_time unit, ms_time now);

/* The endpoint refused or failed a request.  */
void ms_limit_overload (struct ms_limit *limit, ms_time now);

/* The endpoint is, or may be, in a cold start.  */
void ms_limit_chill (struct ms_limit *limit, ms_time now);

#endif

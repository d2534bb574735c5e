#ifndef ADMIT_BUDGET_H
#define ADMIT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* The retries that all routers together may make at a service, in any window:
   a part of the callers' requests and a fixed number.  Each router keeps to
   its own requests and to an equal share of the fixed number.  Answers the
   load of retries after endpoints fail.  */

struct ms_budget;

struct ms_budget_options
{
  double ratio;
  double slack;
  ms_time window;
};

struct ms_budget *ms_budget_create (const struct ms_budget_options *options);
void ms_budget_destroy (struct ms_budget *budget);

/* Go on with OPTIONS.  */
void ms_budget_set_options (struct ms_budget *budget,
                            const struct ms_budget_options *options);

/* Routers that share the fixed number.  */
void ms_budget_routers (struct ms_budget *budget, unsigned routers);

/* A caller's request for SERVICE came.  */
void ms_budget_request (struct ms_budget *budget, uint64_t service,
                        ms_time now);

/* Whether a request for SERVICE may be sent once more now; if so, it is
   counted.  */
bool ms_budget_take (struct ms_budget *budget, uint64_t service, ms_time now);

#endif

#ifndef ADMIT_BUDGET_H
#define ADMIT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Retry budget: bounds the retries that all routers together send to a service
   within any window to a fraction of the callers' requests plus a fixed
   number.  Each router takes the fraction of its own requests and an equal
   share of the fixed number.  This bounds the extra load that retries put on
   the remaining endpoints when some fail.  Not thread-safe: use a budget from
   one thread only.  */

struct ms_budget;

struct ms_budget_options
{
  double ratio;   /* Retries allowed for each request of a caller.  */
  double slack;   /* Further retries allowed in each window, for all routers
                     together.  */
  ms_time window; /* Length of the sliding window.  */
};

/* Create a budget with OPTIONS for a fleet of one router, which was started at
   STARTED.  */
struct ms_budget *ms_budget_create (const struct ms_budget_options *options,
                                    ms_time started);

/* Free BUDGET, which may be NULL.  */
void ms_budget_destroy (struct ms_budget *budget);

/* Replace the options of BUDGET by OPTIONS.  What was counted stays while the
   window keeps its length.  The window consists of buckets that are numbered
   by the time divided by the length of a bucket, so a change of the window
   changes the current number.  If the window becomes shorter, the number jumps
   ahead, and counts are cleared early, usually all of them.  After a change at
   time T from a window W to a longer one V, no count leaves the window until
   time T * V / W, when the number exceeds that of before the change.  */
void ms_budget_set_options (struct ms_budget *budget,
                            const struct ms_budget_options *options);

/* Set the number of ROUTERS that share the fixed number of retries; 0 if it is
   unknown: then this router takes none of them.  */
void ms_budget_set_routers (struct ms_budget *budget, unsigned routers);

/* Count a caller's request for SERVICE that arrived at NOW.  */
void ms_budget_count_request (struct ms_budget *budget, uint64_t service,
                              ms_time now);

/* Return whether a request for SERVICE may be retried at NOW, and if so count
   the retry.  */
bool ms_budget_take (struct ms_budget *budget, uint64_t service, ms_time now);

/* Return whether ms_budget_take would return true, without counting a
   retry.  */
bool ms_budget_has (struct ms_budget *budget, uint64_t service, ms_time now);

#endif

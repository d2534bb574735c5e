#ifndef REPLAY_CHECK_H
#define REPLAY_CHECK_H

#include <stdio.h>

#include "replay/world.h"

/* Evaluates a finished simulation: measures to compare policies by, and the
   "expect" lines of the trace.  */

struct measures
{
  double gap;              /* Fairness gap between two teams, in cost units per
                              weight; the largest of any service.  */
  double gap_bound;        /* Twice the work in flight, in cost units, whatever
                              the weights are.  */
  double utilisation;      /* Fraction of the warm slots busy while work waits,
                              0 to 1; the lowest of any service.  */
  double control_bytes;    /* Sent to routers, per router and second.  */
  double control_messages; /* Sent to routers, per router and second.  */
  double wait99_ms;        /* 99th percentile of the wait for an endpoint.  */
  double answered_share;   /* Fraction of the calls answered, 0 to 1.  */
};

struct measures check_measures (const struct world *world);

/* Compare WORLD, which has run to its end, with the expectations of its trace.
   Write a line to FILE for each that isn't met and return their number.
   *STATUS becomes MS_OK, or MS_INVALID if an expectation is malformed; those
   after it are not evaluated then.  A bound of the form "without:TEAM" runs
   the trace once more without the requests of TEAM.  */
unsigned check_expectations (const struct world *world, FILE *file,
                             enum ms_status *status);

#endif

#ifndef REPLAY_CHECK_H
#define REPLAY_CHECK_H

#include <stdio.h>

#include "replay/world.h"

/* The four measures, and outcomes set against what a trace expects.  */

struct measures
{
  double gap;           /* Largest of any service, in cost units.  */
  double gap_bound;     /* Twice the work in flight.  */
  double utilisation;   /* Least of any service with waiting work.  */
  double control_bytes; /* Of a router, a second.  */
  double control_messages;
  double wait99_ms;
  double answered_share;
};

struct measures check_measures (const struct world *world);

/* Set WORLD against its trace's expectations; write a line for each that is
   not met to FILE and return their number.  MS_INVALID in *STATUS if one is
   malformed.  BASELINE makes a run without a team, when one is asked for.  */
unsigned check_expectations (const struct world *world, FILE *file,
                             enum ms_status *status);

#endif

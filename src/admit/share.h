#ifndef ADMIT_SHARE_H
#define ADMIT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Admission control by max-min shares of teams, over all routers together,
   while endpoints have less capacity than teams demand.  As endpoints fill up,
   all teams together are admitted at about the rate at which requests
   complete, so that some capacity stays free.  That rate is shared out by
   capping the rate of each team at a level, which is the same for all: teams
   that demand more are admitted at the level, the others get all they demand.
   What a team demands beyond the level is refused at once, at each router in
   proportion to the team's demand there.  So when a team sends many times its
   usual demand, the capacity that its requests would occupy stays available to
   other teams, at whichever router their requests arrive.

   The cost of a request is an estimate in cost units, made by the user of this
   module; rates are in cost units per second.  Routers exchange their rates,
   which the user of this module sends and receives.  Reads no clock: the time
   is passed in.  Not thread-safe.  */

struct ms_share;

/* Recent rates of one team at one router, in cost units per second.  */
struct ms_team_rates
{
  uint64_t team;
  double demand;   /* All requests that arrived.  */
  double unplaced; /* Part of the demand that ms_share_unplaced counted: it was
                      within the share, but found no free capacity.  What was
                      over the share is not included.  */
  double answered; /* Work that endpoints have done.  */
};

struct ms_share *ms_share_create (void);

/* Free SHARE, which may be NULL.  */
void ms_share_destroy (struct ms_share *share);

/* Count a request of TEAM with cost COST that arrived at NOW.  Return whether
   it is within the team's share and may go on.  */
bool ms_share_admit (struct ms_share *share, uint64_t team, double cost,
                     ms_time now);

/* The same, but while the team is limited, only if its credit exceeds
   MIN_CREDIT, in cost units: for requests that go before others (-HUGE_VAL) or
   after them.  */
bool ms_share_admit_above (struct ms_share *share, uint64_t team, double cost,
                           double min_credit, ms_time now);

/* Return the rate at which this router may admit TEAM, in cost units per
   second, and set *CREDIT to its credit; 0 if the team is not limited.  */
double ms_share_team_rate (struct ms_share *share, uint64_t team,
                           double *credit, ms_time now);

/* The same as ms_share_admit for a request that goes on with work of an
   admitted one: it is always admitted, and if it exceeds the team's share,
   later ones make up for it.  */
void ms_share_admit_rest (struct ms_share *share, uint64_t team, double cost,
                          ms_time now);

/* Count a request of TEAM that ms_share_admit admitted, but for which no
   endpoint had free capacity.  */
void ms_share_unplaced (struct ms_share *share, uint64_t team, double cost,
                        ms_time now);

/* Count work of an endpoint for a request of TEAM: the part COST of the
   request's cost that was done by NOW.  The prompt counts when the answer
   begins, as answers take seconds to complete, and the rest when it is
   complete.  */
void ms_share_answered (struct ms_share *share, uint64_t team, double cost,
                        ms_time now);

/* The same for the prompt, which counts COST: the answer has begun.  STREAMED
   tells whether it comes as it is generated, so that it begins when the prompt
   has been read.  */
void ms_share_began (struct ms_share *share, uint64_t team, double cost,
                     bool streamed, ms_time now);

/* Replace the rates of the other routers: clear them all, then add each
   router's rates, or the sums of several routers.  */
void ms_share_clear_others (struct ms_share *share);
void ms_share_add_others (struct ms_share *share,
                          const struct ms_team_rates *rates);

/* The load of all endpoints together.  */
struct ms_share_usage
{
  double used_fraction; /* Of their capacity; 0 to 1 or a little more.  */
  double running_cost;  /* Of all running requests, in cost units; may be an
                           estimate that is too low.  */
  double wait_s;        /* Seconds that a prompt waits at an endpoint to be
                           read, on average; 0 if unknown.  */
  double read_rate;     /* Prompt tokens that endpoints are predicted to read
                           in a second; 0 if unknown.  */
};

/* Set the harmonic mean LEVEL of the levels that COUNT other routers have
   computed, as of ms_share_own_level; 0 if they have none.  */
void ms_share_set_others_level (struct ms_share *share, double level,
                                unsigned count);

/* Set what all endpoints together complete according to the configuration, in
   cost units per second; 0 if it does not say.  It is used until completions
   were measured for a few seconds.  */
void ms_share_set_capacity (struct ms_share *share, double capacity);

/* Set the number of routers that share the demand, this one included; 0 if it
   is unknown.  */
void ms_share_set_routers (struct ms_share *share, unsigned routers);

/* Return whether ms_share_tick is due: the level is recomputed ten times a
   second.  */
bool ms_share_is_due (const struct ms_share *share, ms_time now);

/* Recompute the level from the rates of all routers and from USAGE; do nothing
   if it is not due.  */
void ms_share_tick (struct ms_share *share, const struct ms_share_usage *usage,
                    ms_time now);

/* Store the rates of this router's teams in RATES, highest demand first,
   without teams that demand less than one cost unit per second.  Return how
   many were stored, at most SPACE.  */
unsigned ms_share_report (struct ms_share *share, ms_time now,
                          struct ms_team_rates *rates, unsigned space);

/* Return this router's fraction, 0 to 1, of the work that all routers together
   may admit.  A team's demand counts up to the level only.  Return 1 while
   there is no demand.  */
double ms_share_fraction (struct ms_share *share, ms_time now);

/* Return the level as this router computes it by itself, for the others; the
   one in force is agreed on with them.  */
double ms_share_own_level (const struct ms_share *share);

/* Return the number of teams whose rates are kept.  */
unsigned ms_share_team_count (const struct ms_share *share);

/* What the level was last computed from, and the levels, in cost units per
   second.  */
struct ms_share_state
{
  double level;        /* In force; 0 while capacity is not scarce.  */
  double own_level;    /* As computed by this router.  */
  double others_level; /* As of ms_share_set_others_level.  */
  double used_fraction;
  double unplaced_fraction; /* Of the demand of the teams below the level.  */
  double answered;          /* At all routers.  */
  double wait_s;            /* As of struct ms_share_usage.  */
  double completed;         /* Rate that endpoints are taken to complete.  */
  double run_s;             /* Mean run time, in seconds; 0 if unknown.  */
  double capacity;          /* As of ms_share_set_capacity.  */
  double read_rate;         /* Predicted prompt tokens that endpoints read in a
                               second, before the first answers; 0 if
                               unknown.  */
  double demand_scale;      /* Demand of all routers, as a multiple of what is
                               known of it.  */
  double admitted;          /* Rate at which all teams together are admitted; 0
                               if that is not limited.  */
};

struct ms_share_state ms_share_state (const struct ms_share *share);

/* A team that demands more than the level; in cost units per second, and
   CREDIT in cost units.  */
struct ms_limited_team
{
  uint64_t team;
  double demand; /* At this router.  */
  double others_demand;
  double credit;
};

/* Store the teams that have requests here and demand more than the level, in
   no order, in TEAMS.  Return how many were stored, at most SPACE.  */
unsigned ms_share_limited_teams (struct ms_share *share, ms_time now,
                                 struct ms_limited_team *teams,
                                 unsigned space);

/* Return the highest rate at which a team is admitted, in cost units per
   second, or 0 while capacity is not scarce.  */
double ms_share_level (const struct ms_share *share);

#endif

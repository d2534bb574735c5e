#include "admit/share.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"

/* Rates are exponentially decaying means with these time constants.  They are
   short because a team gets far more than its share until its demand shows in
   its rate.  */
#define RATE_TIME_CONSTANT (0.6 * MS_SEC)
#define UNPLACED_TIME_CONSTANT (0.4 * MS_SEC)

/* Interval between computations of the level.  */
#define LEVEL_PERIOD (100 * MS_MSEC)

/* All teams together are admitted at the rate at which requests complete,
   times (TARGET_USE / use) ^ USE_EXPONENT.  There is no limit below IDLE_USE.
   The rate must not jump with the use: all routers would let in what callers
   hold back, and refuse as much afterwards.  */
#define TARGET_USE 0.82
#define USE_EXPONENT 1.5
#define IDLE_USE 0.05

/* Time constant of the mean run time.  It is long because run times change
   little, unlike the rate at which requests complete.  */
#define RUN_TIME_CONSTANT (4 * MS_SEC)

/* Until completions have been seen for some time, all teams together are
   admitted at no more than the configured capacity times this.  Requests take
   seconds to complete, so that without it endpoints are filled beyond what
   they can run in time, and next to nothing is admitted afterwards.  */
#define START_RATE_FACTOR 2.0

/* If more than this fraction of the demand of teams below the level finds no
   free capacity, capacity counts as scarce whatever its used fraction is: the
   use is taken to be above TARGET_USE by at least the unplaced fraction, so
   that less is admitted than completes.  */
#define SCARCE_UNPLACED_FRACTION 0.04

/* Most credit that a team may save up for a burst, in seconds at the rate at
   which it is admitted.  */
#define BURST_S 0.3

/* Weight of a router's own level in the one that it uses, if it knows others.
 */
#define OWN_LEVEL_WEIGHT 0.25

/* A team is removed once neither this router nor another one has had a request
   of it for this long.  */
#define IDLE_TEAM_TIMEOUT (30 * MS_SEC)

/* An exponentially decaying sum of amounts.  */
struct rate
{
  double time_constant; /* In microseconds.  */
  double sum;
  ms_time updated_at; /* When the sum last decayed, also by reading it.  */
};

struct team
{
  uint64_t id;
  ms_time active_at; /* Last request here, or report of demand elsewhere.  */
  struct rate demand;
  struct rate unplaced; /* Within the share, but found no free capacity.  */
  struct rate answered;
  /* Sums of the other routers' rates, in cost units per second.  */
  double others_demand;
  double others_unplaced;
  double others_answered;
  double credit;     /* Cost units that may still be admitted, as in a token
                        bucket; below 0 after a request that overdrew it.  */
  ms_time credit_at; /* When credit was last added.  */
  double last_cost;  /* Of the latest request that the level applied to.  */
  UT_hash_handle hh;
};

struct ms_share
{
  struct team *teams;
  double level;        /* Cost units per second; 0 if nothing is scarce.  */
  double own_level;    /* As computed by this router.  */
  double others_level; /* Mean of those of other routers.  */
  unsigned others_count;
  ms_time level_at;
  /* Means over RUN_TIME_CONSTANT: the cost that runs at endpoints, and the
     rate at which it completes; their ratio, 0 while unknown.  */
  double mean_running;
  double mean_answered;
  double run_s;
  ms_time answered_since; /* When a request first completed; 0 before.  */
  double capacity; /* Of all endpoints as configured, in cost units per second;
                      0 if it is not.  */
  /* Of the last computation of own_level.  */
  double used_fraction;
  double unplaced_fraction;
  double answered;
};

struct ms_share *
ms_share_create (void)
{
  return ms_new (sizeof (struct ms_share));
}

void
ms_share_destroy (struct ms_share *share)
{
  struct team *t, *next;

  if (!share)
    return;
  HASH_ITER (hh, share->teams, t, next)
  {
    HASH_DEL (share->teams, t);
    free (t);
  }
  free (share);
}

/* Let the sum of RATE decay until NOW.  */
static void
rate_decay (struct rate *rate, ms_time now)
{
  if (now > rate->updated_at)
    rate->sum *= exp (-(double)(now - rate->updated_at) / rate->time_constant);
  rate->updated_at = now;
}

static void
rate_add (struct rate *rate, double amount, ms_time now)
{
  rate_decay (rate, now);
  rate->sum += amount;
}

/* Return the amount per second that RATE has at NOW.  */
static double
rate_value (struct rate *rate, ms_time now)
{
  rate_decay (rate, now);
  return rate->sum * MS_SEC / rate->time_constant;
}

static struct team *
find_or_add_team (struct ms_share *share, uint64_t id)
{
  struct team *t;

  HASH_FIND (hh, share->teams, &id, sizeof id, t);
  if (t)
    return t;
  t = ms_new (sizeof *t);
  t->id = id;
  t->demand.time_constant = RATE_TIME_CONSTANT;
  t->unplaced.time_constant = UNPLACED_TIME_CONSTANT;
  t->answered.time_constant = RATE_TIME_CONSTANT;
  HASH_ADD (hh, share->teams, id, sizeof t->id, t);
  return t;
}

/* Add the credit of team T since it was last added.  Each router admits a part
   of the level in proportion to its part of the team's demand.  That is the
   demand before a request that arrives now: with it, routers that have few
   requests of the team would take their part for larger than it is.  */
static void
accrue_credit (const struct ms_share *share, struct team *t, ms_time now)
{
  double own = rate_value (&t->demand, now);
  double all = own + t->others_demand;
  double part = all > 0 ? share->level / all : 0;

  t->credit += part * own * (double)(now - t->credit_at) / MS_SEC;
  t->credit_at = now;
  /* Besides a burst, what the last request alone adds.  */
  t->credit = fmin (t->credit, part * (own * BURST_S + t->last_cost));
}

bool
ms_share_admit (struct ms_share *share, uint64_t team, double cost,
                ms_time now)
{
  struct team *t = find_or_add_team (share, team);
  double all;

  t->active_at = now;
  accrue_credit (share, t, now);
  rate_add (&t->demand, cost, now);
  all = rate_value (&t->demand, now) + t->others_demand;
  if (share->level <= 0 || all <= share->level)
    {
      t->credit = 0;
      return true;
    }
  /* A request is admitted while any credit is left, and may overdraw it:
     otherwise large requests would be refused more often than small ones.  */
  t->last_cost = cost;
  if (t->credit <= 0)
    return false;
  t->credit -= cost;
  return true;
}

void
ms_share_admit_rest (struct ms_share *share, uint64_t team, double cost,
                     ms_time now)
{
  if (!ms_share_admit (share, team, cost, now))
    find_or_add_team (share, team)->credit -= cost;
}

void
ms_share_unplaced (struct ms_share *share, uint64_t team, double cost,
                   ms_time now)
{
  struct team *t = find_or_add_team (share, team);

  t->active_at = now;
  rate_add (&t->unplaced, cost, now);
  /* The request did not run, so its cost is returned.  If no level was in
     force when it was admitted, nothing had been taken; ms_share_admit resets
     or caps the excess.  */
  t->credit += cost;
}

void
ms_share_answered (struct ms_share *share, uint64_t team, double cost,
                   ms_time now)
{
  struct team *t = find_or_add_team (share, team);

  t->active_at = now;
  rate_add (&t->answered, cost, now);
}

void
ms_share_clear_others (struct ms_share *share)
{
  struct team *t, *next;

  HASH_ITER (hh, share->teams, t, next)
  {
    t->others_demand = 0;
    t->others_unplaced = 0;
    t->others_answered = 0;
  }
}

void
ms_share_add_others (struct ms_share *share, const struct ms_team_rates *rates)
{
  struct team *t = find_or_add_team (share, rates->team);

  t->others_demand += rates->demand;
  t->others_unplaced += rates->unplaced;
  t->others_answered += rates->answered;
}

/* Rates of all teams at all routers.  */
struct summary
{
  double unplaced_fraction; /* Of the demand; weighted mean over the teams
                               below the level, 0 to 1.  */
  double answered;          /* Sum, in cost units per second.  */
};

static struct summary
summarize_teams (struct ms_share *share, ms_time now)
{
  double level = share->level > 0 ? share->level : HUGE_VAL;
  struct summary summary = { 0, 0 };
  double weights = 0;
  struct team *t, *next;

  HASH_ITER (hh, share->teams, t, next)
  {
    double demand = rate_value (&t->demand, now) + t->others_demand;
    double unplaced = rate_value (&t->unplaced, now) + t->others_unplaced;
    double weight = sqrt (demand);

    summary.answered += rate_value (&t->answered, now) + t->others_answered;
    if (demand > level || demand <= 0)
      continue;
    /* Weighting by the square root of the demand keeps one team with a high
       demand from hiding that the others find no free capacity.  */
    weights += weight;
    summary.unplaced_fraction += weight * fmin (1, unplaced / demand);
  }
  if (weights > 0)
    summary.unplaced_fraction /= weights;
  return summary;
}

static int
ascending (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return (a > b) - (a < b);
}

/* Return the max-min level at which teams together get CAPACITY, both in cost
   units per second: teams that demand more than the level get the level, the
   others all they demand.  Return 0, which means that there is no level, if
   the total demand is within CAPACITY, and also if CAPACITY is 0.  */
static double
max_min_level (struct ms_share *share, double capacity, ms_time now)
{
  unsigned count = HASH_COUNT (share->teams);
  double *demand = ms_new_array (count ? count : 1, sizeof *demand);
  double left = capacity;
  double level = 0;
  unsigned i = 0;
  struct team *t, *next;

  HASH_ITER (hh, share->teams, t, next)
  demand[i++] = rate_value (&t->demand, now) + t->others_demand;
  qsort (demand, count, sizeof *demand, ascending);
  for (i = 0; i < count && demand[i] * (count - i) <= left; i++)
    left -= demand[i];
  if (i < count)
    level = left / (count - i);
  free (demand);
  return level;
}

/* Update the mean run time, in seconds: by Little's law, the cost that is
   running divided by the rate at which it completes.  While little of the past
   is known it is taken to be shorter, as completions lag behind.  */
static void
update_run_time (struct ms_share *share, double running, double answered,
                 ms_time now)
{
  double weight
      = -expm1 (-(double)(now - share->level_at) / RUN_TIME_CONSTANT);

  if (!share->answered_since && answered > 0)
    share->answered_since = now;
  share->mean_running += weight * (running - share->mean_running);
  share->mean_answered += weight * (answered - share->mean_answered);
  share->run_s = share->mean_answered > 0
                     ? share->mean_running / share->mean_answered
                           * -expm1 (-(double)(now - share->answered_since)
                                     / RUN_TIME_CONSTANT)
                     : 0;
}

/* Return how far what was measured of completions may be relied on, 0 to 1.
   Before, the configured capacity stands for it, if there is one.  */
static double
measured_weight (const struct ms_share *share, ms_time now)
{
  if (share->capacity <= 0)
    return 1;
  if (!share->answered_since)
    return 0;
  return -expm1 (-(double)(now - share->answered_since) / RUN_TIME_CONSTANT);
}

/* Return the rate at which all teams together may be admitted, in cost units
   per second; HUGE_VAL if there is no need for a limit, or nothing is known of
   what endpoints can do.  */
static double
admitted_rate (const struct ms_share *share, const struct summary *summary,
               const struct ms_share_usage *usage, ms_time now)
{
  double use = usage->used_fraction;
  double running = usage->running_cost;
  double weight = measured_weight (share, now);
  double completed = 0;
  double factor;

  if (use < IDLE_USE || (share->run_s <= 0 && weight > 0))
    return HUGE_VAL;
  /* As endpoints fill up, completions lag behind what is running; what is over
     the target does not complete sooner.  */
  if (share->run_s > 0)
    completed = fmax (summary->answered,
                      running * fmin (1, TARGET_USE / use) / share->run_s);
  completed = weight * completed + (1 - weight) * share->capacity;
  if (summary->unplaced_fraction > SCARCE_UNPLACED_FRACTION)
    use = fmax (use, TARGET_USE + summary->unplaced_fraction);
  factor = pow (TARGET_USE / use, USE_EXPONENT);
  if (factor > START_RATE_FACTOR)
    factor = START_RATE_FACTOR / (1 - weight) < factor
                 ? START_RATE_FACTOR / (1 - weight)
                 : factor;
  return completed * factor;
}

/* Remove the teams whose IDLE_TEAM_TIMEOUT is over.  */
static void
remove_idle_teams (struct ms_share *share, ms_time now)
{
  struct team *t, *next;

  HASH_ITER (hh, share->teams, t, next)
  {
    if (t->others_demand > 0)
      t->active_at = now;
    if (now - t->active_at <= IDLE_TEAM_TIMEOUT)
      continue;
    HASH_DEL (share->teams, t);
    free (t);
  }
}

/* Return the level that is in force: the harmonic mean of this router's and
   the others', in which those without one count as unlimited.  Routers see the
   end of requests and free capacity at different times.  If each used its own
   level, a team whose callers keep to a router with a low one would get less
   than its share.  */
static double
agreed_level (const struct ms_share *share)
{
  double own = share->own_level > 0 ? 1 / share->own_level : 0;
  double others = share->others_level > 0 ? 1 / share->others_level : 0;
  double weight = share->others_count ? OWN_LEVEL_WEIGHT : 1;
  double inverse = weight * own + (1 - weight) * others;

  return inverse > 0 ? 1 / inverse : 0;
}

bool
ms_share_is_due (const struct ms_share *share, ms_time now)
{
  return now - share->level_at >= LEVEL_PERIOD;
}

void
ms_share_tick (struct ms_share *share, const struct ms_share_usage *usage,
               ms_time now)
{
  struct summary summary;
  struct team *t, *next;

  if (!ms_share_is_due (share, now))
    return;
  HASH_ITER (hh, share->teams, t, next) { accrue_credit (share, t, now); }
  remove_idle_teams (share, now);
  summary = summarize_teams (share, now);
  update_run_time (share, usage->running_cost, summary.answered, now);
  share->level_at = now;
  share->used_fraction = usage->used_fraction;
  share->unplaced_fraction = summary.unplaced_fraction;
  share->answered = summary.answered;
  share->own_level = max_min_level (
      share, admitted_rate (share, &summary, usage, now), now);
  share->level = agreed_level (share);
}

void
ms_share_set_capacity (struct ms_share *share, double capacity)
{
  share->capacity = capacity > 0 ? capacity : 0;
}

void
ms_share_set_others_level (struct ms_share *share, double level,
                           unsigned count)
{
  share->others_level = level;
  share->others_count = count;
}

double
ms_share_own_level (const struct ms_share *share)
{
  return share->own_level;
}

static int
by_demand_descending (const void *left, const void *right)
{
  double a = ((const struct ms_team_rates *)left)->demand;
  double b = ((const struct ms_team_rates *)right)->demand;

  return (a < b) - (a > b);
}

unsigned
ms_share_report (struct ms_share *share, ms_time now,
                 struct ms_team_rates *rates, unsigned space)
{
  struct ms_team_rates *all
      = ms_new_array (HASH_COUNT (share->teams), sizeof *all);
  unsigned count = 0;
  struct team *t, *next;

  HASH_ITER (hh, share->teams, t, next)
  {
    double rate = rate_value (&t->demand, now);

    if (rate >= 1)
      all[count++] = (struct ms_team_rates){ t->id, rate,
                                             rate_value (&t->unplaced, now),
                                             rate_value (&t->answered, now) };
  }
  qsort (all, count, sizeof *all, by_demand_descending);
  if (count > space)
    count = space;
  for (unsigned i = 0; i < count; i++)
    rates[i] = all[i];
  free (all);
  return count;
}

unsigned
ms_share_team_count (const struct ms_share *share)
{
  return HASH_COUNT (share->teams);
}

double
ms_share_level (const struct ms_share *share)
{
  return share->level;
}

struct ms_share_state
ms_share_state (const struct ms_share *share)
{
  return (struct ms_share_state){
    share->level,         share->own_level,         share->others_level,
    share->used_fraction, share->unplaced_fraction, share->answered,
  };
}

unsigned
ms_share_limited_teams (struct ms_share *share, ms_time now,
                        struct ms_limited_team *teams, unsigned space)
{
  unsigned count = 0;
  struct team *t, *next;

  if (share->level <= 0)
    return 0;
  HASH_ITER (hh, share->teams, t, next)
  {
    double demand = rate_value (&t->demand, now);

    if (demand >= 1 && demand + t->others_demand > share->level
        && count < space)
      teams[count++] = (struct ms_limited_team){ t->id, demand,
                                                 t->others_demand, t->credit };
  }
  return count;
}

double
ms_share_fraction (struct ms_share *share, ms_time now)
{
  double level = share->level > 0 ? share->level : HUGE_VAL;
  double own_sum = 0;
  double sum = 0;
  struct team *t, *next;

  HASH_ITER (hh, share->teams, t, next)
  {
    double own = rate_value (&t->demand, now);
    double all = own + t->others_demand;
    double allowed = fmin (all, level);

    sum += allowed;
    if (all > 0)
      own_sum += allowed * own / all;
  }
  return sum > 0 ? own_sum / sum : 1;
}

#include "admit/share.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/alloc.h"
#include "base/str.h"

/* Rates are exponentially decaying means with these time constants.  They are
   short because a team gets far more than its share until its demand shows in
   its rate.  */
#define RATE_TIME_CONSTANT (0.6 * MS_SEC)
#define UNPLACED_TIME_CONSTANT (0.4 * MS_SEC)

/* Shortest time after the first request that rates of demand are computed
   for.  */
#define MIN_DEMAND_AGE (100 * MS_MSEC)

/* For this time after its first request, a router does not know of all demand
   at others: reports take up to 0.4 s.  A lower scale of the demand than
   MIN_DEMAND_SCALE is taken for chance.  */
#define START_TIME (500 * MS_MSEC)
#define MIN_DEMAND_SCALE 2.0

/* The demand of others is mostly reported between these times after it begins;
   levels are computed up to LEVEL_PERIOD later.  */
#define UNREPORTED_TIME (100 * MS_MSEC)
#define REPORTED_TIME (300 * MS_MSEC)

/* For this time after its first request, a router starts the credit of a team
   by chance when a level comes into force: many routers do so at once, in a
   fleet that has not learned its capacity.  Later, levels come and go, and a
   first request that is refused each time left endpoints unused.  */
#define START_CREDIT_TIME (4 * MS_SEC)

/* Routers that start together get their first requests within this time of
   each other.  */
#define JOIN_TIME (300 * MS_MSEC)

/* Interval between computations of the level.  */
#define LEVEL_PERIOD (100 * MS_MSEC)

/* All teams together are admitted at the rate at which requests complete,
   times (TARGET_USE / use) ^ USE_EXPONENT.  There is no limit below IDLE_USE.
   The rate must not jump with the use: all routers would let in what callers
   hold back, and refuse as much afterwards.  */
#define TARGET_USE 0.82
#define USE_EXPONENT 1.5
#define IDLE_USE 0.05

/* Prompts wait at endpoints to be read.  The rate is also at most that of
   completions, times (TARGET_WAIT_S / wait) ^ WAIT_EXPONENT.  Unlike the use,
   the wait is known from the first second on, and does not depend on the
   limits of endpoints, which are guesses at first.  Routers know the wait up
   to 0.4 s late; with an exponent of 1.5 the rate oscillates.  */
#define TARGET_WAIT_S 0.41
#define WAIT_EXPONENT 0.5

/* The wait is not used if more than this fraction of the work is for answers
   that are not streams.  */
#define MAX_UNSTREAMED_FRACTION 0.2

/* Least part of a mean of completions that is relied on.  */
#define MIN_MEASURED_PART 0.15

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
  double last_cost;  /* Of the latest request, if the level applied to it;
                        otherwise 0.  */
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
  ms_time
      others_since; /* Since when others report demand; 0 if they do not.  */
  bool joins;       /* They did for JOIN_TIME when a request first arrived.  */
  ms_time demanded_since; /* When a request first arrived; 0 before.  */
  ms_time answered_since; /* When a request first completed; 0 before.  */
  double read_rate;  /* Of struct ms_share_usage, before the first answers.  */
  struct rate begun; /* Work that ms_share_began has counted.  */
  struct rate streamed; /* Of it, that of streams.  */
  unsigned routers;     /* Of the fleet; 0 if unknown.  */
  double capacity; /* Of all endpoints as configured, in cost units per second;
                      0 if it is not.  */
  /* Of the last computation of own_level.  */
  double used_fraction;
  double unplaced_fraction;
  double answered;
  double wait_s; /* 0 if unknown.  */
  double completed;
  double demand_scale; /* As of scale_demand.  */
  double admitted;
};

struct ms_share *
ms_share_create (void)
{
  struct ms_share *share = ms_new (sizeof *share);

  share->demand_scale = 1;
  share->begun.time_constant = RUN_TIME_CONSTANT;
  share->streamed.time_constant = RUN_TIME_CONSTANT;
  return share;
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

/* Return the demand of T at this router, in cost units per second.  In the
   first seconds the sum covers less than its time constant, so that demand
   would be taken for lower than it is.  */
static double
own_demand (const struct ms_share *share, struct team *t, ms_time now)
{
  ms_time age = now - share->demanded_since;

  if (age < MIN_DEMAND_AGE)
    age = MIN_DEMAND_AGE;
  return rate_value (&t->demand, now)
         / -expm1 (-(double)age / RATE_TIME_CONSTANT);
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
  double own = own_demand (share, t, now);
  double all = share->demand_scale * (own + t->others_demand);
  double part = all > 0 ? share->level / all : 0;

  t->credit += part * own * (double)(now - t->credit_at) / MS_SEC;
  t->credit_at = now;
  /* Besides a burst, what the last request alone adds.  */
  t->credit = fmin (t->credit, part * (own * BURST_S + t->last_cost));
}

/* Return the known demand of all teams at the other routers, in cost units per
   second.  */
static double
others_demand (const struct ms_share *share)
{
  double sum = 0;
  struct team *t, *next;

  HASH_ITER (hh, share->teams, t, next) { sum += t->others_demand; }
  return sum;
}

/* Return a fraction, 0 to 1, that differs between requests and routers.  */
static double
draw_fraction (const struct team *t, ms_time now)
{
  uint64_t bits;

  memcpy (&bits, &t->demand.sum, sizeof bits);
  return (double)(ms_id_pair (ms_id_pair (t->id, (uint64_t)now), bits) >> 32)
         / UINT32_MAX;
}

/* Start the credit of T, as a level that is below its demand ALL comes into
   force for a request of COST.  A request is admitted while any credit is
   left, so that a team's first request at each router overdraws it.  Over
   hundreds of routers that start this is more than endpoints can do in
   seconds.  There the credit starts where it is on average between two such
   requests.  */
static void
start_credit (const struct ms_share *share, struct team *t, double cost,
              double all, ms_time now)
{
  if (now - share->demanded_since < START_CREDIT_TIME)
    t->credit = cost * (share->level / all - draw_fraction (t, now));
  else
    t->credit = fmax (0, t->credit);
}

bool
ms_share_admit_above (struct ms_share *share, uint64_t team, double cost,
                      double min_credit, ms_time now)
{
  struct team *t = find_or_add_team (share, team);
  double all;

  t->active_at = now;
  if (!share->demanded_since)
    {
      share->demanded_since = now;
      share->joins
          = share->others_since && now - share->others_since >= JOIN_TIME;
    }
  accrue_credit (share, t, now);
  rate_add (&t->demand, cost, now);
  all = share->demand_scale * (own_demand (share, t, now) + t->others_demand);
  if (share->level <= 0 || all <= share->level)
    {
      t->last_cost = 0;
      return true;
    }
  /* A request is admitted while any credit is left, and may overdraw it:
     otherwise large requests would be refused more often than small ones.  */
  if (t->last_cost <= 0)
    start_credit (share, t, cost, all, now);
  t->last_cost = cost;
  if (t->credit <= min_credit)
    return false;
  t->credit -= cost;
  return true;
}

bool
ms_share_admit (struct ms_share *share, uint64_t team, double cost,
                ms_time now)
{
  return ms_share_admit_above (share, team, cost, 0, now);
}

double
ms_share_team_rate (struct ms_share *share, uint64_t team, double *credit,
                    ms_time now)
{
  struct team *t;
  double own;
  double all;

  *credit = 0;
  HASH_FIND (hh, share->teams, &team, sizeof team, t);
  if (!t || share->level <= 0)
    return 0;
  own = own_demand (share, t, now);
  all = share->demand_scale * (own + t->others_demand);
  if (all <= share->level)
    return 0;
  accrue_credit (share, t, now);
  *credit = t->credit;
  return share->level / all * own;
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
  /* The request did not run, so its cost is returned, if it was taken.  */
  if (t->last_cost > 0)
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
ms_share_began (struct ms_share *share, uint64_t team, double cost,
                bool streamed, ms_time now)
{
  rate_add (&share->begun, cost, now);
  rate_add (&share->streamed, streamed ? cost : 0, now);
  ms_share_answered (share, team, cost, now);
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
    double demand = own_demand (share, t, now) + t->others_demand;
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
  demand[i++]
      = share->demand_scale * (own_demand (share, t, now) + t->others_demand);
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

/* Return the part of a mean with TIME_CONSTANT that is due to what SHARE has
   measured of completions, 0 to 1.  */
static double
measured_part (const struct ms_share *share, double time_constant, ms_time now)
{
  if (!share->answered_since)
    return 0;
  return -expm1 (-(double)(now - share->answered_since) / time_constant);
}

/* Return how far the time that prompts seem to wait may be relied on, 0 to 1.
   It includes the run time of answers that are not streams, which exceeds the
   wait several times.  */
static double
streamed_weight (const struct ms_share *share)
{
  double unstreamed;

  if (share->begun.sum < 1)
    return 0;
  unstreamed = 1 - share->streamed.sum / share->begun.sum;
  return fmax (0, 1 - unstreamed / MAX_UNSTREAMED_FRACTION);
}

/* Return what endpoints are taken to complete before it was measured, in cost
   units per second: what the configuration says or, if that is less, what they
   are predicted to read; 0 if neither is known.  */
static double
assumed_capacity (const struct ms_share *share)
{
  if (share->capacity > 0 && share->read_rate > 0)
    return fmin (share->capacity, share->read_rate);
  return fmax (share->capacity, share->read_rate);
}

/* Return how far what was measured of completions may be relied on, 0 to 1.
   Before, the configured capacity stands for it, if there is one.  While
   prompts wait, endpoints complete what they can, so that less time is
   needed.  */
static double
measured_weight (const struct ms_share *share, ms_time now)
{
  if (share->capacity <= 0)
    return share->read_rate > 0
               ? measured_part (share, RATE_TIME_CONSTANT, now)
               : 1;
  return fmax (measured_part (share, RUN_TIME_CONSTANT, now),
               fmin (1, share->wait_s / TARGET_WAIT_S)
                   * measured_part (share, RATE_TIME_CONSTANT, now));
}

/* Return the rate at which endpoints complete, in cost units per second.  */
static double
completed_rate (const struct ms_share *share, const struct summary *summary,
                const struct ms_share_usage *usage, ms_time now)
{
  double part = measured_part (share, RATE_TIME_CONSTANT, now);
  double weight = measured_weight (share, now);
  double answered = summary->answered / fmax (part, MIN_MEASURED_PART);
  double expected;
  double run_s = share->run_s;
  double completed;

  /* No request has run for longer than since the first one.  */
  run_s = fmin (run_s, (double)(now - share->demanded_since) / MS_SEC);
  expected = answered;
  /* As endpoints fill up, completions lag behind what is running; what is over
     the target does not complete sooner.  */
  if (run_s > 0)
    expected = fmax (
        answered, usage->running_cost
                      * fmin (1, TARGET_USE / usage->used_fraction) / run_s);
  /* While prompts wait, endpoints complete what they can, so that more is not
     to be expected.  */
  completed
      = expected
        + fmin (1, share->wait_s / TARGET_WAIT_S) * (answered - expected);
  return weight * completed + (1 - weight) * assumed_capacity (share);
}

/* Return whether so little time has passed since the first request here that
   the others' reports lack a part of the demand.  A router that starts alone
   has had their reports for a while.  */
static bool
is_starting (const struct ms_share *share, ms_time now)
{
  return share->demanded_since && !share->joins
         && now - share->demanded_since < START_TIME;
}

/* Return the most that all teams together may be admitted while the router
   starts, in cost units per second; HUGE_VAL if that is not limited.  A prompt
   token costs one unit, and generated ones more.  */
static double
start_rate (const struct ms_share *share, ms_time now)
{
  double rate = HUGE_VAL;

  if (!is_starting (share, now))
    return HUGE_VAL;
  if (share->capacity > 0)
    rate = START_RATE_FACTOR * share->capacity;
  if (share->read_rate > 0)
    rate = fmin (rate, share->read_rate);
  return rate;
}

/* Return how far the guess at the demand of others counts, 0 to 1.  */
static double
guess_weight (const struct ms_share *share, ms_time now)
{
  double left = (double)(share->demanded_since + REPORTED_TIME - now)
                / (REPORTED_TIME - UNREPORTED_TIME);

  return fmin (1, fmax (0, left));
}

/* Set the factor by which the demand of all routers exceeds the part that is
   known.  While a router starts, it assumes that others have as much demand as
   itself: when the whole fleet starts, each would otherwise admit all that it
   gets until it has heard of the others.  As their reports arrive, the guess
   counts less: a router to which all callers of a team keep would otherwise
   refuse most of them.  */
static void
scale_demand (struct ms_share *share, ms_time now)
{
  double own = 0;
  double all = 0;
  struct team *t, *next;

  share->demand_scale = 1;
  if (!is_starting (share, now))
    return;
  HASH_ITER (hh, share->teams, t, next)
  {
    double demand = own_demand (share, t, now);

    own += demand;
    all += demand + t->others_demand;
  }
  if (own * share->routers > MIN_DEMAND_SCALE * all)
    share->demand_scale
        = 1 + guess_weight (share, now) * (own * share->routers / all - 1);
}

/* Return the rate at which all teams together may be admitted, in cost units
   per second; HUGE_VAL if there is no need for a limit, or nothing is known of
   what endpoints can do.  */
static double
admitted_rate (struct ms_share *share, const struct summary *summary,
               const struct ms_share_usage *usage, ms_time now)
{
  double use = usage->used_fraction;
  double weight = measured_weight (share, now);
  double factor;

  share->completed = 0;
  if ((use < IDLE_USE && share->wait_s < TARGET_WAIT_S)
      || (share->run_s <= 0 && weight > 0))
    return start_rate (share, now);
  share->completed = completed_rate (share, summary, usage, now);
  if (summary->unplaced_fraction > SCARCE_UNPLACED_FRACTION)
    use = fmax (use, TARGET_USE + summary->unplaced_fraction);
  factor = pow (TARGET_USE / use, USE_EXPONENT);
  if (share->wait_s > 0)
    factor = fmin (factor, pow (TARGET_WAIT_S / share->wait_s, WAIT_EXPONENT));
  if (factor > START_RATE_FACTOR)
    factor = START_RATE_FACTOR / (1 - weight) < factor
                 ? START_RATE_FACTOR / (1 - weight)
                 : factor;
  return fmin (share->completed * factor, start_rate (share, now));
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
agreed_level (const struct ms_share *share, ms_time now)
{
  double own = share->own_level > 0 ? 1 / share->own_level : 0;
  double others = share->others_level > 0 ? 1 / share->others_level : 0;
  double weight = share->others_count ? OWN_LEVEL_WEIGHT : 1;
  double inverse = weight * own + (1 - weight) * others;

  /* Others have no level yet if all have started.  */
  if (is_starting (share, now))
    inverse = fmax (inverse, own);
  return inverse > 0 ? 1 / inverse : 0;
}

bool
ms_share_is_due (const struct ms_share *share, ms_time now)
{
  return now - share->level_at >= LEVEL_PERIOD
         || share->level_at < share->demanded_since;
}

void
ms_share_tick (struct ms_share *share, const struct ms_share_usage *usage,
               ms_time now)
{
  struct summary summary;
  double admitted;
  struct team *t, *next;

  if (!ms_share_is_due (share, now))
    return;
  HASH_ITER (hh, share->teams, t, next) { accrue_credit (share, t, now); }
  remove_idle_teams (share, now);
  share->wait_s = usage->wait_s * streamed_weight (share);
  if (others_demand (share) < 1)
    share->others_since = 0;
  else if (!share->others_since)
    share->others_since = now;
  scale_demand (share, now);
  summary = summarize_teams (share, now);
  update_run_time (share, usage->running_cost, summary.answered, now);
  /* Predictions of the speed are kept from before the first answers, since
     they take an answer that is not a stream for one that begins late.  */
  if (!share->answered_since)
    share->read_rate = usage->read_rate;
  share->level_at = now;
  share->used_fraction = usage->used_fraction;
  share->unplaced_fraction = summary.unplaced_fraction;
  share->answered = summary.answered;
  admitted = admitted_rate (share, &summary, usage, now);
  share->admitted = admitted < HUGE_VAL ? admitted : 0;
  share->own_level = max_min_level (share, admitted, now);
  share->level = agreed_level (share, now);
}

void
ms_share_set_capacity (struct ms_share *share, double capacity)
{
  share->capacity = capacity > 0 ? capacity : 0;
}

void
ms_share_set_routers (struct ms_share *share, unsigned routers)
{
  share->routers = routers;
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
    double rate = own_demand (share, t, now);

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
    .level = share->level,
    .own_level = share->own_level,
    .others_level = share->others_level,
    .used_fraction = share->used_fraction,
    .unplaced_fraction = share->unplaced_fraction,
    .answered = share->answered,
    .wait_s = share->wait_s,
    .completed = share->completed,
    .run_s = share->run_s,
    .capacity = share->capacity,
    .read_rate = share->read_rate,
    .demand_scale = share->demand_scale,
    .admitted = share->admitted,
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
    double demand = own_demand (share, t, now);

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
    double own = own_demand (share, t, now);
    double all = own + t->others_demand;
    double allowed = fmin (all, level);

    sum += allowed;
    if (all > 0)
      own_sum += allowed * own / all;
  }
  return sum > 0 ? own_sum / sum : 1;
}

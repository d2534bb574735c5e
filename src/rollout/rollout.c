#include "rollout/rollout.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/random.h"
#include "base/str.h"
#include "rollout/internal.h"

/* Requests to the ordered version are earned by all requests for the service:
   at the rate of the canary (credit), and at the highest rate that keeps to
   the bound on the sum (budget).  The difference is left for the time before
   the deadline in which all requests go to the version.

   Each request that is earned is UNIT.  */
#define UNIT ((int64_t)1 << 24)

/* Part of the exposure share that is earned at most.  The rest is for requests
   that were counted here but reached no endpoint.  */
#define BUDGET_PERCENT 95

/* Part of the exposure slack that the routers share for the move.  The rest is
   for the random parts of requests that they start with.  No router takes more
   than this part of what its requests earned, if it does not know how many
   routers there are.  */
#define SLACK_PERCENT 40
#define MAX_SLACK_PERCENT 50
#define MAX_SLACK 1e6

/* Canary: part of the exposure share at first, from FEW_GOOD good answers of
   the fleet on, and once it has MANY_ANSWERS.  More would leave less for the
   move before the deadline, and tell little more.  */
#define FIRST_PERCENT 25
#define RAISED_PERCENT 50
#define LAST_PERCENT 10
#define LAST_RATE 6 /* Requests per second of the fleet, at most.  */
#define FEW_GOOD 6
#define MANY_ANSWERS 80

/* Most credit that is kept, so that requests that found no endpoint are not
   made up for at once.  */
#define MAX_CREDIT (2 * UNIT)

/* Canary after the deadline, from which on the sum is not bounded: part of all
   requests.  */
#define LATE_PERCENT 50

/* Endpoints that the canary uses at least, so that a fault of one can be told
   from one of the version.  */
#define MIN_CANARY 2

/* The move may begin with ENOUGH_ANSWERS of the version in the fleet or, on
   services with few requests, one for every 8 / exposure_share requests; by
   the deadline ENOUGH_TIMED of them have a ratio.  It begins LATE_TIME after
   the deadline in any case.  */
#define ENOUGH_ANSWERS 20
#define ENOUGH_TIMED 10
#define LATE_TIME (2 * MS_SEC)

/* While a score is above this fraction of the one of a bad version, no move
   begins and the canary is not raised.  */
#define DOUBTFUL (MS_COMPARE_BAD / 3)

/* The order ends OVERDUE_TIME after its deadline, as rolled back if a score is
   above this fraction.  */
#define OVERDUE_TIME (15 * MS_SEC)
#define DUBIOUS (MS_COMPARE_BAD / 3)

/* A router that moves sends nothing to the others once it has not done so for
   CLOSE_TIME, or MAX_CLOSE_TIME after the move began: until then, endpoints
   of the version that were not in the canary are warming up.  */
#define CLOSE_TIME (100 * MS_MSEC)
#define MAX_CLOSE_TIME (1 * MS_SEC)

/* In fleets of up to this many routers, the reports of which need no zone
   sums, a router without the budget moves too when the deadline is so near
   that its requests can wait for it; in larger ones that is too late to be
   completed in time.  */
#define SMALL_FLEET 16

/* A router that hears of at least HEARD_PERCENT of the routers moves by the
   counts of the fleet: if the sum until the deadline is below MOVE_PERCENT of
   the exposure share and MOVE_SLACK_PERCENT of the slack.  While this would be
   below the STAY_ values, requests beyond the router's own budget go to the
   version too.  The rest is for counts that are on their way, on average for
   LAG in small fleets and LARGE_LAG in large ones, and for rates that rise
   meanwhile.  */
#define HEARD_PERCENT 75
#define MOVE_PERCENT 86
#define MOVE_SLACK_PERCENT 50
#define STAY_PERCENT 92
#define STAY_SLACK_PERCENT 60
#define MOVE_TIME (1200 * MS_MSEC)
#define LARGE_MOVE_TIME (1350 * MS_MSEC)
#define LAG (300 * MS_MSEC)
#define LARGE_LAG (600 * MS_MSEC)

/* The move is so early that the requests in this time before the deadline may
   have to wait for it.  They do not if the order is completed before.  In
   large fleets the others learn up to 0.95 s later that a router has moved, so
   the move begins earlier.  */
#define PLANNED_WAIT (300 * MS_MSEC)
#define LARGE_PLANNED_WAIT (450 * MS_MSEC)

/* While moving, requests that the router may not send to the version yet wait
   if the deadline is nearer than this.  In large fleets, one router that sends
   such a request to the others would delay the end beyond the deadline.  */
#define WAIT_TIME (600 * MS_MSEC)
#define LARGE_WAIT_TIME MS_ROLLOUT_MAX_WAIT

/* Part of a standard deviation by which the requests of a router in a large
   fleet may exceed those expected: the deviations of many routers add up in a
   surge.  Requests beyond it wait.  */
#define LARGE_DEVIATION_PERCENT 20

/* Before the order is completed, no score is above PROVEN, and the version has
   given PROVEN_ANSWERS, run all requests of this router for MOVED_TIME and
   given MOVED_ANSWERS meanwhile. Of a version that answers one in 20 badly,
   150 answers have one or no bad one in 4 of 1000 cases; with two, a score is
   usually too high.  If the canary had less load on each endpoint than the
   others have, faults under load can only appear now: then it has run all
   requests of the fleet for UNLOADED_TIME and given UNLOADED_ANSWERS, or for
   MOVED_LONG_TIME.  */
#define PROVEN_ANSWERS 150
#define PROVEN_PERCENT 80
#define LEAST_PROVEN_ANSWERS 50
#define PROVEN (MS_COMPARE_BAD / 8)
#define MANY_PROVEN (MS_COMPARE_BAD / 6)
#define MOVED_TIME (300 * MS_MSEC)
#define MOVED_ANSWERS 20
#define UNLOADED_TIME (700 * MS_MSEC)
#define UNLOADED_ANSWERS 40
#define MOVED_LONG_TIME (10 * MS_SEC)

/* The order is not completed earlier than this before the deadline, so that
   there is time to see whether the version stays good.  */
#define FINISH_TIME (400 * MS_MSEC)

/* An order that could not be completed by its deadline is late anyway.  Then
   the version shows for longer that it stays good, with all requests of the
   fleet.  */
#define LATE_MOVED_TIME (1 * MS_SEC)
#define LATE_ANSWERS 100

/* The canary had load if LOADED_ANSWERS were given while each endpoint had at
   least LOADED_PERCENT of the load of one of the others.  While the canary is
   raised and has had none, its rate gives each AIMED_PERCENT, if for this
   MAX_RAISE of the exposure share is enough.  */
#define LOADED_PERCENT 70
#define AIMED_PERCENT 85
#define LOADED_ANSWERS 30
#define MAX_RAISE 3

/* The canary is not raised in this time before the deadline, as the budget is
   needed for the move.  */
#define RAISE_TIME (1500 * MS_MSEC)

/* The order ends if the version has no usable endpoint after the deadline and
   got no request for this long.  */
#define NO_ENDPOINT_TIME (3 * MS_SEC)

/* If the store has no state of an order and no router has told its age for
   this long, the order begins now.  */
#define UNKNOWN_TIME (3 * MS_SEC)

/* Routers see the record of an order at most this much later than others.  */
#define MAX_NOTICE_DELAY (3 * MS_SEC)

/* A state without the ID of its order is of an earlier one if that is older
   than the order by this.  */
#define MAX_AGE_ERROR (5 * MS_SEC)

/* By this much, clocks of routers that wrote and read a state may differ.  */
#define MAX_CLOCK_ERROR (500 * MS_MSEC)

/* After the store may have lost records, an order of the same content is the
   same for this many evaluations, 10 s.  */
#define RESTORE_STEPS 100

/* A removed order is forgotten this long after the endpoints that it excluded
   were listed last.  */
#define FORGET_TIME (30 * MS_SEC)

/* Time between two evaluations, and for which the rate of requests is
   averaged.  */
#define STEP_TIME (100 * MS_MSEC)
#define RATE_TIME (2 * MS_SEC)
#define RECENT_TIME (250 * MS_MSEC)
#define RECENT_REQUESTS 25

/* Part of the recent rate of the fleet that counts, so that chance in a short
   time does not look like a surge.  */
#define RECENT_PERCENT 75

/* Bounds on what is computed with, so that nothing overflows.  */
#define MAX_REQUESTS ((uint64_t)1 << 32)
#define MAX_LEFT (1000 * MS_SEC)

struct order
{
  uint64_t service;
  struct ms_rollout_order order;
  uint64_t former_id; /* Of the same order, before it was written again */
  struct ms_rollout_order repeated; /* as this, */
  ms_time repeated_at;              /* which this router saw then.  */
  ms_time seen_at;
  ms_time started_at;
  ms_time earliest_start; /* Bound on STARTED_AT, which others may know
                             better.  */
  ms_time origin_at; /* As this router learned at first, which it reports.  If
                        it reported what others have corrected, errors of
                        relayed ages would add up.  */
  bool appeared;
  bool started;
  bool removed; /* The operators' records do not have it any more.  */

  bool closed;    /* While moving: nothing is sent to the others.  */
  bool drained;   /* It is to be completed.  */
  bool overdue;   /* Whatever still runs at the others.  */
  bool confirmed; /* The store has the phase.  */
  enum ms_rollout_phase phase;
  enum ms_rollout_phase stored;
  unsigned restored_steps; /* Until the store's loss of records is over.  */
  ms_time none_since; /* Since when the store is known to have no state.  */
  const char *reason;
  ms_time stopped_at;
  ms_time moved_at;
  ms_time all_moved_at;       /* Since when no router may use the others; 0 if
                                 one may.  */
  uint32_t moved_answers;     /* Of the fleet at MOVED_AT, */
  uint32_t all_moved_answers; /* and at ALL_MOVED_AT.  */

  /* Version to which an earlier order has moved the service; 0 if none has.
     The operators stop endpoints of others without notice.  */
  uint32_t base;
  /* Versions of earlier orders that were not completed.  */
  uint32_t excluded[MS_ROLLOUT_EXCLUDED - 1];
  bool excluded_stopped[MS_ROLLOUT_EXCLUDED - 1]; /* Not only replaced.  */
  ms_time excluded_at;

  int64_t credit;
  int64_t budget;
  int64_t canary_rate; /* Earned credit for each request.  */
  int64_t rate;        /* Requests per second on average, in UNIT.  */
  int64_t fleet_rate;  /* The same of the fleet, */
  uint64_t fleet_sent; /* from its requests at the last evaluation.  */
  int64_t near_rate;   /* The same of the routers that are heard directly,
                        */
  int64_t recent_rate; /* and over a shorter time.  */
  uint64_t near_sent;
  uint64_t counted_sent; /* By the fleet, since this router started.  */
  bool has_room;         /* For requests beyond this router's budget.  */
  int64_t pace_rate;     /* Requests per second, at the start of the move.  */
  ms_time paced_at;
  int64_t pace; /* Requests that this router may still send in a surge.  */
  bool is_full; /* Nor for those that it has the budget for.  */
  unsigned requests;       /* Since the last evaluation.  */
  uint32_t sent_ordered;   /* By any router of the fleet, */
  ms_time sent_ordered_at; /* last at this time.  */
  ms_time sent_other_at;

  unsigned ordered, others;
  unsigned running_here, running_elsewhere;
  bool endpoints_known;
  bool had_others;
  uint32_t loaded_answers;
  uint32_t seen_answers; /* At the last evaluation.  */
  ms_time listed_at;     /* Excluded endpoints were listed.  */
  ms_time stepped_at;
  struct ms_evidence evidence;
  UT_hash_handle hh;
};

struct ms_rollouts
{
  struct ms_rollout_options options;
  int64_t share; /* Exposure share and slack, in UNIT.  */
  int64_t slack;
  struct ms_random random;
  struct order *orders;
  uint64_t *services;
  unsigned services_count;
  unsigned turn; /* Of running orders to be reported.  */
};

/* Orders and their phases.  */

struct ms_rollouts *
ms_rollouts_create (const struct ms_rollout_options *options)
{
  struct ms_rollouts *rollouts = ms_new (sizeof *rollouts);

  rollouts->random.state = options->random_seed;
  ms_rollouts_set_options (rollouts, options);
  return rollouts;
}

static void
free_order (struct ms_rollouts *rollouts, struct order *o)
{
  HASH_DEL (rollouts->orders, o);
  ms_evidence_free (&o->evidence);
  free (o);
}

void
ms_rollouts_destroy (struct ms_rollouts *rollouts)
{
  struct order *o, *next;

  if (!rollouts)
    return;
  HASH_ITER (hh, rollouts->orders, o, next) { free_order (rollouts, o); }
  free (rollouts->services);
  free (rollouts);
}

void
ms_rollouts_set_options (struct ms_rollouts *rollouts,
                         const struct ms_rollout_options *options)
{
  double share = options->exposure_share;
  double slack = options->exposure_slack;

  rollouts->options = *options;
  if (!(share > 0))
    share = 0;
  if (share > 1)
    share = 1;
  if (!(slack > 0))
    slack = 0;
  if (slack > MAX_SLACK)
    slack = MAX_SLACK;
  /* Scaling by a power of 2 is exact.  */
  rollouts->share = (int64_t)(share * (double)UNIT);
  rollouts->slack = (int64_t)(slack * (double)UNIT);
}

static struct order *
find_order (const struct ms_rollouts *rollouts, uint64_t service)
{
  struct order *o;

  HASH_FIND (hh, rollouts->orders, &service, sizeof service, o);
  return o;
}

static void
list_services (struct ms_rollouts *rollouts)
{
  unsigned count = 0;

  rollouts->services
      = ms_resize (rollouts->services, HASH_COUNT (rollouts->orders) + 1,
                   sizeof *rollouts->services);
  for (const struct order *o = rollouts->orders; o; o = o->hh.next)
    rollouts->services[count++] = o->service;
  rollouts->services_count = count;
}

const uint64_t *
ms_rollouts_services (const struct ms_rollouts *rollouts, unsigned *count)
{
  *count = rollouts->services_count;
  return rollouts->services;
}

static bool
is_terminal (enum ms_rollout_phase phase)
{
  return phase == MS_ROLLOUT_COMPLETED || phase == MS_ROLLOUT_ROLLED_BACK;
}

/* Return whether O may still change by this router's decision.  */
static bool
is_running (const struct order *o)
{
  return o->phase == MS_ROLLOUT_CANARY || o->phase == MS_ROLLOUT_MOVING;
}

static void
set_phase (struct order *o, enum ms_rollout_phase phase, const char *reason,
           ms_time now)
{
  bool stops = phase == MS_ROLLOUT_STOPPED || phase == MS_ROLLOUT_ROLLED_BACK;

  /* Only where it was in use are there streams to resume.  */
  if (stops && is_running (o))
    o->stopped_at = now;
  if (phase == MS_ROLLOUT_MOVING)
    {
      o->moved_at = now;
      o->paced_at = now;
      o->moved_answers = ms_compare_total (o->evidence.compare)->answers[0];
    }
  o->closed = false;
  o->has_room = o->is_full = false;
  o->all_moved_at = 0;
  o->drained = false;
  o->overdue = false;
  o->confirmed = false;
  o->phase = phase;
  o->reason = reason;
}

/* The order O was written at AT.  */
static void
start_order (struct order *o, ms_time at, const char *reason, ms_time now)
{
  o->started = true;
  o->started_at = at;
  o->origin_at = at;
  o->earliest_start = at - MAX_NOTICE_DELAY;
  if (o->phase == MS_ROLLOUT_UNKNOWN)
    set_phase (o, MS_ROLLOUT_CANARY, reason, now);
}

static bool
has_id (const struct order *o, uint64_t id)
{
  return id == o->order.id || (o->former_id && id == o->former_id);
}

/* Exclude VERSION, which was STOPPED or replaced, from O.  */
static void
exclude_version (struct order *o, uint32_t version, bool stopped)
{
  unsigned i = 0;

  if (!version || version == o->order.version)
    return;
  while (i < MS_ROLLOUT_EXCLUDED - 2 && o->excluded[i]
         && o->excluded[i] != version)
    i++;
  o->excluded[i] = version;
  o->excluded_stopped[i] = stopped;
}

static bool
is_excluded (const struct order *o, uint32_t version)
{
  for (unsigned i = 0; i < MS_ROLLOUT_EXCLUDED - 1; i++)
    if (version && o->excluded[i] == version)
      return true;
  return false;
}

/* Return whether O has moved its service to its version.  If it is drained,
   another router may have written so already.  */
static bool
has_moved_service (const struct order *o)
{
  return o->phase == MS_ROLLOUT_COMPLETED || o->drained;
}

/* Exclude from O what the order FORMER, which it replaces, has excluded or not
   completed.  */
static void
take_over_exclusions (struct order *o, const struct order *former, ms_time now)
{
  for (unsigned i = 0; i < MS_ROLLOUT_EXCLUDED - 1; i++)
    exclude_version (o, former->excluded[i], former->excluded_stopped[i]);
  if (!has_moved_service (former) && former->phase != MS_ROLLOUT_UNKNOWN)
    exclude_version (o, former->order.version, !is_running (former));
  o->excluded_at = former->excluded_at;
  if (o->excluded_at < former->stopped_at)
    o->excluded_at = former->stopped_at;
  if (is_running (former) && !former->drained)
    o->excluded_at = now;
  o->base = has_moved_service (former) ? former->order.version : former->base;
  if (o->base == o->order.version)
    o->base = 0;
}

/* Return whether O is the order of UPDATE under another ID.  */
static bool
is_same_order (const struct order *o, const struct ms_rollout_order *update)
{
  if (o->order.version != update->version)
    return false;
  if (o->phase != MS_ROLLOUT_STOPPED && !is_terminal (o->phase))
    return true;
  return o->order.duration == update->duration && o->restored_steps;
}

/* Replace FORMER, NULL if there is none, by ORDER, which APPEARED at AT if
   this router saw that.  */
static void
add_order (struct ms_rollouts *rollouts, struct order *former,
           const struct ms_rollout_order *order, bool appeared, ms_time at,
           ms_time now)
{
  struct order *o = ms_new (sizeof *o);

  o->service = order->service;
  o->order = *order;
  o->appeared = appeared;
  o->seen_at = now;
  o->listed_at = now;
  o->stopped_at = now - rollouts->options.rollback_time;
  o->excluded_at = o->stopped_at;
  o->sent_ordered_at = now;
  o->sent_other_at = now;
  o->stepped_at = now;
  o->reason = "order";
  o->phase = MS_ROLLOUT_UNKNOWN;
  /* A random part of a request each: without it, routers with few requests
     would never earn one, and their sum would be below what is intended.  */
  if (rollouts->options.exposure_slack >= 1)
    o->credit = (int64_t)ms_random_below (&rollouts->random, (uint64_t)UNIT);
  o->budget = o->credit;
  o->canary_rate = rollouts->share * FIRST_PERCENT / 100;
  ms_evidence_init (&o->evidence);
  o->evidence.late = !appeared;
  if (former)
    {
      take_over_exclusions (o, former, now);
      free_order (rollouts, former);
    }
  HASH_ADD (hh, rollouts->orders, service, sizeof o->service, o);
  list_services (rollouts);
  if (appeared)
    start_order (o, at, "order", now);
}

/* O, which runs, was written again as ORDER: it continues.  */
static void
continue_order (struct order *o, const struct ms_rollout_order *order,
                bool appeared, ms_time now)
{
  o->removed = false;
  o->former_id = o->order.id;
  o->order.id = order->id;
  o->repeated = *order;
  o->repeated_at = appeared ? now : 0;
  if (o->started && order->duration != o->order.duration
      && now + order->duration > o->started_at + o->order.duration)
    o->order.duration = now + order->duration - o->started_at;
}

void
ms_rollouts_put_order (struct ms_rollouts *rollouts,
                       const struct ms_rollout_order *order, bool appeared,
                       ms_time now)
{
  struct order *former = find_order (rollouts, order->service);

  if (former && has_id (former, order->id))
    former->removed = false;
  else if (former && is_same_order (former, order))
    continue_order (former, order, appeared, now);
  else
    add_order (rollouts, former, order, appeared, now, now);
}

/* PHASE is final of the order ID, as the store confirms.  If O is that order
   written again, it had ended before this router saw the repetition, which is
   a new order then.  Return whether it is.  */
static bool
separate_repetition (struct ms_rollouts *rollouts, struct order *o,
                     uint64_t id, enum ms_rollout_phase phase, ms_time now)
{
  struct ms_rollout_order repeated = o->repeated;
  ms_time at = o->repeated_at;

  if (!at || is_terminal (o->phase) || !is_terminal (phase)
      || id != o->former_id)
    return false;
  o->order.id = o->former_id;
  set_phase (o, phase, "peer", now);
  add_order (rollouts, o, &repeated, true, at, now);
  return true;
}

static void
forget_order (struct ms_rollouts *rollouts, struct order *o)
{
  free_order (rollouts, o);
  list_services (rollouts);
}

void
ms_rollouts_remove_order (struct ms_rollouts *rollouts, uint64_t service,
                          ms_time now)
{
  struct order *o = find_order (rollouts, service);

  if (!o)
    return;
  o->removed = true;
  o->listed_at = now;
  if (o->phase == MS_ROLLOUT_UNKNOWN)
    forget_order (rollouts, o);
  else if (is_running (o))
    set_phase (o, MS_ROLLOUT_STOPPED, "removed", now);
}

/* Requests.  */

static ms_time
deadline_of (const struct order *o)
{
  return o->started_at + o->order.duration;
}

/* Return whether the sum of requests to the version is bounded.  */
static bool
is_bounded (const struct order *o, ms_time now)
{
  return !o->started || now < deadline_of (o);
}

static bool
is_large (const struct order *o)
{
  return o->evidence.routers > SMALL_FLEET;
}

/* Return whether the deadline is so near that requests wait for it.  */
static bool
may_wait (const struct order *o, ms_time now)
{
  return deadline_of (o) - now < (is_large (o) ? LARGE_WAIT_TIME : WAIT_TIME);
}

static int64_t
budget_rate (const struct ms_rollouts *rollouts)
{
  return rollouts->share * BUDGET_PERCENT / 100;
}

/* Return whether this router hears of enough of the others for their sum to
   decide.  */
static bool
hears_fleet (const struct order *o)
{
  return o->evidence.heard * 100 >= o->evidence.routers * HEARD_PERCENT;
}

/* Return this router's part of the exposure slack.  Only routers that saw the
   order appear have one: others may have used theirs before they restarted. */
static int64_t
own_slack (const struct ms_rollouts *rollouts, const struct order *o)
{
  int64_t slack = rollouts->slack * SLACK_PERCENT / 100 / o->evidence.routers;
  int64_t most = ((int64_t)o->evidence.sent[0] + o->evidence.sent[1])
                 * rollouts->share * MAX_SLACK_PERCENT / 100;

  /* The counts of the fleet include it.  */
  if (!o->appeared || (o->phase == MS_ROLLOUT_MOVING && hears_fleet (o)))
    return 0;
  return slack < most ? slack : most;
}

/* Return whether O has the budget for a request while all go to the version.
 */
static bool
has_budget (const struct ms_rollouts *rollouts, const struct order *o)
{
  if (o->is_full || (o->has_room && o->pace >= UNIT))
    return !o->is_full;
  return o->budget + own_slack (rollouts, o) >= UNIT;
}

/* Return whether O may use the version without regard to the bound on the sum,
   as the service has never had another since the order.  */
static bool
is_only_version (const struct order *o)
{
  return o->endpoints_known && !o->had_others;
}

/* Return whether a request is for the canary.  In large fleets, where routers
   have few requests, what it earns itself counts: it would otherwise be used
   for the next one, seconds later.  */
static bool
takes_canary (const struct ms_rollouts *rollouts, const struct order *o,
              bool again, ms_time now)
{
  int64_t credit = o->credit;
  int64_t budget = o->budget;

  if (is_large (o))
    {
      credit += o->canary_rate;
      budget += budget_rate (rollouts);
    }
  return !again && o->ordered && credit >= UNIT
         && (!is_bounded (o, now) || budget >= UNIT);
}

struct ms_rollout_choice
ms_rollouts_choose (struct ms_rollouts *rollouts, uint64_t service, bool again,
                    ms_time now)
{
  const struct order *o = find_order (rollouts, service);
  struct ms_rollout_choice choice = { 0 };
  bool only = false;
  bool any = false;

  if (!o)
    return choice;
  for (unsigned i = 0; i < MS_ROLLOUT_EXCLUDED - 1; i++)
    choice.except[i + 1] = o->excluded[i];
  switch (o->phase)
    {
    case MS_ROLLOUT_UNKNOWN:
      any = o->endpoints_known && !o->others;
      break;
    case MS_ROLLOUT_CANARY:
      any = is_only_version (o) || (!is_bounded (o, now) && !o->others);
      only = takes_canary (rollouts, o, again, now);
      choice.fallback = only;
      break;
    case MS_ROLLOUT_MOVING:
      any = is_only_version (o) || !o->ordered;
      only = !is_bounded (o, now) || has_budget (rollouts, o);
      choice.fallback = only && !o->closed;
      choice.wait = !only && o->closed && may_wait (o, now);
      break;
    case MS_ROLLOUT_COMPLETED:
      only = true;
      break;
    case MS_ROLLOUT_NONE:
    case MS_ROLLOUT_STOPPED:
    case MS_ROLLOUT_ROLLED_BACK:
      break;
    }
  if (any)
    {
      choice.fallback = choice.wait = false;
      return choice;
    }
  if (only)
    choice.only = o->order.version;
  else
    choice.except[0] = o->order.version;
  if (!only || choice.fallback)
    choice.rest = o->base;
  return choice;
}

struct ms_rollout_choice
ms_rollouts_choose_rest (const struct ms_rollouts *rollouts, uint64_t service)
{
  const struct order *o = find_order (rollouts, service);
  struct ms_rollout_choice choice = { 0 };

  if (!o)
    return choice;
  for (unsigned i = 0; i < MS_ROLLOUT_EXCLUDED - 1; i++)
    if (o->excluded_stopped[i])
      choice.except[i + 1] = o->excluded[i];
  if ((o->phase == MS_ROLLOUT_UNKNOWN || o->phase == MS_ROLLOUT_STOPPED
       || o->phase == MS_ROLLOUT_ROLLED_BACK)
      && (o->others || !o->endpoints_known))
    choice.except[0] = o->order.version;
  return choice;
}

bool
ms_rollouts_allows (const struct ms_rollouts *rollouts, uint64_t service,
                    uint32_t version, ms_time now)
{
  const struct order *o = find_order (rollouts, service);
  ms_time grace = rollouts->options.rollback_time / 2;

  if (!o)
    return true;
  if (is_excluded (o, version))
    return now - o->excluded_at < grace;
  if (version != o->order.version)
    return o->phase != MS_ROLLOUT_COMPLETED;
  switch (o->phase)
    {
    case MS_ROLLOUT_UNKNOWN:
      return o->endpoints_known && !o->others;
    case MS_ROLLOUT_STOPPED:
    case MS_ROLLOUT_ROLLED_BACK:
      return now - o->stopped_at < grace;
    default:
      return true;
    }
}

uint64_t
ms_rollouts_mark (const struct ms_rollouts *rollouts, uint64_t service,
                  uint64_t id)
{
  const struct order *o = find_order (rollouts, service);

  return ms_id_pair (id, o ? o->order.id : 0);
}

/* Return how many endpoints of the version get, in the canary, as many
   requests each as one of the others, in percent of one.  */
static int64_t
canary_percent (const struct order *o)
{
  return o->canary_rate * o->others * 100 / UNIT;
}

unsigned
ms_rollouts_canary_size (const struct ms_rollouts *rollouts, uint64_t service,
                         unsigned usable)
{
  const struct order *o = find_order (rollouts, service);
  int64_t size;

  if (!o || o->phase != MS_ROLLOUT_CANARY || !o->others)
    return 0;
  size = (canary_percent (o) + 50) / 100;
  if (size < MIN_CANARY)
    size = MIN_CANARY;
  return size < usable ? (unsigned)size : usable;
}

void
ms_rollouts_sent (struct ms_rollouts *rollouts, uint64_t service,
                  uint32_t version, bool again, ms_time now)
{
  struct order *o = find_order (rollouts, service);

  if (!o || is_terminal (o->phase))
    return;
  ms_evidence_sent (&o->evidence, version != o->order.version);
  if (version == o->order.version)
    {
      o->credit -= UNIT;
      o->budget -= UNIT;
      o->pace -= UNIT;
    }
  else
    o->sent_other_at = now;
  if (again)
    return;
  o->requests++;
  o->budget += budget_rate (rollouts);
  /* What was earned before there are endpoints would be spent in a burst.  */
  if (o->ordered)
    o->credit += o->canary_rate;
  if (o->credit > MAX_CREDIT)
    o->credit = MAX_CREDIT;
}

void
ms_rollouts_note (struct ms_rollouts *rollouts,
                  const struct ms_rollout_answer *answer, ms_time now)
{
  struct order *o = find_order (rollouts, answer->service);

  (void)now;
  if (o && !is_terminal (o->phase) && !is_excluded (o, answer->version))
    ms_evidence_note (&o->evidence, answer->version != o->order.version,
                      answer);
}

/* Other routers.  */

/* Return whether this router may send requests for O to other versions.  */
static bool
may_use_others (const struct ms_rollouts *rollouts, const struct order *o,
                ms_time now)
{
  if (o->phase == MS_ROLLOUT_COMPLETED)
    return false;
  if (o->phase != MS_ROLLOUT_MOVING || !o->closed || !o->ordered)
    return true;
  return is_bounded (o, now) && !has_budget (rollouts, o)
         && !may_wait (o, now);
}

static void
report_order (const struct ms_rollouts *rollouts, const struct order *o,
              struct ms_rollout_report *report, ms_time now)
{
  memset (report, 0, sizeof *report);
  report->service = o->service;
  report->order = o->order.id;
  report->version = o->order.version;
  report->age = o->started ? now - o->origin_at : -1;
  report->phase = o->phase;
  report->confirmed = o->confirmed;
  report->running_old = o->running_here;
  report->routers = 1;
  report->unmoved = may_use_others (rollouts, o, now);
  if (!is_terminal (o->phase))
    ms_evidence_report (&o->evidence, report);
}

unsigned
ms_rollouts_report (struct ms_rollouts *rollouts,
                    struct ms_rollout_report list[MS_ROLLOUTS], ms_time now)
{
  unsigned running = 0;
  unsigned index = 0;
  unsigned count = 0;

  for (const struct order *o = rollouts->orders; o; o = o->hh.next)
    running += !is_terminal (o->phase);
  /* By turns, if there are too many.  */
  for (const struct order *o = rollouts->orders; o; o = o->hh.next)
    if (!is_terminal (o->phase)
        && (index++ + running - rollouts->turn % running) % running
               < MS_ROLLOUTS)
      report_order (rollouts, o, &list[count++], now);
  if (running > MS_ROLLOUTS)
    rollouts->turn += MS_ROLLOUTS;
  for (const struct order *o = rollouts->orders; o && count < MS_ROLLOUTS;
       o = o->hh.next)
    if (is_terminal (o->phase))
      report_order (rollouts, o, &list[count++], now);
  return count;
}

void
ms_rollouts_clear_others (struct ms_rollouts *rollouts)
{
  for (struct order *o = rollouts->orders; o; o = o->hh.next)
    ms_evidence_clear (&o->evidence);
}

/* Learn from another router that the order O began AGE ago.  */
static void
merge_age (struct order *o, ms_time age, ms_time now)
{
  if (age < 0)
    return;
  if (!o->started)
    start_order (o, now - age, "peer", now);
  else if (now - age < o->started_at && now - age >= o->earliest_start)
    o->started_at = now - age;
}

/* Adopt the phase that another router reports.  */
static void
merge_phase (struct order *o, const struct ms_rollout_report *report,
             ms_time now)
{
  enum ms_rollout_phase phase = report->phase;

  if (is_terminal (phase) && report->confirmed)
    {
      set_phase (o, phase, "peer", now);
      o->stored = phase;
      o->confirmed = true;
    }
  else if (o->phase != MS_ROLLOUT_STOPPED
           && (phase == MS_ROLLOUT_STOPPED || phase == MS_ROLLOUT_ROLLED_BACK))
    set_phase (o, MS_ROLLOUT_STOPPED, "peer", now);
}

void
ms_rollouts_merge (struct ms_rollouts *rollouts, uint64_t source,
                   const struct ms_rollout_report *report, ms_time now)
{
  struct order *o = find_order (rollouts, report->service);

  if (!o || is_terminal (o->phase) || !has_id (o, report->order)
      || report->version != o->order.version
      || !ms_evidence_is_plausible (report))
    return;
  if (report->confirmed
      && separate_repetition (rollouts, o, report->order, report->phase, now))
    return;
  /* The phase comes first: a router that does not know the age yet has not
     used the version.  */
  merge_phase (o, report, now);
  merge_age (o, report->age, now);
  ms_evidence_merge (&o->evidence, source, report, now);
}

void
ms_rollouts_set_endpoints (struct ms_rollouts *rollouts, uint64_t service,
                           unsigned ordered, unsigned others,
                           unsigned running_here, unsigned running_elsewhere)
{
  struct order *o = find_order (rollouts, service);

  if (!o)
    return;
  o->endpoints_known = true;
  o->ordered = ordered;
  o->others = others;
  o->had_others = o->had_others || others;
  o->running_here = running_here;
  o->running_elsewhere = running_elsewhere;
}

/* Decisions.  */

/* Return the mean RATE with REQUESTS in the last ELAPSED, over TIME.  */
static int64_t
mean_rate (int64_t rate, uint64_t requests, ms_time elapsed, ms_time time)
{
  int64_t now = (int64_t)requests * UNIT / elapsed * MS_SEC;

  if (elapsed > time)
    elapsed = time;
  return rate + (now - rate) / 1024 * (elapsed * 1024 / time);
}

/* Update the rates of requests at this router and at all.  */
static void
update_rates (struct order *o, ms_time now)
{
  uint64_t sent
      = (uint64_t)o->evidence.total_sent[0] + o->evidence.total_sent[1];
  uint64_t added = sent - o->evidence.past_sent - o->counted_sent;
  ms_time elapsed = now - o->stepped_at;
  ms_time window = now - o->seen_at;
  ms_time recent;

  if (added > MAX_REQUESTS)
    added = MAX_REQUESTS;
  if (window > RATE_TIME)
    window = RATE_TIME;
  o->rate = mean_rate (o->rate, o->requests, elapsed, window);
  o->fleet_rate = mean_rate (o->fleet_rate, added, elapsed, window);
  o->fleet_sent = sent;
  o->counted_sent = sent - o->evidence.past_sent;
  sent = o->evidence.near_sent;
  added = sent - o->near_sent;
  if (added > MAX_REQUESTS)
    added = MAX_REQUESTS;
  o->near_rate = mean_rate (o->near_rate, added, elapsed, window);
  recent = o->near_rate / UNIT;
  recent = RECENT_REQUESTS * MS_SEC / (recent > 0 ? recent : 1);
  if (recent < RECENT_TIME)
    recent = RECENT_TIME;
  if (window > recent)
    window = recent;
  o->recent_rate = mean_rate (o->recent_rate, added, elapsed, window);
  o->near_sent = sent;
  o->requests = 0;
}

static bool
is_doubtful (const struct order *o)
{
  return ms_evidence_score (&o->evidence) > DOUBTFUL;
}

/* Return whether the fleet knows enough of the version to move to it.  */
static bool
is_known_good (const struct ms_rollouts *rollouts, const struct order *o,
               ms_time now)
{
  const struct ms_rollout_evidence *total
      = ms_compare_total (o->evidence.compare);
  uint64_t sent
      = (uint64_t)o->evidence.total_sent[0] + o->evidence.total_sent[1];
  uint64_t enough = sent * (uint64_t)rollouts->share / 8 / UNIT;

  if (enough > ENOUGH_ANSWERS)
    enough = ENOUGH_ANSWERS;
  if (is_doubtful (o) || !total->answers[0] || total->answers[0] < enough)
    return false;
  return !is_bounded (o, now) || !total->timed[1]
         || total->timed[0] >= ENOUGH_TIMED
         || total->timed[0] >= total->answers[0] / 2;
}

static void
update_canary_rate (const struct ms_rollouts *rollouts, struct order *o,
                    ms_time now)
{
  const struct ms_rollout_evidence *total
      = ms_compare_total (o->evidence.compare);
  uint32_t bad = total->failed[0] + total->slow[0];
  int64_t loaded;

  if (!is_bounded (o, now))
    {
      o->canary_rate = UNIT * LATE_PERCENT / 100;
      return;
    }
  o->canary_rate = rollouts->share * FIRST_PERCENT / 100;
  if (total->answers[0] - bad < FEW_GOOD || is_doubtful (o)
      || deadline_of (o) - now < RAISE_TIME)
    return;
  if (total->answers[0] < MANY_ANSWERS)
    o->canary_rate = rollouts->share * RAISED_PERCENT / 100;
  else
    {
      int64_t most = UNIT / (o->fleet_rate / UNIT + 1) * LAST_RATE;

      o->canary_rate = rollouts->share * LAST_PERCENT / 100;
      if (o->canary_rate > most)
        o->canary_rate = most;
    }
  if (o->loaded_answers >= LOADED_ANSWERS || !o->others)
    return;
  loaded = UNIT * MIN_CANARY * AIMED_PERCENT / 100 / o->others;
  if (loaded > o->canary_rate && loaded <= rollouts->share * MAX_RAISE)
    o->canary_rate = loaded;
}

/* Return the rate of requests of the fleet.  If it rises, the routers that are
   heard directly show it first.  */
static int64_t
expected_rate (const struct order *o)
{
  int64_t recent = o->recent_rate / 100 * RECENT_PERCENT;

  if (recent <= o->near_rate || o->near_rate < UNIT)
    return o->fleet_rate;
  return o->fleet_rate / 1024 * (recent / (o->near_rate / 1024));
}

/* Return whether, by the counts of the fleet, all requests of the next TIME
   can go to the version within PERCENT of the exposure share and SLACK_PERCENT
   of the slack.  */
static bool
fleet_has_room (const struct ms_rollouts *rollouts, const struct order *o,
                ms_time time, int64_t percent, int64_t slack_percent,
                ms_time now)
{
  const struct ms_evidence *e = &o->evidence;
  ms_time lag = is_large (o) ? LARGE_LAG : LAG;
  ms_time moved = o->phase == MS_ROLLOUT_MOVING ? now - o->moved_at : 0;
  int64_t rate = expected_rate (o);
  int64_t all
      = (int64_t)(o->fleet_sent > MAX_REQUESTS ? MAX_REQUESTS : o->fleet_sent);
  int64_t bound;
  int64_t sum;

  if (time > MAX_LEFT)
    return false;

  /* In thousandths of a request.  */
  rate = rate / (UNIT / 1000);
  all = all * 1000 + rate * ((time + lag) / MS_MSEC) / 1000;
  bound = all / 1024 * (rollouts->share * percent / 100) / (UNIT / 1024)
          + rollouts->slack / (UNIT / 1000) * slack_percent / 100;
  sum = (int64_t)e->total_sent[0] * 1000
        + rate * ((moved < lag ? moved : lag) / MS_MSEC) / 1000;
  time -= is_large (o) ? LARGE_PLANNED_WAIT : PLANNED_WAIT;
  if (time > 0)
    sum += rate * (time / MS_MSEC) / 1000;
  return sum <= bound;
}

/* O begins to move: in a surge, which the reports of others show late, this
   router sends hardly more than was expected, one request, and a standard
   deviation or a part of one.  */
static void
start_pace (struct order *o, ms_time now)
{
  int64_t mean = o->fleet_rate / o->evidence.heard;
  int64_t expected, deviation;

  o->pace_rate = o->rate > mean ? o->rate : mean;
  expected = o->pace_rate / 1000 * ((deadline_of (o) - now) / MS_MSEC);
  deviation = (int64_t)ms_square_root ((uint64_t)expected) * 4096;
  if (is_large (o))
    deviation = deviation * LARGE_DEVIATION_PERCENT / 100;
  o->pace = UNIT / 2 + deviation;
  if (o->pace < UNIT)
    o->pace = UNIT;
}

/* Update what the fleet's counts allow while all requests move.  */
static void
update_room (const struct ms_rollouts *rollouts, struct order *o, ms_time now)
{
  ms_time left = deadline_of (o) - now;

  o->has_room = false;
  o->is_full = false;
  if (left < 0 || !hears_fleet (o))
    return;
  o->has_room = fleet_has_room (rollouts, o, left, STAY_PERCENT,
                                STAY_SLACK_PERCENT, now);
  o->is_full = !o->has_room
               && !fleet_has_room (rollouts, o, 0, STAY_PERCENT,
                                   STAY_SLACK_PERCENT, now);
}

/* Return whether this router can send all requests to the version until the
   deadline within its budget, or that of the fleet, or have them wait.  */
static bool
can_move (const struct ms_rollouts *rollouts, const struct order *o,
          ms_time now)
{
  int64_t left = (deadline_of (o) - now) / MS_MSEC;
  int64_t requests = o->rate / 1000 * left;
  bool others_moved = o->evidence.unmoved * 2 < o->evidence.heard - 1;
  int64_t cost;

  if (hears_fleet (o))
    return deadline_of (o) - now
               <= (is_large (o) ? LARGE_MOVE_TIME : MOVE_TIME)
           && fleet_has_room (
               rollouts, o, deadline_of (o) - now,
               others_moved ? STAY_PERCENT : MOVE_PERCENT,
               others_moved ? STAY_SLACK_PERCENT : MOVE_SLACK_PERCENT, now);
  if (!is_large (o) && left * MS_MSEC < WAIT_TIME + CLOSE_TIME)
    return true;
  cost = (UNIT - budget_rate (rollouts)) / 1024;

  return o->budget + own_slack (rollouts, o)
         >= requests / 1024 * cost / (UNIT / 1024 / 1024);
}

static void
step_canary (const struct ms_rollouts *rollouts, struct order *o, ms_time now)
{
  update_canary_rate (rollouts, o, now);
  if (!o->ordered)
    return;
  if (is_bounded (o, now))
    {
      if (is_known_good (rollouts, o, now) && can_move (rollouts, o, now))
        {
          set_phase (o, MS_ROLLOUT_MOVING, "good", now);
          start_pace (o, now);
        }
    }
  else if (is_known_good (rollouts, o, now)
           || now >= deadline_of (o) + LATE_TIME)
    set_phase (o, MS_ROLLOUT_MOVING, "deadline", now);
}

/* Return the number of answers that the version must have given: on services
   with few requests, those that it can have by the deadline.  */
static uint64_t
proven_answers (const struct ms_rollouts *rollouts, const struct order *o)
{
  uint64_t part = o->fleet_sent * (uint64_t)rollouts->share / UNIT
                  * PROVEN_PERCENT / 100;

  if (part > PROVEN_ANSWERS)
    return PROVEN_ANSWERS;
  return part < LEAST_PROVEN_ANSWERS ? LEAST_PROVEN_ANSWERS : part;
}

/* Return the highest score with ANSWERS of the version at which it is proven.
   Few answers must all be good.  */
static int64_t
proven_score (uint32_t answers)
{
  if (answers < PROVEN_ANSWERS)
    return 0;
  return answers < 2 * PROVEN_ANSWERS ? PROVEN : MANY_PROVEN;
}

/* Return whether the version has run all requests for long enough.  */
static bool
is_proven (const struct ms_rollouts *rollouts, const struct order *o,
           ms_time now)
{
  const struct ms_rollout_evidence *total
      = ms_compare_total (o->evidence.compare);
  int64_t unloaded = o->fleet_rate / UNIT / 4;

  if (ms_evidence_score (&o->evidence) > proven_score (total->answers[0])
      || ms_compare_is_pending_bad (o->evidence.compare))
    return false;
  if (now - o->all_moved_at >= MOVED_LONG_TIME)
    return true;
  if (total->answers[0]
      < (is_bounded (o, now) ? proven_answers (rollouts, o) : PROVEN_ANSWERS))
    return false;
  if (unloaded > UNLOADED_ANSWERS)
    unloaded = UNLOADED_ANSWERS;
  if (!is_bounded (o, now))
    return now - deadline_of (o) >= LATE_MOVED_TIME
           && total->answers[0] - o->all_moved_answers >= LATE_ANSWERS;
  if (o->loaded_answers >= LOADED_ANSWERS)
    return now - o->moved_at >= MOVED_TIME
           && total->answers[0] - o->moved_answers >= MOVED_ANSWERS;
  return now - o->moved_at >= UNLOADED_TIME
         && total->answers[0] - o->moved_answers >= unloaded;
}

/* Note since when no router may use the other versions.  */
static void
update_all_moved (const struct ms_rollouts *rollouts, struct order *o,
                  ms_time now)
{
  if (may_use_others (rollouts, o, now)
      || !ms_evidence_moved (&o->evidence, true, now))
    o->all_moved_at = 0;
  else if (!o->all_moved_at)
    {
      o->all_moved_at = now;
      o->all_moved_answers
          = ms_compare_total (o->evidence.compare)->answers[0];
    }
}

/* Return whether nothing runs at the others any more, as far as is known.  */
static bool
is_drained (const struct order *o, ms_time now)
{
  return o->all_moved_at && !o->running_here && !o->running_elsewhere
         && ms_evidence_drained (&o->evidence, true, now);
}

/* Return whether there is time left to see whether the version stays good.  */
static bool
is_early (const struct order *o, ms_time now)
{
  return deadline_of (o) - now >= FINISH_TIME;
}

static void
step_moving (const struct ms_rollouts *rollouts, struct order *o, ms_time now)
{
  bool drained;

  if (!o->closed
      && (now - o->moved_at >= MAX_CLOSE_TIME
          || (now - o->moved_at >= CLOSE_TIME
              && now - o->sent_other_at >= CLOSE_TIME)))
    o->closed = true;
  o->pace += o->pace_rate / 1000 * ((now - o->paced_at) / MS_MSEC);
  o->paced_at = now;
  update_room (rollouts, o, now);
  update_all_moved (rollouts, o, now);
  drained = o->overdue
            || (!is_early (o, now) && is_drained (o, now)
                && is_proven (rollouts, o, now));
  if (drained == o->drained)
    return;
  o->drained = drained;
  o->reason = drained ? "drained" : "good";
}

/* End O if its deadline is long over.  */
static void
end_overdue (struct order *o, ms_time now)
{
  if (is_bounded (o, now) || now < deadline_of (o) + OVERDUE_TIME)
    return;
  if (o->drained)
    return;
  if (!o->ordered || ms_evidence_score (&o->evidence) > DUBIOUS)
    set_phase (o, MS_ROLLOUT_STOPPED, "overdue", now);
  else if (o->phase == MS_ROLLOUT_MOVING)
    {
      o->overdue = true;
      o->drained = true;
      o->reason = "overdue";
    }
}

/* Return whether the version has no endpoint that any router uses, by the
   deadline or later.  */
static bool
lacks_endpoints (struct order *o, ms_time now)
{
  if (o->evidence.total_sent[0] != o->sent_ordered)
    {
      o->sent_ordered = o->evidence.total_sent[0];
      o->sent_ordered_at = now;
    }
  return !is_bounded (o, now) && !o->ordered && o->others
         && now - o->sent_ordered_at >= NO_ENDPOINT_TIME;
}

static void
count_loaded_answers (struct order *o)
{
  uint32_t answers = ms_compare_total (o->evidence.compare)->answers[0];

  if (o->phase == MS_ROLLOUT_CANARY
      && canary_percent (o) >= (int64_t)LOADED_PERCENT * MIN_CANARY)
    o->loaded_answers += answers - o->seen_answers;
  o->seen_answers = answers;
}

static void
step_order (const struct ms_rollouts *rollouts, struct order *o, ms_time now)
{
  enum ms_compare_kind fault;

  update_rates (o, now);
  o->stepped_at = now;
  if (o->restored_steps)
    o->restored_steps--;
  if (is_terminal (o->phase))
    return;
  fault = ms_evidence_step (&o->evidence, o->ordered > 1, now);
  count_loaded_answers (o);
  if (o->phase == MS_ROLLOUT_UNKNOWN && o->none_since
      && now - o->none_since >= UNKNOWN_TIME)
    start_order (o, now, "order", now);
  if (!is_running (o))
    return;
  if (fault != MS_COMPARE_KINDS)
    set_phase (o, MS_ROLLOUT_STOPPED,
               fault == MS_COMPARE_FAILED ? "failures" : "slow", now);
  else if (lacks_endpoints (o, now))
    set_phase (o, MS_ROLLOUT_STOPPED, "no_endpoint", now);
  else if (o->phase == MS_ROLLOUT_CANARY)
    step_canary (rollouts, o, now);
  else
    step_moving (rollouts, o, now);
  if (is_running (o))
    end_overdue (o, now);
}

/* Return whether O was removed and excludes nothing any more.  */
static bool
is_obsolete (struct order *o, ms_time now)
{
  if (o->phase == MS_ROLLOUT_COMPLETED ? o->others : o->ordered)
    o->listed_at = now;
  return o->removed && is_terminal (o->phase)
         && now - o->listed_at >= FORGET_TIME;
}

void
ms_rollouts_tick (struct ms_rollouts *rollouts, ms_time now)
{
  struct order *o, *next;

  HASH_ITER (hh, rollouts->orders, o, next)
  {
    if (now - o->stepped_at >= STEP_TIME)
      step_order (rollouts, o, now);
    if (is_obsolete (o, now))
      forget_order (rollouts, o);
  }
}

/* The store.  */

/* Return the phase that the store should have for O, MS_ROLLOUT_NONE if this
   router cannot say.  */
static enum ms_rollout_phase
phase_to_store (const struct order *o)
{
  switch (o->phase)
    {
    case MS_ROLLOUT_CANARY:
      return MS_ROLLOUT_CANARY;
    case MS_ROLLOUT_MOVING:
      return o->drained ? MS_ROLLOUT_COMPLETED : MS_ROLLOUT_CANARY;
    case MS_ROLLOUT_STOPPED:
      return MS_ROLLOUT_ROLLED_BACK;
    case MS_ROLLOUT_COMPLETED:
    case MS_ROLLOUT_ROLLED_BACK:
      return o->phase;
    default:
      return MS_ROLLOUT_NONE;
    }
}

static void
fill_state (const struct order *o, struct ms_rollout_state *state)
{
  const struct ms_rollout_evidence *total
      = ms_compare_total (o->evidence.compare);

  memset (state, 0, sizeof *state);
  state->order = o->order;
  state->phase = o->phase;
  state->confirmed = o->confirmed;
  state->started_at = o->started ? o->started_at : 0;
  state->reason = o->reason;
  for (unsigned i = 0; i < 2; i++)
    {
      state->sent[i] = o->evidence.sent[i];
      state->answers[i] = total->answers[i];
      state->failed[i] = total->failed[i];
      state->slow[i] = total->slow[i];
    }
  state->score
      = (double)ms_evidence_score (&o->evidence) / (double)MS_COMPARE_BAD;
}

bool
ms_rollouts_state (const struct ms_rollouts *rollouts, uint64_t service,
                   ms_time now, struct ms_rollout_state *state)
{
  const struct order *o = find_order (rollouts, service);

  (void)now;
  if (o)
    fill_state (o, state);
  return o;
}

bool
ms_rollouts_unwritten (const struct ms_rollouts *rollouts, ms_time now,
                       struct ms_rollout_state *state)
{
  (void)now;
  for (const struct order *o = rollouts->orders; o; o = o->hh.next)
    {
      enum ms_rollout_phase phase = phase_to_store (o);

      if (phase == MS_ROLLOUT_NONE || phase == o->stored)
        continue;
      fill_state (o, state);
      state->phase = phase;
      return true;
    }
  return false;
}

/* Return whether the state of ORDER, 0 if it is not named, to VERSION, whose
   AGE is below 0 if it is not known, is of O.  */
static bool
is_state_of (const struct order *o, uint32_t version, uint64_t order,
             ms_time age, ms_time now)
{
  if (version != o->order.version)
    return false;
  if (order)
    return has_id (o, order);
  return age < 0 || !o->started || now - age >= o->started_at - MAX_AGE_ERROR;
}

void
ms_rollouts_learn_state (struct ms_rollouts *rollouts, uint64_t service,
                         uint32_t version, uint64_t order,
                         enum ms_rollout_phase phase, ms_time age, ms_time now)
{
  struct order *o = find_order (rollouts, service);

  if (!o)
    return;
  if (phase != MS_ROLLOUT_CANARY && !is_terminal (phase))
    phase = MS_ROLLOUT_NONE;
  if (!is_state_of (o, version, order, age, now))
    phase = MS_ROLLOUT_NONE;
  if (order && separate_repetition (rollouts, o, order, phase, now))
    return;
  o->stored = phase;
  if (phase == MS_ROLLOUT_NONE)
    {
      if (!o->none_since)
        o->none_since = now;
      return;
    }
  o->none_since = 0;
  if (age > o->order.duration)
    age = o->order.duration;
  /* Believed to be older than it is, the order would not be bounded any more
     before its deadline.  */
  age = age > MAX_CLOCK_ERROR ? age - MAX_CLOCK_ERROR : 0;
  if (is_terminal (phase) && phase != o->phase)
    set_phase (o, phase, phase == phase_to_store (o) ? o->reason : "store",
               now);
  if (!o->started)
    start_order (o, now - age, "store", now);
  o->confirmed = phase_to_store (o) == phase;
}

void
ms_rollouts_forget_stored (struct ms_rollouts *rollouts)
{
  for (struct order *o = rollouts->orders; o; o = o->hh.next)
    {
      o->stored = MS_ROLLOUT_NONE;
      o->restored_steps = RESTORE_STEPS;
    }
}

const char *
ms_rollout_phase_name (enum ms_rollout_phase phase)
{
  static const char *const names[]
      = { "none",   "unknown",   "canary",     "stopped",
          "moving", "completed", "rolled_back" };

  return phase < sizeof names / sizeof *names ? names[phase] : "none";
}

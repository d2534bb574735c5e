#include "check.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "admit/returns.h"
#include "admit/share.h"
#include "base/alloc.h"
#include "base/random.h"

/* Routers of a fleet refuse what exceeds the teams' shares, and callers send
   refused requests again, each to a random router of its zone.  Routers learn
   of each other's demand and refusals late, as with digests.  */

#define MAX_ROUTERS 295
#define TEAMS 4
#define MAX_RUNS 8192
#define MAX_CALLS 65536
#define STEP (5 * MS_MSEC)
#define TICK (20 * MS_MSEC)
#define PERIOD (150 * MS_MSEC)
#define MIN_PAUSE (200 * MS_MSEC)
#define PAUSE_JITTER (400 * MS_MSEC)
#define REPORTS 64
#define TARGETS 3
#define WARM_UP (3 * MS_SEC)
#define SLOT (100 * MS_MSEC)
#define SLOTS 100
#define CALLER_TIME (3 * MS_SEC)

/* As of the gateway.  */
#define START_FRACTION 0.7

/* Least ratio of the value with and without promises; the model gives 1.3 to
   2.2.  */
#define MIN_GAIN 1.2

/* Part of the requests with a target that may be in time less often.  */
#define MAX_TARGET_LOSS 0.02

/* Least part of what a team gets without promises.  */
#define MIN_TEAM_PART 0.85

#define MAX_FILL_FRACTION 1.2
#define FULL_SPEED_FRACTION 0.8
#define FIRST_BYTE_TIME (40 * MS_MSEC)
#define READ_PER_MS 100

static const struct kind
{
  double part;
  double cost;
  ms_time run_time;
} kinds[] = { { 0.26, 13500, 1750 * MS_MSEC },
              { 0.28, 2700, 1320 * MS_MSEC },
              { 0.46, 2400, 190 * MS_MSEC } };

#define KINDS (sizeof kinds / sizeof *kinds)

static const ms_time targets[TARGETS]
    = { 300 * MS_MSEC, 500 * MS_MSEC, 1000 * MS_MSEC };

static const struct size
{
  unsigned routers;
  unsigned zones;
  unsigned slots;
  ms_time end; /* Of the model.  */
} sizes[] = { { 9, 3, 300, 8 * MS_SEC },
              { 82, 3, 900, 8 * MS_SEC },
              { 295, 5, 1900, 8 * MS_SEC } };

#define SIZES (sizeof sizes / sizeof *sizes)

static const double demands[TEAMS] = { 0.5, 0.25, 0.2, 0.05 };

struct router
{
  struct ms_share *share;
  struct ms_returns *returns;
  struct ms_team_rates rates[TEAMS];
  double level;
  ms_time report_at;
  uint64_t promises;
};

struct run
{
  unsigned router;
  unsigned team;
  double cost;
  ms_time ends;
};

/* A request of a caller, until it runs or is given up.  */
struct call
{
  uint64_t key;
  unsigned team;
  unsigned kind;
  unsigned target;
  unsigned zone;
  ms_time sent_at; /* First.  */
  ms_time at;      /* Next try.  */
  bool twice;      /* Each try goes to two routers at once.  */
  bool ran;        /* The other try of the pair ran.  */
};

struct outcome
{
  double calls;
  double in_time;
  double late;
  double refused;
};

struct options
{
  struct size size;
  double load;
  bool promised;
  double twice; /* Part of the callers that send each request twice.  */
};

struct world
{
  struct options options;
  struct router routers[MAX_ROUTERS];
  struct ms_team_rates published[TEAMS]; /* Sums of all routers.  */
  double published_inverse;              /* Sum of 1 / level.  */
  ms_time published_at;
  struct run runs[MAX_RUNS];
  unsigned runs_count;
  double running_cost;
  struct call calls[MAX_CALLS];
  unsigned calls_count;
  uint64_t keys;
  struct outcome by_target[TARGETS];
  struct outcome by_twice[2];
  struct outcome by_kind[KINDS];
  double got[TEAMS]; /* Cost that started.  */
  double used;
  /* By SLOT of time: cost promised by all routers, and predicted to be
     admitted.  */
  double promised[SLOTS];
  double predicted[SLOTS];
  struct ms_random random;
  ms_time now;
};

static double
draw (struct world *w)
{
  return (double)ms_random_below (&w->random, 1000000) / 1000000;
}

static struct world *
create_world (const struct options *options)
{
  struct world *w = ms_new (sizeof *w);

  w->options = *options;
  w->now = MS_SEC;
  w->random.state = options->size.routers;
  for (unsigned i = 0; i < options->size.routers; i++)
    {
      struct router *r = &w->routers[i];

      r->share = ms_share_create ();
      r->returns = options->promised ? ms_returns_create () : NULL;
      r->report_at = w->now + (ms_time)(draw (w) * PERIOD);
      ms_share_set_routers (r->share, options->size.routers);
    }
  return w;
}

static void
destroy_world (struct world *w)
{
  for (unsigned i = 0; i < w->options.size.routers; i++)
    {
      ms_share_destroy (w->routers[i].share);
      ms_returns_destroy (w->routers[i].returns);
    }
  free (w);
}

/* Sum up what all routers have reported, as other zones get it.  */
static void
publish (struct world *w)
{
  memset (w->published, 0, sizeof w->published);
  w->published_inverse = 0;
  for (unsigned i = 0; i < w->options.size.routers; i++)
    {
      const struct router *r = &w->routers[i];

      w->published_inverse += r->level > 0 ? 1 / r->level : 0;
      for (unsigned t = 0; t < TEAMS; t++)
        {
          w->published[t].demand += r->rates[t].demand;
          w->published[t].unplaced += r->rates[t].unplaced;
          w->published[t].answered += r->rates[t].answered;
        }
    }
  w->published_at = w->now;
}

/* Report what router I refused to the others of its zone, in a small fleet to
   all.  */
static void
report_returns (struct world *w, unsigned i)
{
  struct ms_return_report reports[REPORTS];
  const struct size *size = &w->options.size;
  unsigned step = size->routers > 16 ? size->zones : 1;
  unsigned count
      = ms_returns_report (w->routers[i].returns, w->now, reports, REPORTS);

  for (unsigned j = i % step; j < size->routers; j += step)
    for (unsigned k = 0; j != i && k < count; k++)
      ms_returns_merge (w->routers[j].returns, &reports[k], w->now);
}

static void
exchange (struct world *w, unsigned i)
{
  struct router *r = &w->routers[i];
  struct ms_team_rates rates[TEAMS];
  unsigned others = w->options.size.routers - 1;
  double inverse = w->published_inverse - (r->level > 0 ? 1 / r->level : 0);
  unsigned count;

  ms_share_clear_others (r->share);
  for (unsigned t = 0; t < TEAMS; t++)
    {
      const struct ms_team_rates sum
          = { t + 1, fmax (0, w->published[t].demand - r->rates[t].demand),
              fmax (0, w->published[t].unplaced - r->rates[t].unplaced),
              fmax (0, w->published[t].answered - r->rates[t].answered) };

      ms_share_add_others (r->share, &sum);
    }
  ms_share_set_others_level (r->share, inverse > 0 ? others / inverse : 0,
                             others);
  count = ms_share_report (r->share, w->now, rates, TEAMS);
  memset (r->rates, 0, sizeof r->rates);
  for (unsigned t = 0; t < count; t++)
    r->rates[rates[t].team - 1] = rates[t];
  r->level = ms_share_own_level (r->share);
  if (r->returns)
    {
      ms_returns_tick (r->returns, w->now);
      report_returns (w, i);
    }
  r->report_at = w->now + PERIOD;
}

static void
tick_router (struct world *w, unsigned i)
{
  struct router *r = &w->routers[i];
  const struct ms_share_usage usage
      = { .used_fraction = (double)w->runs_count / w->options.size.slots,
          .running_cost = w->running_cost };

  if (w->now >= r->report_at)
    exchange (w, i);
  ms_share_tick (r->share, &usage, w->now);
}

static void
end_runs (struct world *w)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < w->runs_count; i++)
    {
      const struct run *run = &w->runs[i];

      if (run->ends > w->now)
        {
          w->runs[kept++] = *run;
          continue;
        }
      w->running_cost -= run->cost;
      ms_share_answered (w->routers[run->router].share, run->team + 1,
                         run->cost, w->now);
    }
  w->runs_count = kept;
}

/* Count CALL as ended; STARTED tells whether it ran.  */
static void
count_outcome (struct world *w, const struct call *call, bool started)
{
  struct outcome *lists[]
      = { &w->by_target[call->target], &w->by_twice[call->twice],
          &w->by_kind[call->kind] };
  double use = (double)w->runs_count / w->options.size.slots;
  ms_time first
      = w->now - call->sent_at
        + (ms_time)((FIRST_BYTE_TIME
                     + kinds[call->kind].cost / READ_PER_MS * MS_MSEC)
                    * fmax (1, use / FULL_SPEED_FRACTION));

  if (call->sent_at < WARM_UP
      || call->sent_at > w->options.size.end - CALLER_TIME)
    return;
  for (unsigned i = 0; i < 3; i++)
    {
      lists[i]->calls++;
      lists[i]->refused += !started;
      lists[i]->in_time += started && first <= targets[call->target];
      lists[i]->late += started && first > targets[call->target];
    }
}

static void
start_run (struct world *w, const struct call *call, unsigned router)
{
  const struct kind *k = &kinds[call->kind];
  double use = (double)w->runs_count / w->options.size.slots;
  ms_time run_time = (ms_time)((0.5 + draw (w)) * (double)k->run_time
                               * fmax (1, use / FULL_SPEED_FRACTION));

  assert_true (w->runs_count < MAX_RUNS);
  w->runs[w->runs_count++]
      = (struct run){ router, call->team, k->cost, w->now + run_time };
  w->running_cost += k->cost;
  if (w->now >= WARM_UP)
    w->got[call->team] += k->cost;
}

/* Count the promise that a refusal made, if it made one.  */
static void
note_promises (struct world *w, struct router *r,
               const struct ms_return_request *request, ms_time wait)
{
  uint64_t count = ms_returns_counts (r->returns).promised;

  if (count > r->promises)
    w->promised[(w->now + wait) / SLOT] += request->size;
  r->promises = count;
}

/* Send CALL to a router.  Return whether it runs; otherwise set *RETRY_AFTER
   to what the refusal says.  */
static bool
send_try (struct world *w, const struct call *call, ms_time *retry_after)
{
  const struct size *size = &w->options.size;
  unsigned in_zone
      = (size->routers - call->zone + size->zones - 1) / size->zones;
  unsigned i = call->zone
               + size->zones * (unsigned)ms_random_below (&w->random, in_zone);
  struct router *r = &w->routers[i];
  double cost = kinds[call->kind].cost;
  struct ms_return_share share;
  struct ms_return_request request
      = { call->team + 1,
          call->key,
          cost,
          w->now,
          (ms_time)(START_FRACTION * (double)targets[call->target]),
          (call->sent_at + CALLER_TIME - w->now) / 3 };
  double least = 0;
  bool admitted;

  *retry_after = MIN_PAUSE + (ms_time)(draw (w) * PAUSE_JITTER);
  if (r->returns)
    {
      share.rate
          = ms_share_team_rate (r->share, request.team, &share.credit, w->now);
      least = ms_returns_arrived (r->returns, &request, &share, w->now);
    }
  admitted
      = ms_share_admit_above (r->share, request.team, cost, least, w->now);
  if (admitted && w->runs_count < size->slots * MAX_FILL_FRACTION)
    {
      start_run (w, call, i);
      return true;
    }
  if (admitted)
    ms_share_unplaced (r->share, request.team, cost, w->now);
  if (r->returns)
    {
      ms_time wait;

      share.rate
          = ms_share_team_rate (r->share, request.team, &share.credit, w->now);
      wait = ms_returns_refused (r->returns, &request, &share, w->now);
      if (wait > 0)
        *retry_after = wait;
      note_promises (w, r, &request, wait);
    }
  return false;
}

/* Make the next try of CALL.  Return whether the caller tries again.  */
static bool
try_call (struct world *w, struct call *call)
{
  ms_time retry_after;
  ms_time other;
  bool runs = send_try (w, call, &retry_after);
  ms_time left = call->sent_at + CALLER_TIME - w->now;

  if (call->twice)
    {
      runs |= send_try (w, call, &other);
      retry_after = other < retry_after ? other : retry_after;
    }
  if (runs)
    {
      count_outcome (w, call, true);
      return false;
    }
  call->at = w->now + (retry_after < left / 3 ? retry_after : left / 3);
  if (call->at - call->sent_at < CALLER_TIME - 100 * MS_MSEC)
    return true;
  count_outcome (w, call, false);
  return false;
}

static void
send_retries (struct world *w)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < w->calls_count; i++)
    if (w->calls[i].at > w->now || try_call (w, &w->calls[i]))
      w->calls[kept++] = w->calls[i];
  w->calls_count = kept;
}

static unsigned
draw_kind (struct world *w)
{
  double at = draw (w);
  unsigned kind = 0;

  while (kind + 1 < KINDS && at >= kinds[kind].part)
    at -= kinds[kind++].part;
  return kind;
}

static void
send_new (struct world *w, unsigned team)
{
  double mean = 0;
  double due;
  unsigned count;

  for (unsigned i = 0; i < KINDS; i++)
    mean += kinds[i].part * (double)kinds[i].run_time;
  due = demands[team] * w->options.load * w->options.size.slots * STEP / mean;
  count = (unsigned)(due + draw (w));
  for (unsigned i = 0; i < count; i++)
    {
      struct call call
          = { .key = ++w->keys,
              .team = team,
              .kind = draw_kind (w),
              .target = (unsigned)(draw (w) * TARGETS),
              .zone = (unsigned)(draw (w) * w->options.size.zones),
              .sent_at = w->now,
              .twice = draw (w) < w->options.twice };

      assert_true (w->calls_count < MAX_CALLS);
      if (try_call (w, &call))
        w->calls[w->calls_count++] = call;
    }
}

static struct world *
play (const struct options *options)
{
  struct world *w = create_world (options);
  unsigned steps = 0;

  for (; w->now < options->size.end; w->now += STEP)
    {
      end_runs (w);
      if (w->now - w->published_at >= PERIOD)
        publish (w);
      send_retries (w);
      for (unsigned t = 0; t < TEAMS; t++)
        send_new (w, t);
      for (unsigned i = 0; i < options->size.routers; i++)
        if ((w->now / STEP + i) % (TICK / STEP) == 0)
          tick_router (w, i);
      w->predicted[w->now / SLOT]
          = ms_share_state (w->routers[0].share).admitted * SLOT / MS_SEC;
      if (w->now < WARM_UP)
        continue;
      w->used += (double)w->runs_count / options->size.slots;
      steps++;
    }
  w->used /= steps;
  return w;
}

static struct outcome
sum_outcomes (const struct outcome *list, unsigned count)
{
  struct outcome sum = { 0 };

  for (unsigned i = 0; i < count; i++)
    {
      sum.calls += list[i].calls;
      sum.in_time += list[i].in_time;
      sum.late += list[i].late;
      sum.refused += list[i].refused;
    }
  return sum;
}

/* Return the highest part of what is predicted to be admitted in a second that
   is promised.  */
static double
promised_part (const struct world *w)
{
  double highest = 0;

  for (unsigned i = WARM_UP / SLOT; i + 10 < w->options.size.end / SLOT; i++)
    {
      double promised = 0;
      double predicted = 0;

      for (unsigned j = i; j < i + 10; j++)
        {
          promised += w->promised[j];
          predicted += w->predicted[j];
        }
      highest = fmax (highest, promised / predicted);
    }
  return highest;
}

static double
value (const struct outcome *o)
{
  return (o->in_time + 0.1 * o->late) / o->calls;
}

static void
print_world (const struct world *w)
{
  struct outcome all = sum_outcomes (w->by_target, TARGETS);
  struct ms_returns_counts c = { 0 };

  for (unsigned i = 0; w->options.promised && i < w->options.size.routers; i++)
    {
      struct ms_returns_counts one = ms_returns_counts (w->routers[i].returns);
      c.promised += one.promised;
      c.claimed += one.claimed;
      c.expired += one.expired;
      c.late += one.late;
    }
  print_message (
      "%3u routers, load %.1f, %s: in time %.3f, late %.3f, refused %.3f, "
      "value %.3f; in time by target %.2f %.2f %.2f, by kind %.2f %.2f %.2f; "
      "used %.2f; got %.2f %.2f %.2f %.2f M",
      w->options.size.routers, w->options.load,
      w->options.promised ? "promised" : "off     ", all.in_time / all.calls,
      all.late / all.calls, all.refused / all.calls, value (&all),
      w->by_target[0].in_time / w->by_target[0].calls,
      w->by_target[1].in_time / w->by_target[1].calls,
      w->by_target[2].in_time / w->by_target[2].calls,
      w->by_kind[0].in_time / w->by_kind[0].calls,
      w->by_kind[1].in_time / w->by_kind[1].calls,
      w->by_kind[2].in_time / w->by_kind[2].calls, w->used, w->got[0] / 1e6,
      w->got[1] / 1e6, w->got[2] / 1e6, w->got[3] / 1e6);
  if (w->options.twice > 0)
    print_message ("; once %.3f, twice %.3f", value (&w->by_twice[0]),
                   value (&w->by_twice[1]));
  print_message ("; promised part %.2f", promised_part (w));
  print_message ("; promised %llu claimed %llu expired %llu late %llu\n",
                 (unsigned long long)c.promised, (unsigned long long)c.claimed,
                 (unsigned long long)c.expired, (unsigned long long)c.late);
}

/* A team with RATE and no credit, and a request of it that is refused at AT.
 */
static const struct ms_return_share scarce = { 100000, -1000 };

static struct ms_return_request
request_of (uint64_t key, ms_time at)
{
  return (struct ms_return_request){ 1, key, 2000, at, 700 * MS_MSEC, MS_SEC };
}

/* Pass what FROM reports on to TO.  */
static void
pass_on (const struct ms_returns *from, struct ms_returns *to, ms_time now)
{
  struct ms_return_report reports[REPORTS];
  unsigned count = ms_returns_report (from, now, reports, REPORTS);

  for (unsigned i = 0; i < count; i++)
    ms_returns_merge (to, &reports[i], now);
}

/* Guards against a second promise to a caller that sends its request twice,
   and against two claims of one.  */
static void
test_second_request_gets_the_same_promise (void **state)
{
  struct ms_returns *a = ms_returns_create ();
  struct ms_returns *b = ms_returns_create ();
  struct ms_return_request request = request_of (5, MS_SEC);
  ms_time wait = ms_returns_refused (a, &request, &scarce, MS_SEC);
  ms_time soon = MS_SEC + 50 * MS_MSEC;
  ms_time opens = MS_SEC + wait;

  (void)state;
  assert_true (wait > 0);
  assert_true (ms_returns_promised (a, 1, soon) == 2000);
  pass_on (a, b, soon);
  request.arrived = soon;
  /* Here and at another router.  */
  assert_true (ms_returns_arrived (a, &request, &scarce, soon) == HUGE_VAL);
  assert_int_equal (ms_returns_refused (a, &request, &scarce, soon),
                    opens - soon);
  assert_true (ms_returns_arrived (b, &request, &scarce, soon) == HUGE_VAL);
  assert_int_equal (ms_returns_refused (b, &request, &scarce, soon),
                    opens - soon);
  assert_true (ms_returns_promised (b, 1, soon) == 0);
  /* Claimed at the other router, then again at both.  */
  assert_true (ms_returns_arrived (b, &request, &scarce, opens) == -HUGE_VAL);
  assert_true (ms_returns_arrived (b, &request, &scarce, opens) > 0);
  pass_on (b, a, opens);
  assert_true (ms_returns_promised (a, 1, opens) == 0);
  assert_true (ms_returns_arrived (a, &request, &scarce, opens) > 0);
  assert_int_equal (ms_returns_refused (a, &request, &scarce, opens), 0);
  ms_returns_destroy (a);
  ms_returns_destroy (b);
}

/* Guards against promises that outlive their window or their router, and
   against a larger request under the same key.  */
static void
test_promises_end (void **state)
{
  struct ms_returns *a = ms_returns_create ();
  struct ms_returns *b = ms_returns_create ();
  struct ms_return_request request = request_of (5, MS_SEC);
  ms_time opens = MS_SEC + ms_returns_refused (a, &request, &scarce, MS_SEC);
  ms_time over = opens + MS_RETURN_WINDOW + 1;

  (void)state;
  pass_on (a, b, MS_SEC);
  request.size = 2001;
  assert_true (ms_returns_arrived (a, &request, &scarce, opens) == 2000);
  request.size = 2000;
  assert_true (ms_returns_arrived (a, &request, &scarce, over) == 0);
  assert_true (ms_returns_promised (a, 1, over) == 0);
  assert_int_equal (ms_returns_counts (a).expired, 1);
  /* The router that made it has not been heard any more.  */
  request = request_of (5, MS_SEC + 600 * MS_MSEC);
  assert_true (ms_returns_arrived (b, &request, &scarce, request.arrived)
               == 0);
  ms_returns_tick (b, request.arrived);
  assert_int_equal (ms_returns_counts (b).records, 0);
  ms_returns_destroy (a);
  ms_returns_destroy (b);
}

/* Guards against promises of more than the share admits: all routers together
   within any window, teams that are not limited, and returns that come too
   late.  */
static void
test_promises_are_within_the_share (void **state)
{
  const double level = 6e6;
  double opened[20] = { 0 };
  const struct ms_return_share free_share = { 0, 0 };
  struct ms_return_request request = request_of (1, MS_SEC);
  struct ms_returns *returns;

  (void)state;
  for (unsigned i = 0; i < MAX_ROUTERS; i++)
    {
      const struct ms_return_share share = { level / MAX_ROUTERS, 0 };

      returns = ms_returns_create ();
      for (unsigned k = 0; k < 100; k++)
        {
          ms_time wait;

          request = request_of (k, MS_SEC);
          request.size = 1000;
          wait = ms_returns_refused (returns, &request, &share, MS_SEC);
          assert_true (wait <= request.target);
          if (wait)
            opened[wait / (100 * MS_MSEC)] += request.size;
        }
      ms_returns_destroy (returns);
    }
  /* What opens in the first window was earned since the refusal.  */
  assert_true (opened[2] > 0 && opened[2] <= level * 0.3);
  for (unsigned i = 3; i < 20; i++)
    assert_true (opened[i] <= level * 0.1);
  returns = ms_returns_create ();
  assert_int_equal (
      ms_returns_refused (returns, &request, &free_share, MS_SEC), 0);
  request.limit = 100 * MS_MSEC;
  assert_int_equal (ms_returns_refused (returns, &request, &scarce, MS_SEC),
                    0);
  /* It has missed its target since, so that others go first.  */
  assert_true (
      ms_returns_arrived (returns, &request, &scarce, MS_SEC + 800 * MS_MSEC)
      > 0);
  ms_returns_destroy (returns);
}

/* Guards against reports that no router makes, and too many.  */
static void
test_implausible_reports_are_counted (void **state)
{
  struct ms_returns *returns = ms_returns_create ();
  const struct ms_return_report reports[]
      = { { 1, -1, 0, 0, false },
          { 2, 3600 * MS_SEC, 0, 0, false },
          { 3, 0, 5 * MS_SEC, 100, false },
          { 4, 0, 300 * MS_MSEC, 1e9, false },
          { 5, 0, 300 * MS_MSEC, NAN, false } };
  struct ms_return_report report = { 0, 0, 300 * MS_MSEC, 100, false };

  (void)state;
  for (unsigned i = 0; i < 5; i++)
    ms_returns_merge (returns, &reports[i], MS_SEC);
  assert_int_equal (ms_returns_counts (returns).implausible, 5);
  assert_int_equal (ms_returns_counts (returns).records, 0);
  for (unsigned i = 0; i < 10000; i++)
    {
      report.key = i;
      ms_returns_merge (returns, &report, MS_SEC);
    }
  assert_int_equal (ms_returns_counts (returns).records, 4096);
  ms_returns_destroy (returns);
}

/* Play OPTIONS without and with promises, and check that callers gain, no
   target or team loses, and no more is promised than is predicted to be
   admitted.  */
static void
compare (struct options options)
{
  struct outcome all[2];
  struct world *w[2];

  for (unsigned p = 0; p < 2; p++)
    {
      options.promised = p;
      w[p] = play (&options);
      print_world (w[p]);
      all[p] = sum_outcomes (w[p]->by_target, TARGETS);
    }
  assert_true (value (&all[1]) > MIN_GAIN * value (&all[0]));
  for (unsigned i = 0; i < TARGETS; i++)
    assert_true (w[1]->by_target[i].in_time / w[1]->by_target[i].calls
                 > w[0]->by_target[i].in_time / w[0]->by_target[i].calls
                       - MAX_TARGET_LOSS);
  for (unsigned i = 0; i < TEAMS; i++)
    assert_true (w[1]->got[i] > MIN_TEAM_PART * w[0]->got[i]);
  assert_true (promised_part (w[1]) <= 1);
  destroy_world (w[0]);
  destroy_world (w[1]);
}

/* Guards against promises from which callers gain nothing, or which leave
   nothing for requests with short targets.  */
static void
test_callers_gain_under_overload (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      compare ((struct options){ sizes[s], 1.5, false, 0 });
      compare ((struct options){ sizes[s], 3, false, 0 });
    }
}

/* The same while one caller in four sends each request to two routers at
   once.  */
static void
test_callers_gain_while_some_send_twice (void **state)
{
  (void)state;
  compare ((struct options){ sizes[0], 1.5, false, 0.25 });
  compare ((struct options){ sizes[0], 3, false, 0.25 });
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_second_request_gets_the_same_promise),
    cmocka_unit_test (test_promises_end),
    cmocka_unit_test (test_promises_are_within_the_share),
    cmocka_unit_test (test_implausible_reports_are_counted),
    cmocka_unit_test (test_callers_gain_under_overload),
    cmocka_unit_test (test_callers_gain_while_some_send_twice),
  };

  return RUN (tests);
}

#include "check.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admit/share.h"
#include "base/alloc.h"
#include "base/random.h"
#include "place/place.h"

/* The first seconds after all routers of a fleet have started, and after they
   were killed and have started again, while teams demand several times what
   endpoints can do.  Endpoints read prompts one after another, more slowly
   than routers predict by default, and generate tokens for all requests that
   they have read, the more slowly the more these are.  Placement and shares
   are the real ones.  So that the model is fast, routers exchange reports
   without the code of digests, and several routers may use one placement; as
   many answers are counted for its predictions as one router would see.  */

#define MAX_ROUTERS 295
#define MAX_ENDPOINTS 60
#define MAX_TEAMS 12
#define MAX_GROUPS 9
#define MAX_ZONES 5
#define MAX_JOBS 256 /* At one endpoint.  */
#define MAX_RETRIES 32768
#define MAX_SECONDS 40
#define WINDOW_S 6

#define SERVICE 11
#define ZONE 1
#define SLOTS 100
#define STEP (10 * MS_MSEC)
#define TICK (20 * MS_MSEC)
#define LARGE_FLEET 16
#define SMALL_PERIOD (100 * MS_MSEC)
#define LARGE_PERIOD (150 * MS_MSEC)
#define MIN_RETRY_PAUSE (200 * MS_MSEC)
#define RETRY_JITTER (400 * MS_MSEC)
#define ALL_ROUTERS UINT32_MAX

/* Speed of endpoints.  */
#define READ_TOKENS_PER_MS 61.0
#define TOKEN_MS 4.2
#define TOKEN_MS_PER_RUNNING 0.08

#define OUTPUT_TOKEN_COST 2.0

/* FAIR: a team gets at least this fraction of what it asks for or, if that is
   less, of what the team gets that is served best, second by second and less
   this many of the largest requests.  */
#define MIN_FAIR_FRACTION 0.5
#define FAIR_ALLOWANCE 3

/* Steady load: the seconds that count, the first of them, and the least cost
   of requests that begin, and begin in time, as a part of the capacity.  */
#define STEADY_S 12
#define STEADY_AFTER_S 8

static const struct steady_load
{
  double load;
  double least_begun;
  double least_in_time;
} steady_loads[]
    = { { 1.0, 0.95, 0.7 }, { 1.5, 0.95, 0.7 }, { 3.5, 0.95, 0.7 } };

/* Routers are down for this time when all were killed.  */
#define DOWN_TIME (1 * MS_SEC)

static const struct kind
{
  double part; /* Of all requests.  */
  uint32_t prompt;
  uint32_t output;
  ms_time target;      /* For the first token.  */
  ms_time output_time; /* Allowed after it.  */
} kinds[] = { { 0.35, 2000, 300, 500 * MS_MSEC, 6 * MS_SEC },
              { 0.35, 4000, 500, 800 * MS_MSEC, 10 * MS_SEC },
              { 0.30, 10000, 400, 1000 * MS_MSEC, 8 * MS_SEC } };

#define KINDS (sizeof kinds / sizeof *kinds)

static const struct size
{
  unsigned routers;
  unsigned zones;
  unsigned endpoints;
} sizes[] = { { 9, 3, 12 }, { 82, 3, 60 }, { 295, 5, 60 } };

#define SIZES (sizeof sizes / sizeof *sizes)

/* Demand of the teams as logged at a start: 3.2 M cost units a second, of
   which the largest sends 1.24 M; the callers of two teams use one router.  */
static const struct team_size
{
  double part; /* Of all demand.  */
  unsigned router;
} team_sizes[] = {
  { 0.36, ALL_ROUTERS },  { 0.22, ALL_ROUTERS }, { 0.12, 7 },
  { 0.06, ALL_ROUTERS },  { 0.05, ALL_ROUTERS }, { 0.04, 5 },
  { 0.03, ALL_ROUTERS },  { 0.03, ALL_ROUTERS }, { 0.03, ALL_ROUTERS },
  { 0.025, ALL_ROUTERS }, { 0.02, ALL_ROUTERS }, { 0.015, ALL_ROUTERS },
};

#define TEAMS (sizeof team_sizes / sizeof *team_sizes)

struct rates
{
  double demand;
  double unplaced;
  double answered;
};

struct team
{
  double asked[MAX_SECONDS];
  double got[MAX_SECONDS];
};

struct router
{
  bool up;
  unsigned zone;
  unsigned group;
  struct ms_share *share;
  ms_time digest_at;
  struct rates reported[MAX_TEAMS];
  double reported_level; /* Inverse; 0 if there is none.  */
};

/* Routers that use one placement.  */
struct group
{
  struct ms_place *place;
  struct ms_endpoint_state *endpoints[MAX_ENDPOINTS];
  struct ms_load reported[MAX_ENDPOINTS];
  ms_time digest_at;
  struct ms_place_use use;
};

struct job
{
  unsigned router;
  unsigned team;
  unsigned kind;
  bool orphan; /* Its router is gone.  */
  bool reading;
  bool begun;  /* Its first token was sent.  */
  double left; /* Tokens to read or, once begun, to generate.  */
  struct ms_load load;
  ms_time expected;
  ms_time arrived;
  ms_time sent_at;
};

struct endpoint
{
  struct job jobs[MAX_JOBS]; /* In the order of arrival.  */
  unsigned count;
};

struct retry
{
  unsigned team;
  unsigned kind;
  ms_time arrived;
  ms_time at;
};

struct world
{
  struct size size;
  unsigned groups_count;
  double load;     /* Demand as a multiple of the capacity.  */
  double capacity; /* As configured; 0 if it is not.  */
  struct router routers[MAX_ROUTERS];
  struct group groups[MAX_GROUPS];
  struct endpoint endpoints[MAX_ENDPOINTS];
  struct team teams[MAX_TEAMS];
  /* Sums of what the routers of a zone have reported, now and as of the last
     zone sums.  */
  struct rates zone_rates[MAX_ZONES][MAX_TEAMS];
  struct rates zone_sums[MAX_ZONES][MAX_TEAMS];
  ms_time sums_at;
  struct retry retries[MAX_RETRIES];
  unsigned retries_count;
  double begun[MAX_SECONDS];   /* Cost of requests that began to run.  */
  double in_time[MAX_SECONDS]; /* Of them, those whose target was met.  */
  double ended;   /* Requests that endpoints completed, and the seconds */
  double ended_s; /* from their send until then.  */
  double waited[MAX_SECONDS]; /* Prompt tokens that wait, mean.  */
  double least_level[MAX_SECONDS];
  struct ms_random random;
  ms_time now;
};

static struct ms_service_entry services[] = { { .id = SERVICE,
                                                .model = true,
                                                .slots = SLOTS,
                                                .tokens_per_event = 6,
                                                .cold_rate = 16 } };
static const struct ms_routes routes
    = { .services = services, .services_count = 1 };

static double
kind_cost (unsigned kind)
{
  return kinds[kind].prompt + OUTPUT_TOKEN_COST * kinds[kind].output;
}

/* Cost units a second that the endpoints can read.  */
static double
true_capacity (const struct size *size)
{
  double prompt = 0;
  double cost = 0;

  for (unsigned i = 0; i < KINDS; i++)
    {
      prompt += kinds[i].part * kinds[i].prompt;
      cost += kinds[i].part * kind_cost (i);
    }
  return size->endpoints * READ_TOKENS_PER_MS * 1000 * cost / prompt;
}

static unsigned
second (const struct world *w)
{
  return (unsigned)(w->now / MS_SEC);
}

static bool
is_large (const struct world *w)
{
  return w->size.routers > LARGE_FLEET;
}

static double
draw (struct world *w)
{
  return (double)ms_random_below (&w->random, 1000000) / 1000000;
}

static void
start_group (struct world *w, struct group *g)
{
  const struct ms_place_options options
      = { .self = (uint64_t)(g - w->groups) + 1,
          .zone = ZONE,
          .cold_burst_factor = 1.5,
          .cold_slack = 5 };

  *g = (struct group){ .digest_at = w->now };
  g->place = ms_place_create (&options, ms_place_policy ("prefix"));
  ms_place_configure (g->place, &routes);
  for (unsigned i = 0; i < w->size.endpoints; i++)
    {
      struct ms_endpoint_entry entry
          = { .service = SERVICE, .zone = ZONE, .slots = SLOTS };

      entry.id.length
          = (size_t)snprintf (entry.id.data, sizeof entry.id.data, "e%u", i);
      g->endpoints[i] = ms_place_put (g->place, &entry, w->now);
    }
}

static void
start_routers (struct world *w)
{
  memset (w->zone_rates, 0, sizeof w->zone_rates);
  memset (w->zone_sums, 0, sizeof w->zone_sums);
  for (unsigned i = 0; i < w->groups_count; i++)
    start_group (w, &w->groups[i]);
  for (unsigned i = 0; i < w->size.routers; i++)
    {
      struct router *r = &w->routers[i];

      *r = (struct router){ .up = true, .zone = i % w->size.zones };
      r->group = w->groups_count ? i % w->groups_count : 0;
      r->digest_at
          = w->now + (ms_time)ms_random_below (&w->random, 100) * MS_MSEC;
      r->share = ms_share_create ();
      ms_share_set_capacity (r->share, w->capacity);
      ms_share_set_routers (r->share, w->size.routers);
    }
}

/* Kill all routers.  Endpoints drop the requests that they have not begun to
   read, and finish the others.  */
static void
kill_routers (struct world *w)
{
  for (unsigned i = 0; i < w->size.endpoints; i++)
    {
      struct endpoint *e = &w->endpoints[i];
      unsigned kept = 0;

      for (unsigned j = 0; j < e->count; j++)
        if (e->jobs[j].begun)
          {
            e->jobs[j].orphan = true;
            e->jobs[kept++] = e->jobs[j];
          }
      e->count = kept;
    }
  for (unsigned i = 0; i < w->size.routers; i++)
    {
      w->routers[i].up = false;
      ms_share_destroy (w->routers[i].share);
    }
  for (unsigned i = 0; i < w->groups_count; i++)
    ms_place_destroy (w->groups[i].place);
}

static struct world *
create_world (const struct size *size, double load, double capacity)
{
  struct world *w = ms_new (sizeof *w);

  w->size = *size;
  w->groups_count = size->routers < MAX_GROUPS ? size->routers : MAX_GROUPS;
  w->load = load;
  w->capacity = capacity;
  w->now = MS_SEC;
  w->random.state = size->routers;
  for (unsigned i = 0; i < MAX_SECONDS; i++)
    w->least_level[i] = HUGE_VAL;
  start_routers (w);
  return w;
}

static void
destroy_world (struct world *w)
{
  kill_routers (w);
  free (w);
}

/* Send a report of R to the others.  Those of its zone know it at once, those
   of other zones with the next sums.  */
static void
report (struct world *w, struct router *r)
{
  struct ms_team_rates rates[MAX_TEAMS];
  unsigned count = ms_share_report (r->share, w->now, rates, MAX_TEAMS);

  for (unsigned i = 0; i < TEAMS; i++)
    {
      struct rates *sum = &w->zone_rates[r->zone][i];

      sum->demand -= r->reported[i].demand;
      sum->unplaced -= r->reported[i].unplaced;
      sum->answered -= r->reported[i].answered;
      r->reported[i] = (struct rates){ 0, 0, 0 };
    }
  for (unsigned i = 0; i < count; i++)
    {
      unsigned team = (unsigned)rates[i].team - 1;
      struct rates *sum = &w->zone_rates[r->zone][team];

      r->reported[team] = (struct rates){ rates[i].demand, rates[i].unplaced,
                                          rates[i].answered };
      sum->demand += rates[i].demand;
      sum->unplaced += rates[i].unplaced;
      sum->answered += rates[i].answered;
    }
  r->reported_level = ms_share_own_level (r->share) > 0
                          ? 1 / ms_share_own_level (r->share)
                          : 0;
}

static void
update_others (struct world *w, struct router *r, double levels)
{
  unsigned others = w->size.routers - 1;

  levels = fmax (0, levels - r->reported_level);
  ms_share_set_others_level (r->share, levels > 0 ? others / levels : 0,
                             others);
  ms_share_clear_others (r->share);
  for (unsigned i = 0; i < TEAMS; i++)
    {
      struct ms_team_rates sum = { .team = i + 1 };

      for (unsigned zone = 0; zone < w->size.zones; zone++)
        {
          const struct rates *rates = !is_large (w) || zone == r->zone
                                          ? &w->zone_rates[zone][i]
                                          : &w->zone_sums[zone][i];

          sum.demand += rates->demand;
          sum.unplaced += rates->unplaced;
          sum.answered += rates->answered;
        }
      sum.demand = fmax (0, sum.demand - r->reported[i].demand);
      sum.unplaced = fmax (0, sum.unplaced - r->reported[i].unplaced);
      sum.answered = fmax (0, sum.answered - r->reported[i].answered);
      if (sum.demand >= 1 || sum.answered >= 1)
        ms_share_add_others (r->share, &sum);
    }
}

static void
tick_group (struct world *w, struct group *g)
{
  if (w->now >= g->digest_at)
    {
      ms_place_clear_others (g->place);
      for (unsigned i = 0; i < w->groups_count; i++)
        for (unsigned j = 0; &w->groups[i] != g && j < w->size.endpoints; j++)
          ms_place_add_others (g->place, g->endpoints[j]->id,
                               &w->groups[i].reported[j]);
      for (unsigned j = 0; j < w->size.endpoints; j++)
        g->reported[j] = ms_place_load (g->endpoints[j], w->now);
      g->digest_at = w->now + (is_large (w) ? LARGE_PERIOD : SMALL_PERIOD);
    }
  ms_place_tick (g->place, w->now);
  g->use = ms_place_use (g->place, w->now);
}

static void
tick_routers (struct world *w)
{
  double levels = 0;
  double fractions[MAX_GROUPS] = { 0 };

  if (w->now >= w->sums_at)
    {
      memcpy (w->zone_sums, w->zone_rates, sizeof w->zone_sums);
      w->sums_at = w->now + LARGE_PERIOD;
    }
  for (unsigned i = 0; i < w->size.routers; i++)
    levels += w->routers[i].reported_level;
  for (unsigned i = 0; i < w->groups_count; i++)
    tick_group (w, &w->groups[i]);
  for (unsigned i = 0; i < w->size.routers; i++)
    {
      struct router *r = &w->routers[i];
      const struct group *g = &w->groups[r->group];
      const struct ms_share_usage usage = { g->use.fraction, g->use.tokens,
                                            g->use.wait_s, g->use.read_rate };

      if (w->now >= r->digest_at)
        {
          update_others (w, r, levels);
          report (w, r);
          r->digest_at = w->now + (is_large (w) ? LARGE_PERIOD : SMALL_PERIOD);
        }
      ms_share_tick (r->share, &usage, w->now);
      if (ms_share_level (r->share) > 0)
        w->least_level[second (w)]
            = fmin (w->least_level[second (w)], ms_share_level (r->share));
      fractions[r->group] += ms_share_fraction (r->share, w->now);
    }
  for (unsigned i = 0; i < w->groups_count; i++)
    ms_place_set_share (w->groups[i].place, fmin (1, fractions[i]));
}

/* The first token of JOB at endpoint I is sent.  */
static void
begin_job (struct world *w, struct job *job, unsigned i)
{
  const struct kind *kind = &kinds[job->kind];
  struct group *g = &w->groups[w->routers[job->router].group];
  bool is_sample = draw (w) * w->size.routers < w->groups_count;

  job->begun = true;
  job->left = kind->output;
  ms_share_began (w->routers[job->router].share, job->team + 1, kind->prompt,
                  true, w->now);
  if (w->now - job->arrived <= kind->target)
    w->in_time[second (w)] += kind_cost (job->kind);
  ms_place_began (g->place, g->endpoints[i], &job->load,
                  is_sample ? job->expected : 0, w->now - job->sent_at,
                  w->now);
}

static void
end_job (struct world *w, struct job *job, unsigned i)
{
  struct router *r = &w->routers[job->router];
  struct group *g = &w->groups[r->group];

  ms_share_answered (r->share, job->team + 1,
                     OUTPUT_TOKEN_COST * kinds[job->kind].output, w->now);
  ms_place_ended (g->place, g->endpoints[i], &job->load, MS_END_GOOD, w->now);
  w->ended++;
  w->ended_s += (double)(w->now - job->sent_at) / MS_SEC;
}

/* Let endpoint I work for a step.  */
static void
run_endpoint (struct world *w, unsigned i)
{
  struct endpoint *e = &w->endpoints[i];
  double budget = READ_TOKENS_PER_MS * STEP / MS_MSEC;
  unsigned generating = 0;
  unsigned kept = 0;
  ms_time pace;

  for (unsigned j = 0; j < e->count; j++)
    generating += e->jobs[j].begun;
  pace = (ms_time)((TOKEN_MS + TOKEN_MS_PER_RUNNING * generating) * MS_MSEC);
  for (unsigned j = 0; j < e->count; j++)
    {
      struct job *job = &e->jobs[j];

      if (job->begun)
        job->left -= (double)STEP / (double)pace;
      else if (budget > 0)
        {
          if (!job->reading)
            {
              job->reading = true;
              w->begun[second (w)] += kind_cost (job->kind);
              w->teams[job->team].got[second (w)] += kind_cost (job->kind);
            }
          double read = fmin (job->left, budget);

          job->left -= read;
          budget -= read;
          if (job->left <= 0)
            begin_job (w, job, i);
        }
      else
        w->waited[second (w)] += job->left * STEP / MS_SEC;
      if (job->begun && job->left <= 0)
        {
          if (!job->orphan)
            end_job (w, job, i);
        }
      else
        e->jobs[kept++] = *job;
    }
  e->count = kept;
  if (!w->routers[0].up)
    return;
  for (unsigned j = 0; generating && j < w->groups_count; j++)
    if (w->now / STEP % 4 == j % 4 && w->groups[j].endpoints[i]->own.running)
      ms_place_note_pace (w->groups[j].place, w->groups[j].endpoints[i], 1,
                          6 * pace, w->now);
}

/* Send a request of KIND that arrived at ARRIVED.  Return whether it was sent
   to an endpoint.  */
static bool
send_request (struct world *w, unsigned team, unsigned kind, ms_time arrived)
{
  const struct kind *k = &kinds[kind];
  unsigned i = team_sizes[team].router;
  struct router *r = &w->routers[i == ALL_ROUTERS ? (unsigned)ms_random_below (
                                     &w->random, w->size.routers)
                                                  : i];
  struct group *g = &w->groups[r->group];
  const struct ms_offer offer
      = { .service = SERVICE,
          .prompt_tokens = k->prompt,
          .output_tokens = k->output,
          .target_left = k->target - (w->now - arrived) };
  struct ms_choice choice;
  struct job job = { .router = (unsigned)(r - w->routers),
                     .team = team,
                     .kind = kind,
                     .left = k->prompt,
                     .arrived = arrived,
                     .sent_at = w->now };

  if (!r->up)
    return false;
  ms_place_arrived (g->place, SERVICE, k->output, k->output_time);
  if (!ms_share_admit (r->share, team + 1, kind_cost (kind), w->now))
    return false;
  ms_place_choose (g->place, &offer, w->now, &choice);
  if (choice.result != MS_PLACED)
    {
      ms_share_unplaced (r->share, team + 1, kind_cost (kind), w->now);
      return false;
    }
  ms_place_sent (g->place, &offer, &choice, &job.load, w->now);
  job.expected = choice.fit.expected;
  for (i = 0; g->endpoints[i] != choice.endpoint; i++)
    ;
  assert_true (w->endpoints[i].count < MAX_JOBS);
  w->endpoints[i].jobs[w->endpoints[i].count++] = job;
  return true;
}

static void
send_retries (struct world *w)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < w->retries_count; i++)
    {
      const struct retry *retry = &w->retries[i];

      if (retry->at > w->now)
        w->retries[kept++] = *retry;
      else
        send_request (w, retry->team, retry->kind, retry->at);
    }
  w->retries_count = kept;
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

/* Send the requests that TEAM has in one STEP.  */
static void
send_new (struct world *w, unsigned team)
{
  double mean = 0;
  double due;
  unsigned count;

  for (unsigned i = 0; i < KINDS; i++)
    mean += kinds[i].part * kind_cost (i);
  due = w->load * team_sizes[team].part * true_capacity (&w->size) / mean
        * STEP / MS_SEC;
  count = (unsigned)due;
  count += draw (w) < due - count;
  for (unsigned i = 0; i < count; i++)
    {
      unsigned kind = draw_kind (w);

      w->teams[team].asked[second (w)] += kind_cost (kind);
      if (send_request (w, team, kind, w->now))
        continue;
      assert_true (w->retries_count < MAX_RETRIES);
      w->retries[w->retries_count++]
          = (struct retry){ team, kind, w->now,
                            w->now + MIN_RETRY_PAUSE
                                + (ms_time)ms_random_below (&w->random,
                                                            RETRY_JITTER) };
    }
}

static void
play (struct world *w, ms_time time)
{
  for (ms_time end = w->now + time; w->now < end; w->now += STEP)
    {
      assert_true (second (w) < MAX_SECONDS);
      for (unsigned i = 0; i < w->size.endpoints; i++)
        run_endpoint (w, i);
      send_retries (w);
      for (unsigned i = 0; i < TEAMS; i++)
        send_new (w, i);
      if (w->routers[0].up && w->now % TICK == 0)
        tick_routers (w);
    }
}

static double
sum_window (const double *seconds, unsigned first)
{
  double sum = 0;

  for (unsigned i = first; i < first + WINDOW_S; i++)
    sum += seconds[i];
  return sum;
}

/* Return the lowest fraction that a team gets of what it asks for or, if that
   is less, the best served one gets, in the window that begins at FIRST.  */
static double
fair_fraction (const struct world *w, unsigned first)
{
  const struct team *best = &w->teams[0];
  double largest = 0;
  double lowest = 1;

  for (unsigned i = 0; i < KINDS; i++)
    largest = fmax (largest, kind_cost (i));
  for (unsigned i = 1; i < TEAMS; i++)
    if (sum_window (w->teams[i].got, first) > sum_window (best->got, first))
      best = &w->teams[i];
  for (unsigned i = 0; i < TEAMS; i++)
    {
      const struct team *t = &w->teams[i];
      double owed = 0;

      for (unsigned j = first; j < first + WINDOW_S; j++)
        owed += fmin (t->asked[j], best->got[j]);
      lowest = fmin (lowest,
                     (sum_window (t->got, first) + FAIR_ALLOWANCE * largest)
                         / owed);
    }
  return lowest;
}

/* Print the seconds from FIRST on, and return the lowest fair fraction of the
   windows that begin in the first seconds.  */
static double
check_window (const struct world *w, const char *what, unsigned first)
{
  double lowest
      = fmin (fair_fraction (w, first), fair_fraction (w, first + 1));
  double capacity = true_capacity (&w->size);

  print_message ("%3u routers, load %.1f, configured %.1f, %s: fair %.2f\n",
                 w->size.routers, w->load, w->capacity / capacity, what,
                 lowest);
  for (unsigned i = first; i < first + WINDOW_S + 1; i++)
    print_message ("  begun %.2f in time %.2f wait %4.0f ms level %.3f\n",
                   w->begun[i] / capacity, w->in_time[i] / capacity,
                   w->waited[i] / w->size.endpoints / READ_TOKENS_PER_MS,
                   w->least_level[i] / capacity);
  return lowest;
}

/* Play a start and a restart of all routers of a fleet of SIZE, with a
   configured capacity of FACTOR times the true one.  */
static double
play_starts (const struct size *size, double load, double factor)
{
  struct world *w = create_world (size, load, factor * true_capacity (size));
  double lowest;

  play (w, (WINDOW_S + 1) * MS_SEC);
  lowest = check_window (w, "start", 1);
  kill_routers (w);
  play (w, DOWN_TIME);
  start_routers (w);
  play (w, (WINDOW_S + 1) * MS_SEC);
  lowest = fmin (lowest, check_window (w, "restart", 9));
  destroy_world (w);
  return lowest;
}

/* Guards against first seconds in which teams get next to nothing because
   endpoints were filled beyond what they can read in time.  */
static void
test_shares_hold_at_starts (void **state)
{
  static const double factors[] = { 1, 0.5, 2, 0 };
  double lowest = 1;

  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    for (unsigned i = 0; i < sizeof factors / sizeof *factors; i++)
      lowest = fmin (lowest, play_starts (&sizes[s], 3.5, factors[i]));
  assert_true (lowest >= MIN_FAIR_FRACTION);
}

/* The same for a fleet that has served a few requests and was idle for some
   seconds: what it has measured before says nothing of the demand now.  */
static void
test_shares_hold_after_an_idle_time (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      struct world *w = create_world (&sizes[s], 0.05, 0);

      play (w, MS_SEC);
      w->load = 0;
      play (w, 10 * MS_SEC);
      w->load = 3.5;
      play (w, (WINDOW_S + 1) * MS_SEC);
      assert_true (check_window (w, "after an idle time", 12)
                   >= MIN_FAIR_FRACTION);
      destroy_world (w);
    }
}

/* Guards against endpoints that stay idle, or whose answers are late, because
   too little or too much is admitted in steady load.  */
static void
test_endpoints_are_used_in_steady_load (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    for (unsigned i = 0; i < sizeof steady_loads / sizeof *steady_loads; i++)
      {
        const struct steady_load *load = &steady_loads[i];
        struct world *w = create_world (&sizes[s], load->load, 0);
        double all = STEADY_S * true_capacity (&sizes[s]);
        double begun = 0;
        double in_time = 0;

        play (w, (STEADY_AFTER_S + STEADY_S - 1) * MS_SEC);
        for (unsigned j = STEADY_AFTER_S; j < STEADY_AFTER_S + STEADY_S; j++)
          {
            begun += w->begun[j] / all;
            in_time += w->in_time[j] / all;
          }
        print_message ("%3u routers, load %.1f: begun %.3f, in time %.3f, "
                       "completed after %.1f s\n",
                       sizes[s].routers, load->load, begun, in_time,
                       w->ended_s / w->ended);
        assert_true (w->ended_s / w->ended > 2 && w->ended_s / w->ended < 4);
        assert_true (begun >= load->least_begun);
        assert_true (in_time >= load->least_in_time);
        destroy_world (w);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_shares_hold_after_an_idle_time),
    cmocka_unit_test (test_endpoints_are_used_in_steady_load),
    cmocka_unit_test (test_shares_hold_at_starts),
  };

  return RUN (tests);
}

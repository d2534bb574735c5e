#include "check.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "admit/share.h"
#include "base/alloc.h"
#include "fleet/fleet.h"

/* Routers of a fleet share the slots of the endpoints among teams by what they
   learn from each other's digests and zone sums.  Callers send a refused
   request once more, after a pause.  */

#define MAX_ROUTERS 295
#define MAX_TEAMS 12
#define MAX_RUNS 8192
#define MAX_RETRIES 16384
#define STEP (10 * MS_MSEC)
#define TICK (20 * MS_MSEC)
#define SMALL_PERIOD (100 * MS_MSEC)
#define LARGE_PERIOD (150 * MS_MSEC)
#define MIN_RETRY_PAUSE (200 * MS_MSEC)
#define RETRY_JITTER (400 * MS_MSEC)
#define MAX_SECONDS 40
#define WINDOW_S 6
#define ALL_ROUTERS UINT32_MAX

/* A team over its share gets at least this fraction of what it asks for or,
   if that is less, of what the team gets that is served best.  */
#define MIN_FAIR_FRACTION 0.5

/* A team that asks for less than SMALL_DEMAND of all slots, which is below its
   share, gets at least this fraction of it.  */
#define SMALL_DEMAND 0.05
#define MIN_SMALL_FRACTION 0.8

/* Fraction of the slots that are in use on average while teams ask for more
   than there are.  */
#define MIN_USED_FRACTION 0.7

/* Requests run longer while more than this fraction of the slots is used, and
   endpoints refuse what would fill more than the second one.  */
#define FULL_SPEED_FRACTION 0.8
#define MAX_FILL_FRACTION 1.2

/* One endpoint in LOST_PART fails; routers take it for failed after
   DETECTION_TIME.  */
#define LOST_PART 3
#define STOPPED_PART 6
#define DETECTION_TIME (700 * MS_MSEC)

/* Kinds of requests.  */
static const struct kind
{
  double part; /* Of all requests.  */
  double cost;
  ms_time run_time; /* On average.  */
} kinds[] = { { 0.26, 13500, 1750 * MS_MSEC },
              { 0.28, 2700, 1320 * MS_MSEC },
              { 0.46, 2400, 190 * MS_MSEC } };

#define KINDS (sizeof kinds / sizeof *kinds)

static const struct size
{
  unsigned routers;
  unsigned zones;
  unsigned slots;
} sizes[] = { { 9, 3, 300 }, { 90, 3, 900 }, { 295, 5, 1900 } };

#define SIZES (sizeof sizes / sizeof *sizes)

/* Requests and cost that are in progress.  */
struct progress
{
  double running;
  double cost;
};

struct team
{
  double demand;   /* Of all slots, by first tries.  */
  unsigned router; /* The only one that its callers use, or ALL_ROUTERS.  */
  double asked[MAX_SECONDS];
  double got[MAX_SECONDS];
};

struct router
{
  uint64_t id;
  uint64_t zone;
  bool up;
  struct ms_fleet *fleet;
  struct ms_share *share;
  ms_time digest_at;
  struct progress own;
  struct progress others; /* As of the last digest.  */
};

struct run
{
  unsigned router;
  unsigned team;
  double cost;
  ms_time ends;
};

struct retry
{
  unsigned team;
  unsigned kind;
  ms_time at;
};

struct world
{
  struct size size;
  struct router routers[MAX_ROUTERS];
  struct team teams[MAX_TEAMS];
  unsigned teams_count;
  struct run runs[MAX_RUNS];
  unsigned runs_count;
  struct retry retries[MAX_RETRIES];
  unsigned retries_count;
  unsigned slots;
  unsigned seen_slots;          /* As routers know.  */
  double used_sum[MAX_SECONDS]; /* Fractions of the slots, by second.  */
  struct ms_random random;
  ms_time now;
};

static struct in_addr
router_ip (uint64_t id)
{
  return (struct in_addr){ htonl (0x0a000000 + (uint32_t)id) };
}

static void
start_router (struct world *w, unsigned i)
{
  struct router *r = &w->routers[i];

  *r = (struct router){ .id = i + 1, .zone = 1 + i % w->size.zones };
  r->up = true;
  r->digest_at = w->now + (ms_time)ms_random_below (&w->random, 100) * MS_MSEC;
  r->share = ms_share_create ();
  r->fleet = ms_fleet_create (r->id, (uint64_t)w->now + 1, r->zone,
                              router_ip (r->id), r->id * 7, w->now);
  for (unsigned j = 0; j < w->size.routers; j++)
    ms_fleet_learn (r->fleet, j + 1, 1, 1 + j % w->size.zones,
                    router_ip (j + 1), w->now);
  ms_fleet_note_members (r->fleet);
}

static void
stop_router (struct world *w, unsigned i)
{
  struct router *r = &w->routers[i];
  unsigned kept = 0;

  r->up = false;
  ms_share_destroy (r->share);
  ms_fleet_destroy (r->fleet);
  for (unsigned j = 0; j < w->runs_count; j++)
    if (w->runs[j].router != i)
      w->runs[kept++] = w->runs[j];
  w->runs_count = kept;
}

static struct world *
create_world (const struct size *size)
{
  struct world *w = ms_new (sizeof *w);

  w->size = *size;
  w->slots = w->seen_slots = size->slots;
  w->now = MS_SEC;
  w->random.state = size->routers;
  for (unsigned i = 0; i < size->routers; i++)
    start_router (w, i);
  return w;
}

static void
destroy_world (struct world *w)
{
  for (unsigned i = 0; i < w->size.routers; i++)
    if (w->routers[i].up)
      {
        ms_share_destroy (w->routers[i].share);
        ms_fleet_destroy (w->routers[i].fleet);
      }
  free (w);
}

static void
add_team (struct world *w, double demand, unsigned router)
{
  assert_true (w->teams_count < MAX_TEAMS);
  w->teams[w->teams_count++]
      = (struct team){ .demand = demand, .router = router };
}

static void
deliver (struct world *w, const struct fleet_digest *digest,
         const struct in_addr *targets, unsigned count)
{
  static char data[65000];
  unsigned length = ms_digest_encode (digest, data, sizeof data);

  assert_true (length > 0);
  for (unsigned i = 0; i < count; i++)
    {
      struct router *to = &w->routers[ntohl (targets[i].s_addr) - 0x0a000001];
      struct fleet_digest received;

      if (!to->up)
        continue;
      assert_true (ms_digest_decode (data, length, &received));
      ms_fleet_receive (to->fleet, &received, w->now);
      ms_digest_free (&received);
    }
}

static unsigned
collect_teams (struct world *w, struct router *r, digest_team *teams)
{
  struct ms_team_rates rates[DIGEST_TEAMS];
  unsigned count = ms_share_report (r->share, w->now, rates, DIGEST_TEAMS);

  for (unsigned i = 0; i < count; i++)
    teams[i] = (digest_team){ rates[i].team, (unsigned)rates[i].demand,
                              (unsigned)rates[i].unplaced,
                              (unsigned)rates[i].answered };
  return count;
}

static void
send_digest (struct world *w, struct router *r)
{
  static struct ms_zone_sums sums;
  struct ms_zone_list zones;
  struct fleet_digest digest = { 0 };
  digest_member members[DIGEST_MEMBERS];
  digest_team teams[DIGEST_TEAMS];
  struct in_addr targets[MAX_ROUTERS];
  digest_load load = { .endpoint = 1,
                       .running = (unsigned)r->own.running,
                       .memory = (unsigned)r->own.cost };
  bool large = ms_fleet_large (r->fleet, w->now);
  bool sums_zone = large && ms_fleet_sums_zone (r->fleet, w->now);
  unsigned count = ms_fleet_targets (r->fleet, w->now, targets, MAX_ROUTERS);

  ms_fleet_fill_digest (r->fleet, &digest, members, w->now);
  digest.ready = true;
  digest.level = (unsigned)fmin (ms_share_own_level (r->share), UINT32_MAX);
  digest.loads.loads_val = &load;
  digest.loads.loads_len = 1;
  digest.teams.teams_val = teams;
  digest.teams.teams_len = collect_teams (w, r, teams);
  if (sums_zone)
    ms_fleet_put_zone_sums (r->fleet, &digest, &zones, w->now);
  deliver (w, &digest, targets, count);
  if (sums_zone)
    {
      count = ms_fleet_other_readers (r->fleet, w->now, targets, MAX_ROUTERS);
      ms_fleet_sum_zone (r->fleet, &digest, &sums, w->now);
      digest.loads.loads_len = 0;
      digest.teams.teams_len = 0;
      digest.zones.zones_val = &sums.zone;
      digest.zones.zones_len = 1;
      digest.rooms.rooms_val = &sums.room;
      digest.rooms.rooms_len = 1;
      digest.flows.flows_val = &sums.flow;
      digest.flows.flows_len = 1;
      deliver (w, &digest, targets, count);
    }
  r->digest_at = w->now + (large ? LARGE_PERIOD : SMALL_PERIOD);
}

static void
add_loads (struct progress *sum, const digest_load *loads, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      sum->running += loads[i].running;
      sum->cost += loads[i].memory;
    }
}

static void
add_teams (struct router *r, const digest_team *teams, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      const struct ms_team_rates rates = { teams[i].team, teams[i].asked,
                                           teams[i].refused, teams[i].ended };

      ms_share_add_others (r->share, &rates);
    }
}

/* Take what the other routers have reported.  */
static void
update_others (struct world *w, struct router *r)
{
  unsigned count;
  const struct ms_fleet_router *routers = ms_fleet_routers (r->fleet, &count);
  unsigned zones_count;
  const struct ms_fleet_zone *zones = ms_fleet_zones (r->fleet, &zones_count);
  bool large = ms_fleet_large (r->fleet, w->now);
  unsigned level_count;
  double level = ms_fleet_mean_level (r->fleet, w->now, &level_count);

  r->others = (struct progress){ 0, 0 };
  ms_share_set_others_level (r->share, level, level_count);
  ms_share_clear_others (r->share);
  for (unsigned i = 0; i < count; i++)
    if (ms_fleet_alive (&routers[i], w->now)
        && (!large || routers[i].zone == r->zone))
      {
        add_loads (&r->others, routers[i].loads, routers[i].loads_count);
        add_teams (r, routers[i].teams, routers[i].teams_count);
      }
  for (unsigned i = 0; large && i < zones_count; i++)
    if (w->now - zones[i].heard <= MS_ROUTER_SILENT_TIME)
      {
        add_loads (&r->others, zones[i].loads, zones[i].loads_count);
        add_teams (r, zones[i].teams, zones[i].teams_count);
      }
}

static void
tick_router (struct world *w, struct router *r)
{
  struct ms_share_usage usage;

  if (w->now >= r->digest_at)
    {
      update_others (w, r);
      send_digest (w, r);
    }
  usage = (struct ms_share_usage){
    .used_fraction = (r->own.running + r->others.running) / w->seen_slots,
    .running_cost = r->own.cost + r->others.cost,
  };
  ms_share_tick (r->share, &usage, w->now);
}

static unsigned
second (const struct world *w)
{
  return (unsigned)(w->now / MS_SEC);
}

static void
end_runs (struct world *w)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < w->runs_count; i++)
    {
      const struct run *run = &w->runs[i];
      struct router *r = &w->routers[run->router];

      if (run->ends > w->now)
        {
          w->runs[kept++] = *run;
          continue;
        }
      r->own.running--;
      r->own.cost -= run->cost;
      ms_share_answered (r->share, run->team + 1, run->cost, w->now);
    }
  w->runs_count = kept;
}

/* Return the router that a caller of TEAM uses.  */
static unsigned
draw_router (struct world *w, const struct team *team)
{
  unsigned i = team->router;

  while (i == ALL_ROUTERS || !w->routers[i].up)
    i = (unsigned)ms_random_below (&w->random, w->size.routers);
  return i;
}

/* Send a request of kind KIND.  Return whether it runs.  */
static bool
send_request (struct world *w, unsigned team, unsigned kind)
{
  const struct kind *k = &kinds[kind];
  struct team *t = &w->teams[team];
  unsigned router = draw_router (w, t);
  struct router *r = &w->routers[router];
  ms_time run_time
      = k->run_time / 2
        + (ms_time)ms_random_below (&w->random, (uint64_t)k->run_time);

  if (!ms_share_admit (r->share, team + 1, k->cost, w->now))
    return false;
  if (w->runs_count >= w->slots * MAX_FILL_FRACTION)
    {
      ms_share_unplaced (r->share, team + 1, k->cost, w->now);
      return false;
    }
  assert_true (w->runs_count < MAX_RUNS);
  run_time = (ms_time)((double)run_time
                       * fmax (1, w->runs_count
                                      / (w->slots * FULL_SPEED_FRACTION)));
  w->runs[w->runs_count++]
      = (struct run){ router, team, k->cost, w->now + run_time };
  r->own.running++;
  r->own.cost += k->cost;
  t->got[second (w)] += k->cost;
  return true;
}

static void
send_retries (struct world *w)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < w->retries_count; i++)
    if (w->retries[i].at > w->now)
      w->retries[kept++] = w->retries[i];
    else
      send_request (w, w->retries[i].team, w->retries[i].kind);
  w->retries_count = kept;
}

static unsigned
draw_kind (struct world *w)
{
  double at = (double)ms_random_below (&w->random, 1000000) / 1000000;
  unsigned kind = 0;

  while (kind + 1 < KINDS && at >= kinds[kind].part)
    at -= kinds[kind++].part;
  return kind;
}

/* Mean time that a request occupies a slot, in microseconds.  */
static double
mean_run_time (void)
{
  double sum = 0;

  for (unsigned i = 0; i < KINDS; i++)
    sum += kinds[i].part * (double)kinds[i].run_time;
  return sum;
}

/* Send the requests that TEAM has in one STEP.  */
static void
send_new (struct world *w, unsigned team)
{
  double due = w->teams[team].demand * w->size.slots * STEP / mean_run_time ();
  unsigned count = (unsigned)due;

  count
      += (double)ms_random_below (&w->random, 1000000) / 1000000 < due - count;
  for (unsigned i = 0; i < count; i++)
    {
      unsigned kind = draw_kind (w);

      w->teams[team].asked[second (w)] += kinds[kind].cost;
      if (send_request (w, team, kind))
        continue;
      assert_true (w->retries_count < MAX_RETRIES);
      w->retries[w->retries_count++]
          = (struct retry){ team, kind,
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
      end_runs (w);
      send_retries (w);
      for (unsigned i = 0; i < w->teams_count; i++)
        send_new (w, i);
      for (unsigned i = 0; i < w->size.routers; i++)
        if (w->routers[i].up && (w->now / STEP + i) % (TICK / STEP) == 0)
          tick_router (w, &w->routers[i]);
      w->used_sum[second (w)] += (double)w->runs_count / w->slots;
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
   is less, the best served one gets, second by second, in the window that
   begins at FIRST.  */
static double
fair_fraction (const struct world *w, unsigned first)
{
  const struct team *best = &w->teams[0];
  double lowest = 1;

  for (unsigned i = 1; i < w->teams_count; i++)
    if (sum_window (w->teams[i].got, first) > sum_window (best->got, first))
      best = &w->teams[i];
  for (unsigned i = 0; i < w->teams_count; i++)
    {
      const struct team *t = &w->teams[i];
      double owed = 0;

      for (unsigned j = first; j < first + WINDOW_S; j++)
        owed += fmin (t->asked[j], best->got[j]);
      lowest = fmin (lowest, sum_window (t->got, first) / owed);
    }
  return lowest;
}

/* Return the fraction that the small teams together get of what they ask for
   in the window that begins at FIRST.  */
static double
small_fraction (const struct world *w, unsigned first)
{
  double asked = 0;
  double got = 0;

  for (unsigned i = 0; i < w->teams_count; i++)
    if (w->teams[i].demand < SMALL_DEMAND)
      {
        asked += sum_window (w->teams[i].asked, first);
        got += sum_window (w->teams[i].got, first);
      }
  return got / asked;
}

/* Check all windows from second FIRST to LAST.  */
static void
check_shares (const struct world *w, unsigned first, unsigned last)
{
  double lowest = 1;
  double small = 1;
  double used = 0;

  for (unsigned i = first; i + WINDOW_S <= last; i++)
    {
      lowest = fmin (lowest, fair_fraction (w, i));
      small = fmin (small, small_fraction (w, i));
    }
  for (unsigned i = first; i < last; i++)
    used += w->used_sum[i] * STEP / MS_SEC / (last - first);
  print_message ("%u routers: fair %.2f, small %.2f, used %.2f\n",
                 w->size.routers, lowest, small, used);
  assert_true (lowest >= MIN_FAIR_FRACTION);
  assert_true (small >= MIN_SMALL_FRACTION);
  assert_true (used >= MIN_USED_FRACTION);
}

/* Teams of many sizes, which together demand two and a half times what the
   endpoints can do; the callers of two of them use a single router.  */
static void
add_teams_of_a_day (struct world *w)
{
  add_team (w, 1.4, ALL_ROUTERS);
  add_team (w, 0.60, 7);
  add_team (w, 0.10, ALL_ROUTERS);
  add_team (w, 0.07, 5);
  for (unsigned i = 0; i < 8; i++)
    add_team (w, 0.045, ALL_ROUTERS);
}

/* End one run in LOST_PART, whose endpoints fail.  */
static void
fail_runs (struct world *w)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < w->runs_count; i++)
    if (ms_random_below (&w->random, LOST_PART))
      w->runs[kept++] = w->runs[i];
    else
      {
        w->routers[w->runs[i].router].own.running--;
        w->routers[w->runs[i].router].own.cost -= w->runs[i].cost;
      }
  w->runs_count = kept;
}

/* Stop or start one router in STOPPED_PART; none that a team keeps to.  */
static void
stop_routers (struct world *w)
{
  for (unsigned i = 0; i < w->size.routers; i += STOPPED_PART)
    stop_router (w, i);
}

static void
start_routers (struct world *w)
{
  for (unsigned i = 0; i < w->size.routers; i += STOPPED_PART)
    start_router (w, i);
}

/* Guards against levels that end because requests ended with their routers and
   endpoints.  */
static void
test_levels_hold_after_a_loss_of_routers_and_endpoints (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      struct world *w = create_world (&sizes[s]);

      add_teams_of_a_day (w);
      play (w, 7500 * MS_MSEC);
      stop_routers (w);
      play (w, MS_SEC);
      fail_runs (w);
      w->slots -= w->size.slots / LOST_PART;
      play (w, DETECTION_TIME);
      w->seen_slots = w->slots;
      play (w, 2 * MS_SEC);
      start_routers (w);
      play (w, 2 * MS_SEC);
      w->slots = w->seen_slots = w->size.slots;
      play (w, 6 * MS_SEC);
      check_shares (w, 5, 19);
      destroy_world (w);
    }
}

/* Guards against requests that are let in while their teams' demand is not yet
   known, and kept out long afterwards.  */
static void
test_levels_hold_when_large_teams_ask_for_more (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      struct world *w = create_world (&sizes[s]);

      add_teams_of_a_day (w);
      w->teams[0].demand = w->teams[1].demand = 0.05;
      play (w, 7 * MS_SEC);
      w->teams[0].demand = 1.2;
      w->teams[1].demand = 0.6;
      play (w, 12 * MS_SEC);
      check_shares (w, 8, 20);
      destroy_world (w);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_levels_hold_after_a_loss_of_routers_and_endpoints),
    cmocka_unit_test (test_levels_hold_when_large_teams_ask_for_more),
  };

  return RUN (tests);
}

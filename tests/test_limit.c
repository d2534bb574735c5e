#include "check.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "place/place.h"

/* Routers that use the same endpoints and tell each other what they have
   there, as the limits of requests at once follow the pace.  */
#define ROUTERS 4
#define ENDPOINTS 4
#define MODEL 11
#define SLOTS 100
#define EVENT_TOKENS 6
#define TICK (20 * MS_MSEC)
#define TELL (100 * MS_MSEC)
#define LASTS (2 * MS_SEC)
#define MOST (ROUTERS * ENDPOINTS * SLOTS)

/* An engine's time for a token, of which each request that runs adds a part.
   Requests need the one at 60.  */
#define STEP_US 3410
#define STEP_PER_RUNNING_US 97
#define NEEDED_US (STEP_US + 60 * STEP_PER_RUNNING_US)

static struct ms_service_entry kinds[]
    = { { .id = MODEL,
          .model = true,
          .slots = SLOTS,
          .memory_tokens = 100000000,
          .tokens_per_event = EVENT_TOKENS } };
static const struct ms_routes routes
    = { .services = kinds, .services_count = 1 };

struct run
{
  struct ms_endpoint_state *endpoint;
  struct ms_load load;
  ms_time ends;
  unsigned router;
};

struct fleet
{
  struct ms_place *places[ROUTERS];
  struct run runs[MOST];
  unsigned count;
  unsigned placed[ROUTERS];
  unsigned refused[ROUTERS];
};

static void
create_fleet (struct fleet *fleet)
{
  const struct ms_place_options options
      = { .self = 1, .zone = 1, .cold_burst_factor = 1.5, .cold_slack = 5 };

  memset (fleet, 0, sizeof *fleet);
  for (unsigned i = 0; i < ROUTERS; i++)
    {
      fleet->places[i]
          = ms_place_create (&options, ms_place_policy ("prefix"));
      ms_place_configure (fleet->places[i], &routes);
      for (unsigned j = 0; j < ENDPOINTS; j++)
        {
          struct ms_endpoint_entry entry
              = { .service = MODEL, .zone = 1, .slots = SLOTS };

          entry.id.length = (size_t)snprintf (entry.id.data,
                                              sizeof entry.id.data, "e%u", j);
          ms_place_put (fleet->places[i], &entry, 0);
        }
    }
}

struct telling
{
  struct ms_place *to;
  ms_time now;
};

static void
tell_load (void *context, struct ms_endpoint_state *e)
{
  struct telling *t = context;
  struct ms_load load = ms_place_load (e, t->now);

  if (load.running)
    ms_place_add_others (t->to, e->id, &load);
}

static void
tell (struct fleet *fleet, ms_time now)
{
  for (unsigned i = 0; i < ROUTERS; i++)
    {
      struct telling t = { fleet->places[i], now };

      ms_place_clear_others (t.to);
      for (unsigned j = 0; j < ROUTERS; j++)
        if (j != i)
          ms_place_each (fleet->places[j], tell_load, &t);
    }
}

static void
report_pace (struct fleet *fleet, const struct run *run, ms_time now)
{
  unsigned running = 0;
  ms_time pace;

  for (unsigned i = 0; i < fleet->count; i++)
    running += fleet->runs[i].endpoint->id == run->endpoint->id;
  pace = STEP_US + STEP_PER_RUNNING_US * (ms_time)running;
  ms_place_note_pace (fleet->places[run->router], run->endpoint, 1,
                      pace * EVENT_TOKENS, now);
}

static void
call (struct fleet *fleet, unsigned router, ms_time now)
{
  const struct ms_offer offer = { .service = MODEL,
                                  .prompt_tokens = 10,
                                  .output_tokens = 300,
                                  .aim_left = 10 * MS_SEC };
  struct ms_choice choice;
  struct run *run = &fleet->runs[fleet->count];

  ms_place_arrived (fleet->places[router], MODEL, 1000,
                    (ms_time)1000 * NEEDED_US);
  ms_place_choose (fleet->places[router], &offer, now, &choice);
  if (choice.result != MS_PLACED || fleet->count == MOST)
    {
      fleet->refused[router]++;
      return;
    }
  *run = (struct run){ .router = router, .ends = now + LASTS };
  ms_place_sent (fleet->places[router], &offer, &choice, &run->load, now);
  run->endpoint = choice.endpoint;
  fleet->count++;
  fleet->placed[router]++;
}

static void
end_runs (struct fleet *fleet, ms_time now)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < fleet->count; i++)
    {
      struct run *run = &fleet->runs[i];

      if (now < run->ends)
        fleet->runs[kept++] = *run;
      else
        ms_place_ended (fleet->places[run->router], run->endpoint, &run->load,
                        MS_END_GOOD, now);
    }
  fleet->count = kept;
}

/* Play from BEGIN to END with CALLS of each router in a tick, in turns.  */
static void
play (struct fleet *fleet, ms_time begin, ms_time end, const unsigned *calls)
{
  unsigned total = 0;

  for (unsigned i = 0; i < ROUTERS; i++)
    total += calls[i];
  for (ms_time now = begin + TICK; now <= end; now += TICK)
    {
      end_runs (fleet, now);
      if (now % TELL == 0)
        tell (fleet, now);
      for (unsigned i = 0; i < fleet->count; i++)
        if ((now / TICK + i) % 5 == 0)
          report_pace (fleet, &fleet->runs[i], now);
      for (unsigned n = 0; n < 20; n++)
        for (unsigned i = 0; i < ROUTERS; i++)
          if (n < calls[(i + n) % ROUTERS])
            call (fleet, (i + n) % ROUTERS, now);
      for (unsigned i = 0; i < ROUTERS; i++)
        {
          ms_place_set_share (fleet->places[i], (double)calls[i] / total);
          ms_place_tick (fleet->places[i], now);
        }
    }
}

static double
refused_part (const struct fleet *fleet, unsigned router)
{
  unsigned asked = fleet->placed[router] + fleet->refused[router];

  return asked ? (double)fleet->refused[router] / asked : 0;
}

/* A router that gets callers while the endpoints are full is refused no more
   than those that filled them.  */
static void
test_full_endpoints_are_shared_by_routers (void **state)
{
  static const unsigned three[] = { 0, 2, 2, 2 };
  static const unsigned four[] = { 4, 1, 1, 1 };
  static struct fleet fleet;
  double others = 0;

  (void)state;
  create_fleet (&fleet);
  play (&fleet, 0, 15 * MS_SEC, three);
  play (&fleet, 15 * MS_SEC, 20 * MS_SEC, four);
  memset (fleet.placed, 0, sizeof fleet.placed);
  memset (fleet.refused, 0, sizeof fleet.refused);
  play (&fleet, 20 * MS_SEC, 30 * MS_SEC, four);
  for (unsigned i = 1; i < ROUTERS; i++)
    others += refused_part (&fleet, i) / (ROUTERS - 1);
  assert_true (refused_part (&fleet, 0) < others + 0.15);
  for (unsigned i = 0; i < ROUTERS; i++)
    ms_place_destroy (fleet.places[i]);
}

/* Routers with few requests have the limits of those with many: on their own
   they would have none until they had seen enough requests.  */
static void
test_routers_agree_on_limits (void **state)
{
  static const unsigned calls[] = { 8, 0, 0, 0 };
  static struct fleet fleet;

  (void)state;
  create_fleet (&fleet);
  for (ms_time now = 0; now < 10 * MS_SEC; now += 500 * MS_MSEC)
    {
      play (&fleet, now, now + 500 * MS_MSEC, calls);
      for (unsigned i = 1; i < ROUTERS; i++)
        call (&fleet, i, now + 500 * MS_MSEC);
    }
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      char name[8];
      int length = snprintf (name, sizeof name, "e%u", i);
      uint64_t id = ms_id ((struct ms_str){ name, (size_t)length });
      double limit = ms_place_find (fleet.places[0], id)->limit;

      assert_true (limit > 0);
      for (unsigned j = 1; j < ROUTERS; j++)
        assert_true (
            fabs (ms_place_find (fleet.places[j], id)->limit / limit - 1)
            < 0.2);
    }
  for (unsigned i = 0; i < ROUTERS; i++)
    ms_place_destroy (fleet.places[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_full_endpoints_are_shared_by_routers),
    cmocka_unit_test (test_routers_agree_on_limits),
  };

  return RUN (tests);
}

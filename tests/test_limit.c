#include "check.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "place/place.h"

/* Several routers place requests on the same endpoints.  Each adapts the
   concurrency limits of the endpoints to the pace of their streams, and
   regularly exchanges its load there with the others.  */
#define ROUTERS 4
#define ENDPOINTS 4
#define MODEL 11
#define SLOTS 100
#define TOKENS_PER_EVENT 6
#define TICK_PERIOD (20 * MS_MSEC)
#define DIGEST_PERIOD (100 * MS_MSEC)
#define RUN_TIME (2 * MS_SEC)
#define MAX_RUNS (ROUTERS * ENDPOINTS * SLOTS)

/* Time that the simulated engine takes for a token: a fixed part and a part
   for each running request.  Requests need the pace that the engine has with
   60 of them.  */
#define TOKEN_US 3410
#define TOKEN_PER_RUNNING_US 97
#define NEEDED_TOKEN_US (TOKEN_US + 60 * TOKEN_PER_RUNNING_US)

static struct ms_service_entry services[]
    = { { .id = MODEL,
          .model = true,
          .slots = SLOTS,
          .memory_tokens = 100000000,
          .tokens_per_event = TOKENS_PER_EVENT } };
static const struct ms_routes routes
    = { .services = services, .services_count = 1 };

struct run
{
  struct ms_endpoint_state *endpoint;
  struct ms_load load;
  ms_time ends_at;
  unsigned router;
};

struct fleet
{
  struct ms_place *places[ROUTERS];
  struct run runs[MAX_RUNS];
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

/* A router that receives the loads of another.  */
struct load_receiver
{
  struct ms_place *to;
  ms_time now;
};

static void
add_load (void *context, struct ms_endpoint_state *e)
{
  struct load_receiver *receiver = context;
  struct ms_load load = ms_place_load (e, receiver->now);

  if (load.running)
    ms_place_add_others (receiver->to, e->id, &load);
}

/* Replace what each router knows of the others' loads by the present ones.  */
static void
exchange_loads (struct fleet *fleet, ms_time now)
{
  for (unsigned i = 0; i < ROUTERS; i++)
    {
      struct load_receiver receiver = { fleet->places[i], now };

      ms_place_clear_others (receiver.to);
      for (unsigned j = 0; j < ROUTERS; j++)
        if (j != i)
          ms_place_each (fleet->places[j], add_load, &receiver);
    }
}

/* Report the time that one event of RUN's stream took, which grows with the
   number of requests on the endpoint.  */
static void
report_pace (struct fleet *fleet, const struct run *run, ms_time now)
{
  unsigned running = 0;
  ms_time pace;

  for (unsigned i = 0; i < fleet->count; i++)
    running += fleet->runs[i].endpoint->id == run->endpoint->id;
  pace = TOKEN_US + TOKEN_PER_RUNNING_US * (ms_time)running;
  ms_place_note_pace (fleet->places[run->router], run->endpoint, 1,
                      pace * TOKENS_PER_EVENT, now);
}

/* Place a request that arrived at ROUTER, and count whether it was placed or
   refused.  */
static void
send_request (struct fleet *fleet, unsigned router, ms_time now)
{
  const struct ms_offer offer = { .service = MODEL,
                                  .prompt_tokens = 10,
                                  .output_tokens = 300,
                                  .target_left = 10 * MS_SEC };
  struct ms_choice choice;
  struct run *run = &fleet->runs[fleet->count];

  /* All requests have the same output here, so only the time for each token
     counts; the output need not be that of the offer.  */
  ms_place_arrived (fleet->places[router], MODEL, 1000,
                    (ms_time)1000 * NEEDED_TOKEN_US);
  ms_place_choose (fleet->places[router], &offer, now, &choice);
  if (choice.result != MS_PLACED || fleet->count == MAX_RUNS)
    {
      fleet->refused[router]++;
      return;
    }
  *run = (struct run){ .router = router, .ends_at = now + RUN_TIME };
  ms_place_sent (fleet->places[router], &offer, &choice, &run->load, now);
  run->endpoint = choice.endpoint;
  fleet->count++;
  fleet->placed[router]++;
}

static void
end_due_runs (struct fleet *fleet, ms_time now)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < fleet->count; i++)
    {
      struct run *run = &fleet->runs[i];

      if (now < run->ends_at)
        fleet->runs[kept++] = *run;
      else
        ms_place_ended (fleet->places[run->router], run->endpoint, &run->load,
                        MS_END_GOOD, now);
    }
  fleet->count = kept;
}

/* Simulate the time after START until END.  In each tick, router I gets
   REQUESTS[I] requests, taking turns with the other routers.  */
static void
simulate (struct fleet *fleet, ms_time start, ms_time end,
          const unsigned *requests)
{
  unsigned total = 0;

  for (unsigned i = 0; i < ROUTERS; i++)
    total += requests[i];
  for (ms_time now = start + TICK_PERIOD; now <= end; now += TICK_PERIOD)
    {
      end_due_runs (fleet, now);
      if (now % DIGEST_PERIOD == 0)
        exchange_loads (fleet, now);
      /* Each stream has an event every five ticks.  */
      for (unsigned i = 0; i < fleet->count; i++)
        if ((now / TICK_PERIOD + i) % 5 == 0)
          report_pace (fleet, &fleet->runs[i], now);
      /* At most 20 requests for each router.  */
      for (unsigned n = 0; n < 20; n++)
        for (unsigned i = 0; i < ROUTERS; i++)
          if (n < requests[(i + n) % ROUTERS])
            send_request (fleet, (i + n) % ROUTERS, now);
      for (unsigned i = 0; i < ROUTERS; i++)
        {
          ms_place_set_share (fleet->places[i], (double)requests[i] / total);
          ms_place_tick (fleet->places[i], now);
        }
    }
}

static double
refused_fraction (const struct fleet *fleet, unsigned router)
{
  unsigned total = fleet->placed[router] + fleet->refused[router];

  return total ? (double)fleet->refused[router] / total : 0;
}

/* A router that gets its first requests when others have filled the endpoints
   must not have a much larger fraction refused than they have.  */
static void
test_full_endpoints_are_shared_by_routers (void **state)
{
  static const unsigned three_routers[] = { 0, 2, 2, 2 };
  static const unsigned four_routers[] = { 4, 1, 1, 1 };
  static struct fleet fleet;
  double others = 0;

  (void)state;
  create_fleet (&fleet);
  simulate (&fleet, 0, 15 * MS_SEC, three_routers);
  simulate (&fleet, 15 * MS_SEC, 20 * MS_SEC, four_routers);
  memset (fleet.placed, 0, sizeof fleet.placed);
  memset (fleet.refused, 0, sizeof fleet.refused);
  simulate (&fleet, 20 * MS_SEC, 30 * MS_SEC, four_routers);
  for (unsigned i = 1; i < ROUTERS; i++)
    others += refused_fraction (&fleet, i) / (ROUTERS - 1);
  assert_true (refused_fraction (&fleet, 0) < others + 0.15);
  for (unsigned i = 0; i < ROUTERS; i++)
    ms_place_destroy (fleet.places[i]);
}

/* Routers with few requests use the limits that routers with many have found.
   By themselves they would have no limits until they had seen enough
   requests.  */
static void
test_routers_agree_on_limits (void **state)
{
  static const unsigned requests[] = { 8, 0, 0, 0 };
  static struct fleet fleet;

  (void)state;
  create_fleet (&fleet);
  for (ms_time now = 0; now < 10 * MS_SEC; now += 500 * MS_MSEC)
    {
      simulate (&fleet, now, now + 500 * MS_MSEC, requests);
      for (unsigned i = 1; i < ROUTERS; i++)
        send_request (&fleet, i, now + 500 * MS_MSEC);
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

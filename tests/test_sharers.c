#include "check.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admit/budget.h"
#include "fleet/fleet.h"
#include "place/place.h"

/* Limits that the routers of a fleet share, while not all of them hear each
   other.  The routers exchange digests every DIGEST_PERIOD, have a request for
   the one endpoint and a retry in each STEP, and are killed, started and cut
   off by the tests.  */

#define ZONE 1
#define SERVICE 11
#define MAX_ROUTERS 96
#define MAX_EVENTS 100000
#define STEP (10 * MS_MSEC)
#define DIGEST_PERIOD (100 * MS_MSEC)

/* The cold endpoint may get 16 * 1.5 + 5 requests in any second, and each
   window may have RETRY_SLACK retries.  */
#define COLD_BOUND 29
#define RETRY_SLACK 58
#define RETRY_WINDOW (10 * MS_SEC)

static struct ms_service_entry services[] = { { .id = SERVICE,
                                                .model = true,
                                                .slots = 128,
                                                .memory_tokens = 600000,
                                                .cold_time = 3 * MS_SEC,
                                                .cold_rate = 16 } };
static const struct ms_routes routes
    = { .services = services, .services_count = 1 };

struct router
{
  uint64_t id;
  uint64_t incarnation; /* Number of starts.  */
  struct ms_fleet *fleet;
  struct ms_place *place;
  struct ms_budget *budget;
  unsigned side;      /* Only routers of the same side hear each other.  */
  ms_time members_at; /* When it reads the members from the store.  */
  bool running;
};

struct world
{
  struct router routers[MAX_ROUTERS];
  unsigned count;
  ms_time now;
  bool endpoint_cold; /* Sends are counted while it is.  */
  ms_time sends[MAX_EVENTS];
  unsigned sends_count;
  ms_time retries[MAX_EVENTS];
  unsigned retries_count;
};

static struct in_addr
router_ip (uint64_t id)
{
  return (struct in_addr){ htonl (0x0a000000 + (uint32_t)id) };
}

static void
list_endpoint (struct world *w, struct router *r)
{
  struct ms_endpoint_entry entry
      = { .id = { .length = 2, .data = "e1" },
          .service = SERVICE,
          .zone = ZONE,
          .slots = 128,
          .cold_for = w->endpoint_cold ? 3 * MS_SEC : 0 };

  ms_place_put (r->place, &entry, w->now);
}

/* Start router I, which reads the members from the store after MEMBERS_AFTER.
 */
static void
start_router (struct world *w, unsigned i, ms_time members_after)
{
  struct router *r = &w->routers[i];
  const struct ms_budget_options budget
      = { .ratio = 0.2, .slack = RETRY_SLACK, .window = RETRY_WINDOW };
  struct ms_place_options place
      = { .zone = ZONE, .cold_burst_factor = 1.5, .cold_slack = 5 };

  r->id = i + 1;
  r->incarnation++;
  place.self = r->id;
  r->fleet = ms_fleet_create (r->id, r->incarnation, ZONE, router_ip (r->id),
                              r->id * 7 + r->incarnation, w->now);
  r->place = ms_place_create (&place, ms_place_policy ("prefix"));
  ms_place_configure (r->place, &routes);
  r->budget = ms_budget_create (&budget, w->now);
  r->members_at = w->now + members_after;
  r->running = true;
  list_endpoint (w, r);
}

static void
kill_router (struct world *w, unsigned i)
{
  struct router *r = &w->routers[i];

  ms_fleet_destroy (r->fleet);
  ms_place_destroy (r->place);
  ms_budget_destroy (r->budget);
  r->running = false;
}

static void
read_members (struct world *w, struct router *r)
{
  for (unsigned i = 0; i < w->count; i++)
    if (w->routers[i].incarnation)
      ms_fleet_learn (r->fleet, w->routers[i].id, w->routers[i].incarnation,
                      ZONE, router_ip (w->routers[i].id), w->now);
  ms_fleet_note_members (r->fleet);
  r->members_at = MS_NEVER;
}

static void
send_digest (struct world *w, struct router *r)
{
  struct fleet_digest digest = { 0 };
  digest_member members[DIGEST_MEMBERS];
  struct in_addr targets[MAX_ROUTERS];
  unsigned count = ms_fleet_targets (r->fleet, w->now, targets, MAX_ROUTERS);
  char data[4096];
  unsigned length;

  ms_fleet_fill_digest (r->fleet, &digest, members, w->now);
  digest.ready = true;
  length = ms_digest_encode (&digest, data, sizeof data);
  for (unsigned i = 0; i < count; i++)
    {
      struct router *to
          = &w->routers[ntohl (targets[i].s_addr) - 0x0a000000 - 1];
      struct fleet_digest received;

      if (!to->running || to->side != r->side)
        continue;
      assert_true (ms_digest_decode (data, length, &received));
      ms_fleet_receive (to->fleet, &received, w->now);
      ms_digest_free (&received);
    }
}

static void
exchange_digests (struct world *w)
{
  for (unsigned i = 0; i < w->count; i++)
    {
      struct router *r = &w->routers[i];
      uint64_t ids[MAX_ROUTERS];
      unsigned sharers;

      if (!r->running)
        continue;
      list_endpoint (w, r);
      ms_fleet_tick (r->fleet, w->now);
      sharers = ms_fleet_sharers (r->fleet, w->now, ids, MAX_ROUTERS);
      ms_place_set_routers (r->place, ids, sharers);
      ms_budget_set_routers (r->budget, sharers);
      send_digest (w, r);
    }
}

static void
try_requests (struct world *w, struct router *r)
{
  struct ms_offer offer = { .service = SERVICE,
                            .prompt_tokens = 100,
                            .output_tokens = 10,
                            .target_left = 500 * MS_MSEC };
  struct ms_choice choice;
  struct ms_load load;

  ms_place_choose (r->place, &offer, w->now, &choice);
  if (choice.result == MS_PLACED && w->endpoint_cold)
    {
      ms_place_sent (r->place, &offer, &choice, &load, w->now);
      ms_place_ended (r->place, choice.endpoint, &load, MS_END_GOOD, w->now);
      assert_true (w->sends_count < MAX_EVENTS);
      w->sends[w->sends_count++] = w->now;
    }
  if (ms_budget_take (r->budget, SERVICE, w->now))
    {
      assert_true (w->retries_count < MAX_EVENTS);
      w->retries[w->retries_count++] = w->now;
    }
}

/* Let the world go on until UNTIL.  */
static void
play (struct world *w, ms_time until)
{
  for (; w->now < until; w->now += STEP)
    {
      if (w->now % DIGEST_PERIOD == 0)
        exchange_digests (w);
      for (unsigned i = 0; i < w->count; i++)
        {
          struct router *r = &w->routers[i];

          if (!r->running)
            continue;
          if (w->now >= r->members_at)
            read_members (w, r);
          try_requests (w, r);
        }
    }
}

/* Return the most TIMES in any span of LENGTH.  */
static unsigned
most_within (const ms_time *times, unsigned count, ms_time length)
{
  unsigned first = 0;
  unsigned most = 0;

  for (unsigned i = 0; i < count; i++)
    {
      while (times[i] - times[first] >= length)
        first++;
      if (i - first + 1 > most)
        most = i - first + 1;
    }
  return most;
}

/* Return a world whose COUNT routers have been running for two retry windows;
   only the retries of the second are counted.  */
static struct world *
create_world (unsigned count)
{
  struct world *w = calloc (1, sizeof *w);

  w->count = count;
  w->now = 100 * MS_SEC;
  /* The store lists all of them before they start.  */
  for (unsigned i = 0; i < count; i++)
    w->routers[i].incarnation = 1;
  for (unsigned i = 0; i < count; i++)
    start_router (w, i, 50 * MS_MSEC);
  play (w, w->now + RETRY_WINDOW + 5 * MS_SEC);
  w->retries_count = 0;
  play (w, w->now + 7 * MS_SEC);
  return w;
}

static void
check_cold_bound (const struct world *w)
{
  unsigned sends = most_within (w->sends, w->sends_count, MS_SEC);

  print_message ("%u requests to the cold endpoint in a second\n", sends);
  assert_true (sends > 0);
  assert_true (sends <= COLD_BOUND);
}

static void
check_retry_bound (const struct world *w)
{
  unsigned retries = most_within (w->retries, w->retries_count, RETRY_WINDOW);

  print_message ("%u retries in a window\n", retries);
  assert_true (retries > 0);
  assert_true (retries <= RETRY_SLACK);
}

static void
destroy_world (struct world *w)
{
  for (unsigned i = 0; i < w->count; i++)
    if (w->routers[i].running)
      kill_router (w, i);
  free (w);
}

/* Guards against a flood of a cold endpoint by the routers that are left and
   by those that start again, which cannot read the members from the store.  */
static void
test_killed_and_restarted_routers_do_not_flood_a_cold_endpoint (void **state)
{
  struct world *w = create_world (9);

  (void)state;
  w->endpoint_cold = true;
  play (w, w->now + 500 * MS_MSEC);
  for (unsigned i = 3; i < 9; i++)
    kill_router (w, i);
  play (w, w->now + 1600 * MS_MSEC);
  for (unsigned i = 3; i < 9; i++)
    start_router (w, i, 2 * MS_SEC);
  play (w, w->now + 4 * MS_SEC);
  check_cold_bound (w);
  destroy_world (w);
}

/* Guards against a flood when all routers start again at once, and forget what
   they have just sent.  */
static void
test_restart_of_all_routers_does_not_flood_a_cold_endpoint (void **state)
{
  static const unsigned sizes[] = { 9, 89 };

  (void)state;
  for (unsigned s = 0; s < 2; s++)
    {
      struct world *w = create_world (sizes[s]);

      w->endpoint_cold = true;
      play (w, w->now + 500 * MS_MSEC);
      for (unsigned i = 0; i < w->count; i++)
        kill_router (w, i);
      play (w, w->now + 200 * MS_MSEC);
      for (unsigned i = 0; i < w->count; i++)
        start_router (w, i, 50 * MS_MSEC);
      play (w, w->now + 6 * MS_SEC);
      check_cold_bound (w);
      destroy_world (w);
    }
}

/* Guards against a flood by routers that lose each other for minutes, since
   each side of the cut still reaches the endpoint.  */
static void
test_routers_that_lose_each_other_do_not_flood_a_cold_endpoint (void **state)
{
  struct world *w = create_world (9);

  (void)state;
  for (unsigned i = 0; i < 9; i++)
    w->routers[i].side = i % 3;
  play (w, w->now + 120 * MS_SEC);
  w->endpoint_cold = true;
  play (w, w->now + 3 * MS_SEC);
  check_cold_bound (w);
  destroy_world (w);
}

/* Guards against a flood by added routers that the others do not count yet. */
static void
test_added_routers_do_not_flood_a_cold_endpoint (void **state)
{
  struct world *w = create_world (9);

  (void)state;
  w->endpoint_cold = true;
  w->count = 18;
  for (unsigned i = 9; i < 18; i++)
    start_router (w, i, 50 * MS_MSEC);
  play (w, w->now + 4 * MS_SEC);
  check_cold_bound (w);
  destroy_world (w);
}

/* Guards against the survivors using the retries of killed routers, which have
   used them already.  */
static void
test_survivors_do_not_use_the_retries_of_killed_routers (void **state)
{
  struct world *w = create_world (9);

  (void)state;
  play (w, w->now + MS_SEC);
  for (unsigned i = 3; i < 9; i++)
    kill_router (w, i);
  play (w, w->now + 12 * MS_SEC);
  check_retry_bound (w);
  destroy_world (w);
}

/* Guards against a second retry budget in one window by a restart of all.  */
static void
test_restart_of_all_routers_does_not_renew_the_retry_budget (void **state)
{
  struct world *w = create_world (9);

  (void)state;
  play (w, w->now + 2 * MS_SEC);
  for (unsigned i = 0; i < 9; i++)
    kill_router (w, i);
  play (w, w->now + 500 * MS_MSEC);
  for (unsigned i = 0; i < 9; i++)
    start_router (w, i, 50 * MS_MSEC);
  play (w, w->now + 15 * MS_SEC);
  check_retry_bound (w);
  destroy_world (w);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        test_killed_and_restarted_routers_do_not_flood_a_cold_endpoint),
    cmocka_unit_test (
        test_restart_of_all_routers_does_not_flood_a_cold_endpoint),
    cmocka_unit_test (
        test_routers_that_lose_each_other_do_not_flood_a_cold_endpoint),
    cmocka_unit_test (test_added_routers_do_not_flood_a_cold_endpoint),
    cmocka_unit_test (test_survivors_do_not_use_the_retries_of_killed_routers),
    cmocka_unit_test (
        test_restart_of_all_routers_does_not_renew_the_retry_budget),
  };

  return RUN (tests);
}

#include "check.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/random.h"
#include "place/place.h"

/* Routers that ask endpoints whether they are cold, while the store is away,
   and tell each other the answers.  */

#define SERVICE 11
#define ZONE 1
#define COLD_RATE 16
#define BURST_FACTOR 1.5
#define SLACK 5
#define BOUND 29 /* Requests in a second at a cold endpoint.  */
#define COLD_TIME (3 * MS_SEC)

#define DIGEST_PERIOD (100 * MS_MSEC)
#define REPORTS 64 /* In a digest.  */

/* The reader of each zone notices between these times that the store is away,
   and the others get to know of it with its next digest.  */
#define MIN_NOTICE_TIME (100 * MS_MSEC)
#define NOTICE_TIME (750 * MS_MSEC)

/* Longer than requests are counted for the limit of cold endpoints.  */
#define WARM_UP (1500 * MS_MSEC)

#define OUTAGE_AT (MS_SEC + WARM_UP)
#define OUTAGE_TIME (4500 * MS_MSEC)
#define END (OUTAGE_AT + OUTAGE_TIME)

/* Bytes of a call and its answer, and those that a router may spend for
   control in a second.  */
#define CALL_BYTES 250
#define CONTROL_BYTES 3000

static struct ms_service_entry services[] = {
  { .id = SERVICE, .cold_time = COLD_TIME, .cold_rate = COLD_RATE },
};
static const struct ms_routes routes
    = { .services = services, .services_count = 1 };

struct fleet
{
  unsigned routers;
  unsigned zones; /* Routers tell only those of their zone.  */
  unsigned endpoints;
  unsigned requests_per_s; /* For all endpoints.  */
};

struct world
{
  const struct fleet *fleet;
  struct ms_random random;
  struct ms_place **places;
  ms_time *noticed_at;    /* When each router notices the outage.  */
  ms_time *digest_at;     /* Next digest of each router.  */
  ms_time cold_at;        /* When endpoint 0 becomes cold.  */
  unsigned asks;          /* In the outage.  */
  unsigned asked[8];      /* Endpoint 0, in each second of it.  */
  ms_time arrivals[4096]; /* At endpoint 0 while it is cold.  */
  unsigned arrivals_count;
};

static struct ms_name
endpoint_name (unsigned i)
{
  const char name[] = { 'e', (char)('0' + i / 100), (char)('0' + i / 10 % 10),
                        (char)('0' + i % 10), '\0' };

  return ms_name (name);
}

static struct ms_place *
create_place (const struct fleet *fleet, const uint64_t *ids, unsigned router)
{
  const struct ms_place_options options = { .self = ids[router],
                                            .zone = ZONE,
                                            .cold_burst_factor = BURST_FACTOR,
                                            .cold_slack = SLACK };
  struct ms_place *place
      = ms_place_create (&options, ms_place_policy ("prefix"));

  ms_place_configure (place, &routes);
  ms_place_set_routers (place, ids, fleet->routers);
  for (unsigned i = 0; i < fleet->endpoints; i++)
    {
      const struct ms_endpoint_entry entry = { .id = endpoint_name (i),
                                               .service = SERVICE,
                                               .zone = ZONE,
                                               .slots = 10000 };

      ms_place_put (place, &entry, 0);
    }
  return place;
}

/* Return when ROUTER notices the outage.  The first of each zone is its
   reader.  */
static ms_time
notice_time (struct world *w, unsigned router)
{
  if (router < w->fleet->zones)
    return OUTAGE_AT + MIN_NOTICE_TIME
           + (ms_time)ms_random_below (&w->random,
                                       NOTICE_TIME - MIN_NOTICE_TIME);
  return w->noticed_at[router % w->fleet->zones]
         + (ms_time)ms_random_below (&w->random, DIGEST_PERIOD);
}

static struct world *
create_world (const struct fleet *fleet, ms_time cold_at, uint64_t seed)
{
  struct world *w = ms_new (sizeof *w);
  uint64_t *ids = ms_new_array (fleet->routers, sizeof *ids);

  w->fleet = fleet;
  w->random.state = seed;
  w->cold_at = cold_at;
  w->places = ms_new_array (fleet->routers, sizeof (struct ms_place *));
  w->noticed_at = ms_new_array (fleet->routers, sizeof (ms_time));
  w->digest_at = ms_new_array (fleet->routers, sizeof (ms_time));
  for (unsigned i = 0; i < fleet->routers; i++)
    ids[i] = ms_id_pair (i, 1);
  for (unsigned i = 0; i < fleet->routers; i++)
    {
      w->places[i] = create_place (fleet, ids, i);
      w->noticed_at[i] = notice_time (w, i);
      w->digest_at[i] = (ms_time)ms_random_below (&w->random, DIGEST_PERIOD);
    }
  free (ids);
  return w;
}

static void
destroy_world (struct world *w)
{
  for (unsigned i = 0; i < w->fleet->routers; i++)
    ms_place_destroy (w->places[i]);
  free (w->places);
  free (w->noticed_at);
  free (w->digest_at);
  free (w);
}

static bool
is_cold (const struct world *w, ms_time now)
{
  return now >= w->cold_at && now < w->cold_at + COLD_TIME;
}

static struct ms_endpoint_state *
find_endpoint (struct world *w, unsigned router, unsigned i)
{
  const struct ms_name name = endpoint_name (i);

  return ms_place_find (w->places[router],
                        ms_id ((struct ms_str){ name.data, name.length }));
}

/* Send a request from a random router to a random endpoint, if it may.  */
static void
send_request (struct world *w, ms_time now)
{
  const struct ms_offer offer
      = { .service = SERVICE, .target_left = 10 * MS_SEC };
  unsigned router = (unsigned)ms_random_below (&w->random, w->fleet->routers);
  unsigned i = (unsigned)ms_random_below (&w->random, w->fleet->endpoints);
  struct ms_place *place = w->places[router];
  struct ms_choice choice = { .result = MS_PLACED };
  struct ms_load load;

  choice.endpoint = find_endpoint (w, router, i);
  if (!ms_place_may_send (place, choice.endpoint, now))
    return;
  ms_place_sent (place, &offer, &choice, &load, now);
  assert_true (ms_place_confirm_send (place, choice.endpoint, now, now));
  ms_place_ended (place, choice.endpoint, &load, MS_END_GOOD, now);
  if (i == 0 && is_cold (w, now))
    w->arrivals[w->arrivals_count++] = now;
}

static void
ask_endpoints (struct world *w, unsigned router, ms_time now)
{
  for (unsigned i = 0; i < w->fleet->endpoints; i++)
    {
      struct ms_endpoint_state *e = find_endpoint (w, router, i);

      if (!ms_place_asks (w->places[router], e, w->noticed_at[router], now))
        continue;
      w->asks++;
      if (i == 0)
        w->asked[(now - OUTAGE_AT) / MS_SEC]++;
      ms_place_note_cold (
          e, i == 0 && is_cold (w, now) ? w->cold_at + COLD_TIME - now : 0,
          now, now);
    }
}

static void
send_digest (struct world *w, unsigned router, ms_time now)
{
  struct ms_cold_report reports[REPORTS];
  unsigned count
      = ms_place_report_cold (w->places[router], reports, REPORTS, now);

  for (unsigned other = router % w->fleet->zones; other < w->fleet->routers;
       other += w->fleet->zones)
    for (unsigned i = 0; i < count && other != router; i++)
      ms_place_merge_cold (w->places[other], &reports[i], now);
}

static void
play (struct world *w)
{
  unsigned sent = 0;

  for (ms_time now = MS_SEC; now < END; now += MS_MSEC)
    {
      for (; sent * MS_SEC < (now - MS_SEC) * w->fleet->requests_per_s; sent++)
        send_request (w, now);
      for (unsigned i = 0; i < w->fleet->routers; i++)
        {
          /* A tick every 20 ms.  */
          if (now >= w->noticed_at[i] && (now / MS_MSEC + i) % 20 == 0)
            ask_endpoints (w, i, now);
          if (now < w->digest_at[i])
            continue;
          send_digest (w, i, now);
          w->digest_at[i] = now + DIGEST_PERIOD;
        }
    }
}

static unsigned
most_in_a_second (const struct world *w)
{
  unsigned most = 0;

  for (unsigned i = 0; i < w->arrivals_count; i++)
    {
      unsigned count = 0;

      while (i + count < w->arrivals_count
             && w->arrivals[i + count] < w->arrivals[i] + MS_SEC)
        count++;
      if (count > most)
        most = count;
    }
  return most;
}

/* An endpoint that became cold while the store was away went on to get all of
   its part of the traffic.  */
static void
test_endpoint_that_becomes_cold_in_an_outage_is_spared (void **state)
{
  static const struct fleet fleets[] = {
    { 1, 1, 6, 250 },
    { 3, 1, 6, 250 },
    { 9, 1, 6, 250 },
  };

  (void)state;
  for (unsigned i = 0; i < sizeof fleets / sizeof *fleets; i++)
    for (uint64_t seed = 1; seed <= 10; seed++)
      {
        struct world *w = create_world (
            &fleets[i], OUTAGE_AT + NOTICE_TIME + DIGEST_PERIOD, seed);

        play (w);
        assert_true (w->arrivals_count > 0);
        assert_true (most_in_a_second (w) <= BOUND);
        destroy_world (w);
      }
}

/* Pages are asked as rarely as it takes: what an endpoint gets of them stays
   below its rate while it is cold, and a router within what it may spend for
   control.  The loads are those of DEVELOPERS.md, the last one with a tenth of
   the endpoints and requests.  */
static void
test_few_pages_are_asked_in_fleets_of_any_size (void **state)
{
  static const struct fleet fleets[] = {
    { 9, 1, 18, 368 },
    { 90, 3, 60, 941 },
    { 370, 11, 110, 81 },
  };

  (void)state;
  for (unsigned i = 0; i < sizeof fleets / sizeof *fleets; i++)
    {
      const struct fleet *fleet = &fleets[i];
      struct world *w = create_world (fleet, OUTAGE_AT, i);
      double seconds = (double)OUTAGE_TIME / MS_SEC;
      double asks;

      play (w);
      asks = w->asks / seconds;
      print_message ("%u routers, %u endpoints, %u requests a second: "
                     "%.0f pages a second, %.2f a router, %.1f an endpoint; "
                     "%u requests in a second at one that becomes cold as "
                     "the store goes\n",
                     fleet->routers, fleet->endpoints, fleet->requests_per_s,
                     asks, asks / fleet->routers, asks / fleet->endpoints,
                     most_in_a_second (w));
      for (unsigned j = 0; j < sizeof w->asked / sizeof *w->asked; j++)
        assert_true (w->asked[j] <= COLD_RATE);
      /* At 370 routers ten times as many endpoints are asked.  */
      assert_true (asks / fleet->routers * (fleet->routers == 370 ? 10 : 1)
                       * CALL_BYTES
                   <= CONTROL_BYTES);
      destroy_world (w);
    }
}

/* Nothing is asked where the answer decides nothing.  */
static void
test_endpoints_within_their_cold_limit_are_not_asked (void **state)
{
  static const struct fleet fleet = { 9, 1, 18, 100 };
  struct world *w = create_world (&fleet, END, 1);

  (void)state;
  play (w);
  assert_true (w->asks / ((double)OUTAGE_TIME / MS_SEC) < 18);
  destroy_world (w);
}

/* The first router of an endpoint's order may be gone.  */
static void
test_another_router_asks_if_the_first_one_does_not (void **state)
{
  static const struct fleet fleet = { 9, 1, 1, 100 };
  struct world *w = create_world (&fleet, END, 1);
  unsigned asking = 0;

  (void)state;
  for (ms_time now = MS_SEC; now < MS_SEC + WARM_UP; now += MS_MSEC)
    if (now / MS_MSEC % 10 == 0)
      send_request (w, now);
  for (unsigned i = 0; i < fleet.routers; i++)
    asking += ms_place_asks (w->places[i], find_endpoint (w, i, 0),
                             MS_SEC + WARM_UP, MS_SEC + WARM_UP);
  assert_true (asking <= 1);
  asking = 0;
  for (unsigned i = 0; i < fleet.routers; i++)
    asking += ms_place_asks (w->places[i], find_endpoint (w, i, 0),
                             MS_SEC + WARM_UP, MS_SEC + WARM_UP + MS_SEC / 2);
  assert_true (asking > 1);
  destroy_world (w);
}

/* A router that has just started knows neither the others nor whether the
   list, which it has just read, is from before an outage.  */
static void
test_router_that_knows_no_others_asks (void **state)
{
  static const struct fleet fleet = { 1, 1, 1, 10 };
  struct world *w = create_world (&fleet, END, 1);

  (void)state;
  ms_place_set_routers (w->places[0], (const uint64_t[]){ 0 }, 0);
  assert_false (
      ms_place_asks (w->places[0], find_endpoint (w, 0, 0), MS_SEC, MS_SEC));
  send_request (w, MS_SEC);
  assert_true (
      ms_place_asks (w->places[0], find_endpoint (w, 0, 0), MS_SEC, MS_SEC));
  destroy_world (w);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_endpoint_that_becomes_cold_in_an_outage_is_spared),
    cmocka_unit_test (test_few_pages_are_asked_in_fleets_of_any_size),
    cmocka_unit_test (test_endpoints_within_their_cold_limit_are_not_asked),
    cmocka_unit_test (test_another_router_asks_if_the_first_one_does_not),
    cmocka_unit_test (test_router_that_knows_no_others_asks),
  };

  return RUN (tests);
}

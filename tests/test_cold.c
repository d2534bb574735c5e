#include "check.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/random.h"
#include "place/place.h"

/* The rate limit of cold endpoints, summed over all routers: in any second a
   cold endpoint gets at most COLD_RATE * BURST_FACTOR + SLACK requests.  */

#define SERVICE 11
#define ZONE 1
#define COLD_RATE 16
#define BURST_FACTOR 1.5
#define SLACK 5
#define BOUND 29 /* Requests in a second.  */

#define RUN_TIME (4 * MS_SEC)
#define REQUESTS_PER_S 600 /* That all routers have for the endpoint.  */
#define ANSWER_TIME (50 * MS_MSEC)
#define MAX_CONNECT_TIME (400 * MS_MSEC)
#define MAX_REQUESTS 8192

static struct ms_service_entry services[] = {
  { .id = SERVICE, .cold_time = 3 * MS_SEC, .cold_rate = COLD_RATE },
};
static const struct ms_routes routes
    = { .services = services, .services_count = 1 };

/* What becomes of requests that were placed.  */
enum fate
{
  ANSWERED,
  TAKEN_BACK, /* Not sent.  */
  UNANSWERED, /* Sent, but never answered.  */
  FATES
};

struct request
{
  struct ms_load load;
  unsigned router;
  enum fate fate;
  ms_time placed_at;
  ms_time send_at; /* When its connection is made or it is taken back.  */
  ms_time ends_at; /* 0: not sent yet.  */
  bool over;
};

struct world
{
  struct ms_random random;
  unsigned routers_count;
  uint64_t *ids;
  struct ms_place **places;
  struct request requests[MAX_REQUESTS];
  unsigned requests_count;
  ms_time sends[MAX_REQUESTS];
  unsigned sends_count;
};

static struct ms_place *
create_place (const struct world *w, unsigned router, ms_time cold_for)
{
  const struct ms_place_options options = { .self = w->ids[router],
                                            .zone = ZONE,
                                            .cold_burst_factor = BURST_FACTOR,
                                            .cold_slack = SLACK };
  const struct ms_endpoint_entry entry = { .id = ms_name ("e0"),
                                           .service = SERVICE,
                                           .zone = ZONE,
                                           .slots = MAX_REQUESTS,
                                           .cold_for = cold_for };
  struct ms_place *place
      = ms_place_create (&options, ms_place_policy ("prefix"));

  ms_place_configure (place, &routes);
  ms_place_set_routers (place, w->ids, w->routers_count);
  ms_place_put (place, &entry, 0);
  return place;
}

static struct world *
create_world (unsigned routers_count, ms_time cold_for, uint64_t seed)
{
  struct world *w = ms_new (sizeof *w);

  w->random.state = seed;
  w->routers_count = routers_count;
  w->ids = ms_new_array (routers_count, sizeof *w->ids);
  w->places = ms_new_array (routers_count, sizeof (struct ms_place *));
  for (unsigned i = 0; i < routers_count; i++)
    w->ids[i] = ms_id_pair (i, 1);
  for (unsigned i = 0; i < routers_count; i++)
    w->places[i] = create_place (w, i, cold_for);
  return w;
}

static void
destroy_world (struct world *w)
{
  for (unsigned i = 0; i < w->routers_count; i++)
    ms_place_destroy (w->places[i]);
  free (w->places);
  free (w->ids);
  free (w);
}

static struct ms_endpoint_state *
endpoint_of (struct world *w, unsigned router)
{
  return ms_place_find (w->places[router], ms_id (ms_str ("e0")));
}

/* A request arrives at a random router.  */
static void
place_request (struct world *w, ms_time now)
{
  const struct ms_offer offer
      = { .service = SERVICE, .target_left = 10 * MS_SEC };
  unsigned router = (unsigned)ms_random_below (&w->random, w->routers_count);
  struct request *r = &w->requests[w->requests_count];
  struct ms_choice choice;

  assert_true (w->requests_count < MAX_REQUESTS);
  ms_place_choose (w->places[router], &offer, now, &choice);
  if (choice.result != MS_PLACED)
    return;
  w->requests_count++;
  r->router = router;
  r->fate = (enum fate)ms_random_below (&w->random, FATES);
  r->placed_at = now;
  r->send_at = now;
  /* Half of them on connections that exist.  */
  if (ms_random_below (&w->random, 2) == 0)
    r->send_at += (ms_time)ms_random_below (&w->random, MAX_CONNECT_TIME);
  ms_place_sent (w->places[router], &offer, &choice, &r->load, now);
}

static void
end_request (struct world *w, struct request *r, enum ms_place_end end,
             ms_time now)
{
  r->over = true;
  ms_place_ended (w->places[r->router], endpoint_of (w, r->router), &r->load,
                  end, now);
}

static void
advance_request (struct world *w, struct request *r, ms_time now)
{
  if (r->over || now < r->send_at)
    return;
  if (r->ends_at)
    {
      if (now >= r->ends_at)
        end_request (w, r, MS_END_GOOD, now);
      return;
    }
  if (r->fate == TAKEN_BACK
      || !ms_place_confirm_send (
          w->places[r->router], endpoint_of (w, r->router), r->placed_at, now))
    {
      end_request (w, r, MS_END_CANCELLED, now);
      return;
    }
  w->sends[w->sends_count++] = now;
  r->ends_at = r->fate == ANSWERED ? now + ANSWER_TIME : MS_NEVER;
}

static void
play (struct world *w, ms_time from, ms_time until)
{
  unsigned placed = 0;

  for (ms_time now = from; now < until; now += MS_MSEC)
    {
      for (; placed * MS_SEC < (now - from) * REQUESTS_PER_S; placed++)
        place_request (w, now);
      for (unsigned i = 0; i < w->requests_count; i++)
        advance_request (w, &w->requests[i], now);
    }
}

/* Return the most sends in any second that begins at FROM or later.  */
static unsigned
most_in_a_second (const struct world *w, ms_time from)
{
  unsigned most = 0;

  for (unsigned i = 0; i < w->sends_count; i++)
    {
      unsigned count = 0;

      while (i + count < w->sends_count
             && w->sends[i + count] < w->sends[i] + MS_SEC)
        count++;
      if (w->sends[i] >= from && count > most)
        most = count;
    }
  return most;
}

/* A router of a small fleet remembered fewer sends than it may make, so that
   its limit never acted.  */
static void
test_bound_holds_over_fleets_of_any_size (void **state)
{
  static const unsigned sizes[] = { 1, 2, 3, 9, 90, 370 };

  (void)state;
  for (unsigned i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      struct world *w = create_world (sizes[i], 10 * MS_SEC, i);
      unsigned most;

      play (w, MS_SEC, MS_SEC + RUN_TIME);
      most = most_in_a_second (w, 0);
      print_message ("%u routers: %u requests in a second\n", sizes[i], most);
      assert_true (most <= BOUND);
      assert_true (most > 0);
      destroy_world (w);
    }
}

/* What was sent to an endpoint before it became cold counts, however much that
   was.  */
static void
test_sends_before_the_cold_time_count (void **state)
{
  static const unsigned sizes[] = { 1, 2, 3, 9 };
  const ms_time cold_at = MS_SEC + RUN_TIME / 2;

  (void)state;
  for (unsigned i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      struct world *w = create_world (sizes[i], 0, i);
      unsigned before;

      play (w, MS_SEC, cold_at);
      before = w->sends_count;
      for (unsigned j = 0; j < sizes[i]; j++)
        {
          struct ms_endpoint_entry entry = endpoint_of (w, j)->entry;

          entry.cold_for = RUN_TIME;
          ms_place_put (w->places[j], &entry, cold_at);
        }
      play (w, cold_at, cold_at + MS_SEC / 2);
      assert_true (before > BOUND);
      assert_int_equal (w->sends_count, before);
      play (w, cold_at + MS_SEC / 2, cold_at + RUN_TIME / 2);
      assert_true (most_in_a_second (w, cold_at) <= BOUND);
      assert_true (w->sends_count > before);
      destroy_world (w);
    }
}

/* A rate that allows more requests than can be counted.  */
static void
test_high_rate_sets_no_limit (void **state)
{
  const double rate = services[0].cold_rate;
  struct world *w;

  (void)state;
  services[0].cold_rate = 1e12;
  w = create_world (1, 10 * MS_SEC, 1);
  play (w, MS_SEC, 2 * MS_SEC);
  assert_true (most_in_a_second (w, 0) > BOUND);
  destroy_world (w);
  services[0].cold_rate = rate;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bound_holds_over_fleets_of_any_size),
    cmocka_unit_test (test_sends_before_the_cold_time_count),
    cmocka_unit_test (test_high_rate_sets_no_limit),
  };

  return RUN (tests);
}

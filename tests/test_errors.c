#include "check.h"

#include <stdio.h>
#include <string.h>

#include "place/place.h"

#define PLAIN 12
#define ENDPOINTS 6
#define PERIOD (20 * MS_MSEC) /* Between two requests.  */
#define TOOK (40 * MS_MSEC)   /* By a request that succeeds or fails.  */

static struct ms_service_entry services[] = { { .id = PLAIN } };
static const struct ms_routes routes
    = { .services = services, .services_count = 1 };

/* A router before endpoints of a plain service; time passes as it sends
   requests one after another.  */
struct world
{
  struct ms_place *place;
  ms_time now;
  bool fails[ENDPOINTS];     /* All answers of that endpoint are 500.  */
  unsigned runs[ENDPOINTS];  /* Attempts at it.  */
  unsigned first[ENDPOINTS]; /* Of them, first ones of requests.  */
  ms_time target_left;       /* Of requests.  */
  unsigned lost;             /* Requests whose last answer was 500.  */
};

static void
create_world (struct world *w)
{
  const struct ms_place_options options = { .self = 1, .zone = 1 };

  memset (w, 0, sizeof *w);
  w->now = 10 * MS_SEC;
  w->target_left = 300 * MS_MSEC;
  w->place = ms_place_create (&options, ms_place_policy ("prefix"));
  ms_place_configure (w->place, &routes);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      struct ms_endpoint_entry entry
          = { .service = PLAIN, .zone = 1, .slots = 6 };

      entry.id.length
          = (size_t)snprintf (entry.id.data, sizeof entry.id.data, "e%u", i);
      ms_place_put (w->place, &entry, 0);
    }
}

static unsigned
number_of (const struct ms_endpoint_state *e)
{
  return (unsigned)(e->entry.id.data[1] - '0');
}

/* Send a request that may have ATTEMPTS.  With BAD it fails wherever it
   runs.  */
static void
send_request (struct world *w, unsigned attempts, bool bad)
{
  struct ms_endpoint_state *tried[2] = { NULL, NULL };
  struct ms_offer offer = { .service = PLAIN,
                            .target_left = w->target_left,
                            .repeatable = attempts > 1,
                            .tried = tried };
  bool failed = true;

  for (unsigned i = 0; failed && i < attempts; i++)
    {
      struct ms_choice choice;
      struct ms_load load;
      enum ms_place_end end = MS_END_GOOD;
      unsigned n;

      ms_place_choose (w->place, &offer, w->now, &choice);
      assert_int_equal (choice.result, MS_PLACED);
      ms_place_sent (w->place, &offer, &choice, &load, w->now);
      n = number_of (choice.endpoint);
      failed = bad || w->fails[n];
      w->runs[n]++;
      w->first[n] += i == 0;
      ms_place_began (w->place, choice.endpoint, &load, choice.fit.expected,
                      TOOK, w->now);
      if (failed)
        end = i && ms_place_same_error (w->place, tried[0], choice.endpoint)
                  ? MS_END_SAME_ERROR
                  : MS_END_ERROR;
      ms_place_ended (w->place, choice.endpoint, &load, end, w->now);
      tried[offer.tried_count++] = choice.endpoint;
    }
  w->lost += failed;
}

/* Send requests for TIME: one in REPEATABLE may run twice, and one in BAD
   fails wherever it runs; 0: none.  */
static void
play (struct world *w, ms_time time, unsigned repeatable, unsigned bad)
{
  ms_time end = w->now + time;

  memset (w->runs, 0, sizeof w->runs);
  memset (w->first, 0, sizeof w->first);
  w->lost = 0;
  for (unsigned i = 1; w->now < end; i++)
    {
      send_request (w, repeatable && i % repeatable == 0 ? 2 : 1,
                    bad && i % bad == 0);
      w->now += PERIOD;
      ms_place_tick (w->place, w->now);
    }
}

/* Requests that must not run twice are lost at an endpoint that answers 500
   each time it is tried again.  Those that may run twice try it instead, so
   that it is used again when it works.  */
static void
test_probes_are_repeatable_requests (void **state)
{
  struct world w;

  (void)state;
  create_world (&w);
  w.fails[0] = true;
  play (&w, 4 * MS_SEC, 2, 0);
  play (&w, 40 * MS_SEC, 2, 0);
  assert_int_equal (w.lost, 0);
  assert_in_range (w.first[0], 20, 60);
  w.fails[0] = false;
  play (&w, 12 * MS_SEC, 2, 0);
  play (&w, 4 * MS_SEC, 2, 0);
  assert_true (w.runs[0] > 20);
  ms_place_destroy (w.place);
}

/* A probe leaves time for another attempt.  */
static void
test_no_probe_without_time (void **state)
{
  struct world w;

  (void)state;
  create_world (&w);
  w.fails[0] = true;
  play (&w, 4 * MS_SEC, 2, 0);
  w.target_left = 60 * MS_MSEC;
  play (&w, 20 * MS_SEC, 2, 0);
  assert_int_equal (w.runs[0], 0);
  ms_place_destroy (w.place);
}

/* Requests that fail wherever they run made the router avoid endpoints that
   work, for seconds, and prefer others for no reason.  */
static void
test_bad_requests_are_not_held_against_endpoints (void **state)
{
  struct world w;

  (void)state;
  create_world (&w);
  play (&w, 20 * MS_SEC, 1, 5);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      char id[4];
      size_t length = (size_t)snprintf (id, sizeof id, "e%u", i);

      assert_true (
          ms_place_find (w.place, ms_id ((struct ms_str){ id, length }))
              ->error_rate
          < 0.02);
    }
  ms_place_destroy (w.place);
}

/* A service that fails as a whole gets no more than its requests and one retry
   for each, and no endpoint is singled out for that.  */
static void
test_whole_service_failing_is_nobodys_fault (void **state)
{
  struct world w;

  (void)state;
  create_world (&w);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    w.fails[i] = true;
  play (&w, 20 * MS_SEC, 2, 0);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    assert_true (w.runs[i] > 0);
  assert_int_equal (w.lost, 1000);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    w.fails[i] = false;
  play (&w, MS_SEC, 2, 0);
  assert_int_equal (w.lost, 0);
  ms_place_destroy (w.place);
}

/* Without a request that may be repeated, an endpoint that failed is tried
   again in the end, and a lone endpoint is used whatever it answers.  */
static void
test_failing_endpoint_is_tried_again_without_probes (void **state)
{
  struct world w;

  (void)state;
  create_world (&w);
  w.fails[0] = true;
  play (&w, 4 * MS_SEC, 0, 0);
  w.fails[0] = false;
  play (&w, 60 * MS_SEC, 0, 0);
  assert_int_equal (w.lost, 0);
  assert_true (w.runs[0] > 0);
  for (unsigned i = 1; i < ENDPOINTS; i++)
    {
      char id[4];
      size_t length = (size_t)snprintf (id, sizeof id, "e%u", i);

      ms_place_remove (w.place, ms_id ((struct ms_str){ id, length }));
    }
  w.fails[0] = true;
  play (&w, 4 * MS_SEC, 0, 0);
  assert_int_equal (w.runs[0], 200);
  ms_place_destroy (w.place);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_probes_are_repeatable_requests),
    cmocka_unit_test (test_no_probe_without_time),
    cmocka_unit_test (test_bad_requests_are_not_held_against_endpoints),
    cmocka_unit_test (test_whole_service_failing_is_nobodys_fault),
    cmocka_unit_test (test_failing_endpoint_is_tried_again_without_probes),
  };

  return RUN (tests);
}

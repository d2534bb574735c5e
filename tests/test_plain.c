#include "check.h"

#include <string.h>

#include "place/place.h"

/* Plain services: errors and reported load (src/place/errors.c, report.c).  */

#define MODEL 11
#define PLAIN 12
#define ENDPOINTS 6
#define START (10 * MS_SEC)
#define PERIOD (20 * MS_MSEC) /* Between two requests.  */
#define TOOK (40 * MS_MSEC)   /* By a request that succeeds or fails.  */

static struct ms_service_entry services[]
    = { { .id = MODEL, .model = true, .slots = 100 }, { .id = PLAIN } };
static const struct ms_routes routes
    = { .services = services, .services_count = 2 };

/* A router before endpoints of one service; time passes as it sends requests
   one after another.  */
struct world
{
  struct ms_place *place;
  struct ms_endpoint_state *endpoints[ENDPOINTS];
  ms_time now;
  bool fails[ENDPOINTS];    /* All answers of that endpoint are 500.  */
  unsigned runs[ENDPOINTS]; /* Attempts at it.  */
  ms_time target_left;      /* Of requests.  */
  unsigned lost;            /* Requests whose last answer was 500.  */
};

static void
create_world (struct world *w, uint64_t service, bool use_reports)
{
  const struct ms_place_options options
      = { .self = 1, .zone = 1, .use_reports = use_reports };

  *w = (struct world){ .now = START, .target_left = 300 * MS_MSEC };
  w->place = ms_place_create (&options, ms_place_policy ("prefix"));
  ms_place_configure (w->place, &routes);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      struct ms_endpoint_entry entry
          = { .service = service, .zone = 1, .slots = 6, .born = 1 };

      entry.id.data[0] = (char)('a' + i);
      entry.id.length = 1;
      w->endpoints[i] = ms_place_put (w->place, &entry, 0);
    }
}

static struct ms_choice
choose (struct world *w, const struct ms_offer *offer)
{
  struct ms_choice choice;

  ms_place_choose (w->place, offer, w->now, &choice);
  assert_non_null (choice.endpoint);
  return choice;
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
      struct ms_choice choice = choose (w, &offer);
      struct ms_endpoint_state *e = choice.endpoint;
      int n = e->entry.id.data[0] - 'a';
      enum ms_place_end end = MS_END_GOOD;
      struct ms_load load;

      ms_place_sent (w->place, &offer, &choice, &load, w->now);
      failed = bad || w->fails[n];
      w->runs[n]++;
      ms_place_began (w->place, e, &load, choice.fit.expected, TOOK, w->now);
      if (failed)
        end = i && ms_place_same_error (w->place, tried[0], e)
                  ? MS_END_SAME_ERROR
                  : MS_END_ERROR;
      ms_place_ended (w->place, e, &load, end, w->now);
      tried[offer.tried_count++] = e;
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
  w->lost = 0;
  for (unsigned i = 1; w->now < end; i++)
    {
      send_request (w, repeatable && i % repeatable == 0 ? 2 : 1,
                    bad && i % bad == 0);
      w->now += PERIOD;
      ms_place_tick (w->place, w->now);
    }
}

static int
setup (void **state)
{
  static struct world w;

  create_world (&w, PLAIN, true);
  *state = &w;
  return 0;
}

static int
teardown (void **state)
{
  ms_place_destroy (((struct world *)*state)->place);
  return 0;
}

/* Requests that must not run twice are lost at an endpoint that answers 500
   each time it is tried again.  Those that may run twice try it instead, so
   that it is used again when it works, if they have time for both attempts. */
static void
test_probes_are_repeatable_requests (void **state)
{
  struct world *w = *state;

  w->fails[0] = true;
  play (w, 4 * MS_SEC, 2, 0);
  play (w, 40 * MS_SEC, 2, 0);
  assert_int_equal (w->lost, 0);
  assert_in_range (w->runs[0], 20, 60);
  w->target_left = 60 * MS_MSEC;
  play (w, 4 * MS_SEC, 2, 0);
  assert_int_equal (w->runs[0], 0);
  w->target_left = 300 * MS_MSEC;
  w->fails[0] = false;
  play (w, 12 * MS_SEC, 2, 0);
  play (w, 4 * MS_SEC, 2, 0);
  assert_true (w->runs[0] > 20);
}

/* Requests that fail wherever they run made the router avoid endpoints that
   work, for seconds, and prefer others for no reason.  If all requests fail,
   no endpoint is singled out for that.  */
static void
test_bad_requests_are_not_held_against_endpoints (void **state)
{
  struct world *w = *state;

  play (w, 20 * MS_SEC, 1, 5);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    assert_true (w->endpoints[i]->error_rate < 0.02);
  play (w, 20 * MS_SEC, 2, 1);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    assert_true (w->runs[i] > 0);
  assert_int_equal (w->lost, 1000);
}

/* Without a request that may be repeated, an endpoint that failed is tried
   again in the end, and a lone endpoint is used whatever it answers.  */
static void
test_failing_endpoint_is_tried_again_without_probes (void **state)
{
  struct world *w = *state;

  w->fails[0] = true;
  play (w, 4 * MS_SEC, 0, 0);
  w->fails[0] = false;
  play (w, 60 * MS_SEC, 0, 0);
  assert_int_equal (w->lost, 0);
  assert_true (w->runs[0] > 0);
  for (unsigned i = 1; i < ENDPOINTS; i++)
    ms_place_remove (w->place, w->endpoints[i]->id);
  w->fails[0] = true;
  play (w, 4 * MS_SEC, 0, 0);
  assert_int_equal (w->runs[0], 200);
}

/* Whether the first endpoint is chosen AFTER the start.  */
static bool
chooses_first (struct world *w, ms_time after)
{
  const struct ms_offer offer = { .service = w->endpoints[0]->entry.service,
                                  .target_left = w->target_left };

  w->now = START + after;
  return choose (w, &offer).endpoint == w->endpoints[0];
}

static void
report (struct world *w, double work_time)
{
  const struct ms_load_report r = { 1, 0, 6, work_time };

  ms_place_note_load (w->endpoints[0], &r, START);
}

/* Requests were sent to endpoints that had just said that they are slow.  A
   report counts less with its age, and not at all when a slow phase that it is
   about has surely ended.  Better a slow endpoint than none.  */
static void
test_slow_endpoint_is_avoided_while_it_is_slow (void **state)
{
  const struct ms_load full = { .running = 9 };
  struct world *w = *state;

  assert_true (chooses_first (w, 0));
  report (w, 250);
  assert_false (chooses_first (w, 0));
  assert_false (chooses_first (w, 500 * MS_MSEC));
  assert_true (chooses_first (w, 600 * MS_MSEC));
  for (unsigned i = 1; i < ENDPOINTS; i++)
    ms_place_add_others (w->place, w->endpoints[i]->id, &full);
  assert_true (chooses_first (w, 0));
  ms_place_clear_others (w->place);
  report (w, 100);
  assert_true (chooses_first (w, 0));
}

/* A restarted endpoint is as fast as usual, reports without a fourth figure
   say nothing of speed, and nothing changes for models or where reports are
   not to be used.  */
static void
test_reports_that_do_not_apply (void **state)
{
  struct world *w = *state;
  struct ms_endpoint_entry entry = w->endpoints[0]->entry;

  report (w, 250);
  entry.born = 2;
  ms_place_put (w->place, &entry, START);
  assert_true (chooses_first (w, 0));
  report (w, -1);
  assert_true (chooses_first (w, 0));
  for (unsigned i = 0; i < 2; i++)
    {
      ms_place_destroy (w->place);
      create_world (w, i ? MODEL : PLAIN, i);
      report (w, 250);
      assert_true (chooses_first (w, 0));
    }
}

#define TEST(test) cmocka_unit_test_setup_teardown (test, setup, teardown)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (test_probes_are_repeatable_requests),
    TEST (test_bad_requests_are_not_held_against_endpoints),
    TEST (test_failing_endpoint_is_tried_again_without_probes),
    TEST (test_slow_endpoint_is_avoided_while_it_is_slow),
    TEST (test_reports_that_do_not_apply),
  };

  return RUN (tests);
}

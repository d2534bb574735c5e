#include "check.h"

#include <stdio.h>

#include "place/place.h"

#define MODEL 11
#define PLAIN 12

static struct ms_service_entry services[]
    = { { .id = MODEL, .model = true, .slots = 100 }, { .id = PLAIN } };
static const struct ms_routes routes
    = { .services = services, .services_count = 2 };

#define START (10 * MS_SEC)

/* A router with two endpoints of SERVICE.  */
static struct ms_place *
create_place (uint64_t service, bool use_reports)
{
  const struct ms_place_options options
      = { .self = 1, .zone = 1, .use_reports = use_reports };
  struct ms_place *place
      = ms_place_create (&options, ms_place_policy ("prefix"));

  ms_place_configure (place, &routes);
  for (unsigned i = 0; i < 2; i++)
    {
      struct ms_endpoint_entry entry
          = { .service = service, .zone = 1, .slots = 6, .born = 1 };

      entry.id.length
          = (size_t)snprintf (entry.id.data, sizeof entry.id.data, "e%u", i);
      ms_place_put (place, &entry, 0);
    }
  return place;
}

static struct ms_choice
choose (struct ms_place *place, uint64_t service, ms_time now)
{
  const struct ms_offer offer = { .service = service,
                                  .prompt_tokens = service == MODEL ? 100 : 0,
                                  .target_left = 300 * MS_MSEC };
  struct ms_choice choice;

  ms_place_choose (place, &offer, now, &choice);
  assert_int_equal (choice.result, MS_PLACED);
  return choice;
}

/* Let the endpoint that is chosen first report WORK_TIME.  Return it.  */
static struct ms_endpoint_state *
report_first (struct ms_place *place, uint64_t service, double work_time)
{
  struct ms_endpoint_state *first = choose (place, service, START).endpoint;
  const struct ms_load_report report = { 1, 0, 6, work_time };

  ms_place_note_load (first, &report, START);
  return first;
}

/* Requests were sent to endpoints that had just said that they are slow.  A
   report counts less with its age, and not at all when a slow phase that it is
   about has surely ended.  */
static void
test_slow_endpoint_is_avoided_while_it_is_slow (void **state)
{
  struct ms_place *place = create_place (PLAIN, true);
  struct ms_endpoint_state *first = report_first (place, PLAIN, 250);
  const struct ms_load_report usual = { 1, 0, 6, 100 };

  (void)state;
  assert_ptr_not_equal (choose (place, PLAIN, START).endpoint, first);
  assert_ptr_not_equal (choose (place, PLAIN, START + 500 * MS_MSEC).endpoint,
                        first);
  assert_ptr_equal (choose (place, PLAIN, START + 600 * MS_MSEC).endpoint,
                    first);
  ms_place_note_load (first, &usual, START);
  assert_ptr_equal (choose (place, PLAIN, START).endpoint, first);
  ms_place_destroy (place);
}

/* An endpoint that is slow now is still better than one with a full queue, and
   its predicted time says by how much it is slow.  */
static void
test_slow_endpoint_takes_what_others_cannot (void **state)
{
  struct ms_place *place = create_place (PLAIN, true);
  struct ms_endpoint_state *first = report_first (place, PLAIN, 250);
  ms_time usual = choose (place, PLAIN, START).fit.expected;
  const struct ms_load full = { .running = 9 };
  struct ms_choice choice;

  (void)state;
  ms_place_add_others (place, choose (place, PLAIN, START).endpoint->id,
                       &full);
  choice = choose (place, PLAIN, START + 300 * MS_MSEC);
  assert_ptr_equal (choice.endpoint, first);
  assert_int_equal (choice.fit.expected, usual * 7 / 4);
  ms_place_destroy (place);
}

/* A restarted endpoint is as fast as usual, reports without a fourth figure
   say nothing of speed, and nothing changes for models or where reports are
   not to be used.  */
static void
test_reports_that_do_not_apply (void **state)
{
  struct ms_place *place = create_place (PLAIN, true);
  struct ms_endpoint_state *first = report_first (place, PLAIN, 250);
  struct ms_endpoint_entry entry = first->entry;

  (void)state;
  entry.born = 2;
  ms_place_put (place, &entry, START);
  assert_ptr_equal (choose (place, PLAIN, START).endpoint, first);
  report_first (place, PLAIN, -1);
  assert_ptr_equal (choose (place, PLAIN, START).endpoint, first);
  ms_place_destroy (place);
  place = create_place (PLAIN, false);
  first = report_first (place, PLAIN, 250);
  assert_ptr_equal (choose (place, PLAIN, START).endpoint, first);
  ms_place_destroy (place);
  place = create_place (MODEL, true);
  first = report_first (place, MODEL, 250);
  assert_ptr_equal (choose (place, MODEL, START).endpoint, first);
  ms_place_destroy (place);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slow_endpoint_is_avoided_while_it_is_slow),
    cmocka_unit_test (test_slow_endpoint_takes_what_others_cannot),
    cmocka_unit_test (test_reports_that_do_not_apply),
  };

  return RUN (tests);
}

#include "check.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/alloc.h"
#include "base/random.h"
#include "place/place.h"

/* Endpoints refuse requests, with or without asking for a pause, while the
   list of endpoints changes.  */

#define SERVICE 11
#define MAX_ROUTERS 295
#define MAX_ENDPOINTS 160
#define BORN 5
#define PAUSE (3 * MS_SEC)
#define STEP (20 * MS_MSEC)

/* After this time a request that was sent before the pause has arrived.  */
#define PAUSE_GRACE (500 * MS_MSEC)

/* Requests that one router may send to an endpoint in the rest of a pause.  */
#define MAX_IN_PAUSE 2

static struct ms_service_entry services[] = { { .id = SERVICE,
                                                .model = true,
                                                .slots = 128,
                                                .memory_tokens = 600000,
                                                .cold_time = 3 * MS_SEC,
                                                .cold_rate = 16 } };
static const struct ms_routes routes
    = { .services = services, .services_count = 1 };

static const struct size
{
  unsigned routers;
  unsigned endpoints;
} sizes[] = { { 9, 18 }, { 90, 80 }, { 295, 160 } };

#define SIZES (sizeof sizes / sizeof *sizes)

static struct ms_endpoint_entry
entry_of (unsigned number, int64_t born)
{
  struct ms_endpoint_entry entry
      = { .service = SERVICE, .zone = 1, .slots = 128, .born = born };

  entry.id.length
      = (size_t)snprintf (entry.id.data, sizeof entry.id.data, "e%u", number);
  return entry;
}

static uint64_t
id_of (unsigned number)
{
  const struct ms_endpoint_entry entry = entry_of (number, BORN);

  return ms_id ((struct ms_str){ entry.id.data, entry.id.length });
}

/* Create the endpoints; all but the first one are loaded.  */
static struct ms_place *
create_place (unsigned endpoints)
{
  const struct ms_load load = { .running = 20 };
  const uint64_t self = 1;
  const struct ms_place_options options
      = { .self = 1, .zone = 1, .cold_burst_factor = 1.5, .cold_slack = 5 };
  struct ms_place *place
      = ms_place_create (&options, ms_place_policy ("prefix"));

  ms_place_configure (place, &routes);
  ms_place_set_routers (place, &self, 1);
  for (unsigned i = 0; i < endpoints; i++)
    {
      const struct ms_endpoint_entry entry = entry_of (i, BORN);

      ms_place_put (place, &entry, 0);
      if (i > 0)
        ms_place_add_others (place, id_of (i), &load);
    }
  return place;
}

/* What the list says of the first endpoint during its pause.  */
enum change
{
  NO_CHANGE,
  REMOVED,      /* It is removed and comes back.  */
  OLDER_START,  /* An entry of an earlier start comes, and goes again.  */
  UNKNOWN_START /* The same for one that names no start.  */
};

static void
change_list (struct ms_place *place, enum change change, ms_time now)
{
  const struct ms_endpoint_entry entry = entry_of (0, BORN);
  const struct ms_endpoint_entry other
      = entry_of (0, change == OLDER_START ? BORN - 1 : 0);

  if (change == NO_CHANGE)
    return;
  if (change == REMOVED)
    ms_place_remove (place, id_of (0));
  else
    ms_place_put (place, &other, now);
  ms_place_put (place, &entry, now + STEP);
}

/* Send one request, which the first endpoint refuses.  Return whether it was
   sent there.  */
static bool
send_request (struct ms_place *place, bool pauses, ms_time now)
{
  const struct ms_offer offer = { .service = SERVICE,
                                  .prompt_tokens = 1000,
                                  .output_tokens = 100,
                                  .target_left = 500 * MS_MSEC };
  struct ms_choice choice;
  struct ms_load load;
  bool refuses;

  ms_place_choose (place, &offer, now, &choice);
  if (choice.result != MS_PLACED)
    return false;
  refuses = choice.endpoint->id == id_of (0);
  ms_place_sent (place, &offer, &choice, &load, now);
  if (refuses && pauses)
    ms_place_pause (place, choice.endpoint, PAUSE, now);
  ms_place_ended (place, choice.endpoint, &load,
                  refuses ? MS_END_REFUSED : MS_END_GOOD, now);
  return refuses;
}

/* Let the routers of each size send to endpoints of which the first one asks
   for a pause, once, while the list changes.  */
static void
check_pause (enum change change)
{
  for (unsigned s = 0; s < SIZES; s++)
    for (unsigned r = 0; r < sizes[s].routers; r++)
      {
        struct ms_place *place = create_place (sizes[s].endpoints);
        ms_time paused_at = 0;
        unsigned in_pause = 0;

        for (ms_time now = MS_SEC; !paused_at || now < paused_at + PAUSE;
             now += STEP)
          {
            bool refused = send_request (place, !paused_at, now);

            if (refused && !paused_at)
              paused_at = now;
            if (!paused_at)
              continue;
            in_pause += refused && now > paused_at + PAUSE_GRACE;
            if (now == paused_at + (1 + r % 4) * PAUSE / 6)
              change_list (place, change, now);
          }
        assert_true (in_pause <= MAX_IN_PAUSE);
        ms_place_destroy (place);
      }
}

static void
test_pause_is_kept (void **state)
{
  (void)state;
  check_pause (NO_CHANGE);
}

static void
test_pause_outlives_the_entry_in_the_list (void **state)
{
  (void)state;
  check_pause (REMOVED);
}

static void
test_pause_outlives_an_entry_of_an_earlier_start (void **state)
{
  (void)state;
  check_pause (OLDER_START);
  check_pause (UNKNOWN_START);
}

/* Guards against a pause that binds the next start of the endpoint.  */
static void
test_pause_ends_with_the_start_that_asked_for_it (void **state)
{
  struct ms_place *place = create_place (1);
  const struct ms_endpoint_entry next = entry_of (0, BORN + 1);

  (void)state;
  assert_true (send_request (place, true, MS_SEC));
  assert_false (send_request (place, true, 2 * MS_SEC));
  ms_place_put (place, &next, 2 * MS_SEC);
  assert_true (send_request (place, true, 3 * MS_SEC));
  ms_place_destroy (place);
}

/* Guards against an endpoint that refuses at once and so looks idle: it gets
   no more requests than each of the others would in turn.  */
static void
test_endpoint_that_refuses_attracts_no_requests (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      unsigned sent = 0;
      unsigned refused = 0;

      for (unsigned r = 0; r < sizes[s].routers; r++)
        {
          struct ms_place *place = create_place (sizes[s].endpoints);

          for (ms_time now = MS_SEC; now < 21 * MS_SEC; now += 2 * STEP)
            {
              ms_place_tick (place, now);
              refused += send_request (place, false, now);
              sent++;
            }
          ms_place_destroy (place);
        }
      print_message ("%u endpoints: %u of %u refused\n", sizes[s].endpoints,
                     refused, sent);
      assert_true (refused <= sent / sizes[s].endpoints);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pause_is_kept),
    cmocka_unit_test (test_pause_outlives_the_entry_in_the_list),
    cmocka_unit_test (test_pause_outlives_an_entry_of_an_earlier_start),
    cmocka_unit_test (test_pause_ends_with_the_start_that_asked_for_it),
    cmocka_unit_test (test_endpoint_that_refuses_attracts_no_requests),
  };

  return RUN (tests);
}

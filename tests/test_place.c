#include "check.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "place/place.h"

#define ZONE_A 1
#define ZONE_B 2
#define MODEL 11
#define PLAIN 12

static struct ms_service_entry kinds[] = { { .id = MODEL,
                                             .model = true,
                                             .slots = 100,
                                             .memory_tokens = 600000,
                                             .tokens_per_event = 6,
                                             .cold_time = 3 * MS_SEC,
                                             .cold_rate = 16 },
                                           { .id = PLAIN } };
static const struct ms_routes routes
    = { .services = kinds, .services_count = 2 };

static const struct ms_prompt_part parts[]
    = { { 101, 500 }, { 102, 5000 }, { 103, 1000 } };

static struct ms_place *
create (void)
{
  const struct ms_place_options options = {
    .self = 1, .zone = ZONE_A, .cold_burst_factor = 1.5, .cold_slack = 5
  };
  struct ms_place *place
      = ms_place_create (&options, ms_place_policy ("prefix"));

  ms_place_configure (place, &routes);
  return place;
}

static struct ms_endpoint_state *
put (struct ms_place *place, unsigned number, uint64_t service, uint64_t zone,
     ms_time cold_for, ms_time now)
{
  struct ms_endpoint_entry entry = { .service = service,
                                     .zone = zone,
                                     .slots = service == MODEL ? 100 : 6,
                                     .cold_for = cold_for };

  entry.id.length
      = (size_t)snprintf (entry.id.data, sizeof entry.id.data, "e%u", number);
  return ms_place_put (place, &entry, now);
}

static struct ms_offer
long_prompt (void)
{
  return (struct ms_offer){ .service = MODEL,
                            .prompt_tokens = 6500,
                            .output_tokens = 300,
                            .parts_count = 3,
                            .parts = parts,
                            .aim_left = 700 * MS_MSEC };
}

/* Choose and send; NULL if there is no place.  */
static struct ms_endpoint_state *
place_one (struct ms_place *place, const struct ms_offer *offer,
           struct ms_load *load, ms_time now)
{
  struct ms_choice choice;

  ms_place_choose (place, offer, now, &choice);
  if (choice.result != MS_PLACED)
    return NULL;
  ms_place_sent (place, offer, &choice, load, now);
  return choice.endpoint;
}

/* Two routers that know nothing of each other send a prompt's shared parts to
   the same endpoint.  */
static void
test_routers_agree_on_a_home (void **state)
{
  struct ms_place *first = create ();
  struct ms_place *second = create ();
  struct ms_offer offer = long_prompt ();
  struct ms_load load;

  (void)state;
  for (unsigned i = 0; i < 18; i++)
    {
      put (first, i, MODEL, ZONE_A, 0, 0);
      put (second, 17 - i, MODEL, ZONE_A, 0, 0);
    }
  assert_int_equal (place_one (first, &offer, &load, MS_SEC)->id,
                    place_one (second, &offer, &load, MS_SEC)->id);
  ms_place_destroy (first);
  ms_place_destroy (second);
}

/* A thousand prompts with few different shared parts: nearly all go where
   their part is kept, and no endpoint gets a tenth of them.  */
static void
test_parts_stay_at_few_endpoints (void **state)
{
  struct ms_place *place = create ();
  unsigned used[18] = { 0 };
  unsigned pairs = 0;
  bool seen[40][18] = { { false } };

  (void)state;
  for (unsigned i = 0; i < 18; i++)
    put (place, i, MODEL, ZONE_A, 0, 0);
  for (unsigned i = 0; i < 1000; i++)
    {
      struct ms_prompt_part own[]
          = { { 1, 500 }, { 1000 + i % 40, 5000 }, { 5000 + i, 1000 } };
      struct ms_offer offer = long_prompt ();
      struct ms_load load;
      struct ms_endpoint_state *e;
      unsigned at;
      ms_time now = MS_SEC + (ms_time)i * 20 * MS_MSEC;

      offer.parts = own;
      e = place_one (place, &offer, &load, now);
      assert_non_null (e);
      sscanf (e->entry.id.data, "e%u", &at);
      used[at]++;
      pairs += !seen[i % 40][at];
      seen[i % 40][at] = true;
      ms_place_began (place, e, &load, 0, 0);
      ms_place_ended (place, e, &load, MS_END_GOOD, now);
    }
  assert_true (pairs <= 80);
  for (unsigned i = 0; i < 18; i++)
    assert_true (used[i] < 250);
  ms_place_destroy (place);
}

/* Requests that a cold endpoint gets from COUNT routers together, each with
   CALLS to place at once.  */
static unsigned
place_at_cold (const uint64_t *ids, unsigned count, unsigned calls)
{
  unsigned total = 0;

  for (unsigned i = 0; i < count; i++)
    {
      const struct ms_place_options options = { .self = ids[i],
                                                .zone = ZONE_A,
                                                .cold_burst_factor = 1.5,
                                                .cold_slack = 5 };
      struct ms_place *place
          = ms_place_create (&options, ms_place_policy ("prefix"));
      struct ms_offer offer = long_prompt ();
      struct ms_load load;

      ms_place_configure (place, &routes);
      ms_place_routers (place, ids, count);
      put (place, 1, MODEL, ZONE_A, 3 * MS_SEC, 0);
      for (unsigned j = 0; j < calls; j++)
        total += place_one (place, &offer, &load, MS_SEC) != NULL;
      ms_place_destroy (place);
    }
  return total;
}

/* The fleet's bound on a cold endpoint holds if all routers use their part. */
static void
test_cold_endpoint_is_spared (void **state)
{
  uint64_t ids[12];
  unsigned total;

  (void)state;
  for (unsigned i = 0; i < 12; i++)
    ids[i] = i + 1;
  total = place_at_cold (ids, 12, 50);
  assert_true (total > 0);
  assert_true (total <= 16 * 1.5 + 5);
}

/* With more routers than a cold endpoint bears requests, some get none.  */
static void
test_cold_bound_holds_for_many_routers (void **state)
{
  uint64_t ids[89];
  unsigned total;

  (void)state;
  for (unsigned i = 0; i < 89; i++)
    ids[i] = ms_id_pair (i, 1);
  total = place_at_cold (ids, 89, 5);
  assert_true (total > 0);
  assert_true (total <= 16 * 1.5 + 5);
}

static void
test_leaving_and_evacuated_get_nothing (void **state)
{
  struct ms_place *place = create ();
  struct ms_endpoint_state *e = put (place, 1, MODEL, ZONE_B, 0, 0);
  struct ms_offer offer = long_prompt ();
  struct ms_choice choice;

  (void)state;
  assert_true (ms_place_may_send (place, e, MS_SEC));
  ms_place_evacuate (place, ZONE_B, true, MS_SEC);
  assert_false (ms_place_may_send (place, e, MS_SEC));
  ms_place_evacuate (place, ZONE_B, false, 2 * MS_SEC);
  /* It may be cold when its zone comes back.  */
  assert_true (e->cold_until > 5 * MS_SEC);
  e->entry.leaving = true;
  ms_place_choose (place, &offer, 9 * MS_SEC, &choice);
  assert_int_equal (choice.result, MS_PLACE_NONE);
  ms_place_destroy (place);
}

/* An endpoint that refuses connections gets one request at a time until one
   succeeds.  */
static void
test_unreachable_endpoint_is_probed (void **state)
{
  struct ms_place *place = create ();
  struct ms_endpoint_state *e = put (place, 1, PLAIN, ZONE_A, 0, 0);
  struct ms_offer offer = { .service = PLAIN, .aim_left = 300 * MS_MSEC };
  struct ms_load load;
  struct ms_load other;

  (void)state;
  place_one (place, &offer, &load, MS_SEC);
  ms_place_ended (place, e, &load, MS_END_UNREACHABLE, MS_SEC);
  assert_null (place_one (place, &offer, &load, MS_SEC + MS_MSEC));
  assert_non_null (place_one (place, &offer, &load, 2 * MS_SEC));
  assert_null (place_one (place, &offer, &other, 2 * MS_SEC));
  ms_place_ended (place, e, &load, MS_END_GOOD, 2 * MS_SEC);
  assert_non_null (place_one (place, &offer, &load, 2 * MS_SEC));
  ms_place_destroy (place);
}

/* What others have sent counts: a prompt that would wait too long is not
   placed, and the caller can be told when there may be room.  */
static void
test_backlog_of_others_counts (void **state)
{
  struct ms_place *place = create ();
  struct ms_endpoint_state *e = put (place, 1, MODEL, ZONE_A, 0, 0);
  const struct ms_load others = { .running = 5, .prefill = 90000 };
  struct ms_offer offer = long_prompt ();
  struct ms_choice choice;

  (void)state;
  ms_place_add_others (place, e->id, &others);
  ms_place_choose (place, &offer, MS_SEC, &choice);
  assert_int_equal (choice.result, MS_PLACE_FULL);
  assert_true (choice.room_in > 0);
  ms_place_clear_others (place);
  ms_place_choose (place, &offer, MS_SEC, &choice);
  assert_int_equal (choice.result, MS_PLACED);
  ms_place_destroy (place);
}

/* Where tokens come too slowly for streams to end in time, fewer requests are
   let run at once.  */
static void
test_limit_follows_the_pace (void **state)
{
  struct ms_place *place = create ();
  struct ms_endpoint_state *e = put (place, 1, MODEL, ZONE_A, 0, 0);
  const struct ms_load others = { .running = 60 };
  double first;

  (void)state;
  for (unsigned i = 0; i < 64; i++)
    ms_place_arrived (place, MODEL, 500, 10 * MS_SEC);
  ms_place_add_others (place, e->id, &others);
  ms_place_tick (place, MS_SEC);
  first = e->limit;
  assert_true (first > 0);
  for (ms_time now = MS_SEC; now < 5 * MS_SEC; now += 100 * MS_MSEC)
    {
      /* 6 tokens in 300 ms, where 500 in 10 s are needed.  */
      ms_place_paced (place, e, 1, 300 * MS_MSEC, now);
      ms_place_tick (place, now);
    }
  assert_true (e->limit < 0.8 * first);
  ms_place_destroy (place);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_routers_agree_on_a_home),
    cmocka_unit_test (test_parts_stay_at_few_endpoints),
    cmocka_unit_test (test_cold_endpoint_is_spared),
    cmocka_unit_test (test_cold_bound_holds_for_many_routers),
    cmocka_unit_test (test_leaving_and_evacuated_get_nothing),
    cmocka_unit_test (test_unreachable_endpoint_is_probed),
    cmocka_unit_test (test_backlog_of_others_counts),
    cmocka_unit_test (test_limit_follows_the_pace),
  };

  return RUN (tests);
}

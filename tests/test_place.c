#include "check.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "place/place.h"

#define ZONE_A 1
#define ZONE_B 2
#define MODEL 11
#define PLAIN 12

static struct ms_service_entry services[] = { { .id = MODEL,
                                                .model = true,
                                                .slots = 100,
                                                .memory_tokens = 600000,
                                                .tokens_per_event = 6,
                                                .cold_time = 3 * MS_SEC,
                                                .cold_rate = 16 },
                                              { .id = PLAIN } };
static const struct ms_routes routes
    = { .services = services, .services_count = 2 };

static const struct ms_prompt_part parts[]
    = { { 101, 500 }, { 102, 5000 }, { 103, 1000 } };

static struct ms_place *
create_place (void)
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
put_endpoint (struct ms_place *place, unsigned number, uint64_t service,
              uint64_t zone, ms_time cold_for, ms_time now)
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
                            .target_left = 700 * MS_MSEC };
}

/* Choose an endpoint for OFFER and record the send, filling LOAD.  Returns the
   endpoint, or NULL if none was chosen.  */
static struct ms_endpoint_state *
choose_and_send (struct ms_place *place, const struct ms_offer *offer,
                 struct ms_load *load, ms_time now)
{
  struct ms_choice choice;

  ms_place_choose (place, offer, now, &choice);
  if (choice.result != MS_PLACED)
    return NULL;
  ms_place_sent (place, offer, &choice, load, now);
  return choice.endpoint;
}

/* Two routers that exchange no digests, and learned of the endpoints in
   different order, send a prompt to the same endpoint.  Otherwise the shared
   parts would be prefilled and cached at several endpoints.  */
static void
test_routers_choose_the_same_home (void **state)
{
  struct ms_place *first = create_place ();
  struct ms_place *second = create_place ();
  struct ms_offer offer = long_prompt ();
  struct ms_load load;

  (void)state;
  for (unsigned i = 0; i < 18; i++)
    {
      put_endpoint (first, i, MODEL, ZONE_A, 0, 0);
      put_endpoint (second, 17 - i, MODEL, ZONE_A, 0, 0);
    }
  assert_int_equal (choose_and_send (first, &offer, &load, MS_SEC)->id,
                    choose_and_send (second, &offer, &load, MS_SEC)->id);
  ms_place_destroy (first);
  ms_place_destroy (second);
}

/* A thousand prompts with 40 different shared parts make at most 80 pairs of
   part and endpoint, so that a part stays at two endpoints on average, and no
   endpoint gets a quarter of the prompts.  */
static void
test_shared_parts_stay_at_few_endpoints (void **state)
{
  struct ms_place *place = create_place ();
  unsigned used[18] = { 0 };
  unsigned pairs = 0; /* Of a shared part and an endpoint that got it.  */
  bool seen[40][18] = { { false } };

  (void)state;
  for (unsigned i = 0; i < 18; i++)
    put_endpoint (place, i, MODEL, ZONE_A, 0, 0);
  for (unsigned i = 0; i < 1000; i++)
    {
      struct ms_prompt_part prompt[]
          = { { 1, 500 }, { 1000 + i % 40, 5000 }, { 5000 + i, 1000 } };
      struct ms_offer offer = long_prompt ();
      struct ms_load load;
      struct ms_endpoint_state *e;
      unsigned index;
      ms_time now = MS_SEC + (ms_time)i * 20 * MS_MSEC;

      offer.parts = prompt;
      e = choose_and_send (place, &offer, &load, now);
      assert_non_null (e);
      sscanf (e->entry.id.data, "e%u", &index);
      used[index]++;
      pairs += !seen[i % 40][index];
      seen[i % 40][index] = true;
      ms_place_began (place, e, &load, 0, 0, MS_SEC);
      ms_place_ended (place, e, &load, MS_END_GOOD, now);
    }
  assert_true (pairs <= 80);
  for (unsigned i = 0; i < 18; i++)
    assert_true (used[i] < 250);
  ms_place_destroy (place);
}

/* Return the number of requests that one cold endpoint gets when each of the
   COUNT routers in IDS has REQUESTS to send at the same time.  */
static unsigned
count_cold_sends (const uint64_t *ids, unsigned count, unsigned requests)
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
      ms_place_set_routers (place, ids, count);
      put_endpoint (place, 1, MODEL, ZONE_A, 3 * MS_SEC, 0);
      for (unsigned j = 0; j < requests; j++)
        total += choose_and_send (place, &offer, &load, MS_SEC) != NULL;
      ms_place_destroy (place);
    }
  return total;
}

/* The rate limit of a cold endpoint, 16 * 1.5 + 5 requests per second, holds
   for all routers together if each uses its whole share.  */
static void
test_cold_bound_holds_for_twelve_routers (void **state)
{
  uint64_t ids[12];
  unsigned total;

  (void)state;
  for (unsigned i = 0; i < 12; i++)
    ids[i] = i + 1;
  total = count_cold_sends (ids, 12, 50);
  assert_true (total > 0);
  assert_true (total <= 16 * 1.5 + 5);
}

/* The rate limit of a cold endpoint also holds with more routers than the
   requests that it allows: some routers send none, since one request from each
   would exceed it.  */
static void
test_cold_bound_holds_for_more_routers_than_requests (void **state)
{
  uint64_t ids[89];
  unsigned total;

  (void)state;
  for (unsigned i = 0; i < 89; i++)
    ids[i] = ms_id_pair (i, 1);
  total = count_cold_sends (ids, 89, 5);
  assert_true (total > 0);
  assert_true (total <= 16 * 1.5 + 5);
}

static void
test_leaving_and_evacuated_endpoints_get_no_request (void **state)
{
  struct ms_place *place = create_place ();
  struct ms_endpoint_state *e = put_endpoint (place, 1, MODEL, ZONE_B, 0, 0);
  struct ms_offer offer = long_prompt ();
  struct ms_choice choice;

  (void)state;
  assert_true (ms_place_may_send (place, e, MS_SEC));
  ms_place_evacuate (place, ZONE_B, true, MS_SEC);
  assert_false (ms_place_may_send (place, e, MS_SEC));
  ms_place_evacuate (place, ZONE_B, false, 2 * MS_SEC);
  /* Its service's cold time is 3 s, and a margin is added.  */
  assert_true (e->cold_until > 5 * MS_SEC);
  e->entry.leaving = true;
  ms_place_choose (place, &offer, 9 * MS_SEC, &choice);
  assert_int_equal (choice.result, MS_PLACE_NONE);
  ms_place_destroy (place);
}

/* The seventeenth evacuated zone went on getting requests.  */
static void
test_any_number_of_zones_can_be_evacuated (void **state)
{
  enum
  {
    ZONES = 40
  };
  struct ms_place *place = create_place ();
  struct ms_endpoint_state *e[ZONES];

  (void)state;
  for (unsigned i = 0; i < ZONES; i++)
    {
      e[i] = put_endpoint (place, i, MODEL, 100 + i, 0, 0);
      ms_place_evacuate (place, 100 + i, true, MS_SEC);
    }
  for (unsigned i = 0; i < ZONES; i++)
    assert_false (ms_place_may_send (place, e[i], MS_SEC));
  for (unsigned i = 0; i < ZONES; i++)
    ms_place_evacuate (place, 100 + i, false, 2 * MS_SEC);
  for (unsigned i = 0; i < ZONES; i++)
    assert_true (ms_place_may_send (place, e[i], 9 * MS_SEC));
  ms_place_destroy (place);
}

/* Guards against requests at an endpoint in the pause that it asked for, and
   against all that waited at once after it.  */
static void
test_endpoint_gets_no_request_in_the_pause_that_it_asked_for (void **state)
{
  static const uint64_t ids[9] = { 1, 2, 3, 4, 5, 6, 7, 8, 9 };
  struct ms_place *place = create_place ();
  struct ms_endpoint_state *e = put_endpoint (place, 1, MODEL, ZONE_A, 0, 0);
  struct ms_offer offer = long_prompt ();
  struct ms_choice choice;
  struct ms_load load;
  unsigned sent = 0;

  (void)state;
  ms_place_set_routers (place, ids, 9);
  ms_place_pause (place, e, 5 * MS_SEC, MS_SEC);
  ms_place_pause (place, e, 1 * MS_SEC, MS_SEC);
  ms_place_choose (place, &offer, 2 * MS_SEC, &choice);
  assert_int_equal (choice.result, MS_PLACE_NONE);
  assert_int_equal (choice.paused_for, 4 * MS_SEC);
  assert_false (ms_place_confirm_send (place, e, 0, 2 * MS_SEC));
  for (unsigned i = 0; i < 20; i++)
    sent += choose_and_send (place, &offer, &load, 6 * MS_SEC) != NULL;
  assert_in_range (sent, 1, 3);
  ms_place_destroy (place);
}

/* Guards against requests at an endpoint that said in an answer that it
   leaves, by an entry of the same start.  */
static void
test_entry_does_not_undo_a_leaving_that_was_said (void **state)
{
  struct ms_place *place = create_place ();
  struct ms_endpoint_entry entry
      = { .id = { 2, "e1" }, .service = MODEL, .zone = ZONE_A, .born = 1700 };
  struct ms_endpoint_state *e = ms_place_put (place, &entry, 0);

  (void)state;
  assert_true (ms_place_may_send (place, e, MS_SEC));
  assert_true (ms_place_note_leaving (place, e->id, 1700, MS_SEC));
  assert_false (ms_place_note_leaving (place, e->id, 1700, MS_SEC));
  assert_false (ms_place_may_send (place, e, MS_SEC));
  assert_false (ms_place_confirm_send (place, e, 0, MS_SEC));
  ms_place_remove (place, e->id);
  entry.zone = ZONE_B;
  e = ms_place_put (place, &entry, 2 * MS_SEC);
  assert_false (ms_place_may_send (place, e, 2 * MS_SEC));
  entry.born = 1800;
  e = ms_place_put (place, &entry, 3 * MS_SEC);
  assert_true (ms_place_may_send (place, e, 3 * MS_SEC));
  entry.leaving = true;
  ms_place_put (place, &entry, 3 * MS_SEC);
  entry.leaving = false;
  ms_place_put (place, &entry, 3 * MS_SEC);
  assert_false (ms_place_may_send (place, e, 3 * MS_SEC));
  entry.born = 1900;
  ms_place_put (place, &entry, 3 * MS_SEC);
  assert_true (ms_place_may_send (place, e, 3 * MS_SEC));
  /* A late answer of its earlier start.  */
  assert_false (ms_place_note_leaving (place, e->id, 1700, 3 * MS_SEC));
  assert_true (ms_place_may_send (place, e, 3 * MS_SEC));
  ms_place_destroy (place);
}

/* Guards against requests at an endpoint that said that it leaves while it was
   taken for the one that had its address before.  */
static void
test_leaving_of_a_misdirected_answer_is_of_the_other_endpoint (void **state)
{
  struct ms_place *place = create_place ();
  struct ms_endpoint_state *gone
      = put_endpoint (place, 1, MODEL, ZONE_A, 0, 0);
  struct ms_endpoint_state *there
      = put_endpoint (place, 2, MODEL, ZONE_A, 0, 0);
  struct ms_endpoint_state *other
      = put_endpoint (place, 3, MODEL, ZONE_A, 0, 0);

  (void)state;
  gone->entry.address.sin_port = there->entry.address.sin_port = 80;
  other->entry.address.sin_port = 81;
  ms_place_note_leaving_at (place, &gone->entry.address, gone->id, MS_SEC);
  assert_true (ms_place_may_send (place, gone, MS_SEC));
  assert_false (ms_place_may_send (place, there, MS_SEC));
  assert_true (ms_place_may_send (place, other, MS_SEC));
  ms_place_destroy (place);
}

/* Guards against a request at an endpoint that left, or whose zone was
   evacuated, while the connection to it was being made.  */
static void
test_endpoint_that_left_while_connecting_gets_no_request (void **state)
{
  struct ms_place *place = create_place ();
  struct ms_endpoint_state *e = put_endpoint (place, 1, MODEL, ZONE_B, 0, 0);
  struct ms_offer offer = long_prompt ();
  struct ms_load load;
  ms_time later = MS_SEC + 300 * MS_MSEC;

  (void)state;
  assert_ptr_equal (choose_and_send (place, &offer, &load, MS_SEC), e);
  assert_true (ms_place_confirm_send (place, e, MS_SEC, later));
  e->entry.leaving = true;
  assert_false (ms_place_confirm_send (place, e, MS_SEC, later));
  e->entry.leaving = false;
  ms_place_evacuate (place, ZONE_B, true, later);
  assert_false (ms_place_confirm_send (place, e, MS_SEC, later));
  ms_place_evacuate (place, ZONE_B, false, later);
  ms_place_hold (e);
  ms_place_remove (place, e->id);
  assert_false (ms_place_confirm_send (place, e, MS_SEC, later));
  ms_place_destroy (place);
}

/* Guards against a flood of a cold endpoint by requests that were placed over
   more than a second and are sent at once, when their connections are made. */
static void
test_cold_limit_counts_from_the_send_on (void **state)
{
  static const uint64_t ids[9] = { 1, 2, 3, 4, 5, 6, 7, 8, 9 };
  struct ms_place *place = create_place ();
  struct ms_offer offer = long_prompt ();
  struct ms_endpoint_state *e;
  struct ms_load loads[3];
  ms_time sent_at = MS_SEC + 400 * MS_MSEC;

  (void)state;
  ms_place_set_routers (place, ids, 9);
  e = put_endpoint (place, 1, MODEL, ZONE_A, 3 * MS_SEC, 0);
  /* The share of a router is two requests.  */
  for (unsigned i = 0; i < 2; i++)
    assert_ptr_equal (choose_and_send (place, &offer, &loads[i], MS_SEC), e);
  for (unsigned i = 0; i < 2; i++)
    assert_true (ms_place_confirm_send (place, e, MS_SEC, sent_at));
  assert_null (
      choose_and_send (place, &offer, &loads[2], sent_at + 800 * MS_MSEC));
  assert_non_null (
      choose_and_send (place, &offer, &loads[2], sent_at + 1200 * MS_MSEC));
  ms_place_destroy (place);
}

/* Guards against a flood of an endpoint that became cold after requests for it
   were placed.  */
static void
test_endpoint_that_became_cold_while_connecting_is_limited (void **state)
{
  static const uint64_t ids[9] = { 1, 2, 3, 4, 5, 6, 7, 8, 9 };
  struct ms_place *place = create_place ();
  struct ms_offer offer = long_prompt ();
  struct ms_endpoint_state *e;
  struct ms_load loads[6];
  unsigned sent = 0;

  (void)state;
  ms_place_set_routers (place, ids, 9);
  e = put_endpoint (place, 1, MODEL, ZONE_A, 0, 0);
  for (unsigned i = 0; i < 6; i++)
    assert_ptr_equal (choose_and_send (place, &offer, &loads[i],
                                       MS_SEC + (ms_time)i * MS_MSEC),
                      e);
  put_endpoint (place, 1, MODEL, ZONE_A, 3 * MS_SEC, MS_SEC);
  for (unsigned i = 0; i < 6; i++)
    sent += ms_place_confirm_send (place, e, MS_SEC + (ms_time)i * MS_MSEC,
                                   MS_SEC + 1200 * MS_MSEC);
  assert_int_equal (sent, 2);
  ms_place_destroy (place);
}

/* An endpoint that could not be reached gets no request during the back-off,
   and then one at a time until one succeeds.  */
static void
test_unreachable_endpoint_gets_one_probe_at_a_time (void **state)
{
  struct ms_place *place = create_place ();
  struct ms_endpoint_state *e = put_endpoint (place, 1, PLAIN, ZONE_A, 0, 0);
  struct ms_offer offer = { .service = PLAIN, .target_left = 300 * MS_MSEC };
  struct ms_load load;
  struct ms_load other;

  (void)state;
  choose_and_send (place, &offer, &load, MS_SEC);
  ms_place_ended (place, e, &load, MS_END_UNREACHABLE, MS_SEC);
  assert_null (choose_and_send (place, &offer, &load, MS_SEC + MS_MSEC));
  assert_non_null (choose_and_send (place, &offer, &load, 2 * MS_SEC));
  assert_null (choose_and_send (place, &offer, &other, 2 * MS_SEC));
  ms_place_ended (place, e, &load, MS_END_GOOD, 2 * MS_SEC);
  assert_non_null (choose_and_send (place, &offer, &load, 2 * MS_SEC));
  ms_place_destroy (place);
}

/* Guards against a flood of an endpoint that has started again under its name
   before the endpoint list tells that it is cold.  */
static void
test_endpoint_that_is_reached_again_is_limited (void **state)
{
  static const uint64_t ids[9] = { 1, 2, 3, 4, 5, 6, 7, 8, 9 };
  struct ms_place *place = create_place ();
  struct ms_endpoint_state *e = put_endpoint (place, 1, MODEL, ZONE_A, 0, 0);
  struct ms_offer offer = long_prompt ();
  struct ms_load loads[12];
  ms_time back = 3 * MS_SEC;
  unsigned sent = 0;

  (void)state;
  ms_place_set_routers (place, ids, 9);
  choose_and_send (place, &offer, &loads[0], MS_SEC);
  ms_place_ended (place, e, &loads[0], MS_END_UNREACHABLE, MS_SEC);
  assert_non_null (choose_and_send (place, &offer, &loads[0], back));
  ms_place_ended (place, e, &loads[0], MS_END_GOOD, back);
  for (unsigned i = 0; i < 6; i++)
    sent += choose_and_send (place, &offer, &loads[i], back + MS_MSEC) != NULL;
  /* The share of a router is two requests; one was the probe.  */
  assert_int_equal (sent, 1);
  for (unsigned i = 6; i < 12; i++)
    sent += choose_and_send (place, &offer, &loads[i], back + MS_SEC) != NULL;
  assert_int_equal (sent, 7);
  ms_place_destroy (place);
}

/* The load of other routers counts: a prompt that would wait too long behind
   their prompts is not placed, and the result says by how much the response
   would be late.  */
static void
test_load_of_other_routers_counts (void **state)
{
  struct ms_place *place = create_place ();
  struct ms_endpoint_state *e = put_endpoint (place, 1, MODEL, ZONE_A, 0, 0);
  const struct ms_load others = { .running = 5, .prefill = 90000 };
  struct ms_offer offer = long_prompt ();
  struct ms_choice choice;

  (void)state;
  ms_place_add_others (place, e->id, &others);
  ms_place_choose (place, &offer, MS_SEC, &choice);
  assert_int_equal (choice.result, MS_PLACE_FULL);
  assert_true (choice.late_by > 0);
  ms_place_clear_others (place);
  ms_place_choose (place, &offer, MS_SEC, &choice);
  assert_int_equal (choice.result, MS_PLACED);
  ms_place_destroy (place);
}

/* The limit of concurrent requests falls while tokens come too slowly for
   streams to end in time.  */
static void
test_limit_shrinks_when_tokens_are_slow (void **state)
{
  struct ms_place *place = create_place ();
  struct ms_endpoint_state *e = put_endpoint (place, 1, MODEL, ZONE_A, 0, 0);
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
      /* An event of 6 tokens each 300 ms, where 500 tokens in 10 s, or 6 in
         120 ms, are needed.  */
      ms_place_note_pace (place, e, 1, 300 * MS_MSEC, now);
      ms_place_tick (place, now);
    }
  assert_true (e->limit < 0.8 * first);
  ms_place_destroy (place);
}

/* An endpoint whose tokens are predicted to come much faster than needed
   starts with most of its slots, one that is predicted to be slow with few. */
static void
test_first_limit_follows_needed_pace (void **state)
{
  static const ms_time times[] = { 20 * MS_SEC, 3 * MS_SEC };
  double limits[2];

  (void)state;
  for (unsigned i = 0; i < 2; i++)
    {
      struct ms_place *place = create_place ();
      struct ms_endpoint_state *e
          = put_endpoint (place, 1, MODEL, ZONE_A, 0, 0);

      for (unsigned j = 0; j < 64; j++)
        ms_place_arrived (place, MODEL, 500, times[i]);
      ms_place_tick (place, MS_SEC);
      limits[i] = e->limit;
      ms_place_destroy (place);
    }
  assert_true (limits[0] >= 60);
  assert_true (limits[1] < 40);
}

/* Fill PLACE, of a router in ZONE, with six endpoints in each zone.  */
static struct ms_place *
create_place_in_zone (uint64_t zone)
{
  const struct ms_place_options options = { .self = zone,
                                            .zone = zone,
                                            .cold_burst_factor = 1.5,
                                            .cold_slack = 5,
                                            .zone_byte_tokens = 0.03 };
  struct ms_place *place
      = ms_place_create (&options, ms_place_policy ("prefix"));

  ms_place_configure (place, &routes);
  for (unsigned i = 0; i < 12; i++)
    put_endpoint (place, i, MODEL, i % 2 ? ZONE_A : ZONE_B, 0, 0);
  return place;
}

/* A prompt with small shared parts and a long response stays in its zone,
   where the prompt has one home; one with large shared parts has the same home
   for the routers of both zones.  */
static void
test_homes_weigh_bytes_against_tokens (void **state)
{
  static const struct ms_prompt_part small[]
      = { { 101, 100 }, { 102, 70 }, { 103, 400 } };
  struct ms_place *a = create_place_in_zone (ZONE_A);
  struct ms_place *b = create_place_in_zone (ZONE_B);
  struct ms_offer offer = { .service = MODEL,
                            .prompt_tokens = 570,
                            .output_tokens = 280,
                            .bytes = 6000,
                            .parts_count = 3,
                            .parts = small,
                            .target_left = 400 * MS_MSEC };
  struct ms_offer large = long_prompt ();
  struct ms_choice in_a;
  struct ms_choice in_b;

  (void)state;
  ms_place_choose (a, &offer, MS_SEC, &in_a);
  ms_place_choose (b, &offer, MS_SEC, &in_b);
  assert_int_equal (in_a.endpoint->entry.zone, ZONE_A);
  assert_int_equal (in_b.endpoint->entry.zone, ZONE_B);
  assert_int_equal (in_a.fit.home, 1);
  assert_int_equal (in_b.fit.home, 1);
  large.bytes = 10000;
  ms_place_choose (a, &large, MS_SEC, &in_a);
  ms_place_choose (b, &large, MS_SEC, &in_b);
  assert_int_equal (in_a.endpoint->id, in_b.endpoint->id);
  ms_place_destroy (a);
  ms_place_destroy (b);
}

/* What a busy zone cannot take in time goes to another zone.  */
static void
test_busy_zone_sends_to_others (void **state)
{
  static const struct ms_prompt_part small[]
      = { { 101, 100 }, { 102, 70 }, { 103, 400 } };
  const struct ms_load busy = { .running = 80, .prefill = 30000 };
  struct ms_place *place = create_place_in_zone (ZONE_A);
  struct ms_offer offer = { .service = MODEL,
                            .prompt_tokens = 570,
                            .output_tokens = 280,
                            .bytes = 6000,
                            .parts_count = 3,
                            .parts = small,
                            .target_left = 400 * MS_MSEC };
  struct ms_choice choice;

  (void)state;
  for (unsigned i = 1; i < 12; i += 2)
    {
      char name[8];

      snprintf (name, sizeof name, "e%u", i);
      ms_place_add_others (place, ms_id (ms_str (name)), &busy);
    }
  ms_place_choose (place, &offer, MS_SEC, &choice);
  assert_int_equal (choice.result, MS_PLACED);
  assert_int_equal (choice.endpoint->entry.zone, ZONE_B);
  ms_place_destroy (place);
}

/* Send a request of PLAIN to an endpoint of PLACE, which answers after TOOK.
   Returns the prediction for it, or -1 if no endpoint was chosen.  */
static ms_time
run_plain_request (struct ms_place *place, ms_time took, ms_time now)
{
  const struct ms_offer offer
      = { .service = PLAIN, .target_left = 90 * MS_MSEC };
  struct ms_choice choice;
  struct ms_load load;

  ms_place_choose (place, &offer, now, &choice);
  if (choice.result != MS_PLACED)
    return -1;
  ms_place_sent (place, &offer, &choice, &load, now);
  ms_place_began (place, choice.endpoint, &load, choice.fit.expected, took,
                  now + took);
  ms_place_ended (place, choice.endpoint, &load, MS_END_GOOD, now + took);
  return choice.fit.expected;
}

/* Endpoints of a plain service that have answered slowly, all of them, still
   get requests: their slots are free, and a late response is better than
   none.  */
static void
test_slow_plain_endpoints_still_get_requests (void **state)
{
  struct ms_place *place = create_place ();

  (void)state;
  for (unsigned i = 0; i < 3; i++)
    put_endpoint (place, i, PLAIN, ZONE_A, 0, 0);
  for (unsigned i = 0; i < 30; i++)
    assert_true (
        run_plain_request (place, 1500 * MS_MSEC, (ms_time)i * 2 * MS_SEC)
        > 0);
  ms_place_destroy (place);
}

/* The response time of a plain service is learned, whether it is below or
   above the one of the options.  */
static void
test_response_time_of_plain_service_is_learned (void **state)
{
  static const ms_time times[] = { 15 * MS_MSEC, 150 * MS_MSEC };

  (void)state;
  for (unsigned j = 0; j < 2; j++)
    {
      struct ms_place *place = create_place ();
      ms_time expected = 0;

      for (unsigned i = 0; i < 3; i++)
        put_endpoint (place, i, PLAIN, ZONE_A, 0, 0);
      for (unsigned i = 0; i < 600; i++)
        expected
            = run_plain_request (place, times[j], (ms_time)i * 200 * MS_MSEC);
      assert_in_range (expected, times[j] * 3 / 4, times[j] * 3 / 2);
      ms_place_destroy (place);
    }
}

/* An endpoint that was slow and is avoided since is tried again.  */
static void
test_slow_endpoint_is_tried_again (void **state)
{
  struct ms_place *place = create_place ();
  struct ms_endpoint_state *slow
      = put_endpoint (place, 1, PLAIN, ZONE_A, 0, 0);
  struct ms_load load = { .running = 0 };
  ms_time now;

  (void)state;
  ms_place_began (place, slow, &load, 50 * MS_MSEC, 2 * MS_SEC, MS_SEC);
  put_endpoint (place, 2, PLAIN, ZONE_A, 0, 0);
  assert_true (slow->slowness > 2);
  for (now = MS_SEC; now < 30 * MS_SEC; now += 100 * MS_MSEC)
    ms_place_tick (place, now);
  assert_true (slow->slowness < 1.1);
  ms_place_destroy (place);
}

/* Guards against whole answers of a model that count as late first tokens,
   which made endpoints of routes without streaming look many times slower.  */
static void
test_whole_answers_of_a_model_do_not_look_slow (void **state)
{
  struct ms_place *place = create_place ();
  struct ms_endpoint_state *e = put_endpoint (place, 1, MODEL, ZONE_A, 0, 0);
  const struct ms_offer offer = long_prompt ();

  (void)state;
  for (unsigned i = 0; i < 20; i++)
    {
      ms_time now = (ms_time)i * 2 * MS_SEC;
      struct ms_load load;

      assert_ptr_equal (choose_and_send (place, &offer, &load, now), e);
      load.whole = true;
      ms_place_began (place, e, &load, 100 * MS_MSEC, 1500 * MS_MSEC,
                      now + 1500 * MS_MSEC);
      ms_place_ended (place, e, &load, MS_END_GOOD, now + 1500 * MS_MSEC);
    }
  assert_true (e->slowness == 1);
  ms_place_destroy (place);
}

static void
test_request_with_a_version_goes_to_that_version_only (void **state)
{
  struct ms_place *place = create_place ();
  struct ms_offer offer = long_prompt ();
  struct ms_choice choice;

  (void)state;
  for (unsigned i = 0; i < 8; i++)
    put_endpoint (place, i, MODEL, ZONE_A, 0, 0)->entry.version = 1 + i % 2;
  offer.version = 2;
  for (unsigned i = 0; i < 20; i++)
    {
      struct ms_load load;

      ms_place_choose (place, &offer, MS_SEC, &choice);
      assert_int_equal (choice.result, MS_PLACED);
      assert_int_equal (choice.endpoint->entry.version, 2);
      assert_int_equal (choice.usable, 4);
      ms_place_sent (place, &offer, &choice, &load, MS_SEC);
    }
  offer.version = 3;
  ms_place_choose (place, &offer, MS_SEC, &choice);
  assert_int_equal (choice.result, MS_PLACE_NONE);
  ms_place_destroy (place);
}

/* Let the first BUSY of 12 endpoints run RUNNING requests each, the others
   FEW, and return the used fraction of the capacity.  */
static double
use_of_busy_endpoints (unsigned busy, unsigned running, unsigned few)
{
  struct ms_place *place = create_place ();
  const struct ms_load load = { .running = running };
  const struct ms_load low = { .running = few };
  double fraction;

  for (unsigned i = 0; i < 12; i++)
    {
      struct ms_endpoint_state *e
          = put_endpoint (place, i, MODEL, ZONE_A, 0, 0);

      ms_place_add_others (place, e->id, i < busy ? &load : &low);
    }
  fraction = ms_place_use (place, MS_SEC).fraction;
  ms_place_destroy (place);
  return fraction;
}

/* Guards against new endpoints that a rollout does not use yet: they made the
   others look less used, so that more was admitted than those could run.  */
static void
test_endpoints_that_a_rollout_does_not_use_are_no_capacity (void **state)
{
  struct ms_place *place = create_place ();
  const struct ms_load load = { .running = 20 };
  double before;

  (void)state;
  for (unsigned i = 0; i < 4; i++)
    ms_place_add_others (
        place, put_endpoint (place, i, MODEL, ZONE_A, 0, 0)->id, &load);
  before = ms_place_use (place, MS_SEC).fraction;
  assert_true (before > 0 && before < 0.9);
  for (unsigned i = 4; i < 8; i++)
    put_endpoint (place, i, MODEL, ZONE_A, 0, 0)->unused = true;
  assert_true (ms_place_use (place, MS_SEC).fraction >= before);
  ms_place_destroy (place);
}

/* Guards against failed endpoints, at which hardly anything runs, that make
   the others look less used than they are.  */
static void
test_endpoints_that_failed_unseen_are_little_capacity (void **state)
{
  double all = use_of_busy_endpoints (12, 70, 0);

  (void)state;
  assert_true (use_of_busy_endpoints (9, 70, 0) > 0.9 * all);
  assert_true (use_of_busy_endpoints (9, 70, 2) > 0.9 * all);
  /* In a calm fleet such an endpoint is free.  */
  assert_true (use_of_busy_endpoints (6, 5, 0)
               < 0.6 * use_of_busy_endpoints (12, 5, 0));
}

/* Guards against requests at a version that the fleet keeps them from, at one
   that is held, or outside of the endpoints that a canary uses.  */
static void
test_offers_keep_to_their_versions (void **state)
{
  struct ms_place *place = create_place ();
  struct ms_offer offer = long_prompt ();
  struct ms_choice choice;
  ms_time now = MS_SEC;

  (void)state;
  for (unsigned i = 0; i < 12; i++)
    {
      struct ms_endpoint_state *e
          = put_endpoint (place, i, MODEL, ZONE_A, 0, 0);

      e->entry.version = 1 + i % 3;
      e->in_canary = i == 4;
      e->held = i % 3 == 2;
    }
  for (unsigned i = 0; i < 40; i++)
    {
      struct ms_load load;

      offer.except[2] = 1 + i % 2;
      ms_place_choose (place, &offer, now, &choice);
      assert_int_equal (choice.usable, 4);
      assert_int_equal (choice.endpoint->entry.version, 2 - i % 2);
      ms_place_sent (place, &offer, &choice, &load, now);
    }
  offer.except[0] = 2;
  offer.except[2] = 1;
  ms_place_choose (place, &offer, now, &choice);
  assert_int_equal (choice.result, MS_PLACE_NONE);
  memset (offer.except, 0, sizeof offer.except);
  offer.version = 2;
  offer.canary = true;
  ms_place_choose (place, &offer, now, &choice);
  assert_int_equal (choice.usable, 1);
  assert_string_equal (choice.endpoint->entry.id.data, "e4");
  offer.canary = false;
  offer.version = 3;
  ms_place_choose (place, &offer, now, &choice);
  assert_int_equal (choice.result, MS_PLACE_NONE);
  ms_place_destroy (place);
}

/* Guards against a good version that looks slow since its endpoints have to
   read shared parts for the first time, and against a slow one that looks good
   since routers know it to be slow.  */
static void
test_usual_time_is_of_an_endpoint_with_an_empty_cache (void **state)
{
  struct ms_place *place = create_place ();
  struct ms_offer offer = long_prompt ();
  struct ms_choice assumed, fresh, sent;
  struct ms_load load;
  struct ms_endpoint_state *e = put_endpoint (place, 1, MODEL, ZONE_A, 0, 0);

  (void)state;
  e->entry.version = 2;
  ms_place_choose (place, &offer, MS_SEC, &assumed);
  offer.fresh = 2;
  ms_place_choose (place, &offer, MS_SEC, &fresh);
  /* 5500 tokens of shared parts at 100 a ms.  */
  assert_int_equal (fresh.fit.usual, assumed.fit.usual + 55 * MS_MSEC);
  assert_int_equal (fresh.fit.expected, assumed.fit.expected);
  ms_place_sent (place, &offer, &fresh, &load, MS_SEC);
  ms_place_ended (place, e, &load, MS_END_GOOD, MS_SEC);
  ms_place_choose (place, &offer, 2 * MS_SEC, &sent);
  assert_int_equal (sent.fit.usual, assumed.fit.usual);
  e->slowness = 3;
  ms_place_choose (place, &offer, 2 * MS_SEC, &sent);
  assert_int_equal (sent.fit.usual, assumed.fit.usual);
  assert_int_equal (sent.fit.expected, 3 * assumed.fit.expected);
  ms_place_destroy (place);
}

static uint64_t
mark (const void *context, uint64_t service, uint64_t id)
{
  return ms_id_pair (service + *(const uint64_t *)context, id);
}

/* Return which endpoints, as bits, of version 2 a canary of SIZE uses, at a
   router that learns of them in an order that depends on FIRST.  Those with
   bits in DOWN are not usable.  */
static unsigned
canary_of (unsigned size, unsigned first, unsigned down)
{
  static const uint64_t order = 77;
  const struct ms_canary canary = { .service = MODEL,
                                    .version = 2,
                                    .size = size,
                                    .mark = mark,
                                    .context = &order };
  struct ms_place *place = create_place ();
  unsigned used = 0;

  for (unsigned i = 0; i < 24; i++)
    {
      unsigned n = (first + i) % 24;
      struct ms_endpoint_state *e
          = put_endpoint (place, n, MODEL, n % 4 < 2 ? ZONE_A : ZONE_B, 0, 0);

      e->entry.version = 1 + n % 2;
      e->entry.leaving = down >> n & 1;
      e->in_canary = true;
    }
  ms_place_set_canary (place, &canary, MS_SEC);
  for (unsigned n = 0; n < 24; n++)
    {
      char name[8];

      snprintf (name, sizeof name, "e%u", n);
      if (ms_place_find (place, ms_id (ms_str (name)))->in_canary && n % 2)
        used |= 1u << n;
    }
  ms_place_destroy (place);
  return used;
}

/* Guards against routers that each use other endpoints for the canary, so that
   none has the load under which a fault shows, and against one zone that has
   all of them.  */
static void
test_routers_use_the_same_endpoints_for_a_canary (void **state)
{
  /* Endpoints of version 2 are 1, 3 and so on; those of zone B 3, 7...  */
  const unsigned zone_b = 0x888888;
  const unsigned all = 0xaaaaaa;
  unsigned four = canary_of (4, 0, 0);
  unsigned one = 1u << __builtin_ctz (four);

  (void)state;
  assert_int_equal (__builtin_popcount (four), 4);
  assert_int_equal (__builtin_popcount (four & zone_b), 2);
  assert_int_equal (canary_of (4, 13, 0), four);
  assert_int_equal (__builtin_popcount (canary_of (4, 0, one)), 4);
  /* Only the one that has gone is replaced.  */
  assert_int_equal (__builtin_popcount (canary_of (4, 0, one) & four), 3);
  assert_int_equal (canary_of (0, 0, one), all);
  assert_int_equal (canary_of (40, 0, one), all & ~one);
}

static void
test_use_of_versions_is_counted (void **state)
{
  struct ms_place *place = create_place ();
  const struct ms_load others = { .running = 5 };
  struct ms_version_use use;

  (void)state;
  for (unsigned i = 0; i < 6; i++)
    {
      struct ms_endpoint_state *e
          = put_endpoint (place, i, MODEL, ZONE_A, 0, 0);

      e->entry.version = 1 + i % 2;
      e->own.running = i;
      ms_place_add_others (place, e->id, &others);
    }
  ms_place_find (place, ms_id (ms_str ("e1")))->entry.leaving = true;
  ms_place_hold (ms_place_find (place, ms_id (ms_str ("e2"))));
  ms_place_remove (place, ms_id (ms_str ("e2")));
  use = ms_place_version_use (place, MODEL, 2, MS_SEC);
  assert_int_equal (use.usable, 2);
  assert_int_equal (use.others, 2);
  /* One that the list lacks may still run requests.  */
  assert_int_equal (use.running_here, 6);
  assert_int_equal (use.running_elsewhere, 15);
  ms_place_destroy (place);
}

/* An endpoint that is cold, or has just started, must not make its version
   look slow.  */
static void
test_endpoint_is_warming_for_a_while (void **state)
{
  struct ms_place *place = create_place ();
  struct ms_endpoint_state *e
      = put_endpoint (place, 1, MODEL, ZONE_A, 2 * MS_SEC, MS_SEC);

  (void)state;
  assert_true (ms_place_is_warming (place, e, MS_SEC));
  assert_true (ms_place_is_warming (place, e, 3 * MS_SEC + MS_SEC / 2));
  assert_false (ms_place_is_warming (place, e, 4 * MS_SEC));
  put_endpoint (place, 1, MODEL, ZONE_A, 0, 5 * MS_SEC);
  assert_false (ms_place_is_warming (place, e, 5 * MS_SEC));
  e->entry.born = 7;
  put_endpoint (place, 1, MODEL, ZONE_A, 0, 6 * MS_SEC);
  assert_true (ms_place_is_warming (place, e, 6 * MS_SEC));
  ms_place_destroy (place);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_routers_choose_the_same_home),
    cmocka_unit_test (test_shared_parts_stay_at_few_endpoints),
    cmocka_unit_test (test_cold_bound_holds_for_twelve_routers),
    cmocka_unit_test (test_cold_bound_holds_for_more_routers_than_requests),
    cmocka_unit_test (test_leaving_and_evacuated_endpoints_get_no_request),
    cmocka_unit_test (test_any_number_of_zones_can_be_evacuated),
    cmocka_unit_test (
        test_endpoint_gets_no_request_in_the_pause_that_it_asked_for),
    cmocka_unit_test (test_entry_does_not_undo_a_leaving_that_was_said),
    cmocka_unit_test (
        test_leaving_of_a_misdirected_answer_is_of_the_other_endpoint),
    cmocka_unit_test (
        test_endpoint_that_left_while_connecting_gets_no_request),
    cmocka_unit_test (test_cold_limit_counts_from_the_send_on),
    cmocka_unit_test (
        test_endpoint_that_became_cold_while_connecting_is_limited),
    cmocka_unit_test (test_unreachable_endpoint_gets_one_probe_at_a_time),
    cmocka_unit_test (test_endpoint_that_is_reached_again_is_limited),
    cmocka_unit_test (test_load_of_other_routers_counts),
    cmocka_unit_test (test_limit_shrinks_when_tokens_are_slow),
    cmocka_unit_test (test_first_limit_follows_needed_pace),
    cmocka_unit_test (test_homes_weigh_bytes_against_tokens),
    cmocka_unit_test (test_busy_zone_sends_to_others),
    cmocka_unit_test (test_slow_plain_endpoints_still_get_requests),
    cmocka_unit_test (test_response_time_of_plain_service_is_learned),
    cmocka_unit_test (test_slow_endpoint_is_tried_again),
    cmocka_unit_test (test_request_with_a_version_goes_to_that_version_only),
    cmocka_unit_test (
        test_endpoints_that_a_rollout_does_not_use_are_no_capacity),
    cmocka_unit_test (test_endpoints_that_failed_unseen_are_little_capacity),
    cmocka_unit_test (test_offers_keep_to_their_versions),
    cmocka_unit_test (test_usual_time_is_of_an_endpoint_with_an_empty_cache),
    cmocka_unit_test (test_routers_use_the_same_endpoints_for_a_canary),
    cmocka_unit_test (test_use_of_versions_is_counted),
    cmocka_unit_test (test_endpoint_is_warming_for_a_while),
    cmocka_unit_test (test_whole_answers_of_a_model_do_not_look_slow),
  };

  return RUN (tests);
}

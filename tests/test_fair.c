#include "check.h"

#include "fair/fair.h"

/* The router under test, and two others.  */
enum
{
  SELF = 1,
  OTHER = 9,
  THIRD = 8
};

enum
{
  TEAM_A = 1,
  TEAM_B = 2,
  TEAM_C = 3
};

/* The index, 0 for TEAM_A or 1 for TEAM_B, that POLICY picks when both wait,
   TEAM_B for longer.  */
static size_t
pick (struct ms_fair *fair, enum ms_policy_name policy)
{
  const struct ms_candidate candidates[] = { { TEAM_A, 10 }, { TEAM_B, 5 } };

  return ms_policy (policy)->pick (fair, candidates, 2);
}

static void
test_lowest_counter_is_picked (void **state)
{
  struct ms_fair *fair = ms_fair_create (SELF, 1);

  (void)state;
  ms_fair_charge (fair, TEAM_A, 10);
  assert_int_equal (pick (fair, MS_POLICY_FAIR), 1);
  ms_fair_charge (fair, TEAM_B, 30);
  assert_int_equal (pick (fair, MS_POLICY_FAIR), 0);
  ms_fair_destroy (fair);
}

static void
test_weight_divides_counter (void **state)
{
  struct ms_fair *fair = ms_fair_create (SELF, 1);

  (void)state;
  ms_fair_set_weight (fair, TEAM_A, 4);
  ms_fair_charge (fair, TEAM_A, 30);
  ms_fair_charge (fair, TEAM_B, 10);
  assert_int_equal (pick (fair, MS_POLICY_FAIR), 0);
  ms_fair_destroy (fair);
}

static void
test_counter_is_raised_after_pause (void **state)
{
  struct ms_fair *fair = ms_fair_create (SELF, 1);

  (void)state;
  ms_fair_note_waiting (fair, TEAM_A, 0);
  ms_fair_charge (fair, TEAM_A, 1000);
  ms_fair_note_waiting (fair, TEAM_A, 10 * MS_SEC);
  ms_fair_note_waiting (fair, TEAM_B, 10 * MS_SEC);
  assert_true (ms_fair_counter (fair, TEAM_B) >= 1000);
  ms_fair_destroy (fair);
}

static void
test_short_pause_keeps_counter (void **state)
{
  struct ms_fair *fair = ms_fair_create (SELF, 1);

  (void)state;
  ms_fair_note_waiting (fair, TEAM_A, 0);
  ms_fair_note_waiting (fair, TEAM_B, 0);
  ms_fair_charge (fair, TEAM_A, 500);
  ms_fair_note_waiting (fair, TEAM_A, 1 * MS_SEC);
  ms_fair_note_waiting (fair, TEAM_B, 1 * MS_SEC);
  assert_true (ms_fair_counter (fair, TEAM_B) < 1);
  ms_fair_destroy (fair);
}

static void
test_totals_of_other_routers_count (void **state)
{
  struct ms_fair *fair = ms_fair_create (SELF, 1);
  const struct ms_total totals[] = { { TEAM_A, 700 } };

  (void)state;
  ms_fair_merge (fair, OTHER, 1, 100, totals, 1);
  assert_int_equal (pick (fair, MS_POLICY_FAIR), 1);
  ms_fair_destroy (fair);
}

static void
test_older_totals_are_ignored (void **state)
{
  struct ms_fair *fair = ms_fair_create (SELF, 1);
  const struct ms_total newer[] = { { TEAM_A, 700 } };
  const struct ms_total older[] = { { TEAM_A, 200 } };

  (void)state;
  ms_fair_merge (fair, OTHER, 1, 100, newer, 1);
  ms_fair_merge (fair, OTHER, 1, 50, older, 1);
  assert_true (ms_fair_counter (fair, TEAM_A) == 700);
  ms_fair_destroy (fair);
}

static void
test_ended_incarnation_still_counts (void **state)
{
  struct ms_fair *fair = ms_fair_create (SELF, 1);
  const struct ms_total before[] = { { TEAM_A, 700 } };
  const struct ms_total after[] = { { TEAM_A, 10 } };

  (void)state;
  ms_fair_merge (fair, OTHER, 1, 100, before, 1);
  ms_fair_merge (fair, OTHER, 2, 5, after, 1);
  assert_true (ms_fair_counter (fair, TEAM_A) == 710);
  ms_fair_destroy (fair);
}

/* Without the prediction, all routers serve the same team until the next
   totals arrive.  Here two other routers are predicted to have charged as much
   as this one since the mark before the last.  */
static void
test_charges_of_others_are_predicted (void **state)
{
  struct ms_fair *fair = ms_fair_create (SELF, 1);
  const struct ms_total totals[] = { { TEAM_A, 0 } };

  (void)state;
  ms_fair_merge (fair, THIRD, 1, 100, totals, 1);
  ms_fair_merge (fair, OTHER, 1, 100, totals, 1);
  ms_fair_charge (fair, TEAM_B, 50);
  assert_true (ms_fair_counter (fair, TEAM_B) == 150);
  ms_fair_mark (fair);
  ms_fair_mark (fair);
  assert_true (ms_fair_counter (fair, TEAM_B) == 50);
  ms_fair_destroy (fair);
}

static void
test_only_recent_totals_are_shared (void **state)
{
  struct ms_fair *fair = ms_fair_create (SELF, 1);
  struct ms_total totals[4];

  (void)state;
  ms_fair_note_waiting (fair, TEAM_A, 0);
  ms_fair_charge (fair, TEAM_A, 50);
  ms_fair_mark (fair);
  ms_fair_mark (fair);
  assert_int_equal (ms_fair_own_totals (fair, MS_SEC, totals, 4), 1);
  assert_int_equal (ms_fair_own_totals (fair, 60 * MS_SEC, totals, 4), 0);
  ms_fair_charge (fair, TEAM_A, 5);
  assert_int_equal (ms_fair_own_totals (fair, 60 * MS_SEC, totals, 4), 1);
  assert_int_equal (totals[0].units, 55);
  ms_fair_destroy (fair);
}

static void
test_estimate_follows_true_cost (void **state)
{
  struct ms_fair *fair = ms_fair_create (SELF, 1);

  (void)state;
  assert_int_equal (ms_fair_estimate (fair, TEAM_A, 40), 40);
  ms_fair_learn (fair, TEAM_A, 200);
  assert_true (ms_fair_estimate (fair, TEAM_A, 40) >= 200);
  assert_true (ms_fair_estimate (fair, TEAM_C, 40) >= 200);
  ms_fair_destroy (fair);
}

static void
test_first_come_ignores_counters (void **state)
{
  struct ms_fair *fair = ms_fair_create (SELF, 1);

  (void)state;
  ms_fair_charge (fair, TEAM_B, 1000);
  assert_int_equal (pick (fair, MS_POLICY_FIRST_COME), 1);
  ms_fair_destroy (fair);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lowest_counter_is_picked),
    cmocka_unit_test (test_weight_divides_counter),
    cmocka_unit_test (test_counter_is_raised_after_pause),
    cmocka_unit_test (test_short_pause_keeps_counter),
    cmocka_unit_test (test_totals_of_other_routers_count),
    cmocka_unit_test (test_older_totals_are_ignored),
    cmocka_unit_test (test_ended_incarnation_still_counts),
    cmocka_unit_test (test_charges_of_others_are_predicted),
    cmocka_unit_test (test_only_recent_totals_are_shared),
    cmocka_unit_test (test_estimate_follows_true_cost),
    cmocka_unit_test (test_first_come_ignores_counters),
  };

  return RUN (tests);
}

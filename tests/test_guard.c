#include "check.h"

#include "guard/guard.h"

#define POISON 77

static void
test_two_deaths_are_quarantined (void **state)
{
  struct ms_guard *guard = ms_guard_create ();

  (void)state;
  assert_int_equal (ms_guard_check (guard, POISON, 0), MS_CLEAR);
  assert_int_equal (ms_guard_death (guard, POISON, 1, 0), 1);
  assert_int_equal (ms_guard_check (guard, POISON, 0), MS_SUSPECT);
  assert_int_equal (ms_guard_death (guard, POISON, 2, 5 * MS_SEC), 2);
  assert_int_equal (ms_guard_check (guard, POISON, 5 * MS_SEC),
                    MS_QUARANTINED);
  ms_guard_destroy (guard);
}

static void
test_success_clears_a_suspect_only (void **state)
{
  struct ms_guard *guard = ms_guard_create ();

  (void)state;
  ms_guard_death (guard, POISON, 1, 0);
  assert_true (ms_guard_success (guard, POISON));
  assert_int_equal (ms_guard_check (guard, POISON, 0), MS_CLEAR);
  ms_guard_told (guard, POISON, 2, false, 0);
  assert_false (ms_guard_success (guard, POISON));
  assert_int_equal (ms_guard_check (guard, POISON, 0), MS_QUARANTINED);
  ms_guard_destroy (guard);
}

static void
test_many_endpoints_at_once_mark_nobody (void **state)
{
  struct ms_guard *guard = ms_guard_create ();

  (void)state;
  ms_guard_death (guard, 1, 11, 0);
  ms_guard_death (guard, 2, 12, 1000);
  assert_int_equal (ms_guard_death (guard, 3, 13, 2000), 0);
  assert_int_equal (ms_guard_check (guard, 3, 2000), MS_CLEAR);
  ms_guard_destroy (guard);
}

static void
test_unproved_death_counts_with_the_next (void **state)
{
  struct ms_guard *guard = ms_guard_create ();

  (void)state;
  ms_guard_death (guard, 1, 11, 0);
  ms_guard_death (guard, 2, 12, 1000);
  assert_int_equal (ms_guard_death (guard, POISON, 13, 2000), 0);
  assert_int_equal (ms_guard_death (guard, POISON, 14, 3000), 2);
  assert_int_equal (ms_guard_check (guard, POISON, 3000), MS_QUARANTINED);
  ms_guard_told (guard, 5, 0, false, 3000);
  assert_int_equal (ms_guard_check (guard, 5, 3000), MS_CLEAR);
  assert_int_equal (ms_guard_death (guard, 5, 15, 9 * MS_SEC), 2);
  ms_guard_destroy (guard);
}

static void
test_batch_on_one_endpoint_marks_all (void **state)
{
  struct ms_guard *guard = ms_guard_create ();

  (void)state;
  for (uint64_t f = 1; f <= 5; f++)
    assert_int_equal (ms_guard_death (guard, f, 11, 0), 1);
  ms_guard_destroy (guard);
}

static void
test_quarantine_ends (void **state)
{
  struct ms_guard *guard = ms_guard_create ();

  (void)state;
  ms_guard_told (guard, POISON, 2, false, 0);
  assert_int_equal (ms_guard_check (guard, POISON, 3600 * MS_SEC), MS_CLEAR);
  ms_guard_tick (guard, 3600 * MS_SEC);
  assert_int_equal (ms_guard_check (guard, POISON, 0), MS_CLEAR);
  ms_guard_destroy (guard);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_two_deaths_are_quarantined),
    cmocka_unit_test (test_success_clears_a_suspect_only),
    cmocka_unit_test (test_many_endpoints_at_once_mark_nobody),
    cmocka_unit_test (test_unproved_death_counts_with_the_next),
    cmocka_unit_test (test_batch_on_one_endpoint_marks_all),
    cmocka_unit_test (test_quarantine_ends),
  };

  return RUN (tests);
}

#include "check.h"

#include "guard/guard.h"

/* Fingerprint of a request that crashes endpoints.  */
#define CRASHING 77

/* Guards against a request that crashes one endpoint after the other.  */
static void
test_second_death_quarantines (void **state)
{
  struct ms_guard *guard = ms_guard_create ();

  (void)state;
  assert_int_equal (ms_guard_check (guard, CRASHING, 0), MS_CLEAR);
  assert_int_equal (ms_guard_death (guard, CRASHING, 1, 0), 1);
  assert_int_equal (ms_guard_check (guard, CRASHING, 0), MS_SUSPECT);
  assert_int_equal (ms_guard_death (guard, CRASHING, 2, 5 * MS_SEC), 2);
  assert_int_equal (ms_guard_check (guard, CRASHING, 5 * MS_SEC),
                    MS_QUARANTINED);
  ms_guard_destroy (guard);
}

/* A request that completes is no longer suspect, but one that is quarantined
   stays so.  */
static void
test_success_clears_only_a_suspect (void **state)
{
  struct ms_guard *guard = ms_guard_create ();

  (void)state;
  ms_guard_death (guard, CRASHING, 1, 0);
  assert_true (ms_guard_success (guard, CRASHING));
  assert_int_equal (ms_guard_check (guard, CRASHING, 0), MS_CLEAR);
  ms_guard_merge (guard, CRASHING, 2, false, 0);
  assert_false (ms_guard_success (guard, CRASHING));
  assert_int_equal (ms_guard_check (guard, CRASHING, 0), MS_QUARANTINED);
  ms_guard_destroy (guard);
}

/* If three endpoints die within a second, the request on the third is not
   blamed: no single request can be the cause.  */
static void
test_wide_failure_makes_no_suspect (void **state)
{
  struct ms_guard *guard = ms_guard_create ();

  (void)state;
  ms_guard_death (guard, 1, 11, 0);
  ms_guard_death (guard, 2, 12, 1000);
  assert_int_equal (ms_guard_death (guard, 3, 13, 2000), 0);
  assert_int_equal (ms_guard_check (guard, 3, 2000), MS_CLEAR);
  ms_guard_destroy (guard);
}

/* A death in a wide failure counts once another endpoint dies while running
   the request, also if a peer reported the first death.  */
static void
test_unconfirmed_death_counts_after_next (void **state)
{
  struct ms_guard *guard = ms_guard_create ();

  (void)state;
  ms_guard_death (guard, 1, 11, 0);
  ms_guard_death (guard, 2, 12, 1000);
  assert_int_equal (ms_guard_death (guard, CRASHING, 13, 2000), 0);
  assert_int_equal (ms_guard_death (guard, CRASHING, 14, 3000), 2);
  assert_int_equal (ms_guard_check (guard, CRASHING, 3000), MS_QUARANTINED);
  ms_guard_merge (guard, 5, 0, false, 3000);
  assert_int_equal (ms_guard_check (guard, 5, 3000), MS_CLEAR);
  assert_int_equal (ms_guard_death (guard, 5, 15, 9 * MS_SEC), 2);
  ms_guard_destroy (guard);
}

/* Five requests that run on one endpoint when it dies are all suspects: the
   endpoint counts once.  */
static void
test_batch_on_one_endpoint_is_no_wide_failure (void **state)
{
  struct ms_guard *guard = ms_guard_create ();

  (void)state;
  for (uint64_t f = 1; f <= 5; f++)
    assert_int_equal (ms_guard_death (guard, f, 11, 0), 1);
  ms_guard_destroy (guard);
}

static void
test_quarantine_expires (void **state)
{
  struct ms_guard *guard = ms_guard_create ();

  (void)state;
  ms_guard_merge (guard, CRASHING, 2, false, 0);
  assert_int_equal (ms_guard_check (guard, CRASHING, 3600 * MS_SEC), MS_CLEAR);
  ms_guard_tick (guard, 3600 * MS_SEC);
  /* At time 0 the record would still count if it had not been removed.  */
  assert_int_equal (ms_guard_check (guard, CRASHING, 0), MS_CLEAR);
  ms_guard_destroy (guard);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_second_death_quarantines),
    cmocka_unit_test (test_success_clears_only_a_suspect),
    cmocka_unit_test (test_wide_failure_makes_no_suspect),
    cmocka_unit_test (test_unconfirmed_death_counts_after_next),
    cmocka_unit_test (test_batch_on_one_endpoint_is_no_wide_failure),
    cmocka_unit_test (test_quarantine_expires),
  };

  return RUN (tests);
}

#include "check.h"

#include "guard/crashes.h"

/* Guards against crashes by harmful requests that count as failures of the
   version whose endpoint ran them.  */

static struct ms_rollout_answer
failure (uint64_t route)
{
  return (struct ms_rollout_answer){ .route = route, .failed = true };
}

/* Release what is due at NOW and return how many failures that were.  */
static unsigned
release (struct ms_crashes *crashes, ms_time now)
{
  struct ms_rollout_answer answer;
  unsigned count = 0;

  while (ms_crashes_release (crashes, &answer, now))
    {
      assert_true (answer.failed);
      count++;
    }
  return count;
}

/* A version that crashes by itself must still be found bad, within a second
   more than without the delay.  */
static void
test_failures_count_once_they_were_held (void **state)
{
  struct ms_crashes *crashes = ms_crashes_create ();
  struct ms_rollout_answer answer = failure (1);

  (void)state;
  for (unsigned i = 0; i < 5; i++)
    assert_true (ms_crashes_hold (crashes, 10, &answer, MS_SEC + i * MS_MSEC));
  assert_int_equal (release (crashes, MS_SEC + MS_CRASH_HOLD - 1), 0);
  assert_int_equal (release (crashes, MS_SEC + MS_CRASH_HOLD), 1);
  assert_int_equal (release (crashes, 2 * MS_SEC + MS_CRASH_HOLD), 4);
  assert_int_equal (release (crashes, 9 * MS_SEC), 0);
  ms_crashes_destroy (crashes);
}

/* All requests that ran beside a harmful one break, some before and some after
   that one has proved harmful.  */
static void
test_failures_beside_a_harmful_request_do_not_count (void **state)
{
  struct ms_crashes *crashes = ms_crashes_create ();
  struct ms_rollout_answer answer = failure (1);

  (void)state;
  for (unsigned i = 0; i < 8; i++)
    ms_crashes_hold (crashes, 10, &answer, MS_SEC);
  ms_crashes_hold (crashes, 11, &answer, MS_SEC);
  ms_crashes_drop (crashes, 10, MS_SEC + 300 * MS_MSEC);
  ms_crashes_hold (crashes, 10, &answer, MS_SEC + 301 * MS_MSEC);
  /* Only that of the other endpoint.  */
  assert_int_equal (release (crashes, 5 * MS_SEC), 1);
  ms_crashes_destroy (crashes);
}

/* A drop holds for one crash, and an unknown start is none.  */
static void
test_later_crashes_count (void **state)
{
  struct ms_crashes *crashes = ms_crashes_create ();
  struct ms_rollout_answer answer = failure (1);

  (void)state;
  ms_crashes_drop (crashes, 10, MS_SEC);
  ms_crashes_hold (crashes, 10, &answer, MS_SEC + MS_CRASH_HOLD);
  ms_crashes_drop (crashes, 0, MS_SEC);
  assert_int_equal (release (crashes, 5 * MS_SEC), 1);
  ms_crashes_destroy (crashes);
}

/* Without room failures count at once instead of being lost.  */
static void
test_refuses_what_it_has_no_room_for (void **state)
{
  struct ms_crashes *crashes = ms_crashes_create ();
  struct ms_rollout_answer answer = failure (1);
  unsigned held = 0;

  (void)state;
  while (ms_crashes_hold (crashes, 10, &answer, MS_SEC))
    held++;
  assert_true (held >= 100);
  assert_int_equal (release (crashes, 5 * MS_SEC), held);
  ms_crashes_destroy (crashes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_failures_count_once_they_were_held),
    cmocka_unit_test (test_failures_beside_a_harmful_request_do_not_count),
    cmocka_unit_test (test_later_crashes_count),
    cmocka_unit_test (test_refuses_what_it_has_no_room_for),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

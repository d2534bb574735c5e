#include "check.h"

#include "dispatch/limit.h"

#define UNIT (10 * MS_MSEC)
#define NOW (100 * MS_SEC)

static void
test_grows_only_near_the_usual_pace (void **state)
{
  struct ms_limit limit;

  (void)state;
  ms_limit_start (&limit, 2, 8, 0);
  for (int i = 0; i < 20; i++)
    ms_limit_success (&limit, 10, 30 * UNIT, UNIT, NOW);
  assert_int_equal (limit.current, 2);
  for (int i = 0; i < 20; i++)
    ms_limit_success (&limit, 10, 10 * UNIT, UNIT, NOW);
  assert_int_equal (limit.current, 8);
  assert_true (limit.is_warm);
}

static void
test_slow_end_is_a_cold_sign (void **state)
{
  struct ms_limit limit;

  (void)state;
  ms_limit_start (&limit, 2, 8, 0);
  for (int i = 0; i < 20; i++)
    ms_limit_success (&limit, 10, 10 * UNIT, UNIT, NOW);
  assert_false (ms_limit_success (&limit, 10, 50 * UNIT, UNIT, NOW));
  assert_int_equal (limit.current, 2);
  assert_false (limit.is_warm);
}

static void
test_slow_progress_is_a_cold_sign (void **state)
{
  struct ms_limit limit;

  (void)state;
  ms_limit_start (&limit, 2, 8, 0);
  for (int i = 0; i < 3; i++)
    ms_limit_success (&limit, 10, 10 * UNIT, UNIT, NOW);
  ms_limit_pace (&limit, 90, 100 * UNIT, UNIT, NOW);
  assert_true (limit.is_warm);
  ms_limit_pace (&limit, 19, 100 * UNIT, UNIT, NOW);
  assert_false (limit.is_warm);
}

static void
test_overload_halves (void **state)
{
  struct ms_limit limit;

  (void)state;
  ms_limit_start (&limit, 2, 8, 0);
  for (int i = 0; i < 20; i++)
    ms_limit_success (&limit, 10, 10 * UNIT, UNIT, NOW);
  ms_limit_overload (&limit, NOW);
  assert_int_equal (limit.current, 4);
  ms_limit_overload (&limit, NOW);
  ms_limit_overload (&limit, NOW);
  assert_int_equal (limit.current, 2);
}

/* A cold endpoint that goes on slowly has not begun to warm up.  */
static void
test_slow_progress_renews_the_cold_sign (void **state)
{
  struct ms_limit limit;

  (void)state;
  ms_limit_start (&limit, 2, 8, 0);
  ms_limit_pace (&limit, 19, 100 * UNIT, UNIT, NOW);
  for (int i = 0; i < 3; i++)
    ms_limit_success (&limit, 10, 15 * UNIT, UNIT, NOW + 10 * UNIT);
  assert_false (limit.is_warm);
}

/* A request that began before the cold start ran mostly at the old pace.  */
static void
test_earlier_requests_do_not_warm (void **state)
{
  struct ms_limit limit;

  (void)state;
  ms_limit_start (&limit, 2, 8, NOW);
  for (int i = 0; i < 20; i++)
    ms_limit_success (&limit, 10, 10 * UNIT, UNIT, NOW + 5 * UNIT);
  assert_false (limit.is_warm);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_grows_only_near_the_usual_pace),
    cmocka_unit_test (test_slow_end_is_a_cold_sign),
    cmocka_unit_test (test_slow_progress_is_a_cold_sign),
    cmocka_unit_test (test_overload_halves),
    cmocka_unit_test (test_earlier_requests_do_not_warm),
    cmocka_unit_test (test_slow_progress_renews_the_cold_sign),
  };

  return RUN (tests);
}

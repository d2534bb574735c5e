#include "check.h"

#include "dispatch/limit.h"

/* Usual time of a cost unit.  */
#define UNIT (10 * MS_MSEC)

/* When the requests end.  */
#define NOW (100 * MS_SEC)

static void
test_limit_grows_only_near_usual_pace (void **state)
{
  struct ms_limit limit;

  (void)state;
  ms_limit_init (&limit, 2, 8, 0);
  for (int i = 0; i < 20; i++)
    ms_limit_success (&limit, 10, 30 * UNIT, UNIT, NOW);
  assert_int_equal (limit.current, 2);
  for (int i = 0; i < 20; i++)
    ms_limit_success (&limit, 10, 10 * UNIT, UNIT, NOW);
  assert_int_equal (limit.current, 8);
  assert_true (limit.is_warm);
}

static void
test_slow_request_sets_cold (void **state)
{
  struct ms_limit limit;

  (void)state;
  ms_limit_init (&limit, 2, 8, 0);
  for (int i = 0; i < 20; i++)
    ms_limit_success (&limit, 10, 10 * UNIT, UNIT, NOW);
  assert_false (ms_limit_success (&limit, 10, 50 * UNIT, UNIT, NOW));
  assert_int_equal (limit.current, 2);
  assert_false (limit.is_warm);
}

static void
test_slow_progress_sets_cold (void **state)
{
  struct ms_limit limit;

  (void)state;
  ms_limit_init (&limit, 2, 8, 0);
  for (int i = 0; i < 3; i++)
    ms_limit_success (&limit, 10, 10 * UNIT, UNIT, NOW);
  ms_limit_progress (&limit, 90, 100 * UNIT, UNIT, NOW);
  assert_true (limit.is_warm);
  ms_limit_progress (&limit, 19, 100 * UNIT, UNIT, NOW);
  assert_false (limit.is_warm);
}

static void
test_overload_halves_limit (void **state)
{
  struct ms_limit limit;

  (void)state;
  ms_limit_init (&limit, 2, 8, 0);
  for (int i = 0; i < 20; i++)
    ms_limit_success (&limit, 10, 10 * UNIT, UNIT, NOW);
  ms_limit_overload (&limit, NOW);
  assert_int_equal (limit.current, 4);
  ms_limit_overload (&limit, NOW);
  ms_limit_overload (&limit, NOW);
  assert_int_equal (limit.current, 2);
}

/* A slow request on a cold endpoint shows that it is still cold: requests that
   began before then don't count as a sign that it is warm.  */
static void
test_slow_progress_renews_cold (void **state)
{
  struct ms_limit limit;

  (void)state;
  ms_limit_init (&limit, 2, 8, 0);
  ms_limit_progress (&limit, 19, 100 * UNIT, UNIT, NOW);
  for (int i = 0; i < 3; i++)
    ms_limit_success (&limit, 10, 15 * UNIT, UNIT, NOW + 10 * UNIT);
  assert_false (limit.is_warm);
}

/* A request that began before the cold start may have run mostly before it, so
   its pace doesn't show that the endpoint is warm again.  */
static void
test_earlier_requests_do_not_set_warm (void **state)
{
  struct ms_limit limit;

  (void)state;
  ms_limit_init (&limit, 2, 8, NOW);
  for (int i = 0; i < 20; i++)
    ms_limit_success (&limit, 10, 10 * UNIT, UNIT, NOW + 5 * UNIT);
  assert_false (limit.is_warm);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limit_grows_only_near_usual_pace),
    cmocka_unit_test (test_slow_request_sets_cold),
    cmocka_unit_test (test_slow_progress_sets_cold),
    cmocka_unit_test (test_overload_halves_limit),
    cmocka_unit_test (test_earlier_requests_do_not_set_warm),
    cmocka_unit_test (test_slow_progress_renews_cold),
  };

  return RUN (tests);
}

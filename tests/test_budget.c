#include "check.h"

#include "admit/budget.h"

#define SERVICE 1

static const struct ms_budget_options options
    = { .ratio = 0.2, .slack = 58, .window = 10 * MS_SEC };

/* Retries that BUDGET allows in a row at NOW, 1000 at most.  */
static unsigned
take_all (struct ms_budget *budget, ms_time now)
{
  unsigned taken = 0;

  while (taken < 1000 && ms_budget_take (budget, SERVICE, now))
    taken++;
  return taken;
}

/* Nine routers that all use up their part stay within the fleet's bound.  */
static void
test_retries_of_all_routers_are_bounded (void **state)
{
  unsigned total = 0;

  (void)state;
  for (int i = 0; i < 9; i++)
    {
      struct ms_budget *budget = ms_budget_create (&options);

      ms_budget_routers (budget, 9);
      for (int j = 0; j < 100; j++)
        ms_budget_request (budget, SERVICE, (ms_time)j * 50 * MS_MSEC);
      total += take_all (budget, 5 * MS_SEC);
      ms_budget_destroy (budget);
    }
  assert_true (total > 0);
  assert_true (total <= 0.2 * 900 + 58);
}

static void
test_retries_come_back_with_the_window (void **state)
{
  struct ms_budget *budget = ms_budget_create (&options);
  unsigned first = take_all (budget, MS_SEC);

  (void)state;
  assert_true (first > 0);
  assert_int_equal (take_all (budget, 10 * MS_SEC), 0);
  assert_int_equal (take_all (budget, 12 * MS_SEC), first);
  ms_budget_destroy (budget);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_retries_of_all_routers_are_bounded),
    cmocka_unit_test (test_retries_come_back_with_the_window),
  };

  return RUN (tests);
}

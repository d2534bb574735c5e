#include "check.h"

#include "admit/budget.h"

#define SERVICE 1
#define LONG_AGO (-60 * MS_SEC) /* A start before all windows.  */

static const struct ms_budget_options options
    = { .ratio = 0.2, .slack = 58, .window = 10 * MS_SEC };

/* Return how many retries in a row BUDGET allows at NOW, 1000 at most.  */
static unsigned
take_all (struct ms_budget *budget, ms_time now)
{
  unsigned taken = 0;

  /* Asking whether there is a retry takes none.  */
  while (taken < 1000 && ms_budget_has (budget, SERVICE, now)
         && ms_budget_has (budget, SERVICE, now)
         && ms_budget_take (budget, SERVICE, now))
    taken++;
  return taken;
}

/* Guards against a storm of retries: the bound holds for the whole fleet, also
   if each of its nine routers uses up its budget.  */
static void
test_fleet_stays_within_retry_bound (void **state)
{
  unsigned total = 0;

  (void)state;
  for (int i = 0; i < 9; i++)
    {
      struct ms_budget *budget = ms_budget_create (&options, LONG_AGO);

      ms_budget_set_routers (budget, 9);
      for (int j = 0; j < 100; j++)
        ms_budget_count_request (budget, SERVICE, (ms_time)j * 50 * MS_MSEC);
      total += take_all (budget, 5 * MS_SEC);
      ms_budget_destroy (budget);
    }
  assert_true (total > 0);
  assert_true (total <= 0.2 * 900 + 58);
}

/* A budget that is used up stays so until the window is over, and then allows
   as many retries as before.  */
static void
test_budget_refills_after_window (void **state)
{
  struct ms_budget *budget = ms_budget_create (&options, LONG_AGO);
  unsigned first = take_all (budget, MS_SEC);

  (void)state;
  assert_true (first > 0);
  assert_int_equal (take_all (budget, 10 * MS_SEC), 0);
  assert_int_equal (take_all (budget, 12 * MS_SEC), first);
  ms_budget_destroy (budget);
}

/* A reload may change the window: old retries then count for one new window
   at most, and the budget allows as many as before after that.  */
static void
test_changed_window_forgets_old_retries (void **state)
{
  struct ms_budget_options changed = options;
  struct ms_budget *budget = ms_budget_create (&options, LONG_AGO);
  ms_time now = 1000 * MS_SEC;
  unsigned first = take_all (budget, now);

  (void)state;
  assert_true (first > 0);
  changed.window = 20 * MS_SEC;
  ms_budget_set_options (budget, &changed);
  assert_int_equal (take_all (budget, now + 19 * MS_SEC), 0);
  assert_int_equal (take_all (budget, now + 22 * MS_SEC), first);
  changed.window = 5 * MS_SEC;
  ms_budget_set_options (budget, &changed);
  assert_int_equal (take_all (budget, now + 23 * MS_SEC), 0);
  assert_int_equal (take_all (budget, now + 29 * MS_SEC), first);
  ms_budget_destroy (budget);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_fleet_stays_within_retry_bound),
    cmocka_unit_test (test_budget_refills_after_window),
    cmocka_unit_test (test_changed_window_forgets_old_retries),
  };

  return RUN (tests);
}

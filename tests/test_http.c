#include "check.h"

#include "http/status.h"
#include "wire/message.h"

/* A request that may have run was answered with 503 when the grants of its
   next attempt expired.  */
static void
test_only_requests_that_have_not_run_get_a_promise (void **state)
{
  static const enum ms_outcome outcomes[]
      = { MS_ANSWERED, MS_UNKNOWN, MS_FAILED };

  (void)state;
  for (unsigned i = 0; i < sizeof outcomes / sizeof *outcomes; i++)
    for (int reason = MS_REASON_NONE; reason <= MS_REASON_NO_CAPACITY;
         reason++)
      assert_false (ms_status_promises_not_run (
          ms_http_status (outcomes[i], (enum ms_reason)reason)));
  assert_int_equal (ms_http_status (MS_UNKNOWN, MS_REASON_NO_CAPACITY), 502);
}

static void
test_refusals_have_their_status (void **state)
{
  (void)state;
  assert_int_equal (ms_http_status (MS_NOT_RUN, MS_REASON_NO_CAPACITY), 503);
  assert_int_equal (ms_http_status (MS_NOT_RUN, MS_REASON_QUEUE_FULL), 429);
  assert_int_equal (ms_http_status (MS_UNKNOWN, MS_REASON_DEADLINE), 504);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_only_requests_that_have_not_run_get_a_promise),
    cmocka_unit_test (test_refusals_have_their_status),
  };

  return RUN (tests);
}

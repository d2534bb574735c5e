#include "check.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "support/gateway_fixture.h"

/* Statuses that promise "not run": a caller sends its request again after one,
   so that none may reach it for a request that may have run.  */

#define MEMORY_MB 100
#define DEADLINE_MS 3000

static const unsigned promises[] = { 408, 421, 429, 503 };
#define PROMISES (sizeof promises / sizeof *promises)

/* Answer on RUN with STATUS and a short body; MORE is further headers.  */
static void
answer (struct fixture *f, int run, unsigned status, const char *more)
{
  char text[256];

  snprintf (text, sizeof text,
            "HTTP/1.1 %u -\r\nX-Request-Attempt-Id: t\r\n"
            "X-Response-Signature: s\r\n%sContent-Length: 2\r\n\r\nno",
            status, more);
  fixture_send (f, run, text, strlen (text));
}

/* Receive on CALLER a whole head into TEXT of SIZE bytes.  */
static void
receive_head (struct fixture *f, int caller, char *text, size_t size)
{
  while (!strstr (text, "\r\n\r\n") && fixture_receive (f, caller, text, size))
    ;
  assert_non_null (strstr (text, "\r\n\r\n"));
}

/* An endpoint's 503 to an order that it had run was passed on, and the caller
   placed the order once more.  */
static void
test_promise_after_a_run_is_replaced_by_502 (void **state)
{
  static const char *const paths[] = { "/once/x", "/any/x", "/events/x" };

  (void)state;
  for (unsigned i = 0; i < PROMISES * 3; i++)
    {
      struct fixture *f;
      int caller;
      int run;
      char text[1024] = "";

      /* A misdirected request has not run.  */
      if (promises[i / 3] == 421)
        continue;
      f = fixture_create (MEMORY_MB);
      caller = fixture_connect_caller (f);
      fixture_send_request (caller, paths[i % 3], DEADLINE_MS);
      run = fixture_accept_request (f);
      answer (f, run, promises[i / 3], "");
      receive_head (f, caller, text, sizeof text);
      assert_non_null (strstr (text, "HTTP/1.1 502 "));
      assert_null (strstr (text, "X-Response-Signature"));
      close (run);
      close (caller);
      fixture_destroy (f);
    }
}

/* The body of such a response must not go out before its end.  */
static void
test_large_promise_after_a_run_is_not_passed_on (void **state)
{
  static char body[300000];
  struct fixture *f = fixture_create (MEMORY_MB);
  int caller = fixture_connect_caller (f);
  char text[1024] = "";
  int run;

  (void)state;
  fixture_send_request (caller, "/once/x", DEADLINE_MS);
  run = fixture_accept_request (f);
  snprintf (body, sizeof body,
            "HTTP/1.1 429 -\r\nX-Request-Attempt-Id: t\r\n"
            "Content-Length: %zu\r\n\r\n",
            sizeof body);
  memset (body + strlen (body), 'x', sizeof body - strlen (body));
  fixture_send (f, run, body, sizeof body);
  receive_head (f, caller, text, sizeof text);
  assert_non_null (strstr (text, "HTTP/1.1 502 "));
  close (run);
  close (caller);
  fixture_destroy (f);
}

/* What the endpoint states not to have run may be promised.  */
static void
test_stated_promise_is_kept (void **state)
{
  (void)state;
  for (unsigned i = 0; i < PROMISES; i++)
    {
      struct fixture *f = fixture_create (MEMORY_MB);
      int caller = fixture_connect_caller (f);
      char text[1024] = "";
      char line[32];
      int run;

      fixture_send_request (caller, "/once/x", DEADLINE_MS);
      run = fixture_accept_request (f);
      answer (f, run, promises[i], "X-Not-Executed: 1\r\n");
      receive_head (f, caller, text, sizeof text);
      /* The gateway's own 503 stands for refusals that it could have sent
         elsewhere.  */
      snprintf (line, sizeof line, "HTTP/1.1 %u ",
                promises[i] == 408 ? 408 : 503);
      assert_non_null (strstr (text, line));
      close (run);
      close (caller);
      fixture_destroy (f);
    }
}

/* One endpoint may have run a request that the next one did not: the status of
   the second says nothing of the first.  */
static void
test_promise_does_not_hold_for_an_earlier_attempt (void **state)
{
  (void)state;
  for (unsigned i = 0; i < PROMISES; i++)
    {
      struct fixture *f = fixture_create (MEMORY_MB);
      int listeners[] = { f->listener, fixture_add_endpoint (f, "e1") };
      int caller = fixture_connect_caller (f);
      char text[1024] = "";
      unsigned first, second;
      int run;

      fixture_send_request (caller, "/any/x", DEADLINE_MS);
      run = fixture_accept_request_among (f, listeners, 2, &first);
      assert_true (run >= 0);
      answer (f, run, 500, "");
      close (run);
      run = fixture_accept_request_among (f, listeners, 2, &second);
      assert_int_equal (second, !first);
      answer (f, run, promises[i], "X-Not-Executed: 1\r\n");
      receive_head (f, caller, text, sizeof text);
      assert_non_null (strstr (text, "HTTP/1.1 502 "));
      close (run);
      close (caller);
      close (listeners[1]);
      fixture_destroy (f);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_promise_after_a_run_is_replaced_by_502),
    cmocka_unit_test (test_large_promise_after_a_run_is_not_passed_on),
    cmocka_unit_test (test_stated_promise_is_kept),
    cmocka_unit_test (test_promise_does_not_hold_for_an_earlier_attempt),
  };

  return RUN (tests);
}

#include "check.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "support/gateway_fixture.h"

/* Answers of an endpoint that are none by HTTP's grammar.  The gateway's clock
   stands still, so that what a caller gets does not come at the deadline.  */

#define MEMORY_MB 100
#define DEADLINE_MS 3000
#define HEAD "X-Request-Attempt-Id: t\r\nX-Response-Signature: s\r\n"

/* Let the endpoint answer a request with ANSWER, and receive what the caller
   gets in TEXT of SIZE bytes.  */
static void
exchange (const char *answer, char *text, size_t size)
{
  struct fixture *f = fixture_create (MEMORY_MB);
  int caller = fixture_connect_caller (f);
  int run;

  fixture_send_request (caller, "/once/x", DEADLINE_MS);
  run = fixture_accept_request (f);
  assert_true (run >= 0);
  fixture_send (f, run, answer, strlen (answer));
  text[0] = '\0';
  while (!strstr (text, "\r\n\r\n") && fixture_receive (f, caller, text, size))
    ;
  assert_non_null (strstr (text, "\r\n\r\n"));
  close (run);
  close (caller);
  fixture_destroy (f);
}

static void
expect_no_answer (const char *answer)
{
  char text[4096];

  exchange (answer, text, sizeof text);
  assert_non_null (strstr (text, "HTTP/1.1 502 "));
  assert_null (strstr (text, "ran"));
  assert_null (strstr (text, "X-Response-Signature"));
}

/* A status such as 000 was awaited further until the deadline, as if it were
   an interim one, and 600 was passed on.  */
static void
test_status_out_of_range_is_no_answer (void **state)
{
  static const char *const statuses[]
      = { "000", "099", "00", "0",  "2 0", "600", "999", "2000",
          "-20", "",    "2",  "20", "20x", "+20", " 200" };
  char answer[256];

  (void)state;
  for (unsigned i = 0; i < sizeof statuses / sizeof *statuses; i++)
    {
      snprintf (answer, sizeof answer,
                "HTTP/1.1 %s -\r\n" HEAD "Content-Length: 3\r\n\r\nran",
                statuses[i]);
      expect_no_answer (answer);
    }
}

/* Nothing that follows a switch of protocols is an answer.  */
static void
test_switch_of_protocols_is_no_answer (void **state)
{
  (void)state;
  expect_no_answer ("HTTP/1.1 101 -\r\n\r\n");
  expect_no_answer ("HTTP/1.1 101 -\r\nUpgrade: x\r\nConnection: upgrade\r\n"
                    "\r\nHTTP/1.1 200 -\r\n" HEAD
                    "Content-Length: 3\r\n\r\nran");
}

/* Callers get the final answer alone.  */
static void
test_interim_answers_are_dropped (void **state)
{
  char answer[1024] = "";
  char text[4096];

  (void)state;
  for (unsigned i = 0; i < 10; i++)
    strcat (answer, i % 2 ? "HTTP/1.1 103 -\r\nLink: x\r\n\r\n"
                          : "HTTP/1.1 100 Continue\r\n\r\n");
  strcat (answer, "HTTP/1.1 200 -\r\n" HEAD "Content-Length: 3\r\n\r\nran");
  exchange (answer, text, sizeof text);
  assert_int_equal (strncmp (text, "HTTP/1.1 200 ", 13), 0);
  assert_null (strstr (text, "HTTP/1.1 10"));
  assert_null (strstr (text, "Link"));
}

/* Lines whose name is no token, of which a caller's parser may make another
   name or another length of the body.  */
static const char *const odd_fields[] = { "X Odd: 1",
                                          "X-Odd : 1",
                                          "Content Length: 3",
                                          "Content-Length : 3",
                                          "Content-Length\t: 3",
                                          "Transfer-Encoding : chunked",
                                          " X-Odd: 1",
                                          "X-\x01Odd: 1",
                                          "X-Odd\x7f: 1",
                                          "X\x0bOdd: 1",
                                          "X-\xc3\xa9: 1",
                                          "X(Odd): 1",
                                          "X\"Odd: 1",
                                          "X/Odd: 1",
                                          ": 1",
                                          "X-Odd" };

#define ODD_FIELDS (sizeof odd_fields / sizeof *odd_fields)

/* Such a line was passed on.  */
static void
test_field_name_that_is_no_token_is_no_answer (void **state)
{
  static const char *const forms[]
      = { "HTTP/1.1 200 -\r\n" HEAD "%s\r\nContent-Length: 3\r\n\r\nran",
          "HTTP/1.1 200 -\r\n%s\r\n" HEAD "Content-Length: 3\r\n\r\nran",
          "HTTP/1.1 200 -\r\n" HEAD "%s\r\n\r\nran",
          "HTTP/1.1 100 -\r\n%s\r\n\r\nHTTP/1.1 200 -\r\n" HEAD
          "Content-Length: 3\r\n\r\nran",
          "HTTP/1.1 404 -\r\n" HEAD "%s\r\nContent-Length: 3\r\n\r\nran",
          "HTTP/1.1 200 -\r\n" HEAD "Transfer-Encoding: chunked\r\n\r\n"
          "3\r\nran\r\n0\r\n%s\r\n\r\n" };
  char answer[512];

  (void)state;
  for (unsigned k = 0; k < sizeof forms / sizeof *forms; k++)
    for (unsigned i = 0; i < ODD_FIELDS; i++)
      {
        /* Behind another field it continues that one's value.  */
        if (odd_fields[i][0] == ' ' && k != 1 && k != 3)
          continue;
        snprintf (answer, sizeof answer, forms[k], odd_fields[i]);
        expect_no_answer (answer);
      }
}

/* The same of requests, which must not reach an endpoint.  */
static void
test_field_name_that_is_no_token_is_no_request (void **state)
{
  static const char *const forms[]
      = { "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n%s\r\n"
          "\r\nran",
          "POST /once/x HTTP/1.1\r\n%s\r\nHost: h\r\nContent-Length: 3\r\n"
          "\r\nran",
          "POST /once/x HTTP/1.1\r\nHost: h\r\n"
          "Transfer-Encoding: chunked\r\n\r\n3\r\nran\r\n0\r\n%s\r\n\r\n" };

  (void)state;
  for (unsigned k = 0; k < sizeof forms / sizeof *forms; k++)
    for (unsigned i = 0; i < ODD_FIELDS; i++)
      {
        struct fixture *f;
        char request[512];
        char text[4096] = "";
        int caller;

        if (odd_fields[i][0] == ' ' && k != 1)
          continue;
        f = fixture_create (MEMORY_MB);
        caller = fixture_connect_caller (f);
        snprintf (request, sizeof request, forms[k], odd_fields[i]);
        fixture_send (f, caller, request, strlen (request));
        fixture_receive (f, caller, text, sizeof text);
        assert_non_null (strstr (text, "HTTP/1.1 400 "));
        close (caller);
        fixture_destroy (f);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_status_out_of_range_is_no_answer),
    cmocka_unit_test (test_switch_of_protocols_is_no_answer),
    cmocka_unit_test (test_interim_answers_are_dropped),
    cmocka_unit_test (test_field_name_that_is_no_token_is_no_answer),
    cmocka_unit_test (test_field_name_that_is_no_token_is_no_request),
  };

  return RUN (tests);
}

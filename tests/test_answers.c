#include "check.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gateway/peers.h"
#include "support/gateway_fixture.h"

/* Answers of an endpoint that are none by HTTP's grammar.  The gateway's clock
   stands still, so that what a caller gets does not come at the deadline.  */

#define MEMORY_MB 100
#define DEADLINE_MS 3000
#define UPLOAD_BYTES 3000000
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
  static const char answer[]
      = "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 103 -\r\nLink: x\r\n\r\nHTTP/1.1 103 -\r\nLink: y\r\n\r\n"
        "HTTP/1.1 102 -\r\n\r\nHTTP/1.1 199 -\r\nX: 1\r\n\r\n"
        "HTTP/1.1 200 -\r\n" HEAD "Content-Length: 3\r\n\r\nran";
  char text[4096];

  (void)state;
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

/* How an endpoint gives up a request whose body it has not read.  */
enum give_up
{
  RESET,
  CLOSE_UNREAD, /* The kernel resets the connection.  */
  RESET_BEHIND_END,
  WAYS
};

static void
give_up (int run, enum give_up way)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  if (way == RESET_BEHIND_END)
    shutdown (run, SHUT_WR);
  if (way != CLOSE_UNREAD)
    setsockopt (run, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (run);
}

/* Send a request with a long body, of which the endpoint reads little more
   than the head, and return its side.  */
static int
start_upload (struct fixture *f, int caller)
{
  static const char body[UPLOAD_BYTES];
  char head[256];
  int length
      = snprintf (head, sizeof head,
                  "POST /once/x HTTP/1.1\r\nHost: h\r\n"
                  "X-Request-Attempt-Id: t\r\n"
                  "X-Deadline-Remaining-Ms: %d\r\nContent-Length: %d\r\n\r\n",
                  DEADLINE_MS, UPLOAD_BYTES);
  int run;

  fixture_send (f, caller, head, (size_t)length);
  fixture_send (f, caller, body, sizeof body);
  run = fixture_accept_request (f);
  assert_true (run >= 0);
  return run;
}

/* Let the endpoint answer an upload at once with HEAD and SIZE bytes that only
   the end of the connection ends, and give up in that WAY after STEPS turns of
   the gateway's loop.  Return how the caller's connection ended: 0 in order,
   else errno; begin TEXT with what the caller got.  */
static int
answer_upload (const char *head, size_t size, enum give_up way, unsigned steps,
               char text[64])
{
  static char part[65536];
  static char rest[65536];
  struct fixture *f = fixture_create (MEMORY_MB);
  int caller = fixture_connect_caller (f);
  int error = 0;
  int run;

  /* An endpoint that breaks off is reported to peers.  */
  assert_int_equal (ms_peers_create (f->gw, &f->gw->peers), MS_OK);
  run = start_upload (f, caller);
  send (run, head, strlen (head), MSG_NOSIGNAL);
  for (size_t sent = 0; sent < size; sent += sizeof part)
    fixture_send (f, run, part,
                  size - sent < sizeof part ? size - sent : sizeof part);
  for (unsigned i = 0; i < steps; i++)
    fixture_step (f);
  give_up (run, way);
  memset (text, 0, 64);
  assert_true (fixture_receive (f, caller, text, 64));
  /* The gateway's own answer leaves the connection open.  */
  while (!strstr (text, "HTTP/1.1 502 "))
    {
      rest[0] = '\0';
      errno = 0;
      if (!fixture_receive (f, caller, rest, sizeof rest))
        {
          error = errno;
          break;
        }
    }
  ms_peers_destroy (f->gw->peers);
  close (caller);
  fixture_destroy (f);
  return error;
}

/* What an endpoint had sent of an answer without a length when it gave up was
   told as the whole answer, if the reset came behind an orderly end.  */
static void
test_answer_that_is_reset_beside_the_upload_is_not_whole (void **state)
{
  static const char head[] = "HTTP/1.1 200 -\r\n" HEAD "\r\n";
  static const size_t sizes[]
      = { 1, 1000, 65536 - sizeof head + 1, 65536, 131072, 600000 };
  char text[64];

  (void)state;
  for (unsigned i = 0; i < sizeof sizes / sizeof *sizes; i++)
    for (unsigned way = 0; way < WAYS; way++)
      for (unsigned steps = 0; steps < 3; steps++)
        {
          int error
              = answer_upload (head, sizes[i], (enum give_up)way, steps, text);

          if (!strstr (text, "HTTP/1.1 502 "))
            assert_int_equal (error, ECONNRESET);
        }
}

/* An error needs no more than its status.  */
static void
test_error_beside_the_upload_is_passed_on (void **state)
{
  char text[64];

  (void)state;
  answer_upload ("HTTP/1.1 413 -\r\n" HEAD "\r\n", 10, RESET_BEHIND_END, 0,
                 text);
  assert_non_null (strstr (text, "HTTP/1.1 413 "));
}

/* A head that ends early, in each place of ANSWER up to its body, by CLOSE. */
static void
cut_head (const char *before, const char *head, bool reset)
{
  static const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  for (size_t length = strlen (head) - 1; length > 3; length -= 3)
    {
      struct fixture *f = fixture_create (MEMORY_MB);
      int caller = fixture_connect_caller (f);
      char text[4096] = "";
      int run;

      assert_int_equal (ms_peers_create (f->gw, &f->gw->peers), MS_OK);
      fixture_send_request (caller, "/once/x", DEADLINE_MS);
      run = fixture_accept_request (f);
      assert_true (run >= 0);
      fixture_send (f, run, before, strlen (before));
      fixture_send (f, run, head, length);
      if (reset)
        setsockopt (run, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      close (run);
      assert_true (fixture_receive (f, caller, text, sizeof text));
      assert_non_null (strstr (text, "HTTP/1.1 502 "));
      assert_null (strstr (text, "X-Response-Signature"));
      ms_peers_destroy (f->gw->peers);
      close (caller);
      fixture_destroy (f);
    }
}

/* Other operators' callers got a 200 with an empty body for such a head.  */
static void
test_head_that_ends_early_is_no_answer (void **state)
{
  static const char *const heads[]
      = { "HTTP/1.1 200 -\r\n" HEAD "\r\n",
          "HTTP/1.1 200 -\r\n" HEAD "Content-Length: 0\r\n\r\n",
          "HTTP/1.1 204 -\r\n" HEAD "\r\n",
          "HTTP/1.1 500 -\r\n" HEAD "Transfer-Encoding: chunked\r\n\r\n" };

  (void)state;
  for (unsigned i = 0; i < sizeof heads / sizeof *heads; i++)
    for (unsigned reset = 0; reset < 2; reset++)
      {
        cut_head ("", heads[i], reset);
        cut_head ("HTTP/1.1 100 Continue\r\n\r\n", heads[i], reset);
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
    cmocka_unit_test (
        test_answer_that_is_reset_beside_the_upload_is_not_whole),
    cmocka_unit_test (test_error_beside_the_upload_is_passed_on),
    cmocka_unit_test (test_head_that_ends_early_is_no_answer),
  };

  return RUN (tests);
}

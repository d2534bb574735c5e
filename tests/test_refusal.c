#include "check.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/gateway_fixture.h"

/* An endpoint that writes an earlier refusal once more on a kept connection:
   it says nothing of the request that is there by then.  */

#define MEMORY_MB 100
#define DEADLINE_MS 3000
#define BODY_BYTES 2000000

struct refusal_test
{
  struct fixture *f;
  int caller;
  char text[4096]; /* What the caller got since its last request.  */
};

/* Send a request with the attempt ID; "" for none.  */
static void
send_request (struct refusal_test *t, const char *id)
{
  char text[256];

  snprintf (text, sizeof text,
            "GET /once/x HTTP/1.1\r\nHost: h\r\n%s%s%s"
            "X-Deadline-Remaining-Ms: %d\r\n\r\n",
            *id ? "X-Request-Attempt-Id: " : "", id, *id ? "\r\n" : "",
            DEADLINE_MS);
  if (t->caller)
    close (t->caller);
  t->caller = fixture_connect_caller (t->f);
  t->text[0] = '\0';
  fixture_send (t->f, t->caller, text, strlen (text));
}

static void
receive_head (struct refusal_test *t)
{
  while (!strstr (t->text, "\r\n\r\n")
         && fixture_receive (t->f, t->caller, t->text, sizeof t->text))
    ;
  assert_non_null (strstr (t->text, "\r\n\r\n"));
}

/* Write a refusal of the request with ID to TEXT of SIZE bytes.  */
static void
write_refusal (char *text, size_t size, const char *id)
{
  snprintf (text, size,
            "HTTP/1.1 503 -\r\n%s%s%sX-Not-Executed: 1\r\n"
            "Content-Length: 4\r\n\r\nfull",
            *id ? "X-Request-Attempt-Id: " : "", id, *id ? "\r\n" : "");
}

static void
send_answer (struct refusal_test *t, int run, const char *id)
{
  char text[256];

  snprintf (text, sizeof text,
            "HTTP/1.1 200 -\r\n%s%s%sX-Response-Signature: s\r\n"
            "Content-Length: 3\r\n\r\nran",
            *id ? "X-Request-Attempt-Id: " : "", id, *id ? "\r\n" : "");
  fixture_send (t->f, run, text, strlen (text));
}

/* Receive a whole head as the endpoint on RUN.  */
static bool
receive_request (struct refusal_test *t, int run)
{
  char head[4096] = "";

  while (!strstr (head, "\r\n\r\n"))
    if (!fixture_receive (t->f, run, head, sizeof head))
      return false;
  return true;
}

/* Start a gateway, refuse a request with ID and return the endpoint's side of
   the connection, which is kept.  */
static int
begin (struct refusal_test *t, const char *id)
{
  char refusal[256];
  int run;

  memset (t, 0, sizeof *t);
  t->f = fixture_create (MEMORY_MB);
  send_request (t, id);
  run = fixture_accept_request (t->f);
  assert_true (run >= 0);
  write_refusal (refusal, sizeof refusal, id);
  fixture_send (t->f, run, refusal, strlen (refusal));
  receive_head (t);
  assert_non_null (strstr (t->text, "HTTP/1.1 503 "));
  return run;
}

static void
end (struct refusal_test *t, int run)
{
  close (run);
  close (t->caller);
  fixture_destroy (t->f);
}

static void
expect_answer (struct refusal_test *t)
{
  receive_head (t);
  assert_non_null (strstr (t->text, "HTTP/1.1 200 "));
  assert_non_null (strstr (t->text, "ran"));
}

static void
test_refusal_on_an_idle_connection_closes_it (void **state)
{
  struct refusal_test t;
  char refusal[256];
  int run = begin (&t, "a");

  (void)state;
  write_refusal (refusal, sizeof refusal, "a");
  fixture_send (t.f, run, refusal, strlen (refusal));
  assert_true (fixture_await_closed (t.f, run));
  end (&t, run);
}

/* Cut at any byte, it comes before the answer to the next request.  */
static void
test_refusal_before_an_answer_is_skipped (void **state)
{
  char refusal[256];

  (void)state;
  write_refusal (refusal, sizeof refusal, "a");
  for (size_t cut = 0; cut <= strlen (refusal); cut += 3)
    {
      struct refusal_test t;
      int run = begin (&t, "a");

      send_request (&t, "b");
      assert_true (receive_request (&t, run));
      fixture_send (t.f, run, refusal, cut);
      for (unsigned i = 0; i < 5; i++)
        fixture_tick (t.f);
      fixture_send (t.f, run, refusal + cut, strlen (refusal) - cut);
      if (cut % 2)
        fixture_tick (t.f);
      send_answer (&t, run, "b");
      expect_answer (&t);
      end (&t, run);
    }
}

/* It arrives while the next request does: either is read first.  */
static void
test_refusal_beside_the_next_request_is_not_its_answer (void **state)
{
  char refusal[256];

  (void)state;
  write_refusal (refusal, sizeof refusal, "a");
  for (size_t cut = 1; cut <= strlen (refusal); cut += 7)
    {
      struct refusal_test t;
      int run = begin (&t, "a");
      int next = run;

      assert_int_equal (send (run, refusal, cut, MSG_NOSIGNAL), cut);
      send_request (&t, "b");
      if (!receive_request (&t, run))
        {
          next = fixture_accept_request (t.f);
          assert_true (next >= 0);
        }
      else
        fixture_send (t.f, run, refusal + cut, strlen (refusal) - cut);
      send_answer (&t, next, "b");
      expect_answer (&t);
      if (next != run)
        close (next);
      end (&t, run);
    }
}

static void
test_refusal_while_the_next_request_is_written_is_skipped (void **state)
{
  static char body[BODY_BYTES];
  struct refusal_test t;
  char text[256];
  int run = begin (&t, "a");
  size_t received = 0;
  size_t sent = 0;

  (void)state;
  close (t.caller);
  t.caller = fixture_connect_caller (t.f);
  t.text[0] = '\0';
  snprintf (text, sizeof text,
            "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Request-Attempt-Id: b\r\n"
            "X-Deadline-Remaining-Ms: %d\r\nContent-Length: %u\r\n\r\n",
            DEADLINE_MS, BODY_BYTES);
  fixture_send (t.f, t.caller, text, strlen (text));
  memset (body, 'x', sizeof body);
  while (sent < sizeof body)
    {
      ssize_t n
          = send (t.caller, body + sent, sizeof body - sent, MSG_NOSIGNAL);

      sent += n > 0 ? (size_t)n : 0;
      fixture_tick (t.f);
    }
  for (unsigned i = 0; i < FIXTURE_WAIT_MS && !received; i++)
    {
      received = recv (run, text, 1, 0) == 1;
      fixture_tick (t.f);
    }
  write_refusal (text, sizeof text, "a");
  fixture_send (t.f, run, text, strlen (text));
  for (unsigned i = 0; i < 20; i++)
    fixture_tick (t.f);
  for (unsigned i = 0; i < FIXTURE_WAIT_MS && received <= sizeof body; i++)
    {
      ssize_t n = recv (run, body, sizeof body, 0);

      received += n > 0 ? (size_t)n : 0;
      fixture_tick (t.f);
      usleep (n > 0 ? 0 : 1000);
    }
  assert_true (received > sizeof body);
  send_answer (&t, run, "b");
  expect_answer (&t);
  end (&t, run);
}

/* The id does not tell the copy from a refusal of this request, so that the
   caller was told "not run" while the endpoint ran it.  */
static void
test_request_with_a_refused_id_gets_another_connection (void **state)
{
  static const char *const ids[] = { "a", "" };

  (void)state;
  for (unsigned i = 0; i < 2; i++)
    {
      struct refusal_test t;
      char refusal[256];
      int run = begin (&t, ids[i]);
      int next;

      send_request (&t, ids[i]);
      next = fixture_accept_request (t.f);
      assert_true (next >= 0);
      write_refusal (refusal, sizeof refusal, ids[i]);
      fixture_send (t.f, run, refusal, strlen (refusal));
      for (unsigned turn = 0; turn < 20; turn++)
        fixture_tick (t.f);
      send_answer (&t, next, ids[i]);
      expect_answer (&t);
      close (next);
      end (&t, run);
    }
}

/* All that were refused on a connection are remembered as long as it is
   used.  */
static void
test_connection_is_closed_after_many_refusals (void **state)
{
  struct refusal_test t;
  char refusal[256];
  char id[16];
  int run = begin (&t, "a");
  unsigned count = 1;

  (void)state;
  for (;; count++)
    {
      snprintf (id, sizeof id, "b%u", count);
      send_request (&t, id);
      if (!receive_request (&t, run))
        break;
      assert_true (count < 100);
      write_refusal (refusal, sizeof refusal, id);
      fixture_send (t.f, run, refusal, strlen (refusal));
      receive_head (&t);
    }
  assert_true (count > 1);
  end (&t, run);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_refusal_on_an_idle_connection_closes_it),
    cmocka_unit_test (test_refusal_before_an_answer_is_skipped),
    cmocka_unit_test (test_refusal_beside_the_next_request_is_not_its_answer),
    cmocka_unit_test (
        test_refusal_while_the_next_request_is_written_is_skipped),
    cmocka_unit_test (test_request_with_a_refused_id_gets_another_connection),
    cmocka_unit_test (test_connection_is_closed_after_many_refusals),
  };

  return RUN (tests);
}

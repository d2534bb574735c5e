#include "check.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client.h"
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

struct server
{
  int listener;
  const char *answer;
};

/* Answer one request with what the server CONTEXT has, and close.  */
static void *
serve_once (void *context)
{
  const struct server *server = context;
  int fd = accept (server->listener, NULL, NULL);
  char request[1024];

  recv (fd, request, sizeof request, 0);
  send (fd, server->answer, strlen (server->answer), MSG_NOSIGNAL);
  shutdown (fd, SHUT_WR);
  recv (fd, request, sizeof request, 0);
  close (fd);
  return NULL;
}

/* The status of an exchange that ANSWER ends.  */
static enum ms_status
exchange (const char *answer)
{
  struct server server = { socket (AF_INET, SOCK_STREAM, 0), answer };
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  struct ms_reply reply;
  enum ms_status status;
  pthread_t thread;
  char url[64];

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (
      bind (server.listener, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (server.listener, 1), 0);
  getsockname (server.listener, (struct sockaddr *)&address, &length);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/x",
            ntohs (address.sin_port));
  pthread_create (&thread, NULL, serve_once, &server);
  status = ms_http_exchange ("GET", url, NULL, 5000, &reply);
  pthread_join (thread, NULL);
  close (server.listener);
  ms_reply_clear (&reply);
  return status;
}

/* A reply whose head was cut off was one of status 200 without a body.  */
static void
test_what_is_no_reply_fails (void **state)
{
  static const char *const answers[]
      = { "HTTP/1.1 200 -\r\n",
          "HTTP/1.1 200 -\r\nContent-Type: a\r\nContent-Le",
          "HTTP/1.1 000 -\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 600 -\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 -\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 -\r\nContent-Length : 0\r\n\r\n" };

  (void)state;
  assert_int_equal (exchange ("HTTP/1.1 200 -\r\nA: b\r\n\r\nbody"), MS_OK);
  for (unsigned i = 0; i < sizeof answers / sizeof *answers; i++)
    assert_int_equal (exchange (answers[i]), MS_UNAVAILABLE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_only_requests_that_have_not_run_get_a_promise),
    cmocka_unit_test (test_refusals_have_their_status),
    cmocka_unit_test (test_what_is_no_reply_fails),
  };

  return RUN (tests);
}

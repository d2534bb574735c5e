#include "check.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"
#include "gateway/socket.h"

/* A connection whose other side has vanished must be noticed within seconds,
   and one whose other side only reads slowly, or not at all for a while, must
   last.  */

/* More than the kernel takes on its own.  */
#define LARGE_BYTES (16u << 20)

#define WAIT_MS 8000 /* Limit of real time.  */

struct side
{
  uv_loop_t loop;
  struct ms_clock clock;
  struct ms_socket *socket;
  int listener;
  int accepted; /* The other side.  */
  bool connected;
  bool ended;
  enum ms_close how; /* It ended.  */
  size_t received;   /* Bytes.  */
};

static void
on_connected (void *owner, enum ms_status status)
{
  struct side *side = owner;

  assert_int_equal (status, MS_OK);
  side->connected = true;
}

static void
on_read (void *owner, const char *data, size_t length)
{
  (void)data;
  ((struct side *)owner)->received += length;
}

static void
on_ended (void *owner, enum ms_close how)
{
  struct side *side = owner;

  side->how = how;
  side->ended = true;
  ms_socket_reset (side->socket);
}

static void
on_drained (void *owner)
{
  (void)owner;
}

static const struct ms_socket_events events = {
  .connected = on_connected,
  .read = on_read,
  .ended = on_ended,
  .drained = on_drained,
};

static struct sockaddr_in
listen_on (struct side *side, bool deferred)
{
  static const int seconds = 30;
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  side->listener = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (
      bind (side->listener, (struct sockaddr *)&address, sizeof address), 0);
  if (deferred)
    setsockopt (side->listener, IPPROTO_TCP, TCP_DEFER_ACCEPT, &seconds,
                sizeof seconds);
  assert_int_equal (listen (side->listener, 1), 0);
  assert_int_equal (
      getsockname (side->listener, (struct sockaddr *)&address, &length), 0);
  return address;
}

static void
run_shortly (struct side *side)
{
  uv_run (&side->loop, UV_RUN_NOWAIT);
  ms_sockets_sweep (ms_now (&side->clock));
  usleep (5000);
}

static struct side *
connect_side (bool deferred)
{
  struct side *side = ms_new (sizeof *side);
  struct sockaddr_in address = listen_on (side, deferred);

  side->clock = ms_system_clock ();
  side->accepted = -1;
  uv_loop_init (&side->loop);
  side->socket = ms_socket_connect (&side->loop, &address, &events, side);
  assert_non_null (side->socket);
  for (unsigned i = 0; i < 1000 && !side->connected; i++)
    run_shortly (side);
  assert_true (side->connected);
  if (!deferred)
    side->accepted = accept (side->listener, NULL, NULL);
  return side;
}

static void
destroy_side (struct side *side)
{
  uv_run (&side->loop, UV_RUN_DEFAULT);
  uv_loop_close (&side->loop);
  close (side->accepted);
  close (side->listener);
  free (side);
}

static void
write_large (struct side *side)
{
  static char data[LARGE_BYTES];
  uv_buf_t buffer = uv_buf_init (data, sizeof data);

  ms_socket_write (side->socket, &buffer, 1);
  assert_true (ms_socket_queued (side->socket) > 0);
}

/* TCP_USER_TIMEOUT ended such a connection after 2.4 s.  */
static void
test_other_side_that_does_not_read_for_a_while (void **state)
{
  struct side *side = connect_side (false);
  static char data[65536];
  size_t received = 0;
  ms_time start = ms_now (&side->clock);

  (void)state;
  write_large (side);
  while (ms_now (&side->clock) - start < 4 * MS_SEC)
    run_shortly (side);
  assert_false (side->ended);
  fcntl (side->accepted, F_SETFL, O_NONBLOCK);
  while (received < LARGE_BYTES
         && ms_now (&side->clock) - start < WAIT_MS * MS_MSEC)
    {
      ssize_t n = recv (side->accepted, data, sizeof data, 0);

      if (n > 0)
        received += (size_t)n;
      else
        run_shortly (side);
    }
  assert_int_equal (received, LARGE_BYTES);
  assert_false (side->ended);
  ms_socket_reset (side->socket);
  destroy_side (side);
}

/* The kernel of an accepting side with TCP_DEFER_ACCEPT drops data while no
   further connection can wait to be accepted, and acknowledges nothing: like a
   host that has vanished.  */
static void
test_other_side_that_has_vanished (void **state)
{
  struct side *side = connect_side (true);
  struct sockaddr_in address;
  socklen_t length = sizeof address;
  uv_buf_t buffer = uv_buf_init ((char[]){ "x" }, 1);
  int other[2];
  ms_time start;

  (void)state;
  getsockname (side->listener, (struct sockaddr *)&address, &length);
  for (unsigned i = 0; i < 2; i++)
    {
      other[i] = socket (AF_INET, SOCK_STREAM, 0);
      assert_int_equal (
          connect (other[i], (struct sockaddr *)&address, length), 0);
      send (other[i], "x", 1, MSG_NOSIGNAL);
    }
  start = ms_now (&side->clock);
  ms_socket_write (side->socket, &buffer, 1);
  while (!side->ended && ms_now (&side->clock) - start < WAIT_MS * MS_MSEC)
    run_shortly (side);
  assert_true (side->ended);
  assert_in_range (ms_now (&side->clock) - start, 1900 * MS_MSEC,
                   3500 * MS_MSEC);
  for (unsigned i = 0; i < 2; i++)
    close (other[i]);
  destroy_side (side);
}

/* What is queued for a side that takes nothing is held for a limited time once
   the connection is closed.  */
static void
test_closed_connection_does_not_linger (void **state)
{
  struct side *side = connect_side (false);
  ms_time now = ms_now (&side->clock) + MS_SEC;

  (void)state;
  write_large (side);
  ms_socket_close (side->socket);
  ms_sockets_sweep (now);
  uv_run (&side->loop, UV_RUN_NOWAIT);
  ms_sockets_sweep (now + MS_LINGER_LIMIT - 1);
  uv_run (&side->loop, UV_RUN_NOWAIT);
  assert_int_equal (ms_socket_open_count (), 1);
  ms_sockets_sweep (now + MS_LINGER_LIMIT + MS_SEC);
  uv_run (&side->loop, UV_RUN_NOWAIT);
  assert_int_equal (ms_socket_open_count (), 0);
  destroy_side (side);
}

/* A reset behind data that was not read yet was taken for an orderly end,
   which completes a response without a length.  */
static void
test_reset_behind_data_is_no_orderly_end (void **state)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  (void)state;
  for (unsigned with_data = 0; with_data < 2; with_data++)
    for (unsigned orderly = 0; orderly < 2; orderly++)
      {
        struct side *side = connect_side (false);
        size_t length = with_data ? 1000 : 0;
        static const char data[1000];

        assert_int_equal (send (side->accepted, data, length, 0), length);
        if (!orderly)
          setsockopt (side->accepted, SOL_SOCKET, SO_LINGER, &reset,
                      sizeof reset);
        close (side->accepted);
        for (unsigned i = 0; i < 1000 && !side->ended; i++)
          run_shortly (side);
        assert_true (side->ended);
        assert_int_equal (side->how,
                          orderly ? MS_CLOSE_ORDERLY : MS_CLOSE_BROKEN);
        assert_int_equal (side->received, length);
        side->accepted = -1;
        destroy_side (side);
      }
}

/* The other side closed in order and then got something more from here.  */
static void
test_reset_behind_an_orderly_end (void **state)
{
  struct side *side = connect_side (false);
  uv_buf_t buffer = uv_buf_init ((char[]){ "x" }, 1);

  (void)state;
  assert_int_equal (send (side->accepted, "data", 4, 0), 4);
  close (side->accepted);
  side->accepted = -1;
  ms_socket_write (side->socket, &buffer, 1);
  for (unsigned i = 0; i < 1000 && !side->ended; i++)
    run_shortly (side);
  assert_true (side->ended);
  assert_int_equal (side->how, MS_CLOSE_THEN_RESET);
  assert_int_equal (side->received, 4);
  destroy_side (side);
}

static bool
update (struct ms_ack_watch *watch, bool unanswered, ms_time age, ms_time now)
{
  const struct ms_ack_state state = { unanswered, age };

  return ms_ack_watch_update (watch, &state, now);
}

static void
test_watch_counts_from_the_last_acknowledgement (void **state)
{
  struct ms_ack_watch watch = { 0 };

  (void)state;
  /* A long silence before something was sent does not count.  */
  assert_false (update (&watch, true, 60 * MS_SEC, 100 * MS_SEC));
  assert_false (update (&watch, true, 61 * MS_SEC, 101 * MS_SEC));
  /* Other data was acknowledged meanwhile.  */
  assert_false (update (&watch, true, MS_SEC / 2, 103 * MS_SEC));
  assert_false (update (&watch, true, 2 * MS_SEC, 104 * MS_SEC));
  assert_true (update (&watch, true, 3 * MS_SEC, 105 * MS_SEC));
  /* All is acknowledged, and the next wait begins anew.  */
  assert_false (update (&watch, false, 3 * MS_SEC, 105 * MS_SEC));
  assert_false (update (&watch, true, 9 * MS_SEC, 111 * MS_SEC));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_other_side_that_does_not_read_for_a_while),
    cmocka_unit_test (test_other_side_that_has_vanished),
    cmocka_unit_test (test_reset_behind_data_is_no_orderly_end),
    cmocka_unit_test (test_reset_behind_an_orderly_end),
    cmocka_unit_test (test_closed_connection_does_not_linger),
    cmocka_unit_test (test_watch_counts_from_the_last_acknowledgement),
  };

  return RUN (tests);
}

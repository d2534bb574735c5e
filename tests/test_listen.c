#include "check.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"
#include "gateway/caller.h"
#include "gateway/gateway.h"

/* Callers that have connected and sent a request when the gateway closes its
   port, under pressure or before it exits.  */
#define CALLERS 40

static const char request_text[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

static struct ms_gateway *
create_gateway (void)
{
  struct ms_gateway *gw = ms_new (sizeof *gw);
  socklen_t length = sizeof gw->caller_address;

  gw->settings = ms_new (sizeof *gw->settings);
  gw->settings->file_descriptors = 1000;
  gw->settings->memory_mb = 100;
  gw->clock = ms_system_clock ();
  gw->pressure = ms_pressure_create ();
  gw->room = ms_room_create (100 << 20);
  uv_loop_init (&gw->loop);
  gw->caller_address.sin_family = AF_INET;
  gw->caller_address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ms_gateway_update_time (gw);
  ms_gateway_listen (gw);
  assert_true (gw->listening);
  uv_tcp_getsockname (&gw->caller_listener,
                      (struct sockaddr *)&gw->caller_address, (int *)&length);
  return gw;
}

static void
close_handle (uv_handle_t *handle, void *context)
{
  (void)context;
  if (!uv_is_closing (handle))
    uv_close (handle, NULL);
}

static void
destroy_gateway (struct ms_gateway *gw)
{
  uv_walk (&gw->loop, close_handle, NULL);
  uv_run (&gw->loop, UV_RUN_DEFAULT);
  uv_loop_close (&gw->loop);
  ms_pressure_destroy (gw->pressure);
  ms_room_destroy (gw->room);
  free (gw->settings);
  free (gw);
}

/* Connect to GW, whose loop does not run meanwhile, and send a request.  */
static int
connect_caller (const struct ms_gateway *gw)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  assert_true (fd >= 0);
  assert_int_equal (connect (fd, (const struct sockaddr *)&gw->caller_address,
                             sizeof gw->caller_address),
                    0);
  assert_int_equal (send (fd, request_text, strlen (request_text), 0),
                    strlen (request_text));
  return fd;
}

/* Requests that wait unread when the port is closed are answered: without a
   configuration the answer is 503.  */
static void
test_waiting_requests_are_answered (void **state)
{
  struct ms_gateway *gw = create_gateway ();
  int fds[CALLERS];

  (void)state;
  for (unsigned i = 0; i < CALLERS; i++)
    fds[i] = connect_caller (gw);
  ms_gateway_stop_listening (gw);
  assert_false (gw->listening);
  for (unsigned i = 0; i < 200 && gw->callers; i++)
    uv_run (&gw->loop, UV_RUN_NOWAIT);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      char answer[512] = "";

      assert_true (recv (fds[i], answer, sizeof answer - 1, MSG_DONTWAIT) > 0);
      assert_non_null (strstr (answer, "HTTP/1.1 503 "));
      assert_non_null (strstr (answer, "Retry-After:"));
      close (fds[i]);
    }
  destroy_gateway (gw);
}

/* Once the port is closed, callers are refused at once, so that they try
   another router; then it can be opened again.  */
static void
test_port_opens_again (void **state)
{
  struct ms_gateway *gw = create_gateway ();
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  (void)state;
  ms_gateway_stop_listening (gw);
  while (gw->listener_closing)
    uv_run (&gw->loop, UV_RUN_NOWAIT);
  assert_int_not_equal (connect (fd,
                                 (const struct sockaddr *)&gw->caller_address,
                                 sizeof gw->caller_address),
                        0);
  close (fd);
  ms_gateway_listen (gw);
  assert_true (gw->listening);
  close (connect_caller (gw));
  destroy_gateway (gw);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_waiting_requests_are_answered),
    cmocka_unit_test (test_port_opens_again),
  };

  return RUN (tests);
}

#include "check.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gateway/peers.h"
#include "support/gateway_fixture.h"

#define PEER_ID 7
#define ZONE_ID 3

/* Return a UDP port of the loopback address that was free.  */
static unsigned
free_port (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_DGRAM, 0);

  assert_true (fd >= 0);
  assert_int_equal (bind (fd, (struct sockaddr *)&address, length), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *)&address, &length), 0);
  close (fd);
  return ntohs (address.sin_port);
}

/* Send the digest of another router to PORT.  */
static void
send_digest (unsigned port, ms_time now)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct in_addr ip = { htonl (INADDR_LOOPBACK) };
  struct ms_fleet *fleet = ms_fleet_create (PEER_ID, 1, ZONE_ID, ip, 1, now);
  digest_member members[DIGEST_MEMBERS];
  struct fleet_digest digest = { 0 };
  char data[4096];
  unsigned length;
  int fd = socket (AF_INET, SOCK_DGRAM, 0);

  assert_true (fd >= 0);
  ms_fleet_fill_digest (fleet, &digest, members, now);
  length = ms_digest_encode (&digest, data, sizeof data);
  assert_true (length > 0);
  assert_int_equal (
      sendto (fd, data, length, 0, (struct sockaddr *)&to, sizeof to), length);
  close (fd);
  ms_fleet_destroy (fleet);
}

/* Guards against ages in digests that count from the event before: the age of
   an order would grow faster than time.  */
static void
test_digest_is_timed_by_its_arrival (void **state)
{
  struct fixture *f = fixture_create (100);
  struct ms_gateway *gw = f->gw;
  const struct ms_fleet_router *routers;
  unsigned count = 0;

  (void)state;
  gw->settings->peer_port = free_port ();
  assert_int_equal (ms_peers_create (gw, &gw->peers), MS_OK);
  ms_gateway_update_time (gw);
  fixture_advance (f, 19);
  send_digest (gw->settings->peer_port, gw->now);
  for (unsigned i = 0; i < FIXTURE_WAIT_MS && !count; i++)
    {
      fixture_step (f);
      routers = ms_fleet_routers (gw->fleet, &count);
      usleep (1000);
    }
  assert_int_equal (count, 1);
  assert_int_equal (routers[0].heard, ms_now (&gw->clock));
  ms_peers_destroy (gw->peers);
  gw->peers = NULL;
  fixture_destroy (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_digest_is_timed_by_its_arrival),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

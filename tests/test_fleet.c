#include "check.h"

#include <arpa/inet.h>
#include <string.h>

#include "fleet/fleet.h"

#define ZONE_A 1
#define ZONE_B 2

static struct in_addr
ip (const char *text)
{
  struct in_addr address;

  inet_pton (AF_INET, text, &address);
  return address;
}

static struct ms_fleet *
create (void)
{
  return ms_fleet_create (100, 1, ZONE_A, ip ("10.0.0.100"), 1);
}

/* Let a digest of router ID with one load arrive.  */
static bool
hear (struct ms_fleet *fleet, uint64_t id, uint64_t incarnation,
      unsigned sequence, uint64_t zone, bool ready, ms_time now)
{
  digest_load load = { 7, 3, 1000, 2000, 0 };
  struct fleet_digest sent = { 0 };
  struct fleet_digest received;
  char data[1024];
  unsigned length;
  bool taken;

  sent.self = (digest_member){ id, incarnation, zone, 0x0a000000 + (u_int)id };
  sent.sequence = sequence;
  sent.ready = ready;
  sent.loads.loads_val = &load;
  sent.loads.loads_len = 1;
  length = ms_digest_encode (&sent, data, sizeof data);
  assert_true (length > 0);
  assert_true (ms_digest_decode (data, length, &received));
  taken = ms_fleet_receive (fleet, &received, now);
  ms_digest_free (&received);
  return taken;
}

static void
test_takes_each_digest_once (void **state)
{
  struct ms_fleet *fleet = create ();
  unsigned count;

  (void)state;
  assert_true (hear (fleet, 1, 5, 1, ZONE_A, true, MS_SEC));
  assert_false (hear (fleet, 1, 5, 1, ZONE_A, true, MS_SEC));
  assert_true (hear (fleet, 1, 5, 2, ZONE_A, true, MS_SEC));
  assert_false (hear (fleet, 100, 5, 9, ZONE_A, true, MS_SEC));
  assert_int_equal (ms_fleet_routers (fleet, &count)[0].loads[0].running, 3);
  assert_int_equal (count, 1);
  ms_fleet_destroy (fleet);
}

/* A router whose clock was set back starts again with a lower incarnation.  */
static void
test_takes_a_restart_after_the_clock_went_back (void **state)
{
  struct ms_fleet *fleet = create ();

  (void)state;
  assert_true (hear (fleet, 1, 50, 900, ZONE_A, true, MS_SEC));
  assert_false (hear (fleet, 1, 40, 1, ZONE_A, true, MS_SEC));
  assert_true (
      hear (fleet, 1, 40, 1, ZONE_A, true, MS_SEC + MS_ROUTER_SILENT + 1));
  ms_fleet_destroy (fleet);
}

static void
test_names_only_routers_that_serve (void **state)
{
  struct ms_fleet *fleet = create ();
  struct in_addr list[8];

  (void)state;
  hear (fleet, 1, 5, 1, ZONE_A, true, MS_SEC);
  hear (fleet, 2, 5, 1, ZONE_A, false, MS_SEC);
  hear (fleet, 3, 5, 1, ZONE_B, true, MS_SEC);
  /* The zone's own routers, where there are two.  */
  assert_int_equal (ms_fleet_addresses (fleet, ZONE_A, true, MS_SEC, list, 8),
                    2);
  /* All that are ready, where there are not.  */
  assert_int_equal (ms_fleet_addresses (fleet, ZONE_B, true, MS_SEC, list, 8),
                    3);
  assert_int_equal (ms_fleet_addresses (fleet, ZONE_A, false, MS_SEC, list, 8),
                    2);
  /* Nobody was heard of: itself.  */
  assert_int_equal (
      ms_fleet_addresses (fleet, ZONE_A, false, 10 * MS_SEC, list, 8), 1);
  assert_int_equal (list[0].s_addr, ip ("10.0.0.100").s_addr);
  ms_fleet_destroy (fleet);
}

static void
test_learns_of_routers_from_others (void **state)
{
  struct ms_fleet *first = create ();
  struct ms_fleet *second
      = ms_fleet_create (200, 1, ZONE_B, ip ("10.0.0.200"), 1);
  struct fleet_digest digest = { 0 };
  digest_member members[DIGEST_MEMBERS];
  struct in_addr targets[8];

  (void)state;
  hear (first, 1, 5, 1, ZONE_A, true, MS_SEC);
  ms_fleet_describe (first, &digest, members);
  assert_int_equal (digest.members.members_len, 1);
  ms_fleet_receive (second, &digest, MS_SEC);
  assert_int_equal (ms_fleet_addresses (second, 0, true, MS_SEC, targets, 8),
                    1);
  /* It asks the one it only heard of, now and then.  */
  for (int i = 0; i < 100; i++)
    if (ms_fleet_targets (second, MS_SEC, targets, 8) == 2)
      {
        ms_fleet_destroy (first);
        ms_fleet_destroy (second);
        return;
      }
  fail ();
}

static void
test_refuses_bytes_that_are_no_digest (void **state)
{
  struct fleet_digest digest;

  (void)state;
  assert_false (ms_digest_decode ("\x01\x02\x03", 3, &digest));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_takes_each_digest_once),
    cmocka_unit_test (test_takes_a_restart_after_the_clock_went_back),
    cmocka_unit_test (test_names_only_routers_that_serve),
    cmocka_unit_test (test_learns_of_routers_from_others),
    cmocka_unit_test (test_refuses_bytes_that_are_no_digest),
  };

  return RUN (tests);
}

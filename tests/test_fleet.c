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
  digest_load load
      = { .endpoint = 7, .running = 3, .prefill = 1000, .memory = 2000 };
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

#define ZONES 3
#define LARGE 60
#define PERIOD (150 * MS_MSEC)

/* Sixty routers in three zones on a network without loss.  */
struct network
{
  struct ms_fleet *fleets[LARGE];
  unsigned messages;
};

static uint64_t
id_of (unsigned i)
{
  return ms_id_pair (i, 1);
}

static void
deliver (struct network *net, const struct fleet_digest *digest,
         const struct in_addr *targets, unsigned count, ms_time now)
{
  static char data[65000];
  unsigned length = ms_digest_encode (digest, data, sizeof data);

  assert_true (length > 0);
  for (unsigned i = 0; i < count; i++)
    {
      unsigned to = ntohl (targets[i].s_addr) - 0x0a000000;
      struct fleet_digest received;

      assert_true (ms_digest_decode (data, length, &received));
      ms_fleet_receive (net->fleets[to], &received, now);
      ms_digest_free (&received);
      net->messages++;
    }
}

/* Router I tells what it has: one request at endpoint 7.  */
static void
tell (struct network *net, unsigned i, ms_time now)
{
  struct ms_fleet *fleet = net->fleets[i];
  digest_load load = { .endpoint = 7,
                       .running = 1,
                       .prefill = 10,
                       .memory = 20,
                       .limit = 40 + i % 3 };
  digest_member members[DIGEST_MEMBERS];
  digest_zone zones[DIGEST_ZONES];
  struct ms_zone_sums sums;
  digest_zone own;
  struct fleet_digest digest = { 0 };
  struct in_addr targets[64];
  unsigned count = ms_fleet_targets (fleet, now, targets, 64);
  bool reader = ms_fleet_large (fleet) && ms_fleet_reads_store (fleet, now);

  ms_fleet_describe (fleet, &digest, members);
  digest.ready = true;
  digest.loads.loads_val = &load;
  digest.loads.loads_len = 1;
  if (reader)
    ms_fleet_tell_zones (fleet, &digest, zones, now);
  deliver (net, &digest, targets, count, now);
  if (!reader)
    return;
  ms_fleet_sum_zone (fleet, &digest, &sums, &own, now);
  digest.loads.loads_len = 0;
  digest.zones.zones_val = &own;
  digest.zones.zones_len = 1;
  count = ms_fleet_readers (fleet, now, targets, 64);
  deliver (net, &digest, targets, count, now);
}

/* Requests that FLEET knows others to have at endpoint 7.  */
static unsigned
known_running (const struct ms_fleet *fleet, uint64_t zone, ms_time now)
{
  unsigned count;
  const struct ms_fleet_router *routers = ms_fleet_routers (fleet, &count);
  unsigned zones_count;
  const struct ms_fleet_zone *zones = ms_fleet_zones (fleet, &zones_count);
  unsigned running = 0;

  for (unsigned i = 0; i < count; i++)
    if (routers[i].zone == zone && ms_fleet_alive (&routers[i], now))
      for (unsigned j = 0; j < routers[i].loads_count; j++)
        running += routers[i].loads[j].running;
  for (unsigned i = 0; i < zones_count; i++)
    for (unsigned j = 0; j < zones[i].loads_count; j++)
      running += zones[i].loads[j].running;
  return running;
}

/* In a large fleet each router knows what all others have though it hears of
   other zones by their sums, and messages do not grow with all routers.  */
static void
test_large_fleet_knows_all_by_zones (void **state)
{
  static struct network net;
  ms_time now = 0;
  unsigned readers = 0;

  (void)state;
  for (unsigned i = 0; i < LARGE; i++)
    net.fleets[i]
        = ms_fleet_create (id_of (i), 1, 1 + i % ZONES,
                           (struct in_addr){ htonl (0x0a000000 + i) }, i);
  for (unsigned i = 0; i < LARGE; i++)
    for (unsigned j = 0; j < LARGE; j++)
      ms_fleet_learn (net.fleets[i], id_of (j), 1, 1 + j % ZONES,
                      (struct in_addr){ htonl (0x0a000000 + j) }, now);
  for (unsigned round = 0; round < 40; round++)
    {
      now += PERIOD;
      net.messages = 0;
      for (unsigned i = 0; i < LARGE; i++)
        tell (&net, i, now);
    }
  for (unsigned i = 0; i < LARGE; i++)
    {
      assert_int_equal (known_running (net.fleets[i], 1 + i % ZONES, now),
                        LARGE - 1);
      readers += ms_fleet_reads_store (net.fleets[i], now);
    }
  assert_int_equal (readers, 2 * ZONES);
  /* Within zones, and a few between them.  */
  assert_true (net.messages <= LARGE * (LARGE / ZONES));
  for (unsigned i = 0; i < LARGE; i++)
    ms_fleet_destroy (net.fleets[i]);
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
    cmocka_unit_test (test_large_fleet_knows_all_by_zones),
    cmocka_unit_test (test_refuses_bytes_that_are_no_digest),
  };

  return RUN (tests);
}

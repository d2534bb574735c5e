#include "check.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/alloc.h"
#include "fleet/fleet.h"

#define ZONE_A 1
#define ZONE_B 2

static struct in_addr
parse_ip (const char *text)
{
  struct in_addr address;

  inet_pton (AF_INET, text, &address);
  return address;
}

/* 10.0.0.0 in host byte order; the test routers add their number or id.  */
#define FIRST_IP 0x0a000000

static struct ms_fleet *
create_fleet (void)
{
  return ms_fleet_create (100, 1, ZONE_A, parse_ip ("10.0.0.100"), 1, 0);
}

/* Encode, decode and receive a digest of router ID with one load, as it comes
   over UDP.  Returns whether FLEET accepted it.  */
static bool
receive_digest (struct ms_fleet *fleet, uint64_t id, uint64_t incarnation,
                unsigned sequence, uint64_t zone, bool ready, ms_time now)
{
  digest_load load
      = { .endpoint = 7, .running = 3, .prefill = 1000, .memory = 2000 };
  struct fleet_digest sent = { 0 };
  struct fleet_digest received;
  char data[1024];
  unsigned length;
  bool accepted;

  sent.self = (digest_member){ id, incarnation, zone, FIRST_IP + (u_int)id };
  sent.sequence = sequence;
  sent.ready = ready;
  sent.loads.loads_val = &load;
  sent.loads.loads_len = 1;
  length = ms_digest_encode (&sent, data, sizeof data);
  assert_true (length > 0);
  assert_true (ms_digest_decode (data, length, &received));
  accepted = ms_fleet_receive (fleet, &received, now);
  ms_digest_free (&received);
  return accepted;
}

static void
test_repeated_and_own_digests_are_ignored (void **state)
{
  struct ms_fleet *fleet = create_fleet ();
  unsigned count;

  (void)state;
  assert_true (receive_digest (fleet, 1, 5, 1, ZONE_A, true, MS_SEC));
  assert_false (receive_digest (fleet, 1, 5, 1, ZONE_A, true, MS_SEC));
  assert_true (receive_digest (fleet, 1, 5, 2, ZONE_A, true, MS_SEC));
  assert_false (receive_digest (fleet, 100, 5, 9, ZONE_A, true, MS_SEC));
  assert_int_equal (ms_fleet_routers (fleet, &count)[0].loads[0].running, 3);
  assert_int_equal (count, 1);
  ms_fleet_destroy (fleet);
}

/* The incarnation of a router is its start time, so after its clock was set
   back it restarts with a lower one.  Such digests are accepted only once the
   router has been silent, otherwise they could be late ones of the earlier
   start.  */
static void
test_silent_router_may_restart_with_lower_incarnation (void **state)
{
  struct ms_fleet *fleet = create_fleet ();

  (void)state;
  assert_true (receive_digest (fleet, 1, 50, 900, ZONE_A, true, MS_SEC));
  assert_false (receive_digest (fleet, 1, 40, 1, ZONE_A, true, MS_SEC));
  assert_true (receive_digest (fleet, 1, 40, 1, ZONE_A, true,
                               MS_SEC + MS_ROUTER_SILENT_TIME + 1));
  ms_fleet_destroy (fleet);
}

static void
test_addresses_are_of_ready_routers_only (void **state)
{
  struct ms_fleet *fleet = create_fleet ();
  struct in_addr list[8];

  (void)state;
  receive_digest (fleet, 1, 5, 1, ZONE_A, true, MS_SEC);
  receive_digest (fleet, 2, 5, 1, ZONE_A, false, MS_SEC);
  receive_digest (fleet, 3, 5, 1, ZONE_B, true, MS_SEC);
  /* Two routers of the zone are ready: only these.  */
  assert_int_equal (ms_fleet_addresses (fleet, ZONE_A, true, MS_SEC, list, 8),
                    2);
  /* Fewer than two are: all ready routers of all zones.  */
  assert_int_equal (ms_fleet_addresses (fleet, ZONE_B, true, MS_SEC, list, 8),
                    3);
  assert_int_equal (ms_fleet_addresses (fleet, ZONE_A, false, MS_SEC, list, 8),
                    2);
  /* No router is alive and ready: this router itself.  */
  assert_int_equal (
      ms_fleet_addresses (fleet, ZONE_A, false, 10 * MS_SEC, list, 8), 1);
  assert_int_equal (list[0].s_addr, parse_ip ("10.0.0.100").s_addr);
  ms_fleet_destroy (fleet);
}

static void
test_digest_members_are_learned_and_contacted (void **state)
{
  struct ms_fleet *first = create_fleet ();
  struct ms_fleet *second
      = ms_fleet_create (200, 1, ZONE_B, parse_ip ("10.0.0.200"), 1, 0);
  struct fleet_digest digest = { 0 };
  digest_member members[DIGEST_MEMBERS];
  struct in_addr targets[8];

  (void)state;
  receive_digest (first, 1, 5, 1, ZONE_A, true, MS_SEC);
  ms_fleet_fill_digest (first, &digest, members, 0);
  assert_int_equal (digest.members.members_len, 1);
  ms_fleet_receive (second, &digest, MS_SEC);
  assert_int_equal (ms_fleet_addresses (second, 0, true, MS_SEC, targets, 8),
                    1);
  /* The router that was only mentioned counts as silent, which gets a digest
     one time in eight.  */
  for (int i = 0; i < 100; i++)
    if (ms_fleet_targets (second, MS_SEC, targets, 8) == 2)
      {
        ms_fleet_destroy (first);
        ms_fleet_destroy (second);
        return;
      }
  fail ();
}

#define ZONE_COUNT 3
#define ROUTER_COUNT 60
#define DIGEST_PERIOD (150 * MS_MSEC)

/* Sixty routers in three zones, on a network that loses nothing.  */
struct network
{
  struct ms_fleet *fleets[ROUTER_COUNT];
  unsigned messages; /* Digests delivered in the current round.  */
};

static uint64_t
router_id (unsigned i)
{
  return ms_id_pair (i, 1);
}

static void
deliver_digest (struct network *net, const struct fleet_digest *digest,
                const struct in_addr *targets, unsigned count, ms_time now)
{
  static char data[65000];
  unsigned length = ms_digest_encode (digest, data, sizeof data);

  assert_true (length > 0);
  for (unsigned i = 0; i < count; i++)
    {
      unsigned receiver = ntohl (targets[i].s_addr) - FIRST_IP;
      struct fleet_digest received;

      assert_true (ms_digest_decode (data, length, &received));
      ms_fleet_receive (net->fleets[receiver], &received, now);
      ms_digest_free (&received);
      net->messages++;
    }
}

/* Let router I send its digest, with one request at endpoint 7, and if it is a
   reader also its zone sums.  */
static void
send_digest (struct network *net, unsigned i, ms_time now)
{
  struct ms_fleet *fleet = net->fleets[i];
  digest_load load = { .endpoint = 7,
                       .running = 1,
                       .prefill = 10,
                       .memory = 20,
                       .limit = 40 + i % 3 };
  digest_member members[DIGEST_MEMBERS];
  struct ms_zone_list zones;
  static struct ms_zone_sums sums;
  struct fleet_digest digest = { 0 };
  struct in_addr targets[64];
  unsigned count = ms_fleet_targets (fleet, now, targets, 64);
  bool reader = ms_fleet_large (fleet, now) && ms_fleet_sums_zone (fleet, now);

  ms_fleet_fill_digest (fleet, &digest, members, now);
  digest.ready = true;
  digest.loads.loads_val = &load;
  digest.loads.loads_len = 1;
  if (reader)
    ms_fleet_put_zone_sums (fleet, &digest, &zones, now);
  deliver_digest (net, &digest, targets, count, now);
  if (!reader)
    return;
  ms_fleet_sum_zone (fleet, &digest, &sums, now);
  digest.loads.loads_len = 0;
  digest.zones.zones_val = &sums.zone;
  digest.zones.zones_len = 1;
  digest.rooms.rooms_val = &sums.room;
  digest.rooms.rooms_len = 1;
  count = ms_fleet_other_readers (fleet, now, targets, 64);
  deliver_digest (net, &digest, targets, count, now);
}

/* Return the requests that FLEET knows others to run at endpoint 7: those of
   live routers in ZONE, which is its own, and the zone sums of others.  */
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

/* Start the routers of NET, which know each other.  */
static void
start_network (struct network *net, ms_time now)
{
  for (unsigned i = 0; i < ROUTER_COUNT; i++)
    net->fleets[i]
        = ms_fleet_create (router_id (i), 1, 1 + i % ZONE_COUNT,
                           (struct in_addr){ htonl (FIRST_IP + i) }, i, now);
  for (unsigned i = 0; i < ROUTER_COUNT; i++)
    for (unsigned j = 0; j < ROUTER_COUNT; j++)
      ms_fleet_learn (net->fleets[i], router_id (j), 1, 1 + j % ZONE_COUNT,
                      (struct in_addr){ htonl (FIRST_IP + j) }, now);
}

/* In a large fleet each router knows the load of all others although only
   readers send zone sums to other zones.  The number of messages in a round,
   in which each router sends its digest once, is at most that of all routers
   times that of one zone's routers, instead of growing with the square of the
   number of all routers.  */
static void
test_large_fleet_sums_reach_all_zones (void **state)
{
  static struct network net;
  ms_time now = 0;
  unsigned readers = 0;

  (void)state;
  start_network (&net, now);
  for (unsigned round = 0; round < 40; round++)
    {
      now += DIGEST_PERIOD;
      net.messages = 0;
      for (unsigned i = 0; i < ROUTER_COUNT; i++)
        send_digest (&net, i, now);
    }
  for (unsigned i = 0; i < ROUTER_COUNT; i++)
    {
      assert_int_equal (known_running (net.fleets[i], 1 + i % ZONE_COUNT, now),
                        ROUTER_COUNT - 1);
      readers += ms_fleet_sums_zone (net.fleets[i], now);
    }
  assert_int_equal (readers, 2 * ZONE_COUNT);
  /* Each router to those of its zone, and few messages between zones.  */
  assert_true (net.messages <= ROUTER_COUNT * (ROUTER_COUNT / ZONE_COUNT));
  for (unsigned i = 0; i < ROUTER_COUNT; i++)
    ms_fleet_destroy (net.fleets[i]);
}

/* Zone sums cross from each zone to each other one by one path at a time, and
   little more; when the reader at one end of it ends, the others know the load
   of its zone again, and it that of theirs, within the time after which a
   silent router counts as gone.  */
static void
test_zone_sums_take_one_path (void **state)
{
  static struct network net;
  ms_time now = 0;
  ms_time killed_at;
  unsigned killed = 0;
  unsigned crossings = 0;
  struct in_addr targets[64];

  (void)state;
  start_network (&net, now);
  for (unsigned round = 0; round < 60; round++)
    {
      now += DIGEST_PERIOD;
      for (unsigned i = 0; i < ROUTER_COUNT; i++)
        {
          send_digest (&net, i, now);
          if (round >= 40 && ms_fleet_sums_zone (net.fleets[i], now))
            crossings
                += ms_fleet_other_readers (net.fleets[i], now, targets, 64);
        }
    }
  assert_in_range (crossings, 20 * ZONE_COUNT * (ZONE_COUNT - 1),
                   30 * ZONE_COUNT * (ZONE_COUNT - 1));
  while (!ms_fleet_sums_zone (net.fleets[killed], now))
    killed++;
  killed_at = now;
  while (now < killed_at + MS_ROUTER_SILENT_TIME + 2 * DIGEST_PERIOD)
    {
      now += DIGEST_PERIOD;
      for (unsigned i = 0; i < ROUTER_COUNT; i++)
        if (i != killed)
          send_digest (&net, i, now);
    }
  for (unsigned i = 0; i < ROUTER_COUNT; i++)
    if (i != killed)
      assert_int_equal (known_running (net.fleets[i], 1 + i % ZONE_COUNT, now),
                        ROUTER_COUNT - 2);
  for (unsigned i = 0; i < ROUTER_COUNT; i++)
    ms_fleet_destroy (net.fleets[i]);
}

/* Send the zone sums of FROM, whose own work is LOADS, to TO.  */
static void
send_sums (struct ms_fleet *from, struct ms_fleet *to, digest_load *loads,
           unsigned loads_count, ms_time now)
{
  static struct ms_zone_sums sums;
  static char data[65000];
  struct fleet_digest digest = { 0 };
  struct fleet_digest received;
  digest_member members[DIGEST_MEMBERS];
  unsigned length;

  ms_fleet_fill_digest (from, &digest, members, now);
  digest.ready = true;
  digest.loads.loads_val = loads;
  digest.loads.loads_len = loads_count;
  ms_fleet_sum_zone (from, &digest, &sums, now);
  digest.loads.loads_len = 0;
  digest.zones.zones_val = &sums.zone;
  digest.zones.zones_len = 1;
  digest.rooms.rooms_val = &sums.room;
  digest.rooms.rooms_len = 1;
  length = ms_digest_encode (&digest, data, sizeof data);
  assert_true (length > 0);
  assert_true (ms_digest_decode (data, length, &received));
  ms_fleet_receive (to, &received, now);
  ms_digest_free (&received);
}

/* Zone sums tell of the work at all endpoints, also at more than one router's
   digest has space for.  */
static void
test_zone_sums_hold_all_endpoints (void **state)
{
  struct ms_fleet *from = create_fleet ();
  struct ms_fleet *to
      = ms_fleet_create (200, 1, ZONE_B, parse_ip ("10.0.0.200"), 1, 0);
  struct fleet_digest other = { 0 };
  digest_load loads[2][DIGEST_LOADS];
  const struct ms_fleet_zone *zone;
  unsigned count;
  unsigned running = 0;

  (void)state;
  for (unsigned i = 0; i < DIGEST_LOADS; i++)
    {
      loads[0][i] = (digest_load){ .endpoint = i, .running = 1 };
      loads[1][i] = (digest_load){ .endpoint = 100 + i, .running = 1 };
    }
  other.self = (digest_member){ 1, 5, ZONE_A, FIRST_IP + 1 };
  other.sequence = 1;
  other.loads.loads_len = DIGEST_LOADS;
  other.loads.loads_val = ms_new_array (DIGEST_LOADS, sizeof **loads);
  memcpy (other.loads.loads_val, loads[1], sizeof loads[1]);
  ms_fleet_receive (from, &other, MS_SEC);
  send_sums (from, to, loads[0], DIGEST_LOADS, MS_SEC);
  zone = ms_fleet_zones (to, &count);
  assert_int_equal (count, 1);
  assert_int_equal (zone->loads_count + zone->more_loads_count,
                    100 + DIGEST_LOADS);
  for (unsigned i = 0; i < zone->loads_count; i++)
    running += zone->loads[i].running;
  for (unsigned i = 0; i < zone->more_loads_count; i++)
    running += zone->more_loads[i].running;
  assert_int_equal (running, 2 * DIGEST_LOADS);
  ms_fleet_destroy (from);
  ms_fleet_destroy (to);
}

/* In a zone of more routers than fit in zone sums all count as alive in other
   zones.  */
static void
test_zone_sums_name_all_routers (void **state)
{
  struct ms_fleet *from = create_fleet ();
  struct ms_fleet *to
      = ms_fleet_create (200, 1, ZONE_B, parse_ip ("10.0.0.200"), 1, 0);

  (void)state;
  for (unsigned round = 1; round <= 20; round++)
    {
      for (uint64_t id = 1; id <= 80; id++)
        receive_digest (from, id, 5, round, ZONE_A, true,
                        round * DIGEST_PERIOD);
      send_sums (from, to, NULL, 0, round * DIGEST_PERIOD);
      if (round > 10)
        assert_int_equal (ms_fleet_alive_count (to, round * DIGEST_PERIOD),
                          82);
    }
  ms_fleet_destroy (from);
  ms_fleet_destroy (to);
}

/* Digests name many others only while a router may have to learn of them.  */
static void
test_quiet_digests_name_one_other (void **state)
{
  struct ms_fleet *fleet = create_fleet ();
  struct fleet_digest digest = { 0 };
  digest_member members[DIGEST_MEMBERS];
  ms_time now = MS_SEC;
  uint64_t named = 0;

  (void)state;
  for (uint64_t id = 1; id <= 20; id++)
    receive_digest (fleet, id, 5, 1, ZONE_A, true, now);
  ms_fleet_fill_digest (fleet, &digest, members, now);
  assert_int_equal (digest.members.members_len, 8);
  now = 10 * MS_SEC;
  for (unsigned i = 0; i < 20; i++)
    {
      ms_fleet_fill_digest (fleet, &digest, members, now);
      assert_int_equal (digest.members.members_len, 1);
      named |= 1ull << members[0].id;
    }
  assert_int_equal (named, 0x1ffffe);
  receive_digest (fleet, 1, 6, 1, ZONE_A, true, now);
  ms_fleet_fill_digest (fleet, &digest, members, now);
  assert_int_equal (digest.members.members_len, 8);
  ms_fleet_destroy (fleet);
}

/* Let FLEET receive a digest of router ID in zone A that reports an order with
   SENT requests, AGE and one failure on ROUTE.  */
static void
receive_rollout (struct ms_fleet *fleet, uint64_t id, uint64_t incarnation,
                 unsigned sequence, uint32_t sent, uint64_t route, ms_time age,
                 ms_time now)
{
  static struct ms_rollout_list list;
  struct ms_rollout_report report = {
    .service = 50,
    .order = 60,
    .version = 70,
    .age = age,
    .phase = MS_ROLLOUT_CANARY,
    .sent = { sent, 10 * sent },
    .running_old = 2,
    .routers = 1,
    .unmoved = 1,
    .strata_count = 1,
    .strata
    = { { route, ZONE_A, { 3, 30 }, { 1, 0 }, { 2, 20 }, { 1, 0 }, 0.5F } },
    .suspects_count = 1,
    .suspects = { { 80, 3, 1 } },
  };
  struct fleet_digest sent_digest = { 0 };
  struct fleet_digest received;
  char data[4096];
  unsigned length;

  ms_rollout_list_fill (&list, &report, 1, 0);
  sent_digest.self
      = (digest_member){ id, incarnation, ZONE_A, FIRST_IP + (u_int)id };
  sent_digest.sequence = sequence;
  sent_digest.rollouts.rollouts_val = list.rollouts;
  sent_digest.rollouts.rollouts_len = list.count;
  length = ms_digest_encode (&sent_digest, data, sizeof data);
  assert_true (length > 0);
  assert_true (ms_digest_decode (data, length, &received));
  assert_true (ms_fleet_receive (fleet, &received, now));
  ms_digest_free (&received);
}

/* Send the sums of orders of the zone of FROM, or those that it has of other
   zones, to TO.  Return the number of zones sent.  */
static unsigned
send_rollouts (struct ms_fleet *from, struct ms_fleet *to, bool of_others,
               ms_time now)
{
  static struct ms_zone_sums sums;
  static struct ms_zone_list list;
  static char data[65000];
  struct fleet_digest digest = { 0 };
  struct fleet_digest received;
  digest_member members[DIGEST_MEMBERS];
  unsigned length;
  unsigned count;

  ms_fleet_fill_digest (from, &digest, members, now);
  if (of_others)
    ms_fleet_put_zone_sums (from, &digest, &list, now);
  else
    {
      ms_fleet_sum_zone (from, &digest, &sums, now);
      digest.zone_rollouts.zone_rollouts_val = &sums.rollouts;
      digest.zone_rollouts.zone_rollouts_len = 1;
    }
  count = digest.zone_rollouts.zone_rollouts_len;
  length = ms_digest_encode (&digest, data, sizeof data);
  assert_true (length > 0);
  assert_true (ms_digest_decode (data, length, &received));
  ms_fleet_receive (to, &received, now);
  ms_digest_free (&received);
  return count;
}

/* Guards against a fleet of several zones whose routers compare versions by
   the answers of their own zone only: what routers report of an order is added
   up by zone, and passed on within the others.  One that is silent still
   counts with its answers, not with what it runs.  */
static void
test_zone_sums_have_reports_of_rollouts (void **state)
{
  struct ms_fleet *from = create_fleet ();
  struct ms_fleet *reader
      = ms_fleet_create (200, 1, ZONE_B, parse_ip ("10.0.0.200"), 1, 0);
  struct ms_fleet *other
      = ms_fleet_create (201, 1, ZONE_B, parse_ip ("10.0.0.201"), 1, 0);
  const struct ms_fleet_zone *zone;
  const struct ms_rollout_report *r;
  ms_time now = 10 * MS_SEC;
  unsigned count;

  (void)state;
  receive_rollout (from, 1, 5, 1, 4, 90, MS_SEC, now - 2 * MS_SEC);
  receive_rollout (from, 2, 5, 1, 5, 91, 2 * MS_SEC, now);
  receive_rollout (from, 3, 5, 1, 6, 90, -1, now);
  /* It has started again.  */
  receive_rollout (from, 3, 6, 1, 1, 90, -1, now);
  assert_int_equal (send_rollouts (from, reader, false, now), 1);
  assert_int_equal (send_rollouts (reader, other, true, now + MS_SEC / 2), 1);
  zone = ms_fleet_zones (other, &count);
  assert_int_equal (count, 1);
  assert_int_equal (zone->id, ZONE_A);
  assert_int_equal (zone->rollouts_count, 1);
  r = zone->rollouts;
  assert_int_equal (r->service, 50);
  assert_int_equal (r->order, 60);
  assert_int_equal (r->version, 70);
  assert_int_equal (r->age, 3 * MS_SEC + MS_SEC / 2);
  assert_int_equal (r->phase, MS_ROLLOUT_CANARY);
  assert_int_equal (r->sent[0], 10);
  assert_int_equal (r->sent[1], 100);
  assert_int_equal (r->running_old, 4);
  assert_int_equal (r->routers, 3);
  assert_int_equal (r->unmoved, 2);
  assert_int_equal (r->strata_count, 2);
  assert_int_equal (r->strata[0].answers[0], 6);
  assert_int_equal (r->strata[0].timed[1], 40);
  assert_int_equal (r->suspects[0].answers, 9);
  ms_fleet_destroy (from);
  ms_fleet_destroy (reader);
  ms_fleet_destroy (other);
}

/* Routers of the version before do not send rollouts; without an order, new
   ones send two empty lists.  */
static void
test_digest_without_rollouts_is_read (void **state)
{
  struct fleet_digest sent = { .known_for = 4321 };
  struct fleet_digest received;
  char data[1024];
  unsigned length = ms_digest_encode (&sent, data, sizeof data);

  (void)state;
  assert_true (ms_digest_decode (data, length - 8, &received));
  assert_int_equal (received.known_for, 4321);
  assert_int_equal (received.rollouts.rollouts_len, 0);
  assert_int_equal (received.zone_rollouts.zone_rollouts_len, 0);
  ms_digest_free (&received);
}

/* A report that contradicts itself is not passed on to other zones, where it
   would hide the sound ones of its zone.  */
static void
test_absurd_reports_of_rollouts_are_not_added (void **state)
{
  struct ms_rollout_report reports[MS_ROLLOUTS];
  struct ms_rollout_report sound = { .service = 50,
                                     .order = 60,
                                     .phase = MS_ROLLOUT_CANARY,
                                     .sent = { 4, 40 },
                                     .strata_count = 1,
                                     .strata = { { .answers = { 4, 40 } } } };
  struct ms_rollout_report absurd = sound;
  unsigned count = 0;

  (void)state;
  absurd.strata[0].failed[0] = 5;
  ms_rollout_reports_add (reports, &count, &absurd, 0);
  assert_int_equal (count, 0);
  ms_rollout_reports_add (reports, &count, &sound, 0);
  ms_rollout_reports_add (reports, &count, &absurd, 0);
  assert_int_equal (count, 1);
  assert_int_equal (reports[0].strata[0].answers[0], 4);
}

static void
test_malformed_digest_is_rejected (void **state)
{
  struct fleet_digest digest;

  (void)state;
  assert_false (ms_digest_decode ("\x01\x02\x03", 3, &digest));
}

/* Guards against limits that are divided among routers that are gone for good,
   whose records stay in the store, and against new ones that find no room.  */
static void
test_gone_routers_keep_neither_share_nor_room (void **state)
{
  static uint64_t ids[2048];
  struct ms_fleet *fleet = create_fleet ();
  struct fleet_digest digest = { 0 };
  digest_member members[DIGEST_MEMBERS];
  ms_time later = MS_ROUTER_SHARE_TIME + 10 * MS_SEC;
  unsigned count;

  (void)state;
  ms_fleet_note_members (fleet);
  for (unsigned i = 0; i < 20; i++)
    ms_fleet_fill_digest (fleet, &digest, members, 0);
  for (uint64_t id = 1001; id <= 2024; id++)
    ms_fleet_learn (fleet, id, 1, ZONE_A, parse_ip ("10.0.0.1"), 5 * MS_SEC);
  assert_int_equal (ms_fleet_sharers (fleet, 9 * MS_SEC, ids, 2048), 1025);
  ms_fleet_learn (fleet, 1, 1, ZONE_A, parse_ip ("10.0.0.2"), 9 * MS_SEC);
  ms_fleet_routers (fleet, &count);
  assert_int_equal (count, 1024);
  /* The store still lists the others; one of them has started again.  */
  for (uint64_t id = 1001; id <= 2024; id++)
    ms_fleet_learn (fleet, id, id == 1500 ? 2 : 1, ZONE_A,
                    parse_ip ("10.0.0.1"), later);
  ms_fleet_learn (fleet, 1, 1, ZONE_A, parse_ip ("10.0.0.2"), later);
  assert_int_equal (ms_fleet_sharers (fleet, later, ids, 2048), 3);
  ms_fleet_destroy (fleet);
}

/* The record of a router is removed only when it has been silent for as long
   as its share lasts, by a router that has run for as long, and not if it has
   started again.  */
static void
test_only_gone_routers_are_removed (void **state)
{
  struct ms_fleet *fleet = create_fleet ();
  struct ms_fleet *young;
  ms_time later = MS_ROUTER_SHARE_TIME + 20 * MS_SEC;

  (void)state;
  ms_fleet_learn (fleet, 1, 5, ZONE_A, parse_ip ("10.0.0.1"), MS_SEC);
  ms_fleet_learn (fleet, 2, 5, ZONE_A, parse_ip ("10.0.0.2"), MS_SEC);
  assert_false (ms_fleet_is_gone (fleet, 1, 5, 2 * MS_SEC));
  receive_digest (fleet, 2, 5, 1, ZONE_A, true, 15 * MS_SEC);
  assert_false (ms_fleet_is_gone (fleet, 1, 5, MS_ROUTER_SHARE_TIME));
  assert_true (ms_fleet_is_gone (fleet, 1, 5, later));
  assert_false (ms_fleet_is_gone (fleet, 1, 6, later));
  assert_true (ms_fleet_is_gone (fleet, 2, 5, later));
  receive_digest (fleet, 2, 5, 2, ZONE_A, true, later);
  assert_false (ms_fleet_is_gone (fleet, 2, 5, later));
  assert_false (ms_fleet_is_gone (fleet, 3, 5, later));
  young = ms_fleet_create (101, 1, ZONE_A, parse_ip ("10.0.0.101"), 1,
                           later - MS_SEC);
  ms_fleet_learn (young, 1, 5, ZONE_A, parse_ip ("10.0.0.1"), later);
  assert_false (ms_fleet_is_gone (young, 1, 5, later));
  ms_fleet_destroy (young);
  ms_fleet_destroy (fleet);
}

/* Guards against digests that grow while nothing was refused, or that are not
   read from routers that do not send refusals.  */
static void
test_digest_without_returns_is_not_larger (void **state)
{
  struct fleet_digest digest = { .sequence = 7 };
  struct fleet_digest received;
  digest_return entry = { 5, 20, 300, 4000 };
  char data[1024];
  unsigned length = ms_digest_encode (&digest, data, sizeof data);

  (void)state;
  assert_int_equal (length, 116); /* As before there were any.  */
  assert_true (ms_digest_decode (data, length, &received));
  assert_int_equal (received.returns.returns_len, 0);
  ms_digest_free (&received);
  digest.returns.returns_val = &entry;
  digest.returns.returns_len = 1;
  length = ms_digest_encode (&digest, data, sizeof data);
  /* With the empty lists before it.  */
  assert_int_equal (length, 152);
  assert_true (ms_digest_decode (data, length, &received));
  assert_int_equal (received.returns.returns_len, 1);
  assert_int_equal (received.returns.returns_val[0].wait, 300);
  ms_digest_free (&received);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_repeated_and_own_digests_are_ignored),
    cmocka_unit_test (test_silent_router_may_restart_with_lower_incarnation),
    cmocka_unit_test (test_addresses_are_of_ready_routers_only),
    cmocka_unit_test (test_digest_members_are_learned_and_contacted),
    cmocka_unit_test (test_large_fleet_sums_reach_all_zones),
    cmocka_unit_test (test_zone_sums_take_one_path),
    cmocka_unit_test (test_zone_sums_hold_all_endpoints),
    cmocka_unit_test (test_zone_sums_name_all_routers),
    cmocka_unit_test (test_quiet_digests_name_one_other),
    cmocka_unit_test (test_zone_sums_have_reports_of_rollouts),
    cmocka_unit_test (test_digest_without_rollouts_is_read),
    cmocka_unit_test (test_absurd_reports_of_rollouts_are_not_added),
    cmocka_unit_test (test_malformed_digest_is_rejected),
    cmocka_unit_test (test_gone_routers_keep_neither_share_nor_room),
    cmocka_unit_test (test_only_gone_routers_are_removed),
    cmocka_unit_test (test_digest_without_returns_is_not_larger),
  };

  return RUN (tests);
}

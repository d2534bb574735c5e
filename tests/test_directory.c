#include "check.h"

#include <arpa/inet.h>
#include <math.h>
#include <string.h>

#include "fleet/fleet.h"

/* Callers of several zones, of which one has most, and what part of their
   zone's routers' processor time they use.  All routers of a zone count as
   one; callers are a flow, of which an equal part asks the directory in each
   step.  */
#define ZONES 5
#define STEP (100 * MS_MSEC)
#define TTL (2 * MS_SEC) /* Callers keep their addresses for this long.  */
#define DELAY 5          /* Steps until the use of a zone is known.  */
#define SKEW 0.62        /* Part of the callers that are in zone 0.  */

struct world
{
  double callers[ZONES];     /* Their demand as a fraction of the capacity of
                                all zones together.  */
  double sent[ZONES][ZONES]; /* Part of a zone's callers (first index) that use
                                the routers of a zone.  */
  double use[DELAY][ZONES];  /* Latest first.  */
  bool sums_lost;            /* The use of other zones is not known.  */
};

static void
set_callers (struct world *w, double demand, double skew)
{
  for (unsigned i = 0; i < ZONES; i++)
    w->callers[i] = demand * (i ? (1 - skew) / (ZONES - 1) : skew);
}

static double
use_of (const struct world *w, unsigned zone)
{
  double use = 0;

  for (unsigned i = 0; i < ZONES; i++)
    use += w->callers[i] * w->sent[i][zone] * ZONES;
  return use;
}

static void
step (struct world *w)
{
  memmove (w->use[1], w->use[0], (DELAY - 1) * sizeof *w->use);
  for (unsigned i = 0; i < ZONES; i++)
    w->use[0][i] = fmin (use_of (w, i), 1);
  for (unsigned i = 0; i < ZONES; i++)
    {
      const double *known = w->use[DELAY - 1];
      double weights[ZONES];
      double sum = 0;

      for (unsigned j = 0; j < ZONES; j++)
        {
          double use = w->sums_lost && i != j ? -1 : known[j];

          weights[j] = ms_directory_weight (known[i], use, i == j);
          sum += weights[j];
        }
      for (unsigned j = 0; j < ZONES; j++)
        w->sent[i][j]
            += (weights[j] / sum - w->sent[i][j]) * (double)STEP / TTL;
    }
}

/* Start with all callers in their own zones, spread evenly, and let them
   settle.  */
static void
settle (struct world *w, double demand)
{
  memset (w, 0, sizeof *w);
  set_callers (w, demand, 1.0 / ZONES);
  for (unsigned i = 0; i < ZONES; i++)
    w->sent[i][i] = 1;
  for (unsigned i = 0; i < 200; i++)
    step (w);
}

/* While their zone has room, most callers stay in it.  */
static void
test_callers_stay_in_their_zone (void **state)
{
  static struct world w;

  (void)state;
  settle (&w, 0.15);
  for (unsigned i = 0; i < ZONES; i++)
    assert_true (w.sent[i][i] > 0.6);
}

/* Let SKEW of the callers be in one zone from now on.  No zone's routers are
   used beyond BOUND from 6 s on, nor does the use swing.  */
static void
expect_room_after_jump (struct world *w, double demand, double bound)
{
  double low = 1;
  double high = 0;

  set_callers (w, demand, SKEW);
  for (unsigned i = 0; i < 300; i++)
    {
      step (w);
      if (i < 6 * MS_SEC / STEP)
        continue;
      for (unsigned j = 0; j < ZONES; j++)
        assert_true (use_of (w, j) <= bound);
      low = fmin (low, use_of (w, 0));
      high = fmax (high, use_of (w, 0));
    }
  assert_true (high - low < 0.1);
}

/* With callers that use 0.3 or 0.6 of all processor time, the zone with most
   of them would need 0.93 and 1.86 of its own.  */
static void
test_jump_of_callers_finds_room_elsewhere (void **state)
{
  static struct world w;

  (void)state;
  settle (&w, 0.3);
  expect_room_after_jump (&w, 0.3, 0.6);
  settle (&w, 0.6);
  expect_room_after_jump (&w, 0.6, 0.85);
}

/* The same while the use of other zones is not known.  */
static void
test_jump_is_spread_without_zone_sums (void **state)
{
  static struct world w;

  (void)state;
  settle (&w, 0.6);
  w.sums_lost = true;
  expect_room_after_jump (&w, 0.6, 0.85);
}

static struct in_addr
make_ip (uint32_t number)
{
  return (struct in_addr){ htonl (0x0a000000 + number) };
}

/* Receive a digest of router ID in ZONE that uses USED of its 120 thousandths
   of a core.  */
static void
receive_use (struct ms_fleet *fleet, uint64_t id, uint64_t zone, unsigned used,
             ms_time now)
{
  struct fleet_digest digest = { 0 };

  digest.self = (digest_member){ id, 1, zone, 0x0a000000 + (u_int)id };
  digest.sequence = (unsigned)(now / MS_MSEC);
  digest.ready = true;
  digest.capacity = 120;
  digest.used = used;
  ms_fleet_receive (fleet, &digest, now);
}

/* Return how many of 100 lists for callers of zone 1 name a router of zone
   2.  */
static unsigned
count_foreign_lists (struct ms_fleet *fleet, ms_time now)
{
  unsigned lists = 0;

  for (unsigned i = 0; i < 100; i++)
    {
      struct in_addr list[8];
      unsigned count = ms_fleet_addresses (fleet, 1, true, now, list, 8);
      bool foreign = false;

      for (unsigned j = 0; j < count; j++)
        foreign = foreign || ntohl (list[j].s_addr) > 0x0a000000 + 10;
      lists += foreign;
    }
  return lists;
}

/* The directory follows the use that routers report.  */
static void
test_lists_follow_reported_use (void **state)
{
  struct ms_fleet *fleet = ms_fleet_create (1, 1, 1, make_ip (1), 1, 0);
  unsigned idle;
  unsigned busy;

  (void)state;
  ms_fleet_set_load (fleet, 120, 0, 0);
  for (uint64_t id = 2; id <= 3; id++)
    receive_use (fleet, id, 1, 0, MS_SEC);
  for (uint64_t id = 11; id <= 13; id++)
    receive_use (fleet, id, 2, 0, MS_SEC);
  idle = count_foreign_lists (fleet, MS_SEC);
  ms_fleet_set_load (fleet, 120, 100, 0);
  for (uint64_t id = 2; id <= 3; id++)
    receive_use (fleet, id, 1, 100, 2 * MS_SEC);
  for (uint64_t id = 11; id <= 13; id++)
    receive_use (fleet, id, 2, 10, 2 * MS_SEC);
  busy = count_foreign_lists (fleet, 2 * MS_SEC);
  assert_true (idle < 50);
  assert_true (busy > 95);
  ms_fleet_destroy (fleet);
}

/* The digests of routers of earlier versions end before the lists of engines,
   before those of rollouts, before that of rates, before that of parts, or
   before the use.  */
static void
test_earlier_digest_is_read (void **state)
{
  struct fleet_digest digest = { .sequence = 7, .capacity = 120 };
  struct fleet_digest read;
  char data[1024];
  unsigned length = ms_digest_encode (&digest, data, sizeof data);

  (void)state;
  assert_true (length > 20);
  assert_true (ms_digest_decode (data, length, &read));
  assert_int_equal (read.sequence, 7);
  assert_int_equal (read.engines.engines_len, 0);
  ms_digest_free (&read);
  assert_true (ms_digest_decode (data, length - 8, &read));
  assert_int_equal (read.sequence, 7);
  assert_int_equal (read.rollouts.rollouts_len, 0);
  ms_digest_free (&read);
  assert_true (ms_digest_decode (data, length - 32, &read));
  assert_int_equal (read.sequence, 7);
  assert_int_equal (read.rates.rates_len, 0);
  ms_digest_free (&read);
  assert_true (ms_digest_decode (data, length - 36, &read));
  assert_int_equal (read.sequence, 7);
  assert_int_equal (read.parts.parts_len, 0);
  ms_digest_free (&read);
  assert_true (ms_digest_decode (data, length - 48, &read));
  assert_int_equal (read.sequence, 7);
  assert_int_equal (read.used, 0);
  ms_digest_free (&read);
  assert_false (ms_digest_decode (data, length - 52, &read));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_callers_stay_in_their_zone),
    cmocka_unit_test (test_jump_of_callers_finds_room_elsewhere),
    cmocka_unit_test (test_jump_is_spread_without_zone_sums),
    cmocka_unit_test (test_lists_follow_reported_use),
    cmocka_unit_test (test_earlier_digest_is_read),
  };

  return RUN (tests);
}

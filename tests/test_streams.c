#include "check.h"

#include <arpa/inet.h>
#include <stdlib.h>

#include "fleet/fleet.h"
#include "fleet/streams.h"

/* Streams begin at the routers of a fleet, at endpoints of one or two software
   versions.  Routers exchange digests and are killed; the callers of their
   streams take these up at other routers, which have to know the version that
   began each.  */

#define SERVICE 11
#define OLD_VERSION 101
#define NEW_VERSION 102
#define MAX_ROUTERS 295
#define MAX_STREAMS 60000
#define STEP (10 * MS_MSEC)
#define SMALL_PERIOD (100 * MS_MSEC)
#define LARGE_PERIOD (150 * MS_MSEC)
#define STORE_PERIOD (200 * MS_MSEC)
#define MAX_STORED 512
#define STREAM_TIME (8 * MS_SEC)
#define STREAMS_PER_SECOND 4 /* At each router.  */

/* What a router takes to tell the first reader of its zone of a stream, the
   time between two records of a reader, and what a write takes.  */
#define NOTICE_PERIOD (20 * MS_MSEC)
#define RECORD_PERIOD (100 * MS_MSEC)
#define WRITE_TIME (30 * MS_MSEC)

/* Times to the first event are drawn from these bounds.  */
#define MIN_FIRST_EVENT_MS 30
#define MAX_FIRST_EVENT_MS 330
#define FIRST_EVENT_TARGET (500 * MS_MSEC)

/* One in this many streams is refused by its first endpoint and sent to one of
   the other version.  */
#define MOVED_ONE_IN 10

/* Callers come back after this time, and routers are in touch so long after
   their start.  The rule holds from this many streams on.  */
#define RETRY_TIME (600 * MS_MSEC)
#define IN_TOUCH_TIME (3 * MS_SEC)
#define MIN_STREAMS 12

/* Of the streams that are taken up at least this part goes on.  */
#define MIN_KNOWN_FRACTION 0.5

struct router
{
  uint64_t id;
  uint64_t zone;
  uint64_t starts;
  struct ms_fleet *fleet;
  struct ms_streams *streams;
  ms_time digest_at;
  ms_time record_at; /* No record is written before.  */
  struct ms_stream_report record[MAX_STORED];
  unsigned record_count;
  ms_time written_at; /* When the store has the record; 0 if none.  */
  bool running;
};

struct stream
{
  uint64_t id;
  struct router *router; /* Through which it goes.  */
  uint32_t version;
  ms_time began;
  /* Of one that is sent first, and begins later.  */
  bool sent;
  bool moved;       /* ms_streams_sent returned true.  */
  ms_time sent_at;  /* To the last endpoint.  */
  ms_time event_at; /* When the first event arrives.  */
  ms_time refused_at;
  bool passed_on; /* The caller has the first event.  */
};

struct world
{
  struct router routers[MAX_ROUTERS];
  unsigned count;
  unsigned zones;
  struct ms_random random;
  ms_time now;
  bool old_serves;
  bool new_serves;
  bool sends; /* Streams are sent first.  */
  struct stream streams[MAX_STREAMS];
  unsigned streams_count;
  unsigned taken_up;
  unsigned known;
  unsigned wrong;
  /* What the readers have written to the store.  */
  char stored[MAX_STREAMS * MS_STREAM_STORED_BYTES];
  size_t stored_length;
};

static struct in_addr
router_ip (uint64_t id)
{
  return (struct in_addr){ htonl (0x0a000000 + (uint32_t)id) };
}

static void
start_router (struct world *w, unsigned i, bool first_start)
{
  struct router *r = &w->routers[i];

  r->id = i + 1;
  r->zone = 1 + i % w->zones;
  r->starts++;
  r->digest_at = w->now + (ms_time)ms_random_below (&w->random, 100) * MS_MSEC;
  r->fleet = ms_fleet_create (r->id, r->starts, r->zone, router_ip (r->id),
                              r->id * 7 + r->starts, w->now);
  r->streams = ms_streams_create (first_start, w->now);
  r->running = true;
  for (unsigned j = 0; j < w->count; j++)
    ms_fleet_learn (r->fleet, j + 1, 1, 1 + j % w->zones, router_ip (j + 1),
                    w->now);
  ms_fleet_note_members (r->fleet);
}

static void
kill_router (struct router *r)
{
  ms_fleet_destroy (r->fleet);
  ms_streams_destroy (r->streams);
  r->written_at = r->record_at = 0;
  r->running = false;
}

static void
merge (struct router *r, const struct fleet_digest *d, ms_time now)
{
  struct ms_version_report versions[DIGEST_VERSIONS];

  for (unsigned i = 0; i < d->streams.streams_len; i++)
    ms_streams_merge (
        r->streams, d->streams.streams_val[i].stream,
        d->streams.streams_val[i].software,
        d->self.zone == r->zone ? MS_STREAM_ZONE : MS_STREAM_OTHER, now);
  for (unsigned i = 0; i < d->versions.versions_len; i++)
    versions[i]
        = (struct ms_version_report){ d->versions.versions_val[i].service,
                                      d->versions.versions_val[i].software,
                                      d->versions.versions_val[i].age
                                          * MS_MSEC };
  ms_streams_merge_versions (r->streams, versions, d->versions.versions_len,
                             d->known_for * MS_MSEC, now);
}

static void
deliver (struct world *w, const struct fleet_digest *digest,
         const struct in_addr *targets, unsigned count)
{
  static char data[65000];
  unsigned length = ms_digest_encode (digest, data, sizeof data);

  assert_true (length > 0);
  for (unsigned i = 0; i < count; i++)
    {
      struct router *to
          = &w->routers[ntohl (targets[i].s_addr) - 0x0a000000 - 1];
      struct fleet_digest received;

      if (!to->running)
        continue;
      assert_true (ms_digest_decode (data, length, &received));
      if (ms_fleet_receive (to->fleet, &received, w->now))
        merge (to, &received, w->now);
      ms_digest_free (&received);
    }
}

static unsigned
collect_streams (struct router *r, unsigned sources, digest_stream *list,
                 ms_time now)
{
  struct ms_stream_report reports[DIGEST_STREAMS];
  unsigned count
      = ms_streams_report (r->streams, sources, reports, DIGEST_STREAMS, now);

  for (unsigned i = 0; i < count; i++)
    list[i] = (digest_stream){ reports[i].stream, reports[i].version };
  return count;
}

static void
send_digest (struct world *w, struct router *r)
{
  static struct ms_zone_sums sums;
  struct ms_zone_list zones;
  struct fleet_digest digest = { 0 };
  digest_member members[DIGEST_MEMBERS];
  digest_stream streams[DIGEST_STREAMS];
  digest_version versions[DIGEST_VERSIONS];
  struct ms_version_report reports[DIGEST_VERSIONS];
  struct in_addr targets[MAX_ROUTERS];
  ms_time known_for;
  bool large = ms_fleet_large (r->fleet, w->now);
  bool reader = large && ms_fleet_sums_zone (r->fleet, w->now);
  unsigned count = ms_fleet_targets (r->fleet, w->now, targets, MAX_ROUTERS);

  if (w->old_serves)
    ms_streams_note_version (r->streams, SERVICE, OLD_VERSION, w->now);
  if (w->new_serves)
    ms_streams_note_version (r->streams, SERVICE, NEW_VERSION, w->now);
  ms_streams_tick (r->streams, w->now);
  ms_fleet_fill_digest (r->fleet, &digest, members, w->now);
  digest.ready = true;
  digest.streams.streams_val = streams;
  digest.streams.streams_len = collect_streams (
      r, reader ? MS_STREAM_OWN | MS_STREAM_OTHER : MS_STREAM_OWN, streams,
      w->now);
  digest.versions.versions_val = versions;
  digest.versions.versions_len = ms_streams_report_versions (
      r->streams, reports, DIGEST_VERSIONS, &known_for, w->now);
  for (unsigned i = 0; i < digest.versions.versions_len; i++)
    versions[i] = (digest_version){ reports[i].service, reports[i].version,
                                    (unsigned)(reports[i].age / MS_MSEC) };
  digest.known_for = (unsigned)(known_for / MS_MSEC);
  if (reader)
    ms_fleet_put_zone_sums (r->fleet, &digest, &zones, w->now);
  deliver (w, &digest, targets, count);
  if (reader)
    {
      count = ms_fleet_other_readers (r->fleet, w->now, targets, MAX_ROUTERS);
      ms_fleet_sum_zone (r->fleet, &digest, &sums, w->now);
      digest.zones.zones_val = &sums.zone;
      digest.zones.zones_len = 1;
      digest.rooms.rooms_val = &sums.room;
      digest.rooms.rooms_len = 1;
      digest.flows.flows_len = 0;
      digest.streams.streams_len = collect_streams (
          r, MS_STREAM_OWN | MS_STREAM_ZONE, streams, w->now);
      deliver (w, &digest, targets, count);
    }
  r->digest_at = w->now + (large ? LARGE_PERIOD : SMALL_PERIOD);
}

/* Send S to an endpoint of its version.  */
static void
send_stream (struct world *w, struct stream *s)
{
  uint64_t ms = MIN_FIRST_EVENT_MS
                + ms_random_below (&w->random,
                                   MAX_FIRST_EVENT_MS - MIN_FIRST_EVENT_MS);

  s->sent = true;
  s->sent_at = w->now;
  s->event_at = w->now + (ms_time)ms * MS_MSEC;
  s->moved = ms_streams_sent (s->router->streams, s->id, s->version, w->now);
}

static void
begin_streams (struct world *w, struct router *r)
{
  double chance = STREAMS_PER_SECOND * (double)STEP / MS_SEC;
  struct stream *s = &w->streams[w->streams_count];

  if (ms_random_below (&w->random, 1000) >= chance * 1000)
    return;
  assert_true (w->streams_count < MAX_STREAMS);
  w->streams_count++;
  *s = (struct stream){ 0 };
  s->id = ms_random_next (&w->random);
  s->router = r;
  s->began = w->now;
  s->version
      = w->new_serves && (!w->old_serves || ms_random_below (&w->random, 2))
            ? NEW_VERSION
            : OLD_VERSION;
  if (w->sends)
    {
      send_stream (w, s);
      if (ms_random_below (&w->random, MOVED_ONE_IN) == 0)
        s->refused_at
            = w->now + (ms_time)ms_random_below (&w->random, 60) * MS_MSEC;
      return;
    }
  ms_streams_begin (r->streams, s->id, s->version, w->now);
}

/* Move or begin the streams that are sent and have not begun.  */
static void
begin_sent_streams (struct world *w)
{
  for (unsigned i = 0; i < w->streams_count; i++)
    {
      struct stream *s = &w->streams[i];

      if (!s->sent || s->passed_on || !s->router->running)
        continue;
      if (s->refused_at && w->now >= s->refused_at)
        {
          s->refused_at = 0;
          s->version = OLD_VERSION + NEW_VERSION - s->version;
          send_stream (w, s);
        }
      if (s->refused_at || w->now < s->event_at
          || w->now < ms_streams_hold_until (s->router->streams, SERVICE,
                                             s->moved, s->sent_at, s->began,
                                             FIRST_EVENT_TARGET, w->now))
        continue;
      s->passed_on = true;
      ms_streams_begin (s->router->streams, s->id, s->version, w->now);
    }
}

/* Forget the streams that have ended.  */
static void
end_streams (struct world *w)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < w->streams_count; i++)
    if (w->now - w->streams[i].began < STREAM_TIME)
      w->streams[kept++] = w->streams[i];
  w->streams_count = kept;
}

/* Write the streams of R's zone to the store, as its reader.  */
static void
store_streams (struct world *w, struct router *r)
{
  struct ms_stream_report list[MAX_STORED];
  unsigned count;

  if (w->now % STORE_PERIOD || !ms_fleet_reads_store (r->fleet, w->now)
      || !ms_streams_mixed (r->streams, w->now))
    return;
  count = ms_streams_take_unstored (r->streams, list, MAX_STORED, w->now);
  assert_true (w->stored_length + (size_t)count * MS_STREAM_STORED_BYTES
               <= sizeof w->stored);
  w->stored_length
      += ms_streams_encode (list, count, w->stored + w->stored_length);
}

/* Tell the first reader of R's zone of the streams that R has sent.  */
static void
send_notice (struct world *w, struct router *r)
{
  digest_stream streams[DIGEST_STREAMS];
  struct router *reader;
  struct in_addr ip;
  unsigned count;

  if (w->now % NOTICE_PERIOD || !ms_streams_unreported (r->streams, w->now)
      || !ms_fleet_first_reader (r->fleet, w->now, &ip))
    return;
  reader = &w->routers[ntohl (ip.s_addr) - 0x0a000000 - 1];
  count = collect_streams (r, MS_STREAM_OWN, streams, w->now);
  for (unsigned i = 0; reader->running && i < count; i++)
    ms_streams_merge (reader->streams, streams[i].stream, streams[i].software,
                      MS_STREAM_ZONE, w->now);
}

/* Write the streams of R's zone to the store, as its reader: a record each
   RECORD_PERIOD, which the store has after WRITE_TIME.  */
static void
write_record (struct world *w, struct router *r)
{
  if (r->written_at && w->now >= r->written_at)
    {
      w->stored_length += ms_streams_encode (r->record, r->record_count,
                                             w->stored + w->stored_length);
      assert_true (w->stored_length <= sizeof w->stored);
      r->written_at = 0;
    }
  if (r->written_at || w->now < r->record_at
      || !ms_fleet_reads_store (r->fleet, w->now)
      || !ms_streams_mixed (r->streams, w->now))
    return;
  r->record_at = w->now + RECORD_PERIOD;
  r->record_count
      = ms_streams_take_unstored (r->streams, r->record, MAX_STORED, w->now);
  if (r->record_count)
    r->written_at = w->now + WRITE_TIME;
}

static void
play (struct world *w, ms_time time)
{
  ms_time until = w->now + time;

  for (; w->now < until; w->now += STEP)
    {
      for (unsigned i = 0; i < w->count; i++)
        {
          struct router *r = &w->routers[i];

          if (!r->running)
            continue;
          begin_streams (w, r);
          if (w->now >= r->digest_at)
            send_digest (w, r);
          if (w->sends)
            {
              send_notice (w, r);
              write_record (w, r);
            }
          else
            store_streams (w, r);
        }
      begin_sent_streams (w);
      end_streams (w);
    }
}

/* Return a running router, of ZONE if it has one.  */
static struct router *
choose_router (struct world *w, uint64_t zone)
{
  struct router *other = NULL;
  unsigned first = (unsigned)ms_random_below (&w->random, w->count);

  for (unsigned i = 0; i < w->count; i++)
    {
      struct router *r = &w->routers[(first + i) % w->count];

      if (r->running && r->zone == zone)
        return r;
      if (r->running)
        other = r;
    }
  return other;
}

/* The callers of streams through routers that do not run any more take them
   up elsewhere.  */
static void
take_up_streams (struct world *w)
{
  static const uint64_t services[] = { SERVICE };

  w->taken_up = w->known = w->wrong = 0;
  for (unsigned i = 0; i < w->streams_count; i++)
    {
      struct stream *s = &w->streams[i];
      struct router *r;
      uint32_t version;

      if (s->router->running)
        continue;
      r = choose_router (w, s->router->zone);
      version = ms_streams_version (r->streams, s->id, services, 1, w->now);
      w->taken_up++;
      w->known += version != 0;
      w->wrong += version && version != s->version;
      s->router = r;
      if (version == s->version)
        ms_streams_begin (r->streams, s->id, version, w->now);
    }
}

static void
check_taken_up (const struct world *w)
{
  print_message ("%u routers: %u streams taken up, %u go on, %u wrong\n",
                 w->count, w->taken_up, w->known, w->wrong);
  assert_true (w->taken_up > 0);
  assert_int_equal (w->wrong, 0);
}

static void
check_most_go_on (const struct world *w)
{
  check_taken_up (w);
  assert_true (w->known >= MIN_KNOWN_FRACTION * w->taken_up);
}

/* A fleet that has run for two seconds, with the old version.  */
static struct world *
create_world (unsigned count, unsigned zones)
{
  struct world *w = calloc (1, sizeof *w);

  w->count = count;
  w->zones = zones;
  w->random.state = count;
  w->now = 100 * MS_SEC;
  w->old_serves = true;
  for (unsigned i = 0; i < count; i++)
    start_router (w, i, true);
  play (w, 2 * MS_SEC);
  return w;
}

static void
destroy_world (struct world *w)
{
  for (unsigned i = 0; i < w->count; i++)
    if (w->routers[i].running)
      kill_router (&w->routers[i]);
  free (w);
}

static const struct
{
  unsigned routers;
  unsigned zones;
} sizes[] = { { 9, 3 }, { 90, 4 }, { 295, 5 } };
#define SIZES (sizeof sizes / sizeof *sizes)

static void
test_streams_go_on_at_the_version_that_began_them (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      struct world *w = create_world (sizes[s].routers, sizes[s].zones);

      w->new_serves = true;
      play (w, 3 * MS_SEC);
      for (unsigned i = 0; i < w->count; i += 3)
        kill_router (&w->routers[i]);
      take_up_streams (w);
      check_most_go_on (w);
      play (w, 500 * MS_MSEC);
      /* Those that have gone on are taken up once more.  */
      for (unsigned i = 1; i < w->count; i += 3)
        kill_router (&w->routers[i]);
      take_up_streams (w);
      check_most_go_on (w);
      destroy_world (w);
    }
}

static void
test_streams_of_a_lost_zone_go_on_in_others (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      struct world *w = create_world (sizes[s].routers, sizes[s].zones);

      w->new_serves = true;
      play (w, 3 * MS_SEC);
      for (unsigned i = 0; i < w->count; i += w->zones)
        kill_router (&w->routers[i]);
      take_up_streams (w);
      check_most_go_on (w);
      destroy_world (w);
    }
}

static void
test_started_router_does_not_guess_a_version (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      struct world *w = create_world (sizes[s].routers, sizes[s].zones);

      w->new_serves = true;
      play (w, 2 * MS_SEC);
      w->old_serves = false;
      play (w, MS_SEC);
      for (unsigned i = 0; i < w->count; i++)
        kill_router (&w->routers[i]);
      for (unsigned i = 0; i < w->count; i++)
        start_router (w, i, false);
      /* All streams are of routers that were killed.  */
      for (unsigned i = 0; i < w->streams_count; i++)
        w->streams[i].router = &w->routers[0];
      play (w, 500 * MS_MSEC);
      kill_router (&w->routers[0]);
      take_up_streams (w);
      check_taken_up (w);
      destroy_world (w);
    }
}

static void
test_streams_go_on_after_all_routers_were_killed (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      struct world *w = create_world (sizes[s].routers, sizes[s].zones);

      w->new_serves = true;
      play (w, 3 * MS_SEC);
      for (unsigned i = 0; i < w->count; i++)
        kill_router (&w->routers[i]);
      for (unsigned i = 0; i < w->count; i++)
        {
          start_router (w, i, false);
          ms_streams_load (w->routers[i].streams, w->stored, w->stored_length,
                           w->now);
        }
      for (unsigned i = 0; i < w->streams_count; i++)
        w->streams[i].router = &w->routers[0];
      kill_router (&w->routers[0]);
      take_up_streams (w);
      check_most_go_on (w);
      destroy_world (w);
    }
}

/* Let the callers of the COUNT streams in LIST try again where they were
   refused.  Return how many tried, and how many of these go on in *GO_ON.  */
static unsigned
try_again (struct world *w, struct stream *list, unsigned count,
           unsigned *go_on)
{
  static const uint64_t services[] = { SERVICE };
  unsigned tried = 0;

  *go_on = 0;
  for (unsigned i = 0; i < count; i++)
    {
      struct stream *s = &list[i];
      struct router *r = choose_router (w, s->router->zone);
      uint32_t version;

      if (!s->passed_on)
        continue;
      tried++;
      version = ms_streams_version (r->streams, s->id, services, 1, w->now);
      w->wrong += version && version != s->version;
      *go_on += version == s->version;
      s->passed_on = version == 0;
    }
  return tried;
}

/* Guards against versions that the store learns only after the caller has the
   first event.  Such streams are refused after a kill of all routers, and as
   their callers come back, they are most of what is taken up at routers that
   are in touch again.  */
static void
test_what_is_taken_up_in_touch_after_a_kill_of_all_goes_on (void **state)
{
  static const unsigned routers[] = { 9, 89, 295 };

  (void)state;
  for (unsigned i = 0; i < sizeof routers / sizeof *routers; i++)
    {
      struct world *w = create_world (routers[i], 3);
      struct stream *cut = calloc (MAX_STREAMS, sizeof *cut);
      unsigned count, tried, go_on, first_go_on, first;

      w->sends = true;
      w->new_serves = true;
      /* So that a kill is not always just behind a record.  */
      play (w, 3 * MS_SEC + 60 * MS_MSEC);
      for (unsigned j = 0; j < w->count; j++)
        kill_router (&w->routers[j]);
      count = w->streams_count;
      memcpy (cut, w->streams, count * sizeof *cut);
      w->streams_count = 0;
      w->now += MS_SEC;
      for (unsigned j = 0; j < w->count; j++)
        {
          start_router (w, j, false);
          ms_streams_load (w->routers[j].streams, w->stored, w->stored_length,
                           w->now);
        }
      play (w, RETRY_TIME);
      first = tried = try_again (w, cut, count, &go_on);
      first_go_on = go_on;
      for (ms_time t = RETRY_TIME; t < IN_TOUCH_TIME; t += RETRY_TIME)
        {
          play (w, RETRY_TIME);
          tried = try_again (w, cut, count, &go_on);
        }
      print_message ("%u routers: %u of %u go on at first, %u of %u in touch, "
                     "%u wrong\n",
                     w->count, first_go_on, first, go_on, tried, w->wrong);
      assert_true (first >= MIN_STREAMS);
      assert_int_equal (w->wrong, 0);
      assert_true (tried < MIN_STREAMS || go_on >= MIN_KNOWN_FRACTION * tried);
      free (cut);
      destroy_world (w);
    }
}

static void
test_all_streams_go_on_while_one_version_serves (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      struct world *w = create_world (sizes[s].routers, sizes[s].zones);

      kill_router (&w->routers[1]);
      play (w, MS_SEC);
      /* It learns from the others that there was no other version.  */
      start_router (w, 1, false);
      play (w, MS_SEC);
      for (unsigned i = 0; i < w->count; i++)
        if (i != 1)
          kill_router (&w->routers[i]);
      take_up_streams (w);
      check_taken_up (w);
      assert_int_equal (w->known, w->taken_up);
      destroy_world (w);
    }
}

static void
test_a_version_that_left_is_remembered_for_a_lifetime (void **state)
{
  static const uint64_t services[] = { SERVICE };
  struct ms_streams *streams = ms_streams_create (true, MS_SEC);
  ms_time now = 2 * MS_SEC;

  (void)state;
  ms_streams_note_version (streams, SERVICE, OLD_VERSION, now);
  assert_int_equal (ms_streams_version (streams, 7, services, 1, now),
                    OLD_VERSION);
  now += MS_SEC;
  ms_streams_note_version (streams, SERVICE, NEW_VERSION, now);
  assert_int_equal (ms_streams_version (streams, 7, services, 1, now), 0);
  now += MS_STREAM_LIFETIME - 2 * MS_SEC;
  ms_streams_note_version (streams, SERVICE, NEW_VERSION, now);
  ms_streams_tick (streams, now);
  assert_int_equal (ms_streams_version (streams, 7, services, 1, now), 0);
  now += 2 * MS_SEC;
  ms_streams_note_version (streams, SERVICE, NEW_VERSION, now);
  ms_streams_tick (streams, now);
  assert_int_equal (ms_streams_version (streams, 7, services, 1, now),
                    NEW_VERSION);
  ms_streams_destroy (streams);
}

static void
test_fleet_that_started_again_learns_its_versions_from_the_store (void **state)
{
  static const uint64_t services[] = { SERVICE };
  struct ms_version_report unstored;
  struct ms_streams *before = ms_streams_create (true, MS_SEC);
  struct ms_streams *after = ms_streams_create (false, 2 * MS_SEC);

  (void)state;
  ms_streams_note_version (before, SERVICE, OLD_VERSION, MS_SEC);
  assert_true (ms_streams_unstored (before, &unstored, MS_SEC));
  assert_int_equal (unstored.version, OLD_VERSION);
  assert_false (ms_streams_note_stored (before, SERVICE, OLD_VERSION, MS_SEC));
  assert_false (ms_streams_unstored (before, &unstored, MS_SEC));
  ms_streams_forget_stored (before);
  assert_true (ms_streams_unstored (before, &unstored, MS_SEC));

  ms_streams_note_version (after, SERVICE, OLD_VERSION, 2 * MS_SEC);
  assert_int_equal (ms_streams_version (after, 7, services, 1, 2 * MS_SEC), 0);
  assert_false (
      ms_streams_note_stored (after, SERVICE, OLD_VERSION, 2 * MS_SEC));
  ms_streams_note_all_stored (after, 2 * MS_SEC);
  assert_int_equal (ms_streams_version (after, 7, services, 1, 2 * MS_SEC),
                    OLD_VERSION);
  /* One that left before it is told by the store is to be removed.  */
  assert_true (
      ms_streams_note_stored (after, SERVICE, NEW_VERSION, 2 * MS_SEC));
  ms_streams_destroy (before);
  ms_streams_destroy (after);
}

static void
test_version_in_the_store_that_left_is_not_forgotten (void **state)
{
  static const uint64_t services[] = { SERVICE };
  struct ms_streams *streams = ms_streams_create (false, MS_SEC);

  (void)state;
  ms_streams_note_version (streams, SERVICE, NEW_VERSION, MS_SEC);
  assert_false (
      ms_streams_note_stored (streams, SERVICE, OLD_VERSION, MS_SEC));
  assert_false (
      ms_streams_note_stored (streams, SERVICE, NEW_VERSION, MS_SEC));
  ms_streams_note_all_stored (streams, MS_SEC);
  assert_int_equal (ms_streams_version (streams, 7, services, 1, MS_SEC), 0);
  ms_streams_destroy (streams);
}

/* Guards against a first event that is late for nothing, and against one that
   the caller has before the store names the version.  */
static void
test_first_events_are_held_back_while_several_versions_serve (void **state)
{
  struct ms_streams *streams = ms_streams_create (true, MS_SEC);
  ms_time now = 2 * MS_SEC;

  (void)state;
  ms_streams_note_version (streams, SERVICE, OLD_VERSION, now);
  assert_false (ms_streams_sent (streams, 7, OLD_VERSION, now));
  assert_int_equal (
      ms_streams_hold_until (streams, SERVICE, false, now, now, MS_SEC, now),
      0);
  ms_streams_note_version (streams, SERVICE, NEW_VERSION, now);
  assert_int_equal (
      ms_streams_hold_until (streams, SERVICE, false, now, now, MS_SEC, now),
      now + 150 * MS_MSEC);
  /* Half of the target is left for the rest.  */
  assert_int_equal (ms_streams_hold_until (streams, SERVICE, false, now, now,
                                           200 * MS_MSEC, now),
                    now + 100 * MS_MSEC);
  assert_int_equal (ms_streams_hold_until (streams, SERVICE, true, now, now,
                                           200 * MS_MSEC, now),
                    now + 250 * MS_MSEC);
  now += 2 * MS_SEC;
  ms_streams_note_version (streams, SERVICE, NEW_VERSION, now);
  assert_int_equal (
      ms_streams_hold_until (streams, SERVICE, false, now, now, MS_SEC, now),
      0);
  ms_streams_destroy (streams);
}

/* Guards against a router that hears of the versions that a stream was sent to
   in another order, and goes on with it at one that did not begin it.  */
static void
test_last_version_that_a_stream_was_sent_to_counts (void **state)
{
  static const uint64_t services[] = { SERVICE };
  struct ms_streams *sender = ms_streams_create (true, MS_SEC);
  struct ms_stream_report reports[4];
  unsigned count = 0;

  (void)state;
  ms_streams_note_version (sender, SERVICE, OLD_VERSION, MS_SEC);
  ms_streams_note_version (sender, SERVICE, NEW_VERSION, MS_SEC);
  for (unsigned i = 0; i < 3; i++)
    {
      assert_int_equal (ms_streams_sent (sender, 7,
                                         i % 2 ? NEW_VERSION : OLD_VERSION,
                                         MS_SEC),
                        i > 0);
      count += ms_streams_take_unstored (sender, reports + count, 1, MS_SEC);
    }
  ms_streams_begin (sender, 7, OLD_VERSION, MS_SEC);
  assert_int_equal (count, 3);
  assert_int_equal (
      ms_streams_take_unstored (sender, reports + count, 1, MS_SEC), 0);
  for (unsigned first = 0; first < 3; first++)
    {
      struct ms_streams *other = ms_streams_create (false, MS_SEC);

      for (unsigned i = 0; i < 3; i++)
        ms_streams_merge (other, reports[(first + i) % 3].stream,
                          reports[(first + i) % 3].version, MS_STREAM_OTHER,
                          MS_SEC);
      assert_int_equal (ms_streams_version (other, 7, services, 1, MS_SEC),
                        OLD_VERSION);
      ms_streams_destroy (other);
    }
  /* Sent to and fro too often: not known.  */
  for (unsigned i = 0; i < 8; i++)
    ms_streams_sent (sender, 7, i % 2 ? OLD_VERSION : NEW_VERSION, MS_SEC);
  assert_int_equal (ms_streams_version (sender, 7, services, 1, MS_SEC), 0);
  ms_streams_destroy (sender);
}

/* Guards against a caller that takes up what never began, or one stream over
   and over, to be let in.  */
static void
test_a_stream_that_began_is_taken_up_once (void **state)
{
  struct ms_streams *streams = ms_streams_create (true, MS_SEC);

  (void)state;
  assert_false (ms_streams_take_up (streams, 7));
  ms_streams_begin (streams, 7, OLD_VERSION, MS_SEC);
  assert_true (ms_streams_take_up (streams, 7));
  assert_false (ms_streams_take_up (streams, 7));
  ms_streams_destroy (streams);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_streams_go_on_at_the_version_that_began_them),
    cmocka_unit_test (test_streams_of_a_lost_zone_go_on_in_others),
    cmocka_unit_test (test_started_router_does_not_guess_a_version),
    cmocka_unit_test (test_streams_go_on_after_all_routers_were_killed),
    cmocka_unit_test (
        test_what_is_taken_up_in_touch_after_a_kill_of_all_goes_on),
    cmocka_unit_test (test_all_streams_go_on_while_one_version_serves),
    cmocka_unit_test (test_a_version_that_left_is_remembered_for_a_lifetime),
    cmocka_unit_test (
        test_fleet_that_started_again_learns_its_versions_from_the_store),
    cmocka_unit_test (test_version_in_the_store_that_left_is_not_forgotten),
    cmocka_unit_test (
        test_first_events_are_held_back_while_several_versions_serve),
    cmocka_unit_test (test_last_version_that_a_stream_was_sent_to_counts),
    cmocka_unit_test (test_a_stream_that_began_is_taken_up_once),
  };

  return RUN (tests);
}

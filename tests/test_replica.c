#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "fleet/replica.h"

/* Replicas of the endpoint list at several routers.  The store is a counter of
   offsets and a set of endpoints, "e0" to "e3"; the tests say which routers
   read it and when.  */

#define ENDPOINTS 4
#define OUTAGE (2400 * MS_MSEC)
#define KEEP (1500 * MS_MSEC)
#define REWRITE (2500 * MS_MSEC)

struct router
{
  struct ms_replica *replica;
  bool listed[ENDPOINTS]; /* As the replica reported it.  */
  unsigned removals;      /* Reported so far.  */
};

struct store
{
  uint64_t era;
  uint64_t end;
  bool has[ENDPOINTS];
};

static void
on_change (void *context, struct ms_str key, struct ms_str value, bool removed)
{
  struct router *r = context;

  (void)value;
  assert_int_equal (key.length, 2);
  r->listed[key.data[1] - '0'] = !removed;
  r->removals += removed;
}

static void
create_router (struct router *r)
{
  const struct ms_replica_options options = { .name = "endpoints",
                                              .outage = OUTAGE,
                                              .keep = KEEP,
                                              .rewrite = REWRITE,
                                              .changed = on_change,
                                              .context = r };

  memset (r, 0, sizeof *r);
  r->replica = ms_replica_create (&options);
}

/* Remove endpoint I from the store's list.  */
static void
remove_endpoint (struct store *store, unsigned i)
{
  store->has[i] = false;
  store->end++;
}

/* Let R read a snapshot, requested at SENT_AT, of the store as it is now.  */
static void
read_snapshot (struct router *r, const struct store *store, ms_time sent_at)
{
  ms_replica_tick (r->replica, sent_at);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      char key[8];

      snprintf (key, sizeof key, "e%u", i);
      if (store->has[i])
        ms_replica_add (r->replica, ms_str (key), ms_str ("ready"),
                        MS_NO_OFFSET);
    }
  ms_replica_complete (r->replica, store->end, store->era, sent_at,
                       sent_at + 5 * MS_MSEC);
}

/* Let R call FROM for a relay at NOW.  */
static void
relay (struct router *r, struct router *from, ms_time now)
{
  uint64_t known
      = ms_replica_incomplete (r->replica) ? 0 : ms_replica_next (r->replica);
  json_t *document = ms_replica_encode (from->replica, known, false, now);

  ms_replica_tick (r->replica, now);
  ms_replica_apply (r->replica, document, now, now + MS_MSEC);
  json_decref (document);
}

static const struct store full_store
    = { .end = 10, .has = { true, true, true, true } };

/* Guards against requests to endpoints that have left: a router that was cut
   off from the store keeps an entry for a while, and others must not take it
   from there.  */
static void
test_kept_entry_is_not_relayed_as_listed (void **state)
{
  struct store store = full_store;
  struct router cut, other;

  (void)state;
  create_router (&cut);
  create_router (&other);
  read_snapshot (&cut, &store, 1 * MS_SEC);
  read_snapshot (&other, &store, 1 * MS_SEC);
  for (ms_time at = 2 * MS_SEC; at < 11 * MS_SEC; at += MS_SEC)
    read_snapshot (&other, &store, at);
  remove_endpoint (&store, 0);
  read_snapshot (&other, &store, 11 * MS_SEC);
  assert_false (other.listed[0]);
  store.end++;
  read_snapshot (&cut, &store, 12 * MS_SEC);
  relay (&other, &cut, 12 * MS_SEC + 100 * MS_MSEC);
  assert_false (other.listed[0]);
  ms_replica_destroy (cut.replica);
  ms_replica_destroy (other.replica);
}

/* Guards against a removal that is put off at a reader of the store and is
   then late at the routers that depend on its relays.  */
static void
test_relayed_removal_is_not_put_off_by_the_reader (void **state)
{
  struct store store = full_store;
  struct router cut, other;

  (void)state;
  create_router (&cut);
  create_router (&other);
  read_snapshot (&cut, &store, 1 * MS_SEC);
  for (ms_time at = 1 * MS_SEC; at < 12 * MS_SEC; at += MS_SEC)
    read_snapshot (&other, &store, at);
  remove_endpoint (&store, 0);
  read_snapshot (&cut, &store, 12 * MS_SEC);
  relay (&other, &cut, 12 * MS_SEC + 100 * MS_MSEC);
  assert_false (other.listed[0]);
  ms_replica_destroy (cut.replica);
  ms_replica_destroy (other.replica);
}

/* Guards against a removal that is put off by a router whose own reads fail
   while relays bring it the list all the while.  */
static void
test_router_on_relays_does_not_put_off_a_removal (void **state)
{
  struct store store = full_store;
  struct router cut, other;

  (void)state;
  create_router (&cut);
  create_router (&other);
  read_snapshot (&cut, &store, 1 * MS_SEC);
  for (ms_time at = 1 * MS_SEC; at < 12 * MS_SEC; at += 400 * MS_MSEC)
    {
      read_snapshot (&other, &store, at);
      relay (&cut, &other, at + 100 * MS_MSEC);
    }
  remove_endpoint (&store, 0);
  read_snapshot (&cut, &store, 12 * MS_SEC);
  assert_false (cut.listed[0]);
  ms_replica_destroy (cut.replica);
  ms_replica_destroy (other.replica);
}

/* Guards against the loss of all endpoints after an outage of the store, in
   which their entries may have expired although they run.  */
static void
test_entries_that_expire_in_an_outage_are_kept (void **state)
{
  struct store store = full_store;
  struct router reader, other;
  ms_time back = 12 * MS_SEC;

  (void)state;
  create_router (&reader);
  create_router (&other);
  read_snapshot (&reader, &store, 1 * MS_SEC);
  relay (&other, &reader, 1 * MS_SEC + 300 * MS_MSEC);
  remove_endpoint (&store, 0);
  remove_endpoint (&store, 1);
  read_snapshot (&reader, &store, back);
  relay (&other, &reader, back + 300 * MS_MSEC);
  assert_true (reader.listed[0] && reader.listed[1]);
  assert_true (other.listed[0] && other.listed[1]);
  /* The first writes its entry again, the second does not.  */
  store.has[0] = true;
  store.end++;
  for (ms_time at = back + MS_SEC; at < back + 4 * MS_SEC; at += 400 * MS_MSEC)
    {
      read_snapshot (&reader, &store, at);
      relay (&other, &reader, at + 300 * MS_MSEC);
    }
  assert_true (reader.listed[0] && other.listed[0]);
  assert_false (reader.listed[1] || other.listed[1]);
  assert_int_equal (reader.removals, 1);
  assert_int_equal (other.removals, 1);
  ms_replica_destroy (reader.replica);
  ms_replica_destroy (other.replica);
}

/* Guards against a list that counts as recent although a read of many changes
   stopped short of a removal.  */
static void
test_read_that_stops_short_does_not_confirm_the_list (void **state)
{
  struct router r;

  (void)state;
  create_router (&r);
  read_snapshot (&r, &full_store, 1 * MS_SEC);
  ms_replica_advance (r.replica, 11, 12, 2 * MS_SEC);
  assert_int_equal (ms_replica_read_at (r.replica), 1 * MS_SEC);
  assert_int_equal (ms_replica_next (r.replica), 11);
  ms_replica_advance (r.replica, 12, 12, 2 * MS_SEC + 100 * MS_MSEC);
  assert_int_equal (ms_replica_read_at (r.replica),
                    2 * MS_SEC + 100 * MS_MSEC);
  ms_replica_destroy (r.replica);
}

/* The store came back from a copy from before E2 was listed and E3 was
   removed.  */
static const struct store older_copy
    = { .era = 2, .end = 8, .has = { true, true, false, true } };
static const struct store before_loss
    = { .era = 1, .end = 12, .has = { true, true, true, false } };

/* Guards against endpoints that are dropped, or listed again, because the
   store came back from an older copy, until their writers have written again.
 */
static void
test_records_of_an_older_copy_are_not_believed_at_once (void **state)
{
  struct router r;
  ms_time loss = 3 * MS_SEC;

  (void)state;
  create_router (&r);
  read_snapshot (&r, &before_loss, 1 * MS_SEC);
  read_snapshot (&r, &older_copy, loss);
  assert_true (ms_replica_settling (r.replica, loss + MS_SEC));
  assert_true (r.listed[2]);
  assert_false (r.listed[3]);
  ms_replica_tick (r.replica, loss + REWRITE - MS_MSEC);
  assert_true (r.listed[2]);
  assert_false (r.listed[3]);
  ms_replica_tick (r.replica, loss + REWRITE);
  assert_false (ms_replica_settling (r.replica, loss + REWRITE));
  assert_false (r.listed[2]);
  assert_true (r.listed[3]);
  ms_replica_destroy (r.replica);
}

/* Guards against endpoints that are left out although their writers have
   written again since the store came back from an older copy.  */
static void
test_records_that_are_written_again_count_at_once (void **state)
{
  struct router r;
  ms_time loss = 3 * MS_SEC;

  (void)state;
  create_router (&r);
  read_snapshot (&r, &before_loss, 1 * MS_SEC);
  read_snapshot (&r, &older_copy, loss);
  for (unsigned i = 2; i < 4; i++)
    ms_replica_change (r.replica, i == 2 ? ms_str ("e2") : ms_str ("e3"),
                       ms_str ("ready"), false, 8 + i, loss + MS_SEC,
                       loss + MS_SEC);
  ms_replica_advance (r.replica, 10, 10, loss + MS_SEC);
  assert_true (r.listed[3]);
  ms_replica_tick (r.replica, loss + REWRITE);
  assert_true (r.listed[2] && r.listed[3]);
  ms_replica_destroy (r.replica);
}

/* Guards against records of before a loss of the store that come back by a
   peer, or by a late answer.  */
static void
test_records_of_an_older_era_are_ignored (void **state)
{
  struct router ahead, behind;
  ms_time loss = 3 * MS_SEC;

  (void)state;
  create_router (&ahead);
  create_router (&behind);
  read_snapshot (&ahead, &before_loss, 1 * MS_SEC);
  read_snapshot (&behind, &before_loss, 2 * MS_SEC);
  read_snapshot (&ahead, &older_copy, loss);
  relay (&ahead, &behind, loss + 100 * MS_MSEC);
  read_snapshot (&ahead, &before_loss, loss + 200 * MS_MSEC);
  assert_int_equal (ms_replica_next (ahead.replica), older_copy.end);
  assert_int_equal (ms_replica_read_at (ahead.replica), loss);
  /* One relay shows the later era, the next has all records.  */
  relay (&behind, &ahead, loss + 300 * MS_MSEC);
  assert_true (ms_replica_incomplete (behind.replica));
  relay (&behind, &ahead, loss + 700 * MS_MSEC);
  assert_false (ms_replica_incomplete (behind.replica));
  assert_int_equal (ms_replica_era (behind.replica), older_copy.era);
  assert_int_equal (ms_replica_next (behind.replica), older_copy.end);
  assert_true (behind.listed[2]);
  assert_false (behind.listed[3]);
  ms_replica_destroy (ahead.replica);
  ms_replica_destroy (behind.replica);
}

/* Replicas of a topic with many keys, "k0" and so on, of which the test keeps
   the true records: the number of the last write, 0 if there is no record.  */
#define KEYS 400
#define REPLICAS 4

struct topic
{
  unsigned values[KEYS];
  uint64_t offsets[KEYS]; /* Of the last change of a key.  */
  uint64_t end;
};

struct follower
{
  struct ms_replica *replica;
  unsigned values[KEYS]; /* As the replica reported them.  */
  unsigned repeats;      /* Reported so far.  */
};

static void
on_key_change (void *context, struct ms_str key, struct ms_str value,
               bool removed)
{
  struct follower *f = context;

  f->values[strtoul (key.data + 1, NULL, 10)]
      = removed ? 0 : (unsigned)strtoul (value.data, NULL, 10);
}

static bool
on_key_repeat (void *context, struct ms_str key, struct ms_str value)
{
  struct follower *f = context;

  (void)key;
  (void)value;
  f->repeats++;
  return true;
}

static void
create_follower (struct follower *f)
{
  const struct ms_replica_options options = { .name = "keys",
                                              .changed = on_key_change,
                                              .repeated = on_key_repeat,
                                              .context = f };

  memset (f, 0, sizeof *f);
  f->replica = ms_replica_create (&options);
}

static void
write_key (struct topic *topic, unsigned key, bool removed)
{
  topic->values[key] = removed ? 0 : (unsigned)topic->end + 1;
  topic->offsets[key] = topic->end++;
}

/* Let F read from the store: a snapshot at first, then the changes, of which a
   read brings at most MOST offsets.  */
static void
read_topic (struct follower *f, const struct topic *topic, unsigned most,
            ms_time now)
{
  uint64_t from = ms_replica_next (f->replica);
  uint64_t next = from + most < topic->end ? from + most : topic->end;
  bool snapshot
      = !ms_replica_loaded (f->replica) || ms_replica_incomplete (f->replica);

  for (unsigned i = 0; i < KEYS; i++)
    {
      char key[8];
      char value[16];

      snprintf (key, sizeof key, "k%u", i);
      snprintf (value, sizeof value, "%u", topic->values[i]);
      if (snapshot && topic->values[i])
        ms_replica_add (f->replica, ms_str (key), ms_str (value),
                        topic->offsets[i]);
      /* The store keeps only the newest change of a key.  */
      else if (!snapshot && topic->end && topic->offsets[i] >= from
               && topic->offsets[i] < next)
        ms_replica_change (f->replica, ms_str (key), ms_str (value),
                           !topic->values[i], topic->offsets[i], now, now);
    }
  if (snapshot)
    ms_replica_complete (f->replica, topic->end, 0, now, now);
  else
    ms_replica_advance (f->replica, next, topic->end, now);
}

/* Let TO call FROM for a relay, as text, at NOW.  Returns the length.  */
static size_t
relay_changes (struct follower *to, struct follower *from, ms_time now)
{
  uint64_t known = ms_replica_incomplete (to->replica)
                       ? 0
                       : ms_replica_next (to->replica);
  json_t *document = ms_replica_encode (from->replica, known, true, now);
  char *text = document ? json_dumps (document, JSON_COMPACT) : NULL;
  size_t length = text ? strlen (text) : 0;
  json_t *received = text ? json_loads (text, 0, NULL) : NULL;

  if (text)
    assert_non_null (received);
  if (received)
    ms_replica_apply (to->replica, received, now, now);
  json_decref (document);
  json_decref (received);
  free (text);
  return length;
}

static void
expect_equal (const struct follower *f, const struct topic *topic)
{
  for (unsigned i = 0; i < KEYS; i++)
    assert_int_equal (f->values[i], topic->values[i]);
}

/* Guards against older records that stay in force because the store came back
   from a copy, whose offsets are lower.  */
static void
test_snapshot_of_a_store_that_went_back_is_applied (void **state)
{
  struct topic topic = { .end = 1 };
  struct follower f;

  (void)state;
  create_follower (&f);
  for (unsigned i = 0; i < 20; i++)
    write_key (&topic, 0, false);
  read_topic (&f, &topic, KEYS, 1 * MS_SEC);
  topic.end = 5;
  write_key (&topic, 0, false);
  ms_replica_add (f.replica, ms_str ("k0"), ms_str ("6"), 5);
  ms_replica_complete (f.replica, topic.end, 0, 2 * MS_SEC, 2 * MS_SEC);
  expect_equal (&f, &topic);
  assert_int_equal (ms_replica_next (f.replica), topic.end);
  ms_replica_destroy (f.replica);
}

/* A relay to a peer that lacks one of many records has about the size of one
   record, and the peer has the same records then; a peer that lacks more
   removals than are remembered gets all.  */
static void
test_relay_has_what_changed (void **state)
{
  struct topic topic = { .end = 1 };
  struct follower from, to;
  ms_time now = MS_SEC;
  size_t all;

  (void)state;
  create_follower (&from);
  create_follower (&to);
  for (unsigned i = 0; i < KEYS; i++)
    write_key (&topic, i, false);
  read_topic (&from, &topic, KEYS, now);
  all = relay_changes (&to, &from, ++now);
  expect_equal (&to, &topic);
  write_key (&topic, 7, false);
  write_key (&topic, 8, true);
  read_topic (&from, &topic, KEYS, ++now);
  assert_true (relay_changes (&to, &from, ++now) < all / 20);
  expect_equal (&to, &topic);
  assert_true (relay_changes (&to, &from, ++now) < all / 20);
  for (unsigned i = 10; i < KEYS; i++)
    {
      write_key (&topic, i, true);
      read_topic (&from, &topic, KEYS, ++now);
    }
  relay_changes (&to, &from, ++now);
  expect_equal (&to, &topic);
  ms_replica_destroy (from.replica);
  ms_replica_destroy (to.replica);
}

/* Guards against relays of whole lists for good after one read of more
   removals than are remembered.  */
static void
test_read_of_many_removals_does_not_end_relays_of_changes (void **state)
{
  struct topic topic = { .end = 1 };
  struct follower from, to;
  ms_time now = MS_SEC;
  size_t all;

  (void)state;
  create_follower (&from);
  create_follower (&to);
  for (unsigned i = 0; i < KEYS; i++)
    write_key (&topic, i, false);
  read_topic (&from, &topic, KEYS, now);
  for (unsigned i = 0; i < KEYS - 100; i++)
    write_key (&topic, i, true);
  read_topic (&from, &topic, KEYS, ++now);
  all = relay_changes (&to, &from, ++now);
  expect_equal (&to, &topic);
  write_key (&topic, KEYS - 1, false);
  read_topic (&from, &topic, KEYS, ++now);
  assert_true (relay_changes (&to, &from, ++now) < all / 5);
  expect_equal (&to, &topic);
  ms_replica_destroy (from.replica);
  ms_replica_destroy (to.replica);
}

/* A peer that misses a change although it takes itself for complete finds out
   by the checksum, and gets all records with the next relay.  */
static void
test_gap_is_detected (void **state)
{
  struct topic topic = { .end = 1 };
  struct follower from, to;
  ms_time now = MS_SEC;

  (void)state;
  create_follower (&from);
  create_follower (&to);
  for (unsigned i = 0; i < KEYS; i++)
    write_key (&topic, i, false);
  read_topic (&from, &topic, KEYS, now);
  relay_changes (&to, &from, ++now);
  write_key (&topic, 3, false);
  read_topic (&from, &topic, KEYS, ++now);
  ms_replica_advance (to.replica, topic.end, topic.end, ++now);
  write_key (&topic, 4, false);
  read_topic (&from, &topic, KEYS, ++now);
  relay_changes (&to, &from, ++now);
  assert_true (ms_replica_incomplete (to.replica));
  assert_true (ms_replica_read_at (to.replica) < now);
  relay_changes (&to, &from, ++now);
  assert_false (ms_replica_incomplete (to.replica));
  expect_equal (&to, &topic);
  ms_replica_destroy (from.replica);
  ms_replica_destroy (to.replica);
}

/* Whatever the order in which routers read the store and relay to each other,
   they end with the records of the store.  */
static void
test_replicas_agree_in_any_order (void **state)
{
  (void)state;
  for (unsigned seed = 1; seed <= 40; seed++)
    {
      struct ms_random random = { seed };
      struct topic topic = { .end = 1 };
      struct follower all[REPLICAS];
      ms_time now = MS_SEC;

      for (unsigned i = 0; i < REPLICAS; i++)
        create_follower (&all[i]);
      for (unsigned step = 0; step < 400; step++)
        {
          unsigned a = (unsigned)ms_random_below (&random, REPLICAS);
          unsigned b = (unsigned)ms_random_below (&random, REPLICAS);
          unsigned key = (unsigned)ms_random_below (&random, KEYS);

          now += MS_MSEC;
          switch (ms_random_below (&random, 4))
            {
            case 0:
            case 1:
              write_key (&topic, key, ms_random_below (&random, 3) == 0);
              break;
            case 2:
              if (a < 2)
                read_topic (&all[a], &topic,
                            1 + (unsigned)ms_random_below (&random, 5), now);
              break;
            default:
              if (a != b)
                relay_changes (&all[a], &all[b], now);
            }
        }
      read_topic (&all[0], &topic, 1000, now += MS_MSEC);
      for (unsigned i = 1; i < REPLICAS; i++)
        for (unsigned j = 0; j < 2; j++)
          relay_changes (&all[i], &all[0], now += MS_MSEC);
      for (unsigned i = 0; i < REPLICAS; i++)
        {
          expect_equal (&all[i], &topic);
          ms_replica_destroy (all[i].replica);
        }
    }
}

/* A record that no router can decode does not keep the others from being
   relayed, and replaces the one that its key had.  */
static void
test_unreadable_record_is_relayed_as_removed (void **state)
{
  struct topic topic = { .end = 1 };
  struct follower from, to;
  ms_time now = MS_SEC;

  (void)state;
  create_follower (&from);
  create_follower (&to);
  for (unsigned i = 0; i < 5; i++)
    write_key (&topic, i, false);
  read_topic (&from, &topic, KEYS, now);
  relay_changes (&to, &from, ++now);
  for (unsigned i = 0; i < 2; i++)
    {
      ms_replica_change (from.replica, i ? ms_str ("k2") : ms_str ("k1"),
                         i ? ms_str ("\xff\xfe")
                           : (struct ms_str){ "1\0002", 3 },
                         false, topic.end + i, now, now);
      topic.values[i + 1] = 0;
    }
  topic.end += 2;
  write_key (&topic, 3, false);
  ms_replica_change (from.replica, ms_str ("k3"), ms_str ("8"), false,
                     topic.offsets[3], now, now);
  topic.values[3] = 8;
  ms_replica_advance (from.replica, topic.end, topic.end, ++now);
  relay_changes (&to, &from, ++now);
  assert_false (ms_replica_incomplete (to.replica));
  expect_equal (&to, &topic);
  ms_replica_destroy (from.replica);
  ms_replica_destroy (to.replica);
}

/* Write the value that KEY has again.  */
static void
repeat_key (struct topic *topic, unsigned key)
{
  topic->offsets[key] = topic->end++;
}

/* Guards against an order that is written again after its end and not noticed,
   by a router that reads the store or by one that lives on relays.  */
static void
test_record_that_is_written_again_is_reported (void **state)
{
  struct topic topic = { .end = 1 };
  struct follower from, to;
  ms_time now = MS_SEC;

  (void)state;
  create_follower (&from);
  create_follower (&to);
  write_key (&topic, 0, false);
  write_key (&topic, 1, false);
  read_topic (&from, &topic, KEYS, now);
  relay_changes (&to, &from, ++now);
  assert_int_equal (ms_replica_offset (to.replica, ms_str ("k1")), 2);
  repeat_key (&topic, 1);
  read_topic (&from, &topic, KEYS, ++now);
  relay_changes (&to, &from, ++now);
  relay_changes (&to, &from, ++now);
  assert_int_equal (from.repeats, 1);
  assert_int_equal (to.repeats, 1);
  assert_int_equal (ms_replica_offset (from.replica, ms_str ("k1")), 3);
  assert_int_equal (ms_replica_offset (to.replica, ms_str ("k1")), 3);
  /* A snapshot that brings it is as good.  */
  repeat_key (&topic, 1);
  ms_replica_add (from.replica, ms_str ("k0"), ms_str ("2"), topic.offsets[0]);
  ms_replica_add (from.replica, ms_str ("k1"), ms_str ("3"), topic.offsets[1]);
  ms_replica_complete (from.replica, topic.end, 0, now + 1, now + 2);
  assert_int_equal (from.repeats, 2);
  expect_equal (&from, &topic);
  expect_equal (&to, &topic);
  ms_replica_destroy (from.replica);
  ms_replica_destroy (to.replica);
}

/* Guards against taking an order of a store that came back from an older copy,
   which has other offsets, for one that was written again.  */
static void
test_offsets_of_an_older_copy_are_no_repeats (void **state)
{
  struct topic topic = { .end = 1 };
  struct follower f;

  (void)state;
  create_follower (&f);
  write_key (&topic, 0, false);
  ms_replica_add (f.replica, ms_str ("k0"), ms_str ("2"), 1);
  ms_replica_complete (f.replica, 2, 1, MS_SEC, MS_SEC);
  ms_replica_add (f.replica, ms_str ("k0"), ms_str ("2"), 7);
  ms_replica_complete (f.replica, 8, 2, 2 * MS_SEC, 2 * MS_SEC);
  assert_int_equal (f.repeats, 0);
  assert_int_equal (ms_replica_offset (f.replica, ms_str ("k0")), 7);
  ms_replica_change (f.replica, ms_str ("k0"), ms_str ("2"), false, 8,
                     3 * MS_SEC, 3 * MS_SEC);
  assert_int_equal (f.repeats, 1);
  ms_replica_destroy (f.replica);
}

static void
count_change (void *context, struct ms_str key, struct ms_str value,
              bool removed)
{
  (void)key;
  (void)value;
  (void)removed;
  ++*(unsigned *)context;
}

/* A key that a peer cannot decode made every relay of changes unreadable, so
   that routers without the store stopped following the list.  */
static void
test_odd_keys_and_values_do_not_spoil_relays (void **state)
{
  static const char odd_key[] = { 'o', '\0', 'd' };
  static const struct ms_str keys[]
      = { { odd_key, sizeof odd_key }, { "\xff\xfe", 2 }, { "odd", 3 } };
  static const struct ms_str values[]
      = { { "ready", 5 }, { "\xff", 1 }, { odd_key, sizeof odd_key } };
  unsigned changes[2] = { 0, 0 };
  struct ms_replica *replicas[2];

  (void)state;
  for (unsigned i = 0; i < 2; i++)
    {
      const struct ms_replica_options options = { .name = "endpoints",
                                                  .outage = OUTAGE,
                                                  .keep = KEEP,
                                                  .rewrite = REWRITE,
                                                  .changed = count_change,
                                                  .context = &changes[i] };

      replicas[i] = ms_replica_create (&options);
      ms_replica_complete (replicas[i], 1, 0, MS_SEC, MS_SEC);
    }
  for (unsigned i = 0; i < 9; i++)
    {
      ms_time now = 2 * MS_SEC + (ms_time)i * MS_SEC;
      json_t *relay;
      char *text;

      ms_replica_change (replicas[0], keys[i / 3], values[i % 3], false,
                         2 * i + 1, now, now);
      ms_replica_change (replicas[0], ms_str ("e0"),
                         ms_str (i % 2 ? "ready" : "draining"), false,
                         2 * i + 2, now, now);
      ms_replica_advance (replicas[0], 2 * i + 3, 2 * i + 3, now);
      relay = ms_replica_encode (replicas[0], ms_replica_next (replicas[1]),
                                 true, now);
      text = json_dumps (relay, JSON_COMPACT);
      json_decref (relay);
      assert_non_null (text);
      relay = json_loads (text, 0, NULL);
      assert_non_null (relay);
      assert_true (ms_replica_apply (replicas[1], relay, now, now));
      json_decref (relay);
      free (text);
    }
  assert_int_equal (ms_replica_next (replicas[1]),
                    ms_replica_next (replicas[0]));
  assert_true (changes[1] >= 9);
  for (unsigned i = 0; i < 2; i++)
    ms_replica_destroy (replicas[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_kept_entry_is_not_relayed_as_listed),
    cmocka_unit_test (test_relayed_removal_is_not_put_off_by_the_reader),
    cmocka_unit_test (test_router_on_relays_does_not_put_off_a_removal),
    cmocka_unit_test (test_entries_that_expire_in_an_outage_are_kept),
    cmocka_unit_test (test_read_that_stops_short_does_not_confirm_the_list),
    cmocka_unit_test (test_records_of_an_older_copy_are_not_believed_at_once),
    cmocka_unit_test (test_records_that_are_written_again_count_at_once),
    cmocka_unit_test (test_records_of_an_older_era_are_ignored),
    cmocka_unit_test (test_snapshot_of_a_store_that_went_back_is_applied),
    cmocka_unit_test (test_relay_has_what_changed),
    cmocka_unit_test (
        test_read_of_many_removals_does_not_end_relays_of_changes),
    cmocka_unit_test (test_gap_is_detected),
    cmocka_unit_test (test_replicas_agree_in_any_order),
    cmocka_unit_test (test_unreadable_record_is_relayed_as_removed),
    cmocka_unit_test (test_record_that_is_written_again_is_reported),
    cmocka_unit_test (test_offsets_of_an_older_copy_are_no_repeats),
    cmocka_unit_test (test_odd_keys_and_values_do_not_spoil_relays),
  };

  return RUN (tests);
}

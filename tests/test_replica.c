#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/replica.h"

/* Replicas of the endpoint list at several routers.  The store is a counter of
   offsets and a set of endpoints, "e0" to "e3"; the tests say which routers
   read it and when.  */

#define ENDPOINTS 4
#define OUTAGE (2400 * MS_MSEC)
#define KEEP (1500 * MS_MSEC)

struct router
{
  struct ms_replica *replica;
  bool listed[ENDPOINTS]; /* As the replica reported it.  */
  unsigned removals;      /* Reported so far.  */
};

struct store
{
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
        ms_replica_add (r->replica, ms_str (key), ms_str ("ready"));
    }
  ms_replica_complete (r->replica, store->end, sent_at, sent_at + 5 * MS_MSEC);
}

/* Let R call FROM for a relay at NOW.  */
static void
relay (struct router *r, struct router *from, ms_time now)
{
  json_t *document
      = ms_replica_encode (from->replica, ms_replica_next (r->replica), now);

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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_kept_entry_is_not_relayed_as_listed),
    cmocka_unit_test (test_relayed_removal_is_not_put_off_by_the_reader),
    cmocka_unit_test (test_router_on_relays_does_not_put_off_a_removal),
    cmocka_unit_test (test_entries_that_expire_in_an_outage_are_kept),
    cmocka_unit_test (test_read_that_stops_short_does_not_confirm_the_list),
  };

  return RUN (tests);
}

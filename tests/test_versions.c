#include "check.h"

#include "rollout/versions.h"

/* Versions of the service APP that a router sees in the list of endpoints,
   which it reads and relays apart from the operators' records.  */

#define APP 7
#define V1 11
#define V2 12
#define V3 13

static unsigned admitted;

static void
on_admitted (void *context, uint64_t service, uint32_t version,
             ms_time held_for)
{
  (void)context;
  (void)version;
  assert_int_equal (service, APP);
  assert_true (held_for >= 0);
  admitted++;
}

static struct ms_versions *
create (void)
{
  admitted = 0;
  return ms_versions_create (on_admitted, NULL);
}

/* The list has these versions, 0 for none, with the start times BORN_A and
   BORN_B.  The operators' records were read at READ_AT.  */
static void
list (struct ms_versions *versions, uint32_t a, int64_t born_a, uint32_t b,
      int64_t born_b, ms_time read_at, ms_time now)
{
  if (a)
    ms_versions_note (versions, APP, a, born_a, now);
  if (b)
    ms_versions_note (versions, APP, b, born_b, now);
  ms_versions_update (versions, read_at, now);
}

/* Guards against requests at endpoints of a version whose order this router
   has not read yet.  */
static void
test_new_version_waits_for_a_read_of_the_orders (void **state)
{
  struct ms_versions *v = create ();

  (void)state;
  list (v, V1, 0, 0, 0, 0, MS_SEC);
  assert_false (ms_versions_is_held (v, APP, V1));
  assert_true (ms_versions_is_held (v, APP, V2));
  list (v, V1, 0, V2, 0, 2 * MS_SEC, 3 * MS_SEC);
  assert_false (ms_versions_is_held (v, APP, V1));
  assert_true (ms_versions_is_held (v, APP, V2));
  assert_true (ms_versions_any_held (v));
  /* This read was sent before.  */
  list (v, V1, 0, V2, 0, 3 * MS_SEC, 4 * MS_SEC);
  assert_true (ms_versions_is_held (v, APP, V2));
  list (v, V1, 0, V2, 0, 3 * MS_SEC + 1, 5 * MS_SEC);
  assert_false (ms_versions_is_held (v, APP, V2));
  assert_false (ms_versions_any_held (v));
  assert_int_equal (admitted, 2);
  ms_versions_destroy (v);
}

/* A version that an order names is no longer held, since the order decides on
   it; others are.  */
static void
test_ordered_version_is_not_held (void **state)
{
  struct ms_versions *v = create ();

  (void)state;
  list (v, V1, 0, 0, 0, 0, MS_SEC);
  list (v, V1, 0, V2, 0, 0, 2 * MS_SEC);
  ms_versions_note_order (v, APP, V2);
  list (v, V1, 0, V2, 0, 0, 2 * MS_SEC);
  assert_false (ms_versions_is_held (v, APP, V2));
  ms_versions_note_order (v, APP, V3);
  assert_true (ms_versions_is_held (v, APP, V3));
  ms_versions_destroy (v);
}

/* A service is not without endpoints because all it has are new.  */
static void
test_only_version_is_not_held (void **state)
{
  struct ms_versions *v = create ();

  (void)state;
  list (v, V1, 0, 0, 0, 0, MS_SEC);
  list (v, V2, 0, 0, 0, 0, 2 * MS_SEC);
  assert_false (ms_versions_is_held (v, APP, V2));
  /* The service does not have this one any more, so it is new again.  */
  list (v, V2, 0, V1, 0, 0, 3 * MS_SEC);
  assert_true (ms_versions_is_held (v, APP, V1));
  ms_versions_destroy (v);
}

/* A router that starts while two versions are listed can tell the old one only
   by the start of its endpoints.  */
static void
test_started_router_uses_the_version_that_was_first (void **state)
{
  struct ms_versions *v = create ();

  (void)state;
  list (v, V1, 900, V2, 1000, 0, MS_SEC);
  assert_false (ms_versions_is_held (v, APP, V1));
  assert_true (ms_versions_is_held (v, APP, V2));
  /* A start that comes later does not make it the old one.  */
  list (v, V1, 2000, V2, 1000, 0, 2 * MS_SEC);
  assert_true (ms_versions_is_held (v, APP, V2));
  ms_versions_destroy (v);
  v = create ();
  list (v, V1, 0, V2, 1000, 0, MS_SEC);
  assert_true (ms_versions_is_held (v, APP, V1));
  assert_true (ms_versions_is_held (v, APP, V2));
  list (v, V1, 0, V2, 1000, MS_SEC + 1, 2 * MS_SEC);
  assert_false (ms_versions_is_held (v, APP, V1));
  assert_false (ms_versions_is_held (v, APP, V2));
  ms_versions_destroy (v);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_new_version_waits_for_a_read_of_the_orders),
    cmocka_unit_test (test_ordered_version_is_not_held),
    cmocka_unit_test (test_only_version_is_not_held),
    cmocka_unit_test (test_started_router_uses_the_version_that_was_first),
  };

  return RUN (tests);
}

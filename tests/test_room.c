#include "check.h"

#include "admit/room.h"

#define MIB ((size_t)1 << 20)
#define MEMORY (100 * MIB)
#define ROOM (20 * MIB)

static struct ms_room *
create_room (size_t held, ms_time now)
{
  struct ms_room *room = ms_room_create (MEMORY);

  ms_room_update (room, held, now);
  return room;
}

/* A bound for each caller stopped the endpoint while memory was free.  */
static void
test_endpoint_is_read_while_there_is_room (void **state)
{
  struct ms_room *room = create_room (14 * MIB, MS_SEC);

  (void)state;
  assert_true (ms_room_may_read (room, 14 * MIB));
  ms_room_update (room, 16 * MIB, MS_SEC);
  assert_false (ms_room_may_read (room, 14 * MIB));
  assert_true (ms_room_may_read (room, MS_ROOM_FLOOR_BYTES - 1));
  ms_room_destroy (room);
}

/* All callers together must not exceed the room, however little each holds,
   and one that has read everything is served on.  */
static void
test_no_caller_gets_more_without_room (void **state)
{
  struct ms_room *room = create_room (ROOM, MS_SEC);

  (void)state;
  assert_false (ms_room_may_read (room, 1));
  assert_true (ms_room_may_read (room, 0));
  assert_true (ms_room_must_end (room));
  ms_room_destroy (room);
}

/* Endpoints that are not read for some seconds abort their answers, so one
   caller must not keep the others' endpoints stopped.  */
static void
test_scarcity_is_ended (void **state)
{
  struct ms_room *room = create_room (16 * MIB, MS_SEC);

  (void)state;
  assert_false (ms_room_must_end (room));
  ms_room_update (room, 16 * MIB, MS_SEC + MS_ROOM_SCARCE_LIMIT - 1);
  assert_false (ms_room_must_end (room));
  ms_room_update (room, 16 * MIB, MS_SEC + MS_ROOM_SCARCE_LIMIT);
  assert_true (ms_room_must_end (room));
  ms_room_update (room, MIB, 3 * MS_SEC);
  assert_false (ms_room_must_end (room));
  /* Scarcity counts anew.  */
  ms_room_update (room, 16 * MIB, 4 * MS_SEC);
  assert_false (ms_room_must_end (room));
  ms_room_destroy (room);
}

static void
test_slowest_is_ended_first (void **state)
{
  static const struct ms_room_caller stuck = { MIB, 0, true };
  static const struct ms_room_caller slow = { 2 * MIB, 20000, true };
  static const struct ms_room_caller fast = { 4 * MIB, 8e6, true };
  static const struct ms_room_caller single = { 2 * MIB, 20000, false };
  static const struct ms_room_caller stuck_single = { 2 * MIB, 0, false };
  static const struct ms_room_caller small = { 1000, 0, true };

  (void)state;
  assert_true (ms_room_ends_first (&stuck, &slow));
  assert_true (ms_room_ends_first (&slow, &fast));
  assert_false (ms_room_ends_first (&fast, &slow));
  assert_true (ms_room_ends_first (&slow, &single));
  /* But one that takes nothing at all, before one that does.  */
  assert_true (ms_room_ends_first (&stuck_single, &slow));
  /* Ending a small one frees nothing.  */
  assert_true (ms_room_ends_first (&slow, &small));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_endpoint_is_read_while_there_is_room),
    cmocka_unit_test (test_no_caller_gets_more_without_room),
    cmocka_unit_test (test_scarcity_is_ended),
    cmocka_unit_test (test_slowest_is_ended_first),
  };

  return RUN (tests);
}

#include "admit/room.h"

#include <stdlib.h>

#include "base/alloc.h"

#define SCARCE_PERCENT 75

/* Weight of the time of a request that may not be repeated.  */
#define SINGLE_WEIGHT 0.25

/* Lowest rate in bytes per second that callers are told apart by: of those
   that take nothing, the one with the most bytes is ended.  */
#define MIN_RATE 1000.0

struct ms_room
{
  size_t bytes;
  size_t held;
  ms_time updated_at;
  ms_time scarce_since; /* 0 while it is not scarce.  */
};

struct ms_room *
ms_room_create (size_t memory)
{
  struct ms_room *room = ms_new (sizeof *room);

  ms_room_set_memory (room, memory);
  return room;
}

void
ms_room_destroy (struct ms_room *room)
{
  free (room);
}

void
ms_room_set_memory (struct ms_room *room, size_t memory)
{
  room->bytes = memory / 100 * MS_ROOM_PERCENT;
}

void
ms_room_update (struct ms_room *room, size_t held, ms_time now)
{
  room->held = held;
  room->updated_at = now;
  if (!ms_room_scarce (room))
    room->scarce_since = 0;
  else if (!room->scarce_since)
    room->scarce_since = now;
}

bool
ms_room_scarce (const struct ms_room *room)
{
  return room->held >= room->bytes / 100 * SCARCE_PERCENT;
}

bool
ms_room_may_read (const struct ms_room *room, size_t queued)
{
  if (!queued || !ms_room_scarce (room))
    return true;
  return room->held < room->bytes && queued < MS_ROOM_FLOOR_BYTES;
}

bool
ms_room_must_end (const struct ms_room *room)
{
  return room->held >= room->bytes
         || (room->scarce_since
             && room->updated_at - room->scarce_since >= MS_ROOM_SCARCE_LIMIT);
}

static double
reading_time (const struct ms_room_caller *caller)
{
  double rate = caller->rate > MIN_RATE ? caller->rate : MIN_RATE;

  return (double)caller->queued / rate
         * (caller->may_repeat ? 1 : SINGLE_WEIGHT);
}

bool
ms_room_ends_first (const struct ms_room_caller *a,
                    const struct ms_room_caller *b)
{
  return reading_time (a) > reading_time (b);
}

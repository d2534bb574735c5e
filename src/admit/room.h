#ifndef ADMIT_ROOM_H
#define ADMIT_ROOM_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"

/* Decisions on the memory of one router that responses take which callers have
   not read yet.  docs/design/slow-readers.md gives the reasons.  Opens no
   sockets and reads no clock: the time is passed in.  Not thread-safe.  */

/* Responses may take this part of the process's memory, in percent.  */
#define MS_ROOM_PERCENT 20

/* While room is scarce, an endpoint is read as long as less than this waits
   for its caller.  */
#define MS_ROOM_FLOOR_BYTES 131072

/* While room is scarce for this long, callers are ended, as endpoints that are
   not read meanwhile abort their answers after some seconds.  */
#define MS_ROOM_SCARCE_LIMIT (1 * MS_SEC)

struct ms_room;

/* Create the room of a process that may use MEMORY bytes.  */
struct ms_room *ms_room_create (size_t memory);

/* Free ROOM, which may be NULL.  */
void ms_room_destroy (struct ms_room *room);

/* Replace the memory that the process may use.  */
void ms_room_set_memory (struct ms_room *room, size_t memory);

/* Note that all responses together take HELD bytes at NOW.  */
void ms_room_update (struct ms_room *room, size_t held, ms_time now);

/* Whether three quarters of the room are taken.  */
bool ms_room_scarce (const struct ms_room *room);

/* Whether an endpoint is to be read on while QUEUED bytes of its response wait
   for the caller.  */
bool ms_room_may_read (const struct ms_room *room, size_t queued);

/* Whether a caller must be ended: all room is taken, or it has been scarce for
   MS_ROOM_SCARCE_LIMIT.  */
bool ms_room_must_end (const struct ms_room *room);

/* A caller that has not read all of its response.  */
struct ms_room_caller
{
  size_t queued;   /* Bytes that wait for it, above 0.  */
  double rate;     /* Bytes per second that it took of late.  */
  bool may_repeat; /* Its request may be run again.  */
};

/* Whether A is to be ended rather than B: the one that would take longer to
   read what waits for it.  A request that may not be repeated counts as a
   quarter of that time, as its caller cannot get the response another way.  */
bool ms_room_ends_first (const struct ms_room_caller *a,
                         const struct ms_room_caller *b);

#endif

#ifndef ADMIT_WAITING_H
#define ADMIT_WAITING_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Queue of requests at one router that wait briefly until an endpoint of their
   service has free capacity.  Capacity goes to the highest priority first, and
   among equals to the request that was added the longest ago; one that is
   added again after a failed try goes behind the others.  The number of tries
   in one pass over the queue that find no capacity is bounded, however many
   requests wait.

   Opens no sockets and reads no clock: the time is passed in.  Not
   thread-safe.  */

struct ms_waiting;

/* Queue entry of one request.  It is embedded in the request, which owns the
   memory, fills in the fields up to GIVE_UP_AT and zeroes the rest.  */
struct ms_waiter
{
  void *owner; /* The request; passed to the callbacks.  */
  uint64_t service;
  unsigned priority;  /* 0 is the highest.  */
  ms_time give_up_at; /* Time from which a pass calls give_up, not try.  */
  bool queued;        /* Whether it is in the queue.  */
  unsigned last_pass; /* Number of the pass that tried it last.  */
  struct ms_waiter *prev, *next;
};

/* Callbacks of a queue.  The entry of OWNER is removed from the queue before
   either is called.  Both may remove any entry, and may add the entry of OWNER
   again; give_up only with a later GIVE_UP_AT, or the same pass might give it
   up again and not end.  */
struct ms_waiting_callbacks
{
  /* Try to place the request OWNER.  Return whether there was capacity.  */
  bool (*try) (void *owner);
  /* Give up the request OWNER, whose time to wait is over.  */
  void (*give_up) (void *owner);
};

/* Create an empty queue with a copy of CALLBACKS.  */
struct ms_waiting *
ms_waiting_create (const struct ms_waiting_callbacks *callbacks);

/* Free WAITING, which may be NULL.  Entries still in the queue remain their
   owners' and are not touched.  */
void ms_waiting_destroy (struct ms_waiting *waiting);

/* Add W to the queue, behind all of the same priority.  No effect if W is in
   the queue already.  */
void ms_waiting_add (struct ms_waiting *waiting, struct ms_waiter *w);

/* Remove W from the queue.  No effect if W is not in it.  */
void ms_waiting_remove (struct ms_waiting *waiting, struct ms_waiter *w);

/* Make one pass over the queue at NOW: give up the entries whose time is over
   and try each of the others once, except that requests of a service are not
   tried any more after four tries that found no capacity.  If requests of more
   than eight services wait, the eighth and all further services share one
   count of such tries.  */
void ms_waiting_tick (struct ms_waiting *waiting, ms_time now);

#endif

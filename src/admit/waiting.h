#ifndef ADMIT_WAITING_H
#define ADMIT_WAITING_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Requests that wait at one router for room at their service's endpoints, for
   a short while each.  Answers the load that one router has from its own
   callers: room goes to the highest priority first, among equals to the one
   whose last try lies furthest back, and the work of a turn is bounded however
   many wait.  No socket, no clock.  */

struct ms_waiting;

/* One that waits; part of the request.  */
struct ms_waiter
{
  void *owner;
  uint64_t service;
  unsigned priority; /* 0 is the highest.  */
  ms_time until;     /* It is given up then.  */
  bool listed;
  unsigned turn; /* Of the last try.  */
  struct ms_waiter *prev, *next;
};

/* What becomes of those that wait.  Both may remove any waiter, and add the
   one that they are called for.  */
struct ms_waiting_calls
{
  /* Try to place OWNER's request.  Returns whether there was room.  */
  bool (*try) (void *owner);
  /* Its time to wait is over.  */
  void (*give_up) (void *owner);
};

struct ms_waiting *ms_waiting_create (const struct ms_waiting_calls *calls);

/* Waiters that are still listed are their owners'.  */
void ms_waiting_destroy (struct ms_waiting *waiting);

/* W, whose fields up to UNTIL are filled in, waits; no effect if it does
   already.  */
void ms_waiting_add (struct ms_waiting *waiting, struct ms_waiter *w);

/* W waits no longer; no effect if it does not.  */
void ms_waiting_remove (struct ms_waiting *waiting, struct ms_waiter *w);

/* Try those that wait, until for each service a few tries found no room.  */
void ms_waiting_turn (struct ms_waiting *waiting, ms_time now);

#endif

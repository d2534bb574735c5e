#include "admit/waiting.h"

#include <stdlib.h>
#include <utlist.h>

#include "base/alloc.h"

/* Tries of a turn that may find no room, for each service.  What one request
   finds full has room for few others.  */
#define MOST_FAILURES 4

/* Services that a turn tells apart; those beyond share the last count.  */
#define SERVICES 8

struct ms_waiting
{
  struct ms_waiting_calls calls;
  struct ms_waiter *list; /* In the order of turns.  */
  struct ms_waiter *next; /* Of the turn in progress.  */
  unsigned turn;
};

struct failures
{
  uint64_t services[SERVICES];
  unsigned counts[SERVICES];
  unsigned used;
};

struct ms_waiting *
ms_waiting_create (const struct ms_waiting_calls *calls)
{
  struct ms_waiting *waiting = ms_new (sizeof *waiting);

  waiting->calls = *calls;
  return waiting;
}

void
ms_waiting_destroy (struct ms_waiting *waiting)
{
  free (waiting);
}

/* The waiter that W goes behind; NULL if it goes first.  */
static struct ms_waiter *
before (const struct ms_waiting *waiting, const struct ms_waiter *w)
{
  struct ms_waiter *at = waiting->list ? waiting->list->prev : NULL;

  while (at && at->priority > w->priority)
    at = at == waiting->list ? NULL : at->prev;
  return at;
}

void
ms_waiting_add (struct ms_waiting *waiting, struct ms_waiter *w)
{
  struct ms_waiter *at;

  if (w->listed)
    return;
  w->listed = true;
  at = before (waiting, w);
  if (at)
    DL_APPEND_ELEM (waiting->list, at, w);
  else
    DL_PREPEND (waiting->list, w);
}

void
ms_waiting_remove (struct ms_waiting *waiting, struct ms_waiter *w)
{
  if (!w->listed)
    return;
  if (waiting->next == w)
    waiting->next = w->next;
  DL_DELETE (waiting->list, w);
  w->listed = false;
}

static unsigned *
failures_of (struct failures *failures, uint64_t service)
{
  unsigned i;

  for (i = 0; i < failures->used; i++)
    if (failures->services[i] == service)
      return &failures->counts[i];
  if (i == SERVICES)
    return &failures->counts[SERVICES - 1];
  failures->services[i] = service;
  failures->used++;
  return &failures->counts[i];
}

/* Try W; one that finds no room is added again, behind its equals.  */
static void
try (struct ms_waiting *waiting, struct ms_waiter *w, unsigned *failures)
{
  w->turn = waiting->turn;
  ms_waiting_remove (waiting, w);
  if (!waiting->calls.try (w->owner))
    (*failures)++;
}

void
ms_waiting_turn (struct ms_waiting *waiting, ms_time now)
{
  struct failures failures = { .used = 0 };
  struct ms_waiter *w = waiting->list;

  waiting->turn++;
  while (w)
    {
      unsigned *failed = failures_of (&failures, w->service);

      waiting->next = w->next;
      if (now >= w->until)
        {
          ms_waiting_remove (waiting, w);
          waiting->calls.give_up (w->owner);
        }
      else if (w->turn != waiting->turn && *failed < MOST_FAILURES)
        try (waiting, w, failed);
      w = waiting->next;
    }
}

#include "admit/waiting.h"

#include <stdlib.h>
#include <utlist.h>

#include "base/alloc.h"

/* Failed tries after which a pass tries no more requests of a service: if
   there is no capacity for one request, there is capacity for few others.  */
#define MAX_FAILED_TRIES 4

/* Services whose failed tries a pass counts separately; further services share
   the count of the last of these.  */
#define MAX_SERVICES 8

struct ms_waiting
{
  struct ms_waiting_callbacks callbacks;
  struct ms_waiter *list; /* Highest priority first, then first added.  */
  struct ms_waiter *next; /* Next entry of the pass in progress.  */
  unsigned pass;          /* Number of the newest pass.  */
};

/* Failed tries of one pass, for each service.  */
struct failures
{
  uint64_t services[MAX_SERVICES];
  unsigned counts[MAX_SERVICES];
  unsigned used;
};

struct ms_waiting *
ms_waiting_create (const struct ms_waiting_callbacks *callbacks)
{
  struct ms_waiting *waiting = ms_new (sizeof *waiting);

  waiting->callbacks = *callbacks;
  return waiting;
}

void
ms_waiting_destroy (struct ms_waiting *waiting)
{
  free (waiting);
}

/* Return the entry after which W is inserted; NULL if W goes first.  */
static struct ms_waiter *
find_predecessor (const struct ms_waiting *waiting, const struct ms_waiter *w)
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

  if (w->queued)
    return;
  w->queued = true;
  at = find_predecessor (waiting, w);
  if (at)
    DL_APPEND_ELEM (waiting->list, at, w);
  else
    DL_PREPEND (waiting->list, w);
}

void
ms_waiting_remove (struct ms_waiting *waiting, struct ms_waiter *w)
{
  if (!w->queued)
    return;
  if (waiting->next == w)
    waiting->next = w->next;
  DL_DELETE (waiting->list, w);
  w->queued = false;
}

/* Return the count of failed tries of SERVICE.  */
static unsigned *
failed_tries (struct failures *failures, uint64_t service)
{
  unsigned i;

  for (i = 0; i < failures->used; i++)
    if (failures->services[i] == service)
      return &failures->counts[i];
  if (i == MAX_SERVICES)
    return &failures->counts[MAX_SERVICES - 1];
  failures->services[i] = service;
  failures->used++;
  return &failures->counts[i];
}

/* Try to place the request of W; if there is no capacity, increment *FAILED.
   The callback may then add W again behind others of its priority; LAST_PASS
   keeps this pass from trying it twice.  */
static void
try_waiter (struct ms_waiting *waiting, struct ms_waiter *w, unsigned *failed)
{
  w->last_pass = waiting->pass;
  ms_waiting_remove (waiting, w);
  if (!waiting->callbacks.try (w->owner))
    (*failed)++;
}

void
ms_waiting_tick (struct ms_waiting *waiting, ms_time now)
{
  struct failures failures = { .used = 0 };
  struct ms_waiter *w = waiting->list;

  waiting->pass++;
  while (w)
    {
      unsigned *failed = failed_tries (&failures, w->service);

      waiting->next = w->next;
      if (now >= w->give_up_at)
        {
          ms_waiting_remove (waiting, w);
          waiting->callbacks.give_up (w->owner);
        }
      else if (w->last_pass != waiting->pass && *failed < MAX_FAILED_TRIES)
        try_waiter (waiting, w, failed);
      w = waiting->next;
    }
}

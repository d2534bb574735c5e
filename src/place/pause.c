#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"
#include "place/internal.h"

/* Pauses that endpoints asked for.  They outlive the endpoint's entry, which
   the list may lose for a moment or replace by an older one.  */

/* How long an endpoint counts as cold after its pause.  */
#define PAUSED_COLD_TIME (1 * MS_SEC)

/* Bounds the memory; beyond this count a new record replaces the one that was
   added first.  */
#define MAX_PAUSES 4096

struct ms_paused
{
  uint64_t id;
  int64_t born; /* Start that asked; 0 if it is not known.  */
  ms_time until;
  UT_hash_handle hh;
};

static void
remove_pause (struct ms_place *place, struct ms_paused *paused)
{
  HASH_DEL (place->paused, paused);
  free (paused);
}

static struct ms_paused *
find_pause (const struct ms_place *place, uint64_t id)
{
  struct ms_paused *paused;

  HASH_FIND (hh, place->paused, &id, sizeof id, paused);
  return paused;
}

/* Make room for one more record.  */
static void
remove_ended_pauses (struct ms_place *place, ms_time now)
{
  struct ms_paused *paused, *next;

  HASH_ITER (hh, place->paused, paused, next)
  if (now >= paused->until)
    remove_pause (place, paused);
  if (HASH_COUNT (place->paused) >= MAX_PAUSES)
    remove_pause (place, place->paused);
}

/* Let E get nothing until UNTIL.  */
static void
hold_back (struct ms_endpoint_state *e, ms_time until)
{
  e->paused_until = until;
  if (e->cold_until < until + PAUSED_COLD_TIME)
    e->cold_until = until + PAUSED_COLD_TIME;
}

void
ms_place_pause (struct ms_place *place, struct ms_endpoint_state *endpoint,
                ms_time pause, ms_time now)
{
  struct ms_paused *paused = find_pause (place, endpoint->id);

  if (now + pause <= endpoint->paused_until)
    return;
  if (!paused)
    {
      remove_ended_pauses (place, now);
      paused = ms_new (sizeof *paused);
      paused->id = endpoint->id;
      HASH_ADD (hh, place->paused, id, sizeof paused->id, paused);
    }
  paused->born = endpoint->entry.born;
  paused->until = now + pause;
  hold_back (endpoint, paused->until);
}

void
ms_pause_restore (struct ms_place *place, struct ms_endpoint_state *e,
                  ms_time now)
{
  const struct ms_paused *paused = find_pause (place, e->id);

  /* A later start did not ask for it; an entry of an earlier one is old.  */
  if (paused && now < paused->until
      && (!paused->born || e->entry.born <= paused->born))
    hold_back (e, paused->until);
  else
    e->paused_until = 0;
}

void
ms_pauses_destroy (struct ms_place *place)
{
  struct ms_paused *paused, *next;

  HASH_ITER (hh, place->paused, paused, next) { remove_pause (place, paused); }
}

#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"
#include "place/internal.h"

/* Endpoints that leave by what they said in an answer, or by an entry that the
   list has no more.  The list may be out of reach or older, so no entry of the
   same start undoes it.  */

/* By then an endpoint that leaves has ended.  */
#define LEFT_LIFETIME (600 * MS_SEC)

/* Bounds the memory; beyond this count a new record replaces the one that was
   added first.  */
#define MAX_LEFT 4096

struct ms_left
{
  uint64_t id;
  int64_t born;
  ms_time said_at;
  UT_hash_handle hh;
};

static void
remove_left (struct ms_place *place, struct ms_left *left)
{
  HASH_DEL (place->left, left);
  free (left);
}

static struct ms_left *
find_left (const struct ms_place *place, uint64_t id)
{
  struct ms_left *left;

  HASH_FIND (hh, place->left, &id, sizeof id, left);
  return left;
}

bool
ms_left_has (struct ms_place *place, uint64_t id, int64_t born, ms_time now)
{
  struct ms_left *left = find_left (place, id);

  if (!left)
    return false;
  if (left->born == born && now - left->said_at < LEFT_LIFETIME)
    return true;
  remove_left (place, left);
  return false;
}

bool
ms_place_note_leaving (struct ms_place *place, uint64_t id, int64_t born,
                       ms_time now)
{
  struct ms_endpoint_state *e = ms_place_find (place, id);
  struct ms_left *left = find_left (place, id);
  bool known;

  /* An answer of an earlier start.  */
  if (e && !ms_place_is_start (e, born))
    return false;
  if (e)
    born = e->entry.born;
  known = left && left->born == born;
  if (!left)
    {
      if (HASH_COUNT (place->left) >= MAX_LEFT)
        remove_left (place, place->left);
      left = ms_new (sizeof *left);
      left->id = id;
      HASH_ADD (hh, place->left, id, sizeof left->id, left);
    }
  left->born = born;
  left->said_at = now;
  if (e)
    e->known_leaving = true;
  return !known;
}

bool
ms_place_note_leaving_at (struct ms_place *place,
                          const struct sockaddr_in *address, uint64_t id,
                          ms_time now)
{
  bool changed = false;

  for (unsigned i = 0; i < place->count; i++)
    {
      const struct ms_endpoint_state *e = place->endpoints[i];

      if (e->id != id && e->listed
          && e->entry.address.sin_addr.s_addr == address->sin_addr.s_addr
          && e->entry.address.sin_port == address->sin_port)
        changed |= ms_place_note_leaving (place, e->id, e->entry.born, now);
    }
  return changed;
}

bool
ms_place_is_start (const struct ms_endpoint_state *endpoint, int64_t born)
{
  return !born || !endpoint->entry.born || endpoint->entry.born == born;
}

bool
ms_place_is_leaving (const struct ms_endpoint_state *endpoint)
{
  return endpoint->entry.leaving || endpoint->known_leaving;
}

void
ms_left_destroy (struct ms_place *place)
{
  struct ms_left *left, *next;

  HASH_ITER (hh, place->left, left, next) { remove_left (place, left); }
}

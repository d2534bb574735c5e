#include "place/internal.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"

/* A part that was not sent for so long is taken to have yielded.  */
#define KEPT_FOR (20 * MS_SEC)

/* Oldest entries go beyond this count; 24 bytes and a hash cell each.  */
#define MAX_ENTRIES 8192

struct kept
{
  uint64_t key;
  ms_time at;
  UT_hash_handle hh;
};

struct ms_prefix_memory
{
  struct kept *table; /* Oldest first.  */
};

struct ms_prefix_memory *
ms_prefix_create (void)
{
  return ms_new (sizeof (struct ms_prefix_memory));
}

static void
drop (struct ms_prefix_memory *memory, struct kept *kept)
{
  HASH_DEL (memory->table, kept);
  free (kept);
}

void
ms_prefix_destroy (struct ms_prefix_memory *memory)
{
  struct kept *kept, *next;

  if (!memory)
    return;
  HASH_ITER (hh, memory->table, kept, next) { drop (memory, kept); }
  free (memory);
}

bool
ms_prefix_kept (struct ms_prefix_memory *memory, uint64_t endpoint,
                uint64_t part, ms_time now)
{
  uint64_t key = ms_id_pair (endpoint, part);
  struct kept *kept;

  HASH_FIND (hh, memory->table, &key, sizeof key, kept);
  return kept && now - kept->at <= KEPT_FOR;
}

void
ms_prefix_note (struct ms_prefix_memory *memory, uint64_t endpoint,
                uint64_t part, ms_time now)
{
  uint64_t key = ms_id_pair (endpoint, part);
  struct kept *kept;

  HASH_FIND (hh, memory->table, &key, sizeof key, kept);
  if (kept)
    HASH_DEL (memory->table, kept);
  else
    {
      if (HASH_COUNT (memory->table) >= MAX_ENTRIES)
        drop (memory, memory->table);
      kept = ms_new (sizeof *kept);
      kept->key = key;
    }
  kept->at = now;
  HASH_ADD (hh, memory->table, key, sizeof kept->key, kept);
}

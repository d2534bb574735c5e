#include "place/internal.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"

/* Guess of what endpoints hold in their prefix caches, from the prompt parts
   that this router has sent them.  */

/* A part that was not sent to an endpoint for this long is assumed to be
   evicted from its cache.  */
#define CACHE_LIFETIME (20 * MS_SEC)

/* Beyond this count the oldest entry is removed.  An entry takes 72 bytes, of
   which 56 are its hash handle.  */
#define MAX_ENTRIES 8192

struct entry
{
  uint64_t key;    /* Hash of endpoint and part.  */
  ms_time sent_at; /* Last time.  */
  UT_hash_handle hh;
};

struct ms_prefix_table
{
  struct entry *entries; /* Hash table in order of sent_at, oldest first.  */
};

struct ms_prefix_table *
ms_prefix_create (void)
{
  return ms_new (sizeof (struct ms_prefix_table));
}

static void
remove_entry (struct ms_prefix_table *table, struct entry *entry)
{
  HASH_DEL (table->entries, entry);
  free (entry);
}

void
ms_prefix_destroy (struct ms_prefix_table *table)
{
  struct entry *entry, *next;

  if (!table)
    return;
  HASH_ITER (hh, table->entries, entry, next) { remove_entry (table, entry); }
  free (table);
}

bool
ms_prefix_cached (struct ms_prefix_table *table, uint64_t endpoint,
                  uint64_t part, ms_time started_at, ms_time now)
{
  uint64_t key = ms_id_pair (endpoint, part);
  struct entry *entry;

  HASH_FIND (hh, table->entries, &key, sizeof key, entry);
  return entry && entry->sent_at >= started_at
         && now - entry->sent_at <= CACHE_LIFETIME;
}

void
ms_prefix_record (struct ms_prefix_table *table, uint64_t endpoint,
                  uint64_t part, ms_time now)
{
  uint64_t key = ms_id_pair (endpoint, part);
  struct entry *entry;

  HASH_FIND (hh, table->entries, &key, sizeof key, entry);
  if (entry)
    HASH_DEL (table->entries, entry);
  else
    {
      if (HASH_COUNT (table->entries) >= MAX_ENTRIES)
        remove_entry (table, table->entries);
      entry = ms_new (sizeof *entry);
      entry->key = key;
    }
  entry->sent_at = now;
  HASH_ADD (hh, table->entries, key, sizeof entry->key, entry);
}

#include "fleet/replica.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"
#include "base/event.h"

/* Longer keys are not relayed.  */
#define MAX_KEY_LENGTH 255

/* The store may notice only this long after an outage that a record has
   expired in it.  */
#define OUTAGE_AFTERMATH (600 * MS_MSEC)

struct record
{
  char *key;
  size_t key_length;
  char *value;
  size_t value_length;
  bool missing; /* The store no longer has it.  */
  UT_hash_handle hh;
};

struct ms_replica
{
  struct ms_replica_options options;
  struct record *records;
  struct record *snapshot; /* Records of the pages read so far.  */
  bool loaded;             /* A snapshot was applied.  */
  uint64_t next;
  ms_time read_at;    /* As of ms_replica_read_at.  */
  ms_time outage_end; /* Send time of the read that ended the last outage; 0
                         if there was none.  */
};

struct ms_replica *
ms_replica_create (const struct ms_replica_options *options)
{
  struct ms_replica *replica = ms_new (sizeof *replica);

  replica->options = *options;
  return replica;
}

static void
free_record (struct record *r)
{
  free (r->key);
  free (r->value);
  free (r);
}

static void
free_table (struct record **table)
{
  struct record *r, *next;

  HASH_ITER (hh, *table, r, next)
  {
    HASH_DEL (*table, r);
    free_record (r);
  }
}

void
ms_replica_destroy (struct ms_replica *replica)
{
  if (!replica)
    return;
  free_table (&replica->records);
  free_table (&replica->snapshot);
  free (replica);
}

bool
ms_replica_loaded (const struct ms_replica *replica)
{
  return replica->loaded;
}

ms_time
ms_replica_read_at (const struct ms_replica *replica)
{
  return replica->loaded ? replica->read_at : 0;
}

uint64_t
ms_replica_next (const struct ms_replica *replica)
{
  return replica->loaded ? replica->next : 0;
}

static struct record *
find_record (struct record *table, struct ms_str key)
{
  struct record *r;

  HASH_FIND (hh, table, key.data, key.length, r);
  return r;
}

/* Set KEY to VALUE in *TABLE.  Return whether the value changed.  */
static bool
set_record (struct record **table, struct ms_str key, struct ms_str value)
{
  struct record *r = find_record (*table, key);

  if (r)
    {
      r->missing = false;
      if (ms_str_equal ((struct ms_str){ r->value, r->value_length }, value))
        return false;
      free (r->value);
    }
  else
    {
      r = ms_new (sizeof *r);
      r->key = ms_copy (key.data, key.length);
      r->key_length = key.length;
      HASH_ADD_KEYPTR (hh, *table, r->key, r->key_length, r);
    }
  r->value = ms_copy (value.data, value.length);
  r->value_length = value.length;
  return true;
}

static void
update_record (struct ms_replica *replica, struct ms_str key,
               struct ms_str value)
{
  if (set_record (&replica->records, key, value))
    replica->options.changed (replica->options.context, key, value, false);
}

static void
delete_record (struct ms_replica *replica, struct record *r)
{
  HASH_DEL (replica->records, r);
  replica->options.changed (replica->options.context,
                            (struct ms_str){ r->key, r->key_length },
                            (struct ms_str){ "", 0 }, true);
  free_record (r);
}

/* A read that was sent at SENT_AT has succeeded, maybe after an outage.  */
static void
note_read (struct ms_replica *replica, ms_time sent_at)
{
  if (replica->options.outage && replica->loaded
      && sent_at - replica->read_at >= replica->options.outage)
    replica->outage_end = sent_at;
}

/* A read that was sent at SENT_AT shows that the store no longer has the
   record R: delete it, or keep it for a while if it may have expired in an
   outage.  */
static void
handle_missing (struct ms_replica *replica, struct record *r, ms_time sent_at,
                ms_time now)
{
  if (!replica->outage_end
      || sent_at >= replica->outage_end + OUTAGE_AFTERMATH)
    delete_record (replica, r);
  else if (!r->missing)
    {
      r->missing = true;
      ms_event (now, "record_missing", "topic=%s key=%.*s",
                replica->options.name, (int)r->key_length, r->key);
    }
}

void
ms_replica_change (struct ms_replica *replica, struct ms_str key,
                   struct ms_str value, bool removed, ms_time sent_at,
                   ms_time now)
{
  struct record *r;

  note_read (replica, sent_at);
  if (!removed)
    {
      update_record (replica, key, value);
      return;
    }
  r = find_record (replica->records, key);
  if (r)
    handle_missing (replica, r, sent_at, now);
}

void
ms_replica_add (struct ms_replica *replica, struct ms_str key,
                struct ms_str value)
{
  set_record (&replica->snapshot, key, value);
}

void
ms_replica_abandon (struct ms_replica *replica)
{
  free_table (&replica->snapshot);
}

/* Replace the records by those in *TABLE, a snapshot up to offset END that was
   requested at SENT_AT, and empty *TABLE.  */
static void
apply_snapshot (struct ms_replica *replica, struct record **table,
                uint64_t end, ms_time sent_at, ms_time now)
{
  struct record *r, *next;

  note_read (replica, sent_at);
  HASH_ITER (hh, replica->records, r, next)
  {
    if (!find_record (*table, (struct ms_str){ r->key, r->key_length }))
      handle_missing (replica, r, sent_at, now);
  }
  HASH_ITER (hh, *table, r, next)
  {
    update_record (replica, (struct ms_str){ r->key, r->key_length },
                   (struct ms_str){ r->value, r->value_length });
  }
  free_table (table);
  replica->next = end;
  replica->loaded = true;
}

void
ms_replica_complete (struct ms_replica *replica, uint64_t end, ms_time sent_at,
                     ms_time now)
{
  if (replica->loaded && end < replica->next)
    free_table (&replica->snapshot); /* A relay brought a newer state.  */
  else
    apply_snapshot (replica, &replica->snapshot, end, sent_at, now);
  if (sent_at > replica->read_at)
    replica->read_at = sent_at;
}

void
ms_replica_advance (struct ms_replica *replica, uint64_t next, uint64_t end,
                    ms_time confirmed_at)
{
  replica->next = next;
  if (next < end)
    return;
  note_read (replica, confirmed_at);
  if (confirmed_at > replica->read_at)
    replica->read_at = confirmed_at;
}

void
ms_replica_tick (struct ms_replica *replica, ms_time now)
{
  struct record *r, *next;

  if (!replica->outage_end
      || now < replica->outage_end + replica->options.keep)
    return;
  replica->outage_end = 0;
  HASH_ITER (hh, replica->records, r, next)
  {
    if (!r->missing)
      continue;
    ms_event (now, "record_dropped", "topic=%s key=%.*s",
              replica->options.name, (int)r->key_length, r->key);
    delete_record (replica, r);
  }
}

json_t *
ms_replica_encode (const struct ms_replica *replica, uint64_t known,
                   ms_time now)
{
  json_t *relay;
  json_t *records;
  struct record *r, *next;

  if (!replica->loaded)
    return NULL;
  relay = json_pack ("{s:I, s:I}", "next", (json_int_t)replica->next, "age_us",
                     (json_int_t)(now - replica->read_at));
  if (known >= replica->next)
    return relay;
  records = json_object ();
  HASH_ITER (hh, replica->records, r, next)
  {
    /* A value that is not UTF-8, which no router could decode anyway, is left
       out.  */
    if (!r->missing && r->key_length <= MAX_KEY_LENGTH)
      json_object_set_new (records, r->key,
                           json_stringn (r->value, r->value_length));
  }
  json_object_set_new (relay, "records", records);
  return relay;
}

bool
ms_replica_apply (struct ms_replica *replica, const json_t *relay,
                  ms_time sent_at, ms_time now)
{
  const json_t *next = json_object_get (relay, "next");
  const json_t *age = json_object_get (relay, "age_us");
  json_t *records = json_object_get (relay, "records");
  ms_time read_at = sent_at - json_integer_value (age);
  uint64_t offset = (uint64_t)json_integer_value (next);
  struct record *table = NULL;
  const char *key;
  json_t *value;

  if (!json_is_integer (next) || !json_is_integer (age)
      || offset < replica->next
      || (replica->loaded && read_at <= replica->read_at))
    return false;
  if (offset > replica->next || !replica->loaded)
    {
      if (!json_is_object (records))
        return false;
      json_object_foreach (records, key, value)
      {
        set_record (&table, ms_str (key),
                    (struct ms_str){ json_string_value (value),
                                     json_string_length (value) });
      }
      apply_snapshot (replica, &table, offset, read_at, now);
    }
  note_read (replica, read_at);
  replica->read_at = read_at;
  return true;
}

#include "fleet/replica.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/alloc.h"
#include "base/event.h"

/* Longer keys are not relayed.  */
#define MAX_KEY_LENGTH 255

/* Removals that are remembered to relay them.  A peer that lacks an older one
   gets all records.  */
#define MAX_REMOVALS 256

/* Stands for the offset of changes whose read is not complete yet.  */
#define OFFSET_PENDING UINT64_MAX

/* Length of a checksum as hexadecimal digits, with the terminating NUL.  */
#define SUM_BYTES 17

/* The store may notice only this long after an outage that a record has
   expired in it.  */
#define OUTAGE_AFTERMATH (600 * MS_MSEC)

struct record
{
  char *key;
  size_t key_length;
  char *value;
  size_t value_length;
  bool missing;    /* The store no longer has it.  */
  bool held;       /* Only an older copy of the store has it; not reported.  */
  bool relayable;  /* It can be written as JSON text.  */
  uint64_t hash;   /* Of key and value.  */
  uint64_t offset; /* Its last change is before this offset.  */
  uint64_t at;     /* Where it was written; MS_NO_OFFSET if not known.  */
  UT_hash_handle hh;
};

/* A key that was removed before OFFSET.  */
struct removal
{
  char *key;
  uint64_t offset;
};

struct ms_replica
{
  struct ms_replica_options options;
  struct record *records;
  struct record *snapshot; /* Records of the pages read so far.  */
  bool loaded;             /* A snapshot was applied.  */
  bool incomplete;         /* As of ms_replica_incomplete.  */
  bool lost;    /* As of ms_replica_note_loss, until the next snapshot.  */
  uint64_t era; /* As of ms_replica_era.  */
  struct removal removals[MAX_REMOVALS]; /* Ring of the latest.  */
  unsigned removals_next;                /* Next to be written.  */
  uint64_t changes_from; /* All changes from this offset on are known.  */
  uint64_t next;
  ms_time read_at;    /* As of ms_replica_read_at.  */
  ms_time outage_end; /* Send time of the read that ended the last outage, or
                         that showed a loss; 0 if there was none.  */
  ms_time kept_until; /* When what was kept or held since then ends.  */
  ms_time settled_at; /* The same of the last loss; 0 if there was none.  */
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
  for (unsigned i = 0; i < MAX_REMOVALS; i++)
    free (replica->removals[i].key);
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

bool
ms_replica_incomplete (const struct ms_replica *replica)
{
  return replica->incomplete;
}

uint64_t
ms_replica_era (const struct ms_replica *replica)
{
  return replica->era;
}

bool
ms_replica_settling (const struct ms_replica *replica, ms_time now)
{
  return now < replica->settled_at;
}

void
ms_replica_note_loss (struct ms_replica *replica)
{
  replica->lost = replica->loaded;
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

uint64_t
ms_replica_offset (const struct ms_replica *replica, struct ms_str key)
{
  const struct record *r = find_record (replica->records, key);

  return r ? r->at : MS_NO_OFFSET;
}

/* Return whether TEXT can be written as JSON text that every peer decodes: it
   is UTF-8 and has no NUL.  */
static bool
is_json_text (struct ms_str text)
{
  json_t *string;

  if (text.length && memchr (text.data, 0, text.length))
    return false;
  string = json_stringn (text.data, text.length);
  json_decref (string);
  return string != NULL;
}

static bool
is_relayable_key (struct ms_str key)
{
  return key.length <= MAX_KEY_LENGTH && is_json_text (key);
}

/* Return whether a record of KEY and VALUE can be relayed.  Others no router
   can decode anyway.  */
static bool
is_relayable (struct ms_str key, struct ms_str value)
{
  return is_relayable_key (key) && is_json_text (value);
}

/* Set KEY to VALUE in *TABLE, written at AT, which is before OFFSET.  Return
   whether the value changed.  */
static bool
set_record (struct record **table, struct ms_str key, struct ms_str value,
            uint64_t at, uint64_t offset)
{
  struct record *r = find_record (*table, key);

  if (r)
    {
      if (r->missing)
        r->offset = offset;
      r->missing = false;
      r->at = at;
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
  r->offset = offset;
  r->at = at;
  r->relayable = is_relayable (key, value);
  r->hash = ms_id_pair (ms_id (key), ms_id (value));
  return true;
}

static struct ms_str
record_key (const struct record *r)
{
  return (struct ms_str){ r->key, r->key_length };
}

static struct ms_str
record_value (const struct record *r)
{
  return (struct ms_str){ r->value, r->value_length };
}

/* Set KEY to VALUE, written at AT, which is before OFFSET, and report it.  */
static void
update_record (struct ms_replica *replica, struct ms_str key,
               struct ms_str value, uint64_t at, uint64_t offset)
{
  struct record *r = find_record (replica->records, key);
  bool held = r && r->held;
  uint64_t known_at = r ? r->at : MS_NO_OFFSET;

  if (held)
    r->held = false;
  /* A peer may know less than this router of where the record was written.  */
  if (at == MS_NO_OFFSET && r && ms_str_equal (record_value (r), value))
    at = known_at;
  if (set_record (&replica->records, key, value, at, offset) || held)
    replica->options.changed (replica->options.context, key, value, false);
  else if (replica->options.repeated && known_at != MS_NO_OFFSET
           && at > known_at
           && replica->options.repeated (replica->options.context, key, value))
    find_record (replica->records, key)->offset = offset;
}

/* Report a record that was held.  */
static void
release_record (struct ms_replica *replica, struct record *r)
{
  r->held = false;
  replica->options.changed (replica->options.context, record_key (r),
                            record_value (r), false);
}

static void
delete_record (struct ms_replica *replica, struct record *r)
{
  HASH_DEL (replica->records, r);
  if (!r->held)
    replica->options.changed (replica->options.context, record_key (r),
                              (struct ms_str){ "", 0 }, true);
  free_record (r);
}

/* A read that was sent at SENT_AT has succeeded, maybe after an outage.  */
static void
note_read (struct ms_replica *replica, ms_time sent_at)
{
  if (replica->options.outage && replica->loaded
      && sent_at - replica->read_at >= replica->options.outage)
    {
      replica->outage_end = sent_at;
      replica->kept_until = sent_at + replica->options.keep;
    }
}

/* A read that was sent at SENT_AT shows that the store came back from an older
   copy: offsets before it mean nothing any more.  */
static void
note_older_copy (struct ms_replica *replica, uint64_t end, uint64_t era,
                 ms_time sent_at, ms_time now)
{
  struct record *r, *next;

  ms_event (now, "store_lost_records",
            "topic=%s era=%llu end=%llu known_era=%llu known_end=%llu",
            replica->options.name, (unsigned long long)era,
            (unsigned long long)end, (unsigned long long)replica->era,
            (unsigned long long)replica->next);
  replica->outage_end = sent_at;
  replica->kept_until = sent_at + replica->options.rewrite;
  replica->settled_at = replica->kept_until;
  for (unsigned i = 0; i < MAX_REMOVALS; i++)
    {
      free (replica->removals[i].key);
      replica->removals[i] = (struct removal){ NULL, 0 };
    }
  HASH_ITER (hh, replica->records, r, next) { r->at = MS_NO_OFFSET; }
}

/* Remember that R was removed before OFFSET.  */
static void
note_removal (struct ms_replica *replica, const struct record *r,
              uint64_t offset)
{
  struct removal *removal = &replica->removals[replica->removals_next];

  if (!r->relayable)
    return;
  if (removal->key && removal->offset > replica->changes_from)
    replica->changes_from = removal->offset;
  free (removal->key);
  *removal = (struct removal){ ms_copy (r->key, r->key_length), offset };
  replica->removals_next = (replica->removals_next + 1) % MAX_REMOVALS;
}

/* A read that was sent at SENT_AT shows that the store no longer has the
   record R, which was removed before OFFSET: delete it, or keep it for a while
   if it may have expired in an outage.  */
static void
handle_missing (struct ms_replica *replica, struct record *r, uint64_t offset,
                ms_time sent_at, ms_time now)
{
  if (!r->missing)
    note_removal (replica, r, offset);
  if (!replica->outage_end || r->held
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
                   struct ms_str value, bool removed, uint64_t at,
                   ms_time sent_at, ms_time now)
{
  struct record *r;

  note_read (replica, sent_at);
  if (!removed)
    {
      update_record (replica, key, value, at, OFFSET_PENDING);
      return;
    }
  r = find_record (replica->records, key);
  if (r)
    handle_missing (replica, r, OFFSET_PENDING, sent_at, now);
}

void
ms_replica_add (struct ms_replica *replica, struct ms_str key,
                struct ms_str value, uint64_t at)
{
  set_record (&replica->snapshot, key, value, at, 0);
}

void
ms_replica_abandon (struct ms_replica *replica)
{
  free_table (&replica->snapshot);
}

/* Apply the record R of a snapshot up to offset END.  From an older copy, one
   that is new here is held.  */
static void
apply_from_snapshot (struct ms_replica *replica, const struct record *r,
                     uint64_t end, bool older_copy)
{
  struct record *known = find_record (replica->records, record_key (r));

  if (!known && older_copy)
    {
      set_record (&replica->records, record_key (r), record_value (r), r->at,
                  end);
      find_record (replica->records, record_key (r))->held = true;
    }
  else if (!known || !known->held
           || !ms_str_equal (record_value (known), record_value (r)))
    update_record (replica, record_key (r), record_value (r), r->at, end);
}

/* Replace the records by those in *TABLE, a snapshot up to offset END of ERA
   that was requested at SENT_AT, and empty *TABLE.  */
static void
apply_snapshot (struct ms_replica *replica, struct record **table,
                uint64_t end, uint64_t era, ms_time sent_at, ms_time now)
{
  bool older_copy = replica->loaded && (replica->lost || era > replica->era);
  struct record *r, *next;

  note_read (replica, sent_at);
  if (older_copy)
    note_older_copy (replica, end, era, sent_at, now);
  HASH_ITER (hh, replica->records, r, next)
  {
    if (!find_record (*table, record_key (r)))
      handle_missing (replica, r, end, sent_at, now);
  }
  HASH_ITER (hh, *table, r, next)
  {
    apply_from_snapshot (replica, r, end, older_copy);
  }
  free_table (table);
  /* The changes since an offset before a loss cannot be told.  */
  if (!replica->loaded || end < replica->next || older_copy)
    {
      replica->changes_from = end;
      HASH_ITER (hh, replica->records, r, next) { r->offset = end; }
    }
  replica->next = end;
  replica->loaded = true;
  replica->incomplete = false;
  replica->lost = false;
  if (era)
    replica->era = era;
}

void
ms_replica_complete (struct ms_replica *replica, uint64_t end, uint64_t era,
                     ms_time sent_at, ms_time now)
{
  bool older_era = era && era < replica->era;
  /* A relay brought a newer state.  */
  bool overtaken = replica->loaded && era <= replica->era && !replica->lost
                   && end < replica->next && sent_at <= replica->read_at;

  if (older_era || overtaken)
    {
      free_table (&replica->snapshot);
      return;
    }
  apply_snapshot (replica, &replica->snapshot, end, era, sent_at, now);
  if (sent_at > replica->read_at)
    replica->read_at = sent_at;
}

/* The read of changes that were applied goes up to the offset NEXT.  */
static void
set_pending (struct ms_replica *replica, uint64_t next)
{
  struct record *r, *following;

  if (next == replica->next)
    return;
  HASH_ITER (hh, replica->records, r, following)
  {
    if (r->offset == OFFSET_PENDING)
      r->offset = next;
  }
  for (unsigned i = 0; i < MAX_REMOVALS; i++)
    if (replica->removals[i].offset == OFFSET_PENDING)
      replica->removals[i].offset = next;
  if (replica->changes_from == OFFSET_PENDING)
    replica->changes_from = next;
}

void
ms_replica_advance (struct ms_replica *replica, uint64_t next, uint64_t end,
                    ms_time confirmed_at)
{
  set_pending (replica, next);
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

  if (!replica->outage_end || now < replica->kept_until)
    return;
  replica->outage_end = 0;
  HASH_ITER (hh, replica->records, r, next)
  {
    if (r->held)
      release_record (replica, r);
    if (!r->missing)
      continue;
    ms_event (now, "record_dropped", "topic=%s key=%.*s",
              replica->options.name, (int)r->key_length, r->key);
    delete_record (replica, r);
  }
}

/* Write the checksum of the records that can be relayed to TEXT.  */
static void
write_sum (const struct ms_replica *replica, char text[SUM_BYTES])
{
  struct record *r, *next;
  uint64_t sum = 0;

  HASH_ITER (hh, replica->records, r, next)
  {
    if (!r->missing && r->relayable)
      sum += r->hash;
  }
  snprintf (text, SUM_BYTES, "%016llx", (unsigned long long)sum);
}

/* Return the records that can be relayed and have changed since the offset
   KNOWN.  */
static json_t *
encode_records (const struct ms_replica *replica, uint64_t known)
{
  json_t *records = json_object ();
  struct record *r, *next;

  HASH_ITER (hh, replica->records, r, next)
  {
    if (!r->missing && r->relayable && r->offset > known)
      json_object_set_new (records, r->key,
                           json_stringn (r->value, r->value_length));
  }
  return records;
}

/* Return where the same records were written, by key, as far as that is
   known.  */
static json_t *
encode_offsets (const struct ms_replica *replica, uint64_t known)
{
  json_t *offsets = json_object ();
  struct record *r, *next;

  HASH_ITER (hh, replica->records, r, next)
  {
    if (!r->missing && r->relayable && r->offset > known
        && r->at != MS_NO_OFFSET)
      json_object_set_new (offsets, r->key, json_integer ((json_int_t)r->at));
  }
  return offsets;
}

/* Return the keys that were removed since the offset KNOWN and are not there
   again, or whose records cannot be relayed since.  */
static json_t *
encode_removals (const struct ms_replica *replica, uint64_t known)
{
  json_t *keys = json_array ();
  struct record *changed, *next;

  HASH_ITER (hh, replica->records, changed, next)
  {
    if (!changed->relayable && !changed->missing && changed->offset > known
        && is_relayable_key (record_key (changed)))
      json_array_append_new (keys,
                             json_stringn (changed->key, changed->key_length));
  }
  for (unsigned i = 0; i < MAX_REMOVALS; i++)
    {
      const struct removal *removal = &replica->removals[i];
      const struct record *r;

      if (!removal->key || removal->offset <= known)
        continue;
      r = find_record (replica->records, ms_str (removal->key));
      if (!r || r->missing)
        json_array_append_new (keys, json_string (removal->key));
    }
  return keys;
}

json_t *
ms_replica_encode (const struct ms_replica *replica, uint64_t known,
                   bool changes, ms_time now)
{
  json_t *relay;
  char sum[SUM_BYTES];

  if (!replica->loaded)
    return NULL;
  relay = json_pack ("{s:I, s:I}", "next", (json_int_t)replica->next, "age_us",
                     (json_int_t)(now - replica->read_at));
  if (replica->era)
    json_object_set_new (relay, "era",
                         json_integer ((json_int_t)replica->era));
  if (known >= replica->next)
    return relay;
  if (!changes || !known || known < replica->changes_from)
    known = 0;
  if (replica->options.repeated)
    json_object_set_new (relay, "offsets", encode_offsets (replica, known));
  if (!known)
    {
      json_object_set_new (relay, "records", encode_records (replica, 0));
      return relay;
    }
  write_sum (replica, sum);
  json_object_set_new (relay, "since", json_integer ((json_int_t)known));
  json_object_set_new (relay, "sum", json_string (sum));
  json_object_set_new (relay, "records", encode_records (replica, known));
  json_object_set_new (relay, "removed", encode_removals (replica, known));
  return relay;
}

/* Return where the record of KEY in RELAY was written.  */
static uint64_t
relayed_offset (const json_t *relay, const char *key)
{
  const json_t *at = json_object_get (json_object_get (relay, "offsets"), key);

  return json_is_integer (at) && json_integer_value (at) >= 0
             ? (uint64_t)json_integer_value (at)
             : MS_NO_OFFSET;
}

/* Apply the changes in RELAY, which was read at READ_AT and goes up to OFFSET.
   Return whether they lead to the records of the peer.  */
static bool
apply_changes (struct ms_replica *replica, const json_t *relay,
               uint64_t offset, ms_time read_at, ms_time now)
{
  const char *peer_sum = json_string_value (json_object_get (relay, "sum"));
  json_t *records = json_object_get (relay, "records");
  json_t *removed = json_object_get (relay, "removed");
  char sum[SUM_BYTES];
  const char *key;
  json_t *value;
  size_t i;

  note_read (replica, read_at);
  json_object_foreach (records, key, value)
  {
    update_record (replica, ms_str (key),
                   (struct ms_str){ json_string_value (value),
                                    json_string_length (value) },
                   relayed_offset (relay, key), offset);
  }
  json_array_foreach (removed, i, value)
  {
    struct record *r = json_is_string (value)
                           ? find_record (replica->records,
                                          ms_str (json_string_value (value)))
                           : NULL;

    if (r)
      handle_missing (replica, r, offset, read_at, now);
  }
  replica->next = offset;
  write_sum (replica, sum);
  replica->incomplete = !peer_sum || strcmp (sum, peer_sum) != 0;
  if (replica->incomplete)
    ms_event (now, "relay_incomplete", "topic=%s next=%llu",
              replica->options.name, (unsigned long long)offset);
  return !replica->incomplete;
}

/* Replace the records by those in RELAY, which was read at READ_AT and goes up
   to OFFSET of ERA.  */
static void
apply_all (struct ms_replica *replica, const json_t *relay, uint64_t offset,
           uint64_t era, ms_time read_at, ms_time now)
{
  struct record *table = NULL;
  const char *key;
  json_t *value;

  json_object_foreach (json_object_get (relay, "records"), key, value)
  {
    set_record (&table, ms_str (key),
                (struct ms_str){ json_string_value (value),
                                 json_string_length (value) },
                relayed_offset (relay, key), offset);
  }
  apply_snapshot (replica, &table, offset, era, read_at, now);
}

/* Return whether all values of OBJECT are strings.  */
static bool
has_strings_only (json_t *object)
{
  const char *key;
  json_t *value;

  json_object_foreach (object, key, value)
  {
    if (!json_is_string (value))
      return false;
  }
  return json_is_object (object);
}

/* Apply RELAY, which was read at READ_AT and goes up to OFFSET of a later ERA.
   Without all records, the next call asks for them.  */
static bool
apply_later_era (struct ms_replica *replica, const json_t *relay,
                 uint64_t offset, uint64_t era, ms_time read_at, ms_time now)
{
  if (json_object_get (relay, "since")
      || !has_strings_only (json_object_get (relay, "records")))
    {
      replica->incomplete = true;
      return false;
    }
  apply_all (replica, relay, offset, era, read_at, now);
  if (read_at > replica->read_at)
    replica->read_at = read_at;
  return true;
}

bool
ms_replica_apply (struct ms_replica *replica, const json_t *relay,
                  ms_time sent_at, ms_time now)
{
  const json_t *next = json_object_get (relay, "next");
  const json_t *age = json_object_get (relay, "age_us");
  const json_t *since = json_object_get (relay, "since");
  json_t *records = json_object_get (relay, "records");
  ms_time read_at = sent_at - json_integer_value (age);
  uint64_t offset = (uint64_t)json_integer_value (next);
  json_int_t era = json_integer_value (json_object_get (relay, "era"));

  if (!json_is_integer (next) || !json_is_integer (age) || era < 0
      || (uint64_t)era < replica->era)
    return false;
  if (replica->loaded && (uint64_t)era > replica->era)
    return apply_later_era (replica, relay, offset, (uint64_t)era, read_at,
                            now);
  if (offset < replica->next
      || (replica->loaded && read_at <= replica->read_at))
    return false;
  if (offset > replica->next || !replica->loaded || replica->incomplete)
    {
      if (!has_strings_only (records))
        return false;
      if (!since)
        apply_all (replica, relay, offset, (uint64_t)era, read_at, now);
      else if (!replica->loaded || replica->incomplete
               || (uint64_t)json_integer_value (since) != replica->next
               || !apply_changes (replica, relay, offset, read_at, now))
        return false;
    }
  note_read (replica, read_at);
  replica->read_at = read_at;
  return true;
}

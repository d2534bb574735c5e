#include "gateway/topic.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/exchange.h"
#include "platform.h"

/* Time limit of a read, on top of the time for which the store may hold it
   open.  */
#define RESPONSE_GRACE (1000 * MS_MSEC)

/* Age of the records at which a router that depends on relays reads the store
   itself.  */
#define RELAY_MAX_AGE (1800 * MS_MSEC)

/* Delay after a failed read; doubles with each failure in a row, up to the
   maximum.  */
#define MIN_RETRY_DELAY (200 * MS_MSEC)
#define MAX_RETRY_DELAY (1600 * MS_MSEC)

/* After reads of the store work again, records may still be missing for this
   time because their writers could not reach the store either.  */
#define OUTAGE_AFTERMATH (600 * MS_MSEC)

struct record
{
  char *key;
  size_t key_length;
  char *value;
  size_t value_length;
  ms_time missing_since; /* When a read showed it gone; 0 while present.  */
  UT_hash_handle hh;
};

struct ms_topic
{
  struct ms_topic_options options;
  const struct ms_clock *clock;
  struct ms_exchange *exchange;
  struct record *records; /* The local copy.  */

  /* A snapshot is a read of all current records, in pages.  */
  struct record *snapshot; /* Records of the pages read so far.  */
  bool snapshot_open;      /* Further pages are to be read...  */
  char page_after[256];    /* ...starting after this key.  */
  uint64_t snapshot_end;   /* Offset to read changes from, given with the first
                              page.  */
  ms_time snapshot_sent_at; /* When the first page was requested.  */
  bool loaded;              /* A snapshot was applied.  */
  bool incremental;         /* Read the changes from NEXT_OFFSET on instead of
                               a snapshot.  */
  uint64_t next_offset;
  uint64_t call_offset; /* NEXT_OFFSET when the current call was sent.  */
  ms_time read_at;      /* When the read that confirmed the records began,
                           here or at the peer that relayed it.  */
  ms_time next_call_at; /* No read starts before this time.  */
  unsigned failures;    /* Failed reads in a row.  */
  ms_time recovered_at; /* When the last outage ended.  */
  ms_time response_at;  /* When the last read of changes ended.  */
};

struct ms_topic *
ms_topic_create (uv_loop_t *loop, const struct ms_clock *clock,
                 const struct ms_topic_options *options)
{
  struct ms_topic *t = ms_new (sizeof *t);

  t->options = *options;
  t->clock = clock;
  t->exchange = ms_exchange_create (loop, clock);
  return t;
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
ms_topic_destroy (struct ms_topic *t)
{
  if (!t)
    return;
  ms_exchange_destroy (t->exchange);
  free_table (&t->records);
  free_table (&t->snapshot);
  free (t);
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
      r->missing_since = 0;
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
update_record (struct ms_topic *t, struct ms_str key, struct ms_str value)
{
  if (set_record (&t->records, key, value))
    t->options.changed (t->options.context, key, value, false);
}

static void
delete_record (struct ms_topic *t, struct record *r)
{
  HASH_DEL (t->records, r);
  t->options.changed (t->options.context,
                      (struct ms_str){ r->key, r->key_length },
                      (struct ms_str){ "", 0 }, true);
  free_record (r);
}

/* Whether a record may be missing only because its writer could not reach the
   store: during an outage and shortly after.  */
static bool
removal_uncertain (const struct ms_topic *t, ms_time now)
{
  return t->options.keep_missing
         && (t->failures
             || (t->recovered_at && now - t->recovered_at < OUTAGE_AFTERMATH));
}

/* The store no longer has the record R: delete it now or, if DEFERRED, once it
   has been missing for the topic's keep_missing time.  */
static void
handle_missing (struct ms_topic *t, struct record *r, bool deferred,
                ms_time now)
{
  if (!deferred)
    delete_record (t, r);
  else if (!r->missing_since)
    {
      r->missing_since = now;
      ms_event (now, "record_missing", "topic=%s key=%.*s", t->options.name,
                (int)r->key_length, r->key);
    }
}

static void
apply_change (void *context, const struct plat_record *record)
{
  struct ms_topic *t = context;
  struct record *r;

  if (!record->removed)
    {
      update_record (t, record->key, record->value);
      return;
    }
  r = find_record (t->records, record->key);
  if (r)
    handle_missing (t, r, removal_uncertain (t, t->response_at),
                    t->response_at);
}

static void
add_to_snapshot (void *context, const struct plat_record *record)
{
  struct ms_topic *t = context;

  if (!record->removed)
    set_record (&t->snapshot, record->key, record->value);
}

/* Replace the records by those in *TABLE, a snapshot up to offset END, and
   empty *TABLE.  Records that it lacks are deleted, with a delay if DEFERRED.
   */
static void
apply_snapshot (struct ms_topic *t, struct record **table, uint64_t end,
                bool deferred, ms_time now)
{
  struct record *r, *next;

  HASH_ITER (hh, t->records, r, next)
  {
    if (find_record (*table, (struct ms_str){ r->key, r->key_length }))
      continue;
    handle_missing (t, r, deferred, now);
  }
  HASH_ITER (hh, *table, r, next)
  {
    update_record (t, (struct ms_str){ r->key, r->key_length },
                   (struct ms_str){ r->value, r->value_length });
  }
  free_table (table);
  t->next_offset = end;
  t->loaded = true;
  t->incremental = true;
}

/* Delete the records that have been missing for the keep_missing time.  */
static void
expire_missing (struct ms_topic *t, ms_time now)
{
  struct record *r, *next;

  HASH_ITER (hh, t->records, r, next)
  {
    if (r->missing_since && now - r->missing_since > t->options.keep_missing)
      {
        ms_event (now, "record_dropped", "topic=%s key=%.*s missing_ms=%lld",
                  t->options.name, (int)r->key_length, r->key,
                  (long long)((now - r->missing_since) / MS_MSEC));
        delete_record (t, r);
      }
  }
}

/* Note a successful read that was sent at SENT_AT.  */
static void
read_succeeded (struct ms_topic *t, ms_time sent_at)
{
  if (t->failures)
    t->recovered_at = ms_now (t->clock);
  if (t->failures)
    ms_event (sent_at, "topic_regained", "topic=%s failures=%u",
              t->options.name, t->failures);
  t->failures = 0;
  if (sent_at > t->read_at)
    t->read_at = sent_at;
}

/* Drop an unfinished snapshot and schedule the next try.  CODE is the HTTP
   status if there was a response.  */
static void
read_failed (struct ms_topic *t, unsigned code, ms_time now)
{
  ms_time pause = MIN_RETRY_DELAY;

  for (unsigned i = 0; i < t->failures && pause < MAX_RETRY_DELAY; i++)
    pause *= 2;
  if (!t->failures)
    ms_event (now, "topic_lost", "topic=%s code=%u age_ms=%lld",
              t->options.name, code,
              (long long)((now - t->read_at) / MS_MSEC));
  t->failures++;
  t->snapshot_open = false;
  free_table (&t->snapshot);
  t->next_call_at = now + pause;
}

static void
on_snapshot_page (void *context, enum ms_status status, unsigned code,
                  struct ms_str body, ms_time sent_at)
{
  struct ms_topic *t = context;
  ms_time now = ms_now (t->clock);
  bool more;
  uint64_t end;

  if (status != MS_OK || code != 200
      || plat_decode_newest (body, add_to_snapshot, t, &end, &more,
                             t->page_after, sizeof t->page_after)
             != MS_OK)
    {
      read_failed (t, code, now);
      return;
    }
  if (!t->snapshot_open)
    {
      t->snapshot_end = end;
      t->snapshot_sent_at = sent_at;
    }
  t->snapshot_open = more;
  t->next_call_at = now;
  if (more)
    return;
  t->next_call_at = now + t->options.pause;
  if (t->loaded && t->snapshot_end < t->next_offset)
    free_table (&t->snapshot); /* A relay brought a newer state.  */
  else
    apply_snapshot (t, &t->snapshot, t->snapshot_end,
                    removal_uncertain (t, now), now);
  t->incremental = true;
  read_succeeded (t, t->snapshot_sent_at);
}

static void
on_changes_read (void *context, enum ms_status status, unsigned code,
                 struct ms_str body, ms_time sent_at)
{
  struct ms_topic *t = context;
  ms_time now = ms_now (t->clock);
  uint64_t next;

  t->response_at = now;
  if (status == MS_OK && code == 410)
    {
      /* The store no longer has the record at this offset: read a
         snapshot.  */
      ms_event (now, "topic_history_gone", "topic=%s from=%llu",
                t->options.name, (unsigned long long)t->next_offset);
      t->incremental = false;
      t->next_call_at = now;
      return;
    }
  if (status == MS_OK && code == 200 && t->call_offset != t->next_offset)
    {
      /* A peer relayed these changes during the read: discard them.  */
      t->next_call_at = now;
      return;
    }
  if (status != MS_OK || code != 200
      || plat_decode_read (body, t->next_offset, apply_change, t, &next)
             != MS_OK)
    {
      read_failed (t, code, now);
      return;
    }
  t->next_offset = next;
  t->next_call_at = now + t->options.pause;
  read_succeeded (t, sent_at);
}

void
ms_topic_tick (struct ms_topic *t, bool direct, ms_time now)
{
  char path[512];

  expire_missing (t, now);
  if (ms_exchange_busy (t->exchange) || now < t->next_call_at
      || (!direct && t->loaded && now - t->read_at < RELAY_MAX_AGE))
    return;
  if (!t->incremental)
    {
      plat_newest_path (path, sizeof path, t->options.name,
                        t->snapshot_open ? t->page_after : "");
      ms_exchange_call (t->exchange, &t->options.store, "GET", path,
                        (struct ms_str){ "", 0 }, RESPONSE_GRACE,
                        on_snapshot_page, t);
      return;
    }
  t->call_offset = t->next_offset;
  plat_read_path (path, sizeof path, t->options.name, t->next_offset,
                  t->options.wait_ms);
  ms_exchange_call (
      t->exchange, &t->options.store, "GET", path, (struct ms_str){ "", 0 },
      t->options.wait_ms * MS_MSEC + RESPONSE_GRACE, on_changes_read, t);
}

ms_time
ms_topic_read_at (const struct ms_topic *t)
{
  return t->loaded ? t->read_at : 0;
}

bool
ms_topic_failing (const struct ms_topic *t)
{
  return t->failures > 0;
}

uint64_t
ms_topic_next (const struct ms_topic *t)
{
  return t->loaded ? t->next_offset : 0;
}

json_t *
ms_topic_encode_relay (const struct ms_topic *t, uint64_t known, ms_time now)
{
  json_t *relay;
  json_t *records;
  struct record *r, *next;

  if (!t->loaded)
    return NULL;
  relay = json_pack ("{s:I, s:I}", "next", (json_int_t)t->next_offset,
                     "age_us", (json_int_t)(now - t->read_at));
  if (known >= t->next_offset)
    return relay;
  records = json_object ();
  HASH_ITER (hh, t->records, r, next)
  {
    /* A key that does not fit into PAGE_AFTER is left out.  So is a value that
       is not UTF-8, which no router could decode anyway.  */
    if (r->key_length < sizeof t->page_after)
      json_object_set_new (records, r->key,
                           json_stringn (r->value, r->value_length));
  }
  json_object_set_new (relay, "records", records);
  return relay;
}

bool
ms_topic_apply_relay (struct ms_topic *t, const json_t *relay, ms_time sent_at,
                      ms_time now)
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
      || offset < t->next_offset || (t->loaded && read_at <= t->read_at))
    return false;
  if (offset > t->next_offset || !t->loaded)
    {
      if (!json_is_object (records))
        return false;
      json_object_foreach (records, key, value)
      {
        set_record (&table, ms_str (key),
                    (struct ms_str){ json_string_value (value),
                                     json_string_length (value) });
      }
      apply_snapshot (t, &table, offset, false, now);
    }
  t->read_at = read_at;
  return true;
}

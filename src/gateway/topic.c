#include "gateway/topic.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/exchange.h"
#include "platform.h"

/* A read is given up so long after the time for which it may be held.  */
#define ANSWER_TIMEOUT (1000 * MS_MSEC)

/* Without word by relay for so long a gateway reads for itself.  */
#define RELAY_MISSED (1800 * MS_MSEC)

/* Between reads that fail, doubled for each.  */
#define FIRST_RETRY (200 * MS_MSEC)
#define LONGEST_RETRY (1600 * MS_MSEC)

/* So long after an outage entries may be missing that come back.  */
#define REGAINED_FOR (600 * MS_MSEC)

struct record
{
  char *key;
  size_t key_length;
  char *value;
  size_t length;
  ms_time missing_since; /* 0 unless a whole read lacked it.  */
  UT_hash_handle hh;
};

struct ms_topic
{
  struct ms_topic_options options;
  const struct ms_clock *clock;
  struct ms_exchange *exchange;
  struct record *records;
  struct record *whole; /* Pages of a whole read so far.  */
  bool paging;
  char after[256];
  uint64_t whole_end;
  ms_time whole_sent_at;
  bool known;  /* A whole read was completed.  */
  bool follow; /* Read what comes from NEXT on, not the whole.  */
  uint64_t next;
  uint64_t call_from; /* What NEXT was at the current call.  */
  ms_time read_at;
  ms_time call_at;
  unsigned failures;
  ms_time regained_at;  /* End of the last outage.  */
  ms_time read_done_at; /* When the answer that is being taken came.  */
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
  free_table (&t->whole);
  free (t);
}

static struct record *
find (struct record *table, struct ms_str key)
{
  struct record *r;

  HASH_FIND (hh, table, key.data, key.length, r);
  return r;
}

/* Set KEY to VALUE in *TABLE; returns whether that is a change.  */
static bool
set (struct record **table, struct ms_str key, struct ms_str value)
{
  struct record *r = find (*table, key);

  if (r)
    {
      r->missing_since = 0;
      if (ms_str_equal ((struct ms_str){ r->value, r->length }, value))
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
  r->length = value.length;
  return true;
}

static void
put (struct ms_topic *t, struct ms_str key, struct ms_str value)
{
  if (set (&t->records, key, value))
    t->options.changed (t->options.context, key, value, false);
}

static void
erase (struct ms_topic *t, struct record *r)
{
  HASH_DEL (t->records, r);
  t->options.changed (t->options.context,
                      (struct ms_str){ r->key, r->key_length },
                      (struct ms_str){ "", 0 }, true);
  free_record (r);
}

/* Whether what is missing now may be missing only since its writer could not
   reach the store.  */
static bool
after_outage (const struct ms_topic *t, ms_time now)
{
  return t->options.missing_for
         && (t->failures
             || (t->regained_at && now - t->regained_at < REGAINED_FOR));
}

/* KEY is not there any more: drop it, soon if LATER.  */
static void
lose (struct ms_topic *t, struct record *r, bool later, ms_time now)
{
  if (!later)
    erase (t, r);
  else if (!r->missing_since)
    r->missing_since = now;
}

static void
take_change (void *context, const struct plat_record *record)
{
  struct ms_topic *t = context;
  struct record *r;

  if (!record->removed)
    {
      put (t, record->key, record->value);
      return;
    }
  r = find (t->records, record->key);
  if (r)
    lose (t, r, after_outage (t, t->read_done_at), t->read_done_at);
}

static void
take_whole (void *context, const struct plat_record *record)
{
  struct ms_topic *t = context;

  if (!record->removed)
    set (&t->whole, record->key, record->value);
}

/* Make the records those of the whole read in *TABLE, which is emptied.  What
   it lacks goes, soon if LATER.  */
static void
apply_whole (struct ms_topic *t, struct record **table, uint64_t end,
             bool later, ms_time now)
{
  struct record *r, *next;

  HASH_ITER (hh, t->records, r, next)
  {
    if (find (*table, (struct ms_str){ r->key, r->key_length }))
      continue;
    lose (t, r, later, now);
  }
  HASH_ITER (hh, *table, r, next)
  {
    put (t, (struct ms_str){ r->key, r->key_length },
         (struct ms_str){ r->value, r->length });
  }
  free_table (table);
  t->next = end;
  t->known = true;
  t->follow = true;
}

static void
drop_missing (struct ms_topic *t, ms_time now)
{
  struct record *r, *next;

  HASH_ITER (hh, t->records, r, next)
  {
    if (r->missing_since && now - r->missing_since > t->options.missing_for)
      erase (t, r);
  }
}

static void
succeeded (struct ms_topic *t, ms_time sent_at)
{
  if (t->failures)
    t->regained_at = ms_now (t->clock);
  if (t->failures)
    ms_event (sent_at, "topic_regained", "topic=%s failures=%u",
              t->options.name, t->failures);
  t->failures = 0;
  if (sent_at > t->read_at)
    t->read_at = sent_at;
}

static void
failed (struct ms_topic *t, unsigned code, ms_time now)
{
  ms_time pause = FIRST_RETRY;

  for (unsigned i = 0; i < t->failures && pause < LONGEST_RETRY; i++)
    pause *= 2;
  if (!t->failures)
    ms_event (now, "topic_lost", "topic=%s code=%u age_ms=%lld",
              t->options.name, code,
              (long long)((now - t->read_at) / MS_MSEC));
  t->failures++;
  t->paging = false;
  free_table (&t->whole);
  t->call_at = now + pause;
}

static void
whole_done (void *context, enum ms_status status, unsigned code,
            struct ms_str body, ms_time sent_at)
{
  struct ms_topic *t = context;
  ms_time now = ms_now (t->clock);
  bool more;
  uint64_t end;

  if (status != MS_OK || code != 200
      || plat_decode_newest (body, take_whole, t, &end, &more, t->after,
                             sizeof t->after)
             != MS_OK)
    {
      failed (t, code, now);
      return;
    }
  if (!t->paging)
    {
      t->whole_end = end;
      t->whole_sent_at = sent_at;
    }
  t->paging = more;
  t->call_at = now;
  if (more)
    return;
  t->call_at = now + t->options.pause;
  if (t->known && t->whole_end < t->next)
    free_table (&t->whole); /* A peer relayed a newer state meanwhile.  */
  else
    apply_whole (t, &t->whole, t->whole_end, after_outage (t, now), now);
  t->follow = true;
  succeeded (t, t->whole_sent_at);
}

static void
read_done (void *context, enum ms_status status, unsigned code,
           struct ms_str body, ms_time sent_at)
{
  struct ms_topic *t = context;
  ms_time now = ms_now (t->clock);
  uint64_t next;

  t->read_done_at = now;
  if (status == MS_OK && code == 410)
    {
      /* The records were deleted: read the newest ones as a whole.  */
      ms_event (now, "topic_history_gone", "topic=%s from=%llu",
                t->options.name, (unsigned long long)t->next);
      t->follow = false;
      t->call_at = now;
      return;
    }
  if (status == MS_OK && code == 200 && t->call_from != t->next)
    {
      /* A peer relayed what came meanwhile.  */
      t->call_at = now;
      return;
    }
  if (status != MS_OK || code != 200
      || plat_decode_read (body, t->next, take_change, t, &next) != MS_OK)
    {
      failed (t, code, now);
      return;
    }
  t->next = next;
  t->call_at = now + t->options.pause;
  succeeded (t, sent_at);
}

void
ms_topic_tick (struct ms_topic *t, bool direct, ms_time now)
{
  char path[512];

  drop_missing (t, now);
  if (ms_exchange_busy (t->exchange) || now < t->call_at
      || (!direct && t->known && now - t->read_at < RELAY_MISSED))
    return;
  if (!t->follow)
    {
      plat_newest_path (path, sizeof path, t->options.name,
                        t->paging ? t->after : "");
      ms_exchange_call (t->exchange, &t->options.store, "GET", path,
                        (struct ms_str){ "", 0 }, ANSWER_TIMEOUT, whole_done,
                        t);
      return;
    }
  t->call_from = t->next;
  plat_read_path (path, sizeof path, t->options.name, t->next,
                  t->options.wait_ms);
  ms_exchange_call (
      t->exchange, &t->options.store, "GET", path, (struct ms_str){ "", 0 },
      t->options.wait_ms * MS_MSEC + ANSWER_TIMEOUT, read_done, t);
}

ms_time
ms_topic_read_at (const struct ms_topic *t)
{
  return t->known ? t->read_at : 0;
}

bool
ms_topic_failing (const struct ms_topic *t)
{
  return t->failures > 0;
}

uint64_t
ms_topic_next (const struct ms_topic *t)
{
  return t->known ? t->next : 0;
}

json_t *
ms_topic_relay (const struct ms_topic *t, uint64_t known, ms_time now)
{
  json_t *relay;
  json_t *records;
  struct record *r, *next;

  if (!t->known)
    return NULL;
  relay = json_pack ("{s:I, s:I}", "next", (json_int_t)t->next, "age_us",
                     (json_int_t)(now - t->read_at));
  if (known >= t->next)
    return relay;
  records = json_object ();
  HASH_ITER (hh, t->records, r, next)
  {
    /* Values that are no text are no entries that anyone can read.  */
    if (r->key_length < sizeof t->after)
      json_object_set_new (records, r->key,
                           json_stringn (r->value, r->length));
  }
  json_object_set_new (relay, "records", records);
  return relay;
}

bool
ms_topic_relayed (struct ms_topic *t, const json_t *relay, ms_time sent_at,
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

  if (!json_is_integer (next) || !json_is_integer (age) || offset < t->next
      || (t->known && read_at <= t->read_at))
    return false;
  if (offset > t->next || !t->known)
    {
      if (!json_is_object (records))
        return false;
      json_object_foreach (records, key, value)
      {
        set (&table, ms_str (key),
             (struct ms_str){ json_string_value (value),
                              json_string_length (value) });
      }
      apply_whole (t, &table, offset, false, now);
    }
  t->read_at = read_at;
  return true;
}

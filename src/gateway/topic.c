#include "gateway/topic.h"

#include <stdlib.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/exchange.h"
#include "platform.h"

/* Time limit of a read, on top of the time for which the store may hold it
   open.  */
#define RESPONSE_GRACE (1000 * MS_MSEC)

/* Delay after a failed read; doubles with each failure in a row, up to the
   maximum.  */
#define MIN_RETRY_DELAY (200 * MS_MSEC)
#define MAX_RETRY_DELAY (1600 * MS_MSEC)

/* A read that is not answered this long after the time for which the store may
   hold it open is overdue.  */
#define OVERDUE_TIME (100 * MS_MSEC)

struct ms_topic
{
  struct ms_topic_options options;
  const struct ms_clock *clock;
  struct ms_exchange *exchange;
  struct ms_replica *replica;

  /* A snapshot is a read of all current records, in pages.  */
  bool snapshot_open;                /* Further pages are to be read...  */
  char page_after[PLAT_AFTER_BYTES]; /* ...starting after this key.  */
  uint64_t snapshot_end;    /* Offset to read changes from, given with the
                               first page.  */
  uint64_t snapshot_era;    /* Era of the store, given with the first page.  */
  ms_time snapshot_sent_at; /* When the first page was requested.  */
  uint64_t call_offset;     /* Where the last read of changes starts.  */
  bool history_gone;        /* The store has dropped the record there.  */
  ms_time next_call_at;     /* No read starts before this time.  */
  unsigned failures;        /* Failed reads in a row.  */
  ms_time call_sent_at;     /* When the last read of changes was sent.  */
  ms_time answer_due;       /* When the read in progress becomes overdue.  */
  bool overdue;             /* It was at the last tick.  */
  ms_time suspected_at;     /* As of ms_topic_suspected_at.  */

  /* Reads that confirm the records.  */
  struct ms_exchange *confirm_exchange;
  uint64_t confirm_offset; /* Where the last one starts.  */
  ms_time next_confirm_at; /* None starts before this time.  */
};

struct ms_topic *
ms_topic_create (uv_loop_t *loop, const struct ms_clock *clock,
                 const struct ms_topic_options *options)
{
  struct ms_topic *t = ms_new (sizeof *t);

  t->options = *options;
  t->clock = clock;
  t->exchange = ms_exchange_create (loop, clock);
  t->confirm_exchange = ms_exchange_create (loop, clock);
  t->replica = ms_replica_create (&options->replica);
  return t;
}

void
ms_topic_destroy (struct ms_topic *t)
{
  if (!t)
    return;
  ms_exchange_destroy (t->exchange);
  ms_exchange_destroy (t->confirm_exchange);
  ms_replica_destroy (t->replica);
  free (t);
}

struct ms_replica *
ms_topic_replica (struct ms_topic *t)
{
  return t->replica;
}

static void
apply_change (void *context, const struct plat_record *record)
{
  struct ms_topic *t = context;

  ms_replica_change (t->replica, record->key, record->value, record->removed,
                     record->offset, t->call_sent_at, ms_now (t->clock));
}

static void
add_to_snapshot (void *context, const struct plat_record *record)
{
  struct ms_topic *t = context;

  if (!record->removed)
    ms_replica_add (t->replica, record->key, record->value, record->offset);
}

/* Note a successful read that was sent at SENT_AT.  */
static void
read_succeeded (struct ms_topic *t, ms_time sent_at)
{
  t->suspected_at = 0;
  if (!t->failures)
    return;
  ms_event (sent_at, "topic_regained", "topic=%s failures=%u",
            t->options.replica.name, t->failures);
  t->failures = 0;
}

/* Drop the pages read so far.  */
static void
abandon_snapshot (struct ms_topic *t)
{
  t->snapshot_open = false;
  ms_replica_abandon (t->replica);
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
              t->options.replica.name, code,
              (long long)((now - ms_replica_read_at (t->replica)) / MS_MSEC));
  t->failures++;
  if (!t->suspected_at)
    t->suspected_at = now;
  abandon_snapshot (t);
  t->next_call_at = now + pause;
}

/* Read a snapshot next, and at once.  */
static void
restart_from_snapshot (struct ms_topic *t, ms_time now)
{
  t->history_gone = true;
  /* Pages of an earlier snapshot that a relay made needless are old.  */
  abandon_snapshot (t);
  t->next_call_at = now;
}

/* Return whether an answer of ERA says nothing of the store as it is now: it
   was sent before the store came back from an older copy.  */
static bool
is_of_older_era (const struct ms_topic *t, uint64_t era)
{
  return era && era < ms_replica_era (t->replica);
}

static void
on_snapshot_page (void *context, enum ms_status status, unsigned code,
                  struct ms_str body, ms_time sent_at)
{
  struct ms_topic *t = context;
  ms_time now = ms_now (t->clock);
  uint64_t era = ms_exchange_era (t->exchange);
  bool more;
  uint64_t end;

  if (status == MS_OK
      && (is_of_older_era (t, era)
          || (t->snapshot_open && era != t->snapshot_era)))
    {
      abandon_snapshot (t);
      t->next_call_at = now + MIN_RETRY_DELAY;
      return;
    }
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
      t->snapshot_era = era;
      t->snapshot_sent_at = sent_at;
    }
  t->snapshot_open = more;
  t->next_call_at = now;
  if (more)
    return;
  t->next_call_at = now + t->options.pause;
  ms_replica_complete (t->replica, t->snapshot_end, t->snapshot_era,
                       t->snapshot_sent_at, now);
  t->history_gone = false;
  read_succeeded (t, t->snapshot_sent_at);
}

static void
on_changes_read (void *context, enum ms_status status, unsigned code,
                 struct ms_str body, ms_time sent_at)
{
  struct ms_topic *t = context;
  ms_time now = ms_now (t->clock);
  ms_time wait = t->options.wait_ms * MS_MSEC;
  ms_time confirmed_at = sent_at;
  uint64_t era = ms_exchange_era (t->exchange);
  uint64_t next;
  uint64_t end;

  t->call_sent_at = sent_at;
  if (status == MS_OK && is_of_older_era (t, era))
    {
      t->next_call_at = now + MIN_RETRY_DELAY;
      return;
    }
  if (status == MS_OK && code == 200 && era > ms_replica_era (t->replica))
    {
      /* The offset was given out again.  */
      restart_from_snapshot (t, now);
      return;
    }
  if (status == MS_OK && code == 410)
    {
      /* The store no longer has the record at this offset.  */
      ms_event (now, "topic_history_gone", "topic=%s from=%llu",
                t->options.replica.name, (unsigned long long)t->call_offset);
      if (plat_offset_lost (body, t->call_offset)
          && t->call_offset == ms_replica_next (t->replica))
        ms_replica_note_loss (t->replica);
      restart_from_snapshot (t, now);
      return;
    }
  if (status == MS_OK && code == 200
      && t->call_offset != ms_replica_next (t->replica))
    {
      /* A peer relayed these changes during the read: discard them.  */
      t->suspected_at = 0;
      t->next_call_at = now;
      return;
    }
  if (status != MS_OK || code != 200
      || plat_decode_read (body, t->call_offset, apply_change, t, &next, &end)
             != MS_OK)
    {
      read_failed (t, code, now);
      return;
    }
  /* Without records the store has waited before it answered.  */
  if (next == t->call_offset && now - sent_at >= wait)
    confirmed_at = sent_at + wait;
  ms_replica_advance (t->replica, next, end, confirmed_at);
  t->next_call_at = next < end ? now : now + t->options.pause;
  read_succeeded (t, sent_at);
}

/* A read that confirms the records has ended.  Whatever is unusual is left to
   the reads of ms_topic_tick.  */
static void
on_confirmed (void *context, enum ms_status status, unsigned code,
              struct ms_str body, ms_time sent_at)
{
  struct ms_topic *t = context;
  uint64_t next;
  uint64_t end;

  t->next_confirm_at = ms_now (t->clock) + MIN_RETRY_DELAY;
  if (status != MS_OK || code != 200
      || ms_exchange_era (t->confirm_exchange) != ms_replica_era (t->replica)
      || t->confirm_offset != ms_replica_next (t->replica))
    return;
  t->call_sent_at = sent_at;
  if (plat_decode_read (body, t->confirm_offset, apply_change, t, &next, &end)
      != MS_OK)
    return;
  ms_replica_advance (t->replica, next, end, sent_at);
  t->next_confirm_at = 0;
  t->suspected_at = 0;
}

/* Whether to read a snapshot instead of the changes.  */
static bool
needs_snapshot (const struct ms_topic *t)
{
  return !ms_replica_loaded (t->replica) || ms_replica_incomplete (t->replica)
         || (t->history_gone
             && t->call_offset == ms_replica_next (t->replica));
}

/* Note whether the read in progress is overdue.  It has to be so at two ticks:
   before the first one, an answer may have waited in the socket.  */
static void
check_overdue (struct ms_topic *t, ms_time now)
{
  bool overdue = ms_exchange_busy (t->exchange) && now >= t->answer_due;

  if (overdue && t->overdue && !t->suspected_at)
    t->suspected_at = now;
  t->overdue = overdue;
}

void
ms_topic_tick (struct ms_topic *t, bool direct, ms_time now)
{
  char path[PLAT_AFTER_BYTES + 256];

  ms_replica_tick (t->replica, now);
  check_overdue (t, now);
  if (ms_exchange_busy (t->exchange) || now < t->next_call_at
      || (!direct && !ms_topic_stale (t, now)))
    return;
  if (needs_snapshot (t))
    {
      plat_newest_path (path, sizeof path, t->options.replica.name,
                        t->snapshot_open ? t->page_after : "");
      t->answer_due = now + OVERDUE_TIME;
      ms_exchange_call (t->exchange, &t->options.store, "GET", path,
                        (struct ms_str){ "", 0 }, RESPONSE_GRACE,
                        on_snapshot_page, t);
      return;
    }
  t->call_offset = ms_replica_next (t->replica);
  plat_read_path (path, sizeof path, t->options.replica.name, t->call_offset,
                  t->options.wait_ms);
  t->answer_due = now + t->options.wait_ms * MS_MSEC + OVERDUE_TIME;
  ms_exchange_call (
      t->exchange, &t->options.store, "GET", path, (struct ms_str){ "", 0 },
      t->options.wait_ms * MS_MSEC + RESPONSE_GRACE, on_changes_read, t);
}

void
ms_topic_confirm (struct ms_topic *t)
{
  char path[PLAT_AFTER_BYTES + 256];

  if (ms_exchange_busy (t->confirm_exchange)
      || ms_now (t->clock) < t->next_confirm_at || needs_snapshot (t))
    return;
  t->confirm_offset = ms_replica_next (t->replica);
  plat_read_path (path, sizeof path, t->options.replica.name,
                  t->confirm_offset, 0);
  ms_exchange_call (t->confirm_exchange, &t->options.store, "GET", path,
                    (struct ms_str){ "", 0 }, RESPONSE_GRACE, on_confirmed, t);
}

ms_time
ms_topic_read_at (const struct ms_topic *t)
{
  return ms_replica_read_at (t->replica);
}

bool
ms_topic_stale (const struct ms_topic *t, ms_time now)
{
  return now - ms_replica_read_at (t->replica) >= t->options.max_age;
}

bool
ms_topic_failing (const struct ms_topic *t)
{
  return t->failures > 0;
}

ms_time
ms_topic_suspected_at (const struct ms_topic *t)
{
  return t->suspected_at;
}

ms_time
ms_topic_doubted_since (const struct ms_topic *t, ms_time suspected_at,
                        ms_time now)
{
  ms_time read_at = ms_replica_read_at (t->replica);
  /* By then a router that depends on relays has read the store itself.  */
  ms_time stale_at = read_at + t->options.max_age
                     + t->options.wait_ms * MS_MSEC + OVERDUE_TIME;

  if (!ms_replica_loaded (t->replica))
    return suspected_at;
  if (suspected_at && read_at <= suspected_at
      && (suspected_at < stale_at || now < stale_at))
    return suspected_at;
  return now >= stale_at ? stale_at : 0;
}

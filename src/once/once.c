#include "base/alloc.h"
#include "once/once.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* A record that is not read back within this time is appended again.  */
#define APPEND_RETRY_PERIOD (1 * MS_SEC)

/* Size of the buffer for a record's text.  Longer records are ignored.  */
#define MAX_RECORD_BYTES 160

/* The most keys that are kept; beyond, the oldest one is dropped.  */
#define MAX_KEYS 262144

enum key_state
{
  KEY_INTENT, /* An intent that claimed it was read, no outcome yet.  */
  KEY_ENDED,
  KEY_FREE /* Its request was not run.  Another request may claim the key; a
              late copy of the same request's intent may not.  */
};

/* A key for which the stream had an intent.  */
struct key_entry
{
  uint64_t key;
  uint64_t owner; /* Hash, by owner_id, of the request that has the key or, if
                     it is free, had it last.  */
  enum key_state state;
  enum ms_outcome outcome; /* Unless the state is KEY_INTENT.  */
  UT_hash_handle hh;
};

/* A record that this router appended and has not read back yet.  */
struct pending_record
{
  uint64_t tag; /* Identifies the append in ms_once_append_failed.  */
  uint64_t key;
  uint64_t request;
  bool is_intent;
  bool abandoned; /* An intent whose request was refused in the meantime.  */
  enum ms_outcome outcome; /* MS_UNKNOWN for an intent.  */
  ms_time retry_at;
  UT_hash_handle hh;
};

struct ms_once
{
  uint64_t node;
  uint64_t incarnation;
  const struct ms_sink *sink;
  struct key_entry *keys;
  struct pending_record *pending;
  uint64_t next_tag;
  ms_time now; /* At the last tick.  */
  bool ready;  /* The stream was read to its end.  */
};

struct ms_once *
ms_once_create (uint64_t node, uint64_t incarnation,
                const struct ms_sink *sink)
{
  struct ms_once *once = ms_new (sizeof *once);

  once->node = node;
  once->incarnation = incarnation;
  once->sink = sink;
  return once;
}

void
ms_once_destroy (struct ms_once *once)
{
  struct key_entry *entry, *next_entry;
  struct pending_record *pending, *next_pending;

  if (!once)
    return;
  HASH_ITER (hh, once->keys, entry, next_entry)
  {
    HASH_DEL (once->keys, entry);
    free (entry);
  }
  HASH_ITER (hh, once->pending, pending, next_pending)
  {
    HASH_DEL (once->pending, pending);
    free (pending);
  }
  free (once);
}

/* The hash that identifies REQUEST of this router in records.  */
static uint64_t
owner_id (const struct ms_once *once, uint64_t request)
{
  return ms_id_pair (ms_id_pair (once->node, once->incarnation), request);
}

/* Append the record PENDING to the stream, for the first time or again.  */
static void
append_record (struct ms_once *once, struct pending_record *pending)
{
  char text[MAX_RECORD_BYTES];
  struct ms_effect effect
      = { .kind = MS_EFFECT_APPEND,
          .append = { MS_STREAM_ONCE, pending->tag, text } };

  snprintf (text, sizeof text, "%s %016" PRIx64 " %016" PRIx64 " %d",
            pending->is_intent ? "intent" : "outcome", pending->key,
            owner_id (once, pending->request), (int)pending->outcome);
  pending->retry_at = once->now + APPEND_RETRY_PERIOD;
  once->sink->emit (once->sink->context, &effect);
}

/* Append a new record and keep it until it is read back.  */
static struct pending_record *
add_record (struct ms_once *once, uint64_t key, uint64_t request,
            bool is_intent, enum ms_outcome outcome)
{
  struct pending_record *pending = ms_new (sizeof *pending);

  pending->tag = ++once->next_tag;
  pending->key = key;
  pending->request = request;
  pending->is_intent = is_intent;
  pending->outcome = outcome;
  HASH_ADD (hh, once->pending, tag, sizeof pending->tag, pending);
  append_record (once, pending);
  return pending;
}

static struct key_entry *
find_key (struct ms_once *once, uint64_t key)
{
  struct key_entry *entry;

  HASH_FIND (hh, once->keys, &key, sizeof key, entry);
  return entry;
}

/* The outcome of the request that has the key of ENTRY, as far as the stream
   says.  */
static enum ms_outcome
known_outcome (const struct key_entry *entry)
{
  return entry->state == KEY_ENDED ? entry->outcome : MS_UNKNOWN;
}

struct ms_once_verdict
ms_once_begin (struct ms_once *once, uint64_t key, uint64_t request)
{
  struct ms_once_verdict verdict = { .request = request };
  const struct key_entry *entry = find_key (once, key);

  if (!once->ready)
    verdict.state = MS_ONCE_NOT_READY;
  else if (entry && entry->state != KEY_FREE)
    {
      verdict.state = MS_ONCE_REPEAT;
      verdict.outcome = known_outcome (entry);
    }
  else
    {
      add_record (once, key, request, true, MS_UNKNOWN);
      verdict.state = MS_ONCE_WAIT;
    }
  return verdict;
}

/* The pending intent of REQUEST, or NULL.  */
static struct pending_record *
find_request_intent (struct ms_once *once, uint64_t request)
{
  for (struct pending_record *p = once->pending; p; p = p->hh.next)
    if (p->is_intent && p->request == request)
      return p;
  return NULL;
}

void
ms_once_end (struct ms_once *once, uint64_t key, uint64_t request,
             enum ms_outcome outcome)
{
  struct pending_record *intent = find_request_intent (once, request);

  if (intent)
    {
      intent->abandoned = true;
      return;
    }
  add_record (once, key, request, false, outcome);
}

static void
remove_pending (struct ms_once *once, struct pending_record *pending)
{
  HASH_DEL (once->pending, pending);
  free (pending);
}

/* Remove the pending outcomes of OWNER for KEY, which were read back.  */
static void
remove_own_outcomes (struct ms_once *once, uint64_t key, uint64_t owner)
{
  struct pending_record *pending, *next;

  HASH_ITER (hh, once->pending, pending, next)
  {
    if (!pending->is_intent && pending->key == key
        && owner_id (once, pending->request) == owner)
      remove_pending (once, pending);
  }
}

/* Handle an outcome that was read.  An outcome of a request other than the one
   that has the key changes nothing.  */
static void
apply_outcome (struct ms_once *once, uint64_t key, uint64_t owner,
               enum ms_outcome outcome)
{
  struct key_entry *entry = find_key (once, key);

  remove_own_outcomes (once, key, owner);
  if (!entry || entry->owner != owner)
    return;
  entry->state = outcome == MS_NOT_RUN ? KEY_FREE : KEY_ENDED;
  entry->outcome = outcome;
}

/* This router's pending intent for KEY with the hash OWNER, or NULL.  */
static struct pending_record *
find_own_intent (struct ms_once *once, uint64_t key, uint64_t owner)
{
  for (struct pending_record *p = once->pending; p; p = p->hh.next)
    if (p->is_intent && p->key == key && owner_id (once, p->request) == owner)
      return p;
  return NULL;
}

/* Give KEY to OWNER.  If there are MAX_KEYS keys, the one added first is
   dropped.  */
static void
claim_key (struct ms_once *once, uint64_t key, uint64_t owner)
{
  struct key_entry *entry = find_key (once, key);

  if (entry)
    {
      entry->owner = owner;
      entry->state = KEY_INTENT;
      return;
    }
  if (HASH_COUNT (once->keys) >= MAX_KEYS)
    {
      entry = once->keys;
      HASH_DEL (once->keys, entry);
      free (entry);
    }
  entry = ms_new (sizeof *entry);
  entry->key = key;
  entry->owner = owner;
  entry->state = KEY_INTENT;
  HASH_ADD (hh, once->keys, key, sizeof entry->key, entry);
}

/* Handle an intent that was read, which claims KEY if no request has it.
   Return true and set VERDICT if it decides a request of this router.  An
   intent that was appended again because the answer was lost appears twice;
   the copy changes nothing.  */
static bool
apply_intent (struct ms_once *once, uint64_t key, uint64_t owner,
              struct ms_once_verdict *verdict)
{
  struct key_entry *entry = find_key (once, key);
  struct pending_record *own = find_own_intent (once, key, owner);
  bool claims = !entry || (entry->state == KEY_FREE && entry->owner != owner);

  if (claims)
    claim_key (once, key, owner);
  if (!own)
    return false;
  verdict->request = own->request;
  verdict->state = claims ? MS_ONCE_RUN : MS_ONCE_REPEAT;
  /* A request that may run has no outcome yet; the caller ignores it.  */
  verdict->outcome = claims ? MS_ANSWERED : known_outcome (entry);
  if (own->abandoned)
    {
      uint64_t request = own->request;

      remove_pending (once, own);
      if (claims)
        add_record (once, key, request, false, MS_NOT_RUN);
      return false;
    }
  remove_pending (once, own);
  return true;
}

bool
ms_once_apply_record (struct ms_once *once, struct ms_str text,
                      struct ms_once_verdict *verdict)
{
  char line[MAX_RECORD_BYTES];
  char kind[16];
  uint64_t key;
  uint64_t owner;
  int outcome;

  if (text.length >= sizeof line)
    return false;
  memcpy (line, text.data, text.length);
  line[text.length] = '\0';
  if (sscanf (line, "%15s %" SCNx64 " %" SCNx64 " %d", kind, &key, &owner,
              &outcome)
          != 4
      || outcome < MS_ANSWERED || outcome > MS_UNKNOWN)
    return false;
  if (strcmp (kind, "intent") == 0)
    return apply_intent (once, key, owner, verdict);
  if (strcmp (kind, "outcome") == 0)
    apply_outcome (once, key, owner, (enum ms_outcome)outcome);
  return false;
}

void
ms_once_caught_up (struct ms_once *once)
{
  once->ready = true;
}

void
ms_once_append_failed (struct ms_once *once, uint64_t tag)
{
  struct pending_record *pending;

  HASH_FIND (hh, once->pending, &tag, sizeof tag, pending);
  if (pending)
    pending->retry_at = once->now + APPEND_RETRY_PERIOD;
}

void
ms_once_tick (struct ms_once *once, ms_time now)
{
  struct pending_record *pending, *next;

  once->now = now;
  HASH_ITER (hh, once->pending, pending, next)
  {
    if (now >= pending->retry_at)
      append_record (once, pending);
  }
}

size_t
ms_once_bytes (const struct ms_once *once)
{
  return sizeof *once + HASH_COUNT (once->keys) * sizeof (struct key_entry)
         + HASH_COUNT (once->pending) * sizeof (struct pending_record);
}

#include "base/alloc.h"
#include "once/once.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define RETRY_PERIOD (1 * MS_SEC)
#define RECORD_BYTES 160
#define MAX_KEYS 262144

enum key_state
{
  KEY_INTENT,
  KEY_ENDED,
  KEY_FREE /* Its request was not run; a late copy of its intent is void.  */
};

/* A key the log knows of.  */
struct key
{
  uint64_t key;
  uint64_t owner; /* Identifies router, incarnation and request.  */
  enum key_state state;
  enum ms_outcome outcome;
  UT_hash_handle hh;
};

/* A record of this router that has not been read back yet.  */
struct pending
{
  uint64_t tag;
  uint64_t key;
  uint64_t request;
  bool is_intent;
  bool abandoned; /* The request was refused in the meantime.  */
  enum ms_outcome outcome;
  ms_time retry_at;
  UT_hash_handle hh;
};

struct ms_once
{
  uint64_t node;
  uint64_t incarnation;
  const struct ms_sink *sink;
  struct key *keys;
  struct pending *pending;
  uint64_t next_tag;
  ms_time now;
  bool ready;
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
  struct key *key, *next_key;
  struct pending *pending, *next_pending;

  if (!once)
    return;
  HASH_ITER (hh, once->keys, key, next_key)
  {
    HASH_DEL (once->keys, key);
    free (key);
  }
  HASH_ITER (hh, once->pending, pending, next_pending)
  {
    HASH_DEL (once->pending, pending);
    free (pending);
  }
  free (once);
}

static uint64_t
owner_id (const struct ms_once *once, uint64_t request)
{
  return ms_id_pair (ms_id_pair (once->node, once->incarnation), request);
}

static void
append (struct ms_once *once, struct pending *pending)
{
  char text[RECORD_BYTES];
  struct ms_effect effect
      = { .kind = MS_EFFECT_APPEND,
          .append = { MS_STREAM_ONCE, pending->tag, text } };

  snprintf (text, sizeof text, "%s %016" PRIx64 " %016" PRIx64 " %d",
            pending->is_intent ? "intent" : "outcome", pending->key,
            owner_id (once, pending->request), (int)pending->outcome);
  pending->retry_at = once->now + RETRY_PERIOD;
  once->sink->emit (once->sink->context, &effect);
}

static struct pending *
submit (struct ms_once *once, uint64_t key, uint64_t request, bool is_intent,
        enum ms_outcome outcome)
{
  struct pending *pending = ms_new (sizeof *pending);

  pending->tag = ++once->next_tag;
  pending->key = key;
  pending->request = request;
  pending->is_intent = is_intent;
  pending->outcome = outcome;
  HASH_ADD (hh, once->pending, tag, sizeof pending->tag, pending);
  append (once, pending);
  return pending;
}

static struct key *
find_key (struct ms_once *once, uint64_t id)
{
  struct key *key;

  HASH_FIND (hh, once->keys, &id, sizeof id, key);
  return key;
}

static enum ms_outcome
told_outcome (const struct key *key)
{
  return key->state == KEY_ENDED ? key->outcome : MS_UNKNOWN;
}

struct ms_once_verdict
ms_once_begin (struct ms_once *once, uint64_t id, uint64_t request)
{
  struct ms_once_verdict verdict = { .request = request };
  const struct key *key = find_key (once, id);

  if (!once->ready)
    verdict.state = MS_ONCE_NOT_READY;
  else if (key && key->state != KEY_FREE)
    {
      verdict.state = MS_ONCE_REPEAT;
      verdict.outcome = told_outcome (key);
    }
  else
    {
      submit (once, id, request, true, MS_UNKNOWN);
      verdict.state = MS_ONCE_WAIT;
    }
  return verdict;
}

static struct pending *
find_intent (struct ms_once *once, uint64_t request)
{
  for (struct pending *p = once->pending; p; p = p->hh.next)
    if (p->is_intent && p->request == request)
      return p;
  return NULL;
}

void
ms_once_end (struct ms_once *once, uint64_t key, uint64_t request,
             enum ms_outcome outcome)
{
  struct pending *intent = find_intent (once, request);

  if (intent)
    {
      intent->abandoned = true;
      return;
    }
  submit (once, key, request, false, outcome);
}

static void
settle (struct ms_once *once, struct pending *pending)
{
  HASH_DEL (once->pending, pending);
  free (pending);
}

static void
settle_outcomes (struct ms_once *once, uint64_t key, uint64_t owner)
{
  struct pending *pending, *next;

  HASH_ITER (hh, once->pending, pending, next)
  {
    if (!pending->is_intent && pending->key == key
        && owner_id (once, pending->request) == owner)
      settle (once, pending);
  }
}

static void
take_outcome (struct ms_once *once, uint64_t id, uint64_t owner,
              enum ms_outcome outcome)
{
  struct key *key = find_key (once, id);

  settle_outcomes (once, id, owner);
  if (!key || key->owner != owner)
    return;
  key->state = outcome == MS_NOT_RUN ? KEY_FREE : KEY_ENDED;
  key->outcome = outcome;
}

static struct pending *
own_intent (struct ms_once *once, uint64_t key, uint64_t owner)
{
  for (struct pending *p = once->pending; p; p = p->hh.next)
    if (p->is_intent && p->key == key && owner_id (once, p->request) == owner)
      return p;
  return NULL;
}

static void
set_owner (struct ms_once *once, uint64_t id, uint64_t owner)
{
  struct key *key = find_key (once, id);

  if (key)
    {
      key->owner = owner;
      key->state = KEY_INTENT;
      return;
    }
  if (HASH_COUNT (once->keys) >= MAX_KEYS)
    {
      key = once->keys;
      HASH_DEL (once->keys, key);
      free (key);
    }
  key = ms_new (sizeof *key);
  key->key = id;
  key->owner = owner;
  key->state = KEY_INTENT;
  HASH_ADD (hh, once->keys, key, sizeof key->key, key);
}

/* An intent repeated after a lost answer is the same intent.  */
static bool
take_intent (struct ms_once *once, uint64_t id, uint64_t owner,
             struct ms_once_verdict *verdict)
{
  struct key *key = find_key (once, id);
  struct pending *mine = own_intent (once, id, owner);
  bool won = !key || (key->state == KEY_FREE && key->owner != owner);

  if (won)
    set_owner (once, id, owner);
  if (!mine)
    return false;
  verdict->request = mine->request;
  verdict->state = won ? MS_ONCE_RUN : MS_ONCE_REPEAT;
  verdict->outcome = won ? MS_ANSWERED : told_outcome (key);
  if (mine->abandoned)
    {
      uint64_t request = mine->request;

      settle (once, mine);
      if (won)
        submit (once, id, request, false, MS_NOT_RUN);
      return false;
    }
  settle (once, mine);
  return true;
}

bool
ms_once_record (struct ms_once *once, struct ms_str text,
                struct ms_once_verdict *verdict)
{
  char line[RECORD_BYTES];
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
    return take_intent (once, key, owner, verdict);
  if (strcmp (kind, "outcome") == 0)
    take_outcome (once, key, owner, (enum ms_outcome)outcome);
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
  struct pending *pending;

  HASH_FIND (hh, once->pending, &tag, sizeof tag, pending);
  if (pending)
    pending->retry_at = once->now + RETRY_PERIOD;
}

void
ms_once_tick (struct ms_once *once, ms_time now)
{
  struct pending *pending, *next;

  once->now = now;
  HASH_ITER (hh, once->pending, pending, next)
  {
    if (now >= pending->retry_at)
      append (once, pending);
  }
}

size_t
ms_once_bytes (const struct ms_once *once)
{
  return sizeof *once + HASH_COUNT (once->keys) * sizeof (struct key)
         + HASH_COUNT (once->pending) * sizeof (struct pending);
}

#include "base/alloc.h"
#include "base/switches.h"
#include "guard/guard.h"

#include <stdlib.h>
#include <uthash.h>

/* Deaths after which a request is quarantined.  */
#define QUARANTINE_DEATHS 2

/* Suspicion and quarantine end this long after the last death or report of
   one.  */
#define MARK_LIFETIME (600 * MS_SEC)

/* Bounds the memory; the oldest mark makes room for a new one.  */
#define MAX_MARKS 4096

/* If this many endpoints die within WIDE_WINDOW, the failure is wider than one
   request can cause.  */
#define WIDE_FAILURE_ENDPOINTS 3
#define WIDE_WINDOW (1 * MS_SEC)

/* A request that ran on an endpoint that died.  */
struct mark
{
  uint64_t fingerprint;
  unsigned deaths;
  bool unconfirmed; /* One more death, which was part of a wide failure.  */
  ms_time at;       /* Of the last death or report.  */
  UT_hash_handle hh;
};

struct endpoint_death
{
  uint64_t endpoint;
  ms_time at;
};

struct ms_guard
{
  struct mark *marks;
  /* The newest deaths of different endpoints, in no order.  */
  struct endpoint_death recent[WIDE_FAILURE_ENDPOINTS];
};

struct ms_guard *
ms_guard_create (void)
{
  struct ms_guard *guard = ms_new (sizeof *guard);

  for (int i = 0; i < WIDE_FAILURE_ENDPOINTS; i++)
    /* Long ago, yet NOW - AT does not overflow.  */
    guard->recent[i].at = -MS_NEVER / 2;
  return guard;
}

static void
drop_mark (struct ms_guard *guard, struct mark *mark)
{
  HASH_DEL (guard->marks, mark);
  free (mark);
}

void
ms_guard_destroy (struct ms_guard *guard)
{
  struct mark *mark, *next;

  if (!guard)
    return;
  HASH_ITER (hh, guard->marks, mark, next) { drop_mark (guard, mark); }
  free (guard);
}

static struct mark *
find_mark (struct ms_guard *guard, uint64_t fingerprint)
{
  struct mark *mark;

  HASH_FIND (hh, guard->marks, &fingerprint, sizeof fingerprint, mark);
  return mark;
}

static struct mark *
find_or_add_mark (struct ms_guard *guard, uint64_t fingerprint)
{
  struct mark *mark = find_mark (guard, fingerprint);

  if (mark)
    return mark;
  if (HASH_COUNT (guard->marks) >= MAX_MARKS)
    drop_mark (guard, guard->marks);
  mark = ms_new (sizeof *mark);
  mark->fingerprint = fingerprint;
  HASH_ADD (hh, guard->marks, fingerprint, sizeof mark->fingerprint, mark);
  return mark;
}

enum ms_verdict
ms_guard_check (struct ms_guard *guard, uint64_t fingerprint, ms_time now)
{
  struct mark *mark = find_mark (guard, fingerprint);

  if (!ms_enabled (MS_QUARANTINE) || !mark || now - mark->at > MARK_LIFETIME)
    return MS_CLEAR;
  if (!mark->deaths)
    return MS_CLEAR;
  return mark->deaths >= QUARANTINE_DEATHS ? MS_QUARANTINED : MS_SUSPECT;
}

/* Record that ENDPOINT died at NOW.  Return whether WIDE_FAILURE_ENDPOINTS
   different endpoints have now died within WIDE_WINDOW.  An endpoint counts
   once, however many requests it ran.  */
static bool
record_endpoint_death (struct ms_guard *guard, uint64_t endpoint, ms_time now)
{
  int slot = 0;
  int within = 0;

  /* Reuse the entry of ENDPOINT, or else replace the oldest.  */
  for (int i = 0; i < WIDE_FAILURE_ENDPOINTS; i++)
    {
      bool known = guard->recent[slot].endpoint == endpoint;
      bool older = guard->recent[i].at < guard->recent[slot].at;

      if (guard->recent[i].endpoint == endpoint || (!known && older))
        slot = i;
    }
  guard->recent[slot] = (struct endpoint_death){ endpoint, now };
  for (int i = 0; i < WIDE_FAILURE_ENDPOINTS; i++)
    within += now - guard->recent[i].at <= WIDE_WINDOW;
  return within == WIDE_FAILURE_ENDPOINTS;
}

unsigned
ms_guard_death (struct ms_guard *guard, uint64_t fingerprint,
                uint64_t endpoint, ms_time now)
{
  bool wide = record_endpoint_death (guard, endpoint, now);
  struct mark *mark = find_or_add_mark (guard, fingerprint);

  mark->at = now;
  if (wide && !mark->deaths && !mark->unconfirmed)
    {
      mark->unconfirmed = true;
      return 0;
    }
  mark->deaths += 1 + mark->unconfirmed;
  mark->unconfirmed = false;
  return mark->deaths;
}

bool
ms_guard_success (struct ms_guard *guard, uint64_t fingerprint)
{
  struct mark *mark = find_mark (guard, fingerprint);

  if (!mark || mark->deaths >= QUARANTINE_DEATHS)
    return false;
  drop_mark (guard, mark);
  return true;
}

void
ms_guard_merge (struct ms_guard *guard, uint64_t fingerprint, unsigned deaths,
                bool cleared, ms_time now)
{
  struct mark *mark;

  if (cleared)
    {
      ms_guard_success (guard, fingerprint);
      return;
    }
  mark = find_or_add_mark (guard, fingerprint);
  if (deaths > mark->deaths)
    mark->deaths = deaths;
  if (!deaths && !mark->deaths)
    mark->unconfirmed = true;
  mark->at = now;
}

void
ms_guard_tick (struct ms_guard *guard, ms_time now)
{
  struct mark *mark, *next;

  HASH_ITER (hh, guard->marks, mark, next)
  {
    if (now - mark->at > MARK_LIFETIME)
      drop_mark (guard, mark);
  }
}

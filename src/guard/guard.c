#include "base/alloc.h"
#include "base/switches.h"
#include "guard/guard.h"

#include <stdlib.h>
#include <uthash.h>

#define QUARANTINE_AFTER 2
#define REMEMBERED (600 * MS_SEC)
#define MAX_MARKS 4096

/* Endpoints that end within the window: so many are no request's doing.  */
#define WIDE_FAILURE 3
#define WIDE_WINDOW (1 * MS_SEC)

struct mark
{
  uint64_t fingerprint;
  unsigned deaths;
  bool unproved; /* One more death, in a wide failure.  */
  ms_time at;
  UT_hash_handle hh;
};

struct ended
{
  uint64_t endpoint;
  ms_time at;
};

struct ms_guard
{
  struct mark *marks;
  struct ended recent[WIDE_FAILURE];
};

struct ms_guard *
ms_guard_create (void)
{
  struct ms_guard *guard = ms_new (sizeof *guard);

  for (int i = 0; i < WIDE_FAILURE; i++)
    guard->recent[i].at = -MS_NEVER / 2;
  return guard;
}

static void
drop (struct ms_guard *guard, struct mark *mark)
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
  HASH_ITER (hh, guard->marks, mark, next) { drop (guard, mark); }
  free (guard);
}

static struct mark *
find (struct ms_guard *guard, uint64_t fingerprint)
{
  struct mark *mark;

  HASH_FIND (hh, guard->marks, &fingerprint, sizeof fingerprint, mark);
  return mark;
}

static struct mark *
obtain (struct ms_guard *guard, uint64_t fingerprint)
{
  struct mark *mark = find (guard, fingerprint);

  if (mark)
    return mark;
  if (HASH_COUNT (guard->marks) >= MAX_MARKS)
    drop (guard, guard->marks);
  mark = ms_new (sizeof *mark);
  mark->fingerprint = fingerprint;
  HASH_ADD (hh, guard->marks, fingerprint, sizeof mark->fingerprint, mark);
  return mark;
}

enum ms_verdict
ms_guard_check (struct ms_guard *guard, uint64_t fingerprint, ms_time now)
{
  struct mark *mark = find (guard, fingerprint);

  if (!ms_enabled (MS_QUARANTINE) || !mark || now - mark->at > REMEMBERED)
    return MS_CLEAR;
  if (!mark->deaths)
    return MS_CLEAR;
  return mark->deaths >= QUARANTINE_AFTER ? MS_QUARANTINED : MS_SUSPECT;
}

static bool
wide_failure (struct ms_guard *guard, uint64_t endpoint, ms_time now)
{
  int oldest = 0;
  int within = 0;

  for (int i = 0; i < WIDE_FAILURE; i++)
    {
      bool known = guard->recent[oldest].endpoint == endpoint;
      bool older = guard->recent[i].at < guard->recent[oldest].at;

      if (guard->recent[i].endpoint == endpoint || (!known && older))
        oldest = i;
    }
  guard->recent[oldest] = (struct ended){ endpoint, now };
  for (int i = 0; i < WIDE_FAILURE; i++)
    within += now - guard->recent[i].at <= WIDE_WINDOW;
  return within == WIDE_FAILURE;
}

unsigned
ms_guard_death (struct ms_guard *guard, uint64_t fingerprint,
                uint64_t endpoint, ms_time now)
{
  bool wide = wide_failure (guard, endpoint, now);
  struct mark *mark = obtain (guard, fingerprint);

  mark->at = now;
  if (wide && !mark->deaths && !mark->unproved)
    {
      mark->unproved = true;
      return 0;
    }
  mark->deaths += 1 + mark->unproved;
  mark->unproved = false;
  return mark->deaths;
}

bool
ms_guard_success (struct ms_guard *guard, uint64_t fingerprint)
{
  struct mark *mark = find (guard, fingerprint);

  if (!mark || mark->deaths >= QUARANTINE_AFTER)
    return false;
  drop (guard, mark);
  return true;
}

void
ms_guard_told (struct ms_guard *guard, uint64_t fingerprint, unsigned deaths,
               bool cleared, ms_time now)
{
  struct mark *mark;

  if (cleared)
    {
      ms_guard_success (guard, fingerprint);
      return;
    }
  mark = obtain (guard, fingerprint);
  if (deaths > mark->deaths)
    mark->deaths = deaths;
  if (!deaths && !mark->deaths)
    mark->unproved = true;
  mark->at = now;
}

void
ms_guard_tick (struct ms_guard *guard, ms_time now)
{
  struct mark *mark, *next;

  HASH_ITER (hh, guard->marks, mark, next)
  {
    if (now - mark->at > REMEMBERED)
      drop (guard, mark);
  }
}

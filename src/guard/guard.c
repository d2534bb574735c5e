#include "base/alloc.h"
#include "base/switches.h"
#include "guard/guard.h"

#include <stdlib.h>
#include <uthash.h>

/* Deaths after which a request is quarantined.  */
#define QUARANTINE_DEATHS 2

/* Suspicion and quarantine end this long after the last death or report of
   one.  */
#define RECORD_LIFETIME (600 * MS_SEC)

/* Bounds the memory; beyond this count a new record replaces the one that was
   added first.  */
#define MAX_RECORDS 4096

/* If this many endpoints die within WIDE_WINDOW, the failure is wider than one
   request can cause.  */
#define WIDE_FAILURE_ENDPOINTS 3
#define WIDE_WINDOW (1 * MS_SEC)

/* A request that ran on an endpoint that died.  */
struct record
{
  uint64_t fingerprint;
  unsigned deaths;  /* Of endpoints, that count against the request.  */
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
  struct record *records;
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
remove_record (struct ms_guard *guard, struct record *record)
{
  HASH_DEL (guard->records, record);
  free (record);
}

void
ms_guard_destroy (struct ms_guard *guard)
{
  struct record *record, *next;

  if (!guard)
    return;
  HASH_ITER (hh, guard->records, record, next)
  {
    remove_record (guard, record);
  }
  free (guard);
}

static struct record *
find_record (struct ms_guard *guard, uint64_t fingerprint)
{
  struct record *record;

  HASH_FIND (hh, guard->records, &fingerprint, sizeof fingerprint, record);
  return record;
}

static struct record *
find_or_add_record (struct ms_guard *guard, uint64_t fingerprint)
{
  struct record *record = find_record (guard, fingerprint);

  if (record)
    return record;
  if (HASH_COUNT (guard->records) >= MAX_RECORDS)
    remove_record (guard, guard->records);
  record = ms_new (sizeof *record);
  record->fingerprint = fingerprint;
  HASH_ADD (hh, guard->records, fingerprint, sizeof record->fingerprint,
            record);
  return record;
}

enum ms_verdict
ms_guard_check (struct ms_guard *guard, uint64_t fingerprint, ms_time now)
{
  struct record *record = find_record (guard, fingerprint);

  if (!ms_enabled (MS_QUARANTINE) || !record
      || now - record->at > RECORD_LIFETIME)
    return MS_CLEAR;
  if (!record->deaths)
    return MS_CLEAR;
  return record->deaths >= QUARANTINE_DEATHS ? MS_QUARANTINED : MS_SUSPECT;
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
  struct record *record = find_or_add_record (guard, fingerprint);

  record->at = now;
  if (wide && !record->deaths && !record->unconfirmed)
    {
      record->unconfirmed = true;
      return 0;
    }
  record->deaths += 1 + record->unconfirmed;
  record->unconfirmed = false;
  return record->deaths;
}

bool
ms_guard_success (struct ms_guard *guard, uint64_t fingerprint)
{
  struct record *record = find_record (guard, fingerprint);

  if (!record || record->deaths >= QUARANTINE_DEATHS)
    return false;
  remove_record (guard, record);
  return true;
}

void
ms_guard_merge (struct ms_guard *guard, uint64_t fingerprint, unsigned deaths,
                bool cleared, ms_time now)
{
  struct record *record;

  if (cleared)
    {
      ms_guard_success (guard, fingerprint);
      return;
    }
  record = find_or_add_record (guard, fingerprint);
  if (deaths > record->deaths)
    record->deaths = deaths;
  if (!deaths && !record->deaths)
    record->unconfirmed = true;
  record->at = now;
}

void
ms_guard_tick (struct ms_guard *guard, ms_time now)
{
  struct record *record, *next;

  HASH_ITER (hh, guard->records, record, next)
  {
    if (now - record->at > RECORD_LIFETIME)
      remove_record (guard, record);
  }
}

#include "admit/returns.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

#include "base/alloc.h"

/* Most requests that are remembered; further ones count as new.  Each takes
   about 150 bytes.  */
#define MAX_RECORDS 4096

/* Most promises that a router holds; they are searched for each request.  */
#define MAX_PROMISES 64

/* A return that comes sooner reaches other routers before the digest that
   tells of its promise: digests are sent every 150 ms.  */
#define MIN_WAIT (200 * MS_MSEC)

/* Part of a team's rate that may be promised.  With all of it, promises to
   requests with long targets leave nothing for those with short ones, which
   cannot wait for the others' promises to be claimed.  */
#define PROMISED_PART 0.5

/* Predictions of the share do not reach further.  */
#define MAX_WAIT (800 * MS_MSEC)

/* A return may be earlier than its window by this, since callers round the
   time.  */
#define EARLY_TIME (20 * MS_MSEC)

/* A refused request is remembered for this long, which is longer than callers
   pause.  */
#define RECORD_TIME (1200 * MS_MSEC)

/* What another router has reported counts for this long after its last digest:
   three of them may be lost.  */
#define HEARD_TIME (500 * MS_MSEC)

/* Requests that return late are admitted only if what the team may be admitted
   in this many seconds is left, half of what it can save up for a burst.  */
#define SPARE_S 0.15

/* Larger sizes in reports are implausible.  */
#define MAX_SIZE 1e7

struct record
{
  uint64_t key;
  uint64_t team;
  ms_time first_at;   /* First arrival that is known.  */
  ms_time refused_at; /* Here; 0 if it was not.  */
  ms_time heard_at;   /* Of other routers; 0 if it was not.  */
  ms_time opens_at;   /* When the promise can be claimed; 0 if it has none. */
  double size;        /* Of the promise.  */
  bool promised;      /* By this router; it is in the list of promises.  */
  bool claimed;
  struct record *prev, *next; /* In the list of promises.  */
  UT_hash_handle hh;
};

struct ms_returns
{
  struct record *records;
  struct record *promises; /* Of this router, unclaimed.  */
  unsigned promises_count;
  struct ms_returns_counts counts;
};

struct ms_returns *
ms_returns_create (void)
{
  return ms_new (sizeof (struct ms_returns));
}

void
ms_returns_destroy (struct ms_returns *returns)
{
  struct record *r, *next;

  if (!returns)
    return;
  HASH_ITER (hh, returns->records, r, next)
  {
    HASH_DEL (returns->records, r);
    free (r);
  }
  free (returns);
}

/* This router's promise to R, if there is one, needs no capacity any more.  */
static void
release_promise (struct ms_returns *returns, struct record *r)
{
  if (!r->promised)
    return;
  DL_DELETE (returns->promises, r);
  returns->promises_count--;
  r->promised = false;
}

/* End the promise of R if its window is over.  */
static void
expire_promise (struct ms_returns *returns, struct record *r, ms_time now)
{
  if (!r->opens_at || now <= r->opens_at + MS_RETURN_WINDOW)
    return;
  returns->counts.expired += r->promised;
  release_promise (returns, r);
  r->opens_at = 0;
}

/* Whether neither this router nor others refused R lately.  */
static bool
is_forgotten (const struct record *r, ms_time now)
{
  return (!r->refused_at || now - r->refused_at > RECORD_TIME)
         && (!r->heard_at || now - r->heard_at > HEARD_TIME);
}

/* Return the record of KEY, without what has expired; NULL if there is none.
 */
static struct record *
find_record (struct ms_returns *returns, uint64_t key, ms_time now)
{
  struct record *r;

  HASH_FIND (hh, returns->records, &key, sizeof key, r);
  if (!r || is_forgotten (r, now))
    return NULL;
  expire_promise (returns, r, now);
  return r;
}

/* The same, but add one if there is none; NULL if there is no space.  */
static struct record *
find_or_add_record (struct ms_returns *returns, uint64_t key, ms_time first_at,
                    ms_time now)
{
  struct record *r;

  HASH_FIND (hh, returns->records, &key, sizeof key, r);
  if (r && is_forgotten (r, now))
    {
      release_promise (returns, r);
      HASH_DEL (returns->records, r);
      free (r);
      r = NULL;
    }
  if (r)
    {
      expire_promise (returns, r, now);
      return r;
    }
  if (HASH_COUNT (returns->records) >= MAX_RECORDS)
    return NULL;
  r = ms_new (sizeof *r);
  r->key = key;
  r->first_at = first_at;
  HASH_ADD (hh, returns->records, key, sizeof r->key, r);
  return r;
}

double
ms_returns_promised (const struct ms_returns *returns, uint64_t team,
                     ms_time now)
{
  double sum = 0;
  const struct record *r;

  DL_FOREACH (returns->promises, r)
  if (r->team == team && now <= r->opens_at + MS_RETURN_WINDOW)
    sum += r->size;
  return sum;
}

/* Return the sum of this router's promises to TEAM that can be claimed at NOW,
   in cost units.  */
static double
due_promises (const struct ms_returns *returns, uint64_t team, ms_time now)
{
  double sum = 0;
  const struct record *r;

  DL_FOREACH (returns->promises, r)
  if (r->team == team && now >= r->opens_at - EARLY_TIME
      && now <= r->opens_at + MS_RETURN_WINDOW)
    sum += r->size;
  return sum;
}

double
ms_returns_arrived (struct ms_returns *returns,
                    const struct ms_return_request *request,
                    const struct ms_return_share *share, ms_time now)
{
  struct record *r = find_record (returns, request->key, now);
  double due = due_promises (returns, request->team, now);

  if (!r)
    return due;
  if (r->opens_at && !r->claimed && request->size <= r->size)
    {
      if (now < r->opens_at - EARLY_TIME)
        return HUGE_VAL;
      release_promise (returns, r);
      r->claimed = true;
      /* So that this router reports the claim, whoever made the promise.  */
      r->refused_at = now;
      returns->counts.claimed++;
      return -HUGE_VAL;
    }
  if (!r->claimed && now - r->first_at <= request->target)
    return due;
  returns->counts.late++;
  return due + SPARE_S * share->rate;
}

/* Return the duration after which the share of the request's team will have
   room for it, after all that was promised; 0 if that is not known.  */
static ms_time
predict_room (const struct ms_returns *returns,
              const struct ms_return_request *request,
              const struct ms_return_share *share, ms_time now)
{
  double promised = ms_returns_promised (returns, request->team, now);
  double wait_s;

  if (!(share->rate > 0))
    return 0;
  /* A request is admitted while any credit is left and may overdraw it, so its
     own size does not count.  */
  wait_s = (promised / PROMISED_PART + fmax (0, -share->credit)) / share->rate;
  if (wait_s * MS_SEC > MAX_WAIT)
    return 0;
  return wait_s * MS_SEC > MIN_WAIT ? (ms_time)(wait_s * MS_SEC) : MIN_WAIT;
}

ms_time
ms_returns_refused (struct ms_returns *returns,
                    const struct ms_return_request *request,
                    const struct ms_return_share *share, ms_time now)
{
  struct record *r
      = find_or_add_record (returns, request->key, request->arrived, now);
  ms_time wait;

  if (!r)
    return 0;
  r->team = request->team;
  r->refused_at = now;
  if (r->claimed)
    return 0;
  if (r->opens_at)
    return r->opens_at > now ? r->opens_at - now : 0;
  wait = predict_room (returns, request, share, now);
  if (wait <= 0 || wait > request->limit
      || now + wait - r->first_at > request->target
      || returns->promises_count >= MAX_PROMISES)
    return 0;
  r->opens_at = now + wait;
  r->size = request->size;
  r->promised = true;
  DL_APPEND (returns->promises, r);
  returns->promises_count++;
  returns->counts.promised++;
  return wait;
}

void
ms_returns_tick (struct ms_returns *returns, ms_time now)
{
  struct record *r, *next;

  HASH_ITER (hh, returns->records, r, next)
  {
    expire_promise (returns, r, now);
    if (!is_forgotten (r, now))
      continue;
    release_promise (returns, r);
    HASH_DEL (returns->records, r);
    free (r);
  }
}

unsigned
ms_returns_report (const struct ms_returns *returns, ms_time now,
                   struct ms_return_report *reports, unsigned space)
{
  unsigned count = 0;
  const struct record *r = returns->records
                               ? ELMT_FROM_HH (returns->records->hh.tbl,
                                               returns->records->hh.tbl->tail)
                               : NULL;

  for (; r && count < space; r = r->hh.prev)
    if (r->refused_at && now - r->refused_at <= RECORD_TIME)
      reports[count++] = (struct ms_return_report){
        .key = r->key,
        .age = now - r->first_at,
        .wait = r->opens_at ? r->opens_at - r->first_at : 0,
        .size = r->opens_at ? r->size : 0,
        .claimed = r->claimed,
      };
  return count;
}

void
ms_returns_merge (struct ms_returns *returns,
                  const struct ms_return_report *report, ms_time now)
{
  struct record *r;

  if (report->age < 0 || report->age > 60 * MS_SEC || report->wait < 0
      || report->wait > report->age + MAX_WAIT || !(report->size >= 0)
      || report->size > MAX_SIZE)
    {
      returns->counts.implausible++;
      return;
    }
  r = find_or_add_record (returns, report->key, now - report->age, now);
  if (!r)
    return;
  r->heard_at = now;
  if (now - report->age < r->first_at)
    r->first_at = now - report->age;
  if (report->claimed)
    {
      release_promise (returns, r);
      r->claimed = true;
    }
  else if (report->wait && !r->promised)
    {
      r->opens_at = now - report->age + report->wait;
      r->size = report->size;
      expire_promise (returns, r, now);
    }
}

struct ms_returns_counts
ms_returns_counts (const struct ms_returns *returns)
{
  struct ms_returns_counts counts = returns->counts;

  counts.records = HASH_COUNT (returns->records);
  return counts;
}

#include "guard/parts.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/alloc.h"
#include "base/str.h"

/* Deaths since the last answer from which on a part is under trial, and from
   which on it is in quarantine.  */
#define TRIAL_DEATHS 3
#define QUARANTINE_DEATHS 4

/* Deaths that are closer together may have one cause that is no request, and
   count as one.  */
#define SEPARATE_DEATHS (300 * MS_MSEC)

/* Below TRIAL_DEATHS, older deaths do not count.  */
#define DEATH_WINDOW (60 * MS_SEC)

/* A trial begins TRIAL_DELAY after the last death at the first router in an
   order that differs between parts, and later by TRIAL_STEP at each further
   one, by when it has heard of an earlier trial; by TRIAL_SPREAD at most at
   the last. With each suspect more it begins later by TRIAL_SUSPECT_DELAY, as
   a request with one alone tells more.  */
#define TRIAL_DELAY (1 * MS_SEC)
#define TRIAL_STEP (500 * MS_MSEC)
#define TRIAL_SPREAD (30 * MS_SEC)
#define TRIAL_SUSPECT_DELAY (2 * MS_SEC)

/* By then the result of a trial is known, or there is none.  */
#define TRIAL_TIME (2 * MS_SEC)

/* How long a change is reported.  Counts go on being reported, each in one
   slot of COUNT_SLOTS.  */
#define REPORT_TIME (3 * MS_SEC)
#define COUNT_SLOT (100 * MS_MSEC)
#define COUNT_SLOTS 10

/* Answers, and trials, that peers report as less apart than this are one:
   their ages are not exact.  */
#define SAME_EVENT (200 * MS_MSEC)

/* How long an answer is remembered, as reports of deaths before it may follow,
   and the store may still have the part.  */
#define ANSWER_LIFETIME (30 * MS_SEC)

/* Bounds the memory; beyond this count a new record replaces the one that was
   added first.  */
#define MAX_RECORDS 4096
#define MAX_DEATHS 8

/* More suspects of one request are not looked at.  */
#define MAX_SUSPECTS 16

struct death
{
  uint64_t endpoint;
  ms_time at;
};

struct record
{
  uint64_t part;
  struct death deaths[MAX_DEATHS]; /* Since BEGUN_AT, in order of time, of
                                      different endpoints and at least
                                      SEPARATE_DEATHS apart.  */
  unsigned deaths_count;
  unsigned reported;   /* Deaths that a peer counts, or the store has.  */
  ms_time last_death;  /* Of all of these.  */
  ms_time begun_at;    /* When an answer last began; 0 if none did.  */
  ms_time changed_at;  /* Last news for peers.  */
  ms_time trial_until; /* End of the trial in progress.  */
  unsigned stored;     /* Deaths that the store has; 0 if it has none.  */
  UT_hash_handle hh;
};

struct ms_part_guard
{
  struct ms_part_guard_options options;
  struct record *records;
  uint64_t self;
  const uint64_t *routers;
  unsigned routers_count;
};

struct ms_part_guard *
ms_part_guard_create (const struct ms_part_guard_options *options)
{
  struct ms_part_guard *guard = ms_new (sizeof *guard);

  guard->options = *options;
  return guard;
}

static void
remove_record (struct ms_part_guard *guard, struct record *r)
{
  HASH_DEL (guard->records, r);
  free (r);
}

void
ms_part_guard_destroy (struct ms_part_guard *guard)
{
  struct record *r, *next;

  if (!guard)
    return;
  HASH_ITER (hh, guard->records, r, next) { remove_record (guard, r); }
  free (guard);
}

void
ms_part_guard_set_routers (struct ms_part_guard *guard, uint64_t self,
                           const uint64_t *ids, unsigned count)
{
  guard->self = self;
  guard->routers = ids;
  guard->routers_count = count;
}

static struct record *
find_record (const struct ms_part_guard *guard, uint64_t part)
{
  struct record *r;

  HASH_FIND (hh, guard->records, &part, sizeof part, r);
  return r;
}

static struct record *
find_or_add_record (struct ms_part_guard *guard, uint64_t part)
{
  struct record *r = find_record (guard, part);

  if (r)
    return r;
  if (HASH_COUNT (guard->records) >= MAX_RECORDS)
    remove_record (guard, guard->records);
  r = ms_new (sizeof *r);
  r->part = part;
  HASH_ADD (hh, guard->records, part, sizeof r->part, r);
  return r;
}

/* Return the deaths that count against R.  */
static unsigned
count_deaths (const struct record *r, ms_time now)
{
  if (r->last_death && now - r->last_death > MS_PART_QUARANTINE_TIME)
    return 0;
  return r->reported > r->deaths_count ? r->reported : r->deaths_count;
}

/* Remove the deaths of R before AT.  */
static void
drop_deaths (struct record *r, ms_time at)
{
  unsigned dropped = 0;

  while (dropped < r->deaths_count && r->deaths[dropped].at <= at)
    dropped++;
  r->deaths_count -= dropped;
  memmove (r->deaths, r->deaths + dropped,
           r->deaths_count * sizeof *r->deaths);
  if (r->last_death <= at)
    {
      r->reported = 0;
      r->last_death = 0;
    }
}

/* Report the state of R if its count, which was BEFORE, has passed a
   threshold.  */
static void
report_change (const struct ms_part_guard *guard, const struct record *r,
               unsigned before, ms_time now)
{
  unsigned count = count_deaths (r, now);

  if (!guard->options.changed)
    return;
  if (before < QUARANTINE_DEATHS && count >= QUARANTINE_DEATHS)
    guard->options.changed (guard->options.context, "part_quarantined",
                            r->part, count);
  else if (before < TRIAL_DEATHS && count >= TRIAL_DEATHS)
    guard->options.changed (guard->options.context, "part_suspected", r->part,
                            count);
  else if (before >= TRIAL_DEATHS && !count)
    guard->options.changed (guard->options.context, "part_cleared", r->part,
                            before);
}

/* Whether the death of ENDPOINT at AT may be one of those of R, or have the
   same cause.  */
static bool
is_known_death (const struct record *r, uint64_t endpoint, ms_time at)
{
  for (unsigned i = 0; i < r->deaths_count; i++)
    if (r->deaths[i].endpoint == endpoint
        || llabs (r->deaths[i].at - at) < SEPARATE_DEATHS)
      return true;
  return false;
}

/* Add the death of ENDPOINT at AT to R, unless it is known or an answer has
   begun since.  */
static void
add_death (const struct ms_part_guard *guard, struct record *r,
           uint64_t endpoint, ms_time at, ms_time now)
{
  unsigned before = count_deaths (r, now);
  unsigned i;

  if (before < TRIAL_DEATHS)
    drop_deaths (r, now - DEATH_WINDOW);
  if (at <= r->begun_at || r->deaths_count == MAX_DEATHS
      || is_known_death (r, endpoint, at))
    return;
  /* Those that were reported are from before LAST_DEATH.  */
  if (r->reported && at - r->last_death >= SEPARATE_DEATHS)
    r->reported++;
  i = r->deaths_count++;
  for (; i && r->deaths[i - 1].at > at; i--)
    r->deaths[i] = r->deaths[i - 1];
  r->deaths[i] = (struct death){ endpoint, at };
  if (at > r->last_death)
    r->last_death = at;
  r->changed_at = now;
  report_change (guard, r, before, now);
}

unsigned
ms_part_guard_died (struct ms_part_guard *guard, const uint64_t *parts,
                    unsigned count, uint64_t endpoint, ms_time now)
{
  unsigned most = 0;

  for (unsigned i = 0; i < count; i++)
    {
      struct record *r = find_or_add_record (guard, parts[i]);
      unsigned deaths;

      add_death (guard, r, endpoint, now, now);
      deaths = count_deaths (r, now);
      if (deaths > most)
        most = deaths;
    }
  return most;
}

/* An answer on R began at AT.  */
static void
note_answer (const struct ms_part_guard *guard, struct record *r, ms_time at,
             ms_time now)
{
  unsigned before = count_deaths (r, now);

  r->begun_at = at;
  r->trial_until = 0;
  r->stored = 0;
  drop_deaths (r, at);
  if (before)
    r->changed_at = now;
  report_change (guard, r, before, now);
}

void
ms_part_guard_began (struct ms_part_guard *guard, const uint64_t *parts,
                     unsigned count, ms_time now)
{
  for (unsigned i = 0; guard->records && i < count; i++)
    {
      struct record *r = find_record (guard, parts[i]);

      if (r)
        note_answer (guard, r, now, now);
    }
}

/* Return when this router may begin a trial of R; MS_NEVER while it does not
   know the fleet.  */
static ms_time
trial_time (const struct ms_part_guard *guard, const struct record *r)
{
  uint64_t own = ms_id_pair (r->part, guard->self);
  ms_time step = TRIAL_STEP;
  unsigned preceding = 0;

  if (!guard->routers_count)
    return MS_NEVER;
  for (unsigned i = 0; i < guard->routers_count; i++)
    preceding += ms_id_pair (r->part, guard->routers[i]) < own;
  if (step * guard->routers_count > TRIAL_SPREAD)
    step = TRIAL_SPREAD / guard->routers_count;
  return r->last_death + TRIAL_DELAY + preceding * step;
}

enum ms_part_verdict
ms_part_guard_admit (struct ms_part_guard *guard, const uint64_t *parts,
                     unsigned count, ms_time now)
{
  struct record *suspects[MAX_SUSPECTS];
  unsigned suspects_count = 0;

  for (unsigned i = 0; guard->records && i < count; i++)
    {
      struct record *r = find_record (guard, parts[i]);
      unsigned deaths = r ? count_deaths (r, now) : 0;

      if (deaths >= QUARANTINE_DEATHS)
        return MS_PART_QUARANTINED;
      if (deaths >= TRIAL_DEATHS && suspects_count < MAX_SUSPECTS)
        suspects[suspects_count++] = r;
    }
  if (!suspects_count)
    return MS_PART_CLEAR;
  for (unsigned i = 0; i < suspects_count; i++)
    {
      ms_time at = trial_time (guard, suspects[i]);

      if (at == MS_NEVER || now < suspects[i]->trial_until
          || now < at + (suspects_count - 1) * TRIAL_SUSPECT_DELAY)
        return MS_PART_QUARANTINED;
    }
  for (unsigned i = 0; i < suspects_count; i++)
    {
      suspects[i]->trial_until = now + TRIAL_TIME;
      suspects[i]->changed_at = now;
    }
  return MS_PART_TRIAL;
}

bool
ms_part_guard_is_clear (const struct ms_part_guard *guard,
                        const uint64_t *parts, unsigned count, ms_time now)
{
  for (unsigned i = 0; guard->records && i < count; i++)
    {
      const struct record *r = find_record (guard, parts[i]);

      if (r && count_deaths (r, now) >= TRIAL_DEATHS)
        return false;
    }
  return true;
}

/* Reports that are being collected.  */
struct report_list
{
  struct ms_part_report *reports;
  unsigned space;
  unsigned count;
};

static void
add_report (struct report_list *list, struct ms_part_report report)
{
  if (list->count < list->space)
    list->reports[list->count++] = report;
}

unsigned
ms_part_guard_report (const struct ms_part_guard *guard,
                      struct ms_part_report *reports, unsigned space,
                      ms_time now)
{
  struct report_list list = { reports, space, 0 };
  struct record *r, *next;

  /* Counts first: they are what routers that have just started lack.  */
  HASH_ITER (hh, guard->records, r, next)
  {
    unsigned deaths = count_deaths (r, now);
    bool is_news = now - r->changed_at < REPORT_TIME;
    unsigned slot = (unsigned)(now / COUNT_SLOT % COUNT_SLOTS);

    if (deaths >= TRIAL_DEATHS && (is_news || r->part % COUNT_SLOTS == slot))
      add_report (&list, (struct ms_part_report){ r->part, 0, deaths,
                                                  now - r->last_death });
  }
  HASH_ITER (hh, guard->records, r, next)
  {
    if (!r->changed_at || now - r->changed_at >= REPORT_TIME)
      continue;
    if (r->trial_until > now)
      add_report (&list, (struct ms_part_report){
                             r->part, 0, MS_PART_TRIAL_BEGAN,
                             now - (r->trial_until - TRIAL_TIME) });
    if (r->begun_at && now - r->begun_at < REPORT_TIME)
      add_report (&list,
                  (struct ms_part_report){ r->part, 0, 0, now - r->begun_at });
    for (unsigned i = 0; i < r->deaths_count; i++)
      add_report (&list,
                  (struct ms_part_report){ r->part, r->deaths[i].endpoint, 1,
                                           now - r->deaths[i].at });
  }
  return list.count;
}

/* A peer began a trial of R at AT.  */
static void
note_trial (struct record *r, ms_time at, ms_time now)
{
  if (at <= r->last_death || at <= r->begun_at
      || at + TRIAL_TIME <= r->trial_until + SAME_EVENT)
    return;
  r->trial_until = at + TRIAL_TIME;
  r->changed_at = now;
}

void
ms_part_guard_merge (struct ms_part_guard *guard,
                     const struct ms_part_report *report, ms_time now)
{
  ms_time at = now - report->age;
  struct record *r = find_record (guard, report->part);
  unsigned before;

  if (report->age < 0 || report->age > MS_PART_QUARANTINE_TIME)
    return;
  if (!report->endpoint && !report->deaths)
    {
      if (r && at > r->begun_at + SAME_EVENT)
        note_answer (guard, r, at, now);
      return;
    }
  if (!r)
    r = find_or_add_record (guard, report->part);
  if (report->endpoint)
    {
      add_death (guard, r, report->endpoint, at, now);
      return;
    }
  if (report->deaths == MS_PART_TRIAL_BEGAN)
    {
      note_trial (r, at, now);
      return;
    }
  before = count_deaths (r, now);
  if (at <= r->begun_at || report->deaths <= before)
    return;
  r->reported = report->deaths;
  if (at > r->last_death)
    r->last_death = at;
  r->changed_at = now;
  report_change (guard, r, before, now);
}

bool
ms_part_guard_unstored (const struct ms_part_guard *guard,
                        struct ms_part_report *report, ms_time now)
{
  struct record *r, *next;

  HASH_ITER (hh, guard->records, r, next)
  {
    unsigned deaths = count_deaths (r, now);
    /* A part in quarantine that is stored as under trial would come back as
       such.  */
    unsigned wanted
        = deaths < QUARANTINE_DEATHS ? TRIAL_DEATHS : QUARANTINE_DEATHS;

    if (deaths < TRIAL_DEATHS || r->stored >= wanted)
      continue;
    *report
        = (struct ms_part_report){ r->part, 0, deaths, now - r->last_death };
    return true;
  }
  return false;
}

bool
ms_part_guard_is_cleared (const struct ms_part_guard *guard,
                          const struct ms_part_report *report, ms_time now)
{
  const struct record *r = find_record (guard, report->part);

  return r && now - report->age <= r->begun_at;
}

void
ms_part_guard_set_stored (struct ms_part_guard *guard,
                          const struct ms_part_report *report)
{
  struct record *r = find_record (guard, report->part);

  if (r)
    r->stored = report->deaths;
}

void
ms_part_guard_forget_stored (struct ms_part_guard *guard)
{
  struct record *r, *next;

  HASH_ITER (hh, guard->records, r, next) { r->stored = 0; }
}

unsigned
ms_part_guard_count (const struct ms_part_guard *guard, ms_time now)
{
  struct record *r, *next;
  unsigned count = 0;

  HASH_ITER (hh, guard->records, r, next)
  {
    count += count_deaths (r, now) >= TRIAL_DEATHS;
  }
  return count;
}

void
ms_part_guard_tick (struct ms_part_guard *guard, ms_time now)
{
  struct record *r, *next;

  HASH_ITER (hh, guard->records, r, next)
  {
    bool has_deaths = count_deaths (r, now) > 0;
    bool few = has_deaths && count_deaths (r, now) < TRIAL_DEATHS;

    if ((!has_deaths && now - r->begun_at > ANSWER_LIFETIME)
        || (few && now - r->last_death > DEATH_WINDOW))
      remove_record (guard, r);
  }
}

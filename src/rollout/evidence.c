#include "rollout/internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* An answer is slow whose ratio is more than three times that of the others on
   its route: log2 (3), in units of 2^-16.  */
#define SLOW_LOG_RATIO 103872

/* Ratios beyond this factor, or below its inverse, count as it.  */
#define MAX_RATIO 1024.0

/* Mean ratios are those of about this many answers, on one route and zone at
   one router.  */
#define RATIO_ANSWERS 16

/* Weight of the mean of all routes, or of the prediction, in the mean ratio of
   a route, or of all, in answers.  */
#define PRIOR_ANSWERS 8

/* Natural logarithm of 2.  */
#define LN2 0.69314718055994530942

/* Bounds on plausible reports.  */
#define MAX_ROUTERS 10000
#define MAX_COUNT ((uint32_t)1 << 28)
#define MAX_LOG_RATIO 20.0F
#define MAX_AGE (86400 * MS_SEC)

/* The answers to requests that were sent before the order, or that have begun
   and ended, are beyond those that were sent for it.  */
#define ANSWERS_PER_REQUEST 2
#define MORE_ANSWERS 1000

/* Bounds the memory; beyond this count, the source that was not heard for
   longest is replaced.  */
#define MAX_SOURCES 1024

/* A source that reports less than before for this long counts anew: routers of
   the zone have ended.  Before, some of its digests may have been late.  */
#define REBASE_TIME (1500 * MS_MSEC)

/* What a source that was not merged has reported of its requests in progress
   is true for this long.  */
#define REPORT_TIME (1 * MS_SEC)
#define SILENT_TIME (5 * MS_SEC)

/* If one endpoint has many bad answers, the version is bad only if its other
   endpoints have at least this many, at least 1 / RATE_FACTOR of the one's
   rate, and EXCESS_FACTOR times as many as the other versions have.  */
#define MIN_OTHER_BAD 2
#define RATE_FACTOR 8
#define EXCESS_FACTOR 2

/* After one endpoint was found to be bad alone, by at least this many.  */
#define MIN_BAD_BESIDE_OUTLIER 4

/* Else only the one is bad, if it would have so many of the bad answers by
   chance in less than one in 2^UNEVEN_BITS cases.  While that is not known,
   ALONE_BAD bad answers are enough for the version to be bad: it must be well
   below 50, from which on the time to stop counts.  */
#define UNEVEN_BITS 12

/* For this long the one is to look bad alone, as other routers report how
   often an endpoint answered them after they hear of its first bad answer.  */
#define ONE_TIME (1 * MS_SEC)
#define ALONE_BAD 25

void
ms_evidence_init (struct ms_evidence *evidence)
{
  memset (evidence, 0, sizeof *evidence);
  evidence->compare = ms_compare_create ();
  evidence->paces_count = 1;
  evidence->heard = 1;
  evidence->routers = 1;
}

void
ms_evidence_free (struct ms_evidence *evidence)
{
  struct ms_rollout_source *source, *next;

  HASH_ITER (hh, evidence->sources, source, next)
  {
    HASH_DEL (evidence->sources, source);
    free (source);
  }
  ms_compare_destroy (evidence->compare);
}

/* Return the index of ROUTE and ZONE in LIST of COUNT, which are added if they
   are unknown.  The last space is for route 0 and zone 0, which stand for all
   that have no space.  HINT is where they probably are.  */
static unsigned
find_or_add_stratum (struct ms_rollout_evidence list[MS_ROLLOUT_STRATA],
                     unsigned *count, uint64_t route, uint64_t zone,
                     unsigned hint)
{
  unsigned i;

  if (hint < *count && list[hint].route == route && list[hint].zone == zone)
    return hint;
  for (i = 0; i < *count; i++)
    if (list[i].route == route && list[i].zone == zone)
      return i;
  if (i == MS_ROLLOUT_STRATA)
    return i - 1;
  ++*count;
  memset (&list[i], 0, sizeof list[i]);
  if (i < MS_ROLLOUT_STRATA - 1)
    {
      list[i].route = route;
      list[i].zone = zone;
    }
  return i;
}

/* Return the entry of ENDPOINT in LIST of COUNT, which has SPACE.  If there is
   none, it is added, if need be in place of the one with the least bad
   answers.  */
static struct ms_rollout_suspect *
find_or_add_suspect (struct ms_rollout_suspect *list, unsigned *count,
                     unsigned space, uint64_t endpoint)
{
  struct ms_rollout_suspect *added = list;

  for (unsigned i = 0; i < *count; i++)
    {
      if (list[i].endpoint == endpoint)
        return &list[i];
      if (list[i].bad < added->bad
          || (list[i].bad == added->bad && list[i].answers < added->answers))
        added = &list[i];
    }
  if (*count < space)
    added = &list[(*count)++];
  *added = (struct ms_rollout_suspect){ .endpoint = endpoint };
  return added;
}

static void
add_suspect (struct ms_suspects *suspects,
             const struct ms_rollout_suspect *added)
{
  struct ms_rollout_suspect *s = find_or_add_suspect (
      suspects->list, &suspects->count, MS_EVIDENCE_SUSPECTS, added->endpoint);

  s->answers += added->answers;
  s->bad += added->bad;
}

void
ms_evidence_sent (struct ms_evidence *evidence, unsigned index)
{
  evidence->sent[index]++;
  evidence->total_sent[index]++;
  evidence->near_sent++;
}

/* Return the binary logarithm of RATIO, in units of 2^-16.  */
static int64_t
log_ratio_of (double ratio)
{
  if (ratio > MAX_RATIO)
    ratio = MAX_RATIO;
  if (ratio < 1 / MAX_RATIO)
    ratio = 1 / MAX_RATIO;
  /* Scaling by a power of 2 is exact.  */
  return ms_log2 ((uint64_t)(ratio * ((uint64_t)1 << 32)))
         - 32 * (int64_t)65536;
}

/* Return the mean logarithm of the others' ratios on ROUTE.  */
static int64_t
pace_of (const struct ms_evidence *evidence, uint64_t route)
{
  for (unsigned i = 1; i < evidence->paces_count; i++)
    if (evidence->paces[i].route == route)
      return evidence->paces[i].log_ratio;
  return evidence->paces[0].log_ratio;
}

void
ms_evidence_note (struct ms_evidence *evidence, unsigned index,
                  const struct ms_rollout_answer *answer)
{
  unsigned i = find_or_add_stratum (evidence->own, &evidence->own_count,
                                    answer->route, answer->zone, 0);
  struct ms_rollout_evidence *own = &evidence->own[i];
  struct ms_rollout_evidence added
      = { .route = own->route, .zone = own->zone };
  int64_t log_ratio = 0;

  if (!index && evidence->several && answer->endpoint == evidence->outlier)
    return;
  added.answers[index] = 1;
  added.failed[index] = answer->failed;
  if (!answer->failed && !answer->warming && answer->ratio > 0)
    {
      log_ratio = log_ratio_of (answer->ratio);
      added.timed[index] = 1;
      added.slow[index]
          = log_ratio - pace_of (evidence, answer->route) > SLOW_LOG_RATIO;
    }
  own->answers[index]++;
  own->failed[index] += added.failed[index];
  own->timed[index] += added.timed[index];
  own->slow[index] += added.slow[index];
  if (index && added.timed[1])
    {
      int64_t *mean = &evidence->own_log_ratios[i];

      *mean += (log_ratio - *mean)
               / (own->timed[1] < RATIO_ANSWERS ? (int64_t)own->timed[1]
                                                : RATIO_ANSWERS);
    }
  if (!index)
    {
      struct ms_rollout_suspect suspect
          = { .endpoint = answer->endpoint,
              .answers = 1,
              .bad = added.failed[0] || added.slow[0] };

      add_suspect (&evidence->own_suspects, &suspect);
      add_suspect (&evidence->suspects, &suspect);
    }
  ms_compare_add (evidence->compare, &added);
}

static uint32_t
bad_in_fleet (const struct ms_evidence *evidence, uint64_t endpoint)
{
  for (unsigned i = 0; i < evidence->suspects.count; i++)
    if (evidence->suspects.list[i].endpoint == endpoint)
      return evidence->suspects.list[i].bad;
  return 0;
}

/* Put this router's answers of the endpoints with the most bad answers in the
   fleet into REPORT.  Its good ones tell how often they answered.  */
static void
report_suspects (const struct ms_evidence *evidence,
                 struct ms_rollout_report *report)
{
  uint32_t bad[MS_ROLLOUT_SUSPECTS];
  unsigned count = 0;

  for (unsigned i = 0; i < evidence->own_suspects.count; i++)
    {
      const struct ms_rollout_suspect *s = &evidence->own_suspects.list[i];
      uint32_t fleet_bad = bad_in_fleet (evidence, s->endpoint);
      unsigned j;

      if (!fleet_bad)
        continue;
      if (count < MS_ROLLOUT_SUSPECTS)
        j = count++;
      else if (fleet_bad > bad[count - 1])
        j = count - 1;
      else
        continue;
      for (; j && bad[j - 1] < fleet_bad; j--)
        {
          report->suspects[j] = report->suspects[j - 1];
          bad[j] = bad[j - 1];
        }
      report->suspects[j] = *s;
      bad[j] = fleet_bad;
    }
  report->suspects_count = count;
}

void
ms_evidence_report (const struct ms_evidence *evidence,
                    struct ms_rollout_report *report)
{
  for (unsigned i = 0; i < 2; i++)
    report->sent[i] = evidence->sent[i];
  report->strata_count = evidence->own_count;
  for (unsigned i = 0; i < evidence->own_count; i++)
    {
      report->strata[i] = evidence->own[i];
      report->strata[i].log_ratio
          = (float)((double)evidence->own_log_ratios[i] * (LN2 / 65536));
    }
  report_suspects (evidence, report);
}

static bool
is_plausible_stratum (const struct ms_rollout_evidence *s)
{
  for (unsigned i = 0; i < 2; i++)
    if (s->answers[i] > MAX_COUNT || s->failed[i] > s->answers[i]
        || s->timed[i] > s->answers[i] - s->failed[i]
        || s->slow[i] > s->timed[i])
      return false;
  return isfinite (s->log_ratio) && fabsf (s->log_ratio) <= MAX_LOG_RATIO;
}

bool
ms_evidence_is_plausible (const struct ms_rollout_report *report)
{
  uint64_t answers = 0;

  if (report->strata_count > MS_ROLLOUT_STRATA
      || report->suspects_count > MS_ROLLOUT_SUSPECTS
      || report->phase > MS_ROLLOUT_ROLLED_BACK || report->age > MAX_AGE
      || report->routers > MAX_ROUTERS || report->unmoved > report->routers
      || report->sent[0] > MAX_COUNT || report->sent[1] > MAX_COUNT)
    return false;
  for (unsigned i = 0; i < report->strata_count; i++)
    {
      if (!is_plausible_stratum (&report->strata[i]))
        return false;
      answers += report->strata[i].answers[0];
    }
  for (unsigned i = 0; i < report->suspects_count; i++)
    if (report->suspects[i].bad > report->suspects[i].answers
        || report->suspects[i].answers > MAX_COUNT)
      return false;
  return answers
         <= (uint64_t)report->sent[0] * ANSWERS_PER_REQUEST + MORE_ANSWERS;
}

/* Return source ID, which is added if it is unknown.  */
static struct ms_rollout_source *
find_or_add_source (struct ms_evidence *evidence, uint64_t id)
{
  struct ms_rollout_source *source;

  HASH_FIND (hh, evidence->sources, &id, sizeof id, source);
  if (source)
    return source;
  if (HASH_COUNT (evidence->sources) >= MAX_SOURCES)
    {
      struct ms_rollout_source *oldest = evidence->sources;

      for (source = oldest; source; source = source->hh.next)
        if (source->heard_at < oldest->heard_at)
          oldest = source;
      HASH_DEL (evidence->sources, oldest);
      free (oldest);
    }
  source = ms_new (sizeof *source);
  source->id = id;
  HASH_ADD (hh, evidence->sources, id, sizeof source->id, source);
  return source;
}

/* Raise *COUNTED to REPORTED and return by how much.  */
static uint32_t
raise_count (uint32_t *counted, uint32_t reported)
{
  uint32_t added = reported > *counted ? reported - *counted : 0;

  *counted += added;
  return added;
}

/* Return whether SOURCE reports fewer answers than before, on the routes and
   zones that REPORT has.  */
static bool
reports_less (struct ms_rollout_source *source,
              const struct ms_rollout_report *report)
{
  struct ms_rollout_report *counted = &source->counted;
  uint64_t before = 0;
  uint64_t after = 0;

  for (unsigned i = 0; i < report->strata_count; i++)
    {
      const struct ms_rollout_evidence *s = &report->strata[i];
      const struct ms_rollout_evidence *c
          = &counted->strata[find_or_add_stratum (
              counted->strata, &counted->strata_count, s->route, s->zone, i)];

      before += (uint64_t)c->answers[0] + c->answers[1];
      after += (uint64_t)s->answers[0] + s->answers[1];
    }
  return after < before;
}

/* Count the stratum S of SOURCE, probably its one of index HINT, from now on
   if ANEW.  What is new is not evaluated if PAST.  */
static void
merge_stratum (struct ms_evidence *evidence, struct ms_rollout_source *source,
               const struct ms_rollout_evidence *s, unsigned hint, bool anew,
               bool past)
{
  struct ms_rollout_report *counted = &source->counted;
  struct ms_rollout_evidence *c = &counted->strata[find_or_add_stratum (
      counted->strata, &counted->strata_count, s->route, s->zone, hint)];
  struct ms_rollout_evidence added = { .route = c->route, .zone = c->zone };

  c->log_ratio = s->log_ratio;
  for (unsigned i = 0; i < 2; i++)
    {
      if (anew)
        {
          c->answers[i] = s->answers[i];
          c->failed[i] = s->failed[i];
          c->timed[i] = s->timed[i];
          c->slow[i] = s->slow[i];
          continue;
        }
      added.answers[i] = raise_count (&c->answers[i], s->answers[i]);
      added.failed[i] = raise_count (&c->failed[i], s->failed[i]);
      added.timed[i] = raise_count (&c->timed[i], s->timed[i]);
      added.slow[i] = raise_count (&c->slow[i], s->slow[i]);
      /* After a source has reported less, single counts may pass what was
         counted before others do.  */
      if (added.failed[i] > added.answers[i])
        added.failed[i] = added.answers[i];
      if (added.timed[i] > added.answers[i])
        added.timed[i] = added.answers[i];
      if (added.slow[i] > added.timed[i])
        added.slow[i] = added.timed[i];
    }
  if (past)
    ms_compare_add_past (evidence->compare, &added);
  else if (added.answers[0] || added.answers[1])
    ms_compare_add (evidence->compare, &added);
}

static void
merge_suspect (struct ms_evidence *evidence, struct ms_rollout_source *source,
               const struct ms_rollout_suspect *s, bool anew)
{
  struct ms_rollout_report *counted = &source->counted;
  struct ms_rollout_suspect *c
      = find_or_add_suspect (counted->suspects, &counted->suspects_count,
                             MS_ROLLOUT_SUSPECTS, s->endpoint);
  struct ms_rollout_suspect added = { .endpoint = s->endpoint };

  if (anew)
    {
      *c = *s;
      return;
    }
  added.answers = raise_count (&c->answers, s->answers);
  added.bad = raise_count (&c->bad, s->bad);
  add_suspect (&evidence->suspects, &added);
  /* Its router may not know yet that the endpoint alone is bad.  */
  if (evidence->several && added.endpoint == evidence->outlier)
    ms_compare_discount (evidence->compare, added.bad);
}

/* Return A + B, or the largest value if that is less.  */
static uint32_t
add_counts (uint32_t a, uint32_t b)
{
  return b > UINT32_MAX - a ? UINT32_MAX : a + b;
}

/* Return the mean of logarithms A and B, of which COUNT_A and COUNT_B answers
   were the base.  */
static float
mean_log_ratio (float a, uint32_t count_a, float b, uint32_t count_b)
{
  int64_t sum
      = (int64_t)(a * 65536) * count_a + (int64_t)(b * 65536) * count_b;
  int64_t count = (int64_t)count_a + count_b;

  if (count)
    sum /= count;
  return (float)sum / 65536;
}

static void
add_stratum (struct ms_rollout_report *sum,
             const struct ms_rollout_evidence *b, unsigned hint)
{
  struct ms_rollout_evidence *a = &sum->strata[find_or_add_stratum (
      sum->strata, &sum->strata_count, b->route, b->zone, hint)];

  a->log_ratio
      = mean_log_ratio (a->log_ratio, a->timed[1], b->log_ratio, b->timed[1]);
  for (unsigned i = 0; i < 2; i++)
    {
      a->answers[i] = add_counts (a->answers[i], b->answers[i]);
      a->failed[i] = add_counts (a->failed[i], b->failed[i]);
      a->timed[i] = add_counts (a->timed[i], b->timed[i]);
      a->slow[i] = add_counts (a->slow[i], b->slow[i]);
    }
}

/* Set the phase of A to that of A and B.  */
static void
add_phase (struct ms_rollout_report *a, const struct ms_rollout_report *b)
{
  static const unsigned gravity[] = {
    [MS_ROLLOUT_UNKNOWN] = 1,     [MS_ROLLOUT_CANARY] = 2,
    [MS_ROLLOUT_MOVING] = 3,      [MS_ROLLOUT_COMPLETED] = 3,
    [MS_ROLLOUT_ROLLED_BACK] = 4, [MS_ROLLOUT_STOPPED] = 4,
  };
  bool a_final = a->confirmed && a->phase >= MS_ROLLOUT_COMPLETED;
  bool b_final = b->confirmed && b->phase >= MS_ROLLOUT_COMPLETED;

  if (a_final
      || (!b_final
          && gravity[a->phase % (MS_ROLLOUT_ROLLED_BACK + 1)]
                 >= gravity[b->phase % (MS_ROLLOUT_ROLLED_BACK + 1)]))
    return;
  a->phase = b->phase;
  a->confirmed = b->confirmed;
}

void
ms_rollouts_add_report (struct ms_rollout_report *a,
                        const struct ms_rollout_report *b)
{
  if (!ms_evidence_is_plausible (b))
    return;
  if (!a->service)
    {
      *a = *b;
      return;
    }
  if (a->service != b->service || a->order != b->order)
    return;
  add_phase (a, b);
  if (a->age < b->age)
    a->age = b->age;
  for (unsigned i = 0; i < 2; i++)
    a->sent[i] = add_counts (a->sent[i], b->sent[i]);
  a->routers = add_counts (a->routers, b->routers);
  a->running_old = add_counts (a->running_old, b->running_old);
  a->unmoved = add_counts (a->unmoved, b->unmoved);
  for (unsigned i = 0; i < b->strata_count; i++)
    add_stratum (a, &b->strata[i], i);
  for (unsigned i = 0; i < b->suspects_count; i++)
    {
      struct ms_rollout_suspect *s
          = find_or_add_suspect (a->suspects, &a->suspects_count,
                                 MS_ROLLOUT_SUSPECTS, b->suspects[i].endpoint);

      s->answers = add_counts (s->answers, b->suspects[i].answers);
      s->bad = add_counts (s->bad, b->suspects[i].bad);
    }
}

void
ms_evidence_clear (struct ms_evidence *evidence)
{
  for (struct ms_rollout_source *s = evidence->sources; s; s = s->hh.next)
    s->merged = false;
}

void
ms_evidence_merge (struct ms_evidence *evidence, uint64_t id,
                   const struct ms_rollout_report *report, ms_time now)
{
  struct ms_rollout_source *source = find_or_add_source (evidence, id);
  struct ms_rollout_report *counted = &source->counted;
  bool past = evidence->late && !source->heard_at;
  bool anew = false;

  source->heard_at = now;
  source->merged = true;
  if (!reports_less (source, report))
    source->below_since = 0;
  else if (!source->below_since)
    source->below_since = now;
  else if (now - source->below_since >= REBASE_TIME)
    {
      anew = true;
      source->below_since = 0;
    }
  for (unsigned i = 0; i < 2; i++)
    if (anew)
      counted->sent[i] = report->sent[i];
    else
      {
        uint32_t added = raise_count (&counted->sent[i], report->sent[i]);

        evidence->total_sent[i] += added;
        if (past)
          evidence->past_sent += added;
        else if (report->routers <= 1)
          evidence->near_sent += added;
      }
  for (unsigned i = 0; i < report->strata_count; i++)
    merge_stratum (evidence, source, &report->strata[i], i, anew, past);
  for (unsigned i = 0; i < report->suspects_count; i++)
    merge_suspect (evidence, source, &report->suspects[i], anew);
  counted->routers = report->routers;
  counted->running_old = report->running_old;
  counted->unmoved = report->unmoved;
}

/* Return whether what SOURCE reported last may still be true: if PATIENT, also
   if it has fallen silent, as its requests may go on.  */
static bool
may_be_true (const struct ms_rollout_source *source, bool patient, ms_time now)
{
  return source->merged
         || now - source->heard_at < (patient ? SILENT_TIME : REPORT_TIME);
}

static bool
is_current (const struct ms_rollout_source *source, ms_time now)
{
  return may_be_true (source, false, now);
}

bool
ms_evidence_drained (const struct ms_evidence *evidence, bool patient,
                     ms_time now)
{
  for (const struct ms_rollout_source *s = evidence->sources; s;
       s = s->hh.next)
    if (may_be_true (s, patient, now) && s->counted.running_old)
      return false;
  return true;
}

bool
ms_evidence_moved (const struct ms_evidence *evidence, bool patient,
                   ms_time now)
{
  for (const struct ms_rollout_source *s = evidence->sources; s;
       s = s->hh.next)
    if (may_be_true (s, patient, now) && s->counted.unmoved)
      return false;
  return true;
}

/* Sum of logarithms of ratios, each as often as there were answers of late. */
struct log_sum
{
  int64_t weight;
  int64_t sum;
};

static void
add_log_ratio (struct ms_evidence *evidence,
               struct log_sum sums[MS_EVIDENCE_ROUTES], uint64_t route,
               uint32_t timed, int64_t log_ratio)
{
  int64_t weight = timed < RATIO_ANSWERS ? timed : RATIO_ANSWERS;
  unsigned i;

  if (!timed)
    return;
  sums[0].weight += weight;
  sums[0].sum += weight * log_ratio;
  for (i = 1; i < evidence->paces_count; i++)
    if (evidence->paces[i].route == route)
      break;
  if (i == MS_EVIDENCE_ROUTES)
    return;
  if (i == evidence->paces_count)
    {
      evidence->paces_count++;
      evidence->paces[i].route = route;
    }
  sums[i].weight += weight;
  sums[i].sum += weight * log_ratio;
}

/* Update the mean ratios of the others.  */
static void
update_paces (struct ms_evidence *evidence, ms_time now)
{
  struct log_sum sums[MS_EVIDENCE_ROUTES] = { { 0 } };
  int64_t prior = 0;

  for (unsigned i = 0; i < evidence->own_count; i++)
    add_log_ratio (evidence, sums, evidence->own[i].route,
                   evidence->own[i].timed[1], evidence->own_log_ratios[i]);
  for (const struct ms_rollout_source *s = evidence->sources; s;
       s = s->hh.next)
    for (unsigned i = 0; is_current (s, now) && i < s->counted.strata_count;
         i++)
      {
        const struct ms_rollout_evidence *e = &s->counted.strata[i];

        add_log_ratio (evidence, sums, e->route, e->timed[1],
                       (int64_t)((double)e->log_ratio * (65536 / LN2)));
      }
  for (unsigned i = 0; i < evidence->paces_count; i++)
    {
      evidence->paces[i].log_ratio = (sums[i].sum + PRIOR_ANSWERS * prior)
                                     / (sums[i].weight + PRIOR_ANSWERS);
      prior = evidence->paces[0].log_ratio;
    }
}

static void
count_routers (struct ms_evidence *evidence, ms_time now)
{
  unsigned routers = 1;
  unsigned unmoved = 0;

  for (const struct ms_rollout_source *s = evidence->sources; s;
       s = s->hh.next)
    if (is_current (s, now))
      {
        routers += s->counted.routers;
        unmoved += s->counted.unmoved;
      }
  evidence->unmoved = unmoved;
  evidence->heard = routers;
  if (evidence->routers < routers)
    evidence->routers = routers;
}

/* Return the endpoint with the most bad answers in the fleet.  */
static struct ms_rollout_suspect
worst_endpoint (const struct ms_evidence *evidence)
{
  struct ms_rollout_suspect worst = { 0 };

  for (unsigned i = 0; i < evidence->suspects.count; i++)
    if (evidence->suspects.list[i].bad > worst.bad)
      worst = evidence->suspects.list[i];
  return worst;
}

/* Which endpoints of the ordered version have bad answers, beyond chance.  */
enum spread
{
  SEVERAL,
  ONE,
  UNDECIDED /* The others have not answered often enough.  */
};

/* Return COUNT times the binary logarithm of (A * B) / (C * D).  */
static int64_t
log_ratio_times (uint32_t count, uint32_t a, uint64_t b, uint32_t c,
                 uint64_t d)
{
  if (!count)
    return 0;
  return count * (ms_log2 (a) + ms_log2 (b) - ms_log2 (c) - ms_log2 (d));
}

/* Return whether a version that is equally bad at all endpoints is unlikely to
   have only FEW bad answers of COUNT, and MANY of MANY_COUNT.  The bound is
   Chernoff's for the binomial distribution.  */
static bool
is_uneven (uint32_t few, uint32_t count, uint32_t many, uint32_t many_count)
{
  uint32_t bad = few + many;
  uint64_t all = (uint64_t)count + many_count;
  int64_t bits;

  if (!count || !many || (uint64_t)few * all >= (uint64_t)bad * count)
    return false;
  bits = log_ratio_times (few, few, all, bad, count)
         + log_ratio_times (many, many, all, bad, many_count);
  return bits >= UNEVEN_BITS * (int64_t)65536;
}

static enum spread
spread_of_faults (const struct ms_evidence *evidence)
{
  const struct ms_rollout_evidence *total
      = ms_compare_total (evidence->compare);
  struct ms_rollout_suspect worst = worst_endpoint (evidence);
  uint32_t bad = total->failed[0] + total->slow[0];
  uint32_t others = total->answers[0] > worst.answers
                        ? total->answers[0] - worst.answers
                        : 0;
  uint32_t others_bad = bad > worst.bad ? bad - worst.bad : 0;

  if (!evidence->several)
    return SEVERAL;
  if (others_bad
          >= (evidence->outlier ? MIN_BAD_BESIDE_OUTLIER : MIN_OTHER_BAD)
      && (uint64_t)others_bad << 20
             >= EXCESS_FACTOR * ms_compare_expected (evidence->compare, others)
      && (evidence->outlier
          || (uint64_t)others_bad * worst.answers * RATE_FACTOR
                 >= (uint64_t)worst.bad * others))
    return SEVERAL;
  if (is_uneven (others_bad, others, worst.bad, worst.answers))
    return ONE;
  return bad >= ALONE_BAD ? SEVERAL : UNDECIDED;
}

enum ms_compare_kind
ms_evidence_step (struct ms_evidence *evidence, bool several, ms_time now)
{
  enum ms_compare_kind kind;
  enum spread spread;

  evidence->several = several;
  count_routers (evidence, now);
  if (ms_compare_step (evidence->compare))
    update_paces (evidence, now);
  for (kind = 0; kind < MS_COMPARE_KINDS; kind++)
    if (ms_compare_score (evidence->compare, kind) >= MS_COMPARE_BAD)
      break;
  spread = kind < MS_COMPARE_KINDS ? spread_of_faults (evidence) : UNDECIDED;
  if (spread == SEVERAL)
    return kind;
  if (spread != ONE)
    evidence->one_since = 0;
  else if (!evidence->one_since)
    evidence->one_since = now;
  else if (now - evidence->one_since >= ONE_TIME)
    {
      evidence->one_since = 0;
      evidence->outlier = worst_endpoint (evidence).endpoint;
      ms_compare_reset (evidence->compare);
    }
  return MS_COMPARE_KINDS;
}

int64_t
ms_evidence_score (const struct ms_evidence *evidence)
{
  int64_t failed = ms_compare_score (evidence->compare, MS_COMPARE_FAILED);
  int64_t slow = ms_compare_score (evidence->compare, MS_COMPARE_SLOW);

  return failed > slow ? failed : slow;
}

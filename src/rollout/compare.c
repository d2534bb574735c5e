#include "rollout/internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Cumulative sums of log-likelihood ratios.  An answer of the ordered version
   adds the logarithm of how much likelier it is if the version is worse than
   the others by some step than if it is as good; sums do not fall below 0.
   There is a sum for each step, each route and all routes.  What the others
   show is taken from the same route, zone and seconds, and rounded up, so that
   a fault which all versions have does not count against the ordered one.  */

/* Probabilities are in units of 1 / ONE.  */
#define ONE ((int64_t)1 << 20)

/* A version as good as the others is found bad by one sum in less than one in
   e^16, 9 million, answers.  docs/design/rollout.md has the samples that it
   takes.  */
#define THRESHOLD (23 * (int64_t)65536) /* Of ms_log2: 2^23 = e^16.  */

/* Steps by which a bad version may be worse than the others.  Small ones are
   found by many answers, large ones by few.  */
static const int64_t steps[] = { ONE / 256, ONE / 32, ONE / 8, 3 * ONE / 8 };

#define STEPS (sizeof steps / sizeof *steps)

#define MAX_STRATA 64
#define MAX_SCOPES MS_EVIDENCE_ROUTES

/* Counts of windows are in units of 1 / COUNT.  */
#define COUNT ((uint64_t)256)

/* What was added in this many steps, 0.3 s, is evaluated together.  Both
   versions show a fault that begins meanwhile, so that it does not count
   against one of them.  */
#define BATCH_STEPS 3

/* More answers on a route and zone in one batch count as this many, so that no
   report makes the arithmetic overflow.  */
#define MAX_BATCH ((uint64_t)1 << 20)

/* Each evaluation with answers of the others reduces the counts of a window by
   this fraction: windows of 3 s.  */
#define WINDOW_PART 10

/* Before the others have answered, one in PRIOR answers is assumed to be bad.
   What is known of all routes counts as much as PART_PRIOR answers on one, and
   likewise what is known of a route for its zones.  In a batch, BATCH_PRIOR
   good answers are assumed.  */
#define PRIOR 64
#define PART_PRIOR 16
#define BATCH_PRIOR 2

/* When the others get no more requests, their last two batches or so stand for
   a batch.  As these say less of the present, the part of bad answers that is
   assumed is raised by 1 / UNCERTAIN_PART of it.  */
#define LAST_PART 2
#define UNCERTAIN_PART 4

/* Fewer answers of the others on a route and zone in one batch than this are
   not relied on; those on the route, or else all, are used.  Fewer than
   BATCH_BAD bad ones are chance.  */
#define MIN_ANSWERS 20
#define BATCH_BAD 2

/* Bounds on the part of bad answers that is assumed for a version as good as
   the others.  Slowness is noisier than failures are.  */
static const int64_t least_bad[MS_COMPARE_KINDS] = { ONE / 500, ONE / 100 };
#define MOST_BAD (9 * ONE / 10)

/* What the others have shown since the order is assumed at least, up to this.
   While all requests move, nothing newer is known of them, and a few seconds
   without a failure say little.  */
#define MOST_LASTING (ONE / 50)

/* Before the version is completed, the answers that were not evaluated yet may
   have this many bad ones, and PENDING_FACTOR times those that the others show
   of late.  */
#define PENDING_BAD 1
#define PENDING_FACTOR 2

/* Answers of the other versions of late.  */
struct window
{
  uint64_t answers;
  uint64_t bad;
};

/* Answers of one kind that were not evaluated yet.  */
struct sample
{
  uint32_t answers;
  uint32_t bad;
};

/* What the others show on a route and zone, on a route, or on all.  */
struct usual
{
  struct window window;
  struct window batch;
  struct window last;
};

struct stratum
{
  uint64_t route;
  uint64_t zone;
  struct window windows[MS_COMPARE_KINDS];
  struct window last[MS_COMPARE_KINDS]; /* The same of the last batches.  */
  struct sample added[MS_COMPARE_KINDS][2];
};

struct scope
{
  uint64_t route;
  int64_t sums[MS_COMPARE_KINDS][STEPS];
};

struct ms_compare
{
  struct stratum strata[MAX_STRATA];
  unsigned strata_count;
  struct scope scopes[MAX_SCOPES]; /* The first one is of all routes.  */
  unsigned scopes_count;
  struct ms_rollout_evidence total;
  unsigned steps;
  uint32_t discount; /* Bad answers that do not count.  */
};

int64_t
ms_log2 (uint64_t x)
{
  int exponent = 63 - __builtin_clzll (x);
  uint64_t mantissa = x << (63 - exponent) >> 32; /* From 2^31 to 2^32.  */
  int64_t result = exponent;

  for (unsigned i = 0; i < 16; i++)
    {
      mantissa = mantissa * mantissa >> 31;
      result <<= 1;
      if (mantissa >> 32)
        {
          mantissa >>= 1;
          result |= 1;
        }
    }
  return result;
}

uint64_t
ms_square_root (uint64_t x)
{
  uint64_t root = 0;

  for (uint64_t bit = (uint64_t)1 << 31; bit; bit >>= 1)
    if ((root | bit) * (root | bit) <= x)
      root |= bit;
  return root;
}

struct ms_compare *
ms_compare_create (void)
{
  struct ms_compare *compare = ms_new (sizeof *compare);

  compare->scopes_count = 1;
  return compare;
}

void
ms_compare_destroy (struct ms_compare *compare)
{
  free (compare);
}

/* Return the stratum of ROUTE and ZONE, which is added if it is unknown.  If
   there is no space, the last one stands for all further ones.  */
static struct stratum *
find_or_add_stratum (struct ms_compare *compare, uint64_t route, uint64_t zone)
{
  struct stratum *s = compare->strata;

  for (; s < compare->strata + compare->strata_count; s++)
    if (s->route == route && s->zone == zone)
      return s;
  if (compare->strata_count == MAX_STRATA)
    return s - 1;
  compare->strata_count++;
  s->route = route;
  s->zone = zone;
  return s;
}

/* Return the scope of ROUTE, which is added if it is unknown; NULL if there is
   no space.  */
static struct scope *
find_or_add_scope (struct ms_compare *compare, uint64_t route)
{
  struct scope *s = compare->scopes + 1;

  for (; s < compare->scopes + compare->scopes_count; s++)
    if (s->route == route)
      return s;
  if (compare->scopes_count == MAX_SCOPES)
    return NULL;
  compare->scopes_count++;
  s->route = route;
  return s;
}

/* Add ANSWERS, of which BAD are bad, to SAMPLE.  */
static void
add_sample (struct sample *sample, uint32_t answers, uint32_t bad)
{
  uint64_t sum = (uint64_t)sample->answers + answers;
  uint64_t bad_sum = (uint64_t)sample->bad + bad;

  for (; sum > MAX_BATCH; sum /= 2)
    bad_sum /= 2;
  sample->answers = (uint32_t)sum;
  sample->bad = (uint32_t)bad_sum;
}

void
ms_compare_add_past (struct ms_compare *compare,
                     const struct ms_rollout_evidence *added)
{
  struct ms_rollout_evidence *total = &compare->total;

  for (unsigned i = 0; i < 2; i++)
    {
      total->answers[i] += added->answers[i];
      total->failed[i] += added->failed[i];
      total->timed[i] += added->timed[i];
      total->slow[i] += added->slow[i];
    }
}

void
ms_compare_add (struct ms_compare *compare,
                const struct ms_rollout_evidence *added)
{
  struct stratum *s = find_or_add_stratum (compare, added->route, added->zone);

  ms_compare_add_past (compare, added);
  for (unsigned i = 0; i < 2; i++)
    {
      add_sample (&s->added[MS_COMPARE_FAILED][i], added->answers[i],
                  added->failed[i]);
      add_sample (&s->added[MS_COMPARE_SLOW][i], added->timed[i],
                  added->slow[i]);
    }
}

void
ms_compare_discount (struct ms_compare *compare, uint32_t bad)
{
  compare->discount += bad;
}

/* Remove the answers that do not count.  */
static void
apply_discount (struct ms_compare *compare)
{
  for (unsigned i = 0; i < compare->strata_count; i++)
    for (unsigned kind = 0; kind < MS_COMPARE_KINDS; kind++)
      {
        struct sample *sample = &compare->strata[i].added[kind][0];
        uint32_t removed = sample->bad < compare->discount ? sample->bad
                                                           : compare->discount;

        sample->bad -= removed;
        sample->answers -= removed;
        compare->discount -= removed;
      }
  compare->discount = 0;
}

static void
update_window (struct window *w, const struct sample *added, unsigned part)
{
  uint64_t answers = (uint64_t)added->answers * COUNT;
  uint64_t bad = (uint64_t)added->bad * COUNT;

  if (!answers)
    return;
  w->answers += answers - w->answers / part;
  w->bad += bad - w->bad / part;
}

static void
add_usual (struct usual *sum, const struct stratum *s,
           enum ms_compare_kind kind)
{
  sum->window.answers += s->windows[kind].answers;
  sum->window.bad += s->windows[kind].bad;
  sum->last.answers += s->last[kind].answers;
  sum->last.bad += s->last[kind].bad;
  sum->batch.answers += (uint64_t)s->added[kind][1].answers * COUNT;
  sum->batch.bad += (uint64_t)s->added[kind][1].bad * COUNT;
}

/* Return an upper estimate of the part of bad answers in W, if PRIOR answers
   were as EXPECTED.  It is up to 1.5 standard deviations above the mean, but
   not for a single bad answer, as the others then always have one on some
   route and zone.  */
static int64_t
window_part (const struct window *w, int64_t prior, int64_t expected)
{
  uint64_t deviation = ms_square_root (w->bad * COUNT);
  uint64_t bad
      = w->bad + (deviation > COUNT ? (deviation - COUNT) * 3 / 2 : 0);

  return (int64_t)((bad * (uint64_t)ONE + (uint64_t)(prior * expected) * COUNT)
                   / (w->answers + (uint64_t)prior * COUNT));
}

/* Return the least part of bad answers that is assumed.  */
static int64_t
least_part (const struct ms_compare *compare, enum ms_compare_kind kind)
{
  const struct ms_rollout_evidence *total = &compare->total;
  bool failed = kind == MS_COMPARE_FAILED;
  uint64_t answers = failed ? total->answers[1] : total->timed[1];
  uint64_t bad = failed ? total->failed[1] : total->slow[1];
  int64_t part
      = (int64_t)((bad + ms_square_root (bad) + 1) * ONE / (answers + PRIOR));

  if (part > MOST_LASTING)
    part = MOST_LASTING;
  return part > least_bad[kind] ? part : least_bad[kind];
}

static int64_t
batch_part (const struct window *w)
{
  if (w->bad < BATCH_BAD * COUNT)
    return 0;
  return (int64_t)(w->bad * (uint64_t)ONE
                   / (w->answers + BATCH_PRIOR * COUNT));
}

static const struct window *
first_reliable (const struct window *a, const struct window *b,
                const struct window *c)
{
  if (a->answers >= MIN_ANSWERS * COUNT)
    return a;
  return b->answers >= MIN_ANSWERS * COUNT ? b : c;
}

/* Return the part of answers that a version as good as the others would answer
   badly now, on the route and zone of S.  */
static int64_t
usual_part (const struct ms_compare *compare, const struct stratum *s,
            enum ms_compare_kind kind)
{
  struct usual own = { 0 };
  struct usual route = { 0 };
  struct usual all = { 0 };
  int64_t least = least_part (compare, kind);
  int64_t part;
  int64_t now;

  add_usual (&own, s, kind);
  for (unsigned i = 0; i < compare->strata_count; i++)
    {
      const struct stratum *other = &compare->strata[i];

      add_usual (&all, other, kind);
      if (other->route == s->route)
        add_usual (&route, other, kind);
    }
  part = window_part (&all.window, PRIOR, ONE / PRIOR);
  part = window_part (&route.window, PART_PRIOR, part);
  part = window_part (&own.window, PART_PRIOR, part);
  if (all.batch.answers >= MIN_ANSWERS * COUNT)
    now = batch_part (first_reliable (&own.batch, &route.batch, &all.batch));
  else
    now = batch_part (first_reliable (&own.last, &route.last, &all.last));
  if (part < now)
    part = now;
  if (all.batch.answers < MIN_ANSWERS * COUNT)
    part += part / UNCERTAIN_PART;
  if (part < least)
    part = least;
  return part > MOST_BAD ? MOST_BAD : part;
}

/* Add what SAMPLE says of a version that is to be worse than USUAL by each
   step to SUMS.  */
static void
add_ratios (int64_t sums[STEPS], const struct sample *sample, int64_t usual)
{
  for (unsigned i = 0; i < STEPS; i++)
    {
      int64_t worse = usual + steps[i] * (ONE - usual) / ONE;
      int64_t bad = ms_log2 ((uint64_t)worse) - ms_log2 ((uint64_t)usual);
      int64_t good = ms_log2 ((uint64_t)(ONE - worse))
                     - ms_log2 ((uint64_t)(ONE - usual));

      sums[i] += sample->bad * bad
                 + (int64_t)(sample->answers - sample->bad) * good;
    }
}

/* Evaluate the answers of KIND.  */
static void
step_kind (struct ms_compare *compare, enum ms_compare_kind kind)
{
  for (unsigned i = 0; i < compare->strata_count; i++)
    {
      struct stratum *s = &compare->strata[i];

      update_window (&s->windows[kind], &s->added[kind][1], WINDOW_PART);
      update_window (&s->last[kind], &s->added[kind][1], LAST_PART);
    }
  for (unsigned i = 0; i < compare->strata_count; i++)
    {
      struct stratum *s = &compare->strata[i];
      const struct sample *sample = &s->added[kind][0];
      struct scope *scope;
      int64_t usual;

      if (!sample->answers)
        continue;
      usual = usual_part (compare, s, kind);
      add_ratios (compare->scopes[0].sums[kind], sample, usual);
      scope = find_or_add_scope (compare, s->route);
      if (scope)
        add_ratios (scope->sums[kind], sample, usual);
    }
  for (unsigned i = 0; i < compare->scopes_count; i++)
    for (unsigned j = 0; j < STEPS; j++)
      {
        int64_t *sum = &compare->scopes[i].sums[kind][j];

        if (*sum < 0)
          *sum = 0;
        else if (*sum > 2 * THRESHOLD)
          *sum = 2 * THRESHOLD;
      }
}

bool
ms_compare_step (struct ms_compare *compare)
{
  if (++compare->steps % BATCH_STEPS)
    return false;
  apply_discount (compare);
  step_kind (compare, MS_COMPARE_FAILED);
  step_kind (compare, MS_COMPARE_SLOW);
  for (unsigned i = 0; i < compare->strata_count; i++)
    memset (compare->strata[i].added, 0, sizeof compare->strata[i].added);
  return true;
}

void
ms_compare_reset (struct ms_compare *compare)
{
  for (unsigned i = 0; i < compare->scopes_count; i++)
    memset (compare->scopes[i].sums, 0, sizeof compare->scopes[i].sums);
  for (unsigned i = 0; i < compare->strata_count; i++)
    for (unsigned kind = 0; kind < MS_COMPARE_KINDS; kind++)
      compare->strata[i].added[kind][0] = (struct sample){ 0 };
}

int64_t
ms_compare_score (const struct ms_compare *compare, enum ms_compare_kind kind)
{
  int64_t most = 0;

  for (unsigned i = 0; i < compare->scopes_count; i++)
    for (unsigned j = 0; j < STEPS; j++)
      if (compare->scopes[i].sums[kind][j] > most)
        most = compare->scopes[i].sums[kind][j];
  return most * MS_COMPARE_BAD / THRESHOLD;
}

const struct ms_rollout_evidence *
ms_compare_total (const struct ms_compare *compare)
{
  return &compare->total;
}

uint64_t
ms_compare_expected (const struct ms_compare *compare, uint32_t count)
{
  uint64_t part = 0;

  for (unsigned kind = 0; kind < MS_COMPARE_KINDS; kind++)
    {
      struct usual all = { 0 };

      for (unsigned i = 0; i < compare->strata_count; i++)
        add_usual (&all, &compare->strata[i], kind);
      if (all.window.answers)
        part += all.window.bad * (uint64_t)ONE / all.window.answers;
    }
  return count * part;
}

bool
ms_compare_is_pending_bad (const struct ms_compare *compare)
{
  uint64_t answers = 0;
  uint64_t bad = 0;

  for (unsigned i = 0; i < compare->strata_count; i++)
    {
      const struct stratum *s = &compare->strata[i];

      answers += s->added[MS_COMPARE_FAILED][0].answers;
      for (unsigned kind = 0; kind < MS_COMPARE_KINDS; kind++)
        bad += s->added[kind][0].bad;
    }
  if (answers > UINT32_MAX)
    answers = UINT32_MAX;
  return bad > PENDING_BAD
         && (bad - PENDING_BAD) * (uint64_t)ONE
                > PENDING_FACTOR
                      * ms_compare_expected (compare, (uint32_t)answers);
}

#include "fleet/rollouts.h"

#include <math.h>
#include <string.h>

/* In a digest: the age of the order is not known.  */
#define AGE_UNKNOWN UINT32_MAX

/* Largest ratio of measured to predicted time that is believed, as its
   logarithm.  */
#define MAX_LOG_RATIO 10.0f

static void
fill_evidence (digest_evidence *out, const struct ms_rollout_evidence *e)
{
  *out = (digest_evidence){
    .route = e->route,
    .zone = e->zone,
    .answers = e->answers[0],
    .failed = e->failed[0],
    .slow = e->slow[0],
    .other_answers = e->answers[1],
    .other_failed = e->failed[1],
    .other_slow = e->slow[1],
    .timed = e->timed,
    .log_ratio = e->log_ratio,
  };
}

static uint32_t
encode_age (ms_time age, ms_time elapsed)
{
  ms_time ms = (age + elapsed) / MS_MSEC;

  if (age < 0)
    return AGE_UNKNOWN;
  return ms < AGE_UNKNOWN ? (uint32_t)ms : AGE_UNKNOWN - 1;
}

void
ms_rollout_list_fill (struct ms_rollout_list *list,
                      const struct ms_rollout_report *reports, unsigned count,
                      ms_time elapsed)
{
  list->count = count < DIGEST_ROLLOUTS ? count : DIGEST_ROLLOUTS;
  for (unsigned i = 0; i < list->count; i++)
    {
      const struct ms_rollout_report *r = &reports[i];

      for (unsigned j = 0; j < r->strata_count; j++)
        fill_evidence (&list->evidence[i][j], &r->strata[j]);
      for (unsigned j = 0; j < r->suspects_count; j++)
        list->suspects[i][j]
            = (digest_suspect){ r->suspects[j].endpoint,
                                r->suspects[j].answers, r->suspects[j].bad };
      list->rollouts[i] = (digest_rollout){
        .service = r->service,
        .order = r->order,
        .software = r->version,
        .age = encode_age (r->age, elapsed),
        .phase = r->phase,
        .confirmed = r->confirmed,
        .sent = r->sent[0],
        .other_sent = r->sent[1],
        .running_old = r->running_old,
        .evidence = { r->strata_count, list->evidence[i] },
        .suspects = { r->suspects_count, list->suspects[i] },
      };
    }
}

static uint32_t
least (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

static void
read_evidence (const digest_evidence *in, struct ms_rollout_evidence *e)
{
  *e = (struct ms_rollout_evidence){
    .route = in->route,
    .zone = in->zone,
    .answers = { in->answers, in->other_answers },
    .failed = { least (in->failed, in->answers),
                least (in->other_failed, in->other_answers) },
    .slow = { least (in->slow, in->answers),
              least (in->other_slow, in->other_answers) },
    .timed = least (in->timed, in->other_answers),
    .log_ratio = isfinite (in->log_ratio) ? fmaxf (
                     -MAX_LOG_RATIO, fminf (in->log_ratio, MAX_LOG_RATIO))
                                          : 0,
  };
}

unsigned
ms_rollout_list_read (const digest_rollout *rollouts, unsigned count,
                      struct ms_rollout_report *reports)
{
  unsigned used = 0;

  for (unsigned i = 0; i < count && used < MS_ROLLOUTS; i++)
    {
      const digest_rollout *in = &rollouts[i];
      struct ms_rollout_report *r = &reports[used];

      if (in->phase == MS_ROLLOUT_NONE || in->phase > MS_ROLLOUT_ROLLED_BACK)
        continue;
      used++;
      memset (r, 0, sizeof *r);
      r->service = in->service;
      r->order = in->order;
      r->version = in->software;
      r->age = in->age == AGE_UNKNOWN ? -1 : in->age * MS_MSEC;
      r->phase = in->phase;
      r->confirmed = in->confirmed;
      r->sent[0] = in->sent;
      r->sent[1] = in->other_sent;
      r->running_old = in->running_old;
      r->strata_count = least (in->evidence.evidence_len, MS_ROLLOUT_STRATA);
      for (unsigned j = 0; j < r->strata_count; j++)
        read_evidence (&in->evidence.evidence_val[j], &r->strata[j]);
      r->suspects_count
          = least (in->suspects.suspects_len, MS_ROLLOUT_SUSPECTS);
      for (unsigned j = 0; j < r->suspects_count; j++)
        {
          const digest_suspect *s = &in->suspects.suspects_val[j];

          r->suspects[j]
              = (struct ms_rollout_suspect){ s->endpoint, s->answers,
                                             least (s->bad, s->answers) };
        }
    }
  return used;
}

static struct ms_rollout_report *
find_report (struct ms_rollout_report *reports, unsigned count,
             const struct ms_rollout_report *report)
{
  for (unsigned i = 0; i < count; i++)
    if (reports[i].service == report->service
        && reports[i].order == report->order)
      return &reports[i];
  return NULL;
}

void
ms_rollout_reports_add (struct ms_rollout_report *reports, unsigned *count,
                        const struct ms_rollout_report *report,
                        ms_time elapsed)
{
  struct ms_rollout_report *sum = find_report (reports, *count, report);
  struct ms_rollout_report now = *report;

  if (now.age >= 0)
    now.age += elapsed;
  if (sum)
    ms_rollouts_add_report (sum, &now);
  else if (*count < MS_ROLLOUTS)
    reports[(*count)++] = now;
}

static void
grow_to (uint32_t *count, uint32_t other)
{
  if (*count < other)
    *count = other;
}

/* Raise the counts of the evidence of R to those of OLD on the same route and
   in the same zone.  */
static void
keep_evidence (struct ms_rollout_report *r,
               const struct ms_rollout_evidence *old)
{
  struct ms_rollout_evidence *e = r->strata;
  struct ms_rollout_evidence *end = e + r->strata_count;

  while (e < end && (e->route != old->route || e->zone != old->zone))
    e++;
  if (e == end)
    {
      if (r->strata_count < MS_ROLLOUT_STRATA)
        r->strata[r->strata_count++] = *old;
      return;
    }
  for (unsigned i = 0; i < 2; i++)
    {
      grow_to (&e->answers[i], old->answers[i]);
      grow_to (&e->failed[i], old->failed[i]);
      grow_to (&e->slow[i], old->slow[i]);
    }
  if (e->timed < old->timed)
    {
      e->timed = old->timed;
      e->log_ratio = old->log_ratio;
    }
}

/* The same for an endpoint.  */
static void
keep_suspect (struct ms_rollout_report *r,
              const struct ms_rollout_suspect *old)
{
  struct ms_rollout_suspect *s = r->suspects;
  struct ms_rollout_suspect *end = s + r->suspects_count;

  while (s < end && s->endpoint != old->endpoint)
    s++;
  if (s < end)
    {
      grow_to (&s->answers, old->answers);
      grow_to (&s->bad, old->bad);
    }
  else if (r->suspects_count < MS_ROLLOUT_SUSPECTS)
    r->suspects[r->suspects_count++] = *old;
}

void
ms_rollout_reports_update (struct ms_rollout_report *reports, unsigned *count,
                           const struct ms_rollout_report *update)
{
  struct ms_rollout_report *known = find_report (reports, *count, update);
  struct ms_rollout_report r = *update;

  for (unsigned i = 0; !known && i < *count; i++)
    if (reports[i].service == update->service)
      known = &reports[i];
  if (!known)
    {
      if (*count < MS_ROLLOUTS)
        reports[(*count)++] = r;
      return;
    }
  if (known->order == r.order)
    {
      grow_to (&r.sent[0], known->sent[0]);
      grow_to (&r.sent[1], known->sent[1]);
      for (unsigned i = 0; i < known->strata_count; i++)
        keep_evidence (&r, &known->strata[i]);
      for (unsigned i = 0; i < known->suspects_count; i++)
        keep_suspect (&r, &known->suspects[i]);
    }
  *known = r;
}

#include "fleet/rollouts.h"

#include <string.h>

/* In a digest: the age of the order is not known.  */
#define AGE_UNKNOWN UINT32_MAX

static void
fill_evidence (digest_evidence *out, const struct ms_rollout_evidence *e)
{
  *out = (digest_evidence){
    .route = e->route,
    .zone = e->zone,
    .answers = e->answers[0],
    .failed = e->failed[0],
    .timed = e->timed[0],
    .slow = e->slow[0],
    .other_answers = e->answers[1],
    .other_failed = e->failed[1],
    .other_timed = e->timed[1],
    .other_slow = e->slow[1],
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
        .routers = r->routers,
        .unmoved = r->unmoved,
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
    .failed = { in->failed, in->other_failed },
    .timed = { in->timed, in->other_timed },
    .slow = { in->slow, in->other_slow },
    .log_ratio = in->log_ratio,
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
      r->routers = in->routers;
      r->unmoved = in->unmoved;
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
  if (!sum)
    {
      if (*count == MS_ROLLOUTS)
        return;
      sum = &reports[*count];
      memset (sum, 0, sizeof *sum);
    }
  ms_rollouts_add_report (sum, &now);
  /* One that contradicts itself was not added.  */
  if (sum == &reports[*count] && sum->service)
    ++*count;
}

#include "fleet/engines.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Digests without speeds after which a sender has none any more.  */
#define MAX_MISSED (3 * MS_ENGINE_DIGESTS)

void
ms_engine_list_read (struct ms_engine_list **list,
                     const digest_engine *engines, unsigned engines_count,
                     const digest_engine_service *services,
                     unsigned services_count)
{
  if (!engines_count && !services_count)
    {
      if (*list && ++(*list)->missed > MAX_MISSED)
        {
          free (*list);
          *list = NULL;
        }
      return;
    }
  if (!*list)
    *list = ms_new (sizeof **list);
  (*list)->missed = 0;
  (*list)->engines_count = (*list)->services_count = 0;
  ms_engine_list_add (*list, engines, engines_count, services, services_count);
}

/* Replace the fastest answer, TOKENS in MS, by that of OTHER if it shows a
   higher speed.  */
static void
take_fastest (float *tokens, float *ms, float other_tokens, float other_ms)
{
  if (other_ms > 0 && (*ms <= 0 || other_tokens * *ms > *tokens * other_ms))
    {
      *tokens = other_tokens;
      *ms = other_ms;
    }
}

static void
add_engine (struct ms_engine_list *list, const digest_engine *e)
{
  digest_engine *sum;
  unsigned i = 0;

  while (i < list->engines_count
         && (list->engines[i].endpoint != e->endpoint
             || list->engines[i].start != e->start))
    i++;
  if (i == DIGEST_ENGINES)
    return;
  sum = &list->engines[i];
  if (i == list->engines_count)
    {
      list->engines_count++;
      *sum = *e;
      return;
    }
  sum->read += e->read;
  take_fastest (&sum->fastest_tokens, &sum->fastest_ms, e->fastest_tokens,
                e->fastest_ms);
  sum->pace_samples += e->pace_samples;
  sum->pace_expected += e->pace_expected;
  sum->pace_ms += e->pace_ms;
}

static void
add_service (struct ms_engine_list *list, const digest_engine_service *s)
{
  digest_engine_service *sum;
  unsigned i = 0;

  while (i < list->services_count && list->services[i].service != s->service)
    i++;
  if (i == DIGEST_ENGINE_SERVICES)
    return;
  sum = &list->services[i];
  if (i == list->services_count)
    {
      list->services_count++;
      *sum = *s;
      return;
    }
  for (unsigned j = 0; j < DIGEST_BINS; j++)
    {
      sum->bins[j].count += s->bins[j].count;
      take_fastest (&sum->bins[j].fastest_tokens, &sum->bins[j].fastest_ms,
                    s->bins[j].fastest_tokens, s->bins[j].fastest_ms);
    }
  for (unsigned j = 0; j < DIGEST_WAIT_SUMS; j++)
    sum->wait[j] += s->wait[j];
  for (unsigned j = 0; j < DIGEST_PACE_SUMS; j++)
    sum->pace[j] += s->pace[j];
}

void
ms_engine_list_add (struct ms_engine_list *list, const digest_engine *engines,
                    unsigned engines_count,
                    const digest_engine_service *services,
                    unsigned services_count)
{
  for (unsigned i = 0; i < engines_count; i++)
    add_engine (list, &engines[i]);
  for (unsigned i = 0; i < services_count; i++)
    add_service (list, &services[i]);
}

#include "place/engines.h"

#include <string.h>

_Static_assert(DIGEST_BINS == MS_ENGINE_BINS, "Digests have all bins");
_Static_assert(DIGEST_WAIT_SUMS == MS_ENGINE_WAIT_SUMS, "and all sums");
_Static_assert(DIGEST_PACE_SUMS == MS_ENGINE_PACE_SUMS, "and all sums");

void
ms_engines_fill (const struct ms_place *place, struct ms_engine_list *list)
{
  struct ms_engine_report engines[DIGEST_ENGINES];
  struct ms_engine_service_report services[DIGEST_ENGINE_SERVICES];

  list->engines_count
      = ms_place_report_engines (place, engines, DIGEST_ENGINES);
  list->services_count
      = ms_place_report_services (place, services, DIGEST_ENGINE_SERVICES);
  for (unsigned i = 0; i < list->engines_count; i++)
    {
      const struct ms_engine_share *s = &engines[i].share;

      list->engines[i] = (digest_engine){
        engines[i].endpoint, engines[i].start, s->read,
        s->fastest.tokens,   s->fastest.ms,    s->pace_samples,
        s->pace_expected,    s->pace_ms,
      };
    }
  for (unsigned i = 0; i < list->services_count; i++)
    {
      const struct ms_engine_service_report *s = &services[i];
      digest_engine_service *d = &list->services[i];

      d->service = s->service;
      for (unsigned j = 0; j < DIGEST_BINS; j++)
        d->bins[j] = (digest_bin){ s->bins[j].count, s->bins[j].fastest.tokens,
                                   s->bins[j].fastest.ms };
      memcpy (d->wait, s->sums.wait, sizeof d->wait);
      memcpy (d->pace, s->sums.pace, sizeof d->pace);
    }
}

void
ms_engines_add_others (struct ms_place *place,
                       const struct ms_engine_list *list)
{
  for (unsigned i = 0; i < list->engines_count; i++)
    {
      const digest_engine *d = &list->engines[i];
      const struct ms_engine_report report = {
        d->endpoint,
        d->start,
        { d->read,
          { d->fastest_tokens, d->fastest_ms },
          d->pace_samples,
          d->pace_expected,
          d->pace_ms },
      };

      ms_place_add_others_engine (place, &report);
    }
  for (unsigned i = 0; i < list->services_count; i++)
    {
      const digest_engine_service *d = &list->services[i];
      struct ms_engine_service_report report = { .service = d->service };

      for (unsigned j = 0; j < DIGEST_BINS; j++)
        report.bins[j] = (struct ms_engine_bin){ d->bins[j].count,
                                                 { d->bins[j].fastest_tokens,
                                                   d->bins[j].fastest_ms } };
      memcpy (report.sums.wait, d->wait, sizeof d->wait);
      memcpy (report.sums.pace, d->pace, sizeof d->pace);
      ms_place_add_others_service (place, &report);
    }
}

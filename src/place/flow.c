#include "place/flow.h"

#define PER_THOUSAND 1000

/* In a digest: the endpoint names no limit, and no answer of it came.  */
#define NO_LIMIT UINT32_MAX
#define NO_ANSWER UINT32_MAX

struct rate_list
{
  ms_time now;
  digest_rate *rates;
  unsigned count;
  unsigned space;
};

static void
collect_rate (void *context, struct ms_endpoint_state *e)
{
  struct rate_list *list = context;
  struct ms_rate_report report;

  if (list->count == list->space
      || !ms_place_report_rate (e, list->now, &report))
    return;
  list->rates[list->count++] = (digest_rate){
    .endpoint = e->id,
    .limit
    = report.limit < 0 ? NO_LIMIT : (unsigned)(report.limit * PER_THOUSAND),
    .age = report.told_at ? (unsigned)((list->now - report.told_at) / MS_MSEC)
                          : NO_ANSWER,
    .sent = report.sent,
  };
}

unsigned
ms_flow_rates (struct ms_place *place, ms_time now, digest_rate *rates,
               unsigned space)
{
  struct rate_list list = { .now = now, .rates = rates, .space = space };

  ms_place_each (place, collect_rate, &list);
  return list.count;
}

unsigned
ms_flow_demands (const struct ms_place *place, ms_time now,
                 digest_demand *demands, unsigned space)
{
  struct ms_demand list[DIGEST_DEMANDS];
  unsigned count = ms_place_demands (
      place, now, list, space < DIGEST_DEMANDS ? space : DIGEST_DEMANDS);

  for (unsigned i = 0; i < count; i++)
    demands[i] = (digest_demand){ list[i].service, list[i].arrived };
  return count;
}

void
ms_flow_add_others (struct ms_place *place, const digest_rate *rates,
                    unsigned rates_count, const digest_demand *demands,
                    unsigned demands_count, ms_time heard, ms_time now)
{
  bool silent = now - heard > MS_REPORT_DELAY;

  for (unsigned i = 0; i < rates_count; i++)
    {
      const digest_rate *r = &rates[i];
      const struct ms_rate_report report = {
        .limit = r->limit == NO_LIMIT ? -1 : (double)r->limit / PER_THOUSAND,
        .told_at = r->age == NO_ANSWER ? 0 : heard - r->age * MS_MSEC,
        .sent = r->sent,
      };

      ms_place_add_others_rate (place, r->endpoint, &report, silent);
    }
  for (unsigned i = 0; i < demands_count; i++)
    {
      const struct ms_demand demand
          = { demands[i].service, demands[i].arrived };

      ms_place_add_others_demand (place, &demand, silent);
    }
}

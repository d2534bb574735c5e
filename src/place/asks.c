#include "place/internal.h"

/* An answer is recent for this time.  It bounds what an endpoint that becomes
   cold gets before its limit acts.  */
#define ASK_PERIOD (200 * MS_MSEC)

/* By how much later the next router in an endpoint's order asks it.  By then
   digests have brought the answer that the one before got.  */
#define ASK_STEP (100 * MS_MSEC)
#define MAX_ASK_STEPS 3

/* How long answers are reported, so that lost digests do no harm.  */
#define REPORT_TIME (1 * MS_SEC)

bool
ms_place_asks (const struct ms_place *place, const struct ms_endpoint_state *e,
               ms_time doubted_since, ms_time now)
{
  const struct ms_service_entry *service
      = place->routes ? ms_routes_service (place->routes, e->entry.service)
                      : NULL;
  unsigned recent;
  unsigned rank;
  ms_time due = e->cold_told_at + ASK_PERIOD;

  if (!service || service->cold_rate <= 0 || now < e->cold_until
      || !ms_place_in_service (place, e))
    return false;
  if (due < doubted_since)
    due = doubted_since;
  if (now < due)
    return false;
  recent = ms_cold_recent (e, now);
  /* While the number of routers is not known, the share is nothing.  */
  if (!recent
      || (place->routers_count
          && (double)recent * place->routers_count
                 <= ms_cold_bound (place, service->cold_rate)))
    return false;
  rank = ms_cold_rank (place, e);
  return now
         >= due
                + ASK_STEP
                      * (ms_time)(rank < MAX_ASK_STEPS ? rank : MAX_ASK_STEPS);
}

/* E said that it stays cold for COLD_FOR from NOW on, when it was asked at
   ASKED_AT.  */
static void
take_answer (struct ms_endpoint_state *e, ms_time cold_for, ms_time asked_at,
             ms_time now)
{
  if (asked_at > e->cold_told_at)
    e->cold_told_at = asked_at;
  if (cold_for > 0 && now + cold_for > e->cold_until)
    e->cold_until = now + cold_for;
}

void
ms_place_note_cold (struct ms_endpoint_state *e, ms_time cold_for,
                    ms_time asked_at, ms_time now)
{
  take_answer (e, cold_for, asked_at, now);
  e->cold_asked_at = asked_at;
}

unsigned
ms_place_report_cold (const struct ms_place *place,
                      struct ms_cold_report *reports, unsigned size,
                      ms_time now)
{
  unsigned count = 0;

  for (int cold = 1; cold >= 0; cold--)
    for (unsigned i = 0; i < place->count && count < size; i++)
      {
        const struct ms_endpoint_state *e = place->endpoints[i];
        ms_time left = e->cold_until > now ? e->cold_until - now : 0;

        if (!e->cold_asked_at || (left > 0) != cold
            || (!left && now - e->cold_asked_at > REPORT_TIME))
          continue;
        reports[count++]
            = (struct ms_cold_report){ e->id, left, now - e->cold_asked_at };
      }
  return count;
}

void
ms_place_merge_cold (struct ms_place *place,
                     const struct ms_cold_report *report, ms_time now)
{
  struct ms_endpoint_state *e = ms_place_find (place, report->endpoint);

  if (e)
    take_answer (e, report->cold_for, now - report->age, now);
}

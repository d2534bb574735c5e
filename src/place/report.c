#include "place/internal.h"

/* What endpoints report of their own load in their answers.  */

/* Slow phases last about this long, so a figure that is AGE old is still true
   with the probability 1 - AGE / PHASE_TIME.  */
#define PHASE_TIME (600 * MS_MSEC)

void
ms_place_note_load (struct ms_endpoint_state *e,
                    const struct ms_load_report *report, ms_time now)
{
  e->report = *report;
  e->reported_at = now;
}

double
ms_report_factor (const struct ms_place *place,
                  const struct ms_endpoint_state *e,
                  const struct ms_service_entry *service, ms_time now)
{
  ms_time age = now - e->reported_at;

  if (!place->options.use_reports || service->model || !e->reported_at
      || e->report.work_time <= 0 || age < 0 || age >= PHASE_TIME)
    return 1;
  return 1
         + (e->report.work_time / MS_USUAL_WORK_TIME - 1)
               * (1 - (double)age / PHASE_TIME);
}

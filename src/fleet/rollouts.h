#ifndef FLEET_ROLLOUTS_H
#define FLEET_ROLLOUTS_H

#include "fleet/digest.h"
#include "rollout/rollout.h"

/* Reports of rollouts in digests, of routers and of zones.  */

/* Reports in the form in which digests have them.  */
struct ms_rollout_list
{
  unsigned count;
  digest_rollout rollouts[DIGEST_ROLLOUTS];
  digest_evidence evidence[DIGEST_ROLLOUTS][DIGEST_EVIDENCE];
  digest_suspect suspects[DIGEST_ROLLOUTS][DIGEST_SUSPECTS];
};

/* Fill LIST with the COUNT REPORTS, which are ELAPSED old; those beyond its
   space are left out.  */
void ms_rollout_list_fill (struct ms_rollout_list *list,
                           const struct ms_rollout_report *reports,
                           unsigned count, ms_time elapsed);

/* Decode COUNT ROLLOUTS of a digest into REPORTS, which has space for
   MS_ROLLOUTS; ms_rollouts_merge checks their values.  Return the number of
   reports.  */
unsigned ms_rollout_list_read (const digest_rollout *rollouts, unsigned count,
                               struct ms_rollout_report *reports);

/* Add REPORT, which is ELAPSED old, to the entry of its order among the *COUNT
   REPORTS, which have space for MS_ROLLOUTS; dropped if there is none.  */
void ms_rollout_reports_add (struct ms_rollout_report *reports,
                             unsigned *count,
                             const struct ms_rollout_report *report,
                             ms_time elapsed);

#endif

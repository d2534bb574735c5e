#include "fair/internal.h"

/* Cost units that each waiting team gets in a round of the deficit policy,
   times its weight.  */
#define DEFICIT_QUANTUM 100

/* Weighted fair sharing over the fleet: the team with the lowest counter; on a
   tie, the one that has waited longest.  */
static size_t
pick_fair (struct ms_fair *fair, const struct ms_candidate *candidates,
           size_t count)
{
  size_t best = 0;
  double lowest = ms_fair_counter (fair, candidates[0].team);

  for (size_t i = 1; i < count; i++)
    {
      double value = ms_fair_counter (fair, candidates[i].team);

      if (value > lowest
          || (value == lowest
              && candidates[i].waiting_since
                     >= candidates[best].waiting_since))
        continue;
      best = i;
      lowest = value;
    }
  return best;
}

/* The team that has waited longest, whatever it has received.  */
static size_t
pick_first_come (struct ms_fair *fair, const struct ms_candidate *candidates,
                 size_t count)
{
  size_t best = 0;

  (void)fair;
  for (size_t i = 1; i < count; i++)
    if (candidates[i].waiting_since < candidates[best].waiting_since)
      best = i;
  return best;
}

/* Weighted deficit round robin on estimated costs: the team with the most
   units left in this round.  If none has any left, a new round begins.  Only
   requests that this router granted are taken into account.  */
static size_t
pick_deficit (struct ms_fair *fair, const struct ms_candidate *candidates,
              size_t count)
{
  size_t best = 0;

  for (size_t i = 1; i < count; i++)
    if (ms_fair_account (fair, candidates[i].team)->deficit
        > ms_fair_account (fair, candidates[best].team)->deficit)
      best = i;
  if (ms_fair_account (fair, candidates[best].team)->deficit <= 0)
    for (size_t i = 0; i < count; i++)
      {
        struct account *a = ms_fair_account (fair, candidates[i].team);

        a->deficit += (double)DEFICIT_QUANTUM * a->weight;
      }
  ms_fair_account (fair, candidates[best].team)->deficit
      -= ms_fair_estimate (fair, candidates[best].team, 0);
  return best;
}

const struct ms_policy *
ms_policy (enum ms_policy_name name)
{
  static const struct ms_policy policies[]
      = { [MS_POLICY_FAIR] = { "fair", pick_fair },
          [MS_POLICY_FIRST_COME] = { "first_come", pick_first_come },
          [MS_POLICY_DEFICIT] = { "deficit", pick_deficit } };

  return &policies[name];
}

#include "place/internal.h"

#include <string.h>

/* Penalties of an endpoint, in milliseconds of time to the first token: for an
   error rate of 1, for another availability zone than the router's, for each
   running request, and for each token of shared parts that another endpoint
   holds in cache, or that the bytes between zones are worth.  */
#define ERROR_PENALTY_MS 2000.0
#define OTHER_ZONE_PENALTY_MS 3.0
#define RUNNING_PENALTY_MS 0.5
#define TOKEN_PENALTY_MS 0.2

/* Penalty of the second home.  It is preferred to the first only if its score
   without this penalty is lower by more than this.  */
#define SECOND_HOME_PENALTY_MS 150.0

/* Policy "prefix": least expected time to the first token, with penalties that
   keep each shared part on few endpoints.  */
static double
score_prefix (const struct ms_place *place, const struct ms_endpoint_state *e,
              const struct ms_fit *fit)
{
  return (double)fit->expected / MS_MSEC
         + TOKEN_PENALTY_MS * (fit->duplicate + fit->crossing)
         + (fit->home == 2 ? SECOND_HOME_PENALTY_MS : 0)
         + ERROR_PENALTY_MS * fit->errors
         + RUNNING_PENALTY_MS * (e->own.running + e->others.running)
         + (e->entry.zone == place->options.zone ? 0 : OTHER_ZONE_PENALTY_MS);
}

/* Policy "least_in_flight": fewest running requests.  */
static double
score_least_in_flight (const struct ms_place *place,
                       const struct ms_endpoint_state *e,
                       const struct ms_fit *fit)
{
  (void)place;
  (void)fit;
  return e->own.running + e->others.running;
}

const struct ms_place_policy *
ms_place_policy (const char *name)
{
  static const struct ms_place_policy policies[]
      = { { "prefix", score_prefix },
          { "least_in_flight", score_least_in_flight } };

  for (size_t i = 0; i < sizeof policies / sizeof *policies; i++)
    if (strcmp (policies[i].name, name) == 0)
      return &policies[i];
  return NULL;
}

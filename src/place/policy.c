#include "place/internal.h"

#include <string.h>

/* What a chance of failure of 1, another zone, a request that runs there, and
   a token of a shared part that is read again are worth, in milliseconds until
   the first token.  */
#define ERROR_MS 2000.0
#define OTHER_ZONE_MS 3.0
#define RUNNING_MS 0.5
#define AGAIN_MS 0.2

/* The second home is taken when the first is that much slower.  */
#define SECOND_HOME_MS 150.0

/* Time to the first token, with shared parts kept on few endpoints.  */
static double
score_prefix (const struct ms_place *place, const struct ms_endpoint_state *e,
              const struct ms_fit *fit)
{
  return (double)fit->expected / MS_MSEC + AGAIN_MS * fit->again
         + (fit->home == 2 ? SECOND_HOME_MS : 0) + ERROR_MS * e->error_rate
         + RUNNING_MS * (e->own.running + e->others.running)
         + (e->entry.zone == place->options.zone ? 0 : OTHER_ZONE_MS);
}

static double
score_least (const struct ms_place *place, const struct ms_endpoint_state *e,
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
      = { { "prefix", score_prefix }, { "least_in_flight", score_least } };

  for (size_t i = 0; i < sizeof policies / sizeof *policies; i++)
    if (strcmp (policies[i].name, name) == 0)
      return &policies[i];
  return NULL;
}

#include "place/internal.h"

#include <string.h>

/* Milliseconds that a chance of failure of 1, another zone, and a step of the
   order of a part's endpoints are worth.  */
#define ERROR_MS 2000.0
#define OTHER_ZONE_MS 3.0
#define RUNNING_MS 0.5

/* Spreads a part's first sends over endpoints in the same way everywhere.  */
#define SPREAD_MS 40.0

static double
spread (const struct ms_endpoint_state *e, const struct ms_offer *offer)
{
  uint64_t part;

  if (offer->parts_count < 2)
    return 0;
  part = offer->parts[offer->parts_count - 2].id;
  return SPREAD_MS * (double)(ms_id_pair (e->id, part) >> 11)
         / (double)(UINT64_C (1) << 53);
}

/* Time to the first token, with shared parts kept on few endpoints.  */
static double
score_prefix (const struct ms_place *place, const struct ms_endpoint_state *e,
              const struct ms_offer *offer, uint32_t uncached,
              ms_time expected)
{
  (void)uncached;
  return (double)expected / MS_MSEC + e->error_rate * ERROR_MS
         + RUNNING_MS * (e->own.running + e->others.running)
         + (e->entry.zone == place->options.zone ? 0 : OTHER_ZONE_MS)
         + spread (e, offer);
}

static double
score_least (const struct ms_place *place, const struct ms_endpoint_state *e,
             const struct ms_offer *offer, uint32_t uncached, ms_time expected)
{
  (void)place;
  (void)offer;
  (void)uncached;
  (void)expected;
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

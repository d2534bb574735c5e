#include "place/internal.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"

/* Plain endpoints that fail much more often than the others of their service.
   They get requests that may be repeated as probes, others only where nothing
   else takes them.  What fails at all endpoints alike is not held against any
   of them.  */

/* An endpoint fails much more often than the others if its rate of errors is
   at least RATE_FACTOR times the mean rate of the others, and at least
   PROBED_RATE, above which it is for 7 s after a single failure.  From
   AVOIDED_RATE on, which two failures in succession reach, it gets only probes
   while others take the requests.  A rate up to NEGLIGIBLE_RATE above the mean
   of the others is ignored, so that an endpoint that failed is used again also
   at a router without probes.  */
#define RATE_FACTOR 3.0
#define PROBED_RATE 0.05
#define AVOIDED_RATE 0.18
#define NEGLIGIBLE_RATE 0.01

/* A router probes one such endpoint of a service at a time: after this time at
   the earliest, and with one in PROBE_REQUESTS of the service's requests.  A
   probe that fails costs a retry.  */
#define PROBE_PERIOD (1 * MS_SEC)
#define PROBE_REQUESTS 10

/* Weight of an answer in the exponential mean of errors, and that of a good
   answer of an endpoint that failed much more often than the others: three
   good probes show that it works again.  */
#define ERROR_WEIGHT 0.1
#define RECOVERY_WEIGHT 0.7

struct ms_probes
{
  uint64_t service;
  unsigned sent; /* Requests for the service since the last probe.  */
  ms_time at;    /* Of the last probe.  */
  UT_hash_handle hh;
};

static struct ms_probes *
find_probes (const struct ms_place *place, uint64_t service)
{
  struct ms_probes *probes;

  HASH_FIND (hh, place->probes, &service, sizeof service, probes);
  return probes;
}

static bool
is_plain (const struct ms_place *place, uint64_t service)
{
  const struct ms_service_entry *entry
      = place->routes ? ms_routes_service (place->routes, service) : NULL;

  return entry && !entry->model;
}

void
ms_errors_sum (const struct ms_place *place, uint64_t service,
               struct ms_errors *errors)
{
  *errors = (struct ms_errors){ 0 };
  if (!is_plain (place, service))
    return;
  for (unsigned i = 0; i < place->count; i++)
    if (place->endpoints[i]->listed
        && place->endpoints[i]->entry.service == service)
      {
        errors->sum += place->endpoints[i]->error_rate;
        errors->count++;
      }
}

/* Return the mean rate of the endpoints of ERRORS other than E.  */
static double
others_rate (const struct ms_errors *errors, const struct ms_endpoint_state *e)
{
  double sum = errors->sum - (e->listed ? e->error_rate : 0);
  unsigned count = errors->count - (e->listed ? 1 : 0);

  return count && sum > 0 ? sum / count : 0;
}

bool
ms_errors_stands_out (const struct ms_errors *errors,
                      const struct ms_endpoint_state *e)
{
  return errors->count > 1 && e->error_rate >= PROBED_RATE
         && e->error_rate >= RATE_FACTOR * others_rate (errors, e);
}

bool
ms_errors_avoids (const struct ms_errors *errors,
                  const struct ms_endpoint_state *e)
{
  return ms_errors_stands_out (errors, e) && e->error_rate >= AVOIDED_RATE;
}

double
ms_errors_rate (const struct ms_errors *errors,
                const struct ms_endpoint_state *e)
{
  double others = others_rate (errors, e);

  if (!errors->count)
    return e->error_rate;
  return e->error_rate > others + NEGLIGIBLE_RATE ? e->error_rate - others : 0;
}

const struct ms_endpoint_state *
ms_errors_probe (struct ms_place *place, const struct ms_errors *errors,
                 const struct ms_offer *offer, ms_time now)
{
  const struct ms_probes *probes = find_probes (place, offer->service);
  const struct ms_endpoint_state *oldest = NULL;

  if (!errors->count || !offer->repeatable || offer->tried_count
      || offer->alone || !probes || probes->sent < PROBE_REQUESTS
      || now - probes->at < PROBE_PERIOD)
    return NULL;
  for (unsigned i = 0; i < place->count; i++)
    {
      const struct ms_endpoint_state *e = place->endpoints[i];

      if (ms_place_is_candidate (offer, e) && ms_errors_stands_out (errors, e)
          && ms_place_may_send (place, e, now)
          && (!oldest || e->probed_at < oldest->probed_at))
        oldest = e;
    }
  return oldest;
}

void
ms_errors_sent (struct ms_place *place, const struct ms_offer *offer,
                struct ms_endpoint_state *e, ms_time now)
{
  struct ms_probes *probes;
  struct ms_errors errors;

  if (!is_plain (place, offer->service))
    return;
  probes = find_probes (place, offer->service);
  if (!probes)
    {
      probes = ms_new (sizeof *probes);
      probes->service = offer->service;
      HASH_ADD (hh, place->probes, service, sizeof probes->service, probes);
    }
  probes->sent++;
  if (e->error_rate < PROBED_RATE)
    return;
  ms_errors_sum (place, offer->service, &errors);
  if (!ms_errors_stands_out (&errors, e))
    return;
  e->probed_at = now;
  probes->at = now;
  probes->sent = 0;
}

void
ms_errors_note (struct ms_place *place, struct ms_endpoint_state *e,
                bool failed)
{
  struct ms_errors errors = { 0 };

  if (failed)
    {
      e->error_rate += ERROR_WEIGHT * (1 - e->error_rate);
      return;
    }
  if (e->error_rate >= PROBED_RATE)
    ms_errors_sum (place, e->entry.service, &errors);
  e->error_rate *= 1
                   - (ms_errors_stands_out (&errors, e) ? RECOVERY_WEIGHT
                                                        : ERROR_WEIGHT);
}

bool
ms_place_same_error (struct ms_place *place, struct ms_endpoint_state *first,
                     const struct ms_endpoint_state *second)
{
  struct ms_errors errors;
  double counted = first->error_rate;
  double before = counted > ERROR_WEIGHT ? counted - ERROR_WEIGHT : 0;

  first->error_rate = before;
  ms_errors_sum (place, first->entry.service, &errors);
  if (errors.count && !ms_errors_stands_out (&errors, first)
      && !ms_errors_stands_out (&errors, second))
    return true;
  first->error_rate = counted;
  return false;
}

unsigned
ms_place_failing (const struct ms_place *place)
{
  unsigned failing = 0;

  for (unsigned i = 0; i < place->count; i++)
    {
      const struct ms_endpoint_state *e = place->endpoints[i];
      struct ms_errors errors;

      if (!e->listed || e->error_rate < PROBED_RATE)
        continue;
      ms_errors_sum (place, e->entry.service, &errors);
      failing += ms_errors_stands_out (&errors, e);
    }
  return failing;
}

void
ms_errors_destroy (struct ms_place *place)
{
  struct ms_probes *probes, *next;

  HASH_ITER (hh, place->probes, probes, next)
  {
    HASH_DEL (place->probes, probes);
    free (probes);
  }
}

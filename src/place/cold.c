#include "place/internal.h"

/* Part of the whole fleet's bound that routers use; the rest covers requests
   that arrive within one second though they were sent within more.  */
#define USED_PART 0.8

/* The bound is on any second; sends and arrivals differ by a link's delay.  */
#define WINDOW (1100 * MS_MSEC)

#define RING                                                                  \
  (sizeof ((struct ms_endpoint_state *)0)->cold_sends / sizeof (ms_time))

/* Requests a second that this router may send to a cold endpoint.  Where
   there are more routers than requests, those that come first in an order of
   the endpoint's own get one each.  */
static unsigned
own_part (const struct ms_place *place,
          const struct ms_endpoint_state *endpoint, double rate)
{
  double bound
      = (rate * place->options.cold_burst_factor + place->options.cold_slack)
        * USED_PART;
  unsigned routers = place->routers_count ? place->routers_count : 1;
  uint64_t own = ms_id_pair (endpoint->id, place->options.self);
  unsigned before = 0;

  if (bound >= routers)
    return (unsigned)(bound / routers);
  for (unsigned i = 0; i < place->routers_count; i++)
    before += ms_id_pair (endpoint->id, place->routers[i]) < own;
  return before < (unsigned)bound ? 1 : 0;
}

bool
ms_cold_allows (const struct ms_place *place,
                const struct ms_endpoint_state *endpoint, ms_time now)
{
  const struct ms_service_entry *kind
      = place->routes
            ? ms_routes_service (place->routes, endpoint->entry.service)
            : NULL;
  unsigned within = 0;
  unsigned part;

  if (now >= endpoint->cold_until && now >= place->woke_until)
    return true;
  if (!kind || kind->cold_rate <= 0)
    return true;
  part = own_part (place, endpoint, kind->cold_rate);
  for (unsigned i = 0; i < RING; i++)
    within
        += endpoint->cold_sends[i] && now - endpoint->cold_sends[i] < WINDOW;
  return within < part && within < RING;
}

void
ms_cold_note (struct ms_endpoint_state *endpoint, ms_time now)
{
  endpoint->cold_sends[endpoint->cold_next] = now;
  endpoint->cold_next = (endpoint->cold_next + 1) % RING;
}

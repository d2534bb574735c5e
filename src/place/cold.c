#include "place/internal.h"

/* Rate limit of cold endpoints.  An endpoint that has just started can take
   only a limited number of requests in any second from all routers together,
   and each router may send its share of that bound.  */

/* Fraction of the fleet's bound that routers use.  The rest covers requests
   that were sent over more than a second but arrive within one.  */
#define USED_FRACTION 0.8

/* Sends are counted over a little more than the second that the bound is for,
   because the delay from send to arrival varies.  */
#define COLD_WINDOW (1100 * MS_MSEC)

/* How long an endpoint may still be slower than usual after it was cold, or
   was first listed: its caches fill.  */
#define WARM_UP_TIME (1 * MS_SEC)

/* Sends that are remembered for each endpoint.  More sends could not be
   counted, so a router sends no more than this in a window.  */
#define COLD_SENDS_SIZE                                                       \
  (sizeof ((struct ms_endpoint_state *)0)->cold_sends / sizeof (ms_time))

/* Return how many requests this router may send to the cold ENDPOINT in each
   COLD_WINDOW, where its service allows RATE per second.  If there are more
   routers than requests, the routers whose hash with the endpoint's identifier
   is lowest may send one each; which ones they are differs between
   endpoints.  */
static unsigned
own_quota (const struct ms_place *place,
           const struct ms_endpoint_state *endpoint, double rate)
{
  double bound
      = (rate * place->options.cold_burst_factor + place->options.cold_slack)
        * USED_FRACTION;
  unsigned routers = place->routers_count;
  uint64_t own = ms_id_pair (endpoint->id, place->options.self);
  unsigned preceding = 0;

  if (!routers)
    return 0;
  if (bound >= routers)
    return (unsigned)(bound / routers);
  for (unsigned i = 0; i < place->routers_count; i++)
    preceding += ms_id_pair (endpoint->id, place->routers[i]) < own;
  return preceding < (unsigned)bound ? 1 : 0;
}

bool
ms_cold_allows (const struct ms_place *place,
                const struct ms_endpoint_state *endpoint, ms_time now)
{
  const struct ms_service_entry *service
      = place->routes
            ? ms_routes_service (place->routes, endpoint->entry.service)
            : NULL;
  unsigned recent = 0;
  unsigned quota;

  if (now >= endpoint->cold_until && now >= place->all_cold_until)
    return true;
  if (!service || service->cold_rate <= 0)
    return true;
  quota = own_quota (place, endpoint, service->cold_rate);
  for (unsigned i = 0; i < COLD_SENDS_SIZE; i++)
    recent += endpoint->cold_sends[i]
              && now - endpoint->cold_sends[i] < COLD_WINDOW;
  return recent < quota && recent < COLD_SENDS_SIZE;
}

bool
ms_place_is_warming (const struct ms_place *place,
                     const struct ms_endpoint_state *endpoint, ms_time now)
{
  return now < endpoint->cold_until + WARM_UP_TIME
         || now < endpoint->started_at + WARM_UP_TIME
         || now < place->all_cold_until;
}

void
ms_cold_record (struct ms_endpoint_state *endpoint, ms_time now)
{
  endpoint->cold_sends[endpoint->cold_next] = now;
  endpoint->cold_next = (endpoint->cold_next + 1) % COLD_SENDS_SIZE;
}

void
ms_cold_forget (struct ms_endpoint_state *endpoint, ms_time at)
{
  for (unsigned i = 0; i < COLD_SENDS_SIZE; i++)
    if (endpoint->cold_sends[i] == at)
      {
        endpoint->cold_sends[i] = 0;
        return;
      }
}

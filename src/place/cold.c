#include "place/internal.h"

#include <limits.h>
#include <stdlib.h>

#include "base/alloc.h"

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

/* Times that are allocated for an endpoint at first.  */
#define INITIAL_SPACE 4

double
ms_cold_bound (const struct ms_place *place, double rate)
{
  return (rate * place->options.cold_burst_factor + place->options.cold_slack)
         * USED_FRACTION;
}

unsigned
ms_cold_rank (const struct ms_place *place,
              const struct ms_endpoint_state *endpoint)
{
  uint64_t own = ms_id_pair (endpoint->id, place->options.self);
  unsigned preceding = 0;

  for (unsigned i = 0; i < place->routers_count; i++)
    preceding += ms_id_pair (endpoint->id, place->routers[i]) < own;
  return preceding;
}

/* Return how many requests this router may send to the cold ENDPOINT in each
   COLD_WINDOW, where its service allows RATE per second.  If there are more
   routers than requests, the routers of the lowest ranks may send one each. */
static unsigned
own_quota (const struct ms_place *place,
           const struct ms_endpoint_state *endpoint, double rate)
{
  double bound = ms_cold_bound (place, rate);
  unsigned routers = place->routers_count;

  if (!routers)
    return 0;
  if (bound >= routers)
    return bound / routers < UINT_MAX ? (unsigned)(bound / routers) : UINT_MAX;
  return ms_cold_rank (place, endpoint) < (unsigned)bound ? 1 : 0;
}

/* Return whether a send at TIME counts at NOW.  */
static bool
is_recent (ms_time time, ms_time now)
{
  return time && now - time < COLD_WINDOW;
}

unsigned
ms_cold_recent (const struct ms_endpoint_state *endpoint, ms_time now)
{
  const struct ms_cold_sends *sends = &endpoint->cold_sends;
  unsigned recent = 0;

  for (unsigned i = 0; i < sends->space; i++)
    recent += is_recent (sends->times[i], now);
  return recent;
}

bool
ms_cold_allows (const struct ms_place *place,
                const struct ms_endpoint_state *endpoint, ms_time now)
{
  const struct ms_service_entry *service
      = place->routes
            ? ms_routes_service (place->routes, endpoint->entry.service)
            : NULL;

  if (now >= endpoint->cold_until && now >= place->all_cold_until)
    return true;
  if (!service || service->cold_rate <= 0)
    return true;
  return ms_cold_recent (endpoint, now)
         < own_quota (place, endpoint, service->cold_rate);
}

bool
ms_place_is_warming (const struct ms_place *place,
                     const struct ms_endpoint_state *endpoint, ms_time now)
{
  return now < endpoint->cold_until + WARM_UP_TIME
         || now < endpoint->started_at + WARM_UP_TIME
         || now < place->all_cold_until;
}

/* Return the index of a time that does not count at NOW any more, adding some
   if all do.  */
static unsigned
find_unused (struct ms_cold_sends *sends, ms_time now)
{
  unsigned old = sends->space;

  for (unsigned i = 0; i < old; i++)
    {
      unsigned at = (sends->next + i) % old;

      if (!is_recent (sends->times[at], now))
        return at;
    }
  sends->space = old ? old * 2 : INITIAL_SPACE;
  sends->times = ms_resize (sends->times, sends->space, sizeof *sends->times);
  for (unsigned i = old; i < sends->space; i++)
    sends->times[i] = 0;
  return old;
}

void
ms_cold_record (struct ms_endpoint_state *endpoint, ms_time now)
{
  struct ms_cold_sends *sends = &endpoint->cold_sends;
  unsigned at = find_unused (sends, now);

  sends->times[at] = now;
  sends->next = (at + 1) % sends->space;
}

void
ms_cold_forget (struct ms_endpoint_state *endpoint, ms_time at)
{
  struct ms_cold_sends *sends = &endpoint->cold_sends;

  for (unsigned i = 0; i < sends->space; i++)
    if (sends->times[i] == at)
      {
        sends->times[i] = 0;
        sends->next = i;
        return;
      }
}

void
ms_cold_destroy (struct ms_endpoint_state *endpoint)
{
  free (endpoint->cold_sends.times);
}

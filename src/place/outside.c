#include "place/internal.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"

/* Connects the crossing policy (crossing.h) with the endpoints and requests of
   placement.  */

/* Time between two updates of the fractions: about that between two digests,
   so that each update sees new figures.  */
#define UPDATE_PERIOD (100 * MS_MSEC)

/* An endpoint with a higher rate of errors is not counted on.  */
#define MAX_ERROR_RATE 0.3

/* Weight of a request in the means of what requests have to prefill.  */
#define TYPICAL_WEIGHT 0.05

/* The time that requests allow follows longer times with the first weight and
   shorter ones with the second, since the time left of requests that have
   waited says nothing about what they allow.  */
#define LONGER_WEIGHT 0.2
#define SHORTER_WEIGHT 0.005

/* Endpoints of another zone whose predicted times differ by less than this, in
   milliseconds, are chosen in another order by each router: the loads that
   routers know of them are so old that otherwise all would choose the same.
   */
#define SPREAD_MS 10.0

/* Milliseconds of score for each unit of a policy's order of zones, which is
   to outweigh all differences between endpoints.  */
#define ORDER_MS 1e6

/* It is reported that requests are sent to a zone from this fraction on, until
   none were permitted for this time.  */
#define REPORT_START 0.02
#define REPORT_STOP_TIME (2 * MS_SEC)

/* Weight of a service without requests in the mean of the services, in
   requests in progress.  */
#define IDLE_WEIGHT 0.01

struct ms_crossings
{
  uint64_t service;
  struct ms_crossing crossing;
  double uncached; /* Tokens that a request has to prefill.  */
  double allowed;  /* Microseconds that it allows until the first token; 0
                      until requests were seen.  */
  UT_hash_handle hh;
};

static bool
needs_permits (const struct ms_place *place)
{
  return place->options.crossing && place->options.crossing->needs_permits;
}

/* Return the crossings for SERVICE; NULL if there are none.  */
static struct ms_crossings *
find_crossings (const struct ms_place *place, uint64_t service)
{
  struct ms_crossings *found;

  HASH_FIND (hh, place->crossings, &service, sizeof service, found);
  return found;
}

struct ms_crossings *
ms_crossings_find (const struct ms_place *place, uint64_t service)
{
  return needs_permits (place) ? find_crossings (place, service) : NULL;
}

/* Set the part of VIEW that does not depend on endpoints, for ZONE.  */
static void
reset_view (const struct ms_place *place, struct ms_crossing_view *view,
            uint64_t zone)
{
  *view = (struct ms_crossing_view){ .zone = zone,
                                     .closed
                                     = ms_place_zone_evacuated (place, zone) };
  for (unsigned i = 0; i < place->zones_count; i++)
    if (place->zones[i].zone == zone)
      {
        view->routers = place->zones[i].live;
        view->age = place->zones[i].age;
      }
}

static struct ms_crossings *
find_or_add (struct ms_place *place, uint64_t service)
{
  struct ms_crossings *found = find_crossings (place, service);

  if (found)
    return found;
  found = ms_new (sizeof *found);
  found->service = service;
  found->crossing.service = service;
  reset_view (place, &found->crossing.own, place->options.zone);
  HASH_ADD (hh, place->crossings, service, sizeof found->service, found);
  return found;
}

/* Return the state of C for the other zone ZONE; NULL if there is none.  */
static struct ms_crossing_zone *
find_zone (struct ms_crossing *c, uint64_t zone)
{
  for (unsigned i = 0; i < c->zones_count; i++)
    if (c->zones[i].view.zone == zone)
      return &c->zones[i];
  return NULL;
}

double
ms_crossings_rank (const struct ms_place *place,
                   struct ms_crossings *crossings,
                   const struct ms_offer *offer,
                   const struct ms_endpoint_state *e, struct ms_fit *f)
{
  const struct ms_crossing_policy *policy = place->options.crossing;
  const struct ms_crossing_zone *zone;
  bool good = f->expected <= offer->target_left && f->errors < MAX_ERROR_RATE;

  if (!crossings || offer->alone)
    return 0;
  if (e->entry.zone == place->options.zone)
    {
      f->rank = good ? 0 : 2;
      return 0;
    }
  zone = find_zone (&crossings->crossing, e->entry.zone);
  /* What a home in another zone saves has been weighed against the bytes in
     the choice of the homes.  */
  if (!zone || f->home)
    return 0;
  if (!good)
    {
      f->rank = 2;
      return 0;
    }
  if (policy->permits (&crossings->crossing, zone))
    {
      f->crossing = (uint32_t)(f->crossing
                               * policy->price (&crossings->crossing, zone));
      return SPREAD_MS
             * (double)(ms_id_pair (place->options.self, e->id) >> 40)
             / (1 << 24);
    }
  f->rank = 1;
  return ORDER_MS * policy->order (&crossings->crossing, zone)
         + SPREAD_MS * (double)(ms_id_pair (place->options.self, e->id) >> 40)
               / (1 << 24);
}

/* Count a request to another zone, that of E.  */
static void
count_crossing (struct ms_place *place, const struct ms_offer *offer,
                const struct ms_endpoint_state *e, bool permitted)
{
  struct ms_crossing_count *count = NULL;

  for (unsigned i = 0; i < place->crossing_counts_count; i++)
    if (place->crossing_counts[i].zone == e->entry.zone)
      count = &place->crossing_counts[i];
  if (!count)
    {
      if (place->crossing_counts_count == MS_CROSSING_ZONES)
        return;
      count = &place->crossing_counts[place->crossing_counts_count++];
      count->zone = e->entry.zone;
      count->name = e->entry.zone_name;
    }
  count->requests++;
  count->permitted += permitted;
  count->bytes += offer->bytes;
}

void
ms_crossings_sent (struct ms_place *place, const struct ms_offer *offer,
                   const struct ms_choice *choice)
{
  const struct ms_endpoint_state *e = choice->endpoint;
  bool leaves = e->entry.zone != place->options.zone;
  bool permitted
      = leaves && !choice->fit.home && !choice->fit.rank && !offer->alone;
  struct ms_crossings *crossings;
  double left = (double)offer->target_left;

  if (leaves)
    count_crossing (place, offer, e, permitted && needs_permits (place));
  if (!needs_permits (place))
    return;
  crossings = find_or_add (place, offer->service);
  crossings->uncached
      += TYPICAL_WEIGHT * (choice->fit.uncached - crossings->uncached);
  if (crossings->allowed <= 0)
    crossings->allowed = left;
  crossings->allowed
      += (left > crossings->allowed ? LONGER_WEIGHT : SHORTER_WEIGHT)
         * (left - crossings->allowed);
  /* A request to a home or one that must run alone neither needs a permit nor
     shows that the zone is short.  */
  ms_crossing_sent (&crossings->crossing,
                    leaves && !choice->fit.home && !offer->alone
                        ? find_zone (&crossings->crossing, e->entry.zone)
                        : NULL,
                    permitted);
}

void
ms_place_set_zone (struct ms_place *place, uint64_t zone, unsigned live,
                   ms_time age)
{
  unsigned i = 0;

  while (i < place->zones_count && place->zones[i].zone != zone)
    i++;
  if (i == MS_CROSSING_ZONES)
    return;
  if (i == place->zones_count)
    place->zones_count++;
  place->zones[i] = (struct ms_zone_routers){ zone, live, age };
}

/* Add E to the views of its service.  Until finish_view, the uses are sums
   weighted by limits.  */
static void
add_endpoint (struct ms_place *place, const struct ms_endpoint_state *e,
              ms_time now)
{
  const struct ms_service_entry *service
      = ms_routes_service (place->routes, e->entry.service);
  struct ms_crossings *crossings;
  struct ms_crossing_view *view;
  struct ms_endpoint_room room;
  double allowed;
  double wait;

  if (!service || !e->listed)
    return;
  crossings = find_or_add (place, service->id);
  crossings->crossing.running += e->own.running;
  view = &crossings->crossing.own;
  if (e->entry.zone != place->options.zone)
    {
      struct ms_crossing_zone *zone
          = ms_crossing_zone (&crossings->crossing, e->entry.zone,
                              ms_id_pair (place->options.self, e->entry.zone));

      if (!zone)
        return;
      if (!zone->seen)
        reset_view (place, &zone->view, e->entry.zone);
      zone->seen = true;
      view = &zone->view;
    }
  if (e->error_rate >= MAX_ERROR_RATE
      || !ms_place_endpoint_room (place, e, service,
                                  (uint32_t)crossings->uncached, now, &room))
    return;
  allowed = crossings->allowed - (double)room.unloaded;
  wait = allowed > 0 ? (double)(room.expected - room.unloaded) / allowed : 0;
  view->running += e->own.running + e->others.running;
  view->limit += room.limit;
  view->memory_use += fmin (room.memory_use, 1) * room.limit;
  view->wait_use += fmin (wait, 1) * room.limit;
}

static void
finish_view (struct ms_crossing_view *view)
{
  if (view->limit <= 0)
    return;
  view->memory_use /= view->limit;
  view->wait_use /= view->limit;
}

/* Report which zones start or stop getting requests.  */
static void
report_changes (struct ms_place *place, struct ms_crossing *c, ms_time now)
{
  for (unsigned i = 0; i < c->zones_count; i++)
    {
      struct ms_crossing_zone *z = &c->zones[i];
      bool sends;

      if (z->fraction > 0)
        z->sent_at = now;
      sends = z->reported ? now - z->sent_at < REPORT_STOP_TIME
                          : z->fraction >= REPORT_START;
      if (sends == z->reported)
        continue;
      z->reported = sends;
      if (place->options.crossing_changed)
        place->options.crossing_changed (place->options.crossing_context, c,
                                         z);
    }
}

void
ms_crossings_tick (struct ms_place *place, ms_time now)
{
  if (!place->routes || !needs_permits (place)
      || now - place->crossings_updated_at < UPDATE_PERIOD)
    return;
  place->crossings_updated_at = now;
  for (struct ms_crossings *s = place->crossings; s; s = s->hh.next)
    {
      reset_view (place, &s->crossing.own, place->options.zone);
      s->crossing.running = 0;
      for (unsigned i = 0; i < s->crossing.zones_count; i++)
        {
          s->crossing.zones[i].seen = false;
          reset_view (place, &s->crossing.zones[i].view,
                      s->crossing.zones[i].view.zone);
        }
    }
  for (unsigned i = 0; i < place->count; i++)
    add_endpoint (place, place->endpoints[i], now);
  for (struct ms_crossings *s = place->crossings; s; s = s->hh.next)
    {
      finish_view (&s->crossing.own);
      for (unsigned i = 0; i < s->crossing.zones_count; i++)
        finish_view (&s->crossing.zones[i].view);
      place->options.crossing->update (&s->crossing, now);
      report_changes (place, &s->crossing, now);
    }
}

double
ms_place_crossing_fraction (const struct ms_place *place, uint64_t zone)
{
  double fraction = 0;
  double running = 0;

  for (struct ms_crossings *s
       = needs_permits (place) ? place->crossings : NULL;
       s; s = s->hh.next)
    {
      const struct ms_crossing_zone *z = find_zone (&s->crossing, zone);
      double weight = s->crossing.running + IDLE_WEIGHT;

      running += weight;
      if (z)
        fraction += z->fraction * weight;
    }
  return running > 0 ? fraction / running : 0;
}

const struct ms_crossing_count *
ms_place_crossing_counts (const struct ms_place *place, unsigned *count)
{
  *count = place->crossing_counts_count;
  return place->crossing_counts;
}

struct ms_name
ms_place_zone_name (const struct ms_place *place, uint64_t zone)
{
  for (unsigned i = 0; i < place->count; i++)
    if (place->endpoints[i]->entry.zone == zone
        && place->endpoints[i]->entry.zone_name.length)
      return place->endpoints[i]->entry.zone_name;
  return (struct ms_name){ 0 };
}

void
ms_crossings_destroy (struct ms_place *place)
{
  struct ms_crossings *crossings, *next;

  HASH_ITER (hh, place->crossings, crossings, next)
  {
    HASH_DEL (place->crossings, crossings);
    free (crossings);
  }
}

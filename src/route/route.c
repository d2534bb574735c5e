#include "route/route.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Compare bytewise; a text comes before longer ones that begin with it.  */
static int
compare_text (struct ms_str a, struct ms_str b)
{
  size_t shorter = a.length < b.length ? a.length : b.length;
  int order = memcmp (a.data, b.data, shorter);

  if (order)
    return order;
  return (a.length > b.length) - (a.length < b.length);
}

/* Compare without regard to case; a name comes before longer ones that begin
   with it.  */
static int
compare_hosts (struct ms_str a, struct ms_str b)
{
  size_t shorter = a.length < b.length ? a.length : b.length;
  int order = strncasecmp (a.data, b.data, shorter);

  if (order)
    return order;
  return (a.length > b.length) - (a.length < b.length);
}

/* By host; for equal hosts the longest prefix first, so that the first match
   of a search is the longest.  */
static int
by_host_and_prefix (const void *left, const void *right)
{
  const struct ms_route *a = left;
  const struct ms_route *b = right;
  int order = compare_hosts (a->host, b->host);

  if (order)
    return order;
  if (a->prefix.length != b->prefix.length)
    return a->prefix.length > b->prefix.length ? -1 : 1;
  return compare_text (a->prefix, b->prefix);
}

static int
compare_ids (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

static int
by_service_id (const void *left, const void *right)
{
  return compare_ids (((const struct ms_service_entry *)left)->id,
                      ((const struct ms_service_entry *)right)->id);
}

static int
by_team_id (const void *left, const void *right)
{
  return compare_ids (((const struct ms_team_entry *)left)->id,
                      ((const struct ms_team_entry *)right)->id);
}

static int
by_key_text (const void *left, const void *right)
{
  return compare_text (((const struct ms_key *)left)->text,
                       ((const struct ms_key *)right)->text);
}

/* qsort for an array that may be NULL if it is empty.  */
static void
sort (void *array, size_t count, size_t size,
      int (*compare) (const void *, const void *))
{
  if (count)
    qsort (array, count, size, compare);
}

void
ms_routes_index (struct ms_routes *routes)
{
  sort (routes->routes, routes->routes_count, sizeof *routes->routes,
        by_host_and_prefix);
  sort (routes->services, routes->services_count, sizeof *routes->services,
        by_service_id);
  sort (routes->teams, routes->teams_count, sizeof *routes->teams, by_team_id);
  sort (routes->keys, routes->keys_count, sizeof *routes->keys, by_key_text);
}

void
ms_routes_swap_teams (struct ms_routes *routes, struct ms_routes *from)
{
  struct ms_routes old = *routes;

  routes->teams = from->teams;
  routes->teams_count = from->teams_count;
  routes->keys_required = from->keys_required;
  routes->keys = from->keys;
  routes->keys_count = from->keys_count;
  routes->team_text = from->team_text;
  from->teams = old.teams;
  from->teams_count = old.teams_count;
  from->keys_required = old.keys_required;
  from->keys = old.keys;
  from->keys_count = old.keys_count;
  from->team_text = old.team_text;
}

void
ms_routes_destroy (struct ms_routes *routes)
{
  if (!routes)
    return;
  free (routes->routes);
  free (routes->splits);
  free (routes->services);
  free (routes->teams);
  free (routes->keys);
  free (routes->text);
  free (routes->team_text);
  free (routes);
}

/* Return the index of the first route of HOST, or where it would be.  */
static unsigned
first_of_host (const struct ms_routes *routes, struct ms_str host)
{
  unsigned low = 0;
  unsigned high = routes->routes_count;

  while (low < high)
    {
      unsigned middle = low + (high - low) / 2;

      if (compare_hosts (routes->routes[middle].host, host) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

const struct ms_route *
ms_routes_find (const struct ms_routes *routes, struct ms_str host,
                struct ms_str path)
{
  for (unsigned i = first_of_host (routes, host); i < routes->routes_count;
       i++)
    {
      const struct ms_route *route = &routes->routes[i];

      if (compare_hosts (route->host, host) != 0)
        return NULL;
      if (route->prefix.length <= path.length
          && memcmp (route->prefix.data, path.data, route->prefix.length) == 0)
        return route;
    }
  return NULL;
}

uint64_t
ms_route_draw_service (const struct ms_route *route, uint64_t draw)
{
  uint64_t total = 0;

  for (unsigned i = 0; i < route->splits_count; i++)
    total += route->splits[i].weight;
  if (!total)
    return route->splits_count ? route->splits[0].service : 0;
  draw %= total;
  for (unsigned i = 0; i < route->splits_count; i++)
    {
      if (draw < route->splits[i].weight)
        return route->splits[i].service;
      draw -= route->splits[i].weight;
    }
  return 0;
}

const struct ms_service_entry *
ms_routes_service (const struct ms_routes *routes, uint64_t id)
{
  struct ms_service_entry wanted = { .id = id };

  return bsearch (&wanted, routes->services, routes->services_count,
                  sizeof wanted, by_service_id);
}

const struct ms_team_entry *
ms_routes_team (const struct ms_routes *routes, uint64_t id)
{
  struct ms_team_entry wanted = { .id = id };

  return bsearch (&wanted, routes->teams, routes->teams_count, sizeof wanted,
                  by_team_id);
}

uint64_t
ms_routes_key_team (const struct ms_routes *routes, struct ms_str text)
{
  struct ms_key wanted = { .text = text };
  const struct ms_key *key;

  if (!text.data)
    return 0;
  key = bsearch (&wanted, routes->keys, routes->keys_count, sizeof wanted,
                 by_key_text);
  return key ? key->team : 0;
}

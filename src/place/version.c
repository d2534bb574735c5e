#include "place/internal.h"

#include <stdlib.h>

#include "base/alloc.h"

/* Endpoints by the version of their software, for rollouts.  */

/* An endpoint that could not be reached this often in a row is not usable
   until it is to be tried again.  */
#define MAX_FAILURES 3

/* An endpoint that a canary may use.  */
struct candidate
{
  struct ms_endpoint_state *endpoint;
  uint64_t mark;
  uint64_t zone_mark;
  unsigned rank; /* Among those of its zone, by their marks.  */
};

static bool
is_usable (const struct ms_place *place, const struct ms_endpoint_state *e,
           ms_time now)
{
  return ms_place_in_service (place, e)
         && (e->failures < MAX_FAILURES || now >= e->down_until);
}

static int
compare (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

static int
compare_zones (const void *left, const void *right)
{
  const struct candidate *a = left;
  const struct candidate *b = right;
  int result = compare (a->zone_mark, b->zone_mark);

  return result ? result : compare (a->mark, b->mark);
}

static int
compare_ranks (const void *left, const void *right)
{
  const struct candidate *a = left;
  const struct candidate *b = right;
  int result = compare (a->rank, b->rank);

  return result ? result : compare (a->zone_mark, b->zone_mark);
}

void
ms_place_set_canary (struct ms_place *place, const struct ms_canary *canary,
                     ms_time now)
{
  struct candidate *list;
  unsigned count = 0;

  list = canary->size ? ms_new_array (place->count + 1, sizeof *list) : NULL;
  for (unsigned i = 0; i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];

      if (e->entry.service != canary->service
          || e->entry.version != canary->version)
        continue;
      e->in_canary = !list;
      if (list && is_usable (place, e, now))
        list[count++] = (struct candidate){
          .endpoint = e,
          .mark = canary->mark (canary->context, canary->service, e->id),
          .zone_mark
          = canary->mark (canary->context, canary->service, e->entry.zone),
        };
    }
  if (!list)
    return;
  qsort (list, count, sizeof *list, compare_zones);
  for (unsigned i = 1; i < count; i++)
    if (list[i].zone_mark == list[i - 1].zone_mark)
      list[i].rank = list[i - 1].rank + 1;
  qsort (list, count, sizeof *list, compare_ranks);
  for (unsigned i = 0; i < count && i < canary->size; i++)
    list[i].endpoint->in_canary = true;
  free (list);
}

struct ms_version_use
ms_place_version_use (const struct ms_place *place, uint64_t service,
                      uint32_t version, ms_time now)
{
  struct ms_version_use use = { 0 };

  for (unsigned i = 0; i < place->count; i++)
    {
      const struct ms_endpoint_state *e = place->endpoints[i];

      if (e->entry.service != service)
        continue;
      if (e->entry.version == version)
        {
          use.usable += is_usable (place, e, now);
          continue;
        }
      use.others += e->listed;
      use.running_here += e->own.running;
      use.running_elsewhere += e->others.running;
    }
  return use;
}

static bool
is_one_of (const uint32_t *list, uint32_t version)
{
  for (unsigned i = 0; i < MS_MAX_EXCEPT; i++)
    if (list[i] && list[i] == version)
      return true;
  return false;
}

bool
ms_place_any_usable (const struct ms_place *place, uint64_t service,
                     uint32_t only, const uint32_t *except, ms_time now)
{
  for (unsigned i = 0; i < place->count; i++)
    {
      const struct ms_endpoint_state *e = place->endpoints[i];

      if (e->entry.service == service && (!only || e->entry.version == only)
          && !is_one_of (except, e->entry.version)
          && is_usable (place, e, now))
        return true;
    }
  return false;
}

#include "place/internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Coldness is assumed after a zone is taken back, beyond the service's own
   time, and after a wake-up until the list was read anew.  */
#define COLD_MARGIN (500 * MS_MSEC)
#define WOKE_FOR (1 * MS_SEC)

/* A router has more than its part of the work beyond this band.  */
#define PART_BAND 0.05

struct ms_place *
ms_place_create (const struct ms_place_options *options,
                 const struct ms_place_policy *policy)
{
  struct ms_place *place = ms_new (sizeof *place);

  place->options = *options;
  place->policy = policy;
  place->prefix = ms_prefix_create ();
  return place;
}

void
ms_place_set_options (struct ms_place *place,
                      const struct ms_place_options *options)
{
  place->options = *options;
}

void
ms_place_destroy (struct ms_place *place)
{
  if (!place)
    return;
  for (unsigned i = 0; i < place->count; i++)
    free (place->endpoints[i]);
  free (place->endpoints);
  ms_prefix_destroy (place->prefix);
  ms_need_destroy (place);
  free (place);
}

void
ms_place_configure (struct ms_place *place, const struct ms_routes *routes)
{
  place->routes = routes;
}

struct ms_endpoint_state *
ms_place_find (struct ms_place *place, uint64_t id)
{
  for (unsigned i = 0; i < place->count; i++)
    if (place->endpoints[i]->id == id)
      return place->endpoints[i];
  return NULL;
}

static struct ms_endpoint_state *
add (struct ms_place *place, uint64_t id)
{
  struct ms_endpoint_state *e = ms_new (sizeof *e);

  if (place->count == place->space)
    {
      place->space = place->space ? place->space * 2 : 32;
      place->endpoints
          = ms_resize (place->endpoints, place->space, sizeof (void *));
    }
  e->id = id;
  e->slowness = 1;
  place->endpoints[place->count++] = e;
  return e;
}

/* Forget what was known of an endpoint's earlier start.  */
static void
start_anew (struct ms_endpoint_state *e)
{
  e->failures = 0;
  e->down_until = 0;
  e->probing = false;
  e->slowness = 1;
  e->error_rate = 0;
}

struct ms_endpoint_state *
ms_place_put (struct ms_place *place, const struct ms_endpoint_entry *entry,
              ms_time now)
{
  uint64_t id = ms_id ((struct ms_str){ entry->id.data, entry->id.length });
  struct ms_endpoint_state *e = ms_place_find (place, id);

  if (!e)
    e = add (place, id);
  if (e->entry.born != entry->born)
    start_anew (e);
  e->entry = *entry;
  e->listed = true;
  if (entry->cold_for > 0 && now + entry->cold_for > e->cold_until)
    e->cold_until = now + entry->cold_for;
  return e;
}

static void
free_unused (struct ms_place *place)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];

      if (e->listed || e->holds)
        place->endpoints[kept++] = e;
      else
        free (e);
    }
  place->count = kept;
}

void
ms_place_remove (struct ms_place *place, uint64_t id)
{
  struct ms_endpoint_state *e = ms_place_find (place, id);

  if (!e)
    return;
  e->listed = false;
  free_unused (place);
}

void
ms_place_hold (struct ms_endpoint_state *endpoint)
{
  endpoint->holds++;
}

void
ms_place_release (struct ms_place *place, struct ms_endpoint_state *endpoint)
{
  endpoint->holds--;
  if (!endpoint->holds && !endpoint->listed)
    free_unused (place);
}

bool
ms_place_zone_out (const struct ms_place *place, uint64_t zone)
{
  for (unsigned i = 0; i < place->out_count; i++)
    if (place->out_zones[i] == zone)
      return true;
  return false;
}

/* The endpoints of a zone that comes back may be cold.  */
static void
expect_cold (struct ms_place *place, uint64_t zone, ms_time now)
{
  for (unsigned i = 0; i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];
      const struct ms_service_entry *kind
          = place->routes ? ms_routes_service (place->routes, e->entry.service)
                          : NULL;

      if (e->entry.zone == zone && kind)
        e->cold_until = now + kind->cold_time + COLD_MARGIN;
    }
}

void
ms_place_evacuate (struct ms_place *place, uint64_t zone, bool out,
                   ms_time now)
{
  if (out == ms_place_zone_out (place, zone))
    return;
  if (out)
    {
      if (place->out_count < MS_MAX_OUT_ZONES)
        place->out_zones[place->out_count++] = zone;
      return;
    }
  for (unsigned i = 0; i < place->out_count; i++)
    if (place->out_zones[i] == zone)
      place->out_zones[i] = place->out_zones[--place->out_count];
  expect_cold (place, zone, now);
}

void
ms_place_routers (struct ms_place *place, const uint64_t *ids, unsigned count)
{
  place->routers_count = count < MS_MAX_ROUTERS ? count : MS_MAX_ROUTERS;
  memcpy (place->routers, ids, place->routers_count * sizeof *ids);
}

void
ms_place_clear_others (struct ms_place *place)
{
  for (unsigned i = 0; i < place->count; i++)
    {
      place->endpoints[i]->others = (struct ms_load){ 0 };
      place->endpoints[i]->others_pace = 0;
      place->endpoints[i]->others_paced = 0;
      place->endpoints[i]->others_limit = 0;
      place->endpoints[i]->others_limited = 0;
    }
}

void
ms_place_add_others (struct ms_place *place, uint64_t id,
                     const struct ms_load *load)
{
  struct ms_endpoint_state *e = ms_place_find (place, id);

  if (!e)
    return;
  e->others.running += load->running;
  e->others.prefill += load->prefill;
  e->others.memory += load->memory;
  if (load->pace)
    {
      e->others_pace += (double)load->pace * load->running;
      e->others_paced += load->running;
    }
  if (load->limit)
    {
      e->others_limit += (double)load->limit * load->running;
      e->others_limited += load->running;
    }
}

void
ms_place_part (struct ms_place *place, double part)
{
  double own = 0;
  double all = 0;

  for (unsigned i = 0; i < place->count; i++)
    {
      own += place->endpoints[i]->own.memory;
      all += place->endpoints[i]->own.memory
             + place->endpoints[i]->others.memory;
    }
  place->above_part = own > part * all * (1 + PART_BAND);
}

void
ms_place_woke (struct ms_place *place, ms_time now)
{
  place->woke_until = now + WOKE_FOR;
}

void
ms_place_each (struct ms_place *place,
               void (*take) (void *, struct ms_endpoint_state *),
               void *context)
{
  for (unsigned i = 0; i < place->count; i++)
    take (context, place->endpoints[i]);
}

unsigned
ms_place_count (const struct ms_place *place)
{
  unsigned listed = 0;

  for (unsigned i = 0; i < place->count; i++)
    listed += place->endpoints[i]->listed;
  return listed;
}

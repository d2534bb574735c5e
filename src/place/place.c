#include "place/internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* After the evacuation of a zone has ended, its endpoints are treated as cold
   for the cold time of their service plus this margin.  */
#define COLD_MARGIN (500 * MS_MSEC)

/* How long all endpoints are treated as cold after this process stalled; by
   then the endpoint list has been read again.  */
#define STALL_COLD_TIME (1 * MS_SEC)

/* A router has more than its share of the work if it exceeds the share by more
   than this fraction.  */
#define SHARE_TOLERANCE 0.05

/* Values of members of struct ms_place_speed that are 0.  */
#define DEFAULT_PREFILL_TOKENS_PER_MS 100.0
#define DEFAULT_FIRST_TOKEN_MS 30.0
#define DEFAULT_TOKEN_MS 4.0
#define DEFAULT_TOKEN_MS_PER_RUNNING 0.1
#define DEFAULT_RESPONSE_MS 50.0

static void
set_default (double *value, double default_value)
{
  if (*value == 0)
    *value = default_value;
}

struct ms_place *
ms_place_create (const struct ms_place_options *options,
                 const struct ms_place_policy *policy)
{
  struct ms_place *place = ms_new (sizeof *place);

  ms_place_set_options (place, options);
  place->policy = policy;
  place->random.state = options->self;
  place->prefix = ms_prefix_create ();
  return place;
}

void
ms_place_set_options (struct ms_place *place,
                      const struct ms_place_options *options)
{
  struct ms_place_speed *speed = &place->options.speed;

  place->options = *options;
  set_default (&speed->prefill_tokens_per_ms, DEFAULT_PREFILL_TOKENS_PER_MS);
  set_default (&speed->first_token_ms, DEFAULT_FIRST_TOKEN_MS);
  set_default (&speed->token_ms, DEFAULT_TOKEN_MS);
  set_default (&speed->token_ms_per_running, DEFAULT_TOKEN_MS_PER_RUNNING);
  set_default (&speed->response_ms, DEFAULT_RESPONSE_MS);
}

static void
free_endpoint (struct ms_endpoint_state *e)
{
  ms_cold_destroy (e);
  free (e);
}

void
ms_place_destroy (struct ms_place *place)
{
  if (!place)
    return;
  for (unsigned i = 0; i < place->count; i++)
    free_endpoint (place->endpoints[i]);
  free (place->endpoints);
  free (place->evacuated_zones);
  ms_prefix_destroy (place->prefix);
  ms_need_destroy (place);
  ms_speed_destroy (place);
  ms_errors_destroy (place);
  ms_engines_destroy (place);
  ms_left_destroy (place);
  ms_pauses_destroy (place);
  ms_rate_destroy (place);
  ms_crossings_destroy (place);
  ms_homes_destroy (place);
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

bool
ms_place_has_version (const struct ms_place *place, uint64_t service,
                      uint32_t version)
{
  for (unsigned i = 0; i < place->count; i++)
    if (place->endpoints[i]->listed
        && place->endpoints[i]->entry.service == service
        && place->endpoints[i]->entry.version == version)
      return true;
  return false;
}

/* Add an endpoint that has no history.  */
static struct ms_endpoint_state *
add_endpoint (struct ms_place *place, uint64_t id)
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
  ms_rate_reset (e);
  place->endpoints[place->count++] = e;
  return e;
}

/* Clear the failures, error rate, slowness and speed that were measured before
   E restarted; pace and limit stay.  */
static void
reset_history (struct ms_place *place, struct ms_endpoint_state *e)
{
  e->failures = 0;
  e->down_until = 0;
  ms_rate_reset (e);
  e->probing = false;
  e->slowness = 1;
  e->error_rate = 0;
  e->reported_at = 0;
  e->cold_told_at = 0;
  e->cold_asked_at = 0;
  ms_engine_restarted (place, e);
}

struct ms_endpoint_state *
ms_place_put (struct ms_place *place, const struct ms_endpoint_entry *entry,
              ms_time now)
{
  uint64_t id = ms_id ((struct ms_str){ entry->id.data, entry->id.length });
  struct ms_endpoint_state *e = ms_place_find (place, id);

  if (!e)
    e = add_endpoint (place, id);
  if (e->entry.born != entry->born)
    {
      if (e->home.seen)
        ms_homes_restarted (place, e);
      reset_history (place, e);
    }
  if (!e->started_at || e->entry.born != entry->born)
    e->started_at = now;
  /* An entry that an older copy of the store has.  */
  if (e->entry.leaving && !entry->leaving && entry->born
      && e->entry.born == entry->born)
    ms_place_note_leaving (place, id, entry->born, now);
  e->entry = *entry;
  e->listed = true;
  e->known_leaving = ms_left_has (place, id, entry->born, now);
  ms_pause_restore (place, e, now);
  if (entry->cold_for > 0 && now + entry->cold_for > e->cold_until)
    e->cold_until = now + entry->cold_for;
  return e;
}

/* Free all endpoints that are neither listed nor referenced.  */
static void
free_unused (struct ms_place *place)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];

      if (e->listed || e->references)
        place->endpoints[kept++] = e;
      else
        free_endpoint (e);
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
  ms_homes_removed (place, e);
  free_unused (place);
}

void
ms_place_hold (struct ms_endpoint_state *endpoint)
{
  endpoint->references++;
}

void
ms_place_release (struct ms_place *place, struct ms_endpoint_state *endpoint)
{
  endpoint->references--;
  if (!endpoint->references && !endpoint->listed)
    free_unused (place);
}

bool
ms_place_zone_evacuated (const struct ms_place *place, uint64_t zone)
{
  for (unsigned i = 0; i < place->evacuated_count; i++)
    if (place->evacuated_zones[i] == zone)
      return true;
  return false;
}

/* Treat all endpoints of ZONE, which is used again, as cold: some may have
   become cold in the meantime.  */
static void
mark_zone_cold (struct ms_place *place, uint64_t zone, ms_time now)
{
  for (unsigned i = 0; i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];
      const struct ms_service_entry *service
          = place->routes ? ms_routes_service (place->routes, e->entry.service)
                          : NULL;

      if (e->entry.zone == zone && service)
        e->cold_until = now + service->cold_time + COLD_MARGIN;
    }
}

void
ms_place_evacuate (struct ms_place *place, uint64_t zone, bool out,
                   ms_time now)
{
  if (out == ms_place_zone_evacuated (place, zone))
    return;
  if (out)
    {
      if (place->evacuated_count == place->evacuated_space)
        {
          place->evacuated_space
              = place->evacuated_space ? place->evacuated_space * 2 : 8;
          place->evacuated_zones
              = ms_resize (place->evacuated_zones, place->evacuated_space,
                           sizeof *place->evacuated_zones);
        }
      place->evacuated_zones[place->evacuated_count++] = zone;
      return;
    }
  for (unsigned i = 0; i < place->evacuated_count; i++)
    if (place->evacuated_zones[i] == zone)
      place->evacuated_zones[i]
          = place->evacuated_zones[--place->evacuated_count];
  mark_zone_cold (place, zone, now);
}

void
ms_place_set_routers (struct ms_place *place, const uint64_t *ids,
                      unsigned count)
{
  place->routers_count = count < MS_MAX_ROUTERS ? count : MS_MAX_ROUTERS;
  memcpy (place->routers, ids, place->routers_count * sizeof *ids);
}

void
ms_place_clear_others (struct ms_place *place)
{
  ms_rate_clear_others (place);
  ms_engines_clear_others (place);
  for (unsigned i = 0; i < place->count; i++)
    {
      place->endpoints[i]->others = (struct ms_load){ 0 };
      place->endpoints[i]->others_pace_sum = 0;
      place->endpoints[i]->others_pace_weight = 0;
      place->endpoints[i]->others_limit_sum = 0;
      place->endpoints[i]->others_limit_weight = 0;
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
      e->others_pace_sum += (double)load->pace * load->running;
      e->others_pace_weight += load->running;
    }
  if (load->limit)
    {
      e->others_limit_sum += (double)load->limit * load->running;
      e->others_limit_weight += load->running;
    }
}

void
ms_place_set_share (struct ms_place *place, double share)
{
  double own = 0;
  double all = 0;

  for (unsigned i = 0; i < place->count; i++)
    {
      own += place->endpoints[i]->own.memory;
      all += place->endpoints[i]->own.memory
             + place->endpoints[i]->others.memory;
    }
  place->over_share = own > share * all * (1 + SHARE_TOLERANCE);
}

void
ms_place_note_stall (struct ms_place *place, ms_time now)
{
  place->all_cold_until = now + STALL_COLD_TIME;
}

void
ms_place_each (struct ms_place *place,
               void (*visit) (void *, struct ms_endpoint_state *),
               void *context)
{
  for (unsigned i = 0; i < place->count; i++)
    visit (context, place->endpoints[i]);
}

unsigned
ms_place_count (const struct ms_place *place)
{
  unsigned listed = 0;

  for (unsigned i = 0; i < place->count; i++)
    listed += place->endpoints[i]->listed;
  return listed;
}

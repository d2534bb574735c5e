#include "place/internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* What the users' sheet tells of their engines.  */
#define PREFILL_TOKENS_PER_MS 112.0
#define FIRST_TOKEN_MS 31.0
#define STEP_MS 3.41
#define STEP_MS_PER_RUNNING 0.097
#define PLAIN_WORK_MS 60.0

/* Parts of slots and of memory that are filled at most.  */
#define SLOTS_PART 0.85
#define MEMORY_PART 0.9

/* A plain endpoint queues a few requests beyond its slots.  */
#define PLAIN_QUEUE_PART 0.34

/* After a failure to connect, doubled for each further one.  */
#define FIRST_DOWN (200 * MS_MSEC)
#define LONGEST_DOWN (2 * MS_SEC)

/* An endpoint reads more than a little of shared parts again only while it
   runs less than this part of its limit.  */
#define LITTLE_AGAIN 256
#define SPARE_PART 0.6

/* Coldness is assumed after a zone is taken back, beyond the service's own
   time, and after a wake-up until the list was read anew.  */
#define COLD_MARGIN (500 * MS_MSEC)
#define WOKE_FOR (1 * MS_SEC)

/* A measured pace is used for so long.  */
#define PACE_KNOWN_FOR (500 * MS_MSEC)
#define PACE_WEIGHT 0.06

/* Limits of requests at once: the first, as a part of the slots, and how they
   move while the pace is off the needed one by more than the band.  */
#define FIRST_LIMIT_PART 0.5
#define LEAST_LIMIT_PART 0.3
#define PACE_BAND 0.1
#define LIMIT_SHRINKS 0.95
#define LIMIT_GROWS 1.5
#define LIMIT_USED_PART 0.8
#define LIMIT_PERIOD (200 * MS_MSEC)

#define ERROR_WEIGHT 0.1
#define SLOWNESS_WEIGHT 0.1
#define MOST_SLOWNESS 20.0

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
ms_place_list_begins (struct ms_place *place)
{
  for (unsigned i = 0; i < place->count; i++)
    place->endpoints[i]->listed = false;
}

void
ms_place_list_ends (struct ms_place *place)
{
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
      const struct ms_endpoint_kind *kind
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
}

struct ms_load
ms_place_load (const struct ms_endpoint_state *e, ms_time now)
{
  struct ms_load load = e->own;

  if (e->paced_at && now - e->paced_at < PACE_KNOWN_FOR)
    load.pace = (uint32_t)e->pace;
  return load;
}

void
ms_place_woke (struct ms_place *place, ms_time now)
{
  place->woke_until = now + WOKE_FOR;
}

/* Whether E takes requests, apart from its cold limit.  */
static bool
is_open (const struct ms_place *place, const struct ms_endpoint_state *e,
         ms_time now)
{
  if (!e->listed || e->entry.leaving || now < e->down_until
      || ms_place_zone_out (place, e->entry.zone))
    return false;
  return !e->failures || !e->probing;
}

bool
ms_place_may_send (struct ms_place *place, const struct ms_endpoint_state *e,
                   ms_time now)
{
  return is_open (place, e, now) && ms_cold_allows (place, e, now);
}

static bool
was_tried (const struct ms_offer *offer, const struct ms_endpoint_state *e)
{
  for (unsigned i = 0; i < offer->tried_count; i++)
    if (offer->tried[i] == e)
      return true;
  return false;
}

/* The endpoints that keep the last shared part of the prompt: the first two in
   an order that is the same at all routers.  */
struct homes
{
  const struct ms_endpoint_state *first;
  const struct ms_endpoint_state *second;
};

static struct homes
homes_of (const struct ms_place *place, const struct ms_offer *offer,
          ms_time now)
{
  struct homes homes = { NULL, NULL };
  uint64_t highest = 0;
  uint64_t next = 0;

  if (offer->parts_count < 2)
    return homes;
  for (unsigned i = 0; i < place->count; i++)
    {
      const struct ms_endpoint_state *e = place->endpoints[i];
      uint64_t rank
          = ms_id_pair (e->id, offer->parts[offer->parts_count - 2].id);

      if (e->entry.service != offer->service || rank <= next
          || !is_open (place, e, now))
        continue;
      if (rank > highest)
        {
          homes.second = homes.first;
          next = highest;
          homes.first = e;
          highest = rank;
        }
      else
        {
          homes.second = e;
          next = rank;
        }
    }
  return homes;
}

/* Tokens of shared parts that E should have to read.  */
static uint32_t
missing_tokens (const struct ms_place *place,
                const struct ms_endpoint_state *e,
                const struct ms_offer *offer, ms_time now)
{
  uint32_t missing = 0;

  for (unsigned i = 0; i + 1 < offer->parts_count; i++)
    {
      /* Without a part, those behind it are of no use.  */
      if (missing
          || !ms_prefix_kept (place->prefix, e->id, offer->parts[i].id, now))
        missing += offer->parts[i].tokens;
    }
  return missing;
}

static uint32_t
own_tokens (const struct ms_offer *offer)
{
  uint32_t shared = 0;

  for (unsigned i = 0; i + 1 < offer->parts_count; i++)
    shared += offer->parts[i].tokens;
  return shared < offer->prompt_tokens ? offer->prompt_tokens - shared : 1;
}

static ms_time
expected_time (const struct ms_endpoint_state *e,
               const struct ms_endpoint_kind *kind, uint32_t uncached)
{
  unsigned running = e->own.running + e->others.running;
  unsigned slots = e->entry.slots ? e->entry.slots : 1;
  double ms;

  if (kind->model)
    ms = FIRST_TOKEN_MS + STEP_MS + STEP_MS_PER_RUNNING * running
         + (e->own.prefill + e->others.prefill + uncached)
               / PREFILL_TOKENS_PER_MS;
  else
    ms = PLAIN_WORK_MS
         * (running < slots ? 1.0 : 1.0 + (running - slots + 1.0) / slots);
  return (ms_time)(ms * e->slowness * MS_MSEC);
}

/* Microseconds that a generated token takes at E.  */
static double
pace_of (const struct ms_endpoint_state *e, ms_time now)
{
  unsigned running = e->own.running + e->others.running;
  double sum = e->others_pace;
  double weight = e->others_paced;

  if (e->paced_at && now - e->paced_at < PACE_KNOWN_FOR)
    {
      sum += e->pace * (e->own.running + 1);
      weight += e->own.running + 1;
    }
  if (weight > 0)
    return sum / weight;
  return (STEP_MS + STEP_MS_PER_RUNNING * running) * MS_MSEC;
}

/* Move the limit of E towards what keeps its pace at NEED.  */
static void
move_limit (struct ms_endpoint_state *e, const struct ms_endpoint_kind *kind,
            double need, ms_time now)
{
  double running = e->own.running + e->others.running;
  double slots = kind->slots ? kind->slots : e->entry.slots;
  double pace = pace_of (e, now);

  if (e->limit <= 0)
    e->limit = FIRST_LIMIT_PART * slots;
  if (pace > need * (1 + PACE_BAND))
    e->limit = (running < e->limit ? running : e->limit) * LIMIT_SHRINKS;
  else if (pace < need * (1 - PACE_BAND)
           && running > LIMIT_USED_PART * e->limit)
    e->limit += LIMIT_GROWS;
  if (e->limit < LEAST_LIMIT_PART * slots)
    e->limit = LEAST_LIMIT_PART * slots;
  if (e->limit > SLOTS_PART * slots)
    e->limit = SLOTS_PART * slots;
}

void
ms_place_tick (struct ms_place *place, ms_time now)
{
  if (!place->routes || now - place->limits_at < LIMIT_PERIOD)
    return;
  place->limits_at = now;
  for (unsigned i = 0; i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];
      const struct ms_endpoint_kind *kind
          = ms_routes_service (place->routes, e->entry.service);
      double need = ms_need_pace (place, e->entry.service);

      if (kind && kind->model && need > 0)
        move_limit (e, kind, need, now);
    }
}

/* Whether E has room for the request at all.  */
static bool
has_room (const struct ms_endpoint_state *e,
          const struct ms_endpoint_kind *kind, const struct ms_offer *offer)
{
  unsigned running = e->own.running + e->others.running;
  double slots = e->entry.slots ? e->entry.slots : 1;
  uint64_t memory = (uint64_t)e->own.memory + e->others.memory
                    + offer->prompt_tokens + offer->output_tokens;

  if (!kind->model)
    return running < slots * (1 + PLAIN_QUEUE_PART);
  if (running >= slots * SLOTS_PART)
    return false;
  if (e->limit > 0 && running >= e->limit)
    return false;
  return !kind->memory_tokens || running == 0
         || (double)memory < MEMORY_PART * (double)kind->memory_tokens;
}

/* What E would do with the request.  */
static void
fit (const struct ms_place *place, const struct ms_endpoint_state *e,
     const struct ms_endpoint_kind *kind, const struct ms_offer *offer,
     const struct homes *homes, ms_time now, struct ms_fit *f)
{
  f->home = e == homes->first ? 1 : e == homes->second ? 2 : 0;
  f->again = f->home ? 0 : missing_tokens (place, e, offer, now);
  f->uncached = own_tokens (offer) + f->again;
  f->expected = expected_time (e, kind, f->uncached);
}

/* Whether E would otherwise idle, so that it may read again what others
   keep.  */
static bool
has_spare (const struct ms_endpoint_state *e,
           const struct ms_endpoint_kind *kind)
{
  unsigned running = e->own.running + e->others.running;
  double most = e->limit > 0 ? e->limit : SLOTS_PART * kind->slots;

  return !kind->model || running < SPARE_PART * most;
}

void
ms_place_choose (struct ms_place *place, const struct ms_offer *offer,
                 ms_time now, struct ms_choice *choice)
{
  const struct ms_endpoint_kind *kind
      = place->routes ? ms_routes_service (place->routes, offer->service)
                      : NULL;
  const struct homes homes = homes_of (place, offer, now);
  double best = 0;
  ms_time soonest = MS_NEVER;

  memset (choice, 0, sizeof *choice);
  choice->result = MS_PLACE_NONE;
  for (unsigned i = 0; kind && i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];
      struct ms_fit f;
      double score;

      if (e->entry.service != offer->service || was_tried (offer, e)
          || !ms_place_may_send (place, e, now))
        continue;
      if (offer->alone && e->own.running + e->others.running)
        continue;
      choice->usable++;
      fit (place, e, kind, offer, &homes, now, &f);
      if (f.expected < soonest)
        soonest = f.expected;
      if (!has_room (e, kind, offer) || f.expected > offer->aim_left
          || (f.again > LITTLE_AGAIN && !has_spare (e, kind)))
        continue;
      score = place->policy->score (place, e, &f);
      if (choice->endpoint && score >= best)
        continue;
      best = score;
      choice->endpoint = e;
      choice->fit = f;
    }
  if (choice->endpoint)
    choice->result = MS_PLACED;
  else if (choice->usable)
    choice->result = MS_PLACE_FULL;
  if (soonest != MS_NEVER && soonest > offer->aim_left)
    choice->room_in = soonest - offer->aim_left;
}

void
ms_place_sent (struct ms_place *place, const struct ms_offer *offer,
               struct ms_choice *choice, struct ms_load *load, ms_time now)
{
  struct ms_endpoint_state *e = choice->endpoint;

  load->running = 1;
  load->prefill = offer->prompt_tokens ? choice->fit.uncached : 0;
  load->memory = offer->prompt_tokens + offer->output_tokens;
  e->own.running += load->running;
  e->own.prefill += load->prefill;
  e->own.memory += load->memory;
  ms_cold_note (e, now);
  e->probing = e->failures > 0;
  for (unsigned i = 0; i + 1 < offer->parts_count; i++)
    ms_prefix_note (place->prefix, e->id, offer->parts[i].id, now);
}

void
ms_place_began (struct ms_place *place, struct ms_endpoint_state *e,
                struct ms_load *load, ms_time expected, ms_time took)
{
  double ratio;

  (void)place;
  e->own.prefill -= load->prefill;
  load->prefill = 0;
  if (expected <= 0)
    return;
  ratio = e->slowness * (double)took / (double)expected;
  if (ratio > MOST_SLOWNESS)
    ratio = MOST_SLOWNESS;
  e->slowness += SLOWNESS_WEIGHT * (ratio - e->slowness);
  if (e->slowness < 1)
    e->slowness = 1;
}

void
ms_place_paced (struct ms_place *place, struct ms_endpoint_state *e,
                unsigned count, ms_time took, ms_time now)
{
  const struct ms_endpoint_kind *kind
      = place->routes ? ms_routes_service (place->routes, e->entry.service)
                      : NULL;
  double pace;

  if (!kind || !kind->tokens_per_event || !count)
    return;
  pace = (double)took / ((double)count * kind->tokens_per_event);
  if (!e->paced_at || now - e->paced_at > PACE_KNOWN_FOR)
    e->pace = pace;
  else
    e->pace += PACE_WEIGHT * (pace - e->pace);
  e->paced_at = now;
}

static void
note_failure (struct ms_endpoint_state *e, ms_time now)
{
  ms_time pause = FIRST_DOWN;

  for (unsigned i = 0; i < e->failures && pause < LONGEST_DOWN; i++)
    pause *= 2;
  e->failures++;
  e->last_failure = now;
  e->down_until = now + (pause < LONGEST_DOWN ? pause : LONGEST_DOWN);
}

void
ms_place_ended (struct ms_place *place, struct ms_endpoint_state *e,
                struct ms_load *load, enum ms_place_end end, ms_time now)
{
  (void)place;
  e->own.running -= load->running;
  e->own.prefill -= load->prefill;
  e->own.memory -= load->memory;
  *load = (struct ms_load){ 0 };
  e->probing = false;
  switch (end)
    {
    case MS_END_GOOD:
      e->failures = 0;
      e->error_rate *= 1 - ERROR_WEIGHT;
      break;
    case MS_END_ERROR:
      e->failures = 0;
      e->error_rate += ERROR_WEIGHT * (1 - e->error_rate);
      break;
    case MS_END_REFUSED:
      e->waiting_seen = now;
      break;
    case MS_END_BROKEN:
      e->error_rate += ERROR_WEIGHT * (1 - e->error_rate);
      e->last_failure = now;
      break;
    case MS_END_MISDIRECTED:
    case MS_END_UNREACHABLE:
      note_failure (e, now);
      break;
    case MS_END_CANCELLED:
      break;
    }
}

void
ms_place_reported (struct ms_endpoint_state *e, unsigned running,
                   unsigned waiting, ms_time now)
{
  (void)running;
  if (waiting)
    e->waiting_seen = now;
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

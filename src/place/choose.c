#include "place/internal.h"

#include <string.h>

/* What the users' sheet tells of their engines.  */
#define PREFILL_TOKENS_PER_MS 112.0
#define FIRST_TOKEN_MS 31.0
#define PLAIN_WORK_MS 60.0

/* Part of an endpoint's memory that is filled at most.  */
#define MEMORY_PART 0.9

/* A plain endpoint queues a few requests beyond its slots.  */
#define PLAIN_QUEUE_PART 0.34

/* Of an endpoint's limit, what routers may use that have more than their part
   of the work.  */
#define UNRESERVED_PART 0.9

/* An endpoint reads more than a little of shared parts again only while it
   runs less than this part of its limit.  */
#define LITTLE_AGAIN 256
#define SPARE_PART 0.6

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
               const struct ms_service_entry *kind, uint32_t uncached)
{
  unsigned running = e->own.running + e->others.running;
  unsigned slots = e->entry.slots ? e->entry.slots : 1;
  double ms;

  if (kind->model)
    ms = FIRST_TOKEN_MS + MS_STEP_MS + MS_STEP_MS_PER_RUNNING * running
         + (e->own.prefill + e->others.prefill + uncached)
               / PREFILL_TOKENS_PER_MS;
  else
    ms = PLAIN_WORK_MS
         * (running < slots ? 1.0 : 1.0 + (running - slots + 1.0) / slots);
  return (ms_time)(ms * e->slowness * MS_MSEC);
}

/* Whether E has room for the request at all.  */
static bool
has_room (const struct ms_place *place, const struct ms_endpoint_state *e,
          const struct ms_service_entry *kind, const struct ms_offer *offer)
{
  unsigned running = e->own.running + e->others.running;
  double slots = e->entry.slots ? e->entry.slots : 1;
  uint64_t memory = (uint64_t)e->own.memory + e->others.memory
                    + offer->prompt_tokens + offer->output_tokens;

  if (!kind->model)
    return running < slots * (1 + PLAIN_QUEUE_PART);
  if (running >= slots * MS_SLOTS_PART)
    return false;
  if (e->limit > 0
      && running >= e->limit * (place->above_part ? UNRESERVED_PART : 1))
    return false;
  return !kind->memory_tokens || running == 0
         || (double)memory < MEMORY_PART * (double)kind->memory_tokens;
}

/* What E would do with the request.  */
static void
fit (const struct ms_place *place, const struct ms_endpoint_state *e,
     const struct ms_service_entry *kind, const struct ms_offer *offer,
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
           const struct ms_service_entry *kind)
{
  unsigned running = e->own.running + e->others.running;
  double most = e->limit > 0 ? e->limit : MS_SLOTS_PART * kind->slots;

  return !kind->model || running < SPARE_PART * most;
}

void
ms_place_choose (struct ms_place *place, const struct ms_offer *offer,
                 ms_time now, struct ms_choice *choice)
{
  const struct ms_service_entry *kind
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
      choice->usable++;
      fit (place, e, kind, offer, &homes, now, &f);
      if (f.expected < soonest)
        soonest = f.expected;
      if (!has_room (place, e, kind, offer) || f.expected > offer->aim_left
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

struct ms_place_use
ms_place_use (const struct ms_place *place, ms_time now)
{
  struct ms_place_use use = { 0, 0 };
  double most = 0;

  for (unsigned i = 0; i < place->count; i++)
    {
      const struct ms_endpoint_state *e = place->endpoints[i];
      const struct ms_service_entry *kind
          = place->routes ? ms_routes_service (place->routes, e->entry.service)
                          : NULL;

      if (!kind || !kind->model || !is_open (place, e, now))
        continue;
      most += e->limit > 0
                  ? e->limit
                  : MS_SLOTS_PART
                        * (kind->slots ? kind->slots : e->entry.slots);
      use.part += e->own.running + e->others.running;
      use.tokens += (double)e->own.memory + e->others.memory;
    }
  use.part = most > 0 ? use.part / most : 0;
  return use;
}

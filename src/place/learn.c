#include "place/internal.h"

/* After a failure to connect, doubled for each further one.  */
#define FIRST_DOWN (200 * MS_MSEC)
#define LONGEST_DOWN (2 * MS_SEC)

/* A measured pace is used for so long.  */
#define PACE_KNOWN_FOR (500 * MS_MSEC)
#define PACE_WEIGHT 0.06

/* Limits of requests at once: the first, as a part of the slots, and how they
   move while the pace is off the needed one by more than the band.  */
#define FIRST_LIMIT_PART 0.35
#define LEAST_LIMIT_PART 0.22
#define NEED_PART 0.7
#define PACE_BAND 0.1
#define LIMIT_SHRINKS 0.95
#define LIMIT_GROWS 1.5
#define LIMIT_USED_PART 0.8
#define LIMIT_PERIOD (200 * MS_MSEC)
#define AGREE_WEIGHT 0.2

/* Weights of the newest sample in exponential means, and a bound.  */
#define ERROR_WEIGHT 0.1
#define SLOWNESS_WEIGHT 0.1
#define MOST_SLOWNESS 20.0

struct ms_load
ms_place_load (const struct ms_endpoint_state *e, ms_time now)
{
  struct ms_load load = e->own;

  if (e->paced_at && now - e->paced_at < PACE_KNOWN_FOR)
    load.pace = (uint32_t)e->pace;
  load.limit = (uint32_t)e->limit;
  return load;
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
  return (MS_STEP_MS + MS_STEP_MS_PER_RUNNING * running) * MS_MSEC;
}

/* Draw the limit of E to the others': with limits of their own, those with the
   lowest would find no room.  */
static void
agree_on_limit (struct ms_endpoint_state *e)
{
  double told
      = e->others_limited > 0 ? e->others_limit / e->others_limited : 0;

  if (told <= 0)
    return;
  if (e->limit <= 0)
    e->limit = told;
  e->limit += AGREE_WEIGHT * (told - e->limit);
}

/* Move the limit of E towards what keeps its pace at NEED.  */
static void
move_limit (struct ms_endpoint_state *e, const struct ms_service_entry *kind,
            double need, ms_time now)
{
  double running = e->own.running + e->others.running;
  double slots = kind->slots ? kind->slots : e->entry.slots;
  double pace = pace_of (e, now) / NEED_PART;

  if (e->limit <= 0)
    e->limit = FIRST_LIMIT_PART * slots;
  if (pace > need * (1 + PACE_BAND))
    e->limit = (running < e->limit ? running : e->limit) * LIMIT_SHRINKS;
  else if (pace < need * (1 - PACE_BAND)
           && running > LIMIT_USED_PART * e->limit)
    e->limit += LIMIT_GROWS;
  if (e->limit < LEAST_LIMIT_PART * slots)
    e->limit = LEAST_LIMIT_PART * slots;
  if (e->limit > MS_SLOTS_PART * slots)
    e->limit = MS_SLOTS_PART * slots;
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
      const struct ms_service_entry *kind
          = ms_routes_service (place->routes, e->entry.service);
      double need = ms_need_pace (place, e->entry.service);

      if (!kind || !kind->model)
        continue;
      agree_on_limit (e);
      if (need > 0)
        move_limit (e, kind, need, now);
    }
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
  const struct ms_service_entry *kind
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
    case MS_END_CANCELLED:
      break;
    case MS_END_BROKEN:
      e->error_rate += ERROR_WEIGHT * (1 - e->error_rate);
      break;
    case MS_END_MISDIRECTED:
    case MS_END_UNREACHABLE:
      note_failure (e, now);
      break;
    }
}

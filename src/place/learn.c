#include "place/internal.h"

#include <math.h>

/* What this router learns of endpoints from its own requests: load, failures,
   time to the first token, pace of streams, and from the pace the limit of
   concurrent requests.  */

/* Time without requests after a failure to reach an endpoint; doubled for each
   further consecutive failure.  */
#define BACKOFF_MIN (200 * MS_MSEC)
#define BACKOFF_MAX (2 * MS_SEC)

/* An endpoint that could not be reached may have started again.  It is treated
   as cold for this time after its first answer, by when the endpoint list that
   tells has been read.  */
#define REACHED_AGAIN_COLD_TIME (1 * MS_SEC)

/* How long a measured pace is used, and the weight of the newest sample in its
   exponential mean.  */
#define PACE_LIFETIME (500 * MS_MSEC)
#define PACE_WEIGHT 0.06

/* Bounds of the first limit of concurrent requests at an endpoint, and least
   limit, as fractions of its slots.  */
#define INITIAL_LIMIT_FRACTION 0.35
#define MAX_INITIAL_LIMIT_FRACTION 0.7
#define MIN_LIMIT_FRACTION 0.22

/* Least milliseconds that each running request is taken to add to the time
   between tokens, since the first limit is divided by them.  */
#define MIN_PER_RUNNING 1e-3

/* Endpoints are held at this fraction of the microseconds per token that their
   requests allow.  The limit is left alone while the pace is within the
   tolerance, a fraction of the target.  */
#define TARGET_PACE_FRACTION 0.7
#define PACE_TOLERANCE 0.1

/* In each period, if tokens come too slowly, the limit is lowered to the
   number of running requests, if that is less, and then multiplied by
   LIMIT_DECREASE_FACTOR.  If they come faster than needed, it grows by
   LIMIT_INCREASE requests, provided that more than LIMIT_IN_USE_FRACTION of it
   is in use.  */
#define LIMIT_DECREASE_FACTOR 0.95
#define LIMIT_INCREASE 1.5
#define LIMIT_IN_USE_FRACTION 0.8
#define LIMIT_PERIOD (200 * MS_MSEC)

/* Weight of the other routers' mean limit in each adjustment.  */
#define CONVERGENCE_WEIGHT 0.2

/* Weight of the newest sample in the exponential mean, and the largest ratio
   of measured to predicted time that counts.  */
#define SLOWNESS_WEIGHT 0.1
#define MAX_SLOWNESS 20.0

/* In each period without answers, the slowness and the error rate of an
   endpoint lose these fractions, so that it is tried again.  */
#define SLOWNESS_DECAY 0.04
#define ERROR_DECAY 0.02

struct ms_load
ms_place_load (const struct ms_endpoint_state *e, ms_time now)
{
  struct ms_load load = e->own;

  if (e->pace_measured_at && now - e->pace_measured_at < PACE_LIFETIME)
    load.pace = (uint32_t)e->pace;
  load.limit = (uint32_t)e->limit;
  return load;
}

/* Return the microseconds for each generated token at E: the mean of what
   routers measured, weighted by their running requests, or the prediction if
   none has measured it recently.  */
static double
current_pace (const struct ms_place *place, const struct ms_endpoint_state *e,
              ms_time now)
{
  unsigned running = e->own.running + e->others.running;
  double sum = e->others_pace_sum;
  double weight = e->others_pace_weight;

  if (e->pace_measured_at && now - e->pace_measured_at < PACE_LIFETIME)
    {
      /* 1 is added so that this router's pace also counts while none of its
         requests is running any more.  */
      sum += e->pace * (e->own.running + 1);
      weight += e->own.running + 1;
    }
  if (weight > 0)
    return sum / weight;
  return ms_engine_pace_ms (place, e->entry.service, running) * MS_MSEC
         / ms_engine_pace_factor (place, e);
}

/* Move the limit of E towards the mean of the other routers' limits.  If each
   router kept a limit of its own, the one with the lowest would find the
   endpoint full while the others still sent to it.  */
static void
converge_limit (struct ms_endpoint_state *e)
{
  double others_mean = e->others_limit_weight > 0
                           ? e->others_limit_sum / e->others_limit_weight
                           : 0;

  if (others_mean <= 0)
    return;
  if (e->limit <= 0)
    e->limit = others_mean;
  e->limit += CONVERGENCE_WEIGHT * (others_mean - e->limit);
}

/* Return the first limit of E with SLOTS: the requests with which it is
   expected to keep the target fraction of MAX_PACE.  */
static double
initial_limit (const struct ms_place *place, const struct ms_endpoint_state *e,
               double slots, double max_pace)
{
  double pace_ms = TARGET_PACE_FRACTION * max_pace / MS_MSEC
                   * ms_engine_pace_factor (place, e);
  double token_ms, per_running;
  double limit;

  ms_engine_token_ms (place, e->entry.service, &token_ms, &per_running);
  limit = (pace_ms - token_ms) / fmax (per_running, MIN_PER_RUNNING);

  if (limit < INITIAL_LIMIT_FRACTION * slots)
    limit = INITIAL_LIMIT_FRACTION * slots;
  if (limit > MAX_INITIAL_LIMIT_FRACTION * slots)
    limit = MAX_INITIAL_LIMIT_FRACTION * slots;
  return limit;
}

/* Adjust the limit of E so that its tokens take the target fraction of
   MAX_PACE, in microseconds per token.  */
static void
adjust_limit (const struct ms_place *place, struct ms_endpoint_state *e,
              const struct ms_service_entry *service, double max_pace,
              ms_time now)
{
  double running = e->own.running + e->others.running;
  double slots = service->slots ? service->slots : e->entry.slots;
  double scaled_pace = current_pace (place, e, now) / TARGET_PACE_FRACTION;

  if (e->limit <= 0)
    e->limit = initial_limit (place, e, slots, max_pace);
  if (scaled_pace > max_pace * (1 + PACE_TOLERANCE))
    e->limit
        = (running < e->limit ? running : e->limit) * LIMIT_DECREASE_FACTOR;
  else if (scaled_pace < max_pace * (1 - PACE_TOLERANCE)
           && running > LIMIT_IN_USE_FRACTION * e->limit)
    e->limit += LIMIT_INCREASE;
  if (e->limit < MIN_LIMIT_FRACTION * slots)
    e->limit = MIN_LIMIT_FRACTION * slots;
  if (e->limit > MS_SLOT_FILL_FRACTION * slots)
    e->limit = MS_SLOT_FILL_FRACTION * slots;
}

/* Let what was measured at E decay, if it has not answered lately.  */
static void
forget_measurements (struct ms_endpoint_state *e, ms_time now)
{
  if (now - e->answered_at < LIMIT_PERIOD)
    return;
  e->slowness -= SLOWNESS_DECAY * (e->slowness - 1);
  e->error_rate -= ERROR_DECAY * e->error_rate;
}

void
ms_place_tick (struct ms_place *place, ms_time now)
{
  ms_crossings_tick (place, now);
  if (!place->routes || now - place->limits_adjusted_at < LIMIT_PERIOD)
    return;
  place->limits_adjusted_at = now;
  ms_engines_tick (place, now);
  for (unsigned i = 0; i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];
      const struct ms_service_entry *service
          = ms_routes_service (place->routes, e->entry.service);
      double max_pace = ms_need_max_pace (place, e->entry.service);

      forget_measurements (e, now);
      if (!service || !service->model)
        continue;
      converge_limit (e);
      if (max_pace > 0)
        adjust_limit (place, e, service, max_pace, now);
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
  load->queue = e->own.prefill + e->others.prefill;
  load->running_then = e->own.running + e->others.running;
  /* What is taken to be cached may not be, and cold endpoints are slower.  */
  load->timed = load->prefill > 0 && choice->fit.duplicate == 0
                && now >= e->cold_until && now >= place->all_cold_until;
  load->whole = false;
  e->own.running += load->running;
  e->own.prefill += load->prefill;
  e->own.memory += load->memory;
  ms_cold_record (e, now);
  ms_rate_sent (e, now);
  ms_crossings_sent (place, offer, choice);
  ms_homes_sent (place, offer, now);
  ms_errors_sent (place, offer, e, now);
  e->probing = e->failures > 0;
  for (unsigned i = 0; i + 1 < offer->parts_count; i++)
    ms_prefix_record (place->prefix, e->id, offer->parts[i].id, now);
}

void
ms_place_began (struct ms_place *place, struct ms_endpoint_state *e,
                struct ms_load *load, ms_time expected, ms_time took,
                ms_time now)
{
  const struct ms_service_entry *service
      = place->routes ? ms_routes_service (place->routes, e->entry.service)
                      : NULL;
  double ratio;

  e->own.prefill -= load->prefill;
  if (expected > 0 && !load->whole && service && service->model)
    ms_engine_began (place, e, load, took, now);
  load->prefill = 0;
  if (expected <= 0)
    return;
  e->answered_at = now;
  if (load->whole && service && service->model)
    return;
  if (service && !service->model)
    ms_speed_note (place, service->id,
                   e->slowness * (double)took / (double)expected);
  /* EXPECTED includes the slowness already.  */
  ratio = e->slowness * (double)took / (double)expected;
  if (ratio > MAX_SLOWNESS)
    ratio = MAX_SLOWNESS;
  e->slowness += SLOWNESS_WEIGHT * (ratio - e->slowness);
  if (e->slowness < 1)
    e->slowness = 1;
}

void
ms_place_note_pace (struct ms_place *place, struct ms_endpoint_state *e,
                    unsigned count, ms_time took, ms_time now)
{
  const struct ms_service_entry *service
      = place->routes ? ms_routes_service (place->routes, e->entry.service)
                      : NULL;
  double pace;

  if (!service || !service->tokens_per_event || !count)
    return;
  pace = (double)took / ((double)count * service->tokens_per_event);
  if (service->model)
    ms_engine_note_pace (place, e, pace, now);
  if (!e->pace_measured_at || now - e->pace_measured_at > PACE_LIFETIME)
    e->pace = pace;
  else
    e->pace += PACE_WEIGHT * (pace - e->pace);
  e->pace_measured_at = now;
}

double
ms_place_pace_ratio (const struct ms_place *place,
                     const struct ms_endpoint_state *e, unsigned count,
                     ms_time took)
{
  const struct ms_service_entry *service
      = place->routes ? ms_routes_service (place->routes, e->entry.service)
                      : NULL;
  unsigned running = e->own.running + e->others.running;
  double usual
      = ms_engine_pace_ms (place, e->entry.service, running) * MS_MSEC;

  if (!service || !service->model || !service->tokens_per_event || !count)
    return 0;
  return (double)took / ((double)count * service->tokens_per_event) / usual;
}

/* E has answered: clear its failures to be reached, if any.  */
static void
note_reached (struct ms_endpoint_state *e, ms_time now)
{
  if (!e->failures)
    return;
  e->failures = 0;
  if (e->cold_until < now + REACHED_AGAIN_COLD_TIME)
    e->cold_until = now + REACHED_AGAIN_COLD_TIME;
}

/* Count a failure to reach E and send it nothing for a while.  */
static void
back_off (struct ms_endpoint_state *e, ms_time now)
{
  ms_time backoff = BACKOFF_MIN;

  for (unsigned i = 0; i < e->failures && backoff < BACKOFF_MAX; i++)
    backoff *= 2;
  e->failures++;
  e->down_until = now + (backoff < BACKOFF_MAX ? backoff : BACKOFF_MAX);
}

void
ms_place_ended (struct ms_place *place, struct ms_endpoint_state *e,
                struct ms_load *load, enum ms_place_end end, ms_time now)
{
  e->own.running -= load->running;
  e->own.prefill -= load->prefill;
  e->own.memory -= load->memory;
  *load = (struct ms_load){ 0 };
  e->probing = false;
  switch (end)
    {
    case MS_END_GOOD:
      note_reached (e, now);
      ms_errors_note (place, e, false);
      break;
    case MS_END_ERROR:
      e->answered_at = now;
      note_reached (e, now);
      ms_errors_note (place, e, true);
      break;
    case MS_END_SAME_ERROR:
      e->answered_at = now;
      note_reached (e, now);
      break;
    case MS_END_CANCELLED:
      break;
    /* An endpoint that refuses at once would look idle.  */
    case MS_END_REFUSED:
    case MS_END_BROKEN:
      e->answered_at = now;
      ms_errors_note (place, e, true);
      break;
    case MS_END_MISDIRECTED:
    case MS_END_UNREACHABLE:
      back_off (e, now);
      break;
    }
}

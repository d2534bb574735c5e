#include "place/internal.h"

#include <math.h>
#include <string.h>

/* Fraction of a model endpoint's token memory that is filled at most.  */
#define MEMORY_FILL_FRACTION 0.9

/* Requests beyond its slots that a plain endpoint may queue, as a fraction of
   the slots.  */
#define PLAIN_QUEUE_FRACTION 0.34

/* Fraction of an endpoint's limit up to which a router may send requests while
   it has more than its share of the work.  */
#define OVER_SHARE_LIMIT_FRACTION 0.9

/* A prompt has its homes in the router's zone if the bytes between zones are
   worth more than this fraction of its shared parts, about the part of the
   requests that find them in the cache of a home for the whole fleet only.  */
#define ZONE_MISS_FRACTION 0.4

/* An endpoint that is no home of the prompt may prefill more than
   SMALL_DUPLICATE_TOKENS tokens of shared parts only while fewer requests run
   there than DUPLICATE_LOAD_FRACTION of its limit.  */
#define SMALL_DUPLICATE_TOKENS 256
#define DUPLICATE_LOAD_FRACTION 0.6

/* With steady homes, a request goes to one of them if that is expected to
   begin it within HOME_WAIT_FRACTION of the time left, instead of to an
   endpoint that would have to prefill more than FREE_DUPLICATE_TOKENS tokens
   of shared parts.  The rest of the time is a margin for loads that are
   reported late.
   */
#define HOME_WAIT_FRACTION 0.8
#define FREE_DUPLICATE_TOKENS 32

/* With steady homes, an endpoint that is none must be expected to begin the
   request earlier than the target, by MIN_MARGIN_FRACTION of the time left and
   by DUPLICATE_MARGIN for each token of shared parts that it would prefill, at
   most by MAX_MARGIN_FRACTION of the time left.  What remains of its time is
   for requests that have their home there and can begin nowhere else, and
   under overload parts are read again only where there is room.  */
#define DUPLICATE_MARGIN 500 /* Microseconds.  */
#define MIN_MARGIN_FRACTION 0.2
#define MAX_MARGIN_FRACTION 0.5

/* With steady homes, a request waits for a home that gets no requests for a
   short while, rather than that another endpoint prefills more than
   SMALL_DUPLICATE_TOKENS of shared parts, for at most this fraction of the
   time left and this time: half of what requests may wait at a router.  */
#define OUT_WAIT_FRACTION 0.1
#define MAX_OUT_WAIT (75 * MS_MSEC)

/* A home with a higher rate of errors is not waited for.  */
#define MAX_HOME_ERROR_RATE 0.3

/* An endpoint is idle if, for its limit, it runs less than this fraction of
   what endpoints run on average.  */
#define IDLE_FRACTION 0.5

/* Routers that know the same queues late would all send to the endpoint with
   the shortest one.  With learned speeds, a random time of up to so many
   standard deviations of the waits is added where endpoints are compared.  In
   a small fleet routers hear each other directly, and less is better; both
   figures are the best of those tried in the model of tests/test_engine.c.  */
#define SPREAD_DEVIATIONS 8.0
#define SPREAD_DEVIATIONS_SMALL 4.0
#define SMALL_FLEET_MAX 16

bool
ms_place_in_service (const struct ms_place *place,
                     const struct ms_endpoint_state *e)
{
  return e->listed && !e->held && !ms_place_is_leaving (e)
         && !ms_place_zone_evacuated (place, e->entry.zone);
}

bool
ms_place_is_available (const struct ms_place *place,
                       const struct ms_endpoint_state *e, ms_time now)
{
  return ms_place_in_service (place, e) && now >= e->down_until
         && now >= e->paused_until && (!e->failures || !e->probing);
}

bool
ms_place_may_send (struct ms_place *place, const struct ms_endpoint_state *e,
                   ms_time now)
{
  return ms_place_is_available (place, e, now)
         && ms_cold_allows (place, e, now);
}

bool
ms_place_confirm_send (struct ms_place *place, struct ms_endpoint_state *e,
                       ms_time placed_at, ms_time now)
{
  ms_cold_forget (e, placed_at);
  if (!ms_place_in_service (place, e) || now < e->paused_until
      || !ms_cold_allows (place, e, now))
    return false;
  ms_cold_record (e, now);
  return true;
}

bool
ms_place_is_candidate (const struct ms_offer *offer,
                       const struct ms_endpoint_state *e)
{
  if (e->entry.service != offer->service)
    return false;
  for (unsigned i = 0; i < MS_MAX_EXCEPT; i++)
    if (offer->except[i] && e->entry.version == offer->except[i])
      return false;
  return (!offer->version || e->entry.version == offer->version)
         && (!offer->canary || e->in_canary);
}

static bool
was_tried (const struct ms_offer *offer, const struct ms_endpoint_state *e)
{
  for (unsigned i = 0; i < offer->tried_count; i++)
    if (offer->tried[i] == e)
      return true;
  return false;
}

/* Return what the bytes of the request cost between availability zones, in
   prompt tokens.  */
static uint32_t
crossing_tokens (const struct ms_place *place, const struct ms_offer *offer)
{
  return (uint32_t)(offer->bytes * place->options.zone_byte_tokens);
}

/* Return the number of tokens in shared parts of the prompt.  */
static uint32_t
shared_tokens (const struct ms_offer *offer)
{
  uint32_t shared = 0;

  for (unsigned i = 0; i + 1 < offer->parts_count; i++)
    shared += offer->parts[i].tokens;
  return shared;
}

/* Return the number of tokens of shared parts that E would have to prefill
   because they are probably not in its cache.  */
static uint32_t
missing_shared_tokens (const struct ms_place *place,
                       const struct ms_endpoint_state *e,
                       const struct ms_offer *offer, ms_time now)
{
  uint32_t missing = 0;

  for (unsigned i = 0; i + 1 < offer->parts_count; i++)
    {
      /* A cached part is of use only if all parts before it are cached.  */
      if (missing
          || !ms_prefix_cached (place->prefix, e->id, offer->parts[i].id,
                                e->started_at, now))
        missing += offer->parts[i].tokens;
    }
  return missing;
}

/* Return the number of prompt tokens outside the shared parts, at least 1.  */
static uint32_t
unshared_tokens (const struct ms_offer *offer)
{
  uint32_t shared = shared_tokens (offer);

  return shared < offer->prompt_tokens ? offer->prompt_tokens - shared : 1;
}

/* Predict the time until E, if it had FACTOR of the usual speed, would send
   the first token of a request with UNCACHED tokens to prefill, or the
   response if E runs no model.  A model endpoint prefills in turn what all
   routers have sent it; a plain one is slower once its slots are full.  */
static double
time_at (const struct ms_place *place, const struct ms_endpoint_state *e,
         const struct ms_service_entry *service, uint32_t uncached,
         double factor)
{
  unsigned running = e->own.running + e->others.running;
  unsigned slots = e->entry.slots ? e->entry.slots : 1;
  double ms;

  if (service->model)
    ms = ms_engine_first_token_ms (place, service->id, running,
                                   (double)e->own.prefill + e->others.prefill,
                                   uncached, factor);
  else
    ms = ms_speed_response_ms (place, service->id)
         * (running < slots ? 1.0 : 1.0 + (running - slots + 1.0) / slots);
  return ms * MS_MSEC;
}

static double
usual_time (const struct ms_place *place, const struct ms_endpoint_state *e,
            const struct ms_service_entry *service, uint32_t uncached)
{
  return time_at (place, e, service, uncached, 1);
}

/* The same with the speed that E has shown.  */
static double
expected_time (const struct ms_place *place, const struct ms_endpoint_state *e,
               const struct ms_service_entry *service, uint32_t uncached)
{
  return time_at (place, e, service, uncached,
                  ms_engine_speed_factor (place, e))
         * e->slowness;
}

/* Return whether E has free capacity for the request: a plain endpoint a slot
   or a place in its queue; a model endpoint a slot, with fewer requests
   running than its limit, and the token memory.  An idle endpoint is taken to
   have the memory for a request of any size.  */
static bool
has_free_capacity (const struct ms_place *place,
                   const struct ms_endpoint_state *e,
                   const struct ms_service_entry *service,
                   const struct ms_offer *offer)
{
  unsigned running = e->own.running + e->others.running;
  double slots = e->entry.slots ? e->entry.slots : 1;
  uint64_t memory = (uint64_t)e->own.memory + e->others.memory
                    + offer->prompt_tokens + offer->output_tokens;

  if (!service->model)
    return running < slots * (1 + PLAIN_QUEUE_FRACTION);
  if (running >= slots * MS_SLOT_FILL_FRACTION)
    return false;
  if (e->limit > 0
      && running
             >= e->limit * (place->over_share ? OVER_SHARE_LIMIT_FRACTION : 1))
    return false;
  return !service->memory_tokens || running == 0
         || (double)memory
                < MEMORY_FILL_FRACTION * (double)service->memory_tokens;
}

/* Fill F with the tokens that E would have to prefill for the request, and the
   expected time to its first token or response.  A home is assumed to hold the
   shared parts in its cache.  */
static void
predict (const struct ms_place *place, const struct ms_endpoint_state *e,
         const struct ms_service_entry *service, const struct ms_offer *offer,
         const struct ms_homes *homes, ms_time now, struct ms_fit *f)
{
  bool fresh = offer->fresh && e->entry.version == offer->fresh;
  const struct ms_home *home;
  unsigned number;
  uint32_t missing = 0;
  double usual;

  home = ms_homes_get (homes, e, &number);
  f->home = number <= homes->count ? number : 0;
  if (!home || fresh || home->missing > 0)
    missing = missing_shared_tokens (place, e, offer, now);
  f->duplicate = home ? (uint32_t)(missing * home->missing) : missing;
  f->uncached = unshared_tokens (offer) + f->duplicate;
  f->crossing = e->entry.zone == place->options.zone
                    ? 0
                    : crossing_tokens (place, offer);
  f->rank = 0;
  usual = usual_time (place, e, service, f->uncached);
  f->expected = (ms_time)(expected_time (place, e, service, f->uncached)
                          * ms_report_factor (place, e, service, now));
  if (home && missing)
    usual
        = usual_time (place, e, service, f->uncached - f->duplicate + missing);
  f->usual = (ms_time)usual;
}

/* Return whether E is so lightly loaded that it may prefill shared parts that
   other endpoints hold in cache.  Until the limit of a model endpoint is
   known, the slots configured for its service stand for it; if none are
   configured, the result is false.  For a plain endpoint it is always
   true.  */
static bool
is_lightly_loaded (const struct ms_endpoint_state *e,
                   const struct ms_service_entry *service)
{
  unsigned running = e->own.running + e->others.running;
  double limit
      = e->limit > 0 ? e->limit : MS_SLOT_FILL_FRACTION * service->slots;

  return !service->model || running < DUPLICATE_LOAD_FRACTION * limit;
}

/* Return whether a request is not sent because F predicts its first byte after
   the target.  At a model endpoint it would delay those that are in time; a
   plain one has a slot or a place in its queue for it, and a late response is
   worth more than none.  */
static bool
is_too_late (const struct ms_place *place,
             const struct ms_service_entry *service,
             const struct ms_offer *offer, const struct ms_fit *f)
{
  double left = (double)offer->target_left;
  double margin = 0;

  if (place->options.homes && place->options.homes->steady && !f->home
      && place->homes)
    margin = fmin (DUPLICATE_MARGIN * (double)f->duplicate
                       + MIN_MARGIN_FRACTION * left,
                   MAX_MARGIN_FRACTION * left);
  return service->model && (double)f->expected > left - margin;
}

/* Return whether E would take the request and is expected to begin it in
   time.  */
static bool
takes (struct ms_place *place, struct ms_endpoint_state *e,
       const struct ms_service_entry *service, const struct ms_offer *offer,
       const struct ms_fit *f, ms_time now)
{
  return has_free_capacity (place, e, service, offer)
         && ms_rate_allows (place, e, now)
         && !is_too_late (place, service, offer, f);
}

/* Return whether E may prefill what F says of shared parts.  Of a reserve,
   is_too_late asks for so much time left that it is not busy.  */
static bool
may_duplicate (const struct ms_endpoint_state *e,
               const struct ms_service_entry *service,
               const struct ms_homes *homes, const struct ms_fit *f)
{
  unsigned number;

  return f->duplicate <= SMALL_DUPLICATE_TOKENS
         || ms_homes_get (homes, e, &number) || is_lightly_loaded (e, service);
}

/* Return the number of the first of HOMES or their reserves that would take
   the request and begin it early enough; 0 if there is none.  */
static unsigned
first_ready (struct ms_place *place, const struct ms_service_entry *service,
             const struct ms_offer *offer, const struct ms_homes *homes,
             ms_time now)
{
  if (!place->options.homes || !place->options.homes->steady || offer->alone)
    return 0;
  for (unsigned i = 0; i < homes->count + homes->reserves; i++)
    {
      struct ms_endpoint_state *e = homes->list[i].endpoint;
      struct ms_fit f;

      if (was_tried (offer, e) || !ms_place_may_send (place, e, now)
          || e->error_rate >= MAX_HOME_ERROR_RATE)
        continue;
      predict (place, e, service, offer, homes, now, &f);
      if ((double)f.expected <= HOME_WAIT_FRACTION * (double)offer->target_left
          && takes (place, e, service, offer, &f, now)
          && may_duplicate (e, service, homes, &f))
        return i + 1;
    }
  return 0;
}

/* Return whether the request waits for the home that is out of service for a
   short while.  */
static bool
waits_for_home (const struct ms_place *place,
                const struct ms_service_entry *service,
                const struct ms_offer *offer, const struct ms_homes *homes,
                ms_time now)
{
  const struct ms_endpoint_state *e = homes->out;
  ms_time until;
  ms_time wait;

  if (!e || homes->count == 0 || offer->alone || was_tried (offer, e))
    return false;
  until = e->down_until > e->paused_until ? e->down_until : e->paused_until;
  wait = until - now;
  return wait > 0 && wait <= MAX_OUT_WAIT
         && (double)wait <= OUT_WAIT_FRACTION * (double)offer->target_left
         && (double)wait
                    + expected_time (place, e, service,
                                     unshared_tokens (offer))
                <= HOME_WAIT_FRACTION * (double)offer->target_left;
}

/* Return whether E is passed over since number READY of HOMES can begin the
   request early enough.  */
static bool
passes_over (const struct ms_homes *homes, unsigned ready,
             const struct ms_endpoint_state *e, const struct ms_fit *f)
{
  unsigned number;

  ms_homes_get (homes, e, &number);
  return f->duplicate > FREE_DUPLICATE_TOKENS && (!number || number > ready);
}

/* Choose E, whatever was chosen before.  */
static void
choose_probe (struct ms_choice *choice, struct ms_endpoint_state *e,
              const struct ms_fit *f)
{
  choice->endpoint = e;
  choice->fit = *f;
  choice->fit.rank = 0;
}

/* Return the largest random time, in microseconds, that is added where
   endpoints of SERVICE are compared.  */
static double
spread_of (const struct ms_place *place, uint64_t service)
{
  return (place->routers_count > SMALL_FLEET_MAX ? SPREAD_DEVIATIONS
                                                 : SPREAD_DEVIATIONS_SMALL)
         * ms_engine_wait_deviation_ms (place, service) * MS_MSEC;
}

/* Return the score of E by F, with a random time added to the expected one, of
   up to SPREAD microseconds at an endpoint as fast as usual.  With the inverse
   of the speed as its scale, endpoints with equal loads get requests in
   proportion to their speeds.  */
static double
spread_score (struct ms_place *place, const struct ms_endpoint_state *e,
              const struct ms_fit *f, double spread)
{
  struct ms_fit random = *f;

  if (spread > 0)
    random.expected += (ms_time)ms_random_below (
        &place->random,
        (uint64_t)(spread / ms_engine_speed_factor (place, e)) + 1);
  return place->policy->score (place, e, &random);
}

void
ms_place_choose (struct ms_place *place, const struct ms_offer *offer,
                 ms_time now, struct ms_choice *choice)
{
  const struct ms_service_entry *service
      = place->routes ? ms_routes_service (place->routes, offer->service)
                      : NULL;
  struct ms_homes homes;
  unsigned ready;
  bool waits;
  struct ms_crossings *crossings = ms_crossings_find (place, offer->service);
  const struct ms_endpoint_state *probed;
  struct ms_errors errors;
  double best_score = 0;
  double spread = spread_of (place, offer->service);
  ms_time earliest = MS_NEVER;
  ms_time resume_at = MS_NEVER;

  memset (choice, 0, sizeof *choice);
  choice->result = MS_PLACE_NONE;
  ms_homes_find (place, offer,
                 crossing_tokens (place, offer)
                     > ZONE_MISS_FRACTION * shared_tokens (offer),
                 now, &homes);
  ready = service ? first_ready (place, service, offer, &homes, now) : 0;
  waits = service && waits_for_home (place, service, offer, &homes, now);
  ms_errors_sum (place, offer->service, &errors);
  probed = ms_errors_probe (place, &errors, offer, now);
  for (unsigned i = 0; service && i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];
      struct ms_fit f;
      double score;

      if (!ms_place_is_candidate (offer, e))
        continue;
      if (now < e->paused_until && ms_place_in_service (place, e)
          && e->paused_until < resume_at)
        resume_at = e->paused_until;
      if (was_tried (offer, e) || !ms_place_may_send (place, e, now))
        continue;
      choice->usable++;
      predict (place, e, service, offer, &homes, now, &f);
      if (f.expected < earliest)
        earliest = f.expected;
      if (!takes (place, e, service, offer, &f, now)
          || !may_duplicate (e, service, &homes, &f)
          || (waits && f.duplicate > SMALL_DUPLICATE_TOKENS)
          || (ready && passes_over (&homes, ready, e, &f)))
        continue;
      f.errors = ms_errors_rate (&errors, e);
      score = ms_crossings_rank (place, crossings, offer, e, &f);
      if (ms_errors_avoids (&errors, e) && !offer->alone)
        f.rank = 2;
      /* After a probe that fails there must be time for another attempt.  */
      if (e == probed && 2 * f.expected <= offer->target_left)
        {
          choose_probe (choice, e, &f);
          break;
        }
      score += offer->alone ? (double)e->own.running + e->others.running
                            : spread_score (place, e, &f, spread);
      if (choice->endpoint
          && (f.rank > choice->fit.rank
              || (f.rank == choice->fit.rank && score >= best_score)))
        continue;
      best_score = score;
      choice->endpoint = e;
      choice->fit = f;
    }
  if (choice->endpoint)
    choice->result = MS_PLACED;
  else if (choice->usable)
    choice->result = MS_PLACE_FULL;
  if (!choice->usable && resume_at != MS_NEVER)
    choice->paused_for = resume_at - now;
  if (earliest != MS_NEVER && earliest > offer->target_left)
    choice->late_by = earliest - offer->target_left;
}

/* Return the service of E if that is an available endpoint of a model; NULL if
   not.  */
static const struct ms_service_entry *
available_model (const struct ms_place *place,
                 const struct ms_endpoint_state *e, ms_time now)
{
  const struct ms_service_entry *service
      = place->routes ? ms_routes_service (place->routes, e->entry.service)
                      : NULL;

  return service && service->model && ms_place_is_available (place, e, now)
             ? service
             : NULL;
}

/* Return the requests that may run at the model endpoint E at once: where it
   names a limit of requests per second, as many as run when that is used;
   where a rollout sends it no more, as many as still run.  */
static double
running_limit (const struct ms_place *place, const struct ms_endpoint_state *e,
               const struct ms_service_entry *service, ms_time now)
{
  double running = e->own.running + e->others.running;
  double used = ms_rate_used (place, e, now);
  double limit = e->limit > 0 ? e->limit
                              : MS_SLOT_FILL_FRACTION
                                    * (service->slots ? service->slots
                                                      : e->entry.slots);

  if (used > 0 && running / used < limit)
    return running / used;
  return limit;
}

bool
ms_place_endpoint_room (const struct ms_place *place,
                        const struct ms_endpoint_state *e,
                        const struct ms_service_entry *service,
                        uint32_t uncached, ms_time now,
                        struct ms_endpoint_room *room)
{
  struct ms_endpoint_state unloaded = *e;

  if (!ms_place_is_available (place, e, now) || now < e->cold_until
      || now < place->all_cold_until)
    return false;
  unloaded.own = (struct ms_load){ 0 };
  unloaded.others = (struct ms_load){ 0 };
  *room = (struct ms_endpoint_room){
    .limit = service->model   ? running_limit (place, e, service, now)
             : e->entry.slots ? e->entry.slots
                              : 1,
    .expected = (ms_time)expected_time (place, e, service, uncached),
    .unloaded = (ms_time)usual_time (place, &unloaded, service, uncached),
  };
  if (service->model && service->memory_tokens)
    room->memory_use
        = ((double)e->own.memory + e->others.memory)
          / (MEMORY_FILL_FRACTION * (double)service->memory_tokens);
  return true;
}

/* Sums over endpoints.  */
struct use_sums
{
  double running; /* Requests.  */
  double limits;  /* Requests that may run at once.  */
};

/* The same, for the use of the capacity: where a rollout sends no more
   requests, only those that still run.  */
static double
used_limit (const struct ms_place *place, const struct ms_endpoint_state *e,
            const struct ms_service_entry *service, ms_time now)
{
  return e->unused ? (double)e->own.running + e->others.running
                   : running_limit (place, e, service, now);
}

struct ms_place_use
ms_place_use (const struct ms_place *place, ms_time now)
{
  struct ms_place_use use = { 0, 0, 0, 0 };
  double unread = 0; /* Prompt tokens.  */
  struct use_sums all = { 0, 0 };
  struct use_sums busy = { 0, 0 };

  for (unsigned i = 0; i < place->count; i++)
    {
      const struct ms_endpoint_state *e = place->endpoints[i];
      const struct ms_service_entry *service = available_model (place, e, now);

      if (!service)
        continue;
      all.running += e->own.running + e->others.running;
      all.limits += used_limit (place, e, service, now);
      use.tokens += (double)e->own.memory + e->others.memory;
      use.read_rate += ms_engine_tokens_per_ms (place, service->id) * 1000
                       * ms_engine_speed_factor (place, e) / e->slowness;
      unread += (double)e->own.prefill + e->others.prefill;
    }
  for (unsigned i = 0; i < place->count; i++)
    {
      const struct ms_endpoint_state *e = place->endpoints[i];
      const struct ms_service_entry *service = available_model (place, e, now);
      double running = e->own.running + e->others.running;
      double limit = service ? used_limit (place, e, service, now) : 0;

      if (running * all.limits < IDLE_FRACTION * all.running * limit)
        continue;
      busy.running += running;
      busy.limits += limit;
    }
  if (use.read_rate > 0)
    use.wait_s = unread / use.read_rate;
  /* While the others are full, an endpoint at which hardly anything runs has
     probably failed, which routers without requests there do not see.  */
  if (busy.limits > 0)
    use.fraction = all.running
                   / (busy.limits
                      + fmax (0, 1 - busy.running / busy.limits)
                            * (all.limits - busy.limits));
  return use;
}

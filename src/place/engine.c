#include "place/internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/alloc.h"

/* Speed of model endpoints, learned from answers.

   An endpoint reads prompts in turn, and a router knows only late what others
   have sent there.  So a single answer tells no more than that the endpoint is
   at least as fast as if nothing had been queued before the request.  The same
   holds for the prompts that all routers together saw read within a while. The
   speed is the greatest of these lower bounds: the first is tight where
   endpoints are idle at times, the second where they never are.

   What comes before the first token besides reading is learned by service,
   from the fastest answers to requests of each size.  It counts as so many
   tokens, since a slow endpoint is slow in this too.

   Routers report extremes and sums, which others merge.  See
   docs/design/speeds.md.  */

/* Time constants of the sums' decay.  They decay by at most
   MAX_DECAY_TIME between two samples, so that a service without requests keeps
   its speed.  */
#define SERVICE_MEMORY (5.0 * MS_SEC)
#define ENDPOINT_MEMORY (6.0 * MS_SEC)
#define MAX_DECAY_TIME (0.5 * MS_SEC)

/* Samples with which a pace is first used, and the largest relative standard
   error of what running requests add to it.  */
#define MIN_SAMPLES 60
#define MAX_ERROR 0.1

/* The fastest answers count for one to two of these periods.  */
#define FAST_PERIOD (2 * MS_SEC)
#define BIN_PERIOD (20 * MS_SEC)

/* Answers in a bin of prompt sizes from which its fastest one is used.  */
#define MIN_BIN_SAMPLES 8

/* Bins of the sizes of prompts: from 1 token on, and each further one from
   twice as many as the one before; the last has no end.  */
#define FIRST_BIN_TOKENS 256

/* Time over which the prompts that were read are counted, in slots.  */
#define FLOW_SLOT (250 * MS_MSEC)

/* Part of an endpoint's speed that is forgotten in each second in which no
   answer confirms it.  */
#define SPEED_DECAY 0.05

/* A service whose requests differ by less than this in the running requests
   with which they were measured keeps its time for each running request.  */
#define MIN_RUNNING_DEVIATION 2.0

/* Samples that stand for the service's mean in an endpoint's factor.  */
#define PRIOR_SAMPLES 4.0

/* Bounds of learned speeds, wider than any known engine's, and of the factors
   of endpoints.  */
#define MIN_TOKENS_PER_MS 1.0
#define MAX_TOKENS_PER_MS 5000.0
#define MIN_TOKEN_MS 0.05
#define MAX_TOKEN_MS 1000.0
#define MAX_TOKEN_MS_PER_RUNNING 10.0
#define MIN_FACTOR 0.2
#define MAX_FACTOR 4.0

/* A sample counts as at most this many times what was predicted, plus
   SAMPLE_SLACK_MS: an endpoint that stalled tells nothing of its speed.  */
#define MAX_SAMPLE_RATIO 4.0
#define SAMPLE_SLACK_MS 50.0

/* Largest figures in the report of a router or zone: samples, the time of one,
   requests running at an endpoint, and tokens that one has read lately.  */
#define MAX_REPORT_SAMPLES 1e6
#define MAX_REPORT_MS 1e5
#define MAX_REPORT_RUNNING 1e5
#define MAX_REPORT_READ 1e7

/* To compare answers where the tokens that count for what precedes the first
   token are not known.  */
#define USUAL_FIXED_TOKENS 1000.0

/* The line through the bins needs this many of them, prompt sizes that differ
   by this ratio, and answers within this part of their time.  */
#define MIN_BINS 3
#define MIN_BIN_RATIO 2.0
#define MAX_BIN_ERROR 0.03

/* A speed is used once it is known of this part of the endpoints.  */
#define MIN_KNOWN_FRACTION 0.5

/* A request is expected to wait this many times the mean wait that is not
   known from queues: late answers take the place of others, and in the model
   of tests/test_engine.c more requests were in time with 2 than with 1 or 3.
 */
#define MARGIN_WAITS 2.0

/* A change by a fifth is told, at most once in this time.  */
#define TOLD_CHANGE 1.2
#define TOLD_PERIOD (5 * MS_SEC)

enum wait_sum
{
  WAIT_COUNT,
  WAIT_QUEUE, /* Time to read what is known to be queued before it.  */
  WAIT_TIME,  /* Time to the first token, less its own.  */
  WAIT_QUEUE_QUEUE,
  WAIT_QUEUE_TIME,
  WAIT_TIME_TIME
};

enum pace_sum
{
  PACE_COUNT,
  PACE_RUNNING,
  PACE_TIME,
  PACE_RUNNING_RUNNING,
  PACE_RUNNING_TIME,
  PACE_TIME_TIME
};

struct ms_engine
{
  uint64_t service;
  struct ms_engine_sums own;
  struct ms_engine_sums others;
  ms_time decayed_at;
  struct ms_engine_bin bins[2][MS_ENGINE_BINS]; /* Own; of this period and the
                                                   one before.  */
  ms_time period_at;
  struct ms_engine_bin others_bins[MS_ENGINE_BINS];
  bool fixed_learned;
  double fixed_tokens; /* What comes before the first token besides reading. */
  double queue_part; /* By how much of the time to read a known queue a request
                        waits.  */
  double wait_deviation_ms; /* Standard deviation of a wait from that.  */
  double wait_ms;           /* The wait without a known queue.  */
  struct ms_engine_speed speed;
  double told_tokens_per_ms;
  double told_token_ms;
  ms_time told_at;
  UT_hash_handle hh;
};

static struct ms_engine *
find_engine (const struct ms_place *place, uint64_t service)
{
  struct ms_engine *engine;

  HASH_FIND (hh, place->engines, &service, sizeof service, engine);
  return engine;
}

static struct ms_engine *
get_engine (struct ms_place *place, uint64_t service)
{
  const struct ms_place_speed *speed = &place->options.speed;
  struct ms_engine *engine = find_engine (place, service);

  if (engine)
    return engine;
  engine = ms_new (sizeof *engine);
  engine->service = service;
  engine->speed = (struct ms_engine_speed){
    .service = service,
    .tokens_per_ms = speed->prefill_tokens_per_ms,
    .token_ms = speed->token_ms,
    .token_ms_per_running = speed->token_ms_per_running,
    .min_factor = 1,
    .max_factor = 1,
  };
  engine->queue_part = 1;
  engine->told_tokens_per_ms = speed->prefill_tokens_per_ms;
  engine->told_token_ms = speed->token_ms;
  HASH_ADD (hh, place->engines, service, sizeof engine->service, engine);
  return engine;
}

void
ms_engines_destroy (struct ms_place *place)
{
  struct ms_engine *engine, *next;

  HASH_ITER (hh, place->engines, engine, next)
  {
    HASH_DEL (place->engines, engine);
    free (engine);
  }
}

/* Return the engine of a SERVICE whose learned speed is used; NULL if the
   speed is fixed or not known yet.  */
static const struct ms_engine *
learned (const struct ms_place *place, uint64_t service)
{
  return place->options.learn_speed ? find_engine (place, service) : NULL;
}

static double
clamp (double value, double min, double max)
{
  return fmin (fmax (value, min), max);
}

static double
read_factor (const struct ms_endpoint_state *e)
{
  return e->engine.read_factor > 0 ? e->engine.read_factor : 1;
}

static double
pace_factor (const struct ms_endpoint_state *e)
{
  return e->engine.pace_factor > 0 ? e->engine.pace_factor : 1;
}

double
ms_engine_speed_factor (const struct ms_place *place,
                        const struct ms_endpoint_state *e)
{
  return place->options.learn_speed ? read_factor (e) : 1;
}

double
ms_engine_tokens_per_ms (const struct ms_place *place, uint64_t service)
{
  const struct ms_engine *engine = learned (place, service);

  return engine && engine->speed.read_learned
             ? engine->speed.tokens_per_ms
             : place->options.speed.prefill_tokens_per_ms;
}

void
ms_engine_token_ms (const struct ms_place *place, uint64_t service,
                    double *token_ms, double *per_running)
{
  const struct ms_engine *engine = learned (place, service);
  bool known = engine && engine->speed.pace_learned;

  *token_ms = known ? engine->speed.token_ms : place->options.speed.token_ms;
  *per_running = known ? engine->speed.token_ms_per_running
                       : place->options.speed.token_ms_per_running;
}

double
ms_engine_pace_ms (const struct ms_place *place, uint64_t service,
                   unsigned running)
{
  double token_ms, per_running;

  ms_engine_token_ms (place, service, &token_ms, &per_running);
  return token_ms + per_running * running;
}

double
ms_engine_pace_factor (const struct ms_place *place,
                       const struct ms_endpoint_state *e)
{
  return place->options.learn_speed ? pace_factor (e) : 1;
}

double
ms_engine_first_token_ms (const struct ms_place *place, uint64_t service,
                          unsigned running, double queue, double own,
                          double factor)
{
  const struct ms_place_speed *speed = &place->options.speed;
  const struct ms_engine *engine = learned (place, service);

  if (engine && engine->speed.read_learned)
    return (engine->fixed_learned
                ? engine->fixed_tokens / (engine->speed.tokens_per_ms * factor)
                : speed->first_token_ms + speed->token_ms)
           + MARGIN_WAITS * engine->wait_ms
           + (queue * engine->queue_part + own)
                 / (engine->speed.tokens_per_ms * factor);
  return speed->first_token_ms + ms_engine_pace_ms (place, service, running)
         + (queue + own) / speed->prefill_tokens_per_ms / factor;
}

double
ms_engine_wait_deviation_ms (const struct ms_place *place, uint64_t service)
{
  const struct ms_engine *engine = learned (place, service);

  return engine && engine->speed.read_learned ? engine->wait_deviation_ms : 0;
}

static void
scale (float *sums, unsigned count, double factor)
{
  for (unsigned i = 0; i < count; i++)
    sums[i] *= (float)factor;
}

/* Return by how much sums with the time constant MEMORY decay until NOW, and
   set *AT to NOW.  */
static double
decay (ms_time *at, double memory, ms_time now)
{
  double elapsed = *at ? fmin ((double)(now - *at), MAX_DECAY_TIME) : 0;

  *at = now;
  return exp (-elapsed / memory);
}

static void
decay_all (struct ms_engine *engine, struct ms_endpoint_state *e, ms_time now)
{
  double factor = decay (&engine->decayed_at, SERVICE_MEMORY, now);
  struct ms_engine_share *own = &e->engine.own;

  scale (engine->own.wait, MS_ENGINE_WAIT_SUMS, factor);
  scale (engine->own.pace, MS_ENGINE_PACE_SUMS, factor);
  factor = decay (&e->engine.decayed_at, ENDPOINT_MEMORY, now);
  own->pace_samples *= (float)factor;
  own->pace_expected *= (float)factor;
  own->pace_ms *= (float)factor;
}

/* Return whether A is a faster answer than B, taking FIXED tokens to be read
   besides its own.  */
static bool
is_faster (const struct ms_engine_sample *a, const struct ms_engine_sample *b,
           double fixed)
{
  return a->ms > 0
         && (b->ms <= 0
             || (a->tokens + fixed) * b->ms > (b->tokens + fixed) * a->ms);
}

static void
merge_bin (struct ms_engine_bin *bin, const struct ms_engine_bin *other,
           double fixed)
{
  bin->count += other->count;
  if (is_faster (&other->fastest, &bin->fastest, fixed))
    bin->fastest = other->fastest;
}

static unsigned
bin_of (double tokens)
{
  unsigned bin = 0;

  for (double limit = FIRST_BIN_TOKENS;
       bin + 1 < MS_ENGINE_BINS && tokens >= limit; limit *= 2)
    bin++;
  return bin;
}

/* Start another period if it is time for that.  */
static void
turn_period (struct ms_engine *engine, ms_time now)
{
  if (engine->period_at && now - engine->period_at < BIN_PERIOD)
    return;
  memcpy (engine->bins[1], engine->bins[0], sizeof engine->bins[1]);
  memset (engine->bins[0], 0, sizeof engine->bins[0]);
  engine->period_at = now;
}

/* Note that TOKENS were read at the endpoint of STATE by NOW.  */
static void
note_read (struct ms_engine_state *state, double tokens, ms_time now)
{
  int64_t slot = now / FLOW_SLOT;

  if (slot - state->slot >= MS_ENGINE_SLOTS)
    memset (state->read, 0, sizeof state->read);
  else
    for (int64_t i = state->slot + 1; i <= slot; i++)
      state->read[i % MS_ENGINE_SLOTS] = 0;
  state->slot = slot;
  state->read[slot % MS_ENGINE_SLOTS] += (float)tokens;
}

/* Return the tokens read in the complete slots before NOW.  */
static double
recently_read (const struct ms_engine_state *state, ms_time now)
{
  int64_t slot = now / FLOW_SLOT;
  double sum = 0;

  for (int64_t i = slot - MS_ENGINE_SLOTS + 1; i < slot; i++)
    if (i >= 0 && i <= state->slot && i > state->slot - MS_ENGINE_SLOTS)
      sum += state->read[i % MS_ENGINE_SLOTS];
  return sum;
}

/* Add to the sums of ENGINE the wait of SAMPLE, of the request of LOAD, at an
   endpoint that reads SPEED tokens in a millisecond.  */
static void
note_wait (struct ms_engine *engine, const struct ms_load *load,
           const struct ms_engine_sample *sample, double speed)
{
  double queue = load->queue / speed;
  double wait = sample->ms - (sample->tokens + engine->fixed_tokens) / speed;
  float *sums = engine->own.wait;

  wait = clamp (wait, 0, MAX_SAMPLE_RATIO * queue + SAMPLE_SLACK_MS);
  sums[WAIT_COUNT] += 1;
  sums[WAIT_QUEUE] += (float)queue;
  sums[WAIT_TIME] += (float)wait;
  sums[WAIT_QUEUE_QUEUE] += (float)(queue * queue);
  sums[WAIT_QUEUE_TIME] += (float)(queue * wait);
  sums[WAIT_TIME_TIME] += (float)(wait * wait);
}

void
ms_engine_began (struct ms_place *place, struct ms_endpoint_state *e,
                 const struct ms_load *load, ms_time took, ms_time now)
{
  struct ms_engine *engine;
  struct ms_engine_state *state = &e->engine;
  struct ms_engine_sample sample
      = { (float)load->prefill, (float)took / MS_MSEC };
  struct ms_engine_bin bin = { 1, sample };

  if (!place->options.learn_speed || took <= 0)
    return;
  engine = get_engine (place, e->entry.service);
  decay_all (engine, e, now);
  turn_period (engine, now);
  note_read (state, load->prefill, now);
  if (!load->timed)
    return;
  if (!state->period_at || now - state->period_at >= FAST_PERIOD)
    {
      state->fastest[1] = state->fastest[0];
      state->fastest[0] = (struct ms_engine_sample){ 0, 0 };
      state->period_at = now;
    }
  if (is_faster (&sample, &state->fastest[0], engine->fixed_tokens))
    state->fastest[0] = sample;
  merge_bin (&engine->bins[0][bin_of (sample.tokens)], &bin,
             engine->fixed_tokens);
  note_wait (engine, load, &sample,
             engine->speed.tokens_per_ms * read_factor (e));
}

void
ms_engine_note_pace (struct ms_place *place, struct ms_endpoint_state *e,
                     double pace, ms_time now)
{
  struct ms_engine *engine;
  unsigned running = e->own.running + e->others.running;
  double ms = pace / MS_MSEC;
  double expected;
  float *sums;

  if (!place->options.learn_speed || pace <= 0)
    return;
  engine = get_engine (place, e->entry.service);
  decay_all (engine, e, now);
  sums = engine->own.pace;
  expected = ms_engine_pace_ms (place, engine->service, running);
  ms = fmin (ms,
             MAX_SAMPLE_RATIO * expected / pace_factor (e) + SAMPLE_SLACK_MS);
  e->engine.own.pace_samples += 1;
  e->engine.own.pace_expected += (float)expected;
  e->engine.own.pace_ms += (float)ms;
  ms *= pace_factor (e);
  sums[PACE_COUNT] += 1;
  sums[PACE_RUNNING] += (float)running;
  sums[PACE_TIME] += (float)ms;
  sums[PACE_RUNNING_RUNNING] += (float)running * (float)running;
  sums[PACE_RUNNING_TIME] += (float)(running * ms);
  sums[PACE_TIME_TIME] += (float)(ms * ms);
}

/* Return the sum of products about the means of two quantities whose sums are
   A and B.  */
static double
centred (double product, double a, double b, double count)
{
  return product - a * b / count;
}

/* Update what comes before the first token, from the fastest answers in bins
   of prompt sizes: the intercept of the line through them.  Only answers that
   nothing delayed are on a line, so that others change nothing.  */
static void
solve_fixed (struct ms_engine *engine)
{
  struct ms_engine_sample fastest[MS_ENGINE_BINS];
  unsigned count = 0;
  double x = 0, y = 0, xx = 0, xy = 0;
  double slope, intercept;

  for (unsigned i = 0; i < MS_ENGINE_BINS; i++)
    {
      struct ms_engine_bin bin = engine->others_bins[i];

      merge_bin (&bin, &engine->bins[0][i], engine->fixed_tokens);
      merge_bin (&bin, &engine->bins[1][i], engine->fixed_tokens);
      if (bin.count < MIN_BIN_SAMPLES)
        continue;
      fastest[count++] = bin.fastest;
      x += bin.fastest.tokens;
      y += bin.fastest.ms;
      xx += (double)bin.fastest.tokens * bin.fastest.tokens;
      xy += (double)bin.fastest.tokens * bin.fastest.ms;
    }
  if (count < MIN_BINS
      || fastest[count - 1].tokens < MIN_BIN_RATIO * fastest[0].tokens)
    return;
  slope = centred (xy, x, y, count) / centred (xx, x, x, count);
  intercept = (y - slope * x) / count;
  if (slope < 1 / MAX_TOKENS_PER_MS || slope > 1 / MIN_TOKENS_PER_MS
      || intercept < 0)
    return;
  for (unsigned i = 0; i < count; i++)
    if (fabs (intercept + slope * fastest[i].tokens - fastest[i].ms)
        > MAX_BIN_ERROR * fastest[i].ms)
      return;
  engine->fixed_tokens = intercept / slope;
  engine->fixed_learned = true;
}

/* Update how far a known queue predicts the wait, from the sums S.  */
static void
solve_wait (struct ms_engine *engine, const double *s)
{
  double n = s[WAIT_COUNT];
  double qq, qt, tt;

  if (n < MIN_SAMPLES)
    return;
  qq = centred (s[WAIT_QUEUE_QUEUE], s[WAIT_QUEUE], s[WAIT_QUEUE], n);
  qt = centred (s[WAIT_QUEUE_TIME], s[WAIT_QUEUE], s[WAIT_TIME], n);
  tt = centred (s[WAIT_TIME_TIME], s[WAIT_TIME], s[WAIT_TIME], n);
  engine->queue_part = qq > n ? clamp (qt / qq, 0, 1) : 1;
  engine->wait_deviation_ms = sqrt (
      fmax (tt - engine->queue_part * (2 * qt - engine->queue_part * qq), 0)
      / n);
  engine->wait_ms
      = fmax (s[WAIT_TIME] - engine->queue_part * s[WAIT_QUEUE], 0) / n;
}

/* Update the pace of ENGINE from the sums S.  */
static void
solve_pace (struct ms_engine *engine, const double *s)
{
  struct ms_engine_speed *speed = &engine->speed;
  double n = s[PACE_COUNT];
  double slope = speed->token_ms_per_running;
  double rr, rt, tt, mean;

  if (n < MIN_SAMPLES)
    return;
  mean = s[PACE_TIME] / n;
  rr = centred (s[PACE_RUNNING_RUNNING], s[PACE_RUNNING], s[PACE_RUNNING], n);
  rt = centred (s[PACE_RUNNING_TIME], s[PACE_RUNNING], s[PACE_TIME], n);
  tt = centred (s[PACE_TIME_TIME], s[PACE_TIME], s[PACE_TIME], n);
  if (rr > n * MIN_RUNNING_DEVIATION * MIN_RUNNING_DEVIATION
      && sqrt (fmax (tt - rt / rr * rt, 0) / n / rr) * s[PACE_RUNNING] / n
             < MAX_ERROR * mean)
    slope = clamp (rt / rr, 0, MAX_TOKEN_MS_PER_RUNNING);
  /* The times between tokens are at least half of it without other
     requests.  */
  slope = fmin (slope, 0.5 * mean * n / fmax (s[PACE_RUNNING], 1));
  speed->pace_learned = true;
  speed->token_ms_per_running = slope;
  speed->token_ms
      = clamp (mean - slope * s[PACE_RUNNING] / n, MIN_TOKEN_MS, MAX_TOKEN_MS);
}

/* Set what E's own share has of its answers to its values at NOW.  */
static void
update_share (struct ms_endpoint_state *e, ms_time now)
{
  struct ms_engine_state *state = &e->engine;

  state->own.read = (float)recently_read (state, now);
  state->own.fastest = state->fastest[0];
  if (is_faster (&state->fastest[1], &state->fastest[0], USUAL_FIXED_TOKENS))
    state->own.fastest = state->fastest[1];
  if (now - state->period_at >= 2 * FAST_PERIOD)
    state->own.fastest = (struct ms_engine_sample){ 0, 0 };
}

void
ms_engine_restarted (struct ms_place *place, struct ms_endpoint_state *e)
{
  struct ms_engine *engine = find_engine (place, e->entry.service);

  e->engine = (struct ms_engine_state){ 0 };
  /* The fastest answers may be those of the earlier start.  */
  if (engine)
    memset (engine->bins, 0, sizeof engine->bins);
}

static struct ms_engine_share
whole_share (const struct ms_endpoint_state *e)
{
  struct ms_engine_share all = e->engine.own;

  ms_engine_share_add (&all, &e->engine.others);
  return all;
}

/* Update the speed of E by the lower bounds that ALL of it gives.  */
static void
update_speed (const struct ms_engine *engine, struct ms_endpoint_state *e,
              const struct ms_engine_share *all, ms_time now)
{
  struct ms_engine_state *state = &e->engine;
  double window = (MS_ENGINE_SLOTS - 1) * (double)FLOW_SLOT / MS_MSEC;
  double bound = all->read / window;

  state->flow *= 1 - SPEED_DECAY * (double)(now - state->updated_at) / MS_SEC;
  if (state->best.ms > 0)
    state->best.ms
        *= 1
           + (float)(SPEED_DECAY * (double)(now - state->updated_at) / MS_SEC);
  state->updated_at = now;
  state->flow = fmax (state->flow, bound);
  if (is_faster (&all->fastest, &state->best, engine->fixed_tokens))
    state->best = all->fastest;
  state->speed = state->flow;
  if (state->best.ms > 0)
    state->speed
        = fmax (state->speed,
                (state->best.tokens + engine->fixed_tokens) / state->best.ms);
  state->speed = fmin (state->speed, MAX_TOKENS_PER_MS);
}

/* Return the ratio WORK / TIME to that of the service, WORKS / TIMES, where
   PRIOR of the service's time is added to both.  */
static double
relative_speed (double work, double time, double works, double times,
                double prior)
{
  if (works <= 0 || times <= 0)
    return 1;
  return clamp ((work + prior * works / times) / (time + prior) * times
                    / works,
                MIN_FACTOR, MAX_FACTOR);
}

static void
tell_endpoint (struct ms_place *place, const struct ms_engine *engine,
               struct ms_endpoint_state *e, ms_time now)
{
  double told = e->engine.told_factor > 0 ? e->engine.told_factor : 1;
  double factor = read_factor (e);

  if (!place->options.speed_changed || !engine->speed.read_learned
      || (factor < told * TOLD_CHANGE && told < factor * TOLD_CHANGE)
      || (e->engine.told_at && now - e->engine.told_at < TOLD_PERIOD))
    return;
  e->engine.told_factor = factor;
  e->engine.told_at = now;
  place->options.speed_changed (place->options.speed_context, &engine->speed,
                                e);
}

static void
tell_service (struct ms_place *place, struct ms_engine *engine, ms_time now)
{
  const struct ms_engine_speed *speed = &engine->speed;
  double read = speed->tokens_per_ms / engine->told_tokens_per_ms;
  double pace = speed->token_ms / engine->told_token_ms;

  if (!place->options.speed_changed
      || (read < TOLD_CHANGE && 1 < read * TOLD_CHANGE && pace < TOLD_CHANGE
          && 1 < pace * TOLD_CHANGE)
      || (engine->told_at && now - engine->told_at < TOLD_PERIOD))
    return;
  engine->told_tokens_per_ms = speed->tokens_per_ms;
  engine->told_token_ms = speed->token_ms;
  engine->told_at = now;
  place->options.speed_changed (place->options.speed_context, speed, NULL);
}

/* Update the speeds and factors of the endpoints of ENGINE.  The mean factor
   is 1, so that the service's speed is that of its mean endpoint.  */
static void
update_factors (struct ms_place *place, struct ms_engine *engine, ms_time now)
{
  struct ms_engine_share sums = { 0 };
  double speeds = 0, paces = 0;
  unsigned known = 0, count = 0;

  for (unsigned i = 0; i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];
      struct ms_engine_share all;

      if (e->entry.service != engine->service || !e->listed)
        continue;
      update_share (e, now);
      all = whole_share (e);
      ms_engine_share_add (&sums, &all);
      update_speed (engine, e, &all, now);
      speeds += e->engine.speed;
      known += e->engine.speed > 0;
      count++;
    }
  if (!known || known < MIN_KNOWN_FRACTION * count)
    return;
  engine->speed.read_learned = true;
  engine->speed.tokens_per_ms
      = clamp (speeds / known, MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS);
  engine->speed.min_factor = MAX_FACTOR;
  engine->speed.max_factor = 0;
  for (unsigned i = 0; i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];
      struct ms_engine_state *state = &e->engine;
      struct ms_engine_share all;

      if (e->entry.service != engine->service || !e->listed)
        continue;
      all = whole_share (e);
      state->read_factor
          = state->speed > 0
                ? clamp (state->speed / speeds * known, MIN_FACTOR, MAX_FACTOR)
                : 1;
      state->pace_factor = relative_speed (
          all.pace_expected, all.pace_ms, sums.pace_expected, sums.pace_ms,
          sums.pace_samples > 0
              ? PRIOR_SAMPLES * sums.pace_ms / sums.pace_samples
              : 0);
      paces += state->pace_factor;
      engine->speed.min_factor
          = fmin (engine->speed.min_factor, state->read_factor);
      engine->speed.max_factor
          = fmax (engine->speed.max_factor, state->read_factor);
      tell_endpoint (place, engine, e, now);
    }
  for (unsigned i = 0; i < place->count; i++)
    if (place->endpoints[i]->entry.service == engine->service
        && place->endpoints[i]->listed)
      place->endpoints[i]->engine.pace_factor *= count / paces;
}

void
ms_engines_tick (struct ms_place *place, ms_time now)
{
  struct ms_engine *engine, *next;

  if (!place->options.learn_speed)
    return;
  HASH_ITER (hh, place->engines, engine, next)
  {
    double wait[MS_ENGINE_WAIT_SUMS], pace[MS_ENGINE_PACE_SUMS];

    for (unsigned i = 0; i < MS_ENGINE_WAIT_SUMS; i++)
      wait[i] = (double)engine->own.wait[i] + engine->others.wait[i];
    for (unsigned i = 0; i < MS_ENGINE_PACE_SUMS; i++)
      pace[i] = (double)engine->own.pace[i] + engine->others.pace[i];
    solve_fixed (engine);
    solve_wait (engine, wait);
    solve_pace (engine, pace);
    update_factors (place, engine, now);
    tell_service (place, engine, now);
  }
}

void
ms_engine_share_add (struct ms_engine_share *sum,
                     const struct ms_engine_share *share)
{
  sum->read += share->read;
  if (is_faster (&share->fastest, &sum->fastest, USUAL_FIXED_TOKENS))
    sum->fastest = share->fastest;
  sum->pace_samples += share->pace_samples;
  sum->pace_expected += share->pace_expected;
  sum->pace_ms += share->pace_ms;
}

void
ms_engine_service_add (struct ms_engine_service_report *sum,
                       const struct ms_engine_service_report *other)
{
  sum->service = other->service;
  for (unsigned i = 0; i < MS_ENGINE_BINS; i++)
    merge_bin (&sum->bins[i], &other->bins[i], USUAL_FIXED_TOKENS);
  for (unsigned i = 0; i < MS_ENGINE_WAIT_SUMS; i++)
    sum->sums.wait[i] += other->sums.wait[i];
  for (unsigned i = 0; i < MS_ENGINE_PACE_SUMS; i++)
    sum->sums.pace[i] += other->sums.pace[i];
}

/* The start of E, as it is reported.  */
static uint32_t
start_of (const struct ms_endpoint_state *e)
{
  return (uint32_t)((uint64_t)e->entry.born ^ (uint64_t)e->entry.born >> 32);
}

unsigned
ms_place_report_engines (const struct ms_place *place,
                         struct ms_engine_report *reports, unsigned space)
{
  unsigned count = 0;

  for (unsigned i = 0; i < place->count && count < space; i++)
    {
      const struct ms_endpoint_state *e = place->endpoints[i];

      if (place->options.learn_speed && e->listed
          && (e->engine.own.read > 0 || e->engine.own.fastest.ms > 0
              || e->engine.own.pace_samples > 0))
        reports[count++]
            = (struct ms_engine_report){ e->id, start_of (e), e->engine.own };
    }
  return count;
}

unsigned
ms_place_report_services (const struct ms_place *place,
                          struct ms_engine_service_report *reports,
                          unsigned space)
{
  const struct ms_engine *engine, *next;
  unsigned count = 0;

  if (!place->options.learn_speed)
    return 0;
  HASH_ITER (hh, place->engines, engine, next)
  {
    struct ms_engine_service_report *r = &reports[count];

    if (count == space)
      break;
    count++;
    r->service = engine->service;
    r->sums = engine->own;
    memcpy (r->bins, engine->bins[0], sizeof r->bins);
    for (unsigned i = 0; i < MS_ENGINE_BINS; i++)
      merge_bin (&r->bins[i], &engine->bins[1][i], engine->fixed_tokens);
  }
  return count;
}

void
ms_engines_clear_others (struct ms_place *place)
{
  struct ms_engine *engine, *next;

  HASH_ITER (hh, place->engines, engine, next)
  {
    engine->others = (struct ms_engine_sums){ 0 };
    memset (engine->others_bins, 0, sizeof engine->others_bins);
  }
  for (unsigned i = 0; i < place->count; i++)
    place->endpoints[i]->engine.others = (struct ms_engine_share){ 0 };
}

/* Return whether COUNT VALUES are numbers from 0 on.  */
static bool
are_sums (const float *values, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    if (!isfinite (values[i]) || values[i] < 0)
      return false;
  return true;
}

/* Return whether SQUARE can be the sum of the squares of N values with the sum
   A, of which the mean is at most MAX.  A thousandth is for rounding.  */
static bool
is_consistent (double n, double a, double square, double max)
{
  return a <= n * max && square <= n * n * max * max
         && square * n >= a * a * 0.999;
}

/* Return whether S is no faster than any engine, or unknown.  */
static bool
is_plausible_sample (const struct ms_engine_sample *s)
{
  const float values[] = { s->tokens, s->ms };

  return are_sums (values, 2) && s->ms <= MAX_REPORT_MS
         && s->tokens <= s->ms * MAX_TOKENS_PER_MS;
}

static bool
is_plausible (const struct ms_engine_service_report *r)
{
  const float *w = r->sums.wait;
  const float *p = r->sums.pace;

  for (unsigned i = 0; i < MS_ENGINE_BINS; i++)
    if (!is_plausible_sample (&r->bins[i].fastest)
        || !are_sums (&r->bins[i].count, 1)
        || r->bins[i].count > MAX_REPORT_SAMPLES)
      return false;
  return are_sums (w, MS_ENGINE_WAIT_SUMS) && are_sums (p, MS_ENGINE_PACE_SUMS)
         && w[WAIT_COUNT] <= MAX_REPORT_SAMPLES
         && p[PACE_COUNT] <= MAX_REPORT_SAMPLES
         && is_consistent (w[WAIT_COUNT], w[WAIT_QUEUE], w[WAIT_QUEUE_QUEUE],
                           MAX_REPORT_MS)
         && w[WAIT_TIME] <= w[WAIT_COUNT] * MAX_REPORT_MS
         && is_consistent (p[PACE_COUNT], p[PACE_RUNNING],
                           p[PACE_RUNNING_RUNNING], MAX_REPORT_RUNNING)
         && is_consistent (p[PACE_COUNT], p[PACE_TIME], p[PACE_TIME_TIME],
                           MAX_REPORT_MS);
}

void
ms_place_add_others_service (struct ms_place *place,
                             const struct ms_engine_service_report *r)
{
  const struct ms_service_entry *service
      = place->routes ? ms_routes_service (place->routes, r->service) : NULL;
  struct ms_engine *engine;

  if (!place->options.learn_speed || !service || !service->model)
    return;
  if (!is_plausible (r))
    {
      place->speeds_rejected++;
      return;
    }
  engine = get_engine (place, r->service);
  for (unsigned i = 0; i < MS_ENGINE_WAIT_SUMS; i++)
    engine->others.wait[i] += r->sums.wait[i];
  for (unsigned i = 0; i < MS_ENGINE_PACE_SUMS; i++)
    engine->others.pace[i] += r->sums.pace[i];
  for (unsigned i = 0; i < MS_ENGINE_BINS; i++)
    merge_bin (&engine->others_bins[i], &r->bins[i], engine->fixed_tokens);
}

void
ms_place_add_others_engine (struct ms_place *place,
                            const struct ms_engine_report *r)
{
  struct ms_endpoint_state *e = ms_place_find (place, r->endpoint);
  const struct ms_engine_share *s = &r->share;
  const float values[]
      = { s->read, s->pace_samples, s->pace_expected, s->pace_ms };

  if (!place->options.learn_speed || !e || start_of (e) != r->start)
    return;
  if (!are_sums (values, sizeof values / sizeof *values)
      || !is_plausible_sample (&s->fastest) || s->read > MAX_REPORT_READ
      || s->pace_samples > MAX_REPORT_SAMPLES
      || s->pace_expected > s->pace_samples * MAX_REPORT_MS
      || s->pace_ms > s->pace_samples * MAX_REPORT_MS)
    {
      place->speeds_rejected++;
      return;
    }
  ms_engine_share_add (&e->engine.others, s);
}

unsigned
ms_place_engine_speeds (const struct ms_place *place,
                        struct ms_engine_speed *speeds, unsigned space)
{
  const struct ms_engine *engine, *next;
  unsigned count = 0;

  if (!place->options.learn_speed)
    return 0;
  HASH_ITER (hh, place->engines, engine, next)
  {
    if (count < space)
      speeds[count++] = engine->speed;
  }
  return count;
}

uint64_t
ms_place_speeds_rejected (const struct ms_place *place)
{
  return place->speeds_rejected;
}

#include "check.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/random.h"
#include "fleet/fleet.h"
#include "place/place.h"

/* Routers and model endpoints of several zones.  Callers keep to the routers
   of their zone.  An endpoint reads prompts one after the other and refuses
   requests beyond its slots.  Routers of a zone know each other's loads after
   an exchange, those of other zones one exchange later.  */
#define MODEL 11
#define MAX_ZONES 5
#define MAX_ROUTERS 295
#define MAX_ENDPOINTS 60
#define SLOTS 40
#define TICK (20 * MS_MSEC)
#define TARGET (400 * MS_MSEC)
#define OUTPUT 100
#define MEAN_PROMPT 3000
#define BYTES 3000
#define MAX_ATTEMPTS 4

/* What endpoints do, as the default of struct ms_place_speed.  */
#define TOKENS_PER_MS 100.0
#define FIRST_TOKEN_MS 30.0
#define TOKEN_MS 4.0
#define TOKEN_MS_PER_RUNNING 0.1

/* Requests per second that an endpoint can take: SLOTS times the part of them
   that routers fill, each for the time of a request at that load.  */
#define ENDPOINT_RATE (TOKENS_PER_MS * 1000 / MEAN_PROMPT)

/* Windows in which the requests that leave a zone are counted.  */
#define WINDOW (500 * MS_MSEC)
#define MAX_WINDOWS 100

static struct ms_service_entry services[] = { { .id = MODEL,
                                                .model = true,
                                                .slots = SLOTS,
                                                .memory_tokens = 100000000,
                                                .tokens_per_event = 1 } };
static const struct ms_routes routes
    = { .services = services, .services_count = 1 };

struct size
{
  unsigned zones;
  unsigned routers;   /* In all zones.  */
  unsigned endpoints; /* In each zone.  */
};
static const struct size sizes[]
    = { { 3, 9, 4 }, { 3, 82, 10 }, { 5, 295, 12 } };
#define SIZES (sizeof sizes / sizeof *sizes)

struct request
{
  unsigned router;
  uint32_t prompt;
  ms_time arrived;
  struct ms_endpoint_state *tried[MAX_ATTEMPTS];
  unsigned tried_count;
  /* While it runs.  */
  unsigned endpoint;
  struct ms_endpoint_state *state;
  struct ms_load load;
  ms_time sent_at;
  ms_time expected;
  ms_time first_at;
  ms_time ends_at;
  bool began;
};

struct list
{
  struct request *requests;
  unsigned count;
  unsigned space;
};

struct world
{
  struct size size;
  bool one_zone; /* All endpoints count as in one zone.  */
  struct ms_random random;
  struct ms_place *places[MAX_ROUTERS];
  unsigned router_zone[MAX_ROUTERS];
  unsigned endpoint_zone[MAX_ENDPOINTS];
  unsigned endpoints;
  unsigned running[MAX_ENDPOINTS];
  ms_time reads_until[MAX_ENDPOINTS];
  struct ms_load sums[MAX_ZONES][MAX_ENDPOINTS]; /* By zone of the router.  */
  struct ms_load old_sums[MAX_ZONES][MAX_ENDPOINTS];
  ms_time silent_since[MAX_ZONES]; /* Cut off from other zones; 0 if not.  */
  struct ms_load silent_sums[MAX_ZONES][MAX_ENDPOINTS];
  struct list waiting;
  struct list active;
  double load[MAX_ZONES]; /* Demand, relative to the endpoints of the zone.  */
  double owed[MAX_ZONES];
  ms_time now;

  unsigned arrived;
  unsigned in_time;
  unsigned refused;  /* By a router, as nothing was found in time.  */
  unsigned rejected; /* By an endpoint without a free slot.  */
  unsigned unplaced_with_room; /* Refused although an endpoint had room.  */
  unsigned left[MAX_ZONES];    /* Sent to another zone, by the own one.  */
  unsigned entered[MAX_ZONES]; /* The same, by the other one.  */
  /* Of the requests of zone 0 in each window.  */
  unsigned window_sent[MAX_WINDOWS];
  unsigned window_left[MAX_WINDOWS];
  double window_fraction[MAX_WINDOWS];
  unsigned changes; /* Calls of crossing_changed.  */
};

static uint64_t
zone_id (const struct world *w, unsigned zone)
{
  return w->one_zone ? 1 : zone + 1;
}

static void
note_change (void *context, const struct ms_crossing *crossing,
             const struct ms_crossing_zone *zone)
{
  struct world *w = context;

  (void)crossing;
  (void)zone;
  w->changes++;
}

static struct world *
create_world (const struct size *size, const char *policy, bool one_zone)
{
  struct world *w = ms_new (sizeof *w);

  w->size = *size;
  w->one_zone = one_zone;
  w->random.state = 7;
  w->endpoints = size->zones * size->endpoints;
  for (unsigned e = 0; e < w->endpoints; e++)
    w->endpoint_zone[e] = e % size->zones;
  for (unsigned r = 0; r < size->routers; r++)
    {
      const struct ms_place_options options = {
        .self = ms_id_pair (r + 1, 5),
        .zone = zone_id (w, r % size->zones),
        .cold_burst_factor = 1.5,
        .cold_slack = 5,
        .zone_byte_tokens = 0.03,
        .crossing = ms_crossing_policy (policy),
        .crossing_changed = note_change,
        .crossing_context = w,
      };

      w->router_zone[r] = r % size->zones;
      w->places[r] = ms_place_create (&options, ms_place_policy ("prefix"));
      ms_place_configure (w->places[r], &routes);
      for (unsigned e = 0; e < w->endpoints; e++)
        {
          struct ms_endpoint_entry entry
              = { .service = MODEL,
                  .zone = zone_id (w, w->endpoint_zone[e]),
                  .slots = SLOTS };

          entry.id.length = (size_t)snprintf (entry.id.data,
                                              sizeof entry.id.data, "e%u", e);
          ms_place_put (w->places[r], &entry, 0);
        }
    }
  return w;
}

static void
destroy_world (struct world *w)
{
  for (unsigned r = 0; r < w->size.routers; r++)
    ms_place_destroy (w->places[r]);
  free (w->waiting.requests);
  free (w->active.requests);
  free (w);
}

static void
append (struct list *list, const struct request *request)
{
  if (list->count == list->space)
    {
      list->space = list->space ? 2 * list->space : 256;
      list->requests
          = ms_resize (list->requests, list->space, sizeof *list->requests);
    }
  list->requests[list->count++] = *request;
}

static uint64_t
endpoint_id (unsigned e)
{
  char name[16];

  snprintf (name, sizeof name, "e%u", e);
  return ms_id (ms_str (name));
}

/* Add or take off LOAD where routers of the zone of router R report it.  */
static void
add_to_sums (struct world *w, unsigned r, unsigned e,
             const struct ms_load *load, int sign)
{
  struct ms_load *sum = &w->sums[w->router_zone[r]][e];

  sum->running += (uint32_t)sign * load->running;
  sum->prefill += (uint32_t)sign * load->prefill;
  sum->memory += (uint32_t)sign * load->memory;
}

static unsigned
window_index (const struct world *w)
{
  return (unsigned)(w->now / WINDOW) % MAX_WINDOWS;
}

/* Let the endpoint run request Q, which is sent to it.  Return false if it has
   no free slot.  */
static bool
run (struct world *w, struct request *q)
{
  unsigned e = q->endpoint;
  ms_time reads_from = w->reads_until[e] > w->now ? w->reads_until[e] : w->now;

  if (w->running[e] >= SLOTS)
    return false;
  w->running[e]++;
  w->reads_until[e]
      = reads_from + (ms_time)(q->load.prefill / TOKENS_PER_MS * MS_MSEC);
  q->first_at = w->reads_until[e]
                + (ms_time)((FIRST_TOKEN_MS + TOKEN_MS
                             + TOKEN_MS_PER_RUNNING * w->running[e])
                            * MS_MSEC);
  if (w->endpoint_zone[e] != w->router_zone[q->router])
    q->first_at += 2 * MS_MSEC;
  q->ends_at
      = q->first_at
        + (ms_time)(OUTPUT * (TOKEN_MS + TOKEN_MS_PER_RUNNING * w->running[e])
                    * MS_MSEC);
  return true;
}

/* Place request Q.  Return false if no endpoint takes it now.  */
static bool
place (struct world *w, struct request *q)
{
  struct ms_place *p = w->places[q->router];
  unsigned zone = w->router_zone[q->router];

  for (;;)
    {
      struct ms_offer offer = { .service = MODEL,
                                .prompt_tokens = q->prompt,
                                .output_tokens = OUTPUT,
                                .bytes = BYTES,
                                .target_left = q->arrived + TARGET - w->now,
                                .tried = q->tried,
                                .tried_count = q->tried_count };
      struct ms_choice choice;

      ms_place_choose (p, &offer, w->now, &choice);
      if (choice.result != MS_PLACED)
        return false;
      ms_place_sent (p, &offer, &choice, &q->load, w->now);
      q->state = choice.endpoint;
      q->expected = choice.fit.expected;
      q->sent_at = w->now;
      q->endpoint = (unsigned)atoi (choice.endpoint->entry.id.data + 1);
      if (w->endpoint_zone[q->endpoint] != zone)
        {
          w->left[zone]++;
          w->entered[w->endpoint_zone[q->endpoint]]++;
        }
      if (zone == 0)
        {
          w->window_sent[window_index (w)]++;
          w->window_left[window_index (w)]
              += w->endpoint_zone[q->endpoint] != 0;
        }
      if (run (w, q))
        {
          add_to_sums (w, q->router, q->endpoint, &q->load, 1);
          q->began = false;
          append (&w->active, q);
          return true;
        }
      ms_place_ended (p, q->state, &q->load, MS_END_REFUSED, w->now);
      w->rejected++;
      if (q->tried_count == MAX_ATTEMPTS)
        return false;
      q->tried[q->tried_count++] = q->state;
    }
}

/* Whether an endpoint in service has room in truth.  */
static bool
has_room (const struct world *w)
{
  for (unsigned e = 0; e < w->endpoints; e++)
    if (w->running[e] < 0.5 * SLOTS && w->reads_until[e] < w->now + TARGET / 4)
      return true;
  return false;
}

static void
retry_waiting (struct world *w)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < w->waiting.count; i++)
    {
      struct request q = w->waiting.requests[i];

      if (place (w, &q))
        continue;
      if (w->now < q.arrived + TARGET / 2)
        w->waiting.requests[kept++] = q;
      else
        {
          w->refused++;
          w->unplaced_with_room += has_room (w);
        }
    }
  w->waiting.count = kept;
}

static void
arrive (struct world *w)
{
  for (unsigned z = 0; z < w->size.zones; z++)
    {
      w->owed[z]
          += w->load[z] * w->size.endpoints * ENDPOINT_RATE * TICK / MS_SEC;
      for (; w->owed[z] >= 1; w->owed[z]--)
        {
          unsigned routers
              = (w->size.routers - z + w->size.zones - 1) / w->size.zones;
          struct request q = {
            .router = z
                      + w->size.zones
                            * (unsigned)ms_random_below (&w->random, routers),
            .prompt
            = MEAN_PROMPT / 4
              + (uint32_t)ms_random_below (&w->random, MEAN_PROMPT * 3 / 2),
            .arrived = w->now,
          };

          w->arrived++;
          if (!place (w, &q))
            append (&w->waiting, &q);
        }
    }
}

static void
proceed (struct world *w)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < w->active.count; i++)
    {
      struct request *q = &w->active.requests[i];
      struct ms_place *p = w->places[q->router];

      if (!q->began && w->now >= q->first_at)
        {
          const struct ms_load read = { .prefill = q->load.prefill };

          q->began = true;
          add_to_sums (w, q->router, q->endpoint, &read, -1);
          ms_place_began (p, q->state, &q->load, q->expected,
                          q->first_at - q->sent_at, w->now);
          w->in_time += q->first_at - q->arrived <= TARGET;
        }
      if (w->now < q->ends_at)
        {
          w->active.requests[kept++] = *q;
          continue;
        }
      add_to_sums (w, q->router, q->endpoint, &q->load, -1);
      ms_place_ended (p, q->state, &q->load, MS_END_GOOD, w->now);
      w->running[q->endpoint]--;
    }
  w->active.count = kept;
}

/* Let router R know the loads of the others.  A zone that is cut off is
   counted as it was then for a second, as a fleet does.  */
static void
exchange (struct world *w, unsigned r)
{
  struct ms_place *p = w->places[r];
  unsigned zone = w->router_zone[r];

  ms_place_clear_others (p);
  for (unsigned z = 0; z < w->size.zones; z++)
    {
      bool cut = z != zone && (w->silent_since[z] || w->silent_since[zone]);
      ms_time since
          = w->silent_since[z] ? w->silent_since[z] : w->silent_since[zone];
      ms_time age = cut ? w->now - since : z == zone ? 0 : 200 * MS_MSEC;
      unsigned routers
          = (w->size.routers - z + w->size.zones - 1) / w->size.zones;
      bool live = age <= MS_ROUTER_SILENT_TIME;

      if (!w->one_zone)
        ms_place_set_zone (p, zone_id (w, z), live ? routers : 0, age);
      for (unsigned e = 0; live && e < w->endpoints; e++)
        {
          struct ms_load load = z == zone     ? w->sums[z][e]
                                : cut         ? w->silent_sums[z][e]
                                : w->one_zone ? w->sums[z][e]
                                              : w->old_sums[z][e];

          if (z == zone)
            {
              const struct ms_endpoint_state *own
                  = ms_place_find (p, endpoint_id (e));

              load.running -= own->own.running;
              load.prefill -= own->own.prefill;
              load.memory -= own->own.memory;
            }
          if (load.running)
            ms_place_add_others (p, endpoint_id (e), &load);
        }
    }
}

static double
mean_fraction (const struct world *w, unsigned zone)
{
  double sum = 0;
  unsigned count = 0;

  for (unsigned r = zone; r < w->size.routers; r += w->size.zones, count++)
    for (unsigned z = 0; z < w->size.zones; z++)
      if (z != zone)
        sum += ms_place_crossing_fraction (w->places[r], zone_id (w, z));
  return sum / count;
}

static void
simulate (struct world *w, ms_time time)
{
  unsigned ticks = w->one_zone ? 1 : w->size.routers > 16 ? 8 : 5;

  for (ms_time end = w->now + time; w->now < end;)
    {
      w->now += TICK;
      proceed (w);
      if (w->now / TICK % ticks == 0)
        memcpy (w->old_sums, w->sums, sizeof w->sums);
      for (unsigned r = 0; r < w->size.routers; r++)
        {
          if (((unsigned)(w->now / TICK) + r) % ticks == 0)
            exchange (w, r);
          ms_place_tick (w->places[r], w->now);
        }
      retry_waiting (w);
      arrive (w);
      w->window_fraction[window_index (w)] = mean_fraction (w, 0);
    }
}

static void
clear_counts (struct world *w)
{
  w->arrived = w->in_time = w->refused = w->rejected = w->changes = 0;
  w->unplaced_with_room = 0;
  memset (w->left, 0, sizeof w->left);
  memset (w->entered, 0, sizeof w->entered);
}

/* Return how often VALUES changes direction by more than STEP.  */
static unsigned
count_reversals (const double *values, unsigned count, double step)
{
  double extreme = values[0]; /* Since the last change of direction.  */
  int direction = 0;
  unsigned reversals = 0;

  for (unsigned i = 1; i < count; i++)
    {
      double moved = values[i] - extreme;

      if (direction && moved * direction > 0)
        extreme = values[i];
      else if (fabs (moved) > step)
        {
          reversals += direction != 0;
          direction = moved > 0 ? 1 : -1;
          extreme = values[i];
        }
    }
  return reversals;
}

#ifdef EXPLORE
int
main (int argc, char **argv)
{
  double base = atof (argv[1]);
  double factor = atof (argv[2]);
  (void)argc;
  for (unsigned s = 0; s < SIZES; s++)
    for (int mode = argc > 3 ? atoi (argv[3]) : 0; mode < 3; mode++)
      {
        struct world *w = create_world (
            &sizes[s], mode == 2 ? "balanced" : "static", mode == 0);
        double out[MAX_WINDOWS];
        double f[MAX_WINDOWS];
        for (unsigned z = 0; z < sizes[s].zones; z++)
          w->load[z] = base;
        simulate (w, 3 * MS_SEC);
        clear_counts (w);
        w->load[0] = base * factor;
        simulate (w, 2 * MS_SEC);
        printf ("%u mode %d ramp: arrived %u in_time %.4f refused %u rej %u\n",
                sizes[s].routers, mode, w->arrived,
                (double)w->in_time / w->arrived, w->refused, w->rejected);
        clear_counts (w);
        simulate (w, 10 * MS_SEC);
        for (unsigned i = 10; i < 30; i++)
          {
            out[i - 10] = (double)w->window_left[i] / w->window_sent[i];
            f[i - 10] = w->window_fraction[i];
          }
        printf ("   steady: arrived %u in_time %.4f refused %u (room %u) rej "
                "%u left %.4f entered0 %u changes %u reversals out %u f %u\n",
                w->arrived, (double)w->in_time / w->arrived, w->refused,
                w->unplaced_with_room, w->rejected,
                (double)(w->left[0] + w->left[1] + w->left[2] + w->left[3]
                         + w->left[4])
                    / w->arrived,
                w->entered[0], w->changes, count_reversals (out, 20, 0.05),
                count_reversals (f, 20, 0.03));
        if (mode)
          {
            for (unsigned i = 0; i < 20; i++)
              printf (" %.2f/%.2f", out[i], f[i]);
            printf ("\n");
          }
        destroy_world (w);
      }
}
#endif

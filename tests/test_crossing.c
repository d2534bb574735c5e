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
  uint64_t ids[MAX_ENDPOINTS]; /* Of endpoints, as placement has them.  */
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
  /* Requests sent, by the zones of the router and of the endpoint.  */
  unsigned flow[MAX_ZONES][MAX_ZONES];
  bool evacuated[MAX_ZONES];
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
          w->ids[e] = ms_place_put (w->places[r], &entry, 0)->id;
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
      w->flow[zone][w->endpoint_zone[q->endpoint]]++;
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

      if (!w->one_zone && routers)
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
                  = ms_place_find (p, w->ids[e]);

              load.running -= own->own.running;
              load.prefill -= own->own.prefill;
              load.memory -= own->own.memory;
            }
          if (load.running)
            ms_place_add_others (p, w->ids[e], &load);
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
  memset (w->flow, 0, sizeof w->flow);
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

static void
set_loads (struct world *w, double load)
{
  for (unsigned z = 0; z < w->size.zones; z++)
    w->load[z] = load;
}

static void
evacuate (struct world *w, unsigned zone, bool out)
{
  w->evacuated[zone] = out;
  for (unsigned r = 0; r < w->size.routers; r++)
    ms_place_evacuate (w->places[r], zone_id (w, zone), out, w->now);
}

/* Cut ZONE off from the others: reports are no longer exchanged.  */
static void
cut_off (struct world *w, unsigned zone)
{
  w->silent_since[zone] = w->now;
  memcpy (w->silent_sums, w->sums, sizeof w->sums);
}

/* Return the part of the requests sent that left their zone.  */
static double
part_left (const struct world *w)
{
  unsigned sent = 0;
  unsigned left = 0;

  for (unsigned a = 0; a < w->size.zones; a++)
    for (unsigned b = 0; b < w->size.zones; b++)
      {
        sent += w->flow[a][b];
        left += a == b ? 0 : w->flow[a][b];
      }
  return sent ? (double)left / sent : 0;
}

static double
part_in_time (const struct world *w)
{
  return (double)w->in_time / w->arrived;
}

/* The policy to be tested: "static" in the environment variable CROSSING shows
   which tests it fails.  */
static const char *
tested_policy (void)
{
  const char *policy = getenv ("CROSSING");

  return policy ? policy : "balanced";
}

/* What came of a run in which the load of zone 0 jumps.  */
struct result
{
  double in_time; /* From the jump on.  */
  double left;
  double mutual; /* Requests exchanged in both directions between two zones, as
                    a part of all.  */
  unsigned reversals; /* Of the fraction, in the last 10 s.  */
  unsigned unplaced_with_room;
  double fraction; /* At the end.  */
};

static struct result
run_jump (const struct size *size, const char *policy, bool one_zone,
          double base, double factor)
{
  struct world *w = create_world (size, policy, one_zone);
  struct result result = { 0 };
  double fractions[20];
  unsigned from;

  set_loads (w, base);
  simulate (w, 3 * MS_SEC);
  clear_counts (w);
  w->load[0] = base * factor;
  simulate (w, 2 * MS_SEC);
  from = window_index (w);
  simulate (w, 10 * MS_SEC);
  for (unsigned i = 0; i < 20; i++)
    fractions[i] = w->window_fraction[from + i];
  result.reversals = count_reversals (fractions, 20, 0.1);
  result.in_time = part_in_time (w);
  result.left = part_left (w);
  result.unplaced_with_room = w->unplaced_with_room;
  result.fraction = mean_fraction (w, 0);
  for (unsigned a = 0; a < size->zones; a++)
    for (unsigned b = 0; b < a; b++)
      result.mutual += 2.0 * fmin (w->flow[a][b], w->flow[b][a]) / w->arrived;
  if (getenv ("VERBOSE"))
    printf ("%u routers, %s%s, load %.2f * %.1f: in time %.4f left %.4f "
            "mutual %.4f reversals %u fraction %.2f changes %u\n",
            size->routers, policy, one_zone ? " in one zone" : "", base,
            factor, result.in_time, result.left, result.mutual,
            result.reversals, result.fraction, w->changes);
  destroy_world (w);
  return result;
}

/* Fails if requests leave a zone that serves them itself: for a gain of some
   milliseconds, "static" sends them in both directions between zones of which
   none is short.  The factor of 0.25 was set before the first run.  */
static void
test_requests_stay_while_no_zone_is_short (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      struct result former = run_jump (&sizes[s], "static", false, 0.6, 1);
      struct result ideal = run_jump (&sizes[s], "static", true, 0.6, 1);
      struct result result
          = run_jump (&sizes[s], tested_policy (), false, 0.6, 1);

      assert_true (former.left > 0);
      assert_true (result.left <= 0.25 * former.left);
      assert_true (result.mutual < 0.01);
      assert_true (result.in_time >= 0.95 * ideal.in_time);
    }
}

/* Fails if a zone whose load jumps loses requests that other zones have room
   for, if the fraction that leaves swings, or if zones exchange requests.  */
static void
test_load_that_jumps_in_one_zone (void **state)
{
  static const struct
  {
    double base;
    double factor;
  } loads[] = { { 0.6, 1.5 }, { 0.55, 2 }, { 0.4, 3 }, { 0.5, 3 } };

  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    for (unsigned i = 0; i < sizeof loads / sizeof *loads; i++)
      {
        struct result free_of_cost = run_jump (&sizes[s], "static", true,
                                               loads[i].base, loads[i].factor);
        struct result result = run_jump (&sizes[s], tested_policy (), false,
                                         loads[i].base, loads[i].factor);

        assert_true (result.in_time >= 0.95 * free_of_cost.in_time);
        /* The endpoints of all zones could serve all requests, which those
           without a cost do not find because routers choose the same ones.  */
        assert_true (result.in_time >= 0.95);
        assert_true (result.reversals <= 4);
        assert_true (result.mutual < 0.01);
        assert_int_equal (result.unplaced_with_room, 0);
      }
}

/* Return a world of SIZE with LOAD in each zone that has run for some time. */
static struct world *
start_world (const struct size *size, double load)
{
  struct world *w = create_world (size, tested_policy (), false);

  set_loads (w, load);
  simulate (w, 3 * MS_SEC);
  clear_counts (w);
  return w;
}

/* Print what came of the phase NAME of W, if that is wanted.  */
static void
report (const struct world *w, const char *name)
{
  if (!getenv ("VERBOSE"))
    return;
  printf ("%u routers, %s: in time %.4f refused %u (%u with room) fraction "
          "%.3f flow",
          w->size.routers, name, part_in_time (w), w->refused,
          w->unplaced_with_room, mean_fraction (w, 0));
  for (unsigned a = 0; a < w->size.zones; a++)
    for (unsigned b = 0; b < w->size.zones; b++)
      if (a != b)
        printf (" %u", w->flow[a][b]);
  printf ("\n");
}

/* Fails if the requests of an evacuated zone wait for a fraction that rises
   slowly, or if all go to one zone.  */
static void
test_own_zone_is_evacuated (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      struct world *w = start_world (&sizes[s], 0.5);
      double fraction;

      evacuate (w, 0, true);
      simulate (w, 200 * MS_MSEC);
      fraction = mean_fraction (w, 0);
      assert_int_equal (w->flow[0][0], 0);
      simulate (w, 5 * MS_SEC);
      report (w, "own zone evacuated");
      assert_true (fraction > 0.99);
      assert_int_equal (w->unplaced_with_room, 0);
      assert_int_equal (w->refused, 0);
      assert_true (part_in_time (w) > 0.95);
      assert_true (w->flow[0][1] < 1.2 * w->flow[0][2]);
      assert_true (w->flow[0][2] < 1.2 * w->flow[0][1]);
      /* Requests return once the endpoints are no longer cold.  */
      evacuate (w, 0, false);
      simulate (w, 10 * MS_SEC);
      clear_counts (w);
      simulate (w, 2 * MS_SEC);
      assert_true (part_left (w) < 0.01);
      destroy_world (w);
    }
}

/* Return the requests that routers of zone FROM have sent to zone TO with a
   permit, since their start.  */
static unsigned
count_permitted (const struct world *w, unsigned from, unsigned to)
{
  unsigned permitted = 0;

  for (unsigned r = from; r < w->size.routers; r += w->size.zones)
    {
      unsigned count;
      const struct ms_crossing_count *counts
          = ms_place_crossing_counts (w->places[r], &count);

      for (unsigned i = 0; i < count; i++)
        if (counts[i].zone == zone_id (w, to))
          permitted += (unsigned)counts[i].permitted;
    }
  return permitted;
}

/* Return the lesser of A and B.  */
static unsigned
lesser (unsigned a, unsigned b)
{
  return a < b ? a : b;
}

/* Run a world of SIZE in which zones 0 and 1 get more than they can serve, and
   return the part of all requests that these zones swapped.  */
static double
swapped_in_trouble (const struct size *size, const char *policy)
{
  struct world *w = create_world (size, policy, false);
  double swapped;

  set_loads (w, 0.3);
  simulate (w, 3 * MS_SEC);
  clear_counts (w);
  w->load[0] = 1.3;
  w->load[1] = 1.2;
  simulate (w, 10 * MS_SEC);
  report (w, policy);
  swapped = (double)lesser (w->flow[0][1], w->flow[1][0]) / w->arrived;
  assert_int_equal (w->unplaced_with_room, 0);
  assert_true (lesser (count_permitted (w, 0, 1), count_permitted (w, 1, 0))
               <= 0.001 * w->arrived);
  assert_true (w->flow[2][0] + w->flow[2][1] < 0.01 * w->arrived
               || strcmp (policy, "static") == 0);
  destroy_world (w);
  return swapped;
}

/* Fails if two zones that are both short send requests to each other.  Those
   that their own zone cannot begin in time may still leave.  */
static void
test_zones_in_trouble_do_not_swap_requests (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      double former = swapped_in_trouble (&sizes[s], "static");
      double swapped = swapped_in_trouble (&sizes[s], tested_policy ());

      assert_true (swapped <= 0.25 * former);
      assert_true (swapped <= 0.03);
    }
}

/* Fails if requests are permitted to go to a zone that is not heard any more,
   where they would be added to a load that is not known; or if they are
   refused because of that.  */
static void
test_target_is_cut_off (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      struct world *w = start_world (&sizes[s], 0.45);
      double before = 0;
      double after = 0;

      w->load[0] = 1.4;
      simulate (w, 5 * MS_SEC);
      for (unsigned r = 0; r < w->size.routers; r += w->size.zones)
        before += ms_place_crossing_fraction (w->places[r], zone_id (w, 1));
      cut_off (w, 1);
      simulate (w, 2500 * MS_MSEC);
      clear_counts (w);
      simulate (w, 3 * MS_SEC);
      for (unsigned r = 0; r < w->size.routers; r += w->size.zones)
        after += ms_place_crossing_fraction (w->places[r], zone_id (w, 1));
      report (w, "a target cut off");
      assert_true (before > 0);
      assert_true (after < 0.01 * before);
      assert_int_equal (w->unplaced_with_room, 0);
      assert_true (w->flow[0][1] < 0.5 * w->flow[0][2]);
      destroy_world (w);
    }
}

/* Fails if requests go on to a target zone that is evacuated, or are refused
   then although a third zone has room.  */
static void
test_target_is_evacuated (void **state)
{
  (void)state;
  for (unsigned s = 0; s < SIZES; s++)
    {
      struct world *w = start_world (&sizes[s], 0.25);

      w->load[0] = 1.15;
      simulate (w, 5 * MS_SEC);
      assert_true (w->flow[0][1] > 0);
      clear_counts (w);
      evacuate (w, 1, true);
      simulate (w, 3 * MS_SEC);
      report (w, "target evacuated");
      assert_int_equal (w->flow[0][1], 0);
      assert_int_equal (w->unplaced_with_room, 0);
      assert_true (part_in_time (w) > 0.9);
      destroy_world (w);
    }
}

/* Fails if a fleet of one router, which hears of no zone, does not use the
   endpoints of other zones when its own are short.  */
static void
test_one_router (void **state)
{
  static const struct size size = { 3, 1, 4 };
  struct world *w = create_world (&size, tested_policy (), false);

  (void)state;
  w->load[0] = 0.5;
  simulate (w, 3 * MS_SEC);
  assert_true (part_left (w) < 0.01);
  clear_counts (w);
  w->load[0] = 2.2;
  simulate (w, 10 * MS_SEC);
  report (w, "one router");
  assert_true (part_in_time (w) > 0.95);
  assert_int_equal (w->refused, 0);
  destroy_world (w);
}

/* Fails if a request without a permit is refused although another zone could
   serve it, or if a permit lets it pass the pause of an endpoint.  */
static void
test_permits_neither_refuse_nor_bypass (void **state)
{
  static const struct size size = { 3, 1, 1 };
  struct world *w = create_world (&size, tested_policy (), false);
  struct ms_place *p = w->places[0];
  const struct ms_load full = { .running = SLOTS };
  const struct ms_offer offer = { .service = MODEL,
                                  .prompt_tokens = 1000,
                                  .output_tokens = OUTPUT,
                                  .bytes = BYTES,
                                  .target_left = TARGET };
  struct ms_choice choice;

  (void)state;
  ms_place_tick (p, MS_SEC);
  ms_place_choose (p, &offer, MS_SEC, &choice);
  assert_int_equal (choice.endpoint->entry.zone, 1);
  ms_place_add_others (p, w->ids[0], &full);
  ms_place_tick (p, 2 * MS_SEC);
  ms_place_choose (p, &offer, 2 * MS_SEC, &choice);
  assert_int_equal (choice.result, MS_PLACED);
  assert_int_not_equal (choice.endpoint->entry.zone, 1);
  ms_place_pause (p, ms_place_find (p, w->ids[1]), 5 * MS_SEC, 2 * MS_SEC);
  ms_place_choose (p, &offer, 2 * MS_SEC, &choice);
  assert_int_equal (choice.endpoint->entry.zone, 3);
  ms_place_pause (p, ms_place_find (p, w->ids[2]), 5 * MS_SEC, 2 * MS_SEC);
  ms_place_choose (p, &offer, 2 * MS_SEC, &choice);
  assert_int_equal (choice.result, MS_PLACE_FULL);
  destroy_world (w);
}

/* Fails if the directory leaves callers in a zone whose endpoints are short,
   or refers more callers to another zone than to their own at equal use.  */
static void
test_directory_follows_the_fraction (void **state)
{
  double idle = ms_directory_weight (0.1, 0.1, false);

  (void)state;
  assert_true (ms_directory_need_weight (idle, 0.1, 0) == idle);
  assert_true (ms_directory_need_weight (idle, 0.1, 0.4) > 2 * idle);
  assert_true (ms_directory_need_weight (idle, 0.1, 1)
               <= ms_directory_weight (0.1, 0.1, true));
  /* What the use of processor time demands is not lowered.  */
  assert_true (ms_directory_need_weight (0.9, 0.1, 0.1) >= 0.9);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_requests_stay_while_no_zone_is_short),
    cmocka_unit_test (test_load_that_jumps_in_one_zone),
    cmocka_unit_test (test_own_zone_is_evacuated),
    cmocka_unit_test (test_zones_in_trouble_do_not_swap_requests),
    cmocka_unit_test (test_target_is_cut_off),
    cmocka_unit_test (test_target_is_evacuated),
    cmocka_unit_test (test_one_router),
    cmocka_unit_test (test_permits_neither_refuse_nor_bypass),
    cmocka_unit_test (test_directory_follows_the_fraction),
  };

  return RUN (tests);
}

#include <string.h>

#include "replay/internal.h"

/* Slots count for the utilisation only while a team has had waiting requests
   for longer than this: by then it should have got any free slot.  */
#define UTILISATION_DELAY (300 * MS_MSEC)

/* Whether GENERATION is among the last 64 that the log accepted.  */
static bool
was_accepted (const struct world *world, uint64_t generation)
{
  for (int i = 0; i < 64; i++)
    if (world->accepted_history[i] == generation)
      return true;
  return false;
}

void
world_check_generation (struct world *world, int index)
{
  struct world_node *node = &world->nodes[index];
  const struct ms_view *view = ms_node_view (node->node);
  uint64_t generation
      = ms_node_ready (node->node) ? view->config->generation : 0;

  if (!generation)
    return;
  if (generation < node->generation)
    world->stats.reverted++;
  if (generation != node->generation && !was_accepted (world, generation))
    world->stats.unaccepted++;
  node->generation = generation;
}

/* Update waiting and waiting_since of WORLD.  */
static void
count_waiting (struct world *world)
{
  memset (world->waiting, 0, sizeof world->waiting);
  for (size_t i = 0; i < world->calls_count; i++)
    {
      const struct world_call *call = &world->calls[i];

      if (call->state == CALL_WAITING && call->sent_at <= world->now)
        world->waiting[call->service][call->team]++;
    }
  for (int s = 0; s < WORLD_MAX_SERVICES; s++)
    for (int t = 0; t < WORLD_MAX_TEAMS; t++)
      if (!world->waiting[s][t])
        world->waiting_since[s][t] = world->now;
}

/* The gap of teams I and J at service S is how far the difference of their
   work moved while both had waiting requests without a break.  */
static void
update_pair_gap (struct world *world, int s, int i, int j)
{
  struct team_pair *pair = &world->pairs[s][i][j];
  double weight_i = world->config->teams[i].weight;
  double weight_j = world->config->teams[j].weight;
  double difference
      = world->work_done[s][i] / weight_i - world->work_done[s][j] / weight_j;

  if (world->gap_paused || !world->waiting[s][i] || !world->waiting[s][j])
    {
      pair->backlogged = false;
      return;
    }
  if (!pair->backlogged)
    *pair = (struct team_pair){ true, difference, difference };
  if (difference < pair->lowest)
    pair->lowest = difference;
  if (difference > pair->highest)
    pair->highest = difference;
  if (pair->highest - pair->lowest > world->stats.gap[s])
    {
      world->stats.gap[s] = pair->highest - pair->lowest;
      world->stats.gap_at[s] = world->now;
    }
}

static void
update_gaps (struct world *world)
{
  unsigned teams = world->config->teams_count;

  for (unsigned s = 0; s < world->config->services_count; s++)
    for (unsigned i = 0; i < teams; i++)
      for (unsigned j = i + 1; j < teams; j++)
        update_pair_gap (world, (int)s, (int)i, (int)j);
}

static bool
in_service (const struct world *world, const struct world_endpoint *e)
{
  uint64_t zone = ms_id (ms_str (e->spec->zone));

  for (unsigned i = 0; i < world->zones_count; i++)
    if (world->zones[i].id == zone)
      return world->zones[i].in_service;
  return false;
}

/* Slots count only while work waits that they could run, on warm endpoints
   that are up and in service.  */
static void
update_utilisation (struct world *world)
{
  bool work_waits[WORLD_MAX_SERVICES] = { false };

  for (unsigned s = 0; s < world->config->services_count; s++)
    for (unsigned t = 0; t < world->config->teams_count; t++)
      work_waits[s]
          |= world->waiting[s][t]
             && world->now - world->waiting_since[s][t] > UTILISATION_DELAY;
  for (unsigned i = 0; i < world->endpoints_count; i++)
    {
      const struct world_endpoint *e = &world->endpoints[i];

      if (!e->up || e->leaving || e->service < 0 || !work_waits[e->service]
          || world_is_cold (world, (int)i) || !in_service (world, e))
        continue;
      world->stats.usable_slots[e->service] += e->spec->warm_limit;
      world->stats.busy_slots[e->service] += e->running < e->spec->warm_limit
                                                 ? e->running
                                                 : e->spec->warm_limit;
    }
}

/* Whether NODE can be expected to get a new configuration.  This includes a
   router with log_cut, which gets it from other routers.  */
static bool
is_connected (const struct world_node *node)
{
  return node->node && !node->partitioned && !node->frozen_until
         && ms_node_ready (node->node);
}

/* Note how long the accepted generation took to be in force at all connected
   routers, once it is.  */
static void
update_config_spread (struct world *world)
{
  if (world->config_spread || !world->accepted_generation)
    return;
  for (unsigned i = 0; i < world->nodes_count; i++)
    if (is_connected (&world->nodes[i])
        && world->nodes[i].generation < world->accepted_generation)
      return;
  world->config_spread = true;
  if (world->now - world->accepted_at > world->stats.in_force)
    world->stats.in_force = world->now - world->accepted_at;
}

static void
update_peak_bytes (struct world *world)
{
  for (unsigned i = 0; i < world->nodes_count; i++)
    if (world->nodes[i].node)
      {
        uint64_t bytes
            = ms_node_status (world->nodes[i].node, world->now).bytes;

        if (bytes > world->stats.peak_bytes)
          world->stats.peak_bytes = bytes;
      }
}

/* Log how many requests wait and run at each service and, for each router that
   is up, how many slots it has granted and how many it dispatches; "!" marks a
   router whose view of the log is stale.  */
static void
print_state (const struct world *world)
{
  FILE *file = world->options.verbose;

  fprintf (file, "%lld s:", (long long)(world->now / MS_SEC));
  for (unsigned s = 0; s < world->config->services_count; s++)
    {
      unsigned waiting = 0;
      unsigned running = 0;

      for (unsigned t = 0; t < world->config->teams_count; t++)
        waiting += world->waiting[s][t];
      for (unsigned i = 0; i < world->endpoints_count; i++)
        if (world->endpoints[i].service == (int)s)
          running += world->endpoints[i].running;
      fprintf (file, " %s waiting=%u running=%u",
               world->config->services[s].name, waiting, running);
    }
  for (unsigned i = 0; i < world->nodes_count; i++)
    if (world->nodes[i].node)
      {
        struct ms_node_status status
            = ms_node_status (world->nodes[i].node, world->now);

        fprintf (file, " %s:%u/%u%s", world->nodes[i].name,
                 status.dispatch.granted, status.dispatch.slots,
                 status.stale ? "!" : "");
      }
  fputc ('\n', file);
}

void
world_sample (struct world *world)
{
  world_advance_runs (world);
  count_waiting (world);
  update_gaps (world);
  update_utilisation (world);
  if (world->options.verbose && world->now % MS_SEC < SAMPLE_PERIOD)
    print_state (world);
  update_config_spread (world);
  update_peak_bytes (world);
}

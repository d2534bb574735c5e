#include <string.h>

#include "base/alloc.h"
#include "replay/internal.h"

#define PROGRESS_PERIOD (250 * MS_MSEC)
#define CRASH_DELAY (50 * MS_MSEC) /* From the start of the request.  */
#define CRASH_RESTART_DELAY (2 * MS_SEC)
/* From the start of an attempt that fails before it runs to the report.  */
#define CONNECT_REFUSED_DELAY (1 * MS_MSEC)
#define LATE_END_DELAY (700 * MS_MSEC) /* Of the second report of an end.  */

int
world_find_endpoint (const struct world *world, const char *name)
{
  for (unsigned i = 0; i < world->endpoints_count; i++)
    if (strcmp (world->endpoints[i].spec->name, name) == 0)
      return (int)i;
  return -1;
}

bool
world_is_cold (const struct world *world, int endpoint)
{
  return world->now < world->endpoints[endpoint].warm_at;
}

static void
record_load (struct world *world, struct world_endpoint *endpoint)
{
  endpoint->load_history[endpoint->load_history_next].at = world->now;
  endpoint->load_history[endpoint->load_history_next].running
      = endpoint->running;
  endpoint->load_history_next
      = (endpoint->load_history_next + 1) % WORLD_LOAD_HISTORY;
}

unsigned
world_load_at (const struct world *world, int index, ms_time at)
{
  const struct world_endpoint *e = &world->endpoints[index];
  unsigned running = 0;
  ms_time newest_at = -1;

  /* From the oldest entry on; of changes at the same time, the last counts. */
  for (int i = 0; i < WORLD_LOAD_HISTORY; i++)
    {
      int k = (int)(e->load_history_next + (unsigned)i) % WORLD_LOAD_HISTORY;

      if (e->load_history[k].at <= at && e->load_history[k].at >= newest_at)
        {
          newest_at = e->load_history[k].at;
          running = e->load_history[k].running;
        }
    }
  return running;
}

/* Return the cost units that RUN does in a microsecond at present.  */
static double
units_per_us (const struct world *world, const struct world_run *run)
{
  const struct world_endpoint *e = &world->endpoints[run->endpoint];
  double unit = (double)e->spec->unit_us;

  return 1
         / (world_is_cold (world, run->endpoint) ? unit * COLD_SLOWDOWN
                                                 : unit);
}

/* Bring the progress of RUN up to now, at RATE cost units per microsecond.
   The rate has not changed since the last update, because each change of an
   endpoint's speed updates its runs first (reschedule_runs).  */
static void
advance_run (struct world *world, struct world_run *run, double rate)
{
  const struct world_call *call = &world->calls[run->call];
  double gained = (double)(world->now - run->updated_at) * rate;

  if (run->done_units + gained > run->cost)
    gained = run->cost - run->done_units;
  run->done_units += gained;
  run->updated_at = world->now;
  world->work_done[call->service][call->team] += gained;
}

void
world_advance_runs (struct world *world)
{
  for (size_t i = 0; i < world->runs_count; i++)
    if (world->runs[i].active)
      advance_run (world, &world->runs[i],
                   units_per_us (world, &world->runs[i]));
}

/* Schedule the end of the run at its present rate; this replaces the end that
   was scheduled before.  */
static void
schedule_end (struct world *world, size_t index)
{
  struct world_run *run = &world->runs[index];
  double left_us = (run->cost - run->done_units) / units_per_us (world, run);

  run->end_version++;
  world_push (world, (struct item){ .at = world->now + (ms_time)left_us + 1,
                                    .kind = ITEM_RUN_END,
                                    .node = -1,
                                    .a = index,
                                    .b = run->end_version });
}

/* The speed of ENDPOINT has changed from OLD_RATE (cost units per
   microsecond): bring its runs up to now and schedule their ends anew.  */
static void
reschedule_runs (struct world *world, int endpoint, double old_rate)
{
  for (size_t i = 0; i < world->runs_count; i++)
    {
      struct world_run *run = &world->runs[i];

      if (!run->active || run->endpoint != endpoint)
        continue;
      advance_run (world, run, old_rate);
      schedule_end (world, i);
    }
}

/* Schedule the end of the cold start of ENDPOINT.  */
static void
schedule_warm (struct world *world, int endpoint)
{
  world_push (world, (struct item){ .at = world->endpoints[endpoint].warm_at,
                                    .kind = ITEM_ENDPOINT_START,
                                    .node = -1,
                                    .a = (uint64_t)endpoint,
                                    .b = 1 });
}

/* Whether a router is partitioned.  The routers whose requests an endpoint's
   restart reset may then be unable to report it to the dispatcher, which
   learns of the restart only from the endpoint's load reports.  */
static bool
any_node_partitioned (const struct world *world)
{
  for (unsigned i = 0; i < world->nodes_count; i++)
    if (world->nodes[i].partitioned)
      return true;
  return false;
}

void
world_endpoint_start (struct world *world, int index)
{
  struct world_endpoint *e = &world->endpoints[index];

  e->up = true;
  e->start_id++;
  e->started_at = world->now;
  e->warm_at = world->now + e->spec->cold_start;
  e->unannounced_since = any_node_partitioned (world) ? world->now : 0;
  schedule_warm (world, index);
}

void
world_endpoint_init (struct world *world, int index)
{
  struct world_endpoint *e = &world->endpoints[index];

  e->spec = &world->trace->endpoints[index];
  e->id = ms_id (ms_str (e->spec->name));
  e->service = world_find_service (world, ms_id (ms_str (e->spec->service)));
  e->listed = true;
  world_endpoint_start (world, index);
  if (e->spec->starts_warm)
    e->warm_at = world->now;
}

/* End the cold start of an endpoint, unless another one has begun since this
   was scheduled.  */
static void
finish_cold_start (struct world *world, int index)
{
  struct world_endpoint *e = &world->endpoints[index];

  if (!e->up || e->warm_at != world->now)
    return;
  reschedule_runs (world, index,
                   1 / ((double)e->spec->unit_us * COLD_SLOWDOWN));
  e->unannounced_since = 0;
}

void
world_endpoint_chill (struct world *world, int index)
{
  struct world_endpoint *e = &world->endpoints[index];
  double old_rate = 1 / (double)e->spec->unit_us;

  if (!e->up)
    return;
  if (world_is_cold (world, index))
    old_rate /= COLD_SLOWDOWN;
  e->warm_at = world->now + e->spec->cold_start;
  e->unannounced_since = world->now;
  reschedule_runs (world, index, old_rate);
  schedule_warm (world, index);
}

void
world_endpoint_stop (struct world *world, int index)
{
  struct world_endpoint *e = &world->endpoints[index];

  e->up = false;
  for (size_t i = 0; i < world->runs_count; i++)
    if (world->runs[i].active && world->runs[i].endpoint == index)
      world_end_run (world, i, MS_RESULT_RESET);
  e->running = 0;
  record_load (world, e);
}

/* Report the end of RUN to its router after DELAY.  The cost of an
   attempt that didn't succeed is the next whole number above the units
   done.  */
static void
schedule_attempt_end (struct world *world, const struct world_run *run,
                      enum ms_result result, ms_time delay)
{
  struct ms_attempt_end *end = ms_new (sizeof *end);

  *end = (struct ms_attempt_end){ .request = run->request,
                                  .attempt = run->attempt,
                                  .result = result,
                                  .cost = (uint32_t)run->done_units + 1,
                                  .duration = world->now - run->started_at };
  if (result == MS_RESULT_OK)
    end->cost = (uint32_t)run->cost;
  world_push (world, (struct item){ .at = world->now + delay,
                                    .kind = ITEM_ATTEMPT_END,
                                    .node = run->node,
                                    .incarnation = run->incarnation,
                                    .data = end });
}

void
world_end_run (struct world *world, size_t index, enum ms_result result)
{
  struct world_run *run = &world->runs[index];
  struct world_endpoint *e = &world->endpoints[run->endpoint];

  advance_run (world, run, units_per_us (world, run));
  run->active = false;
  e->running--;
  record_load (world, e);
  schedule_attempt_end (world, run, result, ENDPOINT_DELAY_US);
  if (world->late_ends)
    schedule_attempt_end (world, run, result, LATE_END_DELAY);
}

void
world_handle_run_end (struct world *world, size_t index, uint64_t end_version)
{
  struct world_run *run = &world->runs[index];

  if (run->active && run->end_version == end_version)
    world_end_run (world, index, MS_RESULT_OK);
}

void
world_run_progress (struct world *world, size_t index, uint64_t end_version)
{
  struct world_run *run = &world->runs[index];
  const struct world_node *node = &world->nodes[run->node];
  struct ms_event event = { .kind = MS_EVENT_PROGRESS };

  (void)end_version;
  if (!run->active)
    return;
  advance_run (world, run, units_per_us (world, run));
  event.progress.request = run->request;
  event.progress.cost = (uint32_t)run->done_units;
  if (node->node && node->incarnation == run->incarnation
      && world->now >= node->frozen_until)
    world_step (world, run->node, &event);
  world_push (world, (struct item){ .at = world->now + PROGRESS_PERIOD,
                                    .kind = ITEM_RUN_PROGRESS,
                                    .node = -1,
                                    .a = index });
}

static size_t
new_run (struct world *world)
{
  for (size_t i = 0; i < world->runs_count; i++)
    if (!world->runs[i].active)
      return i;
  world->runs
      = ms_resize (world->runs, world->runs_count + 1, sizeof *world->runs);
  memset (&world->runs[world->runs_count], 0, sizeof *world->runs);
  return world->runs_count++;
}

/* Whether E restarted so recently that the routers cannot have reacted.  The
   reset of a connection first reaches a router, which sends a message to the
   dispatcher.  A grant that the dispatcher issued just before takes the same
   way back: a message to the router, and the request to the endpoint.  */
static bool
restart_too_recent (const struct world *world, const struct world_endpoint *e)
{
  return world->now - e->started_at
         <= 2 * (world->trace->delay_max + ENDPOINT_DELAY_US);
}

/* Update the statistics for a start by router NODE: count it if it exceeds the
   cold limit of the endpoint, and note how late it is if the endpoint is
   leaving or its zone out of service.  */
static void
check_start (struct world *world, int index, int node)
{
  const struct world_endpoint *e = &world->endpoints[index];
  uint64_t zone = ms_id (ms_str (e->spec->zone));
  struct world_stats *stats = &world->stats;

  if (world_is_cold (world, index) && e->running >= e->spec->cold_limit)
    {
      ms_time since = world->now - e->unannounced_since;

      if (world->options.verbose)
        fprintf (world->options.verbose,
                 "%.1f ms: %s is cold, runs %u requests and got another "
                 "from %s\n",
                 (double)world->now / (double)MS_MSEC, e->spec->name,
                 e->running, world->nodes[node].name);

      if (restart_too_recent (world, e))
        stats->cold_over_unannounced[0]++;
      else if (!e->unannounced_since)
        {
          if (!stats->cold_over++)
            stats->cold_over_first_at = world->now;
        }
      else if (since < 6300 * MS_MSEC)
        stats->cold_over_unannounced[since / (100 * MS_MSEC)]++;
      else
        stats->cold_over_unannounced[63]++;
    }
  for (unsigned i = 0; i < world->zones_count; i++)
    if (world->zones[i].id == zone && !world->zones[i].in_service
        && world->now - world->zones[i].out_since > stats->zone_late)
      stats->zone_late = world->now - world->zones[i].out_since;
  if (e->leaving && world->now - e->leaving_since > stats->leaving_late)
    stats->leaving_late = world->now - e->leaving_since;
}

/* Report RESULT for an attempt that ends without a run: its grant has expired
   or the endpoint is down.  */
static void
refuse_start (struct world *world, const struct item *item,
              enum ms_result result)
{
  const struct world_run run = { .node = item->node,
                                 .incarnation = item->incarnation,
                                 .request = item->a,
                                 .attempt = (unsigned)item->b,
                                 .started_at = world->now };

  schedule_attempt_end (world, &run, result, CONNECT_REFUSED_DELAY);
}

void
world_start_run (struct world *world, const struct item *item)
{
  struct world_call *call = &world->calls[item->a - 1];
  struct world_endpoint *e = NULL;
  struct world_run *run;
  size_t index;

  for (unsigned i = 0; i < world->endpoints_count; i++)
    if (world->endpoints[i].id == item->c)
      e = &world->endpoints[i];
  if (!ms_may_start ((ms_time)item->d, world->now))
    {
      refuse_start (world, item, MS_RESULT_NOT_STARTED);
      return;
    }
  if (!e || !e->up)
    {
      refuse_start (world, item, MS_RESULT_CONNECT_FAILED);
      return;
    }
  check_start (world, (int)(e - world->endpoints), item->node);
  index = new_run (world);
  run = &world->runs[index];
  /* end_version stays, so that a scheduled end of the entry's last run is
     ignored.  */
  *run = (struct world_run){ .active = true,
                             .call = (int)(item->a - 1),
                             .node = item->node,
                             .incarnation = item->incarnation,
                             .request = item->a,
                             .attempt = (unsigned)item->b,
                             .endpoint = (int)(e - world->endpoints),
                             .cost = call->cost,
                             .started_at = world->now,
                             .updated_at = world->now,
                             .end_version = run->end_version };
  e->running++;
  record_load (world, e);
  call->runs++;
  world->calls[call->original].runs_all_sends++;
  call->state = CALL_RUNNING;
  if (call->first_start < 0)
    call->first_start = world->now;
  schedule_end (world, index);
  world_push (world, (struct item){ .at = world->now + PROGRESS_PERIOD,
                                    .kind = ITEM_RUN_PROGRESS,
                                    .node = -1,
                                    .a = index });
  if (call->crashes_endpoint)
    world_push (world, (struct item){ .at = world->now + CRASH_DELAY,
                                      .kind = ITEM_ENDPOINT_CRASH,
                                      .node = -1,
                                      .a = (uint64_t)run->endpoint,
                                      .b = e->start_id });
}

void
world_cancel_run (struct world *world, int node, uint64_t request,
                  unsigned attempt)
{
  for (size_t i = 0; i < world->runs_count; i++)
    {
      const struct world_run *run = &world->runs[i];

      if (run->active && run->node == node && run->request == request
          && run->attempt == attempt)
        world_end_run (world, i, MS_RESULT_CANCELLED);
    }
}

/* The connections of the ended router close, so the endpoints cancel its
   requests.  */
void
world_cancel_node_runs (struct world *world, int node)
{
  for (size_t i = 0; i < world->runs_count; i++)
    if (world->runs[i].active && world->runs[i].node == node)
      world_end_run (world, i, MS_RESULT_CANCELLED);
}

void
world_handle_endpoint_item (struct world *world, const struct item *item)
{
  int index = (int)item->a;

  if (item->kind == ITEM_ENDPOINT_CRASH)
    {
      if (!world->endpoints[index].up
          || world->endpoints[index].start_id != item->b)
        return;
      world->stats.crashes++;
      if (world->options.verbose)
        fprintf (world->options.verbose, "%.1f ms: a request crashed %s\n",
                 (double)world->now / (double)MS_MSEC,
                 world->endpoints[index].spec->name);
      world_endpoint_stop (world, index);
      world_push (world, (struct item){ .at = world->now + CRASH_RESTART_DELAY,
                                        .kind = ITEM_ENDPOINT_START,
                                        .node = -1,
                                        .a = item->a,
                                        .b = 0 });
      return;
    }
  if (item->b)
    finish_cold_start (world, index);
  else if (!world->endpoints[index].up)
    world_endpoint_start (world, index);
}

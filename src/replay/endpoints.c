#include <string.h>

#include "base/alloc.h"
#include "replay/internal.h"

#define PROGRESS_PERIOD (250 * MS_MSEC)
#define CRASH_AFTER (50 * MS_MSEC)
#define RESTART_AFTER (2 * MS_SEC)
#define CONNECT_REFUSED_AFTER (1 * MS_MSEC)

int
world_find_endpoint (const struct world *world, const char *name)
{
  for (unsigned i = 0; i < world->endpoints_count; i++)
    if (strcmp (world->endpoints[i].trace->name, name) == 0)
      return (int)i;
  return -1;
}

bool
world_is_cold (const struct world *world, int endpoint)
{
  return world->now < world->endpoints[endpoint].warm_at;
}

static void
note_load (struct world *world, struct world_endpoint *endpoint)
{
  endpoint->history[endpoint->history_next].at = world->now;
  endpoint->history[endpoint->history_next].running = endpoint->running;
  endpoint->history_next = (endpoint->history_next + 1) % WORLD_HISTORY;
}

unsigned
world_load_at (const struct world *world, int index, ms_time at)
{
  const struct world_endpoint *e = &world->endpoints[index];
  unsigned running = 0;
  ms_time best = -1;

  for (int i = 0; i < WORLD_HISTORY; i++)
    {
      int k = (int)(e->history_next + (unsigned)i) % WORLD_HISTORY;

      if (e->history[k].at <= at && e->history[k].at >= best)
        {
          best = e->history[k].at;
          running = e->history[k].running;
        }
    }
  return running;
}

/* Units a run gains in a microsecond now.  */
static double
rate (const struct world *world, const struct world_run *run)
{
  const struct world_endpoint *e = &world->endpoints[run->endpoint];
  double unit = (double)e->trace->unit;

  return 1
         / (world_is_cold (world, run->endpoint) ? unit * COLD_SLOWDOWN
                                                 : unit);
}

/* Bring a run's progress up to now.  A cold start that ends is an event of
   its own, so the rate is the same since the last update.  */
static void
advance (struct world *world, struct world_run *run, double at_rate)
{
  const struct world_call *call = &world->calls[run->call];
  double gained = (double)(world->now - run->updated) * at_rate;

  if (run->done + gained > run->cost)
    gained = run->cost - run->done;
  run->done += gained;
  run->updated = world->now;
  world->received[call->service][call->team] += gained;
}

void
world_advance (struct world *world)
{
  for (size_t i = 0; i < world->runs_count; i++)
    if (world->runs[i].active)
      advance (world, &world->runs[i], rate (world, &world->runs[i]));
}

static void
schedule_end (struct world *world, size_t index)
{
  struct world_run *run = &world->runs[index];
  double left = (run->cost - run->done) / rate (world, run);

  run->version++;
  world_push (world, (struct item){ .at = world->now + (ms_time)left + 1,
                                    .kind = ITEM_RUN_END,
                                    .node = -1,
                                    .a = index,
                                    .b = run->version });
}

/* The pace of an endpoint changes: its runs go on at the new one.  */
static void
change_pace (struct world *world, int endpoint, double old_rate)
{
  for (size_t i = 0; i < world->runs_count; i++)
    {
      struct world_run *run = &world->runs[i];

      if (!run->active || run->endpoint != endpoint)
        continue;
      advance (world, run, old_rate);
      schedule_end (world, i);
    }
}

/* End ENDPOINT's cold start when it is due.  */
static void
schedule_warm (struct world *world, int endpoint)
{
  world_push (world, (struct item){ .at = world->endpoints[endpoint].warm_at,
                                    .kind = ITEM_ENDPOINT_START,
                                    .node = -1,
                                    .a = (uint64_t)endpoint,
                                    .b = 1 });
}

/* While routers are cut off, a dispatcher may not be told of a start by the
   routers whose requests broke: its first sign is the endpoint's report.  */
static bool
some_cut (const struct world *world)
{
  for (unsigned i = 0; i < world->nodes_count; i++)
    if (world->nodes[i].cut)
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
  e->warm_at = world->now + e->trace->warm_after;
  e->unannounced_at = some_cut (world) ? world->now : 0;
  schedule_warm (world, index);
}

void
world_endpoint_init (struct world *world, int index)
{
  struct world_endpoint *e = &world->endpoints[index];

  e->trace = &world->trace->endpoints[index];
  e->id = ms_id (ms_str (e->trace->name));
  e->service = world_find_service (world, ms_id (ms_str (e->trace->service)));
  e->listed = true;
  world_endpoint_start (world, index);
  if (e->trace->starts_warm)
    e->warm_at = world->now;
}

/* The cold start of an endpoint ends, unless another began meanwhile.  */
static void
warm_up (struct world *world, int index)
{
  struct world_endpoint *e = &world->endpoints[index];

  if (!e->up || e->warm_at != world->now)
    return;
  change_pace (world, index, 1 / ((double)e->trace->unit * COLD_SLOWDOWN));
  e->unannounced_at = 0;
}

void
world_endpoint_chill (struct world *world, int index)
{
  struct world_endpoint *e = &world->endpoints[index];
  double old_rate = 1 / (double)e->trace->unit;

  if (!e->up)
    return;
  if (world_is_cold (world, index))
    old_rate /= COLD_SLOWDOWN;
  e->warm_at = world->now + e->trace->warm_after;
  e->unannounced_at = world->now;
  change_pace (world, index, old_rate);
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
  note_load (world, e);
}

static void
send_end (struct world *world, const struct world_run *run,
          enum ms_result result, ms_time delay)
{
  struct ms_attempt_end *end = ms_new (sizeof *end);

  *end = (struct ms_attempt_end){ .request = run->request,
                                  .attempt = run->attempt,
                                  .result = result,
                                  .cost = (uint32_t)run->done + 1,
                                  .duration = world->now - run->begun };
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

  advance (world, run, rate (world, run));
  run->active = false;
  e->running--;
  note_load (world, e);
  send_end (world, run, result, ENDPOINT_DELAY);
  if (world->late_ends)
    send_end (world, run, result, 700 * MS_MSEC);
}

void
world_run_due (struct world *world, size_t index, uint64_t version)
{
  struct world_run *run = &world->runs[index];

  if (run->active && run->version == version)
    world_end_run (world, index, MS_RESULT_OK);
}

void
world_run_progress (struct world *world, size_t index, uint64_t version)
{
  struct world_run *run = &world->runs[index];
  const struct world_node *node = &world->nodes[run->node];
  struct ms_event event = { .kind = MS_EVENT_PROGRESS };

  (void)version;
  if (!run->active)
    return;
  advance (world, run, rate (world, run));
  event.progress.request = run->request;
  event.progress.cost = (uint32_t)run->done;
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

/* Whether the broken connections of a start cannot have reached the dispatcher
   and its last grants the entries yet: one message each way and the starts. */
static bool
sign_under_way (const struct world *world, const struct world_endpoint *e)
{
  return world->now - e->started_at
         <= 2 * (world->trace->delay_high + ENDPOINT_DELAY);
}

/* Note a start that the endpoint or its zone should not have got.  */
static void
note_start (struct world *world, int index, int node)
{
  const struct world_endpoint *e = &world->endpoints[index];
  uint64_t zone = ms_id (ms_str (e->trace->zone));
  struct world_notes *notes = &world->notes;

  if (world_is_cold (world, index) && e->running >= e->trace->cold)
    {
      ms_time since = world->now - e->unannounced_at;

      if (world->options.verbose)
        fprintf (world->options.verbose,
                 "%.1f ms: %s is cold, runs %u, and got one more from %s\n",
                 (double)world->now / (double)MS_MSEC, e->trace->name,
                 e->running, world->nodes[node].name);

      if (sign_under_way (world, e))
        notes->cold_over_unannounced[0]++;
      else if (!e->unannounced_at)
        {
          if (!notes->cold_over++)
            notes->cold_over_first = world->now;
        }
      else if (since < 6300 * MS_MSEC)
        notes->cold_over_unannounced[since / (100 * MS_MSEC)]++;
      else
        notes->cold_over_unannounced[63]++;
    }
  for (unsigned i = 0; i < world->zones_count; i++)
    if (world->zones[i].id == zone && !world->zones[i].in_service
        && world->now - world->zones[i].out_since > notes->zone_late)
      notes->zone_late = world->now - world->zones[i].out_since;
  if (e->leaving && world->now - e->leaving_since > notes->leaving_late)
    notes->leaving_late = world->now - e->leaving_since;
}

static void
refuse_start (struct world *world, const struct item *item,
              enum ms_result result)
{
  const struct world_run run = { .node = item->node,
                                 .incarnation = item->incarnation,
                                 .request = item->a,
                                 .attempt = (unsigned)item->b,
                                 .begun = world->now };

  send_end (world, &run, result, CONNECT_REFUSED_AFTER);
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
  note_start (world, (int)(e - world->endpoints), item->node);
  index = new_run (world);
  run = &world->runs[index];
  *run = (struct world_run){ .active = true,
                             .call = (int)(item->a - 1),
                             .node = item->node,
                             .incarnation = item->incarnation,
                             .request = item->a,
                             .attempt = (unsigned)item->b,
                             .endpoint = (int)(e - world->endpoints),
                             .cost = call->cost,
                             .begun = world->now,
                             .updated = world->now,
                             .version = run->version };
  e->running++;
  note_load (world, e);
  call->ran++;
  world->calls[call->original].runs_total++;
  call->state = CALL_RUNNING;
  if (call->first_start < 0)
    call->first_start = world->now;
  schedule_end (world, index);
  world_push (world, (struct item){ .at = world->now + PROGRESS_PERIOD,
                                    .kind = ITEM_RUN_PROGRESS,
                                    .node = -1,
                                    .a = index });
  if (call->crash)
    world_push (world, (struct item){ .at = world->now + CRASH_AFTER,
                                      .kind = ITEM_CRASH,
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

/* The router's connections break: the endpoint cancels what it ran.  */
void
world_drop_runs_of (struct world *world, int node)
{
  for (size_t i = 0; i < world->runs_count; i++)
    if (world->runs[i].active && world->runs[i].node == node)
      world_end_run (world, i, MS_RESULT_CANCELLED);
}

/* ITEM ends an endpoint, starts it again, or ends its cold start.  */
void
world_endpoint_item (struct world *world, const struct item *item)
{
  int index = (int)item->a;

  if (item->kind == ITEM_CRASH)
    {
      if (!world->endpoints[index].up
          || world->endpoints[index].start_id != item->b)
        return;
      world->notes.crashes++;
      if (world->options.verbose)
        fprintf (world->options.verbose, "%.1f ms: a request ended %s\n",
                 (double)world->now / (double)MS_MSEC,
                 world->endpoints[index].trace->name);
      world_endpoint_stop (world, index);
      world_push (world, (struct item){ .at = world->now + RESTART_AFTER,
                                        .kind = ITEM_ENDPOINT_START,
                                        .node = -1,
                                        .a = item->a,
                                        .b = 0 });
      return;
    }
  if (item->b)
    warm_up (world, index);
  else if (!world->endpoints[index].up)
    world_endpoint_start (world, index);
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "replay/internal.h"

#define DEFAULT_TIMEOUT_MS 60000

/* Until a resend, if no answer names a time to retry after.  */
#define RESEND_DELAY (500 * MS_MSEC)

int
world_find_team (const struct world *world, const char *name)
{
  uint64_t id = ms_id (ms_str (name));

  for (unsigned i = 0; i < world->config->teams_count; i++)
    if (world->config->teams[i].id == id)
      return (int)i;
  return -1;
}

int
world_find_service (const struct world *world, uint64_t id)
{
  for (unsigned i = 0; i < world->config->services_count; i++)
    if (world->config->services[i].id == id)
      return (int)i;
  return -1;
}

static struct world_call *
new_call (struct world *world)
{
  if (world->calls_count == world->calls_capacity)
    {
      world->calls_capacity
          = world->calls_capacity ? world->calls_capacity * 2 : 1024;
      world->calls = ms_resize (world->calls, world->calls_capacity,
                                sizeof *world->calls);
    }
  memset (&world->calls[world->calls_count], 0, sizeof *world->calls);
  return &world->calls[world->calls_count++];
}

/* Return a random router that is up, isn't draining and whose name occurs in
   the comma-separated LIST ("*": all); -1 if there is none.  Any substring
   counts: "r1" occurs in "r10", too.  */
static int
choose_node (struct world *world, const char *list)
{
  int eligible[TRACE_MAX_NODES];
  uint64_t count = 0;

  for (unsigned i = 0; i < world->nodes_count; i++)
    {
      const char *name = world->nodes[i].name;
      const char *at = strcmp (list, "*") == 0 ? name : strstr (list, name);

      if (world->nodes[i].node && !world->nodes[i].draining && at)
        eligible[count++] = (int)i;
    }
  return count ? eligible[ms_random_below (&world->random, count)] : -1;
}

/* Return a random cost in RANGE, "N" or "LOW-HIGH" in cost units; 100 if RANGE
   is NULL.  */
static uint32_t
choose_cost (struct world *world, const char *range)
{
  unsigned low = 100;
  unsigned high;

  if (range)
    low = (unsigned)strtoul (range, NULL, 10);
  high = low;
  if (range && strchr (range, '-'))
    high = (unsigned)strtoul (strchr (range, '-') + 1, NULL, 10);
  return low + (uint32_t)ms_random_below (&world->random, high - low + 1);
}

/* Return the caller's estimate of COST in cost units: 0 if HINT is NULL or
   "none", a random number from 1 to 20 * COST if it is "wrong", else COST.  */
static uint32_t
choose_hint (struct world *world, const char *hint, uint32_t cost)
{
  if (!hint || strcmp (hint, "none") == 0)
    return 0;
  if (strcmp (hint, "wrong") == 0)
    return 1 + (uint32_t)ms_random_below (&world->random, 20 * (uint64_t)cost);
  return cost;
}

static void
schedule_arrival (struct world *world, size_t index, ms_time at)
{
  struct world_call *call = &world->calls[index];

  call->sent_at = at;
  call->first_start = -1;
  call->incarnation = world->nodes[call->node].incarnation;
  call->arrival.request = index + 1;
  world_push (world, (struct item){ .at = at,
                                    .kind = ITEM_ARRIVE,
                                    .node = call->node,
                                    .incarnation = call->incarnation,
                                    .a = index });
}

/* Send a request as LINE says; nothing is sent if none of its routers is up
   and accepts requests.  */
static enum ms_status
send_request (struct world *world, const struct trace_line *line)
{
  const char *team = trace_value (line, "team");
  const char *service = trace_value (line, "service");
  const char *lane = trace_value (line, "class");
  const char *nodes = trace_value (line, "node");
  const char *body = trace_value (line, "body");
  size_t index = world->calls_count;
  struct world_call *call = new_call (world);
  struct ms_arrival *arrival = &call->arrival;

  call->team = team ? world_find_team (world, team) : -1;
  call->service
      = service ? world_find_service (world, ms_id (ms_str (service))) : -1;
  if (call->team < 0 || call->service < 0)
    return ms_fail (MS_INVALID, "its team or service is not known");
  call->node = choose_node (world, nodes ? nodes : "*");
  call->cost = choose_cost (world, trace_value (line, "cost"));
  call->crashes_endpoint = trace_has (line, "crash");
  call->resends_left = (unsigned)trace_number (line, "resend", 0);
  call->original = (int)index;
  arrival->team = world->config->teams[call->team].id;
  arrival->service = world->config->services[call->service].id;
  arrival->lane = lane && strcmp (lane, "long") == 0 ? MS_LANE_LONG
                                                     : MS_LANE_INTERACTIVE;
  arrival->hint = choose_hint (world, trace_value (line, "hint"), call->cost);
  arrival->idempotent = !trace_has (line, "once");
  /* The key and, without "body", the fingerprint are unique to the call; 77
     and 78 make one differ from the other.  */
  arrival->key = arrival->idempotent ? 0 : ms_id_pair (index + 1, 77);
  arrival->fingerprint
      = body ? ms_id (ms_str (body)) : ms_id_pair (index + 1, 78);
  arrival->deadline
      = world->now
        + (ms_time)trace_number (line, "timeout", DEFAULT_TIMEOUT_MS)
              * MS_MSEC;
  if (call->node < 0)
    {
      world->calls_count--;
      return MS_OK;
    }
  schedule_arrival (world, index, world->now);
  return MS_OK;
}

enum ms_status
world_send_line (struct world *world, const struct trace_line *line,
                 ms_time until)
{
  const char *team = trace_value (line, "team");
  unsigned count = (unsigned)trace_number (line, "count", 1);
  double every = trace_number (line, "every", 0);

  if (world->options.without_team && team
      && strcmp (team, world->options.without_team) == 0)
    return MS_OK;
  for (unsigned i = 0; i < count; i++)
    {
      enum ms_status status = send_request (world, line);

      if (status != MS_OK)
        return status;
    }
  if (every > 0 && world->now < until)
    {
      ms_time interval = (ms_time)(every * (double)MS_MSEC);

      world_push (
          world,
          (struct item){ .at = world->now
                               + world_random_delay (world, interval / 2,
                                                     interval + interval / 2),
                         .kind = ITEM_REPEAT_SEND,
                         .node = -1,
                         .a = (uint64_t)(line - world->trace->events),
                         .b = (uint64_t)until });
    }
  return MS_OK;
}

void
world_arrive (struct world *world, int node, size_t index)
{
  struct ms_event event
      = { .kind = MS_EVENT_ARRIVE, .arrive = world->calls[index].arrival };

  world_step (world, node, &event);
}

/* Send the request of a call again when the duration AFTER is over, through a
   random router that is up and isn't draining now; nothing is sent if there is
   none or the caller has no resends left.  */
static void
resend (struct world *world, size_t index, ms_time after)
{
  struct world_call copy = world->calls[index];
  int node = choose_node (world, "*");
  size_t new_index = world->calls_count;
  struct world_call *call;

  if (!copy.resends_left || node < 0)
    return;
  call = new_call (world);
  *call = (struct world_call){ .team = copy.team,
                               .service = copy.service,
                               .arrival = copy.arrival,
                               .cost = copy.cost,
                               .node = node,
                               .crashes_endpoint = copy.crashes_endpoint,
                               .resends_left = copy.resends_left - 1,
                               .original = copy.original };
  call->arrival.deadline = world->now + DEFAULT_TIMEOUT_MS * MS_MSEC;
  schedule_arrival (world, new_index, world->now + after);
}

void
world_answer (struct world *world, int node, const struct ms_effect *effect)
{
  size_t index = effect->answer.request - 1;
  struct world_call *call = &world->calls[index];

  call->answers++;
  call->outcome = effect->answer.outcome;
  call->reason = effect->answer.reason;
  call->retry_after = effect->answer.retry_after;
  call->state = CALL_ENDED;
  call->ended_at = world->now;
  /* Log failed and unknown outcomes.  The time of the start is -0.0 ms if no
     endpoint ran the call.  */
  if (world->options.verbose && call->outcome > MS_NOT_RUN)
    fprintf (world->options.verbose,
             "%.1f ms: %s: call %zu of team %d, sent at %.1f ms and started "
             "at %.1f ms, is %s (%s)\n",
             (double)world->now / (double)MS_MSEC, world->nodes[node].name,
             index, call->team, (double)call->sent_at / (double)MS_MSEC,
             (double)call->first_start / (double)MS_MSEC,
             ms_outcome_name (call->outcome), ms_reason_name (call->reason));
  if (world->nodes[node].draining && call->outcome != MS_ANSWERED
      && call->reason != MS_REASON_DRAINING)
    world->stats.cut_by_drain++;
  if (call->outcome != MS_ANSWERED)
    resend (world, index,
            call->retry_after ? call->retry_after : RESEND_DELAY);
}

void
world_break_calls (struct world *world, int node)
{
  size_t count = world->calls_count;

  for (size_t i = 0; i < count; i++)
    {
      struct world_call *call = &world->calls[i];

      if (call->node != node || call->state == CALL_ENDED)
        continue;
      call->state = CALL_ENDED;
      call->broken = true;
      call->ended_at = world->now;
      if (world->nodes[node].draining)
        world->stats.cut_by_drain++;
      resend (world, i, RESEND_DELAY);
    }
}

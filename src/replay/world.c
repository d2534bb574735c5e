#include "replay/world.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "replay/internal.h"
#include "rpc/codec.h"

ms_time
world_random_delay (struct world *world, ms_time low, ms_time high)
{
  if (high <= low)
    return low;
  return low
         + (ms_time)ms_random_below (&world->random,
                                     (uint64_t)(high - low + 1));
}

/* Return a copy of TEXT with "${policy}" replaced by POLICY.  The copy has
   space for 64 replacements, which isn't checked.  */
static char *
fill_policy (const char *text, const char *policy)
{
  static const char mark[] = "${policy}";
  size_t length = strlen (text) + 1;
  char *filled = ms_new (length + 64 * strlen (policy));
  char *out = filled;

  while (*text)
    {
      if (strncmp (text, mark, sizeof mark - 1) == 0)
        {
          out = stpcpy (out, policy);
          text += sizeof mark - 1;
        }
      else
        *out++ = *text++;
    }
  return filled;
}

/* Whether NAME is in the comma-separated LIST.  */
static bool
list_contains (const char *list, const char *name)
{
  size_t length = strlen (name);
  const char *at = list;

  while ((at = strstr (at, name)))
    {
      bool starts = at == list || at[-1] == ',';

      if (starts && (at[length] == '\0' || at[length] == ','))
        return true;
      at += length;
    }
  return false;
}

/* "cut LIST" partitions the listed routers from all others and the log,
   "cut_log LIST" only from the log.  Earlier cuts stay.  */
static enum ms_status
apply_cut (struct world *world, const struct trace_line *line)
{
  const char *list = line->words_count > 1 ? line->words[1] : "";
  bool only_log = strcmp (line->words[0], "cut_log") == 0;
  unsigned found = 0;

  for (unsigned i = 0; i < world->nodes_count; i++)
    {
      bool listed = list_contains (list, world->nodes[i].name);

      found += listed;
      if (only_log)
        world->nodes[i].log_cut |= listed;
      else
        world->nodes[i].partitioned |= listed;
    }
  return found ? MS_OK
               : ms_fail (MS_INVALID, "no router in the list is known");
}

/* Apply an event that names a router.  */
static enum ms_status
apply_node_event (struct world *world, const struct trace_line *line)
{
  static const struct ms_event drain = { .kind = MS_EVENT_DRAIN };
  const char *word = line->words[0];
  int node
      = line->words_count > 1 ? world_find_node (world, line->words[1]) : -1;

  if (node < 0)
    return ms_fail (MS_INVALID, "the router is not known");
  if (strcmp (word, "start") == 0 || strcmp (word, "restart") == 0)
    {
      world_kill_node (world, node);
      world_start_node (world, node);
    }
  if (strcmp (word, "kill") == 0)
    world_kill_node (world, node);
  if (strcmp (word, "drain") == 0 && world->nodes[node].node)
    {
      world->nodes[node].draining = true;
      world_step (world, node, &drain);
    }
  if (strcmp (word, "freeze") == 0)
    world->nodes[node].frozen_until
        = world->now + (ms_time)trace_number (line, "for", 1000) * MS_MSEC;
  return MS_OK;
}

/* Apply an event "endpoint NAME WORD".  */
static enum ms_status
apply_endpoint_event (struct world *world, const struct trace_line *line)
{
  const char *word = line->words_count > 2 ? line->words[2] : "";
  int index = line->words_count > 1
                  ? world_find_endpoint (world, line->words[1])
                  : -1;
  struct world_endpoint *e;

  if (index < 0)
    return ms_fail (MS_INVALID, "the endpoint is not known");
  e = &world->endpoints[index];
  if (strcmp (word, "kill") == 0)
    world_endpoint_stop (world, index);
  else if (strcmp (word, "start") == 0)
    world_endpoint_start (world, index);
  else if (strcmp (word, "restart") == 0)
    {
      world_endpoint_stop (world, index);
      world_endpoint_start (world, index);
    }
  else if (strcmp (word, "chill") == 0)
    world_endpoint_chill (world, index);
  else if (strcmp (word, "leave") == 0)
    {
      e->leaving = true;
      e->leaving_since = world->now;
    }
  else if (strcmp (word, "return") == 0)
    e->leaving = false;
  else
    return ms_fail (MS_INVALID, "the endpoint event is not known");
  return MS_OK;
}

/* Apply an event "log MODE".  */
static enum ms_status
apply_log_event (struct world *world, const struct trace_line *line)
{
  /* In the order of enum log_mode.  */
  static const char *const modes[] = { "up", "down", "slow", "lose_answers" };

  for (int i = 0; i < 4; i++)
    if (line->words_count > 1 && strcmp (line->words[1], modes[i]) == 0)
      {
        world->log_mode = (enum log_mode)i;
        return MS_OK;
      }
  return ms_fail (MS_INVALID, "the log mode is not known");
}

/* Apply an event that changes how the simulation runs or is measured from now
   on.  "use_from" restarts the measurement of utilisation.  */
static enum ms_status
apply_setting_event (struct world *world, const struct trace_line *line)
{
  const char *word = line->words[0];

  if (strcmp (word, "heal") == 0)
    for (unsigned i = 0; i < world->nodes_count; i++)
      world->nodes[i].partitioned = world->nodes[i].log_cut = false;
  else if (strcmp (word, "gap_pause") == 0)
    world->gap_paused = true;
  else if (strcmp (word, "gap_resume") == 0)
    world->gap_paused = false;
  else if (strcmp (word, "use_from") == 0)
    {
      memset (world->stats.usable_slots, 0, sizeof world->stats.usable_slots);
      memset (world->stats.busy_slots, 0, sizeof world->stats.busy_slots);
    }
  else if (strcmp (word, "late_ends") == 0)
    world->late_ends = true;
  else if (strcmp (word, "report_loss") == 0 && line->words_count > 1)
    world->report_loss = strtod (line->words[1], NULL);
  else
    return ms_fail (MS_INVALID,
                    "the event \"%s\" is not known or lacks its value", word);
  return MS_OK;
}

static enum ms_status
apply_event (struct world *world, const struct trace_line *line)
{
  const char *word = line->words[0];
  ms_time until = (ms_time)(trace_number (line, "until", 0) * MS_MSEC);

  if (strcmp (word, "send") == 0)
    return world_send_line (world, line, until);
  if (strcmp (word, "start") == 0 || strcmp (word, "restart") == 0
      || strcmp (word, "kill") == 0 || strcmp (word, "drain") == 0
      || strcmp (word, "freeze") == 0)
    return apply_node_event (world, line);
  if (strcmp (word, "cut") == 0 || strcmp (word, "cut_log") == 0)
    return apply_cut (world, line);
  if (strcmp (word, "endpoint") == 0)
    return apply_endpoint_event (world, line);
  if (strcmp (word, "log") == 0)
    return apply_log_event (world, line);
  if (strcmp (word, "publish") == 0)
    return world_publish (world, line);
  return apply_setting_event (world, line);
}

/* Handle an ITEM_TRACE_LINE or ITEM_REPEAT_SEND.  A failure names the trace
   and the line, even if the line is in an included file.  */
static enum ms_status
run_trace_line (struct world *world, const struct item *item)
{
  const struct trace_line *line = &world->trace->events[item->a];
  enum ms_status status;
  char reason[256];

  if (item->kind == ITEM_REPEAT_SEND)
    status = world_send_line (world, line, (ms_time)item->b);
  else
    status = apply_event (world, line);
  if (status == MS_OK)
    return MS_OK;
  snprintf (reason, sizeof reason, "%s", ms_last_message ());
  return ms_fail (MS_INVALID, "%s: line %u: %s", world->trace->path,
                  line->number, reason);
}

static void
deliver_peer (struct world *world, const struct item *item)
{
  const struct encoded_message *encoded = item->data;
  peer_message message;
  struct ms_event event = { .kind = MS_EVENT_PEER, .peer = &message };

  if (!ms_message_decode (encoded->data, encoded->length, &message))
    abort ();
  world_step (world, item->node, &event);
  xdr_free ((xdrproc_t)xdr_peer_message, (char *)&message);
}

/* Schedule ITEM once more after PERIOD, without its data.  */
static void
reschedule (struct world *world, const struct item *item, ms_time period)
{
  struct item next = *item;

  next.at = world->now + period;
  next.data = NULL;
  world_push (world, next);
}

/* Handle an item of a router that is up and not frozen.  */
static void
handle_node_item (struct world *world, const struct item *item)
{
  struct ms_event event = { .kind = MS_EVENT_TICK };

  switch (item->kind)
    {
    case ITEM_TICK:
      world_step (world, item->node, &event);
      if (world->nodes[item->node].drained)
        world_kill_node (world, item->node);
      else
        reschedule (world, item, TICK_PERIOD);
      break;
    case ITEM_PEER:
      deliver_peer (world, item);
      break;
    case ITEM_LOG_POLL:
      world_log_poll (world, item->node, (enum ms_stream)item->a);
      break;
    case ITEM_LOG_REPLY:
      world_log_reply (world, item->node, (enum ms_stream)item->a,
                       (ms_time)item->b);
      break;
    case ITEM_APPEND_FAILED:
      event.kind = MS_EVENT_APPEND_FAILED;
      event.append_failed.stream = (enum ms_stream)item->a;
      event.append_failed.tag = item->b;
      world_step (world, item->node, &event);
      break;
    case ITEM_ENDPOINT_LIST:
      world_deliver_list (world, item->node);
      reschedule (world, item, LIST_POLL_PERIOD);
      break;
    case ITEM_LOAD_POLL:
      world_poll_loads (world, item->node);
      reschedule (world, item, LOAD_POLL_PERIOD);
      break;
    case ITEM_LOAD_REPLY:
      event.kind = MS_EVENT_LOAD;
      event.load.endpoint = item->a;
      event.load.start_id = item->b;
      event.load.running = (unsigned)item->c;
      world_step (world, item->node, &event);
      break;
    case ITEM_ARRIVE:
      world_arrive (world, item->node, item->a);
      break;
    case ITEM_START:
      world_start_run (world, item);
      break;
    case ITEM_ATTEMPT_END:
      event.kind = MS_EVENT_ATTEMPT_END;
      event.attempt_end = *(struct ms_attempt_end *)item->data;
      world_step (world, item->node, &event);
      break;
    default:
      break;
    }
}

/* Return true if the router of ITEM can handle it now.  If the router is down
   or has restarted since, ITEM is dropped; if the router is frozen, ITEM is
   scheduled again for the end of the freeze.  */
static bool
admit_item (struct world *world, struct item *item)
{
  struct world_node *node = &world->nodes[item->node];

  if (!node->node
      || (item->incarnation && item->incarnation != node->incarnation))
    return false;
  if (world->now < node->frozen_until)
    {
      item->at = node->frozen_until;
      world_push (world, *item);
      item->data = NULL;
      return false;
    }
  node->frozen_until = 0;
  return true;
}

static enum ms_status
handle_item (struct world *world, struct item *item)
{
  if (item->node >= 0)
    {
      if (admit_item (world, item))
        handle_node_item (world, item);
      return MS_OK;
    }
  switch (item->kind)
    {
    case ITEM_TRACE_LINE:
    case ITEM_REPEAT_SEND:
      return run_trace_line (world, item);
    case ITEM_LOG_APPEND:
      world_append (world, (enum ms_stream)item->a, item->data);
      break;
    case ITEM_RUN_END:
      world_handle_run_end (world, item->a, item->b);
      break;
    case ITEM_RUN_PROGRESS:
      world_run_progress (world, item->a, item->b);
      break;
    case ITEM_ENDPOINT_CRASH:
    case ITEM_ENDPOINT_START:
      world_handle_endpoint_item (world, item);
      break;
    case ITEM_SAMPLE:
      world_sample (world);
      reschedule (world, item, SAMPLE_PERIOD);
      break;
    default:
      break;
    }
  return MS_OK;
}

/* Set the initial state: all routers and endpoints are started, the events of
   the trace and the first sample scheduled.  */
static enum ms_status
init_world (struct world *world)
{
  const struct trace *trace = world->trace;
  enum ms_status status;

  world->config_text
      = fill_policy (trace->config_text,
                     world->options.policy ? world->options.policy : "fair");
  status = ms_config_parse (ms_str (world->config_text), trace->path,
                            &world->config);
  if (status != MS_OK)
    return status;
  if (world->config->teams_count > WORLD_MAX_TEAMS
      || world->config->services_count > WORLD_MAX_SERVICES
      || world->config->zones_count > 16)
    return ms_fail (
        MS_INVALID,
        "%s: config: too many teams, services or zones for a trace",
        trace->path);
  world->nodes_count = trace->nodes_count;
  for (unsigned i = 0; i < trace->nodes_count; i++)
    {
      world->nodes[i].world = world;
      world->nodes[i].index = (int)i;
      world->nodes[i].name = trace->nodes[i].name;
      world->nodes[i].id = ms_id (ms_str (trace->nodes[i].name));
      world_start_node (world, (int)i);
    }
  world->endpoints_count = trace->endpoints_count;
  for (unsigned i = 0; i < trace->endpoints_count; i++)
    world_endpoint_init (world, (int)i);
  for (unsigned i = 0; i < trace->events_count; i++)
    world_push (world, (struct item){ .at = trace->events[i].at,
                                      .kind = ITEM_TRACE_LINE,
                                      .node = -1,
                                      .a = i });
  world_push (
      world,
      (struct item){ .at = SAMPLE_PERIOD, .kind = ITEM_SAMPLE, .node = -1 });
  return MS_OK;
}

enum ms_status
world_run_trace (const struct trace *trace,
                 const struct world_options *options, struct world **out)
{
  struct world *world = ms_new (sizeof *world);
  enum ms_status status;
  struct item item;

  world->trace = trace;
  world->options = *options;
  world->random.state = options->seed ? options->seed : trace->seed;
  status = init_world (world);
  while (status == MS_OK && world_pop (world, &item))
    {
      if (item.at > trace->end_at)
        {
          free (item.data);
          break;
        }
      world->now = item.at;
      status = handle_item (world, &item);
      free (item.data);
    }
  world->now = trace->end_at;
  if (status == MS_OK)
    *out = world;
  else
    world_destroy (world);
  return status;
}

void
world_destroy (struct world *world)
{
  for (unsigned i = 0; i < world->nodes_count; i++)
    ms_node_destroy (world->nodes[i].node);
  for (size_t i = 0; i < world->heap_count; i++)
    free (world->heap[i].data);
  for (int s = 0; s < MS_STREAMS; s++)
    {
      for (uint64_t i = world->streams[s].first_kept;
           i < world->streams[s].end; i++)
        free (world->streams[s].records[i]);
      free (world->streams[s].records);
    }
  ms_config_destroy (world->config);
  free (world->heap);
  free (world->runs);
  free (world->calls);
  free (world->config_text);
  free (world);
}

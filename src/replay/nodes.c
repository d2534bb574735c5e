#include <string.h>

#include "base/alloc.h"
#include "replay/internal.h"
#include "rpc/codec.h"

/* Bytes of the ONC RPC call header before the encoded message.  */
#define CALL_HEADER_BYTES 40

/* Until an append that got no reply is reported as failed.  */
#define APPEND_TIMEOUT (1 * MS_SEC)

int
world_find_node (const struct world *world, const char *name)
{
  for (unsigned i = 0; i < world->nodes_count; i++)
    if (strcmp (world->nodes[i].name, name) == 0)
      return (int)i;
  return -1;
}

/* Count the message and schedule its delivery, unless it is lost, a partition
   separates the two routers or the address is that of no router.  */
static void
send_message (struct world *world, struct world_node *from,
              const struct ms_effect *effect)
{
  int to = world_find_node (world, effect->send.address);
  const struct trace *trace = world->trace;
  char data[MS_MESSAGE_BYTES];
  unsigned length
      = ms_message_encode (effect->send.message, data, sizeof data);
  struct encoded_message *encoded;

  from->messages_sent++;
  from->bytes_sent += length + CALL_HEADER_BYTES;
  world->stats.kind_messages[effect->send.message->body.kind]++;
  world->stats.kind_bytes[effect->send.message->body.kind]
      += length + CALL_HEADER_BYTES;
  if (to < 0 || from->partitioned != world->nodes[to].partitioned)
    return;
  if (trace->loss > 0
      && (double)ms_random_below (&world->random, 1000000)
             < trace->loss * 1000000)
    return;
  encoded = ms_new (sizeof *encoded + length);
  encoded->length = length;
  memcpy (encoded->data, data, length);
  world_push (world, (struct item){
                         .at = world->now
                               + world_random_delay (world, trace->delay_min,
                                                     trace->delay_max),
                         .kind = ITEM_PEER,
                         .node = to,
                         .data = encoded });
}

/* Append to the log, or report a failure.  If the log loses answers, both. */
static void
append_to_log (struct world *world, struct world_node *from,
               const struct ms_effect *effect)
{
  bool reachable = world_log_reachable (world, from->index);
  ms_time delay = world->trace->log_delay;

  if (world->log_mode == LOG_SLOW)
    delay += LOG_SLOW_DELAY;
  if (reachable)
    world_push (world, (struct item){ .at = world->now + delay,
                                      .kind = ITEM_LOG_APPEND,
                                      .node = -1,
                                      .a = effect->append.stream,
                                      .data = strdup (effect->append.text) });
  if (!reachable || world->log_mode == LOG_LOSE_ANSWERS)
    world_push (world, (struct item){ .at = world->now + APPEND_TIMEOUT,
                                      .kind = ITEM_APPEND_FAILED,
                                      .node = from->index,
                                      .incarnation = from->incarnation,
                                      .a = effect->append.stream,
                                      .b = effect->append.tag });
}

/* The effect sink of the router's decisions, struct ms_sink.  */
static void
handle_effect (void *context, const struct ms_effect *effect)
{
  struct world_node *from = context;
  struct world *world = from->world;

  switch (effect->kind)
    {
    case MS_EFFECT_SEND:
      send_message (world, from, effect);
      break;
    case MS_EFFECT_APPEND:
      append_to_log (world, from, effect);
      break;
    case MS_EFFECT_START:
      world_push (world,
                  (struct item){ .at = world->now + ENDPOINT_DELAY_US,
                                 .kind = ITEM_START,
                                 .node = from->index,
                                 .incarnation = from->incarnation,
                                 .a = effect->start.request,
                                 .b = effect->start.attempt,
                                 .c = effect->start.endpoint,
                                 .d = (uint64_t)effect->start.start_by });
      break;
    case MS_EFFECT_CANCEL:
      world_cancel_run (world, from->index, effect->cancel.request,
                        effect->cancel.attempt);
      break;
    case MS_EFFECT_ANSWER:
      world_answer (world, from->index, effect);
      break;
    case MS_EFFECT_DRAINED:
      from->drained = true;
      world->stats.drained++;
      break;
    }
}

void
world_step (struct world *world, int index, const struct ms_event *event)
{
  struct world_node *node = &world->nodes[index];

  node->steps++;
  ms_node_step (node->node, event, world->now);
  world_check_generation (world, index);
}

static void
schedule_node_item (struct world *world, int node, enum item_kind kind,
                    uint64_t a, ms_time delay)
{
  world_push (world,
              (struct item){ .at = world->now + delay,
                             .kind = kind,
                             .node = node,
                             .incarnation = world->nodes[node].incarnation,
                             .a = a });
}

void
world_start_node (struct world *world, int index)
{
  struct world_node *node = &world->nodes[index];
  const struct ms_sink sink = { handle_effect, node };
  struct ms_node_options options = { .name = node->name,
                                     .zone = world->trace->nodes[index].zone,
                                     .peer_address = node->name,
                                     .caller_address = node->name };

  if (node->node)
    return;
  /* Grows with the time of the start, differs between routers that start at
     the same time, and is never 0 (any incarnation in struct item).  */
  node->incarnation = (uint64_t)world->now + 1000 + (uint64_t)index;
  node->drained = false;
  node->draining = false;
  node->frozen_until = 0;
  memset (node->next_offset, 0, sizeof node->next_offset);
  memset (node->polling, 0, sizeof node->polling);
  options.incarnation = node->incarnation;
  options.random_seed = ms_random_next (&world->random);
  node->node = ms_node_create (&options, &sink);
  /* Staggered, so that routers don't act at the same time.  */
  schedule_node_item (world, index, ITEM_TICK, 0, 1 + index * 1000);
  schedule_node_item (world, index, ITEM_LOG_POLL, MS_STREAM_CONTROL, 1);
  schedule_node_item (world, index, ITEM_LOG_POLL, MS_STREAM_ONCE, 2);
  schedule_node_item (world, index, ITEM_ENDPOINT_LIST, 0, 3);
  schedule_node_item (world, index, ITEM_LOAD_POLL, 0, 4 + index * 7000);
}

void
world_kill_node (struct world *world, int index)
{
  struct world_node *node = &world->nodes[index];

  if (!node->node)
    return;
  ms_node_destroy (node->node);
  node->node = NULL;
  world_cancel_node_runs (world, index);
  world_break_calls (world, index);
}

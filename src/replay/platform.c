#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "replay/internal.h"

/* Between polls of a log that can't be reached.  */
#define LOG_RETRY_PERIOD (100 * MS_MSEC)

/* From a poll of an endpoint's load to the reply.  */
#define LOAD_REPLY_DELAY (1 * MS_MSEC)

bool
world_log_reachable (const struct world *world, int node)
{
  return world->log_mode != LOG_DOWN && !world->nodes[node].partitioned
         && !world->nodes[node].log_cut;
}

static struct world_zone *
find_zone (struct world *world, uint64_t id)
{
  for (unsigned i = 0; i < world->zones_count; i++)
    if (world->zones[i].id == id)
      return &world->zones[i];
  return NULL;
}

/* Take over from CONFIG which zones are in service, and note since when one is
   out.  */
static void
update_zones (struct world *world, const struct ms_config *config)
{
  for (unsigned i = 0; i < config->zones_count && i < 16; i++)
    {
      struct world_zone *zone = find_zone (world, config->zones[i].id);

      if (!zone)
        {
          zone = &world->zones[world->zones_count++];
          zone->id = config->zones[i].id;
          zone->in_service = true;
        }
      if (zone->in_service && !config->zones[i].in_service)
        zone->out_since = world->now;
      zone->in_service = config->zones[i].in_service;
    }
}

/* Decide on the record with TEXT at OFFSET as routers must: a publication is
   accepted if it is well-formed and the generation it is based on
   (record.generation) is the accepted one.  Its own generation is OFFSET plus
   1.  */
static void
apply_publication (struct world *world, const char *text, uint64_t offset)
{
  struct ms_record record;
  struct ms_config *config;
  struct ms_str yaml;

  if (ms_record_parse (ms_str (text), &record) != MS_OK)
    return;
  yaml = (struct ms_str){ record.text, record.text_length };
  if (record.kind == MS_RECORD_CONFIG
      && record.generation == world->accepted_generation
      && ms_config_parse (yaml, "publication", &config) == MS_OK)
    {
      world->accepted_generation = offset + 1;
      world->accepted_at = world->now;
      world->config_spread = false;
      world->accepted_history[world->stats.accepted++ % 64] = offset + 1;
      update_zones (world, config);
      ms_config_destroy (config);
    }
  ms_record_clear (&record);
}

/* Reply to the long polls that wait for STREAM.  world_log_reply ignores the
   empty replies that are already scheduled for them.  */
static void
wake_polls (struct world *world, enum ms_stream stream)
{
  for (unsigned i = 0; i < world->nodes_count; i++)
    {
      struct world_node *node = &world->nodes[i];

      if (!node->node || !node->polling[stream])
        continue;
      node->polling[stream] = false;
      world_push (world,
                  (struct item){ .at = world->now + world->trace->log_delay,
                                 .kind = ITEM_LOG_REPLY,
                                 .node = (int)i,
                                 .incarnation = node->incarnation,
                                 .a = stream,
                                 .b = (uint64_t)node->poll_sent_at[stream],
                                 .c = 1 });
    }
}

void
world_append (struct world *world, enum ms_stream which, const char *text)
{
  struct world_stream *stream = &world->streams[which];

  if (stream->end == stream->capacity)
    {
      stream->capacity = stream->capacity ? stream->capacity * 2 : 256;
      stream->records
          = ms_resize (stream->records, stream->capacity, sizeof (void *));
    }
  stream->records[stream->end] = strdup (text);
  if (which == MS_STREAM_CONTROL)
    apply_publication (world, text, stream->end);
  stream->end++;
  while (stream->end - stream->first_kept > world->trace->log_keep)
    {
      free (stream->records[stream->first_kept]);
      stream->records[stream->first_kept++] = NULL;
    }
  wake_polls (world, which);
}

/* The log replies at once if it has newer records, else after LOG_POLL_WAIT or
   when one is appended.  */
void
world_log_poll (struct world *world, int index, enum ms_stream which)
{
  struct world_node *node = &world->nodes[index];
  ms_time delay = world->trace->log_delay;
  bool has_news = node->next_offset[which] < world->streams[which].end;

  if (!world_log_reachable (world, index))
    {
      world_push (world, (struct item){ .at = world->now + LOG_RETRY_PERIOD,
                                        .kind = ITEM_LOG_POLL,
                                        .node = index,
                                        .incarnation = node->incarnation,
                                        .a = which });
      return;
    }
  if (world->log_mode == LOG_SLOW)
    delay += LOG_SLOW_DELAY;
  node->poll_sent_at[which] = world->now;
  node->polling[which] = !has_news;
  world_push (world, (struct item){ .at = world->now + delay
                                          + (has_news ? 0 : LOG_POLL_WAIT),
                                    .kind = ITEM_LOG_REPLY,
                                    .node = index,
                                    .incarnation = node->incarnation,
                                    .a = which,
                                    .b = (uint64_t)node->poll_sent_at[which],
                                    .c = has_news });
}

void
world_log_reply (struct world *world, int index, enum ms_stream which,
                 ms_time sent_at)
{
  struct world_node *node = &world->nodes[index];
  struct world_stream *stream = &world->streams[which];
  struct ms_event read = { .kind = MS_EVENT_LOG_READ,
                           .log_read = { .stream = which,
                                         .sent_at = sent_at,
                                         .first_kept = stream->first_kept,
                                         .at_end = true } };

  if (sent_at != node->poll_sent_at[which])
    return;
  node->polling[which] = false;
  node->poll_sent_at[which] = -1;
  if (world_log_reachable (world, index))
    {
      if (node->next_offset[which] < stream->first_kept)
        node->next_offset[which] = stream->first_kept;
      for (; node->next_offset[which] < stream->end;
           node->next_offset[which]++)
        {
          struct ms_event event
              = { .kind = MS_EVENT_LOG_RECORD,
                  .log_record
                  = { which, node->next_offset[which],
                      ms_str (stream->records[node->next_offset[which]]) } };

          /* Not world_step: the generation is checked once, after the read. */
          ms_node_step (node->node, &event, world->now);
        }
      world_step (world, index, &read);
    }
  world_log_poll (world, index, which);
}

void
world_deliver_list (struct world *world, int index)
{
  struct ms_endpoint list[TRACE_MAX_ENDPOINTS];
  unsigned count = 0;
  struct ms_event event = { .kind = MS_EVENT_ENDPOINTS };

  for (unsigned i = 0; i < world->endpoints_count; i++)
    {
      const struct world_endpoint *e = &world->endpoints[i];
      struct ms_endpoint *out = &list[count];
      bool lagging = e->leaving
                     && world->now - e->leaving_since < world->trace->list_lag;

      if (!e->listed)
        continue;
      memset (out, 0, sizeof *out);
      out->name = ms_name (e->spec->name);
      out->id = e->id;
      out->service = ms_id (ms_str (e->spec->service));
      out->zone = ms_id (ms_str (e->spec->zone));
      out->leaving = e->leaving && !lagging;
      strncpy (out->address, e->spec->name, MS_ADDRESS_BYTES - 1);
      count++;
    }
  event.endpoints.list = list;
  event.endpoints.count = count;
  world_step (world, index, &event);
}

static int
endpoint_by_id (const struct world *world, uint64_t id)
{
  for (unsigned i = 0; i < world->endpoints_count; i++)
    if (world->endpoints[i].id == id)
      return (int)i;
  return -1;
}

void
world_poll_loads (struct world *world, int index)
{
  uint64_t ids[TRACE_MAX_ENDPOINTS];
  char addresses[TRACE_MAX_ENDPOINTS][MS_ADDRESS_BYTES];
  unsigned count
      = ms_node_watched_endpoints (world->nodes[index].node, world->now, ids,
                                   addresses, TRACE_MAX_ENDPOINTS);

  for (unsigned i = 0; i < count; i++)
    {
      int e = endpoint_by_id (world, ids[i]);
      ms_time lag = world_random_delay (world, 0, world->trace->report_lag);
      bool lost = (double)ms_random_below (&world->random, 1000)
                  < world->report_loss * 1000;

      if (e < 0 || !world->endpoints[e].up || lost)
        continue;
      /* The load is that of LAG ago.  If the endpoint has restarted since, the
         report has the previous start ID.  */
      world_push (
          world,
          (struct item){
              .at = world->now + LOAD_REPLY_DELAY,
              .kind = ITEM_LOAD_REPLY,
              .node = index,
              .incarnation = world->nodes[index].incarnation,
              .a = ids[i],
              .b = world->endpoints[e].start_id
                   - (world->now - lag < world->endpoints[e].started_at),
              .c = world_load_at (world, e, world->now - lag) });
    }
}

/* Replace the value of "in_service" that follows "name: ZONE," in the text of
   the configuration.  It must come last in its flow mapping, since all up to
   "}" is replaced.  */
static enum ms_status
set_zone_in_service (struct world *world, const char *zone, bool in_service)
{
  char wanted[96];
  char *at;
  char *end;
  char *text;
  size_t length = strlen (world->config_text) + 16;

  snprintf (wanted, sizeof wanted, "name: %s,", zone);
  at = strstr (world->config_text, wanted);
  at = at ? strstr (at, "in_service: ") : NULL;
  end = at ? strchr (at, '}') : NULL;
  if (!end)
    return ms_fail (MS_INVALID, "there is no zone %s with in_service", zone);
  text = ms_new (length);
  snprintf (text, length, "%.*sin_service: %s%s",
            (int)(at - world->config_text), world->config_text,
            in_service ? "true" : "false", end);
  free (world->config_text);
  world->config_text = text;
  return MS_OK;
}

enum ms_status
world_publish (struct world *world, const struct trace_line *line)
{
  const char *out = trace_value (line, "zone_out");
  const char *in = trace_value (line, "zone_in");
  struct ms_record record
      = { .kind = MS_RECORD_CONFIG,
          .generation = (uint64_t)trace_number (
              line, "base", (double)world->accepted_generation) };
  enum ms_status status = MS_OK;
  char *text;

  if (out)
    status = set_zone_in_service (world, out, false);
  if (status == MS_OK && in)
    status = set_zone_in_service (world, in, true);
  if (status != MS_OK)
    return status;
  record.text = trace_has (line, "bad") ? "services: [" : world->config_text;
  record.text_length = strlen (record.text);
  text = ms_record_print (&record);
  if (world->log_mode != LOG_DOWN)
    world_append (world, MS_STREAM_CONTROL, text);
  free (text);
  return MS_OK;
}

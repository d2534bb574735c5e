/* Measures how the cost of a router's decisions grows with the fleet.  Drives
   the real modules and the real message encoding of one router, which
   dispatches the only cell; time and the other routers are simulated.  Varies
   one quantity (an axis) at a time and fits a line to each measured figure.
   Prints the lines as a table, or the points as CSV with --csv.  Durations are
   CPU time of this process.  */

#include <argp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "node/node.h"
#include "rpc/codec.h"

#define MAX_POINTS 6
#define RUN_S 5 /* Simulated time of each measurement.  */
#define TICK_PERIOD (20 * MS_MSEC)
#define HEADER_BYTES 40  /* Of lower layers, counted for each message.  */
#define MAX_PENDING 4096 /* Grants or probes without an answer.  */

/* The quantities that can be varied.  */
struct load
{
  unsigned routers;
  unsigned teams;        /* Configured.  */
  unsigned backlogged;   /* Teams with waiting requests.  */
  unsigned endpoints;    /* Of the cell.  */
  unsigned keys;         /* Known to the at-most-once table.  */
  unsigned requests;     /* Per second that arrive at this router.  */
  unsigned restarts;     /* Of all routers in turn, the measured one too.  */
  unsigned publications; /* Of the configuration, one after the other.  */
};

/* The measured costs.  */
struct figures
{
  double state_bytes;    /* Memory of the router's state.  */
  double other_bytes;    /* Sent per second, without grants.  */
  double grant_bytes;    /* Sent per grant.  */
  double other_messages; /* Sent per second, without grants.  */
  double grants;         /* Per second.  */
  double grant_ns;       /* Demand, grant, reply and end of one request.  */
  double tick_ns;        /* One tick event.  */
  double config_ms;      /* To parse a configuration and put it in force.  */
  double record_ns;      /* To read one record of the once stream.  */
  double restart_us;     /* To read a router's expiry and its new join.  */
  double publish_us;     /* To read a publication based on the last one.  */
};

/* A grant that the simulated entry routers have still to answer.  */
struct pending_grant
{
  uint64_t grant;
  uint64_t cell;
  unsigned entry; /* Index of the router that got it.  */
};

struct bench
{
  struct load load;
  struct ms_node *node;
  uint64_t self;
  uint64_t service;
  uint64_t cell;
  ms_time now;
  uint64_t ids[MS_MAX_MEMBERS]; /* Of the routers.  */
  double all_bytes;             /* Sent, with headers.  */
  double grant_bytes;           /* Of these, in grants.  */
  double other_messages;        /* Sent, without grants.  */
  struct pending_grant pending[MAX_PENDING];
  unsigned pending_count;
  uint64_t probed[MAX_PENDING]; /* Routers that have a probe to answer.  */
  unsigned probed_count;
  uint64_t grants;
  uint64_t next_request;
  bool csv;
};

/* Seconds of CPU time that this process has used.  */
static double
cpu_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static uint64_t
name_id (const char *prefix, unsigned number)
{
  char name[32];

  snprintf (name, sizeof name, "%s%u", prefix, number);
  return ms_id (ms_str (name));
}

/* Count a message that the router sends; note grants and probes to answer.  */
static void
count_effect (void *context, const struct ms_effect *effect)
{
  struct bench *bench = context;
  const peer_message *message = effect->send.message;
  char data[MS_MESSAGE_BYTES];
  unsigned length;

  if (effect->kind != MS_EFFECT_SEND)
    return;
  length = ms_message_encode (message, data, sizeof data) + HEADER_BYTES;
  bench->all_bytes += length;
  bench->other_messages += message->body.kind != PEER_GRANT;
  if (message->body.kind == PEER_PROBE && bench->probed_count < MAX_PENDING)
    bench->probed[bench->probed_count++] = effect->send.node;
  if (message->body.kind != PEER_GRANT || bench->pending_count == MAX_PENDING)
    return;
  bench->pending[bench->pending_count].grant
      = message->body.peer_body_u.grant.grant;
  bench->pending[bench->pending_count].cell
      = message->body.peer_body_u.grant.cell;
  for (unsigned i = 0; i < bench->load.routers; i++)
    if (bench->ids[i] == effect->send.node)
      bench->pending[bench->pending_count].entry = i;
  bench->grant_bytes += length;
  bench->pending_count++;
}

static void
feed_event (struct bench *bench, const struct ms_event *event)
{
  ms_node_step (bench->node, event, bench->now);
}

/* Let the router read the record TEXT at OFFSET of STREAM.  */
static void
feed_record (struct bench *bench, enum ms_stream stream, uint64_t offset,
             const char *text)
{
  const struct ms_event event
      = { .kind = MS_EVENT_LOG_RECORD,
          .log_record = { stream, offset, ms_str (text) } };

  feed_event (bench, &event);
}

static char *
make_config (const struct load *load)
{
  size_t capacity = 1024 + (size_t)load->teams * 32;
  char *text = malloc (capacity);
  int used;

  if (!text)
    abort ();
  used = snprintf (text, capacity,
                   "availability_zones:\n- {name: z, region: r}\nteams:\n");
  for (unsigned i = 0; i < load->teams; i++)
    used += snprintf (text + used, capacity - (size_t)used, "- {name: t%u}\n",
                      i);
  snprintf (text + used, capacity - (size_t)used,
            "services:\n- {name: s, cold_limit: 64, warm_limit: 64, "
            "cells_per_zone: 1, report_lag_ms: 100}\n");
  return text;
}

/* Publish the first configuration, and measure how long it takes to apply.  */
static void
apply_config (struct bench *bench, struct figures *figures)
{
  struct ms_record record = { .kind = MS_RECORD_CONFIG };
  char *yaml = make_config (&bench->load);
  char *text;
  double start_s;

  record.text = yaml;
  record.text_length = strlen (yaml);
  text = ms_record_print (&record);
  start_s = cpu_s ();
  feed_record (bench, MS_STREAM_CONTROL, 0, text);
  figures->config_ms = (cpu_s () - start_s) * 1e3;
  free (text);
  free (yaml);
}

static void
add_members (struct bench *bench)
{
  for (unsigned i = 0; i < bench->load.routers; i++)
    {
      struct ms_record record = { .kind = MS_RECORD_JOIN,
                                  .incarnation = 1,
                                  .zone = ms_name ("z") };
      char *text;

      snprintf (record.node.data, sizeof record.node.data, "r%u", i);
      snprintf (record.peer_address, sizeof record.peer_address,
                "127.0.0.1:%u", 1000 + i);
      text = ms_record_print (&record);
      feed_record (bench, MS_STREAM_CONTROL, 1 + i, text);
      free (text);
    }
}

static void
list_endpoints (struct bench *bench)
{
  struct ms_endpoint *list = calloc (bench->load.endpoints, sizeof *list);
  const struct ms_event event
      = { .kind = MS_EVENT_ENDPOINTS,
          .endpoints = { list, bench->load.endpoints } };

  if (!list)
    abort ();
  for (unsigned i = 0; i < bench->load.endpoints; i++)
    {
      snprintf (list[i].name.data, sizeof list[i].name.data, "e%u", i);
      list[i].id = ms_id (ms_str (list[i].name.data));
      list[i].service = bench->service;
      list[i].zone = ms_id (ms_str ("z"));
      snprintf (list[i].address, sizeof list[i].address, "127.0.0.1:%u",
                20000 + i);
    }
  feed_event (bench, &event);
  free (list);
}

static void
report_loads (struct bench *bench)
{
  for (unsigned i = 0; i < bench->load.endpoints; i++)
    {
      /* Start ID 1, no running requests.  */
      const struct ms_event event
          = { .kind = MS_EVENT_LOAD, .load = { name_id ("e", i), 1, 0 } };

      feed_event (bench, &event);
    }
}

static void
read_log (struct bench *bench)
{
  for (int stream = 0; stream < MS_STREAMS; stream++)
    {
      const struct ms_event event
          = { .kind = MS_EVENT_LOG_READ,
              .log_read = { .stream = (enum ms_stream)stream,
                            .sent_at = bench->now,
                            .at_end = true } };

      feed_event (bench, &event);
    }
}

static void
add_keys (struct bench *bench, struct figures *figures)
{
  double start_s = cpu_s ();

  for (unsigned i = 0; i < bench->load.keys; i++)
    {
      char text[96];

      snprintf (text, sizeof text, "intent %016x %016x 3", i + 1, i + 7);
      feed_record (bench, MS_STREAM_ONCE, i, text);
    }
  if (bench->load.keys)
    figures->record_ns = (cpu_s () - start_s) * 1e9 / bench->load.keys;
}

/* The arrival of MESSAGE from the router with the index ENTRY, which claims to
   have applied all records of the control log.  */
static struct ms_event
make_peer_event (const struct bench *bench, peer_message *message,
                 unsigned entry)
{
  message->from = bench->ids[entry];
  message->incarnation = 1;
  message->applied = 1u << 30; /* Beyond the last offset that is fed.  */
  return (struct ms_event){ .kind = MS_EVENT_PEER, .peer = message };
}

/* Send the demand of the backlogged teams, spread evenly over all routers but
   the first, with at most PEER_DEMANDS teams for each.  */
static void
send_demands (struct bench *bench)
{
  unsigned entry_count = bench->load.routers - 1;
  unsigned teams_each
      = (bench->load.backlogged + entry_count - 1) / entry_count;

  for (unsigned e = 0; e < entry_count; e++)
    {
      peer_demand_item items[PEER_DEMANDS];
      peer_message message = { .body = { .kind = PEER_DEMAND } };
      peer_demand *demand = &message.body.peer_body_u.demand;
      struct ms_event event;
      unsigned count = 0;

      for (unsigned i = 0; i < teams_each && count < PEER_DEMANDS; i++)
        if (e * teams_each + i < bench->load.backlogged)
          items[count++]
              = (peer_demand_item){ .team = name_id ("t", e * teams_each + i),
                                    .interactive = 4 };
      if (!count)
        continue;
      demand->cell = bench->cell;
      demand->sent_at = bench->now;
      demand->items.items_val = items;
      demand->items.items_len = count;
      event = make_peer_event (bench, &message, e + 1);
      feed_event (bench, &event);
    }
}

/* Accept each pending grant and report its request as done, as the entry
   routers would.  */
static void
answer_grants (struct bench *bench)
{
  unsigned count = bench->pending_count;
  struct pending_grant pending[MAX_PENDING];

  memcpy (pending, bench->pending, count * sizeof *pending);
  bench->pending_count = 0;
  for (unsigned i = 0; i < count; i++)
    {
      peer_message reply = { .body = { .kind = PEER_GRANT_REPLY } };
      peer_message done = { .body = { .kind = PEER_DONE } };
      struct ms_event event;

      reply.body.peer_body_u.reply
          = (peer_grant_reply){ pending[i].grant, pending[i].cell, true };
      event = make_peer_event (bench, &reply, pending[i].entry);
      feed_event (bench, &event);
      done.body.peer_body_u.done = (peer_done){ .grant = pending[i].grant,
                                                .cell = pending[i].cell,
                                                .cost = 100,
                                                .duration = MS_SEC };
      event = make_peer_event (bench, &done, pending[i].entry);
      feed_event (bench, &event);
    }
  bench->grants += count;
}

static void
answer_probes (struct bench *bench)
{
  for (unsigned i = 0; i < bench->probed_count; i++)
    {
      peer_message message = { .from = bench->probed[i],
                               .incarnation = 1,
                               .applied = 1u << 30,
                               .body = { .kind = PEER_PROBE_ACK } };
      const struct ms_event event
          = { .kind = MS_EVENT_PEER, .peer = &message };

      feed_event (bench, &event);
    }
  bench->probed_count = 0;
}

static void
send_arrivals (struct bench *bench)
{
  unsigned ticks_per_s = (unsigned)(MS_SEC / TICK_PERIOD);
  unsigned count = bench->load.requests / ticks_per_s;

  for (unsigned i = 0; i < count; i++)
    {
      const struct ms_event event
          = { .kind = MS_EVENT_ARRIVE,
              .arrive = { .request = ++bench->next_request,
                          .team = name_id ("t", i % bench->load.teams),
                          .service = bench->service,
                          .idempotent = true,
                          .fingerprint = bench->next_request,
                          .deadline = bench->now + 400 * MS_MSEC } };

      feed_event (bench, &event);
    }
}

/* Run the load for RUN_S of simulated time, and measure memory, messages,
   grants and ticks.  */
static void
run (struct bench *bench, struct figures *figures)
{
  const struct ms_event tick = { .kind = MS_EVENT_TICK };
  unsigned ticks = RUN_S * (unsigned)(MS_SEC / TICK_PERIOD);
  double tick_s = 0;
  double grant_s = 0;

  bench->all_bytes = bench->grant_bytes = bench->other_messages = 0;
  bench->grants = 0;
  for (unsigned i = 0; i < ticks; i++)
    {
      double start_s;

      bench->now += TICK_PERIOD;
      read_log (bench);
      send_arrivals (bench);
      answer_probes (bench);
      start_s = cpu_s ();
      if (i % 25 == 0) /* Every 500 ms.  */
        send_demands (bench);
      answer_grants (bench);
      grant_s += cpu_s () - start_s;
      start_s = cpu_s ();
      feed_event (bench, &tick);
      tick_s += cpu_s () - start_s;
    }
  figures->other_bytes = (bench->all_bytes - bench->grant_bytes) / RUN_S;
  figures->other_messages = bench->other_messages / RUN_S;
  figures->grants = (double)bench->grants / RUN_S;
  if (bench->grants)
    figures->grant_bytes = bench->grant_bytes / (double)bench->grants;
  figures->tick_ns = tick_s * 1e9 / ticks;
  if (bench->grants)
    figures->grant_ns = grant_s * 1e9 / (double)bench->grants;
  figures->state_bytes
      = (double)ms_node_status (bench->node, bench->now).bytes;
}

/* Let the router read that ROUTER joined or expired, as KIND says.  */
static void
feed_member (struct bench *bench, enum ms_record_kind kind, unsigned router,
             uint64_t incarnation, uint64_t offset)
{
  struct ms_record record
      = { .kind = kind, .incarnation = incarnation, .zone = ms_name ("z") };
  char *text;

  snprintf (record.node.data, sizeof record.node.data, "r%u", router);
  text = ms_record_print (&record);
  feed_record (bench, MS_STREAM_CONTROL, offset, text);
  free (text);
}

static void
restart_routers (struct bench *bench, struct figures *figures)
{
  uint64_t offset = bench->load.routers + 10; /* Behind the first joins.  */
  double start_s = cpu_s ();

  for (unsigned i = 0; i < bench->load.restarts; i++)
    {
      unsigned router = i % bench->load.routers;
      uint64_t incarnation = 1 + i / bench->load.routers;

      feed_member (bench, MS_RECORD_EXPIRE, router, incarnation, offset++);
      feed_member (bench, MS_RECORD_JOIN, router, incarnation + 1, offset++);
    }
  if (bench->load.restarts)
    figures->restart_us = (cpu_s () - start_s) * 1e6 / bench->load.restarts;
}

static void
apply_publications (struct bench *bench, struct figures *figures)
{
  uint64_t offset = 1000000; /* Behind all records of members.  */
  double start_s = cpu_s ();

  for (unsigned i = 0; i < bench->load.publications; i++)
    {
      const struct ms_config *config = ms_node_view (bench->node)->config;
      struct ms_record record = { .kind = MS_RECORD_CONFIG,
                                  .generation = config->generation,
                                  .text = config->text,
                                  .text_length = config->text_length };
      char *text = ms_record_print (&record);

      feed_record (bench, MS_STREAM_CONTROL, offset++, text);
      free (text);
    }
  if (bench->load.publications)
    figures->publish_us
        = (cpu_s () - start_s) * 1e6 / bench->load.publications;
}

/* The index of the router that dispatches the only cell.  Measuring that one
   includes the cost of grants.  */
static unsigned
find_dispatcher (const struct load *load)
{
  struct bench *bench = calloc (1, sizeof *bench);
  const struct ms_sink sink = { count_effect, bench };
  /* Incarnation 1, random seed 1.  */
  const struct ms_node_options options
      = { "none", "z", "127.0.0.1:1", "127.0.0.1:2", 1, 1 };
  struct figures figures;
  unsigned dispatcher = 0;

  bench->load = *load;
  bench->node = ms_node_create (&options, &sink);
  apply_config (bench, &figures);
  add_members (bench);
  for (unsigned i = 0; i < load->routers; i++)
    if (name_id ("r", i) == ms_node_view (bench->node)->cells[0].holder)
      dispatcher = i;
  ms_node_destroy (bench->node);
  free (bench);
  return dispatcher;
}

/* Measure a router under LOAD.  */
static struct figures
measure (const struct load *load)
{
  struct bench *bench = calloc (1, sizeof *bench);
  const struct ms_sink sink = { count_effect, bench };
  struct figures figures = { 0 };
  char name[32];
  /* Incarnation 1, random seed 7.  */
  struct ms_node_options options
      = { name, "z", "127.0.0.1:1", "127.0.0.1:2", 1, 7 };

  if (!bench)
    abort ();
  snprintf (name, sizeof name, "r%u", find_dispatcher (load));
  bench->load = *load;
  for (unsigned i = 0; i < load->routers; i++)
    bench->ids[i] = name_id ("r", i);
  bench->service = ms_id (ms_str ("s"));
  bench->now = MS_SEC;
  bench->node = ms_node_create (&options, &sink);
  apply_config (bench, &figures);
  add_members (bench);
  bench->cell = ms_node_view (bench->node)->cells[0].id;
  list_endpoints (bench);
  add_keys (bench, &figures);
  /* Read the log and the loads for 4 s of simulated time without requests.  */
  for (int i = 0; i < 4; i++)
    {
      bench->now += MS_SEC;
      read_log (bench);
      report_loads (bench);
    }
  run (bench, &figures);
  restart_routers (bench, &figures);
  apply_publications (bench, &figures);
  ms_node_destroy (bench->node);
  free (bench);
  return figures;
}

/* The line INTERCEPT + SLOPE * x.  */
struct fit
{
  double intercept;
  double slope;
  double max_error; /* Largest distance of a point from the line, as a fraction
                       of the points' range.  */
};

/* Fit a line to COUNT points by least squares.  */
static struct fit
fit_line (const double *x, const double *y, int count)
{
  double sx = 0, sy = 0, sxx = 0, sxy = 0, low = y[0], high = y[0];
  struct fit fit = { 0 };

  for (int i = 0; i < count; i++)
    {
      sx += x[i];
      sy += y[i];
      sxx += x[i] * x[i];
      sxy += x[i] * y[i];
      low = y[i] < low ? y[i] : low;
      high = y[i] > high ? y[i] : high;
    }
  fit.slope = (count * sxy - sx * sy) / (count * sxx - sx * sx);
  fit.intercept = (sy - fit.slope * sx) / count;
  for (int i = 0; i < count; i++)
    {
      double distance = y[i] - fit.intercept - fit.slope * x[i];

      distance = distance < 0 ? -distance : distance;
      if (high > low && distance / (high - low) > fit.max_error)
        fit.max_error = distance / (high - low);
    }
  return fit;
}

/* A quantity and the values at which the costs are measured.  */
struct axis
{
  const char *name;
  size_t field;                /* Offset in struct load.  */
  unsigned points[MAX_POINTS]; /* Up to the first 0.  */
};

/* The measured costs by their printed names.  */
static const struct
{
  const char *name;
  size_t field; /* Offset in struct figures.  */
} columns[] = {
  { "state_bytes", offsetof (struct figures, state_bytes) },
  { "other_bytes_s", offsetof (struct figures, other_bytes) },
  { "other_messages_s", offsetof (struct figures, other_messages) },
  { "grant_bytes", offsetof (struct figures, grant_bytes) },
  { "grants_s", offsetof (struct figures, grants) },
  { "grant_ns", offsetof (struct figures, grant_ns) },
  { "tick_ns", offsetof (struct figures, tick_ns) },
  { "config_ms", offsetof (struct figures, config_ms) },
  { "record_ns", offsetof (struct figures, record_ns) },
  { "restart_us", offsetof (struct figures, restart_us) },
  { "publish_us", offsetof (struct figures, publish_us) },
};

#define COLUMNS (sizeof columns / sizeof *columns)

static double
figure_value (const struct figures *figures, size_t index)
{
  double value;

  memcpy (&value, (const char *)figures + columns[index].field, sizeof value);
  return value;
}

/* Measure and print all points of AXIS; all other quantities keep their
   defaults.  */
static void
run_axis (const struct axis *axis, bool csv)
{
  struct figures figures[MAX_POINTS];
  double x[MAX_POINTS];
  int count = 0;

  while (count < MAX_POINTS && axis->points[count])
    {
      struct load load = { .routers = 9,
                           .teams = 16,
                           .backlogged = 16,
                           .endpoints = 4,
                           .restarts = 50,
                           .publications = 10 };

      memcpy ((char *)&load + axis->field, &axis->points[count],
              sizeof (unsigned));
      /* A team with waiting requests must be configured.  */
      if (load.teams < load.backlogged)
        load.teams = load.backlogged;
      x[count] = axis->points[count];
      figures[count] = measure (&load);
      count++;
    }
  for (size_t c = 0; c < COLUMNS; c++)
    {
      double y[MAX_POINTS];
      struct fit fit;

      for (int i = 0; i < count; i++)
        {
          y[i] = figure_value (&figures[i], c);
          if (csv)
            printf ("%s,%s,%.0f,%.3f\n", axis->name, columns[c].name, x[i],
                    y[i]);
        }
      fit = fit_line (x, y, count);
      if (!csv)
        printf ("%-12s %-16s %8.0f..%-8.0f %12.2f %12.4f %8.3f\n", axis->name,
                columns[c].name, x[0], x[count - 1], fit.intercept, fit.slope,
                fit.max_error);
    }
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  (void)arg;
  if (key != 'c')
    return ARGP_ERR_UNKNOWN;
  *(bool *)state->input = true;
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct argp_option argp_options[]
      = { { "csv", 'c', NULL, 0, "Print the points as CSV", 0 }, { 0 } };
  static const struct axis axes[] = {
    { "routers", offsetof (struct load, routers), { 9, 40, 100, 200, 370 } },
    { "teams", offsetof (struct load, teams), { 16, 400, 1600, 6600 } },
    { "backlogged",
      offsetof (struct load, backlogged),
      { 16, 64, 160, 320, 500 } },
    { "endpoints", offsetof (struct load, endpoints), { 4, 8, 16, 32 } },
    { "keys", offsetof (struct load, keys), { 1000, 10000, 50000, 200000 } },
    { "restarts",
      offsetof (struct load, restarts),
      { 10, 50, 170, 500, 1700 } },
    { "publications",
      offsetof (struct load, publications),
      { 10, 160, 320, 640 } },
    { "requests", offsetof (struct load, requests), { 50, 100, 200, 400 } },
  };
  const struct argp argp
      = { argp_options, parse_option, NULL, NULL, NULL, NULL, NULL };
  bool csv = false;

  argp_parse (&argp, argc, argv, 0, NULL, &csv);
  if (csv)
    printf ("axis,figure,size,value\n");
  else
    printf ("%-12s %-16s %18s %12s %12s %8s\n", "axis", "figure", "range",
            "base", "slope", "error");
  for (size_t i = 0; i < sizeof axes / sizeof *axes; i++)
    run_axis (&axes[i], csv);
  return 0;
}

#ifndef REPLAY_WORLD_H
#define REPLAY_WORLD_H

#include <stdio.h>

#include "node/node.h"
#include "replay/trace.h"

/* Carries the events of a trace between the decisions of several routers:
   ordered delivery with seeded delays, a log, an instance list, endpoints
   that run requests at a pace, and callers.  It notes what happened;
   replay/check.h sets that against the expected outcomes.  */

#define WORLD_MAX_TEAMS 64
#define WORLD_MAX_SERVICES 8
#define WORLD_LOAD_HISTORY 32

enum item_kind
{
  ITEM_TICK,
  ITEM_PEER,
  ITEM_LOG_POLL,
  ITEM_LOG_REPLY,
  ITEM_LOG_APPEND,
  ITEM_APPEND_FAILED,
  ITEM_ENDPOINT_LIST,
  ITEM_LOAD_POLL,
  ITEM_LOAD_REPLY,
  ITEM_ARRIVE,
  ITEM_START,
  ITEM_RUN_END,
  ITEM_RUN_PROGRESS,
  ITEM_ENDPOINT_CRASH,
  ITEM_ATTEMPT_END,
  ITEM_TRACE_LINE,
  ITEM_REPEAT_SEND,
  ITEM_ENDPOINT_START,
  ITEM_SAMPLE
};

/* Something that happens at a time; NODE is -1 if it is no router's.  */
struct item
{
  ms_time at;
  uint64_t sequence;
  enum item_kind kind;
  int node;
  uint64_t incarnation;
  uint64_t a, b, c, d;
  void *data; /* Owned.  */
};

struct world_node
{
  struct world *world;
  int index;
  const char *name;
  uint64_t id;
  struct ms_node *node; /* NULL while it is down.  */
  uint64_t incarnation;
  ms_time frozen_until;
  bool partitioned; /* From the other routers and the log.  */
  bool log_cut;     /* From the log only.  */
  bool leaving;     /* Told to drain.  */
  bool drained;

  uint64_t next_offset[MS_STREAMS];
  bool polling[MS_STREAMS]; /* A long poll waits at the log.  */
  ms_time poll_sent_at[MS_STREAMS];
  uint64_t generation; /* Highest it was seen to have in force.  */
  uint64_t messages_sent;
  uint64_t bytes_sent;
  uint64_t steps;
};

struct world_run
{
  bool active;
  int call;
  int node;
  uint64_t incarnation;
  uint64_t request;
  unsigned attempt;
  int endpoint;
  double cost;
  double done_units;
  ms_time started_at;
  ms_time updated_at;
  ms_time progress_every;
  uint64_t end_version;
};

struct world_endpoint
{
  const struct trace_endpoint *spec;
  uint64_t id;
  int service;
  bool up;
  bool leaving; /* As the list tells.  */
  bool listed;
  ms_time leaving_since;
  uint64_t start_id;
  ms_time started_at;

  ms_time warm_at;           /* When its cold start ends.  */
  ms_time unannounced_since; /* Its cold start began without a sign; or 0.  */
  unsigned running;
  struct
  {
    ms_time at;
    unsigned running;
  } load_history[WORLD_LOAD_HISTORY];
  unsigned load_history_next;
};

enum call_state
{
  CALL_WAITING,
  CALL_RUNNING,
  CALL_ENDED
};

struct world_call
{
  int team;
  int service;
  struct ms_arrival arrival;
  uint32_t cost;
  int node;
  uint64_t incarnation;
  enum call_state state;
  ms_time sent_at;
  ms_time first_start; /* -1 before.  */
  ms_time ended_at;
  unsigned answers;
  unsigned runs;
  bool broken;           /* Its router ended under it.  */
  bool crashes_endpoint; /* It ends the endpoint that runs it.  */
  unsigned resends_left;
  int original;            /* The call it is a resend of, or its own index.  */
  unsigned runs_all_sends; /* Of the original: over all sends.  */
  enum ms_outcome outcome;
  enum ms_reason reason;
  ms_time retry_after;
};

struct world_stream
{
  char **records;
  uint64_t first_kept;
  uint64_t end;
  uint64_t capacity;
};

enum log_mode
{
  LOG_UP,
  LOG_DOWN,
  LOG_SLOW,
  LOG_LOSE_ANSWERS
};

struct world_zone
{
  uint64_t id;
  bool in_service;
  ms_time out_since;
};

/* What was noted of one service's fairness between two teams.  */
struct team_pair
{
  bool backlogged;
  double lowest;
  double highest;
};

struct world_stats
{
  unsigned cold_over; /* Starts above what a cold endpoint bears.  */
  ms_time cold_over_first_at;
  unsigned cold_over_unannounced[64]; /* By tenths of a second since.  */
  ms_time zone_late;    /* Longest time after a zone went out of a start.  */
  ms_time leaving_late; /* The same for a leaving endpoint.  */
  unsigned crashes;
  unsigned reverted;
  unsigned unaccepted; /* Routers seen with a generation that lost.  */
  unsigned accepted;   /* Publications.  */
  ms_time in_force;    /* Longest time until one was everywhere.  */
  double gap[WORLD_MAX_SERVICES];
  ms_time gap_at[WORLD_MAX_SERVICES];
  double busy_slots[WORLD_MAX_SERVICES];
  double usable_slots[WORLD_MAX_SERVICES];
  unsigned drained;
  unsigned cut_by_drain;
  uint64_t peak_bytes;
  uint64_t kind_bytes[16]; /* Sent between routers, by kind of message.  */
  uint64_t kind_messages[16];
};

struct world_options
{
  const char *policy;       /* Replaces "${policy}", NULL for "fair".  */
  const char *without_team; /* Team whose arrivals are left out, or NULL.  */
  uint64_t seed;            /* 0 for the trace's.  */
  FILE *verbose;
};

struct world
{
  const struct trace *trace;
  struct world_options options;
  ms_time now;
  struct ms_random random;
  struct item *heap;
  size_t heap_count;
  size_t heap_capacity;
  uint64_t sequence;
  struct world_node nodes[TRACE_MAX_NODES];
  unsigned nodes_count;
  struct world_endpoint endpoints[TRACE_MAX_ENDPOINTS];
  unsigned endpoints_count;
  struct world_run *runs;
  size_t runs_count;
  struct world_call *calls;
  size_t calls_count;
  size_t calls_capacity;
  struct world_stream streams[MS_STREAMS];
  enum log_mode log_mode;
  char *config_text;        /* Text of the next publication.  */
  struct ms_config *config; /* Parsed once, for names.  */
  struct world_zone zones[16];
  unsigned zones_count;
  uint64_t accepted_generation;  /* Generation in force by the log.  */
  uint64_t accepted_history[64]; /* All generations that were.  */
  ms_time accepted_at;
  bool config_spread; /* It is in force at every connected router.  */
  double report_loss;
  bool late_ends; /* Each end comes a second time, later.  */
  double work_done[WORLD_MAX_SERVICES][WORLD_MAX_TEAMS];
  unsigned waiting[WORLD_MAX_SERVICES][WORLD_MAX_TEAMS];
  ms_time waiting_since[WORLD_MAX_SERVICES][WORLD_MAX_TEAMS];
  struct team_pair pairs[WORLD_MAX_SERVICES][WORLD_MAX_TEAMS][WORLD_MAX_TEAMS];
  bool gap_paused;
  struct world_stats stats;
};

/* Run TRACE to its end.  MS_INVALID if an event is malformed.  */
enum ms_status world_run_trace (const struct trace *trace,
                                const struct world_options *options,
                                struct world **world);
void world_destroy (struct world *world);

#endif

#ifndef REPLAY_WORLD_H
#define REPLAY_WORLD_H

#include <stdio.h>

#include "node/node.h"
#include "replay/trace.h"

/* Discrete-event simulation of a fleet.  The real decision code of each router
   (node/node.h) runs in one process; this module replaces its surroundings:
   the network between routers with seeded random delays and loss, the log, the
   endpoint list, endpoints that run requests at a fixed rate, and callers.
   A trace lists the faults and the load.  Runs with the same trace, seed and
   options are identical.  Statistics are collected during the run;
   replay/check.h compares them with the expectations of the trace.

   Times are in simulated microseconds (ms_time) from the start of the trace,
   costs in cost units.  Single-threaded.  */

#define WORLD_MAX_TEAMS 64
#define WORLD_MAX_SERVICES 8
#define WORLD_LOAD_HISTORY 32

/* Kinds of scheduled items, with the fields of struct item they use.  */
enum item_kind
{
  ITEM_TICK,
  ITEM_PEER,          /* DATA: struct encoded_message.  */
  ITEM_LOG_POLL,      /* A: stream.  */
  ITEM_LOG_REPLY,     /* A: stream, B: time of the poll; C is unused.  */
  ITEM_LOG_APPEND,    /* A: stream, DATA: text of the record.  */
  ITEM_APPEND_FAILED, /* A: stream, B: tag of the append.  */
  ITEM_ENDPOINT_LIST, /* The router reads the endpoint list.  */
  ITEM_LOAD_POLL,     /* The router asks endpoints for their load.  */
  ITEM_LOAD_REPLY,    /* A: endpoint ID, B: start ID, C: running requests.  */
  ITEM_ARRIVE,        /* A: index of the call.  */
  ITEM_START,         /* A: request, B: attempt, C: endpoint ID, D: latest time
                         of the start.  */
  ITEM_RUN_END,       /* A: index of the run, B: its end version.  */
  ITEM_RUN_PROGRESS,  /* A: index of the run.  */
  ITEM_ENDPOINT_CRASH, /* A: index of the endpoint, B: its start ID.  */
  ITEM_ATTEMPT_END,    /* DATA: struct ms_attempt_end.  */
  ITEM_TRACE_LINE,     /* A: index in the trace's events.  */
  ITEM_REPEAT_SEND,    /* A: index in the trace's events, B: last time.  */
  ITEM_ENDPOINT_START, /* A: index of the endpoint, B: 0 for a start, 1 for
                          the end of its cold start.  */
  ITEM_SAMPLE
};

/* An entry of the event queue.  */
struct item
{
  ms_time at;
  uint64_t sequence; /* Items of the same time run in this order.  */
  enum item_kind kind;
  int node;             /* Router that handles it, -1 if none does.  */
  uint64_t incarnation; /* Dropped if the router's differs; 0: any.  */
  uint64_t a, b, c, d;  /* Depend on the kind, see enum item_kind.  */
  void *data;           /* Owned, or NULL.  */
};

/* A simulated router.  */
struct world_node
{
  struct world *world;
  int index;
  const char *name;
  uint64_t id;          /* Unused.  */
  struct ms_node *node; /* NULL while it is down.  */
  uint64_t incarnation; /* Of its last start.  */
  ms_time frozen_until; /* Its items are delayed until then; 0: running.  */
  bool partitioned;     /* Can't reach the log, and of the other routers only
                           those that are partitioned as well.  Callers,
                           endpoints and the endpoint list stay reachable.  */
  bool log_cut;         /* Reaches the routers, but not the log.  */
  bool draining;        /* It was ordered to drain.  */
  bool drained;

  uint64_t next_offset[MS_STREAMS]; /* Of the next record to read.  */
  bool polling[MS_STREAMS];         /* A long poll waits at the log.  */
  ms_time poll_sent_at[MS_STREAMS]; /* Of the last poll; -1 once the log has
                                       replied.  */
  uint64_t generation;              /* Configuration it last had in force.  */
  uint64_t messages_sent;
  uint64_t bytes_sent; /* With CALL_HEADER_BYTES for each message.  */
  uint64_t steps; /* Events it has handled, other than log records; unused.  */
};

/* An attempt that runs on an endpoint; inactive entries are reused.  */
struct world_run
{
  bool active;
  int call;             /* Index of the call.  */
  int node;             /* Index of the router that started it.  */
  uint64_t incarnation; /* Of that router, when it did.  */
  uint64_t request;
  unsigned attempt;
  int endpoint; /* Index of the endpoint.  */
  double cost;
  double done_units; /* Cost units done at updated_at.  */
  ms_time started_at;
  ms_time updated_at;
  ms_time progress_every; /* Unused.  */
  uint64_t end_version;   /* ITEM_RUN_END with another one is ignored.  */
};

/* A simulated endpoint.  */
struct world_endpoint
{
  const struct trace_endpoint *spec;
  uint64_t id;
  int service; /* Index in the configuration, or -1.  */
  bool up;
  bool leaving; /* The list shows it as leaving once the list lag is over.  */
  bool listed;  /* The endpoint list contains it; always true.  */
  ms_time leaving_since;
  uint64_t start_id; /* Counts its starts.  */
  ms_time started_at;

  ms_time warm_at; /* When its cold start ends.  */
  /* When its present cold start began, if the dispatcher can learn of that
     only from load reports, which is so after a chill and after a start while
     a router is partitioned.  Else 0.  */
  ms_time unannounced_since;
  unsigned running; /* Requests that it runs.  */
  /* Ring of the last changes of RUNNING, for delayed load reports.  */
  struct
  {
    ms_time at;
    unsigned running;
  } load_history[WORLD_LOAD_HISTORY];
  unsigned load_history_next;
};

enum call_state
{
  CALL_WAITING, /* No endpoint has run it.  */
  CALL_RUNNING, /* An endpoint has begun to run it; kept while it waits for
                   another attempt.  */
  CALL_ENDED
};

/* One sending of a request by a caller.  If the caller sends the request
   again, that is another call.  */
struct world_call
{
  int team;                  /* Index in the configuration.  */
  int service;               /* Index in the configuration.  */
  struct ms_arrival arrival; /* Its request ID is the call's index plus 1.  */
  uint32_t cost;             /* True cost, in cost units.  */
  int node;                  /* Index of the router it is sent to.  */
  uint64_t incarnation;      /* Of that router, when the call was created.  */
  enum call_state state;
  ms_time sent_at;
  ms_time first_start; /* When an endpoint first ran it, -1 before.  */
  ms_time ended_at;    /* 0 before the end.  */
  unsigned answers;
  unsigned runs;           /* Attempts that an endpoint began to run.  */
  bool broken;             /* Its router ended before it answered.  */
  bool crashes_endpoint;   /* The endpoint that runs it crashes.  */
  unsigned resends_left;   /* How often the caller still sends it again.  */
  int original;            /* Index of the request's first call.  */
  unsigned runs_all_sends; /* Valid in the first call: RUNS of all calls.  */
  /* Of the last answer, valid if ANSWERS isn't 0.  */
  enum ms_outcome outcome;
  enum ms_reason reason;
  ms_time retry_after; /* Duration; 0 if the answer names none.  */
};

/* A stream of the log; records before first_kept have been deleted.  */
struct world_stream
{
  char **records; /* Indexed by offset.  */
  uint64_t first_kept;
  uint64_t end; /* Offset of the next record.  */
  uint64_t capacity;
};

enum log_mode
{
  LOG_UP,
  LOG_DOWN,
  LOG_SLOW,
  LOG_LOSE_ANSWERS /* Records are appended, but the append reports failure.  */
};

/* An availability zone, as the accepted configuration has it.  */
struct world_zone
{
  uint64_t id;
  bool in_service;
  ms_time out_since;
};

/* Compares the work that a service did for two teams, in cost units divided by
   the team's weight: the range of the difference between the two since both
   teams have had waiting requests without a break.  */
struct team_pair
{
  bool backlogged; /* Both have waiting requests; LOWEST and HIGHEST are
                      valid.  */
  double lowest;
  double highest;
};

/* Statistics of a run.  */
struct world_stats
{
  /* Requests started on a cold endpoint that already ran its cold limit,
     without those that cold_over_unannounced counts.  */
  unsigned cold_over;
  ms_time cold_over_first_at;
  /* The same during a cold start with unannounced_since set, by the time since
     it began: an entry for each 100 ms, the last one for all from 6.3 s.  The
     first also counts starts that no router could prevent
     (restart_too_recent), so that a "grace" leaves these out.  */
  unsigned cold_over_unannounced[64];
  /* Longest time after which a request was still started in a zone that had
     gone out of service, or on an endpoint that was leaving.  */
  ms_time zone_late;
  ms_time leaving_late;
  unsigned crashes; /* Endpoints that a request crashed.  */
  /* Of configuration generations:  */
  unsigned reverted;   /* Times a router went back to an older generation.  */
  unsigned unaccepted; /* Times a router took one not accepted.  */
  unsigned accepted;   /* Publications that were accepted.  */
  ms_time in_force;    /* Longest time from the acceptance of a generation
                          until all connected routers had it in force.  */
  /* Widest range of a team_pair, in cost units per weight.  */
  double gap[WORLD_MAX_SERVICES];
  ms_time gap_at[WORLD_MAX_SERVICES]; /* Time of the GAP; unused.  */
  /* Sums over all samples in which work waited: slots of warm endpoints that
     were busy, and all of them.  */
  double busy_slots[WORLD_MAX_SERVICES];
  double usable_slots[WORLD_MAX_SERVICES];
  unsigned drained;        /* Drains that were completed.  */
  unsigned cut_by_drain;   /* Requests that a draining router didn't answer, or
                              not with success; refusals with the reason
                              "draining" don't count.  */
  uint64_t peak_bytes;     /* Largest decision state of a router; unused.  */
  uint64_t kind_bytes[16]; /* Sent between routers, by enum peer_kind.  */
  uint64_t kind_messages[16];
};

struct world_options
{
  const char *policy;       /* Replaces "${policy}", NULL for "fair".  */
  const char *without_team; /* Team whose arrivals are left out, or NULL.  */
  uint64_t seed;            /* 0 for the seed of the trace.  */
  FILE *verbose;            /* Where the events are logged, or NULL.  */
};

struct world
{
  const struct trace *trace;
  struct world_options options;
  ms_time now;
  struct ms_random random;
  struct item *heap; /* Event queue, a binary heap.  */
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
  char *config_text;           /* Text of the next publication.  */
  struct ms_config *config;    /* As the run starts; gives teams and services
                                  their indexes.  */
  struct world_zone zones[16]; /* init_world refuses larger configurations.  */
  unsigned zones_count;
  uint64_t accepted_generation;  /* The log's newest accepted one.  */
  uint64_t accepted_history[64]; /* Ring of the last accepted ones, written at
                                    stats.accepted % 64.  */
  ms_time accepted_at;           /* When accepted_generation was accepted.  */
  bool config_spread; /* All connected routers have that one in force.  */
  double report_loss; /* Fraction of load reports lost, 0 to 1.  */
  bool late_ends;     /* Each end of an attempt is reported twice.  */
  double work_done[WORLD_MAX_SERVICES][WORLD_MAX_TEAMS]; /* Cost units.  */
  /* Calls that waited at the last sample, and time of the last sample at which
     none did.  */
  unsigned waiting[WORLD_MAX_SERVICES][WORLD_MAX_TEAMS];
  ms_time waiting_since[WORLD_MAX_SERVICES][WORLD_MAX_TEAMS];
  struct team_pair pairs[WORLD_MAX_SERVICES][WORLD_MAX_TEAMS][WORLD_MAX_TEAMS];
  bool gap_paused; /* The fairness gap isn't measured.  */
  struct world_stats stats;
};

/* Run TRACE to its end and store the final state in *WORLD; the caller frees
   it with world_destroy, and TRACE must outlive it.  Return MS_INVALID, with a
   message, if the configuration or an event is malformed; *WORLD is unchanged
   then.  For an event, the message names the trace and the line, which is
   counted in the included file if the event comes from one.  */
enum ms_status world_run_trace (const struct trace *trace,
                                const struct world_options *options,
                                struct world **world);
void world_destroy (struct world *world);

#endif

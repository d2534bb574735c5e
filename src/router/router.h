#ifndef ROUTER_ROUTER_H
#define ROUTER_ROUTER_H

#include <civetweb.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <uthash.h>

#include "base/clock.h"
#include "config/config.h"
#include "node/node.h"
#include "backing/backing.h"
#include "router/settings.h"
#include "rpc/transport.h"

/* The router process: threads that turn bytes into events and effects into
   bytes around one set of decisions, which a lock guards.  */

#define MS_HISTORY 1024
#define MS_MAX_QUEUED_APPENDS 1024

/* A caller's request while its thread serves it.  */
struct ms_call
{
  uint64_t id;
  pthread_cond_t changed;
  ms_time begun;
  ms_time first_start; /* Of an attempt, 0 before.  */
  bool start;          /* An attempt is to begin.  */
  unsigned attempt;
  uint64_t endpoint;
  char address[MS_ADDRESS_BYTES];
  ms_time start_by;
  atomic_bool cancel; /* The attempt is to end.  */
  int socket;         /* The caller's, -1 before it is looked for.  */
  ms_time next_look;  /* When to see again whether the caller is there.  */
  bool answered;
  enum ms_outcome outcome;
  enum ms_reason reason;
  ms_time retry_after;
  UT_hash_handle hh;
};

/* An ended request, kept for explanations.  */
struct ms_past
{
  uint64_t id;
  enum ms_outcome outcome;
  enum ms_reason reason;
  uint64_t endpoint;
  unsigned attempts;
  ms_time waited; /* Until the first attempt began.  */
  ms_time took;
};

struct ms_append
{
  enum ms_stream stream;
  uint64_t tag;
  char *text;
};

struct ms_router
{
  const struct ms_settings *settings;
  struct ms_clock clock;
  uint64_t incarnation;
  pthread_mutex_t lock; /* Guards what follows.  */
  struct ms_node *node;
  struct ms_call *calls;
  uint64_t next_request;
  struct ms_past history[MS_HISTORY];
  unsigned history_next;
  struct ms_append appends[MS_MAX_QUEUED_APPENDS];
  unsigned appends_first;
  unsigned appends_count;
  pthread_cond_t append_queued;
  FILE *record; /* Events for replay, NULL if not asked for.  */
  bool drained;

  struct ms_transport *transport;
  struct ms_log_client log;
  struct ms_list_client list;
  atomic_bool stopping;
  atomic_bool drain_asked;
  struct ms_config *published; /* Read under RCU by caller threads.  */
};

/* Feed EVENT to the decisions; the caller does not hold the lock.  */
void ms_router_step (struct ms_router *router, const struct ms_event *event);

/* The same for a caller that holds the lock.  */
void ms_router_step_locked (struct ms_router *router,
                            const struct ms_event *event);

ms_time ms_router_now (const struct ms_router *router);

void ms_router_emit (void *context, const struct ms_effect *effect);

/* Threads that follow the platform; each runs until stopping is set.  */
void *ms_run_control_reader (void *router);
void *ms_run_once_reader (void *router);
void *ms_run_appender (void *router);
void *ms_run_list_poller (void *router);
void *ms_run_load_poller (void *router);

/* Tell the decisions if CALL's caller has gone; at most every half second,
   and not in the first.  The caller of this does not hold the lock.  */
void ms_call_watch (struct ms_router *router, struct ms_call *call,
                    const struct mg_connection *connection);

/* Serve callers and operators; returns the server to hand to stop.  */
struct mg_context *ms_callers_start (struct ms_router *router);
void ms_callers_stop (struct mg_context *server);

/* Give caller threads the configuration in force, if it changed.  */
void ms_router_publish (struct ms_router *router);

#endif

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

/* The router process.  Its threads turn what they read from callers, peers
   and the platform into events, and carry out the effects that the decision
   core, the node (struct ms_node), emits.  One mutex serialises all calls of
   the node.

   Threads: the main thread runs the ticks; each CivetWeb worker serves one
   caller at a time and is the caller thread of its request; the transport has
   a receiving thread; the ms_run_ functions below have one each.  */

/* Number of ended requests kept for explanations.  */
#define MS_HISTORY_SIZE 1024

/* Log appends that wait for the appender thread; further ones are dropped and
   counted as append errors.  */
#define MS_MAX_QUEUED_APPENDS 1024

/* A caller's request while its caller thread serves it.  That thread and the
   effects of the node change it under the router's lock.  The caller thread
   alone uses first_attempt_at, socket and next_caller_check, and needs no lock
   for them.  While an attempt runs, it also reads the atomic flag and the
   attempt's fields without the lock; the node sets those fields again only
   after the caller thread has reported the attempt's end.  */
struct ms_call
{
  uint64_t id;              /* The request number; see last_request.  */
  pthread_cond_t changed;   /* An attempt is ready or the answer is set.  */
  ms_time arrived_at;       /* No code sets it, so it is 0, and the times that
                               count from it count from boot instead.  */
  ms_time first_attempt_at; /* 0 before the first attempt.  */
  bool attempt_ready;       /* The caller thread is to run an attempt.  */
  unsigned attempt;         /* Its number, from 1; 0 before the first.  */
  uint64_t endpoint;        /* Identifier of the attempt's endpoint.  */
  char address[MS_ADDRESS_BYTES]; /* Where that endpoint listens.  */
  ms_time start_by;               /* The attempt must not begin later.  */
  atomic_bool cancel_requested;   /* The running attempt is to end.  */
  int socket; /* The caller's connection, -1 while not found.  */
  ms_time next_caller_check; /* When to check next for a disconnect.  */
  bool answered; /* The final answer, the next three fields, is set.  */
  enum ms_outcome outcome;
  enum ms_reason reason;
  ms_time retry_after; /* Duration until the caller may retry, or 0.  */
  UT_hash_handle hh;
};

/* An ended request, as /v1/explain reports it.  */
struct ms_ended_request
{
  uint64_t id; /* The request number.  */
  enum ms_outcome outcome;
  enum ms_reason reason;
  uint64_t endpoint; /* Of the last attempt; 0 if there was none.  */
  unsigned attempts;
  ms_time wait_time;  /* From arrival to the first attempt, or to the end if
                         there was none; but see arrived_at.  */
  ms_time total_time; /* From arrival to the end; but see arrived_at.  */
};

/* A record to append to a stream of the platform's log.  */
struct ms_append
{
  enum ms_stream stream;
  uint64_t tag; /* Returned to the node if the append fails.  */
  char *text;   /* Owned.  */
};

struct ms_router
{
  const struct ms_settings *settings;
  struct ms_clock clock;
  uint64_t incarnation; /* Start of the process, in us since 1970 UTC.  */
  pthread_mutex_t lock; /* Guards the fields up to the blank line.  */
  struct ms_node *node;
  struct ms_call *calls; /* Open requests, by request number.  */
  uint64_t last_request; /* Request number given out last.  */
  struct ms_ended_request history[MS_HISTORY_SIZE];
  unsigned history_next; /* Index that is overwritten next.  */
  struct ms_append appends[MS_MAX_QUEUED_APPENDS]; /* Ring buffer.  */
  unsigned appends_first;
  unsigned appends_count;
  pthread_cond_t append_queued;
  FILE *journal; /* Events and effects for replay; NULL: not recorded.  */
  bool drained;  /* The node reported that the drain is complete.  */

  struct ms_transport *transport;
  struct ms_log_client log;   /* Of the platform's log service.  */
  struct ms_list_client list; /* Of the platform's instance list.  */
  atomic_bool stopping;
  atomic_bool drain_requested;
  struct ms_config *caller_config; /* Copy that caller threads read by RCU.  */
};

/* Record EVENT if a journal is written and pass it to the node.  The calling
   thread must not hold the lock.  */
void ms_router_step (struct ms_router *router, const struct ms_event *event);

/* The same for a thread that holds the lock.  */
void ms_router_step_locked (struct ms_router *router,
                            const struct ms_event *event);

ms_time ms_router_now (const struct ms_router *router);

/* Carry out EFFECT; CONTEXT is the router.  The node calls it while the lock
   is held.  */
void ms_router_emit (void *context, const struct ms_effect *effect);

/* Thread functions; each runs until ROUTER's stopping flag is set and returns
   NULL.  The first two follow the control stream and the once stream of the
   platform's log (see enum ms_stream) and pass the records to the node.  */
void *ms_run_control_reader (void *router);
void *ms_run_once_reader (void *router);

/* Append queued records to the log and report failed appends; runs until the
   queue is empty as well.  */
void *ms_run_appender (void *router);

/* Fetch the instance list, with a pause of 500 ms between fetches.  */
void *ms_run_list_poller (void *router);

/* Fetch the loads of the endpoints that this router dispatches, one after the
   other, with a pause of 500 ms between rounds.  */
void *ms_run_load_poller (void *router);

/* Check whether CALL's caller has closed CONNECTION, and report it to the
   node once.  Checks start half a second after the request arrived and
   are at least half a second apart; between them this function does nothing.
   The calling thread must not hold the lock.  */
void ms_call_check_caller (struct ms_router *router, struct ms_call *call,
                           const struct mg_connection *connection);

/* Start the HTTP server for callers and operators on the settings'
   caller_address.  Returns NULL if it cannot listen there.  */
struct mg_context *ms_callers_start (struct ms_router *router);

/* Stop SERVER and wait for its threads.  */
void ms_callers_stop (struct mg_context *server);

/* Give caller threads a copy of the configuration in force if its generation
   changed.  Waits until no thread reads the former copy and frees that.  Only
   the main thread may call it, and without the lock.  */
void ms_router_update_caller_config (struct ms_router *router);

/* Return the generation of the configuration that caller threads use; 0 if
   they have none.  The node's is up to a tick newer, so that this one is
   reported as in force.  */
uint64_t ms_router_caller_generation (struct ms_router *router);

#endif

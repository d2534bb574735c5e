#include <civetweb.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/log.h"
#include "router/answer.h"
#include "router/caller_socket.h"
#include "router/pages.h"

#define LOOK_PERIOD (500 * MS_MSEC)
#define LOOK_PERIOD_NS 500000000L

static void
log_span (const struct ms_router *router, const struct ms_inbound *inbound,
          const char *hop, uint64_t salt, ms_time begun, ms_time ended,
          const char *detail)
{
  char trace[33];
  char span[17];

  if (!router->settings->spans)
    return;
  snprintf (trace, sizeof trace, "%.32s", inbound->trace + 3);
  snprintf (span, sizeof span, "%.16s", inbound->trace + 36);
  ms_log (MS_INFO, "span",
          "trace=%s span=%016" PRIx64 " parent=%s hop=%s request=%s "
          "start_us=%lld took_us=%lld %s",
          trace,
          salt ? ms_id_pair ((uint64_t)strtoull (span, NULL, 16), salt)
               : (uint64_t)strtoull (span, NULL, 16),
          salt ? span : "-", hop, inbound->request_id, (long long)begun,
          (long long)(ended - begun), detail);
}

static void
remember (struct ms_router *router, const struct ms_call *call)
{
  struct ms_past *past = &router->history[router->history_next];
  ms_time now = ms_router_now (router);

  router->history_next = (router->history_next + 1) % MS_HISTORY;
  *past = (struct ms_past){
    .id = call->id,
    .outcome = call->outcome,
    .reason = call->reason,
    .endpoint = call->endpoint,
    .attempts = call->attempt,
    .waited = (call->first_start ? call->first_start : now) - call->begun,
    .took = now - call->begun
  };
}

/* Wait until CALL is to start or is answered, or it is time to look whether
   the caller is there.  The lock is held.  */
static void
wait_for_change (struct ms_router *router, struct ms_call *call)
{
  struct timespec until;

  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_nsec += LOOK_PERIOD_NS;
  until.tv_sec += until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  pthread_cond_timedwait (&call->changed, &router->lock, &until);
}

void
ms_call_watch (struct ms_router *router, struct ms_call *call,
               const struct mg_connection *connection)
{
  ms_time now = ms_router_now (router);
  const struct ms_event event
      = { .kind = MS_EVENT_CALLER_GONE, .caller_gone = call->id };

  if (now < call->next_look)
    return;
  call->next_look = now + LOOK_PERIOD;
  if (call->socket < 0)
    call->socket = ms_caller_socket (connection);
  if (!ms_caller_gone (call->socket))
    return;
  call->next_look = MS_NEVER;
  ms_router_step (router, &event);
}

/* Run the attempt that CALL is to start and tell the decisions how it ended.
   The lock is held before and after, but not meanwhile.  */
static void
run_attempt (struct ms_router *router, struct ms_call *call,
             const struct ms_parsed *parsed, struct ms_held *held)
{
  struct ms_event end = { .kind = MS_EVENT_ATTEMPT_END };
  char detail[128];
  ms_time begun;

  call->start = false;
  pthread_mutex_unlock (&router->lock);
  begun = ms_router_now (router);
  if (!call->first_start)
    {
      call->first_start = begun;
      log_span (router, &parsed->inbound, "dispatch", 1, call->begun, begun,
                "");
    }
  ms_held_clear (held);
  ms_attempt_run (router, call, &parsed->inbound, held, &end.attempt_end);
  snprintf (detail, sizeof detail, "endpoint=%s result=%d", call->address,
            (int)end.attempt_end.result);
  log_span (router, &parsed->inbound, "endpoint", 1 + call->attempt, begun,
            ms_router_now (router), detail);
  pthread_mutex_lock (&router->lock);
  ms_router_step_locked (router, &end);
}

/* Take part in the decisions until the request has its answer.  */
static void
serve (struct ms_router *router, struct ms_call *call,
       const struct ms_parsed *parsed, struct ms_held *held)
{
  struct ms_event arrive
      = { .kind = MS_EVENT_ARRIVE, .arrive = parsed->arrival };

  pthread_mutex_lock (&router->lock);
  HASH_ADD (hh, router->calls, id, sizeof call->id, call);
  ms_router_step_locked (router, &arrive);
  while (!call->answered)
    {
      if (call->start)
        {
          run_attempt (router, call, parsed, held);
          continue;
        }
      wait_for_change (router, call);
      pthread_mutex_unlock (&router->lock);
      ms_call_watch (router, call, parsed->inbound.connection);
      pthread_mutex_lock (&router->lock);
    }
  HASH_DEL (router->calls, call);
  remember (router, call);
  pthread_mutex_unlock (&router->lock);
  log_span (router, &parsed->inbound, "entry", 0, call->begun,
            ms_router_now (router), ms_outcome_name (call->outcome));
}

static void
process (struct ms_router *router, struct ms_parsed *parsed)
{
  struct ms_call call = { .id = parsed->arrival.request,
                          .socket = -1,
                          .next_look = ms_router_now (router) + LOOK_PERIOD };
  struct ms_held held = { 0 };
  pthread_condattr_t monotonic;

  pthread_condattr_init (&monotonic);
  pthread_condattr_setclock (&monotonic, CLOCK_MONOTONIC);
  pthread_cond_init (&call.changed, &monotonic);
  pthread_condattr_destroy (&monotonic);
  serve (router, &call, parsed, &held);
  ms_answer_call (parsed, &call, &held);
  ms_held_clear (&held);
  pthread_cond_destroy (&call.changed);
}

static uint64_t
next_request (struct ms_router *router)
{
  uint64_t id;

  pthread_mutex_lock (&router->lock);
  id = ++router->next_request;
  pthread_mutex_unlock (&router->lock);
  return id;
}

static int
handle_service (struct mg_connection *connection, void *context)
{
  struct ms_router *router = context;
  struct ms_parsed parsed = { 0 };
  int refused;

  parsed.arrival.request = next_request (router);
  refused = ms_inbound_parse (router, connection, &parsed);
  if (!refused)
    refused = ms_inbound_read (router, connection, &parsed);
  if (refused)
    ms_answer_problem (connection, parsed.inbound.request_id, refused,
                       MS_NOT_RUN, "bad-request", 0);
  else
    process (router, &parsed);
  free (parsed.body);
  return 1;
}

struct mg_context *
ms_callers_start (struct ms_router *router)
{
  const struct mg_callbacks callbacks = { 0 };
  char threads[16];
  const char *options[] = { "listening_ports",
                            router->settings->caller_address,
                            "num_threads",
                            threads,
                            "request_timeout_ms",
                            "10000",
                            "max_request_size",
                            "16384",
                            "enable_keep_alive",
                            "no",
                            NULL };
  struct mg_context *server;

  snprintf (threads, sizeof threads, "%u", router->settings->caller_threads);
  mg_init_library (0);
  server = mg_start (&callbacks, router, options);
  if (!server)
    return NULL;
  mg_set_request_handler (server, MS_SERVICES_PREFIX "**", handle_service,
                          router);
  ms_pages_add (server, router);
  return server;
}

void
ms_callers_stop (struct mg_context *server)
{
  mg_stop (server);
  mg_exit_library ();
}

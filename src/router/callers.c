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

/* Least time between two checks whether a caller has disconnected.  */
#define CALLER_CHECK_PERIOD (500 * MS_MSEC)
#define CALLER_CHECK_PERIOD_NS 500000000L /* The same in nanoseconds.  */

/* Log one hop of a request, if the settings ask for spans.  SALT 0 is for the
   router's own span; any other value makes the identifier of a child span.  */
static void
log_span (const struct ms_router *router, const struct ms_inbound *inbound,
          const char *hop, uint64_t salt, ms_time started_at, ms_time ended_at,
          const char *detail)
{
  char trace_id[33];
  char span[17];

  if (!router->settings->spans)
    return;
  /* The traceparent is "00-TRACE-SPAN-01".  */
  snprintf (trace_id, sizeof trace_id, "%.32s", inbound->traceparent + 3);
  snprintf (span, sizeof span, "%.16s", inbound->traceparent + 36);
  ms_log (MS_INFO, "span",
          "trace=%s span=%016" PRIx64 " parent=%s hop=%s request=%s "
          "start_us=%lld took_us=%lld %s",
          trace_id,
          salt ? ms_id_pair ((uint64_t)strtoull (span, NULL, 16), salt)
               : (uint64_t)strtoull (span, NULL, 16),
          salt ? span : "-", hop, inbound->request_id, (long long)started_at,
          (long long)(ended_at - started_at), detail);
}

/* Add CALL to the history of ended requests.  The lock is held.  */
static void
add_to_history (struct ms_router *router, const struct ms_call *call)
{
  struct ms_ended_request *ended = &router->history[router->history_next];
  ms_time now = ms_router_now (router);

  router->history_next = (router->history_next + 1) % MS_HISTORY_SIZE;
  *ended = (struct ms_ended_request){
    .id = call->id,
    .outcome = call->outcome,
    .reason = call->reason,
    .endpoint = call->endpoint,
    .attempts = call->attempt,
    .wait_time = (call->first_attempt_at ? call->first_attempt_at : now)
                 - call->arrived_at,
    .total_time = now - call->arrived_at
  };
}

/* Wait until an attempt is ready or the answer is set, but no longer than
   CALLER_CHECK_PERIOD, so that checks for a disconnect go on.  The lock is
   held on entry and on return.  */
static void
wait_for_change (struct ms_router *router, struct ms_call *call)
{
  struct timespec deadline;

  clock_gettime (CLOCK_MONOTONIC, &deadline);
  deadline.tv_nsec += CALLER_CHECK_PERIOD_NS;
  deadline.tv_sec += deadline.tv_nsec / 1000000000;
  deadline.tv_nsec %= 1000000000;
  pthread_cond_timedwait (&call->changed, &router->lock, &deadline);
}

void
ms_call_check_caller (struct ms_router *router, struct ms_call *call,
                      const struct mg_connection *connection)
{
  ms_time now = ms_router_now (router);
  const struct ms_event event
      = { .kind = MS_EVENT_CALLER_GONE, .caller_gone = call->id };

  if (now < call->next_caller_check)
    return;
  call->next_caller_check = now + CALLER_CHECK_PERIOD;
  if (call->socket < 0)
    call->socket = ms_caller_socket (connection);
  if (!ms_caller_gone (call->socket))
    return;
  call->next_caller_check = MS_NEVER;
  ms_router_step (router, &event);
}

/* Run CALL's attempt and report its result to the node.  The lock is
   held on entry and on return, but released while the attempt runs.  */
static void
run_attempt (struct ms_router *router, struct ms_call *call,
             const struct ms_parsed_request *parsed,
             struct ms_endpoint_response *response)
{
  struct ms_event end = { .kind = MS_EVENT_ATTEMPT_END };
  char detail[128];
  ms_time started_at;

  call->attempt_ready = false;
  pthread_mutex_unlock (&router->lock);
  started_at = ms_router_now (router);
  if (!call->first_attempt_at)
    {
      call->first_attempt_at = started_at;
      log_span (router, &parsed->inbound, "dispatch", 1, call->arrived_at,
                started_at, "");
    }
  /* Drop an earlier attempt's response.  None of it was sent to the caller,
     since the node retries only then.  */
  ms_endpoint_response_clear (response);
  ms_attempt_run (router, call, &parsed->inbound, response, &end.attempt_end);
  snprintf (detail, sizeof detail, "endpoint=%s result=%d", call->address,
            (int)end.attempt_end.result);
  log_span (router, &parsed->inbound, "endpoint", 1 + call->attempt,
            started_at, ms_router_now (router), detail);
  pthread_mutex_lock (&router->lock);
  ms_router_step_locked (router, &end);
}

/* Hand the request to the node and run the attempts that it orders until the
   request has its final answer.  */
static void
drive_call (struct ms_router *router, struct ms_call *call,
            const struct ms_parsed_request *parsed,
            struct ms_endpoint_response *response)
{
  struct ms_event arrive
      = { .kind = MS_EVENT_ARRIVE, .arrive = parsed->arrival };

  pthread_mutex_lock (&router->lock);
  HASH_ADD (hh, router->calls, id, sizeof call->id, call);
  ms_router_step_locked (router, &arrive);
  while (!call->answered)
    {
      if (call->attempt_ready)
        {
          run_attempt (router, call, parsed, response);
          continue;
        }
      wait_for_change (router, call);
      pthread_mutex_unlock (&router->lock);
      ms_call_check_caller (router, call, parsed->inbound.connection);
      pthread_mutex_lock (&router->lock);
    }
  HASH_DEL (router->calls, call);
  add_to_history (router, call);
  pthread_mutex_unlock (&router->lock);
  log_span (router, &parsed->inbound, "entry", 0, call->arrived_at,
            ms_router_now (router), ms_outcome_name (call->outcome));
}

static void
serve_request (struct ms_router *router, struct ms_parsed_request *parsed)
{
  struct ms_call call
      = { .id = parsed->arrival.request,
          .socket = -1,
          .next_caller_check = ms_router_now (router) + CALLER_CHECK_PERIOD };
  struct ms_endpoint_response response = { 0 };
  pthread_condattr_t monotonic;

  pthread_condattr_init (&monotonic);
  pthread_condattr_setclock (&monotonic, CLOCK_MONOTONIC);
  pthread_cond_init (&call.changed, &monotonic);
  pthread_condattr_destroy (&monotonic);
  drive_call (router, &call, parsed, &response);
  ms_answer_call (parsed, &call, &response);
  ms_endpoint_response_clear (&response);
  pthread_cond_destroy (&call.changed);
}

static uint64_t
new_request_number (struct ms_router *router)
{
  uint64_t number;

  pthread_mutex_lock (&router->lock);
  number = ++router->last_request;
  pthread_mutex_unlock (&router->lock);
  return number;
}

static int
handle_service_request (struct mg_connection *connection, void *context)
{
  struct ms_router *router = context;
  struct ms_parsed_request parsed = { 0 };
  int status;

  parsed.arrival.request = new_request_number (router);
  status = ms_inbound_parse (router, connection, &parsed);
  if (!status)
    status = ms_inbound_read (router, connection, &parsed);
  if (status)
    ms_answer_problem (connection, parsed.inbound.request_id, status,
                       MS_NOT_RUN, "bad-request", 0);
  else
    serve_request (router, &parsed);
  free (parsed.body);
  return 1;
}

/* The option max_request_size bounds the request line and the headers, in
   bytes; ms_inbound_read bounds the body.  request_timeout_ms bounds each read
   from and write to a caller's connection, not the time that a request
   takes.  */
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
  mg_set_request_handler (server, MS_SERVICES_PREFIX "**",
                          handle_service_request, router);
  ms_pages_add (server, router);
  return server;
}

void
ms_callers_stop (struct mg_context *server)
{
  mg_stop (server);
  mg_exit_library ();
}

#include <civetweb.h>
#include <openssl/evp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <urcu-bp.h>
#include <xxhash.h>

#include "base/alloc.h"
#include "base/log.h"
#include "base/metrics.h"
#include "router/attempt.h"
#include "router/caller_socket.h"
#include "router/pages.h"

#define MAX_BODY_BYTES (1u << 20)
#define DEFAULT_TIMEOUT_MS 120000
#define MAX_TIMEOUT_MS 3600000
#define PREFIX "/services/"
#define LOOK_PERIOD (500 * MS_MSEC)
#define LOOK_PERIOD_NS 500000000L
#define DIGEST_HEX_BYTES 65

/* One request as parsed, before it is handed to the decisions.  */
struct parsed
{
  struct ms_arrival arrival;
  struct ms_inbound inbound;
  char service[MS_NAME_BYTES];
  char path[2048];
  const char *team;
  char *body;
};

static void
problem (struct mg_connection *connection, const char *request_id, int code,
         enum ms_outcome outcome, const char *reason, ms_time retry_after)
{
  char body[512];
  char seconds[24];
  int length
      = snprintf (body, sizeof body,
                  "{\"type\":\"about:blank\",\"title\":\"%s\",\"status\":%d,"
                  "\"outcome\":\"%s\",\"request_id\":\"%s\"}\n",
                  reason, code, ms_outcome_name (outcome), request_id);

  mg_response_header_start (connection, code);
  mg_response_header_add (connection, "Content-Type",
                          "application/problem+json", -1);
  mg_response_header_add (connection, "Monsoonspur-Outcome",
                          ms_outcome_name (outcome), -1);
  mg_response_header_add (connection, "Monsoonspur-Request-Id", request_id,
                          -1);
  if (retry_after)
    {
      snprintf (seconds, sizeof seconds, "%lld",
                (long long)((retry_after + MS_SEC - 1) / MS_SEC));
      mg_response_header_add (connection, "Retry-After", seconds, -1);
    }
  snprintf (seconds, sizeof seconds, "%d", length);
  mg_response_header_add (connection, "Content-Length", seconds, -1);
  mg_response_header_add (connection, "Connection", "close", -1);
  mg_response_header_send (connection);
  mg_write (connection, body, (size_t)length);
}

static int
code_of (enum ms_reason reason)
{
  switch (reason)
    {
    case MS_REASON_UNKNOWN_TEAM:
      return 403;
    case MS_REASON_UNKNOWN_SERVICE:
      return 404;
    case MS_REASON_QUEUE_FULL:
      return 429;
    case MS_REASON_QUARANTINED:
      return 422;
    case MS_REASON_REPEATED:
      return 409;
    case MS_REASON_ENDPOINT:
      return 502;
    case MS_REASON_DEADLINE:
      return 504;
    default:
      return 503;
    }
}

static void
digest_hex (const char *key, char *hex)
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned length = 0;

  EVP_Digest (key, strlen (key), digest, &length, EVP_sha256 (), NULL);
  for (unsigned i = 0; i < length && i < 32; i++)
    snprintf (hex + (size_t)2 * i, 3, "%02x", digest[i]);
}

/* Whether the caller's key is one of TEAM's; a team without keys needs
   none.  */
static bool
authorized (struct ms_router *router, uint64_t team_id,
            const char *authorization)
{
  const struct ms_config *config;
  const struct ms_team *team;
  char hex[DIGEST_HEX_BYTES] = "";
  bool allowed = true;

  if (authorization && strncasecmp (authorization, "Bearer ", 7) == 0)
    digest_hex (authorization + 7, hex);
  rcu_read_lock ();
  config = rcu_dereference (router->published);
  team = config ? ms_config_team (config, team_id) : NULL;
  if (team && team->key_digests_count)
    {
      allowed = false;
      for (unsigned i = 0; i < team->key_digests_count; i++)
        allowed |= strcmp (team->key_digests[i], hex) == 0;
    }
  rcu_read_unlock ();
  return allowed;
}

/* Split "/services/SERVICE/REST" and keep the query with the rest.  */
static bool
split_path (const struct mg_request_info *info, struct parsed *parsed)
{
  const char *name = info->local_uri + strlen (PREFIX);
  const char *rest = strchr (name, '/');
  size_t length = rest ? (size_t)(rest - name) : strlen (name);
  int written;

  if (!length || length >= sizeof parsed->service)
    return false;
  memcpy (parsed->service, name, length);
  parsed->service[length] = '\0';
  written = snprintf (parsed->path, sizeof parsed->path, "%s%s%s",
                      rest ? rest : "/", info->query_string ? "?" : "",
                      info->query_string ? info->query_string : "");
  return written > 0 && (size_t)written < sizeof parsed->path;
}

/* Read the body; returns an HTTP status, 0 if all is well.  */
static int
read_body (struct mg_connection *connection, struct parsed *parsed)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  size_t used = 0;

  if (info->content_length > (long long)MAX_BODY_BYTES)
    return 413;
  parsed->body = ms_new (MAX_BODY_BYTES + 1);
  while (used <= MAX_BODY_BYTES)
    {
      int n = mg_read (connection, parsed->body + used,
                       MAX_BODY_BYTES + 1 - used);

      if (n <= 0)
        break;
      used += (size_t)n;
    }
  if (used > MAX_BODY_BYTES)
    return 413;
  if (info->content_length > 0 && (long long)used < info->content_length)
    return 400;
  parsed->inbound.body = parsed->body;
  parsed->inbound.body_length = used;
  return 0;
}

static bool
is_safe_method (const char *method)
{
  return strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0;
}

/* Model services repeat nothing but text; a plain service's call may be
   repeated only if its method is safe or the caller says so.  */
static bool
is_idempotent (struct ms_router *router, const struct parsed *parsed,
               const char *header)
{
  const struct ms_config *config;
  const struct ms_service *service;
  bool is_model = false;

  if (header)
    return strcasecmp (header, "true") == 0;
  if (is_safe_method (parsed->inbound.method))
    return true;
  rcu_read_lock ();
  config = rcu_dereference (router->published);
  service
      = config ? ms_config_service (config, parsed->arrival.service) : NULL;
  is_model = service && service->kind == MS_SERVICE_MODEL;
  rcu_read_unlock ();
  return is_model;
}

static ms_time
timeout_of (const char *header)
{
  long ms = header ? strtol (header, NULL, 10) : DEFAULT_TIMEOUT_MS;

  if (ms <= 0 || ms > MAX_TIMEOUT_MS)
    ms = DEFAULT_TIMEOUT_MS;
  return ms * MS_MSEC;
}

static void
fill_arrival (struct ms_router *router, struct mg_connection *connection,
              struct parsed *parsed)
{
  struct ms_arrival *arrival = &parsed->arrival;
  const char *lane = mg_get_header (connection, "Monsoonspur-Class");
  const char *key = mg_get_header (connection, "Idempotency-Key");
  const char *hint = mg_get_header (connection, "Monsoonspur-Cost-Hint");

  arrival->team = ms_id (ms_str (parsed->team));
  arrival->service = ms_id (ms_str (parsed->service));
  arrival->lane = lane && strcasecmp (lane, "long") == 0 ? MS_LANE_LONG
                                                         : MS_LANE_INTERACTIVE;
  arrival->hint = hint ? (uint32_t)strtoul (hint, NULL, 10) : 0;
  if (key)
    arrival->key = ms_id_pair (ms_id_pair (arrival->team, arrival->service),
                               ms_id (ms_str (key)));
  arrival->fingerprint = ms_id_pair (
      ms_id_pair (arrival->team, arrival->service),
      ms_id_pair (
          XXH3_64bits (parsed->path, strlen (parsed->path)),
          XXH3_64bits (parsed->inbound.body, parsed->inbound.body_length)));
  arrival->idempotent = is_idempotent (
      router, parsed, mg_get_header (connection, "Monsoonspur-Idempotent"));
  arrival->deadline
      = ms_router_now (router)
        + timeout_of (mg_get_header (connection, "Monsoonspur-Timeout-Ms"));
}

/* Keep the caller's trace, or begin one; the router's span is new.  */
static void
fill_trace (struct ms_inbound *inbound, const char *traceparent, uint64_t id,
            uint64_t incarnation)
{
  uint64_t span = ms_id_pair (incarnation, id);
  char trace[33];

  if (traceparent && strlen (traceparent) == 55)
    snprintf (trace, sizeof trace, "%.32s", traceparent + 3);
  else
    snprintf (trace, sizeof trace, "%016" PRIx64 "%016" PRIx64,
              ms_id_pair (span, 1), ms_id_pair (span, 2));
  snprintf (inbound->trace, sizeof inbound->trace, "00-%s-%016" PRIx64 "-01",
            trace, span);
}

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
remember (struct ms_router *router, const struct ms_call *call, ms_time begun,
          ms_time first_start)
{
  struct ms_past *past = &router->history[router->history_next];
  ms_time now = ms_router_now (router);

  router->history_next = (router->history_next + 1) % MS_HISTORY;
  *past
      = (struct ms_past){ .id = call->id,
                          .outcome = call->outcome,
                          .reason = call->reason,
                          .endpoint = call->endpoint,
                          .attempts = call->attempt,
                          .waited = (first_start ? first_start : now) - begun,
                          .took = now - begun };
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

/* Take part in the decisions until the request has its answer.  Returns with
   the lock released.  */
static void
serve (struct ms_router *router, struct ms_call *call,
       const struct parsed *parsed, struct ms_held *held)
{
  ms_time begun = ms_router_now (router);
  ms_time first_start = 0;
  struct ms_event arrive
      = { .kind = MS_EVENT_ARRIVE, .arrive = parsed->arrival };

  pthread_mutex_lock (&router->lock);
  HASH_ADD (hh, router->calls, id, sizeof call->id, call);
  ms_router_step_locked (router, &arrive);
  while (!call->answered)
    {
      struct ms_event end = { .kind = MS_EVENT_ATTEMPT_END };
      char detail[128];
      ms_time attempt_begun;

      if (!call->start)
        {
          wait_for_change (router, call);
          pthread_mutex_unlock (&router->lock);
          ms_call_watch (router, call, parsed->inbound.connection);
          pthread_mutex_lock (&router->lock);
          continue;
        }
      call->start = false;
      pthread_mutex_unlock (&router->lock);
      attempt_begun = ms_router_now (router);
      if (!first_start)
        {
          first_start = attempt_begun;
          log_span (router, &parsed->inbound, "dispatch", 1, begun,
                    first_start, "");
        }
      ms_held_clear (held);
      ms_attempt_run (router, call, &parsed->inbound, held, &end.attempt_end);
      snprintf (detail, sizeof detail, "endpoint=%s result=%d", call->address,
                (int)end.attempt_end.result);
      log_span (router, &parsed->inbound, "endpoint", 1 + call->attempt,
                attempt_begun, ms_router_now (router), detail);
      pthread_mutex_lock (&router->lock);
      ms_router_step_locked (router, &end);
    }
  HASH_DEL (router->calls, call);
  remember (router, call, begun, first_start);
  pthread_mutex_unlock (&router->lock);
  log_span (router, &parsed->inbound, "entry", 0, begun,
            ms_router_now (router), ms_outcome_name (call->outcome));
}

static void
send_held (struct mg_connection *connection, const struct parsed *parsed,
           const struct ms_held *held)
{
  char length[24];

  snprintf (length, sizeof length, "%zu", held->length);
  mg_response_header_start (connection, (int)held->code);
  if (*held->content_type)
    mg_response_header_add (connection, "Content-Type", held->content_type,
                            -1);
  mg_response_header_add (connection, "Monsoonspur-Outcome", "answered", -1);
  mg_response_header_add (connection, "Monsoonspur-Request-Id",
                          parsed->inbound.request_id, -1);
  mg_response_header_add (connection, "Content-Length", length, -1);
  mg_response_header_add (connection, "Connection", "close", -1);
  mg_response_header_send (connection);
  mg_write (connection, held->body, held->length);
}

/* The last chunk and the outcome of an answer that was passed on as it came.
   A broken one ends without, so that the caller can tell.  */
static void
end_stream (struct mg_connection *connection, const struct ms_call *call)
{
  static const char end[] = "0\r\nMonsoonspur-Outcome: answered\r\n\r\n";

  if (call->outcome == MS_ANSWERED)
    mg_write (connection, end, sizeof end - 1);
}

static void
respond (const struct parsed *parsed, const struct ms_call *call,
         const struct ms_held *held)
{
  struct mg_connection *connection = parsed->inbound.connection;

  if (held->streamed)
    end_stream (connection, call);
  else if (call->outcome == MS_ANSWERED && call->reason == MS_REASON_REPEATED)
    problem (connection, parsed->inbound.request_id, 200, MS_ANSWERED,
             "repeated", 0);
  else if (call->outcome == MS_ANSWERED)
    send_held (connection, parsed, held);
  else
    problem (connection, parsed->inbound.request_id, code_of (call->reason),
             call->outcome, ms_reason_name (call->reason), call->retry_after);
}

static void
process (struct ms_router *router, struct parsed *parsed)
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
  respond (parsed, &call, &held);
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
  const struct mg_request_info *info = mg_get_request_info (connection);
  struct ms_router *router = context;
  struct parsed parsed = { 0 };
  int refused = 0;

  parsed.inbound.connection = connection;
  parsed.inbound.method = info->request_method;
  parsed.inbound.path = parsed.path;
  parsed.inbound.content_type = mg_get_header (connection, "Content-Type");
  parsed.arrival.request = next_request (router);
  snprintf (parsed.inbound.request_id, sizeof parsed.inbound.request_id,
            "%s-%" PRIx64 "-%" PRIu64, router->settings->name,
            router->incarnation, parsed.arrival.request);
  parsed.team = mg_get_header (connection, "Monsoonspur-Team");
  if (!split_path (info, &parsed) || !parsed.team)
    refused = 400;
  else if (!authorized (router, ms_id (ms_str (parsed.team)),
                        mg_get_header (connection, "Authorization")))
    refused = 401;
  else
    refused = read_body (connection, &parsed);
  if (refused)
    problem (connection, parsed.inbound.request_id, refused, MS_NOT_RUN,
             "bad-request", 0);
  else
    {
      fill_arrival (router, connection, &parsed);
      fill_trace (&parsed.inbound, mg_get_header (connection, "traceparent"),
                  parsed.arrival.request, router->incarnation);
      process (router, &parsed);
    }
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
  mg_set_request_handler (server, PREFIX "**", handle_service, router);
  ms_pages_add (server, router);
  return server;
}

void
ms_callers_stop (struct mg_context *server)
{
  mg_stop (server);
  mg_exit_library ();
}

#include "router/pages.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/metrics.h"

#define MAX_ADDRESSES 9             /* In one answer to a caller.  */
#define ADDRESS_LIFETIME_SECONDS 10 /* Callers ask again after it.  */
#define METRICS_BYTES 8192

static int
send_text (struct mg_connection *connection, int code, const char *type,
           const char *text, size_t length)
{
  char size[24];

  snprintf (size, sizeof size, "%zu", length);
  mg_response_header_start (connection, code);
  mg_response_header_add (connection, "Content-Type", type, -1);
  mg_response_header_add (connection, "Content-Length", size, -1);
  mg_response_header_add (connection, "Connection", "close", -1);
  mg_response_header_send (connection);
  mg_write (connection, text, length);
  return 1;
}

static int
send_json (struct mg_connection *connection, int code, json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);

  json_decref (object);
  send_text (connection, code, "application/json", text, strlen (text));
  free (text);
  return 1;
}

/* Salt of the order in which a caller is given the routers' addresses.  It
   depends on the caller's own address and port, so that callers spread over
   the routers of a zone.  */
static uint64_t
caller_salt (const struct mg_request_info *info)
{
  return ms_id_pair (ms_id (ms_str (info->remote_addr)),
                     (uint64_t)info->remote_port);
}

static int
handle_addresses (struct mg_connection *connection, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  struct ms_router *router = context;
  struct ms_address addresses[MAX_ADDRESSES];
  const char *zone = router->settings->availability_zone;
  json_t *list = json_array ();
  unsigned count;
  char requested_zone[MS_NAME_BYTES];

  if (info->query_string
      && mg_get_var (info->query_string, strlen (info->query_string), "zone",
                     requested_zone, sizeof requested_zone)
             > 0)
    zone = requested_zone;
  pthread_mutex_lock (&router->lock);
  count = ms_node_addresses (router->node, ms_id (ms_str (zone)),
                             caller_salt (info), addresses, MAX_ADDRESSES);
  pthread_mutex_unlock (&router->lock);
  for (unsigned i = 0; i < count; i++)
    json_array_append_new (
        list, json_pack ("{s:s,s:s}", "address", addresses[i].caller_address,
                         "availability_zone", addresses[i].zone.data));
  return send_json (connection, 200,
                    json_pack ("{s:o,s:i}", "addresses", list,
                               "lifetime_seconds", ADDRESS_LIFETIME_SECONDS));
}

/* 200 if the router takes requests; 503 while it drains, the node is not ready
   (see ms_node_ready) or caller threads have no configuration to check API
   keys by.  */
static int
handle_health (struct mg_connection *connection, void *context)
{
  struct ms_router *router = context;
  struct ms_node_status status;
  bool ready;

  pthread_mutex_lock (&router->lock);
  status = ms_node_status (router->node, ms_router_now (router));
  ready = ms_node_ready (router->node) && !status.draining
          && ms_router_caller_generation (router);
  pthread_mutex_unlock (&router->lock);
  return send_text (connection, ready ? 200 : 503, "text/plain",
                    ready ? "ready\n" : "not ready\n", ready ? 6 : 10);
}

static int
handle_metrics (struct mg_connection *connection, void *context)
{
  struct ms_router *router = context;
  struct ms_node_status status;
  char text[METRICS_BYTES];
  size_t used;

  pthread_mutex_lock (&router->lock);
  status = ms_node_status (router->node, ms_router_now (router));
  pthread_mutex_unlock (&router->lock);
  used = ms_metrics_print (text, sizeof text);
  used += (size_t)snprintf (
      text + used, sizeof text - used,
      "# TYPE monsoonspur_open_requests gauge\n"
      "monsoonspur_open_requests %u\n"
      "# TYPE monsoonspur_cells_held gauge\nmonsoonspur_cells_held %u\n"
      "# TYPE monsoonspur_slots gauge\nmonsoonspur_slots %u\n"
      "# TYPE monsoonspur_slots_granted gauge\nmonsoonspur_slots_granted %u\n"
      "# TYPE monsoonspur_log_stale gauge\nmonsoonspur_log_stale %d\n"
      "# TYPE monsoonspur_decision_bytes gauge\n"
      "monsoonspur_decision_bytes %zu\n",
      status.open, status.dispatch.cells, status.dispatch.slots,
      status.dispatch.granted, status.stale, status.bytes);
  return send_text (connection, 200, "text/plain; version=0.0.4", text, used);
}

static int
handle_status (struct mg_connection *connection, void *context)
{
  struct ms_router *router = context;
  struct ms_node_status s;

  pthread_mutex_lock (&router->lock);
  s = ms_node_status (router->node, ms_router_now (router));
  pthread_mutex_unlock (&router->lock);
  return send_json (
      connection, 200,
      json_pack ("{s:s,s:s,s:I,s:I,s:i,s:i,s:b,s:b,s:i,s:i,s:i,s:i}", "name",
                 router->settings->name, "availability_zone",
                 router->settings->availability_zone, "generation",
                 (json_int_t)ms_router_caller_generation (router),
                 "log_offset", (json_int_t)s.applied, "members",
                 (int)s.members, "open_requests", (int)s.open, "log_stale",
                 (int)s.stale, "draining", (int)s.draining, "cells",
                 (int)s.dispatch.cells, "endpoints", (int)s.dispatch.endpoints,
                 "slots", (int)s.dispatch.slots, "granted",
                 (int)s.dispatch.granted));
}

/* Describe a request that has no answer yet; NULL if it is not open.  The lock
   is held.  */
static json_t *
explain_open (struct ms_router *router, uint64_t number)
{
  struct ms_request_status s;

  if (!ms_node_explain (router->node, number, ms_router_now (router), &s))
    return NULL;
  return json_pack ("{s:s,s:i,s:I,s:i}", "state", s.state, "attempts",
                    (int)s.attempts, "waited_us", (json_int_t)s.waited,
                    "ahead", (int)s.ahead);
}

/* Describe a request from the history; NULL if it is not there.  The lock is
   held.  */
static json_t *
explain_ended (struct ms_router *router, uint64_t number)
{
  for (int i = 0; i < MS_HISTORY_SIZE; i++)
    {
      const struct ms_ended_request *ended = &router->history[i];
      const struct ms_endpoint *endpoint;

      if (ended->id != number)
        continue;
      /* The cast is safe: ms_view_endpoint only searches the view.  */
      endpoint = ms_view_endpoint (
          (struct ms_view *)ms_node_view (router->node), ended->endpoint);
      return json_pack ("{s:s,s:s,s:s,s:s,s:i,s:I,s:I}", "state", "ended",
                        "outcome", ms_outcome_name (ended->outcome), "reason",
                        ms_reason_name (ended->reason), "endpoint",
                        endpoint ? endpoint->name.data : "", "attempts",
                        (int)ended->attempts, "waited_us",
                        (json_int_t)ended->wait_time, "took_us",
                        (json_int_t)ended->total_time);
    }
  return NULL;
}

/* Set *NUMBER to the request number in the request ID TEXT, which has the form
   "NAME-INCARNATION-NUMBER".  Returns false if TEXT does not begin with this
   process's name and incarnation or the number is 0 or missing; what follows
   the number is ignored.  */
static bool
parse_request_id (const struct ms_router *router, const char *text,
                  uint64_t *number)
{
  char prefix[96];
  size_t length
      = (size_t)snprintf (prefix, sizeof prefix, "%s-%" PRIx64 "-",
                          router->settings->name, router->incarnation);

  if (strncmp (text, prefix, length) != 0)
    return false;
  *number = strtoull (text + length, NULL, 10);
  return *number != 0;
}

static int
handle_explain (struct mg_connection *connection, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  struct ms_router *router = context;
  json_t *object = NULL;
  uint64_t number;

  if (parse_request_id (router, info->local_uri + strlen ("/v1/explain/"),
                        &number))
    {
      pthread_mutex_lock (&router->lock);
      object = explain_open (router, number);
      if (!object)
        object = explain_ended (router, number);
      pthread_mutex_unlock (&router->lock);
    }
  if (!object)
    return send_json (connection, 404,
                      json_pack ("{s:s}", "error", "request is not known"));
  return send_json (connection, 200, object);
}

/* Begin the drain.  The bearer token must be the settings' operator_key.  */
static int
handle_drain (struct mg_connection *connection, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  const struct ms_event event = { .kind = MS_EVENT_DRAIN };
  struct ms_router *router = context;
  const char *authorization = mg_get_header (connection, "Authorization");
  const char *operator_key = router->settings->operator_key;

  if (strcmp (info->request_method, "POST") != 0)
    return send_text (connection, 405, "text/plain", "use POST\n", 9);
  if (!operator_key || !authorization
      || strncmp (authorization, "Bearer ", 7) != 0
      || strcmp (authorization + 7, operator_key) != 0)
    return send_text (connection, 403, "text/plain", "refused\n", 8);
  atomic_store (&router->drain_requested, true);
  ms_router_step (router, &event);
  return send_text (connection, 202, "text/plain", "draining\n", 9);
}

void
ms_pages_add (struct mg_context *server, struct ms_router *router)
{
  mg_set_request_handler (server, "/v1/addresses$", handle_addresses, router);
  mg_set_request_handler (server, "/healthz$", handle_health, router);
  mg_set_request_handler (server, "/metrics$", handle_metrics, router);
  mg_set_request_handler (server, "/v1/status$", handle_status, router);
  mg_set_request_handler (server, "/v1/explain/*$", handle_explain, router);
  mg_set_request_handler (server, "/v1/drain$", handle_drain, router);
}

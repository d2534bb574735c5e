#include "gateway/pages.h"

#include <arpa/inet.h>
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/metrics.h"
#include "gateway/peers.h"
#include "gateway/relay.h"
#include "gateway/rollouts.h"
#include "gateway/socket.h"

#define MAX_HEAD_BYTES 8192 /* Of a request.  */
#define MAX_METRICS_BYTES 24576
#define METRICS_PATH "/metrics"
#define MAX_ADDRESSES 64 /* In one response of the directory.  */
#define MAX_DIRECTORY_BYTES 4096

/* How long callers may cache a response of the directory, unless the settings
   say less.  */
#define MAX_DIRECTORY_TTL_S 2

struct page_connection
{
  struct ms_gateway *gw;
  struct ms_socket *socket;
  struct ms_parser *parser;
  bool closed;
};

static void
close_connection (struct page_connection *p)
{
  if (!p->closed)
    ms_socket_close (p->socket);
  p->closed = true;
}

static void
free_connection (struct page_connection *p)
{
  ms_parser_destroy (p->parser);
  free (p);
}

static void
send_response (struct page_connection *p, unsigned status, const char *type,
               const char *body, size_t length)
{
  char head[256];
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 %u %s\r\nContent-Type: %s\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    status, http_status_str (status), type, length);
  uv_buf_t buffers[2] = { uv_buf_init (head, (unsigned)n),
                          uv_buf_init ((char *)body, (unsigned)length) };

  ms_socket_write (p->socket, buffers, 2);
}

/* The value of parameter NAME in the query string of TARGET; empty if
   absent.  */
static struct ms_str
query_parameter (struct ms_str target, const char *name)
{
  const char *end = target.data + target.length;
  const char *at = memchr (target.data, '?', target.length);
  size_t length = strlen (name);

  while (at && at < end)
    {
      const char *value = ++at;
      const char *next = memchr (at, '&', (size_t)(end - at));
      const char *stop = next ? next : end;

      if ((size_t)(stop - value) > length && memcmp (value, name, length) == 0
          && value[length] == '=')
        return (struct ms_str){ value + length + 1,
                                (size_t)(stop - value) - length - 1 };
      at = next;
    }
  return (struct ms_str){ "", 0 };
}

/* Whether the path of TARGET, without its query string, is PATH.  */
static bool
path_is (struct ms_str target, const char *path)
{
  size_t length = strlen (path);

  return target.length >= length && memcmp (target.data, path, length) == 0
         && (target.length == length || target.data[length] == '?');
}

static void
respond_directory (struct page_connection *p, struct ms_str target)
{
  struct ms_gateway *gw = p->gw;
  struct in_addr ips[MAX_ADDRESSES];
  char texts[MAX_ADDRESSES][INET_ADDRSTRLEN + 8];
  struct ms_str addresses[MAX_ADDRESSES];
  char body[MAX_DIRECTORY_BYTES];
  unsigned port = ntohs (gw->caller_address.sin_port);
  unsigned ttl = gw->settings->directory_ttl_s < MAX_DIRECTORY_TTL_S
                     ? (unsigned)gw->settings->directory_ttl_s
                     : MAX_DIRECTORY_TTL_S;
  struct ms_str zone = query_parameter (target, "zone");
  unsigned count = ms_fleet_addresses (gw->fleet, ms_id (zone),
                                       ms_gateway_ready (gw)
                                           && !ms_pressure_high (gw->pressure),
                                       gw->now, ips, MAX_ADDRESSES);

  for (unsigned i = 0; i < count; i++)
    {
      char ip[INET_ADDRSTRLEN];

      inet_ntop (AF_INET, &ips[i], ip, sizeof ip);
      snprintf (texts[i], sizeof texts[i], "%s:%u", ip, port);
      addresses[i] = ms_str (texts[i]);
    }
  send_response (
      p, 200, "application/json", body,
      plat_encode_directory (body, sizeof body, addresses, count, ttl));
}

static void
respond_relay (struct page_connection *p, struct ms_str target)
{
  struct ms_gateway *gw = p->gw;
  uint64_t operator_next
      = ms_str_number (query_parameter (target, "operator"), UINT64_MAX);
  uint64_t endpoints_next
      = ms_str_number (query_parameter (target, "endpoints"), UINT64_MAX);
  /* Routers of earlier versions take whole lists only.  */
  bool changes = query_parameter (target, "changes").length != 0;
  json_t *document = json_object ();
  json_t *relay;
  char *text;

  relay = ms_replica_encode (ms_topic_replica (gw->operator_topic),
                             operator_next, changes, gw->now);
  if (relay)
    json_object_set_new (document, "operator", relay);
  relay = ms_replica_encode (ms_topic_replica (gw->endpoint_topic),
                             endpoints_next, changes, gw->now);
  if (relay)
    json_object_set_new (document, "endpoints", relay);
  text = json_dumps (document, JSON_COMPACT);
  json_decref (document);
  if (text)
    send_response (p, 200, "application/json", text, strlen (text));
  else
    send_response (p, 500, "text/plain", "", 0);
  free (text);
}

/* Fill in the learned speeds of the services that the configuration has.  */
static void
fill_engines (const struct ms_gateway *gw, struct ms_metric_gauges *gauges)
{
  struct ms_engine_speed speeds[MS_ENGINE_METRICS];
  unsigned count
      = ms_place_engine_speeds (gw->place, speeds, MS_ENGINE_METRICS);

  gauges->speeds_rejected = ms_place_speeds_rejected (gw->place);
  for (unsigned i = 0; i < count; i++)
    {
      const struct ms_service_entry *service
          = gw->routes ? ms_routes_service (gw->routes, speeds[i].service)
                       : NULL;

      if (service)
        gauges->engines[gauges->engines_count++]
            = (struct ms_engine_metric){ service->name.data, speeds[i] };
    }
}

static void
respond_metrics (struct page_connection *p)
{
  struct ms_gateway *gw = p->gw;
  static char text[MAX_METRICS_BYTES];
  unsigned crossings_count;
  const struct ms_crossing_count *crossings
      = ms_place_crossing_counts (gw->place, &crossings_count);
  struct ms_returns_counts returns = gw->returns
                                         ? ms_returns_counts (gw->returns)
                                         : (struct ms_returns_counts){ 0 };
  struct ms_metric_gauges gauges = {
    .returns = gw->returns ? &returns : NULL,
    .crossings = crossings,
    .crossings_count = crossings_count,
    .requests = gw->requests_count,
    .sockets = ms_socket_open_count (),
    .responses_held = ms_sockets_queued_accepted () + gw->held_back,
    .endpoints = ms_place_count (gw->place),
    .failing = ms_place_failing (gw->place),
    .routers = ms_fleet_alive_count (gw->fleet, gw->now),
    .sharers = ms_peers_sharers (gw->peers),
    .rollouts = ms_rollout_driver_running (gw->rollout_driver),
    .suspect_parts = ms_part_guard_count (gw->part_guard, gw->now),
    .config_version = gw->routes ? gw->routes->version : 0,
    .config_in_force = gw->config_state == MS_CONFIG_IN_FORCE,
    .config_age_s
    = (double)(gw->now - ms_topic_read_at (gw->operator_topic)) / MS_SEC,
    .endpoints_age_s
    = (double)(gw->now - ms_topic_read_at (gw->endpoint_topic)) / MS_SEC,
    .share_level = ms_share_level (gw->share),
  };

  fill_engines (gw, &gauges);
  send_response (p, 200, "text/plain; version=0.0.4", text,
                 ms_metrics_page (&gauges, text, sizeof text));
}

static void
respond (struct page_connection *p)
{
  struct ms_str target = ms_parser_head (p->parser)->target;
  struct ms_gateway *gw = p->gw;

  ms_gateway_update_time (gw);
  if (path_is (target, PLAT_READY_PATH))
    send_response (p, ms_gateway_ready (gw) ? 200 : 503, "text/plain", "", 0);
  else if (path_is (target, PLAT_DIRECTORY_PATH))
    respond_directory (p, target);
  else if (path_is (target, METRICS_PATH))
    respond_metrics (p);
  else if (path_is (target, MS_RELAY_PATH))
    respond_relay (p, target);
  else
    send_response (p, 404, "text/plain", "", 0);
}

static void
on_read (void *owner, const char *data, size_t length)
{
  struct page_connection *p = owner;

  while (length && !p->closed)
    {
      size_t used;
      enum ms_parse result = ms_parser_feed (p->parser, data, length, &used);

      data += used;
      length -= used;
      if (result == MS_PARSE_COMPLETE)
        {
          bool keep = ms_parser_head (p->parser)->keep_alive;

          respond (p);
          ms_parser_reset (p->parser);
          if (!keep)
            close_connection (p);
        }
      else if (result != MS_PARSE_MORE)
        close_connection (p);
    }
  if (p->closed)
    free_connection (p);
}

static void
on_ended (void *owner, enum ms_close how)
{
  (void)how;
  close_connection (owner);
  free_connection (owner);
}

static void
on_drained (void *owner)
{
  (void)owner;
}

static const struct ms_socket_events events
    = { .read = on_read, .ended = on_ended, .drained = on_drained };

static const struct ms_message_sink sink = { 0 };

void
ms_pages_accept (uv_stream_t *listener, int status)
{
  struct page_connection *p;

  if (status)
    return;
  p = ms_new (sizeof *p);
  p->gw = listener->data;
  p->socket = ms_socket_accept (listener, &events, p);
  if (!p->socket)
    {
      free (p);
      return;
    }
  p->parser = ms_parser_create (true, MAX_HEAD_BYTES, &sink, p);
}

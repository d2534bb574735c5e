/* Stand-in for an endpoint behind routers, of the model service or of the
   plain service.

   POST /...   runs a request; "cost=N" in the body gives its cost units (10
               by default), "stream" asks for server-sent events, one per cost
               unit, "status=N" for the status N after the run, with
               "stream" in the type of event streams, and "crash" ends the
               process; "extra" writes a refusal behind the answer;
               "odd=KIND" one that HTTP's grammar does not have, or a cut one
   POST /early answers at once, without reading the body, and resets the
               connection; POST /early-end closes it in order before that
   GET /load   the number of running requests, an id of this start of the
               process, and the number of requests refused for overload
   GET /ledger how often each body was run

   The endpoint starts cold, and is warm after a number of requests.  While it
   is cold, each cost unit takes five times as long.  More concurrent requests
   than its cold or warm limit are refused with 503 and counted.  */

#include <argp.h>
#include <arpa/inet.h>
#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "common/serve.h"

#define MAX_BODY_BYTES (1u << 20)
#define COLD_SLOWDOWN 5

struct options
{
  const char *address;
  long unit_us;       /* Time per cost unit when warm.  */
  int cold_limit;     /* Concurrent requests while cold.  */
  int warm_limit;     /* Concurrent requests when warm.  */
  long cold_requests; /* Requests to serve until it is warm.  */
};

static struct options options = { "127.0.0.1:7100", 1000, 2, 8, 5 };
static atomic_int running;          /* Requests in progress.  */
static atomic_long served;          /* Requests completed.  */
static atomic_int refused_requests; /* Over the limit.  */
static json_int_t start_id; /* Start time, in microseconds since 1970.  */
static json_t *ledger;      /* Number of runs by body.  */
static pthread_mutex_t ledger_lock = PTHREAD_MUTEX_INITIALIZER;

static void
pause_us (long us)
{
  struct timespec pause = { us / 1000000, us % 1000000 * 1000 };

  nanosleep (&pause, NULL);
}

static void
record_run (const char *body)
{
  json_t *count;

  pthread_mutex_lock (&ledger_lock);
  count = json_object_get (ledger, body);
  json_object_set_new (ledger, body,
                       json_integer (json_integer_value (count) + 1));
  pthread_mutex_unlock (&ledger_lock);
}

static int
handle_load (struct mg_connection *connection, void *context)
{
  (void)context;
  return standin_send_json (connection,
                            json_pack ("{s:i,s:I,s:i}", "running",
                                       (int)running, "start_id", start_id,
                                       "overloads", (int)refused_requests));
}

static int
handle_ledger (struct mg_connection *connection, void *context)
{
  json_t *copy;

  (void)context;
  pthread_mutex_lock (&ledger_lock);
  copy = json_deep_copy (ledger);
  pthread_mutex_unlock (&ledger_lock);
  return standin_send_json (connection, copy);
}

static bool
is_cold (void)
{
  return served < options.cold_requests;
}

static void
answer_status (struct mg_connection *connection, long status, bool is_stream)
{
  mg_printf (connection,
             "HTTP/1.1 %ld -\r\nContent-Type: %s\r\nContent-Length: 12\r\n"
             "Connection: close\r\n\r\ndata: none\n\n",
             status, is_stream ? "text/event-stream" : "text/plain");
}

static void
answer_stream (struct mg_connection *connection, long cost)
{
  char event[64];

  mg_printf (connection, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                         "\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (long i = 0; i < cost; i++)
    {
      int length = snprintf (event, sizeof event, "data: token %ld\n\n", i);

      pause_us (options.unit_us * (is_cold () ? COLD_SLOWDOWN : 1));
      if (mg_send_chunk (connection, event, (unsigned)length) <= 0)
        return;
    }
  mg_send_chunk (connection, "", 0);
}

/* Answer with an echo of the first 128 bytes of BODY.  */
static void
answer_whole (struct mg_connection *connection, long cost, const char *body)
{
  char text[256];
  int length = snprintf (text, sizeof text, "{\"echo\":\"%.128s\"}\n", body);

  pause_us (cost * options.unit_us * (is_cold () ? COLD_SLOWDOWN : 1));
  mg_printf (connection,
             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             "Monsoonspur-Cost: %ld\r\nContent-Length: %d\r\n"
             "Connection: %s\r\n\r\n%s",
             cost, length, strstr (body, "extra") ? "keep-alive" : "close",
             text);
  if (strstr (body, "extra"))
    mg_printf (connection, "HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n");
}

/* Answer with what the KIND of a body's "odd=KIND" says.  */
static void
answer_odd (struct mg_connection *connection, const char *kind)
{
  static const struct
  {
    const char *kind;
    const char *answer;
  } answers[] = {
    { "status", "HTTP/1.1 000 -\r\nContent-Length: 3\r\n\r\nodd" },
    { "interim", "HTTP/1.1 099 -\r\nContent-Length: 3\r\n\r\nodd" },
    { "large", "HTTP/1.1 600 -\r\nContent-Length: 3\r\n\r\nodd" },
    { "switch", "HTTP/1.1 101 -\r\nUpgrade: x\r\n\r\nodd" },
    { "name", "HTTP/1.1 200 -\r\nX Odd: 1\r\nContent-Length: 3\r\n\r\nodd" },
    { "control",
      "HTTP/1.1 200 -\r\nX\x01Odd: 1\r\nContent-Length: 3\r\n\r\nodd" },
    { "length", "HTTP/1.1 200 -\r\nContent-Length : 3\r\n\r\nodd and more" },
    { "chunks", "HTTP/1.1 200 -\r\nTransfer-Encoding : chunked\r\n\r\n"
                "3\r\nodd\r\n0\r\n\r\n" },
    { "folded", "HTTP/1.1 200 -\r\n Content-Length: 3\r\n\r\nodd" },
    { "trailer", "HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "3\r\nodd\r\n0\r\nX Odd: 1\r\n\r\n" },
    { "cut", "HTTP/1.1 200 -\r\nContent-Type: text/plain\r\nContent-Le" },
    { "empty", "HTTP/1.1 200 -\r\n" },
    { "continue", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 -\r\nX: 1\r\n" },
  };

  for (size_t i = 0; i < sizeof answers / sizeof *answers; i++)
    if (strncmp (kind, answers[i].kind, strlen (answers[i].kind)) == 0)
      mg_write (connection, answers[i].answer, strlen (answers[i].answer));
  mg_disable_connection_keep_alive (connection);
}

/* Reset the connection to PORT of this machine, if END behind an orderly end
   of what was sent.  */
static void
reset_connection (int port, bool end)
{
  static const struct sockaddr none = { .sa_family = AF_UNSPEC };

  for (int fd = 3; fd < 1024; fd++)
    {
      struct sockaddr_in peer = { 0 };
      socklen_t length = sizeof peer;

      if (getpeername (fd, (struct sockaddr *)&peer, &length) == 0
          && peer.sin_family == AF_INET && ntohs (peer.sin_port) == port)
        {
          if (end)
            shutdown (fd, SHUT_WR);
          (void)connect (fd, &none, sizeof none);
        }
    }
}

static int
handle_early (struct mg_connection *connection, void *context)
{
  static const char answer[] = "HTTP/1.1 200 -\r\nContent-Type: text/plain"
                               "\r\n\r\nodd";

  const struct mg_request_info *info = mg_get_request_info (connection);

  (void)context;
  mg_write (connection, answer, sizeof answer - 1);
  pause_us (10000);
  reset_connection (info->remote_port, strstr (info->local_uri, "-end"));
  mg_disable_connection_keep_alive (connection);
  return 200;
}

static int
handle_run (struct mg_connection *connection, void *context)
{
  char *body = standin_read_body (connection, MAX_BODY_BYTES);
  const char *field;
  long cost = 10;
  int limit;

  (void)context;
  if (strstr (body, "crash"))
    _exit (9);
  field = strstr (body, "cost=");
  if (field)
    cost = strtol (field + 5, NULL, 10);
  limit = is_cold () ? options.cold_limit : options.warm_limit;
  if (atomic_fetch_add (&running, 1) >= limit)
    {
      running--;
      refused_requests++;
      free (body);
      mg_send_http_error (connection, 503, "%s",
                          "too many concurrent requests");
      return 503;
    }
  record_run (body);
  field = strstr (body, "odd=");
  if (field)
    answer_odd (connection, field + 4);
  else if ((field = strstr (body, "status=")))
    answer_status (connection, strtol (field + 7, NULL, 10),
                   strstr (body, "stream") != NULL);
  else if (strstr (body, "stream"))
    answer_stream (connection, cost);
  else
    answer_whole (connection, cost, body);
  running--;
  served++;
  free (body);
  return 200;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  (void)state;
  switch (key)
    {
    case 'a':
      options.address = arg;
      return 0;
    case 'u':
      options.unit_us = strtol (arg, NULL, 10);
      return 0;
    case 'c':
      options.cold_limit = atoi (arg);
      return 0;
    case 'w':
      options.warm_limit = atoi (arg);
      return 0;
    case 'n':
      options.cold_requests = strtol (arg, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct standin_handler handlers[] = {
    { "/load$", handle_load },
    { "/ledger$", handle_ledger },
    { "/early$|/early-end$", handle_early },
    { "/**", handle_run },
  };
  static const struct argp_option argp_options[]
      = { { "address", 'a', "IP:PORT", 0, "Address to listen on", 0 },
          { "unit", 'u', "US", 0, "Microseconds per cost unit when warm", 0 },
          { "cold-limit", 'c', "N", 0, "Concurrent requests while cold", 0 },
          { "warm-limit", 'w', "N", 0, "Concurrent requests when warm", 0 },
          { "cold-requests", 'n', "N", 0, "Requests to serve until warm", 0 },
          { 0 } };
  const struct argp argp
      = { argp_options, parse_option, NULL, NULL, NULL, NULL, NULL };
  struct timespec now;

  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  clock_gettime (CLOCK_REALTIME, &now);
  start_id = (json_int_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
  ledger = json_object ();
  return standin_serve (options.address, "48", handlers,
                        sizeof handlers / sizeof *handlers);
}

/* Stand-in for an endpoint of the users' platform.  What it does follows from
   the request's path, which may contain:

   /full       503, not run             /crash      the connection breaks off
   /unsigned   200 without signature    /unframed   an answer without a length
   /short      less than its length     /extra      a second answer behind it
   /stream     N events, MS apart       /half       a stream that breaks off in
                                                    its third event, unless it
                                                    is resumed
   /slow       answers after MS         /flaky      500, the first time
   /endless    64 MiB without signature

   ?n=N and ?ms=MS set the figures.  GET /runs?id=ID tells how often the
   attempt ID was run, GET /cancelled?id=ID how often its connection was found
   closed while it ran.  With --runs=FILE each run is written there as well,
   with the time in milliseconds, before it begins.  */

#include <argp.h>
#include <civetweb.h>
#include <errno.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/alloc.h"
#include "common/serve.h"

#define MAX_RUNS 4096
#define MAX_BODY_BYTES (8u << 20)

struct run
{
  char id[64];
  unsigned times;
  unsigned cancelled;
};

static struct run runs[MAX_RUNS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static const char *name = "e0";
static FILE *runs_file;

static struct run *
run_of (const char *id)
{
  for (int i = 0; i < MAX_RUNS; i++)
    {
      if (!runs[i].id[0])
        snprintf (runs[i].id, sizeof runs[i].id, "%s", id);
      if (strcmp (runs[i].id, id) == 0)
        return &runs[i];
    }
  return &runs[0];
}

static const char *
header (const struct mg_connection *connection, const char *field)
{
  const char *value = mg_get_header (connection, field);

  return value ? value : "";
}

static long
figure (const struct mg_connection *connection, const char *field,
        long fallback)
{
  const char *query = mg_get_request_info (connection)->query_string;
  char value[24];

  if (!query
      || mg_get_var (query, strlen (query), field, value, sizeof value) < 0)
    return fallback;
  return strtol (value, NULL, 10);
}

static void
pause_ms (long ms)
{
  const struct timespec time = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&time, NULL);
}

static int
told (struct mg_connection *connection, void *context)
{
  const char *query = mg_get_request_info (connection)->query_string;
  char id[64] = "";
  char text[24];
  const struct run *run;

  if (query)
    mg_get_var (query, strlen (query), "id", id, sizeof id);
  pthread_mutex_lock (&lock);
  run = run_of (id);
  snprintf (text, sizeof text, "%u\n", context ? run->cancelled : run->times);
  pthread_mutex_unlock (&lock);
  mg_printf (connection, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
             strlen (text), text);
  return 1;
}

static unsigned
begin_run (const char *id)
{
  unsigned times;

  pthread_mutex_lock (&lock);
  times = ++run_of (id)->times;
  if (runs_file)
    {
      struct timespec now;

      clock_gettime (CLOCK_MONOTONIC, &now);
      fprintf (runs_file, "%s %lld\n", id,
               (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000);
      fflush (runs_file);
    }
  pthread_mutex_unlock (&lock);
  return times;
}

static void
send_head (struct mg_connection *connection, int status, const char *more)
{
  mg_printf (connection, "HTTP/1.1 %d -\r\nX-Request-Attempt-Id: %s\r\n%s",
             status, header (connection, "X-Request-Attempt-Id"), more);
}

static int
send_stream (struct mg_connection *connection, const char *id, bool breaks)
{
  long from = strtol (header (connection, "Last-Event-Id"), NULL, 10);
  long n = figure (connection, "n", 5);

  send_head (connection, 200,
             "X-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
  for (long i = from + 1; i <= n; i++)
    {
      char event[64];
      int length
          = snprintf (event, sizeof event, "id: %ld\ndata: piece\n\n", i);

      if (breaks && from == 0 && i == 3)
        {
          mg_printf (connection, "8\r\nid: 3\nda");
          return 1;
        }
      if (mg_printf (connection, "%x\r\n%s\r\n", length, event) <= 0)
        {
          pthread_mutex_lock (&lock);
          run_of (id)->cancelled++;
          pthread_mutex_unlock (&lock);
          return 1;
        }
      pause_ms (figure (connection, "ms", 10));
    }
  mg_printf (connection, "0\r\n\r\n");
  return 1;
}

/* Many bytes that are signed by nobody.  */
static void
send_endless (struct mg_connection *connection)
{
  static const char block[65536];

  send_head (connection, 200, "Content-Length: 67108864\r\n\r\n");
  for (int i = 0; i < 1024; i++)
    if (mg_write (connection, block, sizeof block) <= 0)
      return;
}

/* The answer of a request that runs well: what came with it.  */
static void
send_echo (struct mg_connection *connection, const char *body, size_t length)
{
  char text[512];
  unsigned sum = 0;

  for (size_t i = 0; i < length; i++)
    sum = sum * 31 + (unsigned char)body[i];
  snprintf (text, sizeof text,
            "{\"endpoint\":\"%s\",\"team\":\"%s\",\"key\":\"%s\","
            "\"deadline\":\"%s\",\"hold\":\"%s\",\"length\":%zu,\"sum\":%u,"
            "\"query\":\"%s\"}\n",
            name, header (connection, "X-Tenant"),
            header (connection, "X-Key"),
            header (connection, "X-Deadline-Remaining-Ms"),
            header (connection, "X-Hold"), length, sum,
            mg_get_request_info (connection)->query_string
                ? mg_get_request_info (connection)->query_string
                : "");
  send_head (connection, 200, "X-Response-Signature: s\r\n");
  mg_printf (connection, "Content-Length: %zu\r\n\r\n%s", strlen (text), text);
}

static int
close_without_answer (struct mg_connection *connection)
{
  mg_disable_connection_keep_alive (connection);
  return 1;
}

static int
handle (struct mg_connection *connection, void *context)
{
  const char *path = mg_get_request_info (connection)->local_uri;
  const char *id = header (connection, "X-Request-Attempt-Id");
  const char *expected = header (connection, "X-Expected-Instance");
  long long length = mg_get_request_info (connection)->content_length;
  char *body;
  unsigned times;

  (void)context;
  if (*expected && strcmp (expected, name) != 0)
    {
      send_head (connection, 421, "Content-Length: 0\r\n\r\n");
      return 1;
    }
  if (strstr (path, "/full"))
    {
      send_head (connection, 503,
                 "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return 1;
    }
  body = standin_read_body (connection, MAX_BODY_BYTES);
  times = begin_run (id);
  if (strstr (path, "/crash"))
    {
      free (body);
      return close_without_answer (connection);
    }
  if (strstr (path, "/stream") || strstr (path, "/half"))
    {
      free (body);
      return send_stream (connection, id, strstr (path, "/half") != NULL);
    }
  if (strstr (path, "/slow"))
    pause_ms (figure (connection, "ms", 1000));
  if (strstr (path, "/endless"))
    send_endless (connection);
  else if (strstr (path, "/unsigned"))
    send_head (connection, 200, "Content-Length: 2\r\n\r\nno");
  else if (strstr (path, "/unframed"))
    {
      send_head (connection, 200,
                 "X-Response-Signature: s\r\nConnection: close\r\n\r\nwhole");
      mg_disable_connection_keep_alive (connection);
    }
  else if (strstr (path, "/short"))
    {
      send_head (connection, 200,
                 "X-Response-Signature: s\r\nContent-Length: 9\r\n\r\nhalf");
      mg_disable_connection_keep_alive (connection);
    }
  else if (strstr (path, "/flaky") && times == 1)
    send_head (connection, 500,
               "X-Response-Signature: s\r\nContent-Length: 4\r\n\r\nfail");
  else
    send_echo (connection, body, length > 0 ? (size_t)length : 0);
  if (strstr (path, "/extra"))
    send_head (connection, 200,
               "X-Response-Signature: s\r\n"
               "Content-Length: 5\r\n\r\nextra");
  free (body);
  return 1;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  switch (key)
    {
    case 'a':
      *(const char **)state->input = arg;
      return 0;
    case 'n':
      name = arg;
      return 0;
    case 'r':
      runs_file = fopen (arg, "a");
      if (!runs_file)
        argp_failure (state, EXIT_FAILURE, errno, "%s", arg);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
runs_told (struct mg_connection *connection, void *context)
{
  (void)context;
  return told (connection, NULL);
}

static int
cancelled_told (struct mg_connection *connection, void *context)
{
  (void)context;
  return told (connection, runs);
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[]
      = { { "address", 'a', "IP:PORT", 0, "Listen there", 0 },
          { "name", 'n', "ID", 0, "Name of the endpoint", 0 },
          { "runs", 'r', "FILE", 0, "Append runs to FILE", 0 },
          { 0 } };
  static const struct argp argp
      = { options, parse_option, NULL, "Stand-in for an endpoint.",
          NULL,    NULL,         NULL };
  static const struct standin_handler handlers[] = {
    { "/runs$", runs_told },
    { "/cancelled$", cancelled_told },
    { "/**", handle },
  };
  const char *address = "127.0.0.1:0";

  argp_parse (&argp, argc, argv, 0, NULL, &address);
  return standin_serve (address, "64", handlers,
                        sizeof handlers / sizeof *handlers);
}

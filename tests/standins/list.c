/* Stand-in for the platform's lagging instance list:

   GET /v1/instances
   PUT /v1/instances    the body becomes the list after the lag  */

#include <argp.h>
#include <civetweb.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/serve.h"

#define MAX_LIST_BYTES (1u << 20)

static char *shown;
static char *next;
static struct timespec next_at;
static long lag_ms = 300;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
advance (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  if (!next || now.tv_sec < next_at.tv_sec
      || (now.tv_sec == next_at.tv_sec && now.tv_nsec < next_at.tv_nsec))
    return;
  free (shown);
  shown = next;
  next = NULL;
}

static void
replace (char *list)
{
  pthread_mutex_lock (&lock);
  advance ();
  free (next);
  next = list;
  clock_gettime (CLOCK_MONOTONIC, &next_at);
  next_at.tv_nsec += lag_ms % 1000 * 1000000;
  next_at.tv_sec += lag_ms / 1000 + next_at.tv_nsec / 1000000000;
  next_at.tv_nsec %= 1000000000;
  pthread_mutex_unlock (&lock);
}

static int
handle (struct mg_connection *connection, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  const char *text;

  (void)context;
  if (strcmp (info->request_method, "PUT") == 0)
    replace (standin_read_body (connection, MAX_LIST_BYTES));
  pthread_mutex_lock (&lock);
  advance ();
  text = shown ? shown : "{\"instances\":[]}";
  mg_printf (connection,
             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
             strlen (text), text);
  pthread_mutex_unlock (&lock);
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
    case 'l':
      lag_ms = strtol (arg, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct standin_handler handlers[] = {
    { "/v1/instances$", handle },
  };
  static const struct argp_option options[]
      = { { "address", 'a', "IP:PORT", 0, "Where to serve", 0 },
          { "lag", 'l', "MS", 0, "Delay of a change", 0 },
          { 0 } };
  const struct argp argp
      = { options, parse_option, NULL, NULL, NULL, NULL, NULL };
  const char *address = "127.0.0.1:7001";

  argp_parse (&argp, argc, argv, 0, NULL, &address);
  return standin_serve (address, "16", handlers,
                        sizeof handlers / sizeof *handlers);
}

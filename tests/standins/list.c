/* Stand-in for the platform's instance list, which shows changes late:

   GET /v1/instances    the list
   PUT /v1/instances    the body becomes the list after the lag; it supersedes
                        a change that isn't visible yet  */

#include <argp.h>
#include <civetweb.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/serve.h"

#define MAX_LIST_BYTES (1u << 20)

static char *visible;
static char *pending; /* Becomes visible at pending_at; may be NULL.  */
static struct timespec pending_at; /* On the monotonic clock.  */
static long lag_ms = 300;
static pthread_mutex_t list_lock = PTHREAD_MUTEX_INITIALIZER;

/* Make the pending list visible if it is due.  The caller holds list_lock.  */
static void
apply_pending (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  if (!pending || now.tv_sec < pending_at.tv_sec
      || (now.tv_sec == pending_at.tv_sec && now.tv_nsec < pending_at.tv_nsec))
    return;
  free (visible);
  visible = pending;
  pending = NULL;
}

/* Let LIST, which is taken over, become visible after the lag.  */
static void
set_pending (char *list)
{
  pthread_mutex_lock (&list_lock);
  apply_pending ();
  free (pending);
  pending = list;
  clock_gettime (CLOCK_MONOTONIC, &pending_at);
  pending_at.tv_nsec += lag_ms % 1000 * 1000000;
  pending_at.tv_sec += lag_ms / 1000 + pending_at.tv_nsec / 1000000000;
  pending_at.tv_nsec %= 1000000000;
  pthread_mutex_unlock (&list_lock);
}

static int
handle_instances (struct mg_connection *connection, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  const char *text;

  (void)context;
  if (strcmp (info->request_method, "PUT") == 0)
    set_pending (standin_read_body (connection, MAX_LIST_BYTES));
  pthread_mutex_lock (&list_lock);
  apply_pending ();
  text = visible ? visible : "{\"instances\":[]}";
  mg_printf (connection,
             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
             strlen (text), text);
  pthread_mutex_unlock (&list_lock);
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
    { "/v1/instances$", handle_instances },
  };
  static const struct argp_option options[]
      = { { "address", 'a', "IP:PORT", 0, "Address to listen on", 0 },
          { "lag", 'l', "MS", 0, "Time until a change is visible", 0 },
          { 0 } };
  const struct argp argp
      = { options, parse_option, NULL, NULL, NULL, NULL, NULL };
  const char *address = "127.0.0.1:7001";

  argp_parse (&argp, argc, argv, 0, NULL, &address);
  return standin_serve (address, "16", handlers,
                        sizeof handlers / sizeof *handlers);
}

#include "serve.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"

bool standin_keep_alive;

int
standin_serve (const char *address, const char *threads,
               const struct standin_handler *handlers, size_t count)
{
  const char *options[] = { "listening_ports",
                            address,
                            "num_threads",
                            threads,
                            standin_keep_alive ? "enable_keep_alive" : NULL,
                            "yes",
                            "keep_alive_timeout_ms",
                            "30000",
                            NULL };
  struct mg_context *server;
  sigset_t signals;
  int caught;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  server = mg_start (NULL, NULL, options);
  if (!server)
    return 1;
  for (size_t i = 0; i < count; i++)
    mg_set_request_handler (server, handlers[i].pattern, handlers[i].handle,
                            NULL);
  sigwait (&signals, &caught);
  _exit (0);
}

int
standin_send_json (struct mg_connection *connection, json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);

  json_decref (object);
  mg_printf (connection,
             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\nConnection: close\r\n\r\n",
             strlen (text));
  mg_write (connection, text, strlen (text));
  free (text);
  return 1;
}

char *
standin_read_body (struct mg_connection *connection, size_t limit)
{
  char *body = ms_new (limit + 1);
  size_t used = 0;
  int n;

  while (used < limit
         && (n = mg_read (connection, body + used, limit - used)) > 0)
    used += (size_t)n;
  /* The byte behind the body is 0, as ms_new zeroes the memory.  */
  return ms_resize (body, used + 1, 1);
}

/* For accept4.  */
#define _GNU_SOURCE

#include "proxy.h"

#include <arpa/inet.h>
#include <err.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define BACKLOG 256
#define BUFFER_BYTES 16384
#define SLOW_DELAY_NS 200000000

/* Interval at which an idle connection checks the state of its link.  */
#define POLL_MS 20

struct proxy
{
  int listener;
  unsigned target_port;
  _Atomic enum link_state state;
};

struct connection
{
  struct proxy *proxy;
  int client; /* Socket that was accepted.  */
  int server; /* Socket to the target port.  */
};

const char *const link_state_names[LINK_STATES]
    = { "good", "slow", "reset", "one_way", "silent" };

static struct sockaddr_in
loopback_address (unsigned port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

/* Close FD with a TCP reset instead of an orderly end.  */
static void
close_with_reset (int fd)
{
  const struct linger now = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (fd);
}

/* Forward one block of data from FROM to TO; data that the link drops is read
   nevertheless.  Returns false when either side has closed.  */
static bool
forward (struct proxy *proxy, int from, int to, bool from_server)
{
  static const struct timespec delay = { 0, SLOW_DELAY_NS };
  char buffer[BUFFER_BYTES];
  ssize_t length = read (from, buffer, sizeof buffer);
  enum link_state state = proxy->state;

  if (length <= 0)
    return false;
  if (state == LINK_SILENT || (state == LINK_ONE_WAY && from_server))
    return true;
  if (state == LINK_SLOW)
    nanosleep (&delay, NULL);
  for (ssize_t sent = 0; sent < length;)
    {
      ssize_t n
          = send (to, buffer + sent, (size_t)(length - sent), MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      sent += n;
    }
  return true;
}

/* Relay data both ways until a side closes or the link is reset.  Returns
   false if both connections must be reset.

   Dropped data leaves a gap in the byte stream, so nothing behind it may be
   forwarded.  A connection on which data arrives while the link is silent or
   one-way therefore drops all data from then on, both ways, also after the
   link has recovered.  Only while the link is one-way does it forward what the
   client sends.  Such a connection ends with a reset: an answer that the end
   of the connection ends must not look whole.  */
static bool
relay (struct connection *c)
{
  bool has_gap = false;

  for (;;)
    {
      struct pollfd fds[]
          = { { c->client, POLLIN, 0 }, { c->server, POLLIN, 0 } };
      int ready = poll (fds, 2, POLL_MS);
      enum link_state state = c->proxy->state;

      if (state == LINK_RESET)
        return false;
      if (ready <= 0)
        continue;
      has_gap = has_gap || state == LINK_SILENT || state == LINK_ONE_WAY;
      for (int i = 0; i < 2; i++)
        {
          char buffer[BUFFER_BYTES];

          if (!fds[i].revents)
            continue;
          if (has_gap && (state != LINK_ONE_WAY || i == 1))
            {
              if (read (fds[i].fd, buffer, sizeof buffer) <= 0)
                return false;
            }
          else if (!forward (c->proxy, fds[i].fd, fds[1 - i].fd, i == 1))
            return !has_gap;
        }
    }
}

static void *
connection_main (void *argument)
{
  struct connection *c = argument;
  const struct sockaddr_in address = loopback_address (c->proxy->target_port);
  bool is_orderly = false; /* Closed by a side, to be closed without reset.  */

  if (c->proxy->state != LINK_RESET
      && connect (c->server, (const struct sockaddr *)&address, sizeof address)
             == 0)
    is_orderly = relay (c);
  if (is_orderly)
    {
      close (c->client);
      close (c->server);
    }
  else
    {
      close_with_reset (c->client);
      close_with_reset (c->server);
    }
  free (c);
  return NULL;
}

static void *
accept_main (void *argument)
{
  struct proxy *proxy = argument;

  for (;;)
    {
      struct connection *c;
      pthread_t thread;
      /* Processes that are started must not inherit connections: they would
         keep them open after a side has closed.  */
      int client = accept4 (proxy->listener, NULL, NULL, SOCK_CLOEXEC);

      if (client < 0)
        continue;
      c = malloc (sizeof *c);
      if (!c)
        err (EXIT_FAILURE, "proxy");
      *c = (struct connection){
        proxy, client, socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)
      };
      if (pthread_create (&thread, NULL, connection_main, c))
        {
          close_with_reset (client);
          close (c->server);
          free (c);
          continue;
        }
      pthread_detach (thread);
    }
  return NULL;
}

struct proxy *
proxy_create (unsigned port, unsigned target_port)
{
  const struct sockaddr_in address = loopback_address (port);
  const int on = 1;
  struct proxy *proxy = calloc (1, sizeof *proxy);
  pthread_t thread;

  if (!proxy)
    err (EXIT_FAILURE, "proxy");
  proxy->target_port = target_port;
  proxy->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (proxy->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (proxy->listener, (const struct sockaddr *)&address, sizeof address)
      || listen (proxy->listener, BACKLOG)
      || pthread_create (&thread, NULL, accept_main, proxy))
    err (EXIT_FAILURE, "port %u", port);
  pthread_detach (thread);
  return proxy;
}

void
proxy_set_state (struct proxy *proxy, enum link_state state)
{
  proxy->state = state;
}

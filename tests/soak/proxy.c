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
#define PIECE_BYTES 16384
#define SLOW_NS 200000000

/* The state of the link is looked at so often while nothing comes.  */
#define LOOK_MS 20

struct proxy
{
  int listener;
  unsigned target;
  _Atomic enum link_state state;
};

struct connection
{
  struct proxy *proxy;
  int near;
  int far;
};

const char *const link_state_names[LINK_STATES]
    = { "good", "slow", "reset", "one_way", "silent" };

static struct sockaddr_in
loopback (unsigned port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

/* Close with a reset.  */
static void
reset (int fd)
{
  const struct linger now = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (fd);
}

/* Pass one piece from FROM to TO; what the link swallows is read all the same.
   Returns false at the end.  */
static bool
pass (struct proxy *proxy, int from, int to, bool back)
{
  static const struct timespec slow = { 0, SLOW_NS };
  char piece[PIECE_BYTES];
  ssize_t length = read (from, piece, sizeof piece);
  enum link_state state = proxy->state;

  if (length <= 0)
    return false;
  if (state == LINK_SILENT || (state == LINK_ONE_WAY && back))
    return true;
  if (state == LINK_SLOW)
    nanosleep (&slow, NULL);
  for (ssize_t sent = 0; sent < length;)
    {
      ssize_t n
          = send (to, piece + sent, (size_t)(length - sent), MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      sent += n;
    }
  return true;
}

/* Bytes that the link swallowed would leave a hole in the stream: such a
   connection stays silent until an end closes it, also when the link is good
   again.  */
static bool
serve (struct connection *c)
{
  bool holed = false;

  for (;;)
    {
      struct pollfd fds[] = { { c->near, POLLIN, 0 }, { c->far, POLLIN, 0 } };
      int ready = poll (fds, 2, LOOK_MS);
      enum link_state state = c->proxy->state;

      if (state == LINK_RESET)
        return false;
      if (ready <= 0)
        continue;
      holed = holed || state == LINK_SILENT || state == LINK_ONE_WAY;
      for (int i = 0; i < 2; i++)
        {
          char piece[PIECE_BYTES];

          if (!fds[i].revents)
            continue;
          if (holed && (state != LINK_ONE_WAY || i == 1))
            {
              if (read (fds[i].fd, piece, sizeof piece) <= 0)
                return true;
            }
          else if (!pass (c->proxy, fds[i].fd, fds[1 - i].fd, i == 1))
            return true;
        }
    }
}

static void *
connection_main (void *argument)
{
  struct connection *c = argument;
  const struct sockaddr_in address = loopback (c->proxy->target);
  bool orderly = false;

  if (c->proxy->state != LINK_RESET
      && connect (c->far, (const struct sockaddr *)&address, sizeof address)
             == 0)
    orderly = serve (c);
  if (orderly)
    {
      close (c->near);
      close (c->far);
    }
  else
    {
      reset (c->near);
      reset (c->far);
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
      int near = accept (proxy->listener, NULL, NULL);

      if (near < 0)
        continue;
      c = malloc (sizeof *c);
      if (!c)
        err (EXIT_FAILURE, "proxy");
      *c = (struct connection){ proxy, near,
                                socket (AF_INET, SOCK_STREAM, 0) };
      if (pthread_create (&thread, NULL, connection_main, c))
        {
          reset (near);
          close (c->far);
          free (c);
          continue;
        }
      pthread_detach (thread);
    }
  return NULL;
}

struct proxy *
proxy_create (unsigned port, unsigned target)
{
  const struct sockaddr_in address = loopback (port);
  const int on = 1;
  struct proxy *proxy = calloc (1, sizeof *proxy);
  pthread_t thread;

  if (!proxy)
    err (EXIT_FAILURE, "proxy");
  proxy->target = target;
  proxy->listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (proxy->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (proxy->listener, (const struct sockaddr *)&address, sizeof address)
      || listen (proxy->listener, BACKLOG)
      || pthread_create (&thread, NULL, accept_main, proxy))
    err (EXIT_FAILURE, "port %u", port);
  pthread_detach (thread);
  return proxy;
}

void
proxy_set (struct proxy *proxy, enum link_state state)
{
  proxy->state = state;
}

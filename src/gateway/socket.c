#include "gateway/socket.h"

#include <errno.h>
#include <netinet/in.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "base/alloc.h"
#include "base/log.h"

#define READ_BUFFER_BYTES 65536

/* The kernel measures the age of data in ticks of up to 10 ms.  */
#define MIN_DATA_AGE_MS 20

/* Each check asks the kernel once or twice for each connection that was
   written to.  */
#define CHECK_PERIOD (500 * MS_MSEC)

struct ms_socket
{
  uv_tcp_t tcp;
  const struct ms_socket_events *events;
  void *owner;         /* NULL once the owner closed the socket.  */
  size_t queued_bytes; /* Written by the owner, not yet sent.  */
  bool accepted;
  bool reading;
  bool closing;     /* Closed, or to be closed once the queue is sent.  */
  bool resets;      /* The kernel resets it if the process ends.  */
  bool unconfirmed; /* Written to, and not known to be acknowledged.  */
  struct ms_ack_watch watch;
  size_t left;        /* Bytes not acknowledged at the last check of a closed
                         connection...  */
  ms_time left_since; /* ...and since when; 0 before the first check.  */
  uv_connect_t connect;
  struct ms_socket *prev, *next;
};

/* Data that the kernel did not take at once.  */
struct pending_write
{
  uv_write_t request;
  struct ms_socket *socket;
  size_t length;
  char data[];
};

static unsigned open_count;
static struct ms_socket *sockets; /* All that are open.  */
static size_t queued_accepted;    /* Queued bytes of accepted ones.  */
static ms_time checked_at;        /* Time of the last check of them.  */

/* Shared by all sockets: a callback consumes or copies what was read.  */
static char read_buffer[READ_BUFFER_BYTES];

unsigned
ms_socket_open_count (void)
{
  return open_count;
}

static void
on_closed (uv_handle_t *handle)
{
  struct ms_socket *s = handle->data;

  open_count--;
  DL_DELETE (sockets, s);
  free (s);
}

static struct ms_socket *
create_socket (uv_loop_t *loop, const struct ms_socket_events *events,
               void *owner)
{
  struct ms_socket *s = ms_new (sizeof *s);

  if (uv_tcp_init (loop, &s->tcp))
    {
      free (s);
      return NULL;
    }
  open_count++;
  DL_APPEND (sockets, s);
  s->tcp.data = s;
  s->events = events;
  s->owner = owner;
  return s;
}

static void
provide_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  (void)handle;
  (void)suggested;
  *buffer = uv_buf_init (read_buffer, sizeof read_buffer);
}

/* How the other side of S, at the end of its stream, has closed.  libuv
   reports a reset as the end of the stream if data arrived before it in the
   same iteration of the loop.  */
static enum ms_close
read_close (const struct ms_socket *s)
{
  socklen_t length = sizeof (int);
  uv_os_fd_t fd;
  int error = 0;

  if (uv_fileno ((const uv_handle_t *)&s->tcp, &fd)
      || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &length))
    return MS_CLOSE_BROKEN;
  /* The kernel reports a reset behind an orderly end as EPIPE.  */
  return !error           ? MS_CLOSE_ORDERLY
         : error == EPIPE ? MS_CLOSE_THEN_RESET
                          : MS_CLOSE_BROKEN;
}

static void
on_read (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  struct ms_socket *s = stream->data;

  if (!s->owner || length == 0)
    return;
  if (length > 0)
    {
      s->events->read (s->owner, buffer->base, (size_t)length);
      return;
    }
  s->reading = false;
  uv_read_stop (stream);
  s->events->ended (s->owner,
                    length == UV_EOF ? read_close (s) : MS_CLOSE_BROKEN);
}

void
ms_socket_resume (struct ms_socket *s)
{
  if (!s->reading && !s->closing
      && uv_read_start ((uv_stream_t *)&s->tcp, provide_buffer, on_read) == 0)
    s->reading = true;
}

void
ms_socket_pause (struct ms_socket *s)
{
  if (s->reading)
    uv_read_stop ((uv_stream_t *)&s->tcp);
  s->reading = false;
}

/* Make the kernel detect hosts that vanish without closing an idle connection,
   by keepalive probes.  Accepted connections inherit these options from their
   listener.  Also disable Nagle's algorithm.  */
static void
set_socket_options (uv_tcp_t *tcp)
{
  static const int on = 1;
  static const int idle = MS_KEEPALIVE_IDLE_S;
  static const int interval = MS_KEEPALIVE_INTERVAL_S;
  static const int probes = MS_KEEPALIVE_PROBES;
  uv_os_fd_t fd;

  if (uv_fileno ((uv_handle_t *)tcp, &fd))
    return;
  if (setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on)
      || setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle)
      || setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval,
                     sizeof interval)
      || setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes))
    ms_log (MS_WARN, "socket",
            "cannot set keepalive options: a connection whose other end has "
            "vanished will not be detected");
  uv_tcp_nodelay (tcp, 1);
}

struct ms_socket *
ms_socket_accept (uv_stream_t *listener, const struct ms_socket_events *events,
                  void *owner)
{
  struct ms_socket *s = create_socket (listener->loop, events, owner);

  if (!s)
    return NULL;
  s->accepted = true;
  if (uv_accept (listener, (uv_stream_t *)&s->tcp))
    {
      ms_socket_close (s);
      return NULL;
    }
  ms_socket_resume (s);
  return s;
}

struct ms_socket *
ms_socket_accept_waiting (uv_tcp_t *listener,
                          const struct ms_socket_events *events, void *owner)
{
  uv_os_fd_t waiting_at;
  int fd;
  struct ms_socket *s;

  if (uv_fileno ((uv_handle_t *)listener, &waiting_at))
    return NULL;
  fd = accept (waiting_at, NULL, NULL);
  if (fd < 0)
    return NULL;
  s = create_socket (listener->loop, events, owner);
  if (!s || uv_tcp_open (&s->tcp, fd))
    {
      close (fd);
      if (s)
        ms_socket_close (s);
      return NULL;
    }
  s->accepted = true;
  ms_socket_resume (s);
  return s;
}

static void
on_connected (uv_connect_t *connect, int error)
{
  struct ms_socket *s = connect->data;

  if (!s->owner)
    return;
  if (!error)
    {
      set_socket_options (&s->tcp);
      ms_socket_resume (s);
    }
  s->events->connected (s->owner, error ? MS_UNAVAILABLE : MS_OK);
}

struct ms_socket *
ms_socket_connect (uv_loop_t *loop, const struct sockaddr_in *address,
                   const struct ms_socket_events *events, void *owner)
{
  struct ms_socket *s = create_socket (loop, events, owner);

  if (!s)
    return NULL;
  s->connect.data = s;
  if (uv_tcp_connect (&s->connect, &s->tcp, (const struct sockaddr *)address,
                      on_connected))
    {
      ms_socket_close (s);
      return NULL;
    }
  return s;
}

enum ms_status
ms_socket_listen (uv_loop_t *loop, uv_tcp_t *listener,
                  const struct sockaddr_in *address, int backlog,
                  uv_connection_cb accept)
{
  int error = uv_tcp_init (loop, listener);

  if (!error)
    error = uv_tcp_bind (listener, (const struct sockaddr *)address, 0);
  if (!error)
    set_socket_options (listener);
  if (!error)
    error = uv_listen ((uv_stream_t *)listener, backlog, accept);
  if (error)
    return ms_fail (MS_UNAVAILABLE, "port %u: %s", ntohs (address->sin_port),
                    uv_strerror (error));
  return MS_OK;
}

/* Make the kernel reset the connection of S when its descriptor is closed, or
   close it in order.  */
static void
set_reset_on_close (struct ms_socket *s, bool reset)
{
  const struct linger linger = { .l_onoff = reset, .l_linger = 0 };
  uv_os_fd_t fd;

  s->resets
      = uv_fileno ((uv_handle_t *)&s->tcp, &fd) == 0
        && setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger) == 0
        && reset;
}

/* Close the socket of S, whose queue is empty.  What the kernel has not sent
   yet is discarded like a queue if the other side takes nothing.  */
static void
close_sent (struct ms_socket *s)
{
  static const unsigned limit_ms = MS_LINGER_LIMIT / MS_MSEC;
  uv_os_fd_t fd;

  if (s->resets)
    set_reset_on_close (s, false);
  if (s->unconfirmed && uv_fileno ((uv_handle_t *)&s->tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof limit_ms);
  uv_close ((uv_handle_t *)&s->tcp, on_closed);
}

/* Add BYTES, which may be below 0, to those queued for S.  */
static void
change_queue (struct ms_socket *s, ssize_t bytes)
{
  s->queued_bytes += (size_t)bytes;
  if (s->accepted)
    queued_accepted += (size_t)bytes;
}

static void
on_written (uv_write_t *request, int error)
{
  struct pending_write *w = request->data;
  struct ms_socket *s = w->socket;

  change_queue (s, -(ssize_t)w->length);
  free (w);
  if (!s->owner)
    {
      if (!s->queued_bytes && !uv_is_closing ((uv_handle_t *)&s->tcp))
        close_sent (s);
      return;
    }
  if (error)
    s->events->ended (s->owner, MS_CLOSE_BROKEN);
  else if (!s->queued_bytes)
    s->events->drained (s->owner);
}

/* Queue a copy of the COUNT BUFFERS, of TOTAL bytes, without the first SENT
   bytes, which have been written.  */
static void
queue_rest (struct ms_socket *s, const uv_buf_t *buffers, unsigned count,
            size_t total, size_t sent)
{
  struct pending_write *w = ms_new (sizeof *w + total - sent);
  uv_buf_t buffer;
  size_t at = 0;

  for (unsigned i = 0; i < count; i++)
    {
      size_t skip = sent < buffers[i].len ? sent : buffers[i].len;

      memcpy (w->data + at, buffers[i].base + skip, buffers[i].len - skip);
      at += buffers[i].len - skip;
      sent -= skip;
    }
  w->socket = s;
  w->length = at;
  w->request.data = w;
  change_queue (s, (ssize_t)at);
  buffer = uv_buf_init (w->data, (unsigned)at);
  if (uv_write (&w->request, (uv_stream_t *)&s->tcp, &buffer, 1, on_written))
    {
      change_queue (s, -(ssize_t)at);
      free (w);
    }
}

void
ms_socket_write (struct ms_socket *s, const uv_buf_t *buffers, unsigned count)
{
  size_t total = 0;
  int sent = 0;

  if (s->closing)
    return;
  for (unsigned i = 0; i < count; i++)
    total += buffers[i].len;
  if (!total)
    return;
  s->unconfirmed = true;
  if (!s->queued_bytes)
    sent = uv_try_write ((uv_stream_t *)&s->tcp, buffers, count);
  if (sent < 0)
    sent = 0;
  if ((size_t)sent < total)
    queue_rest (s, buffers, count, total, (size_t)sent);
}

size_t
ms_socket_queued (const struct ms_socket *s)
{
  return s->queued_bytes;
}

size_t
ms_sockets_queued_accepted (void)
{
  return queued_accepted;
}

/* Set *INFO to what the kernel knows of the connection of S.  */
static bool
read_tcp_info (const struct ms_socket *s, struct tcp_info *info)
{
  socklen_t length = sizeof *info;
  uv_os_fd_t fd;

  memset (info, 0, sizeof *info);
  return uv_fileno ((const uv_handle_t *)&s->tcp, &fd) == 0
         && getsockopt (fd, IPPROTO_TCP, TCP_INFO, info, &length) == 0;
}

ms_time
ms_socket_data_age (const struct ms_socket *s)
{
  struct tcp_info info;

  if (!read_tcp_info (s, &info) || info.tcpi_last_data_recv < MIN_DATA_AGE_MS)
    return 0;
  return info.tcpi_last_data_recv * MS_MSEC;
}

bool
ms_socket_has_data (const struct ms_socket *s)
{
  uv_os_fd_t fd;
  int length = 0;

  return uv_fileno ((const uv_handle_t *)&s->tcp, &fd) == 0
         && ioctl (fd, FIONREAD, &length) == 0 && length > 0;
}

bool
ms_socket_paused (const struct ms_socket *s)
{
  return !s->reading && !s->closing;
}

bool
ms_socket_hung_up (const struct ms_socket *s)
{
  struct tcp_info info;

  return read_tcp_info (s, &info) && info.tcpi_state != TCP_ESTABLISHED;
}

void
ms_socket_close (struct ms_socket *s)
{
  s->owner = NULL;
  if (s->closing)
    return;
  s->closing = true;
  ms_socket_pause (s);
  if (!s->queued_bytes)
    close_sent (s);
}

void
ms_socket_reset (struct ms_socket *s)
{
  bool was_closing = s->closing;

  s->owner = NULL;
  s->closing = true;
  if (was_closing && uv_is_closing ((uv_handle_t *)&s->tcp))
    return;
  if (uv_tcp_close_reset (&s->tcp, on_closed))
    uv_close ((uv_handle_t *)&s->tcp, on_closed);
}

size_t
ms_sockets_reset_closed (void)
{
  struct ms_socket *s;
  struct ms_socket *most = NULL;

  DL_FOREACH (sockets, s)
  {
    if (s->closing && !uv_is_closing ((uv_handle_t *)&s->tcp)
        && (!most || s->queued_bytes > most->queued_bytes))
      most = s;
  }
  if (!most)
    return 0;
  ms_socket_reset (most);
  return most->queued_bytes;
}

void
ms_socket_reset_at_exit (struct ms_socket *s)
{
  set_reset_on_close (s, true);
}

bool
ms_ack_watch_update (struct ms_ack_watch *watch,
                     const struct ms_ack_state *state, ms_time now)
{
  if (!state->unanswered)
    {
      watch->since = 0;
      return false;
    }
  if (!watch->since)
    watch->since = now;
  if (watch->since < now - state->age)
    watch->since = now - state->age;
  return now - watch->since >= MS_UNACKED_LIMIT;
}

/* Whether S, which is closed, has waited too long at NOW for its other side to
   take a part of the LEFT bytes.  */
static bool
lingers (struct ms_socket *s, size_t left, ms_time now)
{
  if (!s->left_since || left != s->left)
    s->left_since = now;
  s->left = left;
  return now - s->left_since >= MS_LINGER_LIMIT;
}

static void
check_socket (struct ms_socket *s, ms_time now)
{
  struct tcp_info info;
  struct ms_ack_state state;
  uv_os_fd_t fd;
  int left = 0;

  if (!s->unconfirmed || uv_is_closing ((uv_handle_t *)&s->tcp)
      || uv_fileno ((uv_handle_t *)&s->tcp, &fd) || !read_tcp_info (s, &info)
      || ioctl (fd, SIOCOUTQ, &left))
    return;
  state.unanswered = info.tcpi_unacked || info.tcpi_probes;
  state.age = info.tcpi_last_ack_recv * MS_MSEC;
  s->unconfirmed = left || s->queued_bytes;
  if (!s->unconfirmed)
    state.unanswered = false;
  if (ms_ack_watch_update (&s->watch, &state, now))
    {
      if (s->owner)
        s->events->ended (s->owner, MS_CLOSE_BROKEN);
      else
        ms_socket_reset (s);
    }
  else if (s->closing && lingers (s, s->queued_bytes + (size_t)left, now))
    ms_socket_reset (s);
}

void
ms_sockets_sweep (ms_time now)
{
  struct ms_socket *s, *next;

  if (now >= checked_at && now - checked_at < CHECK_PERIOD)
    return;
  checked_at = now;
  DL_FOREACH_SAFE (sockets, s, next) { check_socket (s, now); }
}

#ifndef GATEWAY_SOCKET_H
#define GATEWAY_SOCKET_H

#include <monsoonspur/status.h>

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

#include "base/clock.h"

/* A TCP connection on the event loop.  Its owner is told of everything
   through a table of functions and must not free the socket: the socket frees
   itself once it is closed.  */

struct ms_socket;

struct ms_socket_events
{
  /* Connected, or not: MS_UNAVAILABLE.  Outgoing connections only.  */
  void (*connected) (void *owner, enum ms_status status);
  void (*read) (void *owner, const char *data, size_t length);

  /* The other side ended; ORDERLY unless the connection broke.  The owner
     closes the socket.  */
  void (*ended) (void *owner, bool orderly);

  /* What was written has left, after ms_socket_queued was above 0.  */
  void (*drained) (void *owner);
};

/* How an accepted or made connection is watched for silence.  */
#define MS_KEEPALIVE_IDLE_S 1
#define MS_KEEPALIVE_INTERVAL_S 1
#define MS_KEEPALIVE_PROBES 2
#define MS_UNACKED_LIMIT_MS 2000

/* Take the next connection of LISTENER; NULL if there is none.  */
struct ms_socket *ms_socket_accept (uv_stream_t *listener,
                                    const struct ms_socket_events *events,
                                    void *owner);

/* Connect to ADDRESS; the outcome comes by an event.  NULL if the system
   refuses a socket.  */
struct ms_socket *ms_socket_connect (uv_loop_t *loop,
                                     const struct sockaddr_in *address,
                                     const struct ms_socket_events *events,
                                     void *owner);

/* Listen at ADDRESS; BACKLOG connections may wait.  */
enum ms_status ms_socket_listen (uv_loop_t *loop, uv_tcp_t *listener,
                                 const struct sockaddr_in *address,
                                 int backlog, uv_connection_cb accept);

/* Send COUNT buffers; what does not leave at once is copied.  */
void ms_socket_write (struct ms_socket *socket, const uv_buf_t *buffers,
                      unsigned count);

/* Bytes written that have not left yet.  */
size_t ms_socket_queued (const struct ms_socket *socket);

/* Stop or go on reading.  */
void ms_socket_pause (struct ms_socket *socket);
void ms_socket_resume (struct ms_socket *socket);

/* Whether the other side has closed behind what was read so far.  */
bool ms_socket_half_closed (const struct ms_socket *socket);

/* Close after what was written has left; no event follows.  */
void ms_socket_close (struct ms_socket *socket);

/* Close at once with a reset; no event follows.  */
void ms_socket_reset (struct ms_socket *socket);

/* Sockets open now.  */
unsigned ms_socket_open_count (void);

#endif

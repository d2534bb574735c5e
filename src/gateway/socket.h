#ifndef GATEWAY_SOCKET_H
#define GATEWAY_SOCKET_H

#include <monsoonspur/status.h>

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

#include "base/clock.h"

/* A TCP connection on the event loop.  Its owner gets events through a table
   of callbacks, on the loop's thread.  The owner must not free the socket,
   which frees itself some time after its owner has closed or reset it.  */

struct ms_socket;

/* How a connection ended.  */
enum ms_close
{
  MS_CLOSE_ORDERLY,
  MS_CLOSE_THEN_RESET, /* In order; then it got bytes that it did not take.  */
  MS_CLOSE_BROKEN
};

struct ms_socket_events
{
  /* The connection was made: MS_OK, or could not be: MS_UNAVAILABLE.  For
     outgoing connections only.  */
  void (*connected) (void *owner, enum ms_status status);

  /* LENGTH bytes arrived; DATA is valid during the call.  */
  void (*read) (void *owner, const char *data, size_t length);

  /* The other side closed the connection, or it broke.  The owner then closes
     the socket.  */
  void (*ended) (void *owner, enum ms_close how);

  /* All queued bytes were sent: ms_socket_queued is 0 again.  */
  void (*drained) (void *owner);
};

/* Detection of hosts that vanish without closing the connection: a keepalive
   probe after IDLE_S of silence, which has INTERVAL_S for an answer, and
   ms_sockets_sweep for sent data.  TCP_USER_TIMEOUT is not used, as it also
   ends a connection whose other side acknowledges everything and only reads
   slowly.  */
#define MS_KEEPALIVE_IDLE_S 1
#define MS_KEEPALIVE_INTERVAL_S 1
#define MS_KEEPALIVE_PROBES 1

/* The other side has vanished if what was sent to it, or a probe of its closed
   window, is not acknowledged for this time.  The kernel probes a window that
   stays closed at doubling intervals, so that this time may begin as much
   later as the window was closed before.  */
#define MS_UNACKED_LIMIT (2 * MS_SEC)

/* A closed connection is reset, and what is queued discarded, when the other
   side has taken nothing for this time.  */
#define MS_LINGER_LIMIT (10 * MS_SEC)

/* What the kernel says of data on its way to the other side.  */
struct ms_ack_state
{
  bool unanswered; /* Data or a probe was sent that is not acknowledged.  */
  ms_time age;     /* Of the newest acknowledgement.  */
};

/* Since when something is unanswered; 0 if nothing is.  */
struct ms_ack_watch
{
  ms_time since;
};

/* Return whether, as of STATE at NOW, the other side has vanished.  Call it
   several times a second while something may be unanswered.  */
bool ms_ack_watch_update (struct ms_ack_watch *watch,
                          const struct ms_ack_state *state, ms_time now);

/* End connections whose other side has vanished, with an ended event, and
   closed ones whose other side has taken nothing for MS_LINGER_LIMIT.  Call it
   several times a second with the current time NOW.  */
void ms_sockets_sweep (ms_time now);

/* Accept the next connection of LISTENER and start to read.  NULL on
   failure.  */
struct ms_socket *ms_socket_accept (uv_stream_t *listener,
                                    const struct ms_socket_events *events,
                                    void *owner);

/* The same for a connection that waits in the backlog of LISTENER, whether its
   callback was called or not.  NULL also if none waits.  */
struct ms_socket *
ms_socket_accept_waiting (uv_tcp_t *listener,
                          const struct ms_socket_events *events, void *owner);

/* Start to connect to ADDRESS; the connected event gives the outcome.  NULL if
   no socket can be created.  */
struct ms_socket *ms_socket_connect (uv_loop_t *loop,
                                     const struct sockaddr_in *address,
                                     const struct ms_socket_events *events,
                                     void *owner);

/* Initialize LISTENER and listen at ADDRESS with at most BACKLOG connections
   that wait to be accepted; ACCEPT is called for each.  MS_UNAVAILABLE on
   failure.  */
enum ms_status ms_socket_listen (uv_loop_t *loop, uv_tcp_t *listener,
                                 const struct sockaddr_in *address,
                                 int backlog, uv_connection_cb accept);

/* Send COUNT BUFFERS.  What the kernel does not take at once is copied and
   queued; if libuv cannot queue it, it is dropped without an event.  */
void ms_socket_write (struct ms_socket *socket, const uv_buf_t *buffers,
                      unsigned count);

/* Bytes that are queued: written by the owner, not yet taken by the kernel. */
size_t ms_socket_queued (const struct ms_socket *socket);

/* Such bytes of all accepted connections, closed ones included.  */
size_t ms_sockets_queued_accepted (void);

/* Reset the closed connection for which the most bytes are queued, and return
   how many; 0 if there is none.  They are freed soon after.  */
size_t ms_sockets_reset_closed (void);

/* Stop reading, or start again.  */
void ms_socket_pause (struct ms_socket *socket);
void ms_socket_resume (struct ms_socket *socket);

/* How long ago the newest data from the other side arrived at this machine,
   whether it was read or not.  Times below 20 ms, which the kernel does not
   measure well, count as 0, and so does an unknown time.  */
ms_time ms_socket_data_age (const struct ms_socket *socket);

/* Whether reading was stopped by ms_socket_pause.  */
bool ms_socket_paused (const struct ms_socket *socket);

/* Whether the other side has closed its direction or reset the connection,
   even if data that it sent before that was not read yet.  */
bool ms_socket_hung_up (const struct ms_socket *socket);

/* Close the connection once the queued bytes are sent.  No event follows.  */
void ms_socket_close (struct ms_socket *socket);

/* Close the connection at once with a TCP reset and discard queued bytes.  No
   event follows.  */
void ms_socket_reset (struct ms_socket *socket);

/* Make the kernel reset the connection when the process ends before
   ms_socket_close has taken effect, which closes it in order all the same.  */
void ms_socket_reset_at_exit (struct ms_socket *socket);

/* Whether bytes have arrived that were not read yet.  */
bool ms_socket_has_data (const struct ms_socket *socket);

/* Number of open sockets in the process, without listeners.  */
unsigned ms_socket_open_count (void);

#endif

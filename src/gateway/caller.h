#ifndef GATEWAY_CALLER_H
#define GATEWAY_CALLER_H

#include "gateway/gateway.h"

/* A caller's connection: reads requests one after another and writes the
   response to each, which the request code supplies piece by piece.  Limits
   the header and body size, the time and the memory that callers can take, and
   the number of connections.  Runs on the event loop's thread.  A caller frees
   itself once its connection is closed and its request has ended.  */

/* Accept a connection that waits at LISTENER, whose data is the gateway.
   STATUS is below 0 if the listener failed.  */
void ms_callers_accept (uv_stream_t *listener, int status);

/* Accept all connections that wait at the callers' port, which is about to be
   closed: closing it would reset them, with the requests that they have sent.
 */
void ms_callers_accept_waiting (struct ms_gateway *gw);

/* Close connections that were idle for too long, refuse requests that arrive
   too slowly, end those of callers that have disconnected while their
   connection is not read, close more idle connections while too many sockets
   are open, and end callers that read slowly if there is no room for what
   waits for them. Called by each sweep of all connections, several times a
   second, with the current time NOW.  */
void ms_callers_sweep (struct ms_gateway *gw, ms_time now);

/* Close idle connections after SIGTERM.  Return how many stay open because of
   a request, which may be incomplete or unread.  */
unsigned ms_callers_close_idle (struct ms_gateway *gw);

/* Headers and body of CALLER's current request, valid until its response is
   complete.  */
const struct ms_head *ms_caller_head (const struct ms_caller *caller);
struct ms_str ms_caller_body (const struct ms_caller *caller);

/* When the first byte of CALLER's current request arrived, as far as it is
   known, or a later time: it may have waited unread, and the rest may have
   taken long to arrive.  */
ms_time ms_caller_sent_at (const struct ms_caller *caller);

/* How the end of a response body is marked.  */
enum ms_framing
{
  MS_FRAMED_NONE, /* There is no body.  */
  MS_FRAMED_LENGTH,
  MS_FRAMED_CHUNKS,
  MS_FRAMED_CLOSE /* By closing the connection.  Until then the kernel resets
                     the connection if the process ends, so that a body that is
                     cut off does not look complete.  */
};

/* Whether the caller has closed its connection, even if the event loop has not
   reported that yet.  */
bool ms_caller_has_closed (const struct ms_caller *caller);

/* Start the response with the status and end-to-end headers of the endpoint's
   HEAD.  LENGTH is the length of the body in bytes; only MS_FRAMED_LENGTH uses
   it.  */
void ms_caller_start_response (struct ms_caller *caller,
                               const struct ms_head *head,
                               enum ms_framing framing, uint64_t length);

/* Append LENGTH bytes of DATA to the response body.  They are copied;
   ms_caller_flush sends them.  */
void ms_caller_append_body (struct ms_caller *caller, const char *data,
                            size_t length);

/* Write what was appended so far to the connection.  Return false if there is
   no room for more of the response and the endpoint should be paused;
   ms_request_caller_drained is called when it may be resumed.  */
bool ms_caller_flush (struct ms_caller *caller);

/* End the response.  CALLER is freed if its connection is closed; else its
   next request may start before this function returns.  */
void ms_caller_end_response (struct ms_caller *caller);

/* Reset the connection, since the response cannot be completed.  CALLER is
   freed.  */
void ms_caller_abort (struct ms_caller *caller);

/* Send a complete error response with STATUS and REASON of the gateway's own.
   RETRY_AFTER is the time after which the caller should retry, rounded to ms;
   0 to send no Retry-After header.  Closes the connection if STATUS is 503.
   CALLER may be freed as by ms_caller_end_response.  */
void ms_caller_refuse (struct ms_caller *caller, unsigned status,
                       const char *reason, ms_time retry_after);

#endif

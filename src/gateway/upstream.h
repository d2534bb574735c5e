#ifndef GATEWAY_UPSTREAM_H
#define GATEWAY_UPSTREAM_H

#include "gateway/gateway.h"

/* Pooled HTTP connections to endpoints.  Each carries one request at a time
   and is reused for the next one if the endpoint keeps it open.  Runs on the
   event loop's thread; connections belong to the pool of their endpoint and
   are only lent to requests.  */

struct ms_upstream;

enum ms_upstream_error
{
  MS_UPSTREAM_CONNECT,  /* Could not connect; nothing was sent.  */
  MS_UPSTREAM_BROKEN,   /* The connection ended before the response did.  */
  MS_UPSTREAM_BAD_BYTES /* What was received is not a valid response.  */
};

/* Return an idle or a new connection to ENDPOINT for REQUEST, or NULL if no
   socket can be opened.  ID is the hash of the request's id; an idle
   connection on which a request with the same id was refused is not used, as
   that refusal may come once more.  Unless ms_upstream_connected is true of
   it, either ms_request_upstream_connected or ms_request_upstream_failed is
   called later, never before this function returns.  */
struct ms_upstream *ms_upstream_open (struct ms_gateway *gw,
                                      struct ms_endpoint_state *endpoint,
                                      struct ms_request *request, uint64_t id);

/* Whether a request can be sent on UPSTREAM now.  */
bool ms_upstream_connected (const struct ms_upstream *upstream);

/* Send the COUNT BUFFERS of a request; what cannot be written at once is
   copied.  */
void ms_upstream_send (struct ms_upstream *upstream, const uv_buf_t *buffers,
                       unsigned count);

/* Stop or resume reading the response, while the caller is slow.  */
void ms_upstream_pause (struct ms_upstream *upstream);
void ms_upstream_resume (struct ms_upstream *upstream);

/* Return UPSTREAM to its pool after its request ended.  It is kept for reuse
   if request and response were transferred completely, the endpoint keeps the
   connection open, is listed and is not leaving; else it is closed, which
   makes the endpoint stop running the request.  */
void ms_upstream_release (struct ms_upstream *upstream);

/* Close connections that have been idle for too long and idle ones to
   endpoints that are no longer listed, and fail those that take too long to
   connect.  Called by each sweep of all connections, several times a second,
   with the current time NOW.  */
void ms_upstreams_sweep (struct ms_gateway *gw, ms_time now);

#endif

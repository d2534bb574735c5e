#ifndef GATEWAY_UPSTREAM_H
#define GATEWAY_UPSTREAM_H

#include "gateway/gateway.h"

/* Connections to endpoints.  Each carries one request at a time and is kept
   for the next one when the endpoint allows it.  */

struct ms_upstream;

enum ms_upstream_error
{
  MS_UP_CONNECT,  /* No connection; nothing was sent.  */
  MS_UP_BROKEN,   /* The connection broke off.  */
  MS_UP_BAD_BYTES /* What came is no answer to the request.  */
};

/* Get a connection to ENDPOINT for REQUEST.  Unless ms_upstream_connected
   says that it can be used at once, the request is told by ms_request_ready or
   ms_request_failed.  Never calls back before it returns.  NULL if none can be
   had.  */
struct ms_upstream *ms_upstream_open (struct ms_gateway *gw,
                                      struct ms_endpoint_state *endpoint,
                                      struct ms_request *request);

bool ms_upstream_connected (const struct ms_upstream *upstream);

/* Send the request.  */
void ms_upstream_send (struct ms_upstream *upstream, const uv_buf_t *buffers,
                       unsigned count);

/* Stop or go on reading the answer.  */
void ms_upstream_pause (struct ms_upstream *upstream);
void ms_upstream_resume (struct ms_upstream *upstream);

/* The request is over: keep the connection if the answer was read to its
   end, else close it, which makes the endpoint stop.  */
void ms_upstream_release (struct ms_upstream *upstream);

/* Close the connections that were idle for too long, and all to endpoints
   that are listed no more.  */
void ms_upstreams_tick (struct ms_gateway *gw, ms_time now);

#endif

#ifndef GATEWAY_PAGES_H
#define GATEWAY_PAGES_H

#include "gateway/gateway.h"

/* HTTP pages of the router itself: readiness, the directory of routers for
   callers, metrics, and the relay of store topics to peers.  Each listener
   that uses ms_pages_accept serves all of them.  */

/* Connection callback of libuv: accept a connection from LISTENER, whose data
   field points to the gateway.  STATUS is not 0 on error.  */
void ms_pages_accept (uv_stream_t *listener, int status);

#endif

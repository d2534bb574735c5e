#ifndef GATEWAY_PAGES_H
#define GATEWAY_PAGES_H

#include "gateway/gateway.h"

/* HTTP pages that the gateway answers itself: readiness, the directory of
   routers for callers, and at the control address metrics and the relay of
   store topics to peers.  Any of its listeners serves all pages.  */

/* Connection callback of libuv: accept a connection from LISTENER, whose data
   field points to the gateway.  STATUS is not 0 on error.  */
void ms_pages_accept (uv_stream_t *listener, int status);

#endif

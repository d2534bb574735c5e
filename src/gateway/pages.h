#ifndef GATEWAY_PAGES_H
#define GATEWAY_PAGES_H

#include "gateway/gateway.h"

/* The small pages beside the callers' requests: readiness, the directory, and
   on the control address what peers relay and metrics.  */

/* Accept the connections that wait at LISTENER, whose data is the gateway. */
void ms_pages_accept (uv_stream_t *listener, int status);

#endif

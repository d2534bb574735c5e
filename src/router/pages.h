#ifndef ROUTER_PAGES_H
#define ROUTER_PAGES_H

#include <civetweb.h>

#include "router/router.h"

/* Add the handlers of /v1/addresses, /healthz, /metrics, /v1/status,
   /v1/explain/ and /v1/drain to SERVER.  They run on its threads and take
   ROUTER's lock.  */
void ms_pages_add (struct mg_context *server, struct ms_router *router);

#endif

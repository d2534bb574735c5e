#ifndef ROUTER_PAGES_H
#define ROUTER_PAGES_H

#include <civetweb.h>

#include "router/router.h"

/* Add the pages for callers and operators: addresses, health, metrics,
   status, explanations and drain.  */
void ms_pages_add (struct mg_context *server, struct ms_router *router);

#endif

#ifndef ROUTER_INBOUND_H
#define ROUTER_INBOUND_H

#include "router/attempt.h"

/* Requests to services have paths that begin so.  */
#define MS_SERVICES_PREFIX "/services/"

/* One request as parsed, before it is handed to the decisions.  */
struct ms_parsed
{
  struct ms_arrival arrival;
  struct ms_inbound inbound;
  char service[MS_NAME_BYTES];
  char path[2048];
  const char *team;
  char *body;
};

/* Parse the request of CONNECTION into PARSED, but for its body.  Returns an
   HTTP status if it is refused, 0 if not.  */
int ms_inbound_parse (struct ms_router *router,
                      struct mg_connection *connection,
                      struct ms_parsed *parsed);

/* Read the body and fill in the rest; the same result.  */
int ms_inbound_read (struct ms_router *router,
                     struct mg_connection *connection,
                     struct ms_parsed *parsed);

#endif

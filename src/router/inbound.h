#ifndef ROUTER_INBOUND_H
#define ROUTER_INBOUND_H

#include "router/attempt.h"

/* Parsing, authorization and reading of callers' requests.  */

/* Path prefix of requests to services: "/services/SERVICE/PATH".  */
#define MS_SERVICES_PREFIX "/services/"

/* A caller's request: its description for the node and the parts that are
   forwarded.  TEAM and the strings of INBOUND point into this struct, to BODY
   or into the connection.  */
struct ms_parsed_request
{
  struct ms_arrival arrival;
  struct ms_inbound inbound;
  char service[MS_NAME_BYTES];
  char path[2048]; /* What inbound.path points to.  */
  const char *team;
  char *body; /* Owned; NULL if no body was read.  */
};

/* Parse the path and headers of CONNECTION's request into PARSED, whose
   request number is already set, and check the team's API key.  Returns 0, or
   the HTTP status to refuse with: 400 for a malformed path or a missing team,
   401 for a missing or wrong API key.  */
int ms_inbound_parse (struct ms_router *router,
                      struct mg_connection *connection,
                      struct ms_parsed_request *parsed);

/* Read the body and fill in the rest of PARSED: the body, the arrival and the
   traceparent.  Returns 0, or the HTTP status to refuse with: 413 for a body
   above 1 MiB, 400 for one shorter than announced.  The calling function frees
   PARSED's body in any case.  */
int ms_inbound_read (struct ms_router *router,
                     struct mg_connection *connection,
                     struct ms_parsed_request *parsed);

#endif

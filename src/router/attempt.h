#ifndef ROUTER_ATTEMPT_H
#define ROUTER_ATTEMPT_H

#include "router/router.h"

#include <civetweb.h>

/* One attempt at a request: an HTTP exchange with the endpoint that the node
   chose, run on the request's caller thread (see router.h).  */

/* The parts of a caller's request that are forwarded to an endpoint.  */
struct ms_inbound
{
  struct mg_connection *connection;
  const char *method;
  const char *path; /* What follows the service's name, with the query.  */
  const char *content_type;
  const char *body;
  size_t body_length;
  char request_id[96];
  char traceparent[64]; /* Value of the W3C header of this name.  */
};

/* An endpoint's response.  An event stream is forwarded as it arrives; the
   body of any other response is buffered until it is complete, so that a
   failed attempt can be repeated without the caller seeing part of it.  */
struct ms_endpoint_response
{
  long code; /* HTTP status once the attempt has ended; before that 200 while
                a stream is forwarded, otherwise 0.  */
  char content_type[128];
  char *body;
  size_t length;
  uint32_t cost; /* Cost units by the Monsoonspur-Cost header, or 0.  */
  bool streamed; /* Sending a stream to the caller has begun.  */
};

/* Run the attempt that CALL describes and set END to its result, cost and
   duration.  RESPONSE, which must be all zero, receives the endpoint's
   response.  The calling thread must not hold the router's lock.  */
void ms_attempt_run (struct ms_router *router, struct ms_call *call,
                     const struct ms_inbound *inbound,
                     struct ms_endpoint_response *response,
                     struct ms_attempt_end *end);

/* Free RESPONSE's body and reset all its fields.  */
void ms_endpoint_response_clear (struct ms_endpoint_response *response);

#endif

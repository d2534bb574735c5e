#ifndef ROUTER_ATTEMPT_H
#define ROUTER_ATTEMPT_H

#include "router/router.h"

#include <civetweb.h>

/* What a caller sent, as it is passed on to an endpoint.  */
struct ms_inbound
{
  struct mg_connection *connection;
  const char *method;
  const char *path; /* From the slash after the service on, with the query.  */
  const char *content_type;
  const char *body;
  size_t body_length;
  char request_id[96];
  char trace[64]; /* W3C trace and parent identifiers.  */
};

/* An endpoint's answer that is held back until it is whole.  */
struct ms_held
{
  long code;
  char content_type[128];
  char *body;
  size_t length;
  uint32_t cost;
  bool streamed; /* It went to the caller as it came.  */
};

/* Run CALL's pending attempt and describe its END; HELD gets the answer.  */
void ms_attempt_run (struct ms_router *router, struct ms_call *call,
                     const struct ms_inbound *inbound, struct ms_held *held,
                     struct ms_attempt_end *end);

void ms_held_clear (struct ms_held *held);

#endif

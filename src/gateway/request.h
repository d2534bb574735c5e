#ifndef GATEWAY_REQUEST_H
#define GATEWAY_REQUEST_H

#include "admit/waiting.h"
#include "gateway/gateway.h"
#include "gateway/upstream.h"

/* Handles one request, from when it is received completely to the end of its
   response: finds the route, checks the key, tries endpoints, enforces
   deadlines and passes the response on.  Each request gets exactly one
   response or a reset connection.  A request frees itself when it ends, so any
   function here may free its argument.  Runs on the event loop's thread.  */

/* Start the complete request that CALLER sent.  Return NULL if it has ended
   already.  */
struct ms_request *ms_request_begin (struct ms_gateway *gw,
                                     struct ms_caller *caller);

/* Called when the caller has closed its connection: end the request.  */
void ms_request_caller_gone (struct ms_request *request);

/* Called when there is room for more of the response: resume reading it if
   that was stopped.  */
void ms_request_caller_drained (struct ms_request *request);

/* Called when there is no room for the response: end the request.  */
void ms_request_no_room (struct ms_request *request);

/* Whether the request may be run more than once: it is idempotent or a stream
   that can be resumed.  */
bool ms_request_may_repeat (const struct ms_request *request);

/* The functions below are called by the request's upstream.  */

/* The connection to the endpoint is open: send the request.  */
void ms_request_upstream_connected (struct ms_request *request);

/* The connection failed with ERROR; the upstream closes itself.  */
void ms_request_upstream_failed (struct ms_request *request,
                                 enum ms_upstream_error error);

/* The response's HEAD was received.  It stays in place until the response
   ends, but trailer fields may move its strings (see struct ms_head).  Return
   false if it carries another request's id; the response is ignored then.  */
bool ms_request_response_head (struct ms_request *request,
                               const struct ms_head *head);

/* LENGTH bytes of DATA of the response's body were received.  */
void ms_request_response_body (struct ms_request *request, const char *data,
                               size_t length);

/* The received bytes are processed: write what can be passed on to the caller,
   and pause the upstream if the caller is too slow.  */
void ms_request_flush_response (struct ms_request *request);

/* The response is complete.  The request must release the upstream.  */
void ms_request_response_complete (struct ms_request *request);

/* Create the queue of requests that wait for free capacity at an endpoint.  */
struct ms_waiting *ms_requests_create_queue (void);

/* End requests whose deadline or timeout has passed at NOW, and try to place
   those that wait.  */
void ms_requests_tick (struct ms_gateway *gw, ms_time now);

/* End all requests because the process leaves: one that may have run with 502,
   any other with 503, and one whose response has begun by a reset.  */
void ms_requests_end (struct ms_gateway *gw);

#endif

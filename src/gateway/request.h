#ifndef GATEWAY_REQUEST_H
#define GATEWAY_REQUEST_H

#include "admit/waiting.h"
#include "gateway/gateway.h"
#include "gateway/upstream.h"

/* One request from the caller's last byte to its one answer: routing, keys,
   attempts at endpoints, deadlines, the way back.  */

/* CALLER sent a whole request.  NULL if it was answered at once.  */
struct ms_request *ms_request_begin (struct ms_gateway *gw,
                                     struct ms_caller *caller);

/* The caller closed its connection.  */
void ms_request_caller_gone (struct ms_request *request);

/* The caller has taken what waited for it.  */
void ms_request_caller_drained (struct ms_request *request);

/* The connection to the endpoint can be used.  */
void ms_request_ready (struct ms_request *request);

/* The connection failed; it is closed by its owner.  */
void ms_request_failed (struct ms_request *request,
                        enum ms_upstream_error error);

/* The answer's head came; false if it answers another request.  */
bool ms_request_head (struct ms_request *request, const struct ms_head *head);
void ms_request_body (struct ms_request *request, const char *data,
                      size_t length);
void ms_request_flush (struct ms_request *request);

/* The answer is whole; the request has to release the connection.  */
void ms_request_end (struct ms_request *request);

/* The queue of requests for which there is no room.  */
struct ms_waiting *ms_requests_waiting (void);

/* End what ran out of time, and place what waits.  */
void ms_requests_tick (struct ms_gateway *gw, ms_time now);

#endif

#ifndef ROUTER_ANSWER_H
#define ROUTER_ANSWER_H

#include "router/inbound.h"

/* Final answers to callers.  */

/* Answer on CONNECTION with HTTP status CODE and a problem document
   (application/problem+json) whose title is REASON.  REQUEST_ID and OUTCOME
   are stated in the document and in headers.  RETRY_AFTER, rounded up to
   seconds, becomes the Retry-After header; 0 leaves it out.  */
void ms_answer_problem (struct mg_connection *connection,
                        const char *request_id, int code,
                        enum ms_outcome outcome, const char *reason,
                        ms_time retry_after);

/* Send the caller of PARSED the final answer of CALL: RESPONSE, a problem
   document, or the trailer of a stream that was already forwarded.  A stream
   that broke off gets no trailer.  */
void ms_answer_call (const struct ms_parsed_request *parsed,
                     const struct ms_call *call,
                     const struct ms_endpoint_response *response);

#endif

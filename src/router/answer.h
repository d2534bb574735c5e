#ifndef ROUTER_ANSWER_H
#define ROUTER_ANSWER_H

#include "router/inbound.h"

/* Answer with an HTTP status and a problem document that names REASON.  */
void ms_answer_problem (struct mg_connection *connection,
                        const char *request_id, int code,
                        enum ms_outcome outcome, const char *reason,
                        ms_time retry_after);

/* Give the caller what CALL came to; HELD is its answer, if there is one.  */
void ms_answer_call (const struct ms_parsed *parsed,
                     const struct ms_call *call, const struct ms_held *held);

#endif

#ifndef GATEWAY_CALLER_H
#define GATEWAY_CALLER_H

#include "gateway/gateway.h"

/* A caller's connection: reads one request after another, and writes the
   answer that the request's part of the gateway gives.  */

/* Accept the connections that wait at LISTENER, whose data is the gateway.  */
void ms_callers_accept (uv_stream_t *listener, int status);

/* Close connections that were idle or sent too slowly.  */
void ms_callers_tick (struct ms_gateway *gw, ms_time now);

/* Close idle connections after SIGTERM; returns how many stay open.  */
unsigned ms_callers_close_idle (struct ms_gateway *gw);

/* The request that waits for its answer.  */
const struct ms_head *ms_caller_head (const struct ms_caller *caller);
struct ms_str ms_caller_body (const struct ms_caller *caller);

/* How the end of an answer's body is told.  */
enum ms_framing
{
  MS_FRAMED_LENGTH,
  MS_FRAMED_CHUNKS,
  MS_FRAMED_CLOSE /* By closing: the endpoint told no length either, so that
                     whether the body is whole is not known here.  */
};

/* Whether the caller has closed its connection, though that was not read
   yet.  */
bool ms_caller_left (const struct ms_caller *caller);

/* Begin the answer with the STATUS and headers of HEAD.  With
   MS_FRAMED_LENGTH, LENGTH bytes follow.  */
void ms_caller_answer (struct ms_caller *caller, const struct ms_head *head,
                       enum ms_framing framing, uint64_t length);
void ms_caller_send (struct ms_caller *caller, const char *data,
                     size_t length);

/* Let what was given so far leave.  Returns whether more is welcome; if not,
   the request is told by ms_request_caller_drained.  */
bool ms_caller_flush (struct ms_caller *caller);

/* The answer is complete.  */
void ms_caller_end (struct ms_caller *caller);

/* The answer cannot be completed: the connection is reset.  */
void ms_caller_abort (struct ms_caller *caller);

/* Answer with STATUS of the gateway's own.  RETRY_AFTER is the time after
   which the caller should come again; 0 for none.  */
void ms_caller_refuse (struct ms_caller *caller, unsigned status,
                       const char *reason, ms_time retry_after);

#endif

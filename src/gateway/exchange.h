#ifndef GATEWAY_EXCHANGE_H
#define GATEWAY_EXCHANGE_H

#include <monsoonspur/status.h>

#include <netinet/in.h>
#include <uv.h>

#include "base/clock.h"
#include "base/str.h"
#include "wire/message.h"

/* An HTTP client for short calls to the store, to other routers and to
   endpoints: one call
   at a time, over a connection that is kept while the server stays the same.
   Runs on the event loop's thread.  */

struct ms_exchange;

/* Receives the result of a call: MS_OK with the response's status CODE and its
   BODY, which is valid during the call of DONE only; or MS_UNAVAILABLE if
   there was no complete response, in which case the server may or may not have
   acted on the call.  SENT_AT is the time at which the call was made.  */
typedef void ms_exchange_done (void *context, enum ms_status status,
                               unsigned code, struct ms_str body,
                               ms_time sent_at);

struct ms_exchange *ms_exchange_create (uv_loop_t *loop,
                                        const struct ms_clock *clock);

/* Free EXCHANGE, which may be NULL.  The done function of a call in progress
   is not called.  */
void ms_exchange_destroy (struct ms_exchange *exchange);

/* Let TAKE be called with CONTEXT and the head of each response, before the
   done function of its call, which may not be called with MS_OK.  */
typedef void ms_exchange_head (void *context, const struct ms_head *head);
void ms_exchange_on_head (struct ms_exchange *exchange, ms_exchange_head *take,
                          void *context);

/* Let calls fail whose response has a body of more than SIZE bytes; 8 MiB
   otherwise.  */
void ms_exchange_limit_body (struct ms_exchange *exchange, size_t size);

/* Whether a call is in progress.  */
bool ms_exchange_busy (const struct ms_exchange *exchange);

/* The era of the store (plat_decode_era) that the answer to the last call
   states; 0 if there was no answer or it states none.  */
uint64_t ms_exchange_era (const struct ms_exchange *exchange);

/* Send METHOD PATH with BODY, which may be empty and is copied, to SERVER.
   EXCHANGE must not be busy.  DONE is called once with CONTEXT, after TIMEOUT
   microseconds at the latest and never before this function returns.  */
void ms_exchange_call (struct ms_exchange *exchange,
                       const struct sockaddr_in *server, const char *method,
                       const char *path, struct ms_str body, ms_time timeout,
                       ms_exchange_done *done, void *context);

#endif

#ifndef GATEWAY_EXCHANGE_H
#define GATEWAY_EXCHANGE_H

#include <monsoonspur/status.h>

#include <netinet/in.h>
#include <uv.h>

#include "base/clock.h"
#include "base/str.h"

/* Short HTTP calls to one server at a time, one call at a time, over a kept
   connection.  */

struct ms_exchange;

/* The call's outcome: MS_OK with the answer's CODE and BODY, or MS_UNAVAILABLE
   if there was no whole answer, which leaves open what the call did.  SENT_AT
   is the time at which the call was made.  */
typedef void ms_exchange_done (void *context, enum ms_status status,
                               unsigned code, struct ms_str body,
                               ms_time sent_at);

struct ms_exchange *ms_exchange_create (uv_loop_t *loop,
                                        const struct ms_clock *clock);

/* Free the exchange; a call in progress ends without word.  */
void ms_exchange_destroy (struct ms_exchange *exchange);

bool ms_exchange_busy (const struct ms_exchange *exchange);

/* Call METHOD PATH at SERVER with BODY, which may be empty.  DONE is called
   once, at the latest after TIMEOUT, never before this returns.  */
void ms_exchange_call (struct ms_exchange *exchange,
                       const struct sockaddr_in *server, const char *method,
                       const char *path, struct ms_str body, ms_time timeout,
                       ms_exchange_done *done, void *context);

#endif

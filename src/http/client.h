#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <monsoonspur/status.h>

#include <stddef.h>

/* Small HTTP exchanges with the platform and with endpoints' load pages.  */

/* A reply body, NUL-terminated and owned by the caller.  */
struct ms_reply
{
  long code;
  char *body;
  size_t length;
};

/* Send a request with METHOD and optional BODY to URL and await the whole
   reply, at most TIMEOUT_MS milliseconds.  MS_UNAVAILABLE if none came: then
   the request may or may not have had its effect.  */
enum ms_status ms_http_exchange (const char *method, const char *url,
                                 const char *body, long timeout_ms,
                                 struct ms_reply *reply);

/* Send a request without a body, with KEY as bearer token if not NULL.  */
enum ms_status ms_http_exchange_with_key (const char *method, const char *url,
                                          const char *key, long timeout_ms,
                                          struct ms_reply *reply);

void ms_reply_clear (struct ms_reply *reply);

#endif

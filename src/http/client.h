#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <monsoonspur/status.h>

#include <stddef.h>

/* Blocking HTTP/1.1 client for short exchanges with the platform, with a
   router's pages and with the load pages of endpoints.  May be used by any
   thread.  */

struct ms_reply
{
  long code;     /* HTTP status.  */
  char *body;    /* NUL-terminated and owned; NULL if empty.  */
  size_t length; /* Of the body, in bytes.  */
};

/* Send a request with METHOD to URL, with BODY unless it is NULL, and wait at
   most TIMEOUT_MS for the whole reply.  MS_OK for every HTTP status; the
   caller then clears REPLY.  MS_UNAVAILABLE if no whole, valid reply arrived
   or its body exceeds 64 MiB: the request may or may not have taken effect. */
enum ms_status ms_http_exchange (const char *method, const char *url,
                                 const char *body, long timeout_ms,
                                 struct ms_reply *reply);

/* The same for a request without a body; KEY, unless it is NULL, is sent as
   bearer token.  */
enum ms_status ms_http_exchange_with_key (const char *method, const char *url,
                                          const char *key, long timeout_ms,
                                          struct ms_reply *reply);

/* Free REPLY's body; the status stays.  */
void ms_reply_clear (struct ms_reply *reply);

#endif

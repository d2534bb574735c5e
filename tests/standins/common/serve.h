#ifndef STANDINS_COMMON_SERVE_H
#define STANDINS_COMMON_SERVE_H

#include <civetweb.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/* The HTTP server that all stand-ins share.  */

/* A handler for the paths that match PATTERN, in the syntax of CivetWeb.  */
struct standin_handler
{
  const char *pattern;
  mg_request_handler handle;
};

/* Whether connections are kept open after an answer.  If not, they are closed
   without a word, and a request that comes meanwhile is lost.  */
extern bool standin_keep_alive;

/* Serve COUNT HANDLERS on ADDRESS, "IP:PORT", with THREADS threads (a decimal
   number) until SIGTERM or SIGINT, which end the process with status 0 without
   waiting for open requests.  Returns only if the server cannot be started,
   for example because ADDRESS is in use, with 1 for the exit status.  */
int standin_serve (const char *address, const char *threads,
                   const struct standin_handler *handlers, size_t count);

/* Answer 200 with OBJECT, whose reference is taken over.  Returns 1, as
   CivetWeb expects of a handler that has answered.  */
int standin_send_json (struct mg_connection *connection, json_t *object);

/* Read the request's body up to LIMIT bytes.  Returns it NUL-terminated; the
   caller frees it.  The number of bytes read is not returned; the request's
   Content-Length gives it only if the body came in full and is no longer than
   LIMIT.  */
char *standin_read_body (struct mg_connection *connection, size_t limit);

#endif

#ifndef STANDINS_COMMON_SERVE_H
#define STANDINS_COMMON_SERVE_H

#include <civetweb.h>
#include <jansson.h>
#include <stddef.h>

/* A handler for paths that match PATTERN.  */
struct standin_handler
{
  const char *pattern;
  mg_request_handler handle;
};

/* Serve the COUNT handlers on ADDRESS until told to end; returns the exit
   status.  */
int standin_serve (const char *address, const char *threads,
                   const struct standin_handler *handlers, size_t count);

/* Answer 200 with OBJECT, which is released.  */
int standin_send_json (struct mg_connection *connection, json_t *object);

/* The request's body of at most LIMIT bytes, NUL-terminated; the caller frees
   it.  */
char *standin_read_body (struct mg_connection *connection, size_t limit);

#endif

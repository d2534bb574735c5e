#ifndef WIRE_MESSAGE_H
#define WIRE_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/* Incremental parser of HTTP/1.1 requests and responses.  It bounds the size
   of the head and rejects messages whose length is ambiguous, which could be
   used to smuggle a second request past the gateway, fields whose name is no
   token, responses whose status is not within 100 to 599, and those that
   switch protocols.  */

/* Most headers and trailer fields, taken together, of one message; a message
   with more of them is too large.  */
#define MS_MAX_HEADERS 64

struct ms_header
{
  struct ms_str name;
  struct ms_str value;
};

/* Start line and headers of a message, without the trailer fields of a chunked
   body, which are dropped.  The strings stay valid until the parser is reset
   or destroyed.  */
struct ms_head
{
  struct ms_str method; /* Of a request.  */
  struct ms_str target; /* Of a request.  */
  unsigned status;      /* Of a response.  */
  struct ms_header headers[MS_MAX_HEADERS];
  unsigned headers_count;
  bool has_length;         /* There is a Content-Length header.  */
  uint64_t content_length; /* 0 without it.  */
  bool chunked;
  bool takes_chunks; /* Of a request: the response may be sent in chunks.  */
  bool keep_alive;   /* The connection stays open after the message.  */
};

/* Whether a response with STATUS promises its caller that the request has not
   run and never will, so that it may be sent again: 408, 421, 429 and 503. */
bool ms_status_promises_not_run (unsigned status);

/* The value of the first header called NAME, without regard to case; an empty
   string with data NULL if there is none.  */
struct ms_str ms_head_find (const struct ms_head *head, const char *name);

/* Whether NAME is the header name WANTED, without regard to case.  */
bool ms_header_is (struct ms_str name, const char *wanted);

/* Callbacks of a parser; those that are NULL are skipped.  BODY is called for
   each piece of the body, with chunked framing removed; its DATA is valid
   during the call.  END is called once the message is complete.  */
struct ms_message_sink
{
  void (*head) (void *context, const struct ms_head *head);
  void (*body) (void *context, const char *data, size_t length);
  void (*end) (void *context);
};

enum ms_parse
{
  MS_PARSE_MORE,      /* The message is incomplete so far.  */
  MS_PARSE_COMPLETE,  /* It is complete; bytes after it are not consumed.  */
  MS_PARSE_TOO_LARGE, /* Head and trailer fields exceed a limit.  */
  MS_PARSE_BAD        /* The bytes are not a valid message.  */
};

struct ms_parser;

/* Create a parser of requests if REQUESTS, else of responses, that allows
   HEAD_LIMIT bytes of target, header names and values, trailer fields
   included.  It calls SINK with CONTEXT; SINK is borrowed.  */
struct ms_parser *ms_parser_create (bool requests, size_t head_limit,
                                    const struct ms_message_sink *sink,
                                    void *context);
void ms_parser_destroy (struct ms_parser *parser);

/* Forget the current message and start with the next one.  */
void ms_parser_reset (struct ms_parser *parser);

/* Parse LENGTH bytes of DATA, at most up to the end of the current message,
   and set *USED to the number of bytes consumed.  */
enum ms_parse ms_parser_feed (struct ms_parser *parser, const char *data,
                              size_t length, size_t *used);

/* Note that the sender has closed the connection.  Return MS_PARSE_COMPLETE if
   that ends the message, as for a response without a length; MS_PARSE_BAD if
   the message is cut off; MS_PARSE_MORE if none had started.  */
enum ms_parse ms_parser_close (struct ms_parser *parser);

/* Whether part of a message was seen since the last reset.  */
bool ms_parser_started (const struct ms_parser *parser);

/* Whether the head of the current message is complete.  */
bool ms_parser_has_head (const struct ms_parser *parser);

/* The head of the current message; valid if ms_parser_has_head.  */
const struct ms_head *ms_parser_head (const struct ms_parser *parser);

#endif

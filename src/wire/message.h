#ifndef WIRE_MESSAGE_H
#define WIRE_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/* Parsing of HTTP/1.1 messages as they arrive, for both directions.  */

#define MS_MAX_HEADERS 64

struct ms_header
{
  struct ms_str name;
  struct ms_str value;
};

/* Start line and headers.  The strings stay valid until the parser is
   reset.  */
struct ms_head
{
  struct ms_str method; /* Of a request.  */
  struct ms_str target; /* Of a request.  */
  unsigned status;      /* Of a response.  */
  struct ms_header headers[MS_MAX_HEADERS];
  unsigned headers_count;
  bool has_length;
  uint64_t content_length;
  bool chunked;
  bool keep_alive; /* The sender keeps the connection open.  */
};

/* The value of the first header called NAME; an empty string with data NULL
   if there is none.  */
struct ms_str ms_head_find (const struct ms_head *head, const char *name);

/* Whether NAME equals the header name WANTED, in any case.  */
bool ms_header_is (struct ms_str name, const char *wanted);

/* What a parser tells; pointers are valid during the call.  */
struct ms_message_sink
{
  void (*head) (void *context, const struct ms_head *head);
  void (*body) (void *context, const char *data, size_t length);
  void (*end) (void *context);
};

enum ms_parse
{
  MS_PARSE_MORE,      /* The message goes on.  */
  MS_PARSE_COMPLETE,  /* It ended; what follows is not consumed.  */
  MS_PARSE_TOO_LARGE, /* The headers exceed the limit.  */
  MS_PARSE_BAD        /* The bytes are no message.  */
};

struct ms_parser;

/* A parser of requests or responses whose head has at most HEAD_LIMIT
   bytes.  */
struct ms_parser *ms_parser_create (bool requests, size_t head_limit,
                                    const struct ms_message_sink *sink,
                                    void *context);
void ms_parser_destroy (struct ms_parser *parser);

/* Get ready for the next message.  */
void ms_parser_reset (struct ms_parser *parser);

/* Parse LENGTH bytes of DATA, up to the end of one message at most; *USED is
   set to the bytes consumed.  */
enum ms_parse ms_parser_feed (struct ms_parser *parser, const char *data,
                              size_t length, size_t *used);

/* The sender closed in order.  Returns MS_PARSE_COMPLETE if that ends the
   message, as it does for a response without a length.  */
enum ms_parse ms_parser_close (struct ms_parser *parser);

/* Whether part of a message was seen since the last reset.  */
bool ms_parser_begun (const struct ms_parser *parser);

/* Whether the head of the current message is complete.  */
bool ms_parser_has_head (const struct ms_parser *parser);

const struct ms_head *ms_parser_head (const struct ms_parser *parser);

#endif

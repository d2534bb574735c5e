#include "wire/message.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/alloc.h"
#include "wire/grammar.h"

#define INITIAL_TEXT_BYTES 1024

/* Part of a parser's text; an offset, as the text moves when it grows.  */
struct text_span
{
  size_t at;
  size_t length;
};

struct ms_parser
{
  http_parser parser;
  const struct ms_message_sink *sink;
  void *context;
  size_t head_limit;
  char *text; /* Target, header names and values, one after the other.  */
  size_t text_length;     /* Used.  */
  size_t text_size;       /* Allocated.  */
  size_t trailers_length; /* Names and values of trailer fields so far.  */
  unsigned trailers_count;
  struct text_span target;
  struct text_span names[MS_MAX_HEADERS];
  struct text_span values[MS_MAX_HEADERS];
  unsigned headers_count;
  size_t status_length; /* Checked bytes of a response's status line.  */
  bool in_value;        /* The last piece was part of a header's value.  */
  bool started;         /* Part of a message was seen.  */
  bool head_complete;   /* The head is complete.  */
  bool complete;        /* The whole message is complete.  */
  bool too_large;       /* The head exceeds a limit.  */
  struct ms_head head;
};

bool
ms_status_promises_not_run (unsigned status)
{
  return status == HTTP_STATUS_REQUEST_TIMEOUT
         || status == HTTP_STATUS_MISDIRECTED_REQUEST
         || status == HTTP_STATUS_TOO_MANY_REQUESTS
         || status == HTTP_STATUS_SERVICE_UNAVAILABLE;
}

bool
ms_header_is (struct ms_str name, const char *wanted)
{
  return name.length == strlen (wanted)
         && strncasecmp (name.data, wanted, name.length) == 0;
}

struct ms_str
ms_head_find (const struct ms_head *head, const char *name)
{
  for (unsigned i = 0; i < head->headers_count; i++)
    if (ms_header_is (head->headers[i].name, name))
      return head->headers[i].value;
  return (struct ms_str){ NULL, 0 };
}

/* Append a piece of the head to the text and to SPAN.  Return 1 if the head
   exceeds its limit, which stops the parser.  */
static int
append_text (struct ms_parser *p, struct text_span *span, const char *data,
             size_t length)
{
  if (p->text_length + length > p->head_limit)
    {
      p->too_large = true;
      return 1;
    }
  if (p->text_length + length > p->text_size)
    {
      size_t new_size = p->text_size ? p->text_size * 2 : INITIAL_TEXT_BYTES;

      while (new_size < p->text_length + length)
        new_size *= 2;
      p->text = ms_resize (p->text, new_size, 1);
      p->text_size = new_size;
    }
  memcpy (p->text + p->text_length, data, length);
  if (!span->length)
    span->at = p->text_length;
  span->length += length;
  p->text_length += length;
  return 0;
}

/* Count a piece of a trailer field, which is not kept: the strings of the head
   point into the text, so that must not move any more.  Return 1 if head and
   trailer fields exceed their limits, which stops the parser.  */
static int
count_trailer (struct ms_parser *p, bool new_field, size_t length)
{
  p->trailers_length += length;
  p->trailers_count += new_field;
  p->too_large = p->text_length + p->trailers_length > p->head_limit
                 || p->headers_count + p->trailers_count > MS_MAX_HEADERS;
  return p->too_large;
}

static int
on_begin (http_parser *parser)
{
  struct ms_parser *p = parser->data;

  p->started = true;
  return 0;
}

static int
on_target (http_parser *parser, const char *data, size_t length)
{
  struct ms_parser *p = parser->data;

  return append_text (p, &p->target, data, length);
}

static int
on_name (http_parser *parser, const char *data, size_t length)
{
  struct ms_parser *p = parser->data;

  /* http_parser lets names have spaces, also before the colon.  */
  if (!ms_has_token_bytes ((struct ms_str){ data, length }))
    return 1;
  if (p->head_complete)
    {
      bool new_field = p->in_value;

      p->in_value = false;
      return count_trailer (p, new_field, length);
    }
  if (p->in_value || !p->headers_count)
    {
      if (p->headers_count == MS_MAX_HEADERS)
        {
          p->too_large = true;
          return 1;
        }
      p->headers_count++;
      p->in_value = false;
    }
  return append_text (p, &p->names[p->headers_count - 1], data, length);
}

static int
on_value (http_parser *parser, const char *data, size_t length)
{
  struct ms_parser *p = parser->data;

  p->in_value = true;
  if (p->head_complete)
    return count_trailer (p, false, length);
  return append_text (p, &p->values[p->headers_count - 1], data, length);
}

static struct ms_str
span_text (const struct ms_parser *p, struct text_span span)
{
  return (struct ms_str){ span.length ? p->text + span.at : "", span.length };
}

static bool
switches_protocols (const http_parser *parser)
{
  return parser->type == HTTP_REQUEST
             ? parser->method == HTTP_CONNECT
             : parser->status_code == HTTP_STATUS_SWITCHING_PROTOCOLS;
}

static int
on_head (http_parser *parser)
{
  struct ms_parser *p = parser->data;
  struct ms_head *head = &p->head;

  if (parser->type == HTTP_REQUEST)
    head->method = ms_str (http_method_str (parser->method));
  head->target = span_text (p, p->target);
  head->status = parser->status_code;
  head->headers_count = p->headers_count;
  for (unsigned i = 0; i < p->headers_count; i++)
    {
      head->headers[i].name = span_text (p, p->names[i]);
      head->headers[i].value = span_text (p, p->values[i]);
    }
  head->has_length = (parser->flags & F_CONTENTLENGTH) != 0;
  head->content_length = head->has_length ? parser->content_length : 0;
  head->chunked = (parser->flags & F_CHUNKED) != 0;
  head->takes_chunks = parser->http_major > 1
                       || (parser->http_major == 1 && parser->http_minor >= 1);
  head->keep_alive = http_should_keep_alive (parser) != 0;
  p->head_complete = true;
  p->in_value = true;
  /* The gateway does not switch protocols: read a request that asks for it
     like any other, and fail on CONNECT and on a response that switches.  */
  if (switches_protocols (parser))
    return -1;
  parser->upgrade = 0;
  if (p->sink->head)
    p->sink->head (p->context, head);
  return 0;
}

static int
on_body (http_parser *parser, const char *data, size_t length)
{
  struct ms_parser *p = parser->data;

  if (p->sink->body)
    p->sink->body (p->context, data, length);
  return 0;
}

static int
on_end (http_parser *parser)
{
  struct ms_parser *p = parser->data;

  p->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

/* A callback that does not return 0 stops the parser with an error.  */
static const http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_url = on_target,
  .on_header_field = on_name,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_end,
};

struct ms_parser *
ms_parser_create (bool requests, size_t head_limit,
                  const struct ms_message_sink *sink, void *context)
{
  struct ms_parser *p = ms_new (sizeof *p);

  p->sink = sink;
  p->context = context;
  p->head_limit = head_limit;
  p->parser.type = requests ? HTTP_REQUEST : HTTP_RESPONSE;
  ms_parser_reset (p);
  return p;
}

void
ms_parser_destroy (struct ms_parser *parser)
{
  if (!parser)
    return;
  free (parser->text);
  free (parser);
}

void
ms_parser_reset (struct ms_parser *p)
{
  http_parser_init (&p->parser, p->parser.type);
  p->parser.data = p;
  p->text_length = 0;
  p->trailers_length = 0;
  p->trailers_count = 0;
  p->target = (struct text_span){ 0, 0 };
  memset (p->names, 0, p->headers_count * sizeof *p->names);
  memset (p->values, 0, p->headers_count * sizeof *p->values);
  p->headers_count = 0;
  p->status_length = 0;
  p->in_value = false;
  p->started = false;
  p->head_complete = false;
  p->complete = false;
  p->too_large = false;
}

/* Check the part of a response's status line that DATA has: http_parser takes
   any status up to 999, of any number of digits.  */
static bool
check_status_line (struct ms_parser *p, const char *data, size_t length)
{
  for (size_t i = 0; i < length && p->status_length <= MS_STATUS_LINE_BYTES;
       i++)
    {
      /* Empty lines before it are skipped.  */
      if (!p->status_length && (data[i] == '\r' || data[i] == '\n'))
        continue;
      if (!ms_status_line_takes (p->status_length, data[i]))
        return false;
      p->status_length++;
    }
  return true;
}

enum ms_parse
ms_parser_feed (struct ms_parser *p, const char *data, size_t length,
                size_t *used)
{
  enum http_errno error;

  *used = 0;
  /* http_parser takes 0 bytes as the end of the connection.  */
  if (!length)
    return MS_PARSE_MORE;
  if (p->parser.type == HTTP_RESPONSE && !check_status_line (p, data, length))
    return MS_PARSE_BAD;
  *used = http_parser_execute (&p->parser, &callbacks, data, length);
  error = HTTP_PARSER_ERRNO (&p->parser);
  if (p->complete && error == HPE_PAUSED)
    {
      http_parser_pause (&p->parser, 0);
      if (p->sink->end)
        p->sink->end (p->context);
      return MS_PARSE_COMPLETE;
    }
  if (p->too_large || error == HPE_HEADER_OVERFLOW)
    return MS_PARSE_TOO_LARGE;
  if (error != HPE_OK)
    return MS_PARSE_BAD;
  return MS_PARSE_MORE;
}

enum ms_parse
ms_parser_close (struct ms_parser *p)
{
  if (!p->started)
    return MS_PARSE_MORE;
  http_parser_execute (&p->parser, &callbacks, NULL, 0);
  if (!p->complete)
    return MS_PARSE_BAD;
  if (p->sink->end)
    p->sink->end (p->context);
  return MS_PARSE_COMPLETE;
}

bool
ms_parser_started (const struct ms_parser *parser)
{
  return parser->started;
}

bool
ms_parser_has_head (const struct ms_parser *parser)
{
  return parser->head_complete;
}

const struct ms_head *
ms_parser_head (const struct ms_parser *parser)
{
  return &parser->head;
}

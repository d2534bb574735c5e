/* Fuzzes the parser of requests and responses, as the bytes arrive in pieces.
   The first byte selects requests or responses and the size of the pieces. The
   strings of each head are read at the end of its message, which shows text
   that was moved meanwhile.  A head with a status or a name that the grammar
   does not have must not be passed on.  */

#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "platform.h"
#include "wire/events.h"
#include "wire/grammar.h"
#include "wire/message.h"

#define HEAD_LIMIT 2048

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

struct received
{
  struct ms_parser *parser;
  size_t checksum; /* Of all that was passed on, so that it is read.  */
};

static void
add (struct received *received, struct ms_str text)
{
  for (size_t i = 0; i < text.length; i++)
    received->checksum += (unsigned char)text.data[i];
}

static void
add_head (struct received *received, const struct ms_head *head)
{
  struct plat_prompt prompt;

  if (!head->method.length && (head->status < 100 || head->status > 599))
    __builtin_trap ();
  add (received, head->target);
  for (unsigned i = 0; i < head->headers_count; i++)
    {
      if (!head->headers[i].name.length
          || !ms_has_token_bytes (head->headers[i].name))
        __builtin_trap ();
      add (received, head->headers[i].name);
      add (received, head->headers[i].value);
    }
  plat_decode_prompt (head, &prompt);
  received->checksum += prompt.tokens;
}

static void
on_head (void *context, const struct ms_head *head)
{
  add_head (context, head);
}

static void
on_body (void *context, const char *data, size_t length)
{
  struct received *received = context;
  struct ms_event_id id = { 0 };
  unsigned count;

  add (received, (struct ms_str){ data, length });
  received->checksum += ms_events_complete_length (data, length, &id, &count);
}

static void
on_end (void *context)
{
  struct received *received = context;

  add_head (received, ms_parser_head (received->parser));
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const struct ms_message_sink sink = { on_head, on_body, on_end };
  struct received received = { 0 };
  size_t piece;
  enum ms_parse result = MS_PARSE_MORE;

  if (size < 2)
    return 0;
  piece = (size_t)(data[0] >> 1) + 1;
  received.parser
      = ms_parser_create (data[0] & 1, HEAD_LIMIT, &sink, &received);
  data++;
  size--;
  while (size && (result == MS_PARSE_MORE || result == MS_PARSE_COMPLETE))
    {
      size_t length = piece < size ? piece : size;
      size_t used;

      if (result == MS_PARSE_COMPLETE)
        ms_parser_reset (received.parser);
      result = ms_parser_feed (received.parser, (const char *)data, length,
                               &used);
      /* The parser consumes all but what follows a message.  */
      if (result == MS_PARSE_MORE && used != length)
        __builtin_trap ();
      data += used;
      size -= used;
    }
  if (result == MS_PARSE_MORE)
    ms_parser_close (received.parser);
  ms_parser_destroy (received.parser);
  return 0;
}

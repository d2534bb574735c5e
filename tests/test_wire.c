#include "check.h"

#include <stdio.h>
#include <string.h>

#include "wire/events.h"
#include "wire/message.h"

struct received
{
  unsigned heads_count;
  unsigned ends_count;
  char body[256];
  size_t length;
};

static void
on_head (void *context, const struct ms_head *head)
{
  struct received *received = context;

  (void)head;
  received->heads_count++;
}

static void
on_body (void *context, const char *data, size_t length)
{
  struct received *received = context;

  memcpy (received->body + received->length, data, length);
  received->length += length;
}

static void
on_end (void *context)
{
  struct received *received = context;

  received->ends_count++;
}

static const struct ms_message_sink sink = { on_head, on_body, on_end };

static enum ms_parse
feed (struct ms_parser *parser, const char *text, size_t *used)
{
  return ms_parser_feed (parser, text, strlen (text), used);
}

/* A request is parsed correctly when every byte arrives on its own.  */
static void
test_parses_request_byte_by_byte (void **state)
{
  static const char text[] = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: 5\r\n\r\nhello";
  struct received received = { 0 };
  struct ms_parser *parser = ms_parser_create (true, 1000, &sink, &received);
  enum ms_parse result = MS_PARSE_MORE;
  size_t used;

  (void)state;
  for (size_t i = 0; i < strlen (text); i++)
    {
      assert_int_equal (result, MS_PARSE_MORE);
      result = ms_parser_feed (parser, text + i, 1, &used);
    }
  assert_int_equal (result, MS_PARSE_COMPLETE);
  assert_true (
      ms_str_equal (ms_parser_head (parser)->target, ms_str ("/a/b?c=d")));
  assert_true (ms_str_equal (ms_head_find (ms_parser_head (parser), "HOST"),
                             ms_str ("h")));
  assert_int_equal (received.length, 5);
  assert_memory_equal (received.body, "hello", 5);
  ms_parser_destroy (parser);
}

/* Bytes after a message are left for the next one, which a pipelining caller
   sends without waiting.  */
static void
test_stops_at_end_of_message (void **state)
{
  static const char text[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                             "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
  struct received received = { 0 };
  struct ms_parser *parser = ms_parser_create (true, 1000, &sink, &received);
  size_t used;
  size_t second;

  (void)state;
  assert_int_equal (feed (parser, text, &used), MS_PARSE_COMPLETE);
  assert_int_equal (used, strlen (text) / 2);
  assert_int_equal (received.ends_count, 1);
  ms_parser_reset (parser);
  assert_int_equal (feed (parser, text + used, &second), MS_PARSE_COMPLETE);
  assert_true (ms_str_equal (ms_parser_head (parser)->target, ms_str ("/2")));
  ms_parser_destroy (parser);
}

static void
expect_parse (const char *text, size_t limit, enum ms_parse expected)
{
  struct received received = { 0 };
  struct ms_parser *parser = ms_parser_create (true, limit, &sink, &received);
  size_t used;

  assert_int_equal (feed (parser, text, &used), expected);
  ms_parser_destroy (parser);
}

/* If two parsers disagree on the length of a body, its end can be taken for a
   second request (request smuggling).  */
static void
test_rejects_ambiguous_length (void **state)
{
  (void)state;
  expect_parse ("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                1000, MS_PARSE_BAD);
  expect_parse ("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                "Content-Length: 5\r\n\r\nabcd",
                1000, MS_PARSE_BAD);
  expect_parse (
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n",
      1000, MS_PARSE_BAD);
}

static void
test_limits_head_size (void **state)
{
  (void)state;
  expect_parse (
      "GET /aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa HTTP/1.1\r\nHost: h\r\n", 20,
      MS_PARSE_TOO_LARGE);
}

/* A response without a length ends when its connection closes; one with a
   length is cut off if the connection closes early.  */
static void
test_close_ends_only_response_without_length (void **state)
{
  struct received received = { 0 };
  struct ms_parser *parser = ms_parser_create (false, 1000, &sink, &received);
  size_t used;

  (void)state;
  feed (parser, "HTTP/1.1 200 OK\r\n\r\nabc", &used);
  assert_int_equal (ms_parser_close (parser), MS_PARSE_COMPLETE);
  assert_int_equal (received.length, 3);
  ms_parser_reset (parser);
  feed (parser, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", &used);
  assert_int_equal (ms_parser_close (parser), MS_PARSE_BAD);
  ms_parser_destroy (parser);
}

/* Whatever the pieces in which it arrives.  */
static void
test_rejects_status_out_of_range (void **state)
{
  static const char *const bad[]
      = { "000", "099", "600", "00", "2 0", "2000", "-20", "", "20\t" };
  static const char *const good[]
      = { "HTTP/1.1 200", "\r\nHTTP/1.0 599 x y", "HTTP/1.1 100 " };
  char text[64];
  size_t used;

  (void)state;
  for (size_t piece = 1; piece < sizeof text; piece += 7)
    {
      struct received received = { 0 };
      struct ms_parser *parser
          = ms_parser_create (false, 1000, &sink, &received);

      for (unsigned i = 0; i < sizeof bad / sizeof *bad; i++)
        {
          enum ms_parse result = MS_PARSE_MORE;

          snprintf (text, sizeof text, "HTTP/1.1 %s -\r\n\r\n", bad[i]);
          for (size_t at = 0; result == MS_PARSE_MORE && text[at]; at += used)
            result = ms_parser_feed (parser, text + at,
                                     strnlen (text + at, piece), &used);
          assert_int_equal (result, MS_PARSE_BAD);
          ms_parser_reset (parser);
        }
      for (unsigned i = 0; i < sizeof good / sizeof *good; i++)
        {
          snprintf (text, sizeof text, "%s\r\n\r\n", good[i]);
          for (size_t at = 0; text[at]; at += used)
            assert_int_not_equal (ms_parser_feed (parser, text + at,
                                                  strnlen (text + at, piece),
                                                  &used),
                                  MS_PARSE_BAD);
          assert_true (ms_parser_has_head (parser));
          ms_parser_reset (parser);
        }
      assert_int_equal (received.heads_count, sizeof good / sizeof *good);
      ms_parser_destroy (parser);
    }
}

/* An id counts only once its event is complete.  */
static void
test_finds_complete_events (void **state)
{
  static const char text[] = "id: 7\ndata: a\n\nid: 8\ndata: b\n\nid: 9\nda";
  struct ms_event_id id = { 0 };
  unsigned count;
  size_t complete
      = ms_events_complete_length (text, strlen (text), &id, &count);

  (void)state;
  assert_int_equal (complete, strlen ("id: 7\ndata: a\n\nid: 8\ndata: b\n\n"));
  assert_int_equal (count, 2);
  assert_int_equal (id.length, 1);
  assert_memory_equal (id.data, "8", 1);
  assert_int_equal (ms_events_complete_length ("id: 9\n", 6, &id, &count), 0);
  assert_memory_equal (id.data, "8", 1);
}

/* Trailer fields arrive after the head was used, and must not move its
   strings.  */
static void
test_trailers_leave_head_unchanged (void **state)
{
  static const char head[] = "POST /target/of/the/request HTTP/1.1\r\n"
                             "Host: host.example\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n0\r\n";
  struct received received = { 0 };
  struct ms_parser *parser = ms_parser_create (true, 16384, &sink, &received);
  char trailer[64];
  size_t used;

  (void)state;
  assert_int_equal (feed (parser, head, &used), MS_PARSE_MORE);
  for (int i = 0; i < 40; i++)
    {
      snprintf (trailer, sizeof trailer, "X-Trailer-%d: %040d\r\n", i, i);
      assert_int_equal (feed (parser, trailer, &used), MS_PARSE_MORE);
    }
  assert_int_equal (feed (parser, "\r\n", &used), MS_PARSE_COMPLETE);
  assert_true (ms_str_equal (ms_parser_head (parser)->target,
                             ms_str ("/target/of/the/request")));
  assert_true (ms_str_equal (ms_head_find (ms_parser_head (parser), "Host"),
                             ms_str ("host.example")));
  assert_int_equal (ms_parser_head (parser)->headers_count, 2);
  ms_parser_destroy (parser);
}

/* Trailer fields without end stop at the limits of the head, by their size and
   by their number.  */
static void
test_limits_trailers (void **state)
{
  static const char head[] = "POST / HTTP/1.1\r\nHost: h\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n0\r\n";

  (void)state;
  for (int sized = 0; sized < 2; sized++)
    {
      struct received received = { 0 };
      struct ms_parser *parser
          = ms_parser_create (true, 1000, &sink, &received);
      enum ms_parse result;
      size_t used;
      unsigned fields = 0;

      result = feed (parser, head, &used);
      while (result == MS_PARSE_MORE && fields++ < 1000)
        result = feed (parser,
                       sized ? "X: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
                               "aaaaaaaaaaaaaaaaaaaa\r\n"
                             : "a:\r\n",
                       &used);
      assert_int_equal (result, MS_PARSE_TOO_LARGE);
      assert_true (fields <= MS_MAX_HEADERS);
      ms_parser_destroy (parser);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_parses_request_byte_by_byte),
    cmocka_unit_test (test_stops_at_end_of_message),
    cmocka_unit_test (test_rejects_ambiguous_length),
    cmocka_unit_test (test_limits_head_size),
    cmocka_unit_test (test_close_ends_only_response_without_length),
    cmocka_unit_test (test_rejects_status_out_of_range),
    cmocka_unit_test (test_finds_complete_events),
    cmocka_unit_test (test_trailers_leave_head_unchanged),
    cmocka_unit_test (test_limits_trailers),
  };

  return RUN (tests);
}

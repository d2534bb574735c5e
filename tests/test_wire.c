#include "check.h"

#include <string.h>

#include "wire/events.h"
#include "wire/message.h"

struct seen
{
  unsigned heads;
  unsigned ends;
  char body[256];
  size_t length;
};

static void
on_head (void *context, const struct ms_head *head)
{
  struct seen *seen = context;

  (void)head;
  seen->heads++;
}

static void
on_body (void *context, const char *data, size_t length)
{
  struct seen *seen = context;

  memcpy (seen->body + seen->length, data, length);
  seen->length += length;
}

static void
on_end (void *context)
{
  struct seen *seen = context;

  seen->ends++;
}

static const struct ms_message_sink sink = { on_head, on_body, on_end };

static enum ms_parse
feed (struct ms_parser *parser, const char *text, size_t *used)
{
  return ms_parser_feed (parser, text, strlen (text), used);
}

/* A request that comes byte by byte is the same as one that comes at once.  */
static void
test_pieces_make_the_same_message (void **state)
{
  static const char text[] = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: 5\r\n\r\nhello";
  struct seen seen = { 0 };
  struct ms_parser *parser = ms_parser_create (true, 1000, &sink, &seen);
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
  assert_int_equal (seen.length, 5);
  assert_memory_equal (seen.body, "hello", 5);
  ms_parser_destroy (parser);
}

/* What follows a message is left for the next one.  */
static void
test_stops_at_the_end_of_a_message (void **state)
{
  static const char text[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                             "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
  struct seen seen = { 0 };
  struct ms_parser *parser = ms_parser_create (true, 1000, &sink, &seen);
  size_t used;
  size_t second;

  (void)state;
  assert_int_equal (feed (parser, text, &used), MS_PARSE_COMPLETE);
  assert_int_equal (used, strlen (text) / 2);
  assert_int_equal (seen.ends, 1);
  ms_parser_reset (parser);
  assert_int_equal (feed (parser, text + used, &second), MS_PARSE_COMPLETE);
  assert_true (ms_str_equal (ms_parser_head (parser)->target, ms_str ("/2")));
  ms_parser_destroy (parser);
}

static void
expect (const char *text, size_t limit, enum ms_parse expected)
{
  struct seen seen = { 0 };
  struct ms_parser *parser = ms_parser_create (true, limit, &sink, &seen);
  size_t used;

  assert_int_equal (feed (parser, text, &used), expected);
  ms_parser_destroy (parser);
}

/* A body with two lengths could hide a second request.  */
static void
test_refuses_smuggling (void **state)
{
  (void)state;
  expect ("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          1000, MS_PARSE_BAD);
  expect ("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
          "Content-Length: 5\r\n\r\nabcd",
          1000, MS_PARSE_BAD);
  expect ("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n",
          1000, MS_PARSE_BAD);
}

static void
test_bounds_the_head (void **state)
{
  (void)state;
  expect ("GET /aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa HTTP/1.1\r\nHost: h\r\n", 20,
          MS_PARSE_TOO_LARGE);
}

/* An answer without a length ends with its connection.  */
static void
test_close_ends_an_unframed_answer_only (void **state)
{
  struct seen seen = { 0 };
  struct ms_parser *parser = ms_parser_create (false, 1000, &sink, &seen);
  size_t used;

  (void)state;
  feed (parser, "HTTP/1.1 200 OK\r\n\r\nabc", &used);
  assert_int_equal (ms_parser_close (parser), MS_PARSE_COMPLETE);
  assert_int_equal (seen.length, 3);
  ms_parser_reset (parser);
  feed (parser, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", &used);
  assert_int_equal (ms_parser_close (parser), MS_PARSE_BAD);
  ms_parser_destroy (parser);
}

static void
test_events_are_passed_on_whole (void **state)
{
  static const char text[] = "id: 7\ndata: a\n\nid: 8\ndata: b\n\nid: 9\nda";
  struct ms_event_id id = { 0 };
  unsigned count;
  size_t whole = ms_events_whole (text, strlen (text), &id, &count);

  (void)state;
  assert_int_equal (whole, strlen ("id: 7\ndata: a\n\nid: 8\ndata: b\n\n"));
  assert_int_equal (count, 2);
  assert_int_equal (id.length, 1);
  assert_memory_equal (id.data, "8", 1);
  assert_int_equal (ms_events_whole ("id: 9\n", 6, &id, &count), 0);
  assert_memory_equal (id.data, "8", 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pieces_make_the_same_message),
    cmocka_unit_test (test_stops_at_the_end_of_a_message),
    cmocka_unit_test (test_refuses_smuggling),
    cmocka_unit_test (test_bounds_the_head),
    cmocka_unit_test (test_close_ends_an_unframed_answer_only),
    cmocka_unit_test (test_events_are_passed_on_whole),
  };

  return RUN (tests);
}

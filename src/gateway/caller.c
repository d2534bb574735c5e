#include "gateway/caller.h"

#include <http_parser.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/request.h"
#include "gateway/socket.h"

/* Before a configuration tells the limits.  */
#define DEFAULT_HEAD_BYTES 16384
#define DEFAULT_BODY_BYTES 4194304
#define DEFAULT_HEAD_TIMEOUT (3 * MS_SEC)
#define DEFAULT_IDLE_TIMEOUT (15 * MS_SEC)

/* A body may take this many times the time for the headers.  */
#define BODY_TIMEOUT_FACTOR 3

/* Idle connections are kept a little longer than callers are told.  */
#define IDLE_MARGIN (1 * MS_SEC)

/* A connection is not closed for room before it was idle so long.  */
#define LEAST_IDLE (1 * MS_SEC)

/* Bytes behind a request that are kept until it is answered.  */
#define MAX_PENDING_BYTES 65536

/* Answer bytes that may wait for a slow caller.  */
#define MAX_QUEUED_BYTES 131072

/* Of the descriptors: beyond the first part the connections that were idle
   longest are closed, beyond the second callers are turned away; the rest is
   for files, endpoints, the store and peers.  */
#define CROWDED_PERCENT 60
#define FULL_PERCENT 75

/* Part of the memory that may hold bodies, in percent.  */
#define BODY_MEMORY_PERCENT 25

struct buffer
{
  char *data;
  size_t length;
  size_t space;
};

struct ms_caller
{
  struct ms_gateway *gw;
  struct ms_socket *socket;
  struct ms_parser *parser;
  struct buffer pending;
  struct buffer body;
  struct buffer out;
  struct ms_request *request;
  ms_time since; /* Of the connection's present state.  */
  unsigned refuse_status;
  bool complete;
  bool keep_alive;
  bool chunked;
  bool closed;
  bool advancing;
  struct ms_caller *prev, *next;
};

static void
append (struct buffer *b, const char *data, size_t length)
{
  if (b->length + length > b->space)
    {
      size_t wanted = b->space ? b->space : 512;

      while (wanted < b->length + length)
        wanted *= 2;
      b->data = ms_resize (b->data, wanted, 1);
      b->space = wanted;
    }
  if (length)
    memcpy (b->data + b->length, data, length);
  b->length += length;
}

static void
release (struct buffer *b)
{
  free (b->data);
  *b = (struct buffer){ 0 };
}

static const struct ms_caller_limits *
limits_of (const struct ms_gateway *gw)
{
  static const struct ms_caller_limits defaults
      = { DEFAULT_HEAD_BYTES, DEFAULT_BODY_BYTES, DEFAULT_HEAD_TIMEOUT,
          DEFAULT_IDLE_TIMEOUT, 0 };

  return gw->routes ? &gw->routes->limits : &defaults;
}

static void
free_caller (struct ms_caller *c)
{
  struct ms_gateway *gw = c->gw;

  DL_DELETE (gw->callers, c);
  gw->body_bytes -= c->body.length;
  ms_parser_destroy (c->parser);
  release (&c->pending);
  release (&c->body);
  release (&c->out);
  free (c);
}

/* Close the connection; the caller is freed now or when its request lets
   go.  */
static void
close_caller (struct ms_caller *c, bool reset)
{
  if (c->closed)
    return;
  c->closed = true;
  if (reset)
    ms_socket_reset (c->socket);
  else
    ms_socket_close (c->socket);
  c->socket = NULL;
  if (!c->request && !c->advancing)
    free_caller (c);
}

const struct ms_head *
ms_caller_head (const struct ms_caller *c)
{
  return ms_parser_head (c->parser);
}

struct ms_str
ms_caller_body (const struct ms_caller *c)
{
  return (struct ms_str){ c->body.data, c->body.length };
}

bool
ms_caller_left (const struct ms_caller *c)
{
  return c->closed || ms_socket_half_closed (c->socket);
}

static bool
is_token (struct ms_str name)
{
  if (!name.length)
    return false;
  for (size_t i = 0; i < name.length; i++)
    if (name.data[i] <= ' ' || name.data[i] > '~'
        || strchr ("()<>@,;:\\\"/[]?={}", name.data[i]))
      return false;
  return true;
}

/* The status with which a request of these headers is refused; 0 if it is
   proper.  */
static unsigned
check_head (const struct ms_gateway *gw, const struct ms_head *head)
{
  unsigned hosts = 0;

  for (unsigned i = 0; i < head->headers_count; i++)
    {
      if (!is_token (head->headers[i].name))
        return HTTP_STATUS_BAD_REQUEST;
      hosts += ms_header_is (head->headers[i].name, "Host");
    }
  if (hosts != 1 || !head->target.length || head->target.data[0] != '/')
    return HTTP_STATUS_BAD_REQUEST;
  if (head->has_length
      && head->content_length > limits_of (gw)->max_body_bytes)
    return HTTP_STATUS_PAYLOAD_TOO_LARGE;
  return 0;
}

static void
on_head (void *context, const struct ms_head *head)
{
  struct ms_caller *c = context;

  c->refuse_status = check_head (c->gw, head);
  c->keep_alive = head->keep_alive;
}

static void
on_body (void *context, const char *data, size_t length)
{
  struct ms_caller *c = context;
  struct ms_gateway *gw = c->gw;
  size_t memory = (size_t)gw->settings->memory_mb * (1 << 20);

  if (c->refuse_status)
    return;
  if (c->body.length + length > limits_of (gw)->max_body_bytes)
    c->refuse_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
  else if (gw->body_bytes + length > memory / 100 * BODY_MEMORY_PERCENT)
    c->refuse_status = HTTP_STATUS_SERVICE_UNAVAILABLE;
  else
    {
      append (&c->body, data, length);
      gw->body_bytes += length;
    }
}

static const struct ms_message_sink sink
    = { .head = on_head, .body = on_body };

/* Get ready for the next request.  */
static void
next_message (struct ms_caller *c)
{
  ms_parser_reset (c->parser);
  c->gw->body_bytes -= c->body.length;
  release (&c->body);
  c->refuse_status = 0;
  c->complete = false;
  c->since = c->gw->now;
}

/* Refuse what is no proper request and close.  */
static void
refuse_and_close (struct ms_caller *c, unsigned status)
{
  c->keep_alive = false;
  ms_event (c->gw->now, "bad_request", "status=%u", status);
  ms_caller_refuse (c, status, "malformed", 0);
}

/* Parse what is pending.  Returns whether to go on.  */
static bool
parse_pending (struct ms_caller *c)
{
  size_t used;
  enum ms_parse result
      = ms_parser_feed (c->parser, c->pending.data, c->pending.length, &used);

  memmove (c->pending.data, c->pending.data + used, c->pending.length - used);
  c->pending.length -= used;
  if (!c->pending.length)
    release (&c->pending);
  if (result == MS_PARSE_TOO_LARGE)
    refuse_and_close (c, HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE);
  else if (result == MS_PARSE_BAD)
    refuse_and_close (c, HTTP_STATUS_BAD_REQUEST);
  else if (c->refuse_status)
    refuse_and_close (c, c->refuse_status);
  else if (result == MS_PARSE_COMPLETE)
    {
      c->request = ms_request_begin (c->gw, c);
      return true;
    }
  return false;
}

static void
advance (struct ms_caller *c)
{
  if (c->advancing)
    return;
  c->advancing = true;
  while (!c->closed && !c->request && c->pending.length && parse_pending (c))
    ;
  c->advancing = false;
  if (c->closed && !c->request)
    free_caller (c);
}

static void
on_read (void *owner, const char *data, size_t length)
{
  struct ms_caller *c = owner;

  if (!c->request && !ms_parser_started (c->parser) && !c->pending.length)
    c->since = c->gw->now;
  append (&c->pending, data, length);
  if (c->request && c->pending.length > MAX_PENDING_BYTES)
    ms_socket_pause (c->socket);
  advance (c);
}

static void
on_ended (void *owner, bool orderly)
{
  struct ms_caller *c = owner;
  struct ms_request *r = c->request;

  (void)orderly;
  if (r)
    ms_request_caller_gone (r);
  else
    close_caller (c, false);
}

static void
on_drained (void *owner)
{
  struct ms_caller *c = owner;

  if (c->request)
    ms_request_caller_drained (c->request);
}

static const struct ms_socket_events events = {
  .read = on_read,
  .ended = on_ended,
  .drained = on_drained,
};

void
ms_callers_accept (uv_stream_t *listener, int status)
{
  struct ms_gateway *gw = listener->data;
  struct ms_caller *c;
  unsigned most = gw->settings->file_descriptors / 100 * FULL_PERCENT;

  if (status)
    {
      ms_event (gw->now, "accept_failed", "error=%s", uv_strerror (status));
      return;
    }
  c = ms_new (sizeof *c);
  c->gw = gw;
  c->since = gw->now;
  c->socket = ms_socket_accept (listener, &events, c);
  if (!c->socket)
    {
      ms_event (gw->now, "accept_failed", "error=socket");
      free (c);
      return;
    }
  if (ms_socket_open_count () > most)
    {
      gw->turned_away++;
      ms_socket_reset (c->socket);
      free (c);
      return;
    }
  c->parser
      = ms_parser_create (true, limits_of (gw)->max_head_bytes, &sink, c);
  DL_APPEND (gw->callers, c);
}

/* Close those of the connections that were idle longest by which there are
   too many.  */
static void
make_room (struct ms_gateway *gw)
{
  unsigned most = gw->settings->file_descriptors / 100 * CROWDED_PERCENT;
  unsigned open = ms_socket_open_count ();
  struct ms_caller *c, *next;

  if (open <= most)
    return;
  /* The list begins with the oldest connections.  */
  DL_FOREACH_SAFE (gw->callers, c, next)
  {
    if (c->request || c->closed || ms_parser_started (c->parser)
        || gw->now - c->since < LEAST_IDLE)
      continue;
    close_caller (c, false);
    if (--open <= most)
      return;
  }
}

/* Answer or close a connection that took too long.  */
static void
check_times (struct ms_caller *c, ms_time now)
{
  const struct ms_caller_limits *limits = limits_of (c->gw);
  ms_time spent = now - c->since;

  if (c->request || c->closed)
    return;
  if (!ms_parser_started (c->parser))
    {
      if (spent > limits->idle_timeout + IDLE_MARGIN)
        close_caller (c, false);
    }
  else if (spent
           > limits->head_timeout
                 * (ms_parser_has_head (c->parser) ? BODY_TIMEOUT_FACTOR : 1))
    refuse_and_close (c, HTTP_STATUS_REQUEST_TIMEOUT);
}

void
ms_callers_tick (struct ms_gateway *gw, ms_time now)
{
  struct ms_caller *c, *next;

  if (gw->turned_away)
    ms_event (now, "callers_turned_away", "count=%u sockets=%u",
              gw->turned_away, ms_socket_open_count ());
  gw->turned_away = 0;
  DL_FOREACH_SAFE (gw->callers, c, next) { check_times (c, now); }
  make_room (gw);
}

unsigned
ms_callers_close_idle (struct ms_gateway *gw)
{
  struct ms_caller *c, *next;
  unsigned open = 0;

  DL_FOREACH_SAFE (gw->callers, c, next)
  {
    if (c->request || ms_parser_started (c->parser) || c->pending.length)
      open++;
    else
      close_caller (c, false);
  }
  return open;
}

static void print (struct ms_caller *c, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
print (struct ms_caller *c, const char *format, ...)
{
  char text[512];
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (text, sizeof text, format, args);
  va_end (args);
  append (&c->out, text, (size_t)n < sizeof text ? (size_t)n : sizeof text);
}

static void
print_status (struct ms_caller *c, unsigned status)
{
  print (c, "HTTP/1.1 %u %s\r\n", status, http_status_str (status));
  if (c->gw->terminated_at || c->gw->crowded)
    c->keep_alive = false;
  if (!c->keep_alive)
    print (c, "Connection: close\r\n");
}

static bool
concerns_connection (struct ms_str name)
{
  static const char *const names[] = { "Connection",
                                       "Keep-Alive",
                                       "Transfer-Encoding",
                                       "Content-Length",
                                       "Upgrade",
                                       "Trailer",
                                       "TE" };

  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (ms_header_is (name, names[i]))
      return true;
  return false;
}

void
ms_caller_answer (struct ms_caller *c, const struct ms_head *head,
                  enum ms_framing framing, uint64_t length)
{
  if (c->closed)
    return;
  c->chunked = framing == MS_FRAMED_CHUNKS;
  if (framing == MS_FRAMED_CLOSE)
    c->keep_alive = false;
  print_status (c, head->status);
  for (unsigned i = 0; i < head->headers_count; i++)
    {
      const struct ms_header *h = &head->headers[i];

      if (concerns_connection (h->name))
        continue;
      append (&c->out, h->name.data, h->name.length);
      append (&c->out, ": ", 2);
      append (&c->out, h->value.data, h->value.length);
      append (&c->out, "\r\n", 2);
    }
  if (framing == MS_FRAMED_LENGTH)
    print (c, "Content-Length: %llu\r\n", (unsigned long long)length);
  else if (framing == MS_FRAMED_CHUNKS)
    print (c, "Transfer-Encoding: chunked\r\n");
  append (&c->out, "\r\n", 2);
}

void
ms_caller_send (struct ms_caller *c, const char *data, size_t length)
{
  if (c->closed || !length)
    return;
  if (c->chunked)
    print (c, "%zx\r\n", length);
  append (&c->out, data, length);
  if (c->chunked)
    append (&c->out, "\r\n", 2);
}

bool
ms_caller_flush (struct ms_caller *c)
{
  uv_buf_t buffer;

  if (c->closed)
    return true;
  if (c->out.length)
    {
      buffer = uv_buf_init (c->out.data, (unsigned)c->out.length);
      ms_socket_write (c->socket, &buffer, 1);
      c->out.length = 0;
    }
  return ms_socket_queued (c->socket) < MAX_QUEUED_BYTES;
}

/* The answer was given: go on with the next request, or close.  */
static void
answered (struct ms_caller *c)
{
  c->request = NULL;
  release (&c->out);
  if (c->closed)
    {
      if (!c->advancing)
        free_caller (c);
      return;
    }
  if (!c->keep_alive)
    {
      close_caller (c, false);
      return;
    }
  next_message (c);
  ms_socket_resume (c->socket);
  advance (c);
}

void
ms_caller_end (struct ms_caller *c)
{
  if (!c->closed && c->chunked)
    append (&c->out, "0\r\n\r\n", 5);
  ms_caller_flush (c);
  answered (c);
}

void
ms_caller_abort (struct ms_caller *c)
{
  c->request = NULL;
  if (!c->closed)
    close_caller (c, true);
  else if (!c->advancing)
    free_caller (c);
}

void
ms_caller_refuse (struct ms_caller *c, unsigned status, const char *reason,
                  ms_time retry_after)
{
  char body[160];
  int length = snprintf (body, sizeof body, "{\"error\":\"%s\"}\n", reason);

  /* Callers come again on a new connection; this one would stay idle.  */
  if (status == HTTP_STATUS_SERVICE_UNAVAILABLE)
    c->keep_alive = false;

  if (!c->closed)
    {
      struct ms_str id
          = ms_parser_has_head (c->parser)
                ? ms_head_find (ms_parser_head (c->parser), PLAT_ATTEMPT_ID)
                : (struct ms_str){ NULL, 0 };

      print_status (c, status);
      if (id.data && id.length < 128)
        print (c, PLAT_ATTEMPT_ID ": %.*s\r\n", (int)id.length, id.data);
      if (retry_after)
        print (c, "Retry-After: %.3f\r\n", (double)retry_after / MS_SEC);
      print (c,
             "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
             length, body);
      ms_caller_flush (c);
    }
  answered (c);
}

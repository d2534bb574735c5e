#include "gateway/caller.h"

#include <http_parser.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/metrics.h"
#include "gateway/request.h"
#include "gateway/socket.h"

/* Limits that hold until the first configuration is read.  */
#define DEFAULT_MAX_HEAD_BYTES 16384
#define DEFAULT_MAX_BODY_BYTES 4194304
#define DEFAULT_HEAD_TIMEOUT (3 * MS_SEC)
#define DEFAULT_IDLE_TIMEOUT (15 * MS_SEC)

/* The timeout of a whole request is this many times that of its headers.  */
#define BODY_TIMEOUT_FACTOR 3

/* Idle connections are kept this much longer than the configured idle timeout,
   so that callers close them first.  */
#define IDLE_TIMEOUT_MARGIN (1 * MS_SEC)

/* To free descriptors, only connections idle for at least this long are
   closed.  */
#define MIN_IDLE_TO_EVICT (1 * MS_SEC)

/* While a request is in progress, reading stops once more than this was
   received after the end of that request.  */
#define MAX_PENDING_BYTES 65536

/* The rate at which callers read is measured over this time, and the newest
   measurement counts with RATE_WEIGHT.  */
#define RATE_PERIOD (500 * MS_MSEC)
#define RATE_WEIGHT 0.5

/* A larger output buffer is not kept.  */
#define MAX_KEPT_BYTES 65536

/* Bounds on open sockets, in percent of the file descriptors that the settings
   allow.  Above the first, idle connections are closed in the order in which
   they were accepted; above the second, new ones are reset.  The rest is kept
   for files, endpoints, the store and peers.  */
#define EVICT_SOCKETS_PERCENT 60
#define MAX_SOCKETS_PERCENT 75

/* Request bodies held at once, in percent of the memory that the settings
   allow; what exceeds it is refused.  */
#define MAX_BODY_MEMORY_PERCENT 25

struct buffer
{
  char *data;
  size_t length;
  size_t capacity;
};

struct ms_caller
{
  struct ms_gateway *gw;
  struct ms_socket *socket;
  struct ms_parser *parser;
  struct buffer pending; /* Received, not parsed yet.  */
  struct buffer body;    /* Body of the current request.  */
  struct buffer out;     /* Response bytes not given to the socket yet.  */
  struct ms_request *request; /* In progress; NULL if none.  */
  ms_time timed_from;         /* Start of the idle time or of the request.  */
  ms_time sent_at; /* When the first byte of the request arrived, or later.  */
  uint64_t written; /* Bytes given to the socket...  */
  uint64_t taken;   /* ...and taken from it, at rated_at.  */
  double rate;      /* Bytes per second that it took of late.  */
  ms_time rated_at;
  unsigned refuse_status; /* Error for this request; 0 if valid.  */
  bool complete;          /* Set to false only and never read.  */
  bool keep_alive;
  enum ms_framing framing; /* Of the response.  */
  bool closed;             /* SOCKET is closed and NULL.  */
  bool parsing; /* Within parse_requests, which then frees it if closed.  */
  struct ms_caller *prev, *next;
};

static void
buffer_append (struct buffer *b, const char *data, size_t length)
{
  if (b->length + length > b->capacity)
    {
      size_t wanted = b->capacity ? b->capacity : 512;

      while (wanted < b->length + length)
        wanted *= 2;
      b->data = ms_resize (b->data, wanted, 1);
      b->capacity = wanted;
    }
  if (length)
    memcpy (b->data + b->length, data, length);
  b->length += length;
}

static void
buffer_free (struct buffer *b)
{
  free (b->data);
  *b = (struct buffer){ 0 };
}

static const struct ms_caller_limits *
caller_limits (const struct ms_gateway *gw)
{
  static const struct ms_caller_limits defaults
      = { DEFAULT_MAX_HEAD_BYTES, DEFAULT_MAX_BODY_BYTES, DEFAULT_HEAD_TIMEOUT,
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
  buffer_free (&c->pending);
  buffer_free (&c->body);
  buffer_free (&c->out);
  free (c);
}

/* Close the connection, with a TCP reset if RESET.  C is freed at once, or by
   whoever still uses it: its request or parse_requests.  */
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
  if (!c->request && !c->parsing)
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
ms_caller_has_closed (const struct ms_caller *c)
{
  return c->closed || ms_socket_hung_up (c->socket);
}

ms_time
ms_caller_sent_at (const struct ms_caller *c)
{
  ms_time data_at
      = c->closed ? c->gw->now : c->gw->now - ms_socket_data_age (c->socket);

  return data_at < c->sent_at ? data_at : c->sent_at;
}

/* The status with which a request with HEAD is refused; 0 if it is valid.  */
static unsigned
validate_head (const struct ms_gateway *gw, const struct ms_head *head)
{
  unsigned hosts = 0;

  for (unsigned i = 0; i < head->headers_count; i++)
    hosts += ms_header_is (head->headers[i].name, "Host");
  if (hosts != 1 || !head->target.length || head->target.data[0] != '/')
    return HTTP_STATUS_BAD_REQUEST;
  if (head->has_length
      && head->content_length > caller_limits (gw)->max_body_bytes)
    return HTTP_STATUS_PAYLOAD_TOO_LARGE;
  return 0;
}

static void
on_head (void *context, const struct ms_head *head)
{
  struct ms_caller *c = context;

  c->refuse_status = validate_head (c->gw, head);
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
  if (c->body.length + length > caller_limits (gw)->max_body_bytes)
    c->refuse_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
  else if (gw->body_bytes + length > memory / 100 * MAX_BODY_MEMORY_PERCENT)
    c->refuse_status = HTTP_STATUS_SERVICE_UNAVAILABLE;
  else
    {
      buffer_append (&c->body, data, length);
      gw->body_bytes += length;
    }
}

static const struct ms_message_sink sink
    = { .head = on_head, .body = on_body };

/* Drop the request that has ended and wait for the next one.  */
static void
reset_request (struct ms_caller *c)
{
  ms_parser_reset (c->parser);
  c->gw->body_bytes -= c->body.length;
  buffer_free (&c->body);
  c->refuse_status = 0;
  c->complete = false;
  c->timed_from = c->sent_at = c->gw->now;
}

/* Refuse with STATUS a request that is invalid, too large or too slow, or
   whose body exceeds the memory for bodies.  Close the connection, since the
   next request's start is not known.  */
static void
refuse_and_close (struct ms_caller *c, unsigned status)
{
  c->keep_alive = false;
  ms_event (c->gw->now, "bad_request", "status=%u", status);
  ms_caller_refuse (c, status, "malformed", 0);
}

/* Parse pending bytes up to the end of one request and start that.  Return
   whether there may be another one.  */
static bool
parse_pending (struct ms_caller *c)
{
  size_t used;
  enum ms_parse result
      = ms_parser_feed (c->parser, c->pending.data, c->pending.length, &used);

  memmove (c->pending.data, c->pending.data + used, c->pending.length - used);
  c->pending.length -= used;
  if (!c->pending.length)
    buffer_free (&c->pending);
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

/* Parse and start the pending requests one after another, each once the last
   has ended.  A request may end while it is started, which calls this again;
   the inner call leaves the rest to the outer one.  */
static void
parse_requests (struct ms_caller *c)
{
  if (c->parsing)
    return;
  c->parsing = true;
  while (!c->closed && !c->request && c->pending.length && parse_pending (c))
    ;
  c->parsing = false;
  if (c->closed && !c->request)
    free_caller (c);
}

static void
on_read (void *owner, const char *data, size_t length)
{
  struct ms_caller *c = owner;

  if (!c->request && !ms_parser_started (c->parser) && !c->pending.length)
    {
      c->timed_from = ms_gateway_update_time (c->gw);
      c->sent_at = c->timed_from - ms_socket_data_age (c->socket);
    }
  buffer_append (&c->pending, data, length);
  if (c->request && c->pending.length > MAX_PENDING_BYTES)
    ms_socket_pause (c->socket);
  parse_requests (c);
}

static void
on_ended (void *owner, enum ms_close how)
{
  struct ms_caller *c = owner;
  struct ms_request *r = c->request;

  (void)how;
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

static struct ms_caller *
create_caller (struct ms_gateway *gw)
{
  struct ms_caller *c = ms_new (sizeof *c);

  c->gw = gw;
  c->timed_from = c->rated_at = gw->now;
  return c;
}

/* Start to serve C, whose connection was accepted, or reset that if too many
   sockets are open.  */
static void
start_caller (struct ms_caller *c)
{
  struct ms_gateway *gw = c->gw;
  unsigned limit = gw->settings->file_descriptors / 100 * MAX_SOCKETS_PERCENT;

  if (ms_socket_open_count () > limit)
    {
      gw->rejected_connections++;
      ms_socket_reset (c->socket);
      free (c);
      return;
    }
  c->parser
      = ms_parser_create (true, caller_limits (gw)->max_head_bytes, &sink, c);
  DL_APPEND (gw->callers, c);
}

void
ms_callers_accept (uv_stream_t *listener, int status)
{
  struct ms_gateway *gw = listener->data;
  struct ms_caller *c;

  if (status)
    {
      ms_event (gw->now, "accept_failed", "error=%s", uv_strerror (status));
      return;
    }
  c = create_caller (gw);
  c->socket = ms_socket_accept (listener, &events, c);
  if (c->socket)
    {
      start_caller (c);
      return;
    }
  ms_event (gw->now, "accept_failed", "error=socket");
  free (c);
}

void
ms_callers_accept_waiting (struct ms_gateway *gw)
{
  for (;;)
    {
      struct ms_caller *c = create_caller (gw);

      c->socket = ms_socket_accept_waiting (&gw->caller_listener, &events, c);
      if (!c->socket)
        {
          free (c);
          return;
        }
      start_caller (c);
    }
}

/* If too many sockets are open, close idle connections in the order in which
   they were accepted.  */
static void
evict_idle (struct ms_gateway *gw)
{
  unsigned limit
      = gw->settings->file_descriptors / 100 * EVICT_SOCKETS_PERCENT;
  unsigned open = ms_socket_open_count ();
  struct ms_caller *c, *next;

  if (open <= limit)
    return;
  /* New connections are appended, so the list has that order.  */
  DL_FOREACH_SAFE (gw->callers, c, next)
  {
    if (c->request || c->closed || ms_parser_started (c->parser)
        || gw->now - c->timed_from < MIN_IDLE_TO_EVICT)
      continue;
    close_caller (c, false);
    if (--open <= limit)
      return;
  }
}

/* End the request of C if C has disconnected while its connection is not read,
   which hides that.  A caller that has filled the receive buffer as well is
   not seen to disconnect: its FIN waits behind the closed window.  */
static void
check_hung_up (struct ms_caller *c)
{
  if (c->request && !c->closed && ms_socket_paused (c->socket)
      && ms_socket_hung_up (c->socket))
    ms_request_caller_gone (c->request);
}

/* Close C if it was idle for too long, or refuse its request if that arrives
   too slowly.  */
static void
check_timeout (struct ms_caller *c, ms_time now)
{
  const struct ms_caller_limits *limits = caller_limits (c->gw);
  ms_time elapsed = now - c->timed_from;

  if (c->request || c->closed)
    return;
  if (!ms_parser_started (c->parser))
    {
      if (elapsed > limits->idle_timeout + IDLE_TIMEOUT_MARGIN)
        close_caller (c, false);
    }
  else if (elapsed
           > limits->head_timeout
                 * (ms_parser_has_head (c->parser) ? BODY_TIMEOUT_FACTOR : 1))
    refuse_and_close (c, HTTP_STATUS_REQUEST_TIMEOUT);
}

/* Tell the room what responses take now.  */
static void
update_room (struct ms_gateway *gw)
{
  ms_room_update (gw->room, ms_sockets_queued_accepted () + gw->held_back,
                  gw->now);
}

/* Measure how fast C takes what was written to it.  */
static void
measure_rate (struct ms_caller *c, ms_time now)
{
  uint64_t taken;

  if (c->closed || now - c->rated_at < RATE_PERIOD)
    return;
  taken = c->written - ms_socket_queued (c->socket);
  c->rate
      += RATE_WEIGHT
         * ((double)(taken - c->taken) * MS_SEC / (double)(now - c->rated_at)
            - c->rate);
  c->taken = taken;
  c->rated_at = now;
}

static struct ms_room_caller
describe_for_room (const struct ms_caller *c)
{
  return (struct ms_room_caller){
    .queued = ms_socket_queued (c->socket),
    .rate = c->rate,
    .may_repeat = !c->request || ms_request_may_repeat (c->request),
  };
}

/* The caller that is ended first to make room; NULL if nothing waits for
   any.  */
static struct ms_caller *
find_slowest (const struct ms_gateway *gw)
{
  struct ms_caller *c;
  struct ms_caller *slowest = NULL;
  struct ms_room_caller worst;

  DL_FOREACH (gw->callers, c)
  {
    struct ms_room_caller candidate;

    if (c->closed || !ms_socket_queued (c->socket))
      continue;
    candidate = describe_for_room (c);
    if (slowest && !ms_room_ends_first (&candidate, &worst))
      continue;
    slowest = c;
    worst = candidate;
  }
  return slowest;
}

/* End callers until there is room again, as far as that helps: the memory is
   freed after the sweep.  */
static void
make_room (struct ms_gateway *gw)
{
  size_t held = ms_sockets_queued_accepted () + gw->held_back;

  while (ms_room_must_end (gw->room))
    {
      struct ms_caller *c = find_slowest (gw);
      size_t freed;

      if (c)
        {
          freed = ms_socket_queued (c->socket);
          ms_event (gw->now, "no_room", "queued=%zu rate=%.0f held=%zu", freed,
                    c->rate, held);
          if (c->request)
            ms_request_no_room (c->request);
          else
            close_caller (c, true);
        }
      else
        {
          freed = ms_sockets_reset_closed ();
          if (!freed)
            return;
          ms_event (gw->now, "no_room", "queued=%zu closed=1 held=%zu", freed,
                    held);
        }
      ms_metric_room_ended ();
      held -= freed < held ? freed : held;
      ms_room_update (gw->room, held, gw->now);
    }
}

/* Keep what responses take within the room, and resume endpoints that were
   stopped while it was scarce.  */
static void
sweep_room (struct ms_gateway *gw, ms_time now)
{
  struct ms_caller *c, *next;

  update_room (gw);
  if (ms_room_scarce (gw->room) != gw->room_scarce)
    {
      gw->room_scarce = !gw->room_scarce;
      ms_event (now, "room", "scarce=%d held=%zu requests=%u", gw->room_scarce,
                ms_sockets_queued_accepted () + gw->held_back,
                gw->requests_count);
    }
  DL_FOREACH_SAFE (gw->callers, c, next) { measure_rate (c, now); }
  make_room (gw);
  DL_FOREACH_SAFE (gw->callers, c, next)
  {
    if (c->request && !c->closed
        && ms_room_may_read (gw->room, ms_socket_queued (c->socket)))
      ms_request_caller_drained (c->request);
  }
}

void
ms_callers_sweep (struct ms_gateway *gw, ms_time now)
{
  struct ms_caller *c, *next;

  if (gw->rejected_connections)
    ms_event (now, "callers_turned_away", "count=%u sockets=%u",
              gw->rejected_connections, ms_socket_open_count ());
  gw->rejected_connections = 0;
  DL_FOREACH_SAFE (gw->callers, c, next) { check_timeout (c, now); }
  DL_FOREACH_SAFE (gw->callers, c, next) { check_hung_up (c); }
  sweep_room (gw, now);
  evict_idle (gw);
}

unsigned
ms_callers_close_idle (struct ms_gateway *gw)
{
  struct ms_caller *c, *next;
  unsigned open = 0;

  DL_FOREACH_SAFE (gw->callers, c, next)
  {
    if (c->request || ms_parser_started (c->parser) || c->pending.length
        || (!c->closed && ms_socket_has_data (c->socket)))
      open++;
    else
      close_caller (c, false);
  }
  return open;
}

/* Append to the response a formatted text, which must be shorter than 512
   bytes.  */
static void append_format (struct ms_caller *c, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
append_format (struct ms_caller *c, const char *format, ...)
{
  char text[512];
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (text, sizeof text, format, args);
  va_end (args);
  buffer_append (&c->out, text,
                 (size_t)n < sizeof text ? (size_t)n : sizeof text);
}

/* Append the status line, and "Connection: close" if the connection ends with
   this response.  Callers are moved to other routers that way after SIGTERM
   and while this router has more than its share of the requests.  */
static void
append_status (struct ms_caller *c, unsigned status)
{
  append_format (c, "HTTP/1.1 %u %s\r\n", status, http_status_str (status));
  if (c->gw->terminated_at || c->gw->crowded)
    c->keep_alive = false;
  if (!c->keep_alive)
    append_format (c, "Connection: close\r\n");
}

/* Whether the header NAME is about one connection or its framing, and so is
   not copied from the endpoint's response.  */
static bool
is_hop_by_hop (struct ms_str name)
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
ms_caller_start_response (struct ms_caller *c, const struct ms_head *head,
                          enum ms_framing framing, uint64_t length)
{
  if (c->closed)
    return;
  c->framing = framing;
  if (framing == MS_FRAMED_CLOSE)
    {
      c->keep_alive = false;
      ms_socket_reset_at_exit (c->socket);
    }
  append_status (c, head->status);
  for (unsigned i = 0; i < head->headers_count; i++)
    {
      const struct ms_header *h = &head->headers[i];

      /* What an endpoint says of itself is for its router.  */
      if (is_hop_by_hop (h->name) || ms_header_is (h->name, PLAT_LEAVING)
          || ms_header_is (h->name, PLAT_RATE_LIMIT))
        continue;
      buffer_append (&c->out, h->name.data, h->name.length);
      buffer_append (&c->out, ": ", 2);
      buffer_append (&c->out, h->value.data, h->value.length);
      buffer_append (&c->out, "\r\n", 2);
    }
  if (framing == MS_FRAMED_LENGTH)
    append_format (c, "Content-Length: %llu\r\n", (unsigned long long)length);
  else if (framing == MS_FRAMED_CHUNKS)
    append_format (c, "Transfer-Encoding: chunked\r\n");
  buffer_append (&c->out, "\r\n", 2);
}

void
ms_caller_append_body (struct ms_caller *c, const char *data, size_t length)
{
  if (c->closed || !length || c->framing == MS_FRAMED_NONE)
    return;
  if (c->framing == MS_FRAMED_CHUNKS)
    append_format (c, "%zx\r\n", length);
  buffer_append (&c->out, data, length);
  if (c->framing == MS_FRAMED_CHUNKS)
    buffer_append (&c->out, "\r\n", 2);
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
      c->written += c->out.length;
      c->out.length = 0;
      if (c->out.capacity > MAX_KEPT_BYTES)
        buffer_free (&c->out);
    }
  update_room (c->gw);
  return ms_room_may_read (c->gw->room, ms_socket_queued (c->socket));
}

/* The response is complete: start the next request, or close.  */
static void
finish_request (struct ms_caller *c)
{
  c->request = NULL;
  buffer_free (&c->out);
  if (c->closed)
    {
      if (!c->parsing)
        free_caller (c);
      return;
    }
  if (!c->keep_alive)
    {
      close_caller (c, false);
      return;
    }
  reset_request (c);
  ms_socket_resume (c->socket);
  parse_requests (c);
}

void
ms_caller_end_response (struct ms_caller *c)
{
  if (!c->closed && c->framing == MS_FRAMED_CHUNKS)
    buffer_append (&c->out, "0\r\n\r\n", 5);
  ms_caller_flush (c);
  finish_request (c);
}

void
ms_caller_abort (struct ms_caller *c)
{
  c->request = NULL;
  if (!c->closed)
    close_caller (c, true);
  else if (!c->parsing)
    free_caller (c);
}

void
ms_caller_refuse (struct ms_caller *c, unsigned status, const char *reason,
                  ms_time retry_after)
{
  char body[160];
  int length = snprintf (body, sizeof body, "{\"error\":\"%s\"}\n", reason);

  /* Callers retry on a new connection, so this one would only stay idle.  */
  if (status == HTTP_STATUS_SERVICE_UNAVAILABLE)
    c->keep_alive = false;

  if (!c->closed)
    {
      struct ms_str id
          = ms_parser_has_head (c->parser)
                ? ms_head_find (ms_parser_head (c->parser), PLAT_ATTEMPT_ID)
                : (struct ms_str){ NULL, 0 };

      append_status (c, status);
      if (id.data && id.length < 128)
        append_format (c, PLAT_ATTEMPT_ID ": %.*s\r\n", (int)id.length,
                       id.data);
      if (retry_after)
        append_format (c, "Retry-After: %.3f\r\n",
                       (double)retry_after / MS_SEC);
      append_format (
          c, "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
          length, body);
      ms_caller_flush (c);
    }
  finish_request (c);
}

#include "gateway/exchange.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "gateway/socket.h"
#include "platform.h"
#include "wire/message.h"

/* Limit on the names and values of a response's headers.  */
#define MAX_HEAD_BYTES 16384

/* Far above any response that the gateway asks for.  */
#define MAX_BODY_BYTES (8u << 20)

struct ms_exchange
{
  uv_loop_t *loop;
  const struct ms_clock *clock;
  uv_timer_t timer;
  struct ms_socket *socket;
  struct ms_parser *parser;
  struct sockaddr_in server;
  bool connected;
  bool busy;       /* A call is in progress.  */
  bool keep_alive; /* The connection can be used for another call.  */
  size_t max_body; /* Bytes of a response's body.  */
  bool too_large;  /* The response's body exceeds that.  */
  unsigned code;   /* Status code of the response.  */
  uint64_t era;    /* Of the store, as of ms_exchange_era.  */
  char *body;
  size_t body_length;
  size_t body_capacity;
  char *request; /* The whole message; NULL while no call is made.  */
  size_t request_length;
  ms_time sent_at;
  ms_exchange_done *done;
  void *context;
  ms_exchange_head *take_head; /* May be NULL.  */
  void *head_context;
};

static void
close_connection (struct ms_exchange *x)
{
  if (x->socket)
    ms_socket_reset (x->socket);
  x->socket = NULL;
  x->connected = false;
}

/* End the call in progress, if any, with STATUS.  */
static void
finish_call (struct ms_exchange *x, enum ms_status status)
{
  ms_exchange_done *done = x->done;
  struct ms_str body = { x->body, status == MS_OK ? x->body_length : 0 };

  if (!x->busy)
    return;
  uv_timer_stop (&x->timer);
  if (status != MS_OK || !x->keep_alive)
    close_connection (x);
  free (x->request);
  x->request = NULL;
  x->busy = false;
  /* DONE may start the next call, which must not reuse this body.  */
  x->body = NULL;
  x->body_length = x->body_capacity = 0;
  done (x->context, status, x->code, body, x->sent_at);
  free ((char *)body.data);
}

static void
on_head (void *context, const struct ms_head *head)
{
  struct ms_exchange *x = context;

  x->code = head->status;
  x->era = plat_decode_era (head);
  x->keep_alive = head->keep_alive;
  if (x->take_head && x->busy)
    x->take_head (x->head_context, head);
}

static void
on_body (void *context, const char *data, size_t length)
{
  struct ms_exchange *x = context;

  x->too_large = x->too_large || x->body_length + length > x->max_body;
  if (x->too_large)
    return;
  if (x->body_length + length > x->body_capacity)
    {
      x->body_capacity = x->body_capacity ? x->body_capacity * 2 : 1024;
      while (x->body_capacity < x->body_length + length)
        x->body_capacity *= 2;
      x->body = ms_resize (x->body, x->body_capacity, 1);
    }
  memcpy (x->body + x->body_length, data, length);
  x->body_length += length;
}

static const struct ms_message_sink sink
    = { .head = on_head, .body = on_body };

static void
send_request (struct ms_exchange *x)
{
  uv_buf_t buffer = uv_buf_init (x->request, (unsigned)x->request_length);

  ms_parser_reset (x->parser);
  ms_socket_write (x->socket, &buffer, 1);
}

static void
on_connected (void *owner, enum ms_status status)
{
  struct ms_exchange *x = owner;

  if (status != MS_OK)
    {
      finish_call (x, MS_UNAVAILABLE);
      return;
    }
  x->connected = true;
  send_request (x);
}

static void
on_read (void *owner, const char *data, size_t length)
{
  struct ms_exchange *x = owner;
  size_t used;
  enum ms_parse result;

  if (!x->busy)
    {
      /* Bytes received while no call is in progress.  */
      close_connection (x);
      return;
    }
  result = ms_parser_feed (x->parser, data, length, &used);
  if (result == MS_PARSE_MORE && !x->too_large)
    return;
  if (result == MS_PARSE_COMPLETE && used < length)
    x->keep_alive = false;
  finish_call (x, result == MS_PARSE_COMPLETE && !x->too_large
                      ? MS_OK
                      : MS_UNAVAILABLE);
}

static void
on_ended (void *owner, enum ms_close how)
{
  struct ms_exchange *x = owner;
  bool complete = how == MS_CLOSE_ORDERLY && x->busy && !x->too_large
                  && ms_parser_close (x->parser) == MS_PARSE_COMPLETE;

  close_connection (x);
  finish_call (x, complete ? MS_OK : MS_UNAVAILABLE);
}

static void
on_drained (void *owner)
{
  (void)owner;
}

static const struct ms_socket_events events = {
  .connected = on_connected,
  .read = on_read,
  .ended = on_ended,
  .drained = on_drained,
};

static void
on_timeout (uv_timer_t *timer)
{
  finish_call (timer->data, MS_UNAVAILABLE);
}

struct ms_exchange *
ms_exchange_create (uv_loop_t *loop, const struct ms_clock *clock)
{
  struct ms_exchange *x = ms_new (sizeof *x);

  x->loop = loop;
  x->clock = clock;
  x->max_body = MAX_BODY_BYTES;
  x->parser = ms_parser_create (false, MAX_HEAD_BYTES, &sink, x);
  uv_timer_init (loop, &x->timer);
  x->timer.data = x;
  return x;
}

static void
free_exchange (uv_handle_t *timer)
{
  struct ms_exchange *x = timer->data;

  ms_parser_destroy (x->parser);
  free (x->request);
  free (x->body);
  free (x);
}

void
ms_exchange_destroy (struct ms_exchange *x)
{
  if (!x)
    return;
  x->busy = false;
  close_connection (x);
  uv_close ((uv_handle_t *)&x->timer, free_exchange);
}

void
ms_exchange_on_head (struct ms_exchange *x, ms_exchange_head *take,
                     void *context)
{
  x->take_head = take;
  x->head_context = context;
}

void
ms_exchange_limit_body (struct ms_exchange *x, size_t size)
{
  x->max_body = size;
}

bool
ms_exchange_busy (const struct ms_exchange *exchange)
{
  return exchange->busy;
}

uint64_t
ms_exchange_era (const struct ms_exchange *exchange)
{
  return exchange->era;
}

/* Write the request line, headers and BODY to a new x->request.  */
static void
compose_request (struct ms_exchange *x, const char *method, const char *path,
                 struct ms_str body)
{
  char host[INET_ADDRSTRLEN];
  size_t space = strlen (path) + body.length + 256;
  int head;

  inet_ntop (AF_INET, &x->server.sin_addr, host, sizeof host);
  x->request = ms_new (space);
  head
      = snprintf (x->request, space,
                  "%s %s HTTP/1.1\r\nHost: %s:%u\r\nContent-Length: "
                  "%zu\r\n\r\n",
                  method, path, host, ntohs (x->server.sin_port), body.length);
  if (body.length)
    memcpy (x->request + head, body.data, body.length);
  x->request_length = (size_t)head + body.length;
}

void
ms_exchange_call (struct ms_exchange *x, const struct sockaddr_in *server,
                  const char *method, const char *path, struct ms_str body,
                  ms_time timeout, ms_exchange_done *done, void *context)
{
  bool same = x->server.sin_addr.s_addr == server->sin_addr.s_addr
              && x->server.sin_port == server->sin_port;

  x->busy = true;
  x->done = done;
  x->context = context;
  x->sent_at = ms_now (x->clock);
  x->code = 0;
  x->era = 0;
  x->too_large = false;
  x->body_length = 0;
  uv_timer_start (&x->timer, on_timeout, (uint64_t)(timeout / MS_MSEC), 0);
  if (!same)
    close_connection (x);
  x->server = *server;
  compose_request (x, method, path, body);
  if (x->connected)
    {
      send_request (x);
      return;
    }
  close_connection (x);
  x->socket = ms_socket_connect (x->loop, server, &events, x);
  /* Report the failure after this function has returned.  */
  if (!x->socket)
    uv_timer_start (&x->timer, on_timeout, 1, 0);
}

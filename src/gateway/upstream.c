#include "gateway/upstream.h"

#include <stdlib.h>
#include <strings.h>
#include <utlist.h>

#include "base/alloc.h"
#include "gateway/request.h"
#include "gateway/socket.h"

#define HEAD_BYTES 32768

/* Idle connections that are kept if the endpoint does not say how long, and
   the margin to what it says.  */
#define DEFAULT_IDLE (2 * MS_SEC)
#define IDLE_MARGIN (700 * MS_MSEC)

/* A connection that is not made by then is given up.  */
#define CONNECT_TIMEOUT (400 * MS_MSEC)

enum state
{
  CONNECTING,
  BUSY,
  IDLE,
  CLOSED
};

struct ms_upstream
{
  struct ms_gateway *gw;
  struct ms_endpoint_state *endpoint;
  struct ms_request *request;
  struct ms_socket *socket;
  struct ms_parser *parser;
  enum state state;
  ms_time until;    /* Of connecting or of being idle.  */
  ms_time keep_for; /* How long the endpoint keeps it idle.  */
  bool keep;
  bool whole; /* The answer was read to its end.  */
  bool skip;  /* The answer belongs to another request.  */
  bool parsing;
  struct ms_upstream *prev, *next;
};

struct pool
{
  struct ms_upstream *all;
};

static struct pool *
pool_of (struct ms_endpoint_state *endpoint)
{
  if (!endpoint->attachment)
    endpoint->attachment = ms_new (sizeof (struct pool));
  return endpoint->attachment;
}

static void
free_upstream (struct ms_upstream *u)
{
  ms_parser_destroy (u->parser);
  free (u);
}

static void
close_upstream (struct ms_upstream *u)
{
  struct ms_endpoint_state *endpoint = u->endpoint;
  struct pool *pool = pool_of (endpoint);

  if (u->state == CLOSED)
    return;
  u->state = CLOSED;
  ms_socket_reset (u->socket);
  DL_DELETE (pool->all, u);
  if (!pool->all)
    {
      free (pool);
      endpoint->attachment = NULL;
    }
  ms_place_release (u->gw->place, endpoint);
  if (!u->parsing)
    free_upstream (u);
}

static void
fail (struct ms_upstream *u, enum ms_upstream_error error)
{
  struct ms_request *request = u->request;

  u->request = NULL;
  u->whole = false;
  if (request)
    ms_request_failed (request, error);
  close_upstream (u);
}

static ms_time
idle_time (const struct ms_head *head)
{
  struct ms_str value = ms_head_find (head, "Keep-Alive");

  for (size_t i = 0; value.data && i + 8 < value.length; i++)
    if (strncasecmp (value.data + i, "timeout=", 8) == 0)
      {
        ms_time told = strtol (value.data + i + 8, NULL, 10) * MS_SEC;

        return told > 2 * IDLE_MARGIN ? told - IDLE_MARGIN : told / 2;
      }
  return DEFAULT_IDLE;
}

static void
on_head (void *context, const struct ms_head *head)
{
  struct ms_upstream *u = context;

  u->skip = false;
  if (head->status < 200)
    {
      u->skip = true;
      return;
    }
  u->keep = head->keep_alive;
  u->keep_for = idle_time (head);
  if (u->request && !ms_request_head (u->request, head))
    u->skip = true;
}

static void
on_body (void *context, const char *data, size_t length)
{
  struct ms_upstream *u = context;

  if (u->request && !u->skip)
    ms_request_body (u->request, data, length);
}

static const struct ms_message_sink sink
    = { .head = on_head, .body = on_body };

static void
on_connected (void *owner, enum ms_status status)
{
  struct ms_upstream *u = owner;

  ms_gateway_time (u->gw);
  if (status != MS_OK)
    {
      fail (u, MS_UP_CONNECT);
      return;
    }
  u->state = BUSY;
  if (u->request)
    ms_request_ready (u->request);
}

/* A message ended, with REST bytes behind it.  */
static void
end_message (struct ms_upstream *u, size_t rest)
{
  struct ms_request *request = u->request;

  ms_parser_reset (u->parser);
  if (u->skip)
    return;
  /* Bytes behind the answer belong to no request.  */
  if (rest)
    u->keep = false;
  u->whole = true;
  u->request = NULL;
  ms_request_end (request);
}

/* Feed what came to the parser, message by message.  */
static void
parse (struct ms_upstream *u, const char *data, size_t length)
{
  while (length && u->request)
    {
      const struct ms_request *request = u->request;
      size_t used;
      enum ms_parse result = ms_parser_feed (u->parser, data, length, &used);

      data += used;
      length -= used;
      if (u->request != request)
        return;
      if (result == MS_PARSE_COMPLETE)
        {
          bool skipped = u->skip;

          end_message (u, length);
          if (!skipped)
            return;
        }
      else if (result != MS_PARSE_MORE)
        {
          fail (u, MS_UP_BAD_BYTES);
          return;
        }
    }
}

static void
on_read (void *owner, const char *data, size_t length)
{
  struct ms_upstream *u = owner;

  ms_gateway_time (u->gw);
  if (u->state != BUSY || !u->request)
    {
      close_upstream (u);
      return;
    }
  u->parsing = true;
  parse (u, data, length);
  if (u->state == BUSY && u->request)
    ms_request_flush (u->request);
  u->parsing = false;
  if (u->state == CLOSED)
    free_upstream (u);
}

static void
on_ended (void *owner, bool orderly)
{
  struct ms_upstream *u = owner;

  ms_gateway_time (u->gw);
  u->parsing = true;
  u->keep = false;
  if (orderly && u->request && ms_parser_close (u->parser) == MS_PARSE_COMPLETE
      && u->request)
    end_message (u, 1);
  if (u->state != CLOSED)
    fail (u, MS_UP_BROKEN);
  u->parsing = false;
  free_upstream (u);
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

static struct ms_upstream *
find_idle (struct pool *pool, ms_time now)
{
  struct ms_upstream *u;
  struct ms_upstream *best = NULL;

  /* The one used last is the least likely to be closed.  */
  DL_FOREACH (pool->all, u)
  {
    if (u->state == IDLE && u->until > now
        && (!best || u->until > best->until))
      best = u;
  }
  return best;
}

static struct ms_upstream *
open_new (struct ms_gateway *gw, struct ms_endpoint_state *endpoint)
{
  struct ms_upstream *u = ms_new (sizeof *u);

  u->gw = gw;
  u->endpoint = endpoint;
  u->socket
      = ms_socket_connect (&gw->loop, &endpoint->entry.address, &events, u);
  if (!u->socket)
    {
      free (u);
      return NULL;
    }
  u->parser = ms_parser_create (false, HEAD_BYTES, &sink, u);
  u->state = CONNECTING;
  u->until = gw->now + CONNECT_TIMEOUT;
  DL_APPEND (pool_of (endpoint)->all, u);
  ms_place_hold (endpoint);
  return u;
}

struct ms_upstream *
ms_upstream_open (struct ms_gateway *gw, struct ms_endpoint_state *endpoint,
                  struct ms_request *request)
{
  struct ms_upstream *u
      = endpoint->attachment ? find_idle (pool_of (endpoint), gw->now) : NULL;

  if (u)
    {
      u->state = BUSY;
      ms_parser_reset (u->parser);
    }
  else
    u = open_new (gw, endpoint);
  if (!u)
    return NULL;
  u->request = request;
  u->whole = false;
  u->keep = false;
  return u;
}

bool
ms_upstream_connected (const struct ms_upstream *upstream)
{
  return upstream->state == BUSY;
}

void
ms_upstream_send (struct ms_upstream *u, const uv_buf_t *buffers,
                  unsigned count)
{
  ms_socket_write (u->socket, buffers, count);
}

void
ms_upstream_pause (struct ms_upstream *upstream)
{
  ms_socket_pause (upstream->socket);
}

void
ms_upstream_resume (struct ms_upstream *upstream)
{
  ms_socket_resume (upstream->socket);
}

void
ms_upstream_release (struct ms_upstream *u)
{
  u->request = NULL;
  if (u->state == CLOSED)
    return;
  if (!u->whole || !u->keep || ms_socket_queued (u->socket)
      || !u->endpoint->listed || u->endpoint->entry.leaving)
    {
      close_upstream (u);
      return;
    }
  u->state = IDLE;
  u->until = u->gw->now + u->keep_for;
  ms_socket_resume (u->socket);
}

static void
check_pool (struct ms_endpoint_state *endpoint, ms_time now)
{
  struct pool *pool = endpoint->attachment;
  struct ms_upstream *u, *next;

  DL_FOREACH_SAFE (pool->all, u, next)
  {
    bool last = u->next == NULL;

    if (u->state == CONNECTING && now > u->until)
      fail (u, MS_UP_CONNECT);
    else if (u->state == IDLE && (now > u->until || !endpoint->listed))
      close_upstream (u);
    if (last)
      break;
  }
}

struct expiry
{
  ms_time now;
  struct ms_endpoint_state *endpoints[1024];
  unsigned count;
};

static void
collect (void *context, struct ms_endpoint_state *endpoint)
{
  struct expiry *expiry = context;

  if (endpoint->attachment && expiry->count < 1024)
    expiry->endpoints[expiry->count++] = endpoint;
}

void
ms_upstreams_tick (struct ms_gateway *gw, ms_time now)
{
  static struct expiry expiry;

  expiry.now = now;
  expiry.count = 0;
  ms_place_each (gw->place, collect, &expiry);
  for (unsigned i = 0; i < expiry.count; i++)
    {
      ms_place_hold (expiry.endpoints[i]);
      if (expiry.endpoints[i]->attachment)
        check_pool (expiry.endpoints[i], now);
      ms_place_release (gw->place, expiry.endpoints[i]);
    }
}

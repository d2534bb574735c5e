#include "gateway/upstream.h"

#include <http_parser.h>
#include <stdlib.h>
#include <strings.h>
#include <utlist.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/metrics.h"
#include "gateway/request.h"
#include "gateway/socket.h"

/* Limit on the names and values of a response's headers.  */
#define MAX_HEAD_BYTES 32768

/* How long an idle connection may be reused if the endpoint sends no
   Keep-Alive timeout.  If it sends one, reuse ends IDLE_TIMEOUT_MARGIN before
   that timeout, or at half of it if it is short, so that a request is not sent
   on a connection that the endpoint is closing.  */
#define DEFAULT_IDLE_TIMEOUT (2 * MS_SEC)
#define IDLE_TIMEOUT_MARGIN (700 * MS_MSEC)
#define MAX_IDLE_TIMEOUT_S 3600

/* A connection attempt fails after this time.  */
#define CONNECT_TIMEOUT (400 * MS_MSEC)

/* Requests that were refused on a connection, by the hashes of their ids.  A
   connection is closed behind the last of them: an endpoint may write a
   refusal once more, which only the id tells from that of another request.  */
#define MAX_REFUSED 16

/* Most bytes of skipped responses that may precede the response to a
   request.  */
#define MAX_SKIPPED_BYTES 65536

enum state
{
  CONNECTING,
  BUSY, /* Lent to a request.  */
  IDLE, /* Connected, ready for a request.  */
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
  ms_time expires_at;   /* End of CONNECTING or of IDLE.  */
  ms_time idle_timeout; /* How long it may be IDLE.  */
  int64_t born;         /* The endpoint's start, as listed on connecting.  */
  bool keep_alive;      /* Reusable once the response is complete.  */
  bool complete;        /* The response was read to its end.  */
  bool skip; /* This response is 1xx or to another request: ignored.  */
  size_t skipped_bytes; /* Of such responses since the request was sent.  */
  uint64_t id;          /* Hash of the request's id, once it was lent.  */
  uint64_t refused[MAX_REFUSED];
  unsigned refused_count;
  bool parsing; /* Within on_read or on_ended, which free it if closed.  */
  struct ms_upstream *prev, *next;
};

/* All connections to one endpoint; attached to its state while there are
   any.  */
struct pool
{
  struct ms_upstream *connections;
};

/* The pool of ENDPOINT, created if there is none.  */
static struct pool *
get_pool (struct ms_endpoint_state *endpoint)
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

/* Close U.  It is freed at once, unless on_read or on_ended is using it: these
   free it when they are done.  */
static void
close_upstream (struct ms_upstream *u)
{
  struct ms_endpoint_state *endpoint = u->endpoint;
  struct pool *pool = get_pool (endpoint);

  if (u->state == CLOSED)
    return;
  u->state = CLOSED;
  ms_socket_reset (u->socket);
  DL_DELETE (pool->connections, u);
  if (!pool->connections)
    {
      free (pool);
      endpoint->attachment = NULL;
    }
  ms_place_release (u->gw->place, endpoint);
  if (!u->parsing)
    free_upstream (u);
}

/* Report ERROR to the request, if any, and close U.  */
static void
fail_upstream (struct ms_upstream *u, enum ms_upstream_error error)
{
  struct ms_request *request = u->request;

  u->request = NULL;
  u->complete = false;
  if (request)
    ms_request_upstream_failed (request, error);
  close_upstream (u);
}

/* How long the connection may be idle, by the Keep-Alive header of HEAD.  */
static ms_time
read_idle_timeout (const struct ms_head *head)
{
  struct ms_str value = ms_head_find (head, "Keep-Alive");

  for (size_t i = 0; value.data && i + 8 < value.length; i++)
    if (strncasecmp (value.data + i, "timeout=", 8) == 0)
      {
        struct ms_str rest = { value.data + i + 8, value.length - i - 8 };
        ms_time timeout
            = (ms_time)ms_str_number (rest, MAX_IDLE_TIMEOUT_S) * MS_SEC;

        return timeout > 2 * IDLE_TIMEOUT_MARGIN
                   ? timeout - IDLE_TIMEOUT_MARGIN
                   : timeout / 2;
      }
  return DEFAULT_IDLE_TIMEOUT;
}

/* Note whether the endpoint that sent HEAD says that it leaves.  A misdirected
   request was answered by another one than expected.  */
static void
note_leaving (struct ms_upstream *u, const struct ms_head *head)
{
  const struct ms_endpoint_state *e = u->endpoint;
  struct ms_gateway *gw = u->gw;
  bool misdirected = head->status == HTTP_STATUS_MISDIRECTED_REQUEST;
  bool changed;

  if (!plat_says_leaving (head))
    return;
  changed = misdirected
                ? ms_place_note_leaving_at (gw->place, &e->entry.address,
                                            e->id, gw->now)
                : ms_place_note_leaving (gw->place, e->id, u->born, gw->now);
  if (changed)
    ms_event (gw->now, "endpoint_leaving",
              "source=answer endpoint=%s misdirected=%d", e->entry.id.data,
              misdirected);
}

/* Note whether the endpoint that sent HEAD asks for a pause.  */
static void
note_pause (struct ms_upstream *u, const struct ms_head *head)
{
  struct ms_endpoint_state *e = u->endpoint;
  bool valid;
  ms_time pause = plat_decode_pause (head, &valid);

  if (!valid)
    ms_event (u->gw->now, "pause_invalid", "endpoint=%s", e->entry.id.data);
  if (!pause || !ms_place_is_start (e, u->born))
    return;
  ms_event (u->gw->now, "endpoint_paused", "endpoint=%s ms=%lld",
            e->entry.id.data, (long long)(pause / MS_MSEC));
  ms_place_pause (u->gw->place, e, pause, u->gw->now);
}

/* Note the limit of requests that the endpoint which sent HEAD names, or that
   it names none.  */
static void
note_rate_limit (struct ms_upstream *u, const struct ms_head *head)
{
  struct ms_endpoint_state *e = u->endpoint;
  bool valid;
  double limit = plat_decode_rate_limit (head, &valid);

  if (!valid)
    ms_event (u->gw->now, "rate_limit_invalid", "endpoint=%s",
              e->entry.id.data);
  if (head->status == HTTP_STATUS_MISDIRECTED_REQUEST
      || !ms_place_is_start (e, u->born))
    return;
  if (ms_place_note_rate_limit (e, limit, u->gw->now))
    ms_event (u->gw->now, "rate_limit", "source=answer endpoint=%s limit=%.3f",
              e->entry.id.data, limit);
}

/* Note what the endpoint that sent HEAD reports of its load.  */
static void
note_load (struct ms_upstream *u, const struct ms_head *head)
{
  struct ms_load_report report;
  bool valid;
  bool any = plat_decode_load (head, &report, &valid);

  if (any || !valid)
    ms_metric_server_load (valid);
  if (any && head->status != HTTP_STATUS_MISDIRECTED_REQUEST
      && ms_place_is_start (u->endpoint, u->born))
    ms_place_note_load (u->endpoint, &report, u->gw->now);
}

/* The request that U is lent to was refused.  */
static void
note_refusal (struct ms_upstream *u)
{
  u->refused[u->refused_count++] = u->id;
  if (u->refused_count == MAX_REFUSED)
    u->keep_alive = false;
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
  note_leaving (u, head);
  note_pause (u, head);
  note_rate_limit (u, head);
  note_load (u, head);
  u->keep_alive = head->keep_alive;
  u->idle_timeout = read_idle_timeout (head);
  if (u->request && !ms_request_response_head (u->request, head))
    u->skip = true;
  else if (u->request && ms_status_promises_not_run (head->status))
    note_refusal (u);
}

static void
on_body (void *context, const char *data, size_t length)
{
  struct ms_upstream *u = context;

  if (u->request && !u->skip)
    ms_request_response_body (u->request, data, length);
}

static const struct ms_message_sink sink
    = { .head = on_head, .body = on_body };

static void
on_connected (void *owner, enum ms_status status)
{
  struct ms_upstream *u = owner;

  ms_gateway_update_time (u->gw);
  if (status != MS_OK)
    {
      fail_upstream (u, MS_UPSTREAM_CONNECT);
      return;
    }
  u->state = BUSY;
  /* An endpoint that notices a closed connection only when it writes takes one
     more event for wanted unless it is a reset that it meets.  */
  ms_socket_reset_at_exit (u->socket);
  if (u->request)
    ms_request_upstream_connected (u->request);
}

/* A response is complete; REST bytes were received behind it.  */
static void
end_response (struct ms_upstream *u, size_t rest)
{
  struct ms_request *request = u->request;

  ms_parser_reset (u->parser);
  if (u->skip)
    return;
  /* Bytes behind the response belong to no request.  */
  if (rest)
    u->keep_alive = false;
  u->complete = true;
  u->request = NULL;
  ms_request_response_complete (request);
}

/* Parse received bytes up to the end of the request's response.  Skipped
   responses may precede it.  */
static void
parse_responses (struct ms_upstream *u, const char *data, size_t length)
{
  while (length && u->request)
    {
      const struct ms_request *request = u->request;
      size_t used;
      enum ms_parse result = ms_parser_feed (u->parser, data, length, &used);

      data += used;
      length -= used;
      if (u->skip)
        u->skipped_bytes += used;
      /* The callbacks of the parser ended the request.  */
      if (u->request != request)
        return;
      if (result == MS_PARSE_COMPLETE)
        {
          bool skipped = u->skip;

          end_response (u, length);
          if (!skipped)
            return;
        }
      if (u->skipped_bytes > MAX_SKIPPED_BYTES
          || (result != MS_PARSE_COMPLETE && result != MS_PARSE_MORE))
        {
          fail_upstream (u, MS_UPSTREAM_BAD_BYTES);
          return;
        }
    }
}

static void
on_read (void *owner, const char *data, size_t length)
{
  struct ms_upstream *u = owner;

  ms_gateway_update_time (u->gw);
  if (u->state != BUSY || !u->request)
    {
      /* Bytes received while no request uses the connection.  */
      close_upstream (u);
      return;
    }
  u->parsing = true;
  parse_responses (u, data, length);
  if (u->state == BUSY && u->request)
    ms_request_flush_response (u->request);
  u->parsing = false;
  if (u->state == CLOSED)
    free_upstream (u);
}

/* Whether the response that U receives may be complete if its connection ended
   as HOW says.  An endpoint that did not take the whole request may have given
   up; what it sent of a success is not known to be whole.  */
static bool
may_end_response (const struct ms_upstream *u, enum ms_close how)
{
  return how == MS_CLOSE_ORDERLY
         || (how == MS_CLOSE_THEN_RESET && ms_parser_has_head (u->parser)
             && ms_parser_head (u->parser)->status >= 300);
}

static void
on_ended (void *owner, enum ms_close how)
{
  struct ms_upstream *u = owner;

  ms_gateway_update_time (u->gw);
  u->parsing = true;
  u->keep_alive = false;
  /* A body without a length ends when the endpoint closes.  REST is 1, as the
     connection cannot be reused.  The request is checked again since the
     callbacks of the parser may have ended it.  */
  if (may_end_response (u, how) && u->request
      && ms_parser_close (u->parser) == MS_PARSE_COMPLETE && u->request)
    end_response (u, 1);
  if (u->state != CLOSED)
    fail_upstream (u, MS_UPSTREAM_BROKEN);
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

/* Whether a request whose id has the hash ID was refused on U.  */
static bool
has_refused (const struct ms_upstream *u, uint64_t id)
{
  for (unsigned i = 0; i < u->refused_count; i++)
    if (u->refused[i] == id)
      return true;
  return false;
}

static struct ms_upstream *
find_idle (struct pool *pool, uint64_t id, ms_time now)
{
  struct ms_upstream *u;
  struct ms_upstream *best = NULL;

  /* The one that expires last is the least likely to be closed by the
     endpoint.  */
  DL_FOREACH (pool->connections, u)
  {
    if (u->state == IDLE && u->expires_at > now && !has_refused (u, id)
        && (!best || u->expires_at > best->expires_at))
      best = u;
  }
  return best;
}

static struct ms_upstream *
open_connection (struct ms_gateway *gw, struct ms_endpoint_state *endpoint)
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
  u->parser = ms_parser_create (false, MAX_HEAD_BYTES, &sink, u);
  u->state = CONNECTING;
  u->born = endpoint->entry.born;
  u->expires_at = gw->now + CONNECT_TIMEOUT;
  DL_APPEND (get_pool (endpoint)->connections, u);
  ms_place_hold (endpoint);
  return u;
}

struct ms_upstream *
ms_upstream_open (struct ms_gateway *gw, struct ms_endpoint_state *endpoint,
                  struct ms_request *request, uint64_t id)
{
  struct ms_upstream *u = endpoint->attachment
                              ? find_idle (get_pool (endpoint), id, gw->now)
                              : NULL;

  if (u)
    {
      u->state = BUSY;
      ms_parser_reset (u->parser);
    }
  else
    u = open_connection (gw, endpoint);
  if (!u)
    return NULL;
  u->request = request;
  u->id = id;
  u->complete = false;
  u->keep_alive = false;
  u->skip = false;
  u->skipped_bytes = 0;
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
  if (upstream->state == BUSY)
    ms_socket_resume (upstream->socket);
}

void
ms_upstream_release (struct ms_upstream *u)
{
  u->request = NULL;
  if (u->state == CLOSED)
    return;
  if (!u->complete || !u->keep_alive || ms_socket_queued (u->socket)
      || !u->endpoint->listed || ms_place_is_leaving (u->endpoint))
    {
      close_upstream (u);
      return;
    }
  u->state = IDLE;
  u->expires_at = u->gw->now + u->idle_timeout;
  ms_socket_resume (u->socket);
}

/* Fail connections that are not made in time; close those idle for too long or
   to an endpoint no longer listed.  */
static void
check_pool (struct ms_endpoint_state *endpoint, ms_time now)
{
  struct pool *pool = endpoint->attachment;
  struct ms_upstream *u, *next;

  DL_FOREACH_SAFE (pool->connections, u, next)
  {
    /* Read before the calls below, which may free U and the pool.  */
    bool last = u->next == NULL;

    if (u->state == CONNECTING && now > u->expires_at)
      fail_upstream (u, MS_UPSTREAM_CONNECT);
    else if (u->state == IDLE && (now > u->expires_at || !endpoint->listed))
      close_upstream (u);
    if (last)
      break;
  }
}

/* Endpoints with connections, collected first because checking them may remove
   endpoints.  */
struct check_list
{
  struct ms_endpoint_state **endpoints;
  unsigned count;
  unsigned space; /* Elements allocated for endpoints.  */
};

static void
add_to_check (void *context, struct ms_endpoint_state *endpoint)
{
  struct check_list *list = context;

  if (!endpoint->attachment)
    return;
  if (list->count == list->space)
    {
      list->space = list->space ? list->space * 2 : 64;
      list->endpoints
          = ms_resize (list->endpoints, list->space, sizeof (void *));
    }
  list->endpoints[list->count++] = endpoint;
}

void
ms_upstreams_sweep (struct ms_gateway *gw, ms_time now)
{
  static struct check_list list;

  list.count = 0;
  ms_place_each (gw->place, add_to_check, &list);
  for (unsigned i = 0; i < list.count; i++)
    {
      ms_place_hold (list.endpoints[i]);
      if (list.endpoints[i]->attachment)
        check_pool (list.endpoints[i], now);
      ms_place_release (gw->place, list.endpoints[i]);
    }
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/alloc.h"
#include "base/log.h"
#include "base/metrics.h"
#include "http/client.h"
#include "router/router.h"

#include <jansson.h>

/* Threads that follow the platform: its log, its instance list and the load
   that endpoints report.  */

#define LONG_POLL_MS 300   /* Time a log read waits for a record.  */
#define RETRY_PAUSE_MS 100 /* After a failed log read.  */
#define POLL_PAUSE_MS 500  /* Pause between polls of list and loads.  */
#define LOAD_TIMEOUT_MS 300
#define MAX_WATCHED_ENDPOINTS 256 /* Further ones are not polled.  */
#define URL_BYTES (MS_ADDRESS_BYTES + 32)

static void
pause_ms (long ms)
{
  struct timespec pause = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&pause, NULL);
}

struct stream_reader
{
  struct ms_router *router;
  enum ms_stream stream;
};

/* Pass a record to the node.  The lock is held.  */
static void
apply_record (void *context, uint64_t offset, struct ms_str text)
{
  const struct stream_reader *reader = context;
  struct ms_event event = { .kind = MS_EVENT_LOG_RECORD,
                            .log_record = { reader->stream, offset, text } };

  ms_router_step_locked (reader->router, &event);
}

/* The records of one reply.  They are applied together under one hold of the
   lock, so that no caller sees a configuration that a later record of the
   same reply replaces.  */
struct record_batch
{
  struct stream_reader reader;
  uint64_t *offsets;
  char **texts;
  size_t *lengths;
  size_t count;
  size_t capacity;
};

static void
collect_record (void *context, uint64_t offset, struct ms_str text)
{
  struct record_batch *batch = context;

  if (batch->count == batch->capacity)
    {
      batch->capacity = batch->capacity ? batch->capacity * 2 : 64;
      batch->offsets = ms_resize (batch->offsets, batch->capacity,
                                  sizeof *batch->offsets);
      batch->texts
          = ms_resize (batch->texts, batch->capacity, sizeof (char *));
      batch->lengths = ms_resize (batch->lengths, batch->capacity,
                                  sizeof *batch->lengths);
    }
  batch->offsets[batch->count] = offset;
  batch->texts[batch->count] = strndup (text.data, text.length);
  batch->lengths[batch->count] = text.length;
  batch->count++;
}

static void
apply_batch (struct record_batch *batch)
{
  for (size_t i = 0; i < batch->count; i++)
    {
      struct ms_str text = { batch->texts[i], batch->lengths[i] };

      apply_record (&batch->reader, batch->offsets[i], text);
      free (batch->texts[i]);
    }
  batch->count = 0;
}

static void
free_batch (struct record_batch *batch)
{
  free (batch->offsets);
  free (batch->texts);
  free (batch->lengths);
}

/* Read STREAM from its start on until the router stops.  */
static void
follow_stream (struct ms_router *router, enum ms_stream stream)
{
  struct record_batch batch = { .reader = { router, stream } };
  uint64_t from = 0;

  while (!atomic_load (&router->stopping))
    {
      struct ms_event event
          = { .kind = MS_EVENT_LOG_READ,
              .log_read
              = { .stream = stream, .sent_at = ms_router_now (router) } };
      uint64_t next = from;
      enum ms_status status = router->log.read (
          router->log.context, ms_stream_names[stream], from, LONG_POLL_MS,
          collect_record, &batch, &event.log_read.first_kept, &next,
          &event.log_read.at_end);

      if (status != MS_OK)
        {
          pause_ms (RETRY_PAUSE_MS);
          continue;
        }
      from = next;
      pthread_mutex_lock (&router->lock);
      apply_batch (&batch);
      ms_router_step_locked (router, &event);
      pthread_mutex_unlock (&router->lock);
    }
  free_batch (&batch);
}

void *
ms_run_control_reader (void *router)
{
  follow_stream (router, MS_STREAM_CONTROL);
  return NULL;
}

void *
ms_run_once_reader (void *router)
{
  follow_stream (router, MS_STREAM_ONCE);
  return NULL;
}

/* Wait for a queued record and move it to APPEND.  Returns false if the router
   stops and the queue is empty.  */
static bool
take_append (struct ms_router *router, struct ms_append *append)
{
  bool taken = false;

  pthread_mutex_lock (&router->lock);
  while (!router->appends_count && !atomic_load (&router->stopping))
    pthread_cond_wait (&router->append_queued, &router->lock);
  if (router->appends_count)
    {
      *append = router->appends[router->appends_first];
      router->appends_first
          = (router->appends_first + 1) % MS_MAX_QUEUED_APPENDS;
      router->appends_count--;
      taken = true;
    }
  pthread_mutex_unlock (&router->lock);
  return taken;
}

void *
ms_run_appender (void *context)
{
  struct ms_router *router = context;
  struct ms_append append;

  while (take_append (router, &append))
    {
      uint64_t offset;
      enum ms_status status = router->log.append (
          router->log.context, ms_stream_names[append.stream], append.text,
          &offset);

      ms_count (MS_M_APPENDS, 1);
      free (append.text);
      if (status != MS_OK)
        {
          struct ms_event event
              = { .kind = MS_EVENT_APPEND_FAILED,
                  .append_failed = { append.stream, append.tag } };

          ms_count (MS_M_APPEND_ERRORS, 1);
          ms_router_step (router, &event);
        }
    }
  return NULL;
}

void *
ms_run_list_poller (void *context)
{
  struct ms_router *router = context;

  while (!atomic_load (&router->stopping))
    {
      struct ms_endpoint *list = NULL;
      unsigned count = 0;

      if (router->list.fetch (router->list.context, &list, &count) == MS_OK)
        {
          struct ms_event event
              = { .kind = MS_EVENT_ENDPOINTS, .endpoints = { list, count } };

          ms_router_step (router, &event);
        }
      free (list);
      pause_ms (POLL_PAUSE_MS);
    }
  return NULL;
}

/* Ask the endpoint for its load and pass that to the node; if that fails, do
   nothing until the next poll.  */
static void
fetch_load (struct ms_router *router, uint64_t endpoint, const char *address)
{
  struct ms_event event = { .kind = MS_EVENT_LOAD };
  char url[URL_BYTES];
  struct ms_reply reply;
  json_error_t error;
  json_t *object;

  snprintf (url, sizeof url, "http://%.*s/load", MS_ADDRESS_BYTES, address);
  if (ms_http_exchange ("GET", url, NULL, LOAD_TIMEOUT_MS, &reply) != MS_OK)
    return;
  object = json_loadb (reply.body ? reply.body : "", reply.length, 0, &error);
  ms_reply_clear (&reply);
  if (!json_is_integer (json_object_get (object, "running")))
    {
      json_decref (object);
      return;
    }
  event.load.endpoint = endpoint;
  event.load.start_id
      = (uint64_t)json_integer_value (json_object_get (object, "start_id"));
  event.load.running
      = (unsigned)json_integer_value (json_object_get (object, "running"));
  json_decref (object);
  ms_router_step (router, &event);
}

void *
ms_run_load_poller (void *context)
{
  struct ms_router *router = context;
  uint64_t ids[MAX_WATCHED_ENDPOINTS];
  char addresses[MAX_WATCHED_ENDPOINTS][MS_ADDRESS_BYTES];

  while (!atomic_load (&router->stopping))
    {
      unsigned count;

      pthread_mutex_lock (&router->lock);
      count
          = ms_node_watched_endpoints (router->node, ms_router_now (router),
                                       ids, addresses, MAX_WATCHED_ENDPOINTS);
      pthread_mutex_unlock (&router->lock);
      for (unsigned i = 0; i < count && !atomic_load (&router->stopping); i++)
        fetch_load (router, ids[i], addresses[i]);
      pause_ms (POLL_PAUSE_MS);
    }
  return NULL;
}

#include "base/alloc.h"
#include "router/attempt.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define MAX_HELD_BYTES (16u << 20)
#define URL_BYTES 4096
#define HEADER_BYTES 256
#define PROGRESS_PERIOD (250 * MS_MSEC)

struct running
{
  struct ms_router *router;
  struct ms_call *call;
  const struct ms_inbound *inbound;
  struct ms_held *held;
  bool is_stream;
  bool caller_failed;
  uint32_t events; /* Server-sent events that passed.  */
  char line_start[6];
  size_t line_used;
  ms_time next_progress;
};

static bool
header_value (const char *line, size_t length, const char *name, char *value,
              size_t size)
{
  size_t name_length = strlen (name);
  size_t start = name_length + 1;

  if (length <= start || strncasecmp (line, name, name_length) != 0
      || line[name_length] != ':')
    return false;
  while (start < length && line[start] == ' ')
    start++;
  while (length > start
         && (line[length - 1] == '\n' || line[length - 1] == '\r'))
    length--;
  snprintf (value, size, "%.*s", (int)(length - start), line + start);
  return true;
}

static size_t
take_header (char *line, size_t size, size_t count, void *context)
{
  struct running *running = context;
  size_t length = size * count;
  char value[32];

  header_value (line, length, "Content-Type", running->held->content_type,
                sizeof running->held->content_type);
  if (header_value (line, length, "Monsoonspur-Cost", value, sizeof value))
    running->held->cost = (uint32_t)strtoul (value, NULL, 10);
  return length;
}

/* Count the lines that begin with "data:".  */
static void
count_events (struct running *running, const char *data, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      if (data[i] == '\n')
        {
          running->line_used = 0;
          continue;
        }
      if (running->line_used < sizeof running->line_start - 1)
        running->line_start[running->line_used] = data[i];
      if (++running->line_used == 5
          && memcmp (running->line_start, "data:", 5) == 0)
        running->events++;
    }
}

static void
report_progress (struct running *running)
{
  ms_time now = ms_router_now (running->router);
  struct ms_event event
      = { .kind = MS_EVENT_PROGRESS,
          .progress = { running->call->id, running->events } };

  if (now < running->next_progress)
    return;
  running->next_progress = now + PROGRESS_PERIOD;
  ms_router_step (running->router, &event);
}

static bool
begin_stream (struct running *running)
{
  struct mg_connection *connection = running->inbound->connection;

  running->held->streamed = true;
  mg_response_header_start (connection, (int)running->held->code);
  mg_response_header_add (connection, "Content-Type",
                          running->held->content_type, -1);
  mg_response_header_add (connection, "Transfer-Encoding", "chunked", -1);
  mg_response_header_add (connection, "Trailer", "Monsoonspur-Outcome", -1);
  mg_response_header_add (connection, "Monsoonspur-Request-Id",
                          running->inbound->request_id, -1);
  mg_response_header_add (connection, "Connection", "close", -1);
  return mg_response_header_send (connection) >= 0;
}

static size_t
pass_on (struct running *running, const char *data, size_t length)
{
  if (!running->held->streamed && !begin_stream (running))
    {
      running->caller_failed = true;
      return 0;
    }
  if (mg_send_chunk (running->inbound->connection, data, (unsigned)length)
      <= 0)
    {
      running->caller_failed = true;
      return 0;
    }
  count_events (running, data, length);
  report_progress (running);
  return length;
}

static size_t
hold (struct ms_held *held, const char *data, size_t length)
{

  if (length > MAX_HELD_BYTES - held->length)
    return 0;
  held->body = ms_resize (held->body, held->length + length, 1);
  memcpy (held->body + held->length, data, length);
  held->length += length;
  return length;
}

static size_t
take_body (char *data, size_t size, size_t count, void *context)
{
  struct running *running = context;

  if (!running->held->code)
    running->is_stream
        = strncasecmp (running->held->content_type, "text/event-stream", 17)
          == 0;
  if (running->is_stream)
    {
      running->held->code = 200;
      return pass_on (running, data, size * count);
    }
  return hold (running->held, data, size * count);
}

static int
watch (void *context, curl_off_t a, curl_off_t b, curl_off_t c, curl_off_t d)
{
  struct running *running = context;

  (void)a, (void)b, (void)c, (void)d;
  ms_call_watch (running->router, running->call, running->inbound->connection);
  return atomic_load (&running->call->cancel);
}

static struct curl_slist *
add_header (struct curl_slist *list, const char *name, const char *value)
{
  char line[HEADER_BYTES];

  snprintf (line, sizeof line, "%s: %s", name, value);
  return curl_slist_append (list, line);
}

static struct curl_slist *
headers_for (const struct running *running)
{
  const struct ms_inbound *inbound = running->inbound;
  struct curl_slist *list = NULL;

  list = add_header (list, "Monsoonspur-Request-Id", inbound->request_id);
  list = add_header (list, "traceparent", inbound->trace);
  if (inbound->content_type)
    list = add_header (list, "Content-Type", inbound->content_type);
  return add_header (list, "Expect", "");
}

static void
set_options (CURL *curl, struct running *running, const char *url,
             struct curl_slist *headers, long connect_ms)
{
  const struct ms_inbound *inbound = running->inbound;

  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, inbound->method);
  if (inbound->body_length || strcmp (inbound->method, "POST") == 0)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, inbound->body);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)inbound->body_length);
    }
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, take_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, running);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, running);
  curl_easy_setopt (curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (curl, CURLOPT_XFERINFOFUNCTION, watch);
  curl_easy_setopt (curl, CURLOPT_XFERINFODATA, running);
}

static enum ms_result
result_of (CURL *curl, CURLcode code, const struct running *running)
{
  double sent = 0;

  if (code == CURLE_OK
      && (running->held->code == 503 || running->held->code == 429))
    return MS_RESULT_OVERLOADED;
  if (code == CURLE_OK)
    return MS_RESULT_OK;
  curl_easy_getinfo (curl, CURLINFO_PRETRANSFER_TIME, &sent);
  if (sent <= 0)
    return MS_RESULT_CONNECT_FAILED;
  if (running->caller_failed || atomic_load (&running->call->cancel))
    return MS_RESULT_CANCELLED;
  return MS_RESULT_RESET;
}

static void
perform (struct running *running, struct ms_attempt_end *end, ms_time now)
{
  char url[URL_BYTES];
  struct curl_slist *headers = headers_for (running);
  CURL *curl = curl_easy_init ();
  CURLcode code;

  if (!curl)
    abort ();
  snprintf (url, sizeof url, "http://%s%s", running->call->address,
            running->inbound->path);
  set_options (curl, running, url, headers,
               (long)((running->call->start_by - now) / MS_MSEC) + 1);
  code = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &running->held->code);
  end->result = result_of (curl, code, running);
  end->sent_to_caller = running->held->streamed;
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
}

void
ms_attempt_run (struct ms_router *router, struct ms_call *call,
                const struct ms_inbound *inbound, struct ms_held *held,
                struct ms_attempt_end *end)
{
  struct running running
      = { .router = router, .call = call, .inbound = inbound, .held = held };
  ms_time begun = ms_router_now (router);

  *end = (struct ms_attempt_end){ .request = call->id,
                                  .attempt = call->attempt,
                                  .result = MS_RESULT_NOT_STARTED };
  if (!ms_may_start (call->start_by, begun))
    return;
  perform (&running, end, begun);
  end->cost = running.is_stream ? running.events : held->cost;
  if (!end->cost)
    end->cost = 1;
  end->duration = ms_router_now (router) - begun;
}

void
ms_held_clear (struct ms_held *held)
{
  free (held->body);
  *held = (struct ms_held){ 0 };
}

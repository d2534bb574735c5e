#include "base/alloc.h"
#include "router/attempt.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http/head.h"
#include "wire/message.h"

/* An attempt whose buffered body would exceed this ends as if the connection
   had been reset.  */
#define MAX_BUFFERED_BYTES (16u << 20)
#define URL_BYTES 4096
#define HEADER_BYTES 256 /* Longer header lines to endpoints are cut.  */

/* Least time between two progress reports of a stream.  */
#define PROGRESS_PERIOD (250 * MS_MSEC)

/* The state of one attempt's HTTP exchange.  */
struct transfer
{
  struct ms_router *router;
  struct ms_call *call;
  const struct ms_inbound *inbound;
  struct ms_endpoint_response *response;
  CURL *curl;
  struct ms_head_check head;
  bool is_stream;
  bool caller_write_failed;
  uint32_t event_count; /* Server-sent events forwarded so far.  */
  char line_prefix[6];  /* First 5 bytes of the current line, and a NUL.  */
  size_t line_length;   /* Bytes of the current line so far.  */
  ms_time next_progress;
};

/* If the header line LINE, of LENGTH bytes, is called NAME, copy its value to
   VALUE, an array of SIZE bytes, and return true.  */
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

/* curl's header callback: keep the content type and the cost.  A result other
   than the length ends the transfer.  */
static size_t
receive_header (char *line, size_t size, size_t count, void *context)
{
  struct transfer *transfer = context;
  size_t length = size * count;
  char value[32];

  if (!ms_head_check_line (&transfer->head, (struct ms_str){ line, length }))
    return 0;
  header_value (line, length, "Content-Type", transfer->response->content_type,
                sizeof transfer->response->content_type);
  if (header_value (line, length, "Monsoonspur-Cost", value, sizeof value))
    transfer->response->cost = (uint32_t)strtoul (value, NULL, 10);
  return length;
}

/* Count the lines that begin with "data:", each as one event.  A line may
   arrive in several pieces.  */
static void
count_events (struct transfer *transfer, const char *data, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      if (data[i] == '\n')
        {
          transfer->line_length = 0;
          continue;
        }
      if (transfer->line_length < sizeof transfer->line_prefix - 1)
        transfer->line_prefix[transfer->line_length] = data[i];
      if (++transfer->line_length == 5
          && memcmp (transfer->line_prefix, "data:", 5) == 0)
        transfer->event_count++;
    }
}

/* Report the number of events as the attempt's cost so far, in cost units, at
   most once in PROGRESS_PERIOD.  */
static void
report_progress (struct transfer *transfer)
{
  ms_time now = ms_router_now (transfer->router);
  struct ms_event event
      = { .kind = MS_EVENT_PROGRESS,
          .progress = { transfer->call->id, transfer->event_count } };

  if (now < transfer->next_progress)
    return;
  transfer->next_progress = now + PROGRESS_PERIOD;
  ms_router_step (transfer->router, &event);
}

/* Send the caller the response head of an event stream; the outcome follows
   as a trailer.  Returns false if the caller's connection is broken.  */
static bool
send_stream_head (struct transfer *transfer)
{
  struct mg_connection *connection = transfer->inbound->connection;

  transfer->response->streamed = true;
  mg_response_header_start (connection, (int)transfer->response->code);
  mg_response_header_add (connection, "Content-Type",
                          transfer->response->content_type, -1);
  mg_response_header_add (connection, "Transfer-Encoding", "chunked", -1);
  mg_response_header_add (connection, "Trailer", "Monsoonspur-Outcome", -1);
  mg_response_header_add (connection, "Monsoonspur-Request-Id",
                          transfer->inbound->request_id, -1);
  mg_response_header_add (connection, "Connection", "close", -1);
  return mg_response_header_send (connection) >= 0;
}

/* Forward part of an event stream.  A result other than LENGTH makes curl
   end the transfer.  */
static size_t
stream_to_caller (struct transfer *transfer, const char *data, size_t length)
{
  if (!transfer->response->streamed && !send_stream_head (transfer))
    {
      transfer->caller_write_failed = true;
      return 0;
    }
  if (mg_send_chunk (transfer->inbound->connection, data, (unsigned)length)
      <= 0)
    {
      transfer->caller_write_failed = true;
      return 0;
    }
  count_events (transfer, data, length);
  report_progress (transfer);
  return length;
}

static size_t
buffer_body (struct ms_endpoint_response *response, const char *data,
             size_t length)
{
  if (length > MAX_BUFFERED_BYTES - response->length)
    return 0;
  response->body = ms_resize (response->body, response->length + length, 1);
  memcpy (response->body + response->length, data, length);
  response->length += length;
  return length;
}

/* Whether the response that TRANSFER receives is an event stream: that of an
   error may have the same content type.  */
static bool
begins_stream (const struct transfer *transfer)
{
  long status = 0;

  curl_easy_getinfo (transfer->curl, CURLINFO_RESPONSE_CODE, &status);
  return status == 200
         && strncasecmp (transfer->response->content_type, "text/event-stream",
                         17)
                == 0;
}

/* curl's write callback.  Whether the body is an event stream is checked at
   each piece of one that is not; forward_request stores the endpoint's status
   at the end.  */
static size_t
receive_body (char *data, size_t size, size_t count, void *context)
{
  struct transfer *transfer = context;

  if (!transfer->response->code)
    transfer->is_stream = begins_stream (transfer);
  if (transfer->is_stream)
    {
      transfer->response->code = 200;
      return stream_to_caller (transfer, data, size * count);
    }
  return buffer_body (transfer->response, data, size * count);
}

/* curl's progress callback, called about once a second when nothing arrives
   and more often otherwise; a result other than 0 ends the transfer.  */
static int
check_transfer (void *context, curl_off_t a, curl_off_t b, curl_off_t c,
                curl_off_t d)
{
  struct transfer *transfer = context;

  (void)a, (void)b, (void)c, (void)d; /* Byte counts.  */
  ms_call_check_caller (transfer->router, transfer->call,
                        transfer->inbound->connection);
  return atomic_load (&transfer->call->cancel_requested);
}

static struct curl_slist *
add_header (struct curl_slist *list, const char *name, const char *value)
{
  char line[HEADER_BYTES];

  snprintf (line, sizeof line, "%s: %s", name, value);
  return curl_slist_append (list, line);
}

/* The empty "Expect" keeps curl from waiting for "100 Continue" before it
   sends a large body.  */
static struct curl_slist *
request_headers (const struct transfer *transfer)
{
  const struct ms_inbound *inbound = transfer->inbound;
  struct curl_slist *list = NULL;

  list = add_header (list, "Monsoonspur-Request-Id", inbound->request_id);
  list = add_header (list, "traceparent", inbound->traceparent);
  if (inbound->content_type)
    list = add_header (list, "Content-Type", inbound->content_type);
  return add_header (list, "Expect", "");
}

/* CURLOPT_NOSIGNAL keeps curl's timeouts from using SIGALRM, which is not
   safe with threads; the empty proxy overrides the environment's.  */
static void
set_options (CURL *curl, struct transfer *transfer, const char *url,
             struct curl_slist *headers, long connect_ms)
{
  const struct ms_inbound *inbound = transfer->inbound;

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
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, receive_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, receive_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt (curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (curl, CURLOPT_XFERINFOFUNCTION, check_transfer);
  curl_easy_setopt (curl, CURLOPT_XFERINFODATA, transfer);
}

/* Classify the end of a transfer.  A status that promises that the request has
   not run counts as a refusal by an overloaded endpoint, and is not passed on:
   endpoints of this interface do not state whether they ran a request.  The
   pre-transfer time is 0 until curl is about to send the request, so that 0
   shows that no byte of it was sent, also if the transfer was cancelled.  */
static enum ms_result
attempt_result (CURL *curl, CURLcode code, const struct transfer *transfer)
{
  double pretransfer_s = 0;
  bool complete = code == CURLE_OK && transfer->head.whole;

  if (complete
      && ms_status_promises_not_run ((unsigned)transfer->response->code))
    return MS_RESULT_OVERLOADED;
  if (complete)
    return MS_RESULT_OK;
  curl_easy_getinfo (curl, CURLINFO_PRETRANSFER_TIME, &pretransfer_s);
  if (pretransfer_s <= 0)
    return MS_RESULT_CONNECT_FAILED;
  if (transfer->caller_write_failed
      || atomic_load (&transfer->call->cancel_requested))
    return MS_RESULT_CANCELLED;
  return MS_RESULT_RESET;
}

/* Exchange the request and its response with the endpoint.  A connection must
   be made by the call's start_by, since the grant expires then.  The timeout
   for it is the whole milliseconds until then plus 1, so that it is never 0,
   which curl takes for its default.  */
static void
forward_request (struct transfer *transfer, struct ms_attempt_end *end,
                 ms_time now)
{
  char url[URL_BYTES];
  struct curl_slist *headers = request_headers (transfer);
  CURL *curl = curl_easy_init ();
  CURLcode code;

  if (!curl)
    abort ();
  snprintf (url, sizeof url, "http://%s%s", transfer->call->address,
            transfer->inbound->path);
  transfer->curl = curl;
  set_options (curl, transfer, url, headers,
               (long)((transfer->call->start_by - now) / MS_MSEC) + 1);
  code = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &transfer->response->code);
  end->result = attempt_result (curl, code, transfer);
  end->sent_to_caller = transfer->response->streamed;
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
}

void
ms_attempt_run (struct ms_router *router, struct ms_call *call,
                const struct ms_inbound *inbound,
                struct ms_endpoint_response *response,
                struct ms_attempt_end *end)
{
  struct transfer transfer = {
    .router = router, .call = call, .inbound = inbound, .response = response
  };
  ms_time started_at = ms_router_now (router);

  *end = (struct ms_attempt_end){ .request = call->id,
                                  .attempt = call->attempt,
                                  .result = MS_RESULT_NOT_STARTED };
  if (!ms_may_start (call->start_by, started_at))
    return;
  forward_request (&transfer, end, started_at);
  /* An attempt that was started costs at least one cost unit.  */
  end->cost = transfer.is_stream ? transfer.event_count : response->cost;
  if (!end->cost)
    end->cost = 1;
  end->duration = ms_router_now (router) - started_at;
}

void
ms_endpoint_response_clear (struct ms_endpoint_response *response)
{
  free (response->body);
  *response = (struct ms_endpoint_response){ 0 };
}

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "http/client.h"
#include "node/effect.h"
#include "backing/backing.h"

#define URL_BYTES 256
#define APPEND_TIMEOUT_MS 1000

/* Time for the reply to a read, in addition to its wait for a record.  */
#define READ_REPLY_MS 800

const char *const ms_stream_names[]
    = { [MS_STREAM_CONTROL] = "control", [MS_STREAM_ONCE] = "once" };

/* Parse the JSON body of REPLY, which is cleared, into *OBJECT.  */
static enum ms_status
parse_reply (struct ms_reply *reply, json_t **object)
{
  json_error_t error;

  if (reply->code != 200)
    {
      ms_reply_clear (reply);
      return ms_fail (MS_UNAVAILABLE, "log service returned status %ld",
                      reply->code);
    }
  *object
      = json_loadb (reply->body ? reply->body : "", reply->length, 0, &error);
  ms_reply_clear (reply);
  if (!*object)
    return ms_fail (MS_UNAVAILABLE, "log service: %s", error.text);
  return MS_OK;
}

/* The integer KEY of OBJECT, 0 if it is absent.  */
static uint64_t
integer_field (const json_t *object, const char *key)
{
  return (uint64_t)json_integer_value (json_object_get (object, key));
}

static enum ms_status
read_records (void *context, const char *stream, uint64_t from,
              unsigned wait_ms,
              void (*record) (void *, uint64_t, struct ms_str),
              void *record_context, uint64_t *first_kept, uint64_t *next,
              bool *at_end)
{
  char url[URL_BYTES];
  struct ms_reply reply;
  json_t *object = NULL;
  json_t *item;
  size_t i;
  enum ms_status status;

  snprintf (url, sizeof url,
            "%s/v1/streams/%s/records?from=%" PRIu64 "&wait_ms=%u",
            (const char *)context, stream, from, wait_ms);
  status
      = ms_http_exchange ("GET", url, NULL, wait_ms + READ_REPLY_MS, &reply);
  if (status == MS_OK)
    status = parse_reply (&reply, &object);
  if (status != MS_OK)
    return status;
  json_array_foreach (json_object_get (object, "records"), i, item)
  {
    const json_t *text = json_object_get (item, "data");
    struct ms_str data
        = { json_string_value (text), json_string_length (text) };

    if (data.data)
      record (record_context, integer_field (item, "offset"), data);
  }
  *first_kept = integer_field (object, "first");
  *next = integer_field (object, "next");
  *at_end = *next >= integer_field (object, "end");
  json_decref (object);
  return MS_OK;
}

static enum ms_status
append_record (void *context, const char *stream, const char *text,
               uint64_t *offset)
{
  char url[URL_BYTES];
  struct ms_reply reply;
  json_t *object = NULL;
  enum ms_status status;

  snprintf (url, sizeof url, "%s/v1/streams/%s/records", (const char *)context,
            stream);
  status = ms_http_exchange ("POST", url, text, APPEND_TIMEOUT_MS, &reply);
  if (status == MS_OK)
    status = parse_reply (&reply, &object);
  if (status != MS_OK)
    return status;
  *offset = integer_field (object, "offset");
  json_decref (object);
  return MS_OK;
}

struct ms_log_client
ms_http_log_client (const char *url)
{
  return (struct ms_log_client){ .context = (void *)url,
                                 .read = read_records,
                                 .append = append_record };
}

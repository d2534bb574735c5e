#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/json.h"
#include "http/client.h"
#include "node/effect.h"
#include "backing/backing.h"

#define URL_BYTES 256
#define APPEND_TIMEOUT_MS 1000

/* Time for the reply to a read, in addition to its wait for a record.  */
#define READ_REPLY_MS 800

const char *const ms_stream_names[]
    = { [MS_STREAM_CONTROL] = "control", [MS_STREAM_ONCE] = "once" };

/* Fail, and clear REPLY, unless its status is 200.  */
static enum ms_status
check_code (struct ms_reply *reply)
{
  if (reply->code == 200)
    return MS_OK;
  ms_reply_clear (reply);
  return ms_fail (MS_UNAVAILABLE, "log service returned status %ld",
                  reply->code);
}

/* Parse the JSON body of REPLY, which is cleared, into *OBJECT.  */
static enum ms_status
parse_reply (struct ms_reply *reply, json_t **object)
{
  json_error_t error;
  enum ms_status status = check_code (reply);

  if (status != MS_OK)
    return status;
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

/* Receiver of records.  */
struct receiver
{
  void (*record) (void *, uint64_t, struct ms_str);
  void *context;
};

static void
take_record (void *context, const json_t *item)
{
  const struct receiver *receiver = context;
  const json_t *text = json_object_get (item, "data");
  struct ms_str data = { json_string_value (text), json_string_length (text) };

  if (data.data)
    receiver->record (receiver->context, integer_field (item, "offset"), data);
}

enum ms_status
ms_log_decode (struct ms_str text,
               void (*record) (void *, uint64_t, struct ms_str),
               void *record_context, uint64_t *first_kept, uint64_t *next,
               bool *at_end)
{
  struct receiver receiver = { record, record_context };
  json_t *rest;

  if (!ms_json_elements (text, "records", take_record, &receiver, &rest))
    return ms_fail (MS_UNAVAILABLE,
                    "log service: \"records\" is not an array");
  *first_kept = integer_field (rest, "first");
  *next = integer_field (rest, "next");
  *at_end = *next >= integer_field (rest, "end");
  json_decref (rest);
  return MS_OK;
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
  enum ms_status status;

  snprintf (url, sizeof url,
            "%s/v1/streams/%s/records?from=%" PRIu64 "&wait_ms=%u",
            (const char *)context, stream, from, wait_ms);
  status
      = ms_http_exchange ("GET", url, NULL, wait_ms + READ_REPLY_MS, &reply);
  if (status == MS_OK)
    status = check_code (&reply);
  if (status != MS_OK)
    return status;
  status = ms_log_decode (
      (struct ms_str){ reply.body ? reply.body : "", reply.length }, record,
      record_context, first_kept, next, at_end);
  ms_reply_clear (&reply);
  return status;
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

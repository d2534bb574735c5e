#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "http/client.h"
#include "backing/backing.h"

#define URL_BYTES 256
#define FETCH_TIMEOUT_MS 1000

/* The string KEY of OBJECT; empty if it is absent or no string.  */
static const char *
string_field (const json_t *object, const char *key)
{
  const char *value = json_string_value (json_object_get (object, key));

  return value ? value : "";
}

/* Fill ENDPOINT from one entry of the list.  */
static void
parse_endpoint (struct ms_endpoint *endpoint, const json_t *item)
{
  memset (endpoint, 0, sizeof *endpoint);
  endpoint->name = ms_name (string_field (item, "name"));
  endpoint->id = ms_id (ms_str (endpoint->name.data));
  endpoint->service = ms_id (ms_str (string_field (item, "service")));
  endpoint->zone = ms_id (ms_str (string_field (item, "zone")));
  endpoint->leaving = strcmp (string_field (item, "state"), "leaving") == 0;
  snprintf (endpoint->address, sizeof endpoint->address, "%s",
            string_field (item, "address"));
}

static enum ms_status
fetch_list (void *context, struct ms_endpoint **list, unsigned *count)
{
  char url[URL_BYTES];
  struct ms_reply reply;
  json_error_t error;
  json_t *object = NULL;
  json_t *items;
  json_t *item;
  size_t i;
  enum ms_status status;

  snprintf (url, sizeof url, "%s/v1/instances", (const char *)context);
  status = ms_http_exchange ("GET", url, NULL, FETCH_TIMEOUT_MS, &reply);
  if (status != MS_OK)
    return status;
  object = json_loadb (reply.body ? reply.body : "", reply.length, 0, &error);
  ms_reply_clear (&reply);
  items = json_object_get (object, "instances");
  if (!json_is_array (items))
    {
      json_decref (object);
      return ms_fail (MS_UNAVAILABLE,
                      "instance list: \"instances\" is not an array");
    }
  *list = ms_new_array (json_array_size (items), sizeof **list);
  *count = (unsigned)json_array_size (items);
  json_array_foreach (items, i, item) { parse_endpoint (&(*list)[i], item); }
  json_decref (object);
  return MS_OK;
}

struct ms_list_client
ms_http_list_client (const char *url)
{
  return (struct ms_list_client){ .context = (void *)url,
                                  .fetch = fetch_list };
}

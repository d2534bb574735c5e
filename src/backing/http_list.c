#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/json.h"
#include "http/client.h"
#include "backing/backing.h"

#define URL_BYTES 256
#define FETCH_TIMEOUT_MS 1000

/* A list that is being decoded.  */
struct decoded
{
  struct ms_endpoint *list;
  unsigned count;
  unsigned space; /* Elements allocated for the list.  */
};

/* The string KEY of OBJECT; empty if it is absent or no string.  */
static const char *
string_field (const json_t *object, const char *key)
{
  const char *value = json_string_value (json_object_get (object, key));

  return value ? value : "";
}

/* Whether the string KEY of OBJECT is a name.  */
static bool
has_name (const json_t *object, const char *key)
{
  const json_t *value = json_object_get (object, key);

  return ms_is_name ((struct ms_str){ json_string_value (value),
                                      json_string_length (value) });
}

/* Whether ADDRESS is HOST:PORT.  */
static bool
is_address (const char *address)
{
  const char *colon = strrchr (address, ':');
  char *end;
  long port;

  if (!colon || colon == address || colon[1] < '0' || colon[1] > '9'
      || strlen (address) >= MS_ADDRESS_BYTES)
    return false;
  port = strtol (colon + 1, &end, 10);
  return !*end && port > 0 && port <= UINT16_MAX;
}

/* Add ITEM, an entry of the list, unless it names no endpoint that can be
   used.  */
static void
take_entry (void *context, const json_t *item)
{
  struct decoded *d = context;
  struct ms_endpoint *endpoint;

  if (!has_name (item, "name") || !*string_field (item, "service")
      || !is_address (string_field (item, "address")))
    return;
  if (d->count == d->space)
    {
      d->space = d->space ? d->space * 2 : 32;
      d->list = ms_resize (d->list, d->space, sizeof *d->list);
    }
  endpoint = &d->list[d->count++];
  memset (endpoint, 0, sizeof *endpoint);
  endpoint->name = ms_name (string_field (item, "name"));
  endpoint->id = ms_id (ms_str (endpoint->name.data));
  endpoint->service = ms_id (ms_str (string_field (item, "service")));
  endpoint->zone = ms_id (ms_str (string_field (item, "zone")));
  endpoint->leaving = strcmp (string_field (item, "state"), "leaving") == 0;
  snprintf (endpoint->address, sizeof endpoint->address, "%s",
            string_field (item, "address"));
}

enum ms_status
ms_list_decode (struct ms_str text, struct ms_endpoint **list, unsigned *count)
{
  struct decoded decoded = { 0 };
  json_t *rest;

  if (!ms_json_elements (text, "instances", take_entry, &decoded, &rest))
    return ms_fail (MS_UNAVAILABLE,
                    "instance list: \"instances\" is not an array");
  json_decref (rest);
  *list = decoded.list ? decoded.list : ms_new (sizeof **list);
  *count = decoded.count;
  return MS_OK;
}

static enum ms_status
fetch_list (void *context, struct ms_endpoint **list, unsigned *count)
{
  char url[URL_BYTES];
  struct ms_reply reply;
  enum ms_status status;

  snprintf (url, sizeof url, "%s/v1/instances", (const char *)context);
  status = ms_http_exchange ("GET", url, NULL, FETCH_TIMEOUT_MS, &reply);
  if (status != MS_OK)
    return status;
  status = ms_list_decode (
      (struct ms_str){ reply.body ? reply.body : "", reply.length }, list,
      count);
  ms_reply_clear (&reply);
  return status;
}

struct ms_list_client
ms_http_list_client (const char *url)
{
  return (struct ms_list_client){ .context = (void *)url,
                                  .fetch = fetch_list };
}

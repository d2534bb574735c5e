#include "gateway/member_record.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

/* A record of a part with more deaths is not valid.  */
#define MAX_PART_DEATHS 1000

/* If TEXT begins with PREFIX, remove that from it and return true.  */
static bool
skip_prefix (struct ms_str *text, const char *prefix)
{
  size_t length = strlen (prefix);

  if (text->length < length || memcmp (text->data, prefix, length) != 0)
    return false;
  *text = (struct ms_str){ text->data + length, text->length - length };
  return true;
}

/* Decode TEXT, which must be 1 to DIGITS hexadecimal digits and no more.  */
static bool
decode_hex (struct ms_str text, size_t digits, uint64_t *number)
{
  *number = 0;
  if (!text.length || text.length > digits)
    return false;
  for (size_t i = 0; i < text.length; i++)
    {
      char c = text.data[i];

      if (c >= '0' && c <= '9')
        *number = *number << 4 | (uint64_t)(c - '0');
      else if (c >= 'a' && c <= 'f')
        *number = *number << 4 | (uint64_t)(c - 'a' + 10);
      else
        return false;
    }
  return true;
}

static void
decode_part (struct ms_str part, const json_t *value,
             struct ms_member_record *record)
{
  const json_t *at = json_object_get (value, "at");
  json_int_t deaths = json_integer_value (json_object_get (value, "deaths"));

  if (!decode_hex (part, 16, &record->part) || !json_is_integer (at)
      || deaths <= 0 || deaths > MAX_PART_DEATHS)
    return;
  record->kind = MS_MEMBER_PART;
  record->deaths = (unsigned)deaths;
  record->at_ms = json_integer_value (at);
}

/* Decode NAMES, which are the service and the version.  */
static void
decode_version (struct ms_str names, struct ms_member_record *record)
{
  const char *slash
      = names.length ? memchr (names.data, '/', names.length) : NULL;
  struct ms_str service;
  struct ms_str version;
  uint64_t number;

  if (!slash)
    return;
  service = (struct ms_str){ names.data, (size_t)(slash - names.data) };
  version = (struct ms_str){ slash + 1, names.length - service.length - 1 };
  if (!decode_hex (service, 16, &record->service)
      || !decode_hex (version, 8, &number))
    return;
  record->kind = MS_MEMBER_VERSION;
  record->version = (uint32_t)number;
}

static void
decode_router (struct ms_str name, const json_t *value,
               struct ms_member_record *record)
{
  const char *ip = json_string_value (json_object_get (value, "ip"));
  const char *zone = json_string_value (json_object_get (value, "zone"));
  const json_t *incarnation = json_object_get (value, "incarnation");

  if (!ms_is_name (name) || !ip || !zone || !json_is_integer (incarnation)
      || inet_pton (AF_INET, ip, &record->address) != 1)
    return;
  record->kind = MS_MEMBER_ROUTER;
  record->incarnation = (uint64_t)json_integer_value (incarnation);
  record->zone = ms_id (ms_str (zone));
}

struct ms_member_record
ms_member_record_decode (struct ms_str key, struct ms_str value)
{
  struct ms_member_record record = { .kind = MS_MEMBER_NONE };
  json_t *object = json_loadb (value.data, value.length, 0, NULL);

  if (skip_prefix (&key, MS_MEMBER_PART_PREFIX))
    decode_part (key, object, &record);
  else if (skip_prefix (&key, MS_MEMBER_VERSION_PREFIX))
    decode_version (key, &record);
  else
    decode_router (key, object, &record);
  json_decref (object);
  return record;
}

#include "base/alloc.h"
#include "member/record.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const kinds[] = { [MS_RECORD_JOIN] = "join",
                                     [MS_RECORD_LEAVE] = "leave",
                                     [MS_RECORD_EXPIRE] = "expire",
                                     [MS_RECORD_CONFIG] = "config",
                                     [MS_RECORD_CONFIG_COPY] = "config_copy",
                                     [MS_RECORD_QUARANTINE] = "quarantine" };

#define KINDS_COUNT (sizeof kinds / sizeof *kinds)

static void
add_text (json_t *object, const char *key, const char *text)
{
  if (*text)
    json_object_set_new (object, key, json_string (text));
}

/* Add VALUE as hexadecimal text, since jansson's integers are signed and
   cannot hold all 64-bit values.  Nothing is added for 0.  */
static void
add_number (json_t *object, const char *key, uint64_t value)
{
  char text[20];

  if (!value)
    return;
  snprintf (text, sizeof text, "%" PRIx64, value);
  json_object_set_new (object, key, json_string (text));
}

char *
ms_record_print (const struct ms_record *record)
{
  json_t *object = json_object ();
  char *text;

  add_text (object, "kind", kinds[record->kind]);
  add_text (object, "node", record->node.data);
  add_number (object, "incarnation", record->incarnation);
  add_text (object, "zone", record->zone.data);
  add_text (object, "peer", record->peer_address);
  add_text (object, "caller", record->caller_address);
  add_number (object, "generation", record->generation);
  add_number (object, "fingerprint", record->fingerprint);
  if (record->text)
    json_object_set_new (object, "text",
                         json_stringn (record->text, record->text_length));
  text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

static const char *
get_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text ? text : "";
}

static uint64_t
get_number (const json_t *object, const char *key)
{
  return strtoull (get_text (object, key), NULL, 16);
}

/* Whether KIND names a router.  */
static bool
names_router (enum ms_record_kind kind)
{
  return kind == MS_RECORD_JOIN || kind == MS_RECORD_LEAVE
         || kind == MS_RECORD_EXPIRE;
}

static void
copy_address (char *out, const char *text)
{
  snprintf (out, MS_ADDRESS_BYTES, "%s", text);
}

static enum ms_status
read_fields (struct ms_record *record, const json_t *object)
{
  const char *kind = get_text (object, "kind");
  const json_t *node = json_object_get (object, "node");
  json_t *text = json_object_get (object, "text");
  size_t k = 0;

  while (k < KINDS_COUNT && strcmp (kinds[k], kind) != 0)
    k++;
  if (k == KINDS_COUNT)
    return ms_fail (MS_INVALID, "record kind \"%s\" is not known", kind);
  record->kind = (enum ms_record_kind)k;
  if (names_router (record->kind)
      && !ms_is_name ((struct ms_str){ json_string_value (node),
                                       json_string_length (node) }))
    return ms_fail (MS_INVALID, "record of kind \"%s\": node is not a name",
                    kind);
  record->node = ms_name (get_text (object, "node"));
  record->incarnation = get_number (object, "incarnation");
  record->zone = ms_name (get_text (object, "zone"));
  copy_address (record->peer_address, get_text (object, "peer"));
  copy_address (record->caller_address, get_text (object, "caller"));
  record->generation = get_number (object, "generation");
  record->fingerprint = get_number (object, "fingerprint");
  if (json_is_string (text))
    {
      record->text_length = json_string_length (text);
      record->text = ms_copy (json_string_value (text), record->text_length);
    }
  return MS_OK;
}

enum ms_status
ms_record_parse (struct ms_str text, struct ms_record *record)
{
  json_error_t error;
  json_t *object = json_loadb (text.data, text.length, 0, &error);
  enum ms_status status;

  memset (record, 0, sizeof *record);
  if (!object)
    return ms_fail (MS_INVALID, "record is not JSON: %s", error.text);
  status = read_fields (record, object);
  json_decref (object);
  return status;
}

void
ms_record_clear (struct ms_record *record)
{
  free (record->text);
  record->text = NULL;
}

#include "router/settings.h"

#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/file.h"
#include "base/str.h"
#include "config/yaml.h"

#define DEFAULT_DRAIN_TIMEOUT_MS 60000
#define DEFAULT_CALLER_THREADS 128
#define MAX_CALLER_THREADS 4096
#define MAX_TEXT_BYTES 200

static const cyaml_schema_field_t fields[] = {
  CYAML_FIELD_STRING_PTR ("name", CYAML_FLAG_POINTER, struct ms_settings, name,
                          1, MS_NAME_BYTES - 1),
  CYAML_FIELD_STRING_PTR ("availability_zone", CYAML_FLAG_POINTER,
                          struct ms_settings, availability_zone, 1,
                          MS_NAME_BYTES - 1),
  CYAML_FIELD_STRING_PTR ("caller_address", CYAML_FLAG_POINTER,
                          struct ms_settings, caller_address, 1,
                          MAX_TEXT_BYTES),
  CYAML_FIELD_STRING_PTR ("peer_address", CYAML_FLAG_POINTER,
                          struct ms_settings, peer_address, 1, MAX_TEXT_BYTES),
  CYAML_FIELD_STRING_PTR ("log_url", CYAML_FLAG_POINTER, struct ms_settings,
                          log_url, 1, MAX_TEXT_BYTES),
  CYAML_FIELD_STRING_PTR ("list_url", CYAML_FLAG_POINTER, struct ms_settings,
                          list_url, 1, MAX_TEXT_BYTES),
  CYAML_FIELD_UINT ("drain_timeout_ms", CYAML_FLAG_OPTIONAL,
                    struct ms_settings, drain_timeout_ms),
  CYAML_FIELD_UINT ("caller_threads", CYAML_FLAG_OPTIONAL, struct ms_settings,
                    caller_threads),
  CYAML_FIELD_STRING_PTR ("log_level",
                          CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                          struct ms_settings, log_level, 1, 8),
  CYAML_FIELD_STRING_PTR ("operator_key",
                          CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                          struct ms_settings, operator_key, 1, MAX_TEXT_BYTES),
  CYAML_FIELD_BOOL ("spans", CYAML_FLAG_OPTIONAL, struct ms_settings, spans),
  CYAML_FIELD_END
};

static const cyaml_schema_value_t schema
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_POINTER, struct ms_settings, fields) };

static enum ms_status
check_address (struct ms_str text, const char *path, const char *field,
               const char *value)
{
  struct sockaddr_in address;

  if (ms_address_parse (value, &address) == MS_OK)
    return MS_OK;
  return ms_fail (MS_INVALID, "%s: line %u: %s: \"%s\" is not IP:PORT", path,
                  ms_yaml_line (text, "", field, value), field, value);
}

static enum ms_status
check_url (struct ms_str text, const char *path, const char *field,
           const char *value)
{
  if (strncmp (value, "http://", 7) == 0
      || strncmp (value, "https://", 8) == 0)
    return MS_OK;
  return ms_fail (MS_INVALID, "%s: line %u: %s: \"%s\" is not an HTTP URL",
                  path, ms_yaml_line (text, "", field, value), field, value);
}

/* Check SETTINGS, which were read from TEXT, and set the defaults.  */
static enum ms_status
check_settings (struct ms_settings *settings, struct ms_str text,
                const char *path)
{
  enum ms_status status
      = check_address (text, path, "caller_address", settings->caller_address);

  if (!ms_is_name (ms_str (settings->name)))
    return ms_fail (MS_INVALID, "%s: line %u: name: \"%s\" is not a name",
                    path, ms_yaml_line (text, "", "name", settings->name),
                    settings->name);
  if (status == MS_OK)
    status
        = check_address (text, path, "peer_address", settings->peer_address);
  if (status == MS_OK)
    status = check_url (text, path, "log_url", settings->log_url);
  if (status == MS_OK)
    status = check_url (text, path, "list_url", settings->list_url);
  if (!settings->drain_timeout_ms)
    settings->drain_timeout_ms = DEFAULT_DRAIN_TIMEOUT_MS;
  if (!settings->caller_threads)
    settings->caller_threads = DEFAULT_CALLER_THREADS;
  if (status == MS_OK && settings->caller_threads > MAX_CALLER_THREADS)
    return ms_fail (MS_INVALID, "%s: line %u: caller_threads: is above %d",
                    path, ms_yaml_line (text, "", "caller_threads", ""),
                    MAX_CALLER_THREADS);
  return status;
}

enum ms_status
ms_settings_load (const char *path, struct ms_settings **settings)
{
  struct ms_str text;
  char *data;
  size_t length;
  void *loaded;
  enum ms_status status = ms_file_read (path, &data, &length);

  *settings = NULL;
  if (status != MS_OK)
    return status;
  text = (struct ms_str){ data, length };
  status = ms_yaml_load (text, path, &schema, &loaded);
  if (status == MS_OK)
    {
      status = check_settings (loaded, text, path);
      if (status == MS_OK)
        *settings = loaded;
      else
        ms_settings_destroy (loaded);
    }
  free (data);
  return status;
}

void
ms_settings_destroy (struct ms_settings *settings)
{
  ms_yaml_free (&schema, settings);
}

#include "gateway/settings.h"

#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/file.h"
#include "base/str.h"
#include "config/yaml.h"
#include "place/place.h"

#define MAX_TEXT_LENGTH 200
#define MAX_SEEDS 16

/* For settings without these fields.  */
#define DEFAULT_DRAIN_TIMEOUT_MS 2000
#define DEFAULT_ENDPOINT_HEARTBEAT_MS 1200
#define DEFAULT_ZONE_BYTE_TOKENS 0.03

#define TEXT_FIELD(field, flags)                                              \
  CYAML_FIELD_STRING_PTR (#field, CYAML_FLAG_POINTER | (flags),               \
                          struct ms_gateway_settings, field, 1,               \
                          MAX_TEXT_LENGTH)
#define NUMBER_FIELD(field)                                                   \
  CYAML_FIELD_FLOAT (#field, CYAML_FLAG_DEFAULT, struct ms_gateway_settings,  \
                     field)
#define OPTIONAL_NUMBER_FIELD(field)                                          \
  CYAML_FIELD_FLOAT (#field, CYAML_FLAG_OPTIONAL, struct ms_gateway_settings, \
                     field)
#define COUNT_FIELD(field)                                                    \
  CYAML_FIELD_UINT (#field, CYAML_FLAG_DEFAULT, struct ms_gateway_settings,   \
                    field)

static const cyaml_schema_value_t seed
    = { CYAML_VALUE_STRING (CYAML_FLAG_POINTER, char, 1, MAX_TEXT_LENGTH) };

static const cyaml_schema_field_t fields[]
    = { TEXT_FIELD (name, CYAML_FLAG_DEFAULT),
        TEXT_FIELD (availability_zone, CYAML_FLAG_DEFAULT),
        TEXT_FIELD (region, CYAML_FLAG_DEFAULT),
        TEXT_FIELD (ip_address, CYAML_FLAG_DEFAULT),
        TEXT_FIELD (caller_address, CYAML_FLAG_DEFAULT),
        TEXT_FIELD (ready_address, CYAML_FLAG_DEFAULT),
        TEXT_FIELD (directory_address, CYAML_FLAG_DEFAULT),
        TEXT_FIELD (control_address, CYAML_FLAG_DEFAULT),
        TEXT_FIELD (store_address, CYAML_FLAG_DEFAULT),
        TEXT_FIELD (metrics_address, CYAML_FLAG_OPTIONAL),
        TEXT_FIELD (placement, CYAML_FLAG_OPTIONAL),
        TEXT_FIELD (crossing, CYAML_FLAG_OPTIONAL),
        TEXT_FIELD (homes, CYAML_FLAG_OPTIONAL),
        TEXT_FIELD (server_load, CYAML_FLAG_OPTIONAL),
        TEXT_FIELD (returns, CYAML_FLAG_OPTIONAL),
        TEXT_FIELD (engine_speed, CYAML_FLAG_OPTIONAL),
        TEXT_FIELD (log_level, CYAML_FLAG_OPTIONAL),
        COUNT_FIELD (peer_port),
        COUNT_FIELD (memory_mb),
        COUNT_FIELD (file_descriptors),
        CYAML_FIELD_SEQUENCE (
            "seeds", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
            struct ms_gateway_settings, seeds, &seed, 0, MAX_SEEDS),
        NUMBER_FIELD (cpu_cores),
        NUMBER_FIELD (grace_period_s),
        NUMBER_FIELD (config_apply_ms),
        OPTIONAL_NUMBER_FIELD (drain_timeout_ms),
        OPTIONAL_NUMBER_FIELD (endpoint_heartbeat_ms),
        CYAML_FIELD_BOOL ("first_start", CYAML_FLAG_OPTIONAL,
                          struct ms_gateway_settings, first_start),
        CYAML_FIELD_BOOL ("strict_revocation", CYAML_FLAG_DEFAULT,
                          struct ms_gateway_settings, strict_revocation),
        NUMBER_FIELD (revocation_ms),
        NUMBER_FIELD (retry_budget_ratio),
        NUMBER_FIELD (retry_window_s),
        NUMBER_FIELD (retry_budget_slack),
        NUMBER_FIELD (cold_burst_factor),
        NUMBER_FIELD (cold_slack),
        OPTIONAL_NUMBER_FIELD (prefill_tokens_per_ms),
        OPTIONAL_NUMBER_FIELD (first_token_ms),
        OPTIONAL_NUMBER_FIELD (token_ms),
        OPTIONAL_NUMBER_FIELD (token_ms_per_running),
        OPTIONAL_NUMBER_FIELD (response_ms),
        OPTIONAL_NUMBER_FIELD (zone_byte_tokens),
        NUMBER_FIELD (directory_ttl_s),
        OPTIONAL_NUMBER_FIELD (exposure_share),
        OPTIONAL_NUMBER_FIELD (exposure_slack),
        OPTIONAL_NUMBER_FIELD (rollback_ms),
        CYAML_FIELD_END };

static const cyaml_schema_value_t schema = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_POINTER, struct ms_gateway_settings, fields) };

static enum ms_status
check_address (struct ms_str text, const char *path, const char *field,
               const char *value)
{
  struct sockaddr_in address;

  if (ms_address_parse (value, &address) == MS_OK)
    return MS_OK;
  return ms_fail (MS_INVALID, "%s: line %u: %s: \"%s\" is not IP:PORT", path,
                  ms_yaml_key_line (text, field), field, value);
}

struct range
{
  const char *field;
  double value;
  double min;
  double max;
};

static enum ms_status
check_range (struct ms_str text, const char *path, const struct range *r)
{
  if (r->value >= r->min && r->value <= r->max)
    return MS_OK;
  return ms_fail (MS_INVALID, "%s: line %u: %s: %g is not within %g and %g",
                  path, ms_yaml_key_line (text, r->field), r->field, r->value,
                  r->min, r->max);
}

/* Reject numbers outside wide ranges, which can only be mistakes.  */
static enum ms_status
check_numbers (const struct ms_gateway_settings *s, struct ms_str text,
               const char *path)
{
  const struct range ranges[] = {
    { "peer_port", s->peer_port, 1, UINT16_MAX },
    { "memory_mb", s->memory_mb, 16, 1e6 },
    { "file_descriptors", s->file_descriptors, 100, 1e7 },
    { "cpu_cores", s->cpu_cores, 0.001, 1024 },
    { "grace_period_s", s->grace_period_s, 0, 3600 },
    { "config_apply_ms", s->config_apply_ms, 100, 1e6 },
    { "drain_timeout_ms", s->drain_timeout_ms, 100, 1e6 },
    { "endpoint_heartbeat_ms", s->endpoint_heartbeat_ms, 10, 1e6 },
    { "revocation_ms", s->revocation_ms, 500, 1e6 },
    { "retry_budget_ratio", s->retry_budget_ratio, 0, 10 },
    { "retry_window_s", s->retry_window_s, 0.1, 3600 },
    { "retry_budget_slack", s->retry_budget_slack, 0, 1e6 },
    { "cold_burst_factor", s->cold_burst_factor, 0, 100 },
    { "cold_slack", s->cold_slack, 0, 1e6 },
    { "prefill_tokens_per_ms", s->prefill_tokens_per_ms, 0, 1e6 },
    { "first_token_ms", s->first_token_ms, 0, 1e5 },
    { "token_ms", s->token_ms, 0, 1e4 },
    { "token_ms_per_running", s->token_ms_per_running, 0, 1e3 },
    { "response_ms", s->response_ms, 0, 1e6 },
    { "zone_byte_tokens", s->zone_byte_tokens, 0, 1e3 },
    { "directory_ttl_s", s->directory_ttl_s, 0, 3600 },
    { "exposure_share", s->exposure_share, 0, 1 },
    { "exposure_slack", s->exposure_slack, 0, 1e6 },
    { "rollback_ms", s->rollback_ms, 0, 1e6 },
  };
  enum ms_status status = MS_OK;

  for (size_t i = 0; status == MS_OK && i < sizeof ranges / sizeof *ranges;
       i++)
    status = check_range (text, path, &ranges[i]);
  return status;
}

static enum ms_status
check_settings (const struct ms_gateway_settings *s, struct ms_str text,
                const char *path)
{
  const struct
  {
    const char *field;
    const char *value;
  } addresses[] = { { "caller_address", s->caller_address },
                    { "ready_address", s->ready_address },
                    { "directory_address", s->directory_address },
                    { "control_address", s->control_address },
                    { "store_address", s->store_address } };
  enum ms_status status = MS_OK;

  if (!ms_is_name (ms_str (s->name)))
    return ms_fail (MS_INVALID, "%s: line %u: name: \"%s\" is not a name",
                    path, ms_yaml_key_line (text, "name"), s->name);
  for (size_t i = 0; status == MS_OK && i < 5; i++)
    status
        = check_address (text, path, addresses[i].field, addresses[i].value);
  if (status == MS_OK && s->metrics_address)
    status = check_address (text, path, "metrics_address", s->metrics_address);
  for (unsigned i = 0; status == MS_OK && i < s->seeds_count; i++)
    status = check_address (text, path, "seeds", s->seeds[i]);
  if (status == MS_OK)
    status = check_numbers (s, text, path);
  if (status == MS_OK && s->placement && !ms_place_policy (s->placement))
    return ms_fail (MS_INVALID,
                    "%s: line %u: placement: \"%s\" is not a placement policy",
                    path, ms_yaml_key_line (text, "placement"), s->placement);
  if (status == MS_OK && s->crossing && !ms_crossing_policy (s->crossing))
    return ms_fail (MS_INVALID,
                    "%s: line %u: crossing: \"%s\" is not a crossing policy",
                    path, ms_yaml_key_line (text, "crossing"), s->crossing);
  if (status == MS_OK && s->homes && !ms_homes_policy (s->homes))
    return ms_fail (MS_INVALID,
                    "%s: line %u: homes: \"%s\" is not a policy of homes",
                    path, ms_yaml_key_line (text, "homes"), s->homes);
  if (status == MS_OK && s->server_load && strcmp (s->server_load, "use") != 0
      && strcmp (s->server_load, "ignore") != 0)
    return ms_fail (MS_INVALID,
                    "%s: line %u: server_load: \"%s\" is neither \"use\" nor "
                    "\"ignore\"",
                    path, ms_yaml_key_line (text, "server_load"),
                    s->server_load);
  if (status == MS_OK && s->returns && strcmp (s->returns, "off") != 0
      && strcmp (s->returns, "promised") != 0)
    return ms_fail (MS_INVALID,
                    "%s: line %u: returns: \"%s\" is neither promised nor off",
                    path, ms_yaml_key_line (text, "returns"), s->returns);
  if (status == MS_OK && s->engine_speed
      && strcmp (s->engine_speed, "learned") != 0
      && strcmp (s->engine_speed, "fixed") != 0)
    return ms_fail (MS_INVALID,
                    "%s: line %u: engine_speed: \"%s\" is neither learned nor "
                    "fixed",
                    path, ms_yaml_key_line (text, "engine_speed"),
                    s->engine_speed);
  return status;
}

static void
set_defaults (struct ms_gateway_settings *s)
{
  if (s->drain_timeout_ms == 0)
    s->drain_timeout_ms = DEFAULT_DRAIN_TIMEOUT_MS;
  if (s->endpoint_heartbeat_ms == 0)
    s->endpoint_heartbeat_ms = DEFAULT_ENDPOINT_HEARTBEAT_MS;
  if (s->zone_byte_tokens == 0)
    s->zone_byte_tokens = DEFAULT_ZONE_BYTE_TOKENS;
}

enum ms_status
ms_gateway_settings_load (const char *path,
                          struct ms_gateway_settings **result)
{
  char *data;
  size_t length;
  void *loaded;
  enum ms_status status = ms_file_read (path, &data, &length);

  *result = NULL;
  if (status != MS_OK)
    return status;
  status
      = ms_yaml_load ((struct ms_str){ data, length }, path, &schema, &loaded);
  if (status == MS_OK)
    {
      set_defaults (loaded);
      status = check_settings (loaded, (struct ms_str){ data, length }, path);
      if (status == MS_OK)
        *result = loaded;
      else
        ms_gateway_settings_destroy (loaded);
    }
  free (data);
  return status;
}

enum ms_status
ms_gateway_settings_check_reload (const struct ms_gateway_settings *s,
                                  const struct ms_gateway_settings *old)
{
  const struct
  {
    const char *field;
    const char *value;
    const char *old_value;
  } fixed[] = {
    /* These take effect at the start only.  So do metrics_address, placement,
       drain_timeout_ms and endpoint_heartbeat_ms, whose changes are accepted
       all the same.  */
    { "name", s->name, old->name },
    { "availability_zone", s->availability_zone, old->availability_zone },
    { "ip_address", s->ip_address, old->ip_address },
    { "caller_address", s->caller_address, old->caller_address },
    { "ready_address", s->ready_address, old->ready_address },
    { "directory_address", s->directory_address, old->directory_address },
    { "control_address", s->control_address, old->control_address },
    { "store_address", s->store_address, old->store_address },
  };

  for (size_t i = 0; i < sizeof fixed / sizeof *fixed; i++)
    if (strcmp (fixed[i].value, fixed[i].old_value) != 0)
      return ms_fail (MS_INVALID, "%s: a change takes a restart",
                      fixed[i].field);
  if (s->peer_port != old->peer_port)
    return ms_fail (MS_INVALID, "peer_port: a change takes a restart");
  return MS_OK;
}

void
ms_gateway_settings_destroy (struct ms_gateway_settings *settings)
{
  ms_yaml_free (&schema, settings);
}

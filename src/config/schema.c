#include "config/schema.h"

#include <stddef.h>

static const cyaml_strval_t service_kinds[]
    = { { "model", MS_SERVICE_MODEL }, { "plain", MS_SERVICE_PLAIN } };

static const cyaml_strval_t policies[]
    = { { "fair", MS_POLICY_FAIR },
        { "first_come", MS_POLICY_FIRST_COME },
        { "deficit", MS_POLICY_DEFICIT } };

static const cyaml_strval_t placements[]
    = { { "least_in_flight", MS_PLACE_LEAST_IN_FLIGHT },
        { "two_choices", MS_PLACE_TWO_CHOICES } };

static const cyaml_strval_t trial_splits[]
    = { { "cell", MS_TRIAL_BY_CELL }, { "team", MS_TRIAL_BY_TEAM } };

#define OPTIONAL CYAML_FLAG_OPTIONAL
#define UNLIMITED CYAML_UNLIMITED
#define MAX_KEYS_PER_TEAM 16
#define MAX_NAME_LENGTH (MS_NAME_BYTES - 1)

static const cyaml_schema_value_t name_value
    = { CYAML_VALUE_STRING (CYAML_FLAG_POINTER, char, 1, MAX_NAME_LENGTH) };

/* Digits of a SHA-256 digest in hexadecimal.  */
#define DIGEST_LENGTH 64

static const cyaml_schema_value_t digest_value = { CYAML_VALUE_STRING (
    CYAML_FLAG_POINTER, char, DIGEST_LENGTH, DIGEST_LENGTH) };

static const cyaml_schema_field_t zone_fields[]
    = { CYAML_FIELD_STRING_PTR ("name", CYAML_FLAG_POINTER, struct ms_zone,
                                name, 1, MAX_NAME_LENGTH),
        CYAML_FIELD_STRING_PTR ("region", CYAML_FLAG_POINTER, struct ms_zone,
                                region, 1, MAX_NAME_LENGTH),
        CYAML_FIELD_BOOL_PTR ("in_service", CYAML_FLAG_POINTER | OPTIONAL,
                              struct ms_zone, in_service_written),
        CYAML_FIELD_END };

static const cyaml_schema_value_t zone_value = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_DEFAULT, struct ms_zone, zone_fields) };

/* CYAML_FIELD_SEQUENCE stores the number of entries in the member of the same
   name with "_count" added.  */
static const cyaml_schema_field_t team_fields[]
    = { CYAML_FIELD_STRING_PTR ("name", CYAML_FLAG_POINTER, struct ms_team,
                                name, 1, MAX_NAME_LENGTH),
        CYAML_FIELD_UINT ("weight", OPTIONAL, struct ms_team, weight),
        CYAML_FIELD_SEQUENCE ("key_digests", CYAML_FLAG_POINTER | OPTIONAL,
                              struct ms_team, key_digests, &digest_value, 0,
                              MAX_KEYS_PER_TEAM),
        CYAML_FIELD_END };

static const cyaml_schema_value_t team_value = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_DEFAULT, struct ms_team, team_fields) };

static const cyaml_schema_field_t trial_fields[] = {
  CYAML_FIELD_ENUM ("policy", CYAML_FLAG_STRICT, struct ms_trial, policy,
                    policies, CYAML_ARRAY_LEN (policies)),
  CYAML_FIELD_ENUM ("by", CYAML_FLAG_STRICT, struct ms_trial, by, trial_splits,
                    CYAML_ARRAY_LEN (trial_splits)),
  CYAML_FIELD_UINT ("percent", CYAML_FLAG_DEFAULT, struct ms_trial, percent),
  CYAML_FIELD_SEQUENCE ("teams", CYAML_FLAG_POINTER | OPTIONAL,
                        struct ms_trial, teams, &name_value, 0, UNLIMITED),
  CYAML_FIELD_END
};

static const cyaml_schema_field_t service_fields[] = {
  CYAML_FIELD_STRING_PTR ("name", CYAML_FLAG_POINTER, struct ms_service, name,
                          1, MAX_NAME_LENGTH),
  CYAML_FIELD_ENUM ("kind", CYAML_FLAG_STRICT | OPTIONAL, struct ms_service,
                    kind, service_kinds, CYAML_ARRAY_LEN (service_kinds)),
  CYAML_FIELD_ENUM ("policy", CYAML_FLAG_STRICT | OPTIONAL, struct ms_service,
                    policy, policies, CYAML_ARRAY_LEN (policies)),
  CYAML_FIELD_ENUM ("placement", CYAML_FLAG_STRICT | OPTIONAL,
                    struct ms_service, placement, placements,
                    CYAML_ARRAY_LEN (placements)),
  CYAML_FIELD_UINT ("cold_limit", CYAML_FLAG_DEFAULT, struct ms_service,
                    cold_limit),
  CYAML_FIELD_UINT ("warm_limit", CYAML_FLAG_DEFAULT, struct ms_service,
                    warm_limit),
  CYAML_FIELD_UINT ("cells_per_zone", OPTIONAL, struct ms_service,
                    cells_per_zone),
  CYAML_FIELD_UINT ("queue_limit", OPTIONAL, struct ms_service, queue_limit),
  CYAML_FIELD_UINT ("unit_us", OPTIONAL, struct ms_service, unit_us),
  CYAML_FIELD_UINT ("max_run_ms", OPTIONAL, struct ms_service, max_run_ms),
  CYAML_FIELD_UINT ("report_lag_ms", OPTIONAL, struct ms_service,
                    report_lag_ms),
  CYAML_FIELD_MAPPING_PTR ("trial", CYAML_FLAG_POINTER | OPTIONAL,
                           struct ms_service, trial, trial_fields),
  CYAML_FIELD_END
};

static const cyaml_schema_value_t service_value = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_DEFAULT, struct ms_service, service_fields) };

static const cyaml_schema_field_t config_fields[]
    = { CYAML_FIELD_SEQUENCE_COUNT ("availability_zones", CYAML_FLAG_POINTER,
                                    struct ms_config, zones, zones_count,
                                    &zone_value, 1, UNLIMITED),
        CYAML_FIELD_SEQUENCE_COUNT ("teams", CYAML_FLAG_POINTER,
                                    struct ms_config, teams, teams_count,
                                    &team_value, 1, UNLIMITED),
        CYAML_FIELD_SEQUENCE_COUNT ("services", CYAML_FLAG_POINTER,
                                    struct ms_config, services, services_count,
                                    &service_value, 1, UNLIMITED),
        CYAML_FIELD_END };

const cyaml_schema_value_t ms_config_schema = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_POINTER, struct ms_config, config_fields) };

#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <monsoonspur/status.h>

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/* The published configuration: what operators decide for the whole fleet.  */

struct ms_zone
{
  char *name;
  char *region;
  bool *in_service_set;
  bool in_service;
  uint64_t id;
};

struct ms_team
{
  char *name;
  uint32_t weight;
  char **key_digests;
  unsigned key_digests_count;
  uint64_t id;
};

enum ms_service_kind
{
  MS_SERVICE_MODEL,
  MS_SERVICE_PLAIN
};

enum ms_policy_name
{
  MS_POLICY_FAIR,
  MS_POLICY_FIRST_COME,
  MS_POLICY_DEFICIT
};

enum ms_placement_name
{
  MS_PLACE_LEAST_IN_FLIGHT,
  MS_PLACE_TWO_CHOICES
};

enum ms_trial_split
{
  MS_TRIAL_BY_CELL,
  MS_TRIAL_BY_TEAM
};

/* One policy run against another on part of a service.  */
struct ms_trial
{
  enum ms_policy_name policy;
  enum ms_trial_split by;
  uint32_t percent; /* Of the cells, 0 to 100.  */
  char **teams;     /* With MS_TRIAL_BY_TEAM: who uses the trial cells.  */
  unsigned teams_count;
};

struct ms_service
{
  char *name;
  enum ms_service_kind kind;
  enum ms_policy_name policy;
  enum ms_placement_name placement;
  uint32_t cold_limit;     /* Requests at once on a cold endpoint.  */
  uint32_t warm_limit;     /* Requests at once on a warm endpoint.  */
  uint32_t cells_per_zone; /* Groups the endpoints are dispatched in.  */
  uint32_t queue_limit;    /* Waiting requests of a team at one router.  */
  uint32_t unit_us;        /* Usual time a cost unit takes.  */
  uint32_t max_run_ms;     /* No request runs longer.  */
  uint32_t report_lag_ms;  /* A load report is at most this old.  */
  struct ms_trial *trial;
  uint64_t id;
};

struct ms_config
{
  struct ms_zone *zones;
  unsigned zones_count;
  struct ms_team *teams;
  unsigned teams_count;
  struct ms_service *services;
  unsigned services_count;
  uint64_t generation; /* Offset of the accepted publication.  */
  char *text;          /* The YAML it was parsed from.  */
  unsigned text_length;
};

/* Parse and check TEXT; ORIGIN names it in messages.  On MS_INVALID the last
   message holds origin, line and field.  */
enum ms_status ms_config_parse (struct ms_str text, const char *origin,
                                struct ms_config **config);
void ms_config_destroy (struct ms_config *config);

const struct ms_zone *ms_config_zone (const struct ms_config *config,
                                      uint64_t id);
const struct ms_team *ms_config_team (const struct ms_config *config,
                                      uint64_t id);
const struct ms_service *ms_config_service (const struct ms_config *config,
                                            uint64_t id);

/* Whether cell INDEX of SERVICE, counted from 0 in its zone, runs the
   service's trial policy.  */
bool ms_config_trial_cell (const struct ms_service *service, unsigned index);

/* Whether TEAM's requests go to the trial cells only.  */
bool ms_config_trial_team (const struct ms_service *service, uint64_t team);

#endif

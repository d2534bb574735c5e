#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <monsoonspur/status.h>

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/* The published configuration: availability zones, teams and services, as
   operators set them for the whole fleet.  The fields are those of the YAML
   text, with defaults filled in.  Identifiers are ms_id of the names.  A
   configuration owns all that it points to and is not changed once it is in
   use.  */

struct ms_zone
{
  char *name;
  char *region;
  bool *in_service_written; /* As in the YAML; NULL if left out.  */
  bool in_service;          /* False: its endpoints get no new requests.  */
  uint64_t id;
};

struct ms_team
{
  char *name;
  uint32_t weight;    /* Relative share of capacity; 1 by default.  */
  char **key_digests; /* SHA-256 of its keys in hex; none: no key needed.  */
  unsigned key_digests_count;
  uint64_t id;
};

/* Whether a service's requests may be run again after an attempt that may have
   run.  Applies to requests whose method and headers do not decide that.  */
enum ms_service_kind
{
  MS_SERVICE_MODEL, /* Yes: requests are idempotent.  */
  MS_SERVICE_PLAIN  /* No.  */
};

/* Which of the waiting teams gets the next slot.  */
enum ms_policy_name
{
  MS_POLICY_FAIR,       /* The one that received least for its weight.  */
  MS_POLICY_FIRST_COME, /* The one with the oldest request.  */
  MS_POLICY_DEFICIT     /* By weighted deficit round robin.  */
};

/* Which endpoint with free slots gets the next request.  */
enum ms_placement_name
{
  MS_PLACE_LEAST_IN_FLIGHT, /* The one least loaded for its limit.  */
  MS_PLACE_TWO_CHOICES      /* The better of two random ones.  */
};

/* Which requests reach the trial cells.  */
enum ms_trial_split
{
  MS_TRIAL_BY_CELL, /* Those of all teams.  */
  MS_TRIAL_BY_TEAM  /* Those of the listed teams, and only these.  */
};

/* A comparison of two policies: some cells of a service run POLICY, the others
   the service's own.  */
struct ms_trial
{
  enum ms_policy_name policy;
  enum ms_trial_split by;
  uint32_t percent; /* Percentage of cells that run it, 0 to 100.  */
  char **teams;     /* Names; used with MS_TRIAL_BY_TEAM only.  */
  unsigned teams_count;
};

struct ms_service
{
  char *name;
  enum ms_service_kind kind;
  enum ms_policy_name policy;
  enum ms_placement_name placement;
  uint32_t cold_limit;     /* Most concurrent requests on a cold endpoint.  */
  uint32_t warm_limit;     /* The same on a warm one; see dispatch/limit.h.  */
  uint32_t cells_per_zone; /* Cells that share its endpoints in a zone.  */
  uint32_t queue_limit;    /* Queued requests per team and router.  */
  uint32_t unit_us;        /* Usual run time of one cost unit, in us.  */
  uint32_t max_run_ms;     /* Run time after which an attempt is cancelled.  */
  uint32_t report_lag_ms;  /* Greatest age of a load report on receipt.  */
  struct ms_trial *trial;  /* NULL if there is none.  */
  uint64_t id;
};

struct ms_config
{
  struct ms_zone *zones;
  unsigned zones_count;
  struct ms_team *teams; /* Sorted by identifier.  */
  unsigned teams_count;
  struct ms_service *services;
  unsigned services_count;
  uint64_t generation; /* Log offset of the publication, plus 1.  */
  char *text;          /* The YAML it was parsed from, with a NUL.  */
  unsigned text_length;
};

/* Parse and check the YAML in TEXT, fill in defaults and set *CONFIG, which
   the caller destroys.  Its generation, which TEXT does not give, is left 0.
   ORIGIN, such as a file name, names TEXT in messages.  Return MS_INVALID on
   bad input: *CONFIG is NULL then, and the message for ms_last_message has
   ORIGIN and, where known, the line and the field.  */
enum ms_status ms_config_parse (struct ms_str text, const char *origin,
                                struct ms_config **config);

/* Free CONFIG, which may be NULL.  */
void ms_config_destroy (struct ms_config *config);

/* Find the zone, team or service with identifier ID; NULL if there is none.
   The result belongs to CONFIG.  */
const struct ms_zone *ms_config_zone (const struct ms_config *config,
                                      uint64_t id);
const struct ms_team *ms_config_team (const struct ms_config *config,
                                      uint64_t id);
const struct ms_service *ms_config_service (const struct ms_config *config,
                                            uint64_t id);

/* Whether cell INDEX of SERVICE, counted from 0 in each zone, runs the policy
   of the service's trial.  The first cells of each zone do, as many as the
   trial's percentage gives, rounded up.  */
bool ms_config_trial_cell (const struct ms_service *service, unsigned index);

/* Whether requests of the team with identifier TEAM go to the trial cells
   only.  False unless the trial splits by team.  */
bool ms_config_trial_team (const struct ms_service *service, uint64_t team);

#endif

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "config/config.h"
#include "config/schema.h"
#include "config/yaml.h"

/* Values for fields of a service that are left out or 0.  */
#define DEFAULT_CELLS_PER_ZONE 2
#define DEFAULT_QUEUE_LIMIT 64
#define DEFAULT_UNIT_US 10000
#define DEFAULT_MAX_RUN_MS 120000
#define DEFAULT_REPORT_LAG_MS 1000

#define MAX_CELLS_PER_ZONE 1024

/* The text that is being checked, to name a place in it in messages.  */
struct source
{
  struct ms_str text;
  const char *origin;
};

/* Fail with PROBLEM at the line of the first entry called NAME in SECTION,
   also if PROBLEM is about a second entry of that name.  */
static enum ms_status
fail_entry (const struct source *source, const char *section, const char *name,
            const char *problem)
{
  return ms_fail (MS_INVALID, "%s: line %u: name: %s: %s", source->origin,
                  ms_yaml_line (source->text, section, "name", name), name,
                  problem);
}

static void
set_default (uint32_t *value, uint32_t fallback)
{
  if (!*value)
    *value = fallback;
}

static enum ms_status
check_zones (struct ms_config *config, const struct source *source)
{
  for (unsigned i = 0; i < config->zones_count; i++)
    {
      struct ms_zone *zone = &config->zones[i];

      zone->id = ms_id (ms_str (zone->name));
      zone->in_service
          = zone->in_service_written ? *zone->in_service_written : true;
      for (unsigned j = 0; j < i; j++)
        if (config->zones[j].id == zone->id)
          return fail_entry (source, "availability_zones", zone->name,
                             "is a second zone of that name");
    }
  return MS_OK;
}

static int
compare_teams (const void *a, const void *b)
{
  const struct ms_team *left = a;
  const struct ms_team *right = b;

  return left->id < right->id ? -1 : left->id > right->id;
}

/* Check the teams and sort them by identifier, as ms_config_team needs them
   for its binary search.  */
static enum ms_status
check_teams (struct ms_config *config, const struct source *source)
{
  for (unsigned i = 0; i < config->teams_count; i++)
    {
      struct ms_team *team = &config->teams[i];

      team->id = ms_id (ms_str (team->name));
      set_default (&team->weight, 1);
    }
  qsort (config->teams, config->teams_count, sizeof *config->teams,
         compare_teams);
  for (unsigned i = 1; i < config->teams_count; i++)
    if (config->teams[i].id == config->teams[i - 1].id)
      return fail_entry (source, "teams", config->teams[i].name,
                         "is a second team of that name");
  return MS_OK;
}

static enum ms_status
check_service (struct ms_service *service, const struct source *source)
{
  service->id = ms_id (ms_str (service->name));
  set_default (&service->cells_per_zone, DEFAULT_CELLS_PER_ZONE);
  set_default (&service->queue_limit, DEFAULT_QUEUE_LIMIT);
  set_default (&service->unit_us, DEFAULT_UNIT_US);
  set_default (&service->max_run_ms, DEFAULT_MAX_RUN_MS);
  set_default (&service->report_lag_ms, DEFAULT_REPORT_LAG_MS);
  if (service->cold_limit < 1)
    return fail_entry (source, "services", service->name,
                       "cold_limit is below 1");
  if (service->warm_limit < service->cold_limit)
    return fail_entry (source, "services", service->name,
                       "warm_limit is below cold_limit");
  if (service->cells_per_zone > MAX_CELLS_PER_ZONE)
    return fail_entry (source, "services", service->name,
                       "cells_per_zone is above 1024");
  if (service->trial && service->trial->percent > 100)
    return fail_entry (source, "services", service->name,
                       "trial.percent is above 100");
  return MS_OK;
}

static enum ms_status
check_services (struct ms_config *config, const struct source *source)
{
  for (unsigned i = 0; i < config->services_count; i++)
    {
      enum ms_status status = check_service (&config->services[i], source);

      if (status != MS_OK)
        return status;
      for (unsigned j = 0; j < i; j++)
        if (config->services[j].id == config->services[i].id)
          return fail_entry (source, "services", config->services[i].name,
                             "is a second service of that name");
    }
  return MS_OK;
}

static enum ms_status
check_config (struct ms_config *config, const struct source *source)
{
  enum ms_status status = check_zones (config, source);

  if (status == MS_OK)
    status = check_teams (config, source);
  if (status == MS_OK)
    status = check_services (config, source);
  return status;
}

enum ms_status
ms_config_parse (struct ms_str text, const char *origin,
                 struct ms_config **config)
{
  struct source source = { text, origin };
  void *data;
  enum ms_status status;

  *config = NULL;
  status = ms_yaml_load (text, origin, &ms_config_schema, &data);
  if (status != MS_OK)
    return status;
  status = check_config (data, &source);
  if (status != MS_OK)
    {
      ms_config_destroy (data);
      return status;
    }
  *config = data;
  (*config)->text = ms_copy (text.data, text.length);
  (*config)->text_length = (unsigned)text.length;
  return MS_OK;
}

void
ms_config_destroy (struct ms_config *config)
{
  if (!config)
    return;
  free (config->text);
  config->text = NULL;
  ms_yaml_free (&ms_config_schema, config);
}

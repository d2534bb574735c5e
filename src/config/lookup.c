#include "config/config.h"

const struct ms_zone *
ms_config_zone (const struct ms_config *config, uint64_t id)
{
  for (unsigned i = 0; i < config->zones_count; i++)
    if (config->zones[i].id == id)
      return &config->zones[i];
  return NULL;
}

const struct ms_team *
ms_config_team (const struct ms_config *config, uint64_t id)
{
  unsigned low = 0;
  unsigned high = config->teams_count;

  while (low < high)
    {
      unsigned middle = low + (high - low) / 2;

      if (config->teams[middle].id == id)
        return &config->teams[middle];
      if (config->teams[middle].id < id)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

const struct ms_service *
ms_config_service (const struct ms_config *config, uint64_t id)
{
  for (unsigned i = 0; i < config->services_count; i++)
    if (config->services[i].id == id)
      return &config->services[i];
  return NULL;
}

bool
ms_config_trial_cell (const struct ms_service *service, unsigned index)
{
  if (!service->trial)
    return false;
  return index * 100 < service->trial->percent * service->cells_per_zone;
}

bool
ms_config_trial_team (const struct ms_service *service, uint64_t team)
{
  if (!service->trial || service->trial->by != MS_TRIAL_BY_TEAM)
    return false;
  for (unsigned i = 0; i < service->trial->teams_count; i++)
    if (ms_id (ms_str (service->trial->teams[i])) == team)
      return true;
  return false;
}

#include <string.h>

#include "configtool/published.h"

/* Differences are printed to FILE, one line each, and counted.  */
struct report
{
  FILE *file;
  unsigned count;
};

/* Report WHAT changed in the entry NAME, which is a KIND such as "team".  */
static void
report_change (struct report *report, const char *kind, const char *name,
               const char *what)
{
  report->count++;
  fprintf (report->file, "%s %s: %s\n", kind, name, what);
}

/* Report the values of FIELD if they differ.  */
static void
report_number (struct report *report, const char *kind, const char *name,
               const char *field, uint32_t before, uint32_t after)
{
  if (before == after)
    return;
  report->count++;
  fprintf (report->file, "%s %s: %s: %u -> %u\n", kind, name, field, before,
           after);
}

static void
diff_zones (struct report *report, const struct ms_config *before,
            const struct ms_config *after)
{
  for (unsigned i = 0; i < after->zones_count; i++)
    {
      const struct ms_zone *zone = &after->zones[i];
      const struct ms_zone *old = ms_config_zone (before, zone->id);

      if (!old)
        report_change (report, "availability zone", zone->name, "added");
      else if (old->in_service != zone->in_service)
        report_change (report, "availability zone", zone->name,
                       zone->in_service ? "in_service: false -> true"
                                        : "in_service: true -> false");
      if (old && strcmp (old->region, zone->region) != 0)
        report_change (report, "availability zone", zone->name,
                       "region changed");
    }
  for (unsigned i = 0; i < before->zones_count; i++)
    if (!ms_config_zone (after, before->zones[i].id))
      report_change (report, "availability zone", before->zones[i].name,
                     "removed");
}

static bool
same_keys (const struct ms_team *a, const struct ms_team *b)
{
  if (a->key_digests_count != b->key_digests_count)
    return false;
  for (unsigned i = 0; i < a->key_digests_count; i++)
    if (strcmp (a->key_digests[i], b->key_digests[i]) != 0)
      return false;
  return true;
}

static void
diff_teams (struct report *report, const struct ms_config *before,
            const struct ms_config *after)
{
  for (unsigned i = 0; i < after->teams_count; i++)
    {
      const struct ms_team *team = &after->teams[i];
      const struct ms_team *old = ms_config_team (before, team->id);

      if (!old)
        {
          report_change (report, "team", team->name, "added");
          continue;
        }
      report_number (report, "team", team->name, "weight", old->weight,
                     team->weight);
      if (!same_keys (old, team))
        report_change (report, "team", team->name, "key_digests changed");
    }
  for (unsigned i = 0; i < before->teams_count; i++)
    if (!ms_config_team (after, before->teams[i].id))
      report_change (report, "team", before->teams[i].name, "removed");
}

static bool
same_trial (const struct ms_trial *a, const struct ms_trial *b)
{
  if (!a || !b)
    return a == b;
  if (a->policy != b->policy || a->by != b->by || a->percent != b->percent
      || a->teams_count != b->teams_count)
    return false;
  for (unsigned i = 0; i < a->teams_count; i++)
    if (strcmp (a->teams[i], b->teams[i]) != 0)
      return false;
  return true;
}

static void
diff_service (struct report *report, const struct ms_service *old,
              const struct ms_service *new)
{
  const struct
  {
    const char *field;
    uint32_t before;
    uint32_t after;
  } numbers[] = {
    { "cold_limit", old->cold_limit, new->cold_limit },
    { "warm_limit", old->warm_limit, new->warm_limit },
    { "cells_per_zone", old->cells_per_zone, new->cells_per_zone },
    { "queue_limit", old->queue_limit, new->queue_limit },
    { "unit_us", old->unit_us, new->unit_us },
    { "max_run_ms", old->max_run_ms, new->max_run_ms },
    { "report_lag_ms", old->report_lag_ms, new->report_lag_ms },
  };

  for (size_t i = 0; i < sizeof numbers / sizeof *numbers; i++)
    report_number (report, "service", new->name, numbers[i].field,
                   numbers[i].before, numbers[i].after);
  if (old->kind != new->kind)
    report_change (report, "service", new->name, "kind changed");
  if (old->policy != new->policy)
    report_change (report, "service", new->name, "policy changed");
  if (old->placement != new->placement)
    report_change (report, "service", new->name, "placement changed");
  if (!same_trial (old->trial, new->trial))
    report_change (report, "service", new->name, "trial changed");
}

static void
diff_services (struct report *report, const struct ms_config *before,
               const struct ms_config *after)
{
  for (unsigned i = 0; i < after->services_count; i++)
    {
      const struct ms_service *service = &after->services[i];
      const struct ms_service *old = ms_config_service (before, service->id);

      if (old)
        diff_service (report, old, service);
      else
        report_change (report, "service", service->name, "added");
    }
  for (unsigned i = 0; i < before->services_count; i++)
    if (!ms_config_service (after, before->services[i].id))
      report_change (report, "service", before->services[i].name, "removed");
}

unsigned
ms_published_diff (const struct ms_published *published,
                   const struct ms_config *config, FILE *file)
{
  struct report report = { file, 0 };
  struct ms_str text = { published->text, published->length };
  struct ms_config *before;

  if (!published->text
      || ms_config_parse (text, "configuration in force", &before) != MS_OK)
    {
      fprintf (file, "there is no configuration in force\n");
      return 1;
    }
  diff_zones (&report, before, config);
  diff_teams (&report, before, config);
  diff_services (&report, before, config);
  ms_config_destroy (before);
  return report.count;
}

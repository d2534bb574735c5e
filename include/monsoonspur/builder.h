#ifndef MONSOONSPUR_BUILDER_H
#define MONSOONSPUR_BUILDER_H

#include <monsoonspur/status.h>

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* Builds a configuration and prints the checked YAML that operators publish.
   Strings are copied.  Adding never fails at once: what is wrong is told by
   ms_builder_print.  */

struct ms_builder;

/* A service; a member left 0 takes the documented default.  */
struct ms_service_spec
{
  const char *name;
  const char *kind;      /* "model" (default) or "plain".  */
  const char *policy;    /* "fair" (default), "first_come", "deficit".  */
  const char *placement; /* "least_in_flight" (default), "two_choices".  */
  uint32_t cold_limit;   /* Requests at once on a cold endpoint; required.  */
  uint32_t warm_limit;   /* Requests at once on a warm one; required.  */
  uint32_t cells_per_zone;
  uint32_t queue_limit; /* Waiting requests of a team at one router.  */
  uint32_t unit_us;     /* Usual time of a cost unit, microseconds.  */
  uint32_t max_run_ms;
  uint32_t report_lag_ms;
};

/* One policy run against another on part of a service.  */
struct ms_trial_spec
{
  const char *policy;
  const char *by;           /* "cell" or "team".  */
  uint32_t percent;         /* Of the cells, 0 to 100.  */
  const char *const *teams; /* With "team": NULL-terminated.  */
};

struct ms_builder *ms_builder_create (void);
void ms_builder_destroy (struct ms_builder *builder);

void ms_builder_zone (struct ms_builder *builder, const char *name,
                      const char *region, bool in_service);
void ms_builder_team (struct ms_builder *builder, const char *name,
                      uint32_t weight);

/* Require one of TEAM's keys; DIGEST is the key's SHA-256 in hexadecimal.  */
void ms_builder_team_key (struct ms_builder *builder, const char *team,
                          const char *digest);
void ms_builder_service (struct ms_builder *builder,
                         const struct ms_service_spec *spec);
void ms_builder_trial (struct ms_builder *builder, const char *service,
                       const struct ms_trial_spec *spec);

/* Check the whole and print it to FILE.  MS_INVALID leaves a message.  */
enum ms_status ms_builder_print (const struct ms_builder *builder, FILE *file);

#endif

#ifndef MONSOONSPUR_BUILDER_H
#define MONSOONSPUR_BUILDER_H

#include <monsoonspur/status.h>

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* Builds a configuration in C and prints it as YAML, for operators to publish
   with monsoonspur-config.

   Functions that add something return nothing: ms_builder_print checks the
   whole configuration and reports the first error.  Calls that are ignored, as
   stated below, are not reported.  All strings are copied, so that the caller
   may free them at once.  Not thread-safe: only one thread may use a builder
   at a time.  The process aborts if memory runs out.  */

struct ms_builder;

/* The settings of a service.  A member that is 0 or NULL is left out of the
   YAML; the configuration's default applies then.

   An endpoint is cold until a few requests in a row have run at the usual
   pace, and again after a sign of a cold start, such as a slow request;
   otherwise it is warm.  The service's endpoints in an availability zone are
   divided into cells, each of which one router dispatches.  */
struct ms_service_spec
{
  const char *name;        /* Required.  */
  const char *kind;        /* "model" (default) or "plain".  */
  const char *policy;      /* "fair" (default), "first_come" or "deficit".  */
  const char *placement;   /* "least_in_flight" (default) or "two_choices".  */
  uint32_t cold_limit;     /* Most concurrent requests on a cold endpoint;
                              required, at least 1.  */
  uint32_t warm_limit;     /* Most concurrent requests on a warm endpoint;
                              required, at least COLD_LIMIT.  */
  uint32_t cells_per_zone; /* Cells in each zone; at most 1024, 2 by
                              default.  */
  uint32_t queue_limit;    /* Queued requests per team and router; 64 by
                              default.  */
  uint32_t unit_us;        /* Usual run time of one cost unit, in microseconds;
                              10000 by default.  */
  uint32_t max_run_ms;     /* Run time after which an attempt at a request is
                              cancelled, in milliseconds; 120000 by
                              default.  */
  uint32_t report_lag_ms;  /* Greatest age of a load report on receipt, in
                              milliseconds; 1000 by default.  */
};

/* A comparison of two policies: some cells of a service run POLICY, the others
   the service's own.  */
struct ms_trial_spec
{
  const char *policy; /* As in struct ms_service_spec.  */
  const char *by;     /* "cell": any request may reach the trial cells;
                         "team": only those of TEAMS, and these reach no
                         other cells.  */
  uint32_t percent;   /* Percentage of cells that run POLICY, 0 to 100.  */
  const char *const *teams; /* Names, ended by NULL; for "team".  */
};

/* Create an empty builder; never NULL.  */
struct ms_builder *ms_builder_create (void);

/* Free BUILDER, which may be NULL.  */
void ms_builder_destroy (struct ms_builder *builder);

/* Add availability zone NAME of REGION.  Its endpoints get no new requests if
   IN_SERVICE is false.  */
void ms_builder_zone (struct ms_builder *builder, const char *name,
                      const char *region, bool in_service);

/* Add team NAME, whose share of capacity is relative to WEIGHT; 0 means 1.  */
void ms_builder_team (struct ms_builder *builder, const char *name,
                      uint32_t weight);

/* Require a key from callers of TEAM, which must have been added.  DIGEST is
   the key's SHA-256 in hexadecimal, 64 digits.  A team may have up to 16 keys,
   of which callers use any one.  A digest beyond these, or for a team that was
   not added, is ignored.  */
void ms_builder_team_key (struct ms_builder *builder, const char *team,
                          const char *digest);

/* Add the service that SPEC describes.  */
void ms_builder_service (struct ms_builder *builder,
                         const struct ms_service_spec *spec);

/* Add the trial SPEC to SERVICE, which must have been added.  A second trial
   of the service, or one of a service that was not added, is ignored.  */
void ms_builder_trial (struct ms_builder *builder, const char *service,
                       const struct ms_trial_spec *spec);

/* Check the configuration in BUILDER and print it to FILE as YAML.  Return
   MS_INVALID if it is wrong, with nothing printed, or MS_UNAVAILABLE if
   writing to FILE fails; ms_last_message has the reason then.  FILE is not
   flushed: an error that occurs only when its buffer is written shows at the
   caller's fflush or fclose.  */
enum ms_status ms_builder_print (const struct ms_builder *builder, FILE *file);

#endif

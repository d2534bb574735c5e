#include "replay/extract.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/alloc.h"
#include "base/file.h"
#include "config/config.h"
#include "member/record.h"
#include "node/node.h"

/* Time of the first arrival in the trace.  The configuration is published at
   0, and endpoints take 5 s to become warm.  */
#define START_MS 10000

/* Time after the last arrival for requests to end.  */
#define COMPLETION_MS 60000

struct arrival
{
  uint64_t request;
  ms_time at;
  uint64_t team;
  uint64_t service;
  int lane;
  int idempotent;
  uint32_t hint;
  uint32_t cost; /* In cost units; 0 until it ended successfully.  */
  ms_time deadline;
  UT_hash_handle hh;
};

struct extract
{
  char router[64];
  char zone[64];
  struct ms_config *config;
  struct arrival *arrivals;
  char *endpoints; /* The newest list, without its count; owned.  */
  ms_time first;   /* Time of the first arrival.  */
  ms_time last;    /* Time of the last arrival.  */
};

/* Keep the configuration that the record with TEXT holds, if it is
   well-formed; whether the routers accepted it isn't checked.  */
static void
read_config (struct extract *extract, const char *text)
{
  struct ms_record record;
  struct ms_config *config;
  struct ms_str yaml;

  if (ms_record_parse (ms_str (text), &record) != MS_OK)
    return;
  yaml = (struct ms_str){ record.text, record.text_length };
  if (record.text && ms_config_parse (yaml, "journal", &config) == MS_OK)
    {
      ms_config_destroy (extract->config);
      extract->config = config;
    }
  ms_record_clear (&record);
}

static void
read_arrival (struct extract *extract, ms_time now, const char *fields)
{
  struct arrival *arrival = ms_new (sizeof *arrival);
  uint64_t key;
  uint64_t fingerprint;

  arrival->at = now;
  if (sscanf (fields,
              "%" SCNu64 " %" SCNx64 " %" SCNx64 " %d %d %" SCNx64 " %" SCNx64
              " %u %" SCNd64,
              &arrival->request, &arrival->team, &arrival->service,
              &arrival->lane, &arrival->idempotent, &key, &fingerprint,
              &arrival->hint, &arrival->deadline)
      != 9)
    {
      free (arrival);
      return;
    }
  if (!extract->arrivals)
    extract->first = now;
  extract->last = now;
  HASH_ADD (hh, extract->arrivals, request, sizeof arrival->request, arrival);
}

static void
read_attempt_end (struct extract *extract, const char *fields)
{
  struct arrival *arrival;
  uint64_t request;
  unsigned attempt;
  unsigned cost;
  int result;
  int sent;

  if (sscanf (fields, "%" SCNu64 " %u %d %d %u", &request, &attempt, &result,
              &sent, &cost)
          != 5
      || result != MS_RESULT_OK)
    return;
  HASH_FIND (hh, extract->arrivals, &request, sizeof request, arrival);
  if (arrival)
    arrival->cost = cost;
}

static void
read_line (struct extract *extract, const char *line)
{
  char kind[32];
  int used = 0;
  ms_time now;
  const char *fields;

  if (sscanf (line, "%" SCNd64 " %31s %n", &now, kind, &used) != 2)
    return;
  fields = line + used;
  if (strcmp (kind, "arrive") == 0)
    read_arrival (extract, now, fields);
  else if (strcmp (kind, "end") == 0)
    read_attempt_end (extract, fields);
  else if (strcmp (kind, "record") == 0 && strchr (fields, '{'))
    read_config (extract, strchr (fields, '{'));
  else if (strcmp (kind, "endpoints") == 0 && strchr (fields, ' '))
    {
      free (extract->endpoints);
      extract->endpoints
          = ms_copy (strchr (fields, ' '), strlen (strchr (fields, ' ')));
    }
}

static const char *
zone_name (const struct ms_config *config, uint64_t id)
{
  const struct ms_zone *zone = ms_config_zone (config, id);

  return zone ? zone->name : NULL;
}

/* Write the endpoints, without those that were leaving and those whose service
   or zone isn't in the configuration.  */
static void
write_endpoints (struct extract *extract, FILE *file)
{
  char *save = NULL;
  char *name;

  for (name = strtok_r (extract->endpoints, " ", &save); name;
       name = strtok_r (NULL, " ", &save))
    {
      char *service_id = strtok_r (NULL, " ", &save);
      char *zone_id = strtok_r (NULL, " ", &save);
      char *leaving = strtok_r (NULL, " ", &save);
      const struct ms_service *service;
      const char *zone;

      /* The address, which a trace doesn't have.  */
      if (!strtok_r (NULL, " ", &save))
        return;
      service = ms_config_service (extract->config,
                                   strtoull (service_id, NULL, 16));
      zone = zone_name (extract->config, strtoull (zone_id, NULL, 16));
      if (service && zone && strcmp (leaving, "0") == 0)
        fprintf (file, "endpoint %s %s %s cold=%u warm=%u unit_us=%u\n", name,
                 service->name, zone, service->cold_limit, service->warm_limit,
                 service->unit_us);
    }
}

/* Write ARRIVAL, unless the configuration lacks its team or service.  The cost
   is 1 if neither cost nor hint is known.  A hint is written as "hint=true",
   so that the replay takes the cost as the hint.  */
static void
write_arrival (const struct extract *extract, const struct arrival *arrival,
               FILE *file)
{
  const struct ms_team *team = ms_config_team (extract->config, arrival->team);
  const struct ms_service *service
      = ms_config_service (extract->config, arrival->service);
  uint32_t cost = arrival->cost ? arrival->cost : arrival->hint;

  if (!team || !service)
    return;
  fprintf (file,
           "at %.3f send team=%s service=%s cost=%u timeout=%" PRId64
           "%s%s%s\n",
           (double)(arrival->at - extract->first) / (double)MS_MSEC + START_MS,
           team->name, service->name, cost ? cost : 1,
           (arrival->deadline - arrival->at) / MS_MSEC,
           arrival->lane == MS_LANE_LONG ? " class=long" : "",
           arrival->idempotent ? "" : " once",
           arrival->hint ? " hint=true" : " hint=none");
}

/* Write the configuration.  If it names no policy, each service gets the one
   that the replay is run with: "policy: ${policy}" after its cold_limit, which
   must be indented by two spaces.  */
static void
write_config (const struct extract *extract, FILE *file)
{
  const char *at = extract->config->text;
  bool has_policy = strstr (at, "policy:") != NULL;

  fputs ("config\n", file);
  while (*at)
    {
      const char *end = strchr (at, '\n');
      int length = end ? (int)(end - at) : (int)strlen (at);

      fprintf (file, "%.*s\n", length, at);
      if (!has_policy && strstr (at, "cold_limit:") == at + 2)
        fprintf (file, "  policy: ${policy}\n");
      at += length + (end ? 1 : 0);
    }
  fputs ("END\n", file);
}

static enum ms_status
write_trace (struct extract *extract, const char *path, FILE *file)
{
  if (!extract->config || !extract->arrivals || !extract->endpoints)
    return ms_fail (
        MS_INVALID,
        "%s: lacks a configuration, a list of endpoints or arrivals", path);
  fprintf (file, "# Arrivals recorded by %s.\n", extract->router);
  write_config (extract, file);
  fprintf (file, "node %s %s\n", extract->router, extract->zone);
  write_endpoints (extract, file);
  fprintf (file, "seed 1\nuntil %" PRId64 "\nat 0 publish\n",
           (extract->last - extract->first) / MS_MSEC + START_MS
               + COMPLETION_MS);
  for (const struct arrival *a = extract->arrivals; a; a = a->hh.next)
    write_arrival (extract, a, file);
  return MS_OK;
}

enum ms_status
extract_trace (const char *path, FILE *file)
{
  struct extract extract = { 0 };
  struct arrival *arrival, *next;
  char *save = NULL;
  char *text;
  size_t length;
  enum ms_status status = ms_file_read (path, &text, &length);

  if (status != MS_OK)
    return status;
  if (sscanf (text, "router %63s %63s", extract.router, extract.zone) != 2)
    status = ms_fail (MS_INVALID, "%s: line 1: not a journal", path);
  for (char *line = strtok_r (text, "\n", &save); line && status == MS_OK;
       line = strtok_r (NULL, "\n", &save))
    read_line (&extract, line);
  if (status == MS_OK)
    status = write_trace (&extract, path, file);
  HASH_ITER (hh, extract.arrivals, arrival, next)
  {
    HASH_DEL (extract.arrivals, arrival);
    free (arrival);
  }
  ms_config_destroy (extract.config);
  free (extract.endpoints);
  free (text);
  return status;
}

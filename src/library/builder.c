#include <monsoonspur/builder.h>

#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#include "base/alloc.h"
#include "base/str.h"
#include "config/config.h"

#define MAX_KEYS_PER_TEAM 16 /* As in config/schema.c.  */
#define NUMBER_BYTES 16      /* Enough for a uint32_t in decimal.  */

struct zone
{
  char *name;
  char *region;
  bool in_service;
};

struct team
{
  char *name;
  uint32_t weight;
  char *key_digests[MAX_KEYS_PER_TEAM];
  unsigned key_digests_count;
};

struct service
{
  struct ms_service_spec spec; /* The strings are owned copies.  */
  bool has_trial;
  struct ms_trial_spec trial; /* TEAMS in it is not used.  */
  char **trial_teams;         /* Owned, ended by NULL.  */
};

struct ms_builder
{
  struct zone *zones;
  unsigned zones_count;
  struct team *teams;
  unsigned teams_count;
  struct service *services;
  unsigned services_count;
};

/* Extend ROWS, an array of COUNT elements of SIZE bytes, by one zeroed
   element.  */
static void *
append_row (void *rows, unsigned count, size_t size)
{
  char *extended = ms_resize (rows, (size_t)count + 1, size);

  memset (extended + count * size, 0, size);
  return extended;
}

static char *
copy_text (const char *text)
{
  return text ? ms_copy (text, strlen (text)) : NULL;
}

struct ms_builder *
ms_builder_create (void)
{
  /* An array of one element, which is zeroed.  */
  return append_row (NULL, 0, sizeof (struct ms_builder));
}

static void
free_service (struct service *service)
{
  free ((char *)service->spec.name);
  free ((char *)service->spec.kind);
  free ((char *)service->spec.policy);
  free ((char *)service->spec.placement);
  free ((char *)service->trial.policy);
  free ((char *)service->trial.by);
  for (char **team = service->trial_teams; team && *team; team++)
    free (*team);
  free (service->trial_teams);
}

void
ms_builder_destroy (struct ms_builder *builder)
{
  if (!builder)
    return;
  for (unsigned i = 0; i < builder->zones_count; i++)
    {
      free (builder->zones[i].name);
      free (builder->zones[i].region);
    }
  for (unsigned i = 0; i < builder->teams_count; i++)
    {
      for (unsigned k = 0; k < builder->teams[i].key_digests_count; k++)
        free (builder->teams[i].key_digests[k]);
      free (builder->teams[i].name);
    }
  for (unsigned i = 0; i < builder->services_count; i++)
    free_service (&builder->services[i]);
  free (builder->zones);
  free (builder->teams);
  free (builder->services);
  free (builder);
}

void
ms_builder_zone (struct ms_builder *builder, const char *name,
                 const char *region, bool in_service)
{
  struct zone *zone;

  builder->zones
      = append_row (builder->zones, builder->zones_count, sizeof *zone);
  zone = &builder->zones[builder->zones_count++];
  *zone = (struct zone){ copy_text (name), copy_text (region), in_service };
}

void
ms_builder_team (struct ms_builder *builder, const char *name, uint32_t weight)
{
  struct team *team;

  builder->teams
      = append_row (builder->teams, builder->teams_count, sizeof *team);
  team = &builder->teams[builder->teams_count++];
  team->name = copy_text (name);
  team->weight = weight;
}

void
ms_builder_team_key (struct ms_builder *builder, const char *name,
                     const char *digest)
{
  for (unsigned i = 0; i < builder->teams_count; i++)
    {
      struct team *team = &builder->teams[i];

      if (strcmp (team->name, name) == 0
          && team->key_digests_count < MAX_KEYS_PER_TEAM)
        team->key_digests[team->key_digests_count++] = copy_text (digest);
    }
}

void
ms_builder_service (struct ms_builder *builder,
                    const struct ms_service_spec *spec)
{
  struct service *service;

  builder->services = append_row (builder->services, builder->services_count,
                                  sizeof *service);
  service = &builder->services[builder->services_count++];
  service->spec = *spec;
  service->spec.name = copy_text (spec->name);
  service->spec.kind = copy_text (spec->kind);
  service->spec.policy = copy_text (spec->policy);
  service->spec.placement = copy_text (spec->placement);
}

static void
set_trial (struct service *service, const struct ms_trial_spec *spec)
{
  unsigned count = 0;

  service->has_trial = true;
  service->trial = *spec;
  service->trial.policy = copy_text (spec->policy);
  service->trial.by = copy_text (spec->by);
  while (spec->teams && spec->teams[count])
    count++;
  service->trial_teams = ms_new_array ((size_t)count + 1, sizeof (char *));
  for (unsigned i = 0; i < count; i++)
    service->trial_teams[i] = copy_text (spec->teams[i]);
}

void
ms_builder_trial (struct ms_builder *builder, const char *name,
                  const struct ms_trial_spec *spec)
{
  for (unsigned i = 0; i < builder->services_count; i++)
    if (strcmp (builder->services[i].spec.name, name) == 0
        && !builder->services[i].has_trial)
      set_trial (&builder->services[i], spec);
}

/* A YAML document under construction.  Its nodes are identified by libyaml's
   node numbers.  */
struct writer
{
  yaml_document_t document;
};

/* Create a node that holds TEXT.  It is printed without quotes where YAML
   allows that.  */
static int
new_scalar (struct writer *writer, const char *text)
{
  return yaml_document_add_scalar (&writer->document, NULL,
                                   (yaml_char_t *)text, (int)strlen (text),
                                   YAML_PLAIN_SCALAR_STYLE);
}

static void
put_node (struct writer *writer, int mapping, const char *key, int value)
{
  yaml_document_append_mapping_pair (&writer->document, mapping,
                                     new_scalar (writer, key), value);
}

/* Put TEXT under KEY unless it is NULL.  */
static void
put_text (struct writer *writer, int mapping, const char *key,
          const char *text)
{
  if (text)
    put_node (writer, mapping, key, new_scalar (writer, text));
}

/* Put VALUE under KEY; 0 stands for the default and is left out.  */
static void
put_number (struct writer *writer, int mapping, const char *key,
            uint32_t value)
{
  char text[NUMBER_BYTES];

  if (!value)
    return;
  snprintf (text, sizeof text, "%u", value);
  put_node (writer, mapping, key, new_scalar (writer, text));
}

static int
new_mapping (struct writer *writer)
{
  return yaml_document_add_mapping (&writer->document, NULL,
                                    YAML_BLOCK_MAPPING_STYLE);
}

static int
new_sequence (struct writer *writer)
{
  return yaml_document_add_sequence (&writer->document, NULL,
                                     YAML_BLOCK_SEQUENCE_STYLE);
}

/* Append an empty mapping to SEQUENCE and return it.  */
static int
append_mapping (struct writer *writer, int sequence)
{
  int mapping = new_mapping (writer);

  yaml_document_append_sequence_item (&writer->document, sequence, mapping);
  return mapping;
}

static void
write_zones (struct writer *writer, int root, const struct ms_builder *builder)
{
  int sequence = new_sequence (writer);

  put_node (writer, root, "availability_zones", sequence);
  for (unsigned i = 0; i < builder->zones_count; i++)
    {
      int zone = append_mapping (writer, sequence);

      put_text (writer, zone, "name", builder->zones[i].name);
      put_text (writer, zone, "region", builder->zones[i].region);
      put_text (writer, zone, "in_service",
                builder->zones[i].in_service ? "true" : "false");
    }
}

static void
write_teams (struct writer *writer, int root, const struct ms_builder *builder)
{
  int sequence = new_sequence (writer);

  put_node (writer, root, "teams", sequence);
  for (unsigned i = 0; i < builder->teams_count; i++)
    {
      const struct team *team = &builder->teams[i];
      int mapping = append_mapping (writer, sequence);
      int key_digests;

      put_text (writer, mapping, "name", team->name);
      put_number (writer, mapping, "weight", team->weight);
      if (!team->key_digests_count)
        continue;
      key_digests = new_sequence (writer);
      put_node (writer, mapping, "key_digests", key_digests);
      for (unsigned k = 0; k < team->key_digests_count; k++)
        yaml_document_append_sequence_item (
            &writer->document, key_digests,
            new_scalar (writer, team->key_digests[k]));
    }
}

/* Put SERVICE's trial into the mapping PARENT.  */
static void
write_trial (struct writer *writer, int parent, const struct service *service)
{
  int mapping = new_mapping (writer);
  char percent[NUMBER_BYTES];
  int teams;

  snprintf (percent, sizeof percent, "%u", service->trial.percent);
  put_node (writer, parent, "trial", mapping);
  put_text (writer, mapping, "policy", service->trial.policy);
  put_text (writer, mapping, "by", service->trial.by);
  put_text (writer, mapping, "percent", percent);
  if (!service->trial_teams[0])
    return;
  teams = new_sequence (writer);
  put_node (writer, mapping, "teams", teams);
  for (char **team = service->trial_teams; *team; team++)
    yaml_document_append_sequence_item (&writer->document, teams,
                                        new_scalar (writer, *team));
}

static void
write_services (struct writer *writer, int root,
                const struct ms_builder *builder)
{
  int sequence = new_sequence (writer);

  put_node (writer, root, "services", sequence);
  for (unsigned i = 0; i < builder->services_count; i++)
    {
      const struct ms_service_spec *spec = &builder->services[i].spec;
      int mapping = append_mapping (writer, sequence);

      put_text (writer, mapping, "name", spec->name);
      put_text (writer, mapping, "kind", spec->kind);
      put_text (writer, mapping, "policy", spec->policy);
      put_text (writer, mapping, "placement", spec->placement);
      put_number (writer, mapping, "cold_limit", spec->cold_limit);
      put_number (writer, mapping, "warm_limit", spec->warm_limit);
      put_number (writer, mapping, "cells_per_zone", spec->cells_per_zone);
      put_number (writer, mapping, "queue_limit", spec->queue_limit);
      put_number (writer, mapping, "unit_us", spec->unit_us);
      put_number (writer, mapping, "max_run_ms", spec->max_run_ms);
      put_number (writer, mapping, "report_lag_ms", spec->report_lag_ms);
      if (builder->services[i].has_trial)
        write_trial (writer, mapping, &builder->services[i]);
    }
}

/* The YAML text, with a NUL.  */
struct buffer
{
  char *data;
  size_t length;
};

/* Output callback of the emitter; 1 means success.  */
static int
append_output (void *context, unsigned char *data, size_t length)
{
  struct buffer *buffer = context;

  buffer->data = ms_resize (buffer->data, buffer->length + length + 1, 1);
  memcpy (buffer->data + buffer->length, data, length);
  buffer->length += length;
  buffer->data[buffer->length] = '\0';
  return 1;
}

/* Print the configuration as YAML into BUFFER, unchecked.  */
static void
print_yaml (const struct ms_builder *builder, struct buffer *buffer)
{
  struct writer writer;
  yaml_emitter_t emitter;
  int root;

  yaml_document_initialize (&writer.document, NULL, NULL, NULL, 1, 1);
  root = new_mapping (&writer);
  write_zones (&writer, root, builder);
  write_teams (&writer, root, builder);
  write_services (&writer, root, builder);
  yaml_emitter_initialize (&emitter);
  yaml_emitter_set_output (&emitter, append_output, buffer);
  yaml_emitter_dump (&emitter, &writer.document); /* Frees the document.  */
  yaml_emitter_flush (&emitter);
  yaml_emitter_delete (&emitter);
}

enum ms_status
ms_builder_print (const struct ms_builder *builder, FILE *file)
{
  struct buffer buffer = { 0 };
  struct ms_config *config;
  struct ms_str text;
  enum ms_status status;

  print_yaml (builder, &buffer);
  text = (struct ms_str){ buffer.data, buffer.length };
  status = ms_config_parse (text, "configuration", &config);
  if (status == MS_OK)
    {
      ms_config_destroy (config);
      if (fwrite (buffer.data, 1, buffer.length, file) != buffer.length)
        status = ms_fail (MS_UNAVAILABLE, "cannot write the configuration");
    }
  free (buffer.data);
  return status;
}

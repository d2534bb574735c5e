#include "rollout/versions.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/alloc.h"

struct version_key
{
  uint64_t service;
  uint64_t version;
};

struct version
{
  struct version_key key;
  ms_time first_seen;
  int64_t born; /* Of the endpoint that started first; 0 if not stated.  */
  bool noted;   /* Since the last update.  */
  bool ordered; /* An order names it.  */
  bool held;
  UT_hash_handle hh;
};

struct ms_versions
{
  struct version *table;
  ms_versions_admitted *admitted;
  void *context;
};

struct ms_versions *
ms_versions_create (ms_versions_admitted *admitted, void *context)
{
  struct ms_versions *versions = ms_new (sizeof *versions);

  versions->admitted = admitted;
  versions->context = context;
  return versions;
}

static void
remove_version (struct ms_versions *versions, struct version *v)
{
  HASH_DEL (versions->table, v);
  free (v);
}

void
ms_versions_destroy (struct ms_versions *versions)
{
  struct version *v, *next;

  if (!versions)
    return;
  HASH_ITER (hh, versions->table, v, next) { remove_version (versions, v); }
  free (versions);
}

static struct version *
find_version (const struct ms_versions *versions, uint64_t service,
              uint32_t version)
{
  const struct version_key key = { service, version };
  struct version *v;

  HASH_FIND (hh, versions->table, &key, sizeof key, v);
  return v;
}

void
ms_versions_note (struct ms_versions *versions, uint64_t service,
                  uint32_t version, int64_t born, ms_time now)
{
  struct version *v = find_version (versions, service, version);

  if (!v)
    {
      v = ms_new (sizeof *v);
      v->key = (struct version_key){ service, version };
      v->first_seen = now;
      v->born = born;
      v->held = true;
      HASH_ADD (hh, versions->table, key, sizeof v->key, v);
    }
  v->noted = true;
  if (!born || born < v->born)
    v->born = born;
}

void
ms_versions_note_order (struct ms_versions *versions, uint64_t service,
                        uint32_t version)
{
  struct version *v = find_version (versions, service, version);

  if (v)
    v->ordered = true;
}

/* Return whether the service of V has had V before all its other versions,
   none of which was admitted: then V is no new one, and this router is.  */
static bool
is_first (const struct ms_versions *versions, const struct version *v)
{
  const struct version *other;

  for (other = versions->table; other; other = other->hh.next)
    if (other != v && other->key.service == v->key.service
        && (!other->held || !v->born || !other->born
            || other->born <= v->born))
      return false;
  return true;
}

/* Return whether the service of V has no other version.  */
static bool
is_alone (const struct ms_versions *versions, const struct version *v)
{
  const struct version *other;

  for (other = versions->table; other; other = other->hh.next)
    if (other != v && other->key.service == v->key.service)
      return false;
  return true;
}

void
ms_versions_update (struct ms_versions *versions, ms_time orders_read_at,
                    ms_time now)
{
  struct version *v, *next;

  HASH_ITER (hh, versions->table, v, next)
  {
    if (!v->noted)
      remove_version (versions, v);
    else
      v->noted = false;
  }
  HASH_ITER (hh, versions->table, v, next)
  {
    if (!v->held
        || !(v->ordered || orders_read_at > v->first_seen
             || is_alone (versions, v) || is_first (versions, v)))
      continue;
    v->held = false;
    versions->admitted (versions->context, v->key.service,
                        (uint32_t)v->key.version, now - v->first_seen);
  }
}

bool
ms_versions_is_held (const struct ms_versions *versions, uint64_t service,
                     uint32_t version)
{
  const struct version *v = find_version (versions, service, version);

  return !v || v->held;
}

bool
ms_versions_any_held (const struct ms_versions *versions)
{
  const struct version *v;

  for (v = versions->table; v; v = v->hh.next)
    if (v->held)
      return true;
  return false;
}

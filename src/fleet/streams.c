#include "fleet/streams.h"

#include <endian.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "base/alloc.h"
#include "base/str.h"

/* A stream is reported for this long after it has begun here or was learned:
   in three digests of a large fleet.  */
#define NEWS_TIME (400 * MS_MSEC)

/* Older streams that one report has, by turns.  */
#define OLD_PER_REPORT 32

/* Streams that began before this time are not written to the store.  */
#define STORE_TIME (10 * MS_SEC)

/* Most streams that are known; the oldest are forgotten first.  */
#define MAX_STREAMS 200000

/* The first event of a stream is not passed on within this time after the
   stream was sent while its service has several versions, so that the store
   has the version of all that began if all routers are killed: notices leave
   within 20 ms, records are written each 100 ms, and a write takes some 20.
   Never longer than until half of the first-byte target.  */
#define HOLD_TIME (150 * MS_MSEC)

/* The same for a stream that was reported at another version before.  The
   store would name the wrong one, so the target does not shorten it, and there
   is time for a write that waits for the one before.  */
#define MOVED_HOLD_TIME (250 * MS_MSEC)

/* A version that was listed this long ago still serves.  */
#define SERVES_TIME (1 * MS_SEC)

/* Most versions that a stream is reported at.  Reports of it have different
   identifiers, so that they may arrive in any order; the last one says that
   the version is unknown.  */
#define MAX_MOVES 6

/* Versions of one service that are told apart.  */
#define MAX_VERSIONS 8

struct stream
{
  uint64_t id;
  uint32_t version;
  enum ms_stream_source source;
  bool taken_up;
  ms_time at;
  UT_hash_handle hh;
  struct stream *prev, *next;
};

struct version
{
  uint32_t id;
  ms_time listed_at;
  bool stored; /* The store has a record of it.  */
};

struct service
{
  uint64_t id;
  struct version versions[MAX_VERSIONS];
  unsigned count;
  UT_hash_handle hh;
};

struct ms_streams
{
  struct stream *table;
  struct stream *list; /* Oldest first.  */
  struct stream *next; /* Next older one to report.  */
  bool unreported;     /* A stream has begun here since the last report.  */
  struct stream *unstored; /* Next one to be written to the store.  */
  struct service *services;
  ms_time known_since; /* All versions that were listed since are known.  */
};

struct ms_streams *
ms_streams_create (bool first_start, ms_time now)
{
  struct ms_streams *streams = ms_new (sizeof *streams);

  streams->known_since = first_start ? now - MS_STREAM_LIFETIME : now;
  return streams;
}

static void
remove_stream (struct ms_streams *streams, struct stream *s)
{
  if (streams->next == s)
    streams->next = s->next;
  if (streams->unstored == s)
    streams->unstored = s->next;
  HASH_DEL (streams->table, s);
  DL_DELETE (streams->list, s);
  free (s);
}

void
ms_streams_destroy (struct ms_streams *streams)
{
  struct service *service, *next;

  if (!streams)
    return;
  while (streams->list)
    remove_stream (streams, streams->list);
  HASH_ITER (hh, streams->services, service, next)
  {
    HASH_DEL (streams->services, service);
    free (service);
  }
  free (streams);
}

static struct service *
find_service (const struct ms_streams *streams, uint64_t id)
{
  struct service *service;

  HASH_FIND (hh, streams->services, &id, sizeof id, service);
  return service;
}

static bool
is_current (const struct version *version, ms_time now)
{
  return now - version->listed_at < MS_STREAM_LIFETIME;
}

/* Remove the versions of SERVICE that are out of date.  */
static void
drop_old_versions (struct service *service, ms_time now)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < service->count; i++)
    if (is_current (&service->versions[i], now))
      service->versions[kept++] = service->versions[i];
  service->count = kept;
}

void
ms_streams_note_version (struct ms_streams *streams, uint64_t service_id,
                         uint32_t version, ms_time at)
{
  struct service *service = find_service (streams, service_id);

  if (!service)
    {
      service = ms_new (sizeof *service);
      service->id = service_id;
      HASH_ADD (hh, streams->services, id, sizeof service->id, service);
    }
  for (unsigned i = 0; i < service->count; i++)
    if (service->versions[i].id == version)
      {
        if (service->versions[i].listed_at < at)
          service->versions[i].listed_at = at;
        return;
      }
  /* Further ones need not be known: there are several.  */
  if (service->count < MAX_VERSIONS)
    service->versions[service->count++]
        = (struct version){ .id = version, .listed_at = at };
}

static struct stream *
find_stream (const struct ms_streams *streams, uint64_t id)
{
  struct stream *s;

  HASH_FIND (hh, streams->table, &id, sizeof id, s);
  return s;
}

/* Return stream ID, which is added with VERSION if it is unknown.  */
static struct stream *
find_or_add_stream (struct ms_streams *streams, uint64_t id, uint32_t version,
                    enum ms_stream_source source, ms_time now)
{
  struct stream *s = find_stream (streams, id);

  if (s)
    return s;
  if (HASH_COUNT (streams->table) >= MAX_STREAMS)
    remove_stream (streams, streams->list);
  s = ms_new (sizeof *s);
  s->id = id;
  s->version = version;
  s->source = source;
  s->at = now;
  HASH_ADD (hh, streams->table, id, sizeof s->id, s);
  DL_APPEND (streams->list, s);
  if (!streams->unstored)
    streams->unstored = s;
  return s;
}

/* Return the identifier under which STREAM is reported after MOVES changes of
   its version.  */
static uint64_t
report_id (uint64_t stream, unsigned moves)
{
  return moves ? ms_id_pair (stream, moves) : stream;
}

/* Return the report of STREAM that counts, and its number of changes in
 *MOVES; NULL if there is none.  */
static struct stream *
last_report (const struct ms_streams *streams, uint64_t stream,
             unsigned *moves)
{
  for (*moves = MAX_MOVES; *moves; --*moves)
    {
      struct stream *s = find_stream (streams, report_id (stream, *moves));

      if (s)
        return s;
    }
  return find_stream (streams, stream);
}

/* STREAM goes to VERSION through this router.  Return whether it was reported
   at another one before.  */
static bool
set_own (struct ms_streams *streams, uint64_t stream, uint32_t version,
         ms_time now)
{
  unsigned moves;
  struct stream *s = last_report (streams, stream, &moves);
  bool moved = moves > 0;

  if (s && s->version != version && moves < MAX_MOVES)
    {
      moved = true;
      moves++;
      /* Not reported by turns any more, else a router that starts could learn
         of it only.  */
      remove_stream (streams, s);
      s = NULL;
      if (moves == MAX_MOVES)
        version = 0;
    }
  if (!s)
    s = find_or_add_stream (streams, report_id (stream, moves), version,
                            MS_STREAM_OWN, now);
  s->source = MS_STREAM_OWN;
  streams->unreported = true;
  return moved;
}

bool
ms_streams_sent (struct ms_streams *streams, uint64_t stream, uint32_t version,
                 ms_time now)
{
  return ms_streams_mixed (streams, now)
         && set_own (streams, stream, version, now);
}

void
ms_streams_begin (struct ms_streams *streams, uint64_t stream,
                  uint32_t version, ms_time now)
{
  set_own (streams, stream, version, now);
}

void
ms_streams_merge (struct ms_streams *streams, uint64_t stream,
                  uint32_t version, enum ms_stream_source source, ms_time now)
{
  find_or_add_stream (streams, stream, version, source, now);
}

/* Return whether this router knows all versions that were listed within
   MS_STREAM_LIFETIME.  */
static bool
knows_versions (const struct ms_streams *streams, ms_time now)
{
  return now - streams->known_since >= MS_STREAM_LIFETIME;
}

/* Return the only version that the COUNT SERVICES have had within
   MS_STREAM_LIFETIME; 0 if there were others, or there may have been.  */
static uint32_t
only_version (const struct ms_streams *streams, const uint64_t *services,
              unsigned count, ms_time now)
{
  uint32_t only = 0;

  if (!knows_versions (streams, now))
    return 0;
  for (unsigned i = 0; i < count; i++)
    {
      const struct service *service = find_service (streams, services[i]);

      for (unsigned j = 0; service && j < service->count; j++)
        {
          if (!is_current (&service->versions[j], now))
            continue;
          if (only)
            return 0;
          only = service->versions[j].id;
        }
    }
  return only;
}

uint32_t
ms_streams_version (const struct ms_streams *streams, uint64_t stream,
                    const uint64_t *services, unsigned count, ms_time now)
{
  unsigned moves;
  const struct stream *s = last_report (streams, stream, &moves);

  return s ? s->version : only_version (streams, services, count, now);
}

bool
ms_streams_reported (const struct ms_streams *streams, uint64_t stream)
{
  unsigned moves;

  return last_report (streams, stream, &moves) != NULL;
}

bool
ms_streams_take_up (struct ms_streams *streams, uint64_t stream)
{
  unsigned moves;
  struct stream *s = last_report (streams, stream, &moves);

  if (!s || s->taken_up)
    return false;
  s->taken_up = true;
  return true;
}

bool
ms_streams_mixed (const struct ms_streams *streams, ms_time now)
{
  for (const struct service *service = streams->services; service;
       service = service->hh.next)
    {
      unsigned count = 0;

      for (unsigned i = 0; i < service->count; i++)
        count += is_current (&service->versions[i], now);
      if (count > 1)
        return true;
    }
  return false;
}

/* Return whether several versions of SERVICE serve.  */
static bool
several_serve (const struct ms_streams *streams, uint64_t service_id,
               ms_time now)
{
  const struct service *service = find_service (streams, service_id);
  unsigned count = 0;

  for (unsigned i = 0; service && i < service->count; i++)
    count += now - service->versions[i].listed_at < SERVES_TIME;
  return count > 1;
}

ms_time
ms_streams_hold_until (const struct ms_streams *streams, uint64_t service,
                       bool moved, ms_time sent_at, ms_time arrived,
                       ms_time target, ms_time now)
{
  ms_time until = sent_at + HOLD_TIME;

  if (moved)
    return sent_at + MOVED_HOLD_TIME;
  if (!several_serve (streams, service, now))
    return 0;
  return until < arrived + target / 2 ? until : arrived + target / 2;
}

unsigned
ms_streams_report (struct ms_streams *streams, unsigned sources,
                   struct ms_stream_report *list, unsigned space, ms_time now)
{
  struct stream *s = streams->list ? streams->list->prev : NULL;
  unsigned count = 0;

  if (sources & MS_STREAM_OWN)
    streams->unreported = false;
  if (!ms_streams_mixed (streams, now))
    return 0;
  /* The newest are at the end of the list.  */
  for (; s && now - s->at < NEWS_TIME && count < space;
       s = s == streams->list ? NULL : s->prev)
    if (s->source & sources)
      list[count++] = (struct ms_stream_report){ s->id, s->version };
  if (!streams->next)
    streams->next = streams->list;
  space = count + OLD_PER_REPORT < space ? count + OLD_PER_REPORT : space;
  for (; streams->next && count < space; streams->next = streams->next->next)
    if (streams->next->source == MS_STREAM_OWN)
      list[count++] = (struct ms_stream_report){ streams->next->id,
                                                 streams->next->version };
  return count;
}

bool
ms_streams_unreported (const struct ms_streams *streams, ms_time now)
{
  return streams->unreported && ms_streams_mixed (streams, now);
}

unsigned
ms_streams_take_unstored (struct ms_streams *streams,
                          struct ms_stream_report *list, unsigned space,
                          ms_time now)
{
  unsigned count = 0;

  for (; streams->unstored && count < space;
       streams->unstored = streams->unstored->next)
    {
      const struct stream *s = streams->unstored;

      if (s->source != MS_STREAM_OTHER && now - s->at < STORE_TIME)
        list[count++] = (struct ms_stream_report){ s->id, s->version };
    }
  return count;
}

size_t
ms_streams_encode (const struct ms_stream_report *list, unsigned count,
                   char *data)
{
  for (unsigned i = 0; i < count; i++)
    {
      uint64_t stream = htobe64 (list[i].stream);
      uint32_t version = htobe32 (list[i].version);

      memcpy (data, &stream, sizeof stream);
      memcpy (data + sizeof stream, &version, sizeof version);
      data += MS_STREAM_STORED_BYTES;
    }
  return (size_t)count * MS_STREAM_STORED_BYTES;
}

unsigned
ms_streams_load (struct ms_streams *streams, const char *data, size_t length,
                 ms_time now)
{
  unsigned count = (unsigned)(length / MS_STREAM_STORED_BYTES);

  for (unsigned i = 0; i < count; i++)
    {
      uint64_t stream;
      uint32_t version;

      memcpy (&stream, data, sizeof stream);
      memcpy (&version, data + sizeof stream, sizeof version);
      ms_streams_merge (streams, be64toh (stream), be32toh (version),
                        MS_STREAM_OTHER, now);
      data += MS_STREAM_STORED_BYTES;
    }
  return count;
}

unsigned
ms_streams_report_versions (const struct ms_streams *streams,
                            struct ms_version_report *list, unsigned space,
                            ms_time *known_for, ms_time now)
{
  unsigned count = 0;

  *known_for = now - streams->known_since;
  if (*known_for > MS_STREAM_LIFETIME)
    *known_for = MS_STREAM_LIFETIME;
  for (const struct service *service = streams->services; service;
       service = service->hh.next)
    for (unsigned i = 0; i < service->count; i++)
      {
        const struct version *v = &service->versions[i];

        if (!is_current (v, now))
          continue;
        if (count == space)
          {
            *known_for = 0;
            return count;
          }
        list[count++] = (struct ms_version_report){ service->id, v->id,
                                                    now - v->listed_at };
      }
  return count;
}

void
ms_streams_merge_versions (struct ms_streams *streams,
                           const struct ms_version_report *list,
                           unsigned count, ms_time known_for, ms_time now)
{
  for (unsigned i = 0; i < count; i++)
    ms_streams_note_version (streams, list[i].service, list[i].version,
                             now - list[i].age);
  if (now - known_for < streams->known_since)
    streams->known_since = now - known_for;
}

bool
ms_streams_unstored (const struct ms_streams *streams,
                     struct ms_version_report *report, ms_time now)
{
  for (const struct service *service = streams->services; service;
       service = service->hh.next)
    for (unsigned i = 0; i < service->count; i++)
      {
        const struct version *v = &service->versions[i];

        if (v->stored || !is_current (v, now))
          continue;
        *report = (struct ms_version_report){ service->id, v->id,
                                              now - v->listed_at };
        return true;
      }
  return false;
}

bool
ms_streams_note_stored (struct ms_streams *streams, uint64_t service_id,
                        uint32_t version, ms_time now)
{
  struct service *service;

  if (!knows_versions (streams, now))
    ms_streams_note_version (streams, service_id, version, now);
  service = find_service (streams, service_id);
  for (unsigned i = 0; service && i < service->count; i++)
    if (service->versions[i].id == version)
      {
        service->versions[i].stored = true;
        return !is_current (&service->versions[i], now);
      }
  return true;
}

void
ms_streams_note_all_stored (struct ms_streams *streams, ms_time now)
{
  if (!knows_versions (streams, now))
    streams->known_since = now - MS_STREAM_LIFETIME;
}

void
ms_streams_forget_stored (struct ms_streams *streams)
{
  for (struct service *service = streams->services; service;
       service = service->hh.next)
    for (unsigned i = 0; i < service->count; i++)
      service->versions[i].stored = false;
}

void
ms_streams_tick (struct ms_streams *streams, ms_time now)
{
  while (streams->list && now - streams->list->at > MS_STREAM_LIFETIME)
    remove_stream (streams, streams->list);
  for (struct service *service = streams->services; service;
       service = service->hh.next)
    drop_old_versions (service, now);
}

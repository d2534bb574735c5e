#include "gateway/members.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/alloc.h"
#include "base/event.h"
#include "gateway/exchange.h"
#include "gateway/member_record.h"

/* Time between two reads of the members: for routers that read the store's
   topics themselves, and for those that get them relayed.  */
#define READ_PERIOD (10 * MS_SEC)
#define READ_PERIOD_RELAYED (60 * MS_SEC)

/* Delay after a failed call, and time limit of a call.  */
#define RETRY_DELAY (500 * MS_MSEC)
#define CALL_TIMEOUT (1500 * MS_MSEC)

/* Time over which all routers write their records again after the store came
   back from an older copy.  */
#define REWRITE_SPREAD (1500 * MS_MSEC)

struct ms_members
{
  struct ms_gateway *gw;
  struct ms_exchange *exchange;
  struct sockaddr_in store;
  char path[PLAT_AFTER_BYTES + 256];
  char record[512];
  bool registered;            /* The store has this router's record.  */
  uint64_t era;               /* The store's, when that record was written.  */
  ms_time register_at;        /* No registration starts before this time.  */
  ms_time read_at;            /* No read starts before this time.  */
  ms_time part_at;            /* No part is written before this time.  */
  ms_time version_at;         /* No version is.  */
  struct ms_part_report part; /* Of which the record is written.  */
  struct ms_version_report version; /* The same.  */
  bool versions_found;              /* By the read in progress.  */
  char after[PLAT_AFTER_BYTES];     /* The next read starts after this key.  */
  uint64_t end; /* Offset at which the topic ended when the read began.  */
  struct ms_name gone; /* A router of the last read whose record is to be
                          removed; empty if there is none.  */
};

static void
set_gone (struct ms_members *m, struct ms_str name)
{
  memset (&m->gone, 0, sizeof m->gone);
  m->gone.length = name.length;
  memcpy (m->gone.data, name.data, name.length);
}

/* Learn from the store that a part of prompts is under trial or in quarantine,
   or have its record removed if it no longer is.  */
static void
learn_part (struct ms_members *m, struct ms_str key,
            const struct ms_member_record *record)
{
  struct ms_part_report report
      = { .part = record->part, .deaths = record->deaths };
  int64_t now_ms = ms_gateway_unix_us () / 1000;

  /* Clocks may differ.  */
  if (record->at_ms < now_ms - MS_PART_QUARANTINE_TIME / MS_MSEC)
    report.age = MS_PART_QUARANTINE_TIME + 1;
  else if (record->at_ms < now_ms)
    report.age = (now_ms - record->at_ms) * MS_MSEC;
  if (report.age > MS_PART_QUARANTINE_TIME
      || ms_part_guard_is_cleared (m->gw->part_guard, &report, m->gw->now))
    {
      set_gone (m, key);
      return;
    }
  ms_part_guard_merge (m->gw->part_guard, &report, m->gw->now);
  ms_part_guard_set_stored (m->gw->part_guard, &report);
}

/* Learn from the store of a version, or have its record removed if it has
   left.  */
static void
learn_version (struct ms_members *m, struct ms_str key,
               const struct ms_member_record *record)
{
  m->versions_found = true;
  if (ms_streams_note_stored (m->gw->streams, record->service, record->version,
                              m->gw->now))
    set_gone (m, key);
}

/* Learn from the store of a router, or have its record removed if it is
   gone.  */
static void
learn_router (struct ms_members *m, struct ms_str name,
              const struct ms_member_record *record)
{
  uint64_t id = ms_id (name);

  ms_fleet_learn (m->gw->fleet, id, record->incarnation, record->zone,
                  record->address, m->gw->now);
  if (ms_fleet_is_gone (m->gw->fleet, id, record->incarnation, m->gw->now))
    set_gone (m, name);
}

static void
learn_member (void *context, const struct plat_record *record)
{
  struct ms_members *m = context;
  struct ms_member_record decoded
      = ms_member_record_decode (record->key, record->value);

  switch (decoded.kind)
    {
    case MS_MEMBER_ROUTER:
      learn_router (m, record->key, &decoded);
      break;
    case MS_MEMBER_PART:
      learn_part (m, record->key, &decoded);
      break;
    case MS_MEMBER_VERSION:
      learn_version (m, record->key, &decoded);
      break;
    case MS_MEMBER_NONE:
      break;
    }
}

static void
on_members_read (void *context, enum ms_status status, unsigned code,
                 struct ms_str body, ms_time sent_at)
{
  struct ms_members *m = context;
  struct ms_gateway *gw = m->gw;
  uint64_t end = 0;
  bool first_page = !m->after[0];
  bool more;

  (void)sent_at;
  if (status != MS_OK || code != 200
      || plat_decode_newest (body, learn_member, m, &end, &more, m->after,
                             sizeof m->after)
             != MS_OK)
    {
      ms_event (gw->now, "members_unread", "code=%u", code);
      m->read_at = gw->now + RETRY_DELAY;
      return;
    }
  if (first_page)
    m->end = end;
  if (more)
    return;
  m->after[0] = '\0';
  if (m->versions_found)
    ms_streams_note_all_stored (gw->streams, gw->now);
  m->read_at
      = gw->now
        + (ms_fleet_reads_store (gw->fleet, gw->now) ? READ_PERIOD
                                                     : READ_PERIOD_RELAYED);
  ms_fleet_note_members (gw->fleet);
}

static void
on_registered (void *context, enum ms_status status, unsigned code,
               struct ms_str body, ms_time sent_at)
{
  struct ms_members *m = context;

  (void)body;
  (void)sent_at;
  /* Writing the record twice has the same effect as once, so an unknown
     outcome is simply retried.  */
  m->registered = status == MS_OK && code == 200;
  if (ms_exchange_era (m->exchange) > m->era)
    m->era = ms_exchange_era (m->exchange);
  m->register_at = m->gw->now + RETRY_DELAY;
  if (!m->registered)
    ms_event (m->gw->now, "member_unwritten", "code=%u", code);
}

static void
on_removed (void *context, enum ms_status status, unsigned code,
            struct ms_str body, ms_time sent_at)
{
  struct ms_members *m = context;

  (void)body;
  (void)sent_at;
  /* After a failure the next read finds the record again.  */
  ms_event (m->gw->now, "member_removed", "name=%s code=%u", m->gone.data,
            status == MS_OK ? code : 0);
  m->gone.length = 0;
}

/* Remove the record of a router that is gone, unless any record was written
   since the read that found it: that router may have started again.  */
static void
remove_gone (struct ms_members *m)
{
  size_t length = plat_encode_record (
      m->record, sizeof m->record,
      (struct ms_str){ m->gone.data, m->gone.length }, ms_str (""));

  plat_append_at_path (m->path, sizeof m->path, PLAT_TOPIC_MEMBERS, m->end);
  ms_exchange_call (m->exchange, &m->store, "POST", m->path,
                    (struct ms_str){ m->record, length }, CALL_TIMEOUT,
                    on_removed, m);
}

static void
on_part_written (void *context, enum ms_status status, unsigned code,
                 struct ms_str body, ms_time sent_at)
{
  struct ms_members *m = context;

  (void)body;
  (void)sent_at;
  if (status == MS_OK && code == 200)
    ms_part_guard_set_stored (m->gw->part_guard, &m->part);
  else
    ms_event (m->gw->now, "part_unwritten", "part=%llx code=%u",
              (unsigned long long)m->part.part, code);
  m->part_at = m->gw->now + RETRY_DELAY;
}

/* Write the part of REPORT to the store, for routers that start when no other
   one knows it.  */
static void
write_part (struct ms_members *m, const struct ms_part_report *report)
{
  char key[32];
  char value[128];
  size_t length;

  m->part = *report;
  snprintf (key, sizeof key, MS_MEMBER_PART_PREFIX "%llx",
            (unsigned long long)report->part);
  snprintf (value, sizeof value, "{\"deaths\":%u,\"at\":%lld}", report->deaths,
            (long long)((ms_gateway_unix_us () - report->age) / 1000));
  length = plat_encode_record (m->record, sizeof m->record, ms_str (key),
                               ms_str (value));
  plat_append_path (m->path, sizeof m->path, PLAT_TOPIC_MEMBERS);
  ms_exchange_call (m->exchange, &m->store, "POST", m->path,
                    (struct ms_str){ m->record, length }, CALL_TIMEOUT,
                    on_part_written, m);
}

static void
on_version_written (void *context, enum ms_status status, unsigned code,
                    struct ms_str body, ms_time sent_at)
{
  struct ms_members *m = context;

  (void)body;
  (void)sent_at;
  if (status == MS_OK && code == 200)
    ms_streams_note_stored (m->gw->streams, m->version.service,
                            m->version.version, m->gw->now);
  else
    ms_event (m->gw->now, "version_unwritten", "version=%x code=%u",
              m->version.version, code);
  m->version_at = m->gw->now + RETRY_DELAY;
}

/* Write a record of m->version to the store.  */
static void
write_version (struct ms_members *m)
{
  char key[64];
  size_t length;

  snprintf (key, sizeof key, MS_MEMBER_VERSION_PREFIX "%llx/%x",
            (unsigned long long)m->version.service, m->version.version);
  length = plat_encode_record (m->record, sizeof m->record, ms_str (key),
                               ms_str ("{}"));
  plat_append_path (m->path, sizeof m->path, PLAT_TOPIC_MEMBERS);
  ms_exchange_call (m->exchange, &m->store, "POST", m->path,
                    (struct ms_str){ m->record, length }, CALL_TIMEOUT,
                    on_version_written, m);
}

static void
register_self (struct ms_members *m)
{
  const struct ms_gateway_settings *s = m->gw->settings;
  char value[256];
  size_t length;

  snprintf (value, sizeof value,
            "{\"ip\":\"%s\",\"zone\":\"%s\",\"incarnation\":%llu}",
            s->ip_address, s->availability_zone,
            (unsigned long long)m->gw->incarnation);
  length = plat_encode_record (m->record, sizeof m->record, ms_str (s->name),
                               ms_str (value));
  plat_append_path (m->path, sizeof m->path, PLAT_TOPIC_MEMBERS);
  ms_exchange_call (m->exchange, &m->store, "POST", m->path,
                    (struct ms_str){ m->record, length }, CALL_TIMEOUT,
                    on_registered, m);
}

/* If the store has come back from an older copy since, this router's record
   may be gone: write it again.  All routers do so, spread over a while.  */
static void
check_era (struct ms_members *m, ms_time now)
{
  uint64_t operator_era
      = ms_replica_era (ms_topic_replica (m->gw->operator_topic));
  uint64_t endpoint_era
      = ms_replica_era (ms_topic_replica (m->gw->endpoint_topic));
  uint64_t era = operator_era > endpoint_era ? operator_era : endpoint_era;

  if (!m->registered || era <= m->era)
    return;
  m->era = era;
  m->registered = false;
  m->register_at
      = now + (ms_time)ms_random_below (&m->gw->random, REWRITE_SPREAD);
  /* Found in records of before.  */
  m->gone.length = 0;
  ms_part_guard_forget_stored (m->gw->part_guard);
  ms_streams_forget_stored (m->gw->streams);
}

void
ms_members_tick (struct ms_members *m, ms_time now)
{
  struct ms_part_report report;

  if (ms_exchange_busy (m->exchange))
    return;
  check_era (m, now);
  if (!m->registered && now >= m->register_at)
    {
      register_self (m);
      return;
    }
  if (now >= m->part_at && ms_fleet_reads_store (m->gw->fleet, now)
      && ms_part_guard_unstored (m->gw->part_guard, &report, now))
    {
      write_part (m, &report);
      return;
    }
  if (now >= m->version_at && ms_fleet_reads_store (m->gw->fleet, now)
      && ms_streams_unstored (m->gw->streams, &m->version, now))
    {
      write_version (m);
      return;
    }
  /* One router is enough for that.  */
  if (m->gone.length && ms_fleet_reads_store (m->gw->fleet, now))
    {
      remove_gone (m);
      return;
    }
  /* The read does not wait for the registration: limits of the whole fleet
     cannot be used before it.  */
  if (now < m->read_at)
    return;
  if (!m->after[0])
    {
      m->gone.length = 0;
      m->versions_found = false;
    }
  plat_newest_path (m->path, sizeof m->path, PLAT_TOPIC_MEMBERS, m->after);
  ms_exchange_call (m->exchange, &m->store, "GET", m->path,
                    (struct ms_str){ "", 0 }, CALL_TIMEOUT, on_members_read,
                    m);
}

struct ms_members *
ms_members_create (struct ms_gateway *gw)
{
  struct ms_members *m = ms_new (sizeof *m);

  m->gw = gw;
  /* Cannot fail: the settings were checked for a valid address.  */
  ms_address_parse (gw->settings->store_address, &m->store);
  m->exchange = ms_exchange_create (&gw->loop, &gw->clock);
  return m;
}

void
ms_members_destroy (struct ms_members *m)
{
  if (!m)
    return;
  ms_exchange_destroy (m->exchange);
  free (m);
}

#include "gateway/members.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/alloc.h"
#include "base/event.h"
#include "gateway/exchange.h"

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
  char path[512];
  char record[512];
  bool registered;     /* The store has this router's record.  */
  uint64_t era;        /* The store's, when that record was written.  */
  ms_time register_at; /* No registration starts before this time.  */
  ms_time read_at;     /* No read starts before this time.  */
  char after[256];     /* The next read starts after this key.  */
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

static void
learn_member (void *context, const struct plat_record *record)
{
  struct ms_members *m = context;
  json_t *value
      = json_loadb (record->value.data, record->value.length, 0, NULL);
  const char *ip = json_string_value (json_object_get (value, "ip"));
  const char *zone = json_string_value (json_object_get (value, "zone"));
  const json_t *incarnation = json_object_get (value, "incarnation");
  struct in_addr address;

  if (ip && zone && json_is_integer (incarnation)
      && inet_pton (AF_INET, ip, &address) == 1)
    {
      uint64_t id = ms_id (record->key);
      uint64_t started = (uint64_t)json_integer_value (incarnation);

      ms_fleet_learn (m->gw->fleet, id, started, ms_id (ms_str (zone)),
                      address, m->gw->now);
      if (record->key.length < MS_NAME_BYTES
          && ms_fleet_is_gone (m->gw->fleet, id, started, m->gw->now))
        set_gone (m, record->key);
    }
  json_decref (value);
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
}

void
ms_members_tick (struct ms_members *m, ms_time now)
{
  if (ms_exchange_busy (m->exchange))
    return;
  check_era (m, now);
  if (!m->registered && now >= m->register_at)
    {
      register_self (m);
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
    m->gone.length = 0;
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

#include "gateway/members.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/address.h"
#include "base/alloc.h"
#include "base/event.h"
#include "gateway/exchange.h"

/* The store's list of members is read again so often: by those that read the
   store, and by the others.  */
#define MEMBERS_PERIOD (10 * MS_SEC)
#define MEMBERS_PERIOD_RELAYED (60 * MS_SEC)
#define MEMBERS_RETRY (500 * MS_MSEC)
#define STORE_TIMEOUT (1500 * MS_MSEC)

struct ms_members
{
  struct ms_gateway *gw;
  struct ms_exchange *exchange;
  struct sockaddr_in store;
  char path[256];
  char record[512];
  bool written; /* This gateway's own record.  */
  ms_time call_at;
};

static void
take_member (void *context, const struct plat_record *record)
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
    ms_fleet_learn (m->gw->fleet, ms_id (record->key),
                    (uint64_t)json_integer_value (incarnation),
                    ms_id (ms_str (zone)), address, m->gw->now);
  json_decref (value);
}

static void
members_read (void *context, enum ms_status status, unsigned code,
              struct ms_str body, ms_time sent_at)
{
  struct ms_members *m = context;
  uint64_t end;
  bool more;
  char after[256];

  (void)sent_at;
  if (status == MS_OK && code == 200
      && plat_decode_newest (body, take_member, m, &end, &more, after,
                             sizeof after)
             == MS_OK)
    {
      m->call_at = m->gw->now
                   + (ms_fleet_reads_store (m->gw->fleet, m->gw->now)
                          ? MEMBERS_PERIOD
                          : MEMBERS_PERIOD_RELAYED);
      return;
    }
  ms_event (m->gw->now, "members_unread", "code=%u", code);
  m->call_at = m->gw->now + MEMBERS_RETRY;
}

static void
member_written (void *context, enum ms_status status, unsigned code,
                struct ms_str body, ms_time sent_at)
{
  struct ms_members *m = context;

  (void)body;
  (void)sent_at;
  /* Written twice it is the same record: an unknown outcome needs no more
     than a repeat.  */
  m->written = status == MS_OK && code == 200;
  m->call_at = m->gw->now + (m->written ? 0 : MEMBERS_RETRY);
  if (!m->written)
    ms_event (m->gw->now, "member_unwritten", "code=%u", code);
}

static void
write_member (struct ms_members *m)
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
                    (struct ms_str){ m->record, length }, STORE_TIMEOUT,
                    member_written, m);
}

void
ms_members_tick (struct ms_members *m, ms_time now)
{
  if (now < m->call_at || ms_exchange_busy (m->exchange))
    return;
  if (!m->written)
    {
      write_member (m);
      return;
    }
  plat_newest_path (m->path, sizeof m->path, PLAT_TOPIC_MEMBERS, "");
  ms_exchange_call (m->exchange, &m->store, "GET", m->path,
                    (struct ms_str){ "", 0 }, STORE_TIMEOUT, members_read, m);
}

struct ms_members *
ms_members_create (struct ms_gateway *gw)
{
  struct ms_members *m = ms_new (sizeof *m);

  m->gw = gw;
  /* The settings were checked for it.  */
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

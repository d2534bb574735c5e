#include "gateway/peers.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/exchange.h"

#define DIGEST_BYTES 65000
#define DIGEST_PERIOD (100 * MS_MSEC)
#define DIGEST_PERIOD_LARGE (150 * MS_MSEC)

#define MAX_ROUTERS 1024
#define MAX_TARGETS 64

/* A topic whose last read is older is asked of a peer; the first time where
   reads of the store fail.  */
#define RELAY_AFTER_FAILURE (300 * MS_MSEC)
#define RELAY_AFTER (1500 * MS_MSEC)
#define RELAY_PERIOD (350 * MS_MSEC)
#define RELAY_TIMEOUT (400 * MS_MSEC)

/* The store's list of members is read again so often: by those that read the
   store, and by the others.  */
#define MEMBERS_PERIOD (10 * MS_SEC)
#define MEMBERS_PERIOD_RELAYED (60 * MS_SEC)
#define MEMBERS_RETRY (500 * MS_MSEC)
#define STORE_TIMEOUT (1500 * MS_MSEC)

/* A death is told in digests for so long.  */
#define DEATH_TOLD_FOR (3 * MS_SEC)

struct death
{
  digest_death told;
  ms_time at;
};

struct ms_peers
{
  struct ms_gateway *gw;
  uv_udp_t udp;
  struct ms_exchange *relay;
  struct ms_exchange *members;
  struct sockaddr_in store;
  char path[256];
  char record[512];
  bool written;
  ms_time digest_at;
  ms_time relay_at;
  ms_time members_at;
  struct death deaths[DIGEST_DEATHS];
  unsigned next_death;
};

static void
give_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char data[DIGEST_BYTES];

  (void)handle;
  (void)suggested;
  *buffer = uv_buf_init (data, sizeof data);
}

static void
add_others (struct ms_gateway *gw, const digest_load *loads,
            unsigned loads_count, const digest_team *teams,
            unsigned teams_count)
{
  for (unsigned i = 0; i < loads_count; i++)
    {
      const struct ms_load load
          = { loads[i].running, loads[i].prefill, loads[i].memory,
              loads[i].pace, loads[i].limit };

      ms_place_add_others (gw->place, loads[i].endpoint, &load);
    }
  for (unsigned i = 0; i < teams_count; i++)
    {
      const struct ms_asked asked = { teams[i].team, teams[i].asked,
                                      teams[i].refused, teams[i].ended };

      ms_share_add_others (gw->share, &asked);
    }
}

/* Sum up what the other routers have at each endpoint and ask for.  */
static void
sum_others (struct ms_gateway *gw)
{
  unsigned count;
  const struct ms_fleet_router *routers = ms_fleet_routers (gw->fleet, &count);
  unsigned zones_count;
  const struct ms_fleet_zone *zones = ms_fleet_zones (gw->fleet, &zones_count);
  bool large = ms_fleet_large (gw->fleet);
  static uint64_t ids[MAX_ROUTERS];
  unsigned alive = 0;

  ms_place_clear_others (gw->place);
  ms_share_clear_others (gw->share);
  ids[alive++] = gw->id;
  for (unsigned i = 0; i < count; i++)
    {
      const struct ms_fleet_router *r = &routers[i];

      if (!ms_fleet_alive (r, gw->now))
        continue;
      if (alive < MAX_ROUTERS)
        ids[alive++] = r->id;
      if (!large || r->zone == gw->zone)
        add_others (gw, r->loads, r->loads_count, r->teams, r->teams_count);
    }
  for (unsigned i = 0; large && i < zones_count; i++)
    if (gw->now - zones[i].heard <= MS_ROUTER_SILENT)
      add_others (gw, zones[i].loads, zones[i].loads_count, zones[i].teams,
                  zones[i].teams_count);
  ms_place_routers (gw->place, ids, alive);
  ms_budget_routers (gw->budget, alive);
}

static void
on_datagram (uv_udp_t *udp, ssize_t length, const uv_buf_t *buffer,
             const struct sockaddr *from, unsigned flags)
{
  struct ms_peers *p = udp->data;
  struct fleet_digest digest;

  (void)flags;
  if (length <= 0 || !from
      || !ms_digest_decode (buffer->base, (size_t)length, &digest))
    return;
  if (ms_fleet_receive (p->gw->fleet, &digest, p->gw->now))
    for (unsigned i = 0; i < digest.deaths.deaths_len; i++)
      ms_guard_told (p->gw->guard, digest.deaths.deaths_val[i].fingerprint,
                     digest.deaths.deaths_val[i].deaths, false, p->gw->now);
  ms_digest_free (&digest);
}

struct load_list
{
  ms_time now;
  digest_load loads[DIGEST_LOADS];
  unsigned count;
};

static void
collect_load (void *context, struct ms_endpoint_state *e)
{
  struct load_list *list = context;

  const struct ms_load load = ms_place_load (e, list->now);

  if (load.running && list->count < DIGEST_LOADS)
    list->loads[list->count++]
        = (digest_load){ e->id,       load.running, load.prefill,
                         load.memory, load.pace,    load.limit };
}

static unsigned
collect_teams (struct ms_gateway *gw, digest_team *teams, ms_time now)
{
  struct ms_asked asked[DIGEST_TEAMS];
  unsigned count = ms_share_report (gw->share, now, asked, DIGEST_TEAMS);

  for (unsigned i = 0; i < count; i++)
    teams[i] = (digest_team){ asked[i].team, (unsigned)asked[i].asked,
                              (unsigned)asked[i].refused,
                              (unsigned)asked[i].ended };
  return count;
}

static unsigned
collect_deaths (struct ms_peers *p, digest_death *deaths, ms_time now)
{
  unsigned count = 0;

  for (unsigned i = 0; i < DIGEST_DEATHS; i++)
    if (p->deaths[i].at && now - p->deaths[i].at < DEATH_TOLD_FOR)
      deaths[count++] = p->deaths[i].told;
  return count;
}

static void
send_to (struct ms_peers *p, const struct fleet_digest *digest,
         const struct in_addr *targets, unsigned count)
{
  static char data[DIGEST_BYTES];
  uv_buf_t buffer
      = uv_buf_init (data, ms_digest_encode (digest, data, sizeof data));

  if (!buffer.len)
    ms_event (p->gw->now, "digest_too_large", "loads=%u",
              digest->loads.loads_len);
  for (unsigned i = 0; buffer.len && i < count; i++)
    {
      struct sockaddr_in to
          = { .sin_family = AF_INET,
              .sin_port = htons ((uint16_t)p->gw->settings->peer_port),
              .sin_addr = targets[i] };

      /* What is lost is made good by the next digest.  */
      uv_udp_try_send (&p->udp, &buffer, 1, (const struct sockaddr *)&to);
    }
}

/* Tell the readers of other zones of this one.  */
static void
send_sums (struct ms_peers *p, struct fleet_digest *digest, ms_time now)
{
  static struct ms_zone_sums sums;
  static digest_zone zone;
  struct in_addr targets[MAX_TARGETS];
  unsigned count = ms_fleet_readers (p->gw->fleet, now, targets, MAX_TARGETS);

  ms_fleet_sum_zone (p->gw->fleet, digest, &sums, &zone, now);
  digest->loads.loads_len = 0;
  digest->teams.teams_len = 0;
  digest->zones.zones_val = &zone;
  digest->zones.zones_len = 1;
  send_to (p, digest, targets, count);
}

static void
send_digest (struct ms_peers *p, ms_time now)
{
  static struct load_list list;
  struct ms_gateway *gw = p->gw;
  struct in_addr targets[MAX_TARGETS];
  digest_member members[DIGEST_MEMBERS];
  digest_death deaths[DIGEST_DEATHS];
  digest_team teams[DIGEST_TEAMS];
  digest_zone zones[DIGEST_ZONES];
  struct fleet_digest digest = { 0 };
  bool reader
      = ms_fleet_large (gw->fleet) && ms_fleet_reads_store (gw->fleet, now);
  unsigned count = ms_fleet_targets (gw->fleet, now, targets, MAX_TARGETS);

  ms_fleet_describe (gw->fleet, &digest, members);
  digest.ready = ms_gateway_ready (gw) && !ms_pressure_high (gw->pressure);
  digest.leaving = gw->terminated_at != 0;
  list.now = now;
  list.count = 0;
  ms_place_each (gw->place, collect_load, &list);
  digest.loads.loads_val = list.loads;
  digest.loads.loads_len = list.count;
  digest.teams.teams_val = teams;
  digest.teams.teams_len = collect_teams (gw, teams, now);
  digest.deaths.deaths_val = deaths;
  digest.deaths.deaths_len = collect_deaths (p, deaths, now);
  if (reader)
    ms_fleet_tell_zones (gw->fleet, &digest, zones, now);
  send_to (p, &digest, targets, count);
  if (reader)
    send_sums (p, &digest, now);
}

void
ms_peers_announce (struct ms_peers *p, ms_time now)
{
  send_digest (p, now);
  p->digest_at = now
                 + (ms_fleet_large (p->gw->fleet) ? DIGEST_PERIOD_LARGE
                                                  : DIGEST_PERIOD);
}

void
ms_peers_death (struct ms_peers *p, uint64_t fingerprint, unsigned deaths,
                ms_time now)
{
  p->deaths[p->next_death] = (struct death){ { fingerprint, deaths }, now };
  p->next_death = (p->next_death + 1) % DIGEST_DEATHS;
}

static void
relayed (void *context, enum ms_status status, unsigned code,
         struct ms_str body, ms_time sent_at)
{
  struct ms_peers *p = context;
  struct ms_gateway *gw = p->gw;
  json_t *document;
  bool newer;

  gw->relay_fails = status != MS_OK || code != 200;
  if (gw->relay_fails)
    return;
  document = json_loadb (body.data, body.length, 0, NULL);
  newer = ms_topic_relayed (gw->operator_topic,
                            json_object_get (document, "operator"), sent_at,
                            gw->now);
  newer |= ms_topic_relayed (gw->endpoint_topic,
                             json_object_get (document, "endpoints"), sent_at,
                             gw->now);
  json_decref (document);
  if (newer && ms_fleet_reads_store (gw->fleet, gw->now))
    ms_event (gw->now, "relayed", "operator_age_ms=%lld endpoints_age_ms=%lld",
              (long long)((gw->now - ms_topic_read_at (gw->operator_topic))
                          / MS_MSEC),
              (long long)((gw->now - ms_topic_read_at (gw->endpoint_topic))
                          / MS_MSEC));
}

/* A router to ask for a relay, or a seed while none is known.  */
static bool
relay_source (struct ms_gateway *gw, struct sockaddr_in *address)
{
  const struct ms_fleet_router *router = ms_fleet_source (gw->fleet, gw->now);
  struct sockaddr_in own;
  unsigned seed;

  if (ms_address_parse (gw->settings->control_address, &own) != MS_OK)
    return false;
  if (router)
    {
      *address = own;
      address->sin_addr = router->ip;
      return true;
    }
  if (!gw->settings->seeds_count)
    return false;
  seed = (unsigned)ms_random_below (&gw->random, gw->settings->seeds_count);
  return ms_address_parse (gw->settings->seeds[seed], address) == MS_OK
         && address->sin_addr.s_addr != own.sin_addr.s_addr;
}

static bool
is_old (const struct ms_topic *topic, ms_time now)
{
  ms_time bound = ms_topic_failing (topic) ? RELAY_AFTER_FAILURE : RELAY_AFTER;

  return now - ms_topic_read_at (topic) > bound;
}

static void
ask_relay (struct ms_peers *p, ms_time now)
{
  struct ms_gateway *gw = p->gw;
  struct sockaddr_in address;
  char path[128];

  if (ms_exchange_busy (p->relay)
      || (ms_fleet_reads_store (gw->fleet, now)
          && !is_old (gw->operator_topic, now)
          && !is_old (gw->endpoint_topic, now)))
    return;
  p->relay_at = now + RELAY_PERIOD;
  if (!relay_source (gw, &address))
    return;
  snprintf (path, sizeof path, MS_RELAY_PATH "?operator=%llu&endpoints=%llu",
            (unsigned long long)ms_topic_next (gw->operator_topic),
            (unsigned long long)ms_topic_next (gw->endpoint_topic));
  ms_exchange_call (p->relay, &address, "GET", path, (struct ms_str){ "", 0 },
                    RELAY_TIMEOUT, relayed, p);
}

static void
take_member (void *context, const struct plat_record *record)
{
  struct ms_peers *p = context;
  json_t *value
      = json_loadb (record->value.data, record->value.length, 0, NULL);
  const char *ip = json_string_value (json_object_get (value, "ip"));
  const char *zone = json_string_value (json_object_get (value, "zone"));
  const json_t *incarnation = json_object_get (value, "incarnation");
  struct in_addr address;

  if (ip && zone && json_is_integer (incarnation)
      && inet_pton (AF_INET, ip, &address) == 1)
    ms_fleet_learn (p->gw->fleet, ms_id (record->key),
                    (uint64_t)json_integer_value (incarnation),
                    ms_id (ms_str (zone)), address, p->gw->now);
  json_decref (value);
}

static void
members_read (void *context, enum ms_status status, unsigned code,
              struct ms_str body, ms_time sent_at)
{
  struct ms_peers *p = context;
  uint64_t end;
  bool more;
  char after[256];

  (void)sent_at;
  if (status == MS_OK && code == 200
      && plat_decode_newest (body, take_member, p, &end, &more, after,
                             sizeof after)
             == MS_OK)
    {
      p->members_at = p->gw->now
                      + (ms_fleet_reads_store (p->gw->fleet, p->gw->now)
                             ? MEMBERS_PERIOD
                             : MEMBERS_PERIOD_RELAYED);
      return;
    }
  ms_event (p->gw->now, "members_unread", "code=%u", code);
  p->members_at = p->gw->now + MEMBERS_RETRY;
}

static void
member_written (void *context, enum ms_status status, unsigned code,
                struct ms_str body, ms_time sent_at)
{
  struct ms_peers *p = context;

  (void)body;
  (void)sent_at;
  /* Written twice it is the same record: an unknown outcome needs no more
     than a repeat.  */
  p->written = status == MS_OK && code == 200;
  p->members_at = p->gw->now + (p->written ? 0 : MEMBERS_RETRY);
  if (!p->written)
    ms_event (p->gw->now, "member_unwritten", "code=%u", code);
}

static void
write_member (struct ms_peers *p)
{
  const struct ms_gateway_settings *s = p->gw->settings;
  char value[256];
  size_t length;

  snprintf (value, sizeof value,
            "{\"ip\":\"%s\",\"zone\":\"%s\",\"incarnation\":%llu}",
            s->ip_address, s->availability_zone,
            (unsigned long long)p->gw->incarnation);
  length = plat_encode_record (p->record, sizeof p->record, ms_str (s->name),
                               ms_str (value));
  plat_append_path (p->path, sizeof p->path, PLAT_TOPIC_MEMBERS);
  ms_exchange_call (p->members, &p->store, "POST", p->path,
                    (struct ms_str){ p->record, length }, STORE_TIMEOUT,
                    member_written, p);
}

static void
follow_members (struct ms_peers *p)
{
  if (ms_exchange_busy (p->members))
    return;
  if (!p->written)
    {
      write_member (p);
      return;
    }
  plat_newest_path (p->path, sizeof p->path, PLAT_TOPIC_MEMBERS, "");
  ms_exchange_call (p->members, &p->store, "GET", p->path,
                    (struct ms_str){ "", 0 }, STORE_TIMEOUT, members_read, p);
}

void
ms_peers_tick (struct ms_peers *p, ms_time now)
{
  if (now >= p->digest_at)
    {
      ms_fleet_tick (p->gw->fleet, now);
      sum_others (p->gw);
      ms_peers_announce (p, now);
    }
  if (now >= p->relay_at)
    ask_relay (p, now);
  if (now >= p->members_at)
    follow_members (p);
}

enum ms_status
ms_peers_create (struct ms_gateway *gw, struct ms_peers **result)
{
  struct ms_peers *p = ms_new (sizeof *p);
  struct sockaddr_in address = gw->caller_address;
  int error;

  *result = NULL;
  p->gw = gw;
  address.sin_port = htons ((uint16_t)gw->settings->peer_port);
  error = uv_udp_init (&gw->loop, &p->udp);
  p->udp.data = p;
  if (!error)
    error = uv_udp_bind (&p->udp, (const struct sockaddr *)&address, 0);
  if (!error)
    error = uv_udp_recv_start (&p->udp, give_buffer, on_datagram);
  if (error || ms_address_parse (gw->settings->store_address, &p->store))
    {
      free (p);
      return ms_fail (MS_UNAVAILABLE, "peer port %u: %s",
                      gw->settings->peer_port, uv_strerror (error));
    }
  p->relay = ms_exchange_create (&gw->loop, &gw->clock);
  p->members = ms_exchange_create (&gw->loop, &gw->clock);
  *result = p;
  return MS_OK;
}

void
ms_peers_destroy (struct ms_peers *p)
{
  if (!p)
    return;
  ms_exchange_destroy (p->relay);
  ms_exchange_destroy (p->members);
  uv_close ((uv_handle_t *)&p->udp, NULL);
  free (p);
}

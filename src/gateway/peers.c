#include "gateway/peers.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/alloc.h"
#include "base/event.h"
#include "gateway/health.h"
#include "gateway/members.h"
#include "gateway/relay.h"
#include "gateway/rollouts.h"
#include "gateway/stream_log.h"
#include "place/engines.h"
#include "place/flow.h"

/* Largest digest that is sent or received, below the UDP payload limit of
   65507 bytes.  */
#define DIGEST_BYTES 65000

/* Time between two digests; longer in a large fleet.  */
#define DIGEST_PERIOD (100 * MS_MSEC)
#define DIGEST_PERIOD_LARGE (150 * MS_MSEC)

/* Most routers, this one included, that cold limits and retry budgets are
   shared among.  */
#define MAX_ROUTERS 1024

/* Most routers that one digest is sent to.  */
#define MAX_RECIPIENTS 64

/* How long digests keep reporting a request that may have crashed
   endpoints.  */
#define DEATH_REPORT_TIME (3 * MS_SEC)

struct death_report
{
  digest_death entry;
  ms_time reported_at; /* 0: unused slot.  */
};

struct ms_peers
{
  struct ms_gateway *gw;
  uv_udp_t udp;
  struct ms_relay *relay;
  struct ms_members *members;
  struct ms_stream_log *stream_log;
  ms_time next_digest_at;
  unsigned alive;   /* Live routers at the last digest, this one included.  */
  unsigned sharers; /* As of ms_fleet_sharers at the last digest.  */
  struct death_report deaths[DIGEST_DEATHS]; /* Ring of the latest.  */
  unsigned death_slot;                       /* Next to be written.  */
};

static void
provide_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char data[DIGEST_BYTES];

  (void)handle;
  (void)suggested;
  *buffer = uv_buf_init (data, sizeof data);
}

/* Add what one router, or all routers of a zone, have in progress at endpoints
   and the demand of their teams.  The fields asked and ended of a digest are
   demand and answered elsewhere.  */
static void
add_reported (struct ms_gateway *gw, const digest_load *loads,
              unsigned loads_count, const digest_team *teams,
              unsigned teams_count)
{
  for (unsigned i = 0; i < loads_count; i++)
    {
      const struct ms_load load = { .running = loads[i].running,
                                    .prefill = loads[i].prefill,
                                    .memory = loads[i].memory,
                                    .pace = loads[i].pace,
                                    .limit = loads[i].limit };

      ms_place_add_others (gw->place, loads[i].endpoint, &load);
    }
  for (unsigned i = 0; i < teams_count; i++)
    {
      const struct ms_team_rates rates = { teams[i].team, teams[i].asked,
                                           teams[i].refused, teams[i].ended };

      ms_share_add_others (gw->share, &rates);
    }
}

/* Tell the placement which routers of other zones live, and how old the newest
   report of each zone is.  */
static void
update_zones (struct ms_gateway *gw, const struct ms_fleet_router *routers,
              unsigned count, const struct ms_fleet_zone *zones,
              unsigned zones_count, bool large)
{
  struct ms_zone_state
  {
    uint64_t zone;
    unsigned live;
    ms_time heard;
  } states[DIGEST_ZONES];
  unsigned states_count = 1;

  states[0] = (struct ms_zone_state){ gw->zone, 1, gw->now };
  for (unsigned i = 0; i < count; i++)
    {
      unsigned j = 0;

      while (j < states_count && states[j].zone != routers[i].zone)
        j++;
      if (j == DIGEST_ZONES)
        continue;
      if (j == states_count)
        states[states_count++]
            = (struct ms_zone_state){ .zone = routers[i].zone };
      states[j].live += ms_fleet_alive (&routers[i], gw->now);
      if (routers[i].heard > states[j].heard
          && (!large || routers[i].zone == gw->zone))
        states[j].heard = routers[i].heard;
    }
  for (unsigned i = 0; i < states_count; i++)
    {
      struct ms_zone_state *s = &states[i];

      for (unsigned j = 0; large && j < zones_count; j++)
        if (zones[j].id == s->zone && s->zone != gw->zone)
          {
            s->heard = zones[j].heard;
            s->live = zones[j].routers ? zones[j].routers : s->live;
          }
      ms_place_set_zone (gw->place, s->zone, s->live, gw->now - s->heard);
      if (s->zone != gw->zone)
        ms_fleet_set_zone_need (
            gw->fleet, s->zone,
            ms_place_crossing_fraction (gw->place, s->zone));
    }
}

/* Recompute what the other routers have in progress at each endpoint and the
   demand of their teams.  In a large fleet other zones are counted by their
   zone sums.  */
static void
update_others (struct ms_peers *p)
{
  struct ms_gateway *gw = p->gw;
  unsigned count;
  const struct ms_fleet_router *routers = ms_fleet_routers (gw->fleet, &count);
  unsigned zones_count;
  const struct ms_fleet_zone *zones = ms_fleet_zones (gw->fleet, &zones_count);
  bool large = ms_fleet_large (gw->fleet, gw->now);
  static uint64_t ids[MAX_ROUTERS];
  unsigned alive = ms_fleet_alive_count (gw->fleet, gw->now);
  unsigned sharers = ms_fleet_sharers (gw->fleet, gw->now, ids, MAX_ROUTERS);
  unsigned level_count;
  double level;

  level = ms_fleet_mean_level (gw->fleet, gw->now, &level_count);
  ms_share_set_others_level (gw->share, level, level_count);
  ms_place_clear_others (gw->place);
  ms_share_clear_others (gw->share);
  ms_rollouts_clear_others (gw->rollouts);
  for (unsigned i = 0; i < count; i++)
    {
      const struct ms_fleet_router *r = &routers[i];

      if (large && r->zone != gw->zone)
        continue;
      if (ms_fleet_alive (r, gw->now))
        {
          add_reported (gw, r->loads, r->loads_count, r->teams,
                        r->teams_count);
          ms_rollout_driver_merge (
              gw->rollout_driver, ms_id_pair (r->id, r->incarnation),
              r->rollouts, r->rollouts_count, gw->now - r->heard, gw->now);
        }
      if (r->heard && gw->now - r->heard <= MS_FLOW_REPORT_TIME)
        ms_flow_add_others (gw->place, r->rates, r->rates_count, r->demands,
                            r->demands_count, r->heard, gw->now);
      if (r->engines && ms_fleet_alive (r, gw->now))
        ms_engines_add_others (gw->place, r->engines);
    }
  for (unsigned i = 0; large && i < zones_count; i++)
    {
      const struct ms_fleet_zone *z = &zones[i];

      if (gw->now - z->heard <= MS_ROUTER_SILENT_TIME)
        {
          add_reported (gw, z->loads, z->loads_count, z->teams,
                        z->teams_count);
          add_reported (gw, z->more_loads, z->more_loads_count, NULL, 0);
        }
      if (gw->now - z->heard <= MS_FLOW_REPORT_TIME)
        ms_flow_add_others (gw->place, z->rates, z->rates_count, z->demands,
                            z->demands_count, z->heard, gw->now);
      if (z->engines && gw->now - z->engines_heard <= MS_ROUTER_SILENT_TIME)
        ms_engines_add_others (gw->place, z->engines);
      if (gw->now - z->rollouts_heard <= MS_ROUTER_SILENT_TIME)
        ms_rollout_driver_merge (gw->rollout_driver, z->id, z->rollouts,
                                 z->rollouts_count,
                                 gw->now - z->rollouts_heard, gw->now);
    }
  update_zones (gw, routers, count, zones, zones_count, large);
  if (alive != p->alive || sharers != p->sharers)
    ms_event (gw->now, "routers", "alive=%u sharers=%u", alive, sharers);
  p->alive = alive;
  p->sharers = sharers;
  ms_place_set_routers (gw->place, ids, sharers);
  ms_budget_set_routers (gw->budget, sharers);
  ms_share_set_routers (gw->share, sharers);
  ms_part_guard_set_routers (gw->part_guard, gw->id, ids, sharers);
}

/* Merge what the sender of DIGEST knows of harmful requests and parts.  */
static void
merge_harm (struct ms_gateway *gw, const struct fleet_digest *digest)
{
  for (unsigned i = 0; i < digest->deaths.deaths_len; i++)
    ms_guard_merge (gw->guard, digest->deaths.deaths_val[i].fingerprint,
                    digest->deaths.deaths_val[i].deaths, false, gw->now);
  for (unsigned i = 0; i < digest->parts.parts_len; i++)
    {
      const digest_part *p = &digest->parts.parts_val[i];
      const struct ms_part_report report
          = { p->part, p->endpoint, p->deaths, p->age * MS_MSEC };

      ms_part_guard_merge (gw->part_guard, &report, gw->now);
    }
}

/* Take what endpoints said to the sender of DIGEST.  */
static void
merge_colds (struct ms_gateway *gw, const struct fleet_digest *digest)
{
  for (unsigned i = 0; i < digest->colds.colds_len; i++)
    {
      const digest_cold *c = &digest->colds.colds_val[i];
      const struct ms_cold_report report
          = { c->endpoint, c->left * MS_MSEC, c->age * MS_MSEC };

      ms_place_merge_cold (gw->place, &report, gw->now);
    }
}

/* Merge what the sender of DIGEST knows of streams and their versions.  */
static void
merge_streams (struct ms_gateway *gw, const struct fleet_digest *digest)
{
  struct ms_version_report versions[DIGEST_VERSIONS];
  unsigned count = digest->versions.versions_len;

  for (unsigned i = 0; i < digest->streams.streams_len; i++)
    ms_streams_merge (gw->streams, digest->streams.streams_val[i].stream,
                      digest->streams.streams_val[i].software,
                      digest->self.zone == gw->zone ? MS_STREAM_ZONE
                                                    : MS_STREAM_OTHER,
                      gw->now);
  for (unsigned i = 0; i < count; i++)
    {
      const digest_version *v = &digest->versions.versions_val[i];

      versions[i] = (struct ms_version_report){ v->service, v->software,
                                                v->age * MS_MSEC };
    }
  ms_streams_merge_versions (gw->streams, versions, count,
                             digest->known_for * MS_MSEC, gw->now);
}

/* Take what the sender of DIGEST has refused.  Other zones' callers rarely
   come here.  */
static void
merge_returns (struct ms_gateway *gw, const struct fleet_digest *digest)
{
  if (!gw->returns
      || (digest->self.zone != gw->zone
          && ms_fleet_large (gw->fleet, gw->now)))
    return;
  for (unsigned i = 0; i < digest->returns.returns_len; i++)
    {
      const digest_return *d = &digest->returns.returns_val[i];
      bool claimed = d->wait == UINT32_MAX;
      const struct ms_return_report report
          = { d->key, d->age * MS_MSEC, claimed ? 0 : d->wait * MS_MSEC,
              d->size, claimed };

      ms_returns_merge (gw->returns, &report, gw->now);
    }
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
  /* Ages in the digest count from its arrival.  If they counted from the event
     before, each router that passes an age on would add to it.  */
  ms_gateway_update_time (p->gw);
  if (ms_fleet_receive (p->gw->fleet, &digest, p->gw->now))
    {
      merge_harm (p->gw, &digest);
      merge_returns (p->gw, &digest);
      merge_colds (p->gw, &digest);
      if (digest.doubted)
        ms_health_note_doubt (p->gw->health,
                              p->gw->now - digest.doubted * MS_MSEC);
    }
  /* What began a stream stays true, so a notice of it needs no order.  */
  merge_streams (p->gw, &digest);
  ms_digest_free (&digest);
}

/* Fill RETURNS with what this router has refused and return the number.  */
static unsigned
collect_returns (const struct ms_gateway *gw, digest_return *returns,
                 ms_time now)
{
  struct ms_return_report reports[DIGEST_RETURNS];
  unsigned count;

  if (!gw->returns)
    return 0;
  count = ms_returns_report (gw->returns, now, reports, DIGEST_RETURNS);
  for (unsigned i = 0; i < count; i++)
    returns[i] = (digest_return){
      reports[i].key, (unsigned)(reports[i].age / MS_MSEC),
      reports[i].claimed ? UINT32_MAX : (unsigned)(reports[i].wait / MS_MSEC),
      (unsigned)ceil (reports[i].size)
    };
  return count;
}

/* Fill COLDS with what endpoints said to this router and return the number. */
static unsigned
collect_colds (const struct ms_gateway *gw, digest_cold *colds, ms_time now)
{
  static struct ms_cold_report reports[DIGEST_COLDS];
  unsigned count
      = ms_place_report_cold (gw->place, reports, DIGEST_COLDS, now);

  for (unsigned i = 0; i < count; i++)
    colds[i] = (digest_cold){
      reports[i].endpoint,
      (unsigned)fmin ((double)reports[i].cold_for / MS_MSEC, UINT32_MAX),
      (unsigned)fmin ((double)reports[i].age / MS_MSEC, UINT32_MAX)
    };
  return count;
}

/* This router's loads for a digest; endpoints beyond DIGEST_LOADS are left
   out.  */
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

/* Fill TEAMS with this router's demand and return the number of teams.  */
static unsigned
collect_teams (struct ms_gateway *gw, digest_team *teams, ms_time now)
{
  struct ms_team_rates rates[DIGEST_TEAMS];
  unsigned count = ms_share_report (gw->share, now, rates, DIGEST_TEAMS);

  for (unsigned i = 0; i < count; i++)
    teams[i] = (digest_team){ rates[i].team, (unsigned)rates[i].demand,
                              (unsigned)rates[i].unplaced,
                              (unsigned)rates[i].answered };
  return count;
}

/* Fill DEATHS with the reports of the last DEATH_REPORT_TIME and return their
   number.  */
static unsigned
collect_deaths (struct ms_peers *p, digest_death *deaths, ms_time now)
{
  unsigned count = 0;

  for (unsigned i = 0; i < DIGEST_DEATHS; i++)
    if (p->deaths[i].reported_at
        && now - p->deaths[i].reported_at < DEATH_REPORT_TIME)
      deaths[count++] = p->deaths[i].entry;
  return count;
}

/* Fill PARTS with the reports of the part guard and return their number.  */
static unsigned
collect_parts (const struct ms_gateway *gw, digest_part *parts, ms_time now)
{
  struct ms_part_report reports[DIGEST_PARTS];
  unsigned count
      = ms_part_guard_report (gw->part_guard, reports, DIGEST_PARTS, now);

  for (unsigned i = 0; i < count; i++)
    parts[i] = (digest_part){ reports[i].part, reports[i].endpoint,
                              reports[i].deaths,
                              (unsigned)(reports[i].age / MS_MSEC) };
  return count;
}

/* Fill STREAMS with those that this router reports, of SOURCES, and return
   their number.  */
static unsigned
collect_streams (struct ms_gateway *gw, unsigned sources,
                 digest_stream *streams, ms_time now)
{
  struct ms_stream_report reports[DIGEST_STREAMS];
  unsigned count
      = ms_streams_report (gw->streams, sources, reports, DIGEST_STREAMS, now);

  for (unsigned i = 0; i < count; i++)
    streams[i] = (digest_stream){ reports[i].stream, reports[i].version };
  return count;
}

static void
note_version (void *context, struct ms_endpoint_state *e)
{
  struct ms_gateway *gw = context;

  if (e->listed)
    ms_streams_note_version (gw->streams, e->entry.service, e->entry.version,
                             gw->now);
}

/* Note the versions that are listed, fill VERSIONS and the time in DIGEST.  */
static void
collect_versions (struct ms_gateway *gw, struct fleet_digest *digest,
                  digest_version *versions, ms_time now)
{
  struct ms_version_report reports[DIGEST_VERSIONS];
  ms_time known_for;
  unsigned count;

  ms_place_each (gw->place, note_version, gw);
  count = ms_streams_report_versions (gw->streams, reports, DIGEST_VERSIONS,
                                      &known_for, now);
  for (unsigned i = 0; i < count; i++)
    versions[i] = (digest_version){ reports[i].service, reports[i].version,
                                    (unsigned)(reports[i].age / MS_MSEC) };
  digest->versions.versions_val = versions;
  digest->versions.versions_len = count;
  digest->known_for = (unsigned)(known_for / MS_MSEC);
}

/* Encode DIGEST once and send it to COUNT RECIPIENTS, without the flows of
   zones if it is too large with them.  */
static void
send_without_rollouts (struct ms_peers *p, struct fleet_digest *digest,
                       const struct in_addr *recipients, unsigned count)
{
  static char data[DIGEST_BYTES];
  unsigned length = ms_digest_encode (digest, data, sizeof data);
  uv_buf_t buffer;

  if (!length && digest->flows.flows_len)
    {
      digest->flows.flows_len = 0;
      length = ms_digest_encode (digest, data, sizeof data);
    }
  buffer = uv_buf_init (data, length);
  if (!buffer.len)
    ms_event (p->gw->now, "digest_too_large", "loads=%u",
              digest->loads.loads_len);
  for (unsigned i = 0; buffer.len && i < count; i++)
    {
      struct sockaddr_in to
          = { .sin_family = AF_INET,
              .sin_port = htons ((uint16_t)p->gw->settings->peer_port),
              .sin_addr = recipients[i] };

      /* A lost datagram is not resent: the next digest replaces it.  */
      uv_udp_try_send (&p->udp, &buffer, 1, (const struct sockaddr *)&to);
    }
}

/* Send DIGEST to COUNT RECIPIENTS.  If it is too large with what zones report
   of rollouts, that goes in digests of its own, one for each zone.  */
static void
send_to_recipients (struct ms_peers *p, struct fleet_digest *digest,
                    const struct in_addr *recipients, unsigned count)
{
  u_int zones_count;

  /* Speeds change slowly, so that the next digests may bring them.  */
  if (digest->zone_engines.zone_engines_len
      && xdr_sizeof ((xdrproc_t)xdr_fleet_digest, digest) > DIGEST_BYTES)
    digest->zone_engines.zone_engines_len = 0;
  zones_count = digest->zone_rollouts.zone_rollouts_len;
  if (zones_count
      && xdr_sizeof ((xdrproc_t)xdr_fleet_digest, digest) > DIGEST_BYTES)
    digest->zone_rollouts.zone_rollouts_len = 0;
  send_without_rollouts (p, digest, recipients, count);
  if (digest->zone_rollouts.zone_rollouts_len == zones_count)
    return;
  for (unsigned i = 0; i < zones_count; i++)
    {
      struct fleet_digest notice = { 0 };

      ms_fleet_fill_notice (p->gw->fleet, &notice);
      notice.zone_rollouts.zone_rollouts_val
          = &digest->zone_rollouts.zone_rollouts_val[i];
      notice.zone_rollouts.zone_rollouts_len = 1;
      send_without_rollouts (p, &notice, recipients, count);
    }
}

/* Send the zone sums of this zone to those routers of other zones that read
   the store.  DIGEST is that of this router itself; its loads and teams are
   replaced by the sums.  */
static void
send_zone_sums (struct ms_peers *p, struct fleet_digest *digest, ms_time now)
{
  static struct ms_zone_sums sums;
  struct in_addr recipients[MAX_RECIPIENTS];
  unsigned count
      = ms_fleet_other_readers (p->gw->fleet, now, recipients, MAX_RECIPIENTS);

  ms_fleet_sum_zone (p->gw->fleet, digest, &sums, now);
  digest->loads.loads_len = 0;
  digest->teams.teams_len = 0;
  digest->rates.rates_len = 0;
  digest->demands.demands_len = 0;
  digest->zones.zones_val = &sums.zone;
  digest->zones.zones_len = 1;
  digest->rooms.rooms_val = &sums.room;
  digest->rooms.rooms_len = 1;
  digest->flows.flows_val = &sums.flow;
  digest->flows.flows_len = 1;
  digest->rollouts.rollouts_len = 0;
  digest->returns.returns_len = 0;
  digest->engines.engines_len = 0;
  digest->engine_services.engine_services_len = 0;
  digest->zone_engines.zone_engines_val = &sums.engines;
  digest->zone_engines.zone_engines_len
      = digest->sequence % MS_ENGINE_DIGESTS == 0
        && sums.engine_list.engines_count > 0;
  digest->zone_rollouts.zone_rollouts_val = &sums.rollouts;
  digest->zone_rollouts.zone_rollouts_len
      = sums.rollouts.rollouts.rollouts_len ? 1 : 0;
  digest->streams.streams_len = collect_streams (
      p->gw, MS_STREAM_OWN | MS_STREAM_ZONE, digest->streams.streams_val, now);
  send_to_recipients (p, digest, recipients, count);
}

/* Fill RECIPIENTS with the IP addresses of the other seeds and return their
   number.  */
static unsigned
seed_recipients (const struct ms_gateway *gw, struct in_addr *recipients)
{
  unsigned count = 0;

  for (unsigned i = 0; i < gw->settings->seeds_count && i < MAX_RECIPIENTS;
       i++)
    {
      struct sockaddr_in seed;

      if (ms_address_parse (gw->settings->seeds[i], &seed) == MS_OK
          && seed.sin_addr.s_addr != gw->caller_address.sin_addr.s_addr)
        recipients[count++] = seed.sin_addr;
    }
  return count;
}

static void
send_digest (struct ms_peers *p, ms_time now)
{
  static struct load_list list;
  struct ms_gateway *gw = p->gw;
  struct in_addr recipients[MAX_RECIPIENTS];
  digest_member members[DIGEST_MEMBERS];
  digest_death deaths[DIGEST_DEATHS];
  digest_part parts[DIGEST_PARTS];
  digest_team teams[DIGEST_TEAMS];
  digest_rate rates[DIGEST_RATES];
  digest_demand demands[DIGEST_DEMANDS];
  digest_stream streams[DIGEST_STREAMS];
  digest_version versions[DIGEST_VERSIONS];
  digest_return returns[DIGEST_RETURNS];
  static digest_cold colds[DIGEST_COLDS];
  static struct ms_zone_list zones;
  static struct ms_rollout_list rollouts;
  static struct ms_engine_list engines;
  struct fleet_digest digest = { 0 };
  ms_time since;
  bool zone_reader
      = ms_fleet_large (gw->fleet, now) && ms_fleet_sums_zone (gw->fleet, now);
  unsigned count
      = ms_fleet_targets (gw->fleet, now, recipients, MAX_RECIPIENTS);

  /* Without access to the store the others are first known by their answers.
   */
  if (ms_fleet_alive_count (gw->fleet, now) == 1 && !count)
    count = seed_recipients (gw, recipients);
  ms_fleet_fill_digest (gw->fleet, &digest, members, now);
  digest.ready = ms_gateway_ready (gw) && !ms_pressure_high (gw->pressure);
  digest.leaving = gw->terminated_at != 0;
  digest.level = (unsigned)fmin (ms_share_own_level (gw->share), UINT32_MAX);
  list.now = now;
  list.count = 0;
  ms_place_each (gw->place, collect_load, &list);
  digest.loads.loads_val = list.loads;
  digest.loads.loads_len = list.count;
  digest.teams.teams_val = teams;
  digest.teams.teams_len = collect_teams (gw, teams, now);
  digest.deaths.deaths_val = deaths;
  digest.deaths.deaths_len = collect_deaths (p, deaths, now);
  digest.parts.parts_val = parts;
  digest.parts.parts_len = collect_parts (gw, parts, now);
  digest.rates.rates_val = rates;
  digest.rates.rates_len = ms_flow_rates (gw->place, now, rates, DIGEST_RATES);
  digest.demands.demands_val = demands;
  digest.demands.demands_len
      = ms_flow_demands (gw->place, now, demands, DIGEST_DEMANDS);
  digest.streams.streams_val = streams;
  digest.streams.streams_len = collect_streams (
      gw, zone_reader ? MS_STREAM_OWN | MS_STREAM_OTHER : MS_STREAM_OWN,
      streams, now);
  collect_versions (gw, &digest, versions, now);
  ms_rollout_driver_report (gw->rollout_driver, &rollouts, now);
  digest.rollouts.rollouts_val = rollouts.rollouts;
  digest.rollouts.rollouts_len = rollouts.count;
  digest.returns.returns_val = returns;
  digest.returns.returns_len = collect_returns (gw, returns, now);
  since = ms_health_doubted_since (gw->health);
  if (since)
    digest.doubted = (unsigned)((now - since) / MS_MSEC) + 1;
  digest.colds.colds_val = colds;
  digest.colds.colds_len = collect_colds (gw, colds, now);
  if (digest.sequence % MS_ENGINE_DIGESTS == 0)
    {
      ms_engines_fill (gw->place, &engines);
      digest.engines.engines_val = engines.engines;
      digest.engines.engines_len = engines.engines_count;
      digest.engine_services.engine_services_val = engines.services;
      digest.engine_services.engine_services_len = engines.services_count;
    }
  if (zone_reader)
    ms_fleet_put_zone_sums (gw->fleet, &digest, &zones, now);
  send_to_recipients (p, &digest, recipients, count);
  if (zone_reader)
    send_zone_sums (p, &digest, now);
}

/* Tell the first reader of this zone of the streams that have begun, which it
   writes to the store, without waiting for the next digest.  */
static void
send_stream_notice (struct ms_peers *p, ms_time now)
{
  struct ms_gateway *gw = p->gw;
  struct fleet_digest digest = { 0 };
  digest_stream streams[DIGEST_STREAMS];
  struct in_addr reader;

  if (!ms_streams_unreported (gw->streams, now)
      || !ms_fleet_first_reader (gw->fleet, now, &reader))
    return;
  ms_fleet_fill_notice (gw->fleet, &digest);
  digest.streams.streams_val = streams;
  digest.streams.streams_len
      = collect_streams (gw, MS_STREAM_OWN, streams, now);
  send_to_recipients (p, &digest, &reader, 1);
}

void
ms_peers_announce (struct ms_peers *p, ms_time now)
{
  send_digest (p, now);
  p->next_digest_at
      = now
        + (ms_fleet_large (p->gw->fleet, now) ? DIGEST_PERIOD_LARGE
                                              : DIGEST_PERIOD);
}

void
ms_peers_report_death (struct ms_peers *p, uint64_t fingerprint,
                       unsigned deaths, ms_time now)
{
  p->deaths[p->death_slot]
      = (struct death_report){ { fingerprint, deaths }, now };
  p->death_slot = (p->death_slot + 1) % DIGEST_DEATHS;
  p->next_digest_at = now;
}

unsigned
ms_peers_sharers (const struct ms_peers *p)
{
  return p->sharers;
}

void
ms_peers_tick (struct ms_peers *p, ms_time now)
{
  if (now >= p->next_digest_at)
    {
      ms_fleet_tick (p->gw->fleet, now);
      update_others (p);
      ms_peers_announce (p, now);
    }
  else
    send_stream_notice (p, now);
  ms_relay_tick (p->relay, now);
  ms_members_tick (p->members, now);
  ms_stream_log_tick (p->stream_log, now);
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
    error = uv_udp_recv_start (&p->udp, provide_buffer, on_datagram);
  if (error)
    {
      free (p);
      return ms_fail (MS_UNAVAILABLE, "peer port %u: %s",
                      gw->settings->peer_port, uv_strerror (error));
    }
  p->relay = ms_relay_create (gw);
  p->members = ms_members_create (gw);
  p->stream_log = ms_stream_log_create (gw);
  *result = p;
  return MS_OK;
}

static void
free_peers (uv_handle_t *udp)
{
  free (udp->data);
}

void
ms_peers_destroy (struct ms_peers *p)
{
  if (!p)
    return;
  ms_relay_destroy (p->relay);
  ms_members_destroy (p->members);
  ms_stream_log_destroy (p->stream_log);
  uv_close ((uv_handle_t *)&p->udp, free_peers);
}

#include "fleet/internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* While no router of another zone is known to be alive, zone sums are sent to
   this many of its routers on average, chosen at random.  */
#define RANDOM_TARGETS_PER_ZONE 2

/* The first readers of two zones exchange their sums with each digest.  The
   second ones do so, and pass sums on in their zone, with one digest in this
   many, in case a first one has just ended.  */
#define SECOND_READER_INTERVAL 4

/* Zone sums begin this many routers after the last ones.  */
#define READY_STEP 61

/* Return the rank of ID in the order in which routers become readers: the
   lowest come first.  MS_READERS_PER_ZONE only salts the hash; the salt must
   be the same at all routers.  */
static uint64_t
reader_rank (uint64_t id)
{
  return ms_id_pair (id, MS_READERS_PER_ZONE);
}

unsigned
ms_readers_before (const struct ms_fleet *fleet, uint64_t id, uint64_t zone,
                   ms_time now)
{
  unsigned before = 0;

  if (id != fleet->self.id && zone == fleet->self.zone)
    before += reader_rank (fleet->self.id) < reader_rank (id);
  for (unsigned i = 0; i < fleet->count; i++)
    {
      const struct ms_fleet_router *r = &fleet->routers[i];

      if (r->id != id && r->zone == zone && !r->leaving
          && ms_fleet_alive (r, now))
        before += reader_rank (r->id) < reader_rank (id);
    }
  return before;
}

bool
ms_fleet_sums_zone (const struct ms_fleet *fleet, ms_time now)
{
  return ms_readers_before (fleet, fleet->self.id, fleet->self.zone, now)
         < MS_READERS_PER_ZONE;
}

bool
ms_fleet_reads_store (const struct ms_fleet *fleet, ms_time now)
{
  return ms_readers_before (fleet, fleet->self.id, fleet->self.zone, now) == 0;
}

bool
ms_fleet_first_reader (const struct ms_fleet *fleet, ms_time now,
                       struct in_addr *ip)
{
  for (unsigned i = 0; i < fleet->count; i++)
    {
      const struct ms_fleet_router *r = &fleet->routers[i];

      if (r->zone != fleet->self.zone || r->leaving || !ms_fleet_alive (r, now)
          || ms_readers_before (fleet, r->id, r->zone, now))
        continue;
      *ip = r->ip;
      return true;
    }
  return false;
}

/* Return whether this router, a reader, exchanges zone sums now.  */
static bool
is_sums_turn (const struct ms_fleet *fleet, ms_time now)
{
  return ms_readers_before (fleet, fleet->self.id, fleet->self.zone, now) == 0
         || fleet->sequence % SECOND_READER_INTERVAL == 0;
}

const struct ms_fleet_router *
ms_fleet_relay_source (struct ms_fleet *fleet, ms_time now)
{
  const struct ms_fleet_router *reader = NULL;
  const struct ms_fleet_router *other = NULL;
  unsigned readers_seen = 0;
  unsigned others_seen = 0;

  for (unsigned i = 0; i < fleet->count; i++)
    {
      const struct ms_fleet_router *r = &fleet->routers[i];

      if (!ms_fleet_alive (r, now) || r->leaving)
        continue;
      /* Reservoir sampling: each candidate has the same chance.  */
      if (r->zone == fleet->self.zone
          && ms_readers_before (fleet, r->id, r->zone, now) == 0)
        {
          if (ms_random_below (&fleet->random, ++readers_seen) == 0)
            reader = r;
        }
      else if (ms_random_below (&fleet->random, ++others_seen) == 0)
        other = r;
    }
  /* One time in eight ask another router: if this zone is cut off from the
     store, its readers know nothing newer.  */
  if (reader && other && ms_random_below (&fleet->random, 8) == 0)
    return other;
  return reader ? reader : other;
}

/* Free the arrays of ZONE and set it to zero, but for what its routers report
   of orders.  */
static void
clear_zone (struct ms_fleet_zone *zone)
{
  const struct ms_fleet_zone old = *zone;

  free (zone->loads);
  free (zone->more_loads);
  free (zone->teams);
  free (zone->rates);
  free (zone->demands);
  free (zone->ready);
  free (zone->capacities);
  *zone = (struct ms_fleet_zone){
    .rollouts = old.rollouts,
    .rollouts_count = old.rollouts_count,
    .rollouts_author = old.rollouts_author,
    .rollouts_sequence = old.rollouts_sequence,
    .rollouts_heard = old.rollouts_heard,
    .engines = old.engines,
    .engines_author = old.engines_author,
    .engines_sequence = old.engines_sequence,
    .engines_heard = old.engines_heard,
  };
}

void
ms_zones_free (struct ms_fleet *fleet)
{
  for (unsigned i = 0; i < fleet->zones_count; i++)
    {
      clear_zone (&fleet->zones[i]);
      free (fleet->zones[i].rollouts);
      free (fleet->zones[i].engines);
    }
}

/* Return zone ID, which is added if it is unknown; NULL if the table is
   full.  */
static struct ms_fleet_zone *
find_or_add_zone (struct ms_fleet *fleet, uint64_t id)
{
  for (unsigned i = 0; i < fleet->zones_count; i++)
    if (fleet->zones[i].id == id)
      return &fleet->zones[i];
  if (fleet->zones_count == DIGEST_ZONES)
    return NULL;
  fleet->zones[fleet->zones_count].id = id;
  return &fleet->zones[fleet->zones_count++];
}

/* Replace what is known of a zone by SUMS and take over its arrays, unless it
   is this router's zone or SUMS is not newer.  SUMS of another author than the
   known ones always count as newer; a lower sequence number of the same author
   does if the known sums are as old as MS_ROUTER_SILENT_TIME, as after a
   restart of the author.  ROOM and FLOW are those of the zone, NULL if the
   author did not send them.  */
static void
update_zone (struct ms_fleet *fleet, digest_zone *sums, digest_room *room,
             digest_flow *flow, ms_time now)
{
  struct ms_fleet_zone *zone;

  if (sums->zone == fleet->self.zone)
    return;
  zone = find_or_add_zone (fleet, sums->zone);
  if (!zone
      || (zone->author == sums->author && sums->sequence <= zone->sequence
          && now - zone->heard < MS_ROUTER_SILENT_TIME))
    return;
  clear_zone (zone);
  zone->id = sums->zone;
  zone->author = sums->author;
  zone->sequence = sums->sequence;
  zone->heard = now;
  zone->loads = sums->loads.loads_val;
  zone->loads_count = sums->loads.loads_len;
  zone->teams = sums->teams.teams_val;
  zone->teams_count = sums->teams.teams_len;
  zone->ready = sums->ready.ready_val;
  zone->ready_count = sums->ready.ready_len;
  sums->loads.loads_val = NULL;
  sums->loads.loads_len = 0;
  sums->teams.teams_val = NULL;
  sums->teams.teams_len = 0;
  sums->ready.ready_val = NULL;
  sums->ready.ready_len = 0;
  if (room)
    {
      zone->capacity = room->capacity;
      zone->used = room->used;
      zone->routers = room->routers;
      zone->level = room->level;
      zone->capacities = room->capacities.capacities_val;
      zone->capacities_count = room->capacities.capacities_len;
      zone->more_loads = room->more_loads.more_loads_val;
      zone->more_loads_count = room->more_loads.more_loads_len;
      room->capacities.capacities_val = NULL;
      room->capacities.capacities_len = 0;
      room->more_loads.more_loads_val = NULL;
      room->more_loads.more_loads_len = 0;
    }
  if (flow)
    {
      zone->rates = flow->rates.rates_val;
      zone->rates_count = flow->rates.rates_len;
      zone->demands = flow->demands.demands_val;
      zone->demands_count = flow->demands.demands_len;
      memset (&flow->rates, 0, sizeof flow->rates);
      memset (&flow->demands, 0, sizeof flow->demands);
    }
  for (unsigned i = 0; i < zone->ready_count; i++)
    ms_fleet_mark_alive (fleet, &zone->ready[i],
                         i < zone->capacities_count ? zone->capacities[i] : 0,
                         now);
}

/* Update what is known of the orders of a zone from SUMS, as update_zone
   does.  */
static void
update_rollouts (struct ms_fleet *fleet, const digest_zone_rollouts *sums,
                 ms_time now)
{
  struct ms_fleet_zone *zone;

  if (sums->zone == fleet->self.zone)
    return;
  zone = find_or_add_zone (fleet, sums->zone);
  if (!zone
      || (zone->rollouts && zone->rollouts_author == sums->author
          && sums->sequence <= zone->rollouts_sequence
          && now - zone->rollouts_heard < MS_ROUTER_SILENT_TIME))
    return;
  if (!zone->rollouts)
    zone->rollouts = ms_new_array (MS_ROLLOUTS, sizeof *zone->rollouts);
  zone->rollouts_author = sums->author;
  zone->rollouts_sequence = sums->sequence;
  zone->rollouts_heard = now;
  zone->rollouts_count
      = ms_rollout_list_read (sums->rollouts.rollouts_val,
                              sums->rollouts.rollouts_len, zone->rollouts);
}

/* The same for the speed of endpoints.  */
static void
update_engines (struct ms_fleet *fleet, const digest_zone_engines *sums,
                ms_time now)
{
  struct ms_fleet_zone *zone;

  if (sums->zone == fleet->self.zone)
    return;
  zone = find_or_add_zone (fleet, sums->zone);
  if (!zone
      || (zone->engines && zone->engines_author == sums->author
          && sums->sequence <= zone->engines_sequence
          && now - zone->engines_heard < MS_ROUTER_SILENT_TIME))
    return;
  zone->engines_author = sums->author;
  zone->engines_sequence = sums->sequence;
  zone->engines_heard = now;
  ms_engine_list_read (&zone->engines, sums->engines.engines_val,
                       sums->engines.engines_len, sums->services.services_val,
                       sums->services.services_len);
}

/* Return the room in DIGEST of its entry I of zones, NULL if it has none.  */
static digest_room *
zone_room (struct fleet_digest *digest, unsigned i)
{
  digest_room *room
      = i < digest->rooms.rooms_len ? &digest->rooms.rooms_val[i] : NULL;

  return room && room->zone == digest->zones.zones_val[i].zone ? room : NULL;
}

/* The same for its flow.  */
static digest_flow *
zone_flow (struct fleet_digest *digest, unsigned i)
{
  digest_flow *flow
      = i < digest->flows.flows_len ? &digest->flows.flows_val[i] : NULL;

  return flow && flow->zone == digest->zones.zones_val[i].zone ? flow : NULL;
}

void
ms_zones_receive (struct ms_fleet *fleet, struct fleet_digest *digest,
                  ms_time now)
{
  for (unsigned i = 0; i < digest->zones.zones_len; i++)
    update_zone (fleet, &digest->zones.zones_val[i], zone_room (digest, i),
                 zone_flow (digest, i), now);
  for (unsigned i = 0; i < digest->zone_rollouts.zone_rollouts_len; i++)
    update_rollouts (fleet, &digest->zone_rollouts.zone_rollouts_val[i], now);
  for (unsigned i = 0; i < digest->zone_engines.zone_engines_len; i++)
    update_engines (fleet, &digest->zone_engines.zone_engines_val[i], now);
}

const struct ms_fleet_zone *
ms_fleet_zones (const struct ms_fleet *fleet, unsigned *count)
{
  *count = fleet->zones_count;
  return fleet->zones;
}

/* Put what the COUNT ZONES report of the speed of endpoints into DIGEST.  */
static void
put_zone_engines (const struct ms_fleet_zone *zones, unsigned count,
                  struct fleet_digest *digest, struct ms_zone_list *list,
                  ms_time now)
{
  unsigned used = 0;

  if (digest->sequence % MS_ENGINE_DIGESTS != 0)
    return;
  for (unsigned i = 0; i < count && used < DIGEST_ZONES; i++)
    {
      const struct ms_fleet_zone *z = &zones[i];

      if (!z->engines || now - z->engines_heard > MS_ROUTER_SILENT_TIME)
        continue;
      list->zone_engines[used++] = (digest_zone_engines){
        .zone = z->id,
        .author = z->engines_author,
        .sequence = z->engines_sequence,
        .engines = { z->engines->engines_count, z->engines->engines },
        .services = { z->engines->services_count, z->engines->services },
      };
    }
  digest->zone_engines.zone_engines_val = list->zone_engines;
  digest->zone_engines.zone_engines_len = used;
}

/* Put what the COUNT ZONES report of orders into DIGEST.  */
static void
put_zone_rollouts (const struct ms_fleet_zone *zones, unsigned count,
                   struct fleet_digest *digest, struct ms_zone_list *list,
                   ms_time now)
{
  unsigned used = 0;

  for (unsigned i = 0; i < count; i++)
    {
      const struct ms_fleet_zone *z = &zones[i];

      if (!z->rollouts_count
          || now - z->rollouts_heard > MS_ROUTER_SILENT_TIME)
        continue;
      ms_rollout_list_fill (&list->rollouts[used], z->rollouts,
                            z->rollouts_count, now - z->rollouts_heard);
      list->zone_rollouts[used] = (digest_zone_rollouts){
        .zone = z->id,
        .author = z->rollouts_author,
        .sequence = z->rollouts_sequence,
        .rollouts
        = { list->rollouts[used].count, list->rollouts[used].rollouts },
      };
      used++;
    }
  digest->zone_rollouts.zone_rollouts_val = list->zone_rollouts;
  digest->zone_rollouts.zone_rollouts_len = used;
}

void
ms_fleet_put_zone_sums (const struct ms_fleet *fleet,
                        struct fleet_digest *digest, struct ms_zone_list *list,
                        ms_time now)
{
  unsigned count = 0;
  unsigned zones_count = is_sums_turn (fleet, now) ? fleet->zones_count : 0;

  for (unsigned i = 0; i < zones_count; i++)
    {
      const struct ms_fleet_zone *z = &fleet->zones[i];

      if (now - z->heard > MS_ROUTER_SILENT_TIME)
        continue;
      list->rooms[count] = (digest_room){
        .zone = z->id,
        .capacity = z->capacity,
        .used = z->used,
        .routers = z->routers,
        .level = z->level,
        .capacities = { z->capacities_count, z->capacities },
        .more_loads = { z->more_loads_count, z->more_loads },
      };
      list->flows[count] = (digest_flow){
        .zone = z->id,
        .rates = { z->rates_count, z->rates },
        .demands = { z->demands_count, z->demands },
      };
      list->zones[count++] = (digest_zone){
        .zone = z->id,
        .author = z->author,
        .sequence = z->sequence,
        .loads = { z->loads_count, z->loads },
        .teams = { z->teams_count, z->teams },
        .ready = { z->ready_count, z->ready },
      };
    }
  digest->zones.zones_val = list->zones;
  digest->zones.zones_len = count;
  digest->rooms.rooms_val = list->rooms;
  digest->rooms.rooms_len = count;
  digest->flows.flows_val = list->flows;
  digest->flows.flows_len = count;
  put_zone_rollouts (fleet->zones, zones_count, digest, list, now);
  put_zone_engines (fleet->zones, zones_count, digest, list, now);
}

/* Return the mean of A and B, weighted by running requests; A if none run.  0
   stands for an unknown value: then the other one is returned.  */
static unsigned
weighted_mean (unsigned a, unsigned a_running, unsigned b, unsigned b_running)
{
  if (!a || !b || a_running + b_running == 0)
    return a ? a : b;
  return (unsigned)(((uint64_t)a * a_running + (uint64_t)b * b_running)
                    / (a_running + b_running));
}

/* Return the entry of ENDPOINT in SUMS, which is added if there is none; NULL
   if there is no space.  */
static digest_load *
find_or_add_load (struct ms_zone_sums *sums, uint64_t endpoint)
{
  u_int *count = &sums->zone.loads.loads_len;
  u_int *more_count = &sums->room.more_loads.more_loads_len;
  digest_load *added;

  for (unsigned i = 0; i < *count; i++)
    if (sums->loads[i].endpoint == endpoint)
      return &sums->loads[i];
  for (unsigned i = 0; i < *more_count; i++)
    if (sums->more_loads[i].endpoint == endpoint)
      return &sums->more_loads[i];
  if (*count < DIGEST_LOADS)
    added = &sums->loads[(*count)++];
  else if (*more_count < DIGEST_MORE_LOADS)
    added = &sums->more_loads[(*more_count)++];
  else
    return NULL;
  *added = (digest_load){ .endpoint = endpoint };
  return added;
}

/* Add LOAD to SUMS, at the entry of its endpoint; dropped if there is no space
   for another endpoint.  */
static void
add_load (struct ms_zone_sums *sums, const digest_load *load)
{
  digest_load *sum = find_or_add_load (sums, load->endpoint);

  if (!sum)
    return;
  sum->pace
      = weighted_mean (sum->pace, sum->running, load->pace, load->running);
  sum->limit
      = weighted_mean (sum->limit, sum->running, load->limit, load->running);
  sum->running += load->running;
  sum->prefill += load->prefill;
  sum->memory += load->memory;
}

/* Add TEAM to the zone sums ZONE, at the entry of that team; dropped if there
   is no space for another team.  */
static void
add_team (digest_zone *zone, const digest_team *team)
{
  digest_team *sums = zone->teams.teams_val;
  unsigned i;

  for (i = 0; i < zone->teams.teams_len; i++)
    if (sums[i].team == team->team)
      break;
  if (i == DIGEST_TEAMS)
    return;
  if (i == zone->teams.teams_len)
    sums[zone->teams.teams_len++] = (digest_team){ .team = team->team };
  sums[i].asked += team->asked;
  sums[i].refused += team->refused;
  sums[i].ended += team->ended;
}

/* Add RATE, which was reported ELAPSED ago, to FLOW, at the entry of its
   endpoint, whose limit is that of the newest answer; dropped if there is no
   space for another endpoint.  */
static void
add_rate (digest_flow *flow, const digest_rate *rate, ms_time elapsed)
{
  digest_rate *sums = flow->rates.rates_val;
  uint64_t age = rate->age + (uint64_t)(elapsed / MS_MSEC);
  unsigned i;

  for (i = 0; i < flow->rates.rates_len; i++)
    if (sums[i].endpoint == rate->endpoint)
      break;
  if (i == DIGEST_RATES)
    return;
  if (i == flow->rates.rates_len)
    sums[flow->rates.rates_len++]
        = (digest_rate){ .endpoint = rate->endpoint, .age = UINT32_MAX };
  sums[i].sent += rate->sent;
  if (age >= sums[i].age)
    return;
  sums[i].age = (u_int)age;
  sums[i].limit = rate->limit;
}

/* Add DEMAND to FLOW, at the entry of its service; dropped if there is no
   space for another service.  */
static void
add_demand (digest_flow *flow, const digest_demand *demand)
{
  digest_demand *sums = flow->demands.demands_val;
  unsigned i;

  for (i = 0; i < flow->demands.demands_len; i++)
    if (sums[i].service == demand->service)
      break;
  if (i == DIGEST_DEMANDS)
    return;
  if (i == flow->demands.demands_len)
    sums[flow->demands.demands_len++]
        = (digest_demand){ .service = demand->service };
  sums[i].arrived += demand->arrived;
}

/* Add what a router reported ELAPSED ago to FLOW.  */
static void
add_flow (digest_flow *flow, const digest_rate *rates, unsigned rates_count,
          const digest_demand *demands, unsigned demands_count,
          ms_time elapsed)
{
  for (unsigned i = 0; i < rates_count; i++)
    add_rate (flow, &rates[i], elapsed);
  for (unsigned i = 0; i < demands_count; i++)
    add_demand (flow, &demands[i]);
}

/* The sum of inverse levels, of which the harmonic mean is made: levels of 0,
   which stand for no limit, add nothing.  */
static double
inverse_level (unsigned level)
{
  return level ? 1.0 / level : 0;
}

double
ms_fleet_mean_level (const struct ms_fleet *fleet, ms_time now,
                     unsigned *count)
{
  bool large = ms_fleet_large (fleet, now);
  double sum = 0;

  *count = 0;
  for (unsigned i = 0; i < fleet->count; i++)
    {
      const struct ms_fleet_router *r = &fleet->routers[i];

      if ((large && r->zone != fleet->self.zone) || !ms_fleet_alive (r, now))
        continue;
      sum += inverse_level (r->level);
      ++*count;
    }
  for (unsigned i = 0; large && i < fleet->zones_count; i++)
    {
      const struct ms_fleet_zone *z = &fleet->zones[i];

      if (now - z->heard > MS_ROUTER_SILENT_TIME)
        continue;
      sum += z->routers * inverse_level (z->level);
      *count += z->routers;
    }
  return sum > 0 ? *count / sum : 0;
}

/* Add a router that accepts callers to SUMS.  */
static void
add_ready (struct ms_zone_sums *sums, digest_member member, unsigned capacity,
           unsigned used)
{
  unsigned count = sums->zone.ready.ready_len;

  sums->room.capacity += capacity;
  sums->room.used += used;
  if (count == DIGEST_MEMBERS)
    return;
  sums->ready[count] = member;
  sums->capacities[count] = capacity;
  sums->zone.ready.ready_len = count + 1;
  sums->room.capacities.capacities_len = count + 1;
}

/* Fill in what SUMS has of the speed of endpoints.  */
static void
sum_engines (const struct ms_fleet *fleet, const struct fleet_digest *own,
             struct ms_zone_sums *sums, ms_time now)
{
  struct ms_engine_list *list = &sums->engine_list;

  list->engines_count = list->services_count = 0;
  ms_engine_list_add (list, own->engines.engines_val, own->engines.engines_len,
                      own->engine_services.engine_services_val,
                      own->engine_services.engine_services_len);
  for (unsigned i = 0; i < fleet->count; i++)
    {
      const struct ms_fleet_router *r = &fleet->routers[i];

      if (r->zone == fleet->self.zone && r->engines && ms_fleet_alive (r, now))
        ms_engine_list_add (list, r->engines->engines,
                            r->engines->engines_count, r->engines->services,
                            r->engines->services_count);
    }
  sums->engines = (digest_zone_engines){
    .zone = fleet->self.zone,
    .author = fleet->self.id,
    .sequence = fleet->sequence,
    .engines = { list->engines_count, list->engines },
    .services = { list->services_count, list->services },
  };
}

/* Fill in what SUMS has of orders.  OWN is the digest of this router.  */
static void
sum_rollouts (const struct ms_fleet *fleet, const struct fleet_digest *own,
              struct ms_zone_sums *sums, ms_time now)
{
  static struct ms_rollout_report reports[MS_ROLLOUTS];
  unsigned count = ms_rollout_list_read (own->rollouts.rollouts_val,
                                         own->rollouts.rollouts_len, reports);

  for (unsigned i = 0; i < fleet->count; i++)
    {
      const struct ms_fleet_router *r = &fleet->routers[i];

      if (r->zone != fleet->self.zone)
        continue;
      for (unsigned j = 0; j < r->rollouts_count; j++)
        {
          struct ms_rollout_report report = r->rollouts[j];

          /* Whether it still runs is not known.  */
          if (!ms_fleet_alive (r, now))
            report.running_old = report.unmoved = 0;
          ms_rollout_reports_add (reports, &count, &report,
                                  r->heard ? now - r->heard : 0);
        }
    }
  ms_rollout_list_fill (&sums->rollout_list, reports, count, 0);
  sums->rollouts = (digest_zone_rollouts){
    .zone = fleet->self.zone,
    .author = fleet->self.id,
    .sequence = fleet->sequence,
    .rollouts = { sums->rollout_list.count, sums->rollout_list.rollouts },
  };
}

void
ms_fleet_sum_zone (const struct ms_fleet *fleet,
                   const struct fleet_digest *own, struct ms_zone_sums *sums,
                   ms_time now)
{
  digest_zone *zone = &sums->zone;
  double inverse = inverse_level (own->level);

  memset (sums, 0, sizeof *sums);
  sums->room.routers = 1;
  zone->zone = fleet->self.zone;
  zone->author = fleet->self.id;
  zone->sequence = fleet->sequence;
  zone->loads.loads_val = sums->loads;
  zone->teams.teams_val = sums->teams;
  zone->ready.ready_val = sums->ready;
  sums->room.zone = fleet->self.zone;
  sums->room.capacities.capacities_val = sums->capacities;
  sums->room.more_loads.more_loads_val = sums->more_loads;
  sums->flow.zone = fleet->self.zone;
  sums->flow.rates.rates_val = sums->rates;
  sums->flow.demands.demands_val = sums->demands;
  add_flow (&sums->flow, own->rates.rates_val, own->rates.rates_len,
            own->demands.demands_val, own->demands.demands_len, 0);
  for (unsigned i = 0; i < own->loads.loads_len; i++)
    add_load (sums, &own->loads.loads_val[i]);
  for (unsigned i = 0; i < own->teams.teams_len; i++)
    add_team (zone, &own->teams.teams_val[i]);
  if (own->ready)
    add_ready (sums, fleet->self, fleet->capacity, fleet->used);
  for (unsigned i = 0; i < fleet->count; i++)
    {
      /* If there are more routers than fit in READY, they take turns.  */
      const struct ms_fleet_router *r
          = &fleet->routers[(i + fleet->sequence * READY_STEP) % fleet->count];

      if (r->zone != fleet->self.zone)
        continue;
      if (r->heard && now - r->heard <= MS_FLOW_REPORT_TIME)
        add_flow (&sums->flow, r->rates, r->rates_count, r->demands,
                  r->demands_count, now - r->heard);
      if (!ms_fleet_alive (r, now))
        continue;
      sums->room.routers++;
      inverse += inverse_level (r->level);
      for (unsigned j = 0; j < r->loads_count; j++)
        add_load (sums, &r->loads[j]);
      for (unsigned j = 0; j < r->teams_count; j++)
        add_team (zone, &r->teams[j]);
      if (ms_takes_callers (r, now))
        add_ready (sums,
                   (digest_member){ r->id, r->incarnation, r->zone,
                                    ntohl (r->ip.s_addr) },
                   r->capacity, r->used);
    }
  if (inverse > 0)
    sums->room.level
        = (unsigned)fmin (sums->room.routers / inverse, UINT32_MAX);
  sum_rollouts (fleet, own, sums, now);
  sum_engines (fleet, own, sums, now);
}

/* Return whether R, a router of another zone, is to be sent the zone sums of
   this zone: if it has the same place among the readers of its zone as this
   router in its own or, while no router of that zone is
   known to be alive, by chance, since it may be a reader.  */
static bool
is_sums_target (struct ms_fleet *fleet, const struct ms_fleet_router *r,
                ms_time now)
{
  unsigned known = 0;

  if (ms_fleet_alive (r, now))
    return ms_readers_before (fleet, r->id, r->zone, now)
           == ms_readers_before (fleet, fleet->self.id, fleet->self.zone, now);
  for (unsigned i = 0; i < fleet->count; i++)
    {
      if (fleet->routers[i].zone != r->zone)
        continue;
      if (ms_fleet_alive (&fleet->routers[i], now))
        return false;
      known++;
    }
  return ms_random_below (&fleet->random, known) < RANDOM_TARGETS_PER_ZONE;
}

unsigned
ms_fleet_other_readers (struct ms_fleet *fleet, ms_time now,
                        struct in_addr *targets, unsigned space)
{
  unsigned count = 0;

  if (!is_sums_turn (fleet, now))
    return 0;
  for (unsigned i = 0; i < fleet->count && count < space; i++)
    {
      const struct ms_fleet_router *r = &fleet->routers[i];

      if (r->zone != fleet->self.zone && is_sums_target (fleet, r, now))
        targets[count++] = r->ip;
    }
  return count;
}

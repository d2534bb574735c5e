#include "fleet/internal.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* A router is crowded if it gets at least CROWDED_MIN_RATE requests in ten
   seconds and, for its capacity, more than CROWDED_FACTOR times as many as the
   routers of its zone on average.  */
#define CROWDED_FACTOR 2.0
#define CROWDED_MIN_RATE 100

/* A router takes no share in limits of the whole fleet until it has been up
   for JOIN_TIME and has sent JOIN_DIGESTS digests: its previous process may
   have used its share just before, and others must count it first.  While it
   cannot read the members from the store it waits for JOIN_TIME_UNREAD, in
   which the digests of a single router name 370 others.  */
#define JOIN_TIME (2 * MS_SEC)
#define JOIN_TIME_UNREAD (5 * MS_SEC)
#define JOIN_DIGESTS 10

/* A silent router is sent a digest one time in this many, and one whose share
   has ended one time in that many.  */
#define SILENT_TARGET_ODDS 8
#define GONE_TARGET_ODDS 512

/* Most other routers that one digest mentions, while routers may have to learn
   of others because one has started within MEMBERS_NEWS_TIME, and else.  */
#define MEMBERS_PER_DIGEST 8
#define MEMBERS_PER_QUIET_DIGEST 1
#define MEMBERS_NEWS_TIME (6 * MS_SEC)

/* In a small fleet, a router of another zone gets one digest in this many: it
   crosses the zones' border once for each pair of routers.  */
#define OTHER_ZONE_DIGEST_INTERVAL 2

/* Most routers that a digest is sent to at once; more take turns.  */
#define FAN_OUT 64

struct ms_fleet *
ms_fleet_create (uint64_t id, uint64_t incarnation, uint64_t zone,
                 struct in_addr ip, uint64_t random_seed, ms_time now)
{
  struct ms_fleet *fleet = ms_new (sizeof *fleet);

  fleet->self = (digest_member){ id, incarnation, zone, ntohl (ip.s_addr) };
  fleet->random.state = random_seed;
  fleet->started = now;
  fleet->news_at = now;
  return fleet;
}

/* Free the arrays of ROUTER, but not ROUTER itself.  */
static void
free_arrays (struct ms_fleet_router *router)
{
  free (router->loads);
  free (router->teams);
  free (router->rates);
  free (router->demands);
  free (router->rollouts);
  free (router->engines);
  router->engines = NULL;
  router->rollouts = NULL;
  router->rollouts_count = 0;
  router->loads = NULL;
  router->loads_count = 0;
  router->teams = NULL;
  router->teams_count = 0;
  router->rates = NULL;
  router->rates_count = 0;
  router->demands = NULL;
  router->demands_count = 0;
}

/* Take what the digest D reports of orders to its sender, ROUTER.  */
static void
take_rollouts (struct ms_fleet_router *router, const struct fleet_digest *d)
{
  if (!d->rollouts.rollouts_len)
    return;
  router->rollouts
      = ms_new_array (d->rollouts.rollouts_len, sizeof *router->rollouts);
  router->rollouts_count = ms_rollout_list_read (
      d->rollouts.rollouts_val, d->rollouts.rollouts_len, router->rollouts);
}

/* Move the arrays that the digest D has of its sender, ROUTER, to it.  */
static void
take_arrays (struct ms_fleet_router *router, struct fleet_digest *d)
{
  router->loads = d->loads.loads_val;
  router->loads_count = d->loads.loads_len;
  router->teams = d->teams.teams_val;
  router->teams_count = d->teams.teams_len;
  router->rates = d->rates.rates_val;
  router->rates_count = d->rates.rates_len;
  router->demands = d->demands.demands_val;
  router->demands_count = d->demands.demands_len;
  memset (&d->loads, 0, sizeof d->loads);
  memset (&d->teams, 0, sizeof d->teams);
  memset (&d->rates, 0, sizeof d->rates);
  memset (&d->demands, 0, sizeof d->demands);
  take_rollouts (router, d);
  ms_engine_list_read (&router->engines, d->engines.engines_val,
                       d->engines.engines_len,
                       d->engine_services.engine_services_val,
                       d->engine_services.engine_services_len);
}

void
ms_fleet_destroy (struct ms_fleet *fleet)
{
  if (!fleet)
    return;
  for (unsigned i = 0; i < fleet->count; i++)
    free_arrays (&fleet->routers[i]);
  free (fleet->routers);
  ms_zones_free (fleet);
  free (fleet);
}

/* Return the index in fleet->routers of the first router whose id is not below
   ID.  */
static unsigned
find_index (const struct ms_fleet *fleet, uint64_t id)
{
  unsigned i = 0;

  while (i < fleet->count && fleet->routers[i].id < id)
    i++;
  return i;
}

/* Return whether ROUTER may be sending, as far as this router can know.  */
static bool
has_share (const struct ms_fleet_router *router, ms_time now)
{
  ms_time last
      = router->heard > router->learned ? router->heard : router->learned;

  return now - last <= MS_ROUTER_SHARE_TIME;
}

bool
ms_fleet_large (const struct ms_fleet *fleet, ms_time now)
{
  unsigned count = 1;

  for (unsigned i = 0; i < fleet->count; i++)
    count += has_share (&fleet->routers[i], now);
  return count > MS_SMALL_FLEET_MAX;
}

/* Remove a router whose share has ended.  Return false if there is none.  */
static bool
remove_gone_router (struct ms_fleet *fleet, ms_time now)
{
  for (unsigned i = 0; i < fleet->count; i++)
    if (!has_share (&fleet->routers[i], now))
      {
        free_arrays (&fleet->routers[i]);
        fleet->count--;
        memmove (&fleet->routers[i], &fleet->routers[i + 1],
                 (fleet->count - i) * sizeof *fleet->routers);
        return true;
      }
  return false;
}

/* Return router ID, which is added if it is unknown; NULL if the table is
   full.  */
static struct ms_fleet_router *
find_or_add (struct ms_fleet *fleet, uint64_t id, ms_time now)
{
  unsigned index = find_index (fleet, id);

  if (index < fleet->count && fleet->routers[index].id == id)
    return &fleet->routers[index];
  if (fleet->count == MS_MAX_FLEET_ROUTERS)
    {
      if (!remove_gone_router (fleet, now))
        return NULL;
      index = find_index (fleet, id);
    }
  if (fleet->count == fleet->space)
    {
      fleet->space = fleet->space ? fleet->space * 2 : 16;
      fleet->routers
          = ms_resize (fleet->routers, fleet->space, sizeof *fleet->routers);
    }
  memmove (&fleet->routers[index + 1], &fleet->routers[index],
           (fleet->count - index) * sizeof *fleet->routers);
  fleet->count++;
  fleet->routers[index] = (struct ms_fleet_router){ .id = id, .learned = now };
  return &fleet->routers[index];
}

void
ms_fleet_learn (struct ms_fleet *fleet, uint64_t id, uint64_t incarnation,
                uint64_t zone, struct in_addr ip, ms_time now)
{
  struct ms_fleet_router *router;

  if (id == fleet->self.id)
    return;
  router = find_or_add (fleet, id, now);
  if (!router || incarnation <= router->incarnation)
    return;
  router->rollouts_count = 0;
  router->incarnation = incarnation;
  router->sequence = 0;
  router->zone = zone;
  router->ip = ip;
  router->ready = false;
  router->leaving = false;
  router->heard = 0;
  router->learned = now;
  fleet->news_at = now;
}

bool
ms_fleet_is_gone (const struct ms_fleet *fleet, uint64_t id,
                  uint64_t incarnation, ms_time now)
{
  unsigned i = find_index (fleet, id);

  return now - fleet->started > MS_ROUTER_SHARE_TIME && i < fleet->count
         && fleet->routers[i].id == id
         && fleet->routers[i].incarnation == incarnation
         && !has_share (&fleet->routers[i], now);
}

void
ms_fleet_note_members (struct ms_fleet *fleet)
{
  fleet->members_known = true;
}

struct in_addr
ms_member_address (const digest_member *member)
{
  return (struct in_addr){ htonl (member->ip) };
}

/* Learn of another router MEMBER, which has just sent a digest, or is named as
   ready in zone sums that have just arrived.  An incarnation lower than the
   known one is out of date, unless the router has been silent: then it has
   started again after its clock was set back.  */
static void
learn_running (struct ms_fleet *fleet, const digest_member *member,
               ms_time now)
{
  struct ms_fleet_router *router = find_or_add (fleet, member->id, now);

  if (router && member->incarnation < router->incarnation
      && !ms_fleet_alive (router, now))
    router->incarnation = 0;
  ms_fleet_learn (fleet, member->id, member->incarnation, member->zone,
                  ms_member_address (member), now);
}

bool
ms_fleet_receive (struct ms_fleet *fleet, struct fleet_digest *d, ms_time now)
{
  struct ms_fleet_router *router;

  if (d->self.id == fleet->self.id)
    return false;
  learn_running (fleet, &d->self, now);
  for (unsigned i = 0; i < d->members.members_len; i++)
    {
      const digest_member *m = &d->members.members_val[i];

      ms_fleet_learn (fleet, m->id, m->incarnation, m->zone,
                      ms_member_address (m), now);
    }
  ms_zones_receive (fleet, d, now);
  router = find_or_add (fleet, d->self.id, now);
  if (!router || d->self.incarnation != router->incarnation
      || d->sequence <= router->sequence)
    return false;
  router->sequence = d->sequence;
  router->heard = now;
  router->ready = d->ready;
  router->leaving = d->leaving;
  router->capacity = d->capacity;
  router->used = d->used;
  router->level = d->level;
  router->rate = d->rate;
  free_arrays (router);
  take_arrays (router, d);
  return true;
}

void
ms_fleet_fill_digest (struct ms_fleet *fleet, struct fleet_digest *d,
                      digest_member *members, ms_time now)
{
  unsigned count = 0;
  unsigned most = now - fleet->news_at < MEMBERS_NEWS_TIME
                      ? MEMBERS_PER_DIGEST
                      : MEMBERS_PER_QUIET_DIGEST;

  d->self = fleet->self;
  d->sequence = ++fleet->sequence;
  d->capacity = fleet->capacity;
  d->used = fleet->used;
  d->rate = fleet->rate;
  for (unsigned i = 0; i < fleet->count && count < most; i++)
    {
      const struct ms_fleet_router *r
          = &fleet->routers[(fleet->next_member + i) % fleet->count];

      if (r->heard && has_share (r, now))
        members[count++] = (digest_member){ r->id, r->incarnation, r->zone,
                                            ntohl (r->ip.s_addr) };
    }
  fleet->next_member += count;
  d->members.members_val = members;
  d->members.members_len = count;
}

void
ms_fleet_fill_notice (const struct ms_fleet *fleet, struct fleet_digest *d)
{
  d->self = fleet->self;
  d->sequence = fleet->sequence;
}

unsigned
ms_fleet_targets (struct ms_fleet *fleet, ms_time now, struct in_addr *targets,
                  unsigned space)
{
  bool large = ms_fleet_large (fleet, now);
  unsigned count = 0;
  unsigned most = space < FAN_OUT ? space : FAN_OUT;
  unsigned i;

  for (i = 0; i < fleet->count && count < most; i++)
    {
      const struct ms_fleet_router *r
          = &fleet->routers[(fleet->next_target + i) % fleet->count];

      if (r->zone != fleet->self.zone
          && (large || fleet->sequence % OTHER_ZONE_DIGEST_INTERVAL))
        continue;
      if (!ms_fleet_alive (r, now)
          && ms_random_below (&fleet->random, has_share (r, now)
                                                  ? SILENT_TARGET_ODDS
                                                  : GONE_TARGET_ODDS))
        continue;
      targets[count++] = r->ip;
    }
  if (fleet->count && count == most)
    fleet->next_target = (fleet->next_target + i) % fleet->count;
  return count;
}

void
ms_fleet_tick (struct ms_fleet *fleet, ms_time now)
{
  for (unsigned i = 0; i < fleet->count; i++)
    {
      struct ms_fleet_router *r = &fleet->routers[i];

      if (has_share (r, now))
        continue;
      free_arrays (r);
    }
}

bool
ms_fleet_alive (const struct ms_fleet_router *router, ms_time now)
{
  return router->heard && now - router->heard <= MS_ROUTER_SILENT_TIME;
}

bool
ms_fleet_heard_since (const struct ms_fleet *fleet, ms_time since)
{
  unsigned alive = 0;
  unsigned heard = 0;

  for (unsigned i = 0; i < fleet->count; i++)
    {
      const struct ms_fleet_router *r = &fleet->routers[i];

      alive += r->heard > since || ms_fleet_alive (r, since);
      heard += r->heard > since;
    }
  return heard && heard * 2 >= alive;
}

unsigned
ms_fleet_alive_count (const struct ms_fleet *fleet, ms_time now)
{
  unsigned count = 1;

  for (unsigned i = 0; i < fleet->count; i++)
    count += ms_fleet_alive (&fleet->routers[i], now);
  return count;
}

/* Return whether this router knows the others and is counted by them.  */
static bool
has_joined (const struct ms_fleet *fleet, ms_time now)
{
  ms_time up = now - fleet->started;

  if (up < JOIN_TIME || fleet->sequence < JOIN_DIGESTS)
    return false;
  return fleet->members_known
         || (up >= JOIN_TIME_UNREAD && ms_fleet_alive_count (fleet, now) > 1);
}

unsigned
ms_fleet_sharers (const struct ms_fleet *fleet, ms_time now, uint64_t *ids,
                  unsigned space)
{
  unsigned count = 0;

  if (!has_joined (fleet, now))
    return 0;
  if (space)
    ids[count++] = fleet->self.id;
  for (unsigned i = 0; i < fleet->count && count < space; i++)
    if (has_share (&fleet->routers[i], now))
      ids[count++] = fleet->routers[i].id;
  return count;
}

const struct ms_fleet_router *
ms_fleet_routers (const struct ms_fleet *fleet, unsigned *count)
{
  *count = fleet->count;
  return fleet->routers;
}

void
ms_fleet_mark_alive (struct ms_fleet *fleet, const digest_member *member,
                     unsigned capacity, ms_time now)
{
  struct ms_fleet_router *router;

  if (member->id == fleet->self.id)
    return;
  learn_running (fleet, member, now);
  router = find_or_add (fleet, member->id, now);
  if (!router || router->incarnation != member->incarnation)
    return;
  router->heard = now;
  router->ready = true;
  router->leaving = false;
  if (capacity)
    router->capacity = capacity;
}

bool
ms_takes_callers (const struct ms_fleet_router *router, ms_time now)
{
  return ms_fleet_alive (router, now) && router->ready && !router->leaving;
}

void
ms_fleet_set_load (struct ms_fleet *fleet, unsigned capacity, unsigned used,
                   unsigned rate)
{
  fleet->capacity = capacity;
  fleet->used = used;
  fleet->rate = rate;
}

bool
ms_fleet_crowded (const struct ms_fleet *fleet, ms_time now)
{
  double capacity = fleet->capacity;
  double rate = fleet->rate;

  if (fleet->rate < CROWDED_MIN_RATE || !fleet->capacity)
    return false;
  for (unsigned i = 0; i < fleet->count; i++)
    {
      const struct ms_fleet_router *r = &fleet->routers[i];

      if (r->zone != fleet->self.zone || !ms_takes_callers (r, now))
        continue;
      capacity += r->capacity;
      rate += r->rate;
    }
  return fleet->rate * capacity > CROWDED_FACTOR * fleet->capacity * rate;
}

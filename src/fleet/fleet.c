#include "fleet/internal.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

#define MAX_ROUTERS 1024

/* A router is crowded with this many times the mean of requests for its
   capacity, and at least so many in ten seconds.  */
#define CROWDED_FACTOR 2.0
#define CROWDED_LEAST 100

/* Of more routers than these, half are named to a caller.  */
#define DRAWN_ABOVE 6
#define DRAWS 1000000

/* Routers that one digest tells of.  */
#define MEMBERS_TOLD 8

/* Digests go to so many routers at a time, in turn.  */
#define FAN_OUT 64

struct ms_fleet *
ms_fleet_create (uint64_t id, uint64_t incarnation, uint64_t zone,
                 struct in_addr ip, uint64_t random_seed)
{
  struct ms_fleet *fleet = ms_new (sizeof *fleet);

  fleet->self = (digest_member){ id, incarnation, zone, ntohl (ip.s_addr) };
  fleet->random.state = random_seed;
  return fleet;
}

static void
free_router (struct ms_fleet_router *router)
{
  free (router->loads);
  free (router->teams);
}

void
ms_fleet_destroy (struct ms_fleet *fleet)
{
  if (!fleet)
    return;
  for (unsigned i = 0; i < fleet->count; i++)
    free_router (&fleet->routers[i]);
  free (fleet->routers);
  ms_zones_free (fleet);
  free (fleet);
}

/* Index of the first router whose id is not below ID.  */
static unsigned
place_of (const struct ms_fleet *fleet, uint64_t id)
{
  unsigned i = 0;

  while (i < fleet->count && fleet->routers[i].id < id)
    i++;
  return i;
}

static struct ms_fleet_router *
obtain (struct ms_fleet *fleet, uint64_t id, ms_time now)
{
  unsigned at = place_of (fleet, id);

  if (at < fleet->count && fleet->routers[at].id == id)
    return &fleet->routers[at];
  if (fleet->count == MAX_ROUTERS)
    return NULL;
  if (fleet->count == fleet->space)
    {
      fleet->space = fleet->space ? fleet->space * 2 : 16;
      fleet->routers
          = ms_resize (fleet->routers, fleet->space, sizeof *fleet->routers);
    }
  memmove (&fleet->routers[at + 1], &fleet->routers[at],
           (fleet->count - at) * sizeof *fleet->routers);
  fleet->count++;
  fleet->routers[at] = (struct ms_fleet_router){ .id = id, .learned = now };
  return &fleet->routers[at];
}

void
ms_fleet_learn (struct ms_fleet *fleet, uint64_t id, uint64_t incarnation,
                uint64_t zone, struct in_addr ip, ms_time now)
{
  struct ms_fleet_router *router;

  if (id == fleet->self.id)
    return;
  router = obtain (fleet, id, now);
  if (!router || incarnation <= router->incarnation)
    return;
  router->incarnation = incarnation;
  router->sequence = 0;
  router->zone = zone;
  router->ip = ip;
  router->ready = false;
  router->leaving = false;
  router->heard = 0;
  router->learned = now;
}

static struct in_addr
address_of (const digest_member *member)
{
  return (struct in_addr){ htonl (member->ip) };
}

/* A router tells of itself.  One that was silent may have started again after
   its clock was set back, with a lower incarnation.  */
static void
hear_of (struct ms_fleet *fleet, const digest_member *self, ms_time now)
{
  struct ms_fleet_router *router = obtain (fleet, self->id, now);

  if (router && self->incarnation < router->incarnation
      && !ms_fleet_alive (router, now))
    router->incarnation = 0;
  ms_fleet_learn (fleet, self->id, self->incarnation, self->zone,
                  address_of (self), now);
}

bool
ms_fleet_receive (struct ms_fleet *fleet, struct fleet_digest *d, ms_time now)
{
  struct ms_fleet_router *router;

  if (d->self.id == fleet->self.id)
    return false;
  hear_of (fleet, &d->self, now);
  for (unsigned i = 0; i < d->members.members_len; i++)
    {
      const digest_member *m = &d->members.members_val[i];

      ms_fleet_learn (fleet, m->id, m->incarnation, m->zone, address_of (m),
                      now);
    }
  ms_zones_receive (fleet, d, now);
  router = obtain (fleet, d->self.id, now);
  if (!router || d->self.incarnation != router->incarnation
      || d->sequence <= router->sequence)
    return false;
  router->sequence = d->sequence;
  router->heard = now;
  router->ready = d->ready;
  router->leaving = d->leaving;
  router->capacity = d->capacity;
  router->rate = d->rate;
  free_router (router);
  router->loads = d->loads.loads_val;
  router->loads_count = d->loads.loads_len;
  router->teams = d->teams.teams_val;
  router->teams_count = d->teams.teams_len;
  d->loads.loads_val = NULL;
  d->loads.loads_len = 0;
  d->teams.teams_val = NULL;
  d->teams.teams_len = 0;
  return true;
}

void
ms_fleet_describe (struct ms_fleet *fleet, struct fleet_digest *d,
                   digest_member *members)
{
  unsigned count = 0;

  d->self = fleet->self;
  d->sequence = ++fleet->sequence;
  d->capacity = fleet->capacity;
  d->rate = fleet->rate;
  for (unsigned i = 0; i < fleet->count && count < MEMBERS_TOLD; i++)
    {
      const struct ms_fleet_router *r
          = &fleet->routers[(fleet->next_member + i) % fleet->count];

      if (r->heard)
        members[count++] = (digest_member){ r->id, r->incarnation, r->zone,
                                            ntohl (r->ip.s_addr) };
    }
  fleet->next_member += count;
  d->members.members_val = members;
  d->members.members_len = count;
}

unsigned
ms_fleet_targets (struct ms_fleet *fleet, ms_time now, struct in_addr *targets,
                  unsigned space)
{
  bool large = ms_fleet_large (fleet);
  unsigned count = 0;
  unsigned most = space < FAN_OUT ? space : FAN_OUT;
  unsigned i;

  for (i = 0; i < fleet->count && count < most; i++)
    {
      const struct ms_fleet_router *r
          = &fleet->routers[(fleet->next_target + i) % fleet->count];

      if (large && r->zone != fleet->self.zone)
        continue;
      /* Ask the silent ones now and then only.  */
      if (!ms_fleet_alive (r, now) && ms_random_below (&fleet->random, 8))
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
  unsigned kept = 0;

  for (unsigned i = 0; i < fleet->count; i++)
    {
      struct ms_fleet_router *r = &fleet->routers[i];
      ms_time last = r->heard > r->learned ? r->heard : r->learned;

      if (now - last > MS_ROUTER_FORGOTTEN)
        free_router (r);
      else
        fleet->routers[kept++] = *r;
    }
  fleet->count = kept;
}

bool
ms_fleet_alive (const struct ms_fleet_router *router, ms_time now)
{
  return router->heard && now - router->heard <= MS_ROUTER_SILENT;
}

unsigned
ms_fleet_alive_count (const struct ms_fleet *fleet, ms_time now)
{
  unsigned count = 1;

  for (unsigned i = 0; i < fleet->count; i++)
    count += ms_fleet_alive (&fleet->routers[i], now);
  return count;
}

const struct ms_fleet_router *
ms_fleet_routers (const struct ms_fleet *fleet, unsigned *count)
{
  *count = fleet->count;
  return fleet->routers;
}

void
ms_fleet_told (struct ms_fleet *fleet, const digest_member *member,
               ms_time now)
{
  struct ms_fleet_router *router;

  if (member->id == fleet->self.id)
    return;
  hear_of (fleet, member, now);
  router = obtain (fleet, member->id, now);
  if (!router || router->incarnation != member->incarnation)
    return;
  router->heard = now;
  router->ready = true;
  router->leaving = false;
}

static bool
takes_callers (const struct ms_fleet_router *router, ms_time now)
{
  return ms_fleet_alive (router, now) && router->ready && !router->leaving;
}

void
ms_fleet_own (struct ms_fleet *fleet, unsigned capacity, unsigned rate)
{
  fleet->capacity = capacity;
  fleet->rate = rate;
}

bool
ms_fleet_crowded (const struct ms_fleet *fleet, ms_time now)
{
  double capacity = fleet->capacity;
  double rate = fleet->rate;

  if (fleet->rate < CROWDED_LEAST || !fleet->capacity)
    return false;
  for (unsigned i = 0; i < fleet->count; i++)
    {
      const struct ms_fleet_router *r = &fleet->routers[i];

      if (r->zone != fleet->self.zone || !takes_callers (r, now))
        continue;
      capacity += r->capacity;
      rate += r->rate;
    }
  return fleet->rate * capacity > CROWDED_FACTOR * fleet->capacity * rate;
}

/* A router that callers may be sent to; the lowest keys are drawn.  */
struct candidate
{
  struct in_addr ip;
  double key;
};

static int
by_key (const void *left, const void *right)
{
  double a = ((const struct candidate *)left)->key;
  double b = ((const struct candidate *)right)->key;

  return (a > b) - (a < b);
}

/* A key that is the lower the more likely, the greater the capacity.  */
static double
draw_key (struct ms_fleet *fleet, unsigned capacity)
{
  double chance
      = ((double)ms_random_below (&fleet->random, DRAWS) + 1) / DRAWS;

  return -log (chance) / (capacity ? capacity : 1);
}

static unsigned
collect (struct ms_fleet *fleet, uint64_t zone, bool ready, ms_time now,
         struct candidate *candidates)
{
  unsigned count = 0;

  if (ready && (!zone || fleet->self.zone == zone))
    candidates[count++]
        = (struct candidate){ address_of (&fleet->self),
                              draw_key (fleet, fleet->capacity) };
  for (unsigned i = 0; i < fleet->count; i++)
    {
      const struct ms_fleet_router *r = &fleet->routers[i];

      if (takes_callers (r, now) && (!zone || r->zone == zone))
        candidates[count++]
            = (struct candidate){ r->ip, draw_key (fleet, r->capacity) };
    }
  return count;
}

unsigned
ms_fleet_addresses (struct ms_fleet *fleet, uint64_t zone, bool ready,
                    ms_time now, struct in_addr *addresses, unsigned space)
{
  static struct candidate candidates[MAX_ROUTERS + 1];
  unsigned count = collect (fleet, zone, ready, now, candidates);
  unsigned drawn;

  if (count < 2)
    count = collect (fleet, 0, ready, now, candidates);
  if (!count)
    candidates[count++].ip = address_of (&fleet->self);
  qsort (candidates, count, sizeof *candidates, by_key);
  drawn = count > DRAWN_ABOVE ? (count + 1) / 2 : count;
  if (drawn > space)
    drawn = space;
  for (unsigned i = 0; i < drawn; i++)
    addresses[i] = candidates[i].ip;
  return drawn;
}

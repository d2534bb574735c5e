#include "fleet/internal.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdlib.h>

/* The directory: which routers a caller is referred to.  Callers keep to the
   routers of their own availability zone while these have room.  The more of
   their processor time is used, the more callers are referred to other zones,
   so that the routers of a zone with many callers do not refuse them while
   those of others are idle.  */

/* Weight of a router of another zone, compared with one of the same capacity
   in the caller's zone, while that zone's use is at most NEAR_USE, a fraction
   of its capacity.  It rises to 1 at FAR_USE.  */
#define MIN_OTHER_WEIGHT 0.1
#define NEAR_USE 0.2
#define FAR_USE 0.5

/* Weight that a router of another zone gains, relative to its room, if all
   requests of the caller's zone had to be sent to that zone's endpoints.  The
   requests of callers that were referred elsewhere are missing in the fraction
   later, so this is well below what would follow the fraction exactly: callers
   keep their addresses for seconds, and would come and go together.  */
#define NEED_WEIGHT 0.5

/* A zone's weight falls with its use, and to this at most.  */
#define MIN_ROOM 0.05

/* A caller gets as many addresses as its zone has routers, of more than this
   number half of them.  */
#define FULL_LIST_MAX 6

/* Resolution of the random numbers for the choice.  */
#define RANDOM_STEPS 1000000

/* A router that a caller may be referred to; those with the lowest keys are
   chosen.  */
struct candidate
{
  struct in_addr ip;
  double key;
};

/* What the directory needs to know of a zone.  */
struct zone_weight
{
  uint64_t zone;
  double weight;
};

static int
compare_key (const void *left, const void *right)
{
  double a = ((const struct candidate *)left)->key;
  double b = ((const struct candidate *)right)->key;

  return (a > b) - (a < b);
}

/* Return a random key with exponential distribution of rate WEIGHT.  Choosing
   the lowest keys draws routers without replacement, weighted.  */
static double
sampling_key (struct ms_fleet *fleet, double weight)
{
  double chance = ((double)ms_random_below (&fleet->random, RANDOM_STEPS) + 1)
                  / RANDOM_STEPS;

  return -log (chance) / weight;
}

double
ms_fleet_zone_use (const struct ms_fleet *fleet, uint64_t zone, ms_time now)
{
  bool own = zone == fleet->self.zone;
  double capacity = own ? fleet->capacity : 0;
  double used = own ? fleet->used : 0;

  for (unsigned i = 0; i < fleet->zones_count; i++)
    {
      const struct ms_fleet_zone *z = &fleet->zones[i];

      if (z->id == zone && z->capacity
          && now - z->heard <= MS_ROUTER_SILENT_TIME)
        return (double)z->used / z->capacity;
    }
  for (unsigned i = 0; i < fleet->count; i++)
    {
      const struct ms_fleet_router *r = &fleet->routers[i];

      if (r->zone != zone || !ms_takes_callers (r, now))
        continue;
      capacity += r->capacity;
      used += r->used;
    }
  return capacity > 0 ? used / capacity : -1;
}

double
ms_directory_weight (double own_use, double use, bool own)
{
  double room = 1 - (use > 0 ? use : 0);
  double away = (own_use - NEAR_USE) / (FAR_USE - NEAR_USE);

  if (room < MIN_ROOM)
    room = MIN_ROOM;
  if (own)
    return room;
  if (away < 0)
    away = 0;
  if (away > 1)
    away = 1;
  return room * (MIN_OTHER_WEIGHT + (1 - MIN_OTHER_WEIGHT) * away);
}

double
ms_directory_need_weight (double weight, double use, double fraction)
{
  double room = fmax (1 - fmax (use, 0), MIN_ROOM);

  return fmin (weight + NEED_WEIGHT * fraction * room, fmax (weight, room));
}

void
ms_fleet_set_zone_need (struct ms_fleet *fleet, uint64_t zone, double fraction)
{
  unsigned i = 0;

  while (i < fleet->needs_count && fleet->needs[i].zone != zone)
    i++;
  if (i == DIGEST_ZONES)
    return;
  if (i == fleet->needs_count)
    fleet->needs_count++;
  fleet->needs[i] = (struct ms_zone_need){ zone, fraction };
}

/* Return the part of the requests of CALLER_ZONE that need the endpoints of
   ZONE.  This router knows it for its own zone only.  */
static double
zone_need (const struct ms_fleet *fleet, uint64_t zone, uint64_t caller_zone)
{
  for (unsigned i = 0;
       caller_zone == fleet->self.zone && i < fleet->needs_count; i++)
    if (fleet->needs[i].zone == zone)
      return fleet->needs[i].fraction;
  return 0;
}

/* Return the weight of the routers of ZONE for a caller of CALLER_ZONE, 0 if
   it named none.  WEIGHTS holds those that were computed before.  */
static double
zone_weight (const struct ms_fleet *fleet, uint64_t zone, uint64_t caller_zone,
             struct zone_weight *weights, unsigned *count, ms_time now)
{
  struct zone_weight *w;

  for (unsigned i = 0; i < *count; i++)
    if (weights[i].zone == zone)
      return weights[i].weight;
  if (*count == DIGEST_ZONES)
    return 1;
  w = &weights[(*count)++];
  w->zone = zone;
  w->weight = ms_directory_weight (ms_fleet_zone_use (fleet, caller_zone, now),
                                   ms_fleet_zone_use (fleet, zone, now),
                                   !caller_zone || zone == caller_zone);
  w->weight = ms_directory_need_weight (w->weight,
                                        ms_fleet_zone_use (fleet, zone, now),
                                        zone_need (fleet, zone, caller_zone));
  return w->weight;
}

unsigned
ms_fleet_addresses (struct ms_fleet *fleet, uint64_t zone, bool ready,
                    ms_time now, struct in_addr *addresses, unsigned space)
{
  static struct candidate candidates[MS_MAX_FLEET_ROUTERS + 1];
  struct zone_weight weights[DIGEST_ZONES];
  unsigned weights_count = 0;
  unsigned count = 0;
  unsigned own = 0;
  unsigned wanted;

  if (ready)
    {
      double weight = zone_weight (fleet, fleet->self.zone, zone, weights,
                                   &weights_count, now);

      own += !zone || fleet->self.zone == zone;
      candidates[count++] = (struct candidate){
        ms_member_address (&fleet->self),
        sampling_key (fleet, weight * (fleet->capacity ? fleet->capacity : 1))
      };
    }
  for (unsigned i = 0; i < fleet->count; i++)
    {
      const struct ms_fleet_router *r = &fleet->routers[i];

      if (!ms_takes_callers (r, now))
        continue;
      own += !zone || r->zone == zone;
      candidates[count++] = (struct candidate){
        r->ip, sampling_key (fleet, zone_weight (fleet, r->zone, zone, weights,
                                                 &weights_count, now)
                                        * (r->capacity ? r->capacity : 1))
      };
    }
  if (!count)
    candidates[count++].ip = ms_member_address (&fleet->self);
  qsort (candidates, count, sizeof *candidates, compare_key);
  /* With fewer than two routers in its zone a caller gets those of all.  */
  wanted = own < 2 ? count : own;
  if (wanted > FULL_LIST_MAX)
    wanted = (wanted + 1) / 2;
  if (wanted > space)
    wanted = space;
  for (unsigned i = 0; i < wanted; i++)
    addresses[i] = candidates[i].ip;
  return wanted;
}

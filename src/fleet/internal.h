#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

#include "fleet/fleet.h"

/* Up to so many routers tell each other everything themselves; in a larger
   fleet the readers of a zone sum it up for the other zones.  */
#define MS_SMALL_FLEET 16

/* Routers of a zone that read the store, so that one may be lost.  */
#define MS_READERS 2

struct ms_fleet
{
  digest_member self;
  unsigned sequence;
  unsigned capacity;
  unsigned rate;
  struct ms_random random;
  struct ms_fleet_router *routers; /* By id.  */
  unsigned count;
  unsigned space;
  unsigned next_target;
  unsigned next_member;
  struct ms_fleet_zone zones[DIGEST_ZONES];
  unsigned zones_count;
};

/* How many live routers of the zone of ID become readers before it.  */
unsigned ms_readers_before (const struct ms_fleet *fleet, uint64_t id,
                            uint64_t zone, ms_time now);

/* Take over what others say of their zones.  */
void ms_zones_receive (struct ms_fleet *fleet, struct fleet_digest *digest,
                       ms_time now);

/* A router is told of by one that heard it.  */
void ms_fleet_told (struct ms_fleet *fleet, const digest_member *member,
                    ms_time now);

void ms_zones_free (struct ms_fleet *fleet);

#endif

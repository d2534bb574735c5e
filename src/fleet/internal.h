#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

#include "fleet/fleet.h"

/* Declarations shared by the files of this folder only.  */

/* Up to this many routers each send their digest to all others; in a larger
   fleet the readers of a zone send zone sums to the other zones.  */
#define MS_SMALL_FLEET_MAX 16

/* Readers of each zone; two, so that zone sums go on when one fails.  The
   first one reads the store: when it fails, the others, whose relays fail
   then, read for themselves until the next one takes its place.  */
#define MS_READERS_PER_ZONE 2

/* Most routers that are known besides this one.  */
#define MS_MAX_FLEET_ROUTERS 1024

struct ms_fleet
{
  digest_member self;
  ms_time started;
  ms_time news_at;    /* When a router or a start of one was last learned.  */
  bool members_known; /* The members were read from the store.  */
  unsigned sequence;  /* Of the last digest sent.  */
  unsigned capacity;  /* Thousandths of a CPU core.  */
  unsigned used;      /* Of them.  */
  unsigned rate;      /* Requests in the last ten seconds.  */
  struct ms_random random;
  struct ms_fleet_router *routers; /* Without this one, by id.  */
  unsigned count;
  unsigned space;       /* Elements allocated for routers.  */
  unsigned next_target; /* Index of the next router to send a digest to.  */
  unsigned next_member; /* Next router to mention in a digest, modulo count. */
  struct ms_fleet_zone zones[DIGEST_ZONES];
  unsigned zones_count;
};

/* Return how many other routers of ZONE come before its router ID in the order
   in which routers become readers.  Routers that are silent or leaving are not
   counted, except this router itself.  */
unsigned ms_readers_before (const struct ms_fleet *fleet, uint64_t id,
                            uint64_t zone, ms_time now);

/* Take the zone sums of other zones out of DIGEST where they are newer than
   the known ones.  */
void ms_zones_receive (struct ms_fleet *fleet, struct fleet_digest *digest,
                       ms_time now);

/* The zone sums of another zone name MEMBER as alive and ready.  CAPACITY is 0
   if they do not tell it.  */
void ms_fleet_mark_alive (struct ms_fleet *fleet, const digest_member *member,
                          unsigned capacity, ms_time now);

/* Return whether callers may be referred to ROUTER.  */
bool ms_takes_callers (const struct ms_fleet_router *router, ms_time now);

struct in_addr ms_member_address (const digest_member *member);

void ms_zones_free (struct ms_fleet *fleet);

#endif

#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/random.h"
#include "base/str.h"
#include "fleet/digest.h"

/* Which routers there are and what they say of themselves.  Routers learn of
   each other from the store's records, from seeds and from digests, which each
   sends to the others several times a second.  No socket, no clock.  */

struct ms_fleet;

struct ms_fleet_router
{
  uint64_t id;
  uint64_t incarnation;
  uint64_t zone;
  struct in_addr ip;
  bool ready;
  bool leaving;
  unsigned capacity; /* Thousandths of a core.  */
  unsigned rate;     /* Requests in ten seconds.  */
  unsigned sequence;
  ms_time heard;   /* Last digest; 0 if none yet.  */
  ms_time learned; /* When it was first told of.  */
  digest_load *loads;
  unsigned loads_count;
  digest_team *teams;
  unsigned teams_count;
};

/* Without a digest for so long a router is taken for gone, and after the
   second time forgotten.  */
#define MS_ROUTER_SILENT (1000 * MS_MSEC)
#define MS_ROUTER_FORGOTTEN (60 * MS_SEC)

struct ms_fleet *ms_fleet_create (uint64_t id, uint64_t incarnation,
                                  uint64_t zone, struct in_addr ip,
                                  uint64_t random_seed);
void ms_fleet_destroy (struct ms_fleet *fleet);

/* Someone tells of a router.  */
void ms_fleet_learn (struct ms_fleet *fleet, uint64_t id, uint64_t incarnation,
                     uint64_t zone, struct in_addr ip, ms_time now);

/* A digest came.  Returns false if it is old or the router's own.  The fleet
   takes over the loads and teams in DIGEST.  */
bool ms_fleet_receive (struct ms_fleet *fleet, struct fleet_digest *digest,
                       ms_time now);

/* What the routers of another zone have in all.  */
struct ms_fleet_zone
{
  uint64_t id;
  uint64_t author; /* The router that summed it up.  */
  unsigned sequence;
  ms_time heard;
  digest_load *loads;
  unsigned loads_count;
  digest_team *teams;
  unsigned teams_count;
  digest_member *ready;
  unsigned ready_count;
};

/* Whether the fleet is so large that routers of other zones are known by their
   zone's sums only.  */
bool ms_fleet_large (const struct ms_fleet *fleet);

/* The other zones that were told of.  */
const struct ms_fleet_zone *ms_fleet_zones (const struct ms_fleet *fleet,
                                            unsigned *count);

/* Put what is known of other zones into DIGEST, for the routers of the own
   zone; ZONES has room for DIGEST_ZONES.  */
void ms_fleet_tell_zones (const struct ms_fleet *fleet,
                          struct fleet_digest *digest, digest_zone *zones,
                          ms_time now);

/* Room for the sums of a zone.  */
struct ms_zone_sums
{
  digest_load loads[DIGEST_LOADS];
  digest_team teams[DIGEST_TEAMS];
  digest_member ready[DIGEST_MEMBERS];
};

/* Sum up the own zone into ZONE, with OWN for this router's part.  */
void ms_fleet_sum_zone (const struct ms_fleet *fleet,
                        const struct fleet_digest *own,
                        struct ms_zone_sums *sums, digest_zone *zone,
                        ms_time now);

/* The readers of other zones, which the sums go to.  */
unsigned ms_fleet_readers (struct ms_fleet *fleet, ms_time now,
                           struct in_addr *targets, unsigned space);

/* Fill in DIGEST's sender and members; MEMBERS has room for DIGEST_MEMBERS. */
void ms_fleet_describe (struct ms_fleet *fleet, struct fleet_digest *digest,
                        digest_member *members);

/* The routers to send a digest to, up to SPACE: all, or in a large fleet those
   of the own zone.  Returns the number.  */
unsigned ms_fleet_targets (struct ms_fleet *fleet, ms_time now,
                           struct in_addr *targets, unsigned space);

/* Forget routers that were silent for long.  */
void ms_fleet_tick (struct ms_fleet *fleet, ms_time now);

/* Whether this router reads the store itself.  In each zone the first few
   routers, in an order of their ids, do; they relay to the others.  */
bool ms_fleet_reads_store (const struct ms_fleet *fleet, ms_time now);

/* A router to ask for what the store holds: one of those in the zone that read
   it, or any.  NULL if none was heard of lately.  */
const struct ms_fleet_router *ms_fleet_source (struct ms_fleet *fleet,
                                               ms_time now);

/* Whether the router was heard of lately.  */
bool ms_fleet_alive (const struct ms_fleet_router *router, ms_time now);

/* Routers that were heard of lately, this one included.  */
unsigned ms_fleet_alive_count (const struct ms_fleet *fleet, ms_time now);

/* The other routers, in the order of their ids.  */
const struct ms_fleet_router *ms_fleet_routers (const struct ms_fleet *fleet,
                                                unsigned *count);

/* Tell the fleet what this router has itself.  */
void ms_fleet_own (struct ms_fleet *fleet, unsigned capacity, unsigned rate);

/* Whether this router gets far more requests for its capacity than those of
   its zone do in the mean, so that callers had better connect anew.  */
bool ms_fleet_crowded (const struct ms_fleet *fleet, ms_time now);

/* Addresses of the routers that callers in ZONE should use, this one included
   if READY: those of the zone where at least two are ready, else all ready
   ones, else this one.  Of many, some are drawn, by their capacity.  Returns
   the number, at most SPACE.  */
unsigned ms_fleet_addresses (struct ms_fleet *fleet, uint64_t zone, bool ready,
                             ms_time now, struct in_addr *addresses,
                             unsigned space);

/* Encode DIGEST; returns the length, 0 if it exceeds SIZE.  */
unsigned ms_digest_encode (const struct fleet_digest *digest, char *data,
                           size_t size);
bool ms_digest_decode (const char *data, size_t length,
                       struct fleet_digest *digest);
void ms_digest_free (struct fleet_digest *digest);

#endif

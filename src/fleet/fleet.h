#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/random.h"
#include "base/str.h"
#include "fleet/digest.h"
#include "fleet/engines.h"
#include "fleet/rollouts.h"

/* Membership of the fleet: which routers exist, which of them are alive, and
   the load that they report.  Routers learn of each other from records in the
   store, a service outside the fleet that keeps topics of records, from the
   seeds in the settings, and from digests: UDP datagrams that each router
   sends to the others several times per second.  So that messages do not grow
   with the square of the number of routers, routers of a large fleet send
   digests within their availability zone only, and two routers of each zone,
   its readers, add up zone sums, which they exchange with the readers of other
   zones.  The readers also read the store and relay its contents to the
   others.

   The module opens no socket and reads no clock: it only composes what the
   user of this module sends, and the time is passed as NOW.  It takes no
   locks; all calls come from one thread.  Identifiers of routers and zones are
   ms_id hashes of their names.  Times are in microseconds (ms_time).  */

struct ms_fleet;

struct ms_fleet_router
{
  uint64_t id;
  uint64_t incarnation; /* Start of the router, Unix microseconds.  */
  uint64_t zone;
  struct in_addr ip;
  bool ready;         /* It accepts callers.  */
  bool leaving;       /* It is about to end.  */
  unsigned capacity;  /* Thousandths of a CPU core.  */
  unsigned used;      /* Of them.  */
  unsigned rate;      /* Requests in the last ten seconds.  */
  unsigned level;     /* Its share level, in cost units per second; 0 if it has
                         none.  */
  unsigned sequence;  /* Of the last digest.  */
  ms_time heard;      /* Time of its last digest, or of the last zone sums that
                         name it as ready; 0 if none yet.  */
  ms_time learned;    /* When this incarnation was first mentioned.  */
  digest_load *loads; /* Its work at each endpoint.  */
  unsigned loads_count;
  digest_team *teams; /* Demand of its callers by team.  */
  unsigned teams_count;
  digest_rate *rates; /* Its requests to endpoints that name a limit.  */
  unsigned rates_count;
  digest_demand *demands; /* Demand of its callers by service.  */
  unsigned demands_count;
  struct ms_rollout_report *rollouts; /* What it reports of orders.  */
  unsigned rollouts_count;
  struct ms_engine_list *engines; /* Of speeds; NULL if nothing.  */
};

/* A router that was not heard for MS_ROUTER_SILENT_TIME gets no callers and no
   calls.  It may be cut off from this router only, so limits of the whole
   fleet leave its share to it for MS_ROUTER_SHARE_TIME, which is longer than
   regions lose each other.  */
#define MS_ROUTER_SILENT_TIME (1000 * MS_MSEC)
#define MS_ROUTER_SHARE_TIME (600 * MS_SEC)

/* What a router or zone has last reported of its requests and of the limits
   that endpoints name counts for this long, since it may still be sending.  */
#define MS_FLOW_REPORT_TIME (6 * MS_SEC)

/* Create the fleet as seen by router ID at address IP in ZONE, which starts at
   NOW and knows no other router yet.  INCARNATION must be higher at each start
   of the router.  */
struct ms_fleet *ms_fleet_create (uint64_t id, uint64_t incarnation,
                                  uint64_t zone, struct in_addr ip,
                                  uint64_t random_seed, ms_time now);
void ms_fleet_destroy (struct ms_fleet *fleet);

/* A record of the store or another router mentions router ID.  Adds it, or
   updates it if INCARNATION is higher than the known one.  This alone does not
   make it count as alive.  If 1024 routers are known, a new one replaces one
   whose share has ended, or else is ignored.  */
void ms_fleet_learn (struct ms_fleet *fleet, uint64_t id, uint64_t incarnation,
                     uint64_t zone, struct in_addr ip, ms_time now);

/* Return whether the record of router ID in the store may be removed: this
   router has run for MS_ROUTER_SHARE_TIME, has not heard that router or of a
   new start of it for as long, and INCARNATION, that of the record, is the
   latest known.  */
bool ms_fleet_is_gone (const struct ms_fleet *fleet, uint64_t id,
                       uint64_t incarnation, ms_time now);

/* All routers that have a record in the store were learned.  */
void ms_fleet_note_members (struct ms_fleet *fleet);

/* A digest arrived.  Returns false, without using the sender's state in it, if
   it is not newer than the sender's last one or the sender cannot be added;
   the members and zone sums in it are used nevertheless.  Returns false and
   uses nothing if it is this router's own.  Takes the arrays that it keeps out
   of DIGEST, which must be freed with ms_digest_free afterwards.  */
bool ms_fleet_receive (struct ms_fleet *fleet, struct fleet_digest *digest,
                       ms_time now);

/* Zone sums of another zone, over its live routers.  */
struct ms_fleet_zone
{
  uint64_t id;
  uint64_t author;   /* The router that computed the sums.  */
  unsigned sequence; /* Of the author's digest.  */
  ms_time heard;     /* When the sums arrived.  */
  digest_load *loads;
  unsigned loads_count;
  digest_load *more_loads; /* At other endpoints.  */
  unsigned more_loads_count;
  digest_team *teams;
  unsigned teams_count;
  digest_rate *rates;
  unsigned rates_count;
  digest_demand *demands;
  unsigned demands_count;
  digest_member *ready; /* Routers that accept callers.  */
  unsigned ready_count;
  /* Of the routers that accept callers, in thousandths of a CPU core; 0 if it
     is not known, and of each in READY, if CAPACITIES_COUNT is not 0.  */
  unsigned capacity;
  unsigned used;
  unsigned routers; /* Live ones, and the harmonic mean of their levels.  */
  unsigned level;
  unsigned *capacities;
  unsigned capacities_count;
  /* What its routers report of orders, added up; NULL if there was none.  It
     may come without the rest.  */
  struct ms_rollout_report *rollouts;
  unsigned rollouts_count;
  uint64_t rollouts_author;
  unsigned rollouts_sequence;
  ms_time rollouts_heard;
  /* The same of the speed of endpoints.  */
  struct ms_engine_list *engines;
  uint64_t engines_author;
  unsigned engines_sequence;
  ms_time engines_heard;
};

/* Return whether the fleet is so large (more than 16 routers, heard or not)
   that routers of other zones are known only by their zone sums.  */
bool ms_fleet_large (const struct ms_fleet *fleet, ms_time now);

/* Return the other zones whose zone sums have arrived, however long ago, and
   their number in COUNT; owned by FLEET and valid until its next change.  */
const struct ms_fleet_zone *ms_fleet_zones (const struct ms_fleet *fleet,
                                            unsigned *count);

/* Put the zone sums of other zones that arrived within MS_ROUTER_SILENT_TIME
   into DIGEST, to pass them on to the routers of this zone; none if this is
   the second reader and not its turn.  DIGEST points to LIST and to data of
   FLEET afterwards.  */
struct ms_zone_list
{
  digest_zone zones[DIGEST_ZONES];
  digest_room rooms[DIGEST_ZONES];
  digest_flow flows[DIGEST_ZONES];
  digest_zone_rollouts zone_rollouts[DIGEST_ZONES];
  struct ms_rollout_list rollouts[DIGEST_ZONES];
  digest_zone_engines zone_engines[DIGEST_ZONES];
};
void ms_fleet_put_zone_sums (const struct ms_fleet *fleet,
                             struct fleet_digest *digest,
                             struct ms_zone_list *list, ms_time now);

/* The zone sums of this zone.  ZONE, ROOM, FLOW, ROLLOUTS and ENGINES point to
   the arrays.  */
struct ms_zone_sums
{
  digest_zone zone;
  digest_room room;
  digest_flow flow;
  digest_zone_rollouts rollouts;
  digest_zone_engines engines;
  struct ms_engine_list engine_list;
  digest_load loads[DIGEST_LOADS];
  digest_load more_loads[DIGEST_MORE_LOADS];
  digest_team teams[DIGEST_TEAMS];
  digest_member ready[DIGEST_MEMBERS];
  u_int capacities[DIGEST_MEMBERS];
  digest_rate rates[DIGEST_RATES];
  digest_demand demands[DIGEST_DEMANDS];
  struct ms_rollout_list rollout_list;
};

/* Fill SUMS with the zone sums of this zone, over its live routers; what they
   report of orders also over those that are silent, since they may go on.  OWN
   is the digest of this router itself.  Entries beyond the sizes of the arrays
   are left out.  */
void ms_fleet_sum_zone (const struct ms_fleet *fleet,
                        const struct fleet_digest *own,
                        struct ms_zone_sums *sums, ms_time now);

/* Fill TARGETS with up to SPACE addresses of readers of other zones, to which
   the zone sums of this zone are sent now: the first reader sends them to the
   first ones, the second sometimes to the second ones; of a zone without live
   routers, those of a few routers chosen at random.  Returns the number.  */
unsigned ms_fleet_other_readers (struct ms_fleet *fleet, ms_time now,
                                 struct in_addr *targets, unsigned space);

/* Fill in the sender, the next sequence number, capacity and rate of DIGEST,
   and as members up to eight of the routers that were heard within
   MS_ROUTER_SHARE_TIME, by turns; only one if no router has started lately.
   MEMBERS has DIGEST_MEMBERS elements; DIGEST points to it afterwards.  */
void ms_fleet_fill_digest (struct ms_fleet *fleet, struct fleet_digest *digest,
                           digest_member *members, ms_time now);

/* Fill TARGETS with up to SPACE addresses of routers to send a digest to now:
   all routers, those of other zones every second time, or in a large fleet
   those of this zone; silent ones only one time in eight, and one time in 512
   once their share has ended.  If there are more than 64, they take turns.
   Returns the number.  */
unsigned ms_fleet_targets (struct ms_fleet *fleet, ms_time now,
                           struct in_addr *targets, unsigned space);

/* Free the reports of routers whose share has ended.  */
void ms_fleet_tick (struct ms_fleet *fleet, ms_time now);

/* Return whether this router is a reader of its zone, that is, exchanges zone
   sums with other zones.  The readers are the first two routers of the zone,
   in an order by hashes of their identifiers, that are alive and not leaving.
   Of itself a router does not check whether it is leaving, so it may stay a
   reader until it ends.  */
bool ms_fleet_sums_zone (const struct ms_fleet *fleet, ms_time now);

/* Return whether this router is the first reader of its zone, which reads the
   store itself and relays it to the others.  */
bool ms_fleet_reads_store (const struct ms_fleet *fleet, ms_time now);

/* Set *IP to the address of the first reader of this zone.  Return false if
   that is this router.  */
bool ms_fleet_first_reader (const struct ms_fleet *fleet, ms_time now,
                            struct in_addr *ip);

/* Fill in the sender of DIGEST and the sequence number of its last digest:
   such a digest between two others is not taken for the sender's state.  */
void ms_fleet_fill_notice (const struct ms_fleet *fleet,
                           struct fleet_digest *digest);

/* Return a router to ask for the store's contents, chosen at random among
   those that are alive and not leaving: a reader of this zone, but another
   router one time in eight or if there is no such reader; NULL if there is
   neither.  Owned by FLEET.  */
const struct ms_fleet_router *ms_fleet_relay_source (struct ms_fleet *fleet,
                                                     ms_time now);

/* Return whether ROUTER was heard within MS_ROUTER_SILENT_TIME: it sent a
   digest, or zone sums that arrived name it as ready.  */
bool ms_fleet_alive (const struct ms_fleet_router *router, ms_time now);

/* Return whether at least half of the other routers that were alive at SINCE,
   or are now, were heard later than that.  False if there is none.  */
bool ms_fleet_heard_since (const struct ms_fleet *fleet, ms_time since);

/* Return the number of live routers, this one included.  */
unsigned ms_fleet_alive_count (const struct ms_fleet *fleet, ms_time now);

/* Fill IDS with up to SPACE identifiers of the routers, this one included,
   among which limits of the whole fleet are divided: all that may be sending,
   heard or not.  Returns the number, or 0 while this router cannot know them
   or the others may not count it yet: it must not use those limits then.  */
unsigned ms_fleet_sharers (const struct ms_fleet *fleet, ms_time now,
                           uint64_t *ids, unsigned space);

/* Return the other known routers, alive or not, in the order of their
   identifiers, and their number in COUNT; owned by FLEET and valid until its
   next change.  */
const struct ms_fleet_router *ms_fleet_routers (const struct ms_fleet *fleet,
                                                unsigned *count);

/* Return the harmonic mean of the share levels that the other live routers
   have reported, in cost units per second; 0 if it is not limited, or none is
   known.  Set *COUNT to the number of these routers.  */
double ms_fleet_mean_level (const struct ms_fleet *fleet, ms_time now,
                            unsigned *count);

/* Set what this router reports of itself: CAPACITY and the part USED of it in
   thousandths of a CPU core, RATE as the requests in the last ten seconds.  */
void ms_fleet_set_load (struct ms_fleet *fleet, unsigned capacity,
                        unsigned used, unsigned rate);

/* Return whether this router gets more than twice as many requests for its
   capacity as the routers of its zone do on average, so that callers should
   connect again, to another router.  */
bool ms_fleet_crowded (const struct ms_fleet *fleet, ms_time now);

/* Return the fraction of its processor time, 0 to 1, that is used by the
   routers of ZONE that accept callers; below 0 if it is not known.  */
double ms_fleet_zone_use (const struct ms_fleet *fleet, uint64_t zone,
                          ms_time now);

/* Return the weight of a router in the directory, to be multiplied by its
   capacity: of one in the caller's own zone if OWN, whose use, as of
   ms_fleet_zone_use, is OWN_USE, or else of one in a zone with use USE.  */
double ms_directory_weight (double own_use, double use, bool own);

/* The endpoints of this zone are so short that FRACTION, 0 to 1, of its
   requests are sent to those of ZONE; the directory refers its callers there
   accordingly.  Until this is called it is 0.  */
void ms_fleet_set_zone_need (struct ms_fleet *fleet, uint64_t zone,
                             double fraction);

/* Return the weight of a router of another zone in the directory, which is
   WEIGHT by the use of processor time as of ms_directory_weight, if the
   endpoints of the caller's zone are so short that FRACTION of its requests
   are sent to those of the router's zone.  USE is that of the router's zone.
 */
double ms_directory_need_weight (double weight, double use, double fraction);

/* Fill ADDRESSES with up to SPACE addresses of routers that a caller in ZONE
   (0 for any) should use, drawn at random from the ready ones by
   ms_directory_weight: as many as the zone has, of more than six half of them;
   of all zones if it has less than two; this router alone if none is ready.
   READY says whether this router is ready.  Returns the number.  */
unsigned ms_fleet_addresses (struct ms_fleet *fleet, uint64_t zone, bool ready,
                             ms_time now, struct in_addr *addresses,
                             unsigned space);

/* Encode DIGEST as XDR into the SIZE bytes at DATA.  Returns the length, or 0
   if it does not fit.  */
unsigned ms_digest_encode (const struct fleet_digest *digest, char *data,
                           size_t size);

/* Decode the LENGTH bytes at DATA into DIGEST, whose arrays are allocated;
   free them with ms_digest_free.  Returns false, with nothing to free, if the
   bytes are no digest.  */
bool ms_digest_decode (const char *data, size_t length,
                       struct fleet_digest *digest);
void ms_digest_free (struct fleet_digest *digest);

#endif

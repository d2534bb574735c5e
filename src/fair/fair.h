#ifndef FAIR_FAIR_H
#define FAIR_FAIR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "config/config.h"

/* Fair sharing of one service among teams: accounts of what each team has
   received over the whole fleet, in cost units, and the policies that choose
   which waiting team gets the next slot.

   A team's counter is what it was charged, divided by its weight: by this
   router, by the other routers and by ended incarnations of routers.  The
   charges of the other routers are those in the last totals that they shared
   and a prediction of those since.  When a team waits again after a pause, its
   counter is raised to the lowest one of the waiting teams: otherwise it would
   be served before all others until it had caught up with them.

   Not thread-safe; the caller serializes all calls on one ms_fair.  */

struct ms_fair;

/* A team that waits for a slot.  */
struct ms_candidate
{
  uint64_t team;
  ms_time waiting_since; /* Of its oldest demand.  */
};

/* A way to choose the team to serve next.  PICK returns the index of the
   chosen one of COUNT CANDIDATES, of which there is at least one.  */
struct ms_policy
{
  const char *name;
  size_t (*pick) (struct ms_fair *fair, const struct ms_candidate *candidates,
                  size_t count);
};

/* The policy called NAME; statically allocated.  */
const struct ms_policy *ms_policy (enum ms_policy_name name);

/* Create empty accounts for router SELF in its current INCARNATION.  */
struct ms_fair *ms_fair_create (uint64_t self, uint64_t incarnation);

/* Free FAIR, which may be NULL.  */
void ms_fair_destroy (struct ms_fair *fair);

/* Set the WEIGHT of TEAM; 0 is taken as 1, which is also the default.  */
void ms_fair_set_weight (struct ms_fair *fair, uint64_t team, uint32_t weight);

/* Record that TEAM waits at NOW, and raise its counter if it had paused.  Call
   this before each choice that TEAM is a candidate of.  */
void ms_fair_note_waiting (struct ms_fair *fair, uint64_t team, ms_time now);

/* Charge UNITS to TEAM.  Negative UNITS correct an earlier charge.  */
void ms_fair_charge (struct ms_fair *fair, uint64_t team, int64_t units);

/* Mark the current charges.  The charges of this router since the mark before
   the last are taken as recent: the other routers may not know of them yet,
   and each other router is predicted to have charged as much since its last
   totals.  So call this twice in the time that totals take to reach all
   routers.  */
void ms_fair_mark (struct ms_fair *fair);

/* The counter of TEAM, in cost units divided by its weight.  */
double ms_fair_counter (struct ms_fair *fair, uint64_t team);

/* Expected cost of a request of TEAM: the mean of the team or else of all
   teams, as far as known, or else the caller's HINT if not 0, or else a
   default.  */
uint32_t ms_fair_estimate (struct ms_fair *fair, uint64_t team, uint32_t hint);

/* Update the mean costs by the true COST of a request of TEAM.  */
void ms_fair_learn (struct ms_fair *fair, uint64_t team, uint32_t cost);

/* What one router has charged to one team since the router started, or what
   all ended incarnations of routers have charged to it.  */
struct ms_total
{
  uint64_t team;
  int64_t units;
};

/* Take over COUNT TOTALS of router OWNER_ID's INCARNATION, which sent them at
   SENT_AT on its clock.  Totals that are older than the known ones, or of an
   earlier incarnation than them, are ignored.  OWNER_ID 0 stands for all ended
   incarnations; then the totals replace the known ones.  Totals of an earlier
   incarnation of this router are added to those of ended incarnations.  */
void ms_fair_merge (struct ms_fair *fair, uint64_t owner_id,
                    uint64_t incarnation, ms_time sent_at,
                    const struct ms_total *totals, size_t count);

/* Copy this router's own totals, of teams that waited recently or were charged
   since the mark before the last, to TOTALS, which has SPACE items.  Return
   the number of totals copied.  */
size_t ms_fair_own_totals (struct ms_fair *fair, ms_time now,
                           struct ms_total *totals, size_t space);

/* Copy the known totals of router OWNER_ID, or with OWNER_ID 0 those of ended
   incarnations, to TOTALS, which has SPACE items.  Set *INCARNATION and
   *SENT_AT to those of the newest totals, or to 0 if there is no such router.
   Return the number of totals copied, which is 0 if the router is unknown.  */
size_t ms_fair_owner_totals (struct ms_fair *fair, uint64_t owner_id,
                             uint64_t *incarnation, ms_time *sent_at,
                             struct ms_total *totals, size_t space);

/* Copy the identifiers of the other routers whose totals are known to OWNERS,
   which has SPACE items.  Return the number of identifiers copied.  */
size_t ms_fair_owners (struct ms_fair *fair, uint64_t *owners, size_t space);

/* Bytes of memory that FAIR uses, approximately.  */
size_t ms_fair_bytes (const struct ms_fair *fair);

#endif

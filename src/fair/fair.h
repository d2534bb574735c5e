#ifndef FAIR_FAIR_H
#define FAIR_FAIR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "config/config.h"

/* Service received by each team of one service, over the whole fleet, and
   the policies that choose whom to serve next.

   A team's counter is the sum of what this router charged, what each other
   router last shared of its own charges, and what ended incarnations left,
   divided by the team's weight.  A team that comes back after a pause is
   lifted to the lowest counter of the waiting ones: a pause earns nothing.  */

struct ms_fair;

/* A team that waits for a slot.  */
struct ms_candidate
{
  uint64_t team;
  ms_time waiting_since; /* When its oldest known wait began.  */
};

/* A way to choose.  Pick returns an index into CANDIDATES; COUNT >= 1.  */
struct ms_policy
{
  const char *name;
  size_t (*pick) (struct ms_fair *fair, const struct ms_candidate *candidates,
                  size_t count);
};

const struct ms_policy *ms_policy (enum ms_policy_name name);

struct ms_fair *ms_fair_create (uint64_t self, uint64_t incarnation);
void ms_fair_destroy (struct ms_fair *fair);

void ms_fair_set_weight (struct ms_fair *fair, uint64_t team, uint32_t weight);

/* Note that TEAM waits at NOW; call before each choice it takes part in.  */
void ms_fair_note_waiting (struct ms_fair *fair, uint64_t team, ms_time now);

/* Add UNITS, which may be negative, to what TEAM received here.  */
void ms_fair_charge (struct ms_fair *fair, uint64_t team, int64_t units);

/* Call twice in the time that totals take to arrive.  */
void ms_fair_mark (struct ms_fair *fair);

/* The team's weighted counter.  */
double ms_fair_counter (struct ms_fair *fair, uint64_t team);

/* Expected cost of a request of TEAM; HINT is the caller's, 0 if none.  */
uint32_t ms_fair_estimate (struct ms_fair *fair, uint64_t team, uint32_t hint);

/* Learn the true COST of a request of TEAM.  */
void ms_fair_learn (struct ms_fair *fair, uint64_t team, uint32_t cost);

/* What one router charged to one team since its start.  */
struct ms_total
{
  uint64_t team;
  int64_t units;
};

/* Take over totals that OWNER's INCARNATION sent at SENT_AT on its clock;
   older ones than known are dropped.  */
void ms_fair_merge (struct ms_fair *fair, uint64_t owner, uint64_t incarnation,
                    ms_time sent_at, const struct ms_total *totals,
                    size_t count);

/* Copy up to SPACE own totals of teams that waited or were charged lately;
   returns the number.  */
size_t ms_fair_own_totals (struct ms_fair *fair, ms_time now,
                           struct ms_total *totals, size_t space);

/* Copy up to SPACE of OWNER's totals, or with OWNER 0 what ended incarnations
   left.  */
size_t ms_fair_owner_totals (struct ms_fair *fair, uint64_t owner,
                             uint64_t *incarnation, ms_time *sent_at,
                             struct ms_total *totals, size_t space);

/* The routers whose totals are known; returns the number, at most SPACE.  */
size_t ms_fair_owners (struct ms_fair *fair, uint64_t *owners, size_t space);

size_t ms_fair_bytes (const struct ms_fair *fair);

#endif

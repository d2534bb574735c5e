#ifndef ADMIT_SHARE_H
#define ADMIT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Max-min shares of teams while there is less room than is asked for, over all
   routers together.  Where endpoints fill up, all teams together are given
   about what ends there, so that some room is left; teams that ask for more
   than a level get the same, the others what they ask.  What a team asks
   beyond the level is refused at once, in proportion at all routers.  Answers
   the load of teams that ask for many times their usual: room that their
   requests would hold stays for the others, whichever router those come to. */

struct ms_share;

/* What a router's callers ask for one team lately, in cost a second.  */
struct ms_asked
{
  uint64_t team;
  double asked;
  double refused; /* Of it, for want of room.  */
  double ended;   /* Answered by endpoints.  */
};

struct ms_share *ms_share_create (void);
void ms_share_destroy (struct ms_share *share);

/* A request of TEAM came that costs COST.  Returns whether it is within the
   team's share.  */
bool ms_share_arrive (struct ms_share *share, uint64_t team, double cost,
                      ms_time now);

/* A request that was within the share found no room.  */
void ms_share_refused (struct ms_share *share, uint64_t team, double cost,
                       ms_time now);

/* A request was answered by an endpoint.  */
void ms_share_ended (struct ms_share *share, uint64_t team, double cost,
                     ms_time now);

/* Replace what the other routers ask for.  */
void ms_share_clear_others (struct ms_share *share);
void ms_share_add_others (struct ms_share *share,
                          const struct ms_asked *asked);

/* The room at endpoints.  */
struct ms_share_room
{
  double use;  /* Part of it that is used.  */
  double held; /* Cost of what runs.  */
};

/* Move the level.  Call several times a second.  */
void ms_share_tick (struct ms_share *share, const struct ms_share_room *room,
                    ms_time now);

/* What is asked here, the most first; returns the number, at most SPACE.  */
unsigned ms_share_report (struct ms_share *share, ms_time now,
                          struct ms_asked *asked, unsigned space);

/* This router's part of what all routers may give their teams, by what is
   asked up to the level; 1 while nothing is asked.  */
double ms_share_part (struct ms_share *share, ms_time now);

/* Cost a second that a team is given at most; 0 while nothing is scarce.  */
double ms_share_level (const struct ms_share *share);

#endif

#ifndef FAIR_INTERNAL_H
#define FAIR_INTERNAL_H

#include <uthash.h>

#include "fair/fair.h"

/* What one team received.  Amounts are in cost units.  */
struct account
{
  uint64_t team;
  uint32_t weight;
  int64_t own;                  /* Charged by this router.  */
  int64_t own_at_mark;          /* OWN at the last mark.  */
  int64_t own_at_previous_mark; /* OWN at the mark before the last.  */
  int64_t from_ended;  /* Charged by ended incarnations of any router.  */
  int64_t from_others; /* Charged by other routers, by their totals.  */
  double lift;         /* By how much the counter was raised after pauses; cost
                          units divided by the weight.  */
  double deficit;      /* What the team may still use in the current round of
                          the deficit policy.  */
  ms_time last_waiting;
  double mean_cost; /* Of its requests, 0 before the first ended.  */
  UT_hash_handle hh;
};

/* What another router, the owner, charged to one team.  */
struct owner_total
{
  uint64_t team;
  int64_t units;
  ms_time sent_at; /* On the owner's clock.  */
  UT_hash_handle hh;
};

/* Another router whose totals are known.  */
struct owner
{
  uint64_t id;
  uint64_t incarnation;
  ms_time sent_at; /* Of the newest totals, on its clock.  */
  struct owner_total *totals;
  UT_hash_handle hh;
};

struct ms_fair
{
  uint64_t self;
  uint64_t incarnation;
  struct account *accounts;
  struct owner *owners;
  double mean_cost; /* Over all teams, 0 before the first request ended.  */
  size_t bytes;     /* Memory used, approximately.  */
};

/* The account of TEAM, created with weight 1 if there is none.  */
struct account *ms_fair_account (struct ms_fair *fair, uint64_t team);

#endif

#ifndef FAIR_INTERNAL_H
#define FAIR_INTERNAL_H

#include <uthash.h>

#include "fair/fair.h"

struct account
{
  uint64_t team;
  uint32_t weight;
  int64_t own;         /* Charged here.  */
  int64_t marked;      /* Own at the last mark.  */
  int64_t marked_last; /* Own at the mark before.  */
  int64_t ended;       /* Left by ended incarnations of any router.  */
  int64_t others;      /* Sum of the rows of other routers.  */
  double lift;
  double deficit; /* Of the deficit policy.  */
  ms_time last_waiting;
  double mean_cost; /* 0 before the first.  */
  UT_hash_handle hh;
};

/* What one other router charged to one team.  */
struct row
{
  uint64_t team;
  int64_t units;
  ms_time sent_at;
  UT_hash_handle hh;
};

struct owner
{
  uint64_t node;
  uint64_t incarnation;
  ms_time sent_at;
  struct row *rows;
  UT_hash_handle hh;
};

struct ms_fair
{
  uint64_t self;
  uint64_t incarnation;
  struct account *accounts;
  struct owner *owners;
  double mean_cost; /* Over all teams, 0 before the first.  */
  size_t bytes;
};

struct account *ms_fair_account (struct ms_fair *fair, uint64_t team);

#endif

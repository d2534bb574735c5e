#include "fair/fair.h"

#include <stdlib.h>

#include "base/alloc.h"
#include "fair/internal.h"

/* A team that last waited longer ago than this has paused.  */
#define PAUSE_TIME (2 * MS_SEC)

/* Expected cost of a request when nothing is known of it, in cost units.  */
#define DEFAULT_COST 100

/* Weight of the newest request in the exponential mean of costs, from 0 to
   1.  */
#define MEAN_COST_WEIGHT 0.1

struct ms_fair *
ms_fair_create (uint64_t self, uint64_t incarnation)
{
  struct ms_fair *fair = ms_new (sizeof *fair);

  fair->self = self;
  fair->incarnation = incarnation;
  fair->bytes = sizeof *fair;
  return fair;
}

void
ms_fair_destroy (struct ms_fair *fair)
{
  struct account *account, *next_account;
  struct owner *owner, *next_owner;

  if (!fair)
    return;
  HASH_ITER (hh, fair->accounts, account, next_account)
  {
    HASH_DEL (fair->accounts, account);
    free (account);
  }
  HASH_ITER (hh, fair->owners, owner, next_owner)
  {
    struct owner_total *total, *next_total;

    HASH_ITER (hh, owner->totals, total, next_total)
    {
      HASH_DEL (owner->totals, total);
      free (total);
    }
    HASH_DEL (fair->owners, owner);
    free (owner);
  }
  free (fair);
}

struct account *
ms_fair_account (struct ms_fair *fair, uint64_t team)
{
  struct account *account;

  HASH_FIND (hh, fair->accounts, &team, sizeof team, account);
  if (account)
    return account;
  account = ms_new (sizeof *account);
  account->team = team;
  account->weight = 1;
  /* Long ago; with all of MS_NEVER, differences of times would overflow.  */
  account->last_waiting = -MS_NEVER / 2;
  HASH_ADD (hh, fair->accounts, team, sizeof account->team, account);
  fair->bytes += sizeof *account;
  return account;
}

void
ms_fair_set_weight (struct ms_fair *fair, uint64_t team, uint32_t weight)
{
  ms_fair_account (fair, team)->weight = weight ? weight : 1;
}

/* What the other routers are predicted to have charged since they sent their
   totals: each of them as much as this router charged since the mark before
   the last.  Without the prediction all routers would serve the same team
   until the next totals arrive.  */
static int64_t
predicted_others (const struct ms_fair *fair, const struct account *account)
{
  return (int64_t)HASH_COUNT (fair->owners)
         * (account->own - account->own_at_previous_mark);
}

static double
counter_of (const struct ms_fair *fair, const struct account *account)
{
  int64_t units = account->own + account->from_ended + account->from_others
                  + predicted_others (fair, account);

  return (double)units / account->weight + account->lift;
}

double
ms_fair_counter (struct ms_fair *fair, uint64_t team)
{
  return counter_of (fair, ms_fair_account (fair, team));
}

/* Set *LOWEST to the lowest counter of the teams that wait, other than EXCEPT.
   Return false if there is none.  */
static bool
lowest_waiting (struct ms_fair *fair, const struct account *except,
                ms_time now, double *lowest)
{
  bool found = false;

  for (struct account *a = fair->accounts; a; a = a->hh.next)
    {
      double value = counter_of (fair, a);

      if (a == except || now - a->last_waiting > PAUSE_TIME)
        continue;
      if (!found || value < *lowest)
        *lowest = value;
      found = true;
    }
  return found;
}

void
ms_fair_note_waiting (struct ms_fair *fair, uint64_t team, ms_time now)
{
  struct account *account = ms_fair_account (fair, team);
  double lowest = 0;

  if (now - account->last_waiting > PAUSE_TIME
      && lowest_waiting (fair, account, now, &lowest)
      && counter_of (fair, account) < lowest)
    account->lift += lowest - counter_of (fair, account);
  account->last_waiting = now;
}

void
ms_fair_charge (struct ms_fair *fair, uint64_t team, int64_t units)
{
  ms_fair_account (fair, team)->own += units;
}

void
ms_fair_mark (struct ms_fair *fair)
{
  for (struct account *a = fair->accounts; a; a = a->hh.next)
    {
      a->own_at_previous_mark = a->own_at_mark;
      a->own_at_mark = a->own;
    }
}

uint32_t
ms_fair_estimate (struct ms_fair *fair, uint64_t team, uint32_t hint)
{
  struct account *account = ms_fair_account (fair, team);

  if (account->mean_cost > 0)
    return (uint32_t)account->mean_cost + 1;
  if (fair->mean_cost > 0)
    return (uint32_t)fair->mean_cost + 1;
  return hint ? hint : DEFAULT_COST;
}

/* The exponential MEAN after one more request of COST; MEAN is 0 before the
   first.  */
static double
update_mean (double mean, uint32_t cost)
{
  return mean > 0 ? mean + MEAN_COST_WEIGHT * (cost - mean) : cost;
}

void
ms_fair_learn (struct ms_fair *fair, uint64_t team, uint32_t cost)
{
  struct account *account = ms_fair_account (fair, team);

  account->mean_cost = update_mean (account->mean_cost, cost);
  fair->mean_cost = update_mean (fair->mean_cost, cost);
}

size_t
ms_fair_bytes (const struct ms_fair *fair)
{
  return fair->bytes;
}

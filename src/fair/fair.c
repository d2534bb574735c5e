#include "fair/fair.h"

#include <stdlib.h>

#include "base/alloc.h"
#include "fair/internal.h"

/* A team that waited within this time has not paused.  */
#define PAUSE_AFTER (2 * MS_SEC)

#define DEFAULT_COST 100
#define LEARN_SHARE 0.1

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
    struct row *row, *next_row;

    HASH_ITER (hh, owner->rows, row, next_row)
    {
      HASH_DEL (owner->rows, row);
      free (row);
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

/* What the other routers charged but have not told yet: each is taken to do
   as this one did lately.  Otherwise all would serve the same team until the
   next totals arrive.  */
static int64_t
predicted (const struct ms_fair *fair, const struct account *account)
{
  return (int64_t)HASH_COUNT (fair->owners)
         * (account->own - account->marked_last);
}

static double
counter (const struct ms_fair *fair, const struct account *account)
{
  int64_t units = account->own + account->ended + account->others
                  + predicted (fair, account);

  return (double)units / account->weight + account->lift;
}

double
ms_fair_counter (struct ms_fair *fair, uint64_t team)
{
  return counter (fair, ms_fair_account (fair, team));
}

/* The lowest counter among teams that wait, other than EXCEPT.  */
static bool
lowest_waiting (struct ms_fair *fair, const struct account *except,
                ms_time now, double *lowest)
{
  bool found = false;

  for (struct account *a = fair->accounts; a; a = a->hh.next)
    {
      double value = counter (fair, a);

      if (a == except || now - a->last_waiting > PAUSE_AFTER)
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

  if (now - account->last_waiting > PAUSE_AFTER
      && lowest_waiting (fair, account, now, &lowest)
      && counter (fair, account) < lowest)
    account->lift += lowest - counter (fair, account);
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
      a->marked_last = a->marked;
      a->marked = a->own;
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

static double
moved (double mean, uint32_t cost)
{
  return mean > 0 ? mean + LEARN_SHARE * (cost - mean) : cost;
}

void
ms_fair_learn (struct ms_fair *fair, uint64_t team, uint32_t cost)
{
  struct account *account = ms_fair_account (fair, team);

  account->mean_cost = moved (account->mean_cost, cost);
  fair->mean_cost = moved (fair->mean_cost, cost);
}

size_t
ms_fair_bytes (const struct ms_fair *fair)
{
  return fair->bytes;
}

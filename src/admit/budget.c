#include "admit/budget.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"

/* Parts of the window that counts are kept by.  */
#define PARTS 20

/* What is used of the bound; requests and retries of routers that start or
   end fall into different windows.  */
#define USED_PART 0.75

struct count
{
  uint64_t service;
  int64_t part; /* Number of the newest part.  */
  unsigned requests[PARTS];
  unsigned retries[PARTS + 1];
  UT_hash_handle hh;
};

struct ms_budget
{
  struct ms_budget_options options;
  unsigned routers;
  struct count *counts;
};

struct ms_budget *
ms_budget_create (const struct ms_budget_options *options)
{
  struct ms_budget *budget = ms_new (sizeof *budget);

  budget->options = *options;
  budget->routers = 1;
  return budget;
}

void
ms_budget_set_options (struct ms_budget *budget,
                       const struct ms_budget_options *options)
{
  budget->options = *options;
}

void
ms_budget_destroy (struct ms_budget *budget)
{
  struct count *count, *next;

  if (!budget)
    return;
  HASH_ITER (hh, budget->counts, count, next)
  {
    HASH_DEL (budget->counts, count);
    free (count);
  }
  free (budget);
}

void
ms_budget_routers (struct ms_budget *budget, unsigned routers)
{
  budget->routers = routers ? routers : 1;
}

/* The counts of SERVICE, moved on to NOW.  */
static struct count *
counts_of (struct ms_budget *budget, uint64_t service, ms_time now)
{
  int64_t part = now / (budget->options.window / PARTS);
  struct count *c;

  HASH_FIND (hh, budget->counts, &service, sizeof service, c);
  if (!c)
    {
      c = ms_new (sizeof *c);
      c->service = service;
      c->part = part;
      HASH_ADD (hh, budget->counts, service, sizeof c->service, c);
    }
  if (part - c->part > PARTS)
    c->part = part - PARTS - 1;
  while (c->part < part)
    {
      c->part++;
      c->requests[c->part % PARTS] = 0;
      c->retries[c->part % (PARTS + 1)] = 0;
    }
  return c;
}

void
ms_budget_request (struct ms_budget *budget, uint64_t service, ms_time now)
{
  struct count *c = counts_of (budget, service, now);

  c->requests[c->part % PARTS]++;
}

bool
ms_budget_take (struct ms_budget *budget, uint64_t service, ms_time now)
{
  struct count *c = counts_of (budget, service, now);
  double requests = 0;
  double retries = 0;
  double bound;

  for (int i = 0; i < PARTS; i++)
    requests += c->requests[i];
  for (int i = 0; i < PARTS + 1; i++)
    retries += c->retries[i];
  bound = USED_PART
          * (budget->options.ratio * requests
             + budget->options.slack / budget->routers);
  if (retries + 1 > bound)
    return false;
  c->retries[c->part % (PARTS + 1)]++;
  return true;
}

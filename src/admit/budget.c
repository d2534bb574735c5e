#include "admit/budget.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/alloc.h"

/* Buckets that the sliding window is divided into.  */
#define BUCKETS 20

/* Fraction of the bound that is used.  The rest is a margin for routers that
   start or stop: a window may hold retries of such a router, but not the
   requests that allowed them.  In the first window after its start a router
   takes only the rest of its share of the fixed number: its previous process
   may have used its fraction just before.  */
#define USED_FRACTION 0.75

/* Requests and retries of one service in each bucket of the window.  */
struct count
{
  uint64_t service;
  ms_time window; /* That the buckets below divide.  */
  int64_t bucket; /* Number of the newest bucket; 0 begins at time 0.  */
  unsigned requests[BUCKETS];
  /* The newest bucket is incomplete: BUCKETS buckets cover at most a window,
     and one more covers at least a window.  So requests are never counted over
     more than a window, and retries never over less.  */
  unsigned retries[BUCKETS + 1];
  UT_hash_handle hh;
};

struct ms_budget
{
  struct ms_budget_options options;
  unsigned routers;
  ms_time started;
  struct count *counts;
};

struct ms_budget *
ms_budget_create (const struct ms_budget_options *options, ms_time started)
{
  struct ms_budget *budget = ms_new (sizeof *budget);

  budget->options = *options;
  budget->routers = 1;
  budget->started = started;
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
ms_budget_set_routers (struct ms_budget *budget, unsigned routers)
{
  budget->routers = routers;
}

/* The window has changed to WINDOW since C was counted.  So that the bound
   holds, count all retries at the end of C's newest bucket and all requests as
   the oldest ones in the window before that time.  */
static void
change_window (struct count *c, ms_time window)
{
  ms_time newest = (c->bucket + 1) * (c->window / BUCKETS) - 1;
  int64_t bucket = newest / (window / BUCKETS);
  unsigned requests = 0;
  unsigned retries = 0;

  for (int i = 0; i < BUCKETS; i++)
    requests += c->requests[i];
  for (int i = 0; i < BUCKETS + 1; i++)
    retries += c->retries[i];
  memset (c->requests, 0, sizeof c->requests);
  memset (c->retries, 0, sizeof c->retries);
  c->window = window;
  c->bucket = bucket;
  c->requests[(bucket + 1) % BUCKETS] = requests;
  c->retries[bucket % (BUCKETS + 1)] = retries;
}

/* Find or create the counts of SERVICE, and clear the buckets that left the
   window by NOW.  */
static struct count *
current_counts (struct ms_budget *budget, uint64_t service, ms_time now)
{
  int64_t bucket = now / (budget->options.window / BUCKETS);
  struct count *c;

  HASH_FIND (hh, budget->counts, &service, sizeof service, c);
  if (!c)
    {
      c = ms_new (sizeof *c);
      c->service = service;
      c->window = budget->options.window;
      c->bucket = bucket;
      HASH_ADD (hh, budget->counts, service, sizeof c->service, c);
    }
  if (c->window != budget->options.window)
    change_window (c, budget->options.window);
  /* After a long pause, clear each bucket once only.  */
  if (bucket - c->bucket > BUCKETS)
    c->bucket = bucket - BUCKETS - 1;
  while (c->bucket < bucket)
    {
      c->bucket++;
      c->requests[c->bucket % BUCKETS] = 0;
      c->retries[c->bucket % (BUCKETS + 1)] = 0;
    }
  return c;
}

void
ms_budget_count_request (struct ms_budget *budget, uint64_t service,
                         ms_time now)
{
  struct count *c = current_counts (budget, service, now);

  c->requests[c->bucket % BUCKETS]++;
}

/* Return whether the current counts C allow a retry.  */
static bool
has_retry (const struct ms_budget *budget, const struct count *c, ms_time now)
{
  double requests = 0;
  double retries = 0;
  double slack = budget->routers ? budget->options.slack / budget->routers : 0;
  double slack_fraction = now - budget->started < budget->options.window
                              ? 1 - USED_FRACTION
                              : USED_FRACTION;

  for (int i = 0; i < BUCKETS; i++)
    requests += c->requests[i];
  for (int i = 0; i < BUCKETS + 1; i++)
    retries += c->retries[i];
  return retries + 1 <= USED_FRACTION * budget->options.ratio * requests
                            + slack_fraction * slack;
}

bool
ms_budget_has (struct ms_budget *budget, uint64_t service, ms_time now)
{
  return has_retry (budget, current_counts (budget, service, now), now);
}

bool
ms_budget_take (struct ms_budget *budget, uint64_t service, ms_time now)
{
  struct count *c = current_counts (budget, service, now);

  if (!has_retry (budget, c, now))
    return false;
  c->retries[c->bucket % (BUCKETS + 1)]++;
  return true;
}

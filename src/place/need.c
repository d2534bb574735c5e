#include "place/internal.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"

/* How fast the tokens of each service's requests must come, computed from the
   latest requests.  Pace is in microseconds per token: the lower, the more
   urgent the request.  */

/* Requests that are kept for each service.  The most urgent ones, as many as
   make up UNMET_OUTPUT_FRACTION of the output of all, do not affect the
   pace.  */
#define MAX_SAMPLES 256
#define UNMET_OUTPUT_FRACTION 0.3

/* Requests between two computations of the pace.  */
#define REFRESH_REQUESTS 32

struct sample
{
  double pace;     /* Time for the output, divided by its tokens.  */
  uint32_t output; /* Expected tokens.  */
};

struct ms_need
{
  uint64_t service;
  struct sample samples[MAX_SAMPLES];
  unsigned count;
  unsigned next; /* Index in samples of the next request.  */
  unsigned requests_since_refresh;
  double max_pace; /* 0 until it is computed.  */
  UT_hash_handle hh;
};

static struct ms_need *
find_need (struct ms_place *place, uint64_t service)
{
  struct ms_need *need;

  HASH_FIND (hh, place->needs, &service, sizeof service, need);
  return need;
}

void
ms_need_destroy (struct ms_place *place)
{
  struct ms_need *need, *next;

  HASH_ITER (hh, place->needs, need, next)
  {
    HASH_DEL (place->needs, need);
    free (need);
  }
}

static int
compare_pace (const void *left, const void *right)
{
  double a = ((const struct sample *)left)->pace;
  double b = ((const struct sample *)right)->pace;

  return (a > b) - (a < b);
}

/* Set max_pace of NEED: skip the most urgent requests until they make up
   UNMET_OUTPUT_FRACTION of all output, and take the pace of the next one.  */
static void
recompute_max_pace (struct ms_need *need)
{
  struct sample sorted[MAX_SAMPLES];
  double total = 0;
  double skipped = 0;
  unsigned i;

  for (i = 0; i < need->count; i++)
    {
      sorted[i] = need->samples[i];
      total += sorted[i].output;
    }
  qsort (sorted, need->count, sizeof *sorted, compare_pace);
  for (i = 0; i + 1 < need->count && skipped < UNMET_OUTPUT_FRACTION * total;
       i++)
    skipped += sorted[i].output;
  need->max_pace = sorted[i].pace;
  need->requests_since_refresh = 0;
}

void
ms_place_arrived (struct ms_place *place, uint64_t service, uint32_t output,
                  ms_time time)
{
  struct ms_need *need;

  if (!output || time <= 0)
    return;
  need = find_need (place, service);
  if (!need)
    {
      need = ms_new (sizeof *need);
      need->service = service;
      HASH_ADD (hh, place->needs, service, sizeof need->service, need);
    }
  need->samples[need->next] = (struct sample){ (double)time / output, output };
  need->next = (need->next + 1) % MAX_SAMPLES;
  if (need->count < MAX_SAMPLES)
    need->count++;
  if (++need->requests_since_refresh >= REFRESH_REQUESTS)
    recompute_max_pace (need);
}

double
ms_need_max_pace (struct ms_place *place, uint64_t service)
{
  const struct ms_need *need = find_need (place, service);

  return need ? need->max_pace : 0;
}

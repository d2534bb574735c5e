#include "place/internal.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"

/* Requests that are remembered for each service, and the part of their output
   that may need a faster pace.  */
#define REMEMBERED 256
#define LEFT_OUT_PART 0.3

/* Requests between two looks at what is needed.  */
#define REFRESH 32

struct sample
{
  double pace;
  uint32_t output;
};

struct ms_need
{
  uint64_t service;
  struct sample samples[REMEMBERED];
  unsigned count;
  unsigned next;
  unsigned since_refresh;
  double pace;
  UT_hash_handle hh;
};

static struct ms_need *
need_of (struct ms_place *place, uint64_t service)
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
by_pace (const void *left, const void *right)
{
  double a = ((const struct sample *)left)->pace;
  double b = ((const struct sample *)right)->pace;

  return (a > b) - (a < b);
}

static void
refresh (struct ms_need *need)
{
  struct sample sorted[REMEMBERED];
  double total = 0;
  double before = 0;
  unsigned i;

  for (i = 0; i < need->count; i++)
    {
      sorted[i] = need->samples[i];
      total += sorted[i].output;
    }
  qsort (sorted, need->count, sizeof *sorted, by_pace);
  for (i = 0; i + 1 < need->count && before < LEFT_OUT_PART * total; i++)
    before += sorted[i].output;
  need->pace = sorted[i].pace;
  need->since_refresh = 0;
}

void
ms_place_arrived (struct ms_place *place, uint64_t service, uint32_t output,
                  ms_time time)
{
  struct ms_need *need;

  if (!output || time <= 0)
    return;
  need = need_of (place, service);
  if (!need)
    {
      need = ms_new (sizeof *need);
      need->service = service;
      HASH_ADD (hh, place->needs, service, sizeof need->service, need);
    }
  need->samples[need->next] = (struct sample){ (double)time / output, output };
  need->next = (need->next + 1) % REMEMBERED;
  if (need->count < REMEMBERED)
    need->count++;
  if (++need->since_refresh >= REFRESH)
    refresh (need);
}

double
ms_need_pace (struct ms_place *place, uint64_t service)
{
  const struct ms_need *need = need_of (place, service);

  return need ? need->pace : 0;
}

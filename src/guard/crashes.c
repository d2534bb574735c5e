#include "guard/crashes.h"

#include <stdlib.h>

#include "base/alloc.h"

/* Many more than a router has in progress at the endpoints of one version.  */
#define MAX_HELD 512
#define MAX_DROPPED 64

/* A failure that is held.  */
struct held
{
  uint64_t start;
  ms_time at;
  struct ms_rollout_answer answer;
};

/* A start that a harmful request has ended; START is 0 if there is none.  */
struct dropped
{
  uint64_t start;
  ms_time at;
};

struct ms_crashes
{
  struct held held[MAX_HELD]; /* The oldest first.  */
  unsigned count;
  struct dropped dropped[MAX_DROPPED];
  unsigned next_dropped; /* The place that is used next.  */
};

struct ms_crashes *
ms_crashes_create (void)
{
  return ms_new (sizeof (struct ms_crashes));
}

void
ms_crashes_destroy (struct ms_crashes *crashes)
{
  free (crashes);
}

static bool
is_dropped (const struct ms_crashes *crashes, uint64_t start, ms_time now)
{
  for (unsigned i = 0; i < MAX_DROPPED; i++)
    if (crashes->dropped[i].start == start
        && now - crashes->dropped[i].at < MS_CRASH_HOLD)
      return true;
  return false;
}

bool
ms_crashes_hold (struct ms_crashes *crashes, uint64_t start,
                 const struct ms_rollout_answer *answer, ms_time now)
{
  if (is_dropped (crashes, start, now))
    return true;
  if (crashes->count == MAX_HELD)
    return false;
  crashes->held[crashes->count++] = (struct held){ start, now, *answer };
  return true;
}

/* Remove the held failures of START, or the oldest one if START is 0.  */
static void
remove_held (struct ms_crashes *crashes, uint64_t start)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < crashes->count; i++)
    if (start ? crashes->held[i].start != start : i != 0)
      crashes->held[kept++] = crashes->held[i];
  crashes->count = kept;
}

void
ms_crashes_drop (struct ms_crashes *crashes, uint64_t start, ms_time now)
{
  if (!start)
    return;
  crashes->dropped[crashes->next_dropped]
      = (struct dropped){ .start = start, .at = now };
  crashes->next_dropped = (crashes->next_dropped + 1) % MAX_DROPPED;
  remove_held (crashes, start);
}

bool
ms_crashes_release (struct ms_crashes *crashes,
                    struct ms_rollout_answer *answer, ms_time now)
{
  if (!crashes->count || now - crashes->held[0].at < MS_CRASH_HOLD)
    return false;
  *answer = crashes->held[0].answer;
  remove_held (crashes, 0);
  return true;
}

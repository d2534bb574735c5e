#include "base/switches.h"
#include "dispatch/limit.h"

/* A request that takes up to this many times its usual time runs near the
   usual pace.  */
#define NORMAL_PACE_FACTOR 2

/* A request that takes more than this many times its usual time is a sign of a
   cold start.  */
#define COLD_PACE_FACTOR 4

/* Requests that cost fewer units are too short to judge the pace by, and count
   as near the usual pace.  */
#define MIN_PACE_COST 5

/* This many requests in a row near the usual pace show that an endpoint is
   warm.  */
#define WARM_SUCCESSES 3

void
ms_limit_init (struct ms_limit *limit, uint32_t cold, uint32_t warm,
               ms_time now)
{
  limit->cold = cold;
  limit->warm = warm;
  ms_limit_set_cold (limit, now);
}

void
ms_limit_set_bounds (struct ms_limit *limit, uint32_t cold, uint32_t warm)
{
  limit->cold = cold;
  limit->warm = warm;
  if (limit->current > warm)
    limit->current = warm;
  if (!limit->is_warm)
    limit->current = cold;
}

bool
ms_limit_success (struct ms_limit *limit, uint32_t cost, ms_time duration,
                  ms_time unit, ms_time now)
{
  ms_time usual = (ms_time)(cost ? cost : 1) * unit;

  if (cost >= MIN_PACE_COST && duration > COLD_PACE_FACTOR * usual
      && ms_enabled (MS_PACE_WATCH))
    {
      ms_limit_set_cold (limit, now);
      return false;
    }
  if (cost >= MIN_PACE_COST && duration > NORMAL_PACE_FACTOR * usual)
    {
      limit->warm_streak = 0;
      return true;
    }
  if (now - duration < limit->cold_since)
    return true;
  limit->warm_streak++;
  if (limit->warm_streak >= WARM_SUCCESSES)
    limit->is_warm = true;
  if (limit->is_warm && limit->current < limit->warm)
    limit->current++;
  return true;
}

void
ms_limit_progress (struct ms_limit *limit, uint32_t cost, ms_time duration,
                   ms_time unit, ms_time now)
{
  if (!ms_enabled (MS_PACE_WATCH))
    return;
  /* One unit more, as the one under way isn't in COST yet.  */
  if (duration > COLD_PACE_FACTOR * (ms_time)(cost + 1) * unit)
    ms_limit_set_cold (limit, now);
}

void
ms_limit_overload (struct ms_limit *limit, ms_time now)
{
  limit->warm_streak = 0;
  limit->current /= 2;
  if (limit->current < limit->cold)
    ms_limit_set_cold (limit, now);
}

void
ms_limit_set_cold (struct ms_limit *limit, ms_time now)
{
  limit->current = limit->cold;
  limit->warm_streak = 0;
  limit->is_warm = false;
  limit->cold_since = now;
}

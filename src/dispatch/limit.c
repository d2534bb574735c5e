#include "base/switches.h"
#include "dispatch/limit.h"

/* A pace up to this many times the usual one is near it.  */
#define NEAR_PACE 2

/* A pace this many times the usual one is a sign of a cold start.  */
#define COLD_PACE 4

/* Shorter requests say nothing of the pace.  */
#define MIN_COST 5

/* Successes near the usual pace that show an endpoint to be warm.  */
#define WARM_STREAK 3

void
ms_limit_start (struct ms_limit *limit, uint32_t cold, uint32_t warm,
                ms_time now)
{
  limit->cold = cold;
  limit->warm = warm;
  ms_limit_chill (limit, now);
}

void
ms_limit_bounds (struct ms_limit *limit, uint32_t cold, uint32_t warm)
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

  if (cost >= MIN_COST && duration > COLD_PACE * usual
      && ms_enabled (MS_PACE_WATCH))
    {
      ms_limit_chill (limit, now);
      return false;
    }
  if (cost >= MIN_COST && duration > NEAR_PACE * usual)
    {
      limit->streak = 0;
      return true;
    }
  if (now - duration < limit->chilled_at)
    return true;
  limit->streak++;
  if (limit->streak >= WARM_STREAK)
    limit->is_warm = true;
  if (limit->is_warm && limit->current < limit->warm)
    limit->current++;
  return true;
}

void
ms_limit_pace (struct ms_limit *limit, uint32_t cost, ms_time duration,
               ms_time unit, ms_time now)
{
  if (!ms_enabled (MS_PACE_WATCH))
    return;
  if (duration > COLD_PACE * (ms_time)(cost + 1) * unit)
    ms_limit_chill (limit, now);
}

void
ms_limit_overload (struct ms_limit *limit, ms_time now)
{
  limit->streak = 0;
  limit->current /= 2;
  if (limit->current < limit->cold)
    ms_limit_chill (limit, now);
}

void
ms_limit_chill (struct ms_limit *limit, ms_time now)
{
  limit->current = limit->cold;
  limit->streak = 0;
  limit->is_warm = false;
  limit->chilled_at = now;
}

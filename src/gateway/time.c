#include "base/event.h"
#include "gateway/gateway.h"

/* A tick interval longer than this means that the whole process did not run
   for a while.  */
#define STALLED_TICK (700 * MS_MSEC)

/* Note at the first event after it that the whole process did not run for a
   while: data that waited in the sockets is read before the next tick.  */
static void
check_stall (struct ms_gateway *gw)
{
  ms_time last
      = gw->last_tick > gw->stalled_at ? gw->last_tick : gw->stalled_at;

  if (!last || gw->now - last <= STALLED_TICK)
    return;
  gw->stalled_at = gw->now;
  gw->loop_late = true;
  ms_event (gw->now, "stood_still", "ms=%lld",
            (long long)((gw->now - last) / MS_MSEC));
  ms_place_note_stall (gw->place, gw->now);
}

int64_t
ms_gateway_unix_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Note that no event came for longer than two ticks, so that data of the ones
   that follow may have waited for as long.  */
static void
check_delay (struct ms_gateway *gw, ms_time before)
{
  if (!before || gw->now - before <= (ms_time)MS_TICK_MS * 2 * MS_MSEC)
    return;
  gw->delayed_at = gw->now;
  gw->delayed_for = gw->now - before;
}

ms_time
ms_gateway_update_time (struct ms_gateway *gw)
{
  ms_time before = gw->now;

  gw->now = ms_now (&gw->clock);
  check_delay (gw, before);
  check_stall (gw);
  return gw->now;
}

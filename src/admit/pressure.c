#include "admit/pressure.h"

#include <stdlib.h>

#include "base/alloc.h"

/* The busy fraction is measured over windows of this length.  */
#define BUSY_WINDOW (250 * MS_MSEC)

/* The pressure becomes high above the first of these busy fractions and normal
   below the second; in between it stays as it is.  */
#define HIGH_BUSY_FRACTION 0.85
#define LOW_BUSY_FRACTION 0.6

/* A tick that comes more than LATE_TICK after it was due, while the pressure
   is high, closes the port for SHUT_TIME.  */
#define LATE_TICK (150 * MS_MSEC)
#define SHUT_TIME (300 * MS_MSEC)

/* Late ticks keep the port closed for MAX_SHUT_TIME at most; the first tick
   after that opens it, for at least MIN_OPEN_TIME.  */
#define MAX_SHUT_TIME (1 * MS_SEC)
#define MIN_OPEN_TIME (100 * MS_MSEC)

struct ms_pressure
{
  double busy_fraction;
  bool high;
  ms_time window_start;  /* 0 before the first tick.  */
  ms_time idle_at_start; /* Total idle time when the window began.  */
  ms_time last_tick;     /* 0 before the first tick.  */
  ms_time shut_since;    /* 0 while the port is open.  */
  ms_time shut_until;
  ms_time open_until; /* The port is not closed again before this time.  */
};

struct ms_pressure *
ms_pressure_create (void)
{
  return ms_new (sizeof (struct ms_pressure));
}

void
ms_pressure_destroy (struct ms_pressure *pressure)
{
  free (pressure);
}

/* If the current window is over, compute its busy fraction and begin the next
   window at NOW.  IDLE is the total idle time of the loop.  */
static void
update_busy (struct ms_pressure *p, ms_time now, ms_time idle)
{
  ms_time elapsed = now - p->window_start;

  if (p->window_start && elapsed < BUSY_WINDOW)
    return;
  if (p->window_start)
    p->busy_fraction = 1 - (double)(idle - p->idle_at_start) / (double)elapsed;
  if (p->busy_fraction < 0)
    p->busy_fraction = 0;
  if (p->busy_fraction > HIGH_BUSY_FRACTION)
    p->high = true;
  else if (p->busy_fraction < LOW_BUSY_FRACTION)
    p->high = false;
  p->window_start = now;
  p->idle_at_start = idle;
}

static void
reopen (struct ms_pressure *p, ms_time now)
{
  p->shut_since = 0;
  p->open_until = now + MIN_OPEN_TIME;
}

void
ms_pressure_tick (struct ms_pressure *p, ms_time now, ms_time period,
                  ms_time idle)
{
  bool late = p->last_tick && now - p->last_tick > period + LATE_TICK;

  p->last_tick = now;
  update_busy (p, now, idle);
  if (p->shut_since
      && (now >= p->shut_until || now - p->shut_since >= MAX_SHUT_TIME))
    reopen (p, now);
  if (!late || !p->high || now < p->open_until)
    return;
  if (!p->shut_since)
    p->shut_since = now;
  p->shut_until = now + SHUT_TIME;
}

double
ms_pressure_busy (const struct ms_pressure *p)
{
  return p->busy_fraction;
}

bool
ms_pressure_high (const struct ms_pressure *p)
{
  return p->high;
}

bool
ms_pressure_shut (const struct ms_pressure *p)
{
  return p->shut_since != 0;
}

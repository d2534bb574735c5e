#include "admit/pressure.h"

#include <stdlib.h>

#include "base/alloc.h"

/* The idle part is measured over so long.  */
#define WINDOW (250 * MS_MSEC)

/* Bounds of the busy part between which nothing changes.  */
#define HIGH 0.85
#define LOW 0.6

/* A turn that comes so late, while the pressure is high, shuts for a time.  */
#define TURN_LATE (150 * MS_MSEC)
#define SHUT_FOR (300 * MS_MSEC)

/* After so long new connections are taken for a while.  */
#define SHUT_AT_MOST (1 * MS_SEC)
#define OPEN_AT_LEAST (100 * MS_MSEC)

struct ms_pressure
{
  double busy;
  bool high;
  ms_time begun; /* Of the window; 0 before the first turn.  */
  ms_time idle_before;
  ms_time turn_at;
  ms_time shut_since; /* 0 while open.  */
  ms_time shut_until;
  ms_time open_until; /* Not shut before.  */
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

static void
measure (struct ms_pressure *p, ms_time now, ms_time idle)
{
  ms_time passed = now - p->begun;

  if (p->begun && passed < WINDOW)
    return;
  if (p->begun)
    p->busy = 1 - (double)(idle - p->idle_before) / (double)passed;
  if (p->busy < 0)
    p->busy = 0;
  if (p->busy > HIGH)
    p->high = true;
  else if (p->busy < LOW)
    p->high = false;
  p->begun = now;
  p->idle_before = idle;
}

static void
open (struct ms_pressure *p, ms_time now)
{
  p->shut_since = 0;
  p->open_until = now + OPEN_AT_LEAST;
}

void
ms_pressure_turn (struct ms_pressure *p, ms_time now, ms_time period,
                  ms_time idle)
{
  bool late = p->turn_at && now - p->turn_at > period + TURN_LATE;

  p->turn_at = now;
  measure (p, now, idle);
  if (p->shut_since
      && (now >= p->shut_until || now - p->shut_since >= SHUT_AT_MOST))
    open (p, now);
  if (!late || !p->high || now < p->open_until)
    return;
  if (!p->shut_since)
    p->shut_since = now;
  p->shut_until = now + SHUT_FOR;
}

double
ms_pressure_busy (const struct ms_pressure *p)
{
  return p->busy;
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

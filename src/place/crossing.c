#include "place/crossing.h"

#include <math.h>
#include <string.h>

/* Policy "balanced".

   A zone is short of room from SHORT_USE of its endpoints' limits on until its
   use falls below ENOUGH_USE, and only a zone that is not short may get
   crossings, up to TARGET_USE.  As TARGET_USE is below SHORT_USE, crossings
   alone do not make a zone short, and two zones never send to each other.  The
   fraction that leaves rises above SHORT_USE, falls below HOLD_USE, and stays
   in between, so that it comes to rest.  */
#define SHORT_USE 0.95
#define HOLD_USE 0.88
#define ENOUGH_USE 0.75
#define TARGET_USE 0.8

/* The use of a zone that gets crossings is at least this much lower: zones
   that are equally busy could otherwise swap requests.  */
#define LEAST_DIFFERENCE 0.1

/* Part of the time that requests allow which the mean endpoint of a zone may
   take until a zone counts as fully used: requests differ, and reports are
   late.  */
#define FULL_WAIT 0.45

/* The fraction rises only while it is at most by this above what is really
   sent out: permits that no request wants would be used all at once later.  */
#define UNUSED_MARGIN 0.3

/* The part of requests that left unserved from which on the zone is short, and
   below which the fraction may fall.  */
#define UNSERVED_SHORT 0.05
#define UNSERVED_NONE 0.01

/* Most that the fraction changes in an update, which is done every 100 ms.
   Reports of other zones are up to 300 ms old, so what three updates add is
   not yet seen in them.  */
#define MAX_RISE 0.1
#define MAX_FALL 0.05

/* The fraction follows changes of the use with FOLLOW_GAIN, and in each update
   the distance of the use from HOLD_USE or SHORT_USE with the other gains.
   While requests queue up, the use is an integral of what exceeds the zone's
   capacity, so an integral alone, or a larger one, makes both swing.  */
#define FOLLOW_GAIN 0.3
#define RISE_GAIN 0.05
#define FALL_GAIN 0.02

/* Updates by which the use is extrapolated: until a change of the fraction
   shows in it.  Else a sudden load would fill the zone before anything leaves.
   */
#define LEAD 2.0

/* Part of another zone's room that all routers together may take in an update,
   for the same reason.  */
#define ROOM_GAIN 0.25

/* The fraction for a zone that became short loses this part in each update.
 */
#define SHORT_DECAY 0.3

/* The room of a zone counts in full while its reports are younger than
   FRESH_TIME, and not at all from UNKNOWN_TIME on.  */
#define FRESH_TIME (600 * MS_MSEC)
#define UNKNOWN_TIME (2 * MS_SEC)

/* Weights of the newest sample in exponential means of the use and of the part
   that left unserved.  */
#define USE_WEIGHT 0.5
#define OTHER_USE_WEIGHT 0.15
#define UNSERVED_WEIGHT 0.2

/* Permits that may be saved up, so that they are not used in bursts.  */
#define MAX_PERMITS 2.0

/* Part of the price that a request with a permit pays.  It is not 0, so that
   of all requests those with few bytes leave first.  */
#define PERMIT_PRICE 0.25

/* Added to the order of a zone that is short, and of one whose room is not
   known or used up.  */
#define SHORT_ORDER 1000.0
#define NO_ROOM_ORDER 100.0

/* Fractions below this count as none.  */
#define MIN_FRACTION 0.005

static double
clamp (double value, double least, double most)
{
  return value < least ? least : value > most ? most : value;
}

/* Return the fraction of the endpoints of VIEW that is in use, by the scarcest
   of running requests, token memory and time.  */
static double
view_use (const struct ms_crossing_view *view)
{
  if (view->closed || view->limit <= 0)
    return 1;
  return fmax (view->running / view->limit,
               fmax (view->memory_use, view->wait_use / FULL_WAIT));
}

/* Update the mean *USE and whether a zone is short of room.  */
static void
follow_use (const struct ms_crossing_view *view, double weight, double *use,
            bool *short_of_room)
{
  *use += weight * (view_use (view) - *use);
  if (view->closed || view->limit <= 0 || *use >= SHORT_USE)
    *short_of_room = true;
  else if (*use < ENOUGH_USE)
    *short_of_room = false;
}

/* Return the part of a zone's room that counts with reports of AGE.  */
static double
freshness (ms_time age)
{
  return 1
         - clamp ((double)(age - FRESH_TIME) / (UNKNOWN_TIME - FRESH_TIME), 0,
                  1);
}

/* Update what is known of the other zone Z.  */
static void
follow_zone (struct ms_crossing_zone *z)
{
  const struct ms_crossing_view *view = &z->view;
  double fresh = freshness (view->age);
  double room;

  if (!z->seen)
    {
      z->room = 0;
      z->fresh_room = 0;
      z->use = 0;
      z->short_of_room = false;
      return;
    }
  follow_use (view, OTHER_USE_WEIGHT, &z->use, &z->short_of_room);
  room = view->closed ? 0 : (TARGET_USE - view_use (view)) * view->limit;
  /* The loads that a silent zone reported are dropped after a while, which
     looks like room.  */
  if (view->age <= FRESH_TIME)
    z->fresh_room = room;
  z->room = room > 0 ? fmin (room, fmax (z->fresh_room, 0)) * fresh : room;
}

/* Return whether Z may get crossings from the zone of C.  */
static bool
is_target (const struct ms_crossing *c, const struct ms_crossing_zone *z)
{
  return z->seen && !z->view.closed && z->view.limit > 0 && !z->short_of_room
         && z->use + LEAST_DIFFERENCE <= c->use && freshness (z->view.age) > 0;
}

/* Return the number of routers of zones that send out requests, as far as can
   be known: those of this zone and of other zones that are short.  */
static unsigned
sending_routers (const struct ms_crossing *c)
{
  unsigned routers = c->own.routers > 0 ? c->own.routers : 1;

  for (unsigned i = 0; i < c->zones_count; i++)
    if (c->zones[i].seen && c->zones[i].short_of_room)
      routers += c->zones[i].view.routers;
  return routers;
}

/* Distribute all requests over the other zones by their room, at once.  */
static void
send_all (struct ms_crossing *c)
{
  double room = 0;
  double limits = 0;

  for (unsigned i = 0; i < c->zones_count; i++)
    if (is_target (c, &c->zones[i]))
      {
        room += fmax (c->zones[i].room, 0);
        limits += c->zones[i].view.limit;
      }
  for (unsigned i = 0; i < c->zones_count; i++)
    {
      struct ms_crossing_zone *z = &c->zones[i];

      if (!is_target (c, z))
        z->fraction = 0;
      else if (room > 0)
        z->fraction = fmax (z->room, 0) / room;
      else
        z->fraction = z->view.limit / limits;
    }
}

/* Add up to STEP to the fractions, by the room of the zones.  */
static void
raise_fractions (struct ms_crossing *c, double step)
{
  double users = sending_routers (c) * fmax (c->running, 1);
  double room = 0;

  step = fmax (fmin (step, 1 - c->fraction), 0);
  for (unsigned i = 0; i < c->zones_count; i++)
    if (is_target (c, &c->zones[i]))
      room += fmax (c->zones[i].room, 0);
  for (unsigned i = 0; room > 0 && i < c->zones_count; i++)
    {
      struct ms_crossing_zone *z = &c->zones[i];

      /* Each router adds requests in proportion to those that it has in
         progress, so that all of them add ROOM_GAIN of the room at most.  */
      if (is_target (c, z) && z->room > 0)
        z->fraction
            += fmin (step * z->room / room, ROOM_GAIN * z->room / users);
    }
}

/* Take STEP from the sum of the fractions.  */
static void
lower_fractions (struct ms_crossing *c, double step)
{
  double factor = c->fraction > step ? 1 - step / c->fraction : 0;

  for (unsigned i = 0; i < c->zones_count; i++)
    {
      c->zones[i].fraction *= factor;
      if (c->zones[i].fraction < MIN_FRACTION)
        c->zones[i].fraction = 0;
    }
}

/* Take back what the zones have no room for.  */
static void
yield_to_zones (struct ms_crossing *c)
{
  double users = sending_routers (c) * fmax (c->running, 1);

  for (unsigned i = 0; i < c->zones_count; i++)
    {
      struct ms_crossing_zone *z = &c->zones[i];
      double excess = (view_use (&z->view) - SHORT_USE) * z->view.limit;

      if (!z->seen || z->view.closed || z->view.limit <= 0)
        z->fraction = 0;
      else if (!is_target (c, z))
        z->fraction *= 1 - SHORT_DECAY;
      else if (excess > 0)
        z->fraction -= fmin (ROOM_GAIN * excess / users, MAX_RISE);
      else if (z->view.age > FRESH_TIME)
        z->fraction *= 1 - SHORT_DECAY * (1 - freshness (z->view.age));
      if (z->fraction < MIN_FRACTION)
        z->fraction = 0;
    }
}

static void
sum_fractions (struct ms_crossing *c)
{
  c->fraction = 0;
  for (unsigned i = 0; i < c->zones_count; i++)
    c->fraction += c->zones[i].fraction;
}

/* Count what was sent since the last update.  */
static void
follow_sent (struct ms_crossing *c)
{
  double sent = c->sent ? c->sent : 1;

  c->unserved += UNSERVED_WEIGHT * (c->sent_unserved / sent - c->unserved);
  c->permitted += UNSERVED_WEIGHT * (c->sent_permitted / sent - c->permitted);
  c->sent = 0;
  c->sent_permitted = 0;
  c->sent_unserved = 0;
}

static void
update_balanced (struct ms_crossing *c, ms_time now)
{
  bool unusable = c->own.closed || c->own.limit <= 0;
  double before = c->use;
  double step;
  double soon; /* The use that is expected.  */

  c->updated_at = now;
  follow_sent (c);
  follow_use (&c->own, USE_WEIGHT, &c->use, &c->short_of_room);
  if (unusable)
    c->use = 1;
  soon = c->use + LEAD * (c->use - before);
  if (c->unserved >= UNSERVED_SHORT
      || (c->use >= ENOUGH_USE && soon >= SHORT_USE))
    c->short_of_room = true;
  for (unsigned i = 0; i < c->zones_count; i++)
    follow_zone (&c->zones[i]);
  if (unusable)
    {
      c->reason = MS_CROSSING_NO_ENDPOINTS;
      send_all (c);
      sum_fractions (c);
      return;
    }
  yield_to_zones (c);
  sum_fractions (c);
  c->reason = MS_CROSSING_NO_REASON;
  step = FOLLOW_GAIN * (c->use - before);
  if (c->short_of_room && (soon >= SHORT_USE || c->unserved >= UNSERVED_NONE))
    {
      c->reason = soon >= SHORT_USE ? MS_CROSSING_SHORT : MS_CROSSING_UNSERVED;
      step += RISE_GAIN * fmax (soon - HOLD_USE, 0)
              + UNSERVED_WEIGHT * c->unserved;
    }
  else if (c->use < HOLD_USE)
    {
      c->reason = MS_CROSSING_ENOUGH;
      step -= FALL_GAIN * (HOLD_USE - c->use);
    }
  if (step > 0 && c->short_of_room)
    raise_fractions (
        c, fmin (c->permitted + c->unserved + UNUSED_MARGIN - c->fraction,
                 fmin (MAX_RISE, step)));
  else if (step < 0)
    lower_fractions (c, fmin (MAX_FALL, -step));
  sum_fractions (c);
  if (c->fraction <= 0 && c->reason != MS_CROSSING_ENOUGH)
    c->reason = MS_CROSSING_NO_ROOM;
}

static bool
permits_balanced (const struct ms_crossing *c,
                  const struct ms_crossing_zone *zone)
{
  return zone->fraction > 0 && zone->permits >= 1 && is_target (c, zone);
}

static double
price_balanced (const struct ms_crossing *c,
                const struct ms_crossing_zone *zone)
{
  (void)c;
  (void)zone;
  return PERMIT_PRICE;
}

static double
order_balanced (const struct ms_crossing *c,
                const struct ms_crossing_zone *zone)
{
  (void)c;
  return (zone->short_of_room ? SHORT_ORDER : 0)
         + (zone->room <= 0 ? NO_ROOM_ORDER : 0) - zone->turn;
}

const struct ms_crossing_policy *
ms_crossing_policy (const char *name)
{
  static const struct ms_crossing_policy policies[]
      = { { "static", false, NULL, NULL, NULL, NULL },
          { "balanced", true, update_balanced, permits_balanced,
            price_balanced, order_balanced } };

  for (size_t i = 0; i < sizeof policies / sizeof *policies; i++)
    if (strcmp (policies[i].name, name) == 0)
      return &policies[i];
  return NULL;
}

struct ms_crossing_zone *
ms_crossing_zone (struct ms_crossing *c, uint64_t zone, uint64_t seed)
{
  struct ms_crossing_zone *z;

  for (unsigned i = 0; i < c->zones_count; i++)
    if (c->zones[i].view.zone == zone)
      return &c->zones[i];
  if (c->zones_count == MS_CROSSING_ZONES)
    return NULL;
  z = &c->zones[c->zones_count++];
  memset (z, 0, sizeof *z);
  z->view.zone = zone;
  z->permits = (double)(seed % 1000) / 1000;
  z->turn = (double)(seed / 1000 % 1000) / 1000;
  return z;
}

void
ms_crossing_sent (struct ms_crossing *c, struct ms_crossing_zone *to,
                  bool permitted)
{
  double room = 0;

  c->sent++;
  for (unsigned i = 0; i < c->zones_count; i++)
    {
      struct ms_crossing_zone *z = &c->zones[i];

      z->permits = fmin (z->permits + z->fraction, MAX_PERMITS);
      room += is_target (c, z) ? fmax (z->room, 0) : 0;
    }
  if (!to)
    return;
  if (permitted)
    {
      to->permits -= 1;
      c->sent_permitted++;
      return;
    }
  c->sent_unserved++;
  if (room <= 0 || !is_target (c, to))
    return;
  /* Zones take turns in proportion to their room.  */
  for (unsigned i = 0; i < c->zones_count; i++)
    if (is_target (c, &c->zones[i]))
      c->zones[i].turn += fmax (c->zones[i].room, 0) / room;
  to->turn -= 1;
}

const char *
ms_crossing_reason_name (enum ms_crossing_reason reason)
{
  static const char *const names[]
      = { "none", "no_endpoints", "short", "unserved", "enough", "no_room" };

  return names[reason];
}

#include "place/internal.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"

/* Limits of requests that endpoints name for all routers together.

   While the requests that all routers have sent leave more room than they can
   use before they know of each other's requests, all may send.  Else a router
   needs a permit.  Permits are earned at the rate of the limit, a little
   faster or slower according to what was sent; each router earns the part that
   it has of the requests for the service.  That part may be far below one
   permit in the time that the limit is for, so fractions are kept.  Whole
   permits that are not used are soon lost: else as many requests as there are
   routers could come at once, when many want an endpoint that few wanted
   before.

   Routers that have not been heard for MS_REPORT_DELAY are assumed to use
   their part of the limit, or what they last reported if that is more.  A
   router makes up for less than the limit only by its part of what those that
   it hears have not sent: zones that lose each other would each make up for
   all of it.  */

/* Time between two updates of what a router has earned, and after which a
   permit that it has not used is lost.  */
#define EARNING_TIME (100 * MS_MSEC)
#define PERMIT_TIME (500 * MS_MSEC)

/* What was sent beyond the limit, or not sent, is set off against what is
   earned in this time.  It is longer than MS_REPORT_DELAY, so that what was
   not sent is not made up for twice.  No more than MAX_RAISE times the limit
   is earned: at three times, and as well with a time of 1 s, limits of 2
   requests a second were used to 0.86 only, as whole permits are lost.  */
#define CORRECTION_TIME (700 * MS_MSEC)
#define MAX_RAISE 4.0

/* In MS_WINDOW_TIME an endpoint must not get more than EXCESS_FACTOR times
   what its limit allows, and EXCESS_REQUESTS more.  Requests that others may
   have sent but not reported may take ROOM_FRACTION of the way from the limit
   to that bound: seldom do all of them go to one endpoint, so that keeping
   them within the limit refused requests at half of its use.  */
#define EXCESS_FACTOR 1.5
#define EXCESS_REQUESTS 5
#define ROOM_FRACTION 0.25

/* Least requests per second at which permits are earned, so that an endpoint
   that names 0 is asked again.  */
#define MIN_RATE 0.25

/* How much more than the mean of its service an endpoint may get before others
   know of it.  */
#define UNEVENNESS 6.0

#define SLOT_TIME (MS_WINDOW_TIME / (MS_WINDOW_SLOTS - 1))

/* Demand for a service.  */
struct ms_demands
{
  uint64_t service;
  struct ms_window own;
  unsigned others;    /* Of all other routers.  */
  unsigned silent;    /* The part of OTHERS from routers not heard.  */
  unsigned endpoints; /* Of the service; 0 until they are counted.  */
  UT_hash_handle hh;
};

static void
window_add (struct ms_window *w, ms_time now)
{
  int64_t slot = now / SLOT_TIME;

  if (slot - w->slot >= MS_WINDOW_SLOTS)
    *w = (struct ms_window){ .slot = slot };
  while (w->slot < slot)
    w->counts[++w->slot % MS_WINDOW_SLOTS] = 0;
  w->counts[w->slot % MS_WINDOW_SLOTS]++;
}

/* Return the number of events of the last MS_WINDOW_TIME, give or take half a
   slot: a sum over a longer time would leave part of each limit unused.  */
static unsigned
window_total (const struct ms_window *w, ms_time now)
{
  int64_t oldest = (now + SLOT_TIME / 2) / SLOT_TIME - (MS_WINDOW_SLOTS - 1);
  unsigned total = 0;

  for (int64_t slot = w->slot;
       slot >= oldest && slot > w->slot - MS_WINDOW_SLOTS; slot--)
    total += w->counts[slot % MS_WINDOW_SLOTS];
  return total;
}

static struct ms_demands *
find_demand (const struct ms_place *place, uint64_t service)
{
  struct ms_demands *demand;

  HASH_FIND (hh, place->demands, &service, sizeof service, demand);
  return demand;
}

static struct ms_demands *
find_or_add_demand (struct ms_place *place, uint64_t service)
{
  struct ms_demands *demand = find_demand (place, service);

  if (demand)
    return demand;
  demand = ms_new (sizeof *demand);
  demand->service = service;
  HASH_ADD (hh, place->demands, service, sizeof demand->service, demand);
  return demand;
}

void
ms_place_count_request (struct ms_place *place, uint64_t service, ms_time now)
{
  window_add (&find_or_add_demand (place, service)->own, now);
}

unsigned
ms_place_demands (const struct ms_place *place, ms_time now,
                  struct ms_demand *list, unsigned space)
{
  unsigned count = 0;

  for (const struct ms_demands *d = place->demands; d && count < space;
       d = d->hh.next)
    {
      unsigned arrived = window_total (&d->own, now);

      if (arrived)
        list[count++] = (struct ms_demand){ d->service, arrived };
    }
  return count;
}

void
ms_place_add_others_demand (struct ms_place *place,
                            const struct ms_demand *demand, bool silent)
{
  struct ms_demands *d = find_or_add_demand (place, demand->service);

  d->others += demand->arrived;
  if (silent)
    d->silent += demand->arrived;
}

void
ms_rate_clear_others (struct ms_place *place)
{
  for (struct ms_demands *d = place->demands; d; d = d->hh.next)
    {
      d->others = 0;
      d->silent = 0;
      d->endpoints = 0;
    }
  for (unsigned i = 0; i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];
      struct ms_demands *demand = find_demand (place, e->entry.service);

      e->rate.others_sent = 0;
      e->rate.silent_sent = 0;
      if (demand)
        demand->endpoints += e->listed;
    }
}

void
ms_rate_destroy (struct ms_place *place)
{
  struct ms_demands *demand, *next;

  HASH_ITER (hh, place->demands, demand, next)
  {
    HASH_DEL (place->demands, demand);
    free (demand);
  }
}

void
ms_rate_reset (struct ms_endpoint_state *e)
{
  e->rate = (struct ms_rate){ .limit = -1, .heard_limit = -1 };
}

/* Note the limit that an answer named which came at AT, to any router.  Return
   whether the limit in force has changed.  */
static bool
note_limit (struct ms_rate *rate, double limit, ms_time at)
{
  bool changed = limit != rate->limit;

  if (at < rate->told_at)
    return false;
  rate->told_at = at;
  if (rate->limit >= 0 && limit < 0)
    rate->ended_at = at;
  if (rate->limit < 0 && limit >= 0)
    {
      rate->sent = (struct ms_window){ 0 };
      rate->permits = -1;
      rate->earned_at = at;
    }
  rate->limit = limit;
  return changed;
}

bool
ms_place_note_rate_limit (struct ms_endpoint_state *e, double limit,
                          ms_time at)
{
  e->rate.heard_limit = limit;
  e->rate.heard_at = at;
  return note_limit (&e->rate, limit, at);
}

bool
ms_place_report_rate (const struct ms_endpoint_state *e, ms_time now,
                      struct ms_rate_report *report)
{
  const struct ms_rate *rate = &e->rate;
  bool heard = rate->heard_at && now - rate->heard_at < MS_WINDOW_TIME;
  bool recent = rate->limit >= 0
                || (rate->ended_at && now - rate->ended_at < MS_WINDOW_TIME);

  *report = (struct ms_rate_report){
    .limit = rate->heard_limit,
    .told_at = heard ? rate->heard_at : 0,
    .sent = window_total (&rate->sent, now),
  };
  return recent && (heard || report->sent);
}

void
ms_place_add_others_rate (struct ms_place *place, uint64_t id,
                          const struct ms_rate_report *report, bool silent)
{
  struct ms_endpoint_state *e = ms_place_find (place, id);

  if (!e)
    return;
  if (silent)
    e->rate.silent_sent += report->sent;
  else
    e->rate.others_sent += report->sent;
  if (report->told_at)
    note_limit (&e->rate, report->limit, report->told_at);
}

/* Return the limit that is kept to for E.  */
static double
effective_limit (const struct ms_endpoint_state *e)
{
  return e->rate.limit > MIN_RATE ? e->rate.limit : MIN_RATE;
}

/* Return the requests to E within MS_WINDOW_TIME that its limit allows.  */
static double
allowed_requests (const struct ms_endpoint_state *e)
{
  return effective_limit (e) * MS_WINDOW_TIME / MS_SEC;
}

/* Return the requests to E within MS_WINDOW_TIME, as far as they are known or
   assumed.  */
static double
sent_requests (const struct ms_place *place, const struct ms_endpoint_state *e,
               ms_time now)
{
  const struct ms_demands *demand = find_demand (place, e->entry.service);
  double sent = window_total (&e->rate.sent, now) + e->rate.others_sent;
  double silent = 0;

  if (demand && demand->silent)
    silent = allowed_requests (e) * demand->silent
             / (window_total (&demand->own, now) + demand->others);
  return sent + fmax (silent, e->rate.silent_sent);
}

double
ms_rate_used (const struct ms_place *place, const struct ms_endpoint_state *e,
              ms_time now)
{
  if (e->rate.limit < 0)
    return -1;
  return sent_requests (place, e, now) / allowed_requests (e);
}

/* Return the permits that all routers together earn for E in a second.  */
static double
earning_rate (const struct ms_place *place, const struct ms_endpoint_state *e,
              ms_time now)
{
  double limit = effective_limit (e);
  double left = allowed_requests (e) - sent_requests (place, e, now);
  double rate = limit + left * MS_SEC / CORRECTION_TIME;

  return fmin (fmax (rate, 0), MAX_RAISE * limit);
}

/* Return the part of the requests for SERVICE that arrive here.  */
static double
own_part (const struct ms_place *place, uint64_t service, ms_time now)
{
  const struct ms_demands *demand = find_demand (place, service);
  double own = demand ? window_total (&demand->own, now) : 0;

  return own > 0 ? own / (own + demand->others) : 1;
}

/* Return whether there is room for one more request to E besides those that
   other routers may send before this one knows of them.  */
static bool
has_room (const struct ms_place *place, const struct ms_endpoint_state *e,
          ms_time now)
{
  const struct ms_demands *demand = find_demand (place, e->entry.service);
  double allowed = allowed_requests (e);
  double excess = (EXCESS_FACTOR - 1) * allowed + EXCESS_REQUESTS;
  double sent = sent_requests (place, e, now);
  double unknown = 0;

  if (demand)
    unknown = demand->others * (double)MS_REPORT_DELAY / MS_WINDOW_TIME;
  if (demand && demand->endpoints > UNEVENNESS)
    unknown *= UNEVENNESS / demand->endpoints;
  return sent + 1 <= allowed
         && sent + unknown + 1 <= allowed + ROOM_FRACTION * excess;
}

/* Add what this router has earned of the limit of E.  ROOM says whether
   it may send without a permit.  */
static void
earn_permits (const struct ms_place *place, struct ms_endpoint_state *e,
              bool room, ms_time now)
{
  struct ms_rate *rate = &e->rate;
  ms_time elapsed = now - rate->earned_at;
  double earned;
  double whole;

  if (elapsed < EARNING_TIME)
    return;
  /* Any fraction, so that routers do not earn their permits together.  */
  if (rate->permits < 0)
    rate->permits
        = (double)ms_id_pair (e->id, place->options.self) / (double)UINT64_MAX;
  rate->earned_at = now;
  /* The part is that of MS_WINDOW_TIME.  */
  if (elapsed > MS_WINDOW_TIME)
    elapsed = MS_WINDOW_TIME;
  earned = earning_rate (place, e, now)
           * own_part (place, e->entry.service, now) * (double)elapsed
           / MS_SEC;
  whole = floor (rate->permits);
  if (whole == 0)
    rate->whole_at = now;
  else if (room || now - rate->whole_at >= PERMIT_TIME)
    {
      rate->permits -= whole;
      rate->whole_at = now;
    }
  rate->permits += earned;
}

bool
ms_rate_allows (struct ms_place *place, struct ms_endpoint_state *e,
                ms_time now)
{
  bool room;

  if (e->rate.limit < 0)
    return true;
  room = has_room (place, e, now);
  earn_permits (place, e, room, now);
  return room || e->rate.permits >= 1;
}

void
ms_rate_sent (struct ms_endpoint_state *e, ms_time now)
{
  if (e->rate.limit < 0)
    return;
  if (e->rate.permits >= 1)
    e->rate.permits--;
  window_add (&e->rate.sent, now);
}

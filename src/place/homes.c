#include "place/internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/alloc.h"

/* Homes of shared prompt parts: see docs/design/homes.md.  */

/* An endpoint that gets no requests for this long, by its failures or by the
   pause that it asked for, loses its homes.  A failure of two seconds may be
   followed by a back-off of two seconds, and the probe takes as long as an
   answer.  */
#define MAX_ABSENCE (6 * MS_SEC)

/* Departed endpoints are remembered for this long, several times FILL_TIME.
 */
#define DEPARTED_TIME (20 * MS_SEC)

/* Mean time until a part has been read at its new home: about the mean time
   between two requests of a large part, which one router cannot measure.  */
#define FILL_TIME (4 * MS_SEC)

/* Endpoints that are listed within this time from the first choice on have
   been there before this router.  */
#define FIRST_LIST_TIME (2 * MS_SEC)

/* Speed factors are rounded to powers of SPEED_STEP, so that routers that have
   learned slightly different ones agree.  A factor keeps its step until it is
   more than SPEED_HYSTERESIS steps away.  */
#define SPEED_STEP 1.25
#define SPEED_HYSTERESIS 0.75
#define MIN_SPEED 0.2
#define MAX_SPEED 5.0

/* A home gets more company if the requests of the part alone use more than
   this fraction of an endpoint, and less below the other one.  */
#define MORE_HOMES_USE 0.35
#define FEWER_HOMES_USE 0.2

/* Time constant of the rate of a part's requests.  */
#define RATE_TIME (10 * MS_SEC)

/* Parts of which the rate is known; the one used least recently is removed.
 */
#define MAX_PARTS 4096

/* Probability that a reserve, which gets what the homes cannot begin in time,
   has not read a part yet.  Under overload the reserves of small parts have
   mostly read them.  */
#define RESERVE_MISSING 0.33

/* Endpoints that rank highest for a part, out of which come its homes, those
   that are gone included.  */
#define RANKED 8

struct departed
{
  uint64_t id;
  uint64_t service;
  uint64_t zone;
  uint32_t version;
  double weight;
  ms_time at;
};

struct part
{
  uint64_t id;
  double rate; /* Requests a second from this router.  */
  double own;  /* Tokens that its requests share with no other.  */
  ms_time sent_at;
  unsigned homes;
  UT_hash_handle hh;
};

struct ms_homes_state
{
  ms_time first_at; /* The first choice.  */
  ms_time seen_at;  /* The last choice.  */
  struct departed departed[MS_MAX_DEPARTED];
  unsigned departed_next;
  struct part *parts; /* Hash table in order of sent_at, oldest first.  */
};

double
ms_homes_weight (double factor, int *step)
{
  double exact
      = log (fmin (fmax (factor, MIN_SPEED), MAX_SPEED)) / log (SPEED_STEP);

  if (fabs (exact - *step) > SPEED_HYSTERESIS)
    *step = (int)lround (exact);
  return pow (SPEED_STEP, *step);
}

double
ms_homes_score (uint64_t endpoint, uint64_t part, double weight)
{
  double u = ((double)ms_id_pair (endpoint, part) + 1) / 0x1p64;

  return u < 1 ? -weight / log (u) : HUGE_VAL;
}

static struct ms_homes_state *
state_of (struct ms_place *place, ms_time now)
{
  if (!place->homes)
    {
      place->homes = ms_new (sizeof *place->homes);
      place->homes->first_at = now;
    }
  place->homes->seen_at = now;
  return place->homes;
}

static void
note_departed (struct ms_place *place, struct ms_endpoint_state *e,
               ms_time now)
{
  struct ms_homes_state *s = place->homes;

  e->home.member = false;
  e->home.restarted = true;
  s->departed[s->departed_next++ % MS_MAX_DEPARTED]
      = (struct departed){ .id = e->id,
                           .service = e->entry.service,
                           .zone = e->entry.zone,
                           .version = e->entry.version,
                           .weight = e->home.weight,
                           .at = now };
}

void
ms_homes_removed (struct ms_place *place, struct ms_endpoint_state *e)
{
  if (place->homes && e->home.member)
    note_departed (place, e, place->homes->seen_at);
}

void
ms_homes_restarted (struct ms_place *place, struct ms_endpoint_state *e)
{
  if (place->homes && e->home.member)
    note_departed (place, e, place->homes->seen_at);
  e->home = (struct ms_home_member){ .restarted = true };
}

/* Return whether E may get no requests at the moment, or only a probe.  */
static bool
is_out (const struct ms_endpoint_state *e, ms_time now)
{
  return e->failures || now < e->paused_until;
}

/* Update whether E can be a home.  */
static void
update_member (struct ms_place *place, struct ms_endpoint_state *e,
               ms_time now)
{
  struct ms_home_member *h = &e->home;
  double factor = ms_engine_speed_factor (place, e);
  bool lost = !ms_place_in_service (place, e);

  if (factor != h->factor)
    h->weight = ms_homes_weight (factor, &h->speed_step);
  h->factor = factor;
  if (!is_out (e, now))
    h->out_since = 0;
  else if (!h->out_since)
    h->out_since = now;
  if (h->out_since
      && (now - h->out_since > MAX_ABSENCE
          || e->paused_until - h->out_since > MAX_ABSENCE))
    lost = true;
  if (h->member && lost)
    note_departed (place, e, now);
  if (h->member || lost)
    return;
  /* A cold endpoint may get only a few requests.  */
  if (now < e->cold_until && !h->seen)
    h->restarted = true;
  if (!h->seen && now - place->homes->first_at > FIRST_LIST_TIME)
    h->restarted = true;
  h->seen = true;
  if (h->restarted && now < e->cold_until)
    return;
  h->member = true;
  h->since = h->restarted ? now : 0;
  h->restarted = false;
}

/* An endpoint by its rank for a part.  */
struct ranked
{
  struct ms_endpoint_state *e; /* NULL if it is gone.  */
  double score;
  ms_time gone_at; /* 0 if it is there.  */
};

struct ranking
{
  struct ranked entries[RANKED];
  unsigned count;
};

static void
rank (struct ranking *r, const struct ranked *entry)
{
  unsigned i = r->count;

  if (i == RANKED && entry->score <= r->entries[i - 1].score)
    return;
  if (i < RANKED)
    r->count++;
  else
    i--;
  for (; i > 0 && r->entries[i - 1].score < entry->score; i--)
    r->entries[i] = r->entries[i - 1];
  r->entries[i] = *entry;
}

static struct part *
find_part (const struct ms_place *place, uint64_t id)
{
  struct part *part;

  HASH_FIND (hh, place->homes->parts, &id, sizeof id, part);
  return part;
}

/* Set the number of homes of PART by its rate at all routers.  */
static void
set_home_count (const struct ms_place *place, struct part *part,
                uint64_t service)
{
  double routers = place->routers_count ? place->routers_count : 1;
  double use = part->rate * routers * part->own
               / (ms_engine_tokens_per_ms (place, service) * 1000);

  while (part->homes < MS_MAX_HOMES && use > MORE_HOMES_USE * part->homes)
    part->homes++;
  while (part->homes > 1 && use < FEWER_HOMES_USE * (part->homes - 1))
    part->homes--;
}

void
ms_homes_sent (struct ms_place *place, const struct ms_offer *offer,
               ms_time now)
{
  struct part *part;
  uint64_t id;
  double decay;
  double own;

  if (!place->homes || offer->parts_count < 2)
    return;
  own = offer->parts[offer->parts_count - 1].tokens;
  id = offer->parts[offer->parts_count - 2].id;
  part = find_part (place, id);
  if (part)
    HASH_DEL (place->homes->parts, part);
  else
    {
      if (HASH_COUNT (place->homes->parts) >= MAX_PARTS)
        {
          struct part *oldest = place->homes->parts;

          HASH_DEL (place->homes->parts, oldest);
          free (oldest);
        }
      part = ms_new (sizeof *part);
      part->id = id;
      part->homes = 1;
      part->own = own;
      part->sent_at = now;
    }
  decay = exp (-(double)(now - part->sent_at) / RATE_TIME);
  part->rate = part->rate * decay + (double)MS_SEC / RATE_TIME;
  part->own += 0.1 * (own - part->own);
  part->sent_at = now;
  set_home_count (place, part, offer->service);
  HASH_ADD (hh, place->homes->parts, id, sizeof part->id, part);
}

/* Return the probability that an endpoint which is a home since SINCE has not
   read the part yet.  */
static double
probably_missing (ms_time since, ms_time now)
{
  return since ? exp (-(double)(now - since) / FILL_TIME) : 0;
}

/* Make the first endpoints of RANKING that can get requests the COUNT homes,
   and the next ones the reserves.  */
static void
take_homes (const struct ranking *ranking, unsigned count, ms_time now,
            struct ms_homes *homes)
{
  ms_time gone_at = 0;

  for (unsigned i = 0; i < ranking->count; i++)
    {
      const struct ranked *r = &ranking->entries[i];
      ms_time since;

      if (r->gone_at)
        {
          gone_at = r->gone_at > gone_at ? r->gone_at : gone_at;
          if (r->e && !homes->out && homes->count < count)
            homes->out = r->e;
          continue;
        }
      if (homes->count == count)
        {
          if (homes->reserves == MS_MAX_RESERVES)
            return;
          homes->list[count + homes->reserves++]
              = (struct ms_home){ r->e, RESERVE_MISSING };
          continue;
        }
      since = r->e->home.since;
      if (i >= count && gone_at > since)
        since = gone_at;
      homes->list[homes->count++]
          = (struct ms_home){ r->e, probably_missing (since, now) };
    }
}

static void
find_steady (struct ms_place *place, const struct ms_offer *offer,
             bool in_zone, ms_time now, struct ms_homes *homes)
{
  struct ms_homes_state *s = state_of (place, now);
  uint64_t id = offer->parts[offer->parts_count - 2].id;
  const struct part *part = find_part (place, id);
  struct ranking ranking = { .count = 0 };
  struct ranking others = { .count = 0 }; /* If there is no member.  */

  for (unsigned i = 0; i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];
      struct ranked r = { .e = e };

      update_member (place, e, now);
      if (!ms_place_is_candidate (offer, e)
          || (in_zone && e->entry.zone != place->options.zone))
        continue;
      r.score = ms_homes_score (e->id, id, e->home.weight);
      r.gone_at = e->home.out_since;
      if (e->home.member)
        rank (&ranking, &r);
      else if (ms_place_is_available (place, e, now))
        rank (&others, &r);
    }
  if (!ranking.count)
    ranking = others;
  for (unsigned i = 0; i < MS_MAX_DEPARTED; i++)
    {
      const struct departed *d = &s->departed[i];
      const struct ranked r
          = { NULL, ms_homes_score (d->id, id, d->weight), d->at };

      if (d->service == offer->service && now - d->at < DEPARTED_TIME
          && (!in_zone || d->zone == place->options.zone)
          && (!offer->version || d->version == offer->version))
        rank (&ranking, &r);
    }
  take_homes (&ranking, part ? part->homes : 1, now, homes);
}

/* The two available endpoints that rank highest.  */
static void
find_available (struct ms_place *place, const struct ms_offer *offer,
                bool in_zone, ms_time now, struct ms_homes *homes)
{
  struct ranking ranking = { .count = 0 };

  for (unsigned i = 0; i < place->count; i++)
    {
      struct ms_endpoint_state *e = place->endpoints[i];
      struct ranked r = { .e = e };

      if (!ms_place_is_candidate (offer, e)
          || (in_zone && e->entry.zone != place->options.zone)
          || !ms_place_is_available (place, e, now))
        continue;
      r.score
          = ms_homes_score (e->id, offer->parts[offer->parts_count - 2].id, 1);
      rank (&ranking, &r);
    }
  for (unsigned i = 0; i < ranking.count && i < 2; i++)
    homes->list[homes->count++] = (struct ms_home){ ranking.entries[i].e, 0 };
}

const struct ms_homes_policy *
ms_homes_policy (const char *name)
{
  static const struct ms_homes_policy policies[]
      = { { "available", false, find_available },
          { "steady", true, find_steady } };

  for (size_t i = 0; i < sizeof policies / sizeof *policies; i++)
    if (strcmp (policies[i].name, name) == 0)
      return &policies[i];
  return NULL;
}

void
ms_homes_find (struct ms_place *place, const struct ms_offer *offer,
               bool in_zone, ms_time now, struct ms_homes *homes)
{
  *homes = (struct ms_homes){ .in_zone = in_zone };
  if (offer->parts_count < 2)
    return;
  if (place->options.homes)
    place->options.homes->find (place, offer, in_zone, now, homes);
  else
    find_available (place, offer, in_zone, now, homes);
}

const struct ms_home *
ms_homes_get (const struct ms_homes *homes, const struct ms_endpoint_state *e,
              unsigned *number)
{
  for (unsigned i = 0; i < homes->count + homes->reserves; i++)
    if (homes->list[i].endpoint == e)
      {
        *number = i + 1;
        return &homes->list[i];
      }
  *number = 0;
  return NULL;
}

void
ms_homes_destroy (struct ms_place *place)
{
  struct part *part, *next;

  if (!place->homes)
    return;
  HASH_ITER (hh, place->homes->parts, part, next)
  {
    HASH_DEL (place->homes->parts, part);
    free (part);
  }
  free (place->homes);
}

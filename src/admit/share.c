#include "admit/share.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"

/* Rates are means over about so long.  What is asked has to be seen soon, or
   a team gets far more than its share before it is held to it.  */
#define RATE_TIME (0.6 * MS_SEC)
#define REFUSED_TIME (0.4 * MS_SEC)

#define LEVEL_PERIOD (100 * MS_MSEC)

/* Teams are given what they ask while less than the first part of the room is
   used.  Beyond that they are given what ends, and the more above it the more
   the use is below the target.  */
#define FREE_USE 0.6
#define TARGET_USE 0.82
#define GAIN 3.0
#define LEAST_FACTOR 0.5

/* While more than this part is refused of what teams below the level ask, room
   is scarce, however much seems to be left.  */
#define REFUSED_PART 0.04

/* Requests seldom run for longer than so; what runs ends at least so fast.  */
#define LONGEST_RUN_S 6.0

/* A team may save up so much time of its share.  */
#define CREDIT_S 0.3

/* A team that asked for nothing for so long is forgotten.  */
#define FORGOTTEN (30 * MS_SEC)

struct rate
{
  double time; /* Of the mean.  */
  double sum;
  ms_time at;
};

struct team
{
  uint64_t id;
  struct rate asked;
  struct rate refused;
  struct rate ended;
  double others_asked;
  double others_refused;
  double others_ended;
  double credit; /* Cost that may still be admitted.  */
  ms_time credit_at;
  UT_hash_handle hh;
};

struct ms_share
{
  struct team *teams;
  double level;
  ms_time moved_at;
};

struct ms_share *
ms_share_create (void)
{
  return ms_new (sizeof (struct ms_share));
}

void
ms_share_destroy (struct ms_share *share)
{
  struct team *t, *next;

  if (!share)
    return;
  HASH_ITER (hh, share->teams, t, next)
  {
    HASH_DEL (share->teams, t);
    free (t);
  }
  free (share);
}

static void
decay (struct rate *rate, ms_time now)
{
  if (now > rate->at)
    rate->sum *= exp (-(double)(now - rate->at) / rate->time);
  rate->at = now;
}

static void
add (struct rate *rate, double amount, ms_time now)
{
  decay (rate, now);
  rate->sum += amount;
}

/* Amount a second.  */
static double
value (struct rate *rate, ms_time now)
{
  decay (rate, now);
  return rate->sum * MS_SEC / rate->time;
}

static struct team *
obtain (struct ms_share *share, uint64_t id)
{
  struct team *t;

  HASH_FIND (hh, share->teams, &id, sizeof id, t);
  if (t)
    return t;
  t = ms_new (sizeof *t);
  t->id = id;
  t->asked.time = RATE_TIME;
  t->refused.time = REFUSED_TIME;
  t->ended.time = RATE_TIME;
  HASH_ADD (hh, share->teams, id, sizeof t->id, t);
  return t;
}

bool
ms_share_arrive (struct ms_share *share, uint64_t team, double cost,
                 ms_time now)
{
  struct team *t = obtain (share, team);
  double own;
  double all;
  double rate;
  double most;

  add (&t->asked, cost, now);
  own = value (&t->asked, now);
  all = own + t->others_asked;
  if (share->level <= 0 || all <= share->level)
    {
      t->credit = 0;
      t->credit_at = now;
      return true;
    }
  /* This router's part of the level is its part of what the team asks.  */
  rate = share->level * own / all;
  most = rate * CREDIT_S;
  t->credit += rate * (double)(now - t->credit_at) / MS_SEC;
  t->credit_at = now;
  if (t->credit > most)
    t->credit = most;
  /* Going below 0 keeps large requests from being refused more often.  */
  if (t->credit <= 0)
    return false;
  t->credit -= cost;
  return true;
}

void
ms_share_refused (struct ms_share *share, uint64_t team, double cost,
                  ms_time now)
{
  struct team *t = obtain (share, team);

  add (&t->refused, cost, now);
  /* It has not used up any of the share.  */
  t->credit += cost;
}

void
ms_share_ended (struct ms_share *share, uint64_t team, double cost,
                ms_time now)
{
  add (&obtain (share, team)->ended, cost, now);
}

void
ms_share_clear_others (struct ms_share *share)
{
  struct team *t, *next;

  HASH_ITER (hh, share->teams, t, next)
  {
    t->others_asked = 0;
    t->others_refused = 0;
    t->others_ended = 0;
  }
}

void
ms_share_add_others (struct ms_share *share, const struct ms_asked *asked)
{
  struct team *t = obtain (share, asked->team);

  t->others_asked += asked->asked;
  t->others_refused += asked->refused;
  t->others_ended += asked->ended;
}

/* What teams ask for and get in all.  */
struct want
{
  double refused_part; /* Of what teams ask that ask no more than the level. */
  double ended;
};

static struct want
look (struct ms_share *share, ms_time now)
{
  double most = share->level > 0 ? share->level : HUGE_VAL;
  struct want want = { 0, 0 };
  double weights = 0;
  struct team *t, *next;

  HASH_ITER (hh, share->teams, t, next)
  {
    double asked = value (&t->asked, now) + t->others_asked;
    double refused = value (&t->refused, now) + t->others_refused;
    double weight = sqrt (asked);

    want.ended += value (&t->ended, now) + t->others_ended;
    if (asked > most || asked <= 0)
      continue;
    /* By the root, lest a team that asks for much hide the others.  */
    weights += weight;
    want.refused_part += weight * fmin (1, refused / asked);
  }
  if (weights > 0)
    want.refused_part /= weights;
  return want;
}

static int
ascending (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return (a > b) - (a < b);
}

/* The level at which teams get CAPACITY in all: those that ask for more than
   it get the same.  0 if they ask for no more than CAPACITY.  */
static double
level_for (struct ms_share *share, double capacity, ms_time now)
{
  unsigned count = HASH_COUNT (share->teams);
  double *asked = ms_new_array (count ? count : 1, sizeof *asked);
  double left = capacity;
  double level = 0;
  unsigned i = 0;
  struct team *t, *next;

  HASH_ITER (hh, share->teams, t, next)
  asked[i++] = value (&t->asked, now) + t->others_asked;
  qsort (asked, count, sizeof *asked, ascending);
  for (i = 0; i < count && asked[i] * (count - i) <= left; i++)
    left -= asked[i];
  if (i < count)
    level = left / (count - i);
  free (asked);
  return level;
}

/* What may be given a second.  */
static double
capacity_of (const struct want *want, const struct ms_share_room *room)
{
  double use = room->use;
  double ends = fmax (want->ended, room->held / LONGEST_RUN_S);

  if (want->refused_part > REFUSED_PART)
    use = fmax (use, TARGET_USE + want->refused_part);
  if (use < FREE_USE)
    return HUGE_VAL;
  return ends * fmax (LEAST_FACTOR, 1 + GAIN * (TARGET_USE - use));
}

static void
forget (struct ms_share *share, ms_time now)
{
  struct team *t, *next;

  HASH_ITER (hh, share->teams, t, next)
  {
    if (now - t->asked.at <= FORGOTTEN || t->others_asked > 0
        || value (&t->asked, now) >= 1)
      continue;
    HASH_DEL (share->teams, t);
    free (t);
  }
}

void
ms_share_tick (struct ms_share *share, const struct ms_share_room *room,
               ms_time now)
{
  struct want want;

  if (now - share->moved_at < LEVEL_PERIOD)
    return;
  share->moved_at = now;
  forget (share, now);
  want = look (share, now);
  share->level = level_for (share, capacity_of (&want, room), now);
}

static int
by_asked (const void *left, const void *right)
{
  double a = ((const struct ms_asked *)left)->asked;
  double b = ((const struct ms_asked *)right)->asked;

  return (a < b) - (a > b);
}

unsigned
ms_share_report (struct ms_share *share, ms_time now, struct ms_asked *asked,
                 unsigned space)
{
  struct ms_asked *all = ms_new_array (HASH_COUNT (share->teams), sizeof *all);
  unsigned count = 0;
  struct team *t, *next;

  HASH_ITER (hh, share->teams, t, next)
  {
    double rate = value (&t->asked, now);

    if (rate >= 1)
      all[count++] = (struct ms_asked){ t->id, rate, value (&t->refused, now),
                                        value (&t->ended, now) };
  }
  qsort (all, count, sizeof *all, by_asked);
  if (count > space)
    count = space;
  for (unsigned i = 0; i < count; i++)
    asked[i] = all[i];
  free (all);
  return count;
}

double
ms_share_level (const struct ms_share *share)
{
  return share->level;
}

double
ms_share_part (struct ms_share *share, ms_time now)
{
  double most = share->level > 0 ? share->level : HUGE_VAL;
  double here = 0;
  double sum = 0;
  struct team *t, *next;

  HASH_ITER (hh, share->teams, t, next)
  {
    double own = value (&t->asked, now);
    double all = own + t->others_asked;
    double given = fmin (all, most);

    sum += given;
    if (all > 0)
      here += given * own / all;
  }
  return sum > 0 ? here / sum : 1;
}

#include "rollouts.h"

#include <err.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/random.h"
#include "fleet.h"

#define MAX_ORDERS 64
#define MAX_ROLLOUT_RUNS 65536
#define DURATION_S 4
#define DURATION_MS (DURATION_S * 1000LL)
#define FIRST_ORDER_MS 1000
#define PAUSE_MS 500     /* Between the end of an order and the next.  */
#define LINGER_MS 5000   /* From "rolled_back" to the end of its engines.  */
#define OVERDUE_MS 20000 /* From the deadline until an order is given up.  */

/* Bad answers after which a version has to be stopped.  */
#define MAX_BAD 50

/* What the engines of an ordered version are like.  */
static const char *const kinds[] = { "kind=none", "kind=fail",
                                     "kind=none", "kind=fail&percent=40",
                                     "kind=slow", "kind=fail&after_ms=3500" };
#define KINDS (sizeof kinds / sizeof *kinds)

/* Most restarts of all gateways that are kept of an order.  */
#define MAX_RESTARTS 16

/* A time at which the store did not have "rolled_back" and no gateway ran that
   had started before OLDEST_START.  What was found out before is lost then. */
struct restart
{
  long long at;
  long long oldest_start;
};

/* Times are those of fleet_now_ms, 0 if it has not happened.  */
struct order
{
  long long sent_at;
  long long written_at;
  long long state_at; /* When the store had a state that is final.  */
  long long bad_at;   /* When there were MAX_BAD bad answers.  */
  struct restart restarts[MAX_RESTARTS];
  unsigned restarts_count;
  unsigned kind;
  unsigned bad; /* Bad answers.  */
  enum plat_rollout_phase phase;
};

struct run
{
  unsigned version;
  unsigned gateway;
  long long at;
  long long sent_at;
};

/* The order for version I + 2 is orders[I]; version 1 serves at first.  */
static struct order orders[MAX_ORDERS];
static unsigned orders_count;
static struct run runs[MAX_ROLLOUT_RUNS];
static unsigned runs_count;
static struct ms_random choices;
static unsigned serving_pair;
static bool is_open; /* The last order is not finished.  */
static long long next_at;
static long long last_at;

void
rollouts_start (uint64_t seed, long long until_ms)
{
  choices.state = seed;
  next_at = fleet_now_ms () + FIRST_ORDER_MS;
  last_at = until_ms;
}

static void
begin_order (void)
{
  struct order *o = &orders[orders_count++];
  unsigned version = orders_count + 1;
  bool listed_first = ms_random_below (&choices, 2) == 0;

  o->kind = (unsigned)ms_random_below (&choices, KINDS);
  fleet_start_pair (!serving_pair, version, kinds[o->kind]);
  if (listed_first)
    fleet_list_pair (!serving_pair);
  o->sent_at = fleet_now_ms ();
  fleet_order (version, DURATION_S);
  o->written_at = fleet_now_ms ();
  if (!listed_first)
    fleet_list_pair (!serving_pair);
  is_open = true;
}

/* Finish the last order, after which the engines of PAIR end.  */
static void
finish_order (unsigned pair)
{
  fleet_end_pair (pair);
  serving_pair = !pair;
  next_at = fleet_now_ms () + PAUSE_MS;
  is_open = false;
}

static void
note_restart (struct order *o, long long now)
{
  long long oldest = fleet_oldest_start ();

  if (o->restarts_count < MAX_RESTARTS
      && (!o->restarts_count
          || o->restarts[o->restarts_count - 1].oldest_start < oldest))
    o->restarts[o->restarts_count++] = (struct restart){ now, oldest };
}

/* Note what the store has of O, the last order.  */
static void
read_state (struct order *o, long long now)
{
  enum plat_rollout_phase phase;

  if (!fleet_order_state (orders_count + 1, &phase))
    return;
  if (phase != PLAT_ROLLOUT_ROLLED_BACK)
    note_restart (o, now);
  if (o->state_at || phase == PLAT_ROLLOUT_STATES
      || phase == PLAT_ROLLOUT_RUNNING)
    return;
  o->state_at = now;
  o->phase = phase;
}

bool
rollouts_step (void)
{
  struct order *o = orders_count ? &orders[orders_count - 1] : NULL;
  long long now = fleet_now_ms ();

  if (!is_open)
    {
      if (next_at > last_at || orders_count == MAX_ORDERS)
        return false;
      if (now >= next_at)
        begin_order ();
      return true;
    }
  read_state (o, now);
  if (o->state_at && o->phase == PLAT_ROLLOUT_COMPLETED)
    finish_order (serving_pair);
  else if (o->state_at ? now > o->state_at + LINGER_MS
                       : now > o->written_at + DURATION_MS + OVERDUE_MS)
    finish_order (!serving_pair);
  return true;
}

void
rollouts_take_run (unsigned version, unsigned gateway, long long at_ms,
                   long long sent_ms)
{
  if (runs_count == MAX_ROLLOUT_RUNS)
    errx (EXIT_FAILURE, "too many runs");
  runs[runs_count++] = (struct run){ version, gateway, at_ms, sent_ms };
}

void
rollouts_take_bad (unsigned version, long long at_ms)
{
  static long long times[MAX_ORDERS][MAX_BAD]; /* The first ones, sorted.  */
  long long *first = times[version - 2];
  struct order *o = &orders[version - 2];
  unsigned i = o->bad < MAX_BAD ? o->bad : MAX_BAD;

  o->bad++;
  /* Two engines' files are read one after the other.  */
  for (; i > 0 && first[i - 1] > at_ms; i--)
    if (i < MAX_BAD)
      first[i] = first[i - 1];
  if (i < MAX_BAD)
    first[i] = at_ms;
  if (o->bad >= MAX_BAD)
    o->bad_at = first[MAX_BAD - 1];
}

/* Whether R was sent later than ROLLBACK_MS after KNOWN_AT, when the version
   of O was to be stopped, and this was not lost meanwhile.  */
static bool
is_late (const struct order *o, const struct run *r, long long known_at)
{
  for (unsigned i = 0; i < o->restarts_count; i++)
    if (o->restarts[i].oldest_start > known_at && o->restarts[i].at < r->at)
      return false;
  return known_at && r->sent_at > known_at + ROLLBACK_MS;
}

/* Check the order for VERSION; returns the number of breaches.  The bound on
   the sum holds for all gateways that may be sending, in touch or not.  */
static unsigned
check_order (unsigned version,
             bool (*in_touch) (unsigned gateway, long long at_ms))
{
  static const char *const states[]
      = { "running", "completed", "rolled_back" };
  const struct order *o = &orders[version - 2];
  long long deadline = o->written_at + DURATION_MS;
  unsigned all = 0, exposed = 0, exposed_in_touch = 0;
  unsigned early = 0, late = 0, revived = 0;
  unsigned allowed;

  for (unsigned i = 0; i < runs_count; i++)
    {
      const struct run *r = &runs[i];
      bool is_new = r->version == version;
      bool counts = is_new && in_touch (r->gateway, r->at);

      if (r->at >= o->written_at && r->at < deadline)
        {
          all++;
          exposed += is_new;
          exposed_in_touch += counts;
        }
      early += counts && r->at < o->sent_at;
      late += counts && is_late (o, r, o->bad_at);
      revived += counts && o->phase == PLAT_ROLLOUT_ROLLED_BACK
                 && is_late (o, r, o->state_at);
    }
  allowed = (unsigned)(EXPOSURE_SHARE * all) + EXPOSURE_SLACK;
  printf ("order to v%u, %s: %s after %lld ms; %u of %u requests until the "
          "deadline, %u in touch, %u bad answers\n",
          version, kinds[o->kind], o->state_at ? states[o->phase] : "no state",
          o->state_at ? o->state_at - o->written_at : 0, exposed, all,
          exposed_in_touch, o->bad);
  if (o->bad && exposed > allowed)
    printf ("EXPOSURE: v%u got %u requests, allowed are %u\n", version,
            exposed, allowed);
  if (late)
    printf ("EXPOSURE: v%u got %u requests after it had to be stopped\n",
            version, late);
  if (early)
    printf ("ROUTE: v%u got %u requests before its order\n", version, early);
  if (revived)
    printf ("ROUTE: v%u got %u requests after it was rolled back\n", version,
            revived);
  return (o->bad && exposed > allowed) + !!late + !!early + !!revived;
}

unsigned
rollouts_check (bool (*in_touch) (unsigned gateway, long long at_ms))
{
  unsigned breaches = 0;

  for (unsigned i = 0; i < orders_count; i++)
    breaches += check_order (i + 2, in_touch);
  return breaches;
}

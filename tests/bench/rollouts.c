/* Measures what orders to move services cost: bytes of a digest, and processor
   time of a tick and of the reports of other routers.  Prints one line a
   figure: its slope along one axis, from the smallest and largest size.  */

#include <stdio.h>
#include <string.h>
#include <time.h>

#include "fleet/fleet.h"
#include "fleet/rollouts.h"

#define ROUNDS 200
#define SERVICE 7
#define VERSION 2

static char text[65000];

static double
cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static struct ms_rollout_report
make_report (unsigned strata, unsigned suspects)
{
  struct ms_rollout_report r = {
    .service = SERVICE,
    .order = 1,
    .version = VERSION,
    .age = MS_SEC,
    .phase = MS_ROLLOUT_CANARY,
    .sent = { 100, 1000 },
    .routers = 1,
    .strata_count = strata,
    .suspects_count = suspects,
  };

  for (unsigned i = 0; i < strata; i++)
    r.strata[i] = (struct ms_rollout_evidence){
      .route = i + 1, .zone = 1, .answers = { 10, 100 }, .timed = { 10, 100 }
    };
  for (unsigned i = 0; i < suspects; i++)
    r.suspects[i] = (struct ms_rollout_suspect){ i + 1, 10, 1 };
  return r;
}

/* Return the length of a digest with ORDERS reports of that size.  */
static double
digest_bytes (unsigned orders, unsigned strata, unsigned suspects)
{
  static struct ms_rollout_report reports[MS_ROLLOUTS];
  static struct ms_rollout_list list;
  struct fleet_digest digest = { 0 };

  for (unsigned i = 0; i < orders; i++)
    {
      reports[i] = make_report (strata, suspects);
      reports[i].service = SERVICE + i;
    }
  ms_rollout_list_fill (&list, reports, orders, 0);
  digest.rollouts.rollouts_val = list.rollouts;
  digest.rollouts.rollouts_len = list.count;
  return (double)ms_digest_encode (&digest, text, sizeof text);
}

/* Return the mean time, in microseconds, in which the reports of ROUTERS with
   STRATA are merged and a tick is made.  */
static double
round_us (unsigned routers, unsigned strata)
{
  const struct ms_rollout_options options = { 0.1, 50, 5 * MS_SEC, 1 };
  const struct ms_rollout_order order = { SERVICE, VERSION, 60 * MS_SEC, 1 };
  struct ms_rollouts *rollouts = ms_rollouts_create (&options);
  struct ms_rollout_report report = make_report (strata, 0);
  ms_time now = MS_SEC;
  double start;

  ms_rollouts_put_order (rollouts, &order, true, now);
  start = cpu_us ();
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      now += 100 * MS_MSEC;
      report.sent[1]++;
      ms_rollouts_clear_others (rollouts);
      for (unsigned j = 0; j < routers; j++)
        ms_rollouts_merge (rollouts, j + 1, &report, now);
      ms_rollouts_set_endpoints (rollouts, SERVICE, 4, 16, 1, 10);
      ms_rollouts_tick (rollouts, now);
    }
  start = (cpu_us () - start) / ROUNDS;
  ms_rollouts_destroy (rollouts);
  return start;
}

int
main (void)
{
  printf ("bytes of a digest: order %.1f, route and zone %.1f, suspect %.1f\n",
          (digest_bytes (8, 0, 0) - digest_bytes (0, 0, 0)) / 8,
          (digest_bytes (1, 24, 0) - digest_bytes (1, 0, 0)) / 24,
          (digest_bytes (1, 0, 24) - digest_bytes (1, 0, 0)) / 24);
  for (unsigned strata = 1; strata <= 16; strata *= 4)
    printf ("us of merging and a tick, %u routes and zones: %.1f and %.2f a "
            "router, 2 to 295\n",
            strata, round_us (2, strata),
            (round_us (295, strata) - round_us (2, strata)) / 293);
  return 0;
}

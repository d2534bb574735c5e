/* Soak test of the gateways: injects random faults, chosen by a seed, into
   gateways, endpoints, the store and the links between them while callers send
   requests, and then compares the callers' answers with the endpoints' logs.
   docs/SOAK.md describes the faults and the rules.  */

#include <argp.h>
#include <curl/curl.h>
#include <err.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/random.h"
#include "callers.h"
#include "fleet.h"
#include "gone.h"
#include "rollouts.h"

#define STEP_MS 50 /* Interval at which due faults start and end.  */
#define MIN_FAULT_MS 200
#define MAX_FAULTS 128
#define MAX_FAULT_MS 2500
#define FAULTS_PER_S 3
#define FIRST_FAULT_MS 500 /* After the start of the callers.  */

/* Engines are released one after the other, each RELEASE_PERIOD_MS and up to
   RELEASE_JITTER_MS, for RELEASE_PHASES times as long as other faults start,
   so that some releases meet gateways in touch; a released one ends LINGER_MS
   after it has left.  All gateways, or all but one, are killed twice in
   HERD_PERIOD_S.  */
#define RELEASE_PHASES 2
#define RELEASE_PERIOD_MS 2000
#define RELEASE_JITTER_MS 400
#define LINGER_MS 3500
#define HERD_PERIOD_S 10
#define HERD_MAX_MS 1000

/* Before an engine leaves untold, other gateways than one cannot reach the
   store for about STORE_CUT_MS.  */
#define STORE_CUT_MS 3000
#define STORE_CUT_JITTER_MS 1000

/* Length of an outage of the store in which an engine becomes cold, and the
   time from its begin, by when gateways have noticed it.  */
#define COLD_OUTAGE_MS 3500
#define NOTICE_MS 1000

/* Configurations that a STORE_RESTORE loses.  */
#define LOST_CONFIGS 4

/* A gateway is in touch once it has been undisturbed for this time.  */
#define STABLE_WINDOW_MS 3000

/* After a fault of its process a gateway runs undisturbed from this time on.
 */
#define RESTART_MS 1000

/* Time after the last fault within which all gateways must serve again, each
   with PROBES_IN_A_ROW answers.  */
#define RECOVERY_MS 12000
#define PROBES_IN_A_ROW 5

struct arguments
{
  struct fleet_options fleet;
  uint64_t seed;
  unsigned seconds; /* In which faults start.  */
};

/* Kinds before RELEASE are drawn at random.  */
enum fault_kind
{
  GATEWAY_STOP, /* SIGSTOP, and SIGCONT at the end.  */
  GATEWAY_KILL, /* SIGKILL, and a restart at the end.  */
  GATEWAY_TERM, /* SIGTERM, and a restart at the end.  */
  GATEWAY_HUP,  /* SIGHUP: reload of the settings.  */
  ENGINE_STOP,  /* SIGSTOP, and SIGCONT at the end.  */
  ENGINE_KILL,  /* SIGKILL, and a restart at once under a new name.  */
  ENGINE_LINK,  /* A bad link between the gateways and an engine.  */
  STORE_LINK,   /* A bad link between a gateway and the store.  */
  STORE_DOWN,   /* The store refuses every call.  */
  STORE_FORGET, /* The store drops its history.  */
  CONFIGURE,    /* Publication of an unchanged configuration.  */
  REVOKE,       /* The second key is revoked, or becomes valid again.  */
  RELEASE,      /* An engine leaves, and is replaced by a cold one.  */
  HERD_KILL, /* SIGKILL to all gateways, or all but one; a restart of each.  */
  STORE_CUT, /* No connection to the store for all gateways but one.  */
  STORE_RESTORE, /* The store comes back from a copy taken at the start.  */
  ENGINE_COLD,   /* An engine becomes cold again while the store is down.  */
  FAULT_KINDS
};

static const char *const fault_names[FAULT_KINDS]
    = { "gateway_stop", "gateway_kill", "gateway_term", "gateway_hup",
        "engine_stop",  "engine_kill",  "engine_link",  "store_link",
        "store_down",   "store_forget", "configure",    "revoke",
        "release",      "herd_kill",    "store_cut",    "store_restore",
        "engine_cold" };

struct fault
{
  long long start_ms; /* After the start of the callers.  */
  long long end_ms;
  long long started_at; /* On the clock of fleet_now_ms.  */
  long long ended_at;
  enum fault_kind kind;
  unsigned target;       /* Modulo GATEWAYS or ENGINES, the number of the
                            gateway or engine; of kinds from RELEASE on see
                            below.  The others only print it.  */
  enum link_state state; /* Of ENGINE_LINK and STORE_LINK.  */
  enum leaving leaving;  /* Of RELEASE.  */
  bool started;
  bool ended;
};

static struct fault faults[MAX_FAULTS];
static unsigned faults_count;
static bool second_key = true; /* Whether the second key is valid.  */

/* The engine that RELEASE fault F acts on.  */
static unsigned
released_engine (const struct fault *f)
{
  return ENGINES + f->target % RELEASED;
}

/* Whether gateway I is spared by F, a HERD_KILL or STORE_CUT fault.  */
static bool
is_spared (const struct fault *f, unsigned i)
{
  return f->target % (f->kind == HERD_KILL ? GATEWAYS + 1 : GATEWAYS) == i;
}

/* Cut all gateways but one off from the store before RELEASE fault F, and
   until shortly before or after it.  */
static void
add_store_cut (struct ms_random *random, const struct fault *f)
{
  struct fault *cut = &faults[faults_count];

  if (f->start_ms < FIRST_FAULT_MS + STORE_CUT_MS
      || faults_count == MAX_FAULTS)
    return;
  faults_count++;
  cut->kind = STORE_CUT;
  cut->target = (unsigned)ms_random_next (random);
  cut->start_ms = f->start_ms - STORE_CUT_MS;
  cut->end_ms = f->start_ms - STORE_CUT_JITTER_MS / 2
                + (long long)ms_random_below (random, STORE_CUT_JITTER_MS);
}

/* Add the releases and mass restarts, which are not drawn from RANDOM of the
   other faults so that those stay what a seed has always made them.  */
static void
add_releases (struct ms_random *random, unsigned seconds)
{
  unsigned releases = RELEASE_PHASES * seconds * 1000 / RELEASE_PERIOD_MS;
  unsigned herds = 2 * seconds / HERD_PERIOD_S;

  for (unsigned i = 0; i < releases + herds && faults_count < MAX_FAULTS; i++)
    {
      struct fault *f = &faults[faults_count++];

      f->kind = i < releases ? RELEASE : HERD_KILL;
      if (f->kind == RELEASE)
        {
          f->target = i;
          f->leaving = ms_random_below (random, 2) == 0 ? LEAVING_UNTOLD
                                                        : LEAVING_DRAINING;
          if (i % 2)
            f->leaving = LEAVING_SAID;
          f->start_ms
              = FIRST_FAULT_MS + (long long)i * RELEASE_PERIOD_MS
                + (long long)ms_random_below (random, RELEASE_JITTER_MS);
          f->end_ms = f->start_ms + LINGER_MS;
          if (f->leaving == LEAVING_UNTOLD)
            add_store_cut (random, f);
          continue;
        }
      f->target = (unsigned)ms_random_next (random);
      f->start_ms = FIRST_FAULT_MS
                    + (long long)ms_random_below (random, seconds * 1000ULL);
      f->end_ms
          = f->start_ms + MIN_FAULT_MS
            + (long long)ms_random_below (random, HERD_MAX_MS - MIN_FAULT_MS);
    }
}

/* Add losses of what was written to the store since a copy.  */
static void
add_store_losses (struct ms_random *random, unsigned seconds)
{
  for (unsigned i = 0;
       i < 2 * seconds / HERD_PERIOD_S && faults_count < MAX_FAULTS; i++)
    {
      struct fault *f = &faults[faults_count++];

      f->kind = STORE_RESTORE;
      f->start_ms = FIRST_FAULT_MS
                    + (long long)ms_random_below (random, seconds * 1000ULL);
      f->end_ms
          = f->start_ms + MIN_FAULT_MS
            + (long long)ms_random_below (random, MAX_FAULT_MS - MIN_FAULT_MS);
    }
}

/* Whether a fault acts on ENGINE or the link to it between FROM_MS and
   UNTIL_MS.  */
static bool
is_engine_disturbed (unsigned engine, long long from_ms, long long until_ms)
{
  for (unsigned i = 0; i < faults_count; i++)
    {
      const struct fault *f = &faults[i];

      if (f->kind >= ENGINE_STOP && f->kind <= ENGINE_LINK
          && f->target % ENGINES == engine && f->start_ms < until_ms
          && f->end_ms > from_ms)
        return true;
    }
  return false;
}

/* Add outages of the store in which an engine, on which no other fault acts,
   becomes cold.  */
static void
add_colds (struct ms_random *random, unsigned seconds)
{
  for (unsigned i = 0;
       i < 2 * seconds / HERD_PERIOD_S && faults_count + 2 <= MAX_FAULTS; i++)
    {
      long long at = FIRST_FAULT_MS
                     + (long long)ms_random_below (random, seconds * 1000ULL);
      unsigned engine = (unsigned)ms_random_below (random, ENGINES);
      struct fault *down = &faults[faults_count];
      struct fault *cold = down + 1;

      if (is_engine_disturbed (engine, at, at + COLD_OUTAGE_MS))
        continue;
      down->kind = STORE_DOWN;
      down->start_ms = at;
      down->end_ms = at + COLD_OUTAGE_MS;
      cold->kind = ENGINE_COLD;
      cold->target = engine;
      cold->start_ms = at + NOTICE_MS;
      cold->end_ms = down->end_ms;
      faults_count += 2;
    }
}

static void
choose_faults (struct ms_random *random, unsigned seconds)
{
  faults_count = seconds * FAULTS_PER_S < MAX_FAULTS ? seconds * FAULTS_PER_S
                                                     : MAX_FAULTS;
  for (unsigned i = 0; i < faults_count; i++)
    {
      struct fault *f = &faults[i];

      f->kind = (enum fault_kind)ms_random_below (random, RELEASE);
      f->target = (unsigned)ms_random_next (random);
      f->state = (enum link_state) (
          LINK_SLOW + ms_random_below (random, LINK_STATES - LINK_SLOW));
      f->start_ms = FIRST_FAULT_MS
                    + (long long)ms_random_below (random, seconds * 1000ULL);
      f->end_ms
          = f->start_ms + MIN_FAULT_MS
            + (long long)ms_random_below (random, MAX_FAULT_MS - MIN_FAULT_MS);
    }
}

static void
start_fault (struct fault *f)
{
  unsigned gateway = f->target % GATEWAYS;
  unsigned engine = f->target % ENGINES;

  printf ("%6lld %s %u %s\n", f->start_ms, fault_names[f->kind],
          f->target
              % (f->kind == ENGINE_STOP || f->kind == ENGINE_KILL
                         || f->kind == ENGINE_LINK || f->kind == ENGINE_COLD
                     ? ENGINES
                     : GATEWAYS),
          f->kind == ENGINE_LINK || f->kind == STORE_LINK
              ? link_state_names[f->state]
              : "");
  switch (f->kind)
    {
    case GATEWAY_STOP:
      fleet_signal_gateway (gateway, SIGSTOP);
      break;
    case GATEWAY_KILL:
      fleet_signal_gateway (gateway, SIGKILL);
      break;
    case GATEWAY_TERM:
      fleet_signal_gateway (gateway, SIGTERM);
      break;
    case GATEWAY_HUP:
      fleet_signal_gateway (gateway, SIGHUP);
      break;
    case ENGINE_STOP:
      fleet_signal_engine (engine, SIGSTOP);
      break;
    case ENGINE_KILL:
      fleet_restart_engine (engine);
      break;
    case ENGINE_LINK:
      proxy_set_state (fleet_engine_link (engine), f->state);
      break;
    case STORE_LINK:
      proxy_set_state (fleet_store_link (gateway), f->state);
      break;
    case STORE_DOWN:
      fleet_set_store_up (false);
      break;
    case STORE_FORGET:
      fleet_forget_history ();
      break;
    case CONFIGURE:
      fleet_publish_config (second_key);
      break;
    case REVOKE:
      /* The callers expect the key to be valid from before the publication
         that allows it, and revoked only from after the one that revokes it,
         so that no request counts as wrongly served in between.  */
      second_key = !second_key;
      if (second_key)
        callers_set_revoked (0);
      fleet_publish_config (second_key);
      if (!second_key)
        callers_set_revoked (fleet_now_ms ());
      break;
    case RELEASE:
      fleet_release_engine (released_engine (f), f->leaving);
      break;
    case HERD_KILL:
      for (unsigned i = 0; i < GATEWAYS; i++)
        if (!is_spared (f, i))
          fleet_signal_gateway (i, SIGKILL);
      break;
    case STORE_CUT:
      for (unsigned i = 0; i < GATEWAYS; i++)
        if (!is_spared (f, i))
          proxy_set_state (fleet_store_link (i), LINK_RESET);
      break;
    case STORE_RESTORE:
      fleet_copy_store ();
      for (unsigned i = 0; i < LOST_CONFIGS; i++)
        fleet_publish_config (second_key);
      break;
    case ENGINE_COLD:
      fleet_cool_engine (f->target, (unsigned)(f->end_ms - f->start_ms));
      break;
    case FAULT_KINDS:
      break;
    }
}

/* Undo F at its end.  Returns false while a gateway that was sent SIGTERM
   still runs: call it again later.  */
static bool
end_fault (const struct fault *f)
{
  unsigned gateway = f->target % GATEWAYS;
  unsigned engine = f->target % ENGINES;
  bool ended = true;

  switch (f->kind)
    {
    case GATEWAY_STOP:
      fleet_signal_gateway (gateway, SIGCONT);
      break;
    case GATEWAY_KILL:
    case GATEWAY_TERM:
      return fleet_restart_gateway (gateway);
    case ENGINE_STOP:
      fleet_signal_engine (engine, SIGCONT);
      break;
    case ENGINE_LINK:
      proxy_set_state (fleet_engine_link (engine), LINK_GOOD);
      break;
    case STORE_LINK:
      proxy_set_state (fleet_store_link (gateway), LINK_GOOD);
      break;
    case STORE_DOWN:
      fleet_set_store_up (true);
      break;
    case RELEASE:
      fleet_replace_engine (released_engine (f));
      break;
    case HERD_KILL:
      for (unsigned i = 0; i < GATEWAYS; i++)
        if (!is_spared (f, i))
          ended = fleet_restart_gateway (i) && ended;
      break;
    case STORE_CUT:
      for (unsigned i = 0; i < GATEWAYS; i++)
        proxy_set_state (fleet_store_link (i), LINK_GOOD);
      break;
    case STORE_RESTORE:
      fleet_restore_store ();
      break;
    default:
      break;
    }
  return ended;
}

/* Start and end the faults that are due at NOW, in ms after the callers'
   start.  Returns whether any has still to end.  */
static bool
advance_faults (long long now)
{
  bool unfinished = false;

  for (unsigned i = 0; i < faults_count; i++)
    {
      struct fault *f = &faults[i];

      if (!f->started && now >= f->start_ms)
        {
          f->started = true;
          f->started_at = fleet_now_ms ();
          start_fault (f);
        }
      if (f->started && !f->ended && now >= f->end_ms)
        {
          f->ended = end_fault (f);
          f->ended_at = fleet_now_ms ();
        }
      unfinished = unfinished || !f->ended;
    }
  return unfinished;
}

/* Whether F disturbs GATEWAY, or for GATEWAYS the store.  */
static bool
disturbs (const struct fault *f, unsigned gateway)
{
  switch (f->kind)
    {
    case GATEWAY_STOP:
    case GATEWAY_KILL:
    case GATEWAY_TERM:
    case STORE_LINK:
      return f->target % GATEWAYS == gateway;
    case HERD_KILL:
    case STORE_CUT:
      return gateway < GATEWAYS && !is_spared (f, gateway);
    case STORE_DOWN:
    case STORE_RESTORE:
      return true;
    default:
      return false;
    }
}

/* For callers_check.  */
static bool
in_touch (unsigned gateway, long long at_ms)
{
  for (unsigned i = 0; i < faults_count; i++)
    if (disturbs (&faults[i], gateway) && faults[i].started_at <= at_ms
        && at_ms < faults[i].ended_at + STABLE_WINDOW_MS)
      return false;
  return true;
}

/* For callers_check and gone_check.  */
static bool
is_running (unsigned gateway, long long at_ms)
{
  for (unsigned i = 0; i < faults_count; i++)
    {
      const struct fault *f = &faults[i];

      if ((f->kind <= GATEWAY_TERM || f->kind == HERD_KILL)
          && disturbs (f, gateway) && f->started_at <= at_ms
          && at_ms < f->ended_at + RESTART_MS)
        return false;
    }
  return true;
}

/* Whether all gateways serve again within RECOVERY_MS; prints the first that
   does not.  */
static bool
all_gateways_recover (void)
{
  long long deadline = fleet_now_ms () + RECOVERY_MS;

  for (unsigned i = 0; i < GATEWAYS; i++)
    while (!callers_probe (i, PROBES_IN_A_ROW))
      if (fleet_now_ms () > deadline)
        {
          printf ("RECOVER: gateway %u does not serve\n", i);
          return false;
        }
  return true;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *a = state->input;

  switch (key)
    {
    case 'b':
      a->fleet.build = arg;
      return 0;
    case 'f':
      a->fleet.folder = arg;
      return 0;
    case 'p':
      a->fleet.base = (unsigned)strtoul (arg, NULL, 10);
      return 0;
    case 's':
      a->seed = strtoull (arg, NULL, 10);
      return 0;
    case 't':
      a->seconds = (unsigned)strtoul (arg, NULL, 10);
      return 0;
    case ARGP_KEY_END:
      if (!a->fleet.folder)
        argp_error (state, "--folder is needed");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[]
      = { { "build", 'b', "FOLDER", 0, "Folder of the programs", 0 },
          { "folder", 'f', "FOLDER", 0, "Folder for settings, logs and runs",
            0 },
          { "base", 'p', "PORT", 0,
            "First port to try for a range of 60 free ones", 0 },
          { "seed", 's', "N", 0, "Seed of faults and callers", 0 },
          { "seconds", 't', "N", 0, "Seconds in which faults begin", 0 },
          { 0 } };
  static const struct argp argp
      = { options, parse_option, NULL, "Inject faults into running gateways.",
          NULL,    NULL,         NULL };
  struct arguments a = { { "build", NULL, 24000 }, 1, 10 };
  const struct timespec step = { 0, STEP_MS * 1000000L };
  struct ms_random random;
  unsigned breaches = 0;
  unsigned steps = 0;
  long long start;

  argp_parse (&argp, argc, argv, 0, NULL, &a);
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_ALL);
  random.state = a.seed;
  choose_faults (&random, a.seconds);
  add_releases (&random, a.seconds);
  add_store_losses (&random, a.seconds);
  add_colds (&random, a.seconds);
  fleet_start (&a.fleet);
  callers_start (a.seed);
  gone_start (a.seed);
  start = fleet_now_ms ();
  rollouts_start (a.seed, start + 1000LL * RELEASE_PHASES * a.seconds);
  for (bool go_on = true; go_on;)
    {
      bool faults_go_on = advance_faults (fleet_now_ms () - start);

      go_on = rollouts_step () || faults_go_on;
      breaches += fleet_count_died ();
      fleet_restart_crashed ();
      if (++steps % (HEARTBEAT_STEP_MS / STEP_MS) == 0)
        fleet_heartbeat ();
      nanosleep (&step, NULL);
    }
  fleet_publish_valid_config ();
  breaches += !all_gateways_recover ();
  callers_stop ();
  gone_stop ();
  breaches += callers_check (in_touch, is_running);
  breaches += rollouts_check (in_touch);
  breaches += gone_check (is_running);
  breaches += fleet_count_misled () > 0;
  callers_print_counts ();
  fleet_stop ();
  printf ("seed %llu: %u breaches\n", (unsigned long long)a.seed, breaches);
  return breaches ? EXIT_FAILURE : EXIT_SUCCESS;
}

/* Plays faults on gateways, endpoints, the store and the links between them,
   by a seed, while callers go on, and checks what callers and endpoints saw.
   docs/SOAK.md tells the faults and the checks.  */

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

#define STEP_MS 50
#define MOST_FAULTS 64
#define LONGEST_FAULT_MS 2500

/* After the last fault all gateways serve again within this time.  */
#define RECOVERY_MS 12000
#define TRIES_IN_A_ROW 5

struct arguments
{
  struct fleet_options fleet;
  uint64_t seed;
  unsigned seconds;
};

enum fault_kind
{
  GATEWAY_STOP,
  GATEWAY_KILL,
  GATEWAY_TERM,
  GATEWAY_HUP,
  ENGINE_STOP,
  ENGINE_KILL,
  ENGINE_LINK,
  STORE_LINK,
  STORE_DOWN,
  STORE_FORGET,
  CONFIGURE,
  REVOKE,
  FAULT_KINDS
};

static const char *const names[FAULT_KINDS]
    = { "gateway_stop", "gateway_kill", "gateway_term", "gateway_hup",
        "engine_stop",  "engine_kill",  "engine_link",  "store_link",
        "store_down",   "store_forget", "configure",    "revoke" };

struct fault
{
  long long begins; /* Milliseconds after the start.  */
  long long ends;
  enum fault_kind kind;
  unsigned target;
  enum link_state state;
  bool begun;
  bool ended;
};

static struct fault faults[MOST_FAULTS];
static unsigned faults_count;
static bool second_key = true;

static void
draw_faults (struct ms_random *random, unsigned seconds)
{
  faults_count = seconds * 3 < MOST_FAULTS ? seconds * 3 : MOST_FAULTS;
  for (unsigned i = 0; i < faults_count; i++)
    {
      struct fault *f = &faults[i];

      f->kind = (enum fault_kind)ms_random_below (random, FAULT_KINDS);
      f->target = (unsigned)ms_random_next (random);
      f->state = (enum link_state) (
          LINK_SLOW + ms_random_below (random, LINK_STATES - LINK_SLOW));
      f->begins = 500 + (long long)ms_random_below (random, seconds * 1000ULL);
      f->ends = f->begins + 200
                + (long long)ms_random_below (random, LONGEST_FAULT_MS - 200);
    }
}

static void
begin_fault (struct fault *f)
{
  unsigned gateway = f->target % GATEWAYS;
  unsigned engine = f->target % ENGINES;

  printf ("%6lld %s %u %s\n", f->begins, names[f->kind],
          f->target
              % (f->kind == ENGINE_STOP || f->kind == ENGINE_KILL
                         || f->kind == ENGINE_LINK
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
      proxy_set (fleet_engine_link (engine), f->state);
      break;
    case STORE_LINK:
      proxy_set (fleet_store_link (gateway), f->state);
      break;
    case STORE_DOWN:
      fleet_store_mode (false);
      break;
    case STORE_FORGET:
      fleet_store_forget ();
      break;
    case CONFIGURE:
      fleet_configure (second_key);
      break;
    case REVOKE:
      second_key = !second_key;
      if (second_key)
        callers_revoke (0);
      fleet_configure (second_key);
      if (!second_key)
        callers_revoke (fleet_now_ms ());
      break;
    case FAULT_KINDS:
      break;
    }
}

/* Returns whether that is done with.  */
static bool
end_fault (const struct fault *f)
{
  unsigned gateway = f->target % GATEWAYS;
  unsigned engine = f->target % ENGINES;

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
      proxy_set (fleet_engine_link (engine), LINK_GOOD);
      break;
    case STORE_LINK:
      proxy_set (fleet_store_link (gateway), LINK_GOOD);
      break;
    case STORE_DOWN:
      fleet_store_mode (true);
      break;
    default:
      break;
    }
  return true;
}

static bool
move_faults (long long now)
{
  bool left = false;

  for (unsigned i = 0; i < faults_count; i++)
    {
      struct fault *f = &faults[i];

      if (!f->begun && now >= f->begins)
        {
          f->begun = true;
          begin_fault (f);
        }
      if (f->begun && !f->ended && now >= f->ends)
        f->ended = end_fault (f);
      left = left || !f->ended;
    }
  return left;
}

/* Whether all gateways serve again in time.  */
static bool
all_recover (void)
{
  long long until = fleet_now_ms () + RECOVERY_MS;

  for (unsigned i = 0; i < GATEWAYS; i++)
    while (!callers_try (i, TRIES_IN_A_ROW))
      if (fleet_now_ms () > until)
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
      = { { "build", 'b', "FOLDER", 0, "Of the programs", 0 },
          { "folder", 'f', "FOLDER", 0, "For settings, logs and runs", 0 },
          { "base", 'p', "PORT", 0,
            "First of 60 ports, or the next that are free", 0 },
          { "seed", 's', "N", 0, "Of faults and callers", 0 },
          { "seconds", 't', "N", 0, "In which faults begin", 0 },
          { 0 } };
  static const struct argp argp
      = { options, parse_option, NULL, "Play faults on gateways.",
          NULL,    NULL,         NULL };
  struct arguments a = { { "build", NULL, 24000 }, 1, 10 };
  const struct timespec step = { 0, STEP_MS * 1000000L };
  struct ms_random random;
  unsigned breaches = 0;
  long long start;

  argp_parse (&argp, argc, argv, 0, NULL, &a);
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_ALL);
  random.state = a.seed;
  draw_faults (&random, a.seconds);
  fleet_start (&a.fleet);
  callers_start (a.seed);
  start = fleet_now_ms ();
  while (move_faults (fleet_now_ms () - start))
    {
      breaches += fleet_lost_gateway ();
      nanosleep (&step, NULL);
    }
  breaches += !all_recover ();
  callers_stop ();
  breaches += callers_check (a.fleet.folder);
  callers_report ();
  fleet_stop ();
  printf ("seed %llu: %u breaches\n", (unsigned long long)a.seed, breaches);
  return breaches ? EXIT_FAILURE : EXIT_SUCCESS;
}

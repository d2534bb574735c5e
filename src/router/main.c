#include <argp.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/log.h"
#include "base/version.h"
#include "journal/journal.h"
#include "router/router.h"

#define TICK_NS 20000000L /* 20 ms.  */

static const char doc[] = "Route requests of many teams to endpoints.";

static const struct argp_option options[]
    = { { "check", 'c', NULL, 0, "Check the settings and exit", 0 },
        { "record", 'r', "FILE", 0, "Write the events for replay", 0 },
        { 0 } };

struct arguments
{
  const char *settings_path;
  const char *journal_path;
  bool check;
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 'c':
      arguments->check = true;
      return 0;
    case 'r':
      arguments->journal_path = arg;
      return 0;
    case ARGP_KEY_ARG:
      if (state->arg_num)
        argp_usage (state);
      arguments->settings_path = arg;
      return 0;
    case ARGP_KEY_END:
      if (!arguments->settings_path)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
set_log_level (const char *name)
{
  if (!name)
    return;
  if (strcmp (name, "debug") == 0)
    ms_log_threshold (MS_DEBUG);
  if (strcmp (name, "warn") == 0)
    ms_log_threshold (MS_WARN);
  if (strcmp (name, "error") == 0)
    ms_log_threshold (MS_ERROR);
}

static void
deliver_message (void *context, const peer_message *message)
{
  const struct ms_event event = { .kind = MS_EVENT_PEER, .peer = message };

  ms_router_step (context, &event);
}

/* The wall clock, so that a restarted router's incarnation is above all
   earlier ones.  */
static uint64_t
realtime_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static struct ms_router *
create_router (const struct ms_settings *settings, FILE *journal)
{
  struct ms_router *router = ms_new (sizeof *router);
  const struct ms_sink sink = { ms_router_emit, router };
  struct ms_node_options node_options = { 0 };

  router->settings = settings;
  router->clock = ms_system_clock ();
  router->incarnation = realtime_us ();
  pthread_mutex_init (&router->lock, NULL);
  pthread_cond_init (&router->append_queued, NULL);
  router->log = ms_http_log_client (settings->log_url);
  router->list = ms_http_list_client (settings->list_url);
  node_options.name = settings->name;
  node_options.zone = settings->availability_zone;
  node_options.peer_address = settings->peer_address;
  node_options.caller_address = settings->caller_address;
  node_options.incarnation = router->incarnation;
  node_options.random_seed
      = ms_id_pair (ms_id (ms_str (settings->name)), router->incarnation);
  router->journal = journal;
  if (journal)
    ms_journal_begin (journal, &node_options);
  router->node = ms_node_create (&node_options, &sink);
  return router;
}

static void
destroy_router (struct ms_router *router)
{
  ms_node_destroy (router->node);
  ms_config_destroy (router->caller_config);
  while (router->appends_count)
    {
      free (router->appends[router->appends_first].text);
      router->appends_first
          = (router->appends_first + 1) % MS_MAX_QUEUED_APPENDS;
      router->appends_count--;
    }
  free (router);
}

static void
start_thread (pthread_t *thread, void *(*run) (void *), void *context)
{
  if (pthread_create (thread, NULL, run, context))
    abort ();
}

/* Wait for a signal, at most one tick period.  Returns its number, or 0.  */
static int
wait_tick (const sigset_t *signals)
{
  const struct timespec tick = { 0, TICK_NS };
  int caught = sigtimedwait (signals, NULL, &tick);

  return caught > 0 ? caught : 0;
}

static void
begin_drain (struct ms_router *router)
{
  const struct ms_event event = { .kind = MS_EVENT_DRAIN };

  ms_log (MS_INFO, "router", "draining");
  ms_router_step (router, &event);
}

/* Tick until the drain is complete, a signal arrives during the drain, or the
   drain exceeds its timeout.  A signal begins the drain.  So does an
   operator's request to /v1/drain; its handler has passed the event to the
   node already.  Returns the number of requests that are cut off.  */
static unsigned
run_until_drained (struct ms_router *router, const sigset_t *signals)
{
  const struct ms_event tick = { .kind = MS_EVENT_TICK };
  ms_time drain_deadline = MS_NEVER;

  for (;;)
    {
      bool signalled = wait_tick (signals) != 0;
      bool ended;
      unsigned open;

      ms_router_step (router, &tick);
      ms_router_update_caller_config (router);
      if (signalled && drain_deadline == MS_NEVER)
        begin_drain (router);
      if ((signalled || atomic_load (&router->drain_requested))
          && drain_deadline == MS_NEVER)
        {
          drain_deadline
              = ms_router_now (router)
                + (ms_time)router->settings->drain_timeout_ms * MS_MSEC;
          continue;
        }
      pthread_mutex_lock (&router->lock);
      ended = router->drained && !router->calls;
      open = HASH_COUNT (router->calls);
      pthread_mutex_unlock (&router->lock);
      if (ended)
        return 0;
      if (drain_deadline != MS_NEVER
          && (signalled || ms_router_now (router) > drain_deadline))
        return open ? open : 0;
    }
}

static void
block_signals (sigset_t *signals)
{
  signal (SIGPIPE, SIG_IGN);
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, signals, NULL);
}

/* Start all threads, run until the router has drained and stop them.  Returns
   the exit status: 0, or 1 if an address cannot be used.  If requests are cut
   off, the process exits with status 3 at once and does not wait for the
   threads that serve them.  */
static int
serve (struct ms_router *router, const sigset_t *signals)
{
  pthread_t threads[5];
  struct mg_context *server;
  unsigned cut_off;

  if (ms_transport_create (router->settings->peer_address, deliver_message,
                           router, &router->transport)
      != MS_OK)
    {
      ms_log (MS_ERROR, "router", "%s", ms_last_message ());
      return 1;
    }
  server = ms_callers_start (router);
  if (!server)
    {
      ms_log (MS_ERROR, "router", "cannot serve callers on %s",
              router->settings->caller_address);
      return 1;
    }
  start_thread (&threads[0], ms_run_control_reader, router);
  start_thread (&threads[1], ms_run_once_reader, router);
  start_thread (&threads[2], ms_run_appender, router);
  start_thread (&threads[3], ms_run_list_poller, router);
  start_thread (&threads[4], ms_run_load_poller, router);
  ms_log (MS_INFO, "router", "started name=%s zone=%s callers=%s peers=%s",
          router->settings->name, router->settings->availability_zone,
          router->settings->caller_address, router->settings->peer_address);
  cut_off = run_until_drained (router, signals);
  if (cut_off)
    {
      ms_log (MS_WARN, "router", "ended with requests cut off count=%u",
              cut_off);
      _exit (3);
    }
  atomic_store (&router->stopping, true);
  pthread_mutex_lock (&router->lock);
  pthread_cond_broadcast (&router->append_queued);
  pthread_mutex_unlock (&router->lock);
  for (int i = 0; i < 5; i++)
    pthread_join (threads[i], NULL);
  ms_callers_stop (server);
  ms_transport_destroy (router->transport);
  ms_log (MS_INFO, "router", "ended");
  return 0;
}

/* The exit status is that of serve, or 2 if the settings are bad or the
   journal cannot be written.  */
int
main (int argc, char **argv)
{
  const struct argp argp
      = { options, parse_option, "SETTINGS", doc, NULL, NULL, NULL };
  struct arguments arguments = { 0 };
  struct ms_settings *settings;
  struct ms_router *router;
  FILE *journal = NULL;
  sigset_t signals;
  int code;

  argp_program_version = MS_VERSION_TEXT ("monsoonspur-router");
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  if (ms_settings_load (arguments.settings_path, &settings) != MS_OK)
    {
      ms_log (MS_ERROR, "settings", "%s", ms_last_message ());
      return 2;
    }
  if (arguments.check)
    {
      printf ("%s: the settings are good\n", arguments.settings_path);
      return 0;
    }
  set_log_level (settings->log_level);
  block_signals (&signals);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (arguments.journal_path)
    {
      journal = fopen (arguments.journal_path, "w");
      if (!journal)
        {
          ms_log (MS_ERROR, "router", "cannot write %s",
                  arguments.journal_path);
          return 2;
        }
    }
  router = create_router (settings, journal);
  code = serve (router, &signals);
  destroy_router (router);
  if (journal)
    fclose (journal);
  ms_settings_destroy (settings);
  curl_global_cleanup ();
  return code;
}

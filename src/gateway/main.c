#include <argp.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/event.h"
#include "base/log.h"
#include "base/version.h"
#include "gateway/caller.h"
#include "gateway/gateway.h"
#include "gateway/health.h"
#include "gateway/internal.h"
#include "gateway/pages.h"
#include "gateway/peers.h"
#include "gateway/request.h"
#include "gateway/rollouts.h"
#include "gateway/shares.h"
#include "gateway/socket.h"

/* Environment variable that holds the path of the settings file.  */
#define SETTINGS_VARIABLE "MONSOONSPUR_CONFIG"

/* After a tick interval longer than this, data that is read may have waited in
   the sockets and callers may have left.  */
#define LATE_TICK (100 * MS_MSEC)

/* Time between two sweeps, which check all connections for those that have
   timed out; longer than a tick because there are thousands of connections. */
#define SWEEP_PERIOD (100 * MS_MSEC)

/* The request rate is an exponential moving average: length of one sample, and
   the weight of the newest sample (fraction 0 to 1).  */
#define RATE_PERIOD (250 * MS_MSEC)
#define RATE_WEIGHT 0.25

static const char doc[] = "Route requests of many teams to endpoints, on one "
                          "event loop, with the platform's store.";

static const struct argp_option options[]
    = { { "settings", 's', "FILE", 0,
          "Read the settings from FILE instead of $" SETTINGS_VARIABLE, 0 },
        { "check", 'c', NULL, 0, "Check the settings and exit", 0 },
        { 0 } };

struct arguments
{
  const char *settings;
  bool check;
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->settings = arg;
      return 0;
    case 'c':
      arguments->check = true;
      return 0;
    case ARGP_KEY_END:
      if (!arguments->settings)
        argp_error (state, "no settings: give --settings or set $%s",
                    SETTINGS_VARIABLE);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Update the mean request rate at the end of a sample and report it to the
   fleet.  */
static void
update_request_rate (struct ms_gateway *gw)
{
  struct ms_request_rate *request_rate = &gw->request_rate;
  ms_time elapsed = gw->now - request_rate->since;
  double capacity;

  if (elapsed < RATE_PERIOD)
    return;
  request_rate->rate
      += RATE_WEIGHT
         * ((double)request_rate->count * MS_SEC / (double)elapsed
            - request_rate->rate);
  request_rate->count = 0;
  request_rate->since = gw->now;
  /* In thousandths of a core, and in requests in ten seconds.  */
  capacity = gw->settings->cpu_cores * 1000;
  ms_fleet_set_load (gw->fleet, (unsigned)capacity,
                     (unsigned)(capacity * ms_pressure_busy (gw->pressure)),
                     (unsigned)(request_rate->rate * 10));
  gw->crowded = ms_fleet_crowded (gw->fleet, gw->now);
}

static void
on_tick (uv_timer_t *timer)
{
  struct ms_gateway *gw = timer->data;
  ms_time now = ms_gateway_update_time (gw);
  bool direct;

  gw->loop_late = now - gw->last_tick > LATE_TICK;
  gw->last_tick = now;
  ms_gateway_check_pressure (gw);
  direct = gw->relay_failed || ms_fleet_reads_store (gw->fleet, now);
  ms_topic_tick (gw->operator_topic, direct, now);
  ms_topic_tick (gw->endpoint_topic, direct, now);
  ms_rollout_driver_tick (gw->rollout_driver, now);
  ms_peers_tick (gw->peers, now);
  ms_health_tick (gw->health, now);
  ms_gateway_update_shares (gw, now);
  ms_place_tick (gw->place, now);
  ms_requests_tick (gw, now);
  if (now - gw->swept_at >= SWEEP_PERIOD)
    {
      gw->swept_at = now;
      ms_upstreams_sweep (gw, now);
      ms_callers_sweep (gw, now);
      ms_sockets_sweep (now);
      ms_guard_tick (gw->guard, now);
      ms_part_guard_tick (gw->part_guard, now);
      ms_streams_tick (gw->streams, now);
      if (gw->returns)
        ms_returns_tick (gw->returns, now);
    }
  update_request_rate (gw);
  if (ms_gateway_leave (gw))
    {
      ms_event (now, "stop", "requests=%u", gw->requests_count);
      uv_stop (&gw->loop);
    }
  ms_event_flush (now);
}

static void
on_terminate (uv_signal_t *handle, int number)
{
  struct ms_gateway *gw = handle->data;

  (void)number;
  if (gw->terminated_at)
    return;
  gw->terminated_at = ms_gateway_update_time (gw);
  ms_event (gw->now, "leaving", "requests=%u", gw->requests_count);
  ms_peers_announce (gw->peers, gw->now);
}

static void
on_hang_up (uv_signal_t *handle, int number)
{
  struct ms_gateway *gw = handle->data;

  (void)number;
  ms_gateway_update_time (gw);
  ms_gateway_reload (gw);
}

/* Log that WHAT failed, with the last error message, and exit.  */
static void
fail_start (const char *what)
{
  ms_log (MS_ERROR, "gateway", "%s: %s", what, ms_last_message ());
  exit (EXIT_FAILURE);
}

static void
listen_at (struct ms_gateway *gw, uv_tcp_t *listener, const char *address,
           uv_connection_cb accept)
{
  struct sockaddr_in parsed;

  listener->data = gw;
  if (ms_address_parse (address, &parsed) != MS_OK
      || ms_socket_listen (&gw->loop, listener, &parsed, MS_BACKLOG, accept)
             != MS_OK)
    fail_start ("listen");
}

static void
watch_signal (struct ms_gateway *gw, uv_signal_t *handle, int number,
              uv_signal_cb callback)
{
  uv_signal_init (&gw->loop, handle);
  handle->data = gw;
  uv_signal_start (handle, callback, number);
}

static void
start_gateway (struct ms_gateway *gw)
{
  const struct ms_gateway_settings *s = gw->settings;

  gw->clock = ms_system_clock ();
  ms_gateway_update_time (gw);
  gw->id = ms_id (ms_str (s->name));
  gw->zone = ms_id (ms_str (s->availability_zone));
  gw->incarnation = (uint64_t)ms_gateway_unix_us ();
  gw->random.state = gw->id ^ gw->incarnation;
  ms_address_parse (s->caller_address, &gw->caller_address);
  if (uv_loop_init (&gw->loop)
      || uv_loop_configure (&gw->loop, UV_METRICS_IDLE_TIME))
    fail_start ("event loop");
  ms_gateway_create_modules (gw);
  ms_gateway_follow_store (gw);
  if (ms_peers_create (gw, &gw->peers) != MS_OK)
    fail_start ("peers");
  gw->health = ms_health_create (gw);
  watch_signal (gw, &gw->terminate, SIGTERM, on_terminate);
  watch_signal (gw, &gw->hang_up, SIGHUP, on_hang_up);
  ms_gateway_listen (gw);
  if (!gw->listening)
    fail_start ("listen");
  listen_at (gw, &gw->ready_listener, s->ready_address, ms_pages_accept);
  listen_at (gw, &gw->directory_listener, s->directory_address,
             ms_pages_accept);
  listen_at (gw, &gw->control_listener, s->control_address, ms_pages_accept);
  if (s->metrics_address)
    listen_at (gw, &gw->metrics_listener, s->metrics_address, ms_pages_accept);
  uv_timer_init (&gw->loop, &gw->timer);
  gw->timer.data = gw;
  uv_timer_start (&gw->timer, on_tick, 0, MS_TICK_MS);
  ms_event (gw->now, "start", "name=%s zone=%s version=%s", s->name,
            s->availability_zone, MS_VERSION);
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL, doc, NULL, NULL, NULL };
  struct arguments arguments = { .settings = getenv (SETTINGS_VARIABLE) };
  struct ms_gateway_settings *settings;
  /* Static so that the state stays reachable until the process has exited.  */
  static struct ms_gateway *gw;

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  if (ms_gateway_settings_load (arguments.settings, &settings) != MS_OK)
    fail_start ("settings");
  if (arguments.check)
    {
      ms_gateway_settings_destroy (settings);
      return EXIT_SUCCESS;
    }
  gw = ms_new (sizeof *gw);
  gw->settings = settings;
  gw->settings_path = arguments.settings;
  signal (SIGPIPE, SIG_IGN);
  start_gateway (gw);
  uv_run (&gw->loop, UV_RUN_DEFAULT);
  ms_event_flush (ms_gateway_update_time (gw));
  return EXIT_SUCCESS;
}

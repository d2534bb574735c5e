#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <uv.h>

#include "admit/budget.h"
#include "admit/pressure.h"
#include "admit/returns.h"
#include "admit/room.h"
#include "admit/share.h"
#include "base/clock.h"
#include "base/random.h"
#include "fleet/fleet.h"
#include "fleet/streams.h"
#include "gateway/settings.h"
#include "gateway/socket.h"
#include "gateway/topic.h"
#include "guard/crashes.h"
#include "guard/guard.h"
#include "guard/parts.h"
#include "place/place.h"
#include "platform.h"
#include "rollout/rollout.h"
#include "route/route.h"

/* State of one gateway process, which is one router of the fleet.  A single
   libuv loop does all input and output and calls the modules that decide
   (routes, place, guard, budget, share, pressure, fleet), which open no
   sockets and read no clock.  Everything here belongs to the loop's thread.
   Times are ms_time: microseconds on the gateway's clock.  */

/* Rate at which callers' requests arrive.  */
struct ms_request_rate
{
  ms_time since;  /* Start of the current sample.  */
  unsigned count; /* Requests in the current sample.  */
  double rate;    /* Requests per second, as an exponential moving average.  */
};

/* How much of the newest configuration that was read is in force.  */
enum ms_config_state
{
  MS_CONFIG_IN_FORCE,   /* All of it, or none was read yet.  */
  MS_CONFIG_TEAMS_ONLY, /* Its teams and keys, with the routes of the one
                           before.  */
  MS_CONFIG_UNREADABLE  /* Nothing, so that any key may have been revoked.  */
};

struct ms_request;
struct ms_waiting;
struct ms_caller;
struct ms_peers;
struct ms_rollout_driver;
struct ms_health;

struct ms_gateway
{
  uv_loop_t loop;
  uv_timer_t timer;
  uv_signal_t terminate; /* SIGTERM: stop.  */
  uv_signal_t hang_up;   /* SIGHUP: read the settings again.  */
  uv_tcp_t caller_listener;
  bool listening;        /* caller_listener is open.  */
  bool listener_closing; /* caller_listener is being closed.  */
  bool ending; /* The callers' port stays closed until the process exits.  */
  uv_tcp_t ready_listener;
  uv_tcp_t directory_listener;
  uv_tcp_t control_listener;
  uv_tcp_t metrics_listener;
  struct ms_clock clock;
  struct ms_random random;
  struct ms_gateway_settings *settings;
  const char *settings_path;
  struct sockaddr_in caller_address;
  uint64_t id;          /* Hash of the router's name.  */
  uint64_t incarnation; /* Start of the process in Unix microseconds.  */
  uint64_t zone;        /* Hash of its availability zone's name.  */

  struct ms_routes *routes; /* NULL before the first configuration.  */
  enum ms_config_state config_state;
  struct ms_topic *operator_topic;
  struct ms_topic *endpoint_topic;
  struct ms_place *place;
  struct ms_guard *guard;
  struct ms_part_guard *part_guard;
  struct ms_crashes *crashes;
  struct ms_streams *streams;
  struct ms_budget *budget;
  struct ms_share *share;
  struct ms_returns *returns; /* NULL while the setting is off.  */
  struct ms_pressure *pressure;
  struct ms_room *room;
  struct ms_fleet *fleet;
  struct ms_peers *peers;
  struct ms_rollouts *rollouts;
  struct ms_rollout_driver *rollout_driver;
  struct ms_health *health;

  struct ms_request *requests; /* In progress, oldest first.  */
  struct ms_waiting *waiting;  /* Requests that wait for capacity.  */

  /* The request that ms_request_begin is starting.  ms_request_free sets it to
     NULL if that request ends, and is freed, while it is being started.  */
  struct ms_request *starting_request;
  unsigned requests_count;   /* Length of REQUESTS.  */
  struct ms_caller *callers; /* Open connections, oldest first.  */
  size_t body_bytes;         /* Total size of request bodies in memory.  */
  size_t held_back;          /* Memory for parts of responses that are not
                                passed on yet.  */
  bool room_scarce;          /* As logged last.  */
  ms_time now;               /* Last reading of CLOCK.  */
  ms_time last_tick;         /* Start of the last tick.  */
  ms_time stalled_at;        /* When the process ran again after the last time
                                that it did not; 0 if there was none.  */
  ms_time delayed_at;  /* When the process last ran again after it did not
                          for longer than two ticks...  */
  ms_time delayed_for; /* ...and for how long.  */
  ms_time swept_at;    /* Start of the last sweep: a check of all
                          connections' timeouts.  */
  ms_time shares_logged_at;
  ms_time terminated_at; /* When SIGTERM was received; 0 if it was not.  */

  /* Connections reset since SWEPT_AT because too many sockets were open.  */
  unsigned rejected_connections;

  /* The last tick came late, so requests may have waited unread until their
     callers left.  */
  bool loop_late;

  /* Requests per core are well above the zone's mean: callers should reconnect
     to another router.  */
  bool crowded;
  struct ms_request_rate request_rate;
  bool relay_failed; /* The last call to a peer for a relay failed.  */
};

/* Time from one tick to the next.  A tick is one call of the timer, which does
   all periodic work.  */
#define MS_TICK_MS 20

/* Read the clock, store the time in GW's NOW and return it.  */
ms_time ms_gateway_update_time (struct ms_gateway *gw);

/* The time of day, in Unix microseconds.  It may differ between machines and
   jump.  */
int64_t ms_gateway_unix_us (void);

/* Connections that may wait to be accepted, per listener.  */
#define MS_BACKLOG 1024

/* Create the modules that decide, with options from the settings.  */
void ms_gateway_create_modules (struct ms_gateway *gw);

/* Read the settings file again and apply it.  The old settings stay in force
   if the new ones are invalid or change a field that takes a restart.  */
void ms_gateway_reload (struct ms_gateway *gw);

/* Start following the two topics of the store that hold the operators'
   configuration and the list of endpoints.  */
void ms_gateway_follow_store (struct ms_gateway *gw);

/* Open the callers' port.  A failure is logged, leaves LISTENING false, and is
   tried again by ms_gateway_check_pressure.  */
void ms_gateway_listen (struct ms_gateway *gw);

/* Close the callers' port.  Connections that wait there are accepted first. */
void ms_gateway_stop_listening (struct ms_gateway *gw);

/* Whether a request that arrives now is served although SIGTERM was received:
   it arrives early enough, or its TIME_LEFT ends before the process does.
   Always true before SIGTERM.  */
bool ms_gateway_may_serve (const struct ms_gateway *gw, ms_time time_left);

/* Leave after SIGTERM; call on every tick.  Once no request is in progress,
   the idle connections of callers are closed, then their port; requests that
   waited there are answered first.  Near the end of the grace period what is
   still in progress is ended, so that no caller is left without an answer.
   Return whether the process is to exit, which waits until callers have taken
   their answers.  */
bool ms_gateway_leave (struct ms_gateway *gw);

/* Measure the loop's load, once per tick.  Close the callers' port while
   ms_pressure_shut asks for it, that is, when the load is high and ticks come
   late, so that new callers are refused at once and try another router; open
   it again afterwards.  Requests that are read meanwhile get 503.  */
void ms_gateway_check_pressure (struct ms_gateway *gw);

/* Whether callers should connect here: the gateway has a configuration and at
   least one endpoint, ms_gateway_keys_fresh is true now, and SIGTERM was not
   received.  */
bool ms_gateway_ready (struct ms_gateway *gw);

/* Whether a request that carries a key may be sent at NOW: the configuration
   was read so recently that the key cannot have been revoked for longer than
   the operators allow.  Always true without the setting strict_revocation.  */
bool ms_gateway_keys_fresh (struct ms_gateway *gw, ms_time now);

/* Whether the configuration was read recently enough at NOW that a route or
   key which it lacks can be reported to callers as not existing.  */
bool ms_gateway_config_recent (struct ms_gateway *gw, ms_time now);

/* Since when this router doubts at NOW that the list of endpoints is up to
   date: its reads of the store are overdue or fail and no peer has relayed a
   later read, or nothing has confirmed the list for too long.  0 if it does
   not.  */
ms_time ms_gateway_endpoints_doubted_since (const struct ms_gateway *gw,
                                            ms_time now);

#endif

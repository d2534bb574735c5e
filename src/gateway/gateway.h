#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <uv.h>

#include "admit/budget.h"
#include "admit/pressure.h"
#include "admit/share.h"
#include "base/clock.h"
#include "base/random.h"
#include "fleet/fleet.h"
#include "gateway/settings.h"
#include "gateway/socket.h"
#include "gateway/topic.h"
#include "guard/guard.h"
#include "place/place.h"
#include "platform.h"
#include "route/route.h"

/* One gateway process: an event loop around the decisions.  */

/* Requests counted since a time.  */
struct ms_tally
{
  ms_time since;
  unsigned count;
  double rate; /* A second, as an exponential mean.  */
};

struct ms_request;
struct ms_waiting;
struct ms_caller;
struct ms_peers;

struct ms_gateway
{
  uv_loop_t loop;
  uv_timer_t timer;
  uv_signal_t terminate;
  uv_signal_t hang_up;
  uv_tcp_t caller_listener;
  bool listening; /* For callers; else the listener is closed...  */
  bool closing;   /* ...or about to be.  */
  uv_tcp_t ready_listener;
  uv_tcp_t directory_listener;
  uv_tcp_t control_listener;
  uv_tcp_t metrics_listener;
  struct ms_clock clock;
  struct ms_random random;
  struct ms_gateway_settings *settings;
  const char *settings_path;
  struct sockaddr_in caller_address;
  uint64_t id;
  uint64_t incarnation;
  uint64_t zone;

  struct ms_routes *routes; /* NULL before the first configuration.  */
  struct ms_topic *operator_topic;
  struct ms_topic *endpoint_topic;
  struct ms_place *place;
  struct ms_guard *guard;
  struct ms_budget *budget;
  struct ms_share *share;
  struct ms_pressure *pressure;
  struct ms_fleet *fleet;
  struct ms_peers *peers;

  struct ms_request *requests;  /* In progress, oldest first.  */
  struct ms_waiting *waiting;   /* Those for which there is no room.  */
  struct ms_request *beginning; /* Being begun; NULL if it has ended.  */
  unsigned requests_count;
  struct ms_caller *callers;
  size_t body_bytes; /* Held for requests in progress.  */
  ms_time now;       /* Of this turn of the loop.  */
  ms_time last_tick;
  ms_time swept_at;      /* Connections were looked through.  */
  ms_time terminated_at; /* SIGTERM came; 0 if not.  */
  unsigned turned_away;  /* Callers since the last turn, for want of room.  */
  bool late;    /* The loop's turns come late: callers may have left.  */
  bool crowded; /* Callers had better connect anew.  */
  struct ms_tally tally;
  bool relay_fails; /* The last relay that was asked for did not come.  */
};

/* How long between two turns of the gateway's clock.  */
#define MS_TICK_MS 20

/* The time, read anew.  */
ms_time ms_gateway_time (struct ms_gateway *gw);

/* Connections that wait to be accepted.  */
#define MS_BACKLOG 1024

/* Make the decisions by the settings.  */
void ms_gateway_create_decisions (struct ms_gateway *gw);

/* Read the settings again and go on with them; the old ones stay if they are
   wrong or take a restart.  */
void ms_gateway_reload (struct ms_gateway *gw);

/* Follow the operators' configuration and the list of endpoints.  */
void ms_gateway_follow_store (struct ms_gateway *gw);

/* Open the callers' port; a failure is logged and tried again.  */
void ms_gateway_listen (struct ms_gateway *gw);

/* Close the callers' port while the loop is pressed too hard, so that callers
   try another router at once; open it again after.  */
void ms_gateway_mind_pressure (struct ms_gateway *gw);

/* Whether callers should come here.  */
bool ms_gateway_ready (struct ms_gateway *gw);

/* Whether a request that carries a key may still be sent: the configuration
   was read recently enough for a revocation to have been seen.  */
bool ms_gateway_keys_fresh (struct ms_gateway *gw, ms_time now);

/* Whether what the configuration does not know is known not to exist.  */
bool ms_gateway_config_recent (struct ms_gateway *gw, ms_time now);

#endif

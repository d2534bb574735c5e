#include "gateway/health.h"

#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/exchange.h"
#include "gateway/metrics.h"
#include "gateway/peers.h"
#include "platform.h"

/* Time limit of a call, and time from one call to an endpoint to the next.  */
#define CALL_TIMEOUT (400 * MS_MSEC)
#define CALL_PERIOD (100 * MS_MSEC)

/* A connection that was not used for so long is closed.  */
#define IDLE_TIME (1 * MS_SEC)

/* Endpoints that could not write their entries in an outage of the store have
   done so this many of their periods after it.  A doubt that was over in
   SHORT_DOUBT held back no entry.  */
#define REWRITE_PERIODS 1.25
#define SHORT_DOUBT (100 * MS_MSEC)

/* How long a peer's doubt counts, so that lost digests do no harm.  */
#define HEARD_TIME (500 * MS_MSEC)

/* Limit on the body of a health page, which is not used.  */
#define MAX_BODY_BYTES 16384

/* An endpoint that is asked.  */
struct ask
{
  struct ms_health *health;
  struct ms_endpoint_state *endpoint;
  struct ms_exchange *exchange;
  ms_time called_at; /* The last call.  */
  int64_t born;      /* The endpoint's start, as listed then.  */
  bool told;         /* The answer says whether the endpoint is cold.  */
  ms_time cold_for;  /* If told, for how long it stays cold.  */
  struct ask *prev, *next;
};

struct ms_health
{
  struct ms_gateway *gw;
  struct ask *asks;
  ms_time own_since;     /* As of ms_health_doubted_since.  */
  ms_time heard_since;   /* The same of a peer, */
  ms_time heard_at;      /* and when it last said so.  */
  ms_time doubted_since; /* By either, or until entries are written again; 0:
                            the list is not doubted.  */
  ms_time doubted_at;    /* The last tick in which it was by either.  */
};

struct ms_health *
ms_health_create (struct ms_gateway *gw)
{
  struct ms_health *health = ms_new (sizeof *health);

  health->gw = gw;
  return health;
}

static void
end_ask (struct ask *ask)
{
  DL_DELETE (ask->health->asks, ask);
  ms_exchange_destroy (ask->exchange);
  ms_place_release (ask->health->gw->place, ask->endpoint);
  free (ask);
}

void
ms_health_destroy (struct ms_health *health)
{
  struct ask *ask, *next;

  if (!health)
    return;
  DL_FOREACH_SAFE (health->asks, ask, next) { end_ask (ask); }
  free (health);
}

static void
on_head (void *context, const struct ms_head *head)
{
  struct ask *ask = context;
  const struct ms_name *id = &ask->endpoint->entry.id;

  ask->told = plat_decode_health (
      head, (struct ms_str){ id->data, id->length }, &ask->cold_for);
}

static void
on_answer (void *context, enum ms_status status, unsigned code,
           struct ms_str body, ms_time sent_at)
{
  struct ask *ask = context;
  struct ms_gateway *gw = ask->health->gw;
  struct ms_endpoint_state *e = ask->endpoint;
  ms_time now = ms_gateway_update_time (gw);
  bool known = now < e->cold_until;

  (void)code;
  (void)body;
  if (status != MS_OK || !ask->told || !ms_place_is_start (e, ask->born))
    return;
  ms_place_note_cold (e, ask->cold_for, sent_at, now);
  if (known || now >= e->cold_until)
    return;
  ms_event (now, "endpoint_cold", "source=health endpoint=%s cold_ms=%lld",
            e->entry.id.data, (long long)(ask->cold_for / MS_MSEC));
  ms_peers_announce (gw->peers, now);
}

static struct ask *
find_ask (const struct ms_health *health, const struct ms_endpoint_state *e)
{
  struct ask *ask;

  DL_FOREACH (health->asks, ask)
  {
    if (ask->endpoint == e)
      return ask;
  }
  return NULL;
}

static struct ask *
add_ask (struct ms_health *health, struct ms_endpoint_state *e)
{
  struct ask *ask = ms_new (sizeof *ask);

  ask->health = health;
  ask->endpoint = e;
  ms_place_hold (e);
  ask->exchange = ms_exchange_create (&health->gw->loop, &health->gw->clock);
  ms_exchange_on_head (ask->exchange, on_head, ask);
  ms_exchange_limit_body (ask->exchange, MAX_BODY_BYTES);
  DL_APPEND (health->asks, ask);
  return ask;
}

/* Ask E if that is due.  */
static void
visit_endpoint (void *context, struct ms_endpoint_state *e)
{
  struct ms_health *health = context;
  struct ms_gateway *gw = health->gw;
  const struct ms_service_entry *service;
  struct ask *ask;

  if (!ms_place_asks (gw->place, e, health->doubted_since, gw->now))
    return;
  ask = find_ask (health, e);
  if (!ask)
    ask = add_ask (health, e);
  else if (ms_exchange_busy (ask->exchange)
           || gw->now - ask->called_at < CALL_PERIOD)
    return;
  service = ms_routes_service (gw->routes, e->entry.service);
  ask->called_at = gw->now;
  ask->born = e->entry.born;
  ask->told = false;
  ms_metric_endpoint_ask ();
  ms_exchange_call (ask->exchange, &e->entry.address, "GET",
                    service->health_path.data, (struct ms_str){ "", 0 },
                    CALL_TIMEOUT, on_answer, ask);
}

ms_time
ms_health_doubted_since (const struct ms_health *health)
{
  return health ? health->own_since : 0;
}

void
ms_health_note_doubt (struct ms_health *health, ms_time since)
{
  if (!health)
    return;
  health->heard_since = since;
  health->heard_at = health->gw->now;
}

/* Update since when the list is doubted.  */
static void
update_doubt (struct ms_health *health, ms_time now)
{
  struct ms_gateway *gw = health->gw;
  ms_time rewrite = (ms_time)(REWRITE_PERIODS * MS_MSEC
                              * gw->settings->endpoint_heartbeat_ms);
  ms_time read_at = ms_topic_read_at (gw->endpoint_topic);
  ms_time since = ms_gateway_endpoints_doubted_since (gw, now);

  health->own_since = since;
  if (now - health->heard_at < HEARD_TIME && read_at <= health->heard_since
      && (!since || health->heard_since < since))
    since = health->heard_since;
  if (since)
    {
      if (!health->doubted_since)
        ms_event (
            now, "endpoints_doubted", "since_ms=%lld list_ms=%lld own=%d",
            (long long)((now - since) / MS_MSEC),
            (long long)((now - read_at) / MS_MSEC), health->own_since != 0);
      health->doubted_since = since;
      health->doubted_at = now;
    }
  else if (health->doubted_at - health->doubted_since <= SHORT_DOUBT
           || now - health->doubted_at >= rewrite)
    health->doubted_since = 0;
}

void
ms_health_tick (struct ms_health *health, ms_time now)
{
  struct ask *ask, *next;

  DL_FOREACH_SAFE (health->asks, ask, next)
  {
    if (!ms_exchange_busy (ask->exchange) && now - ask->called_at > IDLE_TIME)
      end_ask (ask);
  }
  update_doubt (health, now);
  if (health->doubted_since)
    ms_place_each (health->gw->place, visit_endpoint, health);
}

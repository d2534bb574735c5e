#include "base/event.h"
#include "gateway/gateway.h"
#include "gateway/rollouts.h"

/* Follows the topics of the store that hold the operators' configuration and
   the list of endpoints, applies each change, and tells whether the copy of
   the configuration is recent.  */

/* Long polls of the two topics: how long the store may hold a read open, and
   the pause between two reads, as fractions of the time in which a change must
   be obeyed.  */
#define READ_WAIT_FRACTION 0.3
#define OPERATOR_READ_PAUSE (50 * MS_MSEC)
#define ENDPOINT_READ_PAUSE_FRACTION 0.2

/* Age of a topic at which a router that gets it by relays reads the store
   itself, as a fraction of the time in which a change must be obeyed.  The
   rest is for the read and a repeat of it, and for requests on the way.  */
#define MAX_AGE_FRACTION 0.6

/* The store removes an entry that its endpoint has not written for three of
   its periods, so that an outage must last for two of them at least to cost
   one.  A list as old as drain_timeout_ms cannot keep that bound anyway.  */
#define ENDPOINT_OUTAGE_PERIODS 2

/* How long after an outage an endpoint is kept that the list lacks: by then
   those that live have written their entry again.  */
#define ENDPOINT_KEEP (1500 * MS_MSEC)

/* By then operators, endpoints and routers have written again what a store
   that came back from an older copy had lost.  */
#define REWRITE_TIME (2500 * MS_MSEC)

/* Part of the revocation bound that is set aside for a request to reach its
   endpoint after its key was checked.  */
#define REVOCATION_MARGIN (400 * MS_MSEC)

/* A configuration confirmed within this fraction of config_apply_ms, the time
   in which a change must take effect, is recent enough to conclude that a
   route or key that it lacks does not exist.  */
#define CONFIG_RECENT_FRACTION 0.95

bool
ms_gateway_keys_fresh (struct ms_gateway *gw, ms_time now)
{
  ms_time bound = (ms_time)(gw->settings->revocation_ms * MS_MSEC);

  if (!gw->settings->strict_revocation)
    return true;
  if (gw->config_state == MS_CONFIG_UNREADABLE)
    return false;
  return now - ms_topic_read_at (gw->operator_topic)
         < bound - REVOCATION_MARGIN;
}

bool
ms_gateway_config_recent (struct ms_gateway *gw, ms_time now)
{
  ms_time bound = (ms_time)(gw->settings->config_apply_ms * MS_MSEC
                            * CONFIG_RECENT_FRACTION);

  return gw->config_state == MS_CONFIG_IN_FORCE
         && now - ms_topic_read_at (gw->operator_topic) < bound
         && !ms_replica_settling (ms_topic_replica (gw->operator_topic), now);
}

bool
ms_gateway_ready (struct ms_gateway *gw)
{
  return gw->routes && !gw->terminated_at && ms_place_count (gw->place)
         && ms_gateway_keys_fresh (gw, gw->now);
}

/* Return whether VERSION is older than that of the routes in force.  */
static bool
is_older_config (const struct ms_gateway *gw, uint64_t version)
{
  if (!gw->routes || version >= gw->routes->version)
    return false;
  ms_event (gw->now, "configuration_older", "version=%llu in_force=%llu",
            (unsigned long long)version,
            (unsigned long long)gw->routes->version);
  return true;
}

/* Put the keys of a configuration into force whose rest cannot be decoded:
   what it takes away must stop all the same.  Its teams join the routes of the
   configuration before.  */
static void
apply_teams (struct ms_gateway *gw, struct ms_str text)
{
  struct ms_routes *refused;

  if (plat_decode_teams (text, &refused) != MS_OK)
    {
      gw->config_state = MS_CONFIG_UNREADABLE;
      ms_event (gw->now, "keys_unknown", "error=\"%s\"", ms_last_message ());
      return;
    }
  if (!refused->version || !is_older_config (gw, refused->version))
    {
      gw->config_state = MS_CONFIG_TEAMS_ONLY;
      if (gw->routes)
        {
          ms_routes_swap_teams (gw->routes, refused);
          /* Older ones must not bring back what it took away.  */
          if (refused->version)
            gw->routes->version = refused->version;
        }
      ms_event (gw->now, "configuration_teams",
                "version=%llu teams=%u keys=%u",
                (unsigned long long)refused->version,
                gw->routes ? gw->routes->teams_count : 0,
                gw->routes ? gw->routes->keys_count : 0);
    }
  ms_routes_destroy (refused);
}

static void
apply_config (struct ms_gateway *gw, struct ms_str text)
{
  struct ms_routes *routes;
  struct ms_routes *old = gw->routes;

  if (plat_decode_routes (text, &routes) != MS_OK)
    {
      ms_event (gw->now, "configuration_refused", "error=\"%s\"",
                ms_last_message ());
      apply_teams (gw, text);
      return;
    }
  if (is_older_config (gw, routes->version))
    {
      ms_routes_destroy (routes);
      return;
    }
  gw->config_state = MS_CONFIG_IN_FORCE;
  gw->routes = routes;
  ms_place_configure (gw->place, routes);
  ms_routes_destroy (old);
  ms_event (gw->now, "configuration", "version=%llu routes=%u teams=%u",
            (unsigned long long)routes->version, routes->routes_count,
            routes->teams_count);
  ms_rollout_driver_configure (gw->rollout_driver);
}

static void
on_operator_change (void *context, struct ms_str key, struct ms_str value,
                    bool removed)
{
  struct ms_gateway *gw = context;
  struct ms_str name;

  switch (plat_operator_key (key, &name))
    {
    case PLAT_OPERATOR_CONFIG:
      if (!removed)
        apply_config (gw, value);
      break;
    case PLAT_OPERATOR_EVACUATION:
      ms_place_evacuate (gw->place, ms_id (name), !removed, gw->now);
      ms_event (gw->now, "zone", "zone=%.*s in_service=%d", (int)name.length,
                name.data, removed);
      break;
    case PLAT_OPERATOR_ROLLOUT:
      ms_rollout_driver_change (gw->rollout_driver, name, value, removed);
      break;
    case PLAT_OPERATOR_OTHER:
      break;
    }
}

/* A record was written again with the value that it has, which means something
   for orders of rollouts only.  */
static bool
on_operator_repeat (void *context, struct ms_str key, struct ms_str value)
{
  struct ms_gateway *gw = context;
  struct ms_str service;

  (void)value;
  if (plat_operator_key (key, &service) != PLAT_OPERATOR_ROLLOUT)
    return false;
  ms_rollout_driver_repeat (gw->rollout_driver, service);
  return true;
}

static void
on_endpoint_change (void *context, struct ms_str key, struct ms_str value,
                    bool removed)
{
  struct ms_gateway *gw = context;
  struct ms_endpoint_entry entry;
  const struct ms_endpoint_state *known
      = ms_place_find (gw->place, ms_id (key));

  if (removed)
    {
      ms_event (gw->now, "endpoint_gone", "endpoint=%.*s", (int)key.length,
                key.data);
      ms_place_remove (gw->place, ms_id (key));
      ms_rollout_driver_note_endpoint (gw->rollout_driver, NULL);
      return;
    }
  if (plat_decode_endpoint (key, value, &entry) != MS_OK)
    {
      ms_event (gw->now, "endpoint_skipped", "error=\"%s\"",
                ms_last_message ());
      ms_place_remove (gw->place, ms_id (key));
      ms_rollout_driver_note_endpoint (gw->rollout_driver, NULL);
      return;
    }
  if (!known || known->entry.leaving != entry.leaving
      || known->entry.born != entry.born)
    ms_event (gw->now, "endpoint", "endpoint=%s leaving=%d cold_ms=%lld",
              entry.id.data, entry.leaving,
              (long long)(entry.cold_for / MS_MSEC));
  /* At once, as a stream may be taken up before the next digest.  */
  ms_streams_note_version (gw->streams, entry.service, entry.version, gw->now);
  ms_rollout_driver_note_endpoint (gw->rollout_driver,
                                   ms_place_put (gw->place, &entry, gw->now));
}

ms_time
ms_gateway_endpoints_doubted_since (const struct ms_gateway *gw, ms_time now)
{
  /* The topics are in the same store.  */
  ms_time suspected_at = ms_topic_suspected_at (gw->endpoint_topic);
  ms_time other = ms_topic_suspected_at (gw->operator_topic);

  if (!suspected_at || (other && other < suspected_at))
    suspected_at = other;
  return ms_topic_doubted_since (gw->endpoint_topic, suspected_at, now);
}

/* Return the max_age of a topic whose changes must be obeyed in BOUND_MS.  */
static ms_time
max_age (double bound_ms)
{
  return (ms_time)(MAX_AGE_FRACTION * bound_ms * MS_MSEC);
}

/* Return the shortest outage of the store in which endpoints' entries may
   expire.  */
static ms_time
endpoint_outage (const struct ms_gateway_settings *s)
{
  double ms = ENDPOINT_OUTAGE_PERIODS * s->endpoint_heartbeat_ms;

  if (ms < s->drain_timeout_ms)
    ms = s->drain_timeout_ms;
  return (ms_time)(ms * MS_MSEC);
}

void
ms_gateway_follow_store (struct ms_gateway *gw)
{
  struct ms_topic_options operator_options = {
    .replica = {
      .name = PLAT_TOPIC_OPERATOR,
      .rewrite = REWRITE_TIME,
      .changed = on_operator_change,
      .repeated = on_operator_repeat,
      .context = gw,
    },
    .wait_ms
    = (unsigned)(READ_WAIT_FRACTION * gw->settings->config_apply_ms),
    .pause = OPERATOR_READ_PAUSE,
    .max_age = max_age (gw->settings->config_apply_ms),
  };
  struct ms_topic_options endpoint_options = {
    .replica = {
      .name = PLAT_TOPIC_ENDPOINTS,
      .outage = endpoint_outage (gw->settings),
      .keep = ENDPOINT_KEEP,
      .rewrite = REWRITE_TIME,
      .changed = on_endpoint_change,
      .context = gw,
    },
    .wait_ms
    = (unsigned)(READ_WAIT_FRACTION * gw->settings->drain_timeout_ms),
    .pause = (ms_time)(ENDPOINT_READ_PAUSE_FRACTION
                       * gw->settings->drain_timeout_ms * MS_MSEC),
    .max_age = max_age (gw->settings->drain_timeout_ms),
  };

  ms_address_parse (gw->settings->store_address, &operator_options.store);
  endpoint_options.store = operator_options.store;
  gw->operator_topic
      = ms_topic_create (&gw->loop, &gw->clock, &operator_options);
  gw->endpoint_topic
      = ms_topic_create (&gw->loop, &gw->clock, &endpoint_options);
}

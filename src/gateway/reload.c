#include <string.h>

#include "base/event.h"
#include "gateway/gateway.h"
#include "gateway/request.h"
#include "gateway/rollouts.h"

/* Log that requests for a service start or stop being sent to ZONE because of
   the state of its endpoints.  */
static void
on_crossing_change (void *context, const struct ms_crossing *c,
                    const struct ms_crossing_zone *zone)
{
  const struct ms_gateway *gw = context;
  const struct ms_service_entry *service
      = gw->routes ? ms_routes_service (gw->routes, c->service) : NULL;
  const struct ms_name name = ms_place_zone_name (gw->place, zone->view.zone);

  ms_event (gw->now, zone->reported ? "crossing_start" : "crossing_stop",
            "service=%s zone=%s fraction=%.3f reason=%s use=%.2f "
            "unserved=%.3f running=%.0f limit=%.0f zone_use=%.2f "
            "zone_room=%.1f zone_routers=%u zone_age_ms=%lld",
            service ? service->name.data : "-", name.length ? name.data : "-",
            zone->fraction, ms_crossing_reason_name (c->reason), c->use,
            c->unserved, c->own.running, c->own.limit, zone->use, zone->room,
            zone->view.routers, (long long)(zone->view.age / MS_MSEC));
}

/* Log that the learned speed of a service or of ENDPOINT has changed.  */
static void
on_speed_change (void *context, const struct ms_engine_speed *speed,
                 const struct ms_endpoint_state *endpoint)
{
  const struct ms_gateway *gw = context;
  const struct ms_service_entry *service
      = gw->routes ? ms_routes_service (gw->routes, speed->service) : NULL;

  ms_event (gw->now, "engine_speed",
            "service=%s endpoint=%s factor=%.2f tokens_per_ms=%.1f "
            "token_ms=%.2f token_ms_per_running=%.3f",
            service ? service->name.data : "-",
            endpoint ? endpoint->entry.id.data : "-",
            endpoint ? endpoint->engine.read_factor : 1, speed->tokens_per_ms,
            speed->token_ms, speed->token_ms_per_running);
}

static struct ms_place_options
place_options (struct ms_gateway *gw)
{
  const struct ms_gateway_settings *s = gw->settings;

  return (struct ms_place_options){
    .self = gw->id,
    .zone = gw->zone,
    .cold_burst_factor = s->cold_burst_factor,
    .cold_slack = s->cold_slack,
    .speed = { .prefill_tokens_per_ms = s->prefill_tokens_per_ms,
               .first_token_ms = s->first_token_ms,
               .token_ms = s->token_ms,
               .token_ms_per_running = s->token_ms_per_running,
               .response_ms = s->response_ms },
    .zone_byte_tokens = s->zone_byte_tokens,
    .use_reports = s->server_load && strcmp (s->server_load, "use") == 0,
    .homes = ms_homes_policy (s->homes ? s->homes : "available"),
    .crossing = ms_crossing_policy (s->crossing ? s->crossing : "balanced"),
    .crossing_changed = on_crossing_change,
    .crossing_context = gw,
    .learn_speed = s->engine_speed && strcmp (s->engine_speed, "learned") == 0,
    .speed_changed = on_speed_change,
    .speed_context = gw,
  };
}

static struct ms_budget_options
budget_options (const struct ms_gateway *gw)
{
  return (struct ms_budget_options){
    .ratio = gw->settings->retry_budget_ratio,
    .slack = gw->settings->retry_budget_slack,
    .window = (ms_time)(gw->settings->retry_window_s * MS_SEC),
  };
}

static void
on_part_change (void *context, const char *event, uint64_t part,
                unsigned deaths)
{
  const struct ms_gateway *gw = context;

  ms_event (gw->now, event, "part=%llx deaths=%u", (unsigned long long)part,
            deaths);
}

/* Start or stop promises to refused callers, as the settings say.  */
static void
configure_returns (struct ms_gateway *gw)
{
  const char *setting = gw->settings->returns;
  bool promised = setting && strcmp (setting, "promised") == 0;

  if (promised == (gw->returns != NULL))
    return;
  ms_returns_destroy (gw->returns);
  gw->returns = promised ? ms_returns_create () : NULL;
}

void
ms_gateway_create_modules (struct ms_gateway *gw)
{
  const struct ms_part_guard_options parts
      = { .changed = on_part_change, .context = gw };
  const struct ms_place_options place = place_options (gw);
  const struct ms_budget_options budget = budget_options (gw);
  const char *placement = gw->settings->placement;

  gw->place = ms_place_create (
      &place, ms_place_policy (placement ? placement : "prefix"));
  gw->guard = ms_guard_create ();
  gw->part_guard = ms_part_guard_create (&parts);
  gw->crashes = ms_crashes_create ();
  gw->streams = ms_streams_create (gw->settings->first_start, gw->now);
  gw->share = ms_share_create ();
  configure_returns (gw);
  gw->pressure = ms_pressure_create ();
  gw->room = ms_room_create ((size_t)gw->settings->memory_mb << 20);
  gw->waiting = ms_requests_create_queue ();
  gw->budget = ms_budget_create (&budget, gw->now);
  /* The incarnation is the random seed as well.  */
  gw->fleet = ms_fleet_create (gw->id, gw->incarnation, gw->zone,
                               gw->caller_address.sin_addr, gw->incarnation,
                               gw->now);
  gw->rollout_driver = ms_rollout_driver_create (gw);
}

void
ms_gateway_reload (struct ms_gateway *gw)
{
  struct ms_gateway_settings *old = gw->settings;
  struct ms_gateway_settings *settings;
  struct ms_place_options place;
  struct ms_budget_options budget;

  if (ms_gateway_settings_load (gw->settings_path, &settings) != MS_OK)
    {
      ms_event (gw->now, "reload_refused", "error=\"%s\"", ms_last_message ());
      return;
    }
  if (ms_gateway_settings_check_reload (settings, old) != MS_OK)
    {
      ms_event (gw->now, "reload_refused", "error=\"%s\"", ms_last_message ());
      ms_gateway_settings_destroy (settings);
      return;
    }
  gw->settings = settings;
  ms_room_set_memory (gw->room, (size_t)settings->memory_mb << 20);
  ms_gateway_settings_destroy (old);
  place = place_options (gw);
  budget = budget_options (gw);
  ms_place_set_options (gw->place, &place);
  ms_budget_set_options (gw->budget, &budget);
  configure_returns (gw);
  ms_rollout_driver_reload (gw->rollout_driver);
  ms_event (gw->now, "reload", "settings=%s", gw->settings_path);
}

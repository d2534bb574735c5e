#include "gateway/shares.h"

#include "base/event.h"

#define LOG_PERIOD (1 * MS_SEC)

/* Most limited teams that are logged at once.  */
#define MAX_LOGGED_TEAMS 8

static void
log_limited_teams (struct ms_gateway *gw, ms_time now)
{
  struct ms_limited_team teams[MAX_LOGGED_TEAMS];
  unsigned count
      = ms_share_limited_teams (gw->share, now, teams, MAX_LOGGED_TEAMS);

  for (unsigned i = 0; i < count; i++)
    {
      const struct ms_team_entry *entry
          = gw->routes ? ms_routes_team (gw->routes, teams[i].team) : NULL;

      ms_event (now, "limited_team",
                "team=%.*s demand=%.0f others_demand=%.0f credit=%.0f",
                entry ? (int)entry->name.length : 1,
                entry ? entry->name.data : "-", teams[i].demand,
                teams[i].others_demand, teams[i].credit);
    }
}

static void
log_shares (struct ms_gateway *gw, ms_time now)
{
  const struct ms_share_state state = ms_share_state (gw->share);

  if (state.level <= 0 || now - gw->shares_logged_at < LOG_PERIOD)
    return;
  gw->shares_logged_at = now;
  ms_event (now, "share",
            "level=%.0f own_level=%.0f others_level=%.0f use=%.2f "
            "unplaced=%.3f answered=%.0f wait_ms=%.0f run_ms=%.0f "
            "completed=%.0f admitted=%.0f capacity=%.0f read_rate=%.0f "
            "demand_scale=%.2f",
            state.level, state.own_level, state.others_level,
            state.used_fraction, state.unplaced_fraction, state.answered,
            state.wait_s * 1000, state.run_s * 1000, state.completed,
            state.admitted, state.capacity, state.read_rate,
            state.demand_scale);
  log_limited_teams (gw, now);
}

void
ms_gateway_update_shares (struct ms_gateway *gw, ms_time now)
{
  struct ms_place_use use;
  struct ms_share_usage usage;

  if (!ms_share_is_due (gw->share, now))
    return;
  use = ms_place_use (gw->place, now);
  /* The tokens stand for the cost, which they understate: a generated token
     costs more than one cost unit.  */
  usage = (struct ms_share_usage){ use.fraction, use.tokens, use.wait_s,
                                   use.read_rate };
  if (gw->routes)
    ms_share_set_capacity (gw->share, gw->routes->limits.tokens_per_second);
  ms_share_tick (gw->share, &usage, now);
  ms_place_set_share (gw->place, ms_share_fraction (gw->share, now));
  log_shares (gw, now);
}

#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/caller.h"
#include "gateway/internal.h"
#include "gateway/request.h"

/* After its deadline or timeout an attempt is given up; the endpoint itself
   stops then and may still say so.  */
#define ENDPOINT_SAYS_SO (60 * MS_MSEC)

/* Requests that come within this time of SIGTERM are served whatever they
   take; later ones if they end so long before the grace period does.  */
#define ACCEPT_AFTER_TERM (3 * MS_SEC)
#define EXIT_MARGIN (600 * MS_MSEC)

/* Without a deadline of the caller's.  */
#define DEFAULT_DEADLINE (60 * MS_SEC)

/* A generated token costs as much as so many tokens of a prompt.  */
#define OUTPUT_COST 2.0

/* Of a route without an aim.  */
#define DEFAULT_AIM (1 * MS_SEC)

/* A request waits for room for this part of its aim, at most.  */
#define WAIT_PART 0.2
#define LONGEST_WAIT (150 * MS_MSEC)

/* The route of the request that waits at CALLER, or NULL after an answer.  */
static const struct ms_route *
find_route (struct ms_gateway *gw, struct ms_caller *caller)
{
  const struct ms_head *head = ms_caller_head (caller);
  struct ms_str host = ms_head_find (head, "Host");
  struct ms_str path = head->target;
  const char *query = memchr (path.data, '?', path.length);
  const char *port = memchr (host.data, ':', host.length);
  const struct ms_route *route;

  if (query)
    path.length = (size_t)(query - path.data);
  if (port)
    host.length = (size_t)(port - host.data);
  route = ms_routes_find (gw->routes, host, path);
  if (route)
    return route;
  ms_event (gw->now, "no_route", "host=%.*s path=%.*s config=%llu",
            (int)host.length, host.data, (int)path.length, path.data,
            (unsigned long long)gw->routes->version);
  if (ms_gateway_config_recent (gw, gw->now))
    ms_caller_refuse (caller, HTTP_STATUS_NOT_FOUND, "no_route", 0);
  else
    ms_caller_refuse (caller, HTTP_STATUS_SERVICE_UNAVAILABLE,
                      "configuration_old", MS_SEC);
  return NULL;
}

/* The team whose key the request carries: 0 after an answer.  */
static uint64_t
find_team (struct ms_gateway *gw, struct ms_caller *caller)
{
  struct ms_str key = ms_head_find (ms_caller_head (caller), PLAT_KEY);
  uint64_t team = ms_routes_key (gw->routes, key);

  if (!ms_gateway_keys_fresh (gw, gw->now)
      || (!team && !ms_gateway_config_recent (gw, gw->now)))
    {
      ms_caller_refuse (caller, HTTP_STATUS_SERVICE_UNAVAILABLE,
                        "configuration_old", MS_SEC);
      return 0;
    }
  if (!team)
    {
      ms_event (gw->now, "unknown_key", "config=%llu",
                (unsigned long long)gw->routes->version);
      ms_caller_refuse (caller, HTTP_STATUS_UNAUTHORIZED, "unknown_key", 0);
    }
  return team;
}

static void
read_deadline (struct ms_request *r, const struct ms_head *head)
{
  struct ms_str text = ms_head_find (head, PLAT_DEADLINE);
  char copy[24] = "";

  if (text.data && text.length < sizeof copy)
    memcpy (copy, text.data, text.length);
  r->deadline = r->arrived
                + (*copy ? (ms_time)(strtod (copy, NULL) * MS_MSEC)
                         : DEFAULT_DEADLINE);
  r->timeout_at = r->route.timeout ? r->arrived + r->route.timeout : MS_NEVER;
}

static uint64_t
fingerprint_of (const struct ms_request *r)
{
  struct ms_str body = ms_caller_body (r->caller);
  const struct ms_head *head = ms_caller_head (r->caller);
  uint64_t path = ms_id (head->target);

  return ms_id_pair (ms_id_pair (r->team, path),
                     body.length ? ms_id (body) : 0);
}

static struct ms_request *
create (struct ms_gateway *gw, struct ms_caller *caller,
        const struct ms_route *route, uint64_t team)
{
  const struct ms_head *head = ms_caller_head (caller);
  struct ms_str id = ms_head_find (head, PLAT_ATTEMPT_ID);
  const struct ms_team_entry *entry
      = team ? ms_routes_team (gw->routes, team) : NULL;
  struct ms_request *r = ms_new (sizeof *r);
  ms_time wait;

  r->gw = gw;
  r->caller = caller;
  r->route = *route;
  r->route.host = r->route.prefix = (struct ms_str){ "", 0 };
  r->service = ms_route_service (route, ms_random_next (&gw->random));
  r->team = team;
  r->keyed = team != 0;
  r->config_version = gw->routes->version;
  if (entry)
    {
      r->team_name.length = entry->name.length < MS_NAME_BYTES
                                ? entry->name.length
                                : MS_NAME_BYTES - 1;
      memcpy (r->team_name.data, entry->name.data, r->team_name.length);
    }
  snprintf (r->attempt_id, sizeof r->attempt_id, "%.*s", (int)id.length,
            id.data ? id.data : "");
  r->arrived = gw->now;
  read_deadline (r, head);
  plat_decode_prompt (head, &r->prompt);
  r->cost = r->prompt.tokens + OUTPUT_COST * r->prompt.output;
  r->fingerprint = fingerprint_of (r);
  r->aim = route->target_latency ? route->target_latency : DEFAULT_AIM;
  wait = (ms_time)(WAIT_PART * (double)r->aim);
  r->waiter = (struct ms_waiter){
    .owner = r,
    .service = r->service,
    .priority
    = entry && entry->has_priority ? entry->priority : route->priority,
    .give_up_at = r->arrived + (wait < LONGEST_WAIT ? wait : LONGEST_WAIT),
  };
  DL_APPEND (gw->requests, r);
  gw->requests_count++;
  return r;
}

/* Whether a gateway that is told to end can still serve R: it came soon after
   that, or is sure to end before the process does.  */
static bool
ends_before_exit (const struct ms_request *r)
{
  const struct ms_gateway *gw = r->gw;
  ms_time exit_at = gw->terminated_at
                    + (ms_time)(gw->settings->grace_period_s * MS_SEC)
                    - EXIT_MARGIN;

  return !gw->terminated_at || gw->now - gw->terminated_at <= ACCEPT_AFTER_TERM
         || gw->now + ms_request_time_left (r, gw->now) < exit_at;
}

struct ms_request *
ms_request_begin (struct ms_gateway *gw, struct ms_caller *caller)
{
  const struct ms_route *route;
  uint64_t team = 0;
  struct ms_request *r;
  enum ms_verdict verdict;

  ms_gateway_time (gw);
  gw->tally.count++;
  if (gw->late && ms_caller_left (caller))
    {
      ms_event (gw->now, "caller_left", "read late");
      ms_caller_refuse (caller, HTTP_STATUS_SERVICE_UNAVAILABLE, "left", 0);
      return NULL;
    }
  if (!gw->routes)
    {
      ms_caller_refuse (caller, HTTP_STATUS_SERVICE_UNAVAILABLE,
                        "no_configuration", MS_SEC);
      return NULL;
    }
  route = find_route (gw, caller);
  if (!route)
    return NULL;
  if (gw->routes->keys_required && !route->public)
    {
      team = find_team (gw, caller);
      if (!team)
        return NULL;
    }
  r = create (gw, caller, route, team);
  ms_budget_count_request (gw->budget, r->service, gw->now);
  verdict = ms_guard_check (gw->guard, r->fingerprint, gw->now);
  if (verdict == MS_QUARANTINED)
    {
      ms_request_refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, "quarantined");
      return NULL;
    }
  if (!ends_before_exit (r))
    {
      ms_request_refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, "leaving");
      return NULL;
    }
  if (team && r->cost > 0
      && !ms_share_admit (gw->share, team, r->cost, gw->now))
    {
      ms_request_refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, "over_share");
      return NULL;
    }
  gw->beginning = r;
  ms_place_arrived (gw->place, r->service, r->prompt.output,
                    ms_request_time_left (r, gw->now) - r->aim);
  ms_request_dispatch (r);
  if (gw->beginning != r)
    return NULL; /* It is answered already.  */
  gw->beginning = NULL;
  return r;
}

void
ms_request_caller_gone (struct ms_request *r)
{
  struct ms_caller *caller = r->caller;

  ms_request_log_end (r, r->status, "caller_gone");
  ms_request_free (r);
  ms_caller_abort (caller);
}

/* Answer R if it is over time.  */
static void
check_time (struct ms_request *r, ms_time now)
{
  ms_time margin = r->sent ? ENDPOINT_SAYS_SO : 0;

  if (ms_request_time_left (r, now) > -margin)
    return;
  if (r->head_sent)
    ms_request_break_off (r, "timeout");
  else if (r->sent || r->may_have_run)
    ms_request_refuse (r, HTTP_STATUS_GATEWAY_TIMEOUT, "timeout");
  else
    ms_request_refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, "timeout");
}

void
ms_requests_tick (struct ms_gateway *gw, ms_time now)
{
  struct ms_request *r, *next;

  DL_FOREACH_SAFE (gw->requests, r, next) { check_time (r, now); }
  ms_waiting_tick (gw->waiting, now);
}

static bool
try_waiting (void *owner)
{
  return ms_request_dispatch (owner);
}

static void
give_up_waiting (void *owner)
{
  ms_request_find_no_room (owner);
}

struct ms_waiting *
ms_requests_waiting (void)
{
  static const struct ms_waiting_callbacks calls
      = { .try = try_waiting, .give_up = give_up_waiting };

  return ms_waiting_create (&calls);
}

#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/alloc.h"
#include "base/event.h"
#include "gateway/caller.h"
#include "gateway/internal.h"
#include "gateway/peers.h"
#include "gateway/request.h"

/* Extra time that a sent request gets after its timeout, and after its
   deadline if it may not be repeated: the endpoint stops at the same deadline,
   and its response that says so, or that it did not run the request, may still
   be on the way.  Other requests end at their deadline.  Their caller waits no
   longer, and an endpoint that notices a closed connection only when it writes
   would take one more event for wanted.  */
#define EXPIRY_RESPONSE_GRACE (60 * MS_MSEC)

/* A request that arrived longer than this ago was read late, so that its
   caller may have left.  */
#define LATE_READ (50 * MS_MSEC)

/* Time for a request whose caller sends no deadline.  */
#define DEFAULT_DEADLINE (60 * MS_SEC)

/* A longer time is taken for this.  */
#define MAX_DEADLINE_MS 86400000.0

/* Cost units of one generated token; a prompt token costs 1.  */
#define OUTPUT_TOKEN_COST 2.0

/* First-byte target of routes that set none.  */
#define DEFAULT_FIRST_BYTE_TARGET (1 * MS_SEC)

/* A request waits for free capacity at an endpoint for at most this fraction
   of its first-byte target, and never longer than MAX_WAIT.  */
#define MAX_WAIT_FRACTION 0.2
#define MAX_WAIT (150 * MS_MSEC)

/* A request that is sent to an endpoint within this part of its first-byte
   target is expected to be answered in time.  */
#define START_FRACTION 0.7

/* Callers honour a Retry-After up to this part of their time left.  */
#define HONOURED_PART 3

/* Return the route of CALLER's request.  If there is none, send an error
   response and return NULL.  A missing route is reported as 404 only while the
   configuration is recent; otherwise the route may be new, so the caller is
   asked to retry.  */
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

/* Return the team whose key the request carries.  If there is none, or the
   configuration is too old, send an error response and return 0.  An old
   configuration may lack a revocation or a new key, so the caller is asked to
   retry then.  */
static uint64_t
find_team (struct ms_gateway *gw, struct ms_caller *caller)
{
  struct ms_str key = ms_head_find (ms_caller_head (caller), PLAT_KEY);
  uint64_t team = ms_routes_key_team (gw->routes, key);

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

/* Set R's deadline from the caller's header, and its timeout from the route.
   The caller's time began when it sent the request.  */
static void
set_time_limits (struct ms_request *r, const struct ms_head *head)
{
  struct ms_str text = ms_head_find (head, PLAT_DEADLINE);
  char copy[24] = "";
  double ms;

  if (text.data && text.length < sizeof copy)
    memcpy (copy, text.data, text.length);
  ms = strtod (copy, NULL);
  /* Written so that it holds for no number at all, too.  */
  if (!(ms > 0))
    ms = 0;
  if (ms > MAX_DEADLINE_MS)
    ms = MAX_DEADLINE_MS;
  r->deadline = *copy ? ms_caller_sent_at (r->caller) + (ms_time)(ms * MS_MSEC)
                      : r->arrived + DEFAULT_DEADLINE;
  r->timeout_at = r->route.timeout ? r->arrived + r->route.timeout : MS_NEVER;
}

/* Hash of team, target and body, by which the guard recognizes a request that
   is sent again.  */
static uint64_t
request_fingerprint (const struct ms_request *r)
{
  struct ms_str body = ms_caller_body (r->caller);
  const struct ms_head *head = ms_caller_head (r->caller);
  uint64_t target = ms_id (head->target);

  return ms_id_pair (ms_id_pair (r->team, target),
                     body.length ? ms_id (body) : 0);
}

/* Collect what the part guard knows R by.  The last part of a prompt is the
   request's own.  */
static void
collect_guarded (struct ms_request *r)
{
  for (unsigned i = 0; i + 1 < r->prompt.parts_count; i++)
    r->guarded[r->guarded_count++] = r->prompt.parts[i].id;
  r->guarded[r->guarded_count++] = r->fingerprint;
}

static struct ms_request *
create_request (struct ms_gateway *gw, struct ms_caller *caller,
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
  /* These point into the routing table, which may be replaced.  */
  r->route.host = r->route.prefix = (struct ms_str){ "", 0 };
  r->service = ms_route_draw_service (route, ms_random_next (&gw->random));
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
  r->full_id = id;
  snprintf (r->request_id, sizeof r->request_id, "%.*s", (int)id.length,
            id.data ? id.data : "");
  r->arrived = gw->now;
  set_time_limits (r, head);
  plat_decode_prompt (head, &r->prompt);
  r->cost = r->prompt.tokens + OUTPUT_TOKEN_COST * r->prompt.output;
  r->fingerprint = request_fingerprint (r);
  collect_guarded (r);
  r->first_byte_target = route->target_latency ? route->target_latency
                                               : DEFAULT_FIRST_BYTE_TARGET;
  wait = (ms_time)(MAX_WAIT_FRACTION * (double)r->first_byte_target);
  r->waiter = (struct ms_waiter){
    .owner = r,
    .service = r->service,
    .priority
    = entry && entry->has_priority ? entry->priority : route->priority,
    .give_up_at = r->arrived + (wait < MAX_WAIT ? wait : MAX_WAIT),
  };
  ms_request_identify_stream (r, head);
  r->route.splits = NULL;
  r->route.splits_count = 0;
  DL_APPEND (gw->requests, r);
  gw->requests_count++;
  return r;
}

/* Whether no part of R's prompt is known to crash endpoints, or R is the trial
   of one that is suspected.  */
static bool
admit_parts (struct ms_request *r)
{
  enum ms_part_verdict verdict = ms_part_guard_admit (
      r->gw->part_guard, r->guarded, r->guarded_count, r->gw->now);

  r->trial = verdict == MS_PART_TRIAL;
  if (r->trial)
    ms_peers_announce (r->gw->peers, r->gw->now);
  return verdict != MS_PART_QUARANTINED;
}

/* Whether R is within its team's share.  A stream that is taken up was, when
   it began.  What callers alone say of a stream does not count, else they
   could exceed the share at will.  */
static bool
is_within_share (const struct ms_request *r)
{
  struct ms_gateway *gw = r->gw;

  if (r->cost <= 0)
    return true;
  if (!r->takes_up || !ms_streams_take_up (gw->streams, r->stream))
    return ms_share_admit (gw->share, r->team, r->cost, gw->now);
  ms_share_admit_rest (gw->share, r->team, r->cost, gw->now);
  return true;
}

/* Describe R, and its team's share, for promises.  */
static void
describe_return (const struct ms_request *r, struct ms_return_request *request,
                 struct ms_return_share *share)
{
  ms_time now = r->gw->now;

  *request = (struct ms_return_request){
    .team = r->team,
    .key = r->return_key,
    .size = r->cost,
    .arrived = r->arrived,
    .target = (ms_time)(START_FRACTION * (double)r->first_byte_target),
    .limit = ms_request_time_left (r, now) / HONOURED_PART,
  };
  share->rate
      = ms_share_team_rate (r->gw->share, r->team, &share->credit, now);
}

/* The same as is_within_share for a request that may claim a promise or return
   too late.  */
static bool
is_within_promised_share (struct ms_request *r)
{
  struct ms_gateway *gw = r->gw;
  struct ms_str key = ms_head_find (ms_caller_head (r->caller), PLAT_KEY);
  struct ms_return_request request;
  struct ms_return_share share;
  double least;

  r->return_key = ms_id_pair (r->fingerprint, ms_id (key));
  describe_return (r, &request, &share);
  least = ms_returns_arrived (gw->returns, &request, &share, gw->now);
  return ms_share_admit_above (gw->share, r->team, r->cost, least, gw->now);
}

ms_time
ms_request_promised_return (struct ms_request *r, const char *reason)
{
  struct ms_return_request request;
  struct ms_return_share share;

  if (!r->gw->returns || !r->return_key || r->attempts
      || (strcmp (reason, "over_share") != 0 && strcmp (reason, "full") != 0))
    return 0;
  describe_return (r, &request, &share);
  return ms_returns_refused (r->gw->returns, &request, &share, r->gw->now);
}

struct ms_request *
ms_request_begin (struct ms_gateway *gw, struct ms_caller *caller)
{
  const struct ms_route *route;
  uint64_t team = 0;
  struct ms_request *r;
  enum ms_verdict verdict;

  ms_gateway_update_time (gw);
  gw->request_rate.count++;
  /* The caller may have given up since it sent the request; an attempt would
     then be wasted.  */
  if ((gw->loop_late || gw->now - ms_caller_sent_at (caller) > LATE_READ)
      && ms_caller_has_closed (caller))
    {
      ms_event (gw->now, "caller_left", "read late");
      ms_caller_refuse (caller, HTTP_STATUS_SERVICE_UNAVAILABLE, "left", 0);
      return NULL;
    }
  if (ms_pressure_shut (gw->pressure))
    {
      ms_caller_refuse (caller, HTTP_STATUS_SERVICE_UNAVAILABLE, "pressure",
                        ms_gateway_retry_after (gw, 0));
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
  r = create_request (gw, caller, route, team);
  ms_budget_count_request (gw->budget, r->service, gw->now);
  /* A request that is MS_SUSPECT is treated like one that is MS_CLEAR: it need
     not run alone.  */
  verdict = ms_guard_check (gw->guard, r->fingerprint, gw->now);
  if (verdict == MS_QUARANTINED || !admit_parts (r))
    {
      ms_request_refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, "quarantined");
      return NULL;
    }
  r->suspect = verdict == MS_SUSPECT || r->trial;
  if (!ms_gateway_may_serve (gw, ms_request_time_left (r, gw->now)))
    {
      ms_request_refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, "leaving");
      return NULL;
    }
  if (r->takes_up && !r->version && !r->confirm_until)
    {
      ms_request_refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE,
                         "version_unknown");
      return NULL;
    }
  if (team
      && !(gw->returns && r->cost > 0 && !r->takes_up
               ? is_within_promised_share (r)
               : is_within_share (r)))
    {
      ms_request_refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, "over_share");
      return NULL;
    }
  gw->starting_request = r;
  /* The last argument is the time left for the rest of a response that starts
     at the first-byte target.  */
  ms_place_arrived (gw->place, r->service, r->prompt.output,
                    ms_request_time_left (r, gw->now) - r->first_byte_target);
  ms_place_count_request (gw->place, r->service, gw->now);
  if (r->confirm_until)
    {
      gw->starting_request = NULL;
      return r;
    }
  ms_request_dispatch (r);
  if (gw->starting_request != r)
    return NULL; /* It has ended and is freed.  */
  gw->starting_request = NULL;
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

void
ms_request_no_room (struct ms_request *r)
{
  ms_request_abort (r, "no_room");
}

/* Whether R's deadline or timeout has passed at NOW, with the extra time that
   R gets.  */
static bool
has_expired (const struct ms_request *r, ms_time now)
{
  ms_time grace = r->sent ? EXPIRY_RESPONSE_GRACE : 0;
  ms_time deadline_grace = r->route.repeat == MS_NON_IDEMPOTENT ? grace : 0;

  return now - r->deadline >= deadline_grace || now - r->timeout_at >= grace;
}

/* End R if its time is over.  */
static void
expire_request (struct ms_request *r, ms_time now)
{
  if (!has_expired (r, now))
    return;
  if (r->head_sent)
    ms_request_abort (r, "timeout");
  else if (r->sent || r->may_have_run)
    ms_request_refuse (r, HTTP_STATUS_GATEWAY_TIMEOUT, "timeout");
  else
    ms_request_refuse (r, HTTP_STATUS_SERVICE_UNAVAILABLE, "timeout");
}

void
ms_requests_tick (struct ms_gateway *gw, ms_time now)
{
  struct ms_request *r, *next;

  DL_FOREACH_SAFE (gw->requests, r, next)
  {
    ms_request_release_stored (r);
    expire_request (r, now);
  }
  DL_FOREACH_SAFE (gw->requests, r, next)
  {
    if (r->confirm_until)
      ms_request_await_version (r);
  }
  ms_waiting_tick (gw->waiting, now);
}

void
ms_requests_end (struct ms_gateway *gw)
{
  struct ms_request *r, *next;

  DL_FOREACH_SAFE (gw->requests, r, next)
  {
    r->may_have_run = r->may_have_run || (r->upstream && r->sent);
    ms_request_give_up (r, "leaving");
  }
}

static bool
place_waiting (void *owner)
{
  return ms_request_dispatch (owner);
}

static void
give_up_waiting (void *owner)
{
  ms_request_give_up_unplaced (owner);
}

struct ms_waiting *
ms_requests_create_queue (void)
{
  static const struct ms_waiting_callbacks calls
      = { .try = place_waiting, .give_up = give_up_waiting };

  return ms_waiting_create (&calls);
}

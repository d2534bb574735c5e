#ifndef ROUTE_ROUTE_H
#define ROUTE_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"

/* The operators' configuration of a fleet in front of endpoints: which service
   a request is sent to, how often and how long it may be tried, which services
   and teams there are, and which key belongs to which team.  This module only
   holds and searches the configuration; the platform's decoder fills it in.
   After ms_routes_index it is only read, so threads may share it.  Times are
   in microseconds, like every ms_time.  */

/* Whether a request may be sent again when it may already have run.  */
enum ms_repeat
{
  MS_IDEMPOTENT,     /* May run more than once.  */
  MS_NON_IDEMPOTENT, /* Runs at most once each time a caller sends it.  */
  MS_STREAMING       /* Like MS_NON_IDEMPOTENT, but may be resumed if the route
                        is resumable.  */
};

/* Of a route's requests, WEIGHT out of the sum of the route's weights are sent
   to SERVICE.  */
struct ms_split
{
  uint64_t service;
  uint32_t weight;
};

/* Treatment of the requests for one host and path prefix.  */
struct ms_route
{
  struct ms_name name;
  struct ms_str host;   /* Points into ms_routes.text.  */
  struct ms_str prefix; /* Points into ms_routes.text.  Matched bytewise, so it
                           should end with a slash.  */
  enum ms_repeat repeat;
  bool resumable;                /* A stream that broke off may be resumed.  */
  bool public;                   /* No key is needed.  */
  const struct ms_split *splits; /* Point into ms_routes.splits.  */
  unsigned splits_count;
  uint32_t max_attempts;  /* Including the first; at least 1.  */
  ms_time timeout;        /* For the whole request; 0 if there is none.  */
  ms_time target_latency; /* First-byte target: time until the response should
                             start; a later one is worth less.  0 if not
                             configured.  */
  ms_time gap_target;     /* Target for the longest pause within a stream; 0 if
                             not configured.  */
  uint32_t priority;      /* 0 is the highest.  */
};

/* A service; all its endpoints have these properties.  */
struct ms_service_entry
{
  uint64_t id;
  struct ms_name name;
  struct ms_name health_path;
  uint32_t connection_limit; /* 0 if not configured.  Decoded, but not
                                used.  */
  ms_time cold_time; /* How long an endpoint stays cold after its start.  */
  double cold_rate;  /* Requests per second that a cold endpoint can take; 0
                        if not limited.  */
  bool model;        /* Its endpoints read prompts and generate tokens.  */
  uint32_t slots;    /* Requests that a model endpoint runs at once; 0 if not
                        configured.  */
  uint64_t memory_tokens;    /* Tokens that a model endpoint's KV cache holds;
                                0 if not configured.  */
  uint32_t tokens_per_event; /* Tokens in each event of a stream.  */
};

/* An API key and the team that it belongs to.  */
struct ms_key
{
  struct ms_str text; /* Points into ms_routes.team_text.  */
  uint64_t team;
};

struct ms_team_entry
{
  uint64_t id;
  struct ms_str name; /* Points into ms_routes.team_text.  */
  bool has_priority;  /* PRIORITY takes the place of the route's.  */
  uint32_t priority;  /* 0 is the highest.  */
};

/* Limits on the connections and requests of callers.  */
struct ms_caller_limits
{
  uint64_t max_head_bytes;
  uint64_t max_body_bytes;
  ms_time head_timeout;     /* For a request's head to arrive.  */
  ms_time idle_timeout;     /* For a connection without a request.  */
  double tokens_per_second; /* Capacity of all endpoints together, where a
                               generated token counts twice; 0 if not
                               configured.  */
};

/* A configuration.  Owns its arrays and strings.  */
struct ms_routes
{
  uint64_t version;
  struct ms_route *routes; /* Sorted by host, longest prefix first.  */
  unsigned routes_count;
  struct ms_split *splits;           /* Of all routes.  */
  struct ms_service_entry *services; /* Sorted by id.  */
  unsigned services_count;
  struct ms_team_entry *teams; /* Sorted by id.  */
  unsigned teams_count;
  bool keys_required;  /* Routes that are not public need a team's key.  */
  struct ms_key *keys; /* Sorted by text.  */
  unsigned keys_count;
  struct ms_caller_limits limits;
  char *text;      /* Memory of the routes' strings.  */
  char *team_text; /* Memory of the teams' and keys' strings.  */
};

/* Sort the arrays of ROUTES for searching.  Call once after filling them in
   and before any search.  */
void ms_routes_index (struct ms_routes *routes);

/* Give ROUTES the teams and keys of FROM, which gets those of ROUTES.  Both
   are indexed.  */
void ms_routes_swap_teams (struct ms_routes *routes, struct ms_routes *from);

/* Free ROUTES, which may be NULL, with its arrays and strings.  */
void ms_routes_destroy (struct ms_routes *routes);

/* Return the route for HOST, given without a port and compared without regard
   to case, that has the longest prefix of PATH.  Return NULL if there is
   none.  The result belongs to ROUTES.  */
const struct ms_route *ms_routes_find (const struct ms_routes *routes,
                                       struct ms_str host, struct ms_str path);

/* Return the id of the service that DRAW selects among the splits of ROUTE,
   by their weights.  DRAW consists of 64 random bits.  If all weights are 0,
   return the first split's service; return 0 if ROUTE has no splits.  */
uint64_t ms_route_draw_service (const struct ms_route *route, uint64_t draw);

/* Return the service or the team with ID, which belongs to ROUTES; NULL if
   there is none.  */
const struct ms_service_entry *
ms_routes_service (const struct ms_routes *routes, uint64_t id);
const struct ms_team_entry *ms_routes_team (const struct ms_routes *routes,
                                            uint64_t id);

/* Return the id of the team that the key TEXT belongs to; 0 if the key is
   unknown or TEXT has no data.  */
uint64_t ms_routes_key_team (const struct ms_routes *routes,
                             struct ms_str text);

#endif

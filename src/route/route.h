#ifndef ROUTE_ROUTE_H
#define ROUTE_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"

/* What the operators decide for a fleet in front of endpoints: which service
   a request goes to, how, and whose key it must carry.  */

enum ms_repeat
{
  MS_IDEMPOTENT,     /* May run more than once.  */
  MS_NON_IDEMPOTENT, /* Runs once for each attempt of its caller, at most.  */
  MS_STREAMING       /* As non-idempotent, but may be resumed if it says so. */
};

/* Part WEIGHT of a route's requests goes to SERVICE.  */
struct ms_split
{
  uint64_t service;
  uint32_t weight;
};

#define MS_MAX_SPLITS 8

struct ms_route
{
  struct ms_name name;
  struct ms_str host;   /* Points into the table.  */
  struct ms_str prefix; /* Points into the table; ends with a slash.  */
  enum ms_repeat repeat;
  bool resumable;
  bool public; /* No key is needed.  */
  struct ms_split splits[MS_MAX_SPLITS];
  unsigned splits_count;
  uint32_t max_attempts;
  ms_time timeout;
  ms_time aim;     /* Until the answer begins, for its full worth.  */
  ms_time gap_aim; /* Longest pause within a stream.  */
  uint32_t priority;
};

struct ms_endpoint_kind
{
  uint64_t id;
  struct ms_name name;
  struct ms_name health_path;
  uint32_t connection_limit;
  ms_time cold_time; /* How long an endpoint stays cold after its start.  */
  double cold_rate;  /* Requests a second that a cold endpoint bears.  */
  bool model;        /* It reads prompts and generates tokens.  */
  uint32_t slots;    /* Requests that a model endpoint runs at once; 0: not
                        told.  */
  uint64_t memory_tokens;
  uint32_t tokens_per_event;
};

struct ms_key
{
  struct ms_str text;
  uint64_t team;
};

struct ms_team_entry
{
  uint64_t id;
  struct ms_str name;
  bool has_priority;
  uint32_t priority;
};

struct ms_caller_limits
{
  uint64_t max_head_bytes;
  uint64_t max_body_bytes;
  ms_time head_timeout;
  ms_time idle_timeout;
  double tokens_per_second; /* Of all endpoints; 0: not told.  */
};

struct ms_routes
{
  uint64_t version;
  struct ms_route *routes; /* By host, longest prefix first.  */
  unsigned routes_count;
  struct ms_endpoint_kind *services; /* By id.  */
  unsigned services_count;
  struct ms_team_entry *teams; /* By id.  */
  unsigned teams_count;
  bool keys_required;
  struct ms_key *keys; /* By text.  */
  unsigned keys_count;
  struct ms_caller_limits limits;
  char *text; /* Holds the strings.  */
};

/* Put the tables of ROUTES in order; call once after filling them.  */
void ms_routes_index (struct ms_routes *routes);
void ms_routes_destroy (struct ms_routes *routes);

/* The route of HOST, without a port, whose prefix is the longest that begins
   PATH; NULL if none.  */
const struct ms_route *ms_routes_find (const struct ms_routes *routes,
                                       struct ms_str host, struct ms_str path);

/* The service that DRAW, any number, selects among a route's splits.  */
uint64_t ms_route_service (const struct ms_route *route, uint64_t draw);

const struct ms_endpoint_kind *
ms_routes_service (const struct ms_routes *routes, uint64_t id);
const struct ms_team_entry *ms_routes_team (const struct ms_routes *routes,
                                            uint64_t id);

/* The team that holds the key TEXT; 0 if none.  */
uint64_t ms_routes_key (const struct ms_routes *routes, struct ms_str text);

#endif

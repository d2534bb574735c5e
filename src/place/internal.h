#ifndef PLACE_INTERNAL_H
#define PLACE_INTERNAL_H

#include "place/place.h"

/* Milliseconds that an engine takes for a token, and more for each request
   that runs; from the users' sheet.  */
#define MS_STEP_MS 3.41
#define MS_STEP_MS_PER_RUNNING 0.097

/* Part of an endpoint's slots that is filled at most.  */
#define MS_SLOTS_PART 0.85

#define MS_MAX_OUT_ZONES 16
#define MS_MAX_ROUTERS 1024

/* Parts that were sent to an endpoint and may still be kept there.  */
struct ms_prefix_memory;
struct ms_prefix_memory *ms_prefix_create (void);
void ms_prefix_destroy (struct ms_prefix_memory *memory);
bool ms_prefix_kept (struct ms_prefix_memory *memory, uint64_t endpoint,
                     uint64_t part, ms_time now);
void ms_prefix_note (struct ms_prefix_memory *memory, uint64_t endpoint,
                     uint64_t part, ms_time now);

/* The pace that a service's requests need.  */
struct ms_need;

/* Microseconds that a token may take for nearly all requests to end in time;
   0 if nothing is known.  */
double ms_need_pace (struct ms_place *place, uint64_t service);
void ms_need_destroy (struct ms_place *place);

struct ms_place
{
  struct ms_need *needs;
  ms_time limits_at; /* When limits were last moved.  */
  struct ms_place_options options;
  const struct ms_place_policy *policy;
  const struct ms_routes *routes;
  struct ms_endpoint_state **endpoints;
  unsigned count;
  unsigned space;
  uint64_t out_zones[MS_MAX_OUT_ZONES];
  unsigned out_count;
  uint64_t routers[MS_MAX_ROUTERS];
  unsigned routers_count;
  bool above_part;    /* This router has more than its part of the work.  */
  ms_time woke_until; /* Every endpoint counts as cold.  */
  struct ms_prefix_memory *prefix;
};

/* Whether ZONE gets no new work.  */
bool ms_place_zone_out (const struct ms_place *place, uint64_t zone);

/* Whether this router's part of the cold limit of ENDPOINT has room.  */
bool ms_cold_allows (const struct ms_place *place,
                     const struct ms_endpoint_state *endpoint, ms_time now);
void ms_cold_note (struct ms_endpoint_state *endpoint, ms_time now);

#endif

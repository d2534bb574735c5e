#ifndef REPLAY_INTERNAL_H
#define REPLAY_INTERNAL_H

#include "replay/world.h"

#define TICK_PERIOD (20 * MS_MSEC)
#define SAMPLE_PERIOD (50 * MS_MSEC)
#define LOG_POLL_WAIT (300 * MS_MSEC)
#define LIST_POLL_PERIOD (500 * MS_MSEC)
#define LOAD_POLL_PERIOD (500 * MS_MSEC)
#define ENDPOINT_DELAY_US (500)

/* An endpoint in a cold start takes this many times longer for a unit.  */
#define COLD_SLOWDOWN 5

/* A message under way.  */
struct encoded
{
  unsigned length;
  char data[];
};

void world_push (struct world *world, struct item item);
bool world_pop (struct world *world, struct item *item);

/* A random time in [LOW, HIGH].  */
ms_time world_delay (struct world *world, ms_time low, ms_time high);

int world_find_node (const struct world *world, const char *name);
int world_find_endpoint (const struct world *world, const char *name);
int world_find_team (const struct world *world, const char *name);
int world_find_service (const struct world *world, uint64_t id);

/* Routers.  */
void world_start_node (struct world *world, int node);
void world_kill_node (struct world *world, int node);
void world_step (struct world *world, int node, const struct ms_event *event);

/* The platform.  */
void world_append (struct world *world, enum ms_stream stream,
                   const char *text);
void world_log_poll (struct world *world, int node, enum ms_stream stream);
void world_log_reply (struct world *world, int node, enum ms_stream stream,
                      ms_time sent_at);
bool world_log_reachable (const struct world *world, int node);
void world_send_list (struct world *world, int node);
void world_poll_loads (struct world *world, int node);
enum ms_status world_publish (struct world *world,
                              const struct trace_line *line);

/* Endpoints.  */
void world_endpoint_init (struct world *world, int endpoint);
void world_endpoint_stop (struct world *world, int endpoint);
void world_endpoint_start (struct world *world, int endpoint);
void world_endpoint_chill (struct world *world, int endpoint);
void world_start_run (struct world *world, const struct item *item);
void world_end_run (struct world *world, size_t run, enum ms_result result);
void world_finish_run (struct world *world, size_t run, uint64_t end_version);
void world_run_progress (struct world *world, size_t run,
                         uint64_t end_version);
void world_cancel_node_runs (struct world *world, int node);
void world_cancel_run (struct world *world, int node, uint64_t request,
                       unsigned attempt);
bool world_is_cold (const struct world *world, int endpoint);
unsigned world_load_at (const struct world *world, int endpoint, ms_time at);

void world_handle_endpoint_item (struct world *world, const struct item *item);

/* Bring all runs' progress up to now.  */
void world_advance_runs (struct world *world);

/* Callers.  */
enum ms_status world_send_line (struct world *world,
                                const struct trace_line *line, ms_time until);
void world_arrive (struct world *world, int node, size_t call);
void world_answer (struct world *world, int node,
                   const struct ms_effect *effect);
void world_break_calls (struct world *world, int node);

/* Measurements.  */
void world_sample (struct world *world);
void world_check_generation (struct world *world, int node);

#endif

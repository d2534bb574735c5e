#ifndef REPLAY_INTERNAL_H
#define REPLAY_INTERNAL_H

#include "replay/world.h"

/* Interfaces between the source files of the simulation.  Arguments
   NODE, ENDPOINT, CALL and RUN are indexes into the arrays of struct world;
   nodes are routers.  */

#define TICK_PERIOD (20 * MS_MSEC)
#define SAMPLE_PERIOD (50 * MS_MSEC)
#define LOG_POLL_WAIT (300 * MS_MSEC)  /* Before an empty reply to a poll.  */
#define LOG_SLOW_DELAY (400 * MS_MSEC) /* Added while the log is slow.  */
#define LIST_POLL_PERIOD (500 * MS_MSEC)
#define LOAD_POLL_PERIOD (500 * MS_MSEC)
#define ENDPOINT_DELAY_US (500) /* One way, router to endpoint or back.  */

/* Factor by which a cost unit takes longer during a cold start.  */
#define COLD_SLOWDOWN 5

/* A message on its way between two routers.  */
struct encoded_message
{
  unsigned length;
  char data[];
};

/* Schedule ITEM, whose data the queue then owns.  Items of the same time are
   handled in the order in which they were scheduled.  */
void world_push (struct world *world, struct item item);

/* Remove the earliest item and store it in *ITEM; the caller owns its data.
   Return false if the queue is empty.  */
bool world_pop (struct world *world, struct item *item);

/* Return a random time from LOW to HIGH, both included.  */
ms_time world_random_delay (struct world *world, ms_time low, ms_time high);

/* Return the index of the router, endpoint, team or service with the given
   name or ID, -1 if there is none.  */
int world_find_node (const struct world *world, const char *name);
int world_find_endpoint (const struct world *world, const char *name);
int world_find_team (const struct world *world, const char *name);
int world_find_service (const struct world *world, uint64_t id);

/* Routers (nodes.c).  */

/* Start NODE with empty state; nothing is done if it is up.  */
void world_start_node (struct world *world, int node);

/* End NODE without a drain; nothing is done if it is down.  */
void world_kill_node (struct world *world, int node);

/* Let NODE, which must be up, handle EVENT at the present time.  */
void world_step (struct world *world, int node, const struct ms_event *event);

/* The log, the endpoint list and load reports (platform.c).  */

/* Append a record with TEXT, which is copied, to STREAM.  */
void world_append (struct world *world, enum ms_stream stream,
                   const char *text);

/* NODE polls STREAM for new records.  */
void world_log_poll (struct world *world, int node, enum ms_stream stream);

/* The reply to the poll that was sent at SENT_AT reaches NODE.  It is ignored
   if that poll has had a reply already or isn't NODE's last one.  */
void world_log_reply (struct world *world, int node, enum ms_stream stream,
                      ms_time sent_at);

/* Whether the log is up and no cut separates NODE from it.  */
bool world_log_reachable (const struct world *world, int node);

/* Deliver the endpoint list to NODE.  */
void world_deliver_list (struct world *world, int node);

/* NODE asks the endpoints it watches for their load.  */
void world_poll_loads (struct world *world, int node);

/* Publish a configuration as the "publish" event LINE says, a malformed one
   with "bad"; nothing is published while the log is down.  The publication is
   based on the generation "base", or on the accepted one without it.
   "zone_out" and "zone_in" also apply to all later publications.  MS_INVALID
   if LINE names a zone without "in_service".  */
enum ms_status world_publish (struct world *world,
                              const struct trace_line *line);

/* Endpoints (endpoints.c).  */

/* Set up ENDPOINT as the trace describes it, and start it.  */
void world_endpoint_init (struct world *world, int endpoint);

/* End the process of ENDPOINT; what it runs is reset.  */
void world_endpoint_stop (struct world *world, int endpoint);

/* Start ENDPOINT, which begins with a cold start.  */
void world_endpoint_start (struct world *world, int endpoint);

/* Let ENDPOINT fall back into a cold start without a restart.  */
void world_endpoint_chill (struct world *world, int endpoint);

/* An ITEM_START reaches its endpoint.  */
void world_start_run (struct world *world, const struct item *item);

/* End RUN and report RESULT to its router.  */
void world_end_run (struct world *world, size_t run, enum ms_result result);

/* Handle an ITEM_RUN_END: end RUN with success, unless its end has been
   scheduled anew since, so that END_VERSION is outdated.  */
void world_handle_run_end (struct world *world, size_t run,
                           uint64_t end_version);

/* Handle an ITEM_RUN_PROGRESS: report the progress of RUN to its router and
   schedule the next report.  END_VERSION is unused: an item that is left from
   an earlier run of the same entry does the same for RUN.  */
void world_run_progress (struct world *world, size_t run,
                         uint64_t end_version);

/* Cancel all runs of NODE, or its ATTEMPT of REQUEST.  */
void world_cancel_node_runs (struct world *world, int node);
void world_cancel_run (struct world *world, int node, uint64_t request,
                       unsigned attempt);

/* Whether the cold start of ENDPOINT has not ended.  */
bool world_is_cold (const struct world *world, int endpoint);

/* Return the number of requests that ENDPOINT ran at time AT; 0 if AT is
   before the changes that load_history still has.  */
unsigned world_load_at (const struct world *world, int endpoint, ms_time at);

/* Handle an ITEM_ENDPOINT_CRASH or ITEM_ENDPOINT_START.  */
void world_handle_endpoint_item (struct world *world, const struct item *item);

/* Bring the progress of all runs up to now.  */
void world_advance_runs (struct world *world);

/* Callers (callers.c).  */

/* Send the requests of the "send" event LINE; with "every" in LINE, schedule
   the next ones as long as now is before UNTIL, after a random 0.5 to 1.5
   times that interval.  MS_INVALID if the team or the service is unknown.  */
enum ms_status world_send_line (struct world *world,
                                const struct trace_line *line, ms_time until);

/* CALL reaches NODE.  */
void world_arrive (struct world *world, int node, size_t call);

/* NODE answers a call with EFFECT; the caller may resend it after any outcome
   but MS_ANSWERED.  */
void world_answer (struct world *world, int node,
                   const struct ms_effect *effect);

/* NODE ended: mark its open calls as broken; their callers may resend.  */
void world_break_calls (struct world *world, int node);

/* Statistics (sample.c).  */

/* Bring the runs up to now and update the waiting calls, the fairness gaps,
   the utilisation, in_force and peak_bytes; due each SAMPLE_PERIOD.  */
void world_sample (struct world *world);

/* Compare the generation that NODE has in force with its previous one and
   with the accepted ones.  */
void world_check_generation (struct world *world, int node);

#endif

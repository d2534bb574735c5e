#ifndef ENTRY_INTERNAL_H
#define ENTRY_INTERNAL_H

#include <uthash.h>
#include <utlist.h>

#include "entry/entry.h"
#include "view/send.h"

/* Attempts per request, the first one included.  */
#define MAX_ATTEMPTS 4

/* Grants of one request that may expire before the attempt starts; one more
   ends the request.  Such an attempt does not count against MAX_ATTEMPTS,
   since the request did not cause its failure.  */
#define MAX_EXPIRED_GRANTS 16

enum request_state
{
  REQUEST_INTENT,  /* Waits for the log to decide on its key.  */
  REQUEST_WAITING, /* In its queue.  */
  REQUEST_RUNNING  /* Bound to a grant; an attempt runs on an endpoint.  */
};

struct queue;

struct request
{
  uint64_t id;
  struct ms_arrival arrival;
  enum request_state state;
  enum ms_lane lane; /* That of arrival, or MS_LANE_SUSPECT if it is suspected
                        of crashing endpoints.  */
  bool may_have_run; /* An attempt that has ended may have reached an
                        endpoint; the running one does not count yet.  */
  bool has_intent;   /* The log holds, or may hold, an intent of it.  */
  bool caller_gone;
  bool cancelled; /* A cancel was emitted for the running attempt.  */
  unsigned attempts;
  unsigned expired_grants;                /* Before their attempt started.  */
  uint64_t tried_endpoints[MAX_ATTEMPTS]; /* Of its failed attempts; a retry
                                             uses none of them.  */
  unsigned tried_endpoints_count;
  uint64_t grant;    /* Identifier of its latest grant.  */
  uint64_t grantor;  /* The dispatcher that made the grant.  */
  uint64_t cell;     /* Of the grant.  */
  uint64_t endpoint; /* Of the grant; 0 while no attempt runs.  */
  uint32_t cost;     /* Cost units of the running attempt so far.  */
  ms_time arrived;
  ms_time queued_at;    /* When it last entered its queue.  */
  ms_time run_deadline; /* The running attempt is cancelled at this time.  */
  struct queue *queue;
  struct request *prev;
  struct request *next;
  UT_hash_handle hh;
};

struct queue_key
{
  uint64_t service;
  uint64_t team;
};

/* The waiting requests of one team for one service.  */
struct queue
{
  struct queue_key key;
  struct request *lanes[MS_LANES]; /* Head of the list of each lane.  */
  unsigned count[MS_LANES];        /* Requests in each lane.  */
  ms_time last_grant_at;           /* Last use of a grant, 0 if none.  */
  ms_time mean_grant_interval;     /* Moving mean that starts from 0.  */
  ms_time mean_run_time[MS_LANES]; /* Moving mean of successful attempts, 0
                                      before the first.  */
  UT_hash_handle hh;
};

/* Waiting requests of one service, and the state of its periodic demand
   reports.  These go out in rounds.  Each round reports to a few cells, so
   that all cells get a report over several rounds.  */
struct service_demand
{
  uint64_t service;
  ms_time last_round_at;
  unsigned next_cell; /* The next round starts at this index in the view's
                         cells, modulo their number.  */
  unsigned waiting;   /* Waiting requests of the service, all teams.  */
  UT_hash_handle hh;
};

/* A report to all members that an endpoint died while it ran a request, or
   that the request is cleared, since it completed.  It is sent again on the
   next DEATH_REPEATS ticks, since messages may be lost; with
   MAX_DEATH_NOTICES pending, further ones are sent once only.  */
#define DEATH_REPEATS 3
#define MAX_DEATH_NOTICES 32
struct death_notice
{
  uint64_t fingerprint; /* Of the request.  */
  unsigned deaths;      /* As in ms_death_announce.  */
  bool cleared;
  unsigned repeats_left;
};

/* Number of the latest grant identifiers kept to detect duplicates.  */
#define RECENT_GRANTS 512

/* End of a grant, as reported to its dispatcher.  It is sent again on the
   next tick, since messages may be lost; with MAX_DONE_NOTICES pending,
   further ones are sent once only.  */
#define MAX_DONE_NOTICES 64
struct done_notice
{
  uint64_t grantor;
  peer_done done;
};

struct ms_entry
{
  struct done_notice done_notices[MAX_DONE_NOTICES];
  unsigned done_notices_count;
  uint64_t recent_grants[RECENT_GRANTS];
  unsigned next_recent_grant;
  struct ms_view *view;
  const struct ms_sink *sink;
  struct ms_random *random;
  struct ms_guard *guard;
  struct ms_once *once;
  struct request *requests;
  struct queue *queues;
  struct service_demand *demands;
  struct death_notice death_notices[MAX_DEATH_NOTICES];
  unsigned death_notices_count;
  ms_time next_running_report;
  double retry_budget; /* Retries allowed now; see RETRY_RATIO in entry.c.  */
  bool draining;
};

/* Return the open request ID, or NULL.  */
struct request *ms_entry_find_request (const struct ms_entry *entry,
                                       uint64_t id);

/* Return the queue of TEAM for SERVICE, created if there is none.  */
struct queue *ms_entry_get_queue (struct ms_entry *entry, uint64_t service,
                                  uint64_t team);

/* Return the number of requests in QUEUE, all lanes.  */
unsigned ms_queue_length (const struct queue *queue);

/* Put REQUEST into its lane of its queue: at the head for a request that was
   in the queue before, else at the end.  */
void ms_entry_enqueue (struct ms_entry *entry, struct request *request,
                       bool at_head, ms_time now);
void ms_entry_dequeue (struct ms_entry *entry, struct request *request);

/* Emit the single answer of REQUEST and free it.  */
void ms_entry_answer (struct ms_entry *entry, struct request *request,
                      enum ms_outcome outcome, enum ms_reason reason,
                      ms_time now);

/* Return the outcome of REQUEST if it ends without a complete response.  */
enum ms_outcome ms_entry_failed_outcome (const struct request *request);

/* Return the time after which a caller should retry: half of the time in which
   QUEUE empties at its mean grant interval, but at least MIN_RETRY_AFTER and
   at most MAX_RETRY_AFTER (see queue.c).  If QUEUE is NULL, return
   MIN_RETRY_AFTER.  */
ms_time ms_entry_retry_after (const struct queue *queue);

/* Report to CELL's dispatcher, by team and lane, how many requests wait for
   its service: of all teams, or only of TEAM if it is not 0.  Nothing is sent
   if none wait or CELL has no dispatcher.  */
void ms_demand_send (struct ms_entry *entry, const struct ms_cell *cell,
                     uint64_t team, ms_time now);

/* Report demand of REQUEST's team to up to two cells after REQUEST has entered
   its queue: one in this router's zone, if there is one, and another in any
   zone.  If the queue is long, the periodic rounds report it instead.  */
void ms_demand_announce (struct ms_entry *entry, const struct request *request,
                         ms_time now);

/* Run the periodic demand rounds that are due.  */
void ms_demand_send_rounds (struct ms_entry *entry, ms_time now);

/* Handle a grant: bind a waiting request to it and start the attempt, or
   decline the grant.  */
void ms_binding_grant (struct ms_entry *entry, const peer_message *message,
                       ms_time now);

/* Report the end of REQUEST's attempt to the dispatcher of its grant.  */
void ms_binding_report_done (struct ms_entry *entry,
                             const struct request *request,
                             enum ms_result result, ms_time duration);

/* Report to each dispatcher which of its grants are in use, and how many cost
   units the attempt on each has used so far.  */
void ms_binding_report_running (struct ms_entry *entry, ms_time now);

/* Send the reports of ended grants a second time.  */
void ms_binding_repeat_done (struct ms_entry *entry);

/* Tell all members that DEATHS endpoints died while they ran requests with
   FINGERPRINT, or that FINGERPRINT is CLEARED.  DEATHS is the result of
   ms_guard_death, where 0 stands for an unconfirmed death; it is 0 with
   CLEARED.  From two deaths on, also record the quarantine in the log.  */
void ms_death_announce (struct ms_entry *entry, uint64_t fingerprint,
                        unsigned deaths, bool cleared);

/* Send pending death notices again.  */
void ms_death_repeat_notices (struct ms_entry *entry);

#endif

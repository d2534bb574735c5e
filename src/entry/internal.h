#ifndef ENTRY_INTERNAL_H
#define ENTRY_INTERNAL_H

#include <uthash.h>
#include <utlist.h>

#include "entry/entry.h"
#include "view/send.h"

#define MAX_ATTEMPTS 4

/* Attempts that no fault of the request ended do not count, up to this.  */
#define MAX_FALSE_STARTS 16

enum request_state
{
  REQUEST_INTENT, /* Waits for the log's word on its key.  */
  REQUEST_WAITING,
  REQUEST_RUNNING
};

struct queue;

struct request
{
  uint64_t id;
  struct ms_arrival arrival;
  enum request_state state;
  enum ms_lane lane; /* Alone once suspected.  */
  bool may_have_run;
  bool keyed; /* The log holds an intent of it.  */
  bool caller_gone;
  bool cancelled;
  unsigned attempts;
  unsigned false_starts;
  uint64_t tried[MAX_ATTEMPTS];
  unsigned tried_count;
  uint64_t grant;
  uint64_t grantor;
  uint64_t cell;
  uint64_t endpoint;
  uint32_t cost;
  ms_time arrived;
  ms_time queued_at;
  ms_time must_end; /* While it runs: no later than this.  */
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
  struct request *lanes[MS_LANES];
  unsigned count[MS_LANES];
  ms_time last_grant;
  ms_time grant_interval;     /* Moving mean between grants, 0 if unknown.  */
  ms_time run_time[MS_LANES]; /* Moving mean of requests that ran well.  */
  UT_hash_handle hh;
};

/* When demand was last stated to all cells of a service.  */
struct service_round
{
  uint64_t service;
  ms_time last_round;
  unsigned next_cell; /* Where the next round goes on.  */
  unsigned waiting;
  UT_hash_handle hh;
};

/* A death to be told again, since messages may be lost.  */
#define DEATH_REPEATS 3
#define MAX_DEATHS_TOLD 32
struct told
{
  uint64_t fingerprint;
  unsigned deaths;
  bool cleared;
  unsigned repeats;
};

/* Grants remembered, so that a repeat is not taken for a new one.  */
#define GRANTS_REMEMBERED 512

/* Ends told a second time at the next tick, since messages may be lost.  */
#define MAX_ENDS_TOLD 64
struct told_end
{
  uint64_t grantor;
  peer_done done;
};

struct ms_entry
{
  struct told_end ends[MAX_ENDS_TOLD];
  unsigned ends_count;
  uint64_t recent_grants[GRANTS_REMEMBERED];
  unsigned recent_next;
  struct ms_view *view;
  const struct ms_sink *sink;
  struct ms_random *random;
  struct ms_guard *guard;
  struct ms_once *once;
  struct request *requests;
  struct queue *queues;
  struct service_round *rounds;
  struct told told[MAX_DEATHS_TOLD];
  unsigned told_count;
  ms_time next_running;
  double retry_budget;
  bool draining;
};

struct request *ms_entry_find (const struct ms_entry *entry, uint64_t id);
struct queue *ms_entry_queue (struct ms_entry *entry, uint64_t service,
                              uint64_t team);
unsigned ms_queue_length (const struct queue *queue);
void ms_entry_enqueue (struct ms_entry *entry, struct request *request,
                       bool at_head, ms_time now);
void ms_entry_dequeue (struct ms_entry *entry, struct request *request);

/* Give REQUEST its one answer and forget it.  */
void ms_entry_answer (struct ms_entry *entry, struct request *request,
                      enum ms_outcome outcome, enum ms_reason reason,
                      ms_time now);

/* The outcome of a request whose last attempt gave no whole answer.  */
enum ms_outcome ms_entry_broken_outcome (const struct request *request);

/* When a caller of QUEUE's team should come back.  */
ms_time ms_entry_retry_after (const struct queue *queue);

/* State to CELL's dispatcher what waits for its service: all teams, or only
   TEAM if it is not 0.  */
void ms_demand_send (struct ms_entry *entry, const struct ms_cell *cell,
                     uint64_t team, ms_time now);

/* State it to two cells, for a request that has just begun to wait.  */
void ms_demand_fresh (struct ms_entry *entry, const struct request *request,
                      ms_time now);

/* State it to all cells where requests have waited for a while.  */
void ms_demand_rounds (struct ms_entry *entry, ms_time now);

void ms_binding_grant (struct ms_entry *entry, const peer_message *message,
                       ms_time now);
void ms_binding_done (struct ms_entry *entry, const struct request *request,
                      enum ms_result result, ms_time duration);
void ms_binding_running (struct ms_entry *entry, ms_time now);
void ms_binding_repeat_ends (struct ms_entry *entry);

void ms_death_note (struct ms_entry *entry, uint64_t fingerprint,
                    unsigned deaths, bool cleared);
void ms_death_repeat (struct ms_entry *entry);

#endif

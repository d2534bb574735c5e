#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "base/random.h"
#include "dispatch/dispatch.h"
#include "guard/guard.h"
#include "node/effect.h"
#include "once/once.h"
#include "view/view.h"

/* The entry's part: a router keeps each request it accepted from arrival to
   its one answer.  It states demand to dispatchers, binds a waiting request
   to each grant, and decides on retries.  */

struct ms_entry;

/* A request as its caller sent it.  */
struct ms_arrival
{
  uint64_t request; /* Unique within the router's incarnation.  */
  uint64_t team;
  uint64_t service;
  enum ms_lane lane; /* Interactive or long.  */
  bool idempotent;
  uint64_t key;         /* 0 if none.  */
  uint64_t fingerprint; /* Of team, service and body.  */
  uint32_t hint;        /* Expected cost, 0 if unknown.  */
  ms_time deadline;
};

/* The end of an attempt.  */
struct ms_attempt_end
{
  uint64_t request;
  unsigned attempt;
  enum ms_result result;
  bool sent_to_caller; /* Part of the answer reached the caller.  */
  uint32_t cost;
  ms_time duration;
};

struct ms_entry *ms_entry_create (struct ms_view *view,
                                  const struct ms_sink *sink,
                                  struct ms_random *random,
                                  struct ms_guard *guard,
                                  struct ms_once *once);
void ms_entry_destroy (struct ms_entry *entry);

void ms_entry_arrive (struct ms_entry *entry, const struct ms_arrival *arrival,
                      ms_time now);
void ms_entry_caller_gone (struct ms_entry *entry, uint64_t request,
                           ms_time now);
void ms_entry_progress (struct ms_entry *entry, uint64_t request,
                        uint32_t cost);
void ms_entry_attempt_end (struct ms_entry *entry,
                           const struct ms_attempt_end *end, ms_time now);
void ms_entry_verdict (struct ms_entry *entry,
                       const struct ms_once_verdict *verdict, ms_time now);

/* Handle a grant, idle or death message.  */
void ms_entry_message (struct ms_entry *entry, const peer_message *message,
                       ms_time now);
void ms_entry_tick (struct ms_entry *entry, ms_time now);

/* Refuse new requests; those accepted run to their end.  */
void ms_entry_drain (struct ms_entry *entry);

/* Requests without an answer yet.  */
unsigned ms_entry_open (const struct ms_entry *entry);

/* What is known of one request, for explanations.  */
struct ms_request_status
{
  const char *state;
  unsigned attempts;
  uint64_t endpoint;
  ms_time waited;
  unsigned ahead; /* Requests of its team before it.  */
};
bool ms_entry_status (const struct ms_entry *entry, uint64_t request,
                      ms_time now, struct ms_request_status *status);

size_t ms_entry_bytes (const struct ms_entry *entry);

#endif

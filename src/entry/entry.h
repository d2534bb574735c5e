#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "base/random.h"
#include "dispatch/dispatch.h"
#include "guard/guard.h"
#include "node/effect.h"
#include "once/once.h"
#include "view/view.h"

/* Entry side of a router: owns every request that a caller sent to this
   router, from arrival to its single answer.  Requests wait in one queue per
   team and service.  The entry reports the queue lengths ("demand") to the
   dispatchers of cells, which reply with grants; each grant lets one waiting
   request run on one endpoint.  The entry also decides on retries.

   The functions take no locks; the node calls them from one thread.  Times
   are microseconds (ms_time) on the router's clock, and costs are in cost
   units.  Requests are identified by numbers, all else by 64-bit hashes.  */

struct ms_entry;

/* A request as received from its caller.  */
struct ms_arrival
{
  uint64_t request; /* Unique within the router's incarnation.  */
  uint64_t team;
  uint64_t service;
  enum ms_lane lane; /* Interactive or long.  */
  bool idempotent;
  uint64_t key;         /* Hash of the idempotency key, 0 if none.  */
  uint64_t fingerprint; /* Hash of team, service, path and body.  */
  uint32_t hint;        /* Cost units the caller expects, 0 if unknown.  */
  ms_time deadline;     /* Absolute time.  */
};

/* Result of one attempt to run a request on an endpoint.  */
struct ms_attempt_end
{
  uint64_t request;
  unsigned attempt; /* Number from the start effect, 1 for the first.  */
  enum ms_result result;
  bool sent_to_caller; /* Part of the response was sent to the caller.  */
  uint32_t cost;       /* Cost units used.  */
  ms_time duration;
};

/* Create an entry that emits its effects to SINK.  It borrows all arguments,
   which must outlive it.  */
struct ms_entry *ms_entry_create (struct ms_view *view,
                                  const struct ms_sink *sink,
                                  struct ms_random *random,
                                  struct ms_guard *guard,
                                  struct ms_once *once);
void ms_entry_destroy (struct ms_entry *entry);

/* Accept ARRIVAL, or answer it at once with MS_NOT_RUN and a reason.  A
   non-idempotent request with a key first waits for the log to decide whether
   it may run under the key.  If another request has the key already, it is
   answered at once with the outcome of that request.  */
void ms_entry_arrive (struct ms_entry *entry, const struct ms_arrival *arrival,
                      ms_time now);

/* The caller of REQUEST closed its connection: answer a request that waits,
   cancel the attempt of one that runs.  */
void ms_entry_caller_gone (struct ms_entry *entry, uint64_t request,
                           ms_time now);

/* The running attempt of REQUEST has used COST cost units so far.  */
void ms_entry_progress (struct ms_entry *entry, uint64_t request,
                        uint32_t cost);

/* Handle the end of an attempt: report it to the dispatcher that made the
   grant, then answer the request or queue it for a retry.  The end of an
   earlier attempt than the running one is ignored.  */
void ms_entry_attempt_end (struct ms_entry *entry,
                           const struct ms_attempt_end *end, ms_time now);

/* Handle the decision of the log on an idempotency key.  */
void ms_entry_verdict (struct ms_entry *entry,
                       const struct ms_once_verdict *verdict, ms_time now);

/* Handle a grant, an idle message (free slots of a cell), or a death message
   from a peer; other kinds are ignored.  */
void ms_entry_message (struct ms_entry *entry, const peer_message *message,
                       ms_time now);

/* Time out requests, send the demand and running reports that are due, and
   repeat done and death messages.  */
void ms_entry_tick (struct ms_entry *entry, ms_time now);

/* Refuse new requests from now on.  Accepted requests run to completion.  */
void ms_entry_drain (struct ms_entry *entry);

/* Return the number of requests that have no answer yet.  */
unsigned ms_entry_count_open (const struct ms_entry *entry);

/* State of one request, as shown by the explain page.  */
struct ms_request_status
{
  const char *state; /* "intent", "waiting" or "running".  */
  unsigned attempts; /* Attempts made, the running one included; those whose
                        grant expired before they started do not count.  */
  uint64_t endpoint; /* 0 unless an attempt is running.  */
  ms_time waited;    /* Time since arrival, also while an attempt runs.  */
  unsigned ahead;    /* Requests before it in its lane, 0 unless it waits.  */
};

/* Fill in STATUS for REQUEST; return false if REQUEST is not open.  */
bool ms_entry_status (const struct ms_entry *entry, uint64_t request,
                      ms_time now, struct ms_request_status *status);

/* Return the approximate memory use in bytes.  */
size_t ms_entry_bytes (const struct ms_entry *entry);

#endif

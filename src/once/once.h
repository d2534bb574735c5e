#ifndef ONCE_ONCE_H
#define ONCE_ONCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "node/effect.h"

/* At-most-once execution of non-idempotent requests that carry a key, also
   when a caller repeats one at another router.  Before a router dispatches
   such a request, it appends an intent to a stream of the log.  All routers
   read the stream, and only the request of the first intent for a key, in log
   order, claims the key and may run.  After the request, its outcome is
   appended; repeats are answered with it.  The outcome MS_NOT_RUN frees the
   key; then the next intent of another request claims it.  The decision
   depends on no clock and no lease.

   Not thread-safe; the caller serializes all calls on one ms_once.  */

struct ms_once;

enum ms_once_state
{
  MS_ONCE_RUN,      /* The request has the key: dispatch it.  */
  MS_ONCE_WAIT,     /* The intent was appended and not yet read back.  */
  MS_ONCE_REPEAT,   /* Another request has the key.  */
  MS_ONCE_NOT_READY /* The stream has not been read to its end yet.  */
};

/* What is decided about REQUEST.  */
struct ms_once_verdict
{
  uint64_t request;
  enum ms_once_state state;
  enum ms_outcome outcome; /* With MS_ONCE_REPEAT: of the request that has the
                              key; MS_UNKNOWN while it has not ended.  */
};

/* Create the state of router NODE in its current INCARNATION.  Records are
   appended through SINK, which is borrowed and must outlive it.  */
struct ms_once *ms_once_create (uint64_t node, uint64_t incarnation,
                                const struct ms_sink *sink);

/* Free ONCE, which may be NULL.  */
void ms_once_destroy (struct ms_once *once);

/* Ask whether REQUEST may run under KEY.  With MS_ONCE_WAIT the intent has
   been appended, and ms_once_apply_record returns the decision later.  */
struct ms_once_verdict ms_once_begin (struct ms_once *once, uint64_t key,
                                      uint64_t request);

/* Append that REQUEST, which began under KEY, ended with OUTCOME.  If its
   intent has not been read back, the request will not be dispatched: then
   OUTCOME is ignored, and MS_NOT_RUN is appended if the intent turns out to
   claim the key.  */
void ms_once_end (struct ms_once *once, uint64_t key, uint64_t request,
                  enum ms_outcome outcome);

/* Handle TEXT, the next record of the stream.  Malformed records are ignored.
   Return true and set VERDICT if the record decides a request of this
   router.  */
bool ms_once_apply_record (struct ms_once *once, struct ms_str text,
                           struct ms_once_verdict *verdict);

/* Note that the stream was read to its end, so that requests can begin.  */
void ms_once_caught_up (struct ms_once *once);

/* Note that the append with TAG failed or its answer was lost.  It is repeated
   until the record is read back.  */
void ms_once_append_failed (struct ms_once *once, uint64_t tag);

/* Repeat appends whose records have not been read back in time.  */
void ms_once_tick (struct ms_once *once, ms_time now);

/* Bytes of memory that ONCE uses, approximately.  */
size_t ms_once_bytes (const struct ms_once *once);

#endif

#ifndef ONCE_ONCE_H
#define ONCE_ONCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "node/effect.h"

/* At-most-once execution of non-idempotent requests with a key.  A router
   appends an intent before it dispatches; the first intent for a key in log
   order is the only one that may run.  A "not-run" outcome in the log frees
   the key.  No clock and no lease takes part in the decision.  */

struct ms_once;

enum ms_once_state
{
  MS_ONCE_RUN,      /* The intent won: dispatch it.  */
  MS_ONCE_WAIT,     /* The intent is on its way through the log.  */
  MS_ONCE_REPEAT,   /* The key was used; OUTCOME is what came of it.  */
  MS_ONCE_NOT_READY /* The stream has not been read to its end yet.  */
};

struct ms_once_verdict
{
  uint64_t request;
  enum ms_once_state state;
  enum ms_outcome outcome;
};

struct ms_once *ms_once_create (uint64_t node, uint64_t incarnation,
                                const struct ms_sink *sink);
void ms_once_destroy (struct ms_once *once);

/* REQUEST wants to run under KEY.  */
struct ms_once_verdict ms_once_begin (struct ms_once *once, uint64_t key,
                                      uint64_t request);

/* REQUEST will not be dispatched, or ended with OUTCOME: tell the log.  */
void ms_once_end (struct ms_once *once, uint64_t key, uint64_t request,
                  enum ms_outcome outcome);

/* TEXT is the next record of the stream.  True if it decides a request of
   this router, which VERDICT then names.  */
bool ms_once_record (struct ms_once *once, struct ms_str text,
                     struct ms_once_verdict *verdict);

/* The stream was read to its end.  */
void ms_once_caught_up (struct ms_once *once);

/* The append tagged TAG failed or its answer was lost; it is repeated until
   the record is read back.  */
void ms_once_append_failed (struct ms_once *once, uint64_t tag);

/* Repeat appends that were neither read back nor reported on for a while.  */
void ms_once_tick (struct ms_once *once, ms_time now);

size_t ms_once_bytes (const struct ms_once *once);

#endif

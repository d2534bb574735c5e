#ifndef NODE_EFFECT_H
#define NODE_EFFECT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"
#include "rpc/peer.h"

/* Effects: everything that the decision code wants done outside itself, such
   as sending a message.  The code has no I/O of its own, so that a replay can
   run it on recorded events.  */

/* Outcome of a request as reported to its caller.  */
enum ms_outcome
{
  MS_ANSWERED, /* An endpoint sent a complete response.  */
  MS_NOT_RUN,  /* No endpoint ran any part of it, and none will.  */
  MS_FAILED,   /* It is idempotent and may have run, without a complete
                  response.  */
  MS_UNKNOWN   /* It may have run, and whether it took effect is not known.
                  Idempotent requests end so only if their caller leaves while
                  they wait for a retry.  */
};

/* Why a request ended with its outcome; MS_REASON_NONE if an endpoint sent a
   complete response to it.  */
enum ms_reason
{
  MS_REASON_NONE,
  MS_REASON_NOT_READY, /* The router is not ready; see ms_node_ready.  */
  MS_REASON_UNKNOWN_TEAM,
  MS_REASON_UNKNOWN_SERVICE,
  MS_REASON_QUEUE_FULL,  /* Its team has as many requests waiting for its
                            service as the service's queue_limit.  */
  MS_REASON_DEADLINE,    /* Its deadline passed, or could not be met, while no
                            attempt ran.  */
  MS_REASON_QUARANTINED, /* Endpoints died while they ran requests with its
                            fingerprint.  */
  MS_REASON_DRAINING,    /* The router takes no new requests.  */
  MS_REASON_LOG_DOWN,    /* The log could not be read, or did not decide on
                            the request's idempotency key in time.  */
  MS_REASON_REPEATED,    /* Its idempotency key was used before.  */
  MS_REASON_ENDPOINT,    /* Its last attempt failed, or was cancelled at its
                            time limit.  */
  MS_REASON_CALLER_GONE, /* Its caller closed the connection.  */
  MS_REASON_NO_CAPACITY  /* No attempt reached an endpoint, or too many grants
                            to the request expired.  */
};

/* Streams of the platform's log.  */
enum ms_stream
{
  MS_STREAM_CONTROL, /* Membership, configuration and quarantine.  */
  MS_STREAM_ONCE     /* Intents and outcomes of idempotency keys.  */
};
#define MS_STREAMS 2

enum ms_effect_kind
{
  MS_EFFECT_SEND,   /* Send a message to a router.  */
  MS_EFFECT_APPEND, /* Append a record to a stream of the log.  */
  MS_EFFECT_START,  /* Start an attempt on an endpoint.  */
  MS_EFFECT_CANCEL, /* Cancel a running attempt.  */
  MS_EFFECT_ANSWER, /* Report the outcome of a request to its caller.  */
  MS_EFFECT_DRAINED /* The router has drained and may exit.  */
};

/* One effect.  Its pointers are valid only during the call of emit.  Times
   are microseconds on the router's clock.  */
struct ms_effect
{
  enum ms_effect_kind kind;
  union
  {
    struct
    {
      uint64_t node;       /* Recipient; may be a router that is no member.  */
      const char *address; /* IP:PORT.  */
      const peer_message *message;
    } send;
    struct
    {
      enum ms_stream stream;
      uint64_t tag; /* Passed back if the append fails.  */
      const char *text;
    } append;
    struct
    {
      uint64_t request;
      unsigned attempt;
      uint64_t endpoint;
      const char *address;
      ms_time start_by; /* Expiry of the grant; see ms_may_start.  */
    } start;
    struct
    {
      uint64_t request;
      unsigned attempt;
    } cancel;
    struct
    {
      uint64_t request;
      enum ms_outcome outcome;
      enum ms_reason reason;
      ms_time retry_after; /* Duration; 0 if a retry would not help.  */
      uint64_t endpoint;   /* Endpoint of the attempt whose end gave the
                              outcome, also if the attempt did not connect; 0
                              if no attempt was running.  */
    } answer;
  };
};

/* Receiver of effects: EMIT is called with CONTEXT for each effect.  */
struct ms_sink
{
  void (*emit) (void *context, const struct ms_effect *effect);
  void *context;
};

/* Return the name of OUTCOME or REASON; a static string.  */
const char *ms_outcome_name (enum ms_outcome outcome);
const char *ms_reason_name (enum ms_reason reason);

#endif

#ifndef NODE_EFFECT_H
#define NODE_EFFECT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"
#include "rpc/peer.h"

/* How a request ended, as its caller is told.  */
enum ms_outcome
{
  MS_ANSWERED,
  MS_NOT_RUN, /* No endpoint ran any part of it, and none will.  */
  MS_FAILED,  /* It ran, or may have, and gave no whole answer.  */
  MS_UNKNOWN  /* It may have run; its effect is not known.  */
};

/* Why a request was not answered.  */
enum ms_reason
{
  MS_REASON_NONE,
  MS_REASON_NOT_READY,
  MS_REASON_UNKNOWN_TEAM,
  MS_REASON_UNKNOWN_SERVICE,
  MS_REASON_QUEUE_FULL,
  MS_REASON_DEADLINE,
  MS_REASON_QUARANTINED,
  MS_REASON_DRAINING,
  MS_REASON_LOG_DOWN,
  MS_REASON_REPEATED,
  MS_REASON_ENDPOINT,
  MS_REASON_CALLER_GONE,
  MS_REASON_NO_CAPACITY
};

/* Streams of the platform's log.  */
enum ms_stream
{
  MS_STREAM_CONTROL,
  MS_STREAM_ONCE
};
#define MS_STREAMS 2

enum ms_effect_kind
{
  MS_EFFECT_SEND,
  MS_EFFECT_APPEND,
  MS_EFFECT_START,
  MS_EFFECT_CANCEL,
  MS_EFFECT_ANSWER,
  MS_EFFECT_DRAINED
};

/* What the decisions ask of the outside.  Pointers are valid only during
   the call.  */
struct ms_effect
{
  enum ms_effect_kind kind;
  union
  {
    struct
    {
      uint64_t node; /* 0 if only the address is known.  */
      const char *address;
      const peer_message *message;
    } send;
    struct
    {
      enum ms_stream stream;
      uint64_t tag; /* Returned with the result.  */
      const char *text;
    } append;
    struct
    {
      uint64_t request;
      unsigned attempt;
      uint64_t endpoint;
      const char *address;
      ms_time start_by; /* Past it the attempt must not begin.  */
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
      ms_time retry_after; /* 0 if coming back makes no sense.  */
      uint64_t endpoint;
    } answer;
  };
};

/* Where effects go.  */
struct ms_sink
{
  void (*emit) (void *context, const struct ms_effect *effect);
  void *context;
};

const char *ms_outcome_name (enum ms_outcome outcome);
const char *ms_reason_name (enum ms_reason reason);

#endif

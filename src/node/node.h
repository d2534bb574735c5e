#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "base/switches.h"
#include "dispatch/dispatch.h"
#include "entry/entry.h"
#include "node/effect.h"
#include "view/view.h"

/* A node makes all decisions of one router, as a state machine without
   threads, sockets, files or clock: each event comes with the time, and
   effects go to a sink.  The same events and seed give the same effects, so
   tests and replays can drive it.  It takes no locks; its owner calls it from
   one thread at a time.  */

struct ms_node;

/* Strings are copied.  */
struct ms_node_options
{
  const char *name;           /* Unique among the routers.  */
  const char *zone;           /* Name of the availability zone.  */
  const char *peer_address;   /* Where other routers reach this one.  */
  const char *caller_address; /* Where callers reach this one.  */
  uint64_t incarnation; /* Higher than in every earlier run of this name.  */
  uint64_t random_seed;
};

enum ms_event_kind
{
  MS_EVENT_TICK,          /* The owner's 20 ms timer ticked.  */
  MS_EVENT_ARRIVE,        /* A request came from a caller.  */
  MS_EVENT_CALLER_GONE,   /* A caller closed its connection.  */
  MS_EVENT_PROGRESS,      /* A running attempt has used more cost units.  */
  MS_EVENT_ATTEMPT_END,   /* An attempt ended.  */
  MS_EVENT_PEER,          /* A message came from another router.  */
  MS_EVENT_LOG_RECORD,    /* A record was read from the log.  */
  MS_EVENT_LOG_READ,      /* A read of the log succeeded.  */
  MS_EVENT_APPEND_FAILED, /* An append to the log failed.  */
  MS_EVENT_ENDPOINTS,     /* A new list of all endpoints.  */
  MS_EVENT_LOAD,          /* An endpoint reported its load.  */
  MS_EVENT_DRAIN          /* The router is to finish its work and leave.  */
};

/* An event; its pointers need to be valid only during ms_node_step.  */
struct ms_event
{
  enum ms_event_kind kind;
  union
  {
    struct ms_arrival arrive;
    uint64_t caller_gone; /* The request whose caller has gone.  */
    struct
    {
      uint64_t request;
      uint32_t cost; /* Cost units used by the attempt so far.  */
    } progress;
    struct ms_attempt_end attempt_end;
    const peer_message *peer;
    struct
    {
      enum ms_stream stream;
      uint64_t offset;
      struct ms_str text;
    } log_record;
    struct
    {
      enum ms_stream stream;
      ms_time sent_at;     /* When the read was sent.  */
      uint64_t first_kept; /* Oldest offset that the log still has.  */
      bool at_end;         /* No more records were left to read.  */
    } log_read;
    struct
    {
      enum ms_stream stream;
      uint64_t tag;
    } append_failed;
    struct
    {
      const struct ms_endpoint *list;
      unsigned count;
    } endpoints;
    struct
    {
      uint64_t endpoint;
      uint64_t start_id; /* Identifies the start of the endpoint's process.  */
      unsigned running;  /* Requests that it runs.  */
    } load;
  };
};

/* Create a node that emits its effects to a copy of SINK.  */
struct ms_node *ms_node_create (const struct ms_node_options *options,
                                const struct ms_sink *sink);
void ms_node_destroy (struct ms_node *node);

/* Handle EVENT at the time NOW, which never decreases between calls.  */
void ms_node_step (struct ms_node *node, const struct ms_event *event,
                   ms_time now);

/* Return true if the router has read the control stream to its end once, has a
   configuration and is a member.  Otherwise it refuses all requests, such as
   while it starts, or once other routers have expired it.  */
bool ms_node_ready (const struct ms_node *node);

/* Return true if an attempt with the start_by time START_BY may still start
   at NOW.  After START_BY its grant has expired, and the slot may be granted
   again.  */
static inline bool
ms_may_start (ms_time start_by, ms_time now)
{
  return now <= start_by || !ms_enabled (MS_GRANT_EXPIRY);
}

/* Address of a router, for callers.  */
struct ms_address
{
  char caller_address[MS_ADDRESS_BYTES];
  struct ms_name zone;
};

/* Fill ADDRESSES with up to SPACE routers for a caller in ZONE, best first,
   and return their number.  Routers in the caller's own availability zone
   come first, those in zones that are out of service or not configured last;
   SALT shuffles the order within each group, so that callers spread over the
   routers.  Members with more than one unanswered probe are left out, and so
   is this router while it drains.  */
unsigned ms_node_addresses (struct ms_node *node, uint64_t zone, uint64_t salt,
                            struct ms_address *addresses, unsigned space);

/* Fill IDS and ADDRESSES with up to SPACE endpoints of the cells that this
   router dispatches, and return their number.  The owner polls them for their
   load and passes it on as MS_EVENT_LOAD.  */
unsigned ms_node_watched_endpoints (struct ms_node *node, ms_time now,
                                    uint64_t *ids,
                                    char (*addresses)[MS_ADDRESS_BYTES],
                                    unsigned space);

/* Numbers for status pages and measurements.  */
struct ms_node_status
{
  uint64_t generation; /* Of the configuration, 0 if there is none.  */
  uint64_t applied;    /* Next offset of the control stream to apply.  */
  unsigned members;
  unsigned open; /* Requests without an answer.  */
  bool stale;    /* The control stream was not read to its end lately; see
                    ms_view_stale.  */
  bool draining;
  struct ms_dispatch_status dispatch;
  size_t bytes; /* Approximate memory use of the decision state.  */
};
struct ms_node_status ms_node_status (struct ms_node *node, ms_time now);

/* Fill in STATUS for REQUEST; return false if REQUEST is not open.  */
bool ms_node_explain (struct ms_node *node, uint64_t request, ms_time now,
                      struct ms_request_status *status);

/* Return the node's view, which changes with each step.  */
const struct ms_view *ms_node_view (const struct ms_node *node);

#endif

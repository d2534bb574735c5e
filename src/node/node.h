#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "base/switches.h"
#include "dispatch/dispatch.h"
#include "entry/entry.h"
#include "node/effect.h"
#include "view/view.h"

/* All decisions of one router.  It has no thread, socket, file or clock:
   each event carries the time, effects go to the sink.  */

struct ms_node;

struct ms_node_options
{
  const char *name;
  const char *zone;
  const char *peer_address;
  const char *caller_address;
  uint64_t incarnation; /* Above that of every earlier run.  */
  uint64_t random_seed;
};

enum ms_event_kind
{
  MS_EVENT_TICK,
  MS_EVENT_ARRIVE,
  MS_EVENT_CALLER_GONE,
  MS_EVENT_PROGRESS,
  MS_EVENT_ATTEMPT_END,
  MS_EVENT_PEER,
  MS_EVENT_LOG_RECORD,
  MS_EVENT_LOG_READ,
  MS_EVENT_APPEND_FAILED,
  MS_EVENT_ENDPOINTS,
  MS_EVENT_LOAD,
  MS_EVENT_DRAIN
};

struct ms_event
{
  enum ms_event_kind kind;
  union
  {
    struct ms_arrival arrive;
    uint64_t caller_gone;
    struct
    {
      uint64_t request;
      uint32_t cost;
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
      uint64_t first_kept; /* Oldest offset the log still has.  */
      bool at_end;
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
      uint64_t start_id;
      unsigned running;
    } load;
  };
};

struct ms_node *ms_node_create (const struct ms_node_options *options,
                                const struct ms_sink *sink);
void ms_node_destroy (struct ms_node *node);

/* Handle EVENT at NOW; times never go back.  */
void ms_node_step (struct ms_node *node, const struct ms_event *event,
                   ms_time now);

/* Whether the router has read the log to its end, has a configuration and is
   a member.  */
bool ms_node_ready (const struct ms_node *node);

/* Whether an attempt may still begin at NOW, as START_BY told.  */
static inline bool
ms_may_start (ms_time start_by, ms_time now)
{
  return now <= start_by || !ms_enabled (MS_GRANT_EXPIRY);
}

/* The routers a caller of SERVICE should use, best first.  */
struct ms_address
{
  char caller_address[MS_ADDRESS_BYTES];
  struct ms_name zone;
};
unsigned ms_node_addresses (struct ms_node *node, uint64_t zone, uint64_t salt,
                            struct ms_address *addresses, unsigned space);

/* The endpoints whose load this router wants reports of.  */
unsigned ms_node_watched (struct ms_node *node, ms_time now, uint64_t *ids,
                          char (*addresses)[MS_ADDRESS_BYTES], unsigned space);

struct ms_node_status
{
  uint64_t generation;
  uint64_t applied;
  unsigned members;
  unsigned open;
  bool stale;
  bool draining;
  struct ms_dispatch_status dispatch;
  size_t bytes;
};
struct ms_node_status ms_node_status (struct ms_node *node, ms_time now);

bool ms_node_explain (struct ms_node *node, uint64_t request, ms_time now,
                      struct ms_request_status *status);

const struct ms_view *ms_node_view (const struct ms_node *node);

#endif

#ifndef NODE_INTERNAL_H
#define NODE_INTERNAL_H

#include "base/random.h"
#include "config/follower.h"
#include "member/liveness.h"
#include "node/node.h"

/* An encoded message that the router sends to itself.  It is handled after
   the current event, so that no module is entered again while it runs.  */
struct self_message
{
  struct self_message *next;
  unsigned length;
  char data[];
};

struct ms_node
{
  struct ms_sink sink;        /* Given by the owner of the node.  */
  struct ms_sink module_sink; /* Given to the modules; see route_effect.  */
  struct ms_random random;
  struct ms_view *view;
  struct ms_liveness *liveness;
  struct ms_follower *follower;
  struct ms_dispatch *dispatch;
  struct ms_guard *guard;
  struct ms_once *once;
  struct ms_entry *entry;
  struct ms_record own_record; /* Template of join and leave records.  */
  struct self_message *first_self_message;
  struct self_message **last_self_message_link; /* Next pointer of the last;
                                                   dangles if none is left.  */
  uint64_t once_next_offset; /* Next offset of the once stream to apply.  */
  uint64_t first_kept; /* Oldest control offset that the log still has.  */
  ms_time next_membership_append; /* No join or leave record before this.  */
  bool draining;
  bool drained; /* MS_EFFECT_DRAINED was emitted.  */
};

/* Queue a copy of MESSAGE for this router itself.  */
void ms_node_queue_to_self (struct ms_node *node, const peer_message *message);

/* Take the next queued message into MESSAGE, which the caller frees with
   xdr_free; return false if there is none.  */
bool ms_node_next_self_message (struct ms_node *node, peer_message *message);

/* Free all queued messages.  */
void ms_node_drop_self_messages (struct ms_node *node);

/* Run the periodic work of all modules.  */
void ms_node_tick (struct ms_node *node, ms_time now);

/* Start to drain: refuse new requests and make no more grants.  */
void ms_node_drain (struct ms_node *node, ms_time now);

#endif

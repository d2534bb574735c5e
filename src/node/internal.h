#ifndef NODE_INTERNAL_H
#define NODE_INTERNAL_H

#include "base/random.h"
#include "config/follower.h"
#include "member/liveness.h"
#include "node/node.h"

/* A message of the router to itself, encoded.  */
struct kept
{
  struct kept *next;
  unsigned length;
  char data[];
};

struct ms_node
{
  struct ms_sink sink;  /* The outside.  */
  struct ms_sink inner; /* What the modules emit to.  */
  struct ms_random random;
  struct ms_view *view;
  struct ms_liveness *liveness;
  struct ms_follower *follower;
  struct ms_dispatch *dispatch;
  struct ms_guard *guard;
  struct ms_once *once;
  struct ms_entry *entry;
  struct ms_record join;
  struct kept *first_kept_message;
  struct kept **last_kept_message;
  uint64_t once_applied;
  uint64_t first_kept;
  ms_time next_join;
  bool draining;
  bool drained;
};

void ms_node_keep (struct ms_node *node, const peer_message *message);
bool ms_node_next_kept (struct ms_node *node, peer_message *message);
void ms_node_drop_kept (struct ms_node *node);

void ms_node_tick (struct ms_node *node, ms_time now);
void ms_node_drain (struct ms_node *node, ms_time now);

#endif

#ifndef CONFIG_FOLLOWER_H
#define CONFIG_FOLLOWER_H

#include "base/random.h"
#include "node/effect.h"
#include "view/view.h"

/* Which publication is in force.  A publication names the generation it was
   made from and is accepted only if that is the one in force, so of two that
   race the first in log order wins everywhere.  A router takes no generation
   older than one it has held, and gets newer ones from peers when it cannot
   read the log.  The accepted text is copied to the log's end before the log
   forgets it.  */

struct ms_follower;

struct ms_follower *ms_follower_create (struct ms_view *view,
                                        const struct ms_sink *sink,
                                        struct ms_random *random);
void ms_follower_destroy (struct ms_follower *follower);

/* A publication or copy was read at OFFSET.  True if the configuration in
   force changed.  */
bool ms_follower_record (struct ms_follower *follower,
                         const struct ms_record *record, uint64_t offset,
                         ms_time now);

/* A peer asks for the configuration.  */
void ms_follower_wanted (struct ms_follower *follower,
                         const peer_message *message);

/* A part of a peer's configuration came; true if one came in force.  */
bool ms_follower_part (struct ms_follower *follower,
                       const peer_message *message, ms_time now);

/* A peer says that it has GENERATION.  */
void ms_follower_heard (struct ms_follower *follower, uint64_t node,
                        uint64_t generation, ms_time now);

/* Ask again for missing parts; copy the text if FIRST_KEPT, the oldest
   offset the log still has, comes near it.  */
void ms_follower_tick (struct ms_follower *follower, uint64_t first_kept,
                       ms_time now);

#endif

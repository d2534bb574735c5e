#ifndef CONFIG_FOLLOWER_H
#define CONFIG_FOLLOWER_H

#include "base/random.h"
#include "node/effect.h"
#include "view/view.h"

/* Keeps the view's configuration up to date: decides which publication is in
   force and obtains newer ones from the log or from peers.

   A publication names the generation it was made from and is accepted only if
   that generation is in force.  Of two concurrent publications, the first in
   log order therefore wins on every router.

   A router never goes back to an older generation.  While it cannot read the
   log, it fetches newer generations from peers, in parts.

   The log drops old records, so the accepted text is appended again (a copy)
   before its last record is dropped; a router that starts later still finds
   it.

   Not thread-safe: the caller serializes all calls on one follower and its
   view.  */

struct ms_follower;

/* Create a follower that puts configurations in force in VIEW, emits its
   effects, which are messages to peers and appends to the log, to SINK, and
   draws from RANDOM.  All three are borrowed and must outlive it.  */
struct ms_follower *ms_follower_create (struct ms_view *view,
                                        const struct ms_sink *sink,
                                        struct ms_random *random);

/* Free FOLLOWER, which may be NULL.  The view keeps its configuration.  */
void ms_follower_destroy (struct ms_follower *follower);

/* Process RECORD, a publication or a copy of one that was read from the
   control stream at OFFSET.  Return true if the configuration in force
   changed.  */
bool ms_follower_apply_record (struct ms_follower *follower,
                               const struct ms_record *record, uint64_t offset,
                               ms_time now);

/* Answer MESSAGE, a peer's request for a part of the configuration in force,
   if this router has the generation that it names or a newer one.  */
void ms_follower_send_part (struct ms_follower *follower,
                            const peer_message *message);

/* Process MESSAGE, a part of a configuration from a peer; request the next
   part.  Return true if the text is complete and came in force.  */
bool ms_follower_receive_part (struct ms_follower *follower,
                               const peer_message *message, ms_time now);

/* Note that peer NODE has GENERATION; start to fetch it if it is newer than
   those in force and being fetched.  */
void ms_follower_note_generation (struct ms_follower *follower, uint64_t node,
                                  uint64_t generation, ms_time now);

/* Repeat the request for a part that did not arrive.  Every 30 to 60 s, check
   whether the newest record with the text is in the older half of the log,
   which begins at offset FIRST_KEPT, and if so append a copy.  */
void ms_follower_tick (struct ms_follower *follower, uint64_t first_kept,
                       ms_time now);

#endif

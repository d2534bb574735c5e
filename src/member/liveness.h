#ifndef MEMBER_LIVENESS_H
#define MEMBER_LIVENESS_H

#include "base/random.h"
#include "node/effect.h"
#include "view/view.h"

/* Failure detection by probing a few peers a second.  A member is struck off
   by a record in the log once routers of two availability zones find it
   silent.  */

struct ms_liveness;

struct ms_liveness *ms_liveness_create (struct ms_view *view,
                                        const struct ms_sink *sink,
                                        struct ms_random *random);
void ms_liveness_destroy (struct ms_liveness *liveness);

/* Send probes that are due and append expirations that are justified.  */
void ms_liveness_tick (struct ms_liveness *liveness, ms_time now);

/* MESSAGE came from a member or a starting router; any message shows life.
   REPLY_TO is the sender's address, or NULL to take the member's.  */
void ms_liveness_heard (struct ms_liveness *liveness,
                        const peer_message *message, ms_time now);

/* Whether MEMBER left several probes without an answer.  */
bool ms_liveness_silent (const struct ms_member *member, ms_time now);

/* Whether the router has heard a router of another availability zone lately,
   or no member is in another one.  */
bool ms_liveness_connected (const struct ms_liveness *liveness, ms_time now);

#endif

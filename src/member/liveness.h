#ifndef MEMBER_LIVENESS_H
#define MEMBER_LIVENESS_H

#include "base/random.h"
#include "node/effect.h"
#include "view/view.h"

/* Failure detector.  Each router probes a few random members a second.  It
   appends an expire record for a member to the log, which removes it from the
   membership, once routers of two availability zones find that member silent.
   A router, or a whole zone, that is merely cut off from the rest can thus
   not expire the others.  If all other members are in one zone, two of its
   routers are enough.

   Times are microseconds on the router's clock.  The functions take no
   locks; the node calls them from one thread.  */

struct ms_liveness;

/* Create a failure detector for the members in VIEW, which sends its effects
   to SINK.  It borrows all arguments, which must outlive it.  */
struct ms_liveness *ms_liveness_create (struct ms_view *view,
                                        const struct ms_sink *sink,
                                        struct ms_random *random);
void ms_liveness_destroy (struct ms_liveness *liveness);

/* Send the probes that are due, and append expire records for members whose
   silence is confirmed.  */
void ms_liveness_tick (struct ms_liveness *liveness, ms_time now);

/* Handle MESSAGE from a member, or from a router that has not joined yet or
   was expired.  Any message from a member counts as a sign of life; probes are
   answered to the address that they carry, also those of other routers.  */
void ms_liveness_heard (struct ms_liveness *liveness,
                        const peer_message *message, ms_time now);

/* Return true if MEMBER has not answered SILENT_PROBES or more probes, the
   first of them sent at least SILENT_AFTER ago (see liveness.c).  */
bool ms_liveness_silent (const struct ms_member *member, ms_time now);

/* Return true if last_heard of a member in another availability zone is at
   most CONNECTED_WITHIN ago (see liveness.c), or if no member is in another
   zone.  A member counts as heard when its join record is applied, so a router
   that has just read the log may be connected before it gets a message.  */
bool ms_liveness_connected (const struct ms_liveness *liveness, ms_time now);

#endif

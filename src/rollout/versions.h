#ifndef ROLLOUT_VERSIONS_H
#define ROLLOUT_VERSIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Versions that a service's endpoints have, and whether this router may use
   them yet.  The list of endpoints and the operators' records are different
   topics of the store, so a router may see the endpoints of a version before
   the order that names it.  A version that a service did not have is held
   until a read of the operators' records that was sent later has shown that
   there is no order, or the order is known.

   Opens no socket and reads no clock.  Not thread-safe.  */

struct ms_versions;

/* VERSION of SERVICE is not held any more; it was for HELD_FOR.  */
typedef void ms_versions_admitted (void *context, uint64_t service,
                                   uint32_t version, ms_time held_for);

/* Create an empty table.  ADMITTED is called with CONTEXT by
   ms_versions_update.  */
struct ms_versions *ms_versions_create (ms_versions_admitted *admitted,
                                        void *context);
void ms_versions_destroy (struct ms_versions *versions);

/* An endpoint with VERSION of SERVICE is listed.  It started at BORN, Unix
   milliseconds; 0 if that is not stated.  */
void ms_versions_note (struct ms_versions *versions, uint64_t service,
                       uint32_t version, int64_t born, ms_time now);

/* An order names VERSION of SERVICE, and decides which requests it gets.  */
void ms_versions_note_order (struct ms_versions *versions, uint64_t service,
                             uint32_t version);

/* All listed endpoints were noted since the last call: the service does not
   have a version any more that was not.  The operators' records are known as
   of ORDERS_READ_AT, the send time of a read, or earlier if that is not
   certain.  */
void ms_versions_update (struct ms_versions *versions, ms_time orders_read_at,
                         ms_time now);

/* Return whether VERSION of SERVICE is held, as an unknown one is.  */
bool ms_versions_is_held (const struct ms_versions *versions, uint64_t service,
                          uint32_t version);

/* Return whether any version is held.  */
bool ms_versions_any_held (const struct ms_versions *versions);

#endif

#ifndef GATEWAY_MEMBERS_H
#define GATEWAY_MEMBERS_H

#include "gateway/gateway.h"

/* Membership through the store: each router registers its address, zone and
   incarnation there when it starts and regularly reads the records of the
   others, which it passes to the fleet.  The same topic keeps the parts of
   prompts that are under trial or in quarantine, which one router a zone
   writes.  */

struct ms_members;

struct ms_members *ms_members_create (struct ms_gateway *gw);
void ms_members_destroy (struct ms_members *members);

/* Register, write a part, or read all records, if that is due.  Call on every
   tick.  */
void ms_members_tick (struct ms_members *members, ms_time now);

#endif

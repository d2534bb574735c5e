#ifndef GATEWAY_MEMBERS_H
#define GATEWAY_MEMBERS_H

#include "gateway/gateway.h"

/* The store's record of which gateways there are: each writes itself there at
   its start and reads now and then what the others wrote.  */

struct ms_members;

struct ms_members *ms_members_create (struct ms_gateway *gw);
void ms_members_destroy (struct ms_members *members);

/* Write or read if it is due.  */
void ms_members_tick (struct ms_members *members, ms_time now);

#endif

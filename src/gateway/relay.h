#ifndef GATEWAY_RELAY_H
#define GATEWAY_RELAY_H

#include "gateway/gateway.h"

/* Copies the topics of the store from other routers over HTTP.  Routers that
   do not read the store themselves (all but the first few of each zone) depend
   on it; those that do use it while they cannot reach the store.  */

struct ms_relay;

/* Path on the control address that returns this router's copy of the topics.
 */
#define MS_RELAY_PATH "/fleet/topics"

struct ms_relay *ms_relay_create (struct ms_gateway *gw);
void ms_relay_destroy (struct ms_relay *relay);

/* Call a peer if a call is due.  Call on every tick.  */
void ms_relay_tick (struct ms_relay *relay, ms_time now);

#endif

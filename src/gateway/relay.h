#ifndef GATEWAY_RELAY_H
#define GATEWAY_RELAY_H

#include "gateway/gateway.h"

/* The store's topics as other gateways have read them, asked for over HTTP by
   those that do not read the store themselves or cannot.  */

struct ms_relay;

/* Path on the control address at which topics are relayed.  */
#define MS_RELAY_PATH "/fleet/topics"

struct ms_relay *ms_relay_create (struct ms_gateway *gw);
void ms_relay_destroy (struct ms_relay *relay);

/* Ask if it is due.  */
void ms_relay_tick (struct ms_relay *relay, ms_time now);

#endif

#ifndef GATEWAY_PEERS_H
#define GATEWAY_PEERS_H

#include "gateway/gateway.h"

/* Talk between gateways: digests over UDP, relays and the record of members.
 */

struct ms_peers;

enum ms_status ms_peers_create (struct ms_gateway *gw,
                                struct ms_peers **peers);
void ms_peers_destroy (struct ms_peers *peers);

/* Send and ask what is due.  */
void ms_peers_tick (struct ms_peers *peers, ms_time now);

/* Send a digest to all at once, as when the gateway begins to leave.  */
void ms_peers_announce (struct ms_peers *peers, ms_time now);

/* A request ended an endpoint: tell the others.  */
void ms_peers_death (struct ms_peers *peers, uint64_t fingerprint,
                     unsigned deaths, ms_time now);

#endif

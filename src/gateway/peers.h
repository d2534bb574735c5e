#ifndef GATEWAY_PEERS_H
#define GATEWAY_PEERS_H

#include "gateway/gateway.h"

/* Communication between the routers of the fleet: digests of load and demand
   over UDP several times a second, relayed store topics and the records of
   members in the store.
   Runs on the event loop's thread.  */

struct ms_peers;

/* Bind the peer port of GW's settings, at the IP address of the callers' port,
   and set *PEERS; MS_UNAVAILABLE if that fails.  */
enum ms_status ms_peers_create (struct ms_gateway *gw,
                                struct ms_peers **peers);
void ms_peers_destroy (struct ms_peers *peers);

/* Send digests and start relays and store calls that are due.  Call on every
   tick.  */
void ms_peers_tick (struct ms_peers *peers, ms_time now);

/* Number of routers among which limits of the whole fleet are divided, as of
   the last digest; 0 if this router uses no such limit yet.  */
unsigned ms_peers_sharers (const struct ms_peers *peers);

/* Send a digest now instead of at its next time, as when the router starts to
   leave.  */
void ms_peers_announce (struct ms_peers *peers, ms_time now);

/* Report to the other routers, by the next tick, that DEATHS endpoints may
   have crashed because of requests with FINGERPRINT; 0 stands for one
   unconfirmed death, as for ms_guard_death.  */
void ms_peers_report_death (struct ms_peers *peers, uint64_t fingerprint,
                            unsigned deaths, ms_time now);

#endif

#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

/* TCP proxies on loopback that inject network faults between a client and a
   server.  Each proxy accepts and relays connections in threads of its own;
   its link state may be changed at any time from any thread.  */

struct proxy;

enum link_state
{
  LINK_GOOD,
  LINK_SLOW,    /* Each block of data is delayed by 200 ms.  */
  LINK_RESET,   /* Open and new connections are reset.  */
  LINK_ONE_WAY, /* Data from the server is dropped.  */
  LINK_SILENT,  /* Data is dropped both ways, without a reset.  */
  LINK_STATES
};

extern const char *const link_state_names[LINK_STATES];

/* Accept connections at PORT and relay them to TARGET_PORT, both on 127.0.0.1.
   Returns a proxy with a good link that lives as long as the process; exits
   the process if PORT cannot be bound.  */
struct proxy *proxy_create (unsigned port, unsigned target_port);

/* Apply STATE to the open connections of PROXY and to new ones.  */
void proxy_set_state (struct proxy *proxy, enum link_state state);

#endif

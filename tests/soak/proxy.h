#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

/* A proxy on loopback between two parties, whose link can be made bad.  */

struct proxy;

enum link_state
{
  LINK_GOOD,
  LINK_SLOW,    /* Each piece comes 200 ms late.  */
  LINK_RESET,   /* Connections are reset, new ones too.  */
  LINK_ONE_WAY, /* Nothing comes back.  */
  LINK_SILENT,  /* Nothing goes either way, without a reset.  */
  LINK_STATES
};

extern const char *const link_state_names[LINK_STATES];

/* Pass what comes at PORT on to TARGET, both on 127.0.0.1.  Ends the process
   if the port cannot be had.  */
struct proxy *proxy_create (unsigned port, unsigned target);

void proxy_set (struct proxy *proxy, enum link_state state);

#endif

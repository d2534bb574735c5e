#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

#include <stdbool.h>

#include "base/clock.h"
#include "proxy.h"

/* The real gateways and the stand-ins of store and endpoints, as processes of
   their own, with a proxy before each endpoint and before the store of each
   gateway.  */

#define GATEWAYS 3
#define ENGINES 4

/* Time in which a key that is taken away must be refused.  */
#define REVOCATION_MS 3000

struct fleet_options
{
  const char *build;  /* Folder of the programs.  */
  const char *folder; /* For settings, logs and runs.  */
  unsigned base;      /* First port.  */
};

/* Start all, with a first configuration; ends the process on a failure.  */
void fleet_start (const struct fleet_options *options);

/* End all that was started.  */
void fleet_stop (void);

/* Write the gateway's caller address into TEXT.  */
void fleet_gateway_url (unsigned gateway, char *text, unsigned size);

void fleet_signal_gateway (unsigned gateway, int signal);

/* Start a gateway again that was told to end.  Returns whether that is done
   with; else it has still to end.  */
bool fleet_restart_gateway (unsigned gateway);

void fleet_signal_engine (unsigned engine, int signal);

/* Start an engine again under a new name, and list that.  */
void fleet_restart_engine (unsigned engine);

struct proxy *fleet_engine_link (unsigned engine);
struct proxy *fleet_store_link (unsigned gateway);

/* Let the store answer, or refuse every call.  */
void fleet_store_mode (bool up);
void fleet_store_forget (void);

/* Write a configuration, with the second key or without.  */
void fleet_configure (bool second_key);

/* Whether a gateway ended that nobody told to; tells which.  */
bool fleet_lost_gateway (void);

/* Milliseconds on a clock that goes on steadily.  */
long long fleet_now_ms (void);

#endif

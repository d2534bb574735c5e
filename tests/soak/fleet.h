#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

#include <stdbool.h>

#include "base/clock.h"
#include "proxy.h"

/* Runs the system under test as processes on loopback: real gateways, a
   stand-in for the store, and stand-ins for endpoints, here called engines.
   A proxy sits between the gateways and each engine, and between each gateway
   and the store, so that links can fail one by one.  Engines and gateways are
   numbered from 0.  Only fleet_gateway_url and fleet_now_ms may be called from
   several threads.  */

#define GATEWAYS 3
#define ENGINES 4

/* Time from the revocation of a key until gateways must refuse it, their
   setting revocation_ms.  */
#define REVOCATION_MS 3000

struct fleet_options
{
  const char *build;  /* Folder of the programs.  */
  const char *folder; /* For settings, logs and the engines' run logs.  */
  unsigned base;      /* First port to try.  */
};

/* Start all processes as OPTIONS say, publish a configuration with both API
   keys and wait until the gateways are ready.  Exits the process on a
   failure.  */
void fleet_start (const struct fleet_options *options);

/* Kill all processes and wait for their end.  */
void fleet_stop (void);

/* Write the URL at which GATEWAY serves callers into TEXT of SIZE bytes.  */
void fleet_gateway_url (unsigned gateway, char *text, unsigned size);

/* Send SIGNAL to GATEWAY, if it runs.  */
void fleet_signal_gateway (unsigned gateway, int signal);

/* Start GATEWAY again after SIGTERM or SIGKILL.  Returns false while the old
   process still runs: call it again later.  Returns true without a restart if
   a new process already runs.  */
bool fleet_restart_gateway (unsigned gateway);

/* Send SIGNAL to ENGINE.  */
void fleet_signal_engine (unsigned engine, int signal);

/* Kill ENGINE and start it again at the same address under a new name; the
   store's list of endpoints follows.  */
void fleet_restart_engine (unsigned engine);

/* The proxy between the gateways and ENGINE.  */
struct proxy *fleet_engine_link (unsigned engine);

/* The proxy between GATEWAY and the store.  */
struct proxy *fleet_store_link (unsigned gateway);

/* Let the store answer (UP), or refuse every call with 503.  */
void fleet_set_store_up (bool up);

/* Let the store drop the history of its topics.  It keeps each key's newest
   value.  */
void fleet_forget_history (void);

/* Publish the next version of the configuration, in which the second API key
   ("k2") is valid or, unless SECOND_KEY, revoked.  */
void fleet_publish_config (bool second_key);

/* Return whether a gateway ended without SIGTERM or SIGKILL, and print which.
   Reports each such end once.  */
bool fleet_gateway_died (void);

/* Milliseconds of the monotonic clock.  */
long long fleet_now_ms (void);

#endif

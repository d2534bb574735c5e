#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

#include <stdbool.h>

#include "base/clock.h"
#include "platform.h"
#include "proxy.h"

/* Runs the system under test as processes on loopback: real gateways, a
   stand-in for the store, and stand-ins for endpoints, here called engines.
   A proxy sits between the gateways and each engine, and between each gateway
   and the store, so that links can fail one by one.  Engines and gateways are
   numbered from 0.  Only fleet_gateway_url and fleet_now_ms may be called from
   several threads.  */

#define GATEWAYS 3
#define ENGINES 4 /* That faults act on.  */
#define RELEASED                                                              \
  3 /* Further engines, which are released one after the other;               \
       they have the numbers from ENGINES on.  */

/* Two pairs of engines of a service of its own, "moved", which has orders to
   move to another version; faults do not act on them.  */
#define MOVED (ENGINES + RELEASED) /* The first one.  */
#define PAIR 2
#define ALL_ENGINES (MOVED + 2 * PAIR)

/* The gateways' settings for orders.  */
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50
#define ROLLBACK_MS 2000

/* Time from the store's acknowledgement that an engine leaves until it must
   get no more requests, the default of the gateways' setting drain_timeout_ms.
 */
#define DRAIN_TIMEOUT_MS 2000

/* How long a released engine is cold after its start, and the most requests
   that it may get from all gateways in one second of that time.  */
#define COLD_MS 3000
#define COLD_PER_S 4
#define COLD_BOUND (COLD_PER_S * 1.5 + 5)

/* Time from a configuration's publication until gateways must apply it, their
   setting config_apply_ms.  */
#define CONFIG_APPLY_MS 2000

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

/* Let ENGINE become cold again for MS, which it says on its health page, and
   in its entry with the next heartbeat.  */
void fleet_cool_engine (unsigned engine, unsigned ms);

/* How others learn that an engine leaves.  */
enum leaving
{
  LEAVING_DRAINING, /* The store's list says so.  */
  LEAVING_UNTOLD,   /* The store's list lacks it.  */
  LEAVING_SAID      /* Its answers say so; it stays ready on the list.  */
};

/* Let ENGINE leave as LEAVING says; it goes on serving.  */
void fleet_release_engine (unsigned engine, enum leaving leaving);

/* End a released ENGINE and start it again, cold, under a new name.  */
void fleet_replace_engine (unsigned engine);

/* Let the next engine write its entry in the store again; call it every
   HEARTBEAT_STEP_MS.  */
#define HEARTBEAT_STEP_MS 100
void fleet_heartbeat (void);

/* Count the connections so far to the address of an odd entry.  */
unsigned fleet_count_misled (void);

/* Start the engines of PAIR (0 or 1) as ones of VERSION, which answer badly as
   the query BAD of PUT /bad says.  */
void fleet_start_pair (unsigned pair, unsigned version, const char *bad);

/* Write the entries of PAIR.  */
void fleet_list_pair (unsigned pair);

/* Remove the entries of PAIR and kill its engines.  */
void fleet_end_pair (unsigned pair);

/* Write the order to move the service to VERSION within DURATION_S.  */
void fleet_order (unsigned version, unsigned duration_s);

/* Set PHASE to that which the store has for the order to VERSION,
   PLAT_ROLLOUT_STATES if it has none.  Return false if the store does not
   answer.  */
bool fleet_order_state (unsigned version, enum plat_rollout_phase *phase);

/* Return the time of the earliest start of a gateway, of the latest starts of
   each.  */
long long fleet_oldest_start (void);

/* A time for which an engine was stopped by SIGSTOP; UNTIL_MS is 0 while it
   lasts.  */
struct fleet_stop
{
  long long from_ms;
  long long until_ms;
};

#define MAX_STOPS 32 /* Of one start; further ones are not recorded.  */

/* One start of an engine.  Times are those of fleet_now_ms.  */
struct fleet_instance
{
  char runs[512];          /* File to which the engine writes its runs.  */
  long long cold_until_ms; /* 0 if it starts warm.  */
  long long cooled_ms;     /* When it became cold again; 0 if it did not.  */
  long long cooled_until_ms;
  long long left_ms;  /* When the store knew that it leaves; 0 if it did
                         not leave.  */
  long long said_ms;  /* From when on its answers said so; 0 if they did
                         not.  */
  long long ended_ms; /* When it was found ended; 0 while it runs.  */
  unsigned version;   /* Of an engine of the service "moved"; else 0.  */
  struct fleet_stop stops[MAX_STOPS];
  unsigned stops_count;
};

/* Return all starts of engines so far, and their number in COUNT.  */
const struct fleet_instance *fleet_instances (unsigned *count);

/* Return whether INSTANCE was stopped without a break from FROM_MS to
   UNTIL_MS.  */
bool fleet_was_stopped (const struct fleet_instance *instance,
                        long long from_ms, long long until_ms);

/* The proxy between the gateways and ENGINE.  */
struct proxy *fleet_engine_link (unsigned engine);

/* The proxy between GATEWAY and the store.  */
struct proxy *fleet_store_link (unsigned gateway);

/* Let the store answer (UP), or refuse every call with 503.  */
void fleet_set_store_up (bool up);

/* Let the store drop the history of its topics.  It keeps each key's newest
   value.  */
void fleet_forget_history (void);

/* Take a copy of the store, and bring the store back from it.  What was lost
   is written again by the next calls of fleet_heartbeat.  */
void fleet_copy_store (void);
void fleet_restore_store (void);

/* Start engines again that a request has crashed, under new names, a second
   after their end.  Call it often.  */
void fleet_restart_crashed (void);

/* Publish the next version of the configuration, in which the second API key
   ("k2") is valid or, unless SECOND_KEY, revoked.  */
void fleet_publish_config (bool second_key);

/* Publish the next version without an invalid route.  */
void fleet_publish_valid_config (void);

/* Return how many processes ended without SIGTERM or SIGKILL since the last
   call, and print which.  */
unsigned fleet_count_died (void);

/* Milliseconds of the monotonic clock.  */
long long fleet_now_ms (void);

#endif

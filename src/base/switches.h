#ifndef BASE_SWITCHES_H
#define BASE_SWITCHES_H

#include <monsoonspur/status.h>

#include <stdbool.h>

/* Safety and fairness mechanisms that a replay can switch off, to show which
   failure each one prevents.  Routers always run with all of them.  The
   setting is global; it is changed only while nothing else runs.  */

enum ms_mechanism
{
  MS_STALE_SHARE,   /* A dispatcher that cannot read the log grants less.  */
  MS_RESERVE,       /* A cell's new dispatcher leaves slots to earlier
                       dispatchers, which may not know of it.  */
  MS_DISTRUST,      /* A new dispatcher does not use a cold endpoint until
                       it knows an upper bound on the number of requests
                       that run there.  */
  MS_SHARED_TOTALS, /* Dispatchers exchange how many cost units each team
                       was charged.  */
  MS_KEY_INTENTS,   /* Of requests with the same idempotency key, only the
                       first one in the log runs.  */
  MS_QUARANTINE,    /* Requests that brought down endpoints are refused.  */
  MS_PEER_CONFIG,   /* Configurations are fetched from peers, not only read
                       from the log.  */
  MS_ZONE_CHECK,    /* No grants in a zone that is out of service.  */
  MS_LEAVING_CHECK, /* No grants on an endpoint that is leaving.  */
  MS_PUBLICATION_BASE, /* A publication based on an outdated generation is
                          refused.  */
  MS_CONFIG_COPY,      /* The configuration is appended to the log again
                          before the log drops it.  */
  MS_STAND_IN,         /* While most routers cannot read the log, another
                          one dispatches for a router that is silent.  */
  MS_IDLE_OFFERS,      /* Dispatchers tell routers of free slots.  */
  MS_QUEUE_BOUND,      /* A router bounds the queue of each team.  */
  MS_ATTEMPT_NUMBERS,  /* The end of an earlier attempt is not taken for
                          that of the current one.  */
  MS_PACE_WATCH,       /* Slow requests mark their endpoint as cold.  */
  MS_DRAIN_WAIT,       /* A router finishes its requests before it ends.  */
  MS_GRANT_EXPIRY,     /* A grant cannot be used after its lifetime.  */
  MS_MECHANISMS        /* Number of mechanisms.  */
};

/* Whether MECHANISM is on, as it is unless a replay switched it off.  */
bool ms_enabled (enum ms_mechanism mechanism);

/* Switch off the mechanism called NAME.  Return MS_INVALID if there is none of
   that name.  */
enum ms_status ms_switch_off (const char *name);

/* Switch all mechanisms on again.  */
void ms_switch_all_on (void);

/* The name of MECHANISM, as ms_switch_off takes it.  */
const char *ms_mechanism_name (enum ms_mechanism mechanism);

#endif

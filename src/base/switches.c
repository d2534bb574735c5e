#include "base/switches.h"

#include <string.h>

static bool switched_off[MS_MECHANISMS];

static const char *const names[MS_MECHANISMS] = {
  [MS_STALE_SHARE] = "stale-share",
  [MS_RESERVE] = "reserve",
  [MS_DISTRUST] = "distrust",
  [MS_SHARED_TOTALS] = "shared-totals",
  [MS_KEY_INTENTS] = "key-intents",
  [MS_QUARANTINE] = "quarantine",
  [MS_PEER_CONFIG] = "peer-config",
  [MS_ZONE_CHECK] = "zone-check",
  [MS_LEAVING_CHECK] = "leaving-check",
  [MS_PUBLICATION_BASE] = "publication-base",
  [MS_CONFIG_COPY] = "config-copy",
  [MS_STAND_IN] = "stand-in",
  [MS_IDLE_OFFERS] = "idle-offers",
  [MS_QUEUE_BOUND] = "queue-bound",
  [MS_ATTEMPT_NUMBERS] = "attempt-numbers",
  [MS_PACE_WATCH] = "pace-watch",
  [MS_DRAIN_WAIT] = "drain-wait",
  [MS_GRANT_EXPIRY] = "grant-expiry",
};

bool
ms_enabled (enum ms_mechanism mechanism)
{
  return !switched_off[mechanism];
}

enum ms_status
ms_switch_off (const char *name)
{
  for (int i = 0; i < MS_MECHANISMS; i++)
    if (strcmp (names[i], name) == 0)
      {
        switched_off[i] = true;
        return MS_OK;
      }
  return ms_fail (MS_INVALID, "mechanism \"%s\" is not known", name);
}

void
ms_switch_all_on (void)
{
  memset (switched_off, 0, sizeof switched_off);
}

const char *
ms_mechanism_name (enum ms_mechanism mechanism)
{
  return names[mechanism];
}

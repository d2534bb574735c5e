#include "node/effect.h"

const char *
ms_outcome_name (enum ms_outcome outcome)
{
  static const char *const names[]
      = { "answered", "not-run", "failed", "unknown" };

  return names[outcome];
}

const char *
ms_reason_name (enum ms_reason reason)
{
  static const char *const names[]
      = { [MS_REASON_NONE] = "none",
          [MS_REASON_NOT_READY] = "not-ready",
          [MS_REASON_UNKNOWN_TEAM] = "unknown-team",
          [MS_REASON_UNKNOWN_SERVICE] = "unknown-service",
          [MS_REASON_QUEUE_FULL] = "queue-full",
          [MS_REASON_DEADLINE] = "deadline",
          [MS_REASON_QUARANTINED] = "quarantined",
          [MS_REASON_DRAINING] = "draining",
          [MS_REASON_LOG_DOWN] = "log-down",
          [MS_REASON_REPEATED] = "repeated",
          [MS_REASON_ENDPOINT] = "endpoint",
          [MS_REASON_CALLER_GONE] = "caller-gone",
          [MS_REASON_NO_CAPACITY] = "no-capacity" };

  return names[reason];
}

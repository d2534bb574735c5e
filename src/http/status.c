#include "http/status.h"

#include "wire/message.h"

/* The status for REASON, whatever the outcome is.  */
static unsigned
reason_status (enum ms_reason reason)
{
  switch (reason)
    {
    case MS_REASON_UNKNOWN_TEAM:
      return 403;
    case MS_REASON_UNKNOWN_SERVICE:
      return 404;
    case MS_REASON_QUEUE_FULL:
      return 429;
    case MS_REASON_QUARANTINED:
      return 422;
    case MS_REASON_REPEATED:
      return 409;
    case MS_REASON_ENDPOINT:
      return 502;
    case MS_REASON_DEADLINE:
      return 504;
    default:
      return 503;
    }
}

unsigned
ms_http_status (enum ms_outcome outcome, enum ms_reason reason)
{
  unsigned status = reason_status (reason);

  return outcome != MS_NOT_RUN && ms_status_promises_not_run (status) ? 502
                                                                      : status;
}

#include "gateway/caller.h"
#include "gateway/gateway.h"
#include "gateway/request.h"
#include "gateway/socket.h"

/* Requests that arrive within ACCEPT_TIME of SIGTERM, and within that part of
   the grace period, are served however long they may take.  Later ones are
   served only if their deadline or timeout lies at least ACCEPT_MARGIN before
   the end of the grace period.  */
#define ACCEPT_TIME (3 * MS_SEC)
#define ACCEPT_PERCENT 38
#define ACCEPT_MARGIN (600 * MS_MSEC)

/* The process exits at the earliest after MIN_LEAVE_TIME, so that callers have
   learned that it leaves.  Requests that are still in progress END_MARGIN
   before the end of the grace period, at which the process would be killed,
   are ended, and their callers have until EXIT_MARGIN before it to read that.
 */
#define MIN_LEAVE_TIME (4 * MS_SEC)
#define END_MARGIN (300 * MS_MSEC)
#define EXIT_MARGIN (100 * MS_MSEC)

static ms_time
grace_period (const struct ms_gateway *gw)
{
  return (ms_time)(gw->settings->grace_period_s * MS_SEC);
}

bool
ms_gateway_may_serve (const struct ms_gateway *gw, ms_time time_left)
{
  ms_time grace = grace_period (gw);
  ms_time since = gw->now - gw->terminated_at;

  return !gw->terminated_at
         || (since <= ACCEPT_TIME && since <= grace / 100 * ACCEPT_PERCENT)
         || since + time_left < grace - ACCEPT_MARGIN;
}

bool
ms_gateway_leave (struct ms_gateway *gw)
{
  ms_time grace = grace_period (gw);
  ms_time since = gw->now - gw->terminated_at;
  bool must_end = since > grace - END_MARGIN;

  if (!gw->terminated_at)
    return false;
  if (since > grace - EXIT_MARGIN)
    return true;
  if (must_end)
    ms_requests_end (gw);
  else if (since <= MIN_LEAVE_TIME)
    return false;
  if ((gw->requests || ms_callers_close_idle (gw)) && !must_end)
    return false;
  if (gw->ending)
    return !gw->callers && !ms_sockets_queued_accepted ();
  gw->ending = true;
  ms_gateway_stop_listening (gw);
  return false;
}

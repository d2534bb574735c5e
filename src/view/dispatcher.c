#include "member/liveness.h"
#include "base/switches.h"
#include "view/internal.h"

static bool
not_silent (const struct ms_member *member, ms_time now)
{
  return !ms_liveness_silent (member, now);
}

uint64_t
ms_view_dispatcher (struct ms_view *view, const struct ms_cell *cell,
                    ms_time now)
{
  struct ms_member *holder = ms_view_member (view, cell->holder);
  struct ms_member *stand_in;

  if (!ms_view_stale (view, now) || !ms_enabled (MS_STAND_IN))
    return cell->holder;
  if (holder && (holder->id == view->self || not_silent (holder, now)))
    return cell->holder;
  if (!ms_view_all_stale (view, cell->holder, now))
    return cell->holder;
  stand_in = ms_view_rank (view, cell, not_silent, now);
  return stand_in ? stand_in->id : 0;
}

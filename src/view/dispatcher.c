#include "member/liveness.h"
#include "base/switches.h"
#include "view/internal.h"

static bool
not_silent (const struct ms_member *member, ms_time now)
{
  return !ms_liveness_silent (member, now);
}

/* Return true if most members cannot read the log, as far as this router
   knows: this router, which the caller has found to be stale, and the members
   that said so in their last probe or answer and are not silent.  Otherwise
   the others can still replace the holder through the log, and there must be
   no stand-in.  */
static bool
majority_stale (const struct ms_view *view, ms_time now)
{
  unsigned stale = 1;

  for (unsigned i = 0; i < view->members_count; i++)
    {
      const struct ms_member *member = &view->members[i];

      stale += member->id != view->self && member->stale
               && !ms_liveness_silent (member, now);
    }
  return stale * 2 > view->members_count;
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
  if (!majority_stale (view, now))
    return cell->holder;
  stand_in = ms_view_best_member (view, cell, not_silent, now);
  return stand_in ? stand_in->id : 0;
}

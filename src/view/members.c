#include <string.h>

#include "view/internal.h"

static unsigned
insert_position (const struct ms_view *view, uint64_t id)
{
  unsigned i = 0;

  while (i < view->members_count && view->members[i].id < id)
    i++;
  return i;
}

/* Add the member, or replace its earlier incarnation.  A repeated join of the
   same incarnation only renews join_offset.  A new member is ignored if there
   are MS_MAX_MEMBERS already.  */
static void
apply_join (struct ms_view *view, const struct ms_record *record,
            uint64_t offset, ms_time now)
{
  uint64_t id = ms_id (ms_str (record->node.data));
  struct ms_member *member = ms_view_member (view, id);

  if (member && member->incarnation == record->incarnation)
    {
      member->join_offset = offset;
      return;
    }
  if (!member)
    {
      unsigned i = insert_position (view, id);

      if (view->members_count == MS_MAX_MEMBERS)
        return;
      member = &view->members[i];
      memmove (member + 1, member, (view->members_count - i) * sizeof *member);
      view->members_count++;
    }
  memset (member, 0, sizeof *member);
  member->id = id;
  member->incarnation = record->incarnation;
  member->zone = ms_id (ms_str (record->zone.data));
  member->name = record->node;
  member->zone_name = record->zone;
  memcpy (member->peer_address, record->peer_address, MS_ADDRESS_BYTES);
  memcpy (member->caller_address, record->caller_address, MS_ADDRESS_BYTES);
  member->join_offset = offset;
  member->last_heard = now;
  ms_view_assign_holders (view, offset, now);
}

static void
remove_member (struct ms_view *view, const struct ms_record *record,
               uint64_t offset, ms_time now)
{
  uint64_t id = ms_id (ms_str (record->node.data));
  struct ms_member *member = ms_view_member (view, id);

  if (!member || member->incarnation != record->incarnation)
    return;
  view->members_count--;
  memmove (member, member + 1,
           (size_t)(view->members + view->members_count - member)
               * sizeof *member);
  ms_view_assign_holders (view, offset, now);
}

/* Remove the incarnation in RECORD, a leave record, from the predecessors of
   all cells, since it makes no more grants.  */
static void
remove_from_all_predecessors (struct ms_view *view,
                              const struct ms_record *record)
{
  uint64_t id = ms_id (ms_str (record->node.data));

  for (unsigned i = 0; i < view->cells_count; i++)
    {
      struct ms_cell *cell = &view->cells[i];
      unsigned kept = 0;

      for (unsigned j = 0; j < cell->predecessors_count; j++)
        if (cell->predecessors[j].node != id
            || cell->predecessors[j].incarnation != record->incarnation)
          cell->predecessors[kept++] = cell->predecessors[j];
      cell->predecessors_count = kept;
    }
}

void
ms_view_apply (struct ms_view *view, const struct ms_record *record,
               uint64_t offset, ms_time now)
{
  if (record->kind == MS_RECORD_JOIN)
    apply_join (view, record, offset, now);
  if (record->kind == MS_RECORD_LEAVE)
    {
      remove_member (view, record, offset, now);
      remove_from_all_predecessors (view, record);
    }
  if (record->kind == MS_RECORD_EXPIRE)
    remove_member (view, record, offset, now);
}

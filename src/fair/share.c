#include <stdlib.h>

#include "base/alloc.h"
#include "fair/internal.h"

/* Totals of a team go on being told for so long after it last waited.  */
#define RECENT (30 * MS_SEC)

static struct owner *
find_owner (struct ms_fair *fair, uint64_t node)
{
  struct owner *owner;

  HASH_FIND (hh, fair->owners, &node, sizeof node, owner);
  if (owner)
    return owner;
  owner = ms_new (sizeof *owner);
  owner->node = node;
  HASH_ADD (hh, fair->owners, node, sizeof owner->node, owner);
  fair->bytes += sizeof *owner;
  return owner;
}

static struct row *
find_row (struct ms_fair *fair, struct owner *owner, uint64_t team)
{
  struct row *row;

  HASH_FIND (hh, owner->rows, &team, sizeof team, row);
  if (row)
    return row;
  row = ms_new (sizeof *row);
  row->team = team;
  row->sent_at = -MS_NEVER / 2;
  HASH_ADD (hh, owner->rows, team, sizeof row->team, row);
  fair->bytes += sizeof *row;
  return row;
}

/* Keep what an ended incarnation charged, without its rows.  */
static void
fold (struct ms_fair *fair, struct owner *owner)
{
  struct row *row, *next;

  HASH_ITER (hh, owner->rows, row, next)
  {
    struct account *account = ms_fair_account (fair, row->team);

    account->others -= row->units;
    account->ended += row->units;
    HASH_DEL (owner->rows, row);
    free (row);
    fair->bytes -= sizeof *row;
  }
}

static void
merge_ended (struct ms_fair *fair, const struct ms_total *totals, size_t count)
{
  for (size_t i = 0; i < count; i++)
    ms_fair_account (fair, totals[i].team)->ended = totals[i].units;
}

/* What an earlier incarnation of this router charged, told by a peer.  */
static void
merge_own_past (struct ms_fair *fair, const struct ms_total *totals,
                size_t count)
{
  for (size_t i = 0; i < count; i++)
    ms_fair_account (fair, totals[i].team)->ended += totals[i].units;
}

void
ms_fair_merge (struct ms_fair *fair, uint64_t owner_id, uint64_t incarnation,
               ms_time sent_at, const struct ms_total *totals, size_t count)
{
  struct owner *owner;

  if (!owner_id)
    {
      merge_ended (fair, totals, count);
      return;
    }
  if (owner_id == fair->self)
    {
      if (incarnation != fair->incarnation)
        merge_own_past (fair, totals, count);
      return;
    }
  owner = find_owner (fair, owner_id);
  if (owner->incarnation != incarnation)
    {
      if (owner->incarnation && incarnation < owner->incarnation)
        return;
      fold (fair, owner);
      owner->incarnation = incarnation;
      owner->sent_at = sent_at;
    }
  if (sent_at > owner->sent_at)
    owner->sent_at = sent_at;
  for (size_t i = 0; i < count; i++)
    {
      struct account *account = ms_fair_account (fair, totals[i].team);
      struct row *row = find_row (fair, owner, totals[i].team);

      if (sent_at < row->sent_at)
        continue;
      account->others += totals[i].units - row->units;
      row->units = totals[i].units;
      row->sent_at = sent_at;
    }
}

size_t
ms_fair_own_totals (struct ms_fair *fair, ms_time now, struct ms_total *totals,
                    size_t space)
{
  size_t count = 0;

  for (struct account *a = fair->accounts; a && count < space; a = a->hh.next)
    {
      bool waited = now - a->last_waiting < RECENT;

      if (a->own && (waited || a->own != a->marked_last))
        totals[count++] = (struct ms_total){ a->team, a->own };
    }
  return count;
}

static size_t
known_ended (struct ms_fair *fair, struct ms_total *totals, size_t space)
{
  size_t count = 0;

  for (struct account *a = fair->accounts; a && count < space; a = a->hh.next)
    if (a->ended)
      totals[count++] = (struct ms_total){ a->team, a->ended };
  return count;
}

size_t
ms_fair_owner_totals (struct ms_fair *fair, uint64_t node,
                      uint64_t *incarnation, ms_time *sent_at,
                      struct ms_total *totals, size_t space)
{
  struct owner *owner;
  size_t count = 0;

  *incarnation = 0;
  *sent_at = 0;
  if (!node)
    return known_ended (fair, totals, space);
  HASH_FIND (hh, fair->owners, &node, sizeof node, owner);
  if (!owner)
    return 0;
  *incarnation = owner->incarnation;
  *sent_at = owner->sent_at;
  for (struct row *r = owner->rows; r && count < space; r = r->hh.next)
    totals[count++] = (struct ms_total){ r->team, r->units };
  return count;
}

size_t
ms_fair_owners (struct ms_fair *fair, uint64_t *owners, size_t space)
{
  size_t count = 0;

  for (struct owner *o = fair->owners; o && count < space; o = o->hh.next)
    owners[count++] = o->node;
  return count;
}

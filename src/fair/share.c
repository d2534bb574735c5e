#include <stdlib.h>

#include "base/alloc.h"
#include "fair/internal.h"

/* The total of a team that last waited longer ago than this is no longer
   shared, unless the team was charged recently.  */
#define SHARE_TEAM_TIME (30 * MS_SEC)

/* The owner with identifier ID, created if it is unknown.  */
static struct owner *
get_owner (struct ms_fair *fair, uint64_t id)
{
  struct owner *owner;

  HASH_FIND (hh, fair->owners, &id, sizeof id, owner);
  if (owner)
    return owner;
  owner = ms_new (sizeof *owner);
  owner->id = id;
  HASH_ADD (hh, fair->owners, id, sizeof owner->id, owner);
  fair->bytes += sizeof *owner;
  return owner;
}

/* OWNER's total of TEAM, created if it is unknown.  */
static struct owner_total *
get_total (struct ms_fair *fair, struct owner *owner, uint64_t team)
{
  struct owner_total *total;

  HASH_FIND (hh, owner->totals, &team, sizeof team, total);
  if (total)
    return total;
  total = ms_new (sizeof *total);
  total->team = team;
  total->sent_at = -MS_NEVER / 2; /* Older than any that is sent.  */
  HASH_ADD (hh, owner->totals, team, sizeof total->team, total);
  fair->bytes += sizeof *total;
  return total;
}

/* Add the totals of OWNER, whose incarnation has ended, to what ended
   incarnations charged, and remove them.  */
static void
fold_ended (struct ms_fair *fair, struct owner *owner)
{
  struct owner_total *total, *next;

  HASH_ITER (hh, owner->totals, total, next)
  {
    struct account *account = ms_fair_account (fair, total->team);

    account->from_others -= total->units;
    account->from_ended += total->units;
    HASH_DEL (owner->totals, total);
    free (total);
    fair->bytes -= sizeof *total;
  }
}

/* Replace what ended incarnations charged by the TOTALS that a peer has of
   them.  */
static void
merge_ended (struct ms_fair *fair, const struct ms_total *totals, size_t count)
{
  for (size_t i = 0; i < count; i++)
    ms_fair_account (fair, totals[i].team)->from_ended = totals[i].units;
}

/* Add the TOTALS that a peer has of an earlier incarnation of this router to
   what ended incarnations charged.  */
static void
merge_own_ended (struct ms_fair *fair, const struct ms_total *totals,
                 size_t count)
{
  for (size_t i = 0; i < count; i++)
    ms_fair_account (fair, totals[i].team)->from_ended += totals[i].units;
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
        merge_own_ended (fair, totals, count);
      return;
    }
  owner = get_owner (fair, owner_id);
  if (owner->incarnation != incarnation)
    {
      if (owner->incarnation && incarnation < owner->incarnation)
        return;
      fold_ended (fair, owner);
      owner->incarnation = incarnation;
      owner->sent_at = sent_at;
    }
  if (sent_at > owner->sent_at)
    owner->sent_at = sent_at;
  for (size_t i = 0; i < count; i++)
    {
      struct account *account = ms_fair_account (fair, totals[i].team);
      struct owner_total *total = get_total (fair, owner, totals[i].team);

      if (sent_at < total->sent_at)
        continue;
      account->from_others += totals[i].units - total->units;
      total->units = totals[i].units;
      total->sent_at = sent_at;
    }
}

size_t
ms_fair_own_totals (struct ms_fair *fair, ms_time now, struct ms_total *totals,
                    size_t space)
{
  size_t count = 0;

  for (struct account *a = fair->accounts; a && count < space; a = a->hh.next)
    {
      bool waited = now - a->last_waiting < SHARE_TEAM_TIME;

      if (a->own && (waited || a->own != a->own_at_previous_mark))
        totals[count++] = (struct ms_total){ a->team, a->own };
    }
  return count;
}

static size_t
ended_totals (struct ms_fair *fair, struct ms_total *totals, size_t space)
{
  size_t count = 0;

  for (struct account *a = fair->accounts; a && count < space; a = a->hh.next)
    if (a->from_ended)
      totals[count++] = (struct ms_total){ a->team, a->from_ended };
  return count;
}

size_t
ms_fair_owner_totals (struct ms_fair *fair, uint64_t owner_id,
                      uint64_t *incarnation, ms_time *sent_at,
                      struct ms_total *totals, size_t space)
{
  struct owner *owner;
  size_t count = 0;

  *incarnation = 0;
  *sent_at = 0;
  if (!owner_id)
    return ended_totals (fair, totals, space);
  HASH_FIND (hh, fair->owners, &owner_id, sizeof owner_id, owner);
  if (!owner)
    return 0;
  *incarnation = owner->incarnation;
  *sent_at = owner->sent_at;
  for (struct owner_total *t = owner->totals; t && count < space;
       t = t->hh.next)
    totals[count++] = (struct ms_total){ t->team, t->units };
  return count;
}

size_t
ms_fair_owners (struct ms_fair *fair, uint64_t *owners, size_t space)
{
  size_t count = 0;

  for (struct owner *o = fair->owners; o && count < space; o = o->hh.next)
    owners[count++] = o->id;
  return count;
}

#include "base/switches.h"
#include "dispatch/internal.h"

#define SHARE_PERIOD (1 * MS_SEC)
#define WANT_PERIOD (300 * MS_MSEC)

/* A router that has no answer to its requests for totals goes without.  */
#define WANT_FOR (3 * MS_SEC)

/* Dispatchers of a service that are told in a round.  */
#define SHARE_FANOUT 2

static void
fill (peer_total *items, const struct ms_total *totals, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      items[i].team = totals[i].team;
      items[i].units = (u_quad_t)totals[i].units;
    }
}

static void
send_totals (struct ms_dispatch *dispatch, uint64_t to, uint64_t service,
             uint64_t owner, uint64_t incarnation, ms_time sent_at,
             const struct ms_total *totals, size_t count)
{
  peer_total items[PEER_TOTALS];
  peer_message message = { .body = { .kind = PEER_TOTALS_SHARE } };
  peer_totals *shared = &message.body.peer_body_u.totals;

  fill (items, totals, count);
  shared->service = service;
  shared->owner = owner;
  shared->incarnation = incarnation;
  shared->sent_at = sent_at;
  shared->items.items_val = items;
  shared->items.items_len = (u_int)count;
  ms_view_send (dispatch->view, dispatch->sink, to, &message);
}

/* Only routers that dispatch the service's cells choose among its teams.  */
static bool
dispatches (const struct ms_view *view, uint64_t node, uint64_t service)
{
  for (unsigned i = 0; i < view->cells_count; i++)
    if (view->cells[i].service == service && view->cells[i].holder == node
        && view->cells[i].endpoints_count)
      return true;
  return false;
}

/* Tell the next SHARE_FANOUT dispatchers of the service, in turn; returns in
   how many rounds all are told.  */
static unsigned
share (struct ms_dispatch *dispatch, struct team_service *service, ms_time now)
{
  struct ms_view *view = dispatch->view;
  struct ms_total totals[PEER_TOTALS];
  size_t count = ms_fair_recent (service->fair, now, totals, PEER_TOTALS);
  unsigned first = service->next_told;
  unsigned others = 0;
  unsigned told = 0;

  for (unsigned i = 0; i < view->members_count; i++)
    {
      unsigned at = (first + i) % view->members_count;
      uint64_t node = view->members[at].id;

      if (node == view->self || !dispatches (view, node, service->service))
        continue;
      others++;
      if (!count || told == SHARE_FANOUT)
        continue;
      send_totals (dispatch, node, service->service, view->self,
                   view->incarnation, now, totals, count);
      told++;
      service->next_told = at + 1;
    }
  return others ? (others + SHARE_FANOUT - 1) / SHARE_FANOUT : 1;
}

static void
want (struct ms_dispatch *dispatch, struct team_service *service, ms_time now)
{
  struct ms_view *view = dispatch->view;
  peer_message message = { .body = { .kind = PEER_TOTALS_WANT } };
  uint64_t pick;

  if (service->has_snapshot || now < service->next_want
      || now - service->created_at > WANT_FOR || view->members_count < 2)
    return;
  pick = ms_random_below (dispatch->random, view->members_count);
  if (view->members[pick].id == view->self)
    pick = (pick + 1) % view->members_count;
  message.body.peer_body_u.totals_want.service = service->service;
  ms_view_send (dispatch->view, dispatch->sink, view->members[pick].id,
                &message);
  service->next_want = now + WANT_PERIOD;
}

void
ms_totals_tick (struct ms_dispatch *dispatch, ms_time now)
{
  if (!ms_enabled (MS_SHARED_TOTALS))
    return;
  for (struct team_service *s = dispatch->services; s; s = s->hh.next)
    {
      want (dispatch, s, now);
      if (now >= s->next_mark)
        {
          s->next_mark = now + s->rounds * SHARE_PERIOD / 2;
          ms_fair_mark (s->fair);
        }
      if (now < s->next_share)
        continue;
      s->next_share = now + SHARE_PERIOD;
      s->rounds = share (dispatch, s, now);
    }
}

void
ms_totals_want (struct ms_dispatch *dispatch, const peer_message *message,
                ms_time now)
{
  struct team_service *service = ms_dispatch_service (
      dispatch, message->body.peer_body_u.totals_want.service, now);
  struct ms_total totals[PEER_TOTALS];
  uint64_t owners[MS_MAX_MEMBERS];
  uint64_t incarnation;
  ms_time sent_at;
  size_t count = ms_fair_known (service->fair, 0, &incarnation, &sent_at,
                                totals, PEER_TOTALS);
  size_t owners_count = ms_fair_owners (service->fair, owners, MS_MAX_MEMBERS);

  send_totals (dispatch, message->from, service->service, 0, 0, 0, totals,
               count);
  for (size_t i = 0; i < owners_count; i++)
    {
      count = ms_fair_known (service->fair, owners[i], &incarnation, &sent_at,
                             totals, PEER_TOTALS);
      send_totals (dispatch, message->from, service->service, owners[i],
                   incarnation, sent_at, totals, count);
    }
  count = ms_fair_recent (service->fair, now, totals, PEER_TOTALS);
  send_totals (dispatch, message->from, service->service, dispatch->view->self,
               dispatch->view->incarnation, now, totals, count);
}

/* Totals of ended incarnations are taken from the first peer only.  */
static bool
from_snapshot (struct team_service *service, const peer_message *message,
               uint64_t self)
{
  const peer_totals *shared = &message->body.peer_body_u.totals;

  if (shared->owner && shared->owner != self)
    return true;
  if (!service->has_snapshot && !shared->owner)
    {
      service->has_snapshot = true;
      service->snapshot_from = message->from;
      return true;
    }
  return service->snapshot_from == message->from && shared->owner == self;
}

void
ms_totals_take (struct ms_dispatch *dispatch, const peer_message *message,
                ms_time now)
{
  const peer_totals *shared = &message->body.peer_body_u.totals;
  struct team_service *service
      = ms_dispatch_service (dispatch, shared->service, now);
  struct ms_total totals[PEER_TOTALS];

  if (!from_snapshot (service, message, dispatch->view->self))
    return;
  for (unsigned i = 0; i < shared->items.items_len; i++)
    totals[i] = (struct ms_total){ shared->items.items_val[i].team,
                                   (int64_t)shared->items.items_val[i].units };
  ms_fair_merge (service->fair, shared->owner, shared->incarnation,
                 shared->sent_at, totals, shared->items.items_len);
}

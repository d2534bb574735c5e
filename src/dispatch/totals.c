#include "base/switches.h"
#include "dispatch/internal.h"

/* Exchange of totals.  A total is what one router charged to one team for one
   service, in cost units.  Each router that has charged teams recently, also
   as a stand-in, sends its own to a few holders of the service's cells each
   round.  After its accounts of a service were created, a router requests all
   totals from a random peer.  */

/* Time between two rounds of sharing, and the number of holders that get the
   totals in a round.  */
#define SHARE_PERIOD (1 * MS_SEC)
#define SHARE_FANOUT 2

/* Time between two requests for totals, and the time after the accounts were
   created when the router gives up requesting them.  */
#define REQUEST_PERIOD (300 * MS_MSEC)
#define REQUEST_TIMEOUT (3 * MS_SEC)

static void
fill_items (peer_total *items, const struct ms_total *totals, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      items[i].team = totals[i].team;
      items[i].units = (u_quad_t)totals[i].units;
    }
}

/* Send router TO the COUNT TOTALS of OWNER's INCARNATION, as they were at
   SENT_AT on OWNER's clock.  OWNER 0 stands for all ended incarnations.  */
static void
send_totals (struct ms_dispatch *dispatch, uint64_t to, uint64_t service,
             uint64_t owner, uint64_t incarnation, ms_time sent_at,
             const struct ms_total *totals, size_t count)
{
  peer_total items[PEER_TOTALS];
  peer_message message = { .body = { .kind = PEER_TOTALS_SHARE } };
  peer_totals *shared = &message.body.peer_body_u.totals;

  fill_items (items, totals, count);
  shared->service = service;
  shared->owner = owner;
  shared->incarnation = incarnation;
  shared->sent_at = sent_at;
  shared->items.items_val = items;
  shared->items.items_len = (u_int)count;
  ms_view_send (dispatch->view, dispatch->sink, to, &message);
}

/* Whether ROUTER holds a cell of SERVICE that has endpoints.  Apart from
   stand-ins, only such routers choose among the service's teams and need
   totals.  */
static bool
holds_cells (const struct ms_view *view, uint64_t router, uint64_t service)
{
  for (unsigned i = 0; i < view->cells_count; i++)
    if (view->cells[i].service == service && view->cells[i].holder == router
        && view->cells[i].endpoints_count)
      return true;
  return false;
}

/* Send this router's totals to the next SHARE_FANOUT other holders of the
   service's cells, in turn.  Return the number of rounds that it takes to
   reach all of them, at least 1.  */
static unsigned
share_totals (struct ms_dispatch *dispatch, struct service_accounts *accounts,
              ms_time now)
{
  struct ms_view *view = dispatch->view;
  struct ms_total totals[PEER_TOTALS];
  size_t count = ms_fair_own_totals (accounts->fair, now, totals, PEER_TOTALS);
  unsigned first = accounts->next_peer;
  unsigned others = 0;
  unsigned sent = 0;

  for (unsigned i = 0; i < view->members_count; i++)
    {
      unsigned at = (first + i) % view->members_count;
      uint64_t router = view->members[at].id;

      if (router == view->self
          || !holds_cells (view, router, accounts->service))
        continue;
      others++;
      if (!count || sent == SHARE_FANOUT)
        continue;
      send_totals (dispatch, router, accounts->service, view->self,
                   view->incarnation, now, totals, count);
      sent++;
      accounts->next_peer = at + 1;
    }
  return others ? (others + SHARE_FANOUT - 1) / SHARE_FANOUT : 1;
}

/* Request all totals of a service from a random peer, until one has answered
   or REQUEST_TIMEOUT is over.  */
static void
request_totals (struct ms_dispatch *dispatch,
                struct service_accounts *accounts, ms_time now)
{
  struct ms_view *view = dispatch->view;
  peer_message message = { .body = { .kind = PEER_TOTALS_WANT } };
  uint64_t pick;

  if (accounts->has_ended_totals || now < accounts->next_request
      || now - accounts->created_at > REQUEST_TIMEOUT
      || view->members_count < 2)
    return;
  pick = ms_random_below (dispatch->random, view->members_count);
  if (view->members[pick].id == view->self)
    pick = (pick + 1) % view->members_count;
  message.body.peer_body_u.totals_want.service = accounts->service;
  ms_view_send (dispatch->view, dispatch->sink, view->members[pick].id,
                &message);
  accounts->next_request = now + REQUEST_PERIOD;
}

void
ms_totals_tick (struct ms_dispatch *dispatch, ms_time now)
{
  if (!ms_enabled (MS_SHARED_TOTALS))
    return;
  for (struct service_accounts *s = dispatch->services; s; s = s->hh.next)
    {
      request_totals (dispatch, s, now);
      if (now >= s->next_mark)
        {
          /* Twice in the time that totals take to reach all holders.  */
          s->next_mark = now + s->share_rounds * SHARE_PERIOD / 2;
          ms_fair_mark (s->fair);
        }
      if (now < s->next_share)
        continue;
      s->next_share = now + SHARE_PERIOD;
      s->share_rounds = share_totals (dispatch, s, now);
    }
}

void
ms_totals_answer (struct ms_dispatch *dispatch, const peer_message *message,
                  ms_time now)
{
  struct service_accounts *accounts = ms_dispatch_accounts (
      dispatch, message->body.peer_body_u.totals_want.service, now);
  struct ms_total totals[PEER_TOTALS];
  uint64_t owners[MS_MAX_MEMBERS];
  uint64_t incarnation;
  ms_time sent_at;
  size_t count = ms_fair_owner_totals (accounts->fair, 0, &incarnation,
                                       &sent_at, totals, PEER_TOTALS);
  size_t owners_count
      = ms_fair_owners (accounts->fair, owners, MS_MAX_MEMBERS);

  /* Totals of ended incarnations go first: accepts_totals takes those of the
     receiver's earlier incarnations only after them.  */
  send_totals (dispatch, message->from, accounts->service, 0, 0, 0, totals,
               count);
  for (size_t i = 0; i < owners_count; i++)
    {
      count = ms_fair_owner_totals (accounts->fair, owners[i], &incarnation,
                                    &sent_at, totals, PEER_TOTALS);
      send_totals (dispatch, message->from, accounts->service, owners[i],
                   incarnation, sent_at, totals, count);
    }
  count = ms_fair_own_totals (accounts->fair, now, totals, PEER_TOTALS);
  send_totals (dispatch, message->from, accounts->service,
               dispatch->view->self, dispatch->view->incarnation, now, totals,
               count);
}

/* Whether to accept the totals in MESSAGE.  Those of another router are always
   accepted.  Those of ended incarnations replace the known ones, and those of
   earlier incarnations of this router, SELF, are added to the known ones.  So
   both are accepted from one peer only, which ACCOUNTS records: the first that
   sends totals of ended incarnations.  These are accepted just that once.  */
static bool
accepts_totals (struct service_accounts *accounts, const peer_message *message,
                uint64_t self)
{
  const peer_totals *shared = &message->body.peer_body_u.totals;

  if (shared->owner && shared->owner != self)
    return true;
  if (!accounts->has_ended_totals && !shared->owner)
    {
      accounts->has_ended_totals = true;
      accounts->ended_totals_from = message->from;
      return true;
    }
  return accounts->ended_totals_from == message->from && shared->owner == self;
}

void
ms_totals_receive (struct ms_dispatch *dispatch, const peer_message *message,
                   ms_time now)
{
  const peer_totals *shared = &message->body.peer_body_u.totals;
  struct service_accounts *accounts
      = ms_dispatch_accounts (dispatch, shared->service, now);
  struct ms_total totals[PEER_TOTALS];

  if (!accepts_totals (accounts, message, dispatch->view->self))
    return;
  for (unsigned i = 0; i < shared->items.items_len; i++)
    totals[i] = (struct ms_total){ shared->items.items_val[i].team,
                                   (int64_t)shared->items.items_val[i].units };
  ms_fair_merge (accounts->fair, shared->owner, shared->incarnation,
                 shared->sent_at, totals, shared->items.items_len);
}

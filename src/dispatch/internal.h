#ifndef DISPATCH_INTERNAL_H
#define DISPATCH_INTERNAL_H

#include <uthash.h>

#include "dispatch/dispatch.h"
#include "view/send.h"
#include "dispatch/limit.h"

/* State and functions shared by the files of the dispatcher.  The ledger
   holds every grant from its issue until its request has ended.  Requests
   start and end at entry routers, whose reports may be lost.  All times are on
   this router's clock unless stated otherwise.  */

/* Value of foreign_bound when no bound is known.  It is sent in handover
   messages.  */
#define NO_BOUND UINT32_MAX

/* Period at which the free slots of a cell are offered to other routers, and
   the number of randomly chosen routers that get each offer.  */
#define IDLE_OFFER_PERIOD (500 * MS_MSEC)
#define IDLE_OFFER_PEERS 2

/* A stand-in treats an endpoint as warm for this long after it last used, as
   an entry router, a grant that said so.  */
#define WARM_SEEN_LIFETIME (60 * MS_SEC)

/* Period at which a grant is sent again until the entry replies or the grant
   expires.  */
#define GRANT_RESEND_PERIOD (100 * MS_MSEC)

/* A demand that is not renewed within this time is dropped.  */
#define DEMAND_LIFETIME (1 * MS_SEC)

/* A started grant is closed when its entry router has reported nothing about
   it for this long.  */
#define ENTRY_TIMEOUT (2500 * MS_MSEC)

/* Longest time from an entry's reply that accepts a grant to the start of the
   request on the endpoint.  */
#define MAX_START_DELAY (100 * MS_MSEC)

/* Longest expected time between two running lists of an entry: it sends one
   each second, and delivery adds a little.  */
#define MAX_RUNNING_LIST_GAP (1100 * MS_MSEC)

/* Time that an endpoint gets no grants after a connection to it failed.  Each
   further failure in a row doubles it, MAX_RECONNECT_DOUBLINGS times at
   most.  */
#define RECONNECT_DELAY (100 * MS_MSEC)
#define MAX_RECONNECT_DOUBLINGS 6

/* Longest time that a done message takes from the entry router to the
   dispatcher.  */
#define MAX_DONE_DELAY (250 * MS_MSEC)

enum grant_state
{
  GRANT_PENDING, /* Sent; the entry has not replied.  */
  GRANT_STARTED  /* The entry accepted it or listed its request as running.  */
};

/* Permission for one entry router to run one request of a team on an
   endpoint.  Costs are in cost units.  */
struct grant
{
  uint64_t id;
  uint64_t entry;
  uint64_t entry_incarnation;
  uint64_t team;
  uint64_t endpoint;
  uint64_t cell;
  uint64_t service;
  enum ms_lane lane;
  enum grant_state state;
  ms_time issued_at;
  ms_time expires_at;     /* MS_GRANT_LIFETIME after the demand it answers was
                             received.  The entry counts from when it sent the
                             demand, so it starts no request under the grant
                             after this.  */
  ms_time demand_sent_at; /* Of the demand it answers, on the entry's clock;
                             sent back to the entry.  */
  ms_time next_send;      /* Time of the next repeat if still pending.  */
  ms_time started_at; /* When it became GRANT_STARTED; the request may start
                         up to MAX_START_DELAY later.  */
  ms_time last_heard; /* Last report about it from the entry, at first the
                         time of issue.  */
  uint32_t reported_cost; /* Used so far, by the last running list.  */
  ms_time reported_cost_at;
  uint32_t charged_cost; /* Charged to the team so far.  */
  UT_hash_handle hh;
};

struct demand_key
{
  uint64_t cell;
  uint64_t entry;
  uint64_t team;
};

/* The requests of one team that wait at one entry router for slots of one
   cell.  */
struct demand
{
  struct demand_key key;
  uint64_t entry_incarnation;
  uint32_t waiting[MS_LANES]; /* By the newest message, less what grants have
                                 started since.  A declined grant sets its
                                 lane to 0.  */
  uint32_t pending_grants;    /* Grants the entry has not replied to.  */
  uint32_t cost_hint; /* Expected cost of the first request, 0 if unknown.  */
  ms_time sent_at;    /* Of the newest message, on the entry's clock.  */
  ms_time received_at;
  ms_time waiting_since; /* Time of the last grant, or of the first message if
                            there was none.  */
  UT_hash_handle hh;
};

/* How many requests an endpoint said it runs.  A report is applied
   when a later one arrives, MAX_DONE_DELAY later at the earliest: by then the
   done messages of requests that ended before it was made have arrived too. */
struct load_report
{
  bool known;
  unsigned running; /* Requests.  */
  ms_time received_at;
};

/* What the dispatcher knows of one endpoint.  Requests that run there without
   a grant in the ledger are called foreign: other dispatchers granted them, or
   this router closed the grant because the entry had ended, was silent or did
   not reply to it.  */
struct endpoint_state
{
  uint64_t id;
  uint64_t cell;
  struct ms_limit limit;
  uint32_t granted;          /* Grants in the ledger.  */
  uint32_t foreign_bound;    /* Upper bound of foreign requests.  */
  ms_time foreign_raised_at; /* Last time the bound rose: load reports made
                                before don't lower it.  */
  ms_time no_foreign_since;  /* Time since which all reports have shown no
                                foreign request; MS_NEVER if the last one
                                applied showed some, or if none was applied
                                since the bound rose or was reset.  */
  uint64_t start_id;         /* The endpoint's process, by its newest load
                                report; 0 if none has arrived.  */
  struct load_report report;
  bool runs_suspect;         /* A suspect was granted a slot here; there are no
                                other grants until it has ended.  */
  bool usable;               /* By ms_view_usable, at the last change of the
                                view.  */
  ms_time idle_since;        /* Last time a grant of the endpoint left the
                                ledger, at first the time when the endpoint was
                                added.  It is idle since then if it has no
                                grants.  */
  unsigned connect_failures; /* In a row.  */
  ms_time blocked_until; /* After a connect failure there is no grant before
                            this time, and then one at a time until a
                            success or a load report.  */
  bool warm_confirmed;   /* A success or a load report showed that the
                            endpoint has not restarted, and the endpoint has
                            run requests of the ledger ever since: a restart
                            would have broken these, but may go unnoticed
                            while there are none.  If false, a warm endpoint
                            of a held cell gets no more than its cold
                            limit.  */
  bool share_given_up;   /* This router, which is stale (it cannot read the
                            log), left the endpoint idle so long that it no
                            longer uses its share of the cold limit.  */
  UT_hash_handle hh;
};

/* A cell that this router dispatches, or dispatched before.  */
struct cell_state
{
  uint64_t id;
  uint64_t service;
  uint64_t term;      /* Of the cell when it was last updated here.  Nothing
                         reads it: handovers are checked against the view.  */
  bool active;        /* Dispatched by this router, as its holder or as a
                         stand-in.  */
  uint64_t successor; /* Router to send handovers to; 0 if there are none to
                         send.  */
  uint64_t successor_term; /* The cell's term when it was released, which
                              handovers state.  */
  ms_time acquired_at;
  ms_time released_at;
  ms_time next_idle_offer;
  ms_time next_handover;
  uint64_t suspect_endpoint;  /* Endpoint reserved for a waiting suspect: it
                                 gets no other grants, so that it becomes
                                 empty.  0 if none is reserved.  */
  unsigned grants_since_long; /* Since the last one in the long lane.  */
  UT_hash_handle hh;
};

/* Accounts of the teams of one service, and when their totals are shared with
   other dispatchers.  */
struct service_accounts
{
  uint64_t service;
  struct ms_fair *fair;
  bool has_ended_totals;      /* Totals of ended incarnations have arrived.  */
  uint64_t ended_totals_from; /* The only peer they are accepted from.  */
  ms_time created_at;
  ms_time next_request; /* Next time a peer is asked for totals.  */
  ms_time next_share;
  ms_time next_mark;     /* Next time that ms_fair_mark is called.  */
  unsigned next_peer;    /* Index of the member where sharing continues.  */
  unsigned share_rounds; /* Rounds that it takes to share own totals with all
                            other holders of the service's cells.  */
  UT_hash_handle hh;
};

struct ms_dispatch
{
  struct ms_view *view;       /* Borrowed.  */
  const struct ms_sink *sink; /* Borrowed.  */
  struct ms_random *random;   /* Borrowed.  */
  struct grant *grants;
  struct demand *demands;
  struct endpoint_state *endpoints;
  struct cell_state *cells;
  struct service_accounts *services;
  uint64_t grant_sequence; /* Number of the last grant, for its identifier.  */
  bool stopped;            /* Issues no more grants.  */
};

/* The state of cell ID; NULL if this router never dispatched it.  */
struct cell_state *ms_dispatch_cell (struct ms_dispatch *dispatch,
                                     uint64_t id);

/* The state of endpoint ID; NULL if it was never in a dispatched cell.  */
struct endpoint_state *ms_dispatch_endpoint (struct ms_dispatch *dispatch,
                                             uint64_t id);

/* The accounts of service ID, created at NOW if there are none.  */
struct service_accounts *ms_dispatch_accounts (struct ms_dispatch *dispatch,
                                               uint64_t id, ms_time now);

/* How many more requests may start on EP at NOW.  First updates what depends
   on the time: the predecessors of the cell, and foreign_bound and
   share_given_up of EP.  */
uint32_t ms_occupancy_free (struct ms_dispatch *dispatch,
                            struct endpoint_state *ep, ms_time now);

/* Whether a request in the ledger ran on EP at time AT: it had started, and
   its entry's next report about it was not yet due.  Then the endpoint has not
   restarted since the request started, as that would have broken it.  */
bool ms_ledger_ran_at (struct ms_dispatch *dispatch,
                       const struct endpoint_state *ep, ms_time at);

/* Discard what is known of foreign requests on EP: until load reports or a
   handover bound them, any number may run.  */
void ms_occupancy_reset_foreign (struct endpoint_state *ep, ms_time now);

/* Grant slots of the cell of STATE: one to a waiting suspect, if an endpoint
   is empty, then others to other requests as long as there is demand and an
   endpoint with free slots.  */
void ms_grant_slots (struct ms_dispatch *dispatch, struct cell_state *state,
                     ms_time now);

/* Send GRANT to its entry router, which recognises repeats by the grant's
   identifier.  */
void ms_grant_send (struct ms_dispatch *dispatch, struct grant *grant,
                    ms_time now);

/* Remove GRANT from the ledger and free it.  COST is what its request used in
   cost units; the team's charge is corrected to it.  */
void ms_ledger_close (struct ms_dispatch *dispatch, struct grant *grant,
                      uint32_t cost, ms_time now);

/* Handle a demand message and grant what it allows.  */
void ms_demand_receive (struct ms_dispatch *dispatch,
                        const peer_message *message, ms_time now);

/* Drop demands older than DEMAND_LIFETIME.  */
void ms_demand_expire (struct ms_dispatch *dispatch, ms_time now);

/* Handle an entry's reply to a grant.  */
void ms_ledger_receive_reply (struct ms_dispatch *dispatch,
                              const peer_message *message, ms_time now);

/* Handle the report that a granted request has ended.  */
void ms_ledger_receive_done (struct ms_dispatch *dispatch,
                             const peer_message *message, ms_time now);

/* Handle an entry's list of the granted requests that it runs.  */
void ms_ledger_receive_running (struct ms_dispatch *dispatch,
                                const peer_message *message, ms_time now);

/* Send pending grants again.  Close those that got no reply in time, and
   started ones whose entry has ended or is silent.  */
void ms_ledger_tick (struct ms_dispatch *dispatch, ms_time now);

/* Handle what a predecessor, or a router that stood in for this one, says of a
   cell's endpoints.  */
void ms_handover_receive (struct ms_dispatch *dispatch,
                          const peer_message *message, ms_time now);

/* Tell the successor of the cell of STATE, if there is one, how many requests
   its endpoints run.  */
void ms_handover_send (struct ms_dispatch *dispatch, struct cell_state *state,
                       ms_time now);

/* Handle totals that a peer shared.  */
void ms_totals_receive (struct ms_dispatch *dispatch,
                        const peer_message *message, ms_time now);

/* Answer a peer's request for all known totals of a service.  */
void ms_totals_answer (struct ms_dispatch *dispatch,
                       const peer_message *message, ms_time now);

/* Share own totals, and request those of others, when due.  */
void ms_totals_tick (struct ms_dispatch *dispatch, ms_time now);

#endif

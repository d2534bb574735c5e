#ifndef DISPATCH_INTERNAL_H
#define DISPATCH_INTERNAL_H

#include <uthash.h>

#include "dispatch/dispatch.h"
#include "view/send.h"
#include "dispatch/limit.h"

#define UNBOUNDED UINT32_MAX

/* How often a cell with room tells some routers, and how many.  */
#define MS_IDLE_PERIOD (500 * MS_MSEC)
#define MS_IDLE_PEERS 2

/* How long an endpoint seen warm is taken to be warm by a stand-in.  */
#define MS_WARM_MEMORY (60 * MS_SEC)

/* A grant without a reply is sent again this often.  */
#define GRANT_RESEND (100 * MS_MSEC)

/* A demand not renewed for this long is void.  */
#define DEMAND_LIFETIME (1 * MS_SEC)

/* An entry router silent for this long is taken to have ended.  */
#define ENTRY_SILENT_AFTER (2500 * MS_MSEC)

/* A request that an entry said it starts has begun after this time.  */
#define START_MARGIN (100 * MS_MSEC)

/* Entries tell this often what they run, and a little later.  */
#define RUNNING_LIST_PERIOD (1100 * MS_MSEC)

/* After a refused connection an endpoint gets nothing for this long, twice as
   long after each further one.  */
#define REOPEN_AFTER (100 * MS_MSEC)
#define MAX_REOPEN_DOUBLINGS 6

/* Time a done message may be under way.  */
#define TRANSIT_MARGIN (250 * MS_MSEC)

enum grant_state
{
  GRANT_PENDING, /* Sent; the entry has not replied.  */
  GRANT_STARTED
};

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
  ms_time lapses_at; /* A start after it is ruled out.  */
  ms_time echo;
  ms_time next_send; /* While pending.  */
  ms_time started_at;
  ms_time heard_at;   /* Last word of it from the entry.  */
  uint32_t cost_seen; /* Used so far, by the last running list.  */
  ms_time cost_seen_at;
  uint32_t charged;
  UT_hash_handle hh;
};

struct demand_key
{
  uint64_t cell;
  uint64_t entry;
  uint64_t team;
};

/* What one entry router wants for one team in one cell.  */
struct demand
{
  struct demand_key key;
  uint64_t entry_incarnation;
  uint32_t waiting[MS_LANES];
  uint32_t pending; /* Grants the entry has not replied to.  */
  uint32_t hint;
  ms_time echo;
  ms_time received_at;
  ms_time since;
  UT_hash_handle hh;
};

/* A load report kept until later news can be set against it.  */
struct report
{
  bool known;
  unsigned running;
  ms_time received_at;
};

struct slot_state
{
  uint64_t endpoint;
  uint64_t cell;
  struct ms_limit limit;
  uint32_t granted;      /* Grants in the ledger.  */
  uint32_t foreign;      /* Bound on requests of other dispatchers.  */
  ms_time distrusted_at; /* Only later reports bound them.  */
  ms_time quiet_since;   /* No foreign request was seen since.  */
  uint64_t start_id;
  struct report report;
  bool exclusive;       /* A suspect runs alone.  */
  bool usable;          /* At the last change of the view.  */
  ms_time idle_since;   /* No grant in the ledger since.  */
  unsigned refusals;    /* Connections refused since it last answered.  */
  ms_time closed_until; /* No grants before; then one at a time.  */
  bool confirmed;       /* Known warm, and at work ever since.  */
  bool lapsed; /* Stale and idle so long that the part is given up.  */
  UT_hash_handle hh;
};

struct held_cell
{
  uint64_t id;
  uint64_t service;
  uint64_t term;
  bool held;         /* By the log, or as a stand-in.  */
  uint64_t moved_to; /* The router that took over, 0 if none.  */
  uint64_t moved_term;
  ms_time acquired_at;
  ms_time released_at;
  ms_time next_idle;
  ms_time next_handover;
  uint64_t kept_for_suspect; /* Endpoint that gets no other work, or 0.  */
  unsigned interactive_run;  /* Grants since the last long one.  */
  UT_hash_handle hh;
};

struct team_service
{
  uint64_t service;
  struct ms_fair *fair;
  bool has_snapshot;
  uint64_t snapshot_from;
  ms_time created_at;
  ms_time next_want;
  ms_time next_share;
  ms_time next_mark;
  unsigned next_told; /* Place among the members where sharing goes on.  */
  unsigned rounds;    /* Until all dispatchers are told.  */
  UT_hash_handle hh;
};

struct ms_dispatch
{
  struct ms_view *view;
  const struct ms_sink *sink;
  struct ms_random *random;
  struct grant *grants;
  struct demand *demands;
  struct slot_state *slots;
  struct held_cell *cells;
  struct team_service *services;
  uint64_t grant_sequence;

  bool stopped;
};

struct held_cell *ms_dispatch_cell (struct ms_dispatch *dispatch, uint64_t id);
struct slot_state *ms_dispatch_slot (struct ms_dispatch *dispatch,
                                     uint64_t endpoint);
struct team_service *ms_dispatch_service (struct ms_dispatch *dispatch,
                                          uint64_t service, ms_time now);

/* Requests that may still be started on SLOT at NOW.  */
uint32_t ms_occupancy_free (struct ms_dispatch *dispatch,
                            struct slot_state *slot, ms_time now);

/* Whether a request has certainly run on SLOT from BEFORE on until now: a
   restart meanwhile would have broken it.  */
bool ms_ledger_ran_since (struct ms_dispatch *dispatch,
                          const struct slot_state *slot, ms_time before);

/* Forget what is known of other dispatchers' requests on SLOT.  */
void ms_occupancy_distrust (struct slot_state *slot, ms_time now);

/* Grant slots of CELL while demand and room last.  */
void ms_grant_slots (struct ms_dispatch *dispatch, struct held_cell *cell,
                     ms_time now);

/* Send GRANT to its entry; repeats are recognised by its identifier.  */
void ms_grant_send (struct ms_dispatch *dispatch, struct grant *grant,
                    ms_time now);

/* Take GRANT off the ledger; COST is what it used, charged in full.  */
void ms_ledger_close (struct ms_dispatch *dispatch, struct grant *grant,
                      uint32_t cost, ms_time now);

void ms_demand_take (struct ms_dispatch *dispatch, const peer_message *message,
                     ms_time now);
void ms_demand_expire (struct ms_dispatch *dispatch, ms_time now);

void ms_ledger_reply (struct ms_dispatch *dispatch,
                      const peer_message *message, ms_time now);
void ms_ledger_done (struct ms_dispatch *dispatch, const peer_message *message,
                     ms_time now);
void ms_ledger_running (struct ms_dispatch *dispatch,
                        const peer_message *message, ms_time now);
void ms_ledger_tick (struct ms_dispatch *dispatch, ms_time now);

void ms_handover_take (struct ms_dispatch *dispatch,
                       const peer_message *message, ms_time now);
void ms_handover_send (struct ms_dispatch *dispatch, struct held_cell *cell,
                       ms_time now);

void ms_totals_take (struct ms_dispatch *dispatch, const peer_message *message,
                     ms_time now);
void ms_totals_want (struct ms_dispatch *dispatch, const peer_message *message,
                     ms_time now);
void ms_totals_tick (struct ms_dispatch *dispatch, ms_time now);

#endif

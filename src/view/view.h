#ifndef VIEW_VIEW_H
#define VIEW_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"
#include "config/config.h"
#include "member/record.h"

/* A router's view of the fleet: the member routers, the cells that group the
   endpoints of a service and availability zone, and the holder of each cell:
   the member that dispatches it, except while a stand-in does (see
   ms_view_dispatcher).  Members come from the control stream of the platform's
   log, and holders are computed from members and cells, so all routers that
   have applied the log up to the same offset agree on members, cells and
   terms.

   Identifiers are 64-bit hashes of names.  Offsets count records of the
   control stream.  Times are microseconds on the router's clock.  The
   functions take no locks; the node calls them from one thread.  Pointers to
   members stay valid until the next join, leave or expire record, pointers
   to cells until the next configuration, and pointers to endpoints until
   the next list of endpoints.  */

#define MS_MAX_MEMBERS 1024

/* Predecessors kept for each cell; one more drops the oldest.  */
#define MS_MAX_PREDECESSORS 8

/* Suspicions kept for each member; those of further reporters are ignored.  */
#define MS_MAX_SUSPICIONS 6

/* A router is stale if the last read that took it to the end of the control
   stream was sent longer ago than this: it may not know of a newer
   membership.  */
#define MS_STALE_AFTER (1500 * MS_MSEC)

/* Lifetime of a grant.  The router that receives it counts from when it sent
   the demand that the grant answers, the dispatcher from when it received that
   demand, so that the grant never expires at the dispatcher first.  */
#define MS_GRANT_LIFETIME (1500 * MS_MSEC)

/* A new holder of a cell that has predecessors grants no slots of the cell's
   cold endpoints for this long.  A predecessor that does not know of its
   replacement is stale after MS_STALE_AFTER at most, which reduces its share
   of these slots; the grants that it made before then have expired
   MS_GRANT_LIFETIME later; 500 ms are added to both.  The share that the
   predecessor keeps may stay reserved for longer; see
   dispatch/occupancy.c.  */
#define MS_TAKEOVER_DELAY (MS_STALE_AFTER + MS_GRANT_LIFETIME + 500 * MS_MSEC)

/* What a member reported of itself counts for this long after the last
   message from it.  */
#define MS_MEMBER_REPORT_LIFETIME (10 * MS_SEC)

/* One member's report that another one is silent; see ms_liveness_silent.  */
struct ms_suspicion
{
  uint64_t reporter;
  uint64_t zone; /* Of the reporter.  */
  ms_time reported_at;
};

/* A router that takes part in the fleet, this one included.  */
struct ms_member
{
  uint64_t id;
  uint64_t incarnation; /* Of its process; increases with each start.  */
  uint64_t zone;
  struct ms_name name;
  struct ms_name zone_name;
  char peer_address[MS_ADDRESS_BYTES];
  char caller_address[MS_ADDRESS_BYTES];
  uint64_t join_offset; /* Offset of its latest join record.  */
  uint64_t applied;     /* Next offset to apply, as last reported by it.  */
  uint64_t generation;  /* Of its configuration, as last reported by it.  */
  bool stale;           /* It cannot read the log, as last reported by it.  */
  ms_time last_heard;   /* When its latest message arrived; before the first,
                           when its join record was applied.  */
  ms_time first_probe_sent_at; /* When the first probe since last_heard was
                                  sent, 0 if there was none.  */
  unsigned probes_unanswered;  /* Sent since last_heard.  */
  struct ms_suspicion suspicions[MS_MAX_SUSPICIONS];
  unsigned suspicions_count;
};

/* A former holder of a cell that may not know yet that it was replaced.  */
struct ms_predecessor
{
  uint64_t node;
  uint64_t incarnation;
  uint64_t replaced_offset; /* Offset of the record that replaced it.  */
};

/* A back end of a service.  */
struct ms_endpoint
{
  uint64_t id;
  struct ms_name name;
  uint64_t service;
  uint64_t zone;
  uint64_t cell; /* 0 if no configured cell takes it.  */
  char address[MS_ADDRESS_BYTES];
  bool leaving;               /* To get no new work.  */
  ms_time last_warm_grant_at; /* When this router last used a grant whose
                                 dispatcher took the endpoint for warm; far in
                                 the past if never.  */
  uint64_t warm_start_id; /* Start of the endpoint's process that this grant
                             named (its start_id), 0 if none.  */
};

/* A group of endpoints of one service in one availability zone, whose slots
   one member grants.  */
struct ms_cell
{
  uint64_t id;
  uint64_t service;
  uint64_t zone;
  unsigned index;       /* Within its service and zone.  */
  uint64_t holder;      /* Member that dispatches it unless a stand-in does; 0
                           if there are no members.  */
  uint64_t incarnation; /* Of the holder.  */
  uint64_t term;        /* Offset of the record that chose this holder; if a
                           configuration did, its generation, which is the
                           offset of its publication plus 1.  */
  ms_time holder_changed_at; /* When this router applied the change.  */
  struct ms_predecessor predecessors[MS_MAX_PREDECESSORS];
  unsigned predecessors_count;
  struct ms_endpoint **endpoints;
  unsigned endpoints_count;
};

struct ms_view
{
  uint64_t self;        /* This router.  */
  uint64_t incarnation; /* Of this router's process.  */
  uint64_t zone;        /* This router's.  */
  char peer_address[MS_ADDRESS_BYTES];
  struct ms_config *config; /* Owned; NULL before the first.  */
  struct ms_member members[MS_MAX_MEMBERS]; /* Sorted by id.  */
  unsigned members_count;
  struct ms_cell *cells; /* Sorted by id.  */
  unsigned cells_count;
  struct ms_endpoint *endpoints; /* Sorted by id.  */
  unsigned endpoints_count;
  uint64_t applied;          /* Next offset of the control stream to apply.  */
  ms_time last_read_sent_at; /* Send time of the last read that reached the end
                                of the control stream.  */
  bool log_caught_up; /* This router has read the control stream to its end
                         once.  */
};

/* Create the view of the router SELF, which runs in ZONE.  */
struct ms_view *ms_view_create (uint64_t self, uint64_t incarnation,
                                uint64_t zone);
void ms_view_destroy (struct ms_view *view);

/* Return the member with ID, or NULL.  */
struct ms_member *ms_view_member (struct ms_view *view, uint64_t id);

/* Return the member with ID if its incarnation is INCARNATION, else NULL.  */
struct ms_member *ms_view_member_incarnation (struct ms_view *view,
                                              uint64_t id,
                                              uint64_t incarnation);

/* Return the cell or endpoint with ID, or NULL.  */
struct ms_cell *ms_view_cell (struct ms_view *view, uint64_t id);
struct ms_endpoint *ms_view_endpoint (struct ms_view *view, uint64_t id);

/* Apply the join, leave or expire record at OFFSET of the control stream.
   Other records are ignored.  */
void ms_view_apply (struct ms_view *view, const struct ms_record *record,
                    uint64_t offset, ms_time now);

/* Make CONFIG the current configuration, owned by VIEW, and rebuild the
   cells.  Return the former configuration, which the caller destroys, or
   NULL.  */
struct ms_config *ms_view_configure (struct ms_view *view,
                                     struct ms_config *config, ms_time now);

/* Replace the endpoints by a copy of the COUNT ones in LIST and assign them
   to cells.  last_warm_grant_at and warm_start_id are not taken from LIST: an
   endpoint that was known already keeps them, a new one has had no warm
   grant.  */
void ms_view_set_endpoints (struct ms_view *view,
                            const struct ms_endpoint *list, unsigned count);

/* Return true if ENDPOINT may get new work: it is not leaving, and its
   availability zone is in service.  */
bool ms_view_usable (const struct ms_view *view,
                     const struct ms_endpoint *endpoint);

/* Return true if the last read that reached the end of the control stream was
   sent longer ago than MS_STALE_AFTER, so that other routers may have applied
   records that this one has not.  */
bool ms_view_stale (const struct ms_view *view, ms_time now);

/* Return the number of other members that sent any message within
   MS_MEMBER_REPORT_LIFETIME and last reported that they cannot read the log.
   If the result is the number of all other members, none of them can learn
   from the log that it has become the holder of a cell.  */
unsigned ms_view_count_stale_members (const struct ms_view *view, ms_time now);

/* Return true if the record at OFFSET is in the older half of the records
   that the log still has, from offset FIRST_KEPT up to but not including END.
   It must then be appended again, before the log drops it.  Return false if
   FIRST_KEPT is 0: as far as is known, the log has dropped nothing yet.  */
bool ms_log_drops_soon (uint64_t offset, uint64_t first_kept, uint64_t end);

/* Return true if CELL's holder is this router in its present incarnation.  */
bool ms_view_holds (const struct ms_view *view, const struct ms_cell *cell);

/* Return true if this router, in its present incarnation, is a member.  */
bool ms_view_is_member (const struct ms_view *view);

/* Remove the predecessors of CELL that can make no more grants: those that
   reported having applied the record that replaced them, and those that have
   joined again as a new process.  */
void ms_view_prune_predecessors (struct ms_view *view, struct ms_cell *cell);

/* Return the router that grants CELL's slots at NOW, or 0 if there is none.
   This is the holder, unless the holder is silent and most members, this one
   included, cannot read the log to replace it.  Then it is a stand-in: the
   best member that is not silent.  */
uint64_t ms_view_dispatcher (struct ms_view *view, const struct ms_cell *cell,
                             ms_time now);

#endif

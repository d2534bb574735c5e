#ifndef VIEW_VIEW_H
#define VIEW_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"
#include "config/config.h"
#include "member/record.h"

/* What a router knows of the fleet: its members by the log, the cells that
   group endpoints, and who dispatches each cell.  All routers that applied
   the log up to the same offset agree on members, cells and terms.  */

#define MS_MAX_MEMBERS 1024
#define MS_MAX_PREDECESSORS 8
#define MS_MAX_SUSPICIONS 6

/* A router whose last good log read was sent longer ago is stale.  */
#define MS_STALE_AFTER (1500 * MS_MSEC)

/* A grant is used within this time of the demand it answers, or never.  */
#define MS_GRANT_LIFETIME (1500 * MS_MSEC)

/* How long a successor waits before it uses a predecessor's unproved part:
   the predecessor is stale and its last grants have lapsed by then.  */
#define MS_TAKEOVER_DELAY (MS_STALE_AFTER + MS_GRANT_LIFETIME + 500 * MS_MSEC)

/* Word from a member is fresh for this long.  */
#define MS_HEARD_WITHIN (10 * MS_SEC)

struct ms_suspicion
{
  uint64_t reporter;
  uint64_t zone;
  ms_time at;
};

struct ms_member
{
  uint64_t id;
  uint64_t incarnation;
  uint64_t zone;
  struct ms_name name;
  struct ms_name zone_name;
  char peer_address[MS_ADDRESS_BYTES];
  char caller_address[MS_ADDRESS_BYTES];
  uint64_t joined_at;  /* Log offset of the join.  */
  uint64_t applied;    /* Log offset it says it has applied.  */
  uint64_t generation; /* Configuration it says it has.  */
  bool stale;          /* It says that it cannot read the log.  */
  ms_time last_heard;
  ms_time probe_sent; /* First probe since last heard, or 0.  */
  unsigned probes_unanswered;
  struct ms_suspicion suspicions[MS_MAX_SUSPICIONS];
  unsigned suspicions_count;
};

/* An earlier dispatcher of a cell that may not know it was replaced.  */
struct ms_predecessor
{
  uint64_t node;
  uint64_t incarnation;
  uint64_t replaced_at; /* Log offset that replaced it.  */
};

struct ms_endpoint
{
  uint64_t id;
  struct ms_name name;
  uint64_t service;
  uint64_t zone;
  uint64_t cell;
  char address[MS_ADDRESS_BYTES];
  bool leaving;
  ms_time warm_seen;      /* Last grant that said it was warm.  */
  uint64_t warm_start_id; /* The start that the grant spoke of.  */
};

struct ms_cell
{
  uint64_t id;
  uint64_t service;
  uint64_t zone;
  unsigned index;       /* Within its service and zone.  */
  uint64_t holder;      /* Node, 0 if there is no member.  */
  uint64_t incarnation; /* Of the holder.  */
  uint64_t term;        /* Log offset that gave it to the holder.  */
  ms_time moved_at;     /* When that offset was applied here.  */
  struct ms_predecessor predecessors[MS_MAX_PREDECESSORS];
  unsigned predecessors_count;
  struct ms_endpoint **endpoints;
  unsigned endpoints_count;
};

struct ms_view
{
  uint64_t self;
  uint64_t incarnation;
  uint64_t zone;
  char peer_address[MS_ADDRESS_BYTES];
  struct ms_config *config; /* Owned; NULL before the first.  */
  struct ms_member members[MS_MAX_MEMBERS]; /* Sorted by id.  */
  unsigned members_count;
  struct ms_cell *cells; /* Sorted by id.  */
  unsigned cells_count;
  struct ms_endpoint *endpoints; /* Sorted by id.  */
  unsigned endpoints_count;
  uint64_t applied;  /* Next control offset to apply.  */
  ms_time read_sent; /* When the last good log read was sent.  */
  bool read_once;    /* The log was read to its end since the start.  */
};

struct ms_view *ms_view_create (uint64_t self, uint64_t incarnation,
                                uint64_t zone);
void ms_view_destroy (struct ms_view *view);

struct ms_member *ms_view_member (struct ms_view *view, uint64_t id);

/* The member that sent MESSAGE; NULL if the sender is none or is an earlier or
   later incarnation of one.  */
struct ms_member *ms_view_sender (struct ms_view *view, uint64_t id,
                                  uint64_t incarnation);
struct ms_cell *ms_view_cell (struct ms_view *view, uint64_t id);
struct ms_endpoint *ms_view_endpoint (struct ms_view *view, uint64_t id);

/* Apply a join, leave or expire record read at OFFSET.  */
void ms_view_apply (struct ms_view *view, const struct ms_record *record,
                    uint64_t offset, ms_time now);

/* Take over CONFIG and give the former configuration back to the caller,
   who destroys it.  */
struct ms_config *ms_view_configure (struct ms_view *view,
                                     struct ms_config *config, ms_time now);

/* Replace the endpoints by the COUNT listed ones; cells are filled in.  */
void ms_view_list (struct ms_view *view, const struct ms_endpoint *list,
                   unsigned count);

/* Whether ENDPOINT may get new work.  */
bool ms_view_usable (const struct ms_view *view,
                     const struct ms_endpoint *endpoint);

/* Whether the router cannot rely on its knowledge of the log.  */
bool ms_view_stale (const struct ms_view *view, ms_time now);

/* How many other members were heard lately and cannot read the log either.
   If all, then none can have replaced another.  */
unsigned ms_view_stale_members (const struct ms_view *view, ms_time now);

/* Whether the record at OFFSET is in the older half of what the log still has,
   between FIRST_KEPT and END, and is to be written again.  */
bool ms_log_fades (uint64_t offset, uint64_t first_kept, uint64_t end);

/* Whether the router itself holds CELL by the log.  */
bool ms_view_holds (const struct ms_view *view, const struct ms_cell *cell);

/* Whether the router itself is a member by the log.  */
bool ms_view_is_member (const struct ms_view *view);

/* Strike off predecessors that are known to know of their replacement.  */
void ms_view_prune_predecessors (struct ms_view *view, struct ms_cell *cell);

/* The router to ask for CELL's slots at NOW: its holder, or while the log is
   out of reach and the holder is silent, the next in line.  0 if none.  */
uint64_t ms_view_dispatcher (struct ms_view *view, const struct ms_cell *cell,
                             ms_time now);

#endif

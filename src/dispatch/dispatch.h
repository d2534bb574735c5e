#ifndef DISPATCH_DISPATCH_H
#define DISPATCH_DISPATCH_H

#include "base/random.h"
#include "fair/fair.h"
#include "node/effect.h"
#include "view/view.h"

/* Dispatcher of cells: admission control for their endpoints.  Entry routers,
   which callers send their requests to, report how many requests of each team
   wait (demand).  The dispatcher answers with grants, each of which lets one
   request run on one endpoint, and keeps a ledger of them, which bounds what
   runs on each endpoint.  The router that a cell has moved from is called its
   predecessor.  As long as the predecessor may not know of the move, the new
   dispatcher reserves a share of each cold endpoint's limit for it.  Handover
   messages and load reports bound what the predecessor still runs there.

   A router dispatches a cell as its holder, by the log, or as a stand-in while
   the log cannot be read and the holder is silent.

   Costs are in cost units; times are in microseconds.  There is no I/O:
   messages go out through a sink.  Not thread-safe; the caller serializes
   all calls on one dispatcher.  */

struct ms_dispatch;

/* Lanes that the waiting requests of one team are divided into.  A request is
   long if its caller sends the header Monsoonspur-Class: long, interactive
   otherwise; a suspect waits in a lane of its own, whatever the header.  */
enum ms_lane
{
  MS_LANE_INTERACTIVE,
  MS_LANE_LONG,   /* Named batch in demand messages.  */
  MS_LANE_SUSPECT /* Suspects: requests that may have crashed endpoints.  Each
                     runs with nothing else on its endpoint.  Named alone in
                     demand messages.  */
};
#define MS_LANES 3

/* How an attempt to run a request on an endpoint ended.  */
enum ms_result
{
  MS_RESULT_OK,             /* A complete response that doesn't say that the
                               endpoint is overloaded.  */
  MS_RESULT_CANCELLED,      /* The router cancelled it or the caller left.  */
  MS_RESULT_NOT_STARTED,    /* The grant had expired; nothing was sent.  */
  MS_RESULT_CONNECT_FAILED, /* No byte was sent.  */
  MS_RESULT_OVERLOADED,     /* The endpoint answered that it is overloaded.  */
  MS_RESULT_RESET           /* The connection broke before the end.  */
};

/* Create a dispatcher that dispatches no cells yet.  VIEW, SINK and RANDOM are
   borrowed and must outlive it.  */
struct ms_dispatch *ms_dispatch_create (struct ms_view *view,
                                        const struct ms_sink *sink,
                                        struct ms_random *random);

/* Free DISPATCH, which may be NULL.  */
void ms_dispatch_destroy (struct ms_dispatch *dispatch);

/* Follow the view after its members, cells, configuration or endpoints
   changed.  */
void ms_dispatch_view_changed (struct ms_dispatch *dispatch, ms_time now);

/* Do what is due at NOW: start or end standing in, repeat unanswered grants,
   close overdue ones, drop expired demands, grant free slots or offer them,
   repeat handovers, and share totals.  */
void ms_dispatch_tick (struct ms_dispatch *dispatch, ms_time now);

/* Handle a demand, reply, done, running list, handover or totals message;
   other kinds are ignored.  */
void ms_dispatch_message (struct ms_dispatch *dispatch,
                          const peer_message *message, ms_time now);

/* Handle a load report received at NOW: ENDPOINT's process START_ID runs
   RUNNING requests.  A changed START_ID means that the endpoint has
   restarted.  */
void ms_dispatch_load_report (struct ms_dispatch *dispatch, uint64_t endpoint,
                              uint64_t start_id, unsigned running,
                              ms_time now);

/* Issue no more grants; the cells are given up at the next change of the
   view or tick.  */
void ms_dispatch_stop (struct ms_dispatch *dispatch);

/* Whether this router dispatches the cell of ENDPOINT, as its holder or as a
   stand-in, by the last change of the view or tick.  NOW is not used.  */
bool ms_dispatch_covers (struct ms_dispatch *dispatch, uint64_t endpoint,
                         ms_time now);

/* Counts over the cells that this router dispatches, if not stated
   otherwise.  */
struct ms_dispatch_status
{
  unsigned cells;
  unsigned endpoints;
  unsigned slots;   /* Granted and free ones.  */
  unsigned granted; /* Grants in the ledger.  */
  unsigned waiting; /* Requests, by all demands that were not dropped yet, also
                       those for cells that have moved.  */
  size_t bytes;     /* Memory used by the whole dispatcher, approximately.  */
};
struct ms_dispatch_status ms_dispatch_status (struct ms_dispatch *dispatch,
                                              ms_time now);

#endif

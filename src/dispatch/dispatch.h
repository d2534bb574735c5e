#ifndef DISPATCH_DISPATCH_H
#define DISPATCH_DISPATCH_H

#include "base/random.h"
#include "fair/fair.h"
#include "node/effect.h"
#include "view/view.h"

/* The dispatcher's part: a router grants the slots of the endpoints in the
   cells that it holds.  Entry routers state their demand, each grant answers
   one, and the ledger of grants bounds what runs on each endpoint.  */

struct ms_dispatch;

/* Lanes of one team's requests.  */
enum ms_lane
{
  MS_LANE_INTERACTIVE,
  MS_LANE_LONG,
  MS_LANE_ALONE /* Suspected of ending endpoints: nothing runs beside it.  */
};
#define MS_LANES 3

/* How an attempt ended.  */
enum ms_result
{
  MS_RESULT_OK,
  MS_RESULT_CANCELLED,
  MS_RESULT_NOT_STARTED,    /* The start came too late and was dropped.  */
  MS_RESULT_CONNECT_FAILED, /* No byte was carried.  */
  MS_RESULT_OVERLOADED,     /* The endpoint refused it.  */
  MS_RESULT_RESET           /* The connection broke before the end.  */
};

struct ms_dispatch *ms_dispatch_create (struct ms_view *view,
                                        const struct ms_sink *sink,
                                        struct ms_random *random);
void ms_dispatch_destroy (struct ms_dispatch *dispatch);

/* Members, cells, configuration or endpoints changed.  */
void ms_dispatch_view_changed (struct ms_dispatch *dispatch, ms_time now);

void ms_dispatch_tick (struct ms_dispatch *dispatch, ms_time now);

/* Handle a demand, reply, done, running list, handover or totals message.  */
void ms_dispatch_message (struct ms_dispatch *dispatch,
                          const peer_message *message, ms_time now);

/* ENDPOINT reported that its process START_ID runs RUNNING requests.  */
void ms_dispatch_load (struct ms_dispatch *dispatch, uint64_t endpoint,
                       uint64_t start_id, unsigned running, ms_time now);

/* Give up all cells: grant nothing more.  */
void ms_dispatch_stop (struct ms_dispatch *dispatch);

/* Whether this router now grants the slots of the cell ENDPOINT is in.  */
bool ms_dispatch_covers (struct ms_dispatch *dispatch, uint64_t endpoint,
                         ms_time now);

/* Numbers for status pages and measurements.  */
struct ms_dispatch_status
{
  unsigned cells;
  unsigned endpoints;
  unsigned slots;
  unsigned granted;
  unsigned waiting;
  size_t bytes;
};
struct ms_dispatch_status ms_dispatch_status (struct ms_dispatch *dispatch,
                                              ms_time now);

#endif

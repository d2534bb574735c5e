#ifndef GATEWAY_ROLLOUTS_H
#define GATEWAY_ROLLOUTS_H

#include "fleet/rollouts.h"
#include "gateway/gateway.h"

/* Connects the decisions on rollouts (src/rollout) with the gateway: passes on
   the operators' orders and the endpoints' versions, marks the endpoints that
   a canary uses, holds versions whose order may not be known yet, logs what
   was decided, and has the states written to the store.  Runs on the event
   loop's thread.  */

struct ms_rollout_driver;

struct ms_rollout_driver *ms_rollout_driver_create (struct ms_gateway *gw);

/* Free DRIVER, which may be NULL, and the rollouts of its gateway.  */
void ms_rollout_driver_destroy (struct ms_rollout_driver *driver);

/* Apply changed settings.  */
void ms_rollout_driver_reload (struct ms_rollout_driver *driver);

/* The operators' record for the rollout of SERVICE has VALUE now, or was
   REMOVED.  */
void ms_rollout_driver_change (struct ms_rollout_driver *driver,
                               struct ms_str service, struct ms_str value,
                               bool removed);

/* It was written again with the value that it has.  */
void ms_rollout_driver_repeat (struct ms_rollout_driver *driver,
                               struct ms_str service);

/* The list of endpoints has changed; ENDPOINT is the one that is listed anew
   or differently, NULL if one has gone.  */
void ms_rollout_driver_note_endpoint (struct ms_rollout_driver *driver,
                                      struct ms_endpoint_state *endpoint);

/* The operators' configuration has changed.  */
void ms_rollout_driver_configure (struct ms_rollout_driver *driver);

/* Call on every tick.  */
void ms_rollout_driver_tick (struct ms_rollout_driver *driver, ms_time now);

/* Return the number of orders that have not ended.  */
unsigned ms_rollout_driver_running (const struct ms_rollout_driver *driver);

/* Fill LIST with what this router reports of orders.  */
void ms_rollout_driver_report (struct ms_rollout_driver *driver,
                               struct ms_rollout_list *list, ms_time now);

/* Another router, or those of a zone, known by SOURCE, sent COUNT REPORTS,
   ELAPSED ago.  */
void ms_rollout_driver_merge (struct ms_rollout_driver *driver,
                              uint64_t source,
                              const struct ms_rollout_report *reports,
                              unsigned count, ms_time elapsed, ms_time now);

/* What the operators' records say of an order that the rollouts know.  */
const struct plat_order *
ms_rollout_driver_order (const struct ms_rollout_driver *driver,
                         uint64_t service);

/* As ms_rollouts_choose and ms_rollouts_allows; also without the versions that
   earlier orders have not completed by what the store has, while endpoints of
   others are listed.  */
struct ms_rollout_choice
ms_rollout_driver_choose (const struct ms_rollout_driver *driver,
                          uint64_t service, bool again, ms_time now);
bool ms_rollout_driver_allows (const struct ms_rollout_driver *driver,
                               uint64_t service, uint32_t version,
                               ms_time now);

/* Set the excluded versions of STATE, which is to be written.  */
void ms_rollout_driver_fill_excluded (const struct ms_rollout_driver *driver,
                                      struct plat_rollout_state *state);

/* The store has STATE for an order of SERVICE, as was read.  AT_START says
   that this router reads the states for the first time.  */
void ms_rollout_driver_learn (struct ms_rollout_driver *driver,
                              uint64_t service,
                              const struct plat_rollout_state *state,
                              bool at_start, ms_time now);

/* The store was read completely: it has no state but those for which
   ms_rollout_driver_learn was called since the last call.  */
void ms_rollout_driver_read_all (struct ms_rollout_driver *driver,
                                 ms_time now);

/* Whether the state of an order should be read from the store since it is not
   known.  */
bool ms_rollout_driver_needs_state (const struct ms_rollout_driver *driver);

#endif

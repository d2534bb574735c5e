#ifndef GATEWAY_ROLLOUT_STATES_H
#define GATEWAY_ROLLOUT_STATES_H

#include "gateway/gateway.h"

/* The states of rollouts in the store.  The first reader of each zone writes
   those that the store lacks, on the condition that the topic still ends where
   it was read, so that the first terminal state of an order is the only one. A
   router that starts reads them.  Runs on the event loop's thread.  */

struct ms_rollout_states;

struct ms_rollout_states *ms_rollout_states_create (struct ms_gateway *gw);
void ms_rollout_states_destroy (struct ms_rollout_states *states);

/* Whether the states were read since the start.  */
bool ms_rollout_states_were_read (const struct ms_rollout_states *states);

/* Read or write states if that is due.  Call on every tick.  */
void ms_rollout_states_tick (struct ms_rollout_states *states, ms_time now);

#endif

#ifndef GATEWAY_HEALTH_H
#define GATEWAY_HEALTH_H

#include "gateway/gateway.h"

/* Asks endpoints by their health pages whether they are cold, while it is
   doubted that the list of endpoints, which says so as well, is up to date:
   an endpoint may become cold at any moment, and cannot tell the store while
   that is away.  Few routers read the store, so that digests tell the others
   of their doubt.  ms_place_asks decides which endpoints are asked; peers get
   the answers with digests, too.  */

struct ms_health;

struct ms_health *ms_health_create (struct ms_gateway *gw);

/* Free HEALTH, which may be NULL.  */
void ms_health_destroy (struct ms_health *health);

/* Since when this router doubts the list by its own reads, as of the last
   tick; 0 if it does not, or HEALTH is NULL.  */
ms_time ms_health_doubted_since (const struct ms_health *health);

/* A peer doubts the list since SINCE.  HEALTH may be NULL.  */
void ms_health_note_doubt (struct ms_health *health, ms_time since);

/* Ask the endpoints that are due.  Call on every tick.  */
void ms_health_tick (struct ms_health *health, ms_time now);

#endif

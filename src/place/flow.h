#ifndef PLACE_FLOW_H
#define PLACE_FLOW_H

#include "fleet/digest.h"
#include "place/place.h"

/* What digests tell of requests and their limits, to and from a placement.  */

/* Fill RATES with up to SPACE reports of this router's requests to endpoints
   that name a limit.  Return their number.  */
unsigned ms_flow_rates (struct ms_place *place, ms_time now,
                        digest_rate *rates, unsigned space);

/* The same for its requests by service.  */
unsigned ms_flow_demands (const struct ms_place *place, ms_time now,
                          digest_demand *demands, unsigned space);

/* Add what another router, or all routers of a zone, reported in a digest that
   arrived at HEARD.  After MS_REPORT_DELAY they count as silent.  */
void ms_flow_add_others (struct ms_place *place, const digest_rate *rates,
                         unsigned rates_count, const digest_demand *demands,
                         unsigned demands_count, ms_time heard, ms_time now);

#endif

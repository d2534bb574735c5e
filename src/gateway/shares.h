#ifndef GATEWAY_SHARES_H
#define GATEWAY_SHARES_H

#include "gateway/gateway.h"

/* Adjust the teams' shares to the capacity in use at endpoints, and this
   router's part of each endpoint to its part of the demand.  Call it once per
   tick.  While a level is in force, log it and the teams that it limits once a
   second.  */
void ms_gateway_update_shares (struct ms_gateway *gw, ms_time now);

#endif

#ifndef PLACE_ENGINES_H
#define PLACE_ENGINES_H

#include "fleet/engines.h"
#include "place/place.h"

/* What digests tell of the speed of endpoints, to and from a placement.  */

/* Fill LIST with what this router has learned.  */
void ms_engines_fill (const struct ms_place *place,
                      struct ms_engine_list *list);

/* Add what another router, or all routers of a zone, have learned.  */
void ms_engines_add_others (struct ms_place *place,
                            const struct ms_engine_list *list);

#endif

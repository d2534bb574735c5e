#ifndef FLEET_ENGINES_H
#define FLEET_ENGINES_H

#include "fleet/digest.h"

/* What routers report of the speed of model endpoints.  They do so in every
   third digest only, to save bytes: speeds change slowly.  */
#define MS_ENGINE_DIGESTS 3

struct ms_engine_list
{
  unsigned missed; /* Digests since then that had none.  */
  unsigned engines_count;
  unsigned services_count;
  digest_engine engines[DIGEST_ENGINES];
  digest_engine_service services[DIGEST_ENGINE_SERVICES];
};

/* Replace *LIST, which may be NULL, by a copy of the ENGINES and SERVICES of a
   digest.  If there are none, it stays for some digests.  */
void ms_engine_list_read (struct ms_engine_list **list,
                          const digest_engine *engines, unsigned engines_count,
                          const digest_engine_service *services,
                          unsigned services_count);

/* Add the ENGINES and SERVICES to LIST, at the entry of the same endpoint and
   start, or service; what it has no space for is dropped.  */
void ms_engine_list_add (struct ms_engine_list *list,
                         const digest_engine *engines, unsigned engines_count,
                         const digest_engine_service *services,
                         unsigned services_count);

#endif

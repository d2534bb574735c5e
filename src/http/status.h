#ifndef HTTP_STATUS_H
#define HTTP_STATUS_H

#include "node/effect.h"

/* Return the HTTP status for a request that ended with OUTCOME for REASON and
   without an endpoint's response.  One that promises "not run" is returned
   only with MS_NOT_RUN; 502 stands for it otherwise.  */
unsigned ms_http_status (enum ms_outcome outcome, enum ms_reason reason);

#endif

#ifndef GATEWAY_STREAM_LOG_H
#define GATEWAY_STREAM_LOG_H

#include "gateway/gateway.h"

/* Keeps in the store which software version began each stream, for a fleet of
   which all routers have started again.  While several versions serve, the
   first reader of each zone appends the streams of its zone several times a
   second, many in one record.  A router that starts meanwhile reads the log
   once.  The store drops old records by itself.  */

struct ms_stream_log;

struct ms_stream_log *ms_stream_log_create (struct ms_gateway *gw);

/* Free LOG, which may be NULL.  */
void ms_stream_log_destroy (struct ms_stream_log *log);

/* Write or read if that is due.  Call it once per tick.  */
void ms_stream_log_tick (struct ms_stream_log *log, ms_time now);

#endif

#ifndef BASE_EVENT_H
#define BASE_EVENT_H

#include "base/clock.h"

/* Structured log lines on standard output, for operators' tools:
   "time=SECONDS event=NAME field=value ...".

   Lines are buffered until ms_event_flush, or until the buffer is full.
   Writing never blocks: when standard output is a pipe whose reader is too
   slow, the bounded buffer stays full, and further lines are dropped.  Once a
   flush has emptied the buffer to less than half, their number is logged as
   event "log" with the field "dropped".

   The buffer is global and has no lock: only one thread may use it.  */

/* Append the line of event NAME at time NOW.  FORMAT and its arguments give
   the fields after the name.  The line is cut after 1022 bytes, without its
   newline.  */
void ms_event (ms_time now, const char *name, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Write as many buffered bytes as standard output takes without blocking; a
   line may be cut, and its rest follows with the next flush.  The first call
   with a line to write makes standard output non-blocking.  NOW is the time of
   the "log" event, if one is due.  */
void ms_event_flush (ms_time now);

#endif

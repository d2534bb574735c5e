#ifndef BASE_EVENT_H
#define BASE_EVENT_H

#include "base/clock.h"

/* Structured lines on standard output: "time=... event=NAME field=value ...".
   Lines wait in a bounded buffer until ms_event_flush; what does not fit, or
   what a reader does not take, is dropped and counted.  */

/* Add a line; FORMAT gives the fields behind the name.  */
void ms_event (ms_time now, const char *name, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Write what waits, without blocking.  */
void ms_event_flush (ms_time now);

#endif

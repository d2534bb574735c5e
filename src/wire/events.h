#ifndef WIRE_EVENTS_H
#define WIRE_EVENTS_H

#include <stddef.h>

/* Streams of events (text/event-stream).  */

#define MS_EVENT_ID_BYTES 64

struct ms_event_id
{
  size_t length;
  char data[MS_EVENT_ID_BYTES];
};

/* Length of the whole events that DATA begins with; 0 if none is complete.
   ID is set to that of the last one that has an id, *COUNT to their number. */
size_t ms_events_whole (const char *data, size_t length,
                        struct ms_event_id *id, unsigned *count);

#endif

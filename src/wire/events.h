#ifndef WIRE_EVENTS_H
#define WIRE_EVENTS_H

#include <stddef.h>

/* Server-sent event streams (text/event-stream): finds the end of complete
   events, so that a stream can be cut and resumed between two events.  */

/* Size of an event id with its terminating NUL.  A stream cannot be resumed
   after an event whose id does not fit.  */
#define MS_EVENT_ID_BYTES 64

struct ms_event_id
{
  size_t length;
  char data[MS_EVENT_ID_BYTES];
};

/* Return the length of the complete events at the start of DATA; 0 if there is
   none.  Set *COUNT to their number and *ID to the id of the last one that has
   an id, empty if that does not fit; leave *ID as it is if none has.  */
size_t ms_events_complete_length (const char *data, size_t length,
                                  struct ms_event_id *id, unsigned *count);

#endif

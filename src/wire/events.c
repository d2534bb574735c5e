#include "wire/events.h"

#include <stdbool.h>
#include <string.h>

/* Copy the value of the line into ID if it is an id field.  Set *TOO_LONG
   instead if it does not fit.  */
static void
parse_line (const char *line, size_t length, struct ms_event_id *id,
            bool *too_long)
{
  static const char prefix[] = "id:";
  size_t skip = sizeof prefix - 1;

  if (length && line[length - 1] == '\r')
    length--;
  if (length < skip || memcmp (line, prefix, skip) != 0)
    return;
  if (skip < length && line[skip] == ' ')
    skip++;
  *too_long = length - skip >= sizeof id->data;
  if (*too_long)
    return;
  id->length = length - skip;
  memcpy (id->data, line + skip, id->length);
  id->data[id->length] = '\0';
}

size_t
ms_events_complete_length (const char *data, size_t length,
                           struct ms_event_id *id, unsigned *count)
{
  struct ms_event_id current = { 0 };
  size_t line = 0;
  size_t complete = 0;
  bool too_long = false;

  *count = 0;
  for (size_t i = 0; i < length; i++)
    {
      size_t line_length = i - line;

      if (data[i] != '\n')
        continue;
      if (line_length == 0 || (line_length == 1 && data[line] == '\r'))
        {
          complete = i + 1;
          ++*count;
          if (too_long)
            id->length = 0;
          else if (current.length)
            *id = current;
        }
      else
        parse_line (data + line, line_length, &current, &too_long);
      line = i + 1;
    }
  return complete;
}

#include "base/event.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define BUFFER_BYTES 131072
#define LINE_BYTES 1024

static char buffer[BUFFER_BYTES];
static size_t buffered;
static unsigned long dropped;

static bool
append_line (const char *line, size_t length)
{
  if (buffered + length > sizeof buffer)
    return false;
  memcpy (buffer + buffered, line, length);
  buffered += length;
  return true;
}

/* Replace the control characters in LENGTH bytes of TEXT: texts of others must
   not write lines of their own.  */
static void
replace_controls (char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if ((unsigned char)text[i] < ' ' || text[i] == 0x7f)
      text[i] = '?';
}

void
ms_event (ms_time now, const char *name, const char *format, ...)
{
  char line[LINE_BYTES];
  va_list args;
  size_t length = (size_t)snprintf (line, sizeof line, "time=%.6f event=%s ",
                                    (double)now / MS_SEC, name);

  va_start (args, format);
  length
      += (size_t)vsnprintf (line + length, sizeof line - length, format, args);
  va_end (args);
  if (length > sizeof line - 2)
    length = sizeof line - 2;
  replace_controls (line, length);
  line[length++] = '\n';
  if (buffered + length > sizeof buffer)
    ms_event_flush (now);
  if (!append_line (line, length))
    dropped++;
}

void
ms_event_flush (ms_time now)
{
  static bool is_nonblocking;
  unsigned long lost = dropped;
  ssize_t written;

  if (!buffered)
    return;
  if (!is_nonblocking)
    {
      int flags = fcntl (STDOUT_FILENO, F_GETFL);

      if (flags >= 0)
        fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
      is_nonblocking = true;
    }
  written = write (STDOUT_FILENO, buffer, buffered);
  if (written > 0)
    {
      memmove (buffer, buffer + written, buffered - (size_t)written);
      buffered -= (size_t)written;
    }
  if (lost && buffered < sizeof buffer / 2)
    {
      dropped = 0;
      ms_event (now, "log", "dropped=%lu", lost);
    }
}

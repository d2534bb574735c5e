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
static size_t used;
static unsigned long dropped;

static bool
add (const char *line, size_t length)
{
  if (used + length > sizeof buffer)
    return false;
  memcpy (buffer + used, line, length);
  used += length;
  return true;
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
  line[length++] = '\n';
  if (used + length > sizeof buffer)
    ms_event_flush (now);
  if (!add (line, length))
    dropped++;
}

void
ms_event_flush (ms_time now)
{
  static bool prepared;
  unsigned long lost = dropped;
  ssize_t written;

  if (!used)
    return;
  if (!prepared)
    {
      int flags = fcntl (STDOUT_FILENO, F_GETFL);

      if (flags >= 0)
        fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
      prepared = true;
    }
  written = write (STDOUT_FILENO, buffer, used);
  if (written > 0)
    {
      memmove (buffer, buffer + written, used - (size_t)written);
      used -= (size_t)written;
    }
  if (lost && used < sizeof buffer / 2)
    {
      dropped = 0;
      ms_event (now, "log", "dropped=%lu", lost);
    }
}

#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>

#define LINE_BYTES 1024

static enum ms_level threshold = MS_INFO;

void
ms_log_threshold (enum ms_level level)
{
  threshold = level;
}

void
ms_log (enum ms_level level, const char *part, const char *format, ...)
{
  static const char *const level_names[]
      = { "debug", "info", "warn", "error" };
  char line[LINE_BYTES];
  char timestamp[32];
  struct timespec now;
  struct tm utc;
  va_list args;

  if (level < threshold)
    return;
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &utc);
  fprintf (stderr, "%s.%03ldZ %s %s: %s\n", timestamp, now.tv_nsec / 1000000,
           level_names[level], part, line);
}

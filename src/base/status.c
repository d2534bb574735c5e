#include <monsoonspur/status.h>

#include <stdarg.h>
#include <stdio.h>

#define MESSAGE_BYTES 512

static _Thread_local char message[MESSAGE_BYTES];

enum ms_status
ms_fail (enum ms_status status, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  return status;
}

const char *
ms_last_message (void)
{
  return message;
}

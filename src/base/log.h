#ifndef BASE_LOG_H
#define BASE_LOG_H

/* Messages for operators on standard error, one line each: time in UTC, level,
   part of the program and text.  */

enum ms_level
{
  MS_DEBUG,
  MS_INFO,
  MS_WARN,
  MS_ERROR
};

/* Drop messages below LEVEL from now on; until the first call, those below
   MS_INFO are dropped.  Call it before other threads start.  */
void ms_log_threshold (enum ms_level level);

/* Write a message of LEVEL.  PART names the part of the program; FORMAT and
   its arguments give the text, which is cut after 1023 bytes.  */
void ms_log (enum ms_level level, const char *part, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif

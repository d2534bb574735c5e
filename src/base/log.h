#ifndef BASE_LOG_H
#define BASE_LOG_H

enum ms_level
{
  MS_DEBUG,
  MS_INFO,
  MS_WARN,
  MS_ERROR
};

/* Drop messages below LEVEL; the default is MS_INFO.  */
void ms_log_threshold (enum ms_level level);

/* Write one line to standard error: time, level, PART and the message.  */
void ms_log (enum ms_level level, const char *part, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif

#ifndef MONSOONSPUR_STATUS_H
#define MONSOONSPUR_STATUS_H

/* Result of an operation.  A function that fails also stores a message, which
   ms_last_message returns.  */
enum ms_status
{
  MS_OK = 0,
  MS_INVALID,    /* The input breaks a documented rule.  */
  MS_NO_SPACE,   /* A size limit is reached.  */
  MS_NOT_FOUND,  /* The named object does not exist.  */
  MS_CONFLICT,   /* Another writer was first, or a replay differs from what
                    was recorded.  */
  MS_UNAVAILABLE /* A service or an output failed; a request to it may or
                     may not have had its effect.  */
};

/* Store a message for the calling thread, made from FORMAT and its arguments
   as printf does it, and return STATUS.  Text beyond 511 bytes is cut.  */
enum ms_status ms_fail (enum ms_status status, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* The message of the calling thread's last failure; empty before the first,
   never NULL.  It is valid until the thread's next failure.  */
const char *ms_last_message (void);

#endif

#ifndef MONSOONSPUR_STATUS_H
#define MONSOONSPUR_STATUS_H

/* Result of an operation.  Failures leave a message for ms_last_message.  */
enum ms_status
{
  MS_OK = 0,
  MS_INVALID,  /* The input breaks a documented rule.  */
  MS_NO_SPACE, /* A fixed bound or the memory is used up.  */
  MS_NOT_FOUND,
  MS_CONFLICT,   /* Another writer was first.  */
  MS_UNAVAILABLE /* The other side did not answer.  */
};

/* Store the calling thread's last message, printf style; return STATUS.  */
enum ms_status ms_fail (enum ms_status status, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* The calling thread's last failure message, never NULL.  */
const char *ms_last_message (void);

#endif

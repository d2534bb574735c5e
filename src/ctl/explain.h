#ifndef CTL_EXPLAIN_H
#define CTL_EXPLAIN_H

/* Explain the outcome of a request from the event lines of routers that run
   monsoonspur-gateway, collected in one file.  */

/* Print what the log in the file at PATH has on request ID: its lines, the
   meaning of its outcome, how other requests ended around that time and which
   events its router had before.  Each line may have a prefix before "time=";
   the last word of the prefix names the router.  Return the exit status: 0, or
   1 if the file cannot be read or does not show how the request ended.  */
int ctl_explain_log (const char *path, const char *id);

#endif

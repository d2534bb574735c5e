#ifndef CTL_EXPLAIN_H
#define CTL_EXPLAIN_H

/* Tell from a collected log of gateways, in the file at PATH, what became of
   request ID and what else happened around it.  Lines may have anything before
   their "time="; what is there tells routers apart.  Returns the exit status:
   0, or 1 if the log does not have the request or cannot be read.  */
int ctl_explain_log (const char *path, const char *id);

#endif

#ifndef REPLAY_EXTRACT_H
#define REPLAY_EXTRACT_H

#include <monsoonspur/status.h>

#include <stdio.h>

/* Write the arrivals that a router recorded in the journal at PATH as a trace
   to FILE: its configuration, its endpoints, and each request with its true
   cost, so that policies can be compared on live traffic.  */
enum ms_status extract_trace (const char *path, FILE *file);

#endif

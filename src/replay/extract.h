#ifndef REPLAY_EXTRACT_H
#define REPLAY_EXTRACT_H

#include <monsoonspur/status.h>

#include <stdio.h>

/* Turns the recording of a live router into a trace, so that dispatch policies
   can be compared on real traffic.

   Read the journal (journal/journal.h) at PATH and write a trace to FILE: the
   newest configuration and endpoint list, and each request that arrived, with
   the cost it turned out to have, or its hint if it didn't end successfully.
   Return MS_INVALID if the file is not a journal or lacks a configuration,
   endpoints or arrivals, or the status of the failed read.  */
enum ms_status extract_trace (const char *path, FILE *file);

#endif

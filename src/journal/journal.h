#ifndef JOURNAL_JOURNAL_H
#define JOURNAL_JOURNAL_H

#include <stdio.h>

#include "node/node.h"

/* Recording of a router's decisions.  The decision code (node/node.h) depends
   on nothing but its options, the events it gets and their times, so a journal
   of these reproduces a fault of a live router elsewhere: replayed, the events
   must have the recorded effects.

   A journal is text: a first line with the options, then a line for each
   event, which starts with its time in microseconds, each followed by a line
   for each effect, which starts with "=".  docs/TRACES.md describes the
   fields.

   The functions that write don't flush FILE and don't check for errors; the
   caller owns FILE and makes sure that no two threads write to it.  */

/* Write the first line: OPTIONS, which the router's decision code was created
   with.  */
void ms_journal_begin (FILE *file, const struct ms_node_options *options);

/* Write EVENT, which is about to be handled at time NOW.  */
void ms_journal_event (FILE *file, const struct ms_event *event, ms_time now);

/* Write an effect of the event that was written last.  */
void ms_journal_effect (FILE *file, const struct ms_effect *effect);

struct ms_journal_result
{
  unsigned events;           /* Events replayed.  */
  unsigned effects;          /* Recorded effects compared.  */
  unsigned first_difference; /* Its line number, from 1; 0 if none.  */
};

/* Replay the journal at PATH, up to the first difference between recorded and
   replayed effects, and store counts in *RESULT.  The router may have ended
   while it wrote a line: an incomplete last line is ignored.  Effects of the
   last event that the journal lacks are ignored as well.  Return MS_INVALID,
   with a message that names file, line and reason, if the journal is
   malformed; MS_CONFLICT, with a message that quotes both effects, if they
   differ; or the status of the failed read.  */
enum ms_status ms_journal_replay (const char *path,
                                  struct ms_journal_result *result);

#endif

#ifndef JOURNAL_JOURNAL_H
#define JOURNAL_JOURNAL_H

#include <stdio.h>

#include "node/node.h"

/* A router's events and effects as text, one a line, so that the same
   decisions can be replayed elsewhere and must come to the same effects.
   docs/TRACES.md describes the form.  */

/* Write the options that the router's decisions were created with.  */
void ms_journal_begin (FILE *file, const struct ms_node_options *options);

/* Write EVENT, before it is handled at NOW.  */
void ms_journal_event (FILE *file, const struct ms_event *event, ms_time now);

/* Write an effect of the event written last.  */
void ms_journal_effect (FILE *file, const struct ms_effect *effect);

struct ms_journal_result
{
  unsigned events;
  unsigned effects;
  unsigned first_difference; /* Line, 0 if there is none.  */
};

/* Replay the journal at PATH and compare the effects.  MS_INVALID names file,
   line and reason; MS_CONFLICT tells what differs first.  */
enum ms_status ms_journal_replay (const char *path,
                                  struct ms_journal_result *result);

#endif

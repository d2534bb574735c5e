#ifndef REPLAY_TRACE_H
#define REPLAY_TRACE_H

#include <monsoonspur/status.h>

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"

/* A trace, the input of the simulation: routers, endpoints, a configuration,
   timed requests and faults, and expectations on the statistics of the run.
   Written by hand or extracted from the recording of a live router.
   docs/TRACES.md describes the text form.  */

#define TRACE_MAX_WORDS 40
#define TRACE_MAX_NODES 64
#define TRACE_MAX_ENDPOINTS 256
#define TRACE_MAX_FILES 8

/* One line, split into words; "key=value" words are looked up by key.  The
   words point into the texts of struct trace.  */
struct trace_line
{
  unsigned number; /* In its file, from 1.  */
  ms_time at;      /* When the event happens; 0 for other lines.  */
  unsigned words_count;
  char *words[TRACE_MAX_WORDS];
};

/* A router.  */
struct trace_node
{
  char *name;
  char *zone;
};

struct trace_endpoint
{
  char *name;
  char *service;
  char *zone;
  uint32_t cold_limit; /* Concurrent requests it can run while cold.  */
  uint32_t warm_limit; /* Concurrent requests it can run when warm.  */
  ms_time unit_us;     /* Time that a cost unit takes when warm.  */
  ms_time cold_start;  /* Time from its start until it is warm.  */
  bool starts_warm;    /* No cold start when the trace starts.  */
};

struct trace
{
  char *path;
  uint64_t seed;
  ms_time delay_min; /* One way between routers.  */
  ms_time delay_max;
  ms_time log_delay;  /* Of an append, and of the reply to a poll.  */
  ms_time report_lag; /* Greatest age of the load that a report shows.  */
  ms_time list_lag;   /* Until the list shows an endpoint as leaving.  */
  double loss;        /* Fraction of messages between routers lost, 0 to 1.  */
  uint64_t log_keep;  /* Newest records that a stream of the log keeps.  */
  ms_time end_at;
  char *config_text; /* Points into the texts.  */
  struct trace_node nodes[TRACE_MAX_NODES];
  unsigned nodes_count;
  struct trace_endpoint endpoints[TRACE_MAX_ENDPOINTS];
  unsigned endpoints_count;
  struct trace_line *events; /* Lines "at", sorted by time.  */
  unsigned events_count;
  struct trace_line *expects; /* Lines "expect".  */
  unsigned expects_count;
  char *texts[TRACE_MAX_FILES]; /* Contents of the files; owned.  */
  unsigned texts_count;
};

/* Read the trace at PATH with the files it includes and store it in *TRACE;
   the caller frees it with trace_destroy.  Return MS_INVALID, with a message
   that names file, line and reason, if it is malformed; the message has no
   line if a required line is missing or there are too many files.  Return the
   status of the failed read if a file can't be read.  *TRACE is unchanged in
   both cases.  */
enum ms_status trace_load (const char *path, struct trace **trace);
void trace_destroy (struct trace *trace);

/* Return the value of the word "KEY=VALUE" of LINE, or NULL.  */
const char *trace_value (const struct trace_line *line, const char *key);

/* Return the value of "KEY=VALUE" as a number, FALLBACK if absent.  The value
   isn't checked; one that doesn't start with a number is 0.  */
double trace_number (const struct trace_line *line, const char *key,
                     double fallback);

/* Whether LINE has WORD.  */
bool trace_has (const struct trace_line *line, const char *word);

#endif

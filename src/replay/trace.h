#ifndef REPLAY_TRACE_H
#define REPLAY_TRACE_H

#include <monsoonspur/status.h>

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"

/* A recorded or written trace: instances, endpoints, arrivals, faults and the
   outcomes they must have.  docs/TRACES.md describes the text form.  */

#define TRACE_MAX_WORDS 40
#define TRACE_MAX_NODES 64
#define TRACE_MAX_ENDPOINTS 256
#define TRACE_MAX_FILES 8

/* One line, split into words; "key=value" words are looked up by key.  */
struct trace_line
{
  unsigned number; /* In the file, from 1.  */
  ms_time at;      /* When it happens; 0 for a declaration.  */
  unsigned words_count;
  char *words[TRACE_MAX_WORDS];
};

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
  uint32_t cold_limit; /* Requests at once that it bears while cold.  */
  uint32_t warm_limit; /* Requests at once that it bears when warm.  */
  ms_time unit_us;     /* Time of a cost unit when warm.  */
  ms_time cold_start;  /* Time from a cold start until it is warm.  */
  bool starts_warm;
};

struct trace
{
  char *path;
  uint64_t seed;
  ms_time delay_min; /* One way between routers.  */
  ms_time delay_max;
  ms_time log_delay;
  ms_time report_lag;
  ms_time list_lag;
  double loss;       /* Share of messages between routers that are lost.  */
  uint64_t log_keep; /* Records the log keeps in a stream.  */
  ms_time end_at;
  char *config_text;
  struct trace_node nodes[TRACE_MAX_NODES];
  unsigned nodes_count;
  struct trace_endpoint endpoints[TRACE_MAX_ENDPOINTS];
  unsigned endpoints_count;
  struct trace_line *events; /* Sorted by time.  */
  unsigned events_count;
  struct trace_line *expects;
  unsigned expects_count;
  char *texts[TRACE_MAX_FILES]; /* Own the words.  */
  unsigned texts_count;
};

/* Read the trace at PATH.  A failure names file, line and reason.  */
enum ms_status trace_load (const char *path, struct trace **trace);
void trace_destroy (struct trace *trace);

/* The value of word "KEY=..." of LINE, or NULL.  */
const char *trace_value (const struct trace_line *line, const char *key);

/* The same as a number, FALLBACK if absent.  */
double trace_number (const struct trace_line *line, const char *key,
                     double fallback);

/* Whether LINE has WORD.  */
bool trace_has (const struct trace_line *line, const char *word);

#endif

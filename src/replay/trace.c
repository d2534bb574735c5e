#include "replay/trace.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/file.h"

#define DEFAULT_LOG_KEEP 100000

struct parser
{
  struct trace *trace;
  const char *path;
  char *next;      /* Rest of the text.  */
  unsigned number; /* Of the last line read, from 1.  */
};

const char *
trace_value (const struct trace_line *line, const char *key)
{
  size_t length = strlen (key);

  for (unsigned i = 0; i < line->words_count; i++)
    if (strncmp (line->words[i], key, length) == 0
        && line->words[i][length] == '=')
      return line->words[i] + length + 1;
  return NULL;
}

double
trace_number (const struct trace_line *line, const char *key, double fallback)
{
  const char *value = trace_value (line, key);

  return value ? strtod (value, NULL) : fallback;
}

bool
trace_has (const struct trace_line *line, const char *word)
{
  for (unsigned i = 0; i < line->words_count; i++)
    if (strcmp (line->words[i], word) == 0)
      return true;
  return false;
}

/* Return the next line, with its line end replaced by a null byte, or NULL at
   the end of the file.  */
static char *
next_line (struct parser *parser)
{
  char *line = parser->next;
  char *end;

  if (!*line)
    return NULL;
  parser->number++;
  end = strchr (line, '\n');
  parser->next = end ? end + 1 : line + strlen (line);
  if (end)
    *end = '\0';
  return line;
}

static enum ms_status
parse_error (const struct parser *parser, const char *reason)
{
  return ms_fail (MS_INVALID, "%s: line %u: %s", parser->path, parser->number,
                  reason);
}

/* Split TEXT, which is modified, into the words of LINE; "#" starts a
   comment.  */
static enum ms_status
split_words (const struct parser *parser, char *text, struct trace_line *line)
{
  char *save = NULL;
  char *comment = strchr (text, '#');

  if (comment)
    *comment = '\0';
  line->number = parser->number;
  line->at = 0;
  line->words_count = 0;
  for (char *word = strtok_r (text, " \t", &save); word;
       word = strtok_r (NULL, " \t", &save))
    {
      if (line->words_count == TRACE_MAX_WORDS)
        return parse_error (parser, "too many words");
      line->words[line->words_count++] = word;
    }
  return MS_OK;
}

static void
append_line (struct trace_line **lines, unsigned *count,
             const struct trace_line *line)
{
  *lines = ms_resize (*lines, *count + 1, sizeof **lines);
  (*lines)[(*count)++] = *line;
}

/* Take the lines up to "END" as the configuration.  next_line has replaced
   their line ends by null bytes, which is undone here.  */
static enum ms_status
parse_config (struct parser *parser)
{
  char *begin = parser->next;
  char *line;

  while ((line = next_line (parser)))
    {
      if (strcmp (line, "END") == 0)
        {
          *line = '\0';
          for (char *c = begin; c < line; c++)
            if (!*c)
              *c = '\n';
          parser->trace->config_text = begin;
          return MS_OK;
        }
    }
  return parse_error (parser, "the configuration has no END");
}

static enum ms_status
parse_node (struct parser *parser, const struct trace_line *line)
{
  struct trace *trace = parser->trace;

  if (line->words_count != 3)
    return parse_error (parser, "node needs a name and an availability zone");
  if (trace->nodes_count == TRACE_MAX_NODES)
    return parse_error (parser, "too many nodes");
  trace->nodes[trace->nodes_count++]
      = (struct trace_node){ line->words[1], line->words[2] };
  return MS_OK;
}

static enum ms_status
parse_endpoint (struct parser *parser, const struct trace_line *line)
{
  struct trace *trace = parser->trace;

  if (line->words_count < 4)
    return parse_error (parser, "endpoint needs a name, a service and a zone");
  if (trace->endpoints_count == TRACE_MAX_ENDPOINTS)
    return parse_error (parser, "too many endpoints");
  trace->endpoints[trace->endpoints_count++] = (struct trace_endpoint){
    .name = line->words[1],
    .service = line->words[2],
    .zone = line->words[3],
    .cold_limit = (uint32_t)trace_number (line, "cold", 2),
    .warm_limit = (uint32_t)trace_number (line, "warm", 8),
    .unit_us = (ms_time)trace_number (line, "unit_us", 10000),
    .cold_start = (ms_time)trace_number (line, "cold_ms", 5000) * MS_MSEC,
    .starts_warm = trace_has (line, "starts_warm"),
  };
  return MS_OK;
}

/* Parse a line "at TIME EVENT ...".  The first two words are removed from
   LINE, so that it starts with the name of the event.  */
static enum ms_status
parse_event (struct parser *parser, struct trace_line *line)
{
  char *end;

  if (line->words_count < 3)
    return parse_error (parser, "at needs a time and an event");
  line->at = (ms_time)(strtod (line->words[1], &end) * (double)MS_MSEC);
  if (*end || line->at < 0)
    return parse_error (parser, "the time is not a number of milliseconds");
  memmove (line->words, line->words + 2,
           (line->words_count - 2) * sizeof (char *));
  line->words_count -= 2;
  append_line (&parser->trace->events, &parser->trace->events_count, line);
  return MS_OK;
}

static ms_time
parse_ms (const char *text)
{
  return (ms_time)(strtod (text, NULL) * (double)MS_MSEC);
}

static enum ms_status
parse_setting (struct parser *parser, const struct trace_line *line)
{
  struct trace *trace = parser->trace;
  const char *key = line->words[0];
  const char *value = line->words_count > 1 ? line->words[1] : "";

  if (strcmp (key, "seed") == 0)
    trace->seed = strtoull (value, NULL, 10);
  else if (strcmp (key, "delay") == 0 && line->words_count == 3)
    {
      trace->delay_min = parse_ms (value);
      trace->delay_max = parse_ms (line->words[2]);
    }
  else if (strcmp (key, "log_delay") == 0)
    trace->log_delay = parse_ms (value);
  else if (strcmp (key, "report_lag") == 0)
    trace->report_lag = parse_ms (value);
  else if (strcmp (key, "list_lag") == 0)
    trace->list_lag = parse_ms (value);
  else if (strcmp (key, "loss") == 0)
    trace->loss = strtod (value, NULL);
  else if (strcmp (key, "keep") == 0)
    trace->log_keep = strtoull (value, NULL, 10);
  else if (strcmp (key, "until") == 0)
    trace->end_at = parse_ms (value);
  else
    return parse_error (parser, "the word at its start is not known, or "
                                "\"delay\" lacks its two values");
  return MS_OK;
}

static enum ms_status parse_file (struct trace *trace, const char *path);

/* Parse a file in the folder of the current one, as if its lines were here. */
static enum ms_status
include_file (struct parser *parser, const struct trace_line *line)
{
  const char *slash = strrchr (parser->path, '/');
  char path[512];

  if (line->words_count != 2)
    return parse_error (parser, "include needs a file name");
  snprintf (path, sizeof path, "%.*s%s",
            slash ? (int)(slash - parser->path + 1) : 0, parser->path,
            line->words[1]);
  return parse_file (parser->trace, path);
}

static enum ms_status
parse_line (struct parser *parser, char *text)
{
  struct trace_line line;
  enum ms_status status = split_words (parser, text, &line);

  if (status != MS_OK || !line.words_count)
    return status;
  if (strcmp (line.words[0], "include") == 0)
    return include_file (parser, &line);
  if (strcmp (line.words[0], "config") == 0)
    return parse_config (parser);
  if (strcmp (line.words[0], "node") == 0)
    return parse_node (parser, &line);
  if (strcmp (line.words[0], "endpoint") == 0)
    return parse_endpoint (parser, &line);
  if (strcmp (line.words[0], "at") == 0)
    return parse_event (parser, &line);
  if (strcmp (line.words[0], "expect") == 0)
    {
      if (line.words_count < 2)
        return parse_error (parser, "expect needs the name of a statistic");
      append_line (&parser->trace->expects, &parser->trace->expects_count,
                   &line);
      return MS_OK;
    }
  return parse_setting (parser, &line);
}

/* Insertion sort by time.  It is stable, so events of the same time keep the
   order of the file.  */
static void
sort_events (struct trace *trace)
{
  for (unsigned i = 1; i < trace->events_count; i++)
    for (unsigned j = i; j && trace->events[j].at < trace->events[j - 1].at;
         j--)
      {
        struct trace_line line = trace->events[j];

        trace->events[j] = trace->events[j - 1];
        trace->events[j - 1] = line;
      }
}

static enum ms_status
check_complete (const struct trace *trace)
{
  if (!trace->config_text)
    return ms_fail (MS_INVALID, "%s: there is no config", trace->path);
  if (!trace->nodes_count)
    return ms_fail (MS_INVALID, "%s: there is no node", trace->path);
  if (trace->end_at <= 0)
    return ms_fail (MS_INVALID, "%s: there is no until", trace->path);
  return MS_OK;
}

static enum ms_status
parse_file (struct trace *trace, const char *path)
{
  struct parser parser = { .trace = trace, .path = path };
  enum ms_status status;
  size_t length;
  char *line;

  if (trace->texts_count == TRACE_MAX_FILES)
    return ms_fail (MS_INVALID, "%s: too many files", path);
  status = ms_file_read (path, &trace->texts[trace->texts_count], &length);
  if (status != MS_OK)
    return status;
  parser.next = trace->texts[trace->texts_count++];
  while (status == MS_OK && (line = next_line (&parser)))
    status = parse_line (&parser, line);
  return status;
}

enum ms_status
trace_load (const char *path, struct trace **out)
{
  struct trace *trace = ms_new (sizeof *trace);
  enum ms_status status;

  *trace = (struct trace){ .seed = 1,
                           .delay_min = 1000,
                           .delay_max = 2000,
                           .log_delay = 2000,
                           .report_lag = 500 * MS_MSEC,
                           .list_lag = 500 * MS_MSEC,
                           .log_keep = DEFAULT_LOG_KEEP };
  trace->path = strdup (path);
  status = parse_file (trace, path);
  if (status == MS_OK)
    status = check_complete (trace);
  if (status != MS_OK)
    {
      trace_destroy (trace);
      return status;
    }
  sort_events (trace);
  *out = trace;
  return MS_OK;
}

void
trace_destroy (struct trace *trace)
{
  free (trace->path);
  for (unsigned i = 0; i < trace->texts_count; i++)
    free (trace->texts[i]);
  free (trace->events);
  free (trace->expects);
  free (trace);
}

#include "ctl/explain.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/file.h"

/* Other requests are counted if they ended at most this many seconds before or
   after the request, and events are printed from this many seconds before its
   end.  */
#define CONTEXT_S 2.0

/* An answer that began later than the expected time multiplied by this means
   that the endpoint was slower than expected.  */
#define LATE_RATIO 2

#define FIELD_BYTES 128 /* Longer values are cut.  */

/* What each outcome means, for operators.  */
static const struct
{
  const char *outcome;
  const char *meaning;
} meanings[] = {
  { "answered", "an endpoint answered it" },
  { "over_share", "refused, not run: its team asks for more than its share "
                  "while capacity is scarce" },
  { "full", "refused, or ended after attempts: no endpoint could start it in "
            "time" },
  { "no_endpoint",
    "refused, not run: no endpoint of its service was available" },
  { "paused", "refused, not run: all endpoints of its service had asked for a "
              "pause" },
  { "leaving", "refused, not run: the router was told to end and could not be "
               "sure to finish it" },
  { "quarantined",
    "refused, not run: requests like it brought endpoints down" },
  { "configuration_old", "refused, not run: the router's configuration or "
                         "its list of revoked keys was too old" },
  { "broken",
    "the endpoint broke off, and the request must not be run again" },
  { "cut_event",
    "the endpoint's stream ended inside an event, and the request "
    "must not be run again" },
  { "connect", "no connection to an endpoint was made" },
  { "endpoint_refused", "endpoints refused it without running it" },
  { "bad_bytes", "the endpoint's answer was malformed" },
  { "timeout", "its deadline or its route's timeout passed" },
  { "deadline", "its deadline or its route's timeout passed" },
  { "caller_gone", "its caller disconnected" },
  { "version_withdrawn",
    "a rollout withdrew the version of its endpoint before it was sent" },
  { "version_stopped",
    "refused, not run: its stream began at a version that a "
    "rollout has stopped, and may go on only there" },
};

/* Events about the router's own state or its knowledge of the fleet.  */
static const char *const context_events[] = { "start",
                                              "leaving",
                                              "stop",
                                              "stood_still",
                                              "pressure",
                                              "shut",
                                              "topic_lost",
                                              "topic_regained",
                                              "configuration",
                                              "endpoint_gone",
                                              "zone",
                                              "rollout",
                                              "rollout_order",
                                              "rollout_removed",
                                              "version",
                                              "reload",
                                              "callers_turned_away" };

/* An event line of a router.  */
struct line
{
  const char *text;
  int length;
  int prefix_length; /* Bytes before "time=".  */
  double time;       /* In seconds, on the router's own clock.  */
};

struct log
{
  char *data;
  struct line *lines;
  size_t count;
};

/* Copy the value of FIELD in LINE to VALUE, an array of FIELD_BYTES bytes;
   empty if LINE does not have the field.  */
static void
get_field (const struct line *line, const char *field, char *value)
{
  size_t field_length = strlen (field);
  const char *end = line->text + line->length;
  size_t n = 0;

  value[0] = '\0';
  for (const char *at = line->text + line->prefix_length;
       at + field_length < end; at++)
    {
      if ((at != line->text && at[-1] != ' ') || at[field_length] != '='
          || strncmp (at, field, field_length) != 0)
        continue;
      for (at += field_length + 1;
           at < end && *at != ' ' && n + 1 < FIELD_BYTES; at++)
        value[n++] = *at;
      value[n] = '\0';
      return;
    }
}

/* Append the line of LENGTH bytes at TEXT to LOG if it is an event line.  */
static void
append_event_line (struct log *log, const char *text, size_t length)
{
  static const char time_prefix[] = "time=";
  struct line *line = &log->lines[log->count];

  for (size_t i = 0; i + sizeof time_prefix <= length; i++)
    if (strncmp (text + i, time_prefix, sizeof time_prefix - 1) == 0)
      {
        line->text = text;
        line->length = (int)length;
        line->prefix_length = (int)i;
        line->time = strtod (text + i + sizeof time_prefix - 1, NULL);
        log->count++;
        return;
      }
}

static enum ms_status
read_log (const char *path, struct log *log)
{
  size_t length;
  size_t lines = 1;
  enum ms_status status = ms_file_read (path, &log->data, &length);

  if (status != MS_OK)
    return status;
  for (size_t i = 0; i < length; i++)
    lines += log->data[i] == '\n';
  log->lines = calloc (lines, sizeof *log->lines);
  if (!log->lines)
    return ms_fail (MS_UNAVAILABLE, "%s: out of memory", path);
  for (size_t begin = 0; begin < length;)
    {
      const char *end = memchr (log->data + begin, '\n', length - begin);
      size_t n = end ? (size_t)(end - log->data) - begin : length - begin;

      append_event_line (log, log->data + begin, n);
      begin += n + 1;
    }
  return MS_OK;
}

/* The router's name, which is the last word of the line's prefix.  Its length
   is stored in *LENGTH.  */
static const char *
router_name (const struct line *line, int *length)
{
  int end = line->prefix_length;
  int begin;

  while (end > 0 && line->text[end - 1] == ' ')
    end--;
  for (begin = end; begin > 0 && line->text[begin - 1] != ' '; begin--)
    ;
  *length = end - begin;
  return line->text + begin;
}

static bool
same_router (const struct line *a, const struct line *b)
{
  int a_length;
  int b_length;
  const char *a_name = router_name (a, &a_length);
  const char *b_name = router_name (b, &b_length);

  return a_length == b_length
         && strncmp (a_name, b_name, (size_t)a_length) == 0;
}

static void
print_line (const struct line *line)
{
  printf ("  %.*s\n", line->length, line->text);
}

/* Print the lines of request ID.  Return the one that reports its end, NULL if
   there is none.  */
static const struct line *
print_request_lines (const struct log *log, const char *id)
{
  const struct line *end = NULL;
  char value[FIELD_BYTES];

  for (size_t i = 0; i < log->count; i++)
    {
      get_field (&log->lines[i], "id", value);
      if (strcmp (value, id) != 0)
        continue;
      print_line (&log->lines[i]);
      get_field (&log->lines[i], "event", value);
      if (strcmp (value, "request") == 0)
        end = &log->lines[i];
    }
  return end;
}

/* Print what the outcome in END means.  Here and in the functions below, END
   is the line that reports the end of a request.  */
static void
print_outcome (const struct line *end)
{
  char outcome[FIELD_BYTES];
  char uncached[FIELD_BYTES];
  char first[FIELD_BYTES];
  char expected[FIELD_BYTES];

  get_field (end, "outcome", outcome);
  get_field (end, "uncached", uncached);
  get_field (end, "first_ms", first);
  get_field (end, "expected_ms", expected);
  for (size_t i = 0; i < sizeof meanings / sizeof *meanings; i++)
    if (strcmp (meanings[i].outcome, outcome) == 0)
      printf ("outcome %s: %s\n", outcome, meanings[i].meaning);
  if (strtod (first, NULL) > LATE_RATIO * strtod (expected, NULL)
      && strtod (expected, NULL) > 0)
    printf ("its answer began after %s ms, expected were %s with %s uncached "
            "tokens: the endpoint was slower than expected\n",
            first, expected, uncached);
}

/* Print the rollout of the service of END, as its router saw it then, and
   whether the request was sent to the ordered version.  */
static void
print_rollout (const struct log *log, const struct line *end)
{
  const struct line *phase = NULL;
  const struct line *order = NULL;
  char service[FIELD_BYTES];
  char version[FIELD_BYTES];
  char value[FIELD_BYTES];
  char to[FIELD_BYTES];
  char reason[FIELD_BYTES];

  get_field (end, "service", service);
  for (size_t i = 0; i < log->count && service[0]; i++)
    {
      const struct line *line = &log->lines[i];

      if (line->time > end->time || !same_router (line, end))
        continue;
      get_field (line, "service", value);
      if (strcmp (value, service) != 0)
        continue;
      get_field (line, "event", value);
      if (strcmp (value, "rollout") == 0)
        phase = line;
      else if (strcmp (value, "rollout_order") == 0)
        order = line;
    }
  if (!phase || !order)
    return;
  get_field (phase, "to", to);
  get_field (phase, "phase", value);
  get_field (phase, "reason", reason);
  printf ("rollout of %s to %s: phase %s (%s) since %.1f s before; ", service,
          to, value, reason, end->time - phase->time);
  get_field (end, "version", version);
  get_field (order, "version", value);
  if (!version[0] || strcmp (version, "0") == 0)
    printf ("it was sent to no version\n");
  else
    printf ("it was sent to %s version\n",
            strcmp (version, value) == 0 ? "that" : "another");
}

static bool
is_context (const char *event)
{
  for (size_t i = 0; i < sizeof context_events / sizeof *context_events; i++)
    if (strcmp (context_events[i], event) == 0)
      return true;
  return false;
}

/* Print those events of END's router in the CONTEXT_S seconds before END that
   context_events lists.  */
static void
print_context (const struct log *log, const struct line *end)
{
  char event[FIELD_BYTES];
  bool any = false;

  for (size_t i = 0; i < log->count; i++)
    {
      const struct line *line = &log->lines[i];

      if (line->time > end->time || line->time < end->time - CONTEXT_S
          || !same_router (line, end))
        continue;
      get_field (line, "event", event);
      if (!is_context (event))
        continue;
      if (!any)
        printf ("events on that router in the %.0f s before:\n", CONTEXT_S);
      any = true;
      print_line (line);
    }
}

/* Print how many requests that have the same value of FIELD as END ended on
   END's router within CONTEXT_S seconds of it, and how many of them were
   answered.  Other routers are left out, as each has its own clock and times
   cannot be compared.  */
static void
print_similar_requests (const struct log *log, const struct line *end,
                        const char *field)
{
  char wanted[FIELD_BYTES];
  char value[FIELD_BYTES];
  unsigned all = 0;
  unsigned answered = 0;

  get_field (end, field, wanted);
  if (!wanted[0] || strcmp (wanted, "-") == 0)
    return;
  for (size_t i = 0; i < log->count; i++)
    {
      const struct line *line = &log->lines[i];

      if (line->time > end->time + CONTEXT_S
          || line->time < end->time - CONTEXT_S || !same_router (line, end))
        continue;
      get_field (line, field, value);
      if (strcmp (value, wanted) != 0)
        continue;
      get_field (line, "outcome", value);
      all += value[0] != '\0';
      answered += strcmp (value, "answered") == 0;
    }
  printf ("requests of %s %s within %.0f s there: %u, answered %u\n", field,
          wanted, CONTEXT_S, all, answered);
}

int
ctl_explain_log (const char *path, const char *id)
{
  struct log log = { 0 };
  const struct line *end;
  int code = 0;

  if (read_log (path, &log) != MS_OK)
    {
      fprintf (stderr, "monsoonspur-ctl: %s\n", ms_last_message ());
      free (log.data);
      return 1;
    }
  end = print_request_lines (&log, id);
  if (end)
    {
      print_outcome (end);
      print_rollout (&log, end);
      print_similar_requests (&log, end, "team");
      print_similar_requests (&log, end, "endpoint");
      print_context (&log, end);
    }
  else
    {
      fprintf (stderr, "monsoonspur-ctl: %s: no end of request %s\n", path,
               id);
      code = 1;
    }
  free (log.lines);
  free (log.data);
  return code;
}

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/file.h"
#include "journal/journal.h"
#include "rpc/codec.h"

#define SCAN_ID "%" SCNx64
#define MAX_ENDPOINTS 4096 /* In an endpoint list.  */

/* Effects of the event that was replayed last, in the journal's text form.  */
struct produced
{
  char *text;
  size_t length;
  char *next; /* First line not compared; NULL before the first event.  */
};

struct replay
{
  const char *path;
  char *rest; /* Lines of the journal that have not been read.  */
  unsigned line_number;
  struct ms_node *node;
  struct produced produced;
  FILE *effects_file; /* Writes to produced.text.  NULL except during
                         ms_node_step; effects are dropped while NULL.  */
  struct ms_journal_result *result;
};

static enum ms_status
parse_error (const struct replay *replay, const char *reason)
{
  return ms_fail (MS_INVALID, "%s: line %u: %s", replay->path,
                  replay->line_number, reason);
}

/* Return the next line, with its line end replaced by a null byte, or NULL at
   the end of the journal.  */
static char *
next_line (struct replay *replay)
{
  char *line = replay->rest;
  char *end;

  if (!*line)
    return NULL;
  replay->line_number++;
  end = strchr (line, '\n');
  replay->rest = end ? end + 1 : line + strlen (line);
  if (end)
    *end = '\0';
  return line;
}

/* The effect sink of the replayed decisions, struct ms_sink.  */
static void
collect_effect (void *context, const struct ms_effect *effect)
{
  struct replay *replay = context;

  if (replay->effects_file)
    ms_journal_effect (replay->effects_file, effect);
}

/* Create the decision state with the options of the journal's first line.  */
static enum ms_status
create_node (struct replay *replay, const char *line)
{
  const struct ms_sink sink = { collect_effect, replay };
  struct ms_node_options options = { 0 };
  char name[64], zone[64], peer[64], caller[64];

  if (sscanf (line, "router %63s %63s %63s %63s %" SCNu64 " %" SCNu64, name,
              zone, peer, caller, &options.incarnation, &options.random_seed)
      != 6)
    return parse_error (replay, "the first line is not \"router ...\"");
  options.name = name;
  options.zone = zone;
  options.peer_address = peer;
  options.caller_address = caller;
  replay->node = ms_node_create (&options, &sink);
  return MS_OK;
}

static bool
parse_hex (const char *text, char *data, size_t size, size_t *length)
{
  size_t digits = strlen (text);

  *length = digits / 2;
  if (digits % 2 || *length > size)
    return false;
  for (size_t i = 0; i < *length; i++)
    {
      unsigned byte;

      if (sscanf (text + 2 * i, "%2x", &byte) != 1)
        return false;
      data[i] = (char)byte;
    }
  return true;
}

static bool
parse_arrival (const char *text, struct ms_arrival *a)
{
  int lane;
  int idempotent;

  if (sscanf (text,
              "%" SCNu64 " " SCAN_ID " " SCAN_ID " %d %d " SCAN_ID " " SCAN_ID
              " %u %" SCNd64,
              &a->request, &a->team, &a->service, &lane, &idempotent, &a->key,
              &a->fingerprint, &a->hint, &a->deadline)
          != 9
      || lane < 0 || lane >= MS_LANES)
    return false;
  a->lane = (enum ms_lane)lane;
  a->idempotent = idempotent != 0;
  return true;
}

static bool
parse_end (const char *text, struct ms_attempt_end *end)
{
  int result;
  int sent;

  if (sscanf (text, "%" SCNu64 " %u %d %d %u %" SCNd64, &end->request,
              &end->attempt, &result, &sent, &end->cost, &end->duration)
          != 6
      || result < MS_RESULT_OK || result > MS_RESULT_RESET)
    return false;
  end->result = (enum ms_result)result;
  end->sent_to_caller = sent != 0;
  return true;
}

/* Parse the count and the endpoints in TEXT, which is modified.  Return false
   if they are malformed or more than MAX_ENDPOINTS.  */
static bool
parse_endpoints (char *text, struct ms_endpoint *list, unsigned *count)
{
  char *save = NULL;
  char *word = strtok_r (text, " ", &save);

  /* Without a count, the check below fails.  */
  *count = word ? (unsigned)strtoul (word, NULL, 10) : MAX_ENDPOINTS + 1;
  if (*count > MAX_ENDPOINTS)
    return false;
  for (unsigned i = 0; i < *count; i++)
    {
      char *words[5];

      for (int w = 0; w < 5; w++)
        if (!(words[w] = strtok_r (NULL, " ", &save)))
          return false;
      memset (&list[i], 0, sizeof list[i]);
      list[i].name = ms_name (words[0]);
      list[i].id = ms_id (ms_str (words[0]));
      list[i].service = strtoull (words[1], NULL, 16);
      list[i].zone = strtoull (words[2], NULL, 16);
      list[i].leaving = strcmp (words[3], "0") != 0;
      if (strcmp (words[4], "-") != 0)
        strncpy (list[i].address, words[4], MS_ADDRESS_BYTES - 1);
    }
  return true;
}

/* Parse the fields in TEXT of an event of the log into EVENT.  KIND is
   "record", "read" or "append_failed".  */
static bool
parse_log (const char *kind, const char *text, struct ms_event *event)
{
  int stream;
  int at_end;
  int used = 0;

  if (strcmp (kind, "record") == 0)
    {
      event->kind = MS_EVENT_LOG_RECORD;
      if (sscanf (text, "%d %" SCNu64 " %n", &stream,
                  &event->log_record.offset, &used)
              != 2
          || stream < 0 || stream >= MS_STREAMS)
        return false;
      event->log_record.stream = (enum ms_stream)stream;
      event->log_record.text = ms_str (text + used);
      return true;
    }
  if (strcmp (kind, "read") == 0)
    {
      event->kind = MS_EVENT_LOG_READ;
      if (sscanf (text, "%d %" SCNd64 " %" SCNu64 " %d", &stream,
                  &event->log_read.sent_at, &event->log_read.first_kept,
                  &at_end)
              != 4
          || stream < 0 || stream >= MS_STREAMS)
        return false;
      event->log_read.stream = (enum ms_stream)stream;
      event->log_read.at_end = at_end != 0;
      return true;
    }
  event->kind = MS_EVENT_APPEND_FAILED;
  if (sscanf (text, "%d %" SCNu64, &stream, &event->append_failed.tag) != 2
      || stream < 0 || stream >= MS_STREAMS)
    return false;
  event->append_failed.stream = (enum ms_stream)stream;
  return true;
}

/* Parse the fields in TEXT of an event of KIND into EVENT.  LIST and MESSAGE
   are storage that EVENT then points to; TEXT is modified, and EVENT may point
   into it.  Return false if KIND or a field is invalid.  */
static bool
parse_event (const char *kind, char *text, struct ms_event *event,
             struct ms_endpoint *list, peer_message *message)
{
  char data[MS_MESSAGE_BYTES];
  size_t length;

  if (strcmp (kind, "tick") == 0)
    event->kind = MS_EVENT_TICK;
  else if (strcmp (kind, "drain") == 0)
    event->kind = MS_EVENT_DRAIN;
  else if (strcmp (kind, "arrive") == 0)
    {
      event->kind = MS_EVENT_ARRIVE;
      return parse_arrival (text, &event->arrive);
    }
  else if (strcmp (kind, "gone") == 0)
    {
      event->kind = MS_EVENT_CALLER_GONE;
      event->caller_gone = strtoull (text, NULL, 10);
    }
  else if (strcmp (kind, "progress") == 0)
    {
      event->kind = MS_EVENT_PROGRESS;
      return sscanf (text, "%" SCNu64 " %u", &event->progress.request,
                     &event->progress.cost)
             == 2;
    }
  else if (strcmp (kind, "end") == 0)
    {
      event->kind = MS_EVENT_ATTEMPT_END;
      return parse_end (text, &event->attempt_end);
    }
  else if (strcmp (kind, "peer") == 0)
    {
      event->kind = MS_EVENT_PEER;
      event->peer = message;
      return parse_hex (text, data, sizeof data, &length)
             && ms_message_decode (data, length, message);
    }
  else if (strcmp (kind, "endpoints") == 0)
    {
      event->kind = MS_EVENT_ENDPOINTS;
      event->endpoints.list = list;
      return parse_endpoints (text, list, &event->endpoints.count);
    }
  else if (strcmp (kind, "load") == 0)
    {
      event->kind = MS_EVENT_LOAD;
      return sscanf (text, SCAN_ID " %" SCNu64 " %u", &event->load.endpoint,
                     &event->load.start_id, &event->load.running)
             == 3;
    }
  else if (strcmp (kind, "record") == 0 || strcmp (kind, "read") == 0
           || strcmp (kind, "append_failed") == 0)
    return parse_log (kind, text, event);
  else
    return false;
  return true;
}

/* Report that the effects RECORDED and REPLAYED differ; "" stands for none.
   If the journal lacks an effect, the line is that of the next event.  */
static enum ms_status
report_difference (struct replay *replay, const char *recorded,
                   const char *replayed)
{
  replay->result->first_difference = replay->line_number;
  return ms_fail (MS_CONFLICT,
                  "%s: line %u: recorded \"%.120s\", replayed "
                  "\"%.120s\"",
                  replay->path, replay->line_number, recorded, replayed);
}

/* Return the next effect that the replay produced, "" if none is left.  */
static const char *
next_produced (struct replay *replay)
{
  char *line = replay->produced.next;
  char *end;

  if (!line || !*line)
    return "";
  end = strchr (line, '\n');
  if (end)
    *end = '\0';
  replay->produced.next = end ? end + 1 : line + strlen (line);
  return line;
}

/* Parse the event in LINE, let the decision code handle it and keep its
   effects for comparison with the lines that follow.  */
static enum ms_status
replay_event (struct replay *replay, char *line)
{
  static struct ms_endpoint list[MAX_ENDPOINTS];
  struct ms_event event = { 0 };
  peer_message message = { 0 };
  char kind[32];
  int used = 0;
  ms_time now;

  if (sscanf (line, "%" SCNd64 " %31s %n", &now, kind, &used) != 2
      || !parse_event (kind, line + used, &event, list, &message))
    return parse_error (replay, "the event is malformed");
  free (replay->produced.text);
  replay->produced = (struct produced){ 0 };
  replay->effects_file
      = open_memstream (&replay->produced.text, &replay->produced.length);
  if (!replay->effects_file)
    abort ();
  ms_node_step (replay->node, &event, now);
  fclose (replay->effects_file);
  replay->effects_file = NULL;
  replay->produced.next = replay->produced.text;
  if (event.kind == MS_EVENT_PEER)
    xdr_free ((xdrproc_t)xdr_peer_message, (char *)&message);
  replay->result->events++;
  return MS_OK;
}

/* Compare the effect in LINE with the next one produced.  If LINE is an event,
   the previous event must have no more effects; then replay it.  */
static enum ms_status
replay_line (struct replay *replay, char *line)
{
  const char *produced = next_produced (replay);

  if (line[0] == '=')
    {
      replay->result->effects++;
      return strcmp (line, produced) == 0
                 ? MS_OK
                 : report_difference (replay, line, produced);
    }
  if (*produced)
    return report_difference (replay, "", produced);
  return replay_event (replay, line);
}

enum ms_status
ms_journal_replay (const char *path, struct ms_journal_result *result)
{
  struct replay replay = { .path = path, .result = result };
  char *text;
  char *line;
  size_t length;
  enum ms_status status = ms_file_read (path, &text, &length);

  memset (result, 0, sizeof *result);
  if (status != MS_OK)
    return status;
  replay.rest = text;
  line = next_line (&replay);
  status = create_node (&replay, line ? line : "");
  while (status == MS_OK && (line = next_line (&replay)))
    {
      /* A last line without a line end is incomplete: the router ended while
         it was written.  */
      if (!*replay.rest && text[length - 1] != '\n')
        break;
      status = replay_line (&replay, line);
    }
  ms_node_destroy (replay.node);
  free (replay.produced.text);
  free (text);
  return status;
}

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/file.h"
#include "journal/journal.h"
#include "rpc/codec.h"

#define ID "%" SCNx64
#define MAX_LISTED 4096

/* Effects of the event that was replayed last, as the journal writes them.  */
struct produced
{
  char *text;
  size_t length;
  char *next;
};

struct replay
{
  const char *path;
  char *rest;
  unsigned number;
  struct ms_node *node;
  struct produced produced;
  FILE *out;
  struct ms_journal_result *result;
};

static enum ms_status
refuse (const struct replay *replay, const char *reason)
{
  return ms_fail (MS_INVALID, "%s: line %u: %s", replay->path, replay->number,
                  reason);
}

static char *
next_line (struct replay *replay)
{
  char *line = replay->rest;
  char *end;

  if (!*line)
    return NULL;
  replay->number++;
  end = strchr (line, '\n');
  replay->rest = end ? end + 1 : line + strlen (line);
  if (end)
    *end = '\0';
  return line;
}

static void
collect (void *context, const struct ms_effect *effect)
{
  struct replay *replay = context;

  if (replay->out)
    ms_journal_effect (replay->out, effect);
}

static enum ms_status
begin (struct replay *replay, const char *line)
{
  const struct ms_sink sink = { collect, replay };
  struct ms_node_options options = { 0 };
  char name[64], zone[64], peer[64], caller[64];

  if (sscanf (line, "router %63s %63s %63s %63s %" SCNu64 " %" SCNu64, name,
              zone, peer, caller, &options.incarnation, &options.random_seed)
      != 6)
    return refuse (replay, "the first line is not \"router ...\"");
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
              "%" SCNu64 " " ID " " ID " %d %d " ID " " ID " %u %" SCNd64,
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

static bool
parse_endpoints (char *text, struct ms_endpoint *list, unsigned *count)
{
  char *save = NULL;
  char *word = strtok_r (text, " ", &save);

  *count = word ? (unsigned)strtoul (word, NULL, 10) : MAX_LISTED + 1;
  if (*count > MAX_LISTED)
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

/* Parse the event KIND with its fields in TEXT; LIST and MESSAGE hold what
   EVENT points to.  */
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
      return sscanf (text, ID " %" SCNu64 " %u", &event->load.endpoint,
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

static enum ms_status
differ (struct replay *replay, const char *recorded, const char *replayed)
{
  replay->result->first_difference = replay->number;
  return ms_fail (MS_CONFLICT,
                  "%s: line %u: recorded \"%.120s\", replayed "
                  "\"%.120s\"",
                  replay->path, replay->number, recorded, replayed);
}

/* The next effect that the replay produced, "" if there is none left.  */
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

static enum ms_status
step (struct replay *replay, char *line)
{
  static struct ms_endpoint list[MAX_LISTED];
  struct ms_event event = { 0 };
  peer_message message = { 0 };
  char kind[32];
  int used = 0;
  ms_time now;

  if (sscanf (line, "%" SCNd64 " %31s %n", &now, kind, &used) != 2
      || !parse_event (kind, line + used, &event, list, &message))
    return refuse (replay, "the event is malformed");
  free (replay->produced.text);
  replay->produced = (struct produced){ 0 };
  replay->out
      = open_memstream (&replay->produced.text, &replay->produced.length);
  if (!replay->out)
    abort ();
  ms_node_step (replay->node, &event, now);
  fclose (replay->out);
  replay->out = NULL;
  replay->produced.next = replay->produced.text;
  if (event.kind == MS_EVENT_PEER)
    xdr_free ((xdrproc_t)xdr_peer_message, (char *)&message);
  replay->result->events++;
  return MS_OK;
}

/* Compare a recorded effect, or at an event the lack of more.  */
static enum ms_status
follow (struct replay *replay, char *line)
{
  const char *produced = next_produced (replay);

  if (line[0] == '=')
    {
      replay->result->effects++;
      return strcmp (line, produced) == 0 ? MS_OK
                                          : differ (replay, line, produced);
    }
  if (*produced)
    return differ (replay, "", produced);
  return step (replay, line);
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
  status = begin (&replay, line ? line : "");
  while (status == MS_OK && (line = next_line (&replay)))
    {
      /* A line without its end was cut off when the router ended.  */
      if (!*replay.rest && text[length - 1] != '\n')
        break;
      status = follow (&replay, line);
    }
  ms_node_destroy (replay.node);
  free (replay.produced.text);
  free (text);
  return status;
}

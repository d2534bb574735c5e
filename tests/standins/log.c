/* Stand-in for the platform's log service, with streams of records at
   increasing offsets, bounded retention, long polls and faults:

   GET  /v1/streams/S/records?from=N&wait_ms=M
               records of the stream S from offset N on; waits up to M ms for
               one.  The answer also holds the offset of the oldest retained
               record (first), the offset from which to read on (next) and the
               one that the next appended record gets (end)
   POST /v1/streams/S/records
               appends the body as a record
   GET  /control?mode=MODE
               sets the mode.  up: normal service; down: reads and appends get
               503; slow: they are answered 400 ms late; lose_answers: records
               are appended, but the answer is not sent  */

#include <argp.h>
#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/serve.h"

#define MAX_STREAMS 8
#define MAX_RECORD_BYTES (4u << 20)
#define SLOW_MS 400
#define MAX_RECORDS_READ 256 /* In one answer.  */

struct stream
{
  char name[64];
  char **records;  /* By offset; NULL for dropped ones.  */
  uint64_t first;  /* Offset of the oldest retained record.  */
  uint64_t end;    /* Offset of the next record.  */
  size_t capacity; /* Of RECORDS.  */
};

enum mode
{
  MODE_UP,
  MODE_DOWN,
  MODE_SLOW,
  MODE_LOSE_ANSWERS
};

static struct stream streams[MAX_STREAMS];
static unsigned streams_count;
static uint64_t retained_records = 1000000; /* Per stream.  */
static _Atomic int mode;
static pthread_mutex_t streams_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t appended = PTHREAD_COND_INITIALIZER;

/* The stream NAME, created if need be; NULL if there are too many.  The caller
   holds streams_lock.  */
static struct stream *
find_stream (const char *name)
{
  for (unsigned i = 0; i < streams_count; i++)
    if (strcmp (streams[i].name, name) == 0)
      return &streams[i];
  if (streams_count == MAX_STREAMS)
    return NULL;
  snprintf (streams[streams_count].name, sizeof streams[0].name, "%s", name);
  return &streams[streams_count++];
}

/* Append RECORD, which is taken over, and drop the oldest records beyond the
   retention.  Returns its offset.  The caller holds streams_lock.  */
static uint64_t
append (struct stream *stream, char *record)
{
  if (stream->end == stream->capacity)
    {
      stream->capacity = stream->capacity ? stream->capacity * 2 : 1024;
      stream->records
          = realloc (stream->records, stream->capacity * sizeof (char *));
      if (!stream->records)
        abort ();
    }
  stream->records[stream->end++] = record;
  while (stream->end - stream->first > retained_records)
    {
      free (stream->records[stream->first]);
      stream->records[stream->first++] = NULL;
    }
  pthread_cond_broadcast (&appended);
  return stream->end - 1;
}

static void
pause_ms (long ms)
{
  struct timespec pause = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&pause, NULL);
}

static int
handle_append (struct mg_connection *connection, struct stream *stream)
{
  char *record = standin_read_body (connection, MAX_RECORD_BYTES);
  uint64_t offset;

  pthread_mutex_lock (&streams_lock);
  offset = append (stream, record);
  pthread_mutex_unlock (&streams_lock);
  if (mode == MODE_LOSE_ANSWERS)
    return 1;
  return standin_send_json (connection,
                            json_pack ("{s:I}", "offset", (json_int_t)offset));
}

static long
query_number (const struct mg_request_info *info, const char *key)
{
  char value[32];

  if (!info->query_string
      || mg_get_var (info->query_string, strlen (info->query_string), key,
                     value, sizeof value)
             <= 0)
    return 0;
  return strtol (value, NULL, 10);
}

/* Wait up to WAIT_MS for a record at offset FROM.  The caller holds
   streams_lock.  */
static void
wait_for_records (struct stream *stream, uint64_t from, long wait_ms)
{
  struct timespec deadline;

  clock_gettime (CLOCK_REALTIME, &deadline);
  deadline.tv_nsec += wait_ms % 1000 * 1000000;
  deadline.tv_sec += wait_ms / 1000 + deadline.tv_nsec / 1000000000;
  deadline.tv_nsec %= 1000000000;
  while (stream->end <= from)
    if (pthread_cond_timedwait (&appended, &streams_lock, &deadline))
      return;
}

static int
handle_read (struct mg_connection *connection, struct stream *stream)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  uint64_t from = (uint64_t)query_number (info, "from");
  json_t *records = json_array ();
  json_t *object;

  pthread_mutex_lock (&streams_lock);
  wait_for_records (stream, from, query_number (info, "wait_ms"));
  if (from < stream->first)
    from = stream->first;
  for (int i = 0; i < MAX_RECORDS_READ && from < stream->end; from++, i++)
    json_array_append_new (records,
                           json_pack ("{s:I,s:s}", "offset", (json_int_t)from,
                                      "data", stream->records[from]));
  object = json_pack ("{s:I,s:I,s:I,s:o}", "first", (json_int_t)stream->first,
                      "next", (json_int_t)from, "end", (json_int_t)stream->end,
                      "records", records);
  pthread_mutex_unlock (&streams_lock);
  return standin_send_json (connection, object);
}

static int
handle_records (struct mg_connection *connection, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  struct stream *stream;
  char name[64];

  (void)context;
  if (mode == MODE_DOWN)
    {
      mg_send_http_error (connection, 503, "%s", "out of service");
      return 503;
    }
  if (mode == MODE_SLOW)
    pause_ms (SLOW_MS);
  if (sscanf (info->local_uri, "/v1/streams/%63[^/]/records", name) != 1)
    return 0;
  pthread_mutex_lock (&streams_lock);
  stream = find_stream (name);
  pthread_mutex_unlock (&streams_lock);
  if (!stream)
    return 0;
  if (strcmp (info->request_method, "POST") == 0)
    return handle_append (connection, stream);
  return handle_read (connection, stream);
}

static int
handle_control (struct mg_connection *connection, void *context)
{
  /* In the order of enum mode.  */
  static const char *const names[] = { "up", "down", "slow", "lose_answers" };
  const struct mg_request_info *info = mg_get_request_info (connection);
  char value[32] = "";

  (void)context;
  if (info->query_string)
    mg_get_var (info->query_string, strlen (info->query_string), "mode", value,
                sizeof value);
  for (int i = 0; i < 4; i++)
    if (strcmp (names[i], value) == 0)
      mode = i;
  return standin_send_json (connection,
                            json_pack ("{s:i}", "mode", (int)mode));
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  switch (key)
    {
    case 'a':
      *(const char **)state->input = arg;
      return 0;
    case 'k':
      retained_records = strtoull (arg, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct standin_handler handlers[] = {
    { "/v1/streams/**", handle_records },
    { "/control$", handle_control },
  };
  static const struct argp_option options[]
      = { { "address", 'a', "IP:PORT", 0, "Address to listen on", 0 },
          { "keep", 'k', "N", 0, "Records retained per stream", 0 },
          { 0 } };
  const struct argp argp
      = { options, parse_option, NULL, NULL, NULL, NULL, NULL };
  const char *address = "127.0.0.1:7000";

  argp_parse (&argp, argc, argv, 0, NULL, &address);
  return standin_serve (address, "96", handlers,
                        sizeof handlers / sizeof *handlers);
}

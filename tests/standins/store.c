/* Stand-in for the users' store, a log with keyed topics.  The interface of
   the store:

   GET  /log-read?topic=T&from=N&wait_ms=M
               records of T from offset N on, in binary; waits up to M ms for
               one; 410 if the record at N was dropped or is beyond the end
   GET  /log-newest?topic=T&after=K
               the newest value of each key of T behind K, in JSON, in pages
               in the order of the keys
   POST /log-append?topic=T&at=N
               appends the records of the body, each behind its length in
               4 bytes; with at, only if T ends at offset N, else 412

   Other parameters, such as part, are ignored.  All answers have the header
   Store-Era, a number that rises when the store comes back from a copy.  Tests
   control the stand-in with the following calls, which it also serves while
   the store is down:

   PUT  /put?topic=T&key=K
               the body becomes K's value; an empty one removes K
   PUT  /page?items=N
               a page of /log-newest has at most N records; 500 at first
   PUT  /mode?to=up|down
               down: the store's own calls, /log-read, /log-newest and
               /log-append, get 503 until the store is up again
   PUT  /forget?topic=T
               drops the history of T: only /log-newest still shows it
   PUT  /copy
               takes a copy of all topics
   PUT  /restore?empty=T
               brings the store back from the copy, without the records of T,
               if given; what was appended since the copy is gone  */

#include <argp.h>
#include <civetweb.h>
#include <openssl/evp.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/alloc.h"
#include "common/serve.h"

#define MAX_TOPICS 8
#define MAX_RECORDS 65536
#define MAX_BODY_BYTES (4u << 20)

struct record
{
  char *data; /* Length of the key in one byte, key, value.  */
  size_t length;
};

struct topic
{
  char name[64];
  struct record *records;
  unsigned long first;        /* Oldest offset that /log-read has.  */
  unsigned long end;          /* Offset of the next record.  */
  unsigned long copied_first; /* Both as of the copy.  */
  unsigned long copied_end;
};

static struct topic topics[MAX_TOPICS];
static pthread_mutex_t topics_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static bool is_down;
static unsigned era = 1;
static unsigned page_items = 500;

/* The topic NAME, created if need be, or the first one if there are too many.
   The caller holds topics_lock.  */
static struct topic *
find_topic (const char *name)
{
  for (int i = 0; i < MAX_TOPICS; i++)
    {
      if (strcmp (topics[i].name, name) == 0)
        return &topics[i];
      if (!topics[i].name[0])
        {
          snprintf (topics[i].name, sizeof topics[i].name, "%s", name);
          topics[i].records
              = ms_new_array (MAX_RECORDS, sizeof (struct record));
          return &topics[i];
        }
    }
  return &topics[0];
}

/* Append a copy of DATA to T; a full topic drops it.  The caller holds
   topics_lock.  */
static void
append (struct topic *t, const char *data, size_t length)
{
  if (t->end == MAX_RECORDS)
    return;
  t->records[t->end].data = ms_copy (data, length);
  t->records[t->end].length = length;
  t->end++;
}

static size_t
key_length (const struct record *r)
{
  return (unsigned char)r->data[0];
}

/* Whether a later record of T has the key of record AT.  */
static bool
is_superseded (const struct topic *t, unsigned long at)
{
  const struct record *r = &t->records[at];

  for (unsigned long i = at + 1; i < t->end; i++)
    if (key_length (&t->records[i]) == key_length (r)
        && memcmp (t->records[i].data, r->data, key_length (r) + 1) == 0)
      return true;
  return false;
}

/* Copy the query parameter NAME into VALUE, empty if it is missing.  */
static void
query_value (const struct mg_connection *connection, const char *name,
             char *value, size_t size)
{
  const char *query = mg_get_request_info (connection)->query_string;

  value[0] = '\0';
  if (query)
    mg_get_var (query, strlen (query), name, value, size);
}

static int
send_response (struct mg_connection *connection, int status, const char *data,
               size_t length)
{
  mg_printf (connection,
             "HTTP/1.1 %d -\r\nContent-Length: %zu\r\n"
             "Store-Era: %u\r\nConnection: keep-alive\r\n\r\n",
             status, length, era);
  mg_write (connection, data, length);
  return 1;
}

/* Write VALUE as BYTES bytes, most significant first.  */
static void
encode_number (char *out, unsigned long value, unsigned bytes)
{
  for (unsigned i = 0; i < bytes; i++)
    out[i] = (char)(value >> (8 * (bytes - 1 - i)));
}

/* Wait up to WAIT_MS for a record at offset FROM or for the store to go down.
   The caller holds topics_lock.  */
static void
wait_for_records (const struct topic *t, unsigned long from, long wait_ms)
{
  struct timespec deadline;

  clock_gettime (CLOCK_REALTIME, &deadline);
  deadline.tv_sec += wait_ms / 1000;
  deadline.tv_nsec += wait_ms % 1000 * 1000000;
  if (deadline.tv_nsec >= 1000000000)
    {
      deadline.tv_sec++;
      deadline.tv_nsec -= 1000000000;
    }
  while (t->end == from && !is_down
         && pthread_cond_timedwait (&changed, &topics_lock, &deadline) == 0)
    ;
}

/* Answer with the end and the first offset of T in 8 bytes each, and then its
   records from FROM on, each behind its length in 4 bytes.  */
static int
send_records (struct mg_connection *connection, const struct topic *t,
              unsigned long from)
{
  size_t length = 16;
  char *out;
  int result;

  for (unsigned long i = from; i < t->end; i++)
    length += 4 + t->records[i].length;
  out = ms_new (length);
  encode_number (out, t->end, 8);
  encode_number (out + 8, t->first, 8);
  length = 16;
  for (unsigned long i = from; i < t->end; i++)
    {
      encode_number (out + length, t->records[i].length, 4);
      memcpy (out + length + 4, t->records[i].data, t->records[i].length);
      length += 4 + t->records[i].length;
    }
  result = send_response (connection, 200, out, length);
  free (out);
  return result;
}

static int
handle_log_read (struct mg_connection *connection, void *context)
{
  char name[64];
  char from_text[24];
  char wait_text[24];
  struct topic *t;
  unsigned long from;
  int result;

  (void)context;
  query_value (connection, "topic", name, sizeof name);
  query_value (connection, "from", from_text, sizeof from_text);
  query_value (connection, "wait_ms", wait_text, sizeof wait_text);
  from = strtoul (from_text, NULL, 10);
  pthread_mutex_lock (&topics_lock);
  t = find_topic (name);
  if (!is_down)
    wait_for_records (t, from, strtol (wait_text, NULL, 10));
  if (is_down)
    result = send_response (connection, 503, "", 0);
  else if (from < t->first || from > t->end)
    result = send_response (connection, 410, "{}", 2);
  else
    result = send_records (connection, t, from);
  pthread_mutex_unlock (&topics_lock);
  return result;
}

/* The JSON object of R at OFFSET, with its value in base64.  */
static json_t *
make_item (const struct record *r, unsigned long offset)
{
  size_t key = key_length (r);
  size_t length = r->length - 1 - key;
  char *text = ms_new (4 * length / 3 + 8);
  json_t *item;

  EVP_EncodeBlock ((unsigned char *)text,
                   (const unsigned char *)r->data + 1 + key, (int)length);
  item = json_pack ("{s:s#, s:s, s:I}", "key", r->data + 1, key, "value", text,
                    "offset", (json_int_t)offset);
  free (text);
  return item;
}

/* Order records by their keys.  */
static int
compare_records (const void *a, const void *b)
{
  const struct record *x = *(struct record *const *)a;
  const struct record *y = *(struct record *const *)b;
  size_t x_length = key_length (x);
  size_t y_length = key_length (y);
  int order = memcmp (x->data + 1, y->data + 1,
                      x_length < y_length ? x_length : y_length);

  return order ? order : (int)x_length - (int)y_length;
}

/* The page of the newest records of T whose keys are behind AFTER, a record
   without a value.  The caller holds topics_lock.  */
static json_t *
make_page (const struct topic *t, const struct record *after)
{
  struct record **found = ms_new_array (t->end + 1, sizeof (void *));
  json_t *items = json_array ();
  size_t count = 0;

  for (unsigned long i = 0; i < t->end; i++)
    if (t->records[i].length > 1 + key_length (&t->records[i])
        && !is_superseded (t, i))
      {
        found[count] = &t->records[i];
        if (compare_records (&found[count], &after) > 0)
          count++;
      }
  qsort (found, count, sizeof (void *), compare_records);
  for (size_t i = 0; i < count && i < page_items; i++)
    json_array_append_new (
        items, make_item (found[i], (unsigned long)(found[i] - t->records)));
  free (found);
  return json_pack ("{s:o, s:b, s:I}", "items", items, "truncated",
                    count > page_items, "end", (json_int_t)t->end);
}

static int
handle_log_newest (struct mg_connection *connection, void *context)
{
  char name[64];
  char after[257] = "";
  struct record last = { after, 1 };
  json_t *page;
  char *text;
  int result;

  (void)context;
  query_value (connection, "topic", name, sizeof name);
  query_value (connection, "after", after + 1, sizeof after - 1);
  after[0] = (char)strlen (after + 1);
  pthread_mutex_lock (&topics_lock);
  page = make_page (find_topic (name), &last);
  text = json_dumps (page, JSON_COMPACT);
  result = is_down ? send_response (connection, 503, "", 0)
                   : send_response (connection, 200, text, strlen (text));
  pthread_mutex_unlock (&topics_lock);
  json_decref (page);
  free (text);
  return result;
}

static int
handle_log_append (struct mg_connection *connection, void *context)
{
  char name[64];
  char expected[24];
  long long length = mg_get_request_info (connection)->content_length;
  char *body = standin_read_body (connection, MAX_BODY_BYTES);
  struct topic *t;
  long long at = 0;
  bool conflict;
  int result;

  (void)context;
  query_value (connection, "topic", name, sizeof name);
  query_value (connection, "at", expected, sizeof expected);
  pthread_mutex_lock (&topics_lock);
  t = find_topic (name);
  conflict = *expected && strtoul (expected, NULL, 10) != t->end;
  while (!is_down && !conflict && at + 4 <= length)
    {
      size_t record_length = 0;

      for (int i = 0; i < 4; i++)
        record_length = record_length << 8 | (unsigned char)body[at + i];
      append (t, body + at + 4, record_length);
      at += 4 + (long long)record_length;
    }
  pthread_cond_broadcast (&changed);
  result = send_response (connection,
                          is_down    ? 503
                          : conflict ? 412
                                     : 200,
                          "{}", 2);
  pthread_mutex_unlock (&topics_lock);
  free (body);
  return result;
}

static int
handle_put (struct mg_connection *connection, void *context)
{
  char name[64];
  char key[128];
  char *body = standin_read_body (connection, MAX_BODY_BYTES);
  size_t length = strlen (body);
  char *record;

  (void)context;
  query_value (connection, "topic", name, sizeof name);
  query_value (connection, "key", key, sizeof key);
  record = ms_new (2 + strlen (key) + length);
  record[0] = (char)strlen (key);
  snprintf (record + 1, 1 + strlen (key) + length, "%s%s", key, body);
  pthread_mutex_lock (&topics_lock);
  append (find_topic (name), record, 1 + strlen (key) + length);
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&topics_lock);
  free (record);
  free (body);
  return send_response (connection, 200, "", 0);
}

static int
handle_mode (struct mg_connection *connection, void *context)
{
  char to[16];

  (void)context;
  query_value (connection, "to", to, sizeof to);
  pthread_mutex_lock (&topics_lock);
  is_down = strcmp (to, "down") == 0;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&topics_lock);
  return send_response (connection, 200, "", 0);
}

static int
handle_page (struct mg_connection *connection, void *context)
{
  char items[16];

  (void)context;
  query_value (connection, "items", items, sizeof items);
  pthread_mutex_lock (&topics_lock);
  page_items = (unsigned)strtoul (items, NULL, 10);
  pthread_mutex_unlock (&topics_lock);
  return send_response (connection, 200, "", 0);
}

static int
handle_forget (struct mg_connection *connection, void *context)
{
  char name[64];
  struct topic *t;

  (void)context;
  query_value (connection, "topic", name, sizeof name);
  pthread_mutex_lock (&topics_lock);
  t = find_topic (name);
  t->first = t->end;
  pthread_mutex_unlock (&topics_lock);
  return send_response (connection, 200, "", 0);
}

static int
handle_copy (struct mg_connection *connection, void *context)
{
  (void)context;
  pthread_mutex_lock (&topics_lock);
  for (int i = 0; i < MAX_TOPICS; i++)
    {
      topics[i].copied_first = topics[i].first;
      topics[i].copied_end = topics[i].end;
    }
  pthread_mutex_unlock (&topics_lock);
  return send_response (connection, 200, "", 0);
}

static int
handle_restore (struct mg_connection *connection, void *context)
{
  char empty[64];

  (void)context;
  query_value (connection, "empty", empty, sizeof empty);
  pthread_mutex_lock (&topics_lock);
  for (int i = 0; i < MAX_TOPICS; i++)
    {
      struct topic *t = &topics[i];
      bool keep = !*empty || strcmp (t->name, empty) != 0;

      t->first = keep ? t->copied_first : 0;
      t->end = keep ? t->copied_end : 0;
    }
  era++;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&topics_lock);
  return send_response (connection, 200, "", 0);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  if (key != 'a')
    return ARGP_ERR_UNKNOWN;
  *(const char **)state->input = arg;
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[]
      = { { "address", 'a', "IP:PORT", 0, "Address to listen on", 0 }, { 0 } };
  static const struct argp argp
      = { options, parse_option, NULL, "Stand-in for the users' store.",
          NULL,    NULL,         NULL };
  static const struct standin_handler handlers[] = {
    { "/log-read$", handle_log_read },
    { "/log-newest$", handle_log_newest },
    { "/log-append$", handle_log_append },
    { "/put$", handle_put },
    { "/mode$", handle_mode },
    { "/page$", handle_page },
    { "/forget$", handle_forget },
    { "/copy$", handle_copy },
    { "/restore$", handle_restore },
  };
  const char *address = "127.0.0.1:0";

  argp_parse (&argp, argc, argv, 0, NULL, &address);
  return standin_serve (address, "64", handlers,
                        sizeof handlers / sizeof *handlers);
}

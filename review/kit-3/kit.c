#define _GNU_SOURCE
#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_ROUTERS 16
#define MAX_RUNNERS 32
#define HEARTBEAT_S 1.2
#define METRICS_PORT 9464

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char scratch[256];
static char root_path[512];
static int base_port;
static int net; /* Addresses are 127.NET.x.y.  */
static struct router routers[MAX_ROUTERS];
static int routers_count;
static struct runner *runners[MAX_RUNNERS];
static int runners_count;
static double begun;

static double
clock_s (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

double
now_s (void)
{
  return clock_s () - begun;
}

void
sleep_s (double seconds)
{
  struct timespec t;

  if (seconds <= 0)
    return;
  t.tv_sec = (time_t)seconds;
  t.tv_nsec = (long)((seconds - (double)t.tv_sec) * 1e9);
  while (nanosleep (&t, &t) && errno == EINTR)
    ;
}

void
record (const char *format, ...)
{
  char line[2048];
  va_list args;

  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  pthread_mutex_lock (&record_lock);
  if (record_file)
    {
      fprintf (record_file, "%8.3f  %s\n", now_s (), line);
      fflush (record_file);
    }
  printf ("%8.3f  %s\n", now_s (), line);
  fflush (stdout);
  pthread_mutex_unlock (&record_lock);
}

static void
end_all (void)
{
  for (int i = 0; i < routers_count; i++)
    if (routers[i].pid > 0)
      {
        kill (routers[i].pid, SIGCONT);
        kill (routers[i].pid, SIGKILL);
        waitpid (routers[i].pid, NULL, 0);
        routers[i].pid = 0;
      }
  if (*scratch && !getenv ("KEEP"))
    {
      char command[400];

      snprintf (command, sizeof command, "rm -rf '%s'", scratch);
      if (system (command))
        fprintf (stderr, "cannot remove %s\n", scratch);
    }
}

void
cannot_run (const char *format, ...)
{
  char line[1024];
  va_list args;

  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  record ("the case could not run: %s", line);
  end_all ();
  _exit (2);
}

void
kit_end (bool broken)
{
  end_all ();
  record ("%s", broken ? "BROKEN" : "held");
  _exit (broken ? 1 : 0);
}

bool
trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return !text || strcmp (text, "0") != 0;
}

void
start_thread (void *(*run) (void *), void *context)
{
  pthread_t thread;
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 256 * 1024);
  if (pthread_create (&thread, &attributes, run, context))
    cannot_run ("no thread");
  pthread_detach (thread);
}

/* Messages.  */

void
conn_init (struct conn *c, int fd)
{
  memset (c, 0, sizeof *c);
  c->fd = fd;
}

void
conn_close (struct conn *c)
{
  if (c->fd >= 0)
    close (c->fd);
  c->fd = -1;
  free (c->data);
  c->data = NULL;
  c->length = c->space = 0;
}

void
conn_reset (struct conn *c)
{
  const struct linger linger = { 1, 0 };

  if (c->fd >= 0)
    setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  conn_close (c);
}

bool
send_all (int fd, const void *data, size_t length)
{
  const char *at = data;

  while (length)
    {
      ssize_t n = send (fd, at, length, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      at += n;
      length -= (size_t)n;
    }
  return true;
}

/* Read more; 1, or 0 at the end, or -1 if it is reset or times out.  */
static int
fill (struct conn *c)
{
  ssize_t n;

  if (c->space - c->length < 16384)
    {
      c->space = c->space ? c->space * 2 : 32768;
      c->data = realloc (c->data, c->space);
      if (!c->data)
        abort ();
    }
  do
    n = recv (c->fd, c->data + c->length, c->space - c->length - 1, 0);
  while (n < 0 && errno == EINTR);
  if (n <= 0)
    return n < 0 ? -1 : 0;
  c->length += (size_t)n;
  return 1;
}

static void
consume (struct conn *c, size_t length)
{
  memmove (c->data, c->data + length, c->length - length);
  c->length -= length;
}

bool
find_header (const char *head, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);
  const char *line = strstr (head, "\r\n");

  for (; line && line[2] && line[2] != '\r'; line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, length) == 0 && line[2 + length] == ':')
      {
        const char *at = line + 3 + length;
        const char *end = strstr (at, "\r\n");

        while (*at == ' ')
          at++;
        snprintf (value, size, "%.*s", (int)(end - at), at);
        return true;
      }
  return false;
}

/* Take the head of a message; 1, 0 at the end of the connection, -1 if it
   breaks.  */
static int
read_head (struct conn *c, struct message *m)
{
  char *end;

  memset (m, 0, sizeof *m);
  m->end = "";
  for (;;)
    {
      int result;

      if (c->length)
        {
          c->data[c->length] = '\0';
          end = memmem (c->data, c->length, "\r\n\r\n", 4);
          if (end)
            break;
        }
      result = fill (c);
      if (result <= 0)
        return c->length && result == 0 ? -1 : result;
    }
  m->head = strndup (c->data, (size_t)(end + 4 - c->data));
  consume (c, (size_t)(end + 4 - c->data));
  return 1;
}

/* Take LENGTH bytes of the body.  */
static bool
read_bytes (struct conn *c, struct message *m, size_t length)
{
  while (c->length < length)
    if (fill (c) <= 0)
      return false;
  m->body = realloc (m->body, m->body_length + length + 1);
  if (length)
    memcpy (m->body + m->body_length, c->data, length);
  m->body_length += length;
  m->body[m->body_length] = '\0';
  consume (c, length);
  return true;
}

static bool
read_line (struct conn *c, char *line, size_t size)
{
  for (;;)
    {
      char *end = c->length ? memmem (c->data, c->length, "\r\n", 2) : NULL;

      if (end)
        {
          snprintf (line, size, "%.*s", (int)(end - c->data), c->data);
          consume (c, (size_t)(end + 2 - c->data));
          return true;
        }
      if (fill (c) <= 0)
        return false;
    }
}

static bool
read_chunks (struct conn *c, struct message *m)
{
  char line[256];

  for (;;)
    {
      size_t length;

      if (!read_line (c, line, sizeof line))
        return false;
      length = strtoul (line, NULL, 16);
      if (!length)
        break;
      if (!read_bytes (c, m, length) || !read_line (c, line, sizeof line))
        return false;
    }
  while (read_line (c, line, sizeof line))
    if (!*line)
      return true;
  return false;
}

bool
read_request (struct conn *c, struct message *m)
{
  char value[64];

  if (read_head (c, m) <= 0)
    return false;
  if (sscanf (m->head, "%15s %1023s", m->method, m->target) != 2)
    return false;
  m->body = calloc (1, 1);
  if (find_header (m->head, "Transfer-Encoding", value, sizeof value))
    return read_chunks (c, m);
  if (find_header (m->head, "Content-Length", value, sizeof value))
    return read_bytes (c, m, strtoul (value, NULL, 10));
  return true;
}

void
read_response (struct conn *c, struct message *m, bool bodiless)
{
  char value[64];
  int result = read_head (c, m);

  m->closes = true;
  if (result <= 0)
    {
      m->end = result ? "reset or silent before an answer" : "closed";
      return;
    }
  if (strncmp (m->head, "HTTP/1.1 ", 9) != 0)
    {
      m->end = "bytes that are no answer";
      return;
    }
  m->status = atoi (m->head + 9);
  m->body = calloc (1, 1);
  m->closes = find_header (m->head, "Connection", value, sizeof value)
              && strcasecmp (value, "close") == 0;
  if (bodiless)
    m->complete = true;
  else if (find_header (m->head, "Transfer-Encoding", value, sizeof value))
    m->complete = read_chunks (c, m);
  else if (find_header (m->head, "Content-Length", value, sizeof value))
    m->complete = read_bytes (c, m, strtoul (value, NULL, 10));
  else
    {
      m->closes = true;
      do
        {
          read_bytes (c, m, c->length);
          result = fill (c);
        }
      while (result > 0);
      m->complete = result == 0;
    }
  if (!m->complete)
    m->end = "cut off";
}

void
free_message (struct message *m)
{
  free (m->head);
  free (m->body);
  m->head = m->body = NULL;
}

static int
listen_at (struct sockaddr_in *address)
{
  static const int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)address, sizeof *address)
      || listen (fd, 1024))
    {
      close (fd);
      return -1;
    }
  return fd;
}

static struct sockaddr_in
make_address (const char *ip, int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET };

  inet_pton (AF_INET, ip, &a.sin_addr);
  a.sin_port = htons ((uint16_t)port);
  return a;
}

/* The store: topics of one partition.  */

struct entry
{
  char *key;
  size_t key_length;
  char *value;
  size_t value_length;
};

struct topic
{
  char name[128];
  struct entry *entries;
  uint64_t count;
};

static struct topic topics[32];
static int topics_count;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static struct sockaddr_in store_address;
static int store_listener;

static struct topic *
find_topic (const char *name)
{
  for (int i = 0; i < topics_count; i++)
    if (strcmp (topics[i].name, name) == 0)
      return &topics[i];
  if (topics_count == 32)
    cannot_run ("too many topics");
  snprintf (topics[topics_count].name, sizeof topics[0].name, "%s", name);
  return &topics[topics_count++];
}

static void
append_entry (struct topic *t, const char *key, size_t key_length,
              const char *value, size_t value_length)
{
  struct entry *e;

  t->entries = realloc (t->entries, (t->count + 1) * sizeof *t->entries);
  e = &t->entries[t->count++];
  e->key = malloc (key_length + 1);
  memcpy (e->key, key, key_length);
  e->key_length = key_length;
  e->value = malloc (value_length + 1);
  memcpy (e->value, value, value_length);
  e->value_length = value_length;
}

void
store_put (const char *topic, const char *key, const char *value)
{
  pthread_mutex_lock (&store_lock);
  append_entry (find_topic (topic), key, strlen (key), value, strlen (value));
  pthread_cond_broadcast (&store_changed);
  pthread_mutex_unlock (&store_lock);
}

void
store_remove (const char *topic, const char *key)
{
  store_put (topic, key, "");
}

void
put_config (const char *json)
{
  store_put ("keyed.op", "config", json);
}

static void
put_number (char *at, uint64_t value, int bytes)
{
  for (int i = bytes - 1; i >= 0; i--, value >>= 8)
    at[i] = (char)(value & 255);
}

static bool
query_text (const char *target, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);
  const char *at = strchr (target, '?');

  for (; at; at = strchr (at + 1, '&'))
    if (strncmp (at + 1, name, length) == 0 && at[1 + length] == '=')
      {
        const char *from = at + 2 + length;

        snprintf (value, size, "%.*s", (int)strcspn (from, "&"), from);
        return true;
      }
  return false;
}

static uint64_t
query_number (const char *target, const char *name, uint64_t fallback)
{
  char value[32];

  return query_text (target, name, value, sizeof value)
             ? strtoull (value, NULL, 10)
             : fallback;
}

static bool
reply (int fd, int status, const char *type, const char *body, size_t length)
{
  char head[256];
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: "
                    "%zu\r\n\r\n",
                    status, type, length);

  return send_all (fd, head, (size_t)n) && send_all (fd, body, length);
}

static bool
serve_read (struct conn *c, const struct message *m, const char *name)
{
  uint64_t from = query_number (m->target, "from", 0);
  uint64_t wait_ms = query_number (m->target, "wait_ms", 0);
  struct timespec until;
  struct topic *t;
  char *body;
  size_t length = 16;
  size_t space = 16;
  bool sent;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
  until.tv_sec += (time_t)(wait_ms / 1000) + until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  pthread_mutex_lock (&store_lock);
  t = find_topic (name);
  while (t->count <= from && wait_ms
         && pthread_cond_timedwait (&store_changed, &store_lock, &until) == 0)
    ;
  for (uint64_t i = from; i < t->count; i++)
    space += 5 + t->entries[i].key_length + t->entries[i].value_length;
  body = malloc (space);
  put_number (body, t->count, 8);
  put_number (body + 8, 0, 8);
  for (uint64_t i = from; i < t->count && length < 1000000; i++)
    {
      const struct entry *e = &t->entries[i];

      put_number (body + length, 1 + e->key_length + e->value_length, 4);
      body[length + 4] = (char)e->key_length;
      memcpy (body + length + 5, e->key, e->key_length);
      memcpy (body + length + 5 + e->key_length, e->value, e->value_length);
      length += 5 + e->key_length + e->value_length;
    }
  pthread_mutex_unlock (&store_lock);
  sent = reply (c->fd, 200, "application/octet-stream", body, length);
  free (body);
  return sent;
}

static void
encode_base64 (FILE *out, const char *data, size_t length)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

  for (size_t i = 0; i < length; i += 3)
    {
      unsigned v = (unsigned char)data[i] << 16;

      if (i + 1 < length)
        v |= (unsigned)(unsigned char)data[i + 1] << 8;
      if (i + 2 < length)
        v |= (unsigned char)data[i + 2];
      fputc (digits[v >> 18], out);
      fputc (digits[v >> 12 & 63], out);
      fputc (i + 1 < length ? digits[v >> 6 & 63] : '=', out);
      fputc (i + 2 < length ? digits[v & 63] : '=', out);
    }
}

static bool
serve_newest (struct conn *c, const char *name)
{
  char *body = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&body, &length);
  struct topic *t;
  bool first = true;
  bool sent;

  pthread_mutex_lock (&store_lock);
  t = find_topic (name);
  fprintf (out, "{\"items\":[");
  for (uint64_t i = 0; i < t->count; i++)
    {
      const struct entry *e = &t->entries[i];
      bool newest = e->value_length > 0;

      for (uint64_t j = i + 1; newest && j < t->count; j++)
        newest = t->entries[j].key_length != e->key_length
                 || memcmp (t->entries[j].key, e->key, e->key_length) != 0;
      if (!newest)
        continue;
      fprintf (out, "%s{\"key\":\"%.*s\",\"value\":\"", first ? "" : ",",
               (int)e->key_length, e->key);
      encode_base64 (out, e->value, e->value_length);
      fprintf (out, "\",\"offset\":%llu}", (unsigned long long)i);
      first = false;
    }
  fprintf (out, "],\"truncated\":false,\"end\":%llu}",
           (unsigned long long)t->count);
  pthread_mutex_unlock (&store_lock);
  fclose (out);
  sent = reply (c->fd, 200, "application/json", body, length);
  free (body);
  return sent;
}

static bool
serve_append (struct conn *c, const struct message *m, const char *name)
{
  char text[128];
  uint64_t at = query_number (m->target, "at", UINT64_MAX);
  struct topic *t;
  uint64_t offset;
  uint64_t end;
  bool fits;

  pthread_mutex_lock (&store_lock);
  t = find_topic (name);
  offset = t->count;
  fits = at == UINT64_MAX || at == offset;
  for (size_t i = 0; fits && i + 5 <= m->body_length;)
    {
      const unsigned char *b = (const unsigned char *)m->body + i;
      size_t length
          = (size_t)b[0] << 24 | (size_t)b[1] << 16 | (size_t)b[2] << 8 | b[3];
      size_t key = b[4];

      if (i + 4 + length > m->body_length || 1 + key > length)
        break;
      append_entry (t, (const char *)b + 5, key, (const char *)b + 5 + key,
                    length - 1 - key);
      i += 4 + length;
    }
  end = t->count;
  pthread_cond_broadcast (&store_changed);
  pthread_mutex_unlock (&store_lock);
  snprintf (text, sizeof text, "{\"offset\":%llu,\"end\":%llu}",
            (unsigned long long)offset, (unsigned long long)end);
  return reply (c->fd, fits ? 200 : 412, "application/json", text,
                strlen (text));
}

static void *
serve_store (void *context)
{
  struct conn *c = context;
  struct message m;
  bool open = true;

  while (open && read_request (c, &m))
    {
      char name[128] = "";

      query_text (m.target, "topic", name, sizeof name);
      if (strncmp (m.target, "/log-read", 9) == 0)
        open = serve_read (c, &m, name);
      else if (strncmp (m.target, "/log-newest", 11) == 0)
        open = serve_newest (c, name);
      else if (strncmp (m.target, "/log-append", 11) == 0)
        open = serve_append (c, &m, name);
      else
        open = reply (c->fd, 404, "application/json", "{}", 2);
      free_message (&m);
    }
  conn_close (c);
  free (c);
  return NULL;
}

static void *
accept_store (void *context)
{
  static const int on = 1;

  (void)context;
  for (;;)
    {
      int fd = accept4 (store_listener, NULL, NULL, SOCK_CLOEXEC);
      struct conn *c;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      c = malloc (sizeof *c);
      conn_init (c, fd);
      start_thread (serve_store, c);
    }
  return NULL;
}

/* Runners.  */

static void
write_entry (struct runner *r)
{
  char value[512];
  char ip[32];

  inet_ntop (AF_INET, &r->address.sin_addr, ip, sizeof ip);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
            "\"cold_remaining_ms\":0,\"born\":%lld,\"sequence\":%u}",
            r->service, ip, ntohs (r->address.sin_port), r->zone, r->slots,
            r->state, (long long)r->born, ++r->sequence);
  store_put ("keyed.servers", r->id, value);
}

static void *
write_entries (void *context)
{
  (void)context;
  for (;;)
    {
      for (int i = 0; i < runners_count; i++)
        if (runners[i]->state)
          write_entry (runners[i]);
      sleep_s (HEARTBEAT_S);
    }
  return NULL;
}

bool
answer (struct conn *c, const struct message *m, int status,
        const char *extra_headers, const char *body, size_t length)
{
  char id[128] = "";
  char head[1024];
  int n;

  find_header (m->head, "X-Request-Attempt-Id", id, sizeof id);
  n = snprintf (head, sizeof head,
                "HTTP/1.1 %d X\r\nX-Request-Attempt-Id: %s\r\n"
                "X-Response-Signature: sig-%s\r\n%sContent-Length: "
                "%zu\r\n\r\n",
                status, id, id, extra_headers ? extra_headers : "", length);
  return send_all (c->fd, head, (size_t)n) && send_all (c->fd, body, length);
}

struct runner_conn
{
  struct runner *runner;
  struct conn conn;
};

static void *
serve_runner (void *context)
{
  struct runner_conn *rc = context;
  struct runner *r = rc->runner;
  struct message m;
  bool open = true;

  while (open && read_request (&rc->conn, &m))
    {
      char expected[128];
      char head[256];

      if (strcmp (m.target, "/health") == 0)
        {
          snprintf (head, sizeof head,
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: "
                    "0\r\n\r\n",
                    r->id);
          open = send_all (rc->conn.fd, head, strlen (head));
        }
      else if (find_header (m.head, "X-Expected-Instance", expected,
                            sizeof expected)
               && strcmp (expected, r->id) != 0)
        {
          snprintf (head, sizeof head,
                    "HTTP/1.1 421 X\r\nX-Instance-Id: %s\r\nContent-Length: "
                    "0\r\n\r\n",
                    r->id);
          open = send_all (rc->conn.fd, head, strlen (head));
        }
      else
        open = r->handle (r, &rc->conn, &m);
      free_message (&m);
    }
  conn_close (&rc->conn);
  free (rc);
  return NULL;
}

static void *
accept_runner (void *context)
{
  static const int on = 1;
  struct runner *r = context;

  for (;;)
    {
      int fd = accept4 (r->listener, NULL, NULL, SOCK_CLOEXEC);
      struct runner_conn *rc;

      if (fd < 0)
        return NULL;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      rc = malloc (sizeof *rc);
      rc->runner = r;
      conn_init (&rc->conn, fd);
      start_thread (serve_runner, rc);
    }
}

struct runner *
runner_start (const char *id, const char *service, const char *zone, int slots,
              runner_handle *handle, void *context)
{
  struct runner *r = calloc (1, sizeof *r);
  struct timespec t;
  char ip[32];

  clock_gettime (CLOCK_REALTIME, &t);
  snprintf (r->id, sizeof r->id, "%s", id);
  snprintf (ip, sizeof ip, "127.%d.%d.1", net, 100 + runners_count);
  r->service = service;
  r->zone = zone;
  r->slots = slots;
  r->state = "ready";
  r->born = (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
  r->handle = handle;
  r->context = context;
  r->address = make_address (ip, base_port + 9);
  r->listener = listen_at (&r->address);
  if (r->listener < 0)
    cannot_run ("runner %s cannot listen", id);
  runners[runners_count++] = r;
  write_entry (r);
  start_thread (accept_runner, r);
  return r;
}

/* Routers.  */

struct value
{
  char name[64];
  char text[256];
};

static struct value values[64];
static int values_count;

static void
set_value (const char *name, const char *format, ...)
{
  va_list args;

  snprintf (values[values_count].name, sizeof values[0].name, "%s", name);
  va_start (args, format);
  vsnprintf (values[values_count++].text, sizeof values[0].text, format, args);
  va_end (args);
}

static const char *
get_value (const char *name, size_t length)
{
  for (int i = 0; i < values_count; i++)
    if (strlen (values[i].name) == length
        && memcmp (values[i].name, name, length) == 0)
      return values[i].text;
  return "";
}

/* Render the part of the template from AT up to END.  */
static void
render (FILE *out, const char *at, const char *end)
{
  while (at < end)
    {
      const char *open = memmem (at, (size_t)(end - at), "{{", 2);
      const char *close;
      const char *name;
      size_t length;

      if (!open)
        {
          fwrite (at, 1, (size_t)(end - at), out);
          return;
        }
      fwrite (at, 1, (size_t)(open - at), out);
      close = strstr (open, "}}");
      name = open + 2;
      length = (size_t)(close - name);
      at = close + 2;
      if (*name == '#' || *name == '^')
        {
          char mark[128];
          const char *text = get_value (name + 1, length - 1);
          bool holds = *text && strcmp (text, "false") != 0;
          const char *until;

          snprintf (mark, sizeof mark, "{{/%.*s}}", (int)length - 1, name + 1);
          until = strstr (at, mark);
          if (holds == (*name == '#'))
            render (out, at, until);
          at = until + strlen (mark);
        }
      else
        fputs (get_value (name, length), out);
    }
}

static void
write_settings (struct router *r, const char *zone, bool first)
{
  char path[600];
  static char template[65536];
  FILE *in;
  FILE *out;
  size_t length;

  values_count = 0;
  set_value ("node_name", "frontend-%s-%d", zone, r->number);
  set_value ("zone", "%s", zone);
  set_value ("region", "sul-rs");
  set_value ("ip_address", "%s", r->ip);
  set_value ("listen_addresses.frontend", "%s:%d", r->ip, base_port + 3);
  set_value ("listen_addresses.ready", "%s:%d", r->ip, base_port);
  set_value ("listen_addresses.control_plane", "%s:%d", r->ip, base_port + 5);
  set_value ("listen_addresses.directory", "%s:%d", r->ip, base_port + 7);
  set_value ("platform.address", "127.%d.200.7:%d", net, base_port + 1);
  set_value ("internal_port_range.0", "%d", base_port + 20);
  set_value ("seed_nodes|json",
             "[\"127.%d.1.1:%d\",\"127.%d.2.1:%d\",\"127.%d.3.1:%d\"]", net,
             base_port + 5, net, base_port + 5, net, base_port + 5);
  set_value ("limits.memory_mb", "%d", r->memory_mb);
  set_value ("limits.cpu_share", "0.25");
  set_value ("limits.file_descriptors", "4100");
  set_value ("heartbeat_interval_ms", "1200");
  set_value ("first_start", first ? "true" : "false");
  set_value ("bounds.grace_period_s", "8");
  set_value ("bounds.config_apply_ms", "2000");
  set_value ("bounds.drain_timeout_ms", "2000");
  set_value ("bounds.strict_revocation", "true");
  set_value ("bounds.revocation_ms", "5000");
  set_value ("bounds.retry_budget_ratio", "0.2");
  set_value ("bounds.retry_window_s", "10");
  set_value ("bounds.retry_budget_slack", "58");
  set_value ("bounds.cold_burst_factor", "1.5");
  set_value ("bounds.cold_slack", "5");
  set_value ("bounds.ttl_max_s", "5");
  snprintf (path, sizeof path, "%s/platform/settings.yaml", root_path);
  in = fopen (path, "r");
  if (!in)
    cannot_run ("no template of the settings");
  length = fread (template, 1, sizeof template - 1, in);
  template[length] = '\0';
  fclose (in);
  out = fopen (r->settings, "w");
  if (!out)
    cannot_run ("settings cannot be written");
  render (out, template, template + length);
  fclose (out);
}

static void
start_process (struct router *r)
{
  pid_t pid = fork ();

  if (pid < 0)
    cannot_run ("fork");
  if (pid == 0)
    {
      char variable[600];
      char *argv[] = { (char *)"target/monsoonspur-gateway", NULL };
      char *envp[] = { variable, (char *)"PATH=/usr/bin:/bin",
                       (char *)"LANG=C.UTF-8", NULL };
      int fd = open (r->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      signal (SIGPIPE, SIG_DFL);
      snprintf (variable, sizeof variable, "MONSOONSPUR_CONFIG=%s",
                r->settings);
      dup2 (fd, 1);
      dup2 (fd, 2);
      if (chdir (root_path))
        _exit (127);
      execve (argv[0], argv, envp);
      _exit (127);
    }
  r->pid = pid;
  r->starts++;
}

struct router *
router_start (int number, const char *zone, int memory_mb)
{
  struct router *r = &routers[routers_count++];

  r->number = number;
  r->memory_mb = memory_mb;
  snprintf (r->ip, sizeof r->ip, "127.%d.%d.1", net, number);
  snprintf (r->settings, sizeof r->settings, "%s/router-%d.yaml", scratch,
            number);
  snprintf (r->log, sizeof r->log, "%s/router-%d.log", scratch, number);
  write_settings (r, zone, true);
  start_process (r);
  return r;
}

void
router_again (struct router *r)
{
  start_process (r);
}

bool
router_runs (struct router *r)
{
  if (r->pid > 0 && waitpid (r->pid, NULL, WNOHANG) == r->pid)
    r->pid = 0;
  return r->pid > 0;
}

void
router_signal (struct router *r, int signal)
{
  if (r->pid > 0)
    kill (r->pid, signal);
}

static struct conn
connect_to (struct sockaddr_in address, int receive_bytes)
{
  static const int on = 1;
  static const struct timeval limit = { 20, 0 };
  struct conn c;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (receive_bytes)
    {
      int segment = 536;

      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                  sizeof receive_bytes);
      setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&address, sizeof address))
    {
      close (fd);
      fd = -1;
    }
  conn_init (&c, fd);
  return c;
}

struct conn
client_connect (struct router *r, int receive_bytes)
{
  return connect_to (make_address (r->ip, base_port + 3), receive_bytes);
}

bool
client_send (struct conn *c, const char *method, const char *path,
             const char *headers, const void *body, size_t length, char id[32])
{
  static unsigned long next;
  char text[32];
  char *head;
  int n;
  bool sent;

  snprintf (text, sizeof text, "%08lx%08lx",
            (unsigned long)getpid () & 0xffffffff,
            __atomic_add_fetch (&next, 1, __ATOMIC_RELAXED));
  if (id)
    memcpy (id, text, sizeof text);
  n = asprintf (&head,
                "%s %s HTTP/1.1\r\nHost: " HOST
                "\r\nX-Request-Attempt-Id: %s\r\n%s",
                method, path, text, headers ? headers : "");
  if (n < 0)
    abort ();
  /* In one piece.  */
  head = realloc (head, (size_t)n + 64 + length);
  if (length || strcmp (method, "POST") == 0)
    n += sprintf (head + n, "Content-Length: %zu\r\n", length);
  n += sprintf (head + n, "\r\n");
  if (length)
    memcpy (head + n, body, length);
  sent = send_all (c->fd, head, (size_t)n + length);
  free (head);
  return sent;
}

bool
router_ready (struct router *r)
{
  struct conn c = connect_to (make_address (r->ip, base_port), 0);
  struct message m = { 0 };
  bool ready = false;
  static const char text[]
      = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

  if (c.fd < 0)
    return false;
  if (send_all (c.fd, text, sizeof text - 1))
    {
      read_response (&c, &m, false);
      ready = m.status == 200;
      free_message (&m);
    }
  conn_close (&c);
  return ready;
}

bool
router_wait_ready (struct router *r, double seconds)
{
  double until = now_s () + seconds;

  while (now_s () < until)
    {
      if (router_ready (r))
        return true;
      sleep_s (0.05);
    }
  return false;
}

long
router_memory_kib (struct router *r)
{
  char path[64];
  char line[256];
  long kib = 0;
  FILE *in;

  if (r->pid <= 0)
    return 0;
  snprintf (path, sizeof path, "/proc/%d/status", (int)r->pid);
  in = fopen (path, "r");
  if (!in)
    return 0;
  while (fgets (line, sizeof line, in))
    if (sscanf (line, "VmRSS: %ld", &kib) == 1)
      break;
  fclose (in);
  return kib;
}

double
router_metric (struct router *r, const char *name)
{
  struct conn c = connect_to (make_address (r->ip, METRICS_PORT), 0);
  struct message m = { 0 };
  double value = -1;
  static const char text[]
      = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

  if (c.fd < 0)
    return value;
  if (send_all (c.fd, text, sizeof text - 1))
    {
      char *at;

      read_response (&c, &m, false);
      at = m.body ? strstr (m.body, name) : NULL;
      if (at)
        value = atof (at + strlen (name));
      free_message (&m);
    }
  conn_close (&c);
  return value;
}

/* Whether the ports of the routers are free; METRICS_PORT is in the template
   of their settings.  */
static bool
ports_are_free (int base)
{
  for (int i = 1; i <= 9; i++)
    for (int port = base; port <= base + 10; port++)
      {
        char ip[32];
        struct sockaddr_in a;
        int fd;

        snprintf (ip, sizeof ip, "127.%d.%d.1", net, i);
        a = make_address (ip, port == base + 10 ? METRICS_PORT : port);
        fd = listen_at (&a);
        if (fd < 0)
          return false;
        close (fd);
      }
  return true;
}

void
kit_begin (const char *folder, const char *root)
{
  char path[600];

  signal (SIGPIPE, SIG_IGN);
  begun = clock_s ();
  snprintf (root_path, sizeof root_path, "%s", root);
  snprintf (path, sizeof path, "%s/record.txt", folder);
  record_file = fopen (path, "w");
  snprintf (scratch, sizeof scratch, "%s/review-3-XXXXXX",
            getenv ("TMPDIR") ? getenv ("TMPDIR") : "/tmp");
  if (!mkdtemp (scratch))
    cannot_run ("no temporary folder");
  srandom ((unsigned)getpid ());
  /* Programs that run at the same time use other addresses.  */
  for (int i = 0; i < 50 && !base_port; i++)
    {
      int base = 12000 + (int)(random () % 180) * 100;

      char ip[32];

      net = 16 + (int)(random () % 200);
      snprintf (ip, sizeof ip, "127.%d.200.7", net);
      store_address = make_address (ip, base + 1);
      store_listener = listen_at (&store_address);
      if (store_listener >= 0 && ports_are_free (base))
        base_port = base;
      else if (store_listener >= 0)
        close (store_listener);
    }
  if (!base_port)
    cannot_run ("no free ports");
  start_thread (accept_store, NULL);
  start_thread (write_entries, NULL);
  record ("begin, %s trouble", trouble () ? "with" : "without");
}

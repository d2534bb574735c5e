#define _GNU_SOURCE
#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

long
kit_now (void)
{
  static struct timespec start;
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  if (!start.tv_sec)
    start = now;
  return (now.tv_sec - start.tv_sec) * 1000
         + (now.tv_nsec - start.tv_nsec) / 1000000;
}

void
kit_sleep (long ms)
{
  if (ms > 0)
    usleep ((useconds_t)ms * 1000);
}

void
kit_open_record (const char *path)
{
  signal (SIGPIPE, SIG_IGN);
  kit_now ();
  record = fopen (path, "w");
  if (!record)
    kit_cannot_run ("record.txt cannot be written");
}

void
kit_record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record, "%7.3f ", (double)kit_now () / 1000);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

void
kit_cannot_run (const char *why)
{
  fprintf (stderr, "cannot run: %s\n", why);
  if (record)
    kit_record ("cannot run: %s", why);
  exit (2);
}

void
kit_thread (void *(*run) (void *), void *context)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 512 * 1024);
  if (pthread_create (&thread, &attributes, run, context))
    kit_cannot_run ("no thread");
  pthread_attr_destroy (&attributes);
}

void
kit_free (struct kit_message *m)
{
  free (m->head);
  free (m->body);
  memset (m, 0, sizeof *m);
}

bool
kit_header (const struct kit_message *m, const char *name, char *value,
            size_t size)
{
  const char *line = m->head ? strstr (m->head, "\r\n") : NULL;
  size_t length = strlen (name);

  value[0] = '\0';
  while (line && line[2] && line[2] != '\r')
    {
      const char *end = strstr (line + 2, "\r\n");

      line += 2;
      if (end && strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *from = line + length + 1;

          while (*from == ' ')
            from++;
          snprintf (value, size, "%.*s", (int)(end - from), from);
          return true;
        }
      line = end;
    }
  return false;
}

/* Read more; 1 if there is some, 0 at an orderly end, -1 else.  */
static int
fill (struct kit_conn *c, long timeout_ms)
{
  struct pollfd p = { .fd = c->fd, .events = POLLIN };
  ssize_t n;

  if (c->at == c->end)
    c->at = c->end = 0;
  if (poll (&p, 1, timeout_ms > 0 ? (int)timeout_ms : 0) <= 0)
    return -1;
  n = read (c->fd, c->buffer + c->end, sizeof c->buffer - c->end);
  if (n > 0)
    c->end += (size_t)n;
  return n > 0 ? 1 : n == 0 ? 0 : -1;
}

/* Append up to LENGTH bytes of the connection to the body.  */
static int
take_body (struct kit_conn *c, struct kit_message *m, size_t length,
           long until)
{
  while (length)
    {
      size_t n = c->end - c->at;

      if (!n)
        {
          int more = fill (c, until - kit_now ());

          if (more <= 0)
            return more;
          continue;
        }
      if (n > length)
        n = length;
      m->body = realloc (m->body, m->body_length + n + 1);
      memcpy (m->body + m->body_length, c->buffer + c->at, n);
      m->body_length += n;
      m->body[m->body_length] = '\0';
      c->at += n;
      length -= n;
    }
  return 1;
}

/* Take bytes up to and with the text END, whose offset from the current place
   is returned; -1 if there is none.  */
static long
find_text (struct kit_conn *c, const char *text, long until)
{
  for (;;)
    {
      char *found
          = memmem (c->buffer + c->at, c->end - c->at, text, strlen (text));

      if (found)
        return found - (c->buffer + c->at) + (long)strlen (text);
      if (c->at)
        {
          memmove (c->buffer, c->buffer + c->at, c->end - c->at);
          c->end -= c->at;
          c->at = 0;
        }
      if (c->end == sizeof c->buffer || fill (c, until - kit_now ()) <= 0)
        return -1;
    }
}

static bool
take_chunks (struct kit_conn *c, struct kit_message *m, long until)
{
  for (;;)
    {
      long line = find_text (c, "\r\n", until);
      size_t size;
      size_t kept;

      if (line < 0)
        return false;
      size = strtoul (c->buffer + c->at, NULL, 16);
      c->at += (size_t)line;
      if (take_body (c, m, size, until) <= 0)
        return false;
      kept = m->body_length;
      if (take_body (c, m, 2, until) <= 0)
        return false;
      m->body_length = kept;
      m->body[kept] = '\0';
      if (!size)
        return true;
    }
}

bool
kit_read (struct kit_conn *c, struct kit_message *m, bool response,
          long timeout_ms)
{
  long until = kit_now () + timeout_ms;
  char value[64];
  long length;

  memset (m, 0, sizeof *m);
  length = find_text (c, "\r\n\r\n", until);
  if (length < 0)
    return false;
  m->head = strndup (c->buffer + c->at, (size_t)length);
  c->at += (size_t)length;
  if (response)
    sscanf (m->head, "HTTP/1.%*d %d", &m->status);
  else
    sscanf (m->head, "%15s %1023s", m->method, m->target);
  kit_header (m, "Connection", value, sizeof value);
  m->keeps = strcasecmp (value, "close") != 0;
  if (kit_header (m, "Content-Length", value, sizeof value))
    m->whole = take_body (c, m, strtoul (value, NULL, 10), until) > 0;
  else if (kit_header (m, "Transfer-Encoding", value, sizeof value))
    m->whole = take_chunks (c, m, until);
  else if (response && m->status != 204 && m->status != 304)
    {
      m->whole = take_body (c, m, SIZE_MAX, until) == 0;
      m->keeps = false;
    }
  else
    m->whole = true;
  return true;
}

bool
kit_write (int fd, const char *data, size_t length)
{
  while (length)
    {
      ssize_t n = send (fd, data, length, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      data += n;
      length -= (size_t)n;
    }
  return true;
}

bool
kit_print (int fd, const char *format, ...)
{
  char *text;
  va_list args;
  bool written;
  int n;

  va_start (args, format);
  n = vasprintf (&text, format, args);
  va_end (args);
  written = n >= 0 && kit_write (fd, text, (size_t)n);
  if (n >= 0)
    free (text);
  return written;
}

static struct sockaddr_in
address_of (const char *ip, int port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

int
kit_connect (const char *ip, int port)
{
  struct sockaddr_in address = address_of (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  struct pollfd p = { .fd = fd, .events = POLLOUT };
  socklen_t size = sizeof (int);
  int one = 1;
  int error = 0;

  if (connect (fd, (struct sockaddr *)&address, sizeof address)
      && (errno != EINPROGRESS || poll (&p, 1, 1000) <= 0
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) || error))
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

void
kit_reset (int fd)
{
  const struct linger linger = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

struct server
{
  int fd;
  kit_handler *handle;
  void *context;
};

struct served
{
  struct server *server;
  struct kit_conn conn;
};

static void *
run_connection (void *context)
{
  struct served *s = context;
  struct kit_message m;
  bool goes_on = true;

  while (goes_on && kit_read (&s->conn, &m, false, 3600000))
    {
      goes_on = s->server->handle (s->server->context, &s->conn, &m);
      kit_free (&m);
    }
  if (s->conn.fd >= 0)
    close (s->conn.fd);
  free (s);
  return NULL;
}

static void *
run_server (void *context)
{
  struct server *server = context;

  for (;;)
    {
      int one = 1;
      int fd = accept (server->fd, NULL, NULL);
      struct served *s;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      s = calloc (1, sizeof *s);
      s->server = server;
      s->conn.fd = fd;
      kit_thread (run_connection, s);
    }
  return NULL;
}

void
kit_serve (const char *ip, int port, kit_handler *handle, void *context)
{
  struct sockaddr_in address = address_of (ip, port);
  struct server *server = calloc (1, sizeof *server);
  int one = 1;

  server->fd = socket (AF_INET, SOCK_STREAM, 0);
  server->handle = handle;
  server->context = context;
  setsockopt (server->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (server->fd, (struct sockaddr *)&address, sizeof address)
      || listen (server->fd, 512))
    kit_cannot_run ("a port is in use");
  kit_thread (run_server, server);
}

/* The store.  */

#define MAX_TOPICS 16
#define MAX_RECORDS 20000

struct stored
{
  unsigned char *data; /* Length of the key in a byte, key, value.  */
  size_t length;
};

static struct topic
{
  char name[64];
  struct stored *records;
  size_t end;
} topics[MAX_TOPICS];
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static bool store_down;

static struct topic *
find_topic (const char *name)
{
  for (int i = 0; i < MAX_TOPICS; i++)
    {
      if (!topics[i].name[0])
        {
          snprintf (topics[i].name, sizeof topics[i].name, "%s", name);
          topics[i].records = calloc (MAX_RECORDS, sizeof (struct stored));
        }
      if (strcmp (topics[i].name, name) == 0)
        return &topics[i];
    }
  kit_cannot_run ("too many topics");
}

static void
append (struct topic *t, const void *data, size_t length)
{
  if (t->end == MAX_RECORDS)
    kit_cannot_run ("the store is full");
  t->records[t->end].data = malloc (length + 1);
  memcpy (t->records[t->end].data, data, length);
  t->records[t->end++].length = length;
  pthread_cond_broadcast (&store_changed);
}

void
kit_store_put (const char *topic, const char *key, const char *value)
{
  size_t length = 1 + strlen (key) + strlen (value);
  char *data = malloc (length + 1);

  data[0] = (char)strlen (key);
  sprintf (data + 1, "%s%s", key, value);
  pthread_mutex_lock (&store_lock);
  append (find_topic (topic), data, length);
  pthread_mutex_unlock (&store_lock);
  free (data);
}

void
kit_store_set_down (bool down)
{
  pthread_mutex_lock (&store_lock);
  store_down = down;
  pthread_cond_broadcast (&store_changed);
  pthread_mutex_unlock (&store_lock);
}

/* Copy the query parameter NAME of TARGET.  */
static const char *
parameter (const char *target, const char *name, char *value, size_t size)
{
  const char *at = strchr (target, '?');
  size_t length = strlen (name);

  value[0] = '\0';
  while (at)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          snprintf (value, size, "%.*s", (int)strcspn (at + length + 1, "&"),
                    at + length + 1);
          return value;
        }
      at = strchr (at, '&');
    }
  return value;
}

struct text
{
  char *data;
  size_t length;
};

static void
add (struct text *t, const void *data, size_t length)
{
  t->data = realloc (t->data, t->length + length + 1);
  memcpy (t->data + t->length, data, length);
  t->length += length;
  t->data[t->length] = '\0';
}

static void
add_number (struct text *t, uint64_t number, int bytes)
{
  for (int i = bytes - 1; i >= 0; i--)
    {
      char c = (char)(number >> (8 * i));

      add (t, &c, 1);
    }
}

static void
add_base64 (struct text *t, const unsigned char *data, size_t length)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
                               "uvwxyz0123456789+/";

  for (size_t i = 0; i < length; i += 3)
    {
      size_t rest = length - i;
      uint32_t n = (uint32_t)data[i] << 16
                   | (rest > 1 ? (uint32_t)data[i + 1] << 8 : 0)
                   | (rest > 2 ? data[i + 2] : 0);
      char out[4] = { digits[n >> 18], digits[n >> 12 & 63],
                      rest > 1 ? digits[n >> 6 & 63] : '=',
                      rest > 2 ? digits[n & 63] : '=' };

      add (t, out, 4);
    }
}

static bool
is_newest (const struct topic *t, size_t i)
{
  const struct stored *r = &t->records[i];

  if (r->length == 1u + r->data[0])
    return false;
  for (size_t j = i + 1; j < t->end; j++)
    if (t->records[j].data[0] == r->data[0]
        && memcmp (t->records[j].data, r->data, 1u + r->data[0]) == 0)
      return false;
  return true;
}

static bool
answer (struct kit_conn *c, int status, const struct text *body)
{
  return kit_print (c->fd, "HTTP/1.1 %d -\r\nContent-Length: %zu\r\n\r\n",
                    status, body->length)
         && kit_write (c->fd, body->data ? body->data : "", body->length);
}

/* Wait until the store is up again, whose answer is lost.  Called and returns
   with the lock.  */
static void
await_up (void)
{
  while (store_down)
    pthread_cond_wait (&store_changed, &store_lock);
}

static bool
read_log (struct kit_conn *c, struct topic *t, const char *target)
{
  char value[32];
  size_t from = strtoul (parameter (target, "from", value, 32), NULL, 10);
  long wait = strtol (parameter (target, "wait_ms", value, 32), NULL, 10);
  long until = kit_now () + wait;
  struct text out = { 0 };
  bool lost = store_down;
  bool result;

  while (t->end <= from && kit_now () < until && !store_down)
    {
      struct timespec at;

      clock_gettime (CLOCK_REALTIME, &at);
      at.tv_nsec += 5000000;
      if (at.tv_nsec >= 1000000000)
        {
          at.tv_sec++;
          at.tv_nsec -= 1000000000;
        }
      pthread_cond_timedwait (&store_changed, &store_lock, &at);
    }
  lost = lost || store_down;
  if (lost)
    {
      await_up ();
      return false;
    }
  add_number (&out, t->end, 8);
  add_number (&out, 0, 8);
  for (size_t i = from; i < t->end; i++)
    {
      add_number (&out, t->records[i].length, 4);
      add (&out, t->records[i].data, t->records[i].length);
    }
  result = answer (c, 200, &out);
  free (out.data);
  return result;
}

static bool
read_newest (struct kit_conn *c, const struct topic *t)
{
  struct text out = { 0 };
  char piece[512];
  bool result;

  add (&out, "{\"items\":[", 10);
  for (size_t i = 0; i < t->end; i++)
    {
      const struct stored *r = &t->records[i];

      if (!is_newest (t, i))
        continue;
      add (&out, piece,
           (size_t)sprintf (piece, "%s{\"key\":\"%.*s\",\"value\":\"",
                            out.length > 10 ? "," : "", r->data[0],
                            (const char *)r->data + 1));
      add_base64 (&out, r->data + 1 + r->data[0], r->length - 1 - r->data[0]);
      add (&out, piece, (size_t)sprintf (piece, "\",\"offset\":%zu}", i));
    }
  add (&out, piece,
       (size_t)sprintf (piece, "],\"truncated\":false,\"end\":%zu}", t->end));
  result = answer (c, 200, &out);
  free (out.data);
  return result;
}

static bool
append_log (struct kit_conn *c, struct topic *t, const struct kit_message *m)
{
  char at_text[32];
  char body[96];
  struct text out = { body, 0 };
  size_t at = 0;
  size_t offset = t->end;

  if (*parameter (m->target, "at", at_text, 32)
      && strtoul (at_text, NULL, 10) != t->end)
    {
      out.length = (size_t)sprintf (body, "{\"end\":%zu}", t->end);
      return answer (c, 412, &out);
    }
  while (at + 4 <= m->body_length)
    {
      const unsigned char *p = (const unsigned char *)m->body + at;
      size_t length = (size_t)p[0] << 24 | (size_t)p[1] << 16
                      | (size_t)p[2] << 8 | p[3];

      append (t, p + 4, length);
      at += 4 + length;
    }
  out.length = (size_t)sprintf (body, "{\"offset\":%zu,\"end\":%zu}", offset,
                                t->end);
  return answer (c, 200, &out);
}

static bool
handle_store (void *context, struct kit_conn *c, const struct kit_message *m)
{
  char name[64];
  struct topic *t;
  bool goes_on = false;

  (void)context;
  pthread_mutex_lock (&store_lock);
  t = find_topic (parameter (m->target, "topic", name, sizeof name));
  if (strncmp (m->target, "/log-read?", 10) == 0)
    goes_on = read_log (c, t, m->target);
  else if (store_down)
    await_up ();
  else if (strncmp (m->target, "/log-newest?", 12) == 0)
    goes_on = read_newest (c, t);
  else if (strncmp (m->target, "/log-append?", 12) == 0)
    goes_on = append_log (c, t, m);
  pthread_mutex_unlock (&store_lock);
  return goes_on;
}

void
kit_store_start (int port)
{
  kit_serve ("127.0.0.1", port, handle_store, NULL);
}

void
kit_await_ready (const char *ip, int port)
{
  for (long until = kit_now () + 15000; kit_now () < until; kit_sleep (50))
    {
      struct kit_conn *c = calloc (1, sizeof *c);
      struct kit_message m = { 0 };
      int status = 0;

      c->fd = kit_connect (ip, port);
      if (c->fd >= 0)
        {
          kit_print (c->fd, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
          if (kit_read (c, &m, true, 1000))
            status = m.status;
          kit_free (&m);
          close (c->fd);
        }
      free (c);
      if (status == 200)
        return;
    }
  kit_cannot_run ("a gateway does not become ready");
}

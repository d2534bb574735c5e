#define _GNU_SOURCE
#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static struct timespec started;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char scratch[64];
static pid_t routers[16];
static int routers_count;
static int store_port;

/* Basics.  */

double
kit_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)(now.tv_sec - started.tv_sec)
         + (double)(now.tv_nsec - started.tv_nsec) / 1e9;
}

void
kit_sleep (double seconds)
{
  struct timespec t = { (time_t)seconds,
                        (long)((seconds - (double)(time_t)seconds) * 1e9) };

  while (nanosleep (&t, &t) && errno == EINTR)
    ;
}

void
kit_record (const char *format, ...)
{
  va_list args;
  char text[2048];

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  pthread_mutex_lock (&record_lock);
  if (record)
    fprintf (record, "%8.3f %s\n", kit_now (), text);
  if (record)
    fflush (record);
  printf ("%8.3f %s\n", kit_now (), text);
  fflush (stdout);
  pthread_mutex_unlock (&record_lock);
}

bool
kit_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return !value || strcmp (value, "0") != 0;
}

static void
remove_scratch (void)
{
  char path[128];

  for (int i = 0; i < 16; i++)
    {
      snprintf (path, sizeof path, "%s/r%d.yaml", scratch, i);
      unlink (path);
      if (getenv ("KEEP"))
        continue;
      snprintf (path, sizeof path, "%s/r%d.log", scratch, i);
      unlink (path);
    }
  rmdir (scratch);
}

void
kit_end (int status)
{
  for (int i = 0; i < routers_count; i++)
    if (routers[i] > 0)
      {
        kill (routers[i], SIGCONT);
        kill (routers[i], SIGKILL);
        waitpid (routers[i], NULL, 0);
      }
  remove_scratch ();
  kit_record ("end: %s", status == 0   ? "the rule held"
                         : status == 1 ? "the rule was broken"
                                       : "the case could not run");
  exit (status);
}

static void *
watch_limit (void *limit)
{
  kit_sleep ((double)(uintptr_t)limit);
  kit_record ("the time limit is over");
  kit_end (2);
}

static void
start_thread (void *(*run) (void *), void *argument)
{
  pthread_t thread;
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 512 * 1024);
  if (pthread_create (&thread, &attributes, run, argument))
    kit_end (2);
}

void
kit_start (const char *folder, unsigned limit)
{
  char path[512];

  clock_gettime (CLOCK_MONOTONIC, &started);
  signal (SIGPIPE, SIG_IGN);
  snprintf (path, sizeof path, "%s/record.txt", folder);
  record = fopen (path, "w");
  snprintf (scratch, sizeof scratch, "%s/reviewXXXXXX",
            getenv ("TMPDIR") && strlen (getenv ("TMPDIR")) < 32
                ? getenv ("TMPDIR")
                : "/tmp");
  if (!record || !mkdtemp (scratch))
    exit (2);
  kit_record ("%s the disruption", kit_trouble () ? "with" : "without");
  start_thread (watch_limit, (void *)(uintptr_t)limit);
}

static struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons ((uint16_t)port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  return a;
}

static bool
can_bind (int type, int port)
{
  struct sockaddr_in a = loopback (port);
  int fd = socket (AF_INET, type, 0);
  bool free = bind (fd, (struct sockaddr *)&a, sizeof a) == 0;

  close (fd);
  return free;
}

/* Below the ports that the system gives to outgoing connections, as a port may
   stay closed for a while.  */
int
kit_free_port (void)
{
  static int next;

  if (!next)
    next = 15000 + getpid () % 1000 * 15;
  for (int i = 0; i < 2000; i++)
    if (can_bind (SOCK_STREAM, ++next) && can_bind (SOCK_DGRAM, next))
      return next;
  kit_end (2);
}

int
kit_connect (int port)
{
  struct sockaddr_in a = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  if (connect (fd, (struct sockaddr *)&a, sizeof a))
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

/* Messages.  */

bool
kit_header (const struct kit_message *m, const char *name, char *value,
            size_t size)
{
  const char *line = strstr (m->head, "\r\n");
  size_t length = strlen (name);

  while (line && line[2] && line[2] != '\r')
    {
      line += 2;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *at = line + length + 1;
          const char *end = strstr (at, "\r\n");

          while (*at == ' ')
            at++;
          snprintf (value, size, "%.*s", (int)(end - at), at);
          return true;
        }
      line = strstr (line, "\r\n");
    }
  return false;
}

bool
kit_read_head (int fd, struct kit_message *m, char *rest, size_t size,
               size_t *rest_length)
{
  size_t used = 0;
  char *end = NULL;

  memset (m, 0, sizeof *m);
  while (!end)
    {
      ssize_t n;

      if (used + 1 >= sizeof m->head)
        return false;
      n = recv (fd, m->head + used, sizeof m->head - 1 - used, 0);
      if (n <= 0)
        return false;
      used += (size_t)n;
      m->head[used] = '\0';
      end = strstr (m->head, "\r\n\r\n");
    }
  end += 4;
  *rest_length = used - (size_t)(end - m->head);
  if (*rest_length > size)
    return false;
  memcpy (rest, end, *rest_length);
  *end = '\0';
  if (strncmp (m->head, "HTTP/1.1 ", 9) == 0)
    m->status = atoi (m->head + 9);
  else if (sscanf (m->head, "%15s %1023s", m->method, m->target) != 2)
    return false;
  return true;
}

bool
kit_read_message (int fd, struct kit_message *m)
{
  char rest[KIT_HEAD_BYTES];
  char value[32];
  size_t have;

  if (!kit_read_head (fd, m, rest, sizeof rest, &have))
    return false;
  if (kit_header (m, "Content-Length", value, sizeof value))
    m->body_length = (size_t)atol (value);
  m->body = calloc (m->body_length + 1, 1);
  if (have > m->body_length)
    have = m->body_length;
  memcpy (m->body, rest, have);
  while (have < m->body_length)
    {
      ssize_t n = recv (fd, m->body + have, m->body_length - have, 0);

      if (n <= 0)
        return false;
      have += (size_t)n;
    }
  return true;
}

void
kit_free_message (struct kit_message *m)
{
  free (m->body);
  m->body = NULL;
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
  char text[4096];
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (text, sizeof text, format, args);
  va_end (args);
  return n >= 0 && (size_t)n < sizeof text
         && kit_write (fd, text, (size_t)n);
}

/* Servers: one thread for each connection.  */

struct server
{
  int fd;
  void (*serve) (void *context, int fd);
  void *context;
};

struct connection
{
  struct server *server;
  int fd;
};

static void *
run_connection (void *argument)
{
  struct connection *c = argument;

  c->server->serve (c->server->context, c->fd);
  close (c->fd);
  free (c);
  return NULL;
}

static void *
run_server (void *argument)
{
  struct server *s = argument;

  for (;;)
    {
      struct connection *c = calloc (1, sizeof *c);
      int on = 1;

      c->server = s;
      c->fd = accept4 (s->fd, NULL, NULL, SOCK_CLOEXEC);
      if (c->fd < 0)
        {
          free (c);
          continue;
        }
      setsockopt (c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      start_thread (run_connection, c);
    }
  return NULL;
}

static int
start_server (void (*serve) (void *, int), void *context)
{
  struct server *s = calloc (1, sizeof *s);
  struct sockaddr_in a = loopback (0);
  socklen_t length = sizeof a;

  s->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  s->serve = serve;
  s->context = context;
  if (bind (s->fd, (struct sockaddr *)&a, sizeof a) || listen (s->fd, 256)
      || getsockname (s->fd, (struct sockaddr *)&a, &length))
    kit_end (2);
  start_thread (run_server, s);
  return ntohs (a.sin_port);
}

/* The store: a log with keyed topics.  */

#define TOPICS 16
#define RECORDS 20000

struct store_record
{
  char *data; /* Length of the key in a byte, key, value.  */
  size_t length;
};

static struct topic
{
  char name[64];
  struct store_record records[RECORDS];
  size_t end;
} topics[TOPICS];
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

/* The caller holds store_lock.  */
static struct topic *
find_topic (const char *name)
{
  for (int i = 0; i < TOPICS; i++)
    {
      if (!topics[i].name[0])
        snprintf (topics[i].name, sizeof topics[i].name, "%s", name);
      if (strcmp (topics[i].name, name) == 0)
        return &topics[i];
    }
  kit_end (2);
}

static void
append (struct topic *t, const char *data, size_t length)
{
  if (t->end == RECORDS)
    kit_end (2);
  t->records[t->end].data = malloc (length);
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

static bool
parameter (const char *target, const char *name, char *value, size_t size)
{
  const char *at = strchr (target, '?');
  size_t length = strlen (name);

  while (at)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          at += length + 1;
          snprintf (value, size, "%.*s", (int)strcspn (at, "&"), at);
          return true;
        }
      at = strchr (at, '&');
    }
  return false;
}

static void
put_big_endian (char *out, uint64_t value, int bytes)
{
  for (int i = 0; i < bytes; i++)
    out[i] = (char)(value >> (8 * (bytes - 1 - i)));
}

static bool
reply (int fd, int status, const char *type, const char *body, size_t length)
{
  return kit_print (fd,
                    "HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    status, type, length)
         && kit_write (fd, body, length);
}

static bool
store_read (int fd, const char *topic, const char *target)
{
  char value[32];
  size_t from = 0, length = 16, at = 16;
  long wait = 0;
  struct timespec until;
  struct topic *t;
  char *body;
  bool ok;

  if (parameter (target, "from", value, sizeof value))
    from = (size_t)atoll (value);
  if (parameter (target, "wait_ms", value, sizeof value))
    wait = atol (value);
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait / 1000;
  until.tv_nsec += wait % 1000 * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  pthread_mutex_lock (&store_lock);
  t = find_topic (topic);
  while (wait && t->end <= from
         && pthread_cond_timedwait (&store_changed, &store_lock, &until) == 0)
    ;
  for (size_t i = from; i < t->end; i++)
    length += 4 + t->records[i].length;
  body = malloc (length);
  put_big_endian (body, t->end, 8);
  put_big_endian (body + 8, 0, 8);
  for (size_t i = from; i < t->end; i++)
    {
      put_big_endian (body + at, t->records[i].length, 4);
      memcpy (body + at + 4, t->records[i].data, t->records[i].length);
      at += 4 + t->records[i].length;
    }
  pthread_mutex_unlock (&store_lock);
  ok = reply (fd, 200, "application/octet-stream", body, length);
  free (body);
  return ok;
}

static void
base64 (FILE *out, const char *data, size_t length)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
                               "uvwxyz0123456789+/";

  for (size_t i = 0; i < length; i += 3)
    {
      unsigned v = 0;

      for (size_t j = 0; j < 3; j++)
        v = v << 8 | (i + j < length ? (unsigned char)data[i + j] : 0);
      for (size_t j = 0; j < 4; j++)
        fputc (i + j <= length ? digits[v >> (18 - 6 * j) & 63] : '=', out);
    }
}

static bool
store_newest (int fd, const char *topic)
{
  char *text = NULL;
  size_t length;
  FILE *out = open_memstream (&text, &length);
  const char *comma = "";
  struct topic *t;
  bool ok;

  pthread_mutex_lock (&store_lock);
  t = find_topic (topic);
  fprintf (out, "{\"items\":[");
  for (size_t i = 0; i < t->end; i++)
    {
      const struct store_record *r = &t->records[i];
      size_t key = (unsigned char)r->data[0];
      bool newest = r->length > 1 + key;

      for (size_t j = i + 1; newest && j < t->end; j++)
        newest = memcmp (t->records[j].data, r->data, key + 1) != 0;
      if (!newest)
        continue;
      fprintf (out, "%s{\"key\":\"%.*s\",\"value\":\"", comma, (int)key,
               r->data + 1);
      base64 (out, r->data + 1 + key, r->length - 1 - key);
      fprintf (out, "\",\"offset\":%zu}", i);
      comma = ",";
    }
  fprintf (out, "],\"truncated\":false,\"end\":%zu}", t->end);
  pthread_mutex_unlock (&store_lock);
  fclose (out);
  ok = reply (fd, 200, "application/json", text, length);
  free (text);
  return ok;
}

static bool
store_append (int fd, const char *topic, const struct kit_message *m)
{
  char value[32], text[96];
  int status = 200;
  struct topic *t;
  size_t first;

  pthread_mutex_lock (&store_lock);
  t = find_topic (topic);
  first = t->end;
  if (parameter (m->target, "at", value, sizeof value)
      && (size_t)atoll (value) != t->end)
    status = 412;
  for (size_t at = 0; status == 200 && at + 4 <= m->body_length;)
    {
      size_t length = 0;

      for (int i = 0; i < 4; i++)
        length = length << 8 | (unsigned char)m->body[at + (size_t)i];
      at += 4;
      if (length > m->body_length - at)
        break;
      append (t, m->body + at, length);
      at += length;
    }
  snprintf (text, sizeof text, "{\"offset\":%zu,\"end\":%zu}", first, t->end);
  pthread_mutex_unlock (&store_lock);
  return reply (fd, status, "application/json", text, strlen (text));
}

static void
serve_store (void *context, int fd)
{
  struct kit_message m;
  char topic[64] = "";
  bool open = true;

  (void)context;
  while (open && kit_read_message (fd, &m))
    {
      parameter (m.target, "topic", topic, sizeof topic);
      if (strncmp (m.target, "/log-read?", 10) == 0)
        open = store_read (fd, topic, m.target);
      else if (strncmp (m.target, "/log-newest?", 12) == 0)
        open = store_newest (fd, topic);
      else if (strncmp (m.target, "/log-append?", 12) == 0)
        open = store_append (fd, topic, &m);
      else
        open = reply (fd, 404, "application/json", "{}", 2);
      kit_free_message (&m);
    }
}

int
kit_store_start (void)
{
  store_port = start_server (serve_store, NULL);
  return store_port;
}

/* Runners.  */

static void
serve_runner (void *context, int fd)
{
  struct kit_runner *runner = context;
  struct kit_message m;
  bool open = true;

  while (open && kit_read_message (fd, &m))
    {
      char expected[64];
      char id[128] = "";

      kit_header (&m, "X-Request-Attempt-Id", id, sizeof id);
      if (strncmp (m.target, "/health", 7) == 0)
        open = kit_print (fd,
                          "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
                          "Content-Length: 0\r\n\r\n",
                          runner->id);
      else if (kit_header (&m, "X-Expected-Instance", expected,
                           sizeof expected)
               && strcmp (expected, runner->id) != 0)
        open = kit_print (fd,
                          "HTTP/1.1 421 Misdirected Request\r\n"
                          "X-Instance-Id: %s\r\nX-Request-Attempt-Id: %s\r\n"
                          "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                          runner->id, id);
      else
        {
          runner->runs++;
          open = runner->run (runner, fd, &m, id);
        }
      kit_free_message (&m);
    }
}

void
kit_runner_list (const struct kit_runner *runner, const char *state)
{
  static int sequence;
  char value[512];

  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\","
            "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
            "\"cold_remaining_ms\":0,\"sequence\":%d}",
            runner->service, runner->port, state, ++sequence);
  kit_store_put ("keyed.servers", runner->id, value);
}

struct runner_connection
{
  struct kit_runner *runner;
  int slot;
};

static pthread_mutex_t runner_lock = PTHREAD_MUTEX_INITIALIZER;

static void *
run_runner_connection (void *argument)
{
  struct runner_connection *c = argument;
  struct kit_runner *runner = c->runner;
  int fd = runner->connections[c->slot];

  serve_runner (runner, fd);
  pthread_mutex_lock (&runner_lock);
  runner->connections[c->slot] = -1;
  pthread_mutex_unlock (&runner_lock);
  close (fd);
  free (c);
  return NULL;
}

/* Accept connections of RUNNER until it crashes.  */
static void
serve_start (struct kit_runner *runner, int listener)
{
  while (!runner->crashed)
    {
      struct pollfd wait = { .fd = listener, .events = POLLIN };
      struct runner_connection *c;
      int on = 1;
      int fd;

      if (poll (&wait, 1, 10) <= 0)
        continue;
      fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      c = calloc (1, sizeof *c);
      c->runner = runner;
      c->slot = -1;
      pthread_mutex_lock (&runner_lock);
      for (int i = 0; i < 64 && c->slot < 0; i++)
        if (runner->connections[i] < 0)
          c->slot = i;
      if (c->slot >= 0)
        runner->connections[c->slot] = fd;
      pthread_mutex_unlock (&runner_lock);
      if (c->slot < 0)
        kit_end (2);
      start_thread (run_runner_connection, c);
    }
}

static int
listen_at (int port)
{
  struct sockaddr_in a = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) || listen (fd, 256))
    kit_end (2);
  return fd;
}

static void *
run_runner (void *argument)
{
  struct kit_runner *runner = argument;

  for (;;)
    {
      int listener = listen_at (runner->port);
      char id[32];

      kit_runner_list (runner, "ready");
      serve_start (runner, listener);
      close (listener);
      snprintf (id, sizeof id, "%s", runner->id);
      /* The entry outlives the crash by three heartbeat intervals.  */
      if (runner->down_for > 3.6)
        {
          kit_sleep (3.6);
          kit_store_put ("keyed.servers", id, "");
          kit_sleep (runner->down_for - 3.6);
        }
      else
        kit_sleep (runner->down_for);
      snprintf (runner->id, sizeof runner->id, "%s-%d", runner->name,
                ++runner->starts);
      runner->crashed = false;
      if (runner->down_for <= 3.6)
        kit_store_put ("keyed.servers", id, "");
      kit_record ("runner %s starts", runner->id);
    }
  return NULL;
}

void
kit_runner_crash (struct kit_runner *runner, double seconds)
{
  pthread_mutex_lock (&runner_lock);
  runner->down_for = seconds;
  runner->crashed = true;
  for (int i = 0; i < 64; i++)
    if (runner->connections[i] >= 0)
      shutdown (runner->connections[i], SHUT_RDWR);
  pthread_mutex_unlock (&runner_lock);
  kit_record ("runner %s crashes", runner->id);
}

void
kit_runner_start (struct kit_runner *runner, const char *id,
                  const char *service, kit_run *run)
{
  memset (runner, 0, sizeof *runner);
  for (int i = 0; i < 64; i++)
    runner->connections[i] = -1;
  snprintf (runner->id, sizeof runner->id, "%s", id);
  snprintf (runner->name, sizeof runner->name, "%s", id);
  snprintf (runner->service, sizeof runner->service, "%s", service);
  runner->run = run;
  runner->port = kit_free_port ();
  start_thread (run_runner, runner);
}

/* Routers.  */

void
kit_router_start (struct kit_router *router, int number)
{
  char path[128], log[128];
  FILE *out;

  memset (router, 0, sizeof *router);
  snprintf (router->name, sizeof router->name, "frontend-a-%d", number);
  snprintf (path, sizeof path, "%s/r%d.yaml", scratch, number);
  snprintf (log, sizeof log, "%s/r%d.log", scratch, number);
  router->port = kit_free_port ();
  router->ready_port = kit_free_port ();
  out = fopen (path, "w");
  if (!out)
    kit_end (2);
  /* platform/settings.yaml with the values of a small deployment.  */
  fprintf (out,
           "name: \"%s\"\navailability_zone: \"a\"\nregion: \"r\"\n"
           "ip_address: \"127.0.0.1\"\ncaller_address: \"127.0.0.1:%d\"\n"
           "ready_address: \"127.0.0.1:%d\"\n"
           "directory_address: \"127.0.0.1:%d\"\n"
           "control_address: \"127.0.0.1:%d\"\n"
           "metrics_address: \"127.0.0.1:%d\"\n"
           "store_address: \"127.0.0.1:%d\"\npeer_port: %d\nseeds: []\n"
           "memory_mb: 260\ncpu_cores: 0.25\nfile_descriptors: 4100\n"
           "grace_period_s: 8\nconfig_apply_ms: 2000\n"
           "drain_timeout_ms: 2000\nendpoint_heartbeat_ms: 1200\n"
           "first_start: true\nstrict_revocation: true\n"
           "revocation_ms: 5000\nretry_budget_ratio: 0.2\n"
           "retry_window_s: 10\nretry_budget_slack: 58\n"
           "cold_burst_factor: 1.5\ncold_slack: 5\ndirectory_ttl_s: 5\n"
           "exposure_share: 0\nexposure_slack: 0\nrollback_ms: 0\n",
           router->name, router->port, router->ready_port, kit_free_port (),
           kit_free_port (), kit_free_port (), store_port, kit_free_port ());
  fclose (out);
  router->pid = fork ();
  if (router->pid == 0)
    {
      char variable[192];
      const char *home = getenv ("HOME");
      char home_variable[256];
      char *environment[] = { variable, home_variable, NULL };
      char *arguments[] = { "target/monsoonspur-gateway", NULL };

      snprintf (variable, sizeof variable, "MONSOONSPUR_CONFIG=%s", path);
      snprintf (home_variable, sizeof home_variable, "HOME=%s",
                home ? home : "/");
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (!freopen (log, "w", stdout) || dup2 (1, 2) < 0)
        _exit (127);
      execve (arguments[0], arguments, environment);
      _exit (127);
    }
  if (router->pid < 0 || routers_count == 16)
    kit_end (2);
  routers[routers_count++] = router->pid;
  kit_record ("router %s started", router->name);
}

void
kit_router_await (const struct kit_router *router)
{
  for (int i = 0; i < 200; i++)
    {
      int fd = kit_connect (router->ready_port);
      struct kit_message m = { .status = 0 };

      if (fd >= 0)
        {
          kit_print (fd, "GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n");
          kit_read_message (fd, &m);
          kit_free_message (&m);
          close (fd);
        }
      if (m.status == 200)
        {
          kit_record ("router %s is ready", router->name);
          return;
        }
      kit_sleep (0.1);
    }
  kit_record ("router %s does not become ready", router->name);
  kit_end (2);
}

/* Clients.  */

static int
connect_reader (int port, const struct kit_reader *reader)
{
  struct sockaddr_in a = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int bytes = reader ? (int)reader->receive_buffer : 0;

  if (bytes)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  if (reader && reader->segment)
    setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &reader->segment,
                sizeof reader->segment);
  if (connect (fd, (struct sockaddr *)&a, sizeof a))
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* Bytes of a connection: those behind the head first, then what arrives.  */
struct input
{
  int fd;
  const struct kit_reader *reader;
  char data[65536];
  size_t at;
  size_t length;
  double taken; /* Bytes read so far.  */
  double since;
  bool ended;
  bool reset;
};

static bool
fill (struct input *in)
{
  double rate = in->reader ? in->reader->bytes_per_second : 0;
  size_t most = rate > 0 ? 4096 : sizeof in->data;
  ssize_t n;

  if (in->at < in->length)
    return true;
  if (rate > 0 && in->taken / rate > kit_now () - in->since)
    kit_sleep (in->taken / rate - (kit_now () - in->since));
  n = recv (in->fd, in->data, most, 0);
  in->at = 0;
  in->length = n > 0 ? (size_t)n : 0;
  in->taken += (double)in->length;
  in->ended = n == 0;
  in->reset = n < 0;
  return n > 0;
}

static void
keep (struct kit_answer *a, const char *data, size_t length)
{
  a->body = realloc (a->body, a->length + length + 1);
  memcpy (a->body + a->length, data, length);
  a->length += length;
  a->body[a->length] = '\0';
}

/* Take up to WANTED bytes of IN into A; return how many are missing.  */
static size_t
take (struct input *in, struct kit_answer *a, size_t wanted)
{
  while (wanted && fill (in))
    {
      size_t n = in->length - in->at < wanted ? in->length - in->at : wanted;

      keep (a, in->data + in->at, n);
      in->at += n;
      wanted -= n;
    }
  return wanted;
}

/* Read a line of IN without its end; false if it is cut off.  */
static bool
take_line (struct input *in, char *line, size_t size)
{
  size_t used = 0;

  while (fill (in))
    {
      char c = in->data[in->at++];

      if (c == '\n')
        {
          line[used && line[used - 1] == '\r' ? used - 1 : used] = '\0';
          return true;
        }
      if (used + 1 < size)
        line[used++] = c;
    }
  return false;
}

static void
read_chunks (struct input *in, struct kit_answer *a)
{
  char line[64];

  while (take_line (in, line, sizeof line))
    {
      size_t length = strtoul (line, NULL, 16);

      if (!length)
        {
          a->complete = take_line (in, line, sizeof line);
          return;
        }
      if (take (in, a, length) || !take_line (in, line, sizeof line))
        return;
    }
}

void
kit_fetch (int port, const char *text, const struct kit_reader *reader,
           struct kit_answer *a)
{
  struct input *in = calloc (1, sizeof *in);
  char value[64];

  memset (a, 0, sizeof *a);
  in->fd = connect_reader (port, reader);
  in->reader = reader;
  in->since = kit_now ();
  if (in->fd >= 0 && kit_write (in->fd, text, strlen (text))
      && kit_read_head (in->fd, &a->head, in->data, sizeof in->data,
                        &in->length))
    {
      a->status = a->head.status;
      keep (a, "", 0);
      if (kit_header (&a->head, "Transfer-Encoding", value, sizeof value))
        {
          a->framed = true;
          read_chunks (in, a);
        }
      else if (kit_header (&a->head, "Content-Length", value, sizeof value))
        {
          a->framed = true;
          a->complete = take (in, a, strtoul (value, NULL, 10)) == 0;
        }
      else
        {
          take (in, a, SIZE_MAX);
          a->complete = in->ended;
        }
    }
  a->reset = in->reset;
  a->ended_at = kit_now ();
  if (in->fd >= 0)
    close (in->fd);
  free (in);
}

static pthread_t spawned[256];
static int spawned_count;

void
kit_spawn (void *(*call) (void *), void *argument)
{
  if (spawned_count == 256
      || pthread_create (&spawned[spawned_count++], NULL, call, argument))
    kit_end (2);
}

void
kit_join (void)
{
  while (spawned_count)
    pthread_join (spawned[--spawned_count], NULL);
}

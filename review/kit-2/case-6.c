/* Case 6: a runner that fails part of its requests after it has run them.  */

#include "kit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RUNNERS 3
#define CLIENTS 6
#define SECONDS 20
#define ORDER_PERIOD_MS 150
#define DEADLINE_MS 4000

/* Each attempt of a client.  */
#define MAX_ATTEMPTS 8000
static struct attempt
{
  char id[24];
  int runs;
  int status; /* That the client got; 0 if it got none.  */
} attempts[MAX_ATTEMPTS];
static int attempts_count;
static int orders;
static int doubled; /* Orders that ran in more than one attempt.  */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static int base;
static bool trouble;
static long end_at;

struct runner
{
  int number;
  char id[16];
  unsigned seen;
};

static struct attempt *
find_attempt (const char *id)
{
  for (int i = 0; i < attempts_count; i++)
    if (strcmp (attempts[i].id, id) == 0)
      return &attempts[i];
  return NULL;
}

/* Runner 0 is the one that fails 4 in 10 of its requests (srv_grey): it runs
   them, and what it needs for its answer is out of reach.  It does not say
   that it has not run them.  */
static bool
handle_runner (void *context, struct kit_conn *c, const struct kit_message *m)
{
  struct runner *r = context;
  char id[128];
  char expected[64];
  struct attempt *a;
  bool fails;

  if (strncmp (m->target, "/health", 7) == 0)
    return kit_print (c->fd,
                      "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
                      "Content-Length: 0\r\n\r\n",
                      r->id);
  kit_header (m, "X-Request-Attempt-Id", id, sizeof id);
  kit_header (m, "X-Expected-Instance", expected, sizeof expected);
  if (*expected && strcmp (expected, r->id) != 0)
    return kit_print (c->fd,
                      "HTTP/1.1 421 -\r\nX-Request-Attempt-Id: %s\r\n"
                      "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                      id);
  pthread_mutex_lock (&lock);
  a = find_attempt (id);
  if (a)
    a->runs++;
  fails = trouble && r->number == 0 && r->seen++ % 5 < 2;
  pthread_mutex_unlock (&lock);
  kit_record ("runner %s runs %s", r->id, id);
  kit_sleep (30);
  return kit_print (c->fd,
                    "HTTP/1.1 %s\r\nX-Request-Attempt-Id: %s\r\n"
                    "X-Response-Signature: sg.%s\r\nContent-Length: 4\r\n\r\n"
                    "%s",
                    fails ? "503 Service Unavailable" : "200 OK", id, id,
                    fails ? "fail" : "done");
}

/* Send one attempt on a new connection.  Return the status, 0 if there was no
   answer, and the pause that the answer asks for.  */
static int
send_attempt (int order, int number, double *pause)
{
  struct kit_conn *c = calloc (1, sizeof *c);
  struct kit_message m = { 0 };
  struct attempt *a;
  char id[24];
  char value[32];
  int status = 0;

  snprintf (id, sizeof id, "o%dt%d", order, number);
  pthread_mutex_lock (&lock);
  if (attempts_count == MAX_ATTEMPTS)
    kit_cannot_run ("too many attempts");
  a = &attempts[attempts_count++];
  snprintf (a->id, sizeof a->id, "%s", id);
  pthread_mutex_unlock (&lock);
  kit_record ("client sends %s", id);
  c->fd = kit_connect (order % 2 ? "127.0.0.31" : "127.0.0.32", base + 1);
  if (c->fd >= 0)
    {
      kit_print (c->fd,
                 "POST /order/%d HTTP/1.1\r\nHost: h\r\nX-Key: k1\r\n"
                 "X-Request-Attempt-Id: %s\r\nX-Deadline-Remaining-Ms: %d\r\n"
                 "Content-Length: 6\r\n\r\nfan on",
                 order, id, DEADLINE_MS);
      if (kit_read (c, &m, true, DEADLINE_MS))
        status = m.status;
      close (c->fd);
    }
  *pause = kit_header (&m, "Retry-After", value, sizeof value) ? atof (value)
                                                               : 0.2;
  kit_free (&m);
  free (c);
  pthread_mutex_lock (&lock);
  a->status = status;
  pthread_mutex_unlock (&lock);
  kit_record ("client gets %d for %s", status, id);
  return status;
}

static bool
is_promise (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* A client repeats an order that may run once only after a promise that it has
   not run: one time, as the sheet says.  */
static void *
run_client (void *context)
{
  (void)context;
  while (kit_now () < end_at)
    {
      long began = kit_now ();
      double pause;
      int order;
      int ran = 0;

      pthread_mutex_lock (&lock);
      order = ++orders;
      pthread_mutex_unlock (&lock);
      if (is_promise (send_attempt (order, 1, &pause))
          && pause * 1000 < DEADLINE_MS / 3)
        {
          kit_sleep ((long)(pause * 1000));
          send_attempt (order, 2, &pause);
        }
      pthread_mutex_lock (&lock);
      for (int number = 1; number <= 2; number++)
        {
          char id[24];
          struct attempt *a;

          snprintf (id, sizeof id, "o%dt%d", order, number);
          a = find_attempt (id);
          ran += a && a->runs;
        }
      doubled += ran > 1;
      pthread_mutex_unlock (&lock);
      kit_sleep (ORDER_PERIOD_MS - (kit_now () - began));
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct runner runners[RUNNERS];
  char path[1024];
  char text[512];
  int refused = 0;
  int twice = 0;

  if (argc < 4)
    return 2;
  base = atoi (argv[1]);
  trouble = strcmp (argv[3], "0") != 0;
  snprintf (path, sizeof path, "%s/record.txt", argv[2]);
  kit_open_record (path);
  kit_store_start (base);
  for (int i = 0; i < RUNNERS; i++)
    {
      runners[i].number = i;
      snprintf (runners[i].id, sizeof runners[i].id, "i-%d", i);
      kit_serve ("127.0.0.1", base + 10 + i, handle_runner, &runners[i]);
      snprintf (text, sizeof text,
                "{\"service\":\"silo-mando\",\"address\":\"127.0.0.1:%d\","
                "\"zone\":\"sul-rs-a\",\"version\":\"v1\",\"slots\":6,"
                "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,"
                "\"born\":1700000000000}",
                base + 10 + i);
      kit_store_put ("keyed.servers", runners[i].id, text);
    }
  kit_store_put (
      "keyed.op", "config",
      "{\"version\":1,\"routes\":[{\"name\":\"order\",\"hostname\":\"h\","
      "\"path_prefix\":\"/order/\",\"route_kind\":\"non_idempotent\","
      "\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2,"
      "\"service\":\"silo-mando\",\"max_attempts\":1,\"public\":false,"
      "\"sticky\":false,\"resumable\":false}],"
      "\"services\":[{\"name\":\"silo-mando\",\"health_check_path\":"
      "\"/health\",\"connection_limit\":110,\"cold_start_s\":0.0,"
      "\"cold_per_s\":0.0}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"]}]}");
  kit_await_ready ("127.0.0.31", base + 2);
  kit_await_ready ("127.0.0.32", base + 2);
  end_at = kit_now () + SECONDS * 1000;
  for (int i = 0; i < CLIENTS; i++)
    kit_thread (run_client, NULL);
  kit_sleep (SECONDS * 1000 + DEADLINE_MS + 2000);
  pthread_mutex_lock (&lock);
  for (int i = 0; i < attempts_count; i++)
    {
      twice += attempts[i].runs > 1;
      if (attempts[i].runs && is_promise (attempts[i].status))
        {
          refused++;
          kit_record ("REFUSED: %s ran, and its client got %d",
                      attempts[i].id, attempts[i].status);
        }
    }
  kit_record ("orders %d, attempts %d, REFUSED %d, TWICE %d, orders that ran "
              "in both attempts %d",
              orders, attempts_count, refused, twice, doubled);
  printf ("orders %d, attempts %d, REFUSED %d, TWICE %d, orders that ran in "
          "both attempts %d\n",
          orders, attempts_count, refused, twice, doubled);
  if (orders < 100)
    return 2;
  return refused || twice ? 1 : 0;
}

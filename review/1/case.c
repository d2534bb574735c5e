/* A router is killed while it passes on answers that have no length.  */
#include "kit.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLIENTS 6 /* Even ones ask for a stream, odd ones for a table.  */
#define EVENTS 40
#define TABLE_PARTS 40
#define PART_BYTES 25000
#define TABLE_END "the end of the table"

static struct kit_router router;
static struct kit_answer answers[CLIENTS];

/* Stream EVENTS events, 50 ms apart, and end them with the connection.  */
static bool
run_stream (struct kit_runner *runner, int fd,
            const struct kit_message *request, const char *id)
{
  (void)request;
  kit_record ("runner %s runs %s", runner->id, id);
  kit_print (fd,
             "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
             "X-Request-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\n"
             "Connection: close\r\n\r\n",
             id, id);
  for (int i = 1; i <= EVENTS; i++)
    {
      if (!kit_print (fd, "id: %d\ndata: %s piece %d of %d\n\n", i, id, i,
                      EVENTS))
        return false;
      kit_sleep (0.05);
    }
  return false;
}

/* Send a table of 1 MB in two seconds, which ends with the connection.  */
static bool
run_table (struct kit_runner *runner, int fd, const char *id)
{
  static char part[PART_BYTES];

  kit_record ("runner %s runs %s", runner->id, id);
  memset (part, 'x', sizeof part);
  kit_print (fd,
             "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
             "X-Request-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\n"
             "Connection: close\r\n\r\n",
             id, id);
  for (int i = 0; i < TABLE_PARTS; i++)
    {
      if (!kit_write (fd, part, sizeof part))
        return false;
      kit_sleep (0.05);
    }
  kit_write (fd, TABLE_END, strlen (TABLE_END));
  return false;
}

static bool
run (struct kit_runner *runner, int fd, const struct kit_message *request,
     const char *id)
{
  return strcmp (request->method, "GET") == 0
             ? run_table (runner, fd, id)
             : run_stream (runner, fd, request, id);
}

static void *
client (void *argument)
{
  int number = (int)(size_t)argument;
  char text[512];

  snprintf (text, sizeof text,
            "%s HTTP/1.1\r\nHost: h.example\r\n"
            "X-Request-Attempt-Id: c%d\r\nX-Key: k1\r\n"
            "X-Deadline-Remaining-Ms: 15000\r\n%s",
            number % 2 ? "GET /table/x" : "POST /report/x", number,
            number % 2 ? "\r\n" : "Content-Length: 2\r\n\r\nhi");
  kit_record ("client c%d sends %.*s", number, (int)strcspn (text, "\r"),
              text);
  kit_fetch (router.port, text, NULL, &answers[number]);
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct kit_runner runners[2];
  char last[64];
  int broken = 0, whole = 0;

  kit_start (argc > 1 ? argv[1] : ".", 60);
  kit_store_start ();
  kit_store_put (
      "keyed.op", "config",
      "{\"version\":7,\"routes\":[{\"name\":\"report\",\"hostname\":"
      "\"h.example\",\"path_prefix\":\"/report/\",\"route_kind\":"
      "\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":800,"
      "\"priority\":1,\"service\":\"app\",\"max_attempts\":1,\"public\":false,"
      "\"resumable\":false,\"gap_target_ms\":500},{\"name\":\"table\","
      "\"hostname\":\"h.example\",\"path_prefix\":\"/table/\","
      "\"route_kind\":\"idempotent\",\"timeout_ms\":15000,"
      "\"target_latency_ms\":800,\"priority\":1,\"service\":\"app\","
      "\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":"
      "\"app\",\"health_check_path\":\"/health\",\"connection_limit\":100,"
      "\"cold_start_s\":0,\"cold_per_s\":0}],\"limits\":{\"max_header_bytes\":"
      "16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
      "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":"
      "[\"k1\"]}]}");
  kit_runner_start (&runners[0], "i-1", "app", run);
  kit_runner_start (&runners[1], "i-2", "app", run);
  kit_router_start (&router, 1);
  kit_router_await (&router);
  kit_sleep (1);
  for (size_t i = 0; i < CLIENTS; i++)
    kit_spawn (client, (void *)i);
  kit_sleep (1);
  if (kit_trouble ())
    {
      kit_record ("router %s gets SIGKILL", router.name);
      kill (router.pid, SIGKILL);
    }
  kit_join ();
  snprintf (last, sizeof last, "piece %d of %d", EVENTS, EVENTS);
  for (int i = 0; i < CLIENTS; i++)
    {
      const struct kit_answer *a = &answers[i];
      bool has_last = a->body && strstr (a->body, i % 2 ? TABLE_END : last);

      kit_record ("client c%d: status %d, %zu bytes, %s, by HTTP %s, its "
                  "end %s",
                  i, a->status, a->length,
                  a->reset ? "connection reset" : "connection closed",
                  a->complete ? "complete" : "incomplete",
                  has_last ? "there" : "missing");
      whole += has_last;
      broken += a->status == 200 && a->complete && !has_last;
    }
  if (!broken && !kit_trouble () && whole < CLIENTS)
    kit_end (2);
  kit_end (broken ? 1 : 0);
}

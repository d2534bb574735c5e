/* The operator raises max_header_bytes.  Clients that keep their connections
   send heads that fit the new limit, well after it must be in force.  */

#include "config.h"
#include "kit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLIENTS 24
#define LONG_HEADER 12000

static const char config[] = "{\"version\":%d,\"routes\":[" ROUTE_APP (
    "r-3j6q5rm", "/puxa403/", "non_idempotent",
    "1") "]," SERVICES ",%s,\"tenants\":[{\"name\":\"hule930\",\"api_keys\":"
         "[\"asnmgkcuyj8pjbvk9m68\"],\"priority\":1}]}";

static unsigned requests;
static unsigned denied;
static unsigned served;
static unsigned runs;

static bool
run (struct runner *r, struct conn *c, struct message *m)
{
  (void)r;
  __atomic_add_fetch (&runs, 1, __ATOMIC_RELAXED);
  return answer (c, m, 200, NULL, "booked", 6);
}

/* Send a booking on C, with a header field of LENGTH bytes.  */
static void
book (int client, struct conn *c, size_t length)
{
  static char headers[LONG_HEADER + 512];
  struct message m = { 0 };
  char id[32];
  int used = snprintf (headers, sizeof headers,
                       "X-Key: asnmgkcuyj8pjbvk9m68\r\n"
                       "X-Deadline-Remaining-Ms: 4000\r\nX-Note: ");

  memset (headers + used, 'n', length);
  strcpy (headers + used + length, "\r\n");
  requests++;
  if (!client_send (c, "POST", "/puxa403/2f", headers, "{}", 2, id))
    cannot_run ("a client cannot send");
  read_response (c, &m, false);
  record ("client %d: booking %s with a head of %zu bytes: %d %s", client, id,
          length + 250, m.status, m.end);
  denied += m.status >= 400 && m.status < 500 && m.status != 408
            && m.status != 421 && m.status != 429;
  served += m.status == 200;
  free_message (&m);
}

int
main (int argc, char **argv)
{
  struct router *routers[3];
  static const char *const zones[] = { "sul-rs-a", "sul-rs-b", "sul-rs-c" };
  struct conn conns[CLIENTS];
  char text[8192];
  unsigned most;

  if (argc < 3)
    return 2;
  kit_begin (argv[1], argv[2]);
  snprintf (text, sizeof text, config, 7, LIMITS ("8192"));
  put_config (text);
  runner_start ("i-7f3a91c2", "wuno96b", "sul-rs-a", 6, run, NULL);
  runner_start ("i-02d9e6b4", "wuno96b", "sul-rs-b", 6, run, NULL);
  for (int i = 0; i < 3; i++)
    routers[i] = router_start (i + 1, zones[i], 110);
  for (int i = 0; i < 3; i++)
    if (!router_wait_ready (routers[i], 15))
      cannot_run ("router %d is not ready", i + 1);
  sleep_s (4);
  for (int i = 0; i < CLIENTS; i++)
    conns[i] = client_connect (routers[i % 3], 0);
  for (int round = 0; round < 3; round++)
    {
      for (int i = 0; i < CLIENTS; i++)
        book (i, &conns[i], 100);
      sleep_s (1);
    }
  if (trouble ())
    {
      snprintf (text, sizeof text, config, 12, LIMITS ("16384"));
      put_config (text);
      record ("the store acknowledges version 12, in which max_header_bytes "
              "is 16384 instead of 8192");
    }
  sleep_s (5);
  /* Without the change, clients stay within the limit that there is.  */
  for (int i = 0; i < CLIENTS; i++)
    book (i, &conns[i], trouble () ? LONG_HEADER : 100);
  for (int i = 0; i < CLIENTS; i++)
    conn_close (&conns[i]);
  most = 5 + requests / 500;
  record ("%u bookings sent, %u served, %u run; DENIED: %u were ended with a "
          "4xx of the routers' own though the configuration allows them; at "
          "most %u may be",
          requests, served, runs, denied, most);
  kit_end (denied > most);
}

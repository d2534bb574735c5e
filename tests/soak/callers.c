#include "callers.h"

#include <curl/curl.h>
#include <err.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <uthash.h>

#include "base/random.h"
#include "fleet.h"

#define MOST_REQUESTS 8192
#define MOST_PAUSE_MS 20
#define MOST_ATTEMPTS 2
#define BODY_BYTES 8192

/* That an endpoint takes for a request.  */
#define WORK_MS 200

enum kind
{
  ONCE,
  ANY,
  EVENTS,
  KINDS
};

static const char *const kind_names[KINDS] = { "once", "any", "events" };

struct request
{
  char id[40];
  enum kind kind;
  bool second_key;
  bool late;   /* Sent when its key had been taken away for too long.  */
  long status; /* 0 without an answer.  */
  bool whole;
  unsigned runs;
  UT_hash_handle hh;
};

struct answer
{
  char body[BODY_BYTES];
  size_t length;
  bool signed_by_endpoint;
};

struct caller
{
  struct ms_random random;
  pthread_t thread;
  CURL *curl;
  struct request *requests;
  unsigned count;
  unsigned number;
  unsigned gateway;
};

static struct caller callers[CALLERS];
static atomic_bool ending;
static _Atomic long long revoked_at;

static size_t
take_body (char *data, size_t size, size_t count, void *context)
{
  struct answer *a = context;
  size_t length = size * count;

  if (a->length + length >= sizeof a->body)
    return 0;
  memcpy (a->body + a->length, data, length);
  a->length += length;
  a->body[a->length] = '\0';
  return length;
}

static size_t
take_header (char *data, size_t size, size_t count, void *context)
{
  struct answer *a = context;

  if (size * count > 21
      && strncasecmp (data, "X-Response-Signature:", 21) == 0)
    a->signed_by_endpoint = true;
  return size * count;
}

/* Whether the body of R, a stream of COUNT events or what the endpoint says of
   the request, is R's and whole.  */
static bool
is_whole (const struct request *r, const struct answer *a, unsigned count)
{
  char expected[BODY_BYTES];
  size_t length = 0;

  if (!a->signed_by_endpoint)
    return false;
  if (r->kind != EVENTS)
    {
      snprintf (expected, sizeof expected, "&q=%s\"", r->id);
      return strstr (a->body, expected) && a->body[a->length - 1] == '\n';
    }
  for (unsigned i = 1; i <= count; i++)
    length += (size_t)snprintf (expected + length, sizeof expected - length,
                                "id: %u\ndata: piece\n\n", i);
  return length == a->length && memcmp (expected, a->body, length) == 0;
}

static struct curl_slist *
headers_of (const struct request *r)
{
  char text[80];
  struct curl_slist *headers = curl_slist_append (NULL, "Host: h");

  snprintf (text, sizeof text, "X-Key: %s", r->second_key ? "k2" : "k1");
  headers = curl_slist_append (headers, text);
  snprintf (text, sizeof text, "X-Request-Attempt-Id: %s", r->id);
  headers = curl_slist_append (headers, text);
  return curl_slist_append (headers, "X-Deadline-Remaining-Ms: 4000");
}

static void
perform (CURL *curl, unsigned gateway, struct request *r, unsigned events)
{
  struct curl_slist *headers = headers_of (r);
  struct answer answer = { .length = 0 };
  char url[256];
  unsigned length;

  fleet_gateway_url (gateway, url, sizeof url);
  length = (unsigned)strlen (url);
  if (r->kind == EVENTS)
    snprintf (url + length, sizeof url - length, "/events/stream?n=%u&ms=10",
              events);
  else
    snprintf (url + length, sizeof url - length, "/%s/slow?ms=%d&q=%s",
              kind_names[r->kind], WORK_MS, r->id);
  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, 5000L);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &answer);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, take_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &answer);
  /* The library would send a request again whose connection was closed.  */
  if (r->kind == ONCE)
    curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, 1L);
  if (curl_easy_perform (curl) == CURLE_OK)
    {
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &r->status);
      r->whole = r->status == 200 && is_whole (r, &answer, events);
    }
  curl_slist_free_all (headers);
}

static void *
caller_main (void *argument)
{
  struct caller *c = argument;

  while (!ending && c->count < MOST_REQUESTS)
    {
      struct request *r = &c->requests[c->count];
      const struct timespec pause
          = { 0, (long)ms_random_below (&c->random, MOST_PAUSE_MS) * 1000000 };
      long long revoked = revoked_at;

      snprintf (r->id, sizeof r->id, "r%u-%u", c->number, c->count);
      r->kind = (enum kind)ms_random_below (&c->random, KINDS);
      r->second_key = ms_random_below (&c->random, 4) == 0;
      r->late = r->second_key && revoked
                && fleet_now_ms () > revoked + REVOCATION_MS;
      perform (c->curl, c->gateway, r,
               5 + (unsigned)ms_random_below (&c->random, 40));
      /* A key that was given back meanwhile may be served.  */
      r->late = r->late && revoked_at == revoked;
      c->count++;
      if (r->status != 200)
        c->gateway = (unsigned)ms_random_below (&c->random, GATEWAYS);
      nanosleep (&pause, NULL);
    }
  return NULL;
}

void
callers_start (uint64_t seed)
{
  for (unsigned i = 0; i < CALLERS; i++)
    {
      struct caller *c = &callers[i];

      c->number = i;
      c->random.state = seed * CALLERS + i;
      c->gateway = i % GATEWAYS;
      c->curl = curl_easy_init ();
      c->requests = calloc (MOST_REQUESTS, sizeof *c->requests);
      if (!c->curl || !c->requests
          || pthread_create (&c->thread, NULL, caller_main, c))
        err (EXIT_FAILURE, "caller");
    }
}

void
callers_stop (void)
{
  ending = true;
  for (unsigned i = 0; i < CALLERS; i++)
    {
      pthread_join (callers[i].thread, NULL);
      curl_easy_cleanup (callers[i].curl);
    }
}

void
callers_revoke (long long at)
{
  revoked_at = at;
}

static struct request *
index_requests (void)
{
  struct request *table = NULL;

  for (unsigned i = 0; i < CALLERS; i++)
    for (unsigned j = 0; j < callers[i].count; j++)
      HASH_ADD_STR (table, id, &callers[i].requests[j]);
  return table;
}

/* Count the runs that endpoints wrote; returns those nobody asked for.  */
static unsigned
count_runs (struct request *table, const char *folder)
{
  unsigned unasked = 0;

  for (unsigned i = 0; i < ENGINES; i++)
    {
      char path[512];
      char id[64];
      FILE *file;

      snprintf (path, sizeof path, "%s/runs%u", folder, i);
      file = fopen (path, "r");
      while (file && fscanf (file, "%63s %*d", id) == 1)
        {
          struct request *r;

          HASH_FIND_STR (table, id, r);
          if (r)
            r->runs++;
          else if (strncmp (id, "try", 3) != 0)
            {
              printf ("UNASKED %s\n", id);
              unasked++;
            }
        }
      if (file)
        fclose (file);
    }
  return unasked;
}

/* The rule that R breaks, or NULL.  */
static const char *
breach (const struct request *r)
{
  if (r->kind == ONCE && r->runs > 1)
    return "TWICE";
  if (r->kind == ONCE && r->runs && (r->status == 503 || r->status == 429))
    return "REFUSED";
  if (r->status == 200 && !r->whole)
    return "MIXED";
  if (r->status == 200 && !r->runs)
    return "MIXED, without a run";
  if (r->runs > MOST_ATTEMPTS)
    return "BUDGET";
  if (r->late && r->runs)
    return "CONFIG, revoked key";
  if (r->status >= 400 && r->status < 500 && r->status != 429
      && !(r->status == 401 && r->second_key))
    return "DENIED";
  return NULL;
}

unsigned
callers_check (const char *folder)
{
  struct request *table = index_requests ();
  unsigned breaches = count_runs (table, folder);
  struct request *r, *next;

  HASH_ITER (hh, table, r, next)
  {
    const char *rule = breach (r);

    if (rule)
      {
        printf ("%s: %s %s status %ld, %u runs, whole %d\n", rule,
                kind_names[r->kind], r->id, r->status, r->runs, r->whole);
        breaches++;
      }
    HASH_DEL (table, r);
  }
  return breaches;
}

void
callers_report (void)
{
  unsigned answered = 0, refused = 0, failed = 0, unanswered = 0;

  for (unsigned i = 0; i < CALLERS; i++)
    for (unsigned j = 0; j < callers[i].count; j++)
      {
        long status = callers[i].requests[j].status;

        answered += status == 200;
        refused += status == 503;
        unanswered += status == 0;
        failed += status != 200 && status != 503 && status != 0;
      }
  printf ("answered %u, refused %u, failed %u, without answer %u\n", answered,
          refused, failed, unanswered);
}

int
callers_try (unsigned gateway, unsigned count)
{
  static unsigned tries;
  CURL *curl = curl_easy_init ();
  unsigned answered = 0;

  for (unsigned i = 0; i < count; i++)
    {
      struct request r = { .kind = ANY };

      snprintf (r.id, sizeof r.id, "try%u", tries++);
      perform (curl, gateway, &r, 0);
      if (r.status != 200 || !r.whole)
        break;
      answered++;
    }
  curl_easy_cleanup (curl);
  return answered == count;
}

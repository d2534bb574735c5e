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
#include "gone.h"
#include "rollouts.h"

#define MAX_REQUESTS 8192 /* Of each caller.  */
#define MAX_PAUSE_MS 20   /* Between two requests of a caller.  */
#define MAX_ATTEMPTS 2    /* The routes' max_attempts.  */
#define BODY_BYTES 8192
#define MAX_RUNS 16384 /* Of one start of an endpoint.  */

/* One request in so many has a part in its prompt that crashes endpoints.
   After the fifth crash and the time until gateways are in touch, they may
   send at most MAX_LATE_CRASHES more.  */
#define HARMFUL_SHARE 50
#define STABLE_WINDOW_MS 3000
#define MAX_LATE_CRASHES 3
#define MAX_CRASHES 1024

/* One request in so many, unless it is a stream, is answered with 503 after
   its run.  */
#define PROMISE_SHARE 16

/* One in so many is answered with what is no answer by HTTP's grammar, each
   time with another of these kinds.  */
#define ODD_SHARE 16
static const char *const odd_paths[] = { "/odd0", "/odd1", "/odd2" };
#define ODD_KINDS (sizeof odd_paths / sizeof *odd_paths)

/* One stream in so many breaks off in its third event, and one is also
   answered with an error when it is resumed.  */
#define BREAK_SHARE 8

/* One stream in so many has neither a length nor chunks.  */
#define UNFRAMED_SHARE 3

/* The end of an endpoint is noticed within this time.  */
#define NOTICE_MS 200

/* Time that an endpoint spends on a request that is no stream.  */
#define RUN_MS 200
#define MOVED_RUN_MS 20 /* Of ROUTE_MOVED.  */

/* The routes of the configuration that fleet.c publishes.  */
enum route
{
  ROUTE_ONCE,
  ROUTE_ANY,
  ROUTE_EVENTS,
  ROUTE_MOVED, /* To the service that has orders.  */
  ROUTES
};

static const char *const route_names[ROUTES]
    = { "once", "any", "events", "moved" };

struct request
{
  char id[40];
  enum route route;
  unsigned gateway; /* To which it was sent.  */
  bool harmful;     /* With a part that crashes endpoints.  */
  bool promised;    /* The endpoint answers 503 after the run.  */
  bool stale;      /* It writes another request's refusal before the answer. */
  const char *odd; /* Path of what is no answer; NULL for a proper one.  */
  bool breaks;     /* Its stream breaks off...  */
  bool unresumed;  /* ...and is not resumed.  */
  bool unframed;   /* The end of the connection ends the endpoint's answer.  */
  bool broken_off; /* An endpoint may have ended while it ran this.  */
  bool second_key;
  bool after_revocation; /* Sent when its key had to be refused.  */
  bool key_in_force;     /* Sent when its key, the second, had to be known.  */
  long long sent_at;
  long long ended_at;
  long status;   /* HTTP status, 0 without an answer.  */
  bool complete; /* The request's own answer came in full.  */
  unsigned runs; /* By the endpoints' logs.  */
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
  unsigned requests_count;
  unsigned index;
  unsigned gateway; /* Used until it fails a request.  */
};

static struct caller callers[CALLERS];
static atomic_bool stopping;
static atomic_uint prompts; /* Sent so far.  */
/* When the second key was revoked, 0 while it is valid.  */
static _Atomic long long revoked_at_ms;
/* When it became valid, 0 while it is revoked.  */
static _Atomic long long valid_at_ms = 1;

static size_t
append_body (char *data, size_t size, size_t count, void *context)
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
check_header (char *data, size_t size, size_t count, void *context)
{
  struct answer *a = context;

  if (size * count > 21
      && strncasecmp (data, "X-Response-Signature:", 21) == 0)
    a->signed_by_endpoint = true;
  return size * count;
}

/* Whether A is the full answer to R: a stream of COUNT events, or else the
   echo of R's query, which holds its id.  */
static bool
is_complete (const struct request *r, const struct answer *a, unsigned count)
{
  char expected[BODY_BYTES];
  size_t length = 0;

  if (!a->signed_by_endpoint)
    return false;
  if (r->route != ROUTE_EVENTS)
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
make_headers (const struct request *r)
{
  char text[80];
  struct curl_slist *headers = curl_slist_append (NULL, "Host: h");

  snprintf (text, sizeof text, "X-Key: %s", r->second_key ? "k2" : "k1");
  headers = curl_slist_append (headers, text);
  snprintf (text, sizeof text, "X-Request-Attempt-Id: %s", r->id);
  headers = curl_slist_append (headers, text);
  headers = curl_slist_append (headers, "X-Deadline-Remaining-Ms: 4000");
  /* The parts that crash engines of the other service are no concern of this
     one.  */
  if (r->route == ROUTE_MOVED)
    return headers;
  /* No two prompts are alike.  */
  snprintf (text, sizeof text, "X-Prompt-Prefix: a1:1,%s:1,%u:1",
            r->harmful ? "dead" : "b2", ++prompts);
  return curl_slist_append (headers, text);
}

static void
send_request (CURL *curl, unsigned gateway, struct request *r, unsigned events)
{
  struct curl_slist *headers = make_headers (r);
  struct answer answer = { .length = 0 };
  char url[256];
  unsigned length;

  fleet_gateway_url (gateway, url, sizeof url);
  length = (unsigned)strlen (url);
  if (r->route == ROUTE_EVENTS)
    snprintf (url + length, sizeof url - length, "/events%s%s/%s?n=%u&ms=10",
              r->unframed ? "/open" : "", r->unresumed ? "/limited" : "",
              r->breaks ? "half" : "stream", events);
  else
    snprintf (url + length, sizeof url - length, "/%s/slow%s?ms=%d&q=%s",
              route_names[r->route],
              r->promised ? "/promise"
              : r->stale  ? "/stale"
              : r->odd    ? r->odd
                          : "",
              r->route == ROUTE_MOVED ? MOVED_RUN_MS : RUN_MS, r->id);
  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, 5000L);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &answer);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, check_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &answer);
  /* libcurl sends a request again if a reused connection turns out to be
     closed; a non-idempotent request must be sent once only.  */
  if (r->route == ROUTE_ONCE)
    curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, 1L);
  if (curl_easy_perform (curl) == CURLE_OK)
    {
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &r->status);
      r->complete = r->status == 200 && is_complete (r, &answer, events);
    }
  curl_slist_free_all (headers);
}

static void *
caller_main (void *argument)
{
  struct caller *c = argument;

  while (!stopping && c->requests_count < MAX_REQUESTS)
    {
      struct request *r = &c->requests[c->requests_count];
      const struct timespec pause
          = { 0, (long)ms_random_below (&c->random, MAX_PAUSE_MS) * 1000000 };
      long long revoked = revoked_at_ms;
      long long valid = valid_at_ms;

      snprintf (r->id, sizeof r->id, "r%u-%u", c->index, c->requests_count);
      r->route = (enum route)ms_random_below (&c->random, ROUTE_MOVED);
      if (c->index >= CALLERS - MOVED_CALLERS)
        r->route = ROUTE_MOVED;
      r->unframed = r->route == ROUTE_EVENTS
                    && c->requests_count % UNFRAMED_SHARE == 0;
      r->promised = (r->route == ROUTE_ONCE || r->route == ROUTE_ANY)
                    && c->requests_count % PROMISE_SHARE == 0;
      r->stale = (r->route == ROUTE_ONCE || r->route == ROUTE_ANY)
                 && c->requests_count % PROMISE_SHARE == PROMISE_SHARE / 2;
      if ((r->route == ROUTE_ONCE || r->route == ROUTE_ANY)
          && c->requests_count % ODD_SHARE == ODD_SHARE / 4)
        r->odd = odd_paths[c->requests_count / ODD_SHARE % ODD_KINDS];
      r->unresumed
          = r->route == ROUTE_EVENTS && c->requests_count % BREAK_SHARE == 0;
      r->breaks = r->unresumed
                  || (r->route == ROUTE_EVENTS
                      && c->requests_count % BREAK_SHARE == BREAK_SHARE / 2);
      r->gateway = c->gateway;
      r->second_key = ms_random_below (&c->random, 4) == 0;
      r->harmful = ms_random_below (&c->random, HARMFUL_SHARE) == 0
                   && r->route != ROUTE_MOVED;
      r->after_revocation = r->second_key && revoked
                            && fleet_now_ms () > revoked + REVOCATION_MS;
      r->sent_at = fleet_now_ms ();
      r->key_in_force
          = r->second_key && valid && r->sent_at > valid + CONFIG_APPLY_MS;
      send_request (c->curl, c->gateway, r,
                    5 + (unsigned)ms_random_below (&c->random, 40));
      r->ended_at = fleet_now_ms ();
      /* A key that became valid again meanwhile may be served.  */
      r->after_revocation = r->after_revocation && revoked_at_ms == revoked;
      r->key_in_force = r->key_in_force && valid_at_ms == valid;
      c->requests_count++;
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

      c->index = i;
      c->random.state = seed * (CALLERS - MOVED_CALLERS) + i;
      c->gateway = i % GATEWAYS;
      c->curl = curl_easy_init ();
      c->requests = calloc (MAX_REQUESTS, sizeof *c->requests);
      if (!c->curl || !c->requests
          || pthread_create (&c->thread, NULL, caller_main, c))
        err (EXIT_FAILURE, "caller");
    }
}

void
callers_stop (void)
{
  stopping = true;
  for (unsigned i = 0; i < CALLERS; i++)
    {
      pthread_join (callers[i].thread, NULL);
      curl_easy_cleanup (callers[i].curl);
    }
}

void
callers_set_revoked (long long at_ms)
{
  valid_at_ms = at_ms ? 0 : fleet_now_ms ();
  revoked_at_ms = at_ms;
}

static struct request *
index_requests (void)
{
  struct request *table = NULL;

  for (unsigned i = 0; i < CALLERS; i++)
    for (unsigned j = 0; j < callers[i].requests_count; j++)
      HASH_ADD_STR (table, id, &callers[i].requests[j]);
  return table;
}

/* Whether more than COLD_BOUND of the COUNT runs at TIMES, in ascending order,
   came within one second from COLD_FROM to COLD_UNTIL.  */
static bool
is_flooded (const long long *times, unsigned count, long long cold_from,
            long long cold_until)
{
  unsigned first = 0;

  while (first < count && times[first] < cold_from)
    first++;
  for (unsigned i = first; i < count && times[i] < cold_until; i++)
    {
      while (times[i] - times[first] >= 1000)
        first++;
      if (i - first + 1 > COLD_BOUND)
        return true;
    }
  return false;
}

/* A run that crashed its endpoint.  */
struct crash
{
  long long at;
  unsigned gateway;
};

static struct crash crashes[MAX_CRASHES];
static unsigned crashes_count;

static int
compare_crashes (const void *a, const void *b)
{
  long long x = ((const struct crash *)a)->at;
  long long y = ((const struct crash *)b)->at;

  return (x > y) - (x < y);
}

/* Whether gateways in touch sent more requests than they may with a part under
   which five endpoints had ended; prints how many.  */
static bool
crashes_go_on (bool (*in_touch) (unsigned gateway, long long at_ms))
{
  unsigned late = 0;

  qsort (crashes, crashes_count, sizeof *crashes, compare_crashes);
  for (unsigned i = 5; i < crashes_count; i++)
    late += crashes[i].at > crashes[4].at + STABLE_WINDOW_MS
            && in_touch (crashes[i].gateway, crashes[i].at);
  printf ("%u endpoints crashed by a part\n", crashes_count);
  if (late > MAX_LATE_CRASHES)
    printf (
        "BUDGET: %u requests with a part that had crashed five endpoints\n",
        late);
  return late > MAX_LATE_CRASHES;
}

/* Add the runs of one start of an endpoint to the requests in TABLE.  Prints
   the following breaches and returns their number.  The runs of callers_probe,
   whose ids begin with "try", are looked at for FAILBACK only.

   UNASKED   a run that belongs to no request
   DRAIN     a run later than DRAIN_TIMEOUT_MS after the endpoint left, from a
             gateway in touch with a store that was up when it left, or after
             an answer had told the gateway that it leaves
   FAILBACK  too many runs at a cold endpoint within one second; at one that
             became cold while the store was away those by gateways whose
             process runs  */
static unsigned
count_instance_runs (struct request *table,
                     const struct fleet_instance *instance,
                     bool (*in_touch) (unsigned gateway, long long at_ms),
                     bool (*is_running) (unsigned gateway, long long at_ms))
{
  static long long times[MAX_RUNS];
  static long long running_times[MAX_RUNS];
  unsigned running_count = 0;
  long long told[GATEWAYS] = { 0 };
  unsigned count = 0;
  unsigned breaches = 0;
  FILE *file = fopen (instance->runs, "r");
  char id[64];
  long long at;

  while (file && fscanf (file, "%63s %lld", id, &at) == 2)
    {
      struct request *r;

      if (count < MAX_RUNS)
        times[count++] = at;
      if (strcmp (id, "bad") == 0)
        {
          rollouts_take_bad (instance->version, at);
          continue;
        }
      HASH_FIND_STR (table, id, r);
      if (r && running_count < MAX_RUNS && is_running (r->gateway, at))
        running_times[running_count++] = at;
      if (r && instance->version)
        rollouts_take_run (instance->version, r->gateway, at, r->sent_at);
      if (r && r->harmful && crashes_count < MAX_CRASHES)
        crashes[crashes_count++] = (struct crash){ at, r->gateway };
      if (r && instance->ended_ms && at <= instance->ended_ms
          && instance->ended_ms <= r->ended_at + NOTICE_MS)
        r->broken_off = true;
      if (r)
        r->runs++;
      else if (strncmp (id, "try", 3) != 0
               && strncmp (id, GONE_ID, strlen (GONE_ID)) != 0)
        {
          printf ("UNASKED %s\n", id);
          breaches++;
        }
      if (r && instance->left_ms && at > instance->left_ms + DRAIN_TIMEOUT_MS
          && in_touch (GATEWAYS, instance->left_ms)
          && in_touch (r->gateway, at))
        {
          printf ("DRAIN: %s by gateway %u reached %s %lld ms after it left\n",
                  id, r->gateway, instance->runs, at - instance->left_ms);
          breaches++;
        }
      if (r && told[r->gateway]
          && at > told[r->gateway] + RUN_MS + DRAIN_TIMEOUT_MS
          && in_touch (r->gateway, at))
        {
          printf ("DRAIN: %s by gateway %u reached %s %lld ms after it said "
                  "so\n",
                  id, r->gateway, instance->runs, at - told[r->gateway]);
          breaches++;
        }
      if (r && instance->said_ms && at > instance->said_ms && r->complete
          && !told[r->gateway])
        told[r->gateway] = at;
    }
  if (file)
    fclose (file);
  if (is_flooded (times, count, 0, instance->cold_until_ms)
      || is_flooded (running_times, running_count, instance->cooled_ms,
                     instance->cooled_until_ms))
    {
      printf ("FAILBACK: more than %.0f requests in a second at %s\n",
              COLD_BOUND, instance->runs);
      breaches++;
    }
  return breaches;
}

/* The name of the rule that R breaks, or NULL:

   TWICE    a non-idempotent request ran more than once
   REFUSED  a request was refused as not run, although it ran
   MIXED    an answer is not the full answer to its request or none by HTTP's
            grammar, or came although no endpoint ran the request
   BUDGET   a request ran more often than its route allows
   CONFIG   a request with a revoked key ran, or one was refused by a gateway
            in touch though its key was in force
   DENIED   a valid request got a client error  */
static const char *
broken_rule (const struct request *r,
             bool (*in_touch) (unsigned gateway, long long at_ms))
{
  if (r->route == ROUTE_ONCE && r->runs > 1)
    return "TWICE";
  if (r->runs && (r->status == 503 || r->status == 429))
    return "REFUSED";
  /* The kernel closes an ended endpoint's connections in order.  */
  if (r->status == 200 && !r->complete && !(r->unframed && r->broken_off))
    return "MIXED";
  if (r->status > 599)
    return "MIXED, no answer";
  if (r->status == 200 && !r->runs)
    return "MIXED, without a run";
  if (r->runs > MAX_ATTEMPTS)
    return "BUDGET";
  if (r->after_revocation && r->runs)
    return "CONFIG, revoked key";
  if (r->key_in_force && r->status == 401 && in_touch (r->gateway, r->sent_at))
    return "CONFIG, key in force";
  if (r->status >= 400 && r->status < 500 && r->status != 429
      && !(r->status == 401 && r->second_key))
    return "DENIED";
  return NULL;
}

unsigned
callers_check (bool (*in_touch) (unsigned gateway, long long at_ms),
               bool (*is_running) (unsigned gateway, long long at_ms))
{
  struct request *table = index_requests ();
  unsigned breaches = 0;
  unsigned count;
  const struct fleet_instance *instances = fleet_instances (&count);
  struct request *r, *next;

  for (unsigned i = 0; i < count; i++)
    breaches
        += count_instance_runs (table, &instances[i], in_touch, is_running);
  breaches += crashes_go_on (in_touch);
  HASH_ITER (hh, table, r, next)
  {
    const char *rule = broken_rule (r, in_touch);

    if (rule)
      {
        printf ("%s: %s %s status %ld, %u runs, complete %d\n", rule,
                route_names[r->route], r->id, r->status, r->runs, r->complete);
        breaches++;
      }
    HASH_DEL (table, r);
  }
  return breaches;
}

void
callers_print_counts (void)
{
  unsigned answered = 0, refused = 0, failed = 0, unanswered = 0;

  for (unsigned i = 0; i < CALLERS; i++)
    for (unsigned j = 0; j < callers[i].requests_count; j++)
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
callers_probe (unsigned gateway, unsigned count)
{
  static unsigned probes;
  CURL *curl = curl_easy_init ();
  unsigned answered = 0;

  for (unsigned i = 0; i < count; i++)
    {
      struct request r = { .route = ROUTE_ANY };

      snprintf (r.id, sizeof r.id, "try%u", probes++);
      send_request (curl, gateway, &r, 0);
      if (r.status != 200 || !r.complete)
        break;
      answered++;
    }
  curl_easy_cleanup (curl);
  return answered == count;
}

/* Load generator for the demonstration and the end-to-end tests.  Fetches the
   routers' addresses from one of them and sends ordinary, streamed and
   non-idempotent requests of several teams in concurrent threads.  Checks each
   answer, reads from the endpoints of the plain service how often each request
   ran, and prints outcomes, fairness, latencies and control traffic.  Exits 0
   only if every request had exactly one outcome, each answer belonged to its
   request, and no non-idempotent request ran twice.  */

#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

#define MAX_ADDRESSES 16
#define MAX_TEAMS 64
#define MAX_LEDGERS 16
#define REPLY_BYTES 65536
#define MAX_LATENCIES 100000

/* An ordinary request goes to the model service and has its answer in one
   piece.  */
enum call_kind
{
  CALL_ORDINARY,
  CALL_STREAM,
  CALL_KEYED /* Non-idempotent, with an Idempotency-Key.  */
};

/* As printed; "order" stands for CALL_KEYED.  */
static const char *const kind_names[] = { "ordinary", "streamed", "order" };

struct options
{
  const char *router;        /* Address of the router to ask first.  */
  const char *zone;          /* Of the callers.  */
  const char *model_service; /* Serves ordinary and streamed requests.  */
  const char *plain_service; /* Serves non-idempotent requests.  */
  const char *avoid;         /* Address of a router not to use.  */
  const char *team_prefix;
  int teams;
  int threads;
  int requests_each; /* Of each thread.  */
  int cost;          /* Of a request, in cost units.  */
  bool print_outcomes;
  /* Addresses of the plain service's endpoints, whose /ledger tells how often
     each request ran.  */
  const char *ledgers[MAX_LEDGERS];
  int ledgers_count;
};

static struct options options = { "127.0.0.1:8101",
                                  "",
                                  "agronomo",
                                  "silo-mando",
                                  "",
                                  "silo-",
                                  8,  /* Teams.  */
                                  12, /* Threads.  */
                                  20, /* Requests of each thread.  */
                                  20, /* Cost units of a request.  */
                                  false,
                                  { 0 },
                                  0 };

static char addresses[MAX_ADDRESSES][64];
static int addresses_count;

/* Numbers of requests.  Lost ones got no outcome.  Wrong ones, which are
   counted as answered too, got another request's answer or only a part of
   their own.  */
static atomic_int sent, answered, not_run, failed, unknown, lost, wrong;

/* Cost units that were answered, by team.  */
static atomic_long served_units[MAX_TEAMS];

static long latencies_us[MAX_LATENCIES];
static atomic_int latencies_count;
static char first_request_id[128];
static pthread_mutex_t first_request_lock = PTHREAD_MUTEX_INITIALIZER;

struct reply
{
  char body[REPLY_BYTES];
  size_t length;
  char outcome[32];
  char request_id[128];
  long code;
};

/* Append to the reply's body, and drop what exceeds REPLY_BYTES.  */
static size_t
append_body (char *data, size_t size, size_t count, void *context)
{
  struct reply *reply = context;
  size_t length = size * count;
  size_t space = sizeof reply->body - 1 - reply->length;
  size_t kept = length < space ? length : space;

  memcpy (reply->body + reply->length, data, kept);
  reply->length += kept;
  reply->body[reply->length] = '\0';
  return length;
}

/* Copy the value of the header line LINE, without the line end, into VALUE if
   the header's name is NAME.  */
static void
copy_header (const char *line, size_t length, const char *name, char *value,
             size_t size)
{
  size_t start = strlen (name) + 2; /* Of the value, behind ": ".  */

  if (length <= start || strncasecmp (line, name, start - 2) != 0)
    return;
  while (length && (line[length - 1] == '\n' || line[length - 1] == '\r'))
    length--;
  snprintf (value, size, "%.*s", (int)(length - start), line + start);
}

static size_t
read_header (char *line, size_t size, size_t count, void *context)
{
  struct reply *reply = context;
  size_t length = size * count;

  copy_header (line, length, "Monsoonspur-Outcome", reply->outcome,
               sizeof reply->outcome);
  copy_header (line, length, "Monsoonspur-Request-Id", reply->request_id,
               sizeof reply->request_id);
  return length;
}

/* Send BODY by POST, or a GET if it is NULL.  Returns whether a full response
   came.  */
static bool
perform_request (const char *url, const char *body, struct curl_slist *headers,
                 struct reply *reply)
{
  CURL *curl = curl_easy_init ();
  CURLcode code;

  memset (reply, 0, sizeof *reply);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT, 150L);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, reply);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, read_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, reply);
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  code = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &reply->code);
  curl_easy_cleanup (curl);
  return code == CURLE_OK;
}

/* Ask the router for the addresses of all routers, in the order of preference
   for the callers' zone, and leave out options.avoid.  Returns whether any
   remain.  */
static bool
fetch_addresses (void)
{
  struct reply *reply = malloc (sizeof *reply);
  char url[256];
  json_t *object = NULL;
  json_t *item;
  size_t i;

  snprintf (url, sizeof url, "http://%s/v1/addresses?service=%s&zone=%s",
            options.router, options.model_service, options.zone);
  if (perform_request (url, NULL, NULL, reply))
    object = json_loads (reply->body, 0, NULL);
  json_array_foreach (json_object_get (object, "addresses"), i, item)
  {
    const char *address
        = json_string_value (json_object_get (item, "address"));

    if (addresses_count < MAX_ADDRESSES
        && strcmp (address, options.avoid) != 0)
      snprintf (addresses[addresses_count++], sizeof addresses[0], "%s",
                address);
  }
  json_decref (object);
  free (reply);
  return addresses_count > 0;
}

/* Seconds of the monotonic clock.  */
static double
monotonic_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* Whether REPLY answers the request BODY.  An endpoint echoes the body of a
   request that isn't streamed.  It streams a token for each cost unit; only
   the first and the last are looked for.  */
static bool
is_expected_answer (enum call_kind kind, const char *body,
                    const struct reply *reply)
{
  char last[64];

  if (kind != CALL_STREAM)
    return strstr (reply->body, body) != NULL;
  snprintf (last, sizeof last, "data: token %d\n", options.cost - 1);
  return strstr (reply->body, "data: token 0\n") && strstr (reply->body, last);
}

static void
count_outcome (enum call_kind kind, int team, const char *body,
               const struct reply *reply)
{
  if (strcmp (reply->outcome, "answered") == 0)
    {
      answered++;
      served_units[team] += options.cost;
      if (!is_expected_answer (kind, body, reply))
        wrong++;
    }
  else if (strcmp (reply->outcome, "not-run") == 0)
    not_run++;
  else if (strcmp (reply->outcome, "failed") == 0)
    failed++;
  else if (strcmp (reply->outcome, "unknown") == 0)
    unknown++;
  else
    lost++;
}

/* Send request NUMBER of THREAD and count its outcome.  NUMBER determines its
   kind; NUMBER and THREAD determine its team and router.  */
static void
send_request (int thread, int number)
{
  enum call_kind kind = (enum call_kind) (number % 3);
  int team = (thread + number) % options.teams;
  struct reply *reply = malloc (sizeof *reply);
  struct curl_slist *headers = NULL;
  char url[512], body[128], line[192];
  double start_s = monotonic_s ();

  snprintf (url, sizeof url, "http://%s/services/%s/run",
            addresses[(thread + number) % addresses_count],
            kind == CALL_KEYED ? options.plain_service
                               : options.model_service);
  snprintf (body, sizeof body, "%s cost=%d id=%d-%d-%ld-%d",
            kind == CALL_STREAM ? "stream" : "whole", options.cost, thread,
            number, (long)time (NULL), (int)getpid ());
  snprintf (line, sizeof line, "Monsoonspur-Team: %s%02d", options.team_prefix,
            team + 1);
  headers = curl_slist_append (headers, line);
  if (kind == CALL_KEYED)
    {
      snprintf (line, sizeof line, "Idempotency-Key: %s", body);
      headers = curl_slist_append (headers, line);
    }
  sent++;
  if (perform_request (url, body, headers, reply))
    count_outcome (kind, team, body, reply);
  else
    lost++;
  if (options.print_outcomes)
    printf ("answer %s team=%s%02d kind=%s outcome=%s\n", reply->request_id,
            options.team_prefix, team + 1, kind_names[kind],
            *reply->outcome ? reply->outcome : "lost");
  if (latencies_count < MAX_LATENCIES)
    latencies_us[latencies_count++] = (long)((monotonic_s () - start_s) * 1e6);
  pthread_mutex_lock (&first_request_lock);
  if (!*first_request_id)
    snprintf (first_request_id, sizeof first_request_id, "%s",
              reply->request_id);
  pthread_mutex_unlock (&first_request_lock);
  curl_slist_free_all (headers);
  free (reply);
}

static void *
run_thread (void *context)
{
  int thread = (int)(intptr_t)context;

  for (int i = 0; i < options.requests_each; i++)
    send_request (thread, i);
  return NULL;
}

/* The number of requests that ran more than once, on one or on several of the
   endpoints in options.ledgers.  Skips endpoints that do not answer.  */
static int
count_repeated_runs (void)
{
  struct reply *reply = malloc (sizeof *reply);
  json_t *runs = json_object ();
  const char *key;
  json_t *value;
  int repeated = 0;

  for (int i = 0; i < options.ledgers_count; i++)
    {
      char url[1088];
      json_t *ledger;

      snprintf (url, sizeof url, "http://%s/ledger", options.ledgers[i]);
      if (!perform_request (url, NULL, NULL, reply))
        continue;
      ledger = json_loads (reply->body, 0, NULL);
      json_object_foreach (ledger, key, value)
      {
        json_int_t total = json_integer_value (json_object_get (runs, key))
                           + json_integer_value (value);

        json_object_set_new (runs, key, json_integer (total));
      }
      json_decref (ledger);
    }
  json_object_foreach (runs, key, value)
  {
    repeated += json_integer_value (value) > 1;
  }
  json_decref (runs);
  free (reply);
  return repeated;
}

/* The sum of the metric monsoonspur_NAME over the routers that answer.  */
static double
sum_metric (const char *name)
{
  struct reply *reply = malloc (sizeof *reply);
  double sum = 0;

  for (int i = 0; i < addresses_count; i++)
    {
      char url[1100], prefix[128];
      const char *line;

      snprintf (url, sizeof url, "http://%s/metrics", addresses[i]);
      snprintf (prefix, sizeof prefix, "\nmonsoonspur_%s ", name);
      if (!perform_request (url, NULL, NULL, reply))
        continue;
      line = strstr (reply->body, prefix);
      if (line)
        sum += strtod (line + strlen (prefix), NULL);
    }
  free (reply);
  return sum;
}

static int
compare_longs (const void *a, const void *b)
{
  long left = *(const long *)a;
  long right = *(const long *)b;

  return left < right ? -1 : left > right;
}

static double
latency_ms (int i)
{
  return (double)latencies_us[i] / 1e3;
}

/* Print the measures of a run of ELAPSED_S seconds in which the routers sent
   BYTES and MESSAGES to each other.  */
static void
print_measures (double elapsed_s, double bytes, double messages)
{
  long low = served_units[0], high = served_units[0], total = 0;
  int n = latencies_count;

  for (int i = 0; i < options.teams; i++)
    {
      low = served_units[i] < low ? served_units[i] : low;
      high = served_units[i] > high ? served_units[i] : high;
      total += served_units[i];
    }
  qsort (latencies_us, (size_t)n, sizeof *latencies_us, compare_longs);
  printf ("measure fairness_gap units=%ld\n", high - low);
  printf ("measure utilisation units_per_second=%.0f\n",
          (double)total / elapsed_s);
  printf ("measure control bytes_per_router_second=%.0f "
          "messages_per_router_second=%.1f\n",
          bytes / elapsed_s / addresses_count,
          messages / elapsed_s / addresses_count);
  printf ("measure service p50_ms=%.1f p95_ms=%.1f max_ms=%.1f "
          "answered_share=%.3f\n",
          n ? latency_ms (n / 2) : 0, n ? latency_ms (n * 95 / 100) : 0,
          n ? latency_ms (n - 1) : 0, sent ? (double)answered / sent : 0);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  switch (key)
    {
    case 'r':
      options.router = arg;
      return 0;
    case 'z':
      options.zone = arg;
      return 0;
    case 'p':
      options.print_outcomes = true;
      return 0;
    case 'v':
      options.avoid = arg;
      return 0;
    case 't':
      options.threads = atoi (arg);
      return 0;
    case 'n':
      options.requests_each = atoi (arg);
      return 0;
    case 'c':
      options.cost = atoi (arg);
      return 0;
    case ARGP_KEY_ARG:
      if (options.ledgers_count < MAX_LEDGERS)
        options.ledgers[options.ledgers_count++] = arg;
      return 0;
    default:
      (void)state;
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option argp_options[]
      = { { "router", 'r', "IP:PORT", 0, "Router to ask for addresses", 0 },
          { "zone", 'z', "ZONE", 0, "The callers' availability zone", 0 },
          { "print", 'p', NULL, 0, "Print each answer's outcome", 0 },
          { "avoid", 'v', "IP:PORT", 0, "Address of a router not to use", 0 },
          { "threads", 't', "N", 0, "Number of concurrent callers", 0 },
          { "requests", 'n', "N", 0, "Number of requests of each caller", 0 },
          { "cost", 'c', "UNITS", 0, "Cost of each request, in cost units",
            0 },
          { 0 } };
  const struct argp argp
      = { argp_options, parse_option, "[LEDGER...]", NULL, NULL, NULL, NULL };
  pthread_t threads[256];
  double start_s, elapsed_s, bytes, messages;
  int repeated;

  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (options.threads < 1 || options.threads > 256 || !fetch_addresses ())
    {
      fprintf (stderr,
               "caller: got no router address to use from %s, or --threads is "
               "not within 1 to 256\n",
               options.router);
      return 1;
    }
  printf ("addresses %d, first %s\n", addresses_count, addresses[0]);
  bytes = sum_metric ("peer_bytes_sent_total");
  messages = sum_metric ("peer_messages_sent_total");
  start_s = monotonic_s ();
  for (int i = 0; i < options.threads; i++)
    pthread_create (&threads[i], NULL, run_thread, (void *)(intptr_t)i);
  for (int i = 0; i < options.threads; i++)
    pthread_join (threads[i], NULL);
  elapsed_s = monotonic_s () - start_s;
  bytes = sum_metric ("peer_bytes_sent_total") - bytes;
  messages = sum_metric ("peer_messages_sent_total") - messages;
  repeated = count_repeated_runs ();
  printf ("outcomes answered=%d not-run=%d failed=%d unknown=%d lost=%d "
          "wrong=%d\n",
          answered, not_run, failed, unknown, lost, wrong);
  print_measures (elapsed_s, bytes, messages);
  printf ("request %s\n", first_request_id);
  printf ("demo: %d sent, %d answered, %d refused, %d lost, %d double\n", sent,
          answered, not_run, lost, repeated);
  return lost || wrong || repeated
                 || sent != answered + not_run + failed + unknown
             ? 1
             : 0;
}

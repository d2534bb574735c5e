/* Measures the latency that a router adds: sends the same streamed requests in
   turn straight to an endpoint and through a router, and compares the times to
   the first token and between tokens.  */

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TOKENS 40 /* Of each stream; one cost unit each.  */
#define MAX_RUNS 1000
#define WARM_UP_RUNS 10 /* Not counted.  */

struct stream
{
  double start_s;        /* Time of the request.  */
  double first_s;        /* From the request to the first token.  */
  double last_s;         /* Time of the last token.  */
  double gaps_s[TOKENS]; /* Between two tokens.  */
  int gap_count;
};

/* The times of all streams, either direct or through the router.  */
struct series
{
  double first_s[MAX_RUNS];
  double gaps_s[MAX_RUNS * TOKENS];
  int first_count;
  int gap_count;
};

/* Seconds of the monotonic clock.  */
static double
monotonic_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* Take each block of data that libcurl delivers as one token; tokens that
   arrive together are counted as one.  */
static size_t
record_token (char *data, size_t size, size_t count, void *context)
{
  struct stream *stream = context;
  double now = monotonic_s ();

  (void)data;
  if (!stream->first_s)
    stream->first_s = now - stream->start_s;
  else if (stream->gap_count < TOKENS)
    stream->gaps_s[stream->gap_count++] = now - stream->last_s;
  stream->last_s = now;
  return size * count;
}

/* Run one stream at URL and add its times to SERIES.  Returns 0, or 1 on a
   failure or if so many tokens arrived together that fewer than TOKENS / 2
   times between tokens were measured.  */
static int
run_stream (const char *url, struct series *series)
{
  static const char body[] = "stream cost=40";
  struct curl_slist *headers
      = curl_slist_append (NULL, "Monsoonspur-Team: silo-01");
  struct stream stream = { .start_s = monotonic_s () };
  CURL *curl = curl_easy_init ();
  CURLcode code;

  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT, 30L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, record_token);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &stream);
  code = curl_easy_perform (curl);
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  if (code != CURLE_OK || stream.gap_count < TOKENS / 2)
    return 1;
  series->first_s[series->first_count++] = stream.first_s;
  for (int i = 0; i < stream.gap_count; i++)
    series->gaps_s[series->gap_count++] = stream.gaps_s[i];
  return 0;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

/* The quantile Q, 0 to 1, of COUNT VALUES, which are in seconds; returns
   milliseconds.  Sorts VALUES.  */
static double
quantile_ms (double *values, int count, double q)
{
  if (!count)
    return 0;
  qsort (values, (size_t)count, sizeof *values, compare_doubles);
  return values[(int)((count - 1) * q)] * 1e3;
}

static void
print_row (const char *label, double direct, double routed)
{
  printf ("%-24s direct %8.3f ms  routed %8.3f ms  ratio %6.3f  added %7.3f "
          "ms\n",
          label, direct, routed, routed / direct, routed - direct);
}

int
main (int argc, char **argv)
{
  static struct series direct, routed;
  int runs = argc > 3 ? atoi (argv[3]) : 100;
  int failed = 0; /* Streams of both series, warm-up included.  */

  if (argc < 3 || runs < 1 || runs > MAX_RUNS)
    {
      fprintf (stderr, "usage: latency DIRECT-URL ROUTED-URL [RUNS]\n");
      return 2;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  for (int i = 0; i < runs + WARM_UP_RUNS; i++)
    {
      if (i == WARM_UP_RUNS)
        direct.first_count = direct.gap_count = routed.first_count
            = routed.gap_count = 0;
      failed += run_stream (argv[1], &direct);
      failed += run_stream (argv[2], &routed);
    }
  printf ("runs %d, failed streams %d\n", runs, failed);
  print_row ("first token, median",
             quantile_ms (direct.first_s, direct.first_count, 0.5),
             quantile_ms (routed.first_s, routed.first_count, 0.5));
  print_row ("first token, p95",
             quantile_ms (direct.first_s, direct.first_count, 0.95),
             quantile_ms (routed.first_s, routed.first_count, 0.95));
  print_row ("between tokens, median",
             quantile_ms (direct.gaps_s, direct.gap_count, 0.5),
             quantile_ms (routed.gaps_s, routed.gap_count, 0.5));
  print_row ("between tokens, p95",
             quantile_ms (direct.gaps_s, direct.gap_count, 0.95),
             quantile_ms (routed.gaps_s, routed.gap_count, 0.95));
  return failed ? 1 : 0;
}

/* The router's own part of an answer's time: sends the same streamed requests
   in turn to an endpoint and through a router, and compares the time to the
   first token and between tokens.  */

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TOKENS 40
#define MAX_RUNS 1000
#define WARM_UP 10

struct stream
{
  double begun;
  double first;
  double last;
  double gaps[TOKENS];
  int count;
};

struct series
{
  double first[MAX_RUNS];
  double gaps[MAX_RUNS * TOKENS];
  int firsts;
  int gaps_count;
};

static double
seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static size_t
take (char *data, size_t size, size_t count, void *context)
{
  struct stream *stream = context;
  double now = seconds ();

  (void)data;
  if (!stream->first)
    stream->first = now - stream->begun;
  else if (stream->count < TOKENS)
    stream->gaps[stream->count++] = now - stream->last;
  stream->last = now;
  return size * count;
}

static int
run (const char *url, struct series *series)
{
  static const char body[] = "stream cost=40";
  struct curl_slist *headers
      = curl_slist_append (NULL, "Monsoonspur-Team: silo-01");
  struct stream stream = { .begun = seconds () };
  CURL *curl = curl_easy_init ();
  CURLcode code;

  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT, 30L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, take);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &stream);
  code = curl_easy_perform (curl);
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  if (code != CURLE_OK || stream.count < TOKENS / 2)
    return 1;
  series->first[series->firsts++] = stream.first;
  for (int i = 0; i < stream.count; i++)
    series->gaps[series->gaps_count++] = stream.gaps[i];
  return 0;
}

static int
compare (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

static double
quantile (double *values, int count, double q)
{
  if (!count)
    return 0;
  qsort (values, (size_t)count, sizeof *values, compare);
  return values[(int)((count - 1) * q)] * 1e3;
}

static void
print (const char *what, double direct, double routed)
{
  printf ("%-24s direct %8.3f ms  routed %8.3f ms  ratio %6.3f  added %7.3f "
          "ms\n",
          what, direct, routed, routed / direct, routed - direct);
}

int
main (int argc, char **argv)
{
  static struct series direct, routed;
  int runs = argc > 3 ? atoi (argv[3]) : 100;
  int failed = 0;

  if (argc < 3 || runs < 1 || runs > MAX_RUNS)
    {
      fprintf (stderr, "usage: latency DIRECT-URL ROUTED-URL [RUNS]\n");
      return 2;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  for (int i = 0; i < runs + WARM_UP; i++)
    {
      if (i == WARM_UP)
        direct.firsts = direct.gaps_count = routed.firsts = routed.gaps_count
            = 0;
      failed += run (argv[1], &direct);
      failed += run (argv[2], &routed);
    }
  printf ("runs %d, failed %d\n", runs, failed);
  print ("first token, median", quantile (direct.first, direct.firsts, 0.5),
         quantile (routed.first, routed.firsts, 0.5));
  print ("first token, 95 in 100",
         quantile (direct.first, direct.firsts, 0.95),
         quantile (routed.first, routed.firsts, 0.95));
  print ("between tokens, median",
         quantile (direct.gaps, direct.gaps_count, 0.5),
         quantile (routed.gaps, routed.gaps_count, 0.5));
  print ("between tokens, 95 in 100",
         quantile (direct.gaps, direct.gaps_count, 0.95),
         quantile (routed.gaps, routed.gaps_count, 0.95));
  return failed ? 1 : 0;
}

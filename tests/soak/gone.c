#include "gone.h"

#include <curl/curl.h>
#include <err.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/random.h"
#include "fleet.h"

#define LEAVERS 4
#define MAX_LEAVES 512 /* Of each.  */

/* A stream lasts STREAM_EVENTS times EVENT_MS; its caller leaves after MIN_MS
   to MAX_MS.  */
#define STREAM_EVENTS 60
#define EVENT_MS 50
#define MIN_MS 100
#define MAX_MS 600

/* Half a second after their callers left, endpoints may still work on at most
   MAX_SHARE of the runs that would have lasted that long, and at most MAX_LATE
   requests may reach an endpoint later than that.  An endpoint that was
   stopped for that time reads only then what its socket received before.  */
#define LIMIT_MS 500
#define STAY_MS 800 /* After the time of a caller that stays is over.  */
#define MAX_SHARE 0.25
#define MAX_LATE 3
#define MIN_RUNS 8 /* Fewer show nothing.  */

struct leave
{
  unsigned gateway;
  long long at;
};

struct leaver
{
  struct ms_random random;
  pthread_t thread;
  struct leave leaves[MAX_LEAVES];
  unsigned index;
  unsigned count;
};

static struct leaver leavers[LEAVERS];
static atomic_bool stopping;

static size_t
discard (char *data, size_t size, size_t count, void *context)
{
  (void)data;
  (void)context;
  return size * count;
}

/* Request a stream as ID from GATEWAY and disconnect after LEAVE_MS, or unless
   CLOSES stay connected but allow only that time.  Return when that was.  */
static long long
leave_stream (const char *id, unsigned gateway, long leave_ms, bool closes)
{
  CURL *curl = curl_easy_init ();
  struct curl_slist *headers = curl_slist_append (NULL, "Host: h");
  long long sent_at;
  char text[256];

  headers = curl_slist_append (headers, "X-Key: k1");
  snprintf (text, sizeof text, "X-Request-Attempt-Id: %s", id);
  headers = curl_slist_append (headers, text);
  snprintf (text, sizeof text, "X-Deadline-Remaining-Ms: %ld",
            closes ? 4000 : leave_ms);
  headers = curl_slist_append (headers, text);
  fleet_gateway_url (gateway, text, sizeof text);
  snprintf (text + strlen (text), sizeof text - strlen (text),
            "/events/stream?n=%u&ms=%u", STREAM_EVENTS, EVENT_MS);
  curl_easy_setopt (curl, CURLOPT_URL, text);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS,
                    closes ? leave_ms : leave_ms + STAY_MS);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard);
  sent_at = fleet_now_ms ();
  curl_easy_perform (curl);
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  return closes ? fleet_now_ms () : sent_at + leave_ms;
}

static void *
leaver_main (void *argument)
{
  static const struct timespec pause = { 0, 50000000 };
  struct leaver *l = argument;

  while (!stopping && l->count < MAX_LEAVES)
    {
      struct leave *leave = &l->leaves[l->count];
      long after
          = MIN_MS + (long)ms_random_below (&l->random, MAX_MS - MIN_MS);
      char id[32];

      snprintf (id, sizeof id, GONE_ID "%u-%u", l->index, l->count);
      leave->gateway = (unsigned)ms_random_below (&l->random, GATEWAYS);
      leave->at = leave_stream (id, leave->gateway, after, l->index % 2);
      l->count++;
      nanosleep (&pause, NULL);
    }
  return NULL;
}

void
gone_start (uint64_t seed)
{
  for (unsigned i = 0; i < LEAVERS; i++)
    {
      leavers[i].index = i;
      leavers[i].random.state = ~(seed * LEAVERS + i);
      if (pthread_create (&leavers[i].thread, NULL, leaver_main, &leavers[i]))
        err (EXIT_FAILURE, "caller");
    }
}

void
gone_stop (void)
{
  stopping = true;
  for (unsigned i = 0; i < LEAVERS; i++)
    pthread_join (leavers[i].thread, NULL);
}

/* The leave of request ID if it counts, else NULL; *CLOSES becomes whether its
   caller disconnected.  */
static const struct leave *
find_leave (const char *id, bool *closes,
            bool (*is_running) (unsigned gateway, long long at))
{
  unsigned leaver, number;
  const struct leave *leave;

  if (sscanf (id, GONE_ID "%u-%u", &leaver, &number) != 2 || leaver >= LEAVERS
      || number >= leavers[leaver].count)
    return NULL;
  leave = &leavers[leaver].leaves[number];
  *closes = leaver % 2;
  return is_running (leave->gateway, leave->at)
                 && is_running (leave->gateway, leave->at + LIMIT_MS)
             ? leave
             : NULL;
}

unsigned
gone_check (bool (*is_running) (unsigned gateway, long long at_ms))
{
  unsigned instances_count;
  const struct fleet_instance *instances = fleet_instances (&instances_count);
  /* Of callers whose time was over, and of those that disconnected.  */
  unsigned runs[2] = { 0 }, go_on[2] = { 0 };
  unsigned late = 0, breaches = 0;

  for (unsigned i = 0; i < instances_count; i++)
    {
      char path[sizeof instances->runs + 8];
      char id[64];
      long long began, ended;
      FILE *file;

      snprintf (path, sizeof path, "%s.ends", instances[i].runs);
      file = fopen (path, "r");
      while (file && fscanf (file, "%63s %lld %lld", id, &began, &ended) == 3)
        {
          bool closes;
          const struct leave *leave = find_leave (id, &closes, is_running);

          if (!leave)
            continue;
          if (began > leave->at + LIMIT_MS)
            {
              bool stopped = fleet_was_stopped (&instances[i], leave->at,
                                                leave->at + LIMIT_MS);

              late += !stopped;
              printf ("%s reached %s %lld ms late%s\n", id,
                      strrchr (instances[i].runs, '/'),
                      began - leave->at - LIMIT_MS,
                      stopped ? ", which was stopped" : "");
            }
          runs[closes] += began <= leave->at;
          if (began > leave->at || ended <= leave->at + LIMIT_MS)
            continue;
          go_on[closes]++;
          printf ("%s at %s went on for %lld ms from %lld on\n", id,
                  strrchr (instances[i].runs, '/'), ended - leave->at,
                  leave->at);
        }
      if (file)
        fclose (file);
    }
  for (unsigned closes = 0; closes < 2; closes++)
    {
      bool broken = runs[closes] >= MIN_RUNS
                    && go_on[closes] > MAX_SHARE * runs[closes];

      printf ("%s%u of %u runs went on after %s\n", broken ? "GONE: " : "",
              go_on[closes], runs[closes],
              closes ? "their callers disconnected"
                     : "their callers' time was over");
      breaches += broken;
    }
  if (late > MAX_LATE)
    {
      printf ("GONE: %u requests reached an endpoint late\n", late);
      breaches++;
    }
  return breaches;
}

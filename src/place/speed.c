#include "place/internal.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/alloc.h"

/* The response time of each plain service, learned from its answers.  A
   service whose answers have not been seen yet has the time of the options. */

/* Weights of an answer that was faster or slower than expected, in the
   exponential mean of the service's response time.  The time follows the fast
   answers: slow ones are those of slow or busy endpoints.  */
#define FASTER_WEIGHT 0.1
#define SLOWER_WEIGHT 0.01

/* Largest ratio of measured to expected time that counts.  */
#define MAX_RATIO 3.0

/* Shortest response time that is expected.  */
#define MIN_RESPONSE_MS 1.0

struct ms_speed
{
  uint64_t service;
  double response_ms; /* Of an endpoint with a free slot.  */
  UT_hash_handle hh;
};

static struct ms_speed *
find_speed (struct ms_speed *speeds, uint64_t service)
{
  struct ms_speed *speed;

  HASH_FIND (hh, speeds, &service, sizeof service, speed);
  return speed;
}

double
ms_speed_response_ms (const struct ms_place *place, uint64_t service)
{
  const struct ms_speed *speed = find_speed (place->speeds, service);

  return speed ? speed->response_ms : place->options.speed.response_ms;
}

void
ms_speed_note (struct ms_place *place, uint64_t service, double ratio)
{
  struct ms_speed *speed = find_speed (place->speeds, service);

  if (!speed)
    {
      speed = ms_new (sizeof *speed);
      speed->service = service;
      speed->response_ms = place->options.speed.response_ms;
      HASH_ADD (hh, place->speeds, service, sizeof speed->service, speed);
    }
  if (ratio > MAX_RATIO)
    ratio = MAX_RATIO;
  speed->response_ms += (ratio < 1 ? FASTER_WEIGHT : SLOWER_WEIGHT)
                        * speed->response_ms * (ratio - 1);
  if (speed->response_ms < MIN_RESPONSE_MS)
    speed->response_ms = MIN_RESPONSE_MS;
}

void
ms_speed_destroy (struct ms_place *place)
{
  struct ms_speed *speed, *next;

  HASH_ITER (hh, place->speeds, speed, next)
  {
    HASH_DEL (place->speeds, speed);
    free (speed);
  }
}

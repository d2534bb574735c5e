#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stdint.h>

/* A seeded pseudo-random source (splitmix64); not for secrets.  */
struct ms_random
{
  uint64_t state;
};

uint64_t ms_random_next (struct ms_random *random);

/* A value in [0, BOUND); 0 for a BOUND of 0.  */
uint64_t ms_random_below (struct ms_random *random, uint64_t bound);

#endif

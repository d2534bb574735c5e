#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stdint.h>

/* A pseudo-random number generator (splitmix64).  The seed is the first
   value of STATE; the same seed gives the same numbers, so that runs can be
   replayed.  Not for secrets.  */
struct ms_random
{
  uint64_t state;
};

/* A value of 64 random bits.  */
uint64_t ms_random_next (struct ms_random *random);

/* A value in [0, BOUND); 0 for a BOUND of 0.  */
uint64_t ms_random_below (struct ms_random *random, uint64_t bound);

#endif

#include "base/random.h"

uint64_t
ms_random_next (struct ms_random *random)
{
  uint64_t z = random->state += 0x9e3779b97f4a7c15;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

uint64_t
ms_random_below (struct ms_random *random, uint64_t bound)
{
  return bound ? ms_random_next (random) % bound : 0;
}

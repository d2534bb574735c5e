#include "base/clock.h"

static struct timespec
read_boot_clock (void *context)
{
  struct timespec now;

  (void)context;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return now;
}

struct ms_clock
ms_system_clock (void)
{
  return (struct ms_clock){ .now = read_boot_clock };
}

ms_time
ms_now (const struct ms_clock *clock)
{
  struct timespec now = clock->now (clock->context);

  return (ms_time)now.tv_sec * MS_SEC + now.tv_nsec / 1000;
}

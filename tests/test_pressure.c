#include "check.h"

#include "admit/pressure.h"

#define TICK (20 * MS_MSEC)

/* Model of callers that all use one router until it refuses them.  Their
   connections wait in its queue, oldest first, and each caller leaves after
   PATIENCE.  Closing the port resets the connections in the queue.  Accepting
   a connection takes ACCEPT_TIME of the processor, even if its caller has
   already left.  */
#define PATIENCE (1 * MS_SEC)
#define ACCEPT_TIME (1 * MS_MSEC)
#define CONNECTIONS_PER_TICK 60
#define QUEUE 4096

struct flood
{
  ms_time queue[QUEUE]; /* When each connection arrived.  */
  unsigned count;       /* Connections in the queue.  */
  unsigned served;      /* Connections whose callers were still there.  */
  unsigned refused;
  ms_time longest_shut;
};

/* Run the model for TIME; the router never closes its port if PRESSURE is
   NULL.  */
static void
simulate_flood (struct flood *flood, struct ms_pressure *pressure,
                ms_time time)
{
  ms_time now = TICK;
  ms_time idle = 0;
  ms_time shut_since = 0;

  while (now < time)
    {
      ms_time tick_start = now;

      for (unsigned i = 0; i < flood->count; i++)
        {
          flood->served += now - flood->queue[i] <= PATIENCE;
          now += ACCEPT_TIME;
        }
      flood->count = 0;
      if (now - tick_start < TICK)
        {
          idle += TICK - (now - tick_start);
          now = tick_start + TICK;
        }
      for (ms_time at = tick_start; at < now;
           at += TICK / CONNECTIONS_PER_TICK)
        if (shut_since)
          flood->refused++;
        else if (flood->count < QUEUE)
          flood->queue[flood->count++] = at;
      if (pressure)
        ms_pressure_tick (pressure, now, TICK, idle);
      if (!pressure || !ms_pressure_shut (pressure))
        shut_since = 0;
      else if (!shut_since)
        {
          shut_since = now;
          flood->refused += flood->count;
          flood->count = 0;
        }
      if (shut_since && now - shut_since > flood->longest_shut)
        flood->longest_shut = now - shut_since;
    }
}

/* Guards against a router that only serves callers that have already left:
   with three times the load that it can handle, its queue grows longer than
   callers wait.  With pressure detection more than half of its capacity serves
   callers in time, and the rest are refused.  */
static void
test_overloaded_router_refuses_connections (void **state)
{
  static struct flood without;
  static struct flood with;
  struct ms_pressure *pressure = ms_pressure_create ();
  unsigned capacity = 10 * MS_SEC / ACCEPT_TIME;

  (void)state;
  simulate_flood (&without, NULL, 10 * MS_SEC);
  simulate_flood (&with, pressure, 10 * MS_SEC);
  assert_true (without.served < capacity / 3);
  assert_true (with.served > capacity / 2);
  assert_true (with.refused > capacity);
  assert_true (with.longest_shut < 3 * MS_SEC);
  ms_pressure_destroy (pressure);
}

/* A router that is busy for a short time, or whose process was suspended, is
   not overloaded.  */
static void
test_bursts_and_suspension_are_no_pressure (void **state)
{
  struct ms_pressure *pressure = ms_pressure_create ();
  ms_time idle = 0;

  (void)state;
  for (ms_time now = TICK; now < 10 * MS_SEC; now += TICK)
    {
      ms_time busy = now % MS_SEC < 100 * MS_MSEC ? TICK : TICK / 4;

      idle += TICK - busy;
      ms_pressure_tick (pressure, now, TICK, idle);
      assert_false (ms_pressure_high (pressure));
      assert_false (ms_pressure_shut (pressure));
    }
  idle += 5 * MS_SEC;
  ms_pressure_tick (pressure, 15 * MS_SEC, TICK, idle);
  assert_false (ms_pressure_shut (pressure));
  ms_pressure_destroy (pressure);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_overloaded_router_refuses_connections),
    cmocka_unit_test (test_bursts_and_suspension_are_no_pressure),
  };

  return RUN (tests);
}

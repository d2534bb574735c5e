#include "check.h"

#include "admit/pressure.h"

#define TICK (20 * MS_MSEC)

/* Callers that all keep to one router until it turns them away; their
   connections wait in its queue, oldest first, and they leave after a second.
   Closing the port resets those that wait.
   Taking a connection costs the same whether its caller is there or not.  */
#define PATIENCE (1 * MS_SEC)
#define CALL_COST (1 * MS_MSEC)
#define CALLS_IN_A_TICK 60
#define QUEUE 4096

struct flood
{
  ms_time queue[QUEUE]; /* When each came.  */
  unsigned count;
  unsigned served;
  unsigned elsewhere;
  ms_time longest_shut;
};

static void
play_flood (struct flood *flood, struct ms_pressure *pressure, ms_time time)
{
  ms_time now = TICK;
  ms_time idle = 0;
  ms_time shut_since = 0;

  while (now < time)
    {
      ms_time begun = now;

      for (unsigned i = 0; i < flood->count; i++)
        {
          flood->served += now - flood->queue[i] <= PATIENCE;
          now += CALL_COST;
        }
      flood->count = 0;
      if (now - begun < TICK)
        {
          idle += TICK - (now - begun);
          now = begun + TICK;
        }
      for (ms_time at = begun; at < now; at += TICK / CALLS_IN_A_TICK)
        if (shut_since)
          flood->elsewhere++;
        else if (flood->count < QUEUE)
          flood->queue[flood->count++] = at;
      if (pressure)
        ms_pressure_turn (pressure, now, TICK, idle);
      if (!pressure || !ms_pressure_shut (pressure))
        shut_since = 0;
      else if (!shut_since)
        {
          shut_since = now;
          flood->elsewhere += flood->count;
          flood->count = 0;
        }
      if (shut_since && now - shut_since > flood->longest_shut)
        flood->longest_shut = now - shut_since;
    }
}

/* Callers that ask three times what their router can do are served in time or
   turned away at once; without, hardly any is served.  */
static void
test_flooded_router_turns_callers_away (void **state)
{
  static struct flood without;
  static struct flood with;
  struct ms_pressure *pressure = ms_pressure_create ();
  unsigned able = 10 * MS_SEC / CALL_COST;

  (void)state;
  play_flood (&without, NULL, 10 * MS_SEC);
  play_flood (&with, pressure, 10 * MS_SEC);
  assert_true (without.served < able / 3);
  assert_true (with.served > able / 2);
  assert_true (with.elsewhere > able);
  assert_true (with.longest_shut < 3 * MS_SEC);
  ms_pressure_destroy (pressure);
}

/* One that is busy for a moment, or that stood still, is not pressed.  */
static void
test_short_work_and_stand_stills_are_no_pressure (void **state)
{
  struct ms_pressure *pressure = ms_pressure_create ();
  ms_time idle = 0;

  (void)state;
  for (ms_time now = TICK; now < 10 * MS_SEC; now += TICK)
    {
      ms_time busy = now % MS_SEC < 100 * MS_MSEC ? TICK : TICK / 4;

      idle += TICK - busy;
      ms_pressure_turn (pressure, now, TICK, idle);
      assert_false (ms_pressure_high (pressure));
      assert_false (ms_pressure_shut (pressure));
    }
  idle += 5 * MS_SEC;
  ms_pressure_turn (pressure, 15 * MS_SEC, TICK, idle);
  assert_false (ms_pressure_shut (pressure));
  ms_pressure_destroy (pressure);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_flooded_router_turns_callers_away),
    cmocka_unit_test (test_short_work_and_stand_stills_are_no_pressure),
  };

  return RUN (tests);
}

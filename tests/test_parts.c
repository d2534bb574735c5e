#include "check.h"

#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "guard/parts.h"

#define SYSTEM 1 /* A part that all prompts begin with.  */
#define CRASHING 2
#define SOUND 3

static const uint64_t self = 7;
static const struct ms_part_guard_options quiet = { 0 };

static struct ms_part_guard *
create_guard (void)
{
  struct ms_part_guard *guard = ms_part_guard_create (&quiet);

  ms_part_guard_set_routers (guard, self, &self, 1);
  return guard;
}

/* DEATHS endpoints die, 400 ms apart from START on, before they begin to
   answer a request with PART.  Return when the last one did.  */
static ms_time
crash (struct ms_part_guard *guard, uint64_t part, unsigned deaths,
       ms_time start)
{
  ms_time at = start;

  for (unsigned i = 0; i < deaths; i++)
    {
      at = start + (ms_time)i * 400 * MS_MSEC;
      ms_part_guard_died (guard, &part, 1, (uint64_t)at, at);
    }
  return at;
}

static enum ms_part_verdict
admit (struct ms_part_guard *guard, uint64_t part, ms_time now)
{
  return ms_part_guard_admit (guard, &part, 1, now);
}

/* Guards against requests unlike each other that crash one endpoint after the
   other by a part that they share.  */
static void
test_part_that_crashes_endpoints_is_quarantined (void **state)
{
  static const uint64_t crashing[] = { SYSTEM, CRASHING };
  static const uint64_t sound[] = { SYSTEM, SOUND };
  struct ms_part_guard *guard = create_guard ();
  ms_time now = MS_SEC;

  (void)state;
  for (unsigned i = 0; i < 5; i++)
    {
      now += 500 * MS_MSEC;
      ms_part_guard_died (guard, crashing, 2, 100 + i, now);
      ms_part_guard_began (guard, sound, 2, now + MS_MSEC);
    }
  now += 10 * MS_SEC;
  assert_int_equal (ms_part_guard_admit (guard, crashing, 2, now),
                    MS_PART_QUARANTINED);
  assert_int_equal (ms_part_guard_admit (guard, sound, 2, now), MS_PART_CLEAR);
  assert_false (ms_part_guard_is_clear (guard, crashing, 2, now));
  assert_int_equal (ms_part_guard_count (guard, now), 1);
  ms_part_guard_tick (guard, now + MS_PART_QUARANTINE_TIME);
  assert_int_equal (admit (guard, CRASHING, now + MS_PART_QUARANTINE_TIME),
                    MS_PART_CLEAR);
  ms_part_guard_destroy (guard);
}

/* Guards against a sound part that stays refused because its requests were at
   endpoints that died.  */
static void
test_trial_clears_a_sound_part (void **state)
{
  static const uint64_t part = SOUND;
  struct ms_part_guard *guard = create_guard ();
  ms_time last = crash (guard, SOUND, 3, MS_SEC);

  (void)state;
  assert_int_equal (admit (guard, SOUND, last + 500 * MS_MSEC),
                    MS_PART_QUARANTINED);
  assert_int_equal (admit (guard, SOUND, last + MS_SEC), MS_PART_TRIAL);
  /* One at a time, and again if nothing is heard of it.  */
  assert_int_equal (admit (guard, SOUND, last + MS_SEC), MS_PART_QUARANTINED);
  assert_int_equal (admit (guard, SOUND, last + 4 * MS_SEC), MS_PART_TRIAL);
  ms_part_guard_began (guard, &part, 1, last + 4 * MS_SEC);
  assert_int_equal (admit (guard, SOUND, last + 4 * MS_SEC), MS_PART_CLEAR);
  ms_part_guard_destroy (guard);
}

/* Guards against a part whose trial crashes endpoint after endpoint.  */
static void
test_trials_end (void **state)
{
  static const uint64_t part = CRASHING;
  struct ms_part_guard *guard = create_guard ();
  ms_time now = crash (guard, CRASHING, 3, MS_SEC);
  unsigned trials = 0;

  (void)state;
  for (unsigned i = 0; i < 100; i++)
    {
      now += 500 * MS_MSEC;
      if (admit (guard, CRASHING, now) == MS_PART_QUARANTINED)
        continue;
      trials++;
      ms_part_guard_died (guard, &part, 1, 1000 + i, now);
    }
  assert_int_equal (trials, 1);
  ms_part_guard_destroy (guard);
}

/* Guards against trials of a sound part by requests that have a crashing one
   as well.  */
static void
test_trial_with_one_suspect_comes_first (void **state)
{
  static const uint64_t both[] = { CRASHING, SOUND };
  struct ms_part_guard *guard = create_guard ();
  ms_time last = 0;

  (void)state;
  for (unsigned i = 0; i < 3; i++)
    {
      last = MS_SEC + (ms_time)i * 400 * MS_MSEC;
      ms_part_guard_died (guard, both, 2, 1 + i, last);
    }
  assert_int_equal (ms_part_guard_admit (guard, both, 2, last + MS_SEC),
                    MS_PART_QUARANTINED);
  assert_int_equal (admit (guard, SOUND, last + MS_SEC), MS_PART_TRIAL);
  ms_part_guard_destroy (guard);
}

/* Guards against suspects by a failure of many endpoints at once, or of one
   endpoint that breaks many requests.  */
static void
test_failures_of_another_cause_make_no_suspect (void **state)
{
  static const uint64_t part = SYSTEM;
  struct ms_part_guard *guard = create_guard ();
  ms_time now = MS_SEC;

  (void)state;
  for (unsigned i = 0; i < 8; i++)
    ms_part_guard_died (guard, &part, 1, 1 + i,
                        now + (ms_time)i * 30 * MS_MSEC);
  assert_int_equal (admit (guard, SYSTEM, now + MS_SEC), MS_PART_CLEAR);
  for (unsigned i = 0; i < 8; i++)
    ms_part_guard_died (guard, &part, 1, 1, now + (ms_time)i * 400 * MS_MSEC);
  assert_int_equal (admit (guard, SYSTEM, now + 4 * MS_SEC), MS_PART_CLEAR);
  ms_part_guard_destroy (guard);
}

/* Guards against reports that go on between routers for good, and against an
   answer that older reports undo.  */
static void
test_reports_end_and_answers_win (void **state)
{
  static const uint64_t part = SOUND;
  struct ms_part_guard *a = create_guard ();
  struct ms_part_guard *b = create_guard ();
  struct ms_part_report reports[8];
  unsigned count;
  ms_time last = crash (a, SOUND, 3, MS_SEC);

  (void)state;
  count = ms_part_guard_report (a, reports, 8, last + 100 * MS_MSEC);
  assert_int_equal (count, 4);
  for (unsigned i = 0; i < count; i++)
    ms_part_guard_merge (b, &reports[i], last + 100 * MS_MSEC);
  assert_int_equal (admit (b, SOUND, last + 200 * MS_MSEC),
                    MS_PART_QUARANTINED);
  ms_part_guard_began (b, &part, 1, last + 300 * MS_MSEC);
  for (unsigned i = 0; i < count; i++)
    ms_part_guard_merge (b, &reports[i], last + 150 * MS_MSEC);
  assert_int_equal (admit (b, SOUND, last + 400 * MS_MSEC), MS_PART_CLEAR);
  count = ms_part_guard_report (b, reports, 8, last + 400 * MS_MSEC);
  assert_int_equal (count, 1);
  ms_part_guard_merge (a, &reports[0], last + 410 * MS_MSEC);
  assert_int_equal (admit (a, SOUND, last + 500 * MS_MSEC), MS_PART_CLEAR);
  assert_int_equal (ms_part_guard_report (a, reports, 8, last + 10 * MS_SEC),
                    0);
  assert_int_equal (ms_part_guard_report (b, reports, 8, last + 10 * MS_SEC),
                    0);
  ms_part_guard_destroy (a);
  ms_part_guard_destroy (b);
}

/* Guards against the loss of all that is known of a part when all routers
   start again before its trial, and against a sound one that the store brings
   back.  */
static void
test_store_has_suspects_until_they_are_cleared (void **state)
{
  static const uint64_t part = SOUND;
  struct ms_part_guard *before = create_guard ();
  struct ms_part_guard *after = create_guard ();
  struct ms_part_report stored;
  ms_time last = crash (before, SOUND, 3, MS_SEC);
  ms_time now = last + 200 * MS_MSEC;

  (void)state;
  assert_true (ms_part_guard_unstored (before, &stored, now));
  ms_part_guard_set_stored (before, &stored);
  assert_false (ms_part_guard_unstored (before, &stored, now));
  ms_part_guard_merge (after, &stored, now);
  assert_int_equal (admit (after, SOUND, now), MS_PART_QUARANTINED);
  assert_false (ms_part_guard_is_cleared (after, &stored, now));
  ms_part_guard_began (after, &part, 1, now);
  stored.age += 20 * MS_SEC;
  ms_part_guard_tick (after, now + 20 * MS_SEC);
  assert_true (ms_part_guard_is_cleared (after, &stored, now + 20 * MS_SEC));
  ms_part_guard_merge (after, &stored, now + 20 * MS_SEC);
  assert_int_equal (admit (after, SOUND, now + 20 * MS_SEC), MS_PART_CLEAR);
  ms_part_guard_destroy (before);
  ms_part_guard_destroy (after);
}

/* Guards against a record of the store that stays one of a part under trial
   when the trial has failed: after a restart of all routers, each could begin
   a trial of its own.  */
static void
test_store_has_parts_in_quarantine_as_such (void **state)
{
  struct ms_part_guard *before = create_guard ();
  struct ms_part_guard *after = create_guard ();
  struct ms_part_report stored;
  ms_time last = crash (before, CRASHING, 3, MS_SEC);
  ms_time now = last + 200 * MS_MSEC;

  (void)state;
  assert_true (ms_part_guard_unstored (before, &stored, now));
  ms_part_guard_set_stored (before, &stored);
  assert_false (ms_part_guard_unstored (before, &stored, now));
  now = crash (before, CRASHING, 1, last + 2 * MS_SEC);
  assert_int_equal (admit (before, CRASHING, now), MS_PART_QUARANTINED);
  assert_true (ms_part_guard_unstored (before, &stored, now));
  ms_part_guard_set_stored (before, &stored);
  assert_false (ms_part_guard_unstored (before, &stored, now));
  stored.age += 20 * MS_SEC;
  now += 20 * MS_SEC;
  ms_part_guard_merge (after, &stored, now);
  assert_int_equal (admit (after, CRASHING, now), MS_PART_QUARANTINED);
  ms_part_guard_destroy (before);
  ms_part_guard_destroy (after);
}

/* A fleet before endpoints that a part crashes.  Times are in steps of STEP.
   Requests begin to be answered BEGIN_STEPS after they were sent; an endpoint
   that died is back after BACK_STEPS as another one.  Routers of a zone report
   to each other, and the first of each zone to those of the other zones.  */
#define STEP (10 * MS_MSEC)
#define BEGIN_STEPS 10
#define BACK_STEPS 300
#define REPORT_STEPS 10
#define ZONES 3
#define MAX_ROUTERS 90
#define ENDPOINTS 18
#define IN_FLIGHT 4096
#define STABLE_STEPS 300 /* stable_window_ms.  */

struct request
{
  unsigned router;
  unsigned endpoint;
  uint64_t start; /* Of the endpoint.  */
  uint64_t parts[3];
  unsigned begins_at;
  bool waiting;
};

struct fleet
{
  struct ms_random random;
  struct ms_part_guard *guards[MAX_ROUTERS];
  unsigned started_at[MAX_ROUTERS];
  uint64_t ids[MAX_ROUTERS];
  unsigned routers;
  uint64_t starts[ENDPOINTS];
  unsigned back_at[ENDPOINTS];
  struct request requests[IN_FLIGHT];
  unsigned next_request;
  unsigned crashes;
  unsigned fifth_at; /* Step of the fifth crash; 0 before.  */
  unsigned late_sends;
  unsigned sound_asked; /* Late sound requests, and those that were refused. */
  unsigned sound_refused;
};

static ms_time
step_time (unsigned step)
{
  return MS_SEC + step * STEP;
}

/* The endpoint dies under all requests that have not begun there.  */
static void
crash_endpoint (struct fleet *f, const struct request *cause, unsigned step)
{
  for (unsigned i = 0; i < IN_FLIGHT; i++)
    {
      struct request *r = &f->requests[i];

      if (!r->waiting || r->endpoint != cause->endpoint
          || r->start != cause->start)
        continue;
      r->waiting = false;
      ms_part_guard_died (f->guards[r->router], r->parts, 3, r->start,
                          step_time (step));
    }
  f->back_at[cause->endpoint] = step + BACK_STEPS;
  f->starts[cause->endpoint]++;
  if (++f->crashes == 5)
    f->fifth_at = step;
}

/* Router FROM reports to those of its zone, and as the first of its zone to
   the first of the others.  One report in twenty is lost.  */
static void
report_from (struct fleet *f, unsigned from, unsigned step)
{
  struct ms_part_report reports[64];
  unsigned count
      = ms_part_guard_report (f->guards[from], reports, 64, step_time (step));

  for (unsigned to = 0; to < f->routers; to++)
    {
      if (to == from || ms_random_below (&f->random, 20) == 0
          || (to % ZONES != from % ZONES && (to >= ZONES || from >= ZONES)))
        continue;
      for (unsigned i = 0; i < count; i++)
        ms_part_guard_merge (f->guards[to], &reports[i], step_time (step));
    }
}

static void
send_to_fleet (struct fleet *f, bool crashing, unsigned step)
{
  struct request *r = &f->requests[f->next_request++ % IN_FLIGHT];
  bool late;
  unsigned tries = 0;
  enum ms_part_verdict verdict;

  r->router = (unsigned)ms_random_below (&f->random, f->routers);
  late = f->fifth_at && step > f->fifth_at + STABLE_STEPS
         && (!f->started_at[r->router]
             || step > f->started_at[r->router] + STABLE_STEPS);
  r->parts[0] = SYSTEM;
  r->parts[1] = crashing ? CRASHING : 100 + ms_random_below (&f->random, 40);
  r->parts[2] = 1000 + ms_random_below (&f->random, 200);
  do
    r->endpoint = (unsigned)ms_random_below (&f->random, ENDPOINTS);
  while (f->back_at[r->endpoint] > step && ++tries < 100);
  r->start = r->endpoint + 100 * f->starts[r->endpoint];
  r->begins_at = step + BEGIN_STEPS;
  verdict = ms_part_guard_admit (f->guards[r->router], r->parts, 3,
                                 step_time (step));
  r->waiting = verdict != MS_PART_QUARANTINED;
  if (verdict == MS_PART_TRIAL)
    report_from (f, r->router, step);
  f->late_sends += late && crashing && r->waiting;
  f->sound_asked += late && !crashing;
  f->sound_refused += late && !crashing && !r->waiting;
}

static void
begin_answers (struct fleet *f, unsigned step)
{
  for (unsigned i = 0; i < IN_FLIGHT; i++)
    {
      struct request *r = &f->requests[i];

      if (!r->waiting || r->begins_at != step)
        continue;
      if (r->parts[1] == CRASHING)
        crash_endpoint (f, r, step);
      else
        ms_part_guard_began (f->guards[r->router], r->parts, 3,
                             step_time (step));
      r->waiting = false;
    }
}

static void
restart_router (struct fleet *f, unsigned i, unsigned step)
{
  f->started_at[i] = step;
  ms_part_guard_destroy (f->guards[i]);
  f->guards[i] = ms_part_guard_create (&quiet);
  ms_part_guard_set_routers (f->guards[i], f->ids[i], f->ids, f->routers);
}

static void
run_fleet (unsigned routers, unsigned crashing_gap, bool restarts,
           uint64_t seed)
{
  struct fleet *f = calloc (1, sizeof *f);

  f->random.state = seed;
  f->routers = routers;
  for (unsigned i = 0; i < routers; i++)
    f->ids[i] = 1 + i;
  for (unsigned i = 0; i < routers; i++)
    restart_router (f, i, 0);
  for (unsigned step = 1; step < 4000; step++)
    {
      begin_answers (f, step);
      send_to_fleet (f, false, step);
      send_to_fleet (f, false, step);
      if (ms_random_below (&f->random, crashing_gap) == 0)
        send_to_fleet (f, true, step);
      for (unsigned i = 0; i < routers; i++)
        if ((step + i) % REPORT_STEPS == 0)
          report_from (f, i, step);
      if (restarts && step % 500 == 0)
        for (unsigned i = 0; i < routers; i += 2)
          restart_router (f, i, step);
    }
  assert_true (f->crashes >= 4);
  assert_true (f->late_sends <= 3);
  assert_true (!f->fifth_at || f->sound_asked > 100);
  assert_true (f->sound_refused * 20 <= f->sound_asked);
  for (unsigned i = 0; i < routers; i++)
    ms_part_guard_destroy (f->guards[i]);
  free (f);
}

/* Guards against more than three requests with a crashing part that reach
   endpoints later than 3 s after the fifth crash, and against refusals of
   those with its other parts.  */
static void
test_fleet_ends_crashes_and_serves_the_rest (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      run_fleet (9, 10, false, seed);
      run_fleet (9, 100, false, seed);
      run_fleet (MAX_ROUTERS, 20, false, seed);
    }
}

/* The same while half of the routers start again every five seconds.  */
static void
test_fleet_ends_crashes_while_routers_restart (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      run_fleet (9, 20, true, seed);
      run_fleet (MAX_ROUTERS, 20, true, seed);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_part_that_crashes_endpoints_is_quarantined),
    cmocka_unit_test (test_trial_clears_a_sound_part),
    cmocka_unit_test (test_trials_end),
    cmocka_unit_test (test_trial_with_one_suspect_comes_first),
    cmocka_unit_test (test_failures_of_another_cause_make_no_suspect),
    cmocka_unit_test (test_reports_end_and_answers_win),
    cmocka_unit_test (test_store_has_suspects_until_they_are_cleared),
    cmocka_unit_test (test_store_has_parts_in_quarantine_as_such),
    cmocka_unit_test (test_fleet_ends_crashes_and_serves_the_rest),
    cmocka_unit_test (test_fleet_ends_crashes_while_routers_restart),
  };

  return RUN (tests);
}

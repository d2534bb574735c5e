#include "check.h"

#include <stdlib.h>
#include <string.h>

#include "once/once.h"

#define KEY 42
#define MAX_RECORDS 32

/* A log that keeps what was appended.  */
struct log
{
  char *records[MAX_RECORDS];
  unsigned count;
};

static void
keep (void *context, const struct ms_effect *effect)
{
  struct log *log = context;

  if (effect->kind == MS_EFFECT_APPEND && log->count < MAX_RECORDS)
    log->records[log->count++] = strdup (effect->append.text);
}

static void
clear (struct log *log)
{
  while (log->count)
    free (log->records[--log->count]);
}

static struct ms_once *
create (uint64_t node, const struct ms_sink *sink)
{
  struct ms_once *once = ms_once_create (node, 1, sink);

  ms_once_caught_up (once);
  return once;
}

static bool
feed (struct ms_once *once, const struct log *log, unsigned index,
      struct ms_once_verdict *verdict)
{
  return ms_once_record (once, ms_str (log->records[index]), verdict);
}

static void
test_first_intent_in_the_log_wins (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { keep, &log };
  struct ms_once *a = create (1, &sink);
  struct ms_once *b = create (2, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  assert_int_equal (ms_once_begin (b, KEY, 20).state, MS_ONCE_WAIT);
  assert_int_equal (ms_once_begin (a, KEY, 10).state, MS_ONCE_WAIT);
  assert_false (feed (a, &log, 0, &verdict));
  assert_true (feed (a, &log, 1, &verdict));
  assert_int_equal (verdict.state, MS_ONCE_REPEAT);
  assert_int_equal (verdict.outcome, MS_UNKNOWN);
  assert_true (feed (b, &log, 0, &verdict));
  assert_int_equal (verdict.state, MS_ONCE_RUN);
  assert_int_equal (verdict.request, 20);
  ms_once_destroy (a);
  ms_once_destroy (b);
  clear (&log);
}

static void
test_repeated_intent_is_the_same (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { keep, &log };
  struct ms_once *once = create (1, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  ms_once_begin (once, KEY, 10);
  ms_once_append_failed (once, 1);
  ms_once_tick (once, 5 * MS_SEC);
  assert_int_equal (log.count, 2);
  assert_true (feed (once, &log, 0, &verdict));
  assert_int_equal (verdict.state, MS_ONCE_RUN);
  assert_false (feed (once, &log, 1, &verdict));
  ms_once_destroy (once);
  clear (&log);
}

static void
test_recorded_outcome_is_told (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { keep, &log };
  struct ms_once *once = create (1, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  ms_once_begin (once, KEY, 10);
  feed (once, &log, 0, &verdict);
  ms_once_end (once, KEY, 10, MS_ANSWERED);
  feed (once, &log, 1, &verdict);
  verdict = ms_once_begin (once, KEY, 11);
  assert_int_equal (verdict.state, MS_ONCE_REPEAT);
  assert_int_equal (verdict.outcome, MS_ANSWERED);
  ms_once_destroy (once);
  clear (&log);
}

static void
test_not_run_frees_the_key (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { keep, &log };
  struct ms_once *once = create (1, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  ms_once_begin (once, KEY, 10);
  feed (once, &log, 0, &verdict);
  ms_once_end (once, KEY, 10, MS_NOT_RUN);
  feed (once, &log, 1, &verdict);
  assert_int_equal (ms_once_begin (once, KEY, 11).state, MS_ONCE_WAIT);
  assert_true (feed (once, &log, 2, &verdict));
  assert_int_equal (verdict.state, MS_ONCE_RUN);
  ms_once_destroy (once);
  clear (&log);
}

static void
test_late_copy_of_a_freed_intent_is_void (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { keep, &log };
  struct ms_once *once = create (1, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  ms_once_begin (once, KEY, 10);
  feed (once, &log, 0, &verdict);
  ms_once_end (once, KEY, 10, MS_NOT_RUN);
  feed (once, &log, 1, &verdict);
  feed (once, &log, 0, &verdict);
  assert_int_equal (ms_once_begin (once, KEY, 11).state, MS_ONCE_WAIT);
  ms_once_destroy (once);
  clear (&log);
}

static void
test_abandoned_intent_is_freed_when_it_lands (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { keep, &log };
  struct ms_once *once = create (1, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  ms_once_begin (once, KEY, 10);
  ms_once_end (once, KEY, 10, MS_NOT_RUN);
  assert_false (feed (once, &log, 0, &verdict));
  assert_int_equal (log.count, 2);
  assert_non_null (strstr (log.records[1], "outcome"));
  ms_once_destroy (once);
  clear (&log);
}

static void
test_unread_stream_refuses (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { keep, &log };
  struct ms_once *once = ms_once_create (1, 1, &sink);

  (void)state;
  assert_int_equal (ms_once_begin (once, KEY, 10).state, MS_ONCE_NOT_READY);
  ms_once_destroy (once);
}

static void
test_malformed_records_are_skipped (void **state)
{
  static const char *const texts[]
      = { "", "intent", "intent zz 1 3", "outcome 1 2 99", "noise 1 2 3" };
  struct log log = { 0 };
  const struct ms_sink sink = { keep, &log };
  struct ms_once *once = create (1, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    assert_false (ms_once_record (once, ms_str (texts[i]), &verdict));
  ms_once_destroy (once);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_first_intent_in_the_log_wins),
    cmocka_unit_test (test_repeated_intent_is_the_same),
    cmocka_unit_test (test_recorded_outcome_is_told),
    cmocka_unit_test (test_not_run_frees_the_key),
    cmocka_unit_test (test_late_copy_of_a_freed_intent_is_void),
    cmocka_unit_test (test_abandoned_intent_is_freed_when_it_lands),
    cmocka_unit_test (test_unread_stream_refuses),
    cmocka_unit_test (test_malformed_records_are_skipped),
  };

  return RUN (tests);
}

#include "check.h"

#include <stdlib.h>
#include <string.h>

#include "once/once.h"

#define KEY 42
#define MAX_RECORDS 32

/* Tag of the first record that a router appends.  */
#define FIRST_TAG 1

/* A log stream in memory.  */
struct log
{
  char *records[MAX_RECORDS];
  unsigned count;
};

static void
append_to_log (void *context, const struct ms_effect *effect)
{
  struct log *log = context;

  if (effect->kind == MS_EFFECT_APPEND && log->count < MAX_RECORDS)
    log->records[log->count++] = strdup (effect->append.text);
}

static void
clear_log (struct log *log)
{
  while (log->count)
    free (log->records[--log->count]);
}

/* The state of router NODE after it has read an empty stream to its end.  */
static struct ms_once *
create_ready (uint64_t node, const struct ms_sink *sink)
{
  struct ms_once *once = ms_once_create (node, 1, sink);

  ms_once_caught_up (once);
  return once;
}

/* Let ONCE read record INDEX of LOG.  */
static bool
read_record (struct ms_once *once, const struct log *log, unsigned index,
             struct ms_once_verdict *verdict)
{
  return ms_once_apply_record (once, ms_str (log->records[index]), verdict);
}

/* Two routers get requests with the same key at the same time.  */
static void
test_only_first_intent_in_log_runs (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { append_to_log, &log };
  struct ms_once *a = create_ready (1, &sink);
  struct ms_once *b = create_ready (2, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  assert_int_equal (ms_once_begin (b, KEY, 20).state, MS_ONCE_WAIT);
  assert_int_equal (ms_once_begin (a, KEY, 10).state, MS_ONCE_WAIT);
  assert_false (read_record (a, &log, 0, &verdict));
  assert_true (read_record (a, &log, 1, &verdict));
  assert_int_equal (verdict.state, MS_ONCE_REPEAT);
  assert_int_equal (verdict.outcome, MS_UNKNOWN);
  assert_true (read_record (b, &log, 0, &verdict));
  assert_int_equal (verdict.state, MS_ONCE_RUN);
  assert_int_equal (verdict.request, 20);
  ms_once_destroy (a);
  ms_once_destroy (b);
  clear_log (&log);
}

/* An append may succeed although its answer was lost; then it is repeated and
   the log has the intent twice.  */
static void
test_repeated_append_is_one_intent (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { append_to_log, &log };
  struct ms_once *once = create_ready (1, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  ms_once_begin (once, KEY, 10);
  ms_once_append_failed (once, FIRST_TAG);
  ms_once_tick (once, 5 * MS_SEC);
  assert_int_equal (log.count, 2);
  assert_true (read_record (once, &log, 0, &verdict));
  assert_int_equal (verdict.state, MS_ONCE_RUN);
  assert_false (read_record (once, &log, 1, &verdict));
  ms_once_destroy (once);
  clear_log (&log);
}

static void
test_repeat_gets_recorded_outcome (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { append_to_log, &log };
  struct ms_once *once = create_ready (1, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  ms_once_begin (once, KEY, 10);
  read_record (once, &log, 0, &verdict);
  ms_once_end (once, KEY, 10, MS_ANSWERED);
  read_record (once, &log, 1, &verdict);
  verdict = ms_once_begin (once, KEY, 11);
  assert_int_equal (verdict.state, MS_ONCE_REPEAT);
  assert_int_equal (verdict.outcome, MS_ANSWERED);
  ms_once_destroy (once);
  clear_log (&log);
}

static void
test_not_run_frees_the_key (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { append_to_log, &log };
  struct ms_once *once = create_ready (1, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  ms_once_begin (once, KEY, 10);
  read_record (once, &log, 0, &verdict);
  ms_once_end (once, KEY, 10, MS_NOT_RUN);
  read_record (once, &log, 1, &verdict);
  assert_int_equal (ms_once_begin (once, KEY, 11).state, MS_ONCE_WAIT);
  assert_true (read_record (once, &log, 2, &verdict));
  assert_int_equal (verdict.state, MS_ONCE_RUN);
  ms_once_destroy (once);
  clear_log (&log);
}

/* A copy of an intent that is read after the key was freed must not claim the
   key again: the request is over, so nothing would free the key.  */
static void
test_late_copy_of_freed_intent_is_ignored (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { append_to_log, &log };
  struct ms_once *once = create_ready (1, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  ms_once_begin (once, KEY, 10);
  read_record (once, &log, 0, &verdict);
  ms_once_end (once, KEY, 10, MS_NOT_RUN);
  read_record (once, &log, 1, &verdict);
  read_record (once, &log, 0, &verdict);
  assert_int_equal (ms_once_begin (once, KEY, 11).state, MS_ONCE_WAIT);
  ms_once_destroy (once);
  clear_log (&log);
}

/* A request may be refused while its intent is on the way to the log.  Without
   an MS_NOT_RUN outcome, the key would stay taken.  */
static void
test_abandoned_intent_frees_key_when_read (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { append_to_log, &log };
  struct ms_once *once = create_ready (1, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  ms_once_begin (once, KEY, 10);
  ms_once_end (once, KEY, 10, MS_NOT_RUN);
  assert_false (read_record (once, &log, 0, &verdict));
  assert_int_equal (log.count, 2);
  assert_non_null (strstr (log.records[1], "outcome"));
  ms_once_destroy (once);
  clear_log (&log);
}

static void
test_not_ready_before_stream_is_read (void **state)
{
  struct log log = { 0 };
  const struct ms_sink sink = { append_to_log, &log };
  struct ms_once *once = ms_once_create (1, 1, &sink);

  (void)state;
  assert_int_equal (ms_once_begin (once, KEY, 10).state, MS_ONCE_NOT_READY);
  ms_once_destroy (once);
}

static void
test_malformed_records_are_ignored (void **state)
{
  static const char *const texts[]
      = { "", "intent", "intent zz 1 3", "outcome 1 2 99", "noise 1 2 3" };
  struct log log = { 0 };
  const struct ms_sink sink = { append_to_log, &log };
  struct ms_once *once = create_ready (1, &sink);
  struct ms_once_verdict verdict;

  (void)state;
  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    assert_false (ms_once_apply_record (once, ms_str (texts[i]), &verdict));
  ms_once_destroy (once);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_only_first_intent_in_log_runs),
    cmocka_unit_test (test_repeated_append_is_one_intent),
    cmocka_unit_test (test_repeat_gets_recorded_outcome),
    cmocka_unit_test (test_not_run_frees_the_key),
    cmocka_unit_test (test_late_copy_of_freed_intent_is_ignored),
    cmocka_unit_test (test_abandoned_intent_frees_key_when_read),
    cmocka_unit_test (test_not_ready_before_stream_is_read),
    cmocka_unit_test (test_malformed_records_are_ignored),
  };

  return RUN (tests);
}

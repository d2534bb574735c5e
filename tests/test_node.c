#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/node.h"

/* Tests of a single router's node: requests, limits and deadlines, and
   configurations that change while requests run and wait.  The node is the
   only member, so that it dispatches all cells itself.  */

#define CONFIG_HEAD                                                           \
  "availability_zones:\n"                                                     \
  "- {name: z, region: r}\n"                                                  \
  "teams:\n"                                                                  \
  "- {name: t}\n"                                                             \
  "services:\n"

#define SERVICE_A "- {name: a, cold_limit: 2, warm_limit: 8}\n"
#define SERVICE_B "- {name: b, cold_limit: 2, warm_limit: 8}\n"
#define SERVICE_A_MORE_CELLS                                                  \
  "- {name: a, cold_limit: 2, warm_limit: 8, cells_per_zone: 9}\n"

/* A node and its effects so far.  */
struct fixture
{
  struct ms_node *node;
  ms_time now;           /* Time of the next event.  */
  uint64_t offset;       /* Of the next record of the control stream.  */
  unsigned starts;       /* Attempts started.  */
  uint64_t last_started; /* Request of the latest of them.  */
  unsigned answers;
  enum ms_outcome outcome; /* Of the latest answer.  */
  enum ms_reason reason;   /* Of the latest answer.  */
};

static void
record_effect (void *context, const struct ms_effect *effect)
{
  struct fixture *f = context;

  if (effect->kind == MS_EFFECT_START)
    {
      f->starts++;
      f->last_started = effect->start.request;
    }
  if (effect->kind == MS_EFFECT_ANSWER)
    {
      f->answers++;
      f->outcome = effect->answer.outcome;
      f->reason = effect->answer.reason;
    }
}

static void
step (struct fixture *f, const struct ms_event *event)
{
  ms_node_step (f->node, event, f->now);
}

/* Deliver RECORD as the next record of the control stream.  */
static void
append_record (struct fixture *f, const struct ms_record *record)
{
  char *text = ms_record_print (record);
  const struct ms_event event
      = { .kind = MS_EVENT_LOG_RECORD,
          .log_record = { MS_STREAM_CONTROL, f->offset++, ms_str (text) } };

  step (f, &event);
  free (text);
}

/* Publish the configuration YAML, based on the current one.  */
static void
publish (struct fixture *f, const char *yaml)
{
  const struct ms_view *view = ms_node_view (f->node);
  struct ms_record record = { .kind = MS_RECORD_CONFIG };

  record.generation = view->config ? view->config->generation : 0;
  record.text = (char *)yaml;
  record.text_length = strlen (yaml);
  append_record (f, &record);
}

/* Advance the time in ticks of 20 ms, each after a good read of both log
   streams.  */
static void
run_for (struct fixture *f, ms_time time)
{
  const struct ms_event tick = { .kind = MS_EVENT_TICK };
  ms_time until = f->now + time;

  while (f->now < until)
    {
      f->now += 20 * MS_MSEC;
      for (int s = 0; s < MS_STREAMS; s++)
        {
          const struct ms_event read
              = { .kind = MS_EVENT_LOG_READ,
                  .log_read = { .stream = (enum ms_stream)s,
                                .sent_at = f->now,
                                .at_end = true } };

          step (f, &read);
        }
      step (f, &tick);
    }
}

/* Report that the endpoint runs RUNNING requests.  */
static void
report_load (struct fixture *f, unsigned running)
{
  const struct ms_event event
      = { .kind = MS_EVENT_LOAD,
          .load = { ms_id (ms_str ("e")), 1, running } };

  step (f, &event);
}

static void
list_endpoint (struct fixture *f)
{
  struct ms_endpoint endpoint = { .id = ms_id (ms_str ("e")),
                                  .name = ms_name ("e"),
                                  .service = ms_id (ms_str ("a")),
                                  .zone = ms_id (ms_str ("z")),
                                  .address = "127.0.0.1:9" };
  const struct ms_event event
      = { .kind = MS_EVENT_ENDPOINTS, .endpoints = { &endpoint, 1 } };

  step (f, &event);
}

static void
arrive (struct fixture *f, uint64_t request)
{
  const struct ms_event event
      = { .kind = MS_EVENT_ARRIVE,
          .arrive = { .request = request,
                      .team = ms_id (ms_str ("t")),
                      .service = ms_id (ms_str ("a")),
                      .idempotent = true,
                      .fingerprint = request,
                      .deadline = f->now + 10 * MS_SEC } };

  step (f, &event);
}

static void
end_attempt (struct fixture *f, uint64_t request, enum ms_result result)
{
  const struct ms_event event = { .kind = MS_EVENT_ATTEMPT_END,
                                  .attempt_end = { .request = request,
                                                   .attempt = 1,
                                                   .result = result,
                                                   .cost = 10,
                                                   .duration = MS_SEC } };

  step (f, &event);
}

/* Start a node with services a and b and one endpoint of a.  Report for 3 s
   that the endpoint runs nothing: a new dispatcher does not use an endpoint
   before it knows what still runs there.  */
static int
set_up (void **state)
{
  struct fixture *f = calloc (1, sizeof *f);
  const struct ms_sink sink = { record_effect, f };
  const struct ms_node_options options
      = { "n", "z", "127.0.0.1:1", "127.0.0.1:2", 1, 1 };
  struct ms_record join = { .kind = MS_RECORD_JOIN,
                            .node = ms_name ("n"),
                            .zone = ms_name ("z"),
                            .incarnation = 1 };

  f->now = MS_SEC;
  f->node = ms_node_create (&options, &sink);
  publish (f, CONFIG_HEAD SERVICE_A SERVICE_B);
  append_record (f, &join);
  list_endpoint (f);
  for (int i = 0; i < 6; i++)
    {
      run_for (f, 500 * MS_MSEC);
      report_load (f, 0);
    }
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  ms_node_destroy (f->node);
  free (f);
  return 0;
}

static void
test_request_is_answered (void **state)
{
  struct fixture *f = *state;

  assert_true (ms_node_ready (f->node));
  arrive (f, 1);
  run_for (f, 200 * MS_MSEC);
  assert_int_equal (f->starts, 1);
  end_attempt (f, 1, MS_RESULT_OK);
  assert_int_equal (f->answers, 1);
  assert_int_equal (f->outcome, MS_ANSWERED);
}

/* SERVICE_A has a cold_limit of 2.  */
static void
test_cold_endpoint_runs_at_most_cold_limit (void **state)
{
  struct fixture *f = *state;

  for (uint64_t i = 1; i <= 5; i++)
    arrive (f, i);
  run_for (f, MS_SEC);
  assert_int_equal (f->starts, 2);
}

/* Grants, queues and reports must not use a service that the configuration
   no longer has.  Removing the service while requests run and wait must
   neither crash the node nor leave requests open, and adding it again must not
   crash the node either.  */
static void
test_service_removed_under_load_ends_its_requests (void **state)
{
  struct fixture *f = *state;

  for (uint64_t i = 1; i <= 5; i++)
    arrive (f, i);
  run_for (f, 200 * MS_MSEC);
  publish (f, CONFIG_HEAD SERVICE_B);
  run_for (f, 2 * MS_SEC);
  report_load (f, 2);
  end_attempt (f, 1, MS_RESULT_OK);
  assert_int_equal (f->outcome, MS_ANSWERED);
  end_attempt (f, 2, MS_RESULT_RESET);
  arrive (f, 6);
  assert_int_equal (f->reason, MS_REASON_UNKNOWN_SERVICE);
  run_for (f, 20 * MS_SEC);
  assert_int_equal (ms_node_status (f->node, f->now).open, 0);
  publish (f, CONFIG_HEAD SERVICE_A SERVICE_B);
  run_for (f, MS_SEC);
  assert_true (ms_node_ready (f->node));
}

/* A configuration with more cells moves the endpoint to another cell while
   requests run and wait; at least one that waits must still start.  */
static void
test_cells_per_zone_changes_under_load (void **state)
{
  struct fixture *f = *state;

  for (uint64_t i = 1; i <= 5; i++)
    arrive (f, i);
  run_for (f, 200 * MS_MSEC);
  publish (f, CONFIG_HEAD SERVICE_A_MORE_CELLS);
  run_for (f, 300 * MS_MSEC);
  end_attempt (f, 1, MS_RESULT_OK);
  end_attempt (f, 2, MS_RESULT_OK);
  for (int i = 0; i < 8; i++)
    {
      run_for (f, 500 * MS_MSEC);
      report_load (f, 0);
    }
  assert_true (f->starts >= 3);
}

/* Two requests take the endpoint's cold_limit and do not end; the third one
   waits until its deadline, 10 s after it arrived.  */
static void
test_waiting_past_deadline_is_not_run (void **state)
{
  struct fixture *f = *state;

  for (uint64_t i = 1; i <= 3; i++)
    arrive (f, i);
  run_for (f, 11 * MS_SEC);
  assert_int_equal (f->answers, 1);
  assert_int_equal (f->outcome, MS_NOT_RUN);
  assert_int_equal (f->reason, MS_REASON_DEADLINE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_request_is_answered, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (
        test_cold_endpoint_runs_at_most_cold_limit, set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_service_removed_under_load_ends_its_requests, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_cells_per_zone_changes_under_load,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_waiting_past_deadline_is_not_run,
                                     set_up, tear_down),
  };

  return RUN (tests);
}

#include "check.h"

#include <stdio.h>
#include <string.h>

#include "config/config.h"

/* The start of a configuration; the list of services is to follow.  */
#define HEAD                                                                  \
  "availability_zones:\n"                                                     \
  "- {name: salto, region: uy}\n"                                             \
  "teams:\n"                                                                  \
  "- {name: b}\n"                                                             \
  "- {name: a, weight: 3}\n"                                                  \
  "services:\n"

#define SERVICE "- {name: s, cold_limit: 2, warm_limit: 8}\n"

static enum ms_status
parse (const char *text, struct ms_config **config)
{
  return ms_config_parse (ms_str (text), "test.yaml", config);
}

static void
test_omitted_fields_get_defaults (void **state)
{
  struct ms_config *config;

  (void)state;
  assert_int_equal (parse (HEAD SERVICE, &config), MS_OK);
  assert_true (config->zones[0].in_service);
  assert_int_equal (config->services[0].queue_limit, 64);
  assert_int_equal (ms_config_team (config, ms_id (ms_str ("a")))->weight, 3);
  assert_int_equal (ms_config_team (config, ms_id (ms_str ("b")))->weight, 1);
  assert_null (ms_config_team (config, ms_id (ms_str ("c"))));
  ms_config_destroy (config);
}

/* Check that parsing TEXT fails and that the message contains each of WORDS,
   which NULL ends.  */
static void
assert_refused (const char *text, const char *const *words)
{
  struct ms_config *config;

  assert_int_equal (parse (text, &config), MS_INVALID);
  assert_null (config);
  for (; *words; words++)
    if (!strstr (ms_last_message (), *words))
      fail_msg ("\"%s\" lacks \"%s\"", ms_last_message (), *words);
}

/* Operators need the place of an error: a misspelt key, a value that
   contradicts another, an unknown policy, a repeated name, an empty or
   truncated text.  */
static void
test_errors_name_file_line_and_field (void **state)
{
  (void)state;
  assert_refused (HEAD "- {name: s, cold_limt: 2, warm_limit: 8}\n",
                  (const char *[]){ "test.yaml: line 7: cold_limt", NULL });
  assert_refused (
      HEAD "- {name: s, cold_limit: 9, warm_limit: 8}\n",
      (const char *[]){ "test.yaml", "line 7", "warm_limit", NULL });
  assert_refused (HEAD "- {name: s, cold_limit: 2, warm_limit: 8, policy: "
                       "best}\n",
                  (const char *[]){ "test.yaml", "line: 7", "policy", NULL });
  assert_refused (HEAD SERVICE SERVICE,
                  (const char *[]){ "test.yaml", "second service", NULL });
  assert_refused ("", (const char *[]){ "test.yaml", NULL });
  assert_refused ("services: [", (const char *[]){ "test.yaml", NULL });
}

/* At 50 percent of four cells, the first two run the trial.  */
static void
test_trial_by_cell_takes_the_first_cells (void **state)
{
  struct ms_config *config;

  (void)state;
  assert_int_equal (
      parse (HEAD "- {name: s, cold_limit: 2, warm_limit: 8, cells_per_zone: "
                  "4, trial: {policy: first_come, by: cell, percent: 50}}\n",
             &config),
      MS_OK);
  assert_true (ms_config_trial_cell (&config->services[0], 0));
  assert_true (ms_config_trial_cell (&config->services[0], 1));
  assert_false (ms_config_trial_cell (&config->services[0], 2));
  assert_false (
      ms_config_trial_team (&config->services[0], ms_id (ms_str ("a"))));
  ms_config_destroy (config);
}

static void
test_trial_by_team_takes_the_listed_teams (void **state)
{
  struct ms_config *config;

  (void)state;
  assert_int_equal (
      parse (HEAD "- {name: s, cold_limit: 2, warm_limit: 8, trial: {policy: "
                  "deficit, by: team, percent: 50, teams: [a]}}\n",
             &config),
      MS_OK);
  assert_true (
      ms_config_trial_team (&config->services[0], ms_id (ms_str ("a"))));
  assert_false (
      ms_config_trial_team (&config->services[0], ms_id (ms_str ("b"))));
  ms_config_destroy (config);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_omitted_fields_get_defaults),
    cmocka_unit_test (test_errors_name_file_line_and_field),
    cmocka_unit_test (test_trial_by_cell_takes_the_first_cells),
    cmocka_unit_test (test_trial_by_team_takes_the_listed_teams),
  };

  return RUN (tests);
}

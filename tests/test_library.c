#include "check.h"

#include <monsoonspur/builder.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/config.h"

#define DIGEST                                                                \
  "41ef4bb0b23661e66301aac36066912dac037827b4ae63a7b1165a5aa93ed4eb"

/* A builder with one zone out of service, teams a and b, of which b has a key,
   and service s; valid if COLD_LIMIT is at most 8.  */
static struct ms_builder *
build_two_teams (uint32_t cold_limit)
{
  struct ms_builder *builder = ms_builder_create ();
  const struct ms_service_spec service
      = { .name = "s", .cold_limit = cold_limit, .warm_limit = 8 };

  ms_builder_zone (builder, "salto", "uy", false);
  ms_builder_team (builder, "a", 2);
  ms_builder_team (builder, "b", 1);
  ms_builder_team_key (builder, "b", DIGEST);
  ms_builder_service (builder, &service);
  return builder;
}

/* What the library prints is what the routers' parser reads back.  */
static void
test_printed_configuration_parses (void **state)
{
  static const char *const teams[] = { "a", NULL };
  const struct ms_trial_spec trial = { "first_come", "team", 0, teams };
  struct ms_builder *builder = build_two_teams (2);
  struct ms_config *config;
  char *text = NULL;
  size_t length = 0;
  FILE *file = open_memstream (&text, &length);

  (void)state;
  ms_builder_trial (builder, "s", &trial);
  assert_int_equal (ms_builder_print (builder, file), MS_OK);
  fclose (file);
  assert_int_equal (
      ms_config_parse ((struct ms_str){ text, length }, "built", &config),
      MS_OK);
  assert_false (config->zones[0].in_service);
  assert_int_equal (config->teams_count, 2);
  assert_int_equal (
      ms_config_team (config, ms_id (ms_str ("b")))->key_digests_count, 1);
  assert_true (
      ms_config_trial_team (&config->services[0], ms_id (ms_str ("a"))));
  ms_config_destroy (config);
  ms_builder_destroy (builder);
  free (text);
}

static void
test_bad_configuration_is_not_printed (void **state)
{
  struct ms_builder *builder = build_two_teams (9);
  char *text = NULL;
  size_t length = 0;
  FILE *file = open_memstream (&text, &length);

  (void)state;
  assert_int_equal (ms_builder_print (builder, file), MS_INVALID);
  fclose (file);
  assert_int_equal (length, 0);
  assert_non_null (strstr (ms_last_message (), "warm_limit"));
  ms_builder_destroy (builder);
  free (text);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_printed_configuration_parses),
    cmocka_unit_test (test_bad_configuration_is_not_printed),
  };

  return RUN (tests);
}

#include "check.h"

#include <stdio.h>

#include "member/record.h"

static enum ms_status
parse (const char *kind, const char *node)
{
  struct ms_record record;
  char text[128];
  enum ms_status status;

  snprintf (text, sizeof text,
            "{\"kind\":\"%s\",\"node\":%s,\"incarnation\":\"1\"}", kind, node);
  status = ms_record_parse (ms_str (text), &record);
  if (status == MS_OK)
    ms_record_clear (&record);
  return status;
}

/* A record of another writer made a member that held cells until it was found
   silent.  */
static void
test_records_whose_node_is_no_name_are_refused (void **state)
{
  static const char *const kinds[] = { "join", "leave", "expire" };
  static const char *const odd[]
      = { "\"\"",    "\"a&b\"",   "\"a+b\"", "\"a#b\"", "\"a%b\"",
          "\"a b\"", "\"a\\nb\"", "7",       "null" };

  (void)state;
  for (unsigned k = 0; k < 3; k++)
    {
      assert_int_equal (parse (kinds[k], "\"router-1\""), MS_OK);
      for (unsigned i = 0; i < sizeof odd / sizeof *odd; i++)
        assert_int_equal (parse (kinds[k], odd[i]), MS_INVALID);
    }
  assert_int_equal (parse ("quarantine", "null"), MS_OK);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_records_whose_node_is_no_name_are_refused) };

  return RUN (tests);
}

#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backing/backing.h"

/* Odd entries of the list of instances and of the log, which others write.  */

#define SOUND                                                                 \
  "{\"name\":\"a\",\"service\":\"s\",\"zone\":\"z\","                         \
  "\"state\":\"ready\",\"address\":\"127.0.0.1:7000\"}"

static unsigned
count_endpoints (const char *odd)
{
  struct ms_endpoint *list;
  char text[1024];
  unsigned count;

  snprintf (text, sizeof text, "{\"instances\":[%s,%s,%s]}", SOUND, odd,
            SOUND);
  assert_int_equal (ms_list_decode (ms_str (text), &list, &count), MS_OK);
  for (unsigned i = 0; i < count; i++)
    assert_string_equal (list[i].address, "127.0.0.1:7000");
  free (list);
  return count;
}

/* One odd entry took the whole list away, or was used as an endpoint.  */
static void
test_odd_entries_are_left_out_of_the_list (void **state)
{
  static const char *const odd[] = {
    "{\"name\":\"b\",\"load\":1e999}",
    "{\"name\":\"b\",\"load\":99999999999999999999}",
    "{\"name\":\"\xff\"}",
    "{\"name\":\"b\\u0000\",\"service\":\"s\"}",
    "[]",
    "",
    "{\"name\":\"b\",\"service\":\"s\"}",
    "{\"name\":\"b\",\"address\":\"127.0.0.1:7000\"}",
    "{\"service\":\"s\",\"address\":\"127.0.0.1:7000\"}",
  };
  static const char *const names[]
      = { "", "a&b", "a+b", "a#b", "a%b", "a b", "a\\nb", "b\\u0000" };
  static const char *const ports[]
      = { "0", "65536", "-1", "99999999999999999999", "", "7000x", " 7000" };
  char entry[128];

  (void)state;
  assert_int_equal (count_endpoints (SOUND), 3);
  for (unsigned i = 0; i < sizeof odd / sizeof *odd; i++)
    assert_int_equal (count_endpoints (odd[i]), 2);
  for (unsigned i = 0; i < sizeof names / sizeof *names; i++)
    {
      snprintf (entry, sizeof entry,
                "{\"name\":\"%s\",\"service\":\"s\","
                "\"address\":\"127.0.0.1:7000\"}",
                names[i]);
      assert_int_equal (count_endpoints (entry), 2);
    }
  for (unsigned i = 0; i < sizeof ports / sizeof *ports; i++)
    {
      snprintf (entry, sizeof entry,
                "{\"name\":\"b\",\"service\":\"s\","
                "\"address\":\"127.0.0.1:%s\"}",
                ports[i]);
      assert_int_equal (count_endpoints (entry), 2);
    }
}

static void
count_record (void *context, uint64_t offset, struct ms_str text)
{
  unsigned *sum = context;

  assert_true (text.length > 0);
  *sum += (unsigned)offset;
}

/* One odd record stopped a router from following the log.  */
static void
test_odd_records_do_not_hide_the_others (void **state)
{
  static const char *const odd[] = {
    "{\"offset\":1e999,\"data\":\"x\"}",
    "{\"offset\":99999999999999999999,\"data\":\"x\"}",
    "{\"offset\":2,\"data\":\"\xff\"}",
    "{\"offset\":2,\"data\":7}",
    "[[[[",
  };

  (void)state;
  for (unsigned i = 0; i < sizeof odd / sizeof *odd; i++)
    {
      uint64_t first = 0;
      uint64_t next = 0;
      unsigned sum = 0;
      bool at_end = false;
      enum ms_status status;
      char text[256];

      snprintf (text, sizeof text,
                "{\"first\":0,\"next\":4,\"end\":4,\"records\":["
                "{\"offset\":1,\"data\":\"a\"},%s,"
                "{\"offset\":3,\"data\":\"\\u0000\"}]}",
                odd[i]);
      status = ms_log_decode (ms_str (text), count_record, &sum, &first, &next,
                              &at_end);
      /* Brackets that are not closed leave no object.  */
      if (odd[i][0] == '[')
        {
          assert_int_equal (status, MS_UNAVAILABLE);
          continue;
        }
      assert_int_equal (status, MS_OK);
      assert_int_equal (sum, 1 + 3);
      assert_int_equal (next, 4);
      assert_true (at_end);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_odd_entries_are_left_out_of_the_list),
    cmocka_unit_test (test_odd_records_do_not_hide_the_others),
  };

  return RUN (tests);
}

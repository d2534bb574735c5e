#include "check.h"

#include "gateway/member_record.h"

static enum ms_member_kind
kind_of (const char *key, const char *value)
{
  return ms_member_record_decode (ms_str (key), ms_str (value)).kind;
}

#define ROUTER "{\"ip\":\"127.0.0.1\",\"zone\":\"a\",\"incarnation\":7}"
#define PART "{\"deaths\":3,\"at\":1000}"

static void
test_records_of_each_kind_are_decoded (void **state)
{
  struct ms_member_record record;

  (void)state;
  record = ms_member_record_decode (ms_str ("g-1.b"), ms_str (ROUTER));
  assert_int_equal (record.kind, MS_MEMBER_ROUTER);
  assert_int_equal (record.incarnation, 7);
  assert_int_equal (record.zone, ms_id (ms_str ("a")));
  record = ms_member_record_decode (ms_str ("part/fedcba9876543210"),
                                    ms_str (PART));
  assert_int_equal (record.kind, MS_MEMBER_PART);
  assert_true (record.part == 0xfedcba9876543210);
  assert_int_equal (record.deaths, 3);
  assert_int_equal (record.at_ms, 1000);
  record = ms_member_record_decode (ms_str ("version/1f/89abcdef"),
                                    ms_str ("{}"));
  assert_int_equal (record.kind, MS_MEMBER_VERSION);
  assert_int_equal (record.service, 0x1f);
  assert_int_equal (record.version, 0x89abcdef);
}

/* A key of another writer was taken for a router, for the part that its first
   digits name, or for part 0.  */
static void
test_odd_keys_are_ignored (void **state)
{
  static const char *const routers[]
      = { "", "g&1", "g+1", "g#1", "g%1", "g 1", "g\n1", "g/1" };
  static const char *const parts[]
      = { "part/",   "part/dead x", "part/x",   "part/1+",
          "part/ 1", "part/-1",     "part/1/2", "part/fedcba98765432101" };
  static const char *const versions[]
      = { "version/",     "version/1",           "version/1/",
          "version//1",   "version/1/2 3",       "version/1/x",
          "version/1&/2", "version/1/123456789", "version/1/2/3" };

  (void)state;
  for (unsigned i = 0; i < sizeof routers / sizeof *routers; i++)
    assert_int_equal (kind_of (routers[i], ROUTER), MS_MEMBER_NONE);
  for (unsigned i = 0; i < sizeof parts / sizeof *parts; i++)
    assert_int_equal (kind_of (parts[i], PART), MS_MEMBER_NONE);
  for (unsigned i = 0; i < sizeof versions / sizeof *versions; i++)
    assert_int_equal (kind_of (versions[i], "{}"), MS_MEMBER_NONE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_records_of_each_kind_are_decoded),
    cmocka_unit_test (test_odd_keys_are_ignored),
  };

  return RUN (tests);
}

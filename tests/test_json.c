#include "check.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/json.h"

#define DEPTH ((size_t)100000)

struct taken
{
  unsigned decoded;
  unsigned odd;
  json_int_t last;
};

static void
take (void *context, const json_t *element)
{
  struct taken *taken = context;

  if (!element)
    {
      taken->odd++;
      return;
    }
  taken->decoded++;
  taken->last = json_integer_value (element);
}

static bool
read_elements (struct ms_str text, struct taken *taken)
{
  json_t *rest;
  bool valid;

  *taken = (struct taken){ 0 };
  valid = ms_json_elements (text, "list", take, taken, &rest);
  assert_int_equal (valid, json_is_object (rest));
  if (valid)
    assert_int_equal (json_array_size (json_object_get (rest, "list")), 0);
  json_decref (rest);
  return valid;
}

static void
test_elements_are_passed_in_order (void **state)
{
  struct taken taken;

  (void)state;
  assert_true (read_elements (ms_str ("{\"list\":[]}"), &taken));
  assert_int_equal (taken.decoded + taken.odd, 0);
  assert_true (read_elements (
      ms_str (" {\"a\":[{\"list\":[1]}],\"list\": [ 1 , 2,3 ], \"b\":{}}"),
      &taken));
  assert_int_equal (taken.decoded, 3);
  assert_int_equal (taken.last, 3);
}

static void
test_what_is_no_such_object_is_refused (void **state)
{
  static const char *const texts[] = {
    "",
    " ",
    "{",
    "{}",
    "[]",
    "{\"list\":{}}",
    "{\"list\":[1]",
    "{\"list\":[1",
    "{\"list\":",
    "{\"list",
    "{\"list\":[1]} x",
    "{\"x\\",
    "{\"other\":nul,\"list\":[1]}",
    "{list:[1]}",
  };
  struct taken taken;

  (void)state;
  for (unsigned i = 0; i < sizeof texts / sizeof *texts; i++)
    {
      assert_false (read_elements (ms_str (texts[i]), &taken));
      assert_int_equal (taken.decoded + taken.odd, 0);
    }
}

/* Deep nesting takes no stack and hides no other element.  */
static void
test_deeply_nested_element_is_left_out (void **state)
{
  static const char begin[] = "{\"list\":[1,";
  static const char end[] = ",3]}";
  size_t length = sizeof begin - 1 + 2 * DEPTH + sizeof end - 1;
  char *text = ms_new (length);
  struct taken taken;

  (void)state;
  memcpy (text, begin, sizeof begin - 1);
  memset (text + sizeof begin - 1, '[', DEPTH);
  memset (text + sizeof begin - 1 + DEPTH, ']', DEPTH);
  memcpy (text + length - (sizeof end - 1), end, sizeof end - 1);
  assert_true (read_elements ((struct ms_str){ text, length }, &taken));
  assert_int_equal (taken.decoded, 2);
  assert_int_equal (taken.odd, 1);
  assert_int_equal (taken.last, 3);
  free (text);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_elements_are_passed_in_order),
    cmocka_unit_test (test_what_is_no_such_object_is_refused),
    cmocka_unit_test (test_deeply_nested_element_is_left_out),
  };

  return RUN (tests);
}

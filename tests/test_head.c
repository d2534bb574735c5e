#include "check.h"

#include <string.h>

#include "http/head.h"

/* Whether LINES, each of which ends with "\n", are all valid.  */
static bool
check (struct ms_head_check *head, const char *lines)
{
  memset (head, 0, sizeof *head);
  while (*lines)
    {
      size_t length = strcspn (lines, "\n") + 1;

      if (!ms_head_check_line (head, (struct ms_str){ lines, length }))
        return false;
      lines += length;
    }
  return true;
}

static void
test_heads_of_the_grammar_are_valid (void **state)
{
  struct ms_head_check head;

  (void)state;
  assert_true (check (&head, "HTTP/1.1 200 OK\r\nA: b\r\n\r\nTrailer: c\r\n"));
  assert_true (head.whole);
  assert_true (check (&head, "HTTP/1.0 599\n!#$%&'*+-.^_`|~9z:\n\n"));
  assert_true (head.whole);
  assert_true (check (&head, "HTTP/1.1 100 -\r\n\r\nHTTP/1.1 103 -\r\nA: b\r\n"
                             "\r\nHTTP/1.1 204 -\r\n\r\n"));
  assert_true (head.whole);
}

/* curl reported such a head as whole.  */
static void
test_head_that_ends_early_is_not_whole (void **state)
{
  static const char *const heads[]
      = { "", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n",
          "HTTP/1.1 100 -\r\n\r\n",
          "HTTP/1.1 100 -\r\n\r\nHTTP/1.1 200 -\r\n" };
  struct ms_head_check head;

  (void)state;
  for (unsigned i = 0; i < sizeof heads / sizeof *heads; i++)
    {
      assert_true (check (&head, heads[i]));
      assert_false (head.whole);
    }
}

static void
test_other_lines_are_not_valid (void **state)
{
  static const char *const heads[] = { "HTTP/1.1 000 -\r\n",
                                       "HTTP/1.1 099 -\r\n",
                                       "HTTP/1.1 600 -\r\n",
                                       "HTTP/1.1 101 -\r\n",
                                       "HTTP/1.1 2000 -\r\n",
                                       "HTTP/1.1 20\r\n",
                                       "HTTP/1.1\r\n",
                                       "\r\n",
                                       "HTTP/1.1 200 -\r\nA b: c\r\n",
                                       "HTTP/1.1 200 -\r\nA : c\r\n",
                                       "HTTP/1.1 200 -\r\n A: c\r\n",
                                       "HTTP/1.1 200 -\r\nA\x01: c\r\n",
                                       "HTTP/1.1 200 -\r\n: c\r\n",
                                       "HTTP/1.1 200 -\r\nA\r\n",
                                       "HTTP/1.1 200 -\r\nA: b\r\n c\r\n",
                                       "HTTP/1.1 200 -\r\n\r\nA b: c\r\n" };
  struct ms_head_check head;

  (void)state;
  for (unsigned i = 0; i < sizeof heads / sizeof *heads; i++)
    assert_false (check (&head, heads[i]));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_heads_of_the_grammar_are_valid),
    cmocka_unit_test (test_head_that_ends_early_is_not_whole),
    cmocka_unit_test (test_other_lines_are_not_valid),
  };

  return RUN (tests);
}

#include "check.h"

#include <string.h>
#include <unistd.h>

#include "base/event.h"

/* A text of another writer, such as a key of the store, wrote log lines of its
   own.  */
static void
test_texts_do_not_break_lines (void **state)
{
  char text[256] = "";
  int ends[2];
  int saved = dup (STDOUT_FILENO);

  (void)state;
  assert_int_equal (pipe (ends), 0);
  dup2 (ends[1], STDOUT_FILENO);
  ms_event (MS_SEC, "endpoint_gone", "endpoint=%s x", "a\nevent=\x7f\r");
  ms_event_flush (MS_SEC);
  dup2 (saved, STDOUT_FILENO);
  close (saved);
  assert_true (read (ends[0], text, sizeof text - 1) > 0);
  assert_string_equal (
      text, "time=1.000000 event=endpoint_gone endpoint=a?event=?? x\n");
  close (ends[0]);
  close (ends[1]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_texts_do_not_break_lines),
  };

  return RUN (tests);
}

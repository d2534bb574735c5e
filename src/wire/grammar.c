#include "wire/grammar.h"

#include <string.h>

static bool
is_within (char c, char first, char last)
{
  return c >= first && c <= last;
}

bool
ms_status_line_takes (size_t at, char c)
{
  /* 0 stands for a digit, 1 for the first one of a status code.  */
  static const char form[MS_STATUS_LINE_BYTES + 1] = "HTTP/0.0 100";

  if (at == MS_STATUS_LINE_BYTES)
    return c == ' ' || c == '\r' || c == '\n';
  if (form[at] == '1')
    return is_within (c, '1', '5');
  return form[at] == '0' ? is_within (c, '0', '9') : c == form[at];
}

bool
ms_has_token_bytes (struct ms_str text)
{
  for (size_t i = 0; i < text.length; i++)
    if (!is_within (text.data[i], '!', '~')
        || strchr ("()<>@,;:\\\"/[]?={}", text.data[i]))
      return false;
  return true;
}

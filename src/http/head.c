#include "http/head.h"

#include <string.h>

#include "wire/grammar.h"

#define SWITCHING_PROTOCOLS "101"

/* Start with the head whose status line is LINE.  */
static bool
begin_head (struct ms_head_check *check, struct ms_str line)
{
  const char *code;

  if (line.length <= MS_STATUS_LINE_BYTES)
    return false;
  for (size_t at = 0; at <= MS_STATUS_LINE_BYTES; at++)
    if (!ms_status_line_takes (at, line.data[at]))
      return false;
  code = line.data + MS_STATUS_LINE_BYTES - 3;
  check->open = true;
  check->interim = code[0] == '1';
  return memcmp (code, SWITCHING_PROTOCOLS, 3) != 0;
}

static bool
is_empty (struct ms_str line)
{
  return line.length && (line.data[0] == '\r' || line.data[0] == '\n');
}

/* Whether LINE is a field: a token and a colon.  */
static bool
is_field (struct ms_str line)
{
  const char *colon
      = line.length ? memchr (line.data, ':', line.length) : NULL;

  return colon && colon > line.data
         && ms_has_token_bytes (
             (struct ms_str){ line.data, (size_t)(colon - line.data) });
}

bool
ms_head_check_line (struct ms_head_check *check, struct ms_str line)
{
  if (!check->open && !check->whole)
    return begin_head (check, line);
  if (!is_empty (line))
    return is_field (line);
  check->open = false;
  check->whole = check->whole || !check->interim;
  return true;
}

#ifndef WIRE_GRAMMAR_H
#define WIRE_GRAMMAR_H

#include <stdbool.h>
#include <stddef.h>

#include "base/str.h"

/* Rules of HTTP/1.1 (RFC 9110, RFC 9112) that the parsers of libraries do not
   apply.  */

/* Length of a status line up to its status code.  */
#define MS_STATUS_LINE_BYTES 12

/* Whether C may stand at offset AT, of at most MS_STATUS_LINE_BYTES, of a
   status line: a version, one space and a status code of three digits from 100
   to 599, which a space or the end of the line follows.  */
bool ms_status_line_takes (size_t at, char c);

/* Whether all bytes of TEXT may stand in a token, such as the name of a field.
   A token has at least one byte.  */
bool ms_has_token_bytes (struct ms_str text);

#endif

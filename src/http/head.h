#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include <stdbool.h>

#include "base/str.h"

/* Checks the heads of a response by their lines, as curl's header callback
   gets them: curl takes any status up to 999 and any line for a field, and
   reports a head that ends with its connection as a whole one.  */
struct ms_head_check
{
  bool open;    /* A head has begun.  */
  bool interim; /* It is that of an interim response.  */
  bool whole;   /* That of the final response has ended.  */
};

/* Check LINE, which ends with its line end, of a head or a trailer section.
   CHECK was all zero before the first one.  Return false if the response is
   not valid, or switches protocols.  */
bool ms_head_check_line (struct ms_head_check *check, struct ms_str line);

#endif

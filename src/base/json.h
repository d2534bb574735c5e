#ifndef BASE_JSON_H
#define BASE_JSON_H

#include <jansson.h>
#include <stdbool.h>

#include "base/str.h"

/* Decodes a JSON object with an array whose elements have different writers:
   one that cannot be decoded (too deeply nested, with a number out of range or
   bytes that are not UTF-8) must not hide the others.  */

/* Receives an element, which it borrows; NULL if it cannot be decoded.  */
typedef void ms_json_take (void *context, const json_t *element);

/* Call TAKE with CONTEXT and each element of the array that the object TEXT
   has as KEY, in order, and set *REST to the object without the elements,
   which the caller frees with json_decref.  Return false and set *REST to NULL
   if TEXT is not such an object; TAKE was not called then.  Strings may
   contain NUL.  */
bool ms_json_elements (struct ms_str text, const char *key, ms_json_take *take,
                       void *context, json_t **rest);

#endif

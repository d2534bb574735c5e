#include "base/json.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Part of a text, from AT up to END.  */
struct span
{
  size_t at;
  size_t end;
};

static size_t
skip_space (struct ms_str text, size_t at)
{
  while (at < text.length && strchr (" \t\r\n", text.data[at])
         && text.data[at])
    at++;
  return at;
}

/* Return the position behind the string that starts at AT with its quote, or
   the end of TEXT.  */
static size_t
skip_string (struct ms_str text, size_t at)
{
  for (at++; at < text.length && text.data[at] != '"'; at++)
    if (text.data[at] == '\\')
      at++;
  return at < text.length ? at + 1 : text.length;
}

/* Return the position behind the value that starts at AT: of the comma or
   bracket that follows it, or the end of TEXT.  Whether it is valid is not
   checked, and nesting takes no stack.  */
static size_t
skip_value (struct ms_str text, size_t at)
{
  size_t depth = 0;

  while (at < text.length)
    {
      char c = text.data[at];

      if (c == '"')
        {
          at = skip_string (text, at);
          continue;
        }
      if (depth == 0 && (c == ',' || c == ']' || c == '}'))
        return at;
      depth += c == '[' || c == '{';
      depth -= c == ']' || c == '}';
      at++;
    }
  return at;
}

/* Set ARRAY to the value of KEY in the object TEXT, from its opening bracket
   on.  */
static bool
find_array (struct ms_str text, const char *key, struct span *array)
{
  size_t length = strlen (key);
  size_t at = skip_space (text, 0);

  if (at == text.length || text.data[at] != '{')
    return false;
  do
    {
      struct span name;

      name.at = skip_space (text, at + 1);
      if (name.at == text.length || text.data[name.at] != '"')
        return false;
      name.end = skip_string (text, name.at);
      at = skip_space (text, name.end);
      if (at == text.length || text.data[at] != ':')
        return false;
      array->at = skip_space (text, at + 1);
      array->end = at = skip_value (text, array->at);
      if (name.end - name.at == length + 2
          && memcmp (text.data + name.at + 1, key, length) == 0)
        return array->at < text.length && text.data[array->at] == '[';
    }
  while (at < text.length && text.data[at] == ',');
  return false;
}

/* Decode TEXT with an empty array in place of ARRAY.  */
static json_t *
decode_rest (struct ms_str text, struct span array)
{
  size_t behind = text.length - array.end;
  char *copy = ms_new (array.at + 2 + behind);
  json_t *rest;

  memcpy (copy, text.data, array.at);
  copy[array.at] = '[';
  copy[array.at + 1] = ']';
  memcpy (copy + array.at + 2, text.data + array.end, behind);
  rest = json_loadb (copy, array.at + 2 + behind, JSON_ALLOW_NUL, NULL);
  free (copy);
  return rest;
}

bool
ms_json_elements (struct ms_str text, const char *key, ms_json_take *take,
                  void *context, json_t **rest)
{
  struct span array;
  size_t at;

  *rest = NULL;
  if (!find_array (text, key, &array))
    return false;
  *rest = decode_rest (text, array);
  if (!*rest)
    return false;
  at = skip_space (text, array.at + 1);
  while (at < array.end && text.data[at] != ']')
    {
      size_t end = skip_value (text, at);
      json_t *element = json_loadb (text.data + at, end - at,
                                    JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);

      take (context, element);
      json_decref (element);
      if (end >= array.end || text.data[end] != ',')
        break;
      at = skip_space (text, end + 1);
    }
  return true;
}

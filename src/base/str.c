#include "base/str.h"

#include <string.h>
#include <xxhash.h>

struct ms_str
ms_str (const char *text)
{
  return (struct ms_str){ .data = text, .length = text ? strlen (text) : 0 };
}

bool
ms_str_equal (struct ms_str a, struct ms_str b)
{
  /* An empty string may have no data, which memcmp must not get.  */
  return a.length == b.length
         && (!a.length || memcmp (a.data, b.data, a.length) == 0);
}

uint64_t
ms_str_number (struct ms_str text, uint64_t most)
{
  uint64_t number = 0;

  for (size_t i = 0; i < text.length; i++)
    {
      unsigned digit = (unsigned)(text.data[i] - '0');

      if (digit > 9)
        break;
      if (digit > most || number > (most - digit) / 10)
        return most;
      number = number * 10 + digit;
    }
  return number;
}

uint64_t
ms_id (struct ms_str name)
{
  uint64_t id = XXH3_64bits (name.data, name.length);

  return id ? id : 1;
}

uint64_t
ms_id_pair (uint64_t a, uint64_t b)
{
  uint64_t pair[2] = { a, b };

  return XXH3_64bits (pair, sizeof pair);
}

bool
ms_is_name (struct ms_str text)
{
  if (!text.length || text.length >= MS_NAME_BYTES)
    return false;
  for (size_t i = 0; i < text.length; i++)
    {
      char c = text.data[i];

      if (!(c >= 'a' && c <= 'z') && !(c >= 'A' && c <= 'Z')
          && !(c >= '0' && c <= '9') && (!c || !strchr ("-._~", c)))
        return false;
    }
  return true;
}

struct ms_name
ms_name (const char *text)
{
  struct ms_name name = { 0 };

  name.length = strnlen (text, MS_NAME_BYTES - 1);
  memcpy (name.data, text, name.length);
  return name;
}

#include "base/alloc.h"

#include <stdlib.h>
#include <string.h>

void *
ms_new (size_t size)
{
  return ms_new_array (1, size);
}

void *
ms_new_array (size_t count, size_t size)
{
  void *memory = calloc (count ? count : 1, size);

  if (!memory)
    abort ();
  return memory;
}

void *
ms_resize (void *memory, size_t count, size_t size)
{
  void *resized = reallocarray (memory, count ? count : 1, size);

  if (!resized)
    abort ();
  return resized;
}

char *
ms_copy (const char *data, size_t length)
{
  char *copy = ms_new (length + 1);

  memcpy (copy, data, length);
  return copy;
}

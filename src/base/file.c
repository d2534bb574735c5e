#include "base/file.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Largest buffer for a file's bytes and the NUL.  A file that fills it is
   refused, even if it ends there.  */
#define MAX_BUFFER_BYTES (256u << 20)

static enum ms_status
read_all (FILE *file, const char *path, char **text, size_t *length)
{
  size_t capacity = 65536;
  size_t used = 0;
  char *data = malloc (capacity);

  while (data)
    {
      size_t n = fread (data + used, 1, capacity - used - 1, file);

      used += n;
      if (!n)
        break;
      if (used + 1 < capacity)
        continue;
      if (capacity >= MAX_BUFFER_BYTES)
        {
          free (data);
          return ms_fail (MS_NO_SPACE, "%s: the file is too large", path);
        }
      capacity *= 2;
      data = realloc (data, capacity);
    }
  if (!data)
    abort ();
  data[used] = '\0';
  *text = data;
  *length = used;
  return MS_OK;
}

enum ms_status
ms_file_read (const char *path, char **text, size_t *length)
{
  enum ms_status status;
  FILE *file;

  if (strcmp (path, "-") == 0)
    return read_all (stdin, path, text, length);
  file = fopen (path, "r");
  if (!file)
    return ms_fail (MS_NOT_FOUND, "%s: %s", path, strerror (errno));
  status = read_all (file, path, text, length);
  fclose (file);
  return status;
}

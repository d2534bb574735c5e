#ifndef BASE_FILE_H
#define BASE_FILE_H

#include <monsoonspur/status.h>

#include <stddef.h>

/* Read the whole file at PATH, or standard input if PATH is "-".  Set *TEXT to
   the content, which the caller frees, and *LENGTH to its length in bytes; a
   NUL follows it.  A read error counts as the end of the file.  Return
   MS_NOT_FOUND if the file cannot be opened, MS_NO_SPACE if it
   has 256 MiB - 1 bytes or more.  */
enum ms_status ms_file_read (const char *path, char **text, size_t *length);

#endif

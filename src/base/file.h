#ifndef BASE_FILE_H
#define BASE_FILE_H

#include <monsoonspur/status.h>

#include <stddef.h>

/* Read the whole file at PATH, or standard input if PATH is "-".  Set *TEXT to
   the content, which the caller frees, and *LENGTH to its length in bytes; a
   NUL follows it.  Return MS_NOT_FOUND if the file cannot be opened,
   MS_NO_SPACE if it is too large.  */
enum ms_status ms_file_read (const char *path, char **text, size_t *length);

#endif

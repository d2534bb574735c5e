#ifndef BASE_FILE_H
#define BASE_FILE_H

#include <monsoonspur/status.h>

#include <stddef.h>

/* Read the whole file at PATH, "-" for standard input, into *TEXT, which the
   caller frees; a NUL follows the LENGTH bytes.  */
enum ms_status ms_file_read (const char *path, char **text, size_t *length);

#endif

#ifndef BASE_ALLOC_H
#define BASE_ALLOC_H

#include <stddef.h>

/* Allocation that aborts the process when memory runs out: a router must not
   decide anything on incomplete state.  The functions never return NULL; the
   caller releases results with free.  */

/* Allocate SIZE bytes, zeroed.  */
void *ms_new (size_t size);

/* Allocate an array of COUNT elements of SIZE bytes each, zeroed.  */
void *ms_new_array (size_t count, size_t size);

/* Resize MEMORY, which may be NULL, to COUNT elements of SIZE bytes each.
   As with realloc, the memory may move, and added bytes are not set.  */
void *ms_resize (void *memory, size_t count, size_t size);

/* Copy LENGTH bytes of DATA and append a NUL.  */
char *ms_copy (const char *data, size_t length);

#endif

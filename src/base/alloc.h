#ifndef BASE_ALLOC_H
#define BASE_ALLOC_H

#include <stddef.h>

/* Allocation that ends the process when the memory is used up: no decision can
   go on without its state.  */

/* SIZE bytes, zeroed.  */
void *ms_new (size_t size);

/* Room for COUNT elements of SIZE bytes each, zeroed.  */
void *ms_new_array (size_t count, size_t size);

/* Resize MEMORY to COUNT elements of SIZE bytes each.  */
void *ms_resize (void *memory, size_t count, size_t size);

/* A copy of LENGTH bytes of DATA, with a NUL behind them.  */
char *ms_copy (const char *data, size_t length);

#endif

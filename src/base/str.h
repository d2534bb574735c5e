#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A borrowed, length-counted string; not necessarily NUL-terminated.  */
struct ms_str
{
  const char *data;
  size_t length;
};

/* Borrow the NUL-terminated TEXT; NULL gives the empty string.  */
struct ms_str ms_str (const char *text);

bool ms_str_equal (struct ms_str a, struct ms_str b);

/* 64-bit identifier of a name; never 0, which stands for "none".  */
uint64_t ms_id (struct ms_str name);

/* Identifier of the pair (A, B), for rendezvous hashing.  */
uint64_t ms_id_pair (uint64_t a, uint64_t b);

/* A name held in place.  */
#define MS_NAME_BYTES 64
struct ms_name
{
  size_t length;
  char data[MS_NAME_BYTES];
};

/* Copy TEXT; what exceeds MS_NAME_BYTES - 1 is cut off.  */
struct ms_name ms_name (const char *text);

#endif

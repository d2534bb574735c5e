#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A string given by address and length.  It does not own DATA and need not end
   with a NUL.  */
struct ms_str
{
  const char *data;
  size_t length;
};

/* Refer to the NUL-terminated TEXT; NULL gives the empty string.  */
struct ms_str ms_str (const char *text);

bool ms_str_equal (struct ms_str a, struct ms_str b);

/* The number that the decimal digits at the start of TEXT make; 0 if there is
   none, MOST if it is larger than that.  */
uint64_t ms_str_number (struct ms_str text, uint64_t most);

/* The 64-bit identifier of NAME: a hash, the same on all routers.  It is never
   0, which means "none".  */
uint64_t ms_id (struct ms_str name);

/* A hash of the ordered pair (A, B), for rendezvous hashing and for derived
   identifiers.  It depends on the byte order of the machine, and unlike ms_id
   it may be 0.  */
uint64_t ms_id_pair (uint64_t a, uint64_t b);

/* A NUL-terminated name, stored without allocation.  */
#define MS_NAME_BYTES 64
struct ms_name
{
  size_t length;
  char data[MS_NAME_BYTES];
};

/* Copy TEXT, cut after MS_NAME_BYTES - 1 bytes.  */
struct ms_name ms_name (const char *text);

/* Whether TEXT can name an instance or a router: 1 to MS_NAME_BYTES - 1 of the
   unreserved characters of RFC 3986, which are letters, digits and "-._~".
   These mean the same in a URL, a header field and a log line.  */
bool ms_is_name (struct ms_str text);

#endif

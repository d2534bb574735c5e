#ifndef BACKING_BACKING_H
#define BACKING_BACKING_H

#include <monsoonspur/status.h>

#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "view/view.h"

/* Clients of the platform's two services that routers depend on: an ordered,
   append-only log of records and the list of instances.  The functions block
   and may be called by any thread.  */

/* The log service.  Each stream numbers its records by offset and drops the
   oldest ones as time passes.  */
struct ms_log_client
{
  void *context; /* First argument of the functions.  */

  /* Read records of STREAM from offset FROM on, and wait up to WAIT_MS if
     there is none yet.  Call RECORD with RECORD_CONTEXT, offset and text of
     each, in order; the text is valid only during the call.  Set *FIRST_KEPT
     to the oldest offset that the log still has, *NEXT to the next offset to
     read, and *AT_END to whether the stream ends there.  Return
     MS_UNAVAILABLE if the service did not answer; RECORD was not called
     then.  */
  enum ms_status (*read) (void *context, const char *stream, uint64_t from,
                          unsigned wait_ms,
                          void (*record) (void *, uint64_t, struct ms_str),
                          void *record_context, uint64_t *first_kept,
                          uint64_t *next, bool *at_end);

  /* Append TEXT to STREAM as one record and set *OFFSET to its offset.  After
     MS_UNAVAILABLE the record may or may not have been appended.  */
  enum ms_status (*append) (void *context, const char *stream,
                            const char *text, uint64_t *offset);
};

/* The list of instances, which are the endpoints of all services.  */
struct ms_list_client
{
  void *context; /* First argument of the function.  */

  /* Set *LIST to a new array of the COUNT listed endpoints, which the caller
     frees.  MS_UNAVAILABLE if the service gave no list.  */
  enum ms_status (*fetch) (void *context, struct ms_endpoint **list,
                           unsigned *count);
};

/* Decode the body of the list service's answer, JSON TEXT, as FETCH does.
   Entries that cannot be decoded, lack a name or service, or have an address
   that is not HOST:PORT are left out.  */
enum ms_status ms_list_decode (struct ms_str text, struct ms_endpoint **list,
                               unsigned *count);

/* Decode the body of the log service's answer to a read, JSON TEXT, as READ
   does.  Records that cannot be decoded are left out.  */
enum ms_status ms_log_decode (struct ms_str text,
                              void (*record) (void *, uint64_t, struct ms_str),
                              void *record_context, uint64_t *first_kept,
                              uint64_t *next, bool *at_end);

/* Clients that use HTTP and JSON.  URL is the base of the service's paths and
   must stay valid as long as the client.  */
struct ms_log_client ms_http_log_client (const char *url);
struct ms_list_client ms_http_list_client (const char *url);

/* Names of the streams, indexed by enum ms_stream.  */
extern const char *const ms_stream_names[];

#endif

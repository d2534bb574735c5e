#ifndef BACKING_BACKING_H
#define BACKING_BACKING_H

#include <monsoonspur/status.h>

#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "view/view.h"

/* The platform's log service.  */
struct ms_log_client
{
  void *context;

  /* Read records of STREAM from offset FROM on, waiting up to WAIT_MS for
     the first; calls RECORD for each.  Sets the oldest offset kept, the next
     offset to read, and whether that is the end.  */
  enum ms_status (*read) (void *context, const char *stream, uint64_t from,
                          unsigned wait_ms,
                          void (*record) (void *, uint64_t, struct ms_str),
                          void *record_context, uint64_t *first_kept,
                          uint64_t *next, bool *at_end);

  /* Append TEXT and set its OFFSET.  MS_UNAVAILABLE leaves open whether the
     record was appended.  */
  enum ms_status (*append) (void *context, const char *stream,
                            const char *text, uint64_t *offset);
};

/* The platform's list of instances.  */
struct ms_list_client
{
  void *context;

  /* Give the listed endpoints; the caller frees *LIST.  */
  enum ms_status (*fetch) (void *context, struct ms_endpoint **list,
                           unsigned *count);
};

/* Clients over HTTP and JSON; URL is borrowed.  */
struct ms_log_client ms_http_log (const char *url);
struct ms_list_client ms_http_list (const char *url);

/* Names of the streams, by enum ms_stream.  */
extern const char *const ms_stream_names[];

#endif

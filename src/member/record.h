#ifndef MEMBER_RECORD_H
#define MEMBER_RECORD_H

#include <monsoonspur/status.h>

#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/* Records of the control stream of the platform's log, one JSON object each.
   The stream holds the membership, the configuration and the quarantined
   requests, and all routers read it in the same order.  */

/* Space for an IP:PORT address, with its terminating null byte.  */
#define MS_ADDRESS_BYTES 48

/* Kinds of records.  The name of each in the JSON is in record.c.  */
enum ms_record_kind
{
  MS_RECORD_JOIN,        /* A router has started or was expired and joins, or
                            renews its join record.  */
  MS_RECORD_LEAVE,       /* A router drains and makes no more grants.  */
  MS_RECORD_EXPIRE,      /* Routers found NODE silent; it is no longer a
                            member.  */
  MS_RECORD_CONFIG,      /* A publication, based on an earlier one.  */
  MS_RECORD_CONFIG_COPY, /* Copy of the accepted configuration, appended
                            before the log drops the original.  */
  MS_RECORD_QUARANTINE   /* A request that must not run again.  */
};

/* A record; fields that its kind does not use are 0 or empty.  */
struct ms_record
{
  enum ms_record_kind kind;
  struct ms_name node;  /* JOIN, LEAVE, EXPIRE: name of the router.  */
  uint64_t incarnation; /* Of that router's process.  */
  struct ms_name zone;  /* JOIN, LEAVE: of the router.  */
  char peer_address[MS_ADDRESS_BYTES];   /* JOIN, LEAVE: for other routers.  */
  char caller_address[MS_ADDRESS_BYTES]; /* JOIN, LEAVE: for callers.  */
  uint64_t generation;  /* CONFIG: that of the configuration that it is
                           based on; CONFIG_COPY: its own.  */
  uint64_t fingerprint; /* QUARANTINE: of the request.  */
  char *text;           /* CONFIG and CONFIG_COPY: the YAML, owned.  */
  size_t text_length;   /* In bytes.  */
};

/* Return RECORD as one JSON object; the caller frees the text.  */
char *ms_record_print (const struct ms_record *record);

/* Parse TEXT into RECORD.  Return MS_OK, or MS_INVALID with a message if TEXT
   is not JSON, its kind is not known, or its node is not a name though it
   needs one.  On MS_OK the caller frees the contents of RECORD with
   ms_record_clear.  */
enum ms_status ms_record_parse (struct ms_str text, struct ms_record *record);
void ms_record_clear (struct ms_record *record);

#endif

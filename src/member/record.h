#ifndef MEMBER_RECORD_H
#define MEMBER_RECORD_H

#include <monsoonspur/status.h>

#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

#define MS_ADDRESS_BYTES 48

/* What the control stream of the platform's log holds.  */
enum ms_record_kind
{
  MS_RECORD_JOIN,
  MS_RECORD_LEAVE,
  MS_RECORD_EXPIRE,
  MS_RECORD_CONFIG,      /* A publication, based on an earlier one.  */
  MS_RECORD_CONFIG_COPY, /* The accepted one again, before it is forgotten.  */
  MS_RECORD_QUARANTINE   /* A request that must not run again.  */
};

struct ms_record
{
  enum ms_record_kind kind;
  struct ms_name node;
  uint64_t incarnation;
  struct ms_name zone;
  char peer_address[MS_ADDRESS_BYTES];
  char caller_address[MS_ADDRESS_BYTES];
  uint64_t generation; /* CONFIG: based on; CONFIG_COPY: its own.  */
  uint64_t fingerprint;
  char *text; /* CONFIG and CONFIG_COPY: the YAML, owned.  */
  size_t text_length;
};

/* Print RECORD as one JSON object; the caller frees the result.  */
char *ms_record_print (const struct ms_record *record);

/* Parse TEXT into RECORD, which ms_record_clear empties.  */
enum ms_status ms_record_parse (struct ms_str text, struct ms_record *record);
void ms_record_clear (struct ms_record *record);

#endif

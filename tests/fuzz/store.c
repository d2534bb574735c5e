/* Fuzzes the decoders of what the store returns: pages of records, reads of
   changes, and the kinds of records in them.  */

#include <stddef.h>
#include <stdint.h>

#include "platform.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
take_record (void *context, const struct plat_record *record)
{
  struct ms_endpoint_entry entry;
  struct ms_routes *routes;
  struct ms_str name = { "app", 3 };
  struct plat_order order;
  struct plat_rollout_state state;
  char encoded[1024];

  (void)context;
  plat_operator_key (record->key, &name);
  plat_decode_order (name, record->value, &order);
  if (plat_decode_state (name, record->value, &state) == MS_OK)
    plat_encode_state (encoded, sizeof encoded, &state);
  plat_decode_endpoint (record->key, record->value, &entry);
  if (plat_decode_routes (record->value, &routes) == MS_OK)
    ms_routes_destroy (routes);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const struct ms_str text = { (const char *)data, size };
  const struct plat_record record = { { "e1", 2 }, text, false, 0 };
  char after[PLAT_AFTER_BYTES];
  uint64_t next;
  uint64_t end;
  bool more;

  take_record (NULL, &record);
  plat_decode_newest (text, take_record, NULL, &end, &more, after,
                      sizeof after);
  plat_decode_read (text, 1, take_record, NULL, &next, &end);
  return 0;
}

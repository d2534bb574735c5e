/* Fuzzes what a replica takes from a peer's relay: the input is applied before
   and after a relay of all records, and the result encoded again.  */

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "fleet/replica.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
on_change (void *context, struct ms_str key, struct ms_str value, bool removed)
{
  size_t *bytes = context;

  *bytes += key.length + value.length + removed;
}

static bool
on_repeat (void *context, struct ms_str key, struct ms_str value)
{
  size_t *bytes = context;

  *bytes += key.length + value.length;
  return true;
}

static void
apply (struct ms_replica *replica, const char *text, size_t length,
       ms_time now)
{
  json_t *relay = json_loadb (text, length, 0, NULL);

  ms_replica_apply (replica, relay, now, now);
  json_decref (relay);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  size_t bytes = 0;
  const struct ms_replica_options options = { .name = "fuzz",
                                              .outage = 10,
                                              .keep = 10,
                                              .changed = on_change,
                                              .repeated = on_repeat,
                                              .context = &bytes };
  struct ms_replica *replica = ms_replica_create (&options);
  json_t *relay;
  char *text;

  apply (replica, (const char *)data, size, 100);
  ms_replica_add (replica, ms_str ("a"), ms_str ("1"), 3);
  ms_replica_add (replica, ms_str ("b"), ms_str ("2"), MS_NO_OFFSET);
  ms_replica_complete (replica, 5, 0, 200, 200);
  apply (replica, (const char *)data, size, 300);
  ms_replica_tick (replica, 400);
  relay = ms_replica_encode (replica, 5, true, 400);
  text = relay ? json_dumps (relay, JSON_COMPACT) : NULL;
  free (text);
  json_decref (relay);
  ms_replica_destroy (replica);
  return 0;
}

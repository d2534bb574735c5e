/* Fuzzes the decoder of digests, and the fleet that takes what was decoded. */

#include <arpa/inet.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static char text[65000];
  static struct ms_zone_sums sums;
  struct in_addr addresses[64];
  struct ms_fleet *fleet
      = ms_fleet_create (1, 1, 1, (struct in_addr){ htonl (1) }, 1, 0);
  struct fleet_digest digest;
  struct fleet_digest own = { 0 };
  digest_member members[DIGEST_MEMBERS];
  ms_time now = MS_SEC;

  if (ms_digest_decode ((const char *)data, size, &digest))
    {
      ms_fleet_receive (fleet, &digest, now);
      ms_digest_free (&digest);
      ms_fleet_addresses (fleet, 1, true, now, addresses, 64);
      ms_fleet_targets (fleet, now, addresses, 64);
      ms_fleet_other_readers (fleet, now, addresses, 64);
      ms_fleet_fill_digest (fleet, &own, members, now);
      ms_fleet_sum_zone (fleet, &own, &sums, now);
      ms_digest_encode (&own, text, sizeof text);
    }
  ms_fleet_destroy (fleet);
  return 0;
}

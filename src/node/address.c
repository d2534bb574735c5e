#include <stdlib.h>
#include <string.h>

#include "node/internal.h"

/* A member and its sort key.  */
struct ranked
{
  const struct ms_member *member;
  int tier; /* 0: caller's own zone; 1: other zone; 2: zone that is out of
               service or not configured.  */
  uint64_t order; /* Pseudorandom, within the tier.  */
};

static int
compare_ranked (const void *a, const void *b)
{
  const struct ranked *left = a;
  const struct ranked *right = b;

  if (left->tier != right->tier)
    return left->tier - right->tier;
  return left->order < right->order ? -1 : left->order > right->order;
}

static int
get_tier (const struct ms_view *view, const struct ms_member *member,
          uint64_t zone)
{
  const struct ms_zone *zone_config
      = view->config ? ms_config_zone (view->config, member->zone) : NULL;

  if (!zone_config || !zone_config->in_service)
    return 2;
  return member->zone != zone;
}

unsigned
ms_node_addresses (struct ms_node *node, uint64_t zone, uint64_t salt,
                   struct ms_address *addresses, unsigned space)
{
  const struct ms_view *view = node->view;
  struct ranked ranked[MS_MAX_MEMBERS];
  unsigned count = 0;

  for (unsigned i = 0; i < view->members_count; i++)
    {
      const struct ms_member *member = &view->members[i];

      if (member->id == view->self && node->draining)
        continue;
      if (member->id != view->self && member->probes_unanswered > 1)
        continue;
      ranked[count++] = (struct ranked){ member, get_tier (view, member, zone),
                                         ms_id_pair (salt, member->id) };
    }
  qsort (ranked, count, sizeof *ranked, compare_ranked);
  if (count > space)
    count = space;
  for (unsigned i = 0; i < count; i++)
    {
      memcpy (addresses[i].caller_address, ranked[i].member->caller_address,
              MS_ADDRESS_BYTES);
      addresses[i].zone = ranked[i].member->zone_name;
    }
  return count;
}

unsigned
ms_node_watched_endpoints (struct ms_node *node, ms_time now, uint64_t *ids,
                           char (*addresses)[MS_ADDRESS_BYTES], unsigned space)
{
  const struct ms_view *view = node->view;
  unsigned count = 0;

  for (unsigned i = 0; i < view->endpoints_count && count < space; i++)
    {
      const struct ms_endpoint *endpoint = &view->endpoints[i];

      if (!ms_dispatch_covers (node->dispatch, endpoint->id, now))
        continue;
      ids[count] = endpoint->id;
      memcpy (addresses[count++], endpoint->address, MS_ADDRESS_BYTES);
    }
  return count;
}

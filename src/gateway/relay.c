#include "gateway/relay.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/address.h"
#include "base/alloc.h"
#include "base/event.h"
#include "gateway/exchange.h"

/* A router that reads the store itself calls a peer once a topic is stale, or
   older than MAX_AGE_FAILING while its reads of the store fail.  Other routers
   call one every CALL_PERIOD.  */
#define MAX_AGE_FAILING (300 * MS_MSEC)

/* Shortest time from one call to the next, and time limit of a call.  */
#define CALL_PERIOD (350 * MS_MSEC)
#define CALL_TIMEOUT (400 * MS_MSEC)

struct ms_relay
{
  struct ms_gateway *gw;
  struct ms_exchange *exchange;
  ms_time next_call_at; /* No call starts before this time.  */
};

static void
on_relay (void *context, enum ms_status status, unsigned code,
          struct ms_str body, ms_time sent_at)
{
  struct ms_relay *r = context;
  struct ms_gateway *gw = r->gw;
  json_t *document;
  bool newer;

  gw->relay_failed = status != MS_OK || code != 200;
  if (gw->relay_failed)
    return;
  document = json_loadb (body.data, body.length, JSON_ALLOW_NUL, NULL);
  newer = ms_replica_apply (ms_topic_replica (gw->operator_topic),
                            json_object_get (document, "operator"), sent_at,
                            gw->now);
  newer |= ms_replica_apply (ms_topic_replica (gw->endpoint_topic),
                             json_object_get (document, "endpoints"), sent_at,
                             gw->now);
  json_decref (document);
  if (newer && ms_fleet_reads_store (gw->fleet, gw->now))
    ms_event (gw->now, "relayed", "operator_age_ms=%lld endpoints_age_ms=%lld",
              (long long)((gw->now - ms_topic_read_at (gw->operator_topic))
                          / MS_MSEC),
              (long long)((gw->now - ms_topic_read_at (gw->endpoint_topic))
                          / MS_MSEC));
}

/* Set *ADDRESS to a router to call, at the port of this router's own control
   address, or to a random seed while no other router is alive.  Return false
   if there is none or the seed has this router's own IP address.  */
static bool
choose_source (struct ms_gateway *gw, struct sockaddr_in *address)
{
  const struct ms_fleet_router *router
      = ms_fleet_relay_source (gw->fleet, gw->now);
  struct sockaddr_in own;
  unsigned seed;

  if (ms_address_parse (gw->settings->control_address, &own) != MS_OK)
    return false;
  if (router)
    {
      *address = own;
      address->sin_addr = router->ip;
      return true;
    }
  if (!gw->settings->seeds_count)
    return false;
  seed = (unsigned)ms_random_below (&gw->random, gw->settings->seeds_count);
  return ms_address_parse (gw->settings->seeds[seed], address) == MS_OK
         && address->sin_addr.s_addr != own.sin_addr.s_addr;
}

/* The offset up to which this router has the records of TOPIC; 0 if it needs
   all of them.  */
static uint64_t
known_offset (struct ms_topic *topic)
{
  const struct ms_replica *replica = ms_topic_replica (topic);

  return ms_replica_incomplete (replica) ? 0 : ms_replica_next (replica);
}

static bool
needs_relay (const struct ms_topic *topic, ms_time now)
{
  return ms_topic_stale (topic, now)
         || (ms_topic_failing (topic)
             && now - ms_topic_read_at (topic) > MAX_AGE_FAILING);
}

void
ms_relay_tick (struct ms_relay *r, ms_time now)
{
  struct ms_gateway *gw = r->gw;
  struct sockaddr_in address;
  char path[128];

  if (now < r->next_call_at || ms_exchange_busy (r->exchange)
      || (ms_fleet_reads_store (gw->fleet, now)
          && !needs_relay (gw->operator_topic, now)
          && !needs_relay (gw->endpoint_topic, now)))
    return;
  r->next_call_at = now + CALL_PERIOD;
  if (!choose_source (gw, &address))
    return;
  snprintf (path, sizeof path,
            MS_RELAY_PATH "?operator=%llu&endpoints=%llu&changes=1",
            (unsigned long long)known_offset (gw->operator_topic),
            (unsigned long long)known_offset (gw->endpoint_topic));
  ms_exchange_call (r->exchange, &address, "GET", path,
                    (struct ms_str){ "", 0 }, CALL_TIMEOUT, on_relay, r);
}

struct ms_relay *
ms_relay_create (struct ms_gateway *gw)
{
  struct ms_relay *r = ms_new (sizeof *r);

  r->gw = gw;
  r->exchange = ms_exchange_create (&gw->loop, &gw->clock);
  return r;
}

void
ms_relay_destroy (struct ms_relay *r)
{
  if (!r)
    return;
  ms_exchange_destroy (r->exchange);
  free (r);
}

#ifndef PLACE_CROSSING_H
#define PLACE_CROSSING_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Crossings: requests that a router sends to an endpoint of another
   availability zone.  For one service, a crossing policy decides what fraction
   of this router's requests may go to each other zone.

   The module knows neither endpoints nor requests: placement passes sums over
   the endpoints of each zone and the requests that it sends, and asks for
   permits.  It has no input or output and reads no clock.  */

/* Zones that are told apart; requests to further ones need no permit.  */
#define MS_CROSSING_ZONES 16

/* What is known of the endpoints of a service in one zone, summed over those
   that may get requests and are not cold.  */
struct ms_crossing_view
{
  uint64_t zone;
  bool closed;       /* The zone is evacuated.  */
  double running;    /* Requests of all routers.  */
  double limit;      /* Requests that may run at once; 0 without usable
                        endpoints.  */
  double memory_use; /* Fraction of the token memory that is in use.  */
  double wait_use;  /* Predicted time to the first token beyond that of an idle
                       endpoint, as a fraction of the time that requests
                       allow: the mean over the endpoints, weighted by their
                       limits.  */
  unsigned routers; /* Live ones.  */
  ms_time age;      /* Of the newest report of its routers; 0 if the zone has
                       none that could report.  */
};

/* State for one other zone.  */
struct ms_crossing_zone
{
  struct ms_crossing_view view; /* The newest one.  */
  bool seen;                    /* VIEW is of the last update.  */
  bool short_of_room; /* It needs its endpoints itself, with hysteresis.  */
  double use;         /* Exponential mean of the fraction in use.  */
  double room;        /* Requests that it can take in addition.  */
  double fresh_room;  /* ROOM when its routers last reported.  */
  double fraction;    /* Of this router's requests that may go there.  */
  double permits;     /* Earned and not used.  */
  double turn;        /* Position in the order in which requests without a
                         permit are spread over the zones.  */
  ms_time sent_at;    /* Last update at which FRACTION was not 0.  */
  bool reported;      /* Its last change that was reported is that requests
                         are sent there.  */
};

enum ms_crossing_reason
{
  MS_CROSSING_NO_REASON,
  MS_CROSSING_NO_ENDPOINTS, /* The own zone is evacuated or has no usable
                               endpoints.  */
  MS_CROSSING_SHORT,        /* Its endpoints are in use.  */
  MS_CROSSING_UNSERVED,     /* Requests found no endpoint in it.  */
  MS_CROSSING_ENOUGH,       /* Its endpoints are no longer short.  */
  MS_CROSSING_NO_ROOM       /* The other zone has no room any more.  */
};

/* State for one service.  */
struct ms_crossing
{
  uint64_t service;
  bool short_of_room;             /* The own zone's endpoints are, with
                                     hysteresis.  */
  enum ms_crossing_reason reason; /* Of the last update.  */
  struct ms_crossing_view own;
  double use;       /* As in struct ms_crossing_zone.  */
  double fraction;  /* Sum over the zones.  */
  double unserved;  /* Exponential mean of the part of this router's requests
                       that left its zone without a permit.  */
  unsigned sent;    /* Requests sent since the last update.  */
  double permitted; /* The same of those with a permit.  */
  unsigned sent_permitted;
  unsigned sent_unserved; /* Those of them that left without a permit.  */
  double running;         /* Requests of this router in progress, anywhere.  */
  ms_time updated_at;
  struct ms_crossing_zone zones[MS_CROSSING_ZONES];
  unsigned zones_count;
};

/* A way to decide on crossings.  */
struct ms_crossing_policy
{
  const char *name;
  bool needs_permits; /* If not, requests cross by the static price of their
                         bytes alone, and the functions are not called.  */
  /* Recompute the fractions of C from the newest views.  */
  void (*update) (struct ms_crossing *c, ms_time now);
  /* Return whether a request may go to ZONE, although an endpoint of the own
     zone could serve it.  */
  bool (*permits) (const struct ms_crossing *c,
                   const struct ms_crossing_zone *zone);
  /* Return the fraction of the static price that a request with a permit
     pays.  */
  double (*price) (const struct ms_crossing *c,
                   const struct ms_crossing_zone *zone);
  /* Return a key by which a request that the own zone cannot serve chooses
     among other zones, the lowest first.  */
  double (*order) (const struct ms_crossing *c,
                   const struct ms_crossing_zone *zone);
};

/* Return the policy called NAME; NULL if it is unknown.  "static" lets each
   request decide by the price of its bytes; "balanced" sends out what exceeds
   the room of the own zone's endpoints, as far as other zones have room.  */
const struct ms_crossing_policy *ms_crossing_policy (const char *name);

/* Return the state of C for ZONE, added if it is new; NULL if there are too
   many zones.  SEED, which differs between routers, keeps them from using
   their first permits at the same time.  */
struct ms_crossing_zone *ms_crossing_zone (struct ms_crossing *c,
                                           uint64_t zone, uint64_t seed);

/* Count a request that this router sends.  TO is the other zone that it goes
   to, NULL if it stays; PERMITTED tells whether it needed and had a permit,
   otherwise it left because the own zone could not serve it.  */
void ms_crossing_sent (struct ms_crossing *c, struct ms_crossing_zone *to,
                       bool permitted);

const char *ms_crossing_reason_name (enum ms_crossing_reason reason);

#endif

#ifndef GATEWAY_TOPIC_H
#define GATEWAY_TOPIC_H

#include <jansson.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <uv.h>

#include "base/clock.h"
#include "base/random.h"
#include "base/str.h"

/* A local copy of one topic of the store: the newest record of each key.  It
   starts from a snapshot of the topic and then follows its changes, by reads
   of the store or by copies that peers relay.  While the store is out of reach
   the records stay as they were.  Runs on the event loop's thread.  */

struct ms_topic;

struct ms_topic_options
{
  const char *name;
  struct sockaddr_in store;
  unsigned wait_ms;     /* How long the store may hold a read open while there
                           is nothing new (long poll).  */
  ms_time pause;        /* From the end of a read to the next read.  */
  ms_time keep_missing; /* How long a record that disappears during an outage
                           of the store, or shortly after, is kept; 0 to delete
                           it at once.  */

  /* Called when the value of KEY changes, or with REMOVED set when KEY is
     deleted; VALUE is then empty.  */
  void (*changed) (void *context, struct ms_str key, struct ms_str value,
                   bool removed);
  void *context;
};

/* Create a copy of the topic that OPTIONS describe; they are copied.  */
struct ms_topic *ms_topic_create (uv_loop_t *loop,
                                  const struct ms_clock *clock,
                                  const struct ms_topic_options *options);
void ms_topic_destroy (struct ms_topic *topic);

/* Start a read of the store if one is due.  If DIRECT, one is due whenever the
   pause is over; otherwise only while no snapshot was applied yet, or once the
   records are too old because peers have stopped relaying them.  Call on every
   tick.  */
void ms_topic_tick (struct ms_topic *topic, bool direct, ms_time now);

/* Send time of the read that last confirmed the records, by this router or by
   the peer that relayed them; 0 if none has succeeded yet.  */
ms_time ms_topic_read_at (const struct ms_topic *topic);

/* Whether the last read of the store failed.  */
bool ms_topic_failing (const struct ms_topic *topic);

/* The offset that the next read of changes starts at; 0 if nothing was read
   yet.  */
uint64_t ms_topic_next (const struct ms_topic *topic);

/* Return a JSON object for a peer's ms_topic_apply_relay: the next offset and
   the age of the records, and all the records if the peer lacks some of them:
   it has them up to the offset KNOWN.  NULL if nothing was read yet.  The
   caller owns the result.  */
json_t *ms_topic_encode_relay (const struct ms_topic *topic, uint64_t known,
                               ms_time now);

/* Apply RELAY, which a peer returned for a call sent at SENT_AT.  Return true
   if it brought newer records or confirmed them by a later read; otherwise it
   is ignored.  Records that newer ones lack are deleted at once, whatever
   keep_missing says.  */
bool ms_topic_apply_relay (struct ms_topic *topic, const json_t *relay,
                           ms_time sent_at, ms_time now);

#endif

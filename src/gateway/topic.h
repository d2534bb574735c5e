#ifndef GATEWAY_TOPIC_H
#define GATEWAY_TOPIC_H

#include <netinet/in.h>
#include <stdbool.h>
#include <uv.h>

#include "base/clock.h"
#include "fleet/replica.h"

/* Keeps a replica of one topic of the store by reading the store.  While the
   store is out of reach the records stay as they were.  Runs on the event
   loop's thread.  */

struct ms_topic;

struct ms_topic_options
{
  struct ms_replica_options replica;
  struct sockaddr_in store;
  unsigned wait_ms; /* How long the store may hold a read open while there is
                       nothing new (long poll).  */
  ms_time pause;    /* From the end of a read to the next read.  */
  ms_time max_age;  /* Age of the records at which a router that depends on
                       relays reads the store itself.  */
};

/* Create an empty replica of the topic that OPTIONS describe; they are
   copied.  */
struct ms_topic *ms_topic_create (uv_loop_t *loop,
                                  const struct ms_clock *clock,
                                  const struct ms_topic_options *options);
void ms_topic_destroy (struct ms_topic *topic);

/* Start a read of the store if one is due.  If DIRECT, one is due whenever the
   pause is over; otherwise only while no snapshot was applied yet, or once the
   records are too old because peers have stopped relaying them.  Call on every
   tick.  */
void ms_topic_tick (struct ms_topic *topic, bool direct, ms_time now);

/* Read the store at once, beside the reads that ms_topic_tick starts, unless
   such a read is in progress: the records are confirmed sooner that way.  Does
   nothing before a snapshot was applied.  */
void ms_topic_confirm (struct ms_topic *topic);

/* The replica, owned by TOPIC; peers may bring it newer records.  */
struct ms_replica *ms_topic_replica (struct ms_topic *topic);

/* As ms_replica_read_at of the replica.  */
ms_time ms_topic_read_at (const struct ms_topic *topic);

/* Whether the records are older than the max_age of the topic.  */
bool ms_topic_stale (const struct ms_topic *topic, ms_time now);

/* Whether the last read of the store failed.  */
bool ms_topic_failing (const struct ms_topic *topic);

/* Since when reads of the store have been overdue or have failed; 0 if the
   last one did not.  */
ms_time ms_topic_suspected_at (const struct ms_topic *topic);

/* Since when it is doubted at NOW that the records are up to date, where the
   store is suspected to be away since SUSPECTED_AT (0: it is not): no peer has
   relayed a later read, or neither peers nor the store have confirmed the
   records for much longer than max_age.  0 if it is not.  */
ms_time ms_topic_doubted_since (const struct ms_topic *topic,
                                ms_time suspected_at, ms_time now);

#endif

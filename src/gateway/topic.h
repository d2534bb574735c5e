#ifndef GATEWAY_TOPIC_H
#define GATEWAY_TOPIC_H

#include <jansson.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <uv.h>

#include "base/clock.h"
#include "base/random.h"
#include "base/str.h"

/* The newest record of each key of one of the store's topics, kept up to date
   by reads of the store or by what peers relay.  */

struct ms_topic;

struct ms_topic_options
{
  const char *name;
  struct sockaddr_in store;
  unsigned wait_ms;    /* A read is held so long while nothing is new.  */
  ms_time pause;       /* Between two reads.  */
  ms_time missing_for; /* How long a key that a whole read lacks is kept.  */

  /* KEY has a new VALUE, or none any more.  */
  void (*changed) (void *context, struct ms_str key, struct ms_str value,
                   bool removed);
  void *context;
};

struct ms_topic *ms_topic_create (uv_loop_t *loop,
                                  const struct ms_clock *clock,
                                  const struct ms_topic_options *options);
void ms_topic_destroy (struct ms_topic *topic);

/* Begin a read if one is due: with DIRECT whenever the pause is over, else
   only once the last read is so old that the peers who read seem to be gone.
 */
void ms_topic_tick (struct ms_topic *topic, bool direct, ms_time now);

/* When the read was sent by which the records are known; 0 if never.  */
ms_time ms_topic_read_at (const struct ms_topic *topic);

/* Whether the last read of the store failed.  */
bool ms_topic_failing (const struct ms_topic *topic);

/* The offset that the next read begins at.  */
uint64_t ms_topic_next (const struct ms_topic *topic);

/* What a peer that has read up to KNOWN lacks, for ms_topic_relayed; NULL if
   nothing was read yet.  The caller owns the result.  */
json_t *ms_topic_relay (const struct ms_topic *topic, uint64_t known,
                        ms_time now);

/* Take what a peer relayed in answer to a call made at SENT_AT.  Returns
   whether the records are newer or known by a later read than before.  */
bool ms_topic_relayed (struct ms_topic *topic, const json_t *relay,
                       ms_time sent_at, ms_time now);

#endif

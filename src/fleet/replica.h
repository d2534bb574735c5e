#ifndef FLEET_REPLICA_H
#define FLEET_REPLICA_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"

/* A replica of one topic of the store: the newest record of each key.  It
   starts from a snapshot of the topic and then follows its changes, by reads
   of the store or by replicas that peers relay.  The module opens no socket
   and reads no clock; times are in microseconds (ms_time).  */

struct ms_replica;

/* Stands for the offset at which a record was written where that is not
   known.  */
#define MS_NO_OFFSET UINT64_MAX

struct ms_replica_options
{
  const char *name;

  /* If no read confirmed the records for at least OUTAGE, the store may have
     been down and records may have expired although their writers live.  Those
     that are gone by then or shortly after are kept until KEEP after the read
     that ended the outage, by when they have been written again.  0: all
     removals take effect at once.  */
  ms_time outage;
  ms_time keep;

  /* After the store came back from an older copy: until REWRITE after the read
     that showed it, records that the copy lacks are kept, and those that only
     the copy has are not reported unless they are written again.  By then the
     writers have written again what is true.  */
  ms_time rewrite;

  /* Called when the value of KEY changes, or with REMOVED set when KEY is
     deleted; VALUE is then empty.  */
  void (*changed) (void *context, struct ms_str key, struct ms_str value,
                   bool removed);

  /* If not NULL, called when KEY was written again with the VALUE that it has,
     which its offset tells.  Returns whether that matters to peers, which then
     get it with the next relay.  */
  bool (*repeated) (void *context, struct ms_str key, struct ms_str value);
  void *context;
};

/* Create an empty replica; OPTIONS is copied.  */
struct ms_replica *
ms_replica_create (const struct ms_replica_options *options);

/* Free REPLICA, which may be NULL.  CHANGED is not called.  */
void ms_replica_destroy (struct ms_replica *replica);

/* Whether the records of the topic were read at least once.  */
bool ms_replica_loaded (const struct ms_replica *replica);

/* Time at which the store had no newer records for sure, by a read of this
   router or of the peer that relayed them: as a rule the read's send time.  0
   if none has succeeded yet.  */
ms_time ms_replica_read_at (const struct ms_replica *replica);

/* The offset that the next read of changes starts at; 0 if nothing was read
   yet.  */
uint64_t ms_replica_next (const struct ms_replica *replica);

/* The offset at which the record of KEY was written, in the store's era;
   MS_NO_OFFSET if that is not known.  */
uint64_t ms_replica_offset (const struct ms_replica *replica,
                            struct ms_str key);

/* Add a record, written at offset AT, to the snapshot that is being read.  */
void ms_replica_add (struct ms_replica *replica, struct ms_str key,
                     struct ms_str value, uint64_t at);

/* Forget the snapshot that is being read.  */
void ms_replica_abandon (struct ms_replica *replica);

/* The era of the store that the records come from: a number that rises when
   the store comes back from an older copy.  0 if it is not known.  */
uint64_t ms_replica_era (const struct ms_replica *replica);

/* Whether the store came back from an older copy so recently that the records
   may lack what was acknowledged before.  */
bool ms_replica_settling (const struct ms_replica *replica, ms_time now);

/* The store no longer has the offset at which the next read of changes starts
   and gives out those before it again.  The next snapshot comes from an older
   copy.  */
void ms_replica_note_loss (struct ms_replica *replica);

/* The snapshot that was being read is complete: it has the records up to the
   offset END of the store's ERA (0: not known), and its first page was
   requested at SENT_AT.  It replaces the records unless they are newer.  */
void ms_replica_complete (struct ms_replica *replica, uint64_t end,
                          uint64_t era, ms_time sent_at, ms_time now);

/* Apply a change, written at offset AT, that a read brought, which was sent at
   SENT_AT: KEY has VALUE now, or was removed.  */
void ms_replica_change (struct ms_replica *replica, struct ms_str key,
                        struct ms_str value, bool removed, uint64_t at,
                        ms_time sent_at, ms_time now);

/* A read of changes brought those up to the offset NEXT, and the topic ended
   at END at CONFIRMED_AT.  Unless the read stopped short of END, this confirms
   the records.  */
void ms_replica_advance (struct ms_replica *replica, uint64_t next,
                         uint64_t end, ms_time confirmed_at);

/* Delete the records that were kept until now.  */
void ms_replica_tick (struct ms_replica *replica, ms_time now);

/* Return whether a relay of changes did not lead to the records of the peer,
   or came from a later era, so that a snapshot or a relay of all records is
   needed.  */
bool ms_replica_incomplete (const struct ms_replica *replica);

/* Return a JSON object for a peer's ms_replica_apply: the next offset and the
   age of the records, and if the peer lacks records, which it has up to the
   offset KNOWN, also records: with CHANGES those that have changed or gone
   since and a checksum of all, if that is still known, otherwise all of them,
   and the offsets at which they were written if the options have REPEATED.
   Records that are only kept count as gone, as whether to keep them depends on
   what the peer itself has missed.  The object also has the era, if known.
   NULL if nothing was read yet.  The caller owns the result.  */
json_t *ms_replica_encode (const struct ms_replica *replica, uint64_t known,
                           bool changes, ms_time now);

/* Apply RELAY, which a peer returned for a call sent at SENT_AT.  Return true
   if it brought newer records or confirmed them by a later read; otherwise it
   is ignored, as is a relay of an older era.  */
bool ms_replica_apply (struct ms_replica *replica, const json_t *relay,
                       ms_time sent_at, ms_time now);

#endif

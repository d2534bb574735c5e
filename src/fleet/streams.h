#ifndef FLEET_STREAMS_H
#define FLEET_STREAMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/* Which software version began a stream, so that it goes on at that version
   also if its caller takes it up at another router.

   While a service has had one version only, each of its streams began at
   that.  From when a router sees a second one, routers tell each other of
   streams as they are sent to an endpoint, and by turns of those that began
   before.  What no
   router in reach knows is unknown, and such a stream must not be resumed.

   A version is the hash in struct ms_endpoint_entry, which differs between
   services.  Opens no socket and reads no clock.  Not thread-safe.  */

struct ms_streams;

/* No stream goes on for longer than this after it has begun, and a version
   that has not been listed for as long serves none.  */
#define MS_STREAM_LIFETIME (60 * MS_SEC)

/* Create an empty table.  FIRST_START says that no router has run before, so
   that no stream has begun.  */
struct ms_streams *ms_streams_create (bool first_start, ms_time now);
void ms_streams_destroy (struct ms_streams *streams);

/* VERSION of SERVICE was listed at AT.  */
void ms_streams_note_version (struct ms_streams *streams, uint64_t service,
                              uint32_t version, ms_time at);

/* STREAM began, or goes on, at VERSION, through this router.  */
void ms_streams_begin (struct ms_streams *streams, uint64_t stream,
                       uint32_t version, ms_time now);

/* STREAM, which is new, is sent to VERSION of an endpoint.  While a service
   has several versions it is reported from now on, so that peers and the store
   have it by the time when it begins.  Return whether it was reported at
   another version before: only the last one counts then.  */
bool ms_streams_sent (struct ms_streams *streams, uint64_t stream,
                      uint32_t version, ms_time now);

/* Return until when the first event of a new stream of SERVICE is held back,
   that ARRIVED, was sent at SENT_AT and is to begin within TARGET of its
   arrival: until the store has its version.  MOVED says that ms_streams_sent
   returned true for it.  Return 0 if it is not held back, as with one version
   only.  */
ms_time ms_streams_hold_until (const struct ms_streams *streams,
                               uint64_t service, bool moved, ms_time sent_at,
                               ms_time arrived, ms_time target, ms_time now);

/* Through which router a stream went first, as far as this one knows.  */
enum ms_stream_source
{
  MS_STREAM_OWN = 1,
  MS_STREAM_ZONE = 2,  /* Another one of its zone.  */
  MS_STREAM_OTHER = 4, /* One of another zone.  */
};

/* Another router reports that STREAM began at VERSION.  */
void ms_streams_merge (struct ms_streams *streams, uint64_t stream,
                       uint32_t version, enum ms_stream_source source,
                       ms_time now);

/* Return the version that began STREAM, which is of one of the COUNT SERVICES;
   0 if it is not known.  */
uint32_t ms_streams_version (const struct ms_streams *streams, uint64_t stream,
                             const uint64_t *services, unsigned count,
                             ms_time now);

/* Return whether a router has reported the version of STREAM.  If not,
   ms_streams_version relies on the list of endpoints: its answer is right only
   if this router knows all versions that were listed before the stream began.
 */
bool ms_streams_reported (const struct ms_streams *streams, uint64_t stream);

/* A caller takes STREAM up here.  Return whether the stream is known to have
   been let in and was not taken up here before.  */
bool ms_streams_take_up (struct ms_streams *streams, uint64_t stream);

struct ms_stream_report
{
  uint64_t stream;
  uint32_t version;
};

/* Fill LIST with up to SPACE streams to report: those that were lately learned
   from one of SOURCES, which are ORed together, and by turns some older ones
   of this router.  None while all services have one version only.  Return
   their number.  */
unsigned ms_streams_report (struct ms_streams *streams, unsigned sources,
                            struct ms_stream_report *list, unsigned space,
                            ms_time now);

/* Return whether a service has several versions, so that it matters which one
   began a stream.  */
bool ms_streams_mixed (const struct ms_streams *streams, ms_time now);

/* Fill LIST with up to SPACE streams that went first through this router or
   another one of its zone and were not taken before, without those that are so
   old that hardly any goes on.  Return their number.  */
unsigned ms_streams_take_unstored (struct ms_streams *streams,
                                   struct ms_stream_report *list,
                                   unsigned space, ms_time now);

/* Size of one stream in the form in which the store has it.  */
#define MS_STREAM_STORED_BYTES 12

/* Write the COUNT streams in LIST into DATA, which has MS_STREAM_STORED_BYTES
   for each.  Return the length.  */
size_t ms_streams_encode (const struct ms_stream_report *list, unsigned count,
                          char *data);

/* Read the streams in the LENGTH bytes at DATA, of which an incomplete one at
   the end is ignored: they went first through other routers.  Return their
   number.  */
unsigned ms_streams_load (struct ms_streams *streams, const char *data,
                          size_t length, ms_time now);

/* Return whether streams have begun here since the last ms_streams_report that
   had MS_STREAM_OWN among its sources, and it matters which version began
   them.  */
bool ms_streams_unreported (const struct ms_streams *streams, ms_time now);

/* A version that was listed within MS_STREAM_LIFETIME.  */
struct ms_version_report
{
  uint64_t service;
  uint32_t version;
  ms_time age; /* Since it was last listed.  */
};

/* Fill LIST with up to SPACE versions, and set *KNOWN_FOR to the time, up to
   MS_STREAM_LIFETIME, in which no other version was listed.  Return their
   number.  */
unsigned ms_streams_report_versions (const struct ms_streams *streams,
                                     struct ms_version_report *list,
                                     unsigned space, ms_time *known_for,
                                     ms_time now);

/* Another router, which follows the list, reports the COUNT versions in LIST,
   and that no other was listed for KNOWN_FOR.  */
void ms_streams_merge_versions (struct ms_streams *streams,
                                const struct ms_version_report *list,
                                unsigned count, ms_time known_for,
                                ms_time now);

/* The store has a record of each version, so that a fleet of which all routers
   have started again knows it as well.  Return whether a version is listed
   that has no record as far as this router knows, and set *REPORT to it.  */
bool ms_streams_unstored (const struct ms_streams *streams,
                          struct ms_version_report *report, ms_time now);

/* The store has a record of VERSION of SERVICE, as this router has written or
   read.  A router that has not known the versions for long takes it for
   listed.  Return whether the record is to be removed, as that version has
   left.  */
bool ms_streams_note_stored (struct ms_streams *streams, uint64_t service,
                             uint32_t version, ms_time now);

/* This router has read all records of versions, and there were some.  */
void ms_streams_note_all_stored (struct ms_streams *streams, ms_time now);

/* The store may have lost its records.  */
void ms_streams_forget_stored (struct ms_streams *streams);

/* Forget streams and versions that are older than MS_STREAM_LIFETIME.  */
void ms_streams_tick (struct ms_streams *streams, ms_time now);

#endif

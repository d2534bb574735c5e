#ifndef GUARD_PARTS_H
#define GUARD_PARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/* Quarantine of parts of prompts that crash each endpoint that begins to
   answer on them, whatever else the prompt holds.

   When an endpoint dies, every part of the requests there that had not begun
   to be answered is a suspect.  An answer that begins clears all parts of its
   prompt of the deaths before.  A part with several deaths since is under
   trial: one request at a time may be sent with it, alone if possible; its
   answer clears the part, and a few more deaths quarantine it.  Routers report
   deaths, answers and counts to each other, and pass on what was new to them.

   The fingerprint of a whole request counts as one of its parts:
   src/guard/guard.h finds such a request sooner, but tells peers for a short
   time only.

   Not thread-safe.  Opens no socket and reads no clock.  */

struct ms_part_guard;

enum ms_part_verdict
{
  MS_PART_CLEAR,      /* May run as usual.  */
  MS_PART_TRIAL,      /* May run once, as the trial of a part.  */
  MS_PART_QUARANTINED /* Must not run at any endpoint for now.  */
};

/* Stands for the number of deaths in a report that a trial began.  */
#define MS_PART_TRIAL_BEGAN UINT32_MAX

/* What a router reports of PART: the death of ENDPOINT if that is not 0; else
   that DEATHS count against it, or that a trial began, or, if DEATHS is 0,
   that an answer did.  */
struct ms_part_report
{
  uint64_t part;
  uint64_t endpoint;
  unsigned deaths;
  ms_time age; /* Since the death, the last one, the trial or the answer.  */
};

struct ms_part_guard_options
{
  /* Called when PART comes under trial or into quarantine, or is cleared,
     which EVENT says, with the deaths that count or have counted.  May be
     NULL.  */
  void (*changed) (void *context, const char *event, uint64_t part,
                   unsigned deaths);
  void *context;
};

/* Create a guard that suspects no part; OPTIONS is copied.  */
struct ms_part_guard *
ms_part_guard_create (const struct ms_part_guard_options *options);

/* Free GUARD, which may be NULL.  */
void ms_part_guard_destroy (struct ms_part_guard *guard);

/* Set the identifiers of the COUNT routers of the fleet, of which SELF is this
   one.  They take turns at trials; while COUNT is 0, as at first, this router
   makes none.  IDS is borrowed until the next call.  */
void ms_part_guard_set_routers (struct ms_part_guard *guard, uint64_t self,
                                const uint64_t *ids, unsigned count);

/* ENDPOINT, a number that differs between starts, died at NOW before it began
   to answer a request with the COUNT shared PARTS.  Return the most deaths
   that now count against one of them.  */
unsigned ms_part_guard_died (struct ms_part_guard *guard,
                             const uint64_t *parts, unsigned count,
                             uint64_t endpoint, ms_time now);

/* An endpoint began to answer a request with the COUNT shared PARTS.  */
void ms_part_guard_began (struct ms_part_guard *guard, const uint64_t *parts,
                          unsigned count, ms_time now);

/* Return whether a request with the COUNT shared PARTS may be sent.  With
   MS_PART_TRIAL the trial of all of them that are suspects has begun.  */
enum ms_part_verdict ms_part_guard_admit (struct ms_part_guard *guard,
                                          const uint64_t *parts,
                                          unsigned count, ms_time now);

/* The same for a request that is no trial and was admitted before.  */
bool ms_part_guard_is_clear (const struct ms_part_guard *guard,
                             const uint64_t *parts, unsigned count,
                             ms_time now);

/* Fill REPORTS with what peers should know, up to SPACE of them, and return
   their number.  */
unsigned ms_part_guard_report (const struct ms_part_guard *guard,
                               struct ms_part_report *reports, unsigned space,
                               ms_time now);

/* Merge a peer's REPORT.  */
void ms_part_guard_merge (struct ms_part_guard *guard,
                          const struct ms_part_report *report, ms_time now);

/* Set REPORT to a part under trial or in quarantine that the store does not
   have as such, or return false if there is none.  */
bool ms_part_guard_unstored (const struct ms_part_guard *guard,
                             struct ms_part_report *report, ms_time now);

/* Whether an answer has begun since what REPORT, which the store has, says. */
bool ms_part_guard_is_cleared (const struct ms_part_guard *guard,
                               const struct ms_part_report *report,
                               ms_time now);

/* The store has what REPORT says.  */
void ms_part_guard_set_stored (struct ms_part_guard *guard,
                               const struct ms_part_report *report);

/* The store may have lost all parts.  */
void ms_part_guard_forget_stored (struct ms_part_guard *guard);

/* Number of parts under trial or in quarantine.  */
unsigned ms_part_guard_count (const struct ms_part_guard *guard, ms_time now);

/* Remove records that no longer count.  */
void ms_part_guard_tick (struct ms_part_guard *guard, ms_time now);

/* How long a part stays in quarantine after the last death.  */
#define MS_PART_QUARANTINE_TIME (600 * MS_SEC)

#endif

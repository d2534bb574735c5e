#ifndef ROLLOUT_INTERNAL_H
#define ROLLOUT_INTERNAL_H

#include <uthash.h>

#include "rollout/rollout.h"

/* Declarations shared by the files of this folder only.

   Decisions use integers only: with floating point, a compiler may round
   differently on another processor, and routers that compare the same evidence
   would decide differently.  */

/* Return the binary logarithm of X, which must not be 0, in units of
   2^-16.  */
int64_t ms_log2 (uint64_t x);

/* Return the square root of X, rounded down.  */
uint64_t ms_square_root (uint64_t x);

/* Sequential comparison of the ordered version with the others.  */
struct ms_compare;

enum ms_compare_kind
{
  MS_COMPARE_FAILED, /* Failures of answers.  */
  MS_COMPARE_SLOW,   /* Slow ones of the answers that have a ratio.  */
  MS_COMPARE_KINDS
};

/* Score from which on the version is bad.  */
#define MS_COMPARE_BAD ((int64_t)1 << 20)

struct ms_compare *ms_compare_create (void);
void ms_compare_destroy (struct ms_compare *compare);

/* Answers of one route and zone that were not added before.  */
void ms_compare_add (struct ms_compare *compare,
                     const struct ms_rollout_evidence *added);

/* The same, but they are too old to be evaluated.  */
void ms_compare_add_past (struct ms_compare *compare,
                          const struct ms_rollout_evidence *added);

/* Call ten times a second.  Every third time, what was added is evaluated, as
   of the same time, and true is returned.  */
bool ms_compare_step (struct ms_compare *compare);

/* BAD of the bad answers of the ordered version that were added since the last
   evaluation do not count.  */
void ms_compare_discount (struct ms_compare *compare, uint32_t bad);

/* Set the scores to 0 and forget what was not evaluated of the ordered
   version.  */
void ms_compare_reset (struct ms_compare *compare);

/* Return whether the answers of the ordered version that were not evaluated
   yet have more than one bad one beyond what the others show of late.  */
bool ms_compare_is_pending_bad (const struct ms_compare *compare);

int64_t ms_compare_score (const struct ms_compare *compare,
                          enum ms_compare_kind kind);

/* Return all answers that were added.  */
const struct ms_rollout_evidence *
ms_compare_total (const struct ms_compare *compare);

/* Return how many of COUNT answers of the other versions are bad of late, in
   units of 2^-20.  */
uint64_t ms_compare_expected (const struct ms_compare *compare,
                              uint32_t count);

#define MS_EVIDENCE_SUSPECTS 64
#define MS_EVIDENCE_ROUTES 16

struct ms_suspects
{
  struct ms_rollout_suspect list[MS_EVIDENCE_SUSPECTS];
  unsigned count;
};

/* What another router, or the routers of another zone, reported.  */
struct ms_rollout_source
{
  uint64_t id;
  ms_time heard_at;
  bool merged;         /* Since the last ms_evidence_clear.  */
  ms_time below_since; /* Since when it reports less than before; 0 if it does
                          not.  */
  struct ms_rollout_report counted; /* Highest counts; the rest as reported
                                       last.  */
  UT_hash_handle hh;
};

/* Evidence on one order: of this router, of the others, and the sum.  */
struct ms_evidence
{
  struct ms_rollout_evidence own[MS_ROLLOUT_STRATA];
  unsigned own_count;
  struct ms_suspects own_suspects;
  int64_t own_log_ratios[MS_ROLLOUT_STRATA]; /* In units of 2^-16.  */
  uint32_t sent[2];                          /* By this router.  */
  struct ms_rollout_source *sources;
  struct ms_suspects suspects; /* Of the fleet.  */
  bool several;           /* Endpoints of the ordered version are usable.  */
  ms_time one_since;      /* Since when one of them looks bad alone; 0 if none
                             does.  */
  uint64_t outlier;       /* The one of them that is bad; 0 if none.  */
  uint32_t total_sent[2]; /* By the fleet.  */
  uint64_t past_sent;     /* Of these, before this router started.  */
  uint64_t near_sent; /* By this router and those that are heard directly.  */
  bool late;      /* This router started after the order: what the others have
                     counted by then is not evaluated.  */
  unsigned heard; /* Routers that report now, and this one; */
  unsigned routers; /* the most at a time; */
  unsigned unmoved; /* those that may send requests to the others.  */
  struct ms_compare *compare;
  /* Mean logarithm of the others' ratios on each route, in units of 2^-16,
     index 0 for all routes.  */
  struct
  {
    uint64_t route;
    int64_t log_ratio;
  } paces[MS_EVIDENCE_ROUTES];
  unsigned paces_count;
};

void ms_evidence_init (struct ms_evidence *evidence);
void ms_evidence_free (struct ms_evidence *evidence);

/* This router sent a request to a version, or got ANSWER of it: of the ordered
   one with INDEX 0, of another with 1.  */
void ms_evidence_sent (struct ms_evidence *evidence, unsigned index);
void ms_evidence_note (struct ms_evidence *evidence, unsigned index,
                       const struct ms_rollout_answer *answer);

/* Set the evidence in REPORT to this router's own.  */
void ms_evidence_report (const struct ms_evidence *evidence,
                         struct ms_rollout_report *report);

/* Return whether REPORT can be true.  */
bool ms_evidence_is_plausible (const struct ms_rollout_report *report);

void ms_evidence_clear (struct ms_evidence *evidence);
void ms_evidence_merge (struct ms_evidence *evidence, uint64_t source,
                        const struct ms_rollout_report *report, ms_time now);

/* Evaluate what is new.  Return the kind of fault that the ordered version
   has, MS_COMPARE_KINDS if none is known.  SEVERAL says that it has several
   usable endpoints.  */
enum ms_compare_kind ms_evidence_step (struct ms_evidence *evidence,
                                       bool several, ms_time now);

/* Return the higher score.  */
int64_t ms_evidence_score (const struct ms_evidence *evidence);

/* Return whether no other router may send requests to other versions, or has
   some in progress there, as far as they report; if PATIENT, also those that
   have fallen silent in the last seconds.  */
bool ms_evidence_moved (const struct ms_evidence *evidence, bool patient,
                        ms_time now);
bool ms_evidence_drained (const struct ms_evidence *evidence, bool patient,
                          ms_time now);

#endif

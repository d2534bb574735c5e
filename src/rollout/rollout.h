#ifndef ROLLOUT_ROLLOUT_H
#define ROLLOUT_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Rollouts: a service's traffic is moved to the endpoints of another software
   version by an operator's order, or kept where it was if that version turns
   out to be bad.  Each router decides for its own requests, from its own
   counts and from the evidence that the others report; the state that the
   store holds confirms what was decided.  docs/design/rollout.md has the
   reasons.

   The module opens no socket and reads no clock: the time is passed as NOW, in
   microseconds.  It takes no locks; all calls come from one thread.
   Identifiers are ms_id hashes of names, versions the hashes in struct
   ms_endpoint_entry.  */

struct ms_rollouts;

struct ms_rollout_options
{
  double exposure_share; /* Fraction of a service's requests that a bad version
                            may get until the order's deadline.  */
  double exposure_slack; /* Requests beyond that, from all routers.  */
  ms_time rollback_time; /* After the 50th bad answer, until no request may
                            reach the version any more.  */
  uint64_t random_seed;  /* Differs between routers and between starts.  */
};

struct ms_rollouts *
ms_rollouts_create (const struct ms_rollout_options *options);
void ms_rollouts_destroy (struct ms_rollouts *rollouts);

/* Replace the options; orders and evidence stay.  */
void ms_rollouts_set_options (struct ms_rollouts *rollouts,
                              const struct ms_rollout_options *options);

/* An operator's order.  */
struct ms_rollout_order
{
  uint64_t service;
  uint32_t version; /* That the service is to be moved to.  */
  ms_time duration; /* From the order to its deadline.  */
  uint64_t id;      /* Hash of the order's content and, where it is known, of
                       the offset of its record; never 0.  */
};

/* The operators' records have ORDER.  APPEARED says that this router saw the
   record appear, so that the order's time runs from NOW; otherwise the order
   is older, and its age and state are unknown until ms_rollouts_merge or
   ms_rollouts_learn_state tells them.  An order with the ID of the known one
   changes nothing, and one for the version of a running order continues that
   under the new ID, unless the running one turns out to have ended elsewhere
   before.  Any other replaces the order of its service; a version that the
   replaced order has completed keeps the requests that the new one does not
   move.  */
void ms_rollouts_put_order (struct ms_rollouts *rollouts,
                            const struct ms_rollout_order *order,
                            bool appeared, ms_time now);

/* The operators removed the order for SERVICE: one that has not ended is
   rolled back.  */
void ms_rollouts_remove_order (struct ms_rollouts *rollouts, uint64_t service,
                               ms_time now);

enum ms_rollout_phase
{
  MS_ROLLOUT_NONE,    /* No order, or it was forgotten.  */
  MS_ROLLOUT_UNKNOWN, /* This router does not know yet whether it has ended. */
  MS_ROLLOUT_CANARY,  /* The version gets its share of the requests.  */
  MS_ROLLOUT_STOPPED, /* The version is bad and gets no requests; this is not
                         yet confirmed by the store.  */
  MS_ROLLOUT_MOVING,  /* New requests go to the version, earlier ones end at
                         the others.  */
  MS_ROLLOUT_COMPLETED,
  MS_ROLLOUT_ROLLED_BACK
};

/* Most versions of one service that are excluded.  */
#define MS_ROLLOUT_EXCLUDED 3

/* Which endpoints of a service a request may be sent to.  */
struct ms_rollout_choice
{
  uint32_t only; /* Only endpoints of this version; 0 for any.  */
  uint32_t except[MS_ROLLOUT_EXCLUDED]; /* No endpoints of these versions; 0
                                           for none.  */
  bool fallback; /* If no endpoint of ONLY can take the request, the others
                    may, but not those of EXCEPT.  */
  uint32_t rest; /* Where ONLY does not bind, only endpoints of this version; 0
                    for any.  */
  bool wait;     /* The deadline is less than MS_ROLLOUT_MAX_WAIT away and the
                    request should wait for it, or until it may be sent: at the
                    endpoints that it may be sent to now it would delay the end
                    of the rollout.  */
};

#define MS_ROLLOUT_MAX_WAIT (900 * MS_MSEC)

/* Choose for a new request for SERVICE.  AGAIN says that the request was sent
   before: it is not used for the canary.  Nothing is counted yet, and the
   choice holds only for the moment: a request that waits needs another.  */
struct ms_rollout_choice ms_rollouts_choose (struct ms_rollouts *rollouts,
                                             uint64_t service, bool again,
                                             ms_time now);

/* The same if no endpoint that ms_rollouts_choose allows is usable: only
   versions remain excluded that were stopped, or may have been, while the
   service has endpoints of others.  */
struct ms_rollout_choice
ms_rollouts_choose_rest (const struct ms_rollouts *rollouts, uint64_t service);

/* Return whether VERSION of SERVICE may get a request that can go nowhere
   else, as the resumption of a stream that it began.  */
bool ms_rollouts_allows (const struct ms_rollouts *rollouts, uint64_t service,
                         uint32_t version, ms_time now);

/* Return a mark of endpoint ID in ZONE for the canary of SERVICE: among the
   endpoints of the ordered version in each zone, those with the lowest marks
   are used, the same ones at all routers.  ms_rollouts_canary_size says of how
   many; it is 0 if the canary is not restricted.  USABLE is the number of
   endpoints of that version which can be used.  */
uint64_t ms_rollouts_mark (const struct ms_rollouts *rollouts,
                           uint64_t service, uint64_t id);
unsigned ms_rollouts_canary_size (const struct ms_rollouts *rollouts,
                                  uint64_t service, unsigned usable);

/* A request for SERVICE is sent to an endpoint of VERSION.  AGAIN says that it
   was sent before.  */
void ms_rollouts_sent (struct ms_rollouts *rollouts, uint64_t service,
                       uint32_t version, bool again, ms_time now);

/* What an answer says of the version that gave it.  */
struct ms_rollout_answer
{
  uint64_t service;
  uint32_t version;
  uint64_t route;
  uint64_t zone; /* Of the endpoint.  */
  uint64_t endpoint;
  bool failed;  /* Ran and failed: an error status, or a broken, truncated or
                   invalid answer.  */
  double ratio; /* Measured over predicted time to the first byte, or pace of
                   the stream, of an endpoint as fast as usual; 0 if there is
                   none.  */
  bool warming; /* The endpoint is cold or has started lately: RATIO is not
                   used.  */
};

/* An attempt ended, or its first byte came, with ANSWER.  Each call counts as
   one answer, so one attempt may give two: at its first byte, and at its end
   if that failed or has a pace.  What did not run, and requests that may crash
   endpoints, are not to be passed.  */
void ms_rollouts_note (struct ms_rollouts *rollouts,
                       const struct ms_rollout_answer *answer, ms_time now);

/* Evidence on one route and zone, counted by one router, or summed over those
   of a zone, since the order or the router's start.  Index 0 is of the ordered
   version, 1 of the others.  */
struct ms_rollout_evidence
{
  uint64_t route;
  uint64_t zone;
  uint32_t answers[2]; /* That ran; FAILED and TIMED are part of them.  */
  uint32_t failed[2];
  uint32_t timed[2]; /* Have a ratio; SLOW is part of them.  */
  uint32_t slow[2];
  float log_ratio; /* Recent mean of the natural logarithm of the ratios of the
                      others.  */
};

/* Answers of one endpoint of the ordered version, and the bad ones among them.
   Endpoints are reported that have bad ones at any router.  */
struct ms_rollout_suspect
{
  uint64_t endpoint;
  uint32_t answers;
  uint32_t bad;
};

#define MS_ROLLOUTS 8
#define MS_ROLLOUT_STRATA 24
#define MS_ROLLOUT_SUSPECTS 24

/* What one router, or those of a zone, report of an order.  */
struct ms_rollout_report
{
  uint64_t service;
  uint64_t order;       /* Its ID.  */
  uint32_t version;     /* That it names.  */
  ms_time age;          /* Since the order; below 0 if it is not known.  */
  unsigned phase;       /* enum ms_rollout_phase.  */
  bool confirmed;       /* The store has that phase.  */
  uint32_t sent[2];     /* Requests to the ordered version, and to others.  */
  uint32_t running_old; /* Requests in progress at endpoints of others.  */
  uint32_t routers;     /* That the report is of.  */
  uint32_t unmoved;     /* Those of them that may still send requests to
                           others.  */
  unsigned strata_count;
  struct ms_rollout_evidence strata[MS_ROLLOUT_STRATA];
  unsigned suspects_count;
  struct ms_rollout_suspect suspects[MS_ROLLOUT_SUSPECTS];
};

/* Fill LIST with this router's own reports, one for each order.  Return their
   number.  */
unsigned ms_rollouts_report (struct ms_rollouts *rollouts,
                             struct ms_rollout_report list[MS_ROLLOUTS],
                             ms_time now);

/* Replace what the other routers report: clear it, then merge REPORT of each
   source.  SOURCE identifies a router and its start, or the zone of zone sums
   whoever added them up; counts of a router only grow.  What a source has
   counted stays for as long as the order lives; the rest of its report counts
   if it was merged since the last call of ms_rollouts_clear_others, or within
   the last second.  A report may leave out strata and suspects that have not
   changed.  Reports that contradict themselves are ignored.  */
void ms_rollouts_clear_others (struct ms_rollouts *rollouts);
void ms_rollouts_merge (struct ms_rollouts *rollouts, uint64_t source,
                        const struct ms_rollout_report *report, ms_time now);

/* Add up A and B, of routers of one zone, into A, which may be all zero.
   Reports of different orders are not added.  Phases: a terminal one that is
   confirmed, else the gravest.  */
void ms_rollouts_add_report (struct ms_rollout_report *a,
                             const struct ms_rollout_report *b);

/* ORDERED endpoints of the ordered version of SERVICE are usable, and OTHERS
   of other versions are listed.  This router has RUNNING_HERE requests in
   progress at the others, and all other routers RUNNING_ELSEWHERE according to
   their loads.  Call for each service with an order before each
   ms_rollouts_tick.  */
void ms_rollouts_set_endpoints (struct ms_rollouts *rollouts, uint64_t service,
                                unsigned ordered, unsigned others,
                                unsigned running_here,
                                unsigned running_elsewhere);

/* Evaluate the evidence and move the phases on.  Call at least ten times a
   second.  */
void ms_rollouts_tick (struct ms_rollouts *rollouts, ms_time now);

/* Return the services with an order and their number in COUNT; valid until the
   next change.  */
const uint64_t *ms_rollouts_services (const struct ms_rollouts *rollouts,
                                      unsigned *count);

/* The state of an order, for logs, pages and the store.  */
struct ms_rollout_state
{
  struct ms_rollout_order order;
  enum ms_rollout_phase phase;
  bool confirmed;     /* The store has it.  */
  ms_time started_at; /* 0 if it is not known.  */
  const char *reason; /* Of the last change of phase: "order", "failures",
                         "slow", "peer", "no_endpoint", "removed", "store",
                         "deadline", "drained", "good", "overdue".  */
  uint32_t sent[2];   /* By this router.  */
  uint32_t answers[2], failed[2], slow[2]; /* Over the fleet.  */
  double score; /* Of the test; the version is bad at 1.  */
};

bool ms_rollouts_state (const struct ms_rollouts *rollouts, uint64_t service,
                        ms_time now, struct ms_rollout_state *state);

/* Return whether the store should get a state for some order that it lacks:
   running, completed or rolled back.  Fills STATE.  */
bool ms_rollouts_unwritten (const struct ms_rollouts *rollouts, ms_time now,
                            struct ms_rollout_state *state);

/* The store has PHASE (MS_ROLLOUT_CANARY for one that runs) for the ORDER of
   SERVICE to VERSION, as this router has written or read, and the order's AGE,
   below 0 if it is not stated.  ORDER is the ID that the record names, 0 if it
   names none; the state of an earlier order is no state of this one.  A
   terminal phase is final.  PHASE is MS_ROLLOUT_NONE if the store has none.
   Call it again after ms_rollouts_put_order.  */
void ms_rollouts_learn_state (struct ms_rollouts *rollouts, uint64_t service,
                              uint32_t version, uint64_t order,
                              enum ms_rollout_phase phase, ms_time age,
                              ms_time now);

/* The store may have lost its states.  */
void ms_rollouts_forget_stored (struct ms_rollouts *rollouts);

/* Phase as it is written in logs.  */
const char *ms_rollout_phase_name (enum ms_rollout_phase phase);

#endif

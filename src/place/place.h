#ifndef PLACE_PLACE_H
#define PLACE_PLACE_H

#include "place/crossing.h"
#include "place/endpoint.h"
#include "route/route.h"

/* Placement: chooses the endpoint that a request goes to, at the router that
   accepted it from its caller.  The choice takes the load of all routers into
   account, which the others report in their digests, so that routers do not
   overload the endpoints together.  The module also limits the rate of
   requests to cold endpoints, which are those that have just started or are
   treated as if they had, and backs off from endpoints that cannot be
   reached.

   The module opens no socket and reads no clock: the time is passed as NOW.
   It takes no locks; all calls for one ms_place come from one thread.  Times
   are in microseconds (ms_time).  */

struct ms_place;

/* Work that one or more routers have in progress at an endpoint.  */
struct ms_load
{
  uint32_t running; /* Requests in progress.  */
  uint32_t prefill; /* Uncached prompt tokens of requests whose first token
                       has not arrived.  */
  uint32_t memory;  /* Prompt and expected output tokens of the requests in
                       progress.  */
  uint32_t pace;    /* Microseconds for each generated token, so less is
                       faster; 0 if unknown.  */
  uint32_t limit;   /* Concurrent requests that the endpoint may run; 0 if
                       unknown.  */
  /* Of a single request.  */
  uint32_t queue;        /* Tokens known to be read before its own.  */
  uint32_t running_then; /* Requests known to run beside it at its send.  */
  bool
      timed; /* The time to its first token tells the speed of the endpoint. */
  bool whole; /* Its answer arrives when it is complete, not as a stream.  */
};

/* Events of the last four seconds, counted in slots of 250 ms.  */
#define MS_WINDOW_TIME (4 * MS_SEC)
#define MS_WINDOW_SLOTS 17
struct ms_window
{
  unsigned counts[MS_WINDOW_SLOTS];
  int64_t slot; /* Number of the newest slot, since the clock's start.  */
};

/* Time after which routers know of each other's requests, unless digests are
   lost.  */
#define MS_REPORT_DELAY (500 * MS_MSEC)

/* The limit of requests that an endpoint names, and what routers use of it.
   See rate.c.  */
struct ms_rate
{
  double limit;       /* Requests per second; below 0 if it names none.  */
  ms_time told_at;    /* When the newest answer came, to any router; 0 if none
                         did.  */
  double heard_limit; /* The same of the newest answer to this router.  */
  ms_time heard_at;
  ms_time ended_at;      /* When the last limit ended; 0 if there was none.  */
  struct ms_window sent; /* By this router since the limit was named.  */
  unsigned others_sent;  /* Within MS_WINDOW_TIME by others that are heard. */
  unsigned silent_sent;  /* The last reports of others that are silent.  */
  double permits;        /* Requests, and a fraction of one, that this router
                            may send; below 0 until that is computed.  */
  ms_time earned_at;     /* When PERMITS was last added to.  */
  ms_time whole_at;      /* Since when PERMITS may have been 1 or more.  */
};

/* Whether an endpoint can be a home of prompt parts.  See homes.c.  */
struct ms_home_member
{
  bool seen;
  bool restarted; /* Or was lost: since then it has been no home.  */
  bool member;
  double factor;  /* Speed, 1 being usual, from which WEIGHT was computed.  */
  int speed_step; /* Rounded logarithm of WEIGHT.  */
  double weight;
  ms_time since;     /* When it became one; 0 if before this router started. */
  ms_time out_since; /* Since when it gets no requests; 0 if it gets them.  */
};

/* An answer whose first token came MS milliseconds after the send, with TOKENS
   to read; MS is 0 if there is none.  */
struct ms_engine_sample
{
  float tokens;
  float ms;
};

/* Answers to prompts of about the same size.  */
#define MS_ENGINE_BINS 8
struct ms_engine_bin
{
  float count;
  struct ms_engine_sample fastest;
};

/* Sums over answers of a service, which decay, of milliseconds and running
   requests; see engine.c.  */
#define MS_ENGINE_WAIT_SUMS 6
#define MS_ENGINE_PACE_SUMS 6
struct ms_engine_sums
{
  float wait[MS_ENGINE_WAIT_SUMS]; /* Of waits for first tokens.  */
  float pace[MS_ENGINE_PACE_SUMS]; /* Of times between tokens.  */
};

/* What answers of an endpoint tell of its speed.  */
struct ms_engine_share
{
  float read; /* Tokens of prompts whose answers began lately.  */
  struct ms_engine_sample fastest;
  float pace_samples;
  float pace_expected;
  float pace_ms; /* Between tokens, where PACE_EXPECTED was predicted.  */
};

/* What is known of an endpoint's speed.  */
#define MS_ENGINE_SLOTS 9
struct ms_engine_state
{
  struct ms_engine_share own;
  struct ms_engine_share others;
  struct ms_engine_sample fastest[2]; /* Of this period and the one before.  */
  ms_time period_at;
  float read[MS_ENGINE_SLOTS]; /* Tokens, by time.  */
  int64_t slot;                /* Number of the newest.  */
  ms_time decayed_at;
  struct ms_engine_sample best; /* The fastest, which ages.  */
  double flow;  /* Tokens per millisecond that were read, the most lately.  */
  double speed; /* Tokens per millisecond; 0 until known.  */
  ms_time updated_at;
  double read_factor; /* Of the service's speed; 0 until known.  */
  double pace_factor;
  double told_factor; /* When its change was last told; 0 if never.  */
  ms_time told_at;
};

/* The times of this router's sends to an endpoint that count for the limit of
   cold ones, in any order.  */
struct ms_cold_sends
{
  ms_time *times; /* 0: unused.  */
  unsigned space; /* Elements allocated for times.  */
  unsigned next;  /* Where a search for an unused one starts.  */
};

struct ms_endpoint_state
{
  uint64_t id; /* ms_id of the name in the entry.  */
  struct ms_endpoint_entry entry;
  bool listed;           /* The endpoint list names it.  */
  bool held;             /* Not to be used yet, whatever else is known.  */
  bool in_canary;        /* Among those to which offers with CANARY go.  */
  bool unused;           /* A rollout sends no new request to it.  */
  bool known_leaving;    /* By an answer or an earlier entry.  */
  unsigned references;   /* Attempts and connections that point to it.  */
  struct ms_load own;    /* Sent by this router.  Here and in others, pace and
                            limit stay 0; they are fields below.  */
  struct ms_load others; /* Reported by the other routers, in total.  */
  ms_time started_at; /* When its start was first listed, to this router.  */
  ms_time cold_until;
  struct ms_cold_sends cold_sends;
  ms_time cold_told_at;  /* When it was asked last whether it is cold, by any
                            router that got an answer; 0 if never.  */
  ms_time cold_asked_at; /* When this router asked last and got an answer; 0 if
                            never.  */
  unsigned failures;     /* Failures to reach it since its last complete
                            answer.  */
  ms_time down_until;    /* No request is sent until then.  */
  ms_time paused_until;  /* The same, as the endpoint asked for it.  */
  struct ms_rate rate;
  struct ms_home_member home;
  bool probing;    /* One request is testing whether it is reachable again.  */
  double slowness; /* Exponential mean, at least 1, of the ratio of measured to
                      predicted time to the first token or response, where the
                      prediction is without this factor.  Without answers it
                      falls.  */
  double pace;     /* Microseconds for each generated token, as an exponential
                      mean over this router's streams.  */
  double others_pace_sum;     /* Sum of other routers' paces, each multiplied
                                 by its running requests.  */
  double others_pace_weight;  /* Running requests in others_pace_sum.  */
  ms_time pace_measured_at;   /* When pace was last updated; 0 if never.  */
  double others_limit_sum;    /* Sum of other routers' limits, each multiplied
                                 by its running requests.  */
  double others_limit_weight; /* Running requests in others_limit_sum.  */
  double limit;      /* Concurrent requests that it may run; 0 until known.  */
  double error_rate; /* Fraction of failed answers, as an exponential mean.  */
  ms_time probed_at; /* When it last got a request while it failed much more
                        often than the others of its plain service.  */
  struct ms_load_report report; /* The newest one to this router.  */
  ms_time reported_at;          /* When it came; 0 if none did.  */
  ms_time answered_at; /* When an answer of it last began or an attempt
                          failed.  */
  struct ms_engine_state engine;
  void *attachment; /* Owned by the gateway: its connection pool.  */
};

/* Versions that an offer can exclude.  */
#define MS_MAX_EXCEPT 3

/* A request to be placed.  The arrays are borrowed for the call.  */
struct ms_offer
{
  uint64_t service;
  uint32_t prompt_tokens;
  uint32_t output_tokens; /* Expected number.  */
  uint32_t bytes;         /* Expected length of request and response.  */
  unsigned parts_count;
  const struct ms_prompt_part *parts;
  ms_time target_left; /* Time left to the first-byte target.  */
  unsigned tried_count;
  struct ms_endpoint_state *const *tried; /* Endpoints not to try again.  */
  bool repeatable; /* It may run again after a failure, as far as is known.  */
  bool alone;      /* It may crash its endpoint: prefer the least busy one.  */
  uint32_t version; /* Only endpoints of this version; 0 for any.  */
  bool canary;      /* Of these, only those that are in_canary.  */
  uint32_t except[MS_MAX_EXCEPT]; /* No endpoints of these versions; 0 for
                                     none.  */
  uint32_t fresh; /* A version whose endpoints may lack shared parts that
                     others have; 0 for none.  */
};

enum ms_place_result
{
  MS_PLACED,
  MS_PLACE_FULL, /* Endpoints are usable, but each lacks free capacity, would
                    begin to answer too late, or is too busy to prefill shared
                    parts that it does not have in cache.  The same while a
                    home of the prompt is out of service for a moment.  */
  MS_PLACE_NONE  /* No endpoint is usable.  */
};

/* Predicted prefill work and response time of a request at one endpoint.  The
   homes of a prompt with shared parts are the endpoints that all routers
   prefer for it, by the policy of homes.  Prompts with the same last shared
   part have the same homes, and all routers know them; but a prompt whose
   shared parts are worth less than the bytes between zones has its homes in
   the zone of the router.  */
struct ms_fit
{
  uint32_t uncached;  /* Prompt tokens that it must prefill.  */
  uint32_t duplicate; /* Those of them in shared parts, as expected.  */
  uint32_t crossing; /* What the bytes between availability zones are worth, in
                        prompt tokens; 0 in the router's own zone.  */
  unsigned home;     /* 1 if it is the first home of the prompt, 2 if the
                        second, and so on; 0 if it is none.  */
  ms_time expected;  /* Time from the send to the first token, or to the
                        response of an endpoint that runs no model.  */
  unsigned rank;     /* Endpoints of a lower rank are preferred: 0 if nothing
                        speaks against it, 1 if it is in another zone and the
                        request has no permit for that, 2 if it would probably
                        fail or be late.  If the crossing policy needs no
                        permits, only 0, or 2 if it fails much more often than
                        the others of its plain service.  */
  double errors;     /* Rate of errors that is held against it.  */
  ms_time usual;     /* The same at an endpoint as fast as usual, to compare
                        versions by.  One of the offer's FRESH version is taken
                        to hold only the parts that this router has sent it.  */
};

struct ms_choice
{
  enum ms_place_result result;
  struct ms_endpoint_state *endpoint; /* NULL unless MS_PLACED.  */
  struct ms_fit fit;                  /* Of the chosen endpoint.  */
  unsigned usable; /* Endpoints of the service, not tried yet, to which
                      ms_place_may_send allows a request.  */
  /* With MS_PLACE_FULL: by how much the fastest endpoint would miss the
     first-byte target.  If the caller sends the request again after this time,
     as a new one, it may be placed.  0 if the endpoint would meet the
     target.  */
  ms_time late_by;
  /* Without a usable endpoint: when the first of those that asked for a pause
     may get requests again, counted from now; 0 if there is none.  */
  ms_time paused_for;
};

/* Speed of an endpoint with nothing else to do.  Of a member that is 0, the
   default stands for it.  What an endpoint is slower than this is learned from
   its answers, and so is response_ms for each plain service.  */
struct ms_place_speed
{
  double prefill_tokens_per_ms; /* Prompt tokens that an engine reads; default
                                   100.  */
  double first_token_ms; /* Until the first token, without the time to read the
                            prompt; default 30.  */
  double token_ms;       /* Between two tokens of a stream; default 4.  */
  double token_ms_per_running; /* Added to it by each running request; default
                                  0.1.  */
  double response_ms; /* Of an endpoint that runs no model, before answers of
                         its service were seen; default 50.  */
};

/* Learned speed of a service's mean endpoint.  */
struct ms_engine_speed
{
  uint64_t service;
  bool read_learned; /* Else TOKENS_PER_MS is the one of the options.  */
  bool pace_learned; /* The same for the others.  */
  double tokens_per_ms;
  double token_ms;
  double token_ms_per_running;
  double min_factor; /* Of the slowest endpoint; 1 is the mean.  */
  double max_factor; /* Of the fastest.  */
};

/* Which endpoints are the homes of a prompt.  */
struct ms_homes_policy;

/* Return the policy called NAME; NULL if it is unknown.  "available": the two
   available endpoints that rank highest for the last shared part.  "steady":
   as many as the part needs, which stay its homes while they are out of
   service for a short while.  */
const struct ms_homes_policy *ms_homes_policy (const char *name);

/* In any second a cold endpoint gets at most cold_rate * cold_burst_factor +
   cold_slack requests from all routers together, where cold_rate is that of
   its service.  */
struct ms_place_options
{
  uint64_t self; /* Identifier of this router.  */
  uint64_t zone; /* Availability zone of this router.  */
  double cold_burst_factor;
  double cold_slack; /* Requests.  */
  struct ms_place_speed speed;
  double zone_byte_tokens; /* Prompt tokens that may be prefilled to keep a
                              byte within its availability zone.  */
  bool use_reports; /* Plain endpoints are chosen by their momentary speed as
                       they report it, too.  */
  const struct ms_homes_policy *homes; /* Borrowed; NULL for "available".  */
  const struct ms_crossing_policy *crossing; /* Borrowed; NULL for "static". */
  /* Called with CROSSING_CONTEXT, which may be NULL, when requests for a
     service start or stop being sent to ZONE; NULL if that is not of
     interest.  */
  void (*crossing_changed) (void *context, const struct ms_crossing *crossing,
                            const struct ms_crossing_zone *zone);
  void *crossing_context;
  bool learn_speed; /* Learn the speed of model endpoints; SPEED stands for it
                       until it is known.  */
  /* Called with SPEED_CONTEXT when a learned speed has changed by a fifth: the
     factor of ENDPOINT or, if that is NULL, the speed of the service.  May be
     NULL.  */
  void (*speed_changed) (void *context, const struct ms_engine_speed *speed,
                         const struct ms_endpoint_state *endpoint);
  void *speed_context;
};

/* A rule to choose among the endpoints that can take the request now: the one
   with the lowest score gets it.  */
struct ms_place_policy
{
  const char *name;
  double (*score) (const struct ms_place *place,
                   const struct ms_endpoint_state *endpoint,
                   const struct ms_fit *fit);
};

/* Return the policy called NAME; NULL if it is unknown.  "prefix" prefers the
   least expected time to the first token and endpoints that probably have the
   prompt's shared parts in cache, "least_in_flight" the fewest running
   requests.  */
const struct ms_place_policy *ms_place_policy (const char *name);

/* Create a placement without endpoints.  OPTIONS is copied, POLICY is
   borrowed.  Until ms_place_configure no request can be placed.  */
struct ms_place *ms_place_create (const struct ms_place_options *options,
                                  const struct ms_place_policy *policy);

/* Free PLACE and all its endpoints, also referenced ones.  PLACE may be
   NULL.  */
void ms_place_destroy (struct ms_place *place);

/* Replace the options by a copy of OPTIONS; endpoints and loads stay.  */
void ms_place_set_options (struct ms_place *place,
                           const struct ms_place_options *options);

/* Use the services of ROUTES, which is borrowed until the next call.  */
void ms_place_configure (struct ms_place *place,
                         const struct ms_routes *routes);

/* Add the endpoint that ENTRY of the endpoint list names, or update it.  If
   its start time (ENTRY->born) has changed, the failures, error rate and
   slowness of the earlier start are cleared.  Returns the endpoint, which
   PLACE owns.  */
struct ms_endpoint_state *ms_place_put (struct ms_place *place,
                                        const struct ms_endpoint_entry *entry,
                                        ms_time now);

/* The endpoint list does not name endpoint ID any more: no request is sent to
   it, and it is freed once nothing refers to it.  */
void ms_place_remove (struct ms_place *place, uint64_t id);

/* Endpoint ID said in an answer that it leaves.  BORN is the start time that
   its entry had when the connection was made.  From now on it gets no new
   requests, whatever entries the list has, until one states another start
   time.  This is remembered for ten minutes, also while the list lacks the
   endpoint.  Return whether it was not known.  */
bool ms_place_note_leaving (struct ms_place *place, uint64_t id, int64_t born,
                            ms_time now);

/* The same for the endpoints listed at ADDRESS but ID: another endpoint
   answered there.  */
bool ms_place_note_leaving_at (struct ms_place *place,
                               const struct sockaddr_in *address, uint64_t id,
                               ms_time now);

/* ENDPOINT turned a request away and wants none for PAUSE from NOW on.  It
   gets none until then, also if its entry leaves the list meanwhile, or until
   an entry states a later start; a shorter pause than the one in force changes
   nothing.  For a second after the pause
   it counts as cold, so that not all requests that waited come at once.  */
void ms_place_pause (struct ms_place *place,
                     struct ms_endpoint_state *endpoint, ms_time pause,
                     ms_time now);

/* ENDPOINT said in an answer at AT that it takes LIMIT requests per second
   from all routers together; below 0: that it names no limit.  What a newer
   answer said stays in force.  Return whether the limit in force has
   changed.  */
bool ms_place_note_rate_limit (struct ms_endpoint_state *endpoint,
                               double limit, ms_time at);

/* ENDPOINT sent REPORT in an answer at NOW.  */
void ms_place_note_load (struct ms_endpoint_state *endpoint,
                         const struct ms_load_report *report, ms_time now);

/* What a router, or all routers of a zone, report of an endpoint that names a
   limit of requests or has named one lately.  */
struct ms_rate_report
{
  double limit;    /* By the newest answer that they had; below 0: none.  */
  ms_time told_at; /* When that came; 0 if there was none.  */
  unsigned sent;   /* Requests that they sent within MS_WINDOW_TIME.  */
};

/* Fill REPORT with what this router has to report of ENDPOINT.  Return false
   if that is nothing.  */
bool ms_place_report_rate (const struct ms_endpoint_state *endpoint,
                           ms_time now, struct ms_rate_report *report);

/* Add REPORT of others at endpoint ID; ms_place_clear_others clears what was
   sent.  SILENT: they have not been heard for MS_REPORT_DELAY.  An unknown ID
   is ignored.  */
void ms_place_add_others_rate (struct ms_place *place, uint64_t id,
                               const struct ms_rate_report *report,
                               bool silent);

/* A request for SERVICE is to be placed.  Routers share the limits of requests
   by the numbers of these.  */
void ms_place_count_request (struct ms_place *place, uint64_t service,
                             ms_time now);

/* Requests for a service within MS_WINDOW_TIME.  */
struct ms_demand
{
  uint64_t service;
  unsigned arrived;
};

/* Fill LIST with those of this router, for up to SPACE services.
   Return their number.  */
unsigned ms_place_demands (const struct ms_place *place, ms_time now,
                           struct ms_demand *list, unsigned space);

/* Add DEMAND of other routers; ms_place_clear_others clears it.  SILENT is as
   above.  */
void ms_place_add_others_demand (struct ms_place *place,
                                 const struct ms_demand *demand, bool silent);

/* Whether ENDPOINT's entry may be of the start time BORN; 0 is not stated.  */
bool ms_place_is_start (const struct ms_endpoint_state *endpoint,
                        int64_t born);

/* Whether ENDPOINT is about to end, by its entry or by what it said.  */
bool ms_place_is_leaving (const struct ms_endpoint_state *endpoint);

/* Whether ENDPOINT counts as cold or was first listed lately, so that it may
   still be slower than it will be.  */
bool ms_place_is_warming (const struct ms_place *place,
                          const struct ms_endpoint_state *endpoint,
                          ms_time now);

/* Return the ratio of the time for each token in COUNT events that ENDPOINT
   sent, TOOK apart in all, to that of an endpoint as fast as usual with the
   same requests; 0 if ENDPOINT runs no model or there was no event.  */
double ms_place_pace_ratio (const struct ms_place *place,
                            const struct ms_endpoint_state *endpoint,
                            unsigned count, ms_time took);

/* Which endpoints of a version a canary uses: by turns of their zones those
   with the lowest MARK, the same ones at all routers that mark alike.  */
struct ms_canary
{
  uint64_t service;
  uint32_t version;
  unsigned size; /* How many of the usable ones; 0 for all.  */
  /* Returns the mark of the endpoint or zone ID.  */
  uint64_t (*mark) (const void *context, uint64_t service, uint64_t id);
  const void *context;
};

/* Set in_canary of the endpoints of CANARY's version.  */
void ms_place_set_canary (struct ms_place *place,
                          const struct ms_canary *canary, ms_time now);

/* Endpoints of a version of a service, and of its other versions.  */
struct ms_version_use
{
  unsigned usable;            /* Of the version.  */
  unsigned others;            /* Listed, of the other versions.  */
  unsigned running_here;      /* Requests of this router at the others, */
  unsigned running_elsewhere; /* and of the other routers.  */
};

struct ms_version_use ms_place_version_use (const struct ms_place *place,
                                            uint64_t service, uint32_t version,
                                            ms_time now);

/* Return whether SERVICE has a usable endpoint of the version ONLY, or of any
   if that is 0, that is none of the MS_MAX_EXCEPT versions in EXCEPT.  */
bool ms_place_any_usable (const struct ms_place *place, uint64_t service,
                          uint32_t only, const uint32_t *except, ms_time now);

/* Evacuate ZONE if OUT, so that its endpoints get no new work; otherwise use
   it again and treat its endpoints as cold for the cold time of their service.
 */
void ms_place_evacuate (struct ms_place *place, uint64_t zone, bool out,
                        ms_time now);

/* Set the identifiers of the COUNT routers, this one included, that share the
   rate limits of cold endpoints.  IDS is copied, up to 1024 of them.  While
   COUNT is 0, as at first, they are unknown and this router sends nothing to
   cold endpoints.  */
void ms_place_set_routers (struct ms_place *place, const uint64_t *ids,
                           unsigned count);

/* Replace the load of the other routers: clear it for all endpoints, and what
   else others report, then add LOAD at endpoint ID for each report.  An
   unknown ID is ignored.  */
void ms_place_clear_others (struct ms_place *place);
void ms_place_add_others (struct ms_place *place, uint64_t id,
                          const struct ms_load *load);

/* What this router has learned of the speed of endpoints, for its digest.
   START tells the starts of an endpoint apart.  */
struct ms_engine_report
{
  uint64_t endpoint;
  uint32_t start;
  struct ms_engine_share share;
};

struct ms_engine_service_report
{
  uint64_t service;
  struct ms_engine_bin bins[MS_ENGINE_BINS];
  struct ms_engine_sums sums;
};

/* Fill REPORTS with up to SPACE reports and return their number.  */
unsigned ms_place_report_engines (const struct ms_place *place,
                                  struct ms_engine_report *reports,
                                  unsigned space);
unsigned ms_place_report_services (const struct ms_place *place,
                                   struct ms_engine_service_report *reports,
                                   unsigned space);

/* Add what others report; ms_place_clear_others clears it.  Reports of an
   endpoint's other starts are ignored, and those that no samples can lead to
   are counted.  */
void ms_place_add_others_engine (struct ms_place *place,
                                 const struct ms_engine_report *report);
void
ms_place_add_others_service (struct ms_place *place,
                             const struct ms_engine_service_report *report);

/* Return how many reports were ignored as implausible.  */
uint64_t ms_place_speeds_rejected (const struct ms_place *place);

/* Add OTHER to SUM.  */
void ms_engine_share_add (struct ms_engine_share *sum,
                          const struct ms_engine_share *share);
void ms_engine_service_add (struct ms_engine_service_report *sum,
                            const struct ms_engine_service_report *other);

/* Fill SPEEDS with up to SPACE learned speeds and return their number.  */
unsigned ms_place_engine_speeds (const struct ms_place *place,
                                 struct ms_engine_speed *speeds,
                                 unsigned space);

/* What is known of the routers of ZONE: LIVE of them, and the AGE of the
   newest report of one.  Replaces what was set before for that zone.  A zone
   that was never set is taken to have no routers.  */
void ms_place_set_zone (struct ms_place *place, uint64_t zone, unsigned live,
                        ms_time age);

/* Return the fraction of this router's requests that leave for ZONE because
   the endpoints of its own zone are short, of all services together.  */
double ms_place_crossing_fraction (const struct ms_place *place,
                                   uint64_t zone);

/* Requests that this router has sent to another zone since its start.  */
struct ms_crossing_count
{
  uint64_t zone;
  struct ms_name name;
  uint64_t requests;
  uint64_t permitted; /* Of them, those with a permit.  */
  uint64_t bytes;     /* Expected, of requests and responses.  */
};

/* Return the counts of all zones, and their number in COUNT; owned by PLACE
   and valid until its next change.  */
const struct ms_crossing_count *
ms_place_crossing_counts (const struct ms_place *place, unsigned *count);

/* Return the name of ZONE that the entries of its endpoints have; empty if it
   is unknown.  */
struct ms_name ms_place_zone_name (const struct ms_place *place,
                                   uint64_t zone);

/* How much of the capacity of the available model endpoints is used, by all
   routers together.  */
struct ms_place_use
{
  double fraction;  /* Running requests as a fraction of those that may run at
                       once; 0 to 1 or slightly more.  */
  double tokens;    /* Prompt and expected output tokens of running requests,
                       all counted alike, unlike in cost units.  */
  double wait_s;    /* Predicted time, in seconds, in which endpoints read the
                       prompts whose answers have not begun.  An answer that is
                       not a stream begins when it is complete.  */
  double read_rate; /* Predicted prompt tokens that all read in a second.  */
};
struct ms_place_use ms_place_use (const struct ms_place *place, ms_time now);

/* Compare this router's work at all endpoints with its share of it, SHARE, a
   fraction from 0 to 1.  If the prompt and expected output tokens of this
   router's requests in progress exceed that share by more than 5 %, then until
   the next call it leaves the last tenth of each endpoint's limit to the other
   routers: they learn only by its next digest that one of its requests has
   ended, and it would otherwise always be the first to use the freed
   capacity.  */
void ms_place_set_share (struct ms_place *place, double share);

/* This process stalled for a while, ran again at NOW and may have missed
   updates of the endpoint list: treat every endpoint as cold for one second,
   by when the list has been read again.  */
void ms_place_note_stall (struct ms_place *place, ms_time now);

/* Adjust the limits of model endpoints to their measured pace.  Call several
   times a second; calls within 200 ms of the last adjustment do nothing.  */
void ms_place_tick (struct ms_place *place, ms_time now);

/* A request for SERVICE arrived.  Its answer is expected to have OUTPUT
   tokens, for which there is TIME from the first token to the deadline.  The
   limits of endpoints are adjusted so that such requests end in time, except
   the most urgent ones, which make up 30 % of the output.  Ignored if OUTPUT
   is 0 or TIME is not positive.  */
void ms_place_arrived (struct ms_place *place, uint64_t service,
                       uint32_t output, ms_time time);

/* Choose an endpoint for OFFER and fill CHOICE.  Nothing is reserved: call
   ms_place_sent once the request is sent.  */
void ms_place_choose (struct ms_place *place, const struct ms_offer *offer,
                      ms_time now, struct ms_choice *choice);

/* Return whether ENDPOINT may get a request now.  */
bool ms_place_may_send (struct ms_place *place,
                        const struct ms_endpoint_state *endpoint, ms_time now);

/* The request OFFER is going to be sent to the endpoint of CHOICE.  Fills LOAD
   with what it adds to the endpoint's load; LOAD is to be passed to
   ms_place_began and ms_place_ended.  */
void ms_place_sent (struct ms_place *place, const struct ms_offer *offer,
                    struct ms_choice *choice, struct ms_load *load,
                    ms_time now);

/* The connection for a request for which ms_place_sent was called at PLACED_AT
   is there, and it can be written at NOW.  Return whether ENDPOINT may still
   get it: it may have left, be evacuated or have become cold since.  For the
   rate limit of cold endpoints the request counts from NOW on.  */
bool ms_place_confirm_send (struct ms_place *place,
                            struct ms_endpoint_state *endpoint,
                            ms_time placed_at, ms_time now);

/* The first part of an answer from ENDPOINT arrived at NOW, TOOK after the
   send, where
   EXPECTED was predicted (0: no prediction).  Takes the prefill of LOAD, which
   ms_place_sent filled, off the endpoint's load and sets LOAD->prefill to
   0.  Set LOAD->whole before if the answer is no stream: at an endpoint of a
   model, TOOK then includes the generation of all tokens and tells nothing of
   the time to the first token.  */
void ms_place_began (struct ms_place *place,
                     struct ms_endpoint_state *endpoint, struct ms_load *load,
                     ms_time expected, ms_time took, ms_time now);

/* COUNT further events of a stream from ENDPOINT arrived, TOOK after the
   events before them.  */
void ms_place_note_pace (struct ms_place *place,
                         struct ms_endpoint_state *endpoint, unsigned count,
                         ms_time took, ms_time now);

/* How an attempt ended, as far as it says something about the endpoint.  */
enum ms_place_end
{
  MS_END_GOOD,
  MS_END_CANCELLED,   /* By the caller or by this router.  */
  MS_END_REFUSED,     /* Not run, as the endpoint states with 429 or 503.  */
  MS_END_MISDIRECTED, /* A different endpoint uses the address now.  */
  MS_END_ERROR,       /* A complete answer with a 5xx status.  */
  MS_END_SAME_ERROR,  /* The same, and another endpoint's answer to the request
                         was one too, so it says nothing about this one.  */
  MS_END_BROKEN,      /* An incomplete answer, or one to another request.  */
  MS_END_UNREACHABLE  /* No connection.  */
};

/* An attempt at ENDPOINT ended with END.  Takes LOAD, which ms_place_sent
   filled, off the endpoint's load and sets it to zero.  */
void ms_place_ended (struct ms_place *place,
                     struct ms_endpoint_state *endpoint, struct ms_load *load,
                     enum ms_place_end end, ms_time now);

/* What an endpoint says of itself: whether it is cold.  The endpoint list says
   so as well, and is heard at once as long as the store can be read.  Without
   it, routers ask the endpoints and tell each other the answers.  */
struct ms_cold_report
{
  uint64_t endpoint;
  ms_time cold_for; /* For how much longer it stays cold; 0 if it is not.  */
  ms_time age;      /* Time since it was asked.  */
};

/* Return whether this router is to ask E whether it is cold, while it is
   doubted since DOUBTED_SINCE that the list is up to date: if it sends E more
   than its share of what a cold endpoint may get, and no answer that is recent
   enough is known.  Each endpoint has an order of routers; one asks unless
   those before it have done so.  */
bool ms_place_asks (const struct ms_place *place,
                    const struct ms_endpoint_state *e, ms_time doubted_since,
                    ms_time now);

/* E, which this router asked at ASKED_AT, says that it stays cold for
 * COLD_FOR.
 */
void ms_place_note_cold (struct ms_endpoint_state *e, ms_time cold_for,
                         ms_time asked_at, ms_time now);

/* Fill REPORTS, of SIZE, with the recent answers to this router and return
   their number.  Cold endpoints come first.  */
unsigned ms_place_report_cold (const struct ms_place *place,
                               struct ms_cold_report *reports, unsigned size,
                               ms_time now);

/* Take what another router reports.  */
void ms_place_merge_cold (struct ms_place *place,
                          const struct ms_cold_report *report, ms_time now);

/* A request that got a 5xx status from FIRST, for which ms_place_ended was
   called with MS_END_ERROR, now got one from SECOND.  Return whether that is
   due to the request, since both serve a plain service and neither fails much
   more often than the others: what was counted against FIRST is taken back,
   and the attempt at SECOND is to end with MS_END_SAME_ERROR.  */
bool ms_place_same_error (struct ms_place *place,
                          struct ms_endpoint_state *first,
                          const struct ms_endpoint_state *second);

/* A request that got a 5xx status from FIRST, for which ms_place_ended was
   called with MS_END_ERROR, now got one from SECOND.  Return whether that is
   due to the request, since both serve a plain service and neither fails much
   more often than the others: what was counted against FIRST is taken back,
   and the attempt at SECOND is to end with MS_END_SAME_ERROR.  */
bool ms_place_same_error (struct ms_place *place,
                          struct ms_endpoint_state *first,
                          const struct ms_endpoint_state *second);

/* Return the number of listed endpoints that fail much more often than the
   others of their plain service.  */
unsigned ms_place_failing (const struct ms_place *place);

/* Return the load of this router alone at ENDPOINT, for its digest.  The pace
   is the one that this router measured, 0 if it did not within the last
   500 ms; the limit is the one that it uses for ENDPOINT.  */
struct ms_load ms_place_load (const struct ms_endpoint_state *endpoint,
                              ms_time now);

/* Return whether an endpoint of SERVICE is listed with VERSION.  */
bool ms_place_has_version (const struct ms_place *place, uint64_t service,
                           uint32_t version);

/* Return endpoint ID, which PLACE owns, or NULL if it is unknown.  */
struct ms_endpoint_state *ms_place_find (struct ms_place *place, uint64_t id);

/* Take or release a reference to ENDPOINT.  An endpoint that left the list is
   freed with its last reference.  */
void ms_place_hold (struct ms_endpoint_state *endpoint);
void ms_place_release (struct ms_place *place,
                       struct ms_endpoint_state *endpoint);

/* Call VISIT with CONTEXT for each endpoint that is listed or referenced.
   VISIT must not add, remove or release endpoints.  */
void ms_place_each (struct ms_place *place,
                    void (*visit) (void *, struct ms_endpoint_state *),
                    void *context);

/* Return the number of listed endpoints.  */
unsigned ms_place_count (const struct ms_place *place);

#endif

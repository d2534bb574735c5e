#ifndef PLACE_INTERNAL_H
#define PLACE_INTERNAL_H

#include "base/random.h"
#include "place/place.h"

/* Declarations shared by the files of this folder only.  */

/* Fraction of a model endpoint's slots that routers fill at most.  */
#define MS_SLOT_FILL_FRACTION 0.85

#define MS_MAX_ROUTERS 1024

/* Which prompt parts this router has recently sent to which endpoints, so that
   they are probably in the endpoints' prefix caches.  */
struct ms_prefix_table;
struct ms_prefix_table *ms_prefix_create (void);
void ms_prefix_destroy (struct ms_prefix_table *table);

/* Return whether PART was sent to ENDPOINT, which started at STARTED_AT,
   within the last 20 s and since then.  */
bool ms_prefix_cached (struct ms_prefix_table *table, uint64_t endpoint,
                       uint64_t part, ms_time started_at, ms_time now);

/* Record that PART is sent to ENDPOINT.  */
void ms_prefix_record (struct ms_prefix_table *table, uint64_t endpoint,
                       uint64_t part, ms_time now);

/* Recent requests of a service, and the pace that they need.  */
struct ms_need;

/* Return the most microseconds per generated token with which recent requests
   for SERVICE still end in time; 0 until enough requests have arrived.  The
   most urgent requests, which make up 30 % of the expected output, are not
   taken into account.  */
double ms_need_max_pace (struct ms_place *place, uint64_t service);

/* Free the recent requests of all services.  */
void ms_need_destroy (struct ms_place *place);

/* Response times of the plain services.  */
struct ms_speed;

/* Return the time, in milliseconds, in which an endpoint of the plain SERVICE
   with a free slot is expected to answer.  */
double ms_speed_response_ms (const struct ms_place *place, uint64_t service);

/* An endpoint of the plain SERVICE answered in RATIO of the expected time.  */
void ms_speed_note (struct ms_place *place, uint64_t service, double ratio);

/* Free the response times of all services.  */
void ms_speed_destroy (struct ms_place *place);

/* Rates of errors of the endpoints of a plain service.  */
struct ms_errors
{
  double sum;
  unsigned count; /* Endpoints; 0 for the service of a model.  */
};

/* Fill ERRORS with those of SERVICE.  */
void ms_errors_sum (const struct ms_place *place, uint64_t service,
                    struct ms_errors *errors);

/* Return whether E fails much more often than the other endpoints of
   ERRORS.  */
bool ms_errors_stands_out (const struct ms_errors *errors,
                           const struct ms_endpoint_state *e);

/* Return whether E gets only probes while others take the requests.  */
bool ms_errors_avoids (const struct ms_errors *errors,
                       const struct ms_endpoint_state *e);

/* Return the error rate of E that is held against it: above the mean of the
   others if its service is plain.  */
double ms_errors_rate (const struct ms_errors *errors,
                       const struct ms_endpoint_state *e);

/* Return the endpoint that OFFER is to probe; NULL if there is none.  */
const struct ms_endpoint_state *
ms_errors_probe (struct ms_place *place, const struct ms_errors *errors,
                 const struct ms_offer *offer, ms_time now);

/* OFFER is going to be sent to E.  */
void ms_errors_sent (struct ms_place *place, const struct ms_offer *offer,
                     struct ms_endpoint_state *e, ms_time now);

/* E gave an answer, which was no good one if FAILED.  */
void ms_errors_note (struct ms_place *place, struct ms_endpoint_state *e,
                     bool failed);

/* Free the records of all probes.  */
struct ms_probes;
void ms_errors_destroy (struct ms_place *place);

/* Return by how much longer than usual work takes at E now, as E reported it;
   1 if there is no report that may still be true, or reports are not used.  */
double ms_report_factor (const struct ms_place *place,
                         const struct ms_endpoint_state *e,
                         const struct ms_service_entry *service, ms_time now);

/* Endpoints that leave, though the list may not say so.  */
struct ms_left;

/* Return whether ID, of the start time BORN, is known to leave.  Another start
   time ends what was known before.  */
bool ms_left_has (struct ms_place *place, uint64_t id, int64_t born,
                  ms_time now);

/* Free the records of all endpoints that leave.  */
void ms_left_destroy (struct ms_place *place);

/* Pauses that endpoints asked for.  */
struct ms_paused;

/* Apply to E the pause that its entry's start, or a later one, asked for.  */
void ms_pause_restore (struct ms_place *place, struct ms_endpoint_state *e,
                       ms_time now);

/* Free the records of all pauses.  */
void ms_pauses_destroy (struct ms_place *place);

/* Requests for services, here and elsewhere.  */
struct ms_demands;

/* Forget what other routers have reported of requests.  */
void ms_rate_clear_others (struct ms_place *place);

/* Free the demands of all services.  */
void ms_rate_destroy (struct ms_place *place);

/* Crossings for all services: see outside.c.  */
struct ms_crossings;

/* What is known of the routers of a zone.  */
struct ms_zone_routers
{
  uint64_t zone;
  unsigned live;
  ms_time age;
};

/* Return the crossings for SERVICE; NULL if there are none yet, or the policy
   needs no permits.  */
struct ms_crossings *ms_crossings_find (const struct ms_place *place,
                                        uint64_t service);

/* Set F->rank by F->expected and F->errors and, if the request has a permit,
   lower the price in F->crossing.  Return what is to be added to the score. */
double ms_crossings_rank (const struct ms_place *place,
                          struct ms_crossings *crossings,
                          const struct ms_offer *offer,
                          const struct ms_endpoint_state *e, struct ms_fit *f);

/* OFFER is going to be sent to the endpoint of CHOICE.  */
void ms_crossings_sent (struct ms_place *place, const struct ms_offer *offer,
                        const struct ms_choice *choice);

/* Recompute the fractions if it is time for that.  */
void ms_crossings_tick (struct ms_place *place, ms_time now);

/* Free the crossings for all services.  */
void ms_crossings_destroy (struct ms_place *place);

/* Room and load of an endpoint, as the crossings see it.  */
struct ms_endpoint_room
{
  double limit;      /* Requests that may run there at once.  */
  double memory_use; /* Fraction of the token memory that is in use.  */
  ms_time expected;  /* Time to the first token or response.  */
  ms_time unloaded;  /* The same if nothing else ran there.  */
};

/* Fill ROOM for a request with UNCACHED tokens to prefill.  Return false if E
   may get no requests or is cold.  */
bool ms_place_endpoint_room (const struct ms_place *place,
                             const struct ms_endpoint_state *e,
                             const struct ms_service_entry *service,
                             uint32_t uncached, ms_time now,
                             struct ms_endpoint_room *room);

/* Homes of shared prompt parts: see homes.c.  */
#define MS_MAX_HOMES 4
#define MS_MAX_RESERVES 2
#define MS_MAX_DEPARTED 16

struct ms_homes_state;

struct ms_home
{
  struct ms_endpoint_state *endpoint;
  double missing; /* Probability that it has not read the part yet.  */
};

/* The homes of a prompt, and after them the reserves, which take what the
   homes cannot begin in time; all in order of preference.  */
struct ms_homes
{
  bool in_zone;   /* Chosen among the endpoints of the router's zone only.  */
  unsigned count; /* Homes.  */
  unsigned reserves; /* After them.  */
  struct ms_home list[MS_MAX_HOMES + MS_MAX_RESERVES];
  const struct ms_endpoint_state *out; /* A home that gets no requests for a
                                          short while; NULL if there is none.
                                          */
};

struct ms_homes_policy
{
  const char *name;
  bool steady; /* Homes stay while they are out of service for a short while,
                  and are not assumed to hold what they have not read.  */
  void (*find) (struct ms_place *place, const struct ms_offer *offer,
                bool in_zone, ms_time now, struct ms_homes *homes);
};

/* Fill HOMES with those of OFFER, with IN_ZONE those in the router's zone.  */
void ms_homes_find (struct ms_place *place, const struct ms_offer *offer,
                    bool in_zone, ms_time now, struct ms_homes *homes);

/* Return E as a home or reserve of HOMES, NUMBER being its place among them
   from 1 on; NULL and 0 if it is neither.  */
const struct ms_home *ms_homes_get (const struct ms_homes *homes,
                                    const struct ms_endpoint_state *e,
                                    unsigned *number);

/* OFFER is going to be sent.  */
void ms_homes_sent (struct ms_place *place, const struct ms_offer *offer,
                    ms_time now);

/* E has left the list, or has another start time.  */
void ms_homes_removed (struct ms_place *place, struct ms_endpoint_state *e);
void ms_homes_restarted (struct ms_place *place, struct ms_endpoint_state *e);

void ms_homes_destroy (struct ms_place *place);

/* Return the weight of an endpoint of the speed FACTOR, 1 being usual, and
   update STEP, the rounded logarithm of that weight.  */
double ms_homes_weight (double factor, int *step);

/* Return the rank of ENDPOINT for PART by weighted rendezvous hashing; the
   highest ones are the homes.  */
double ms_homes_score (uint64_t endpoint, uint64_t part, double weight);

/* Learned speeds of model endpoints: see engine.c.  While speeds are fixed,
   or not known yet, those of the options are returned, and 1 as a factor.  */
struct ms_engine;

/* Return the speed of E, 1 being usual.  */
double ms_engine_speed_factor (const struct ms_place *place,
                               const struct ms_endpoint_state *e);
double ms_engine_pace_factor (const struct ms_place *place,
                              const struct ms_endpoint_state *e);

/* Return the prompt tokens that the mean endpoint of SERVICE reads in a
   millisecond.  */
double ms_engine_tokens_per_ms (const struct ms_place *place,
                                uint64_t service);

/* Set the milliseconds between two tokens at the mean endpoint of SERVICE, and
   those that each running request adds.  */
void ms_engine_token_ms (const struct ms_place *place, uint64_t service,
                         double *token_ms, double *per_running);

/* Return the milliseconds between two tokens with RUNNING requests.  */
double ms_engine_pace_ms (const struct ms_place *place, uint64_t service,
                          unsigned running);

/* Return the milliseconds until the first token of a request with OWN uncached
   tokens, with QUEUE tokens before it, at an endpoint of the speed FACTOR.  */
double ms_engine_first_token_ms (const struct ms_place *place,
                                 uint64_t service, unsigned running,
                                 double queue, double own, double factor);

/* Return by how many milliseconds, as a standard deviation, waits for the
   first token differ from the predicted ones; 0 until known.  */
double ms_engine_wait_deviation_ms (const struct ms_place *place,
                                    uint64_t service);

/* The first token of the request of LOAD came TOOK after the send.  */
void ms_engine_began (struct ms_place *place, struct ms_endpoint_state *e,
                      const struct ms_load *load, ms_time took, ms_time now);

/* Tokens of a stream came PACE microseconds apart.  */
void ms_engine_note_pace (struct ms_place *place, struct ms_endpoint_state *e,
                          double pace, ms_time now);

/* E has another start time.  */
void ms_engine_restarted (struct ms_place *place, struct ms_endpoint_state *e);

/* Compute the speeds from what was reported and measured.  */
void ms_engines_tick (struct ms_place *place, ms_time now);

void ms_engines_clear_others (struct ms_place *place);
void ms_engines_destroy (struct ms_place *place);

/* Return whether E is one of those among which OFFER may choose.  */
bool ms_place_is_candidate (const struct ms_offer *offer,
                            const struct ms_endpoint_state *e);

/* Return whether E may get requests, not counting its cold limit.  While it is
   being probed after a failure, it gets no second request.  */
bool ms_place_is_available (const struct ms_place *place,
                            const struct ms_endpoint_state *e, ms_time now);

struct ms_place
{
  struct ms_homes_state *homes;
  struct ms_crossings *crossings;
  ms_time crossings_updated_at;
  struct ms_crossing_count crossing_counts[MS_CROSSING_ZONES];
  unsigned crossing_counts_count;
  struct ms_zone_routers zones[MS_CROSSING_ZONES];
  unsigned zones_count;
  struct ms_need *needs;
  struct ms_speed *speeds;
  struct ms_probes *probes;
  struct ms_engine *engines;
  uint64_t speeds_rejected; /* Reports.  */
  struct ms_left *left;
  struct ms_paused *paused;
  struct ms_demands *demands;
  ms_time limits_adjusted_at; /* Last adjustment of the endpoints' limits.  */
  struct ms_place_options options;
  const struct ms_place_policy *policy;
  const struct ms_routes *routes;
  struct ms_endpoint_state **endpoints;
  unsigned count;
  unsigned space; /* Elements allocated for endpoints.  */
  uint64_t *evacuated_zones;
  unsigned evacuated_count;
  unsigned evacuated_space; /* Elements allocated for evacuated_zones.  */
  uint64_t routers[MS_MAX_ROUTERS];
  unsigned routers_count;
  struct ms_random random;
  bool over_share; /* This router has more than its share of the work.  */
  ms_time all_cold_until; /* Until then every endpoint is treated as cold.  */
  struct ms_prefix_table *prefix;
};

/* Return whether ZONE is evacuated, so that it gets no new work.  */
bool ms_place_zone_evacuated (const struct ms_place *place, uint64_t zone);

/* Return whether the operators and the endpoint itself let E have requests. */
bool ms_place_in_service (const struct ms_place *place,
                          const struct ms_endpoint_state *e);

/* Return whether this router may send a request to ENDPOINT now without
   exceeding its share of the rate limit for cold endpoints; true for a warm
   endpoint.  */
bool ms_cold_allows (const struct ms_place *place,
                     const struct ms_endpoint_state *endpoint, ms_time now);

/* Return how many requests all routers together send to a cold endpoint in a
   little more than a second, where its service allows RATE per second.  */
double ms_cold_bound (const struct ms_place *place, double rate);

/* Return how many routers have a lower hash with the identifier of ENDPOINT
   than this one.  Which ones these are differs between endpoints.  */
unsigned ms_cold_rank (const struct ms_place *place,
                       const struct ms_endpoint_state *endpoint);

/* Return how many sends of this router to ENDPOINT count for that limit.  */
unsigned ms_cold_recent (const struct ms_endpoint_state *endpoint,
                         ms_time now);

/* Record a send to ENDPOINT, warm or cold, for that limit.  */
void ms_cold_record (struct ms_endpoint_state *endpoint, ms_time now);

/* Remove one of the sends to ENDPOINT that were recorded at AT, if any.  */
void ms_cold_forget (struct ms_endpoint_state *endpoint, ms_time at);

/* Free what is remembered of sends to ENDPOINT.  */
void ms_cold_destroy (struct ms_endpoint_state *endpoint);

/* Forget the limit of requests that E has named.  */
void ms_rate_reset (struct ms_endpoint_state *e);

/* Return whether this router may send a request to E now by the limit that E
   names; true if it names none.  */
bool ms_rate_allows (struct ms_place *place, struct ms_endpoint_state *e,
                     ms_time now);

/* Record a request to E for that limit.  */
void ms_rate_sent (struct ms_endpoint_state *e, ms_time now);

/* Return the requests that all routers send to E, as a fraction of the limit
   that it names; below 0 if it names none.  */
double ms_rate_used (const struct ms_place *place,
                     const struct ms_endpoint_state *e, ms_time now);

#endif

#ifndef PLACE_PLACE_H
#define PLACE_PLACE_H

#include "place/endpoint.h"
#include "route/route.h"

/* Which endpoint a request goes to, decided by the router that took it from
   its caller.  Answers the load of all routers together: what the others have
   sent is known by their digests.  No socket, no clock.  */

struct ms_place;

/* Work that routers have at an endpoint.  */
struct ms_load
{
  uint32_t running; /* Requests.  */
  uint32_t prefill; /* Uncached prompt tokens of requests without a first
                       token.  */
  uint32_t memory;  /* Prompt and expected output tokens.  */
  uint32_t pace;    /* Microseconds that a generated token takes there; 0 if
                       not known.  */
  uint32_t limit;   /* Requests that may run there at once; 0 if not known.  */
};

struct ms_endpoint_state
{
  uint64_t id;
  struct ms_endpoint_entry entry;
  bool listed;
  unsigned holds; /* Attempts and connections that refer to it.  */
  struct ms_load own;
  struct ms_load others;
  ms_time cold_until;
  ms_time cold_sends[8]; /* Ring of the last sends.  */
  unsigned cold_next;
  unsigned failures; /* In a row.  */
  ms_time down_until;
  bool probing;    /* One request is finding out whether it is back.  */
  double slowness; /* Measured against predicted time, 1 when as expected.  */
  double pace;     /* Microseconds a generated token takes, by own
                      streams.  */
  double others_pace;  /* By the streams of others, weighted by...  */
  double others_paced; /* ...how many those run.  */
  ms_time paced_at;    /* Last measured; 0 if never.  */
  double others_limit; /* The limits of others, weighted likewise.  */
  double others_limited;
  double limit;      /* Requests that it may run at once; 0 until known.  */
  double error_rate; /* Of answers, as an exponential mean.  */
  void *attachment;  /* The data plane's.  */
};

/* What is known of a request when it is to be placed.  */
struct ms_offer
{
  uint64_t service;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  unsigned parts_count;
  const struct ms_prompt_part *parts;
  ms_time aim_left; /* Until the answer should begin.  */
  unsigned tried_count;
  struct ms_endpoint_state *const *tried;
};

enum ms_place_result
{
  MS_PLACED,
  MS_PLACE_FULL, /* Endpoints exist; none can begin it in time.  */
  MS_PLACE_NONE  /* No endpoint may be used.  */
};

/* What one endpoint would do with a request.  */
struct ms_fit
{
  uint32_t uncached; /* Prompt tokens that it must read.  */
  uint32_t again;    /* Of these, shared ones that others have read.  */
  unsigned home;     /* 1 for the first endpoint that keeps the shared parts, 2
                        for the second, else 0.  */
  ms_time expected;  /* Time to the first token.  */
};

struct ms_choice
{
  enum ms_place_result result;
  struct ms_endpoint_state *endpoint;
  struct ms_fit fit;
  unsigned usable; /* Endpoints that were weighed.  */
  ms_time room_in; /* With MS_PLACE_FULL: when there may be room.  */
};

struct ms_place_options
{
  uint64_t self; /* Of this router.  */
  uint64_t zone;
  double cold_burst_factor;
  double cold_slack;
};

/* A way to choose among usable endpoints: the lower the score, the better.  */
struct ms_place_policy
{
  const char *name;
  double (*score) (const struct ms_place *place,
                   const struct ms_endpoint_state *endpoint,
                   const struct ms_fit *fit);
};

/* The policy called NAME: "prefix" or "least_in_flight"; NULL if unknown.  */
const struct ms_place_policy *ms_place_policy (const char *name);

struct ms_place *ms_place_create (const struct ms_place_options *options,
                                  const struct ms_place_policy *policy);
void ms_place_destroy (struct ms_place *place);

/* Go on with OPTIONS.  */
void ms_place_set_options (struct ms_place *place,
                           const struct ms_place_options *options);

/* Take over the services of ROUTES, which is borrowed until the next call.  */
void ms_place_configure (struct ms_place *place,
                         const struct ms_routes *routes);

/* The list says ENTRY of an endpoint.  */
struct ms_endpoint_state *ms_place_put (struct ms_place *place,
                                        const struct ms_endpoint_entry *entry,
                                        ms_time now);

/* The list has no endpoint ID any more.  */
void ms_place_remove (struct ms_place *place, uint64_t id);

/* Zones that get no new work.  */
void ms_place_evacuate (struct ms_place *place, uint64_t zone, bool out,
                        ms_time now);

/* The routers of the fleet, this one among them; they share cold limits.  */
void ms_place_routers (struct ms_place *place, const uint64_t *ids,
                       unsigned count);

/* What the other routers have at endpoint ID in all.  */
void ms_place_clear_others (struct ms_place *place);
void ms_place_add_others (struct ms_place *place, uint64_t id,
                          const struct ms_load *load);

/* How much of the room at model endpoints is used, by all routers.  */
struct ms_place_use
{
  double part;   /* Of the requests that may run at once; 0 to 1 or a little
                    more.  */
  double tokens; /* Of the requests that run: prompts and expected output.  */
};
struct ms_place_use ms_place_use (const struct ms_place *place, ms_time now);

/* This router's part of the work that endpoints are given, 0 to 1.  While it
   has more than that it leaves the last room at each endpoint to the others:
   they learn later than it does that a request of its own has ended.  */
void ms_place_part (struct ms_place *place, double part);

/* Until NOW this router may have missed what happened.  */
void ms_place_woke (struct ms_place *place, ms_time now);

/* Move the limits of endpoints towards what keeps their pace.  */
void ms_place_tick (struct ms_place *place, ms_time now);

/* A request for SERVICE came that has TIME for its OUTPUT tokens.  Endpoints
   are kept so fast that nearly all such requests end in time.  */
void ms_place_arrived (struct ms_place *place, uint64_t service,
                       uint32_t output, ms_time time);

void ms_place_choose (struct ms_place *place, const struct ms_offer *offer,
                      ms_time now, struct ms_choice *choice);

/* Whether ENDPOINT may get a request now: the last check before a send.  */
bool ms_place_may_send (struct ms_place *place,
                        const struct ms_endpoint_state *endpoint, ms_time now);

/* A request was sent to its choice.  */
void ms_place_sent (struct ms_place *place, const struct ms_offer *offer,
                    struct ms_choice *choice, struct ms_load *load,
                    ms_time now);

/* The answer began after TOOK; LOAD is what ms_place_sent filled.  */
void ms_place_began (struct ms_place *place,
                     struct ms_endpoint_state *endpoint, struct ms_load *load,
                     ms_time expected, ms_time took);

/* COUNT further events of a stream came within TOOK.  */
void ms_place_paced (struct ms_place *place,
                     struct ms_endpoint_state *endpoint, unsigned count,
                     ms_time took, ms_time now);

/* How an attempt ended, as far as the endpoint is concerned.  */
enum ms_place_end
{
  MS_END_GOOD,
  MS_END_CANCELLED,   /* By the caller or the router.  */
  MS_END_REFUSED,     /* Full.  */
  MS_END_MISDIRECTED, /* Another endpoint has the address.  */
  MS_END_ERROR,       /* An answer that says that it failed.  */
  MS_END_BROKEN,      /* No whole answer, or not this request's.  */
  MS_END_UNREACHABLE  /* No connection.  */
};
void ms_place_ended (struct ms_place *place,
                     struct ms_endpoint_state *endpoint, struct ms_load *load,
                     enum ms_place_end end, ms_time now);

/* What this router has at ENDPOINT, to tell the others.  */
struct ms_load ms_place_load (const struct ms_endpoint_state *endpoint,
                              ms_time now);

/* Endpoint ID, or NULL.  */
struct ms_endpoint_state *ms_place_find (struct ms_place *place, uint64_t id);

void ms_place_hold (struct ms_endpoint_state *endpoint);
void ms_place_release (struct ms_place *place,
                       struct ms_endpoint_state *endpoint);

/* Call TAKE for each endpoint that is listed or held.  */
void ms_place_each (struct ms_place *place,
                    void (*take) (void *, struct ms_endpoint_state *),
                    void *context);

unsigned ms_place_count (const struct ms_place *place);

#endif

#ifndef GATEWAY_INTERNAL_H
#define GATEWAY_INTERNAL_H

#include "admit/waiting.h"
#include "gateway/gateway.h"
#include "gateway/request.h"
#include "gateway/upstream.h"
#include "wire/events.h"

/* The state of one request, shared by the files that handle requests:
   request.c (arrival and time limits), attempt.c (placement, sending and
   retries), response.c (the endpoint's response) and outcome.c (the end).  */

/* Most endpoints that are tried for one request.  */
#define MS_MAX_TRIED 6

/* Size of a request's id as it is logged, with the terminating NUL; a longer
   one is cut off there.  */
#define MS_REQUEST_ID_BYTES 80

/* Size of a media type with its terminating NUL; a longer one is cut off.  */
#define MS_MEDIA_TYPE_BYTES 64

struct ms_request
{
  struct ms_gateway *gw;
  struct ms_caller *caller;

  /* The request's id: the caller's PLAT_ATTEMPT_ID, or empty.  The same in all
     attempts that the gateway makes.  In full it belongs to the caller's head;
     the copy is for the log.  */
  struct ms_str full_id;
  char request_id[MS_REQUEST_ID_BYTES];
  struct ms_route route; /* Copied on arrival, without host, prefix and
                            splits.  */
  uint64_t service;
  uint64_t team; /* 0 if no key is needed.  */
  struct ms_name team_name;
  uint64_t config_version; /* Of the configuration on arrival.  */
  uint64_t fingerprint;    /* Hash by which the guard recognizes it.  */
  bool keyed;              /* Admitted by its key, which may be revoked.  */
  struct plat_prompt prompt;
  /* By which the part guard knows it: the shared parts of its prompt, and its
     fingerprint as the last.  */
  uint64_t guarded[MS_MAX_PARTS];
  unsigned guarded_count;
  bool trial;          /* The trial of a part that may crash endpoints.  */
  bool suspect;        /* It may crash endpoints: its answers say nothing of a
                          version.  */
  double cost;         /* In cost units, for the shares of teams.  */
  uint64_t return_key; /* By which a promise to it is known; 0 if it gets none.
                        */
  double done_cost;    /* Part of it that ms_share_answered has counted.  */

  ms_time arrived;
  ms_time first_byte_target; /* Time from arrival until a response should
                                start.  */
  ms_time deadline;          /* End of the time that the caller allows.  */
  ms_time timeout_at;        /* When the route's timeout ends; MS_NEVER if it
                                has none.  */
  ms_time first_sent_at;     /* When it was first sent to an endpoint; 0 if
                                not yet.  */
  ms_time first_byte_at;     /* When part of a response was first passed on; 0
                                if none was.  */

  struct ms_waiter waiter; /* Its place in the queue for free capacity.  */
  unsigned attempts;       /* Times sent to an endpoint.  */
  bool may_have_run;       /* An earlier attempt may have run it.  */
  struct ms_endpoint_state *tried[MS_MAX_TRIED];
  unsigned tried_count;

  /* The current attempt.  */
  struct ms_endpoint_state *endpoint; /* NULL between attempts.  */
  struct ms_upstream *upstream;
  struct ms_choice choice;      /* Last result of the placement, also if it
                                   found no endpoint.  */
  struct ms_load load;          /* Load that it adds to the endpoint.  */
  struct ms_name last_endpoint; /* Last one that it was sent to.  */
  ms_time placed_at;            /* When this attempt's endpoint was chosen.  */
  ms_time sent_at;              /* When this attempt was sent.  */
  ms_time list_age;             /* Age of the endpoint list at that time.  */
  ms_time last_event_at;        /* When events last arrived.  */
  ms_time
      began_at; /* When the first part of its response was; 0 if it was not.
                 */
  unsigned paced_events; /* Events since then.  */
  ms_time held_at; /* When its first events were last held back; 0 if they
                      were not.  */
  bool sent;       /* This attempt was sent.  */
  bool response_started; /* Part of this attempt's response was passed
                            on; buffered parts do not count.  */

  /* The endpoint's response to the current attempt.  */
  const struct ms_head *response_head;
  unsigned response_status;
  bool not_run; /* The endpoint says that it did not run the request.  */
  bool response_accepted; /* Status 300 or above, or signed and without
                             Content-Encoding.  */
  bool stream_response;   /* Events are passed on as they are received.  */
  char *unsent_body;      /* Body bytes received but not passed on yet.  */
  size_t unsent_length;
  size_t unsent_capacity;

  /* The response to the caller.  */
  bool head_sent;
  bool ends_by_closing; /* The end of its connection ends it.  */
  bool mid_event;       /* A part of a stream's event was passed on.  */
  char media_type[MS_MEDIA_TYPE_BYTES]; /* Of the endpoint's response that
                                           began it; empty if not stated.  */
  unsigned status;                      /* 0 until head_sent.  */
  uint64_t bytes_forwarded;

  /* Id of the last event passed on; empty if none had one.  A retry resumes
     the stream after it.  */
  struct ms_event_id last_event_id;
  /* The caller takes up a stream that an earlier attempt began.  */
  bool takes_up;
  /* Hash of the attempt ID that brought the stream's first event: its own, or
     the one that the caller names; 0 if there is none.  */
  uint64_t stream;
  uint32_t version; /* That began the stream; 0 until an event is passed on. */
  /* Of a stream that is taken up: the services of its route.  */
  uint64_t *services;
  unsigned services_count;
  /* Until when its version may wait to be confirmed; 0 if it does not.  */
  ms_time confirm_until;
  bool moved;              /* It was reported at another version before.  */
  uint32_t sent_version;   /* Of the endpoint when it was sent there.  */
  uint32_t failed_version; /* Of the endpoint that last failed to answer it; 0
                              if none did.  */
  struct ms_endpoint_state *failed_at; /* Endpoint that last answered with a
                                          5xx status; among those tried; NULL
                                          if none did.  */
  bool crashed; /* The connection of the attempt that ends has broken.  */
  uint64_t crash_start; /* Stands for the start of the endpoint that last broke
                           off before it answered; 0 if none did.  */
  uint32_t crash_version; /* Of that endpoint.  */
  struct ms_request *prev, *next;
};

/* Attempts (attempt.c).  The functions that place, retry or end a request may
   free it before they return.  */

/* Time from NOW to the caller's deadline or the route's timeout, whichever is
   earlier; below 0 once it has passed.  */
ms_time ms_request_time_left (const struct ms_request *request, ms_time now);

/* Whether an endpoint that the request has not been sent to may get it now, or
   will once it has free capacity.  Does not change the request.  */
bool ms_request_other_usable (struct ms_request *request);

/* Start an attempt at an endpoint; if none can take the request now, queue it,
   or give it up once its time to wait is over.  Give it up as well if its
   deadline or timeout has passed or its key may have been revoked.  Return
   false only if no endpoint could take it.  */
bool ms_request_dispatch (struct ms_request *request);

/* Give up the request, which no endpoint could take in the time that it may
   wait.  */
void ms_request_give_up_unplaced (struct ms_request *request);

/* Start another attempt after one that failed because of REASON, or that was
   not sent, or give up the request if it has tried MS_MAX_TRIED endpoints.  If
   WAS_SENT, the failed attempt had sent the request: the next one then takes
   from the retry budget, and the request is given up if that or the route's
   attempts are used up.  */
void ms_request_retry (struct ms_request *request, bool was_sent,
                       const char *reason);

/* The endpoint failed because of REASON after the request was sent, which may
   have run there.  Retry if that is allowed, else end the request.  */
void ms_request_attempt_failed (struct ms_request *request,
                                const char *reason);

/* The endpoint reported the request as not run, with STATUS.  Retry at another
   one, or give up the request.  */
void ms_request_attempt_not_run (struct ms_request *request, unsigned status);

/* Pass on the first events of the stream if they are held back.  */
void ms_request_release_held (struct ms_request *request);

/* The same, but only once they need not be held back any more.  */
void ms_request_release_stored (struct ms_request *request);

/* Streams that are taken up (resume.c).  */

/* If the request, whose head is HEAD, may begin or take up a stream that can
   be resumed, note which one.  Find the version that began one that is taken
   up, or set confirm_until if that has to wait.  */
void ms_request_identify_stream (struct ms_request *request,
                                 const struct ms_head *head);

/* Set the version that began the stream which the request takes up, 0 if it is
   not known, and the service that has it.  Return false if that has to wait
   until the list of endpoints is confirmed.  */
bool ms_request_find_version (struct ms_request *request);

/* Start the request, which waits for that, if it can be; else give it up once
   its time to wait is over.  Call on every tick.  */
void ms_request_await_version (struct ms_request *request);

/* Versions in rollouts (version.c).  */

/* Choose an endpoint among those of the versions that the request may be sent
   to, and fill its choice and OFFER.  Return whether it is to wait instead,
   for the deadline of a rollout.  */
bool ms_request_choose (struct ms_request *request, struct ms_offer *offer);

/* Whether the request may be sent to an endpoint of VERSION now.  */
bool ms_request_version_allowed (const struct ms_request *request,
                                 uint32_t version);

/* The request is sent to an endpoint of its sent_version.  */
void ms_request_note_sent (struct ms_request *request);

/* The first part of a stream was received.  */
void ms_request_note_began (struct ms_request *request);

/* The current attempt, which was sent, ends with END: say what that tells of
   its version.  */
void ms_request_note_end (struct ms_request *request, enum ms_place_end end);

/* When a refused caller should retry, counted from now; LATE_BY is the time by
   which the fastest endpoint would have missed the first-byte target.  */
ms_time ms_gateway_retry_after (struct ms_gateway *gw, ms_time late_by);

/* The request was refused because of REASON.  Return the duration after which
   its promise can be claimed, or 0 if it has none.  */
ms_time ms_request_promised_return (struct ms_request *request,
                                    const char *reason);

/* Ends (outcome.c).  All but ms_request_end_attempt and ms_request_log_end
   free the request.  */

/* End the current attempt, if any: release its connection and report END to
   the placement.  */
void ms_request_end_attempt (struct ms_request *request,
                             enum ms_place_end end);

/* Free the request and all it holds except its caller.  */
void ms_request_free (struct ms_request *request);

/* End the request with an error response of the gateway's own, with STATUS and
   REASON.  The caller must not have been sent a response head.  */
void ms_request_refuse (struct ms_request *request, unsigned status,
                        const char *reason);

/* End the request by resetting the caller's connection, since its response has
   begun and cannot be completed.  */
void ms_request_abort (struct ms_request *request, const char *reason);

/* End the request because no endpoint completes it: reset the connection if
   the response has begun, else respond 502 if the request may have run, or 503
   if it cannot have.  */
void ms_request_give_up (struct ms_request *request, const char *reason);

/* Log and count the end of the request, with the STATUS that its caller got
   and OUTCOME, which is "answered", "caller_gone" or the reason of a failure.
 */
void ms_request_log_end (const struct ms_request *request, unsigned status,
                         const char *outcome);

#endif

#ifndef GATEWAY_INTERNAL_H
#define GATEWAY_INTERNAL_H

#include "admit/waiting.h"
#include "gateway/gateway.h"
#include "gateway/upstream.h"
#include "wire/events.h"

/* Endpoints that one request may be taken to.  */
#define MS_MAX_TRIED 6

#define MS_ATTEMPT_ID_BYTES 80

struct ms_request
{
  struct ms_gateway *gw;
  struct ms_caller *caller;
  char attempt_id[MS_ATTEMPT_ID_BYTES];
  struct ms_route route; /* As it was at the start; without its strings.  */
  uint64_t service;
  uint64_t team; /* 0 if no key is needed.  */
  struct ms_name team_name;
  uint64_t config_version;
  uint64_t fingerprint;
  bool keyed;
  struct plat_prompt prompt;
  double cost; /* In tokens, for the shares of teams.  */

  ms_time arrived;
  ms_time aim;
  ms_time deadline;   /* The caller's.  */
  ms_time timeout_at; /* The operators'.  */
  ms_time first_sent_at;
  ms_time first_at; /* First byte of the answer; 0 if none yet.  */

  struct ms_waiter waiter;
  unsigned attempts; /* Sent to an endpoint.  */
  bool may_have_run;
  struct ms_endpoint_state *tried[MS_MAX_TRIED];
  unsigned tried_count;

  /* The current attempt.  */
  struct ms_endpoint_state *endpoint;
  struct ms_upstream *upstream;
  struct ms_choice choice;
  struct ms_load load;
  struct ms_name last_endpoint;
  ms_time sent_at;
  ms_time last_event_at;
  bool sent;
  bool began;

  /* Its answer.  */
  const struct ms_head *answer;
  unsigned answer_status;
  bool not_run;
  bool proper;  /* Signed, if it is a success.  */
  bool streams; /* Events are passed on as they come.  */
  char *held;   /* Not passed on yet.  */
  size_t held_length;
  size_t held_space;

  /* The answer to the caller.  */
  bool head_sent;
  unsigned status;
  uint64_t bytes_forwarded;
  struct ms_event_id last_event; /* The last one passed on whole.  */
  struct ms_request *prev, *next;
};

/* Attempts (attempt.c).  */

/* Whether a second run does no harm: of idempotent requests and of streams
   that may be resumed.  */
bool ms_request_may_repeat (const struct ms_request *request);

/* Until the caller or the operators want it ended.  */
ms_time ms_request_time_left (const struct ms_request *request, ms_time now);

/* Place the request, let it wait, or refuse it.  Returns whether there was
   room for it.  */
bool ms_request_dispatch (struct ms_request *request);

/* There was no room for the request until it may wait no longer.  */
void ms_request_find_no_room (struct ms_request *request);

/* Try again after an attempt that failed, or give the final answer.  COUNTS
   tells whether a further attempt is a retry.  */
void ms_request_try_again (struct ms_request *request, bool counts,
                           const char *reason);

/* The endpoint ended or broke off while the request may have run there.  */
void ms_request_broken (struct ms_request *request, const char *reason);

/* The endpoint says with STATUS that it did not run the request.  */
void ms_request_not_taken (struct ms_request *request, unsigned status);

/* Ends (outcome.c).  All but ms_request_end_attempt free the request.  */

/* Let go of the attempt's endpoint, which ended with END.  */
void ms_request_end_attempt (struct ms_request *request,
                             enum ms_place_end end);
void ms_request_free (struct ms_request *request);

/* Give the final answer STATUS of the gateway's own.  */
void ms_request_refuse (struct ms_request *request, unsigned status,
                        const char *reason);

/* End an answer that has begun and cannot be completed.  */
void ms_request_break_off (struct ms_request *request, const char *reason);

/* Answer for a request that no endpoint answers.  */
void ms_request_give_up (struct ms_request *request, const char *reason);

/* Log and count the end of the request.  */
void ms_request_log_end (const struct ms_request *request, unsigned status,
                         const char *outcome);

#endif

#ifndef PLACE_ENDPOINT_H
#define PLACE_ENDPOINT_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"

/* Maximum number of parts of a prompt.  */
#define MS_MAX_PARTS 8

/* A part of a prompt.  All parts but the last are shared with other requests
   and so may be in an endpoint's prefix cache; the last is the request's
   own.  */
struct ms_prompt_part
{
  uint64_t id; /* The same for the same text.  */
  uint32_t tokens;
};

/* An entry of the endpoint list, as the endpoint itself wrote it.  */
struct ms_endpoint_entry
{
  struct ms_name id;
  uint64_t service;
  uint64_t zone;
  struct ms_name zone_name; /* For logs and metrics only; may be empty.  */
  struct sockaddr_in address;
  uint32_t slots;   /* Requests that it can run at once.  Its free capacity and
                       the expected time of a plain endpoint, which runs no
                       model, are computed from this, where 0 counts as 1.  The
                       limit of a model endpoint and the result of ms_place_use
                       are computed from the slots configured for the service,
                       and from this only if none are configured.  */
  bool leaving;     /* It is about to end and takes no new requests.  */
  ms_time cold_for; /* How much longer it stays cold, in microseconds.  */
  int64_t born;     /* Its start, in Unix milliseconds; 0 if not stated.  */
  uint32_t version; /* Hash of its service and of the version of its software,
                       or of the service alone if that is not stated; never
                       0.  */
};

/* What an endpoint reports of its own load; each figure below 0 if it is not
   stated.  */
struct ms_load_report
{
  double running; /* Requests of all routers.  */
  double waiting; /* Requests in its queue.  */
  double slots;
  double work_time; /* How long work takes at this time; MS_USUAL_WORK_TIME is
                       usual, and more is slower.  */
};
#define MS_USUAL_WORK_TIME 100.0

#endif

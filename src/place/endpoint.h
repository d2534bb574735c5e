#ifndef PLACE_ENDPOINT_H
#define PLACE_ENDPOINT_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"

/* Shared parts of a prompt, in order; the last is the request's own.  */
#define MS_MAX_PARTS 8

struct ms_prompt_part
{
  uint64_t id;
  uint32_t tokens;
};

/* What an endpoint says of itself in the list.  */
struct ms_endpoint_entry
{
  struct ms_name id;
  uint64_t service;
  uint64_t zone;
  struct sockaddr_in address;
  uint32_t slots;
  bool leaving;
  ms_time cold_for; /* How much longer it stays cold.  */
  int64_t born;     /* Unix milliseconds of its start; 0: not told.  */
};

#endif

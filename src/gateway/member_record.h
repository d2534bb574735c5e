#ifndef GATEWAY_MEMBER_RECORD_H
#define GATEWAY_MEMBER_RECORD_H

#include <netinet/in.h>

#include "base/str.h"

/* Records of the topic that routers share with each other: one of each router,
   and those of parts of prompts and of versions, whose keys begin with a
   prefix and are hexadecimal identifiers behind that.  */

#define MS_MEMBER_PART_PREFIX "part/"
#define MS_MEMBER_VERSION_PREFIX "version/"

enum ms_member_kind
{
  MS_MEMBER_NONE,   /* Of another writer, or not valid: to be ignored.  */
  MS_MEMBER_ROUTER, /* Its key is the router's name.  */
  MS_MEMBER_PART,   /* A part of prompts under trial or in quarantine.  */
  MS_MEMBER_VERSION /* A version of the endpoints' software.  */
};

struct ms_member_record
{
  enum ms_member_kind kind;
  uint64_t incarnation;   /* ROUTER.  */
  uint64_t zone;          /* ROUTER: identifier of its availability zone.  */
  struct in_addr address; /* ROUTER.  */
  uint64_t part;          /* PART.  */
  unsigned deaths;        /* PART: endpoints that it has ended, 1 or more.  */
  int64_t at_ms;          /* PART: time of the latest, in Unix ms.  */
  uint64_t service;       /* VERSION: identifier of the service.  */
  uint32_t version;       /* VERSION.  */
};

/* Decode the record of KEY with the JSON text VALUE.  */
struct ms_member_record ms_member_record_decode (struct ms_str key,
                                                 struct ms_str value);

#endif

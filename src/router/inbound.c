#include "router/inbound.h"

#include <inttypes.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <urcu-bp.h>
#include <xxhash.h>

#include "base/alloc.h"

#define MAX_BODY_BYTES (1u << 20)
#define INITIAL_BODY_BYTES 4096 /* If there is no Content-Length.  */
#define DEFAULT_TIMEOUT_MS 120000
#define MAX_TIMEOUT_MS 3600000
#define DIGEST_HEX_BYTES 65 /* SHA-256 in hexadecimal, and a NUL.  */

/* Write the SHA-256 of KEY in hexadecimal to HEX, an array of DIGEST_HEX_BYTES
   bytes.  */
static void
digest_hex (const char *key, char *hex)
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned length = 0;

  EVP_Digest (key, strlen (key), digest, &length, EVP_sha256 (), NULL);
  for (unsigned i = 0; i < length && i < 32; i++)
    snprintf (hex + (size_t)2 * i, 3, "%02x", digest[i]);
}

/* Whether the bearer token in AUTHORIZATION is one of the team's keys, of
   which the configuration holds the digests.  A team without keys needs no
   token.  A team that the caller threads' copy of the configuration does not
   list passes, as does any team while there is no copy: the node refuses them
   later, unless its own configuration is newer and lists them.  */
static bool
is_authorized (struct ms_router *router, uint64_t team_id,
               const char *authorization)
{
  const struct ms_config *config;
  const struct ms_team *team;
  char hex[DIGEST_HEX_BYTES] = "";
  bool allowed = true;

  if (authorization && strncasecmp (authorization, "Bearer ", 7) == 0)
    digest_hex (authorization + 7, hex);
  rcu_read_lock ();
  config = rcu_dereference (router->caller_config);
  team = config ? ms_config_team (config, team_id) : NULL;
  if (team && team->key_digests_count)
    {
      allowed = false;
      for (unsigned i = 0; i < team->key_digests_count; i++)
        allowed |= strcmp (team->key_digests[i], hex) == 0;
    }
  rcu_read_unlock ();
  return allowed;
}

/* Split "/services/SERVICE/REST" into service and path; the query is part of
   the path.  Returns false if either is too long or the service is empty.  */
static bool
split_path (const struct mg_request_info *info,
            struct ms_parsed_request *parsed)
{
  const char *name = info->local_uri + strlen (MS_SERVICES_PREFIX);
  const char *rest = strchr (name, '/');
  size_t length = rest ? (size_t)(rest - name) : strlen (name);
  int written;

  if (!length || length >= sizeof parsed->service)
    return false;
  memcpy (parsed->service, name, length);
  parsed->service[length] = '\0';
  written = snprintf (parsed->path, sizeof parsed->path, "%s%s%s",
                      rest ? rest : "/", info->query_string ? "?" : "",
                      info->query_string ? info->query_string : "");
  return written > 0 && (size_t)written < sizeof parsed->path;
}

/* Read the whole body.  Returns 0, or the HTTP status to refuse with.  The
   buffer has a spare byte, so that a body of the announced length does not
   make it grow.  */
static int
read_body (struct mg_connection *connection, struct ms_parsed_request *parsed)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  size_t space = info->content_length > 0 ? (size_t)info->content_length + 1
                                          : INITIAL_BODY_BYTES;
  size_t used = 0;
  int n;

  if (info->content_length > (long long)MAX_BODY_BYTES)
    return 413;
  parsed->body = ms_new (space);
  while ((n = mg_read (connection, parsed->body + used, space - used)) > 0)
    {
      used += (size_t)n;
      if (used > MAX_BODY_BYTES)
        return 413;
      if (used < space)
        continue;
      space *= 2;
      parsed->body = ms_resize (parsed->body, space, 1);
    }
  if (info->content_length > 0 && (long long)used < info->content_length)
    return 400;
  parsed->inbound.body = parsed->body;
  parsed->inbound.body_length = used;
  return 0;
}

static bool
is_safe_method (const char *method)
{
  return strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0;
}

/* Whether the request may be repeated after an attempt that may have run.
   HEADER, if there is one, decides.  Otherwise requests with a safe method
   and those to model services may: generating text again has no side
   effects.  */
static bool
is_idempotent (struct ms_router *router,
               const struct ms_parsed_request *parsed, const char *header)
{
  const struct ms_config *config;
  const struct ms_service *service;
  bool is_model = false;

  if (header)
    return strcasecmp (header, "true") == 0;
  if (is_safe_method (parsed->inbound.method))
    return true;
  rcu_read_lock ();
  config = rcu_dereference (router->caller_config);
  service
      = config ? ms_config_service (config, parsed->arrival.service) : NULL;
  is_model = service && service->kind == MS_SERVICE_MODEL;
  rcu_read_unlock ();
  return is_model;
}

/* The timeout that HEADER states in milliseconds; the default if HEADER is
   NULL or states none from 1 to MAX_TIMEOUT_MS.  */
static ms_time
parse_timeout (const char *header)
{
  long ms = header ? strtol (header, NULL, 10) : DEFAULT_TIMEOUT_MS;

  if (ms <= 0 || ms > MAX_TIMEOUT_MS)
    ms = DEFAULT_TIMEOUT_MS;
  return ms * MS_MSEC;
}

/* Describe the request for the node.  Its fingerprint is a hash of team,
   service, path with query, and body; the method is not part of it.  */
static void
fill_arrival (struct ms_router *router, struct mg_connection *connection,
              struct ms_parsed_request *parsed)
{
  struct ms_arrival *arrival = &parsed->arrival;
  const char *lane = mg_get_header (connection, "Monsoonspur-Class");
  const char *key = mg_get_header (connection, "Idempotency-Key");
  const char *hint = mg_get_header (connection, "Monsoonspur-Cost-Hint");

  arrival->team = ms_id (ms_str (parsed->team));
  arrival->service = ms_id (ms_str (parsed->service));
  arrival->lane = lane && strcasecmp (lane, "long") == 0 ? MS_LANE_LONG
                                                         : MS_LANE_INTERACTIVE;
  arrival->hint = hint ? (uint32_t)strtoul (hint, NULL, 10) : 0;
  if (key)
    arrival->key = ms_id_pair (ms_id_pair (arrival->team, arrival->service),
                               ms_id (ms_str (key)));
  arrival->fingerprint = ms_id_pair (
      ms_id_pair (arrival->team, arrival->service),
      ms_id_pair (
          XXH3_64bits (parsed->path, strlen (parsed->path)),
          XXH3_64bits (parsed->inbound.body, parsed->inbound.body_length)));
  arrival->idempotent = is_idempotent (
      router, parsed, mg_get_header (connection, "Monsoonspur-Idempotent"));
  arrival->deadline
      = ms_router_now (router)
        + parse_timeout (mg_get_header (connection, "Monsoonspur-Timeout-Ms"));
}

/* Set the traceparent for the endpoint, "00-TRACE-SPAN-01" with 32 and 16
   hexadecimal digits: the trace identifier of RECEIVED, the caller's header,
   or a new one, and a new span identifier for the router.  Of RECEIVED, which
   may be NULL, only the length is checked.  */
static void
fill_traceparent (struct ms_inbound *inbound, const char *received,
                  uint64_t number, uint64_t incarnation)
{
  uint64_t span = ms_id_pair (incarnation, number);
  char trace_id[33];

  if (received && strlen (received) == 55)
    snprintf (trace_id, sizeof trace_id, "%.32s", received + 3);
  else
    snprintf (trace_id, sizeof trace_id, "%016" PRIx64 "%016" PRIx64,
              ms_id_pair (span, 1), ms_id_pair (span, 2));
  snprintf (inbound->traceparent, sizeof inbound->traceparent,
            "00-%s-%016" PRIx64 "-01", trace_id, span);
}

int
ms_inbound_parse (struct ms_router *router, struct mg_connection *connection,
                  struct ms_parsed_request *parsed)
{
  const struct mg_request_info *info = mg_get_request_info (connection);

  parsed->inbound.connection = connection;
  parsed->inbound.method = info->request_method;
  parsed->inbound.path = parsed->path;
  parsed->inbound.content_type = mg_get_header (connection, "Content-Type");
  snprintf (parsed->inbound.request_id, sizeof parsed->inbound.request_id,
            "%s-%" PRIx64 "-%" PRIu64, router->settings->name,
            router->incarnation, parsed->arrival.request);
  parsed->team = mg_get_header (connection, "Monsoonspur-Team");
  if (!split_path (info, parsed) || !parsed->team)
    return 400;
  if (!is_authorized (router, ms_id (ms_str (parsed->team)),
                      mg_get_header (connection, "Authorization")))
    return 401;
  return 0;
}

int
ms_inbound_read (struct ms_router *router, struct mg_connection *connection,
                 struct ms_parsed_request *parsed)
{
  int status = read_body (connection, parsed);

  if (status)
    return status;
  fill_arrival (router, connection, parsed);
  fill_traceparent (&parsed->inbound,
                    mg_get_header (connection, "traceparent"),
                    parsed->arrival.request, router->incarnation);
  return 0;
}

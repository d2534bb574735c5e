#ifndef GATEWAY_SETTINGS_H
#define GATEWAY_SETTINGS_H

#include <monsoonspur/status.h>

#include <stdbool.h>
#include <stdint.h>

/* The settings of one router, read from a YAML file whose fields have the
   names of the members.  Addresses are "IP:PORT"; times are in the unit at the
   end of the name.  */
struct ms_gateway_settings
{
  char *name;
  char *availability_zone;
  char *region;     /* Accepted, but not used.  */
  char *ip_address; /* IP address that the router registers in the store, for
                       the other routers.  */
  char *caller_address;
  char *ready_address;
  char *directory_address;
  char *control_address;
  char *store_address;
  char *metrics_address; /* NULL: metrics only at the ready, directory and
                            control addresses.  */
  uint32_t peer_port;
  char **seeds; /* Control addresses to call while no other router is alive. */
  unsigned seeds_count;
  uint32_t memory_mb;        /* Memory that the process may use, in MiB.  */
  uint32_t file_descriptors; /* File descriptors that it may open.  */
  double cpu_cores;   /* Processor time that the process may use, in cores.  */
  char *placement;    /* Placement policy; NULL: "prefix".  */
  char *crossing;     /* Crossing policy, see place/crossing.h; NULL:
                         "balanced".  */
  char *homes;        /* Homes of prompt parts, see place/place.h; NULL:
                         "available".  */
  char *server_load;  /* Whether plain endpoints are chosen by the momentary
                         speed that they report: "use" or "ignore"; NULL:
                         "ignore".  */
  char *returns;      /* What refused callers are told: "promised", a time at
                         which they go before new ones; NULL: "off".  */
  char *engine_speed; /* "learned": the speed of model endpoints is learned
                         from answers; NULL or "fixed": it is that below.  */
  char *log_level;    /* Accepted, but not used.  */

  /* Bounds that the operators set for the fleet.  */
  double grace_period_s;   /* From SIGTERM to SIGKILL.  */
  double config_apply_ms;  /* Until a new configuration takes effect.  */
  double drain_timeout_ms; /* From an endpoint's leaving, as the store has it,
                              until it gets no more requests; 2000 if it is
                              not set.  */
  double endpoint_heartbeat_ms; /* Period at which endpoints write their entry
                                   in the store; 1200 if it is not set.  */
  bool first_start;             /* No gateway of the fleet has run before.  */
  bool strict_revocation;       /* Refuse requests with keys while a revocation
                                   may have been missed.  */
  double revocation_ms;         /* Until a revoked key is refused.  */

  /* In any window of retry_window_s, each service may have retry_budget_ratio
     retries per request, plus retry_budget_slack retries in the whole fleet.
   */
  double retry_budget_ratio;
  double retry_window_s;
  double retry_budget_slack;

  /* A cold endpoint may get cold_burst_factor times the cold_per_s of its
     service in the operators' configuration, plus cold_slack, in requests per
     second from all routers together.  */
  double cold_burst_factor;
  double cold_slack;

  /* Speed of endpoints before it is learned, see struct ms_place_speed; 0, or
     not set, for its defaults.  */
  double prefill_tokens_per_ms;
  double first_token_ms;
  double token_ms;
  double token_ms_per_running;
  double response_ms;

  double zone_byte_tokens; /* Prompt tokens that endpoints may read again to
                              keep a byte within its availability zone; 0.03 if
                              it is not set.  */
  double directory_ttl_s;  /* Longest time that callers may cache a response
                              of the directory.  */

  /* Rollouts.  Of a service's requests between an order and its deadline, a
     bad version may get exposure_share, plus exposure_slack requests; 0, or
     not set, where rollouts are not in use.  */
  double exposure_share;
  double exposure_slack;
  double rollback_ms; /* After the 50th bad answer, until no request reaches
                         the version; 0, or not set, for the default.  */
};

/* Read and check the file at PATH into *RESULT, which the caller destroys.  On
   failure *RESULT is NULL and the error message names file, line and field. */
enum ms_status ms_gateway_settings_load (const char *path,
                                         struct ms_gateway_settings **result);

/* Check that SETTINGS keeps those fields of OLD that need a restart to change:
   name, availability zone, peer port and all addresses but metrics_address.
   MS_INVALID if not; the error message names the field.  */
enum ms_status
ms_gateway_settings_check_reload (const struct ms_gateway_settings *settings,
                                  const struct ms_gateway_settings *old);
void ms_gateway_settings_destroy (struct ms_gateway_settings *settings);

#endif

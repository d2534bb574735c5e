#ifndef GATEWAY_SETTINGS_H
#define GATEWAY_SETTINGS_H

#include <monsoonspur/status.h>

#include <stdbool.h>
#include <stdint.h>

/* A gateway's settings file.  Addresses are "IP:PORT"; times in the unit that
   the name ends with.  */
struct ms_gateway_settings
{
  char *name;
  char *availability_zone;
  char *region;
  char *ip_address;
  char *caller_address;
  char *ready_address;
  char *directory_address;
  char *control_address;
  char *store_address;
  char *metrics_address; /* NULL: only at the control address.  */
  uint32_t peer_port;
  char **seeds; /* Control addresses of other gateways.  */
  unsigned seeds_count;
  uint32_t memory_mb;
  uint32_t file_descriptors;
  double cpu_cores; /* That the process may use, in all.  */
  char *placement;  /* NULL: "prefix".  */
  char *log_level;  /* NULL: "info".  */

  /* What the operators promise and ask of the fleet.  */
  double grace_period_s;
  double config_apply_ms;
  bool strict_revocation;
  double revocation_ms;
  double retry_budget_ratio;
  double retry_window_s;
  double retry_budget_slack;
  double cold_burst_factor;
  double cold_slack;
  double directory_ttl_s;
};

/* Read and check the file at PATH; a failure names file, line and field.  */
enum ms_status ms_gateway_settings_load (const char *path,
                                         struct ms_gateway_settings **result);

/* Whether a gateway that runs with OLD can go on with SETTINGS; a failure
   names the field that keeps it from that.  */
enum ms_status
ms_gateway_settings_may_follow (const struct ms_gateway_settings *settings,
                                const struct ms_gateway_settings *old);
void ms_gateway_settings_destroy (struct ms_gateway_settings *settings);

#endif

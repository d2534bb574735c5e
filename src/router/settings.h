#ifndef ROUTER_SETTINGS_H
#define ROUTER_SETTINGS_H

#include <monsoonspur/status.h>

#include <stdbool.h>
#include <stdint.h>

/* The router's settings file, in YAML.  It is read once, at the start.  */

/* The file's fields, under the same names.  Strings are owned; optional ones
   are NULL if absent.  */
struct ms_settings
{
  char *name;
  char *availability_zone;
  char *caller_address;      /* "IP:PORT" for callers and operators.  */
  char *peer_address;        /* "IP:PORT" for other routers.  */
  char *log_url;             /* HTTP URL of the platform's log service.  */
  char *list_url;            /* HTTP URL of the platform's instance list.  */
  uint32_t drain_timeout_ms; /* After it, a drain cuts off open requests.  */
  uint32_t caller_threads;   /* Bound on requests served at once.  */
  char *log_level;           /* "debug", "warn" or "error"; else "info".  */
  char *operator_key;        /* Token for /v1/drain; NULL disables it.  */
  bool spans;                /* Log a line for each hop of a request.  */
};

/* Read and check the file at PATH and set limits that are absent or 0 to their
   defaults.  On failure *SETTINGS is NULL and the message names the file and,
   where known, line and field; a line given as 0 was not found.  */
enum ms_status ms_settings_load (const char *path,
                                 struct ms_settings **settings);
void ms_settings_destroy (struct ms_settings *settings);

#endif

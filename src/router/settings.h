#ifndef ROUTER_SETTINGS_H
#define ROUTER_SETTINGS_H

#include <monsoonspur/status.h>

#include <stdbool.h>
#include <stdint.h>

/* A router's settings file.  */
struct ms_settings
{
  char *name;
  char *availability_zone;
  char *caller_address; /* "IP:PORT" for callers and operators.  */
  char *peer_address;   /* "IP:PORT" for other routers.  */
  char *log_url;
  char *list_url;
  uint32_t drain_timeout_ms;
  uint32_t caller_threads; /* Requests in progress at once.  */
  char *log_level;
  char *operator_key; /* Needed to drain over HTTP, NULL: not allowed.  */
  bool spans;         /* Write a line for each hop of a request.  */
};

/* Read and check the file at PATH; a failure names file, line and field.  */
enum ms_status ms_settings_load (const char *path,
                                 struct ms_settings **settings);
void ms_settings_destroy (struct ms_settings *settings);

#endif

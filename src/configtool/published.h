#ifndef CONFIGTOOL_PUBLISHED_H
#define CONFIGTOOL_PUBLISHED_H

#include <stdio.h>

#include "config/config.h"

/* The configuration in force, by the same rule that routers apply.  */
struct ms_published
{
  uint64_t generation; /* 0 if there is none.  */
  char *text;
  size_t length;
};

enum ms_status ms_published_read (const char *log_url,
                                  struct ms_published *published);
void ms_published_clear (struct ms_published *published);

/* Print what CONFIG changes; returns the number of differences.  */
unsigned ms_published_diff (const struct ms_published *published,
                            const struct ms_config *config, FILE *file);

/* Publish CONFIG on top of BASE and wait for the log's word on it.
   MS_CONFLICT if another publication was first, MS_UNAVAILABLE if the log
   does not tell in time.  */
enum ms_status ms_publish (const char *log_url, const struct ms_config *config,
                           uint64_t base, uint64_t *generation);

#endif

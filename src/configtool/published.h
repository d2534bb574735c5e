#ifndef CONFIGTOOL_PUBLISHED_H
#define CONFIGTOOL_PUBLISHED_H

#include <stdio.h>

#include "config/config.h"

/* Reading and publishing the configuration in the platform's log.  Whether a
   publication takes effect is decided by config/follower.h, as on the routers.
   LOG_URL is the base URL of the log service.  */

/* The configuration in force.  */
struct ms_published
{
  uint64_t generation; /* 0 if there is none.  */
  char *text;          /* The YAML, owned; NULL if there is none.  */
  size_t length;
};

/* Read the log and set *PUBLISHED, which ms_published_clear empties.  On
   failure return the status of the log client.  */
enum ms_status ms_published_read (const char *log_url,
                                  struct ms_published *published);

/* Free what PUBLISHED owns.  */
void ms_published_clear (struct ms_published *published);

/* Print the differences from PUBLISHED to CONFIG to FILE, one line each.
   Return their number; 1 if nothing is published.  */
unsigned ms_published_diff (const struct ms_published *published,
                            const struct ms_config *config, FILE *file);

/* Publish CONFIG, based on generation BASE, and read the log back to see
   whether it took effect.  Set *GENERATION to its generation.  Return
   MS_CONFLICT if BASE was not in force, usually because another publication
   was first, or MS_UNAVAILABLE if the log did not answer in time: then the
   publication may or may not have taken effect.  */
enum ms_status ms_publish (const char *log_url, const struct ms_config *config,
                           uint64_t base, uint64_t *generation);

#endif

#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

/* Process-wide counters, printed in the Prometheus text format.  */
enum ms_metric
{
  MS_M_ACCEPTED,
  MS_M_ANSWERED,
  MS_M_NOT_RUN,
  MS_M_FAILED,
  MS_M_UNKNOWN,
  MS_M_ATTEMPTS,
  MS_M_RETRIES,
  MS_M_GRANTS,
  MS_M_GRANTS_DECLINED,
  MS_M_PEER_MESSAGES,
  MS_M_PEER_BYTES,
  MS_M_PEER_DROPPED,
  MS_M_APPENDS,
  MS_M_APPEND_ERRORS,
  MS_M_CONFIG_ACCEPTED,
  MS_M_CONFIG_REFUSED,
  MS_M_COUNT
};

void ms_count (enum ms_metric metric, uint64_t amount);
uint64_t ms_counter (enum ms_metric metric);

/* Print all counters into TEXT; return the length, below SIZE.  */
size_t ms_metrics_print (char *text, size_t size);

#endif

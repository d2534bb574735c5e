#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

/* Counters of the whole process since its start, printed in the Prometheus
   text format.  All functions are thread-safe.  */

enum ms_metric
{
  MS_M_ACCEPTED, /* Requests; the next four say how they ended.  */
  MS_M_ANSWERED,
  MS_M_NOT_RUN, /* No endpoint ran any part of it.  */
  MS_M_FAILED,  /* It ran, or may have, without a whole answer.  */
  MS_M_UNKNOWN, /* It may have run; its effect is unknown.  */
  MS_M_ATTEMPTS,
  MS_M_RETRIES,
  MS_M_GRANTS, /* Received.  */
  MS_M_GRANTS_DECLINED,
  MS_M_PEER_MESSAGES, /* Sent.  */
  MS_M_PEER_BYTES,    /* Sent.  */
  MS_M_PEER_DROPPED,
  MS_M_APPENDS, /* Records appended to the log.  */
  MS_M_APPEND_ERRORS,
  MS_M_CONFIG_ACCEPTED,
  MS_M_CONFIG_REFUSED,
  MS_M_COUNT
};

/* Add AMOUNT to counter METRIC.  */
void ms_count (enum ms_metric metric, uint64_t amount);

/* The value of counter METRIC.  */
uint64_t ms_counter (enum ms_metric metric);

/* Print all counters and a NUL into TEXT, which has room for SIZE bytes;
   counters that do not fit are left out.  Return the length without NUL.  */
size_t ms_metrics_print (char *text, size_t size);

#endif

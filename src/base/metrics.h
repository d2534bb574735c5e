#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

/* Counters of the whole process since its start, printed in the Prometheus
   text format.  All functions are thread-safe.  */

enum ms_metric
{
  MS_M_ACCEPTED, /* Requests passed to the node, also those that it refuses;
                    the next four count their outcomes, which enum ms_outcome
                    describes.  */
  MS_M_ANSWERED,
  MS_M_NOT_RUN,
  MS_M_FAILED,
  MS_M_UNKNOWN,
  MS_M_ATTEMPTS,
  MS_M_RETRIES,
  MS_M_GRANTS,          /* Received by this router; repeats not counted.  */
  MS_M_GRANTS_DECLINED, /* Negative replies of this router to grants.  */
  MS_M_PEER_MESSAGES,   /* Sent.  */
  MS_M_PEER_BYTES,      /* Sent.  */
  MS_M_PEER_DROPPED,    /* Messages that could not be sent.  */
  MS_M_APPENDS,         /* Appends to the log tried, failed ones included.  */
  MS_M_APPEND_ERRORS,   /* Appends that failed or found the queue full.  */
  MS_M_CONFIG_ACCEPTED,
  MS_M_CONFIG_REFUSED,
  MS_M_COUNT
};

/* Add AMOUNT to counter METRIC.  */
void ms_count (enum ms_metric metric, uint64_t amount);

/* The value of counter METRIC.  */
uint64_t ms_counter (enum ms_metric metric);

/* Print all counters and a NUL into TEXT, an array of SIZE bytes.  Return the
   length without the NUL.  If not all counters fit, the length covers those
   that do, and part of the next one follows it.  */
size_t ms_metrics_print (char *text, size_t size);

#endif

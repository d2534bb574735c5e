#ifndef GATEWAY_METRICS_H
#define GATEWAY_METRICS_H

#include <stddef.h>

#include "base/clock.h"

/* Counters and latency histograms of this process, in the Prometheus text
   format.  */

enum ms_result_metric
{
  MS_RESULT_ANSWERED,
  MS_RESULT_REFUSED, /* Not run: the caller is told when to come back.  */
  MS_RESULT_FAILED,
  MS_RESULT_BROKEN_OFF,
  MS_RESULT_CALLER_GONE,
  MS_RESULTS
};

enum ms_latency_metric
{
  MS_LATENCY_WAIT,  /* From arrival until sent to an endpoint.  */
  MS_LATENCY_FIRST, /* From arrival until the answer began.  */
  MS_LATENCY_TOTAL, /* From arrival until the answer was complete.  */
  MS_LATENCIES
};

void ms_metric_result (enum ms_result_metric result);
void ms_metric_attempt (void);
void ms_metric_retry (void);
void ms_metric_latency (enum ms_latency_metric latency, ms_time took);

/* Values that are read when the page is made.  */
struct ms_metric_gauges
{
  unsigned requests;
  unsigned sockets;
  unsigned endpoints;
  unsigned routers;
  unsigned long long config_version;
  double config_age_s;
  double endpoints_age_s;
  double share_level;
};

/* Print all into TEXT; returns the length, below SIZE.  */
size_t ms_metrics_page (const struct ms_metric_gauges *gauges, char *text,
                        size_t size);

#endif

#ifndef GATEWAY_METRICS_H
#define GATEWAY_METRICS_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "admit/returns.h"
#include "place/place.h"

/* Request counters and latency histograms of this process, printed in the
   Prometheus text format.  Not thread-safe: for the event loop's thread.  */

/* Final results of requests.  Requests that are refused before their route and
   team are known are not counted: malformed ones, for example, and those
   without a route or with an unknown key.  */
enum ms_result_metric
{
  MS_RESULT_ANSWERED,
  MS_RESULT_REFUSED,    /* Not run; the response says when to retry.  */
  MS_RESULT_FAILED,     /* Any other error response of the gateway.  */
  MS_RESULT_BROKEN_OFF, /* Reset after part of a response was sent.  */
  MS_RESULT_CALLER_GONE,
  MS_RESULTS
};

enum ms_latency_metric
{
  MS_LATENCY_WAIT,       /* From arrival to the first send to an endpoint.  */
  MS_LATENCY_FIRST_BYTE, /* From arrival to the first byte of a response. */
  MS_LATENCY_TOTAL,      /* From arrival to the end, whatever the result.  */
  MS_LATENCIES
};

/* Count the final result of a request.  */
void ms_metric_result (enum ms_result_metric result);

/* Count a request that is sent to an endpoint.  */
void ms_metric_attempt (void);

/* Count the decision to try a request again after a failed attempt.  Not
   counted are retries after a server error that would otherwise be passed on
   to the caller.  */
void ms_metric_retry (void);

/* Count a request that is sent for a service with an order of a rollout: to an
   endpoint of the version that it names if ORDERED.  */
void ms_metric_rollout_sent (bool ordered);

/* Count an attempt that was not sent since a rollout no longer allowed it when
   the connection was made.  */
void ms_metric_rollout_withdrawn (void);

/* Count a change of a rollout's phase, or a state written to the store.  */
void ms_metric_rollout_change (void);
void ms_metric_rollout_write (void);

/* Count a stop of reading from an endpoint, or a caller that is ended, because
   room for responses is scarce.  */
void ms_metric_endpoint_pause (void);
void ms_metric_room_ended (void);

/* Count a response that reports the load of its endpoint; VALID unless a
   figure of it is not believed.  */
void ms_metric_server_load (bool valid);

/* Count a call of an endpoint's health page.  */
void ms_metric_endpoint_ask (void);

/* Add TOOK to the histogram of LATENCY.  */
void ms_metric_latency (enum ms_latency_metric latency, ms_time took);

/* Services whose learned speeds are printed at most.  */
#define MS_ENGINE_METRICS 16

/* Current values that ms_metrics_page prints along with the counters.  */
struct ms_metric_gauges
{
  unsigned requests;                 /* In progress.  */
  unsigned sockets;                  /* Open.  */
  unsigned endpoints;                /* Listed.  */
  unsigned long long responses_held; /* Bytes of responses in memory.  */
  unsigned failing;                  /* Plain endpoints that fail much more
                                        often than the others.  */
  unsigned routers;                  /* Alive, this one included.  */
  unsigned sharers; /* Routers among which fleet-wide limits are divided.  */
  unsigned long long config_version;
  bool config_in_force;   /* All of the newest configuration is.  */
  unsigned suspect_parts; /* Of prompts, under trial or in quarantine.  */
  unsigned rollouts;      /* Orders that have not ended.  */
  double config_age_s;    /* Since the read that confirmed it.  */
  double endpoints_age_s; /* Likewise, of the list of endpoints.  */
  double share_level;     /* Rate at which a team is admitted at most, in cost
                             units per second, although the name of the metric
                             says tokens; 0 while capacity is not scarce.  */
  const struct ms_crossing_count *crossings; /* Borrowed.  */
  unsigned crossings_count;
  const struct ms_returns_counts *returns; /* Borrowed; NULL while off.  */
  struct ms_engine_metric
  {
    const char *service; /* Borrowed.  */
    struct ms_engine_speed speed;
  } engines[MS_ENGINE_METRICS];
  unsigned engines_count;
  unsigned long long speeds_rejected;
};

/* Print all metrics into TEXT, cut off if they exceed SIZE bytes.  Return the
   length without the terminating NUL.  */
size_t ms_metrics_page (const struct ms_metric_gauges *gauges, char *text,
                        size_t size);

#endif

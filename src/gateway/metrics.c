#include "gateway/metrics.h"

#include <stdarg.h>
#include <stdio.h>

/* Upper bounds of the histogram buckets; one more bucket counts the rest.  */
static const double bucket_bounds_s[]
    = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 6, 15 };
#define BOUNDS_COUNT (sizeof bucket_bounds_s / sizeof *bucket_bounds_s)

struct histogram
{
  unsigned long long counts[BOUNDS_COUNT + 1]; /* Not cumulative.  */
  double sum_s;
};

static unsigned long long result_counts[MS_RESULTS];
static unsigned long long attempts_count;
static unsigned long long retries_count;
static unsigned long long rollout_sent_counts[2]; /* Index 1: ordered.  */
static unsigned long long rollout_withdrawn_count;
static unsigned long long rollout_changes_count;
static unsigned long long rollout_writes_count;
static unsigned long long endpoint_pauses_count;
static unsigned long long endpoint_asks_count;
static unsigned long long room_ended_count;
static unsigned long long server_load_counts[2]; /* Index 1: valid.  */
static struct histogram histograms[MS_LATENCIES];

static const char *const result_names[MS_RESULTS]
    = { "answered", "refused", "failed", "broken_off", "caller_gone" };
static const char *const latency_names[MS_LATENCIES]
    = { "wait", "first_byte", "total" };

void
ms_metric_result (enum ms_result_metric result)
{
  result_counts[result]++;
}

void
ms_metric_attempt (void)
{
  attempts_count++;
}

void
ms_metric_retry (void)
{
  retries_count++;
}

void
ms_metric_rollout_sent (bool ordered)
{
  rollout_sent_counts[ordered]++;
}

void
ms_metric_rollout_withdrawn (void)
{
  rollout_withdrawn_count++;
}

void
ms_metric_rollout_change (void)
{
  rollout_changes_count++;
}

void
ms_metric_rollout_write (void)
{
  rollout_writes_count++;
}

void
ms_metric_endpoint_ask (void)
{
  endpoint_asks_count++;
}

void
ms_metric_endpoint_pause (void)
{
  endpoint_pauses_count++;
}

void
ms_metric_room_ended (void)
{
  room_ended_count++;
}

void
ms_metric_server_load (bool valid)
{
  server_load_counts[valid]++;
}

void
ms_metric_latency (enum ms_latency_metric latency, ms_time took)
{
  struct histogram *h = &histograms[latency];
  double seconds = (double)took / MS_SEC;
  size_t i = 0;

  while (i < BOUNDS_COUNT && seconds > bucket_bounds_s[i])
    i++;
  h->counts[i]++;
  h->sum_s += seconds;
}

struct text_buffer
{
  char *text;
  size_t used;
  size_t size;
};

/* Append formatted text, cut off at the end of the buffer.  */
static void append (struct text_buffer *out, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
append (struct text_buffer *out, const char *format, ...)
{
  va_list args;
  int n;

  if (out->used + 1 >= out->size)
    return;
  va_start (args, format);
  n = vsnprintf (out->text + out->used, out->size - out->used, format, args);
  va_end (args);
  out->used += (size_t)n;
  if (out->used >= out->size)
    out->used = out->size - 1;
}

static void
print_histogram (struct text_buffer *out, const char *name,
                 const struct histogram *h)
{
  unsigned long long total = 0;

  append (out, "# TYPE monsoonspur_%s_seconds histogram\n", name);
  for (size_t i = 0; i <= BOUNDS_COUNT; i++)
    {
      total += h->counts[i];
      if (i < BOUNDS_COUNT)
        append (out, "monsoonspur_%s_seconds_bucket{le=\"%g\"} %llu\n", name,
                bucket_bounds_s[i], total);
      else
        append (out, "monsoonspur_%s_seconds_bucket{le=\"+Inf\"} %llu\n", name,
                total);
    }
  append (out, "monsoonspur_%s_seconds_sum %.6f\n", name, h->sum_s);
  append (out, "monsoonspur_%s_seconds_count %llu\n", name, total);
}

static void
print_crossings (struct text_buffer *out,
                 const struct ms_metric_gauges *gauges)
{
  const struct ms_crossing_count *counts = gauges->crossings;

  if (!gauges->crossings_count)
    return;
  append (out, "# TYPE monsoonspur_crossing_requests_total counter\n");
  for (unsigned i = 0; i < gauges->crossings_count; i++)
    append (out,
            "monsoonspur_crossing_requests_total{zone=\"%s\","
            "permit=\"yes\"} %llu\n"
            "monsoonspur_crossing_requests_total{zone=\"%s\","
            "permit=\"no\"} %llu\n",
            counts[i].name.data, (unsigned long long)counts[i].permitted,
            counts[i].name.data,
            (unsigned long long)(counts[i].requests - counts[i].permitted));
  append (out, "# TYPE monsoonspur_crossing_bytes_total counter\n");
  for (unsigned i = 0; i < gauges->crossings_count; i++)
    append (out, "monsoonspur_crossing_bytes_total{zone=\"%s\"} %llu\n",
            counts[i].name.data, (unsigned long long)counts[i].bytes);
}

static void
print_returns (struct text_buffer *out, const struct ms_returns_counts *counts)
{
  if (!counts)
    return;
  append (out,
          "# TYPE monsoonspur_returns_total counter\n"
          "monsoonspur_returns_total{event=\"promised\"} %llu\n"
          "monsoonspur_returns_total{event=\"claimed\"} %llu\n"
          "monsoonspur_returns_total{event=\"expired\"} %llu\n"
          "monsoonspur_returns_total{event=\"late\"} %llu\n"
          "monsoonspur_returns_total{event=\"implausible\"} %llu\n"
          "monsoonspur_returns_known %u\n",
          (unsigned long long)counts->promised,
          (unsigned long long)counts->claimed,
          (unsigned long long)counts->expired,
          (unsigned long long)counts->late,
          (unsigned long long)counts->implausible, counts->records);
}

static void
print_engines (struct text_buffer *out, const struct ms_metric_gauges *gauges)
{
  append (out, "monsoonspur_engine_reports_rejected_total %llu\n",
          gauges->speeds_rejected);
  for (unsigned i = 0; i < gauges->engines_count; i++)
    {
      const char *service = gauges->engines[i].service;
      const struct ms_engine_speed *s = &gauges->engines[i].speed;

      append (out,
              "monsoonspur_engine_tokens_per_ms{service=\"%s\"} %.2f\n"
              "monsoonspur_engine_token_ms{service=\"%s\"} %.3f\n"
              "monsoonspur_engine_token_ms_per_running{service=\"%s\"} %.4f\n"
              "monsoonspur_engine_least_factor{service=\"%s\"} %.3f\n"
              "monsoonspur_engine_greatest_factor{service=\"%s\"} %.3f\n",
              service, s->tokens_per_ms, service, s->token_ms, service,
              s->token_ms_per_running, service, s->min_factor, service,
              s->max_factor);
    }
}

size_t
ms_metrics_page (const struct ms_metric_gauges *gauges, char *text,
                 size_t size)
{
  struct text_buffer out = { text, 0, size };

  append (&out, "# TYPE monsoonspur_requests_total counter\n");
  for (int i = 0; i < MS_RESULTS; i++)
    append (&out, "monsoonspur_requests_total{result=\"%s\"} %llu\n",
            result_names[i], result_counts[i]);
  append (&out, "monsoonspur_attempts_total %llu\n", attempts_count);
  append (&out, "monsoonspur_retries_total %llu\n", retries_count);
  append (&out, "monsoonspur_requests_open %u\n", gauges->requests);
  append (&out, "monsoonspur_sockets_open %u\n", gauges->sockets);
  append (&out, "monsoonspur_endpoints_listed %u\n", gauges->endpoints);
  append (&out, "monsoonspur_routers_alive %u\n", gauges->routers);
  append (&out, "monsoonspur_routers_sharing %u\n", gauges->sharers);
  append (&out, "monsoonspur_suspect_parts %u\n", gauges->suspect_parts);
  append (&out, "monsoonspur_rollouts_running %u\n", gauges->rollouts);
  append (&out, "monsoonspur_rollout_sent_total{version=\"ordered\"} %llu\n",
          rollout_sent_counts[true]);
  append (&out, "monsoonspur_rollout_sent_total{version=\"others\"} %llu\n",
          rollout_sent_counts[false]);
  append (&out, "monsoonspur_rollout_withdrawn_total %llu\n",
          rollout_withdrawn_count);
  append (&out, "monsoonspur_rollout_changes_total %llu\n",
          rollout_changes_count);
  append (&out, "monsoonspur_rollout_writes_total %llu\n",
          rollout_writes_count);
  append (&out, "monsoonspur_responses_held_bytes %llu\n",
          gauges->responses_held);
  append (&out, "monsoonspur_endpoint_asks_total %llu\n", endpoint_asks_count);
  append (&out, "monsoonspur_endpoint_pauses_total %llu\n",
          endpoint_pauses_count);
  append (&out, "monsoonspur_room_ended_total %llu\n", room_ended_count);
  append (&out, "monsoonspur_server_load_total{valid=\"yes\"} %llu\n",
          server_load_counts[true]);
  append (&out, "monsoonspur_server_load_total{valid=\"no\"} %llu\n",
          server_load_counts[false]);
  append (&out, "monsoonspur_endpoints_failing %u\n", gauges->failing);
  append (&out, "monsoonspur_config_version %llu\n", gauges->config_version);
  append (&out, "monsoonspur_config_in_force %d\n", gauges->config_in_force);
  append (&out, "monsoonspur_config_age_seconds %.3f\n", gauges->config_age_s);
  append (&out, "monsoonspur_endpoints_age_seconds %.3f\n",
          gauges->endpoints_age_s);
  append (&out, "monsoonspur_share_level_tokens_per_second %.0f\n",
          gauges->share_level);
  print_crossings (&out, gauges);
  print_returns (&out, gauges->returns);
  print_engines (&out, gauges);
  for (int i = 0; i < MS_LATENCIES; i++)
    print_histogram (&out, latency_names[i], &histograms[i]);
  return out.used;
}

#include "gateway/metrics.h"

#include <stdarg.h>
#include <stdio.h>

static const double bounds_s[]
    = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 6, 15 };
#define BOUNDS (sizeof bounds_s / sizeof *bounds_s)

struct histogram
{
  unsigned long long counts[BOUNDS + 1];
  double sum_s;
};

static unsigned long long results[MS_RESULTS];
static unsigned long long attempts;
static unsigned long long retries;
static struct histogram histograms[MS_LATENCIES];

static const char *const result_names[MS_RESULTS]
    = { "answered", "refused", "failed", "broken_off", "caller_gone" };
static const char *const latency_names[MS_LATENCIES]
    = { "wait", "first_byte", "total" };

void
ms_metric_result (enum ms_result_metric result)
{
  results[result]++;
}

void
ms_metric_attempt (void)
{
  attempts++;
}

void
ms_metric_retry (void)
{
  retries++;
}

void
ms_metric_latency (enum ms_latency_metric latency, ms_time took)
{
  struct histogram *h = &histograms[latency];
  double seconds = (double)took / MS_SEC;
  size_t i = 0;

  while (i < BOUNDS && seconds > bounds_s[i])
    i++;
  h->counts[i]++;
  h->sum_s += seconds;
}

struct page
{
  char *text;
  size_t used;
  size_t size;
};

static void print (struct page *page, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
print (struct page *page, const char *format, ...)
{
  va_list args;
  int n;

  if (page->used + 1 >= page->size)
    return;
  va_start (args, format);
  n = vsnprintf (page->text + page->used, page->size - page->used, format,
                 args);
  va_end (args);
  page->used += (size_t)n;
  if (page->used >= page->size)
    page->used = page->size - 1;
}

static void
print_histogram (struct page *page, const char *name,
                 const struct histogram *h)
{
  unsigned long long total = 0;

  print (page, "# TYPE monsoonspur_%s_seconds histogram\n", name);
  for (size_t i = 0; i <= BOUNDS; i++)
    {
      total += h->counts[i];
      if (i < BOUNDS)
        print (page, "monsoonspur_%s_seconds_bucket{le=\"%g\"} %llu\n", name,
               bounds_s[i], total);
      else
        print (page, "monsoonspur_%s_seconds_bucket{le=\"+Inf\"} %llu\n", name,
               total);
    }
  print (page, "monsoonspur_%s_seconds_sum %.6f\n", name, h->sum_s);
  print (page, "monsoonspur_%s_seconds_count %llu\n", name, total);
}

size_t
ms_metrics_page (const struct ms_metric_gauges *gauges, char *text,
                 size_t size)
{
  struct page page = { text, 0, size };

  print (&page, "# TYPE monsoonspur_requests_total counter\n");
  for (int i = 0; i < MS_RESULTS; i++)
    print (&page, "monsoonspur_requests_total{result=\"%s\"} %llu\n",
           result_names[i], results[i]);
  print (&page, "monsoonspur_attempts_total %llu\n", attempts);
  print (&page, "monsoonspur_retries_total %llu\n", retries);
  print (&page, "monsoonspur_requests_open %u\n", gauges->requests);
  print (&page, "monsoonspur_sockets_open %u\n", gauges->sockets);
  print (&page, "monsoonspur_endpoints_listed %u\n", gauges->endpoints);
  print (&page, "monsoonspur_routers_alive %u\n", gauges->routers);
  print (&page, "monsoonspur_config_version %llu\n", gauges->config_version);
  print (&page, "monsoonspur_config_age_seconds %.3f\n", gauges->config_age_s);
  print (&page, "monsoonspur_endpoints_age_seconds %.3f\n",
         gauges->endpoints_age_s);
  print (&page, "monsoonspur_share_level_tokens_per_second %.0f\n",
         gauges->share_level);
  for (int i = 0; i < MS_LATENCIES; i++)
    print_histogram (&page, latency_names[i], &histograms[i]);
  return page.used;
}

#include "base/metrics.h"

#include <stdio.h>

static _Atomic uint64_t counters[MS_M_COUNT];

static const char *const names[MS_M_COUNT] = {
  [MS_M_ACCEPTED] = "requests_accepted_total",
  [MS_M_ANSWERED] = "requests_answered_total",
  [MS_M_NOT_RUN] = "requests_not_run_total",
  [MS_M_FAILED] = "requests_failed_total",
  [MS_M_UNKNOWN] = "requests_unknown_total",
  [MS_M_ATTEMPTS] = "attempts_total",
  [MS_M_RETRIES] = "retries_total",
  [MS_M_GRANTS] = "grants_total",
  [MS_M_GRANTS_DECLINED] = "grants_declined_total",
  [MS_M_PEER_MESSAGES] = "peer_messages_sent_total",
  [MS_M_PEER_BYTES] = "peer_bytes_sent_total",
  [MS_M_PEER_DROPPED] = "peer_messages_dropped_total",
  [MS_M_APPENDS] = "log_appends_total",
  [MS_M_APPEND_ERRORS] = "log_append_errors_total",
  [MS_M_CONFIG_ACCEPTED] = "configurations_accepted_total",
  [MS_M_CONFIG_REFUSED] = "configurations_refused_total",
};

void
ms_count (enum ms_metric metric, uint64_t amount)
{
  atomic_fetch_add_explicit (&counters[metric], amount, memory_order_relaxed);
}

uint64_t
ms_counter (enum ms_metric metric)
{
  return atomic_load_explicit (&counters[metric], memory_order_relaxed);
}

size_t
ms_metrics_print (char *text, size_t size)
{
  size_t used = 0;

  for (int i = 0; i < MS_M_COUNT && used < size; i++)
    {
      int n
          = snprintf (text + used, size - used,
                      "# TYPE monsoonspur_%s counter\nmonsoonspur_%s %llu\n",
                      names[i], names[i], (unsigned long long)ms_counter (i));

      if (n < 0 || (size_t)n >= size - used)
        break;
      used += (size_t)n;
    }
  return used;
}

#include "base/alloc.h"
#include "replay/check.h"

#include <stdlib.h>
#include <string.h>

#include "replay/internal.h"

/* Seconds that derived_gap_bound allows for a router's newest totals to reach
   the others: a period of sharing (1 s, dispatch/totals.c), a tick (20 ms) and
   10 ms for the message.  */
#define SHARE_DELAY_S 1.03

/* Value of a statistic that a trace names in a line "expect".  */
struct value
{
  double number;
  /* For a count of calls, when the first of them (by index) ended, or was sent
     if it hasn't ended; for cold_over, the first start that stats.cold_over
     counts; else 0.  */
  ms_time first_at;
  bool known; /* The statistic's name is valid.  */
};

/* Whether CALL matches the filters of LINE: team, not_team, service, class,
   and from and to, which limit the time it was sent (ms).  */
static bool
call_matches (const struct world *world, const struct world_call *call,
              const struct trace_line *line)
{
  const char *team = trace_value (line, "team");
  const char *other = trace_value (line, "not_team");
  const char *service = trace_value (line, "service");
  const char *lane = trace_value (line, "class");
  double from = trace_number (line, "from", 0) * MS_MSEC;
  double to = trace_number (line, "to", 1e12) * MS_MSEC;

  if (team && world_find_team (world, team) != call->team)
    return false;
  if (other && world_find_team (world, other) == call->team)
    return false;
  if (service
      && world_find_service (world, ms_id (ms_str (service))) != call->service)
    return false;
  if (lane
      && (strcmp (lane, "long") == 0) != (call->arrival.lane == MS_LANE_LONG))
    return false;
  return (double)call->sent_at >= from && (double)call->sent_at <= to;
}

typedef bool call_test (const struct world *world,
                        const struct world_call *call);

/* The caller got neither an answer nor a broken connection.  */
static bool
is_lost (const struct world *world, const struct world_call *call)
{
  (void)world;
  return !call->answers && !call->broken;
}

static bool
is_answered_twice (const struct world *world, const struct world_call *call)
{
  (void)world;
  return call->answers + call->broken > 1;
}

/* A non-idempotent request ran more than once, all its calls together.  True
   only for the first of them, so that a request is counted once.  */
static bool
is_double (const struct world *world, const struct world_call *call)
{
  return !call->arrival.idempotent && call == &world->calls[call->original]
         && call->runs_all_sends > 1;
}

/* Answered as "not run", although an endpoint began to run it.  */
static bool
is_false_refusal (const struct world *world, const struct world_call *call)
{
  (void)world;
  return call->answers && call->outcome == MS_NOT_RUN && call->runs;
}

static bool
is_sent (const struct world *world, const struct world_call *call)
{
  (void)world;
  (void)call;
  return true;
}

static bool
is_answered (const struct world *world, const struct world_call *call)
{
  (void)world;
  return call->answers && call->outcome == MS_ANSWERED;
}

static bool
is_refused (const struct world *world, const struct world_call *call)
{
  (void)world;
  return call->answers && call->outcome == MS_NOT_RUN;
}

/* Refused for a full queue, but not at once: more than 20 ms (a tick) after it
   was sent.  */
static bool
is_refused_late (const struct world *world, const struct world_call *call)
{
  (void)world;
  return call->answers && call->outcome == MS_NOT_RUN
         && call->reason == MS_REASON_QUEUE_FULL
         && call->ended_at > call->sent_at + 20 * MS_MSEC;
}

/* Refused for a full queue without a time to retry after.  */
static bool
is_refused_without_time (const struct world *world,
                         const struct world_call *call)
{
  (void)world;
  return call->answers && call->outcome == MS_NOT_RUN
         && call->reason == MS_REASON_QUEUE_FULL && !call->retry_after;
}

static bool
is_failed (const struct world *world, const struct world_call *call)
{
  (void)world;
  return call->answers && call->outcome == MS_FAILED;
}

static bool
is_unknown (const struct world *world, const struct world_call *call)
{
  (void)world;
  return call->answers && call->outcome == MS_UNKNOWN;
}

static bool
is_broken (const struct world *world, const struct world_call *call)
{
  (void)world;
  return call->broken;
}

static const struct
{
  const char *name;
  call_test *test;
} call_counts[] = { { "lost", is_lost },
                    { "answered_twice", is_answered_twice },
                    { "double", is_double },
                    { "false_refusals", is_false_refusal },
                    { "sent", is_sent },
                    { "answered", is_answered },
                    { "refused", is_refused },
                    { "refused_late", is_refused_late },
                    { "refused_without_time", is_refused_without_time },
                    { "failed", is_failed },
                    { "unknown", is_unknown },
                    { "broken", is_broken } };

/* Count the calls that match LINE and pass TEST.  */
static struct value
count_calls (const struct world *world, const struct trace_line *line,
             call_test *test)
{
  struct value value = { .known = true };

  for (size_t i = 0; i < world->calls_count; i++)
    {
      const struct world_call *call = &world->calls[i];

      if (!call_matches (world, call, line) || !test (world, call))
        continue;
      if (!value.number)
        value.first_at = call->ended_at ? call->ended_at : call->sent_at;
      value.number++;
    }
  return value;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

/* Return the QUANTILE (0 to 1) of the time in milliseconds from a call's
   sending to its first start, over the calls that LINE matches, or all if it
   is NULL.  A call that never started waited until its end, or until now.  */
static double
wait_quantile (const struct world *world, const struct trace_line *line,
               double quantile)
{
  double *waits = ms_new_array (world->calls_count + 1, sizeof *waits);
  size_t count = 0;
  double result = 0;

  for (size_t i = 0; i < world->calls_count; i++)
    {
      const struct world_call *call = &world->calls[i];
      ms_time end = call->first_start;

      if (line && !call_matches (world, call, line))
        continue;
      if (end < 0)
        end = call->ended_at ? call->ended_at : world->now;
      waits[count++] = (double)(end - call->sent_at) / (double)MS_MSEC;
    }
  qsort (waits, count, sizeof *waits, compare_doubles);
  if (count)
    result = waits[(size_t)((double)(count - 1) * quantile)];
  free (waits);
  return result;
}

/* Return the number of starts beyond the cold limit.  "grace" in LINE, in ms
   and rounded down to 100 ms, leaves out those that came within this time
   after the begin of an unannounced cold start.  */
static unsigned
cold_over (const struct world *world, const struct trace_line *line)
{
  unsigned grace = (unsigned)(trace_number (line, "grace", 0) / 100);
  unsigned count = world->stats.cold_over;

  for (unsigned i = grace; i < 64; i++)
    count += world->stats.cold_over_unannounced[i];
  return count;
}

/* Return the fairness gap of the service that LINE names, else the largest of
   any service.  LINE may be NULL.  */
static double
largest_gap (const struct world *world, const struct trace_line *line)
{
  const char *service = line ? trace_value (line, "service") : NULL;
  double gap = 0;

  for (unsigned s = 0; s < world->config->services_count; s++)
    if ((!service || strcmp (service, world->config->services[s].name) == 0)
        && world->stats.gap[s] > gap)
      gap = world->stats.gap[s];
  return gap;
}

/* Return the utilisation of the service that LINE names, else the lowest of
   any service; 1 if no work waited.  LINE may be NULL.  */
static double
least_utilisation (const struct world *world, const struct trace_line *line)
{
  const char *service = line ? trace_value (line, "service") : NULL;
  double least = 1;

  for (unsigned s = 0; s < world->config->services_count; s++)
    {
      const struct world_stats *stats = &world->stats;

      if (!stats->usable_slots[s]
          || (service
              && strcmp (service, world->config->services[s].name) != 0))
        continue;
      if (stats->busy_slots[s] / stats->usable_slots[s] < least)
        least = stats->busy_slots[s] / stats->usable_slots[s];
    }
  return least;
}

/* Bound on the fairness gap: twice the work in flight, which is at most all
   warm slots of a service times the largest request sent to it.  In cost
   units, not divided by a weight; the largest of any service.  */
static double
twice_work_in_flight (const struct world *world)
{
  double largest = 0;

  for (unsigned s = 0; s < world->config->services_count; s++)
    {
      double slots = 0;
      double cost = 0;

      for (unsigned i = 0; i < world->endpoints_count; i++)
        if (world->endpoints[i].service == (int)s)
          slots += world->endpoints[i].spec->warm_limit;
      for (size_t i = 0; i < world->calls_count; i++)
        if (world->calls[i].service == (int)s && world->calls[i].cost > cost)
          cost = world->calls[i].cost;
      if (2 * slots * cost > largest)
        largest = 2 * slots * cost;
    }
  return largest;
}

/* Bound on the fairness gap that docs/DESIGN.md derives: twice what the
   routers can charge to a team before its totals have reached all of them
   (the largest request, and SHARE_DELAY_S at the service's full rate), plus
   the mean work in flight.  In cost units, not divided by a weight; at most
   twice_work_in_flight.  */
static double
derived_gap_bound (const struct world *world)
{
  double bound = 0;

  for (unsigned s = 0; s < world->config->services_count; s++)
    {
      double largest = 0, sum = 0, sent = 0, slots = 0;
      double rate = 0; /* Cost units per second.  */

      for (unsigned i = 0; i < world->endpoints_count; i++)
        if (world->endpoints[i].service == (int)s)
          {
            double warm = world->endpoints[i].spec->warm_limit;

            slots += warm;
            rate += warm * (double)MS_SEC
                    / (double)world->endpoints[i].spec->unit_us;
          }
      for (size_t i = 0; i < world->calls_count; i++)
        if (world->calls[i].service == (int)s)
          {
            sent++;
            sum += world->calls[i].cost;
            if (world->calls[i].cost > largest)
              largest = world->calls[i].cost;
          }
      if (sent
          && 2 * (largest + rate * SHARE_DELAY_S) + slots * sum / sent > bound)
        bound = 2 * (largest + rate * SHARE_DELAY_S) + slots * sum / sent;
    }
  return bound < twice_work_in_flight (world) ? bound
                                              : twice_work_in_flight (world);
}

/* Return the mean number of bytes, or of messages if MESSAGES, that a router
   sent to other routers per second.  */
static double
control_rate (const struct world *world, bool messages)
{
  double sum = 0;

  for (unsigned i = 0; i < world->nodes_count; i++)
    sum += (double)(messages ? world->nodes[i].messages_sent
                             : world->nodes[i].bytes_sent);
  return sum / world->nodes_count / ((double)world->now / (double)MS_SEC);
}

/* Count routers that are up and do not have the accepted configuration in
   force.  */
static unsigned
count_behind (const struct world *world)
{
  unsigned count = 0;

  for (unsigned i = 0; i < world->nodes_count; i++)
    {
      const struct world_node *node = &world->nodes[i];

      count += node->node
               && (!ms_node_ready (node->node)
                   || node->generation != world->accepted_generation);
    }
  return count;
}

/* Value of a statistic that isn't a number of calls.  Times are in ms.  */
static struct value
stat_value (const struct world *world, const struct trace_line *line)
{
  const struct world_stats *stats = &world->stats;
  const char *kind = line->words[1];
  struct value v = { .known = true };

  if (strcmp (kind, "cold_over") == 0)
    {
      v.number = cold_over (world, line);
      v.first_at = stats->cold_over_first_at;
    }
  else if (strcmp (kind, "zone_late") == 0)
    v.number = (double)stats->zone_late / (double)MS_MSEC;
  else if (strcmp (kind, "leaving_late") == 0)
    v.number = (double)stats->leaving_late / (double)MS_MSEC;
  else if (strcmp (kind, "crashes") == 0)
    v.number = stats->crashes;
  else if (strcmp (kind, "reverted") == 0)
    v.number = stats->reverted;
  else if (strcmp (kind, "unaccepted") == 0)
    v.number = stats->unaccepted;
  else if (strcmp (kind, "behind") == 0)
    v.number = count_behind (world);
  else if (strcmp (kind, "accepted") == 0)
    v.number = stats->accepted;
  else if (strcmp (kind, "in_force") == 0)
    v.number = (double)(world->config_spread ? stats->in_force
                                             : world->now - world->accepted_at)
               / (double)MS_MSEC;
  else if (strcmp (kind, "drained") == 0)
    v.number = stats->drained;
  else if (strcmp (kind, "cut_by_drain") == 0)
    v.number = stats->cut_by_drain;
  else if (strcmp (kind, "gap") == 0)
    v.number = largest_gap (world, line);
  else if (strcmp (kind, "utilisation") == 0)
    v.number = least_utilisation (world, line);
  else if (strcmp (kind, "control_bytes") == 0)
    v.number = control_rate (world, false);
  else if (strcmp (kind, "wait99") == 0)
    v.number = wait_quantile (world, line, 0.99);
  else if (strcmp (kind, "wait_max") == 0)
    v.number = wait_quantile (world, line, 1);
  else
    v.known = false;
  return v;
}

static struct value
evaluate (const struct world *world, const struct trace_line *line)
{
  for (size_t i = 0; i < sizeof call_counts / sizeof *call_counts; i++)
    if (strcmp (call_counts[i].name, line->words[1]) == 0)
      return count_calls (world, line, call_counts[i].test);
  return stat_value (world, line);
}

/* Bound on the 99th percentile of the wait while TEAM floods the fleet, in ms:
   twice the same percentile without TEAM's requests, plus the time that the
   largest of the other requests runs; 0 if the run without TEAM fails.  */
static double
bound_without (const struct world *world, const struct trace_line *line,
               const char *team)
{
  struct world_options options = world->options;
  struct world *baseline;
  double longest = 0;
  double bound = 0;

  options.without_team = team;
  if (world_run_trace (world->trace, &options, &baseline) != MS_OK)
    return 0;
  for (size_t i = 0; i < baseline->calls_count; i++)
    {
      const struct world_call *call = &baseline->calls[i];
      double time = (double)call->cost
                    * (double)world->config->services[call->service].unit_us
                    / 1000;

      if (time > longest)
        longest = time;
    }
  bound = 2 * wait_quantile (baseline, line, 0.99) + longest;
  world_destroy (baseline);
  return bound;
}

/* The fourth word of an expectation: a name of a bound, or a number.  Any
   other text is 0.  */
static double
expected_bound (const struct world *world, const struct trace_line *line)
{
  const char *text = line->words[3];

  if (strcmp (text, "derived") == 0)
    return derived_gap_bound (world);
  if (strcmp (text, "2w") == 0)
    return twice_work_in_flight (world);
  if (strncmp (text, "without:", 8) == 0)
    return bound_without (world, line, text + 8);
  return strtod (text, NULL);
}

/* Whether VALUE RELATION BOUND is true; *KNOWN becomes false if RELATION
   isn't one of ==, <= and >=.  */
static bool
relation_holds (double value, const char *relation, double bound, bool *known)
{
  *known = true;
  if (strcmp (relation, "==") == 0)
    return value == bound;
  if (strcmp (relation, "<=") == 0)
    return value <= bound;
  if (strcmp (relation, ">=") == 0)
    return value >= bound;
  *known = false;
  return false;
}

unsigned
check_expectations (const struct world *world, FILE *file,
                    enum ms_status *status)
{
  const struct trace *trace = world->trace;
  unsigned unmet = 0;

  *status = MS_OK;
  for (unsigned i = 0; i < trace->expects_count; i++)
    {
      const struct trace_line *line = &trace->expects[i];
      struct value value = evaluate (world, line);
      bool known = false;
      double bound;

      if (line->words_count < 4 || !value.known)
        {
          *status = ms_fail (MS_INVALID,
                             "%s: line %u: the expectation is not known",
                             trace->path, line->number);
          return unmet;
        }
      bound = expected_bound (world, line);
      if (relation_holds (value.number, line->words[2], bound, &known))
        continue;
      if (!known)
        {
          *status = ms_fail (MS_INVALID,
                             "%s: line %u: use ==, <= or >=", trace->path,
                             line->number);
          return unmet;
        }
      unmet++;
      fprintf (file, "%s: line %u: %s is %g, expected %s %g", trace->path,
               line->number, line->words[1], value.number, line->words[2],
               bound);
      if (value.first_at)
        fprintf (file, "; first at %.1f ms",
                 (double)value.first_at / (double)MS_MSEC);
      fputc ('\n', file);
    }
  return unmet;
}

struct measures
check_measures (const struct world *world)
{
  struct measures measures
      = { .gap = largest_gap (world, NULL),
          .gap_bound = twice_work_in_flight (world),
          .utilisation = least_utilisation (world, NULL),
          .control_bytes = control_rate (world, false),
          .control_messages = control_rate (world, true),
          .wait99_ms = wait_quantile (world, NULL, 0.99) };
  size_t answered = 0;

  for (size_t i = 0; i < world->calls_count; i++)
    answered += is_answered (world, &world->calls[i]);
  if (world->calls_count)
    measures.answered_share = (double)answered / (double)world->calls_count;
  return measures;
}

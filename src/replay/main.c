#include <argp.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/log.h"
#include "base/switches.h"
#include "base/version.h"
#include "journal/journal.h"
#include "replay/extract.h"
#include "replay/check.h"

#define MAX_POLICIES 8

static const char doc[]
    = "Replay traces against their stated outcomes.\v"
      "With more than one --policy the arrivals are replayed under each and "
      "the measures printed side by side.\n"
      "Exit status: 0 all outcomes met, 1 some not, 2 bad input.";

enum
{
  EXIT_UNMET = 1,
  EXIT_BAD_INPUT = 2
};

enum
{
  KEY_JSON = 256, /* No character, so that there is no short option.  */
  KEY_SEED
};

static const struct argp_option options[]
    = { { "policy", 'p', "NAME", 0, "fair, first_come or deficit", 0 },
        { "without", 'w', "MECHANISM", 0, "Switch a mechanism off", 0 },
        { "json", KEY_JSON, NULL, 0, "Print the measures as JSON", 0 },
        { "seed", KEY_SEED, "N", 0, "Use seed N, not the trace's", 0 },
        { "measure", 'm', NULL, 0, "Print the measures", 0 },
        { "journal", 'j', "FILE", 0,
          "Replay what a router recorded; compare the effects", 0 },
        { "extract", 'x', "FILE", 0,
          "Print the arrivals of a journal as a trace", 0 },
        { "verbose", 'v', NULL, 0, "Log routers and simulation", 0 },
        { 0 } };

struct arguments
{
  const char *policies[MAX_POLICIES];
  unsigned policies_count;
  char **traces;
  int traces_count;
  uint64_t seed;
  bool json;
  bool measure;
  bool verbose;
  const char *journal;
  const char *extract;
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 'p':
      if (arguments->policies_count == MAX_POLICIES)
        argp_error (state, "too many policies");
      else
        arguments->policies[arguments->policies_count++] = arg;
      return 0;
    case 'w':
      if (ms_switch_off (arg) != MS_OK)
        argp_error (state, "%s", ms_last_message ());
      return 0;
    case 'j':
      arguments->journal = arg;
      return 0;
    case 'x':
      arguments->extract = arg;
      return 0;
    case 'm':
      arguments->measure = true;
      return 0;
    case 'v':
      ms_log_threshold (MS_DEBUG);
      arguments->verbose = true;
      return 0;
    case KEY_JSON:
      arguments->json = true;
      return 0;
    case KEY_SEED:
      arguments->seed = strtoull (arg, NULL, 10);
      return 0;
    case ARGP_KEY_ARGS:
      arguments->traces = state->argv + state->next;
      arguments->traces_count = state->argc - state->next;
      return 0;
    case ARGP_KEY_NO_ARGS:
      if (!arguments->journal && !arguments->extract)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
print_table (const char *policy, const struct measures *m)
{
  printf ("%-12s %10.0f %10.0f %8.3f %10.0f %9.1f %10.1f %8.3f\n", policy,
          m->gap, m->gap_bound, m->utilisation, m->control_bytes,
          m->control_messages, m->wait99_ms, m->answered_share);
}

static void
print_json (const char *trace, const char *policy, const struct measures *m)
{
  json_t *object = json_pack (
      "{s:s,s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f}", "trace", trace, "policy",
      policy, "gap", m->gap, "gap_bound", m->gap_bound, "utilisation",
      m->utilisation, "control_bytes", m->control_bytes, "control_messages",
      m->control_messages, "wait99_ms", m->wait99_ms, "answered_share",
      m->answered_share);
  char *text = json_dumps (object, JSON_COMPACT | JSON_REAL_PRECISION (6));

  puts (text);
  free (text);
  json_decref (object);
}

/* Print the rates of messages between routers, by kind (enum peer_kind); those
   of print_table are per router, these of all routers together.  */
static void
print_message_kinds (const struct world *world)
{
  /* Indexed by enum peer_kind.  */
  static const char *const names[16]
      = { "",      "probe",  "probe-ack",   "demand",   "grant",
          "reply", "done",   "running",     "idle",     "totals",
          "want",  "config", "config-part", "handover", "death" };
  double seconds = (double)world->now / (double)MS_SEC;

  for (int i = 1; i < 15; i++)
    printf ("  %-12s %8.1f messages/s %8.0f bytes/s\n", names[i],
            (double)world->stats.kind_messages[i] / seconds,
            (double)world->stats.kind_bytes[i] / seconds);
}

/* Run TRACE under POLICY.  Print the expectations that aren't met, and the
   measures if an option asks for them.  Return the exit status.  */
static int
replay_trace (const struct arguments *arguments, const struct trace *trace,
              const char *policy)
{
  struct world_options world_options
      = { .policy = policy,
          .seed = arguments->seed,
          .verbose = arguments->verbose ? stderr : NULL };
  struct measures measures;
  struct world *world;
  enum ms_status status;
  unsigned unmet;

  if (world_run_trace (trace, &world_options, &world) != MS_OK)
    return EXIT_BAD_INPUT;
  unmet = check_expectations (world, stdout, &status);
  if (arguments->measure || arguments->json)
    {
      measures = check_measures (world);
      if (arguments->json)
        print_json (trace->path, policy, &measures);
      else
        {
          print_table (policy, &measures);
          if (arguments->verbose)
            print_message_kinds (world);
        }
    }
  world_destroy (world);
  if (status != MS_OK)
    return EXIT_BAD_INPUT;
  return unmet ? EXIT_UNMET : 0;
}

/* Run the trace at PATH under each policy.  Return the worst exit status.  */
static int
replay_file (const struct arguments *arguments, const char *path)
{
  struct trace *trace;
  int worst = 0;

  if (trace_load (path, &trace) != MS_OK)
    return EXIT_BAD_INPUT;
  for (unsigned i = 0; i < arguments->policies_count && worst < EXIT_BAD_INPUT;
       i++)
    {
      int code = replay_trace (arguments, trace, arguments->policies[i]);

      worst = code > worst ? code : worst;
    }
  trace_destroy (trace);
  return worst;
}

static int
replay_journal (const char *path)
{
  struct ms_journal_result result;
  enum ms_status status = ms_journal_replay (path, &result);

  printf ("%s: %u events, %u effects compared\n", path, result.events,
          result.effects);
  if (status == MS_OK)
    return 0;
  fprintf (stderr, "monsoonspur-replay: %s\n", ms_last_message ());
  return status == MS_CONFLICT ? EXIT_UNMET : EXIT_BAD_INPUT;
}

int
main (int argc, char **argv)
{
  const struct argp argp
      = { options, parse_option, "TRACE...", doc, NULL, NULL, NULL };
  struct arguments arguments = { 0 };
  int passed = 0;
  int failed = 0;

  argp_program_version = MS_VERSION_TEXT ("monsoonspur-replay");
  ms_log_threshold (MS_ERROR);
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  if (arguments.extract)
    {
      if (extract_trace (arguments.extract, stdout) == MS_OK)
        return 0;
      fprintf (stderr, "monsoonspur-replay: %s\n", ms_last_message ());
      return EXIT_BAD_INPUT;
    }
  if (arguments.journal)
    return replay_journal (arguments.journal);
  if (!arguments.policies_count)
    arguments.policies[arguments.policies_count++] = "fair";
  if (arguments.measure)
    printf ("%-12s %10s %10s %8s %10s %9s %10s %8s\n", "policy", "gap",
            "bound", "use", "bytes/s", "msgs/s", "wait99_ms", "answered");
  for (int i = 0; i < arguments.traces_count; i++)
    {
      int code = replay_file (&arguments, arguments.traces[i]);

      if (code == EXIT_BAD_INPUT)
        {
          fprintf (stderr, "monsoonspur-replay: %s\n", ms_last_message ());
          return EXIT_BAD_INPUT;
        }
      if (code)
        failed++;
      else
        passed++;
      if (!arguments.json)
        printf ("%s %s\n", code ? "FAILED" : "ok", arguments.traces[i]);
    }
  if (!arguments.json)
    printf ("%d passed, %d failed\n", passed, failed);
  return failed ? EXIT_UNMET : 0;
}

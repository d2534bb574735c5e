#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/file.h"
#include "base/version.h"
#include "configtool/published.h"

static const char doc[]
    = "Check, print, compare and publish configurations.\v"
      "Commands:\n"
      "  check FILE          parse and check FILE\n"
      "  print               print the configuration in force\n"
      "  diff FILE           compare FILE with the configuration in force\n"
      "  publish FILE        publish FILE\n"
      "Exit status: 0 done, 1 differs, 2 bad input, 3 another publication "
      "was first, 4 the log did not answer.";

/* Bad options and a missing command end the process with status 64 (argp).  */
enum
{
  EXIT_DIFFERS = 1,   /* Of the command diff.  */
  EXIT_BAD_INPUT = 2, /* A bad file or an unknown command.  */
  EXIT_LOST_RACE = 3, /* Another publication was first.  */
  EXIT_NO_LOG = 4     /* The log service failed or did not answer.  */
};

static const struct argp_option options[]
    = { { "log", 'l', "URL", 0, "The platform's log service", 0 },
        { "based-on", 'b', "GENERATION", 0,
          "Publish only if this generation is in force", 0 },
        { 0 } };

struct arguments
{
  const char *log_url;
  const char *command;
  const char *file;
  uint64_t based_on;
  bool has_based_on;
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 'l':
      arguments->log_url = arg;
      return 0;
    case 'b':
      arguments->based_on = strtoull (arg, NULL, 10);
      arguments->has_based_on = true;
      return 0;
    case ARGP_KEY_ARG:
      if (state->arg_num == 0)
        arguments->command = arg;
      else if (state->arg_num == 1)
        arguments->file = arg;
      else
        argp_usage (state);
      return 0;
    case ARGP_KEY_END:
      if (!arguments->command)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Print the last failure's message; return CODE, the exit status.  */
static int
print_failure (int code)
{
  fprintf (stderr, "monsoonspur-config: %s\n", ms_last_message ());
  return code;
}

/* Read and check FILE.  Return NULL on failure; ms_last_message has the
   reason.  */
static struct ms_config *
load_config (const char *file)
{
  struct ms_config *config = NULL;
  struct ms_str text;
  char *data;
  size_t length;

  if (!file)
    {
      ms_fail (MS_INVALID, "the command needs a FILE");
      return NULL;
    }
  if (ms_file_read (file, &data, &length) != MS_OK)
    return NULL;
  text = (struct ms_str){ data, length };
  ms_config_parse (text, file, &config);
  free (data);
  return config;
}

static int
run_print (const struct arguments *arguments)
{
  struct ms_published published;

  if (ms_published_read (arguments->log_url, &published) != MS_OK)
    return print_failure (EXIT_NO_LOG);
  printf ("# generation: %llu\n%.*s", (unsigned long long)published.generation,
          (int)published.length, published.text ? published.text : "");
  ms_published_clear (&published);
  return 0;
}

static int
run_diff (const struct arguments *arguments)
{
  struct ms_config *config = load_config (arguments->file);
  struct ms_published published;
  unsigned differences;

  if (!config)
    return print_failure (EXIT_BAD_INPUT);
  if (ms_published_read (arguments->log_url, &published) != MS_OK)
    {
      ms_config_destroy (config);
      return print_failure (EXIT_NO_LOG);
    }
  differences = ms_published_diff (&published, config, stdout);
  ms_published_clear (&published);
  ms_config_destroy (config);
  return differences ? EXIT_DIFFERS : 0;
}

static int
run_publish (const struct arguments *arguments)
{
  struct ms_config *config = load_config (arguments->file);
  uint64_t base = arguments->based_on;
  uint64_t generation = 0;
  enum ms_status status = MS_OK;

  if (!config)
    return print_failure (EXIT_BAD_INPUT);
  if (!arguments->has_based_on)
    {
      struct ms_published published;

      status = ms_published_read (arguments->log_url, &published);
      if (status == MS_OK)
        {
          base = published.generation;
          ms_published_clear (&published);
        }
    }
  if (status == MS_OK)
    status = ms_publish (arguments->log_url, config, base, &generation);
  ms_config_destroy (config);
  if (status == MS_CONFLICT)
    return print_failure (EXIT_LOST_RACE);
  if (status != MS_OK)
    return print_failure (EXIT_NO_LOG);
  printf ("published generation=%llu based_on=%llu\n",
          (unsigned long long)generation, (unsigned long long)base);
  return 0;
}

static int
run_check (const struct arguments *arguments)
{
  struct ms_config *config = load_config (arguments->file);

  if (!config)
    return print_failure (EXIT_BAD_INPUT);
  printf ("%s: %u availability zones, %u teams, %u services\n",
          arguments->file, config->zones_count, config->teams_count,
          config->services_count);
  ms_config_destroy (config);
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    int (*run) (const struct arguments *);
  } commands[] = { { "check", run_check },
                   { "print", run_print },
                   { "diff", run_diff },
                   { "publish", run_publish } };
  const struct argp argp
      = { options, parse_option, "COMMAND [FILE]", doc, NULL, NULL, NULL };
  struct arguments arguments = { .log_url = "http://127.0.0.1:7000" };

  argp_program_version = MS_VERSION_TEXT ("monsoonspur-config");
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    if (strcmp (commands[i].name, arguments.command) == 0)
      return commands[i].run (&arguments);
  ms_fail (MS_INVALID, "command \"%s\" is not known", arguments.command);
  return print_failure (EXIT_BAD_INPUT);
}

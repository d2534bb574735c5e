#include <argp.h>
#include <curl/curl.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "base/version.h"
#include "ctl/explain.h"
#include "http/client.h"

#define TIMEOUT_MS 5000 /* For the router's whole answer.  */
#define URL_BYTES 512

static const char doc[]
    = "Look into a router, or drain it.\v"
      "Commands:\n"
      "  status              what the router knows and holds\n"
      "  addresses           the routers a caller should use\n"
      "  metrics             its counters\n"
      "  explain REQUEST-ID  what became of a request and why\n"
      "  drain               finish what was accepted, then end\n"
      "Exit status: 0 done, 1 refused or not known, 2 bad usage, 4 no "
      "answer.";

/* Bad options and a missing command end the process with status 64 (argp).  */
enum
{
  EXIT_REFUSED = 1, /* The router answered with an error status.  */
  EXIT_USAGE = 2,   /* Unknown command or missing argument.  */
  EXIT_NO_ANSWER = 4
};

static const struct argp_option options[]
    = { { "router", 'r', "IP:PORT", 0, "The router's caller address", 0 },
        { "log", 'l', "FILE", 0,
          "Explain from a collected log of gateways instead", 0 },
        { "key", 'k', "KEY", 0, "The operator key, for drain", 0 },
        { 0 } };

struct arguments
{
  const char *router;   /* IP:PORT of its caller address.  */
  const char *log_path; /* Collected event lines, for explain; or NULL.  */
  const char *operator_key;
  const char *command;
  const char *argument; /* The request ID for explain, or NULL.  */
};

static const struct command
{
  const char *name;
  const char *method;
  const char *path;
  bool needs_argument;
} commands[] = { { "status", "GET", "/v1/status", false },
                 { "addresses", "GET", "/v1/addresses", false },
                 { "metrics", "GET", "/metrics", false },
                 { "explain", "GET", "/v1/explain/", true },
                 { "drain", "POST", "/v1/drain", false } };

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 'r':
      arguments->router = arg;
      return 0;
    case 'l':
      arguments->log_path = arg;
      return 0;
    case 'k':
      arguments->operator_key = arg;
      return 0;
    case ARGP_KEY_ARG:
      if (state->arg_num == 0)
        arguments->command = arg;
      else if (state->arg_num == 1)
        arguments->argument = arg;
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

/* Send COMMAND to the router and print its answer; return the exit status.  */
static int
send_command (const struct command *command, const struct arguments *arguments)
{
  char url[URL_BYTES];
  struct ms_reply reply;
  enum ms_status status;
  int code;

  snprintf (url, sizeof url, "http://%s%s%s", arguments->router, command->path,
            command->needs_argument ? arguments->argument : "");
  status = ms_http_exchange_with_key (
      command->method, url, arguments->operator_key, TIMEOUT_MS, &reply);
  if (status != MS_OK)
    {
      fprintf (stderr, "monsoonspur-ctl: %s\n", ms_last_message ());
      return EXIT_NO_ANSWER;
    }
  fwrite (reply.body, 1, reply.length, stdout);
  if (reply.length && reply.body[reply.length - 1] != '\n')
    putchar ('\n');
  code = reply.code < 300 ? 0 : EXIT_REFUSED;
  ms_reply_clear (&reply);
  return code;
}

int
main (int argc, char **argv)
{
  const struct argp argp
      = { options, parse_option, "COMMAND [ARGUMENT]", doc, NULL, NULL, NULL };
  struct arguments arguments = { .router = "127.0.0.1:8101" };

  argp_program_version = MS_VERSION_TEXT ("monsoonspur-ctl");
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    {
      if (strcmp (commands[i].name, arguments.command) != 0)
        continue;
      if (commands[i].needs_argument && !arguments.argument)
        {
          fprintf (stderr, "monsoonspur-ctl: %s needs an argument\n",
                   arguments.command);
          return EXIT_USAGE;
        }
      if (arguments.log_path && strcmp (arguments.command, "explain") == 0)
        return ctl_explain_log (arguments.log_path, arguments.argument);
      return send_command (&commands[i], &arguments);
    }
  fprintf (stderr, "monsoonspur-ctl: command \"%s\" is not known\n",
           arguments.command);
  return EXIT_USAGE;
}

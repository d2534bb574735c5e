/* Case 10: settings change while a machine starts again.  */

#include "kit.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define GATEWAYS 3
#define ROLLED 2 /* Machines that are stopped and started in turn...  */
#define ROUNDS 3 /* ...so many times.  */

/* Between the end of a process and its next start.  */
#define RESTART_MS 300

/* From the start to the change of the settings, in microseconds.  */
#define EARLY_US 1000
#define LATE_US 2000000

static int base;
static bool trouble;
static const char *folder;
static pid_t pids[GATEWAYS];
static int ends[GATEWAYS]; /* Processes that ended by themselves.  */
static int slack = 58;

static bool
handle_runner (void *context, struct kit_conn *c, const struct kit_message *m)
{
  (void)context;
  (void)m;
  return kit_print (c->fd, "HTTP/1.1 200 OK\r\nX-Instance-Id: i-0\r\n"
                           "Content-Length: 0\r\n\r\n");
}

static void
settings_path (int number, char *path, size_t size)
{
  snprintf (path, size, "%s/gateway%d.yaml", folder, number + 1);
}

static void
start_gateway (int number)
{
  char settings[1024];
  char log[1024];
  pid_t pid;

  settings_path (number, settings, sizeof settings);
  snprintf (log, sizeof log, "%s/gateway%d.log", folder, number + 1);
  kit_record ("the platform starts gateway %d", number + 1);
  pid = fork ();
  if (pid == 0)
    {
      int fd;

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      dup2 (fd, 1);
      dup2 (fd, 2);
      setenv ("MONSOONSPUR_CONFIG", settings, 1);
      execl ("target/monsoonspur-gateway", "target/monsoonspur-gateway",
             (char *)NULL);
      _exit (127);
    }
  if (pid < 0)
    kit_cannot_run ("no process");
  pids[number] = pid;
}

/* Write the settings of gateway NUMBER again, with another retry_budget_slack,
   as the platform does: a new file takes the place of the old one.  */
static void
change_settings (int number)
{
  char path[1024];
  char next[1100];
  char line[512];
  FILE *in, *out;

  settings_path (number, path, sizeof path);
  snprintf (next, sizeof next, "%s.next", path);
  in = fopen (path, "r");
  out = fopen (next, "w");
  if (!in || !out)
    kit_cannot_run ("no settings");
  slack++;
  while (fgets (line, sizeof line, in))
    {
      if (strncmp (line, "retry_budget_slack:", 19) == 0)
        snprintf (line, sizeof line, "retry_budget_slack: %d\n", slack);
      fputs (line, out);
    }
  fclose (in);
  fclose (out);
  rename (next, path);
}

static void
await_ready (int number)
{
  char ip[32];

  snprintf (ip, sizeof ip, "127.0.0.3%d", number + 1);
  kit_await_ready (ip, base + 2);
}

/* Stop and start gateway NUMBER, and change its settings.  */
static void
roll (int number)
{
  int status = 0;

  kit_record ("the platform sends SIGTERM to gateway %d", number + 1);
  kill (pids[number], SIGTERM);
  if (waitpid (pids[number], &status, 0) < 0 || status)
    kit_cannot_run ("a planned stop failed");
  kit_sleep (RESTART_MS);
  start_gateway (number);
  usleep (trouble ? EARLY_US : LATE_US);
  change_settings (number);
  kit_record ("its settings change: SIGHUP to gateway %d", number + 1);
  kill (pids[number], SIGHUP);
  kit_sleep (500);
  if (waitpid (pids[number], &status, WNOHANG) == pids[number])
    {
      ends[number]++;
      kit_record ("gateway %d has ended by itself, by signal %d", number + 1,
                  WIFSIGNALED (status) ? WTERMSIG (status) : 0);
      kit_sleep (RESTART_MS);
      start_gateway (number);
    }
  await_ready (number);
}

int
main (int argc, char **argv)
{
  char path[1024];
  char text[512];
  int machines = 0;
  int all = 0;

  if (argc < 5)
    return 2;
  base = atoi (argv[1]);
  trouble = strcmp (argv[3], "0") != 0;
  folder = argv[4];
  snprintf (path, sizeof path, "%s/record.txt", argv[2]);
  kit_open_record (path);
  kit_store_start (base);
  kit_serve ("127.0.0.1", base + 10, handle_runner, NULL);
  snprintf (text, sizeof text,
            "{\"service\":\"pedidos\",\"address\":\"127.0.0.1:%d\","
            "\"zone\":\"sul-rs-a\",\"version\":\"v1\",\"slots\":6,"
            "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,"
            "\"born\":1700000000000}",
            base + 10);
  kit_store_put ("keyed.servers", "i-0", text);
  kit_store_put (
      "keyed.op", "config",
      "{\"version\":1,\"routes\":[{\"name\":\"order\",\"hostname\":\"h\","
      "\"path_prefix\":\"/order/\",\"route_kind\":\"non_idempotent\","
      "\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2,"
      "\"service\":\"pedidos\",\"max_attempts\":1,\"public\":false,"
      "\"sticky\":false,\"resumable\":false}],"
      "\"services\":[{\"name\":\"pedidos\",\"health_check_path\":\"/health\","
      "\"connection_limit\":110,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"]}]}");
  for (int i = 0; i < GATEWAYS; i++)
    start_gateway (i);
  for (int i = 0; i < GATEWAYS; i++)
    await_ready (i);
  for (int round = 0; round < ROUNDS; round++)
    for (int i = 0; i < ROLLED; i++)
      roll (i);
  for (int i = 0; i < GATEWAYS; i++)
    {
      machines += ends[i] >= 3;
      all += ends[i];
      kill (pids[i], SIGKILL);
      waitpid (pids[i], NULL, 0);
    }
  kit_record ("processes that ended by themselves: %d; machines with three or "
              "more: %d",
              all, machines);
  printf ("processes that ended by themselves: %d; machines with three or "
          "more: %d\n",
          all, machines);
  return machines >= 2 ? 1 : 0;
}

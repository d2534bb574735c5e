#include "fleet.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <err.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* Ports from the base on.  */
#define STORE_PORT 0
#define CALLER_PORT 1
#define ENGINE_PORT 20
#define ENGINE_LINK_PORT 30
#define STORE_LINK_PORT 40
#define PORTS 60

#define START_TRIES 200

struct process
{
  pid_t pid; /* 0 while it is not there.  */
  bool told_to_end;
};

static struct fleet_options options;
static struct process store;
static struct process gateways[GATEWAYS];
static struct process engines[ENGINES];
static unsigned engine_starts[ENGINES];
static struct proxy *engine_links[ENGINES];
static struct proxy *store_links[GATEWAYS];
static unsigned config_version;

long long
fleet_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
pause_ms (long ms)
{
  const struct timespec time = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&time, NULL);
}

static void
run (struct process *p, const char *log, char *const *arguments)
{
  char path[512];

  snprintf (path, sizeof path, "%s/%s.log", options.folder, log);
  fflush (NULL);
  p->told_to_end = false;
  p->pid = fork ();
  if (p->pid < 0)
    err (EXIT_FAILURE, "fork");
  if (p->pid == 0)
    {
      int fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execv (arguments[0], arguments);
      _exit (127);
    }
}

static void
tell (struct process *p, int number)
{
  if (!p->pid)
    return;
  if (number == SIGTERM || number == SIGKILL)
    p->told_to_end = true;
  kill (p->pid, number);
}

static void
await_end (struct process *p)
{
  if (!p->pid)
    return;
  waitpid (p->pid, NULL, 0);
  p->pid = 0;
}

static size_t
discard (char *data, size_t size, size_t count, void *context)
{
  (void)data;
  (void)context;
  return size * count;
}

/* Returns the status, or 0.  */
static long
call (const char *method, const char *url, const char *body)
{
  CURL *curl = curl_easy_init ();
  long status = 0;

  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, 5000L);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard);
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (curl);
  return status;
}

static void ask_store (const char *body, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
ask_store (const char *body, const char *format, ...)
{
  char url[256];
  int n = snprintf (url, sizeof url, "http://127.0.0.1:%u/",
                    options.base + STORE_PORT);
  va_list args;

  va_start (args, format);
  vsnprintf (url + n, sizeof url - (size_t)n, format, args);
  va_end (args);
  call ("PUT", url, body);
}

static void
list_engine (unsigned i, const char *state)
{
  char body[256];

  snprintf (body, sizeof body,
            "{\"service\":\"app\",\"address\":\"127.0.0.1:%u\","
            "\"zone\":\"a\",\"slots\":32,\"state\":\"%s\","
            "\"cold_remaining_ms\":0,\"sequence\":1}",
            options.base + ENGINE_LINK_PORT + i, state);
  ask_store (*state ? body : "", "put?topic=keyed.servers&key=e%u-%u", i,
             engine_starts[i]);
}

static void
start_engine (unsigned i)
{
  char program[512], address[64], name[64], runs[512], log[32];
  char *arguments[] = { program, address, name, runs, NULL };

  engine_starts[i]++;
  snprintf (program, sizeof program, "%s/standin-engine", options.build);
  snprintf (address, sizeof address, "--address=127.0.0.1:%u",
            options.base + ENGINE_PORT + i);
  snprintf (name, sizeof name, "--name=e%u-%u", i, engine_starts[i]);
  snprintf (runs, sizeof runs, "--runs=%s/runs%u", options.folder, i);
  snprintf (log, sizeof log, "engine%u", i);
  run (&engines[i], log, arguments);
}

static void
write_settings (unsigned i, const char *path)
{
  FILE *file = fopen (path, "w");
  const char *ip = "127.0.0";
  unsigned port = options.base + CALLER_PORT;

  if (!file)
    err (EXIT_FAILURE, "%s", path);
  fprintf (file,
           "name: \"g%u\"\navailability_zone: \"a\"\nregion: \"r\"\n"
           "ip_address: \"%s.1%u\"\ncaller_address: \"%s.1%u:%u\"\n"
           "ready_address: \"%s.1%u:%u\"\ndirectory_address: \"%s.1%u:%u\"\n"
           "control_address: \"%s.1%u:%u\"\n"
           "store_address: \"127.0.0.1:%u\"\npeer_port: %u\n"
           "seeds: [\"%s.11:%u\", \"%s.12:%u\"]\n",
           i, ip, i, ip, i, port, ip, i, port + 1, ip, i, port + 2, ip, i,
           port + 3, options.base + STORE_LINK_PORT + i, port + 4, ip,
           port + 3, ip, port + 3);
  fprintf (file,
           "memory_mb: 200\nfile_descriptors: 1000\ncpu_cores: 0.25\n"
           "grace_period_s: 8\nconfig_apply_ms: 2000\n"
           "strict_revocation: true\nrevocation_ms: %d\n"
           "retry_budget_ratio: 0.2\nretry_window_s: 10\n"
           "retry_budget_slack: 58\ncold_burst_factor: 1.5\ncold_slack: 5\n"
           "directory_ttl_s: 2\n",
           REVOCATION_MS);
  if (fclose (file))
    err (EXIT_FAILURE, "%s", path);
}

static void
start_gateway (unsigned i)
{
  char program[512], path[512], settings[600], log[32];
  char *arguments[] = { program, settings, NULL };

  snprintf (program, sizeof program, "%s/monsoonspur-gateway", options.build);
  snprintf (path, sizeof path, "%s/gateway%u.yaml", options.folder, i);
  snprintf (settings, sizeof settings, "--settings=%s", path);
  snprintf (log, sizeof log, "gateway%u", i);
  write_settings (i, path);
  run (&gateways[i], log, arguments);
}

bool
fleet_restart_gateway (unsigned i)
{
  struct process *p = &gateways[i];

  if (p->pid && !p->told_to_end)
    return true;
  /* One that was stopped meanwhile would not end.  */
  tell (p, SIGCONT);
  if (p->pid && waitpid (p->pid, NULL, WNOHANG) != p->pid)
    return false;
  start_gateway (i);
  return true;
}

void
fleet_signal_gateway (unsigned i, int number)
{
  tell (&gateways[i], number);
}

void
fleet_signal_engine (unsigned i, int number)
{
  tell (&engines[i], number);
}

void
fleet_restart_engine (unsigned i)
{
  tell (&engines[i], SIGKILL);
  await_end (&engines[i]);
  list_engine (i, "");
  start_engine (i);
  list_engine (i, "ready");
}

struct proxy *
fleet_engine_link (unsigned i)
{
  return engine_links[i];
}

struct proxy *
fleet_store_link (unsigned i)
{
  return store_links[i];
}

void
fleet_store_mode (bool up)
{
  ask_store ("", "mode?to=%s", up ? "up" : "down");
}

void
fleet_store_forget (void)
{
  ask_store ("", "forget?topic=keyed.op");
  ask_store ("", "forget?topic=keyed.servers");
}

void
fleet_configure (bool second_key)
{
  char body[2048];

  snprintf (
      body, sizeof body,
      "{\"version\":%u,\"routes\":["
      "{\"name\":\"once\",\"hostname\":\"h\",\"path_prefix\":\"/once/\","
      "\"route_kind\":\"non_idempotent\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":500,\"service\":\"app\",\"max_attempts\":2},"
      "{\"name\":\"any\",\"hostname\":\"h\",\"path_prefix\":\"/any/\","
      "\"route_kind\":\"idempotent\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":500,\"service\":\"app\",\"max_attempts\":2},"
      "{\"name\":\"events\",\"hostname\":\"h\",\"path_prefix\":\"/events/\","
      "\"route_kind\":\"streaming\",\"timeout_ms\":6000,"
      "\"target_latency_ms\":500,\"service\":\"app\",\"max_attempts\":2,"
      "\"resumable\":true}],"
      "\"services\":[{\"name\":\"app\"}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,"
      "\"header_timeout_ms\":1000,\"idle_timeout_ms\":5000},"
      "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"%s]}]}",
      ++config_version, second_key ? ",\"k2\"" : "");
  ask_store (body, "put?topic=keyed.op&key=config");
}

void
fleet_gateway_url (unsigned i, char *text, unsigned size)
{
  snprintf (text, size, "http://127.0.0.1%u:%u", i,
            options.base + CALLER_PORT);
}

static void
await_ready (unsigned i)
{
  char url[128];

  snprintf (url, sizeof url, "http://127.0.0.1%u:%u/readiness", i,
            options.base + CALLER_PORT + 1);
  for (unsigned tries = 0; call ("GET", url, NULL) != 200; tries++)
    {
      if (tries == START_TRIES)
        errx (EXIT_FAILURE, "gateway %u does not become ready", i);
      pause_ms (50);
    }
}

static bool
is_free (unsigned port)
{
  const struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)port),
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  bool free
      = bind (fd, (const struct sockaddr *)&address, sizeof address) == 0;

  close (fd);
  return free;
}

/* The first base from BASE on whose ports are free.  */
static unsigned
find_base (unsigned base)
{
  for (unsigned i = 0; i < PORTS; i++)
    if (!is_free (base + i))
      return find_base (base + PORTS);
  return base;
}

void
fleet_start (const struct fleet_options *given)
{
  char program[512], address[64], url[128];
  char *arguments[] = { program, address, NULL };

  options = *given;
  options.base = find_base (given->base);
  snprintf (program, sizeof program, "%s/standin-store", options.build);
  snprintf (address, sizeof address, "--address=127.0.0.1:%u",
            options.base + STORE_PORT);
  run (&store, "store", arguments);
  snprintf (url, sizeof url,
            "http://127.0.0.1:%u/log-newest?topic=keyed.op&part=0",
            options.base + STORE_PORT);
  for (unsigned tries = 0; call ("GET", url, NULL) != 200; tries++)
    {
      if (tries == START_TRIES)
        errx (EXIT_FAILURE, "the store does not start");
      pause_ms (50);
    }
  fleet_configure (true);
  for (unsigned i = 0; i < ENGINES; i++)
    {
      engine_links[i] = proxy_create (options.base + ENGINE_LINK_PORT + i,
                                      options.base + ENGINE_PORT + i);
      start_engine (i);
      list_engine (i, "ready");
    }
  for (unsigned i = 0; i < GATEWAYS; i++)
    {
      store_links[i] = proxy_create (options.base + STORE_LINK_PORT + i,
                                     options.base + STORE_PORT);
      start_gateway (i);
    }
  for (unsigned i = 0; i < GATEWAYS; i++)
    await_ready (i);
}

static void
end (struct process *p)
{
  if (!p->pid)
    return;
  kill (p->pid, SIGKILL);
  await_end (p);
}

void
fleet_stop (void)
{
  for (unsigned i = 0; i < GATEWAYS; i++)
    end (&gateways[i]);
  for (unsigned i = 0; i < ENGINES; i++)
    end (&engines[i]);
  end (&store);
}

bool
fleet_lost_gateway (void)
{
  for (unsigned i = 0; i < GATEWAYS; i++)
    if (gateways[i].pid && !gateways[i].told_to_end
        && waitpid (gateways[i].pid, NULL, WNOHANG) == gateways[i].pid)
      {
        gateways[i].pid = 0;
        warnx ("gateway %u ended by itself", i);
        return true;
      }
  return false;
}

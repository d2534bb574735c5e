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

/* Ports, as offsets from options.base.  The readiness, directory, control and
   peer ports of a gateway follow its caller port.  */
#define STORE_PORT 0
#define CALLER_PORT 1
#define ENGINE_PORT 20
#define ENGINE_LINK_PORT 35
#define STORE_LINK_PORT 50
#define ODD_PORT 55 /* Named by an entry whose key is no name.  */
#define PORTS_USED 60

#define MAX_START_POLLS 200 /* START_POLL_MS apart.  */
#define START_POLL_MS 50
#define MAX_INSTANCES 512
#define INVALID_CONFIGS 3 /* One in so many has an invalid route.  */
#define CRASH_STATUS 42   /* Of an engine that a request has crashed.  */
#define CRASH_BACK_MS 1000

struct process
{
  pid_t pid;          /* 0 while it doesn't run.  */
  bool exit_expected; /* SIGTERM or SIGKILL was sent.  */
};

static struct fleet_options options;
static struct process store;
static int odd_listener;
static struct process gateways[GATEWAYS];
static long long gateway_starts[GATEWAYS];
/* What the store's list says of an engine, or nothing.  */
enum engine_state
{
  ENGINE_UNLISTED,
  ENGINE_READY,
  ENGINE_DRAINING
};

struct engine
{
  struct process process;
  unsigned starts; /* A part of its name.  */
  enum engine_state state;
  struct fleet_instance *instance; /* Of the latest start.  */
  long long crashed_at;            /* 0 if it did not crash.  */
};

static struct engine engines[ALL_ENGINES];
static struct fleet_instance instances[MAX_INSTANCES];
static unsigned instances_count;
static unsigned heartbeats;
/* Calls of fleet_heartbeat that still write again what the store has lost.  */
static unsigned rewrites_left;
static char order[128]; /* The newest one; empty before the first.  */
static bool second_key_valid;
static struct proxy *engine_links[ALL_ENGINES];
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

/* Start the program ARGUMENTS[0] as P; its output is appended to LOG.log in
   options.folder.  */
static void
start_process (struct process *p, const char *log, char *const *arguments)
{
  char path[512];

  snprintf (path, sizeof path, "%s/%s.log", options.folder, log);
  fflush (NULL);
  p->exit_expected = false;
  p->pid = fork ();
  if (p->pid < 0)
    err (EXIT_FAILURE, "fork");
  if (p->pid == 0)
    {
      int fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);

      /* Do not outlive the soak test.  */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      /* Sockets of callers and proxies that the process inherits would stay
         open when they close them.  */
      closefrom (STDERR_FILENO + 1);
      execv (arguments[0], arguments);
      _exit (127);
    }
}

static void
send_signal (struct process *p, int number)
{
  if (!p->pid)
    return;
  if (number == SIGTERM || number == SIGKILL)
    p->exit_expected = true;
  kill (p->pid, number);
}

static void
reap (struct process *p)
{
  if (!p->pid)
    return;
  waitpid (p->pid, NULL, 0);
  p->pid = 0;
}

/* The body of the latest answer, as far as there is room.  */
static char answer[65536];
static size_t answer_length;

static size_t
append_answer (char *data, size_t size, size_t count, void *context)
{
  size_t length = size * count;

  (void)context;
  if (answer_length + length <= sizeof answer)
    {
      memcpy (answer + answer_length, data, length);
      answer_length += length;
    }
  return length;
}

/* Returns the HTTP status, or 0 without an answer.  */
static long
http_call (const char *method, const char *url, const char *body)
{
  CURL *curl = curl_easy_init ();
  long status = 0;

  answer_length = 0;
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, 5000L);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_answer);
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (curl);
  return status;
}

/* The list of endpoints has several pages.  */
#define PAGE_ITEMS 4

/* Kinds of odd entries in the list of endpoints, and how deeply one of them is
   nested.  */
#define ODD_ENTRIES 6
#define ODD_DEPTH 30000

/* Send BODY to the store by PUT, to the path that FORMAT gives.  */
static void put_store (const char *body, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
put_store (const char *body, const char *format, ...)
{
  char url[256];
  int n = snprintf (url, sizeof url, "http://127.0.0.1:%u/",
                    options.base + STORE_PORT);
  va_list args;

  va_start (args, format);
  vsnprintf (url + n, sizeof url - (size_t)n, format, args);
  va_end (args);
  http_call ("PUT", url, body);
}

/* Write engine I to the store's list of endpoints as its state says.  */
static void
publish_engine (unsigned i)
{
  const struct engine *e = &engines[i];
  long long cold_until_ms
      = e->instance->cooled_until_ms > e->instance->cold_until_ms
            ? e->instance->cooled_until_ms
            : e->instance->cold_until_ms;
  long long cold_ms = cold_until_ms - fleet_now_ms ();
  char body[320] = "";
  char version[48] = "";

  if (e->instance->version)
    snprintf (version, sizeof version, ",\"version\":\"v%u\",\"born\":%u",
              e->instance->version, 1000 + e->instance->version);
  if (e->state != ENGINE_UNLISTED)
    snprintf (body, sizeof body,
              "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
              "\"zone\":\"a\",\"slots\":32,\"state\":\"%s\","
              "\"cold_remaining_ms\":%lld,\"sequence\":%u%s}",
              i < MOVED ? "app" : "moved", options.base + ENGINE_LINK_PORT + i,
              e->state == ENGINE_READY ? "ready" : "draining",
              cold_ms > 0 ? cold_ms : 0, heartbeats, version);
  put_store (body, "put?topic=keyed.servers&key=e%u-%u", i, e->starts);
}

static void
set_engine_state (unsigned i, enum engine_state state)
{
  engines[i].state = state;
  publish_engine (i);
}

/* Start engine I under a new name, cold for COLD_MS.  */
static void
start_engine (unsigned i, long long cold_ms)
{
  struct engine *e = &engines[i];
  char program[512], address[64], name[64], runs[600], log[32];
  char mortal[] = "--mortal";
  char *arguments[] = { program, address, name, runs, mortal, NULL };

  if (instances_count == MAX_INSTANCES)
    errx (EXIT_FAILURE, "too many starts of engines");
  e->starts++;
  e->crashed_at = 0;
  e->instance = &instances[instances_count++];
  e->instance->cold_until_ms = cold_ms ? fleet_now_ms () + cold_ms : 0;
  snprintf (e->instance->runs, sizeof e->instance->runs, "%s/runs%u-%u",
            options.folder, i, e->starts);
  snprintf (program, sizeof program, "%s/standin-engine", options.build);
  snprintf (address, sizeof address, "--address=127.0.0.1:%u",
            options.base + ENGINE_PORT + i);
  snprintf (name, sizeof name, "--name=e%u-%u", i, e->starts);
  snprintf (runs, sizeof runs, "--runs=%s", e->instance->runs);
  snprintf (log, sizeof log, "engine%u", i);
  start_process (&e->process, log, arguments);
}

/* Wait until engine I answers.  */
static void
await_engine (unsigned i)
{
  char url[128];

  snprintf (url, sizeof url, "http://127.0.0.1:%u/runs?id=none",
            options.base + ENGINE_PORT + i);
  for (unsigned polls = 0; http_call ("GET", url, NULL) != 200; polls++)
    {
      if (polls == MAX_START_POLLS * START_POLL_MS)
        errx (EXIT_FAILURE, "engine %u does not start", i);
      pause_ms (1);
    }
}

/* Write the settings of gateway I, which has the address 127.0.0.1I, such as
   127.0.0.12 for I = 2.  */
static void
write_settings (unsigned i, const char *path)
{
  FILE *file = fopen (path, "w");
  const char *net = "127.0.0"; /* First three parts of all addresses.  */
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
           i, net, i, net, i, port, net, i, port + 1, net, i, port + 2, net, i,
           port + 3, options.base + STORE_LINK_PORT + i, port + 4, net,
           port + 3, net, port + 3);
  fprintf (file,
           "memory_mb: 200\nfile_descriptors: 1000\ncpu_cores: 0.25\n"
           "grace_period_s: 8\nconfig_apply_ms: %d\n"
           "strict_revocation: true\nrevocation_ms: %d\n"
           "retry_budget_ratio: 0.2\nretry_window_s: 10\n"
           "retry_budget_slack: 58\ncold_burst_factor: 1.5\ncold_slack: 5\n"
           "directory_ttl_s: 2\nexposure_share: %g\nexposure_slack: %d\n"
           "rollback_ms: %d\n",
           CONFIG_APPLY_MS, REVOCATION_MS, EXPOSURE_SHARE, EXPOSURE_SLACK,
           ROLLBACK_MS);
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
  start_process (&gateways[i], log, arguments);
  gateway_starts[i] = fleet_now_ms ();
}

bool
fleet_restart_gateway (unsigned i)
{
  struct process *p = &gateways[i];

  if (p->pid && !p->exit_expected)
    return true;
  /* A gateway suspended by a GATEWAY_STOP fault would not act on SIGTERM.  */
  send_signal (p, SIGCONT);
  if (p->pid && waitpid (p->pid, NULL, WNOHANG) != p->pid)
    return false;
  start_gateway (i);
  return true;
}

void
fleet_signal_gateway (unsigned i, int number)
{
  send_signal (&gateways[i], number);
}

/* Record that a stop of I ends at NOW, if one lasts.  */
static void
end_stop (struct fleet_instance *i, long long now)
{
  struct fleet_stop *last
      = i->stops_count ? &i->stops[i->stops_count - 1] : NULL;

  if (last && !last->until_ms)
    last->until_ms = now;
}

/* Record that I is stopped from NOW on, unless it already is.  */
static void
begin_stop (struct fleet_instance *i, long long now)
{
  if (i->stops_count == MAX_STOPS
      || (i->stops_count && !i->stops[i->stops_count - 1].until_ms))
    return;
  i->stops[i->stops_count++] = (struct fleet_stop){ .from_ms = now };
}

void
fleet_signal_engine (unsigned i, int number)
{
  struct engine *e = &engines[i];

  /* What is recorded is not longer than the stop.  */
  if (number == SIGCONT)
    end_stop (e->instance, fleet_now_ms ());
  send_signal (&e->process, number);
  if (number == SIGSTOP)
    begin_stop (e->instance, fleet_now_ms ());
}

bool
fleet_was_stopped (const struct fleet_instance *instance, long long from_ms,
                   long long until_ms)
{
  for (unsigned i = 0; i < instance->stops_count; i++)
    {
      const struct fleet_stop *s = &instance->stops[i];

      if (s->from_ms <= from_ms && (!s->until_ms || s->until_ms >= until_ms))
        return true;
    }
  return false;
}

/* Kill engine I and start it again, listed under a new name.  */
static void
replace_engine (unsigned i, long long cold_ms)
{
  send_signal (&engines[i].process, SIGKILL);
  reap (&engines[i].process);
  if (!engines[i].instance->ended_ms)
    engines[i].instance->ended_ms = fleet_now_ms ();
  set_engine_state (i, ENGINE_UNLISTED);
  start_engine (i, cold_ms);
}

void
fleet_restart_engine (unsigned i)
{
  replace_engine (i, 0);
  set_engine_state (i, ENGINE_READY);
}

void
fleet_cool_engine (unsigned i, unsigned ms)
{
  struct fleet_instance *instance = engines[i].instance;
  char url[128];

  snprintf (url, sizeof url, "http://127.0.0.1:%u/cold?ms=%u",
            options.base + ENGINE_PORT + i, ms);
  /* It may have crashed by a request.  */
  if (http_call ("PUT", url, "") != 200)
    return;
  instance->cooled_ms = fleet_now_ms ();
  instance->cooled_until_ms = instance->cooled_ms + ms;
}

void
fleet_release_engine (unsigned i, enum leaving leaving)
{
  char url[128];

  if (leaving == LEAVING_SAID)
    {
      snprintf (url, sizeof url, "http://127.0.0.1:%u/leave?to=1",
                options.base + ENGINE_PORT + i);
      http_call ("PUT", url, "");
      engines[i].instance->said_ms = fleet_now_ms ();
      return;
    }
  set_engine_state (i, leaving == LEAVING_UNTOLD ? ENGINE_UNLISTED
                                                 : ENGINE_DRAINING);
  engines[i].instance->left_ms = fleet_now_ms ();
}

void
fleet_replace_engine (unsigned i)
{
  replace_engine (i, COLD_MS);
  /* Otherwise the gateways would back off and not flood it.  */
  await_engine (i);
  set_engine_state (i, ENGINE_READY);
}

/* Write an entry of another writer, which names no endpoint to use: number N
   of them, in turn.  */
static void
publish_odd_entry (unsigned n)
{
  static const char fields[]
      = "\"service\":\"app\",\"zone\":\"a\",\"slots\":32,"
        "\"state\":\"ready\",\"cold_remaining_ms\":0";
  static char nested[2 * ODD_DEPTH + 1];
  char entry[320] = "";

  memset (nested, '[', ODD_DEPTH);
  memset (nested + ODD_DEPTH, ']', ODD_DEPTH);
  switch (n % ODD_ENTRIES)
    {
    case 0:
      put_store (nested, "put?topic=keyed.servers&key=odd0");
      return;
    case 1:
      snprintf (entry, sizeof entry,
                "{%s,\"address\":\"127.0.0.1:1\",\"sequence\":1e%u}", fields,
                400 + n);
      break;
    case 2:
      snprintf (entry, sizeof entry, "{%s,\"address\":\"127.0.0.1:%u\"}",
                fields, 70000 + n);
      break;
    case 3:
      snprintf (entry, sizeof entry, "\xff%u", n);
      break;
    case 4:
      snprintf (entry, sizeof entry, "{%s,\"address\":\"127.0.0.1:%u\"}",
                fields, options.base + ODD_PORT);
      break;
    default: /* An entry is removed.  */
      break;
    }
  put_store (entry, "put?topic=keyed.servers&key=odd%%20%%26%%0A%u",
             n % ODD_ENTRIES % 4);
}

void
fleet_heartbeat (void)
{
  unsigned i = heartbeats++ % ALL_ENGINES;

  if (i == 0)
    publish_odd_entry (heartbeats / ALL_ENGINES);
  if (engines[i].instance
      && (engines[i].state != ENGINE_UNLISTED || rewrites_left))
    publish_engine (i);
  if (!rewrites_left)
    return;
  /* An older copy may list the start before.  */
  put_store ("", "put?topic=keyed.servers&key=e%u-%u", i,
             engines[i].starts - 1);
  if (rewrites_left-- != ALL_ENGINES)
    return;
  fleet_publish_config (second_key_valid);
  if (order[0])
    put_store (order, "put?topic=keyed.op&key=rollout/moved");
}

void
fleet_start_pair (unsigned pair, unsigned version, const char *bad)
{
  char url[128];

  for (unsigned i = MOVED + pair * PAIR; i < MOVED + (pair + 1) * PAIR; i++)
    {
      start_engine (i, 0);
      engines[i].instance->version = version;
      await_engine (i);
      snprintf (url, sizeof url, "http://127.0.0.1:%u/bad?%s",
                options.base + ENGINE_PORT + i, bad);
      http_call ("PUT", url, "");
    }
}

void
fleet_list_pair (unsigned pair)
{
  for (unsigned i = MOVED + pair * PAIR; i < MOVED + (pair + 1) * PAIR; i++)
    set_engine_state (i, ENGINE_READY);
}

void
fleet_end_pair (unsigned pair)
{
  for (unsigned i = MOVED + pair * PAIR; i < MOVED + (pair + 1) * PAIR; i++)
    {
      set_engine_state (i, ENGINE_UNLISTED);
      send_signal (&engines[i].process, SIGKILL);
      reap (&engines[i].process);
    }
}

void
fleet_order (unsigned version, unsigned duration_s)
{
  snprintf (order, sizeof order,
            "{\"service\":\"moved\",\"to\":\"v%u\",\"duration_s\":%u}",
            version, duration_s);
  put_store (order, "put?topic=keyed.op&key=rollout/moved");
}

static void
take_state (void *context, const struct plat_record *record)
{
  struct ms_str service;

  if (plat_rollout_key (record->key, &service))
    plat_decode_state (service, record->value, context);
}

bool
fleet_order_state (unsigned version, enum plat_rollout_phase *phase)
{
  struct plat_rollout_state state = { 0 };
  char url[128], to[32], after[64];
  uint64_t end;
  bool more;
  long status;

  snprintf (url, sizeof url,
            "http://127.0.0.1:%u/log-newest?topic=keyed.status&part=0",
            options.base + STORE_PORT);
  status = http_call ("GET", url, NULL);
  /* 404: nothing was written yet.  */
  if (status != 404
      && (status != 200
          || plat_decode_newest ((struct ms_str){ answer, answer_length },
                                 take_state, &state, &end, &more, after,
                                 sizeof after)
                 != MS_OK))
    return false;
  snprintf (to, sizeof to, "v%u", version);
  *phase = strcmp (state.to.data, to) == 0 ? state.phase : PLAT_ROLLOUT_STATES;
  return true;
}

long long
fleet_oldest_start (void)
{
  long long oldest = gateway_starts[0];

  for (unsigned i = 1; i < GATEWAYS; i++)
    if (gateway_starts[i] < oldest)
      oldest = gateway_starts[i];
  return oldest;
}

const struct fleet_instance *
fleet_instances (unsigned *count)
{
  *count = instances_count;
  return instances;
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
fleet_set_store_up (bool up)
{
  put_store ("", "mode?to=%s", up ? "up" : "down");
}

void
fleet_forget_history (void)
{
  put_store ("", "forget?topic=keyed.op");
  put_store ("", "forget?topic=keyed.servers");
}

void
fleet_copy_store (void)
{
  put_store ("", "copy");
}

void
fleet_restore_store (void)
{
  put_store ("", "restore");
  rewrites_left = ALL_ENGINES;
}

/* Whether the newest configuration has no invalid route.  */
static bool
is_config_valid (void)
{
  return config_version % INVALID_CONFIGS != 0;
}

void
fleet_publish_valid_config (void)
{
  do
    fleet_publish_config (second_key_valid);
  while (!is_config_valid ());
}

void
fleet_publish_config (bool second_key)
{
  char body[2048];

  second_key_valid = second_key;
  config_version++;
  snprintf (
      body, sizeof body,
      "{\"version\":%u,\"routes\":["
      "{\"name\":\"once\",\"hostname\":\"h\",\"path_prefix\":\"/once/\","
      "\"route_kind\":\"non_idempotent\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":500,\"service\":\"app\",\"max_attempts\":2},"
      "{\"name\":\"any\",\"hostname\":\"h\",\"path_prefix\":\"/any/\","
      "\"route_kind\":\"idempotent\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":500,\"service\":\"app\",\"max_attempts\":2},"
      "{\"name\":\"moved\",\"hostname\":\"h\",\"path_prefix\":\"/moved/\","
      "\"route_kind\":\"idempotent\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":500,\"service\":\"moved\",\"max_attempts\":2},"
      "{\"name\":\"events\",\"hostname\":\"h\",\"path_prefix\":\"/events/\","
      "\"route_kind\":\"streaming\",\"timeout_ms\":6000,"
      "\"target_latency_ms\":500,\"service\":\"app\",\"max_attempts\":2,"
      "\"resumable\":true}%s],"
      "\"services\":[{\"name\":\"app\",\"cold_per_s\":%d},"
      "{\"name\":\"moved\"}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,"
      "\"header_timeout_ms\":1000,\"idle_timeout_ms\":5000},"
      "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"%s]}]}",
      config_version, is_config_valid () ? "" : ",{\"name\":\"invalid\"}",
      COLD_PER_S, second_key ? ",\"k2\"" : "");
  put_store (body, "put?topic=keyed.op&key=config");
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
  for (unsigned polls = 0; http_call ("GET", url, NULL) != 200; polls++)
    {
      if (polls == MAX_START_POLLS)
        errx (EXIT_FAILURE, "gateway %u does not become ready", i);
      pause_ms (START_POLL_MS);
    }
}

/* Whether PORT is free at 127.0.0.1; the gateways' own addresses aren't
   tried.  */
static bool
is_port_free (unsigned port)
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

/* The first of BASE, BASE + PORTS_USED... that starts a range of PORTS_USED
   free ports.  */
static unsigned
find_free_ports (unsigned base)
{
  for (unsigned i = 0; i < PORTS_USED; i++)
    if (!is_port_free (base + i))
      return find_free_ports (base + PORTS_USED);
  return base;
}

static void
listen_at_odd_address (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)(options.base + ODD_PORT));
  odd_listener
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (odd_listener < 0
      || bind (odd_listener, (struct sockaddr *)&address, sizeof address)
      || listen (odd_listener, 64))
    err (EXIT_FAILURE, "port %u", options.base + ODD_PORT);
}

unsigned
fleet_count_misled (void)
{
  unsigned count = 0;
  int fd;

  while ((fd = accept (odd_listener, NULL, NULL)) >= 0)
    {
      close (fd);
      count++;
    }
  if (count)
    printf ("ODD: %u connections to the address of an entry whose key is no "
            "name\n",
            count);
  return count;
}

void
fleet_start (const struct fleet_options *start_options)
{
  char program[512], address[64], url[128];
  char *arguments[] = { program, address, NULL };

  options = *start_options;
  options.base = find_free_ports (start_options->base);
  snprintf (program, sizeof program, "%s/standin-store", options.build);
  snprintf (address, sizeof address, "--address=127.0.0.1:%u",
            options.base + STORE_PORT);
  start_process (&store, "store", arguments);
  snprintf (url, sizeof url,
            "http://127.0.0.1:%u/log-newest?topic=keyed.op&part=0",
            options.base + STORE_PORT);
  for (unsigned polls = 0; http_call ("GET", url, NULL) != 200; polls++)
    {
      if (polls == MAX_START_POLLS)
        errx (EXIT_FAILURE, "the store does not start");
      pause_ms (START_POLL_MS);
    }
  put_store ("", "page?items=%u", PAGE_ITEMS);
  listen_at_odd_address ();
  fleet_publish_config (true);
  for (unsigned i = 0; i < ALL_ENGINES; i++)
    {
      engine_links[i] = proxy_create (options.base + ENGINE_LINK_PORT + i,
                                      options.base + ENGINE_PORT + i);
      if (i >= MOVED)
        continue;
      start_engine (i, 0);
      set_engine_state (i, ENGINE_READY);
    }
  fleet_start_pair (0, 1, "kind=none");
  fleet_list_pair (0);
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
kill_process (struct process *p)
{
  if (!p->pid)
    return;
  kill (p->pid, SIGKILL);
  reap (p);
}

void
fleet_stop (void)
{
  for (unsigned i = 0; i < GATEWAYS; i++)
    kill_process (&gateways[i]);
  for (unsigned i = 0; i < ALL_ENGINES; i++)
    kill_process (&engines[i].process);
  kill_process (&store);
}

/* Return whether P, named NAME and I, ended although no signal was sent to it
   and no request crashes it, and print how.  */
static bool
has_died (struct process *p, const char *name, unsigned i)
{
  int status;

  if (!p->pid || p->exit_expected
      || waitpid (p->pid, &status, WNOHANG) != p->pid)
    return false;
  p->pid = 0;
  if (WIFEXITED (status) && WEXITSTATUS (status) == CRASH_STATUS)
    return false;
  if (WIFSIGNALED (status))
    printf ("%s %u ended by signal %d\n", name, i, WTERMSIG (status));
  else
    printf ("%s %u ended with status %d\n", name, i, WEXITSTATUS (status));
  return true;
}

void
fleet_restart_crashed (void)
{
  for (unsigned i = 0; i < ALL_ENGINES; i++)
    {
      struct engine *e = &engines[i];

      /* One that leaves is replaced at the end of its release.  */
      if (e->crashed_at && fleet_now_ms () - e->crashed_at >= CRASH_BACK_MS
          && !e->instance->left_ms && !e->instance->said_ms)
        fleet_restart_engine (i);
    }
}

unsigned
fleet_count_died (void)
{
  unsigned died = has_died (&store, "store", 0);

  for (unsigned i = 0; i < GATEWAYS; i++)
    died += has_died (&gateways[i], "gateway", i);
  for (unsigned i = 0; i < ALL_ENGINES; i++)
    {
      bool ran = engines[i].process.pid != 0;

      died += has_died (&engines[i].process, "engine", i);
      if (ran && !engines[i].process.pid)
        engines[i].crashed_at = engines[i].instance->ended_ms
            = fleet_now_ms ();
    }
  return died;
}

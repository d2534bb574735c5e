/* Stand-ins for the cases of the third review: the platform's store, runners
   and clients, and the platform that starts routers.  All run as threads of
   one program; the routers are processes of their own, started with the
   command of the deploy file.  Only loopback addresses are used.  */

#ifndef KIT_H
#define KIT_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Time of the steady clock since the program began, in seconds.  */
double now_s (void);
void sleep_s (double seconds);

/* Write a line to record.txt and to standard output.  */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* The case could not run: end everything that was started, exit with 2.  */
void cannot_run (const char *format, ...)
    __attribute__ ((format (printf, 1, 2), noreturn));

/* Whether the disruption is to be made: TROUBLE is not 0.  */
bool trouble (void);

/* Open record.txt in FOLDER, choose ports, start the store.  ROOT is the
   repository's root.  */
void kit_begin (const char *folder, const char *root);

/* End all processes that were started; exit with 1 if BROKEN, else 0.  */
void kit_end (bool broken) __attribute__ ((noreturn));

/* A connection with what was read from it and not used yet.  */
struct conn
{
  int fd;
  char *data;
  size_t length;
  size_t space;
};

struct message
{
  char *head; /* With the empty line, NUL-terminated.  */
  char *body; /* NUL-terminated.  */
  size_t body_length;
  char method[16]; /* Of a request.  */
  char target[1024];
  int status;      /* Of a response; 0 if there was none...  */
  bool complete;   /* ...and whether it was read to its end...  */
  const char *end; /* ...and how it ended otherwise.  */
  bool closes;     /* The connection cannot be used again.  */
};

void conn_init (struct conn *c, int fd);
void conn_close (struct conn *c);
/* Close with a reset.  */
void conn_reset (struct conn *c);
bool send_all (int fd, const void *data, size_t length);
bool read_request (struct conn *c, struct message *m);
/* BODILESS: the response has no body whatever its headers say.  */
void read_response (struct conn *c, struct message *m, bool bodiless);
void free_message (struct message *m);
/* Copy the value of header NAME in HEAD to VALUE; false if there is none.  */
bool find_header (const char *head, const char *name, char *value,
                  size_t size);

/* The store.  */
void store_put (const char *topic, const char *key, const char *value);
void store_remove (const char *topic, const char *key);
/* The operator writes a configuration; the return is the acknowledgement.  */
void put_config (const char *json);

/* A runner.  HANDLE answers a request that names this runner, and returns
   whether the connection stays open.  */
struct runner;
typedef bool runner_handle (struct runner *r, struct conn *c,
                            struct message *m);

struct runner
{
  char id[64];
  const char *service;
  const char *zone;
  int slots;
  const char *state; /* "ready" or "draining"; NULL: writes no entry.  */
  struct sockaddr_in address;
  int64_t born;
  unsigned sequence;
  runner_handle *handle;
  void *context;
  int listener;
};

struct runner *runner_start (const char *id, const char *service,
                             const char *zone, int slots,
                             runner_handle *handle, void *context);

/* Write a complete, signed response with BODY to the request M.  */
bool answer (struct conn *c, const struct message *m, int status,
             const char *extra_headers, const char *body, size_t length);

/* A router.  */
struct router
{
  int number;
  char ip[32];
  pid_t pid;
  int starts;
  char settings[512];
  char log[512];
  int memory_mb;
};

struct router *router_start (int number, const char *zone, int memory_mb);
/* Start its process again after it has ended.  */
void router_again (struct router *r);
/* Whether the process runs.  */
bool router_runs (struct router *r);
void router_signal (struct router *r, int signal);
/* Wait until GET /readiness gives 200.  */
bool router_wait_ready (struct router *r, double seconds);
bool router_ready (struct router *r);
/* Resident memory of its process in KiB; 0 if it does not run.  */
long router_memory_kib (struct router *r);

/* What its metrics page says of NAME; below 0 if nothing.  */
double router_metric (struct router *r, const char *name);

/* A client's connection to the callers' port of R; fd below 0 on failure.  If
   RECEIVE_BYTES is above 0, its receive buffer has about that size, and its
   segments are small.  */
struct conn client_connect (struct router *r, int receive_bytes);

/* Send a request with a new attempt id, which is copied to ID if that is not
   NULL.  HEADERS are further lines with \r\n.  */
bool client_send (struct conn *c, const char *method, const char *path,
                  const char *headers, const void *body, size_t length,
                  char id[32]);

#define HOST "ficu95.example"

void start_thread (void *(*run) (void *), void *context);

#endif

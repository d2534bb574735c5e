/* Stand-ins for the platform's store, runners and clients, and the start of
   routers as deploy/system.toml starts them.  Everything is on loopback and on
   the real clock.  Needs nothing but the C library.  */
#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#define KIT_HEAD_BYTES 16384

/* A message's head as received, and the body that Content-Length names.  */
struct kit_message
{
  char head[KIT_HEAD_BYTES]; /* Ends with a NUL.  */
  char method[16];
  char target[1024]; /* Of a request.  */
  int status;        /* Of a response.  */
  char *body;
  size_t body_length;
};

/* Seconds since kit_start.  */
double kit_now (void);
void kit_sleep (double seconds);

/* Write a line, with the time, to the record and to standard output.  */
void kit_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/* Begin a case: FOLDER gets record.txt.  Ends the process with status 2 after
   LIMIT seconds.  */
void kit_start (const char *folder, unsigned limit);

/* Whether the case is to be disrupted: TROUBLE is not "0".  */
bool kit_trouble (void);

/* End the routers that were started and the process with STATUS: 0 if the rule
   held, 1 if it was broken, 2 if the case could not run.  */
void kit_end (int status) __attribute__ ((noreturn));

/* A TCP port of 127.0.0.1 that is free now.  */
int kit_free_port (void);

/* The value of header NAME in M's head, copied to VALUE; false if absent.  */
bool kit_header (const struct kit_message *m, const char *name, char *value,
                 size_t size);

/* Read a message, its body by Content-Length; false at the end of the
   connection or if it is no message.  */
bool kit_read_message (int fd, struct kit_message *m);
/* The same without a body.  REST gets *REST_LENGTH bytes behind the head.  */
bool kit_read_head (int fd, struct kit_message *m, char *rest, size_t size,
                    size_t *rest_length);
void kit_free_message (struct kit_message *m);
bool kit_write (int fd, const char *data, size_t length);
bool kit_print (int fd, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* The store.  */
int kit_store_start (void); /* Returns its port.  */
void kit_store_put (const char *topic, const char *key, const char *value);

/* Runners.  RUN gets a request that the runner begins to run, and writes its
   response; it returns whether the connection stays open.  */
struct kit_runner;
typedef bool kit_run (struct kit_runner *runner, int fd,
                      const struct kit_message *request, const char *id);
struct kit_runner
{
  char id[32];
  char service[32];
  int port;
  kit_run *run;
  int runs; /* Begun.  */
  char name[16];
  int starts;
  volatile bool crashed;
  double down_for; /* Seconds.  */
  int connections[64];
};
/* Start a runner and write its entry to the store.  */
void kit_runner_start (struct kit_runner *runner, const char *id,
                       const char *service, kit_run *run);
void kit_runner_list (const struct kit_runner *runner, const char *state);

/* Let RUNNER crash: it closes all connections and its port, and starts again
   SECONDS later under another id.  The store removes the entry of the start
   that crashed after three heartbeat intervals.  */
void kit_runner_crash (struct kit_runner *runner, double seconds);

/* Routers.  */
struct kit_router
{
  char name[32];
  int port;       /* Of clients.  */
  int ready_port; /* Of /readiness.  */
  pid_t pid;
};
/* Start router NUMBER with the settings of a small deployment.  */
void kit_router_start (struct kit_router *router, int number);
/* Wait until ROUTER is ready; ends the case with 2 if it is not in time.  */
void kit_router_await (const struct kit_router *router);

/* Connect to PORT of 127.0.0.1; -1 on failure.  */
int kit_connect (int port);

/* What a client got for a request.  */
struct kit_answer
{
  int status;    /* 0 if no head arrived.  */
  bool complete; /* By HTTP: all of Content-Length, the last chunk, or, without
                    either, the orderly end of the connection.  */
  bool reset;    /* The connection ended with an error.  */
  bool framed;   /* It has a length or chunks.  */
  char *body;    /* Without chunks' heads; ends with a NUL.  */
  size_t length;
  double ended_at;
  struct kit_message head;
};
/* How a client reads.  */
struct kit_reader
{
  size_t receive_buffer; /* 0: as the system has it.  */
  int segment;           /* Largest TCP segment; 0: as the system has it.  */
  double bytes_per_second; /* 0: as fast as it can.  */
};
/* Send TEXT, a whole request, on a new connection to PORT and read the answer
   to its end.  READER may be NULL.  */
void kit_fetch (int port, const char *text, const struct kit_reader *reader,
                struct kit_answer *answer);
/* Run CALL with ARGUMENT in a thread; kit_join waits for all such.  */
void kit_spawn (void *(*call) (void *), void *argument);
void kit_join (void);

#endif

#ifndef KIT_H
#define KIT_H

/* Small stand-ins for the review's scripts: the users' store, runners and
   clients, as threads of one process on loopback.  Nothing but libc and
   pthreads.  */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Monotonic time in ms since the process started.  */
long kit_now (void);
void kit_sleep (long ms);

/* A line of record.txt, behind the time.  */
void kit_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void kit_open_record (const char *path);

/* Exit with 2: the case could not run.  */
void kit_cannot_run (const char *why) __attribute__ ((noreturn));

/* One HTTP message.  HEAD is the whole head, with a NUL behind it.  */
struct kit_message
{
  char *head;
  char method[16];
  char target[1024];
  int status;
  char *body;
  size_t body_length;
  bool whole; /* The message ended as its framing says.  */
  bool keeps; /* The connection can be used again.  */
};
void kit_free (struct kit_message *m);

/* Copy the value of header NAME into VALUE; return whether there is one.  */
bool kit_header (const struct kit_message *m, const char *name, char *value,
                 size_t size);

/* A connection with what was read ahead.  */
struct kit_conn
{
  int fd;
  char buffer[65536];
  size_t at, end;
};

/* Read a request, or a response, that begins within TIMEOUT_MS.  Return
   false if none came.  */
bool kit_read (struct kit_conn *c, struct kit_message *m, bool response,
               long timeout_ms);
bool kit_write (int fd, const char *data, size_t length);
bool kit_print (int fd, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Connect to IP:PORT, waiting for 1 s at most; -1 on failure.  */
int kit_connect (const char *ip, int port);

/* Close FD with a reset.  */
void kit_reset (int fd);

/* Serve IP:PORT: each connection has a thread, which calls HANDLE with its
   requests until that returns false.  */
typedef bool kit_handler (void *context, struct kit_conn *c,
                          const struct kit_message *request);
void kit_serve (const char *ip, int port, kit_handler *handle, void *context);

/* The store.  Its topics are logs with one partition.  */
void kit_store_start (int port);
void kit_store_put (const char *topic, const char *key, const char *value);

/* While it is down, the store answers nothing, and what asks it meanwhile
   gets no answer later, either.  */
void kit_store_set_down (bool down);

/* Wait until the gateway with the ready address IP:PORT answers 200 there.  */
void kit_await_ready (const char *ip, int port);

void kit_thread (void *(*run) (void *), void *context);

#endif

#ifndef SUPPORT_GATEWAY_FIXTURE_H
#define SUPPORT_GATEWAY_FIXTURE_H

#include <stdbool.h>
#include <stddef.h>

#include "gateway/gateway.h"

/* A gateway in the test's own process, on a clock that only the test moves,
   with one endpoint whose side of each connection the test plays.  The store
   and peers are absent.  Routes of the host "h", all public and served by the
   one endpoint:

   /events/  streaming, resumable
   /any/     idempotent
   /once/    non-idempotent
   /brief/   idempotent, with a timeout of 1 s

   The time limit of all waits is FIXTURE_WAIT_MS of real time, so that a busy
   machine does not fail a test.  */

#define FIXTURE_WAIT_MS 5000

struct fixture
{
  struct ms_gateway *gw;
  struct timespec now; /* The gateway's clock.  */
  int listener;        /* Of the endpoint.  */
};

/* Start a gateway that may use MEMORY_MB.  */
struct fixture *fixture_create (unsigned memory_mb);

/* The same with the store at STORE_ADDRESS, which stays in place.  */
struct fixture *fixture_create_with_store (unsigned memory_mb,
                                           const char *store_address);
void fixture_destroy (struct fixture *fixture);

/* Move the gateway's clock on by MS.  */
void fixture_advance (struct fixture *fixture, long ms);

/* Run the event loop once without waiting.  */
void fixture_step (struct fixture *fixture);

/* Do what the gateway does at each tick of its timer for requests and
   connections, sweeps included, and run the event loop once.  */
void fixture_tick (struct fixture *fixture);

/* Connect a caller, whose socket does not block.  */
int fixture_connect_caller (const struct fixture *fixture);

/* Send on the caller's socket FD a request for PATH without a body, with the
   attempt ID "t" and DEADLINE_MS.  */
void fixture_send_request (int fd, const char *path, long deadline_ms);

/* Send LENGTH bytes of DATA on FD, running the event loop until all are
   taken.  */
void fixture_send (struct fixture *fixture, int fd, const char *data,
                   size_t length);

/* Listen as another endpoint of the same service, called NAME, and put it into
   the gateway's list.  Return the listening socket, which the caller closes.
 */
int fixture_add_endpoint (struct fixture *fixture, const char *name);

/* Run the gateway until it has connected to the endpoint, and return the
   endpoint's side of the connection; -1 if it does not connect.  */
int fixture_accept (struct fixture *fixture);

/* The same for any of the COUNT endpoints that listen at LISTENERS; *WHICH is
   set to the index of the one that it connects to.  */
int fixture_accept_among (struct fixture *fixture, const int *listeners,
                          unsigned count, unsigned *which);

/* Run the gateway until the endpoint has received a whole head, and return the
   endpoint's side of the connection; -1 if none arrives.  */
int fixture_accept_request (struct fixture *fixture);

/* The same for any of the COUNT endpoints that listen at LISTENERS; *WHICH is
   set to the index of the one that receives it.  */
int fixture_accept_request_among (struct fixture *fixture,
                                  const int *listeners, unsigned count,
                                  unsigned *which);

/* The endpoint begins a stream on FD and sends its first event.  */
void fixture_begin_stream (struct fixture *fixture, int fd);

/* Run the gateway, without moving its clock, until it has closed its side of
   FD.  Return false if it does not.  What arrives on FD is dropped.  */
bool fixture_await_closed (struct fixture *fixture, int fd);

/* Whether the gateway keeps its side of FD open over a hundred turns of its
   loop.  What arrives on FD is dropped.  */
bool fixture_stays_open (struct fixture *fixture, int fd);

/* Run the gateway until something arrives on FD; append it to TEXT of SIZE
   bytes, which is a string.  Return false if nothing arrives.  */
bool fixture_receive (struct fixture *fixture, int fd, char *text,
                      size_t size);

#endif

#include "rpc/transport.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/address.h"
#include "base/metrics.h"
#include "rpc/codec.h"

/* Longest time until the receiving thread notices that it is to stop.  */
#define STOP_CHECK_MS 100

struct ms_transport
{
  ms_deliver *deliver;
  void *context;
  SVCXPRT *service;
  int socket;
  pthread_t receiver;
  atomic_bool stopping;
  atomic_uint next_call; /* RPC transaction identifier.  */
};

/* The transport of the process, for receive_message: the RPC library passes
   that function no context.  */
static struct ms_transport *the_transport;

/* Called by the RPC library for each call.  No reply is sent, since messages
   are one-way; a call that cannot be decoded is ignored.  */
static void
receive_message (struct svc_req *request, SVCXPRT *service)
{
  peer_message message;

  memset (&message, 0, sizeof message);
  if (request->rq_proc != PEER_DELIVER
      || !svc_getargs (service, (xdrproc_t)xdr_peer_message,
                       (caddr_t)&message))
    return;
  the_transport->deliver (the_transport->context, &message);
  svc_freeargs (service, (xdrproc_t)xdr_peer_message, (caddr_t)&message);
}

static void *
run_receiver (void *context)
{
  struct ms_transport *transport = context;
  struct pollfd ready = { .fd = transport->socket, .events = POLLIN };

  while (!atomic_load (&transport->stopping))
    if (poll (&ready, 1, STOP_CHECK_MS) > 0)
      svc_getreq_common (transport->socket);
  return NULL;
}

/* Encode an RPC call of PEER_DELIVER with MESSAGE.  Returns the length, 0 on
   failure.  The library's own client is not used because it waits for a reply
   to each call.  */
static unsigned
encode_call (unsigned call_id, const peer_message *message, char *data,
             unsigned size)
{
  struct rpc_msg call = { .rm_xid = call_id, .rm_direction = CALL };
  unsigned length = 0;
  XDR xdr;

  call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  call.rm_call.cb_prog = MS_PEER;
  call.rm_call.cb_vers = MS_PEER_V1;
  call.rm_call.cb_proc = PEER_DELIVER;
  call.rm_call.cb_cred = _null_auth;
  call.rm_call.cb_verf = _null_auth;
  xdrmem_create (&xdr, data, size, XDR_ENCODE);
  if (xdr_callmsg (&xdr, &call)
      && xdr_peer_message (&xdr, (peer_message *)message))
    length = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return length;
}

void
ms_transport_send (struct ms_transport *transport, const char *address,
                   const peer_message *message)
{
  char data[MS_MESSAGE_BYTES];
  struct sockaddr_in to;
  unsigned length = encode_call (atomic_fetch_add (&transport->next_call, 1),
                                 message, data, sizeof data);

  if (!length || ms_address_parse (address, &to) != MS_OK
      || sendto (transport->socket, data, length, MSG_DONTWAIT,
                 (struct sockaddr *)&to, sizeof to)
             < 0)
    {
      ms_count (MS_M_PEER_DROPPED, 1);
      return;
    }
  ms_count (MS_M_PEER_MESSAGES, 1);
  ms_count (MS_M_PEER_BYTES, length);
}

static enum ms_status
bind_socket (struct ms_transport *transport, const char *address)
{
  struct sockaddr_in self;
  enum ms_status status = ms_address_parse (address, &self);

  if (status != MS_OK)
    return status;
  transport->socket = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (transport->socket < 0
      || bind (transport->socket, (struct sockaddr *)&self, sizeof self) != 0)
    return ms_fail (MS_UNAVAILABLE, "cannot bind %s: %s", address,
                    strerror (errno));
  transport->service
      = svc_dg_create (transport->socket, MS_MESSAGE_BYTES, MS_MESSAGE_BYTES);
  if (!transport->service
      || !svc_reg (transport->service, MS_PEER, MS_PEER_V1, receive_message,
                   NULL))
    return ms_fail (MS_UNAVAILABLE, "cannot serve RPC on %s", address);
  return MS_OK;
}

enum ms_status
ms_transport_create (const char *address, ms_deliver *deliver, void *context,
                     struct ms_transport **out)
{
  struct ms_transport *transport = ms_new (sizeof *transport);
  enum ms_status status;

  transport->deliver = deliver;
  transport->context = context;
  status = bind_socket (transport, address);
  if (status != MS_OK)
    {
      free (transport);
      return status;
    }
  the_transport = transport;
  if (pthread_create (&transport->receiver, NULL, run_receiver, transport))
    abort ();
  *out = transport;
  return MS_OK;
}

void
ms_transport_destroy (struct ms_transport *transport)
{
  atomic_store (&transport->stopping, true);
  pthread_join (transport->receiver, NULL);
  svc_destroy (transport->service);
  free (transport);
}

#ifndef RPC_TRANSPORT_H
#define RPC_TRANSPORT_H

#include <monsoonspur/status.h>

#include "rpc/peer.h"

/* One-way messages between routers: ONC RPC over UDP, addressed by IP address
   and port without a port mapper.  Sending never blocks, and lost messages are
   not detected here: the node (node/node.h) sends again what must arrive.

   A process can have one transport only, since the RPC library passes no
   context to its receiver.  */

struct ms_transport;

/* Called with CONTEXT on the receiving thread for each message.  MESSAGE is
   valid only during the call.  */
typedef void ms_deliver (void *context, const peer_message *message);

/* Bind ADDRESS ("IP:PORT") and start the receiving thread, which passes
   messages to DELIVER with CONTEXT.  *TRANSPORT is set on success only.
   Return MS_INVALID if ADDRESS is malformed, MS_UNAVAILABLE if it cannot be
   used.  */
enum ms_status ms_transport_create (const char *address, ms_deliver *deliver,
                                    void *context,
                                    struct ms_transport **transport);

/* Stop the receiving thread, close the socket and free TRANSPORT.  */
void ms_transport_destroy (struct ms_transport *transport);

/* Send MESSAGE to ADDRESS ("IP:PORT").  If that fails or would block, the
   message is dropped and counted.  May be called by any thread.  */
void ms_transport_send (struct ms_transport *transport, const char *address,
                        const peer_message *message);

#endif

#ifndef RPC_TRANSPORT_H
#define RPC_TRANSPORT_H

#include <monsoonspur/status.h>

#include "rpc/peer.h"

/* One-way messages between routers: ONC RPC over UDP, by IP number and port,
   without a port mapper.  Sending never blocks; what is lost on
   the way is made good by the decisions' own repeats.  */

struct ms_transport;

/* Called on the receiving thread for each message.  */
typedef void ms_deliver (void *context, const peer_message *message);

/* Bind ADDRESS ("IP:PORT") and start the receiving thread.  */
enum ms_status ms_transport_create (const char *address, ms_deliver *deliver,
                                    void *context,
                                    struct ms_transport **transport);

/* Stop the thread.  */
void ms_transport_destroy (struct ms_transport *transport);

/* Send MESSAGE to ADDRESS, or count it as dropped.  */
void ms_transport_send (struct ms_transport *transport, const char *address,
                        const peer_message *message);

#endif

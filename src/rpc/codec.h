#ifndef RPC_CODEC_H
#define RPC_CODEC_H

#include <stdbool.h>
#include <stddef.h>

#include "rpc/peer.h"

/* Encodes and decodes the messages of peer.x, in XDR form, to keep, record or
   replay them.  The transport encodes and decodes messages itself, as
   arguments of RPC calls.  */

/* Upper bound on the length of an encoded message, with the RPC call header
   that the transport puts before it, in bytes.  */
#define MS_MESSAGE_BYTES 8192

/* Encode MESSAGE into DATA, which has SIZE bytes.  Returns the length, or 0 if
   SIZE is too small or MESSAGE has more elements than peer.x allows.  */
unsigned ms_message_encode (const peer_message *message, char *data,
                            size_t size);

/* Decode LENGTH bytes of DATA into MESSAGE.  Returns false if they are not a
   message; nothing is allocated then.  On success the caller frees MESSAGE's
   contents with xdr_free.  */
bool ms_message_decode (const char *data, size_t length,
                        peer_message *message);

#endif

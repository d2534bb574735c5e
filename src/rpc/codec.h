#ifndef RPC_CODEC_H
#define RPC_CODEC_H

#include <stdbool.h>
#include <stddef.h>

#include "rpc/peer.h"

/* Upper bound of an encoded message.  */
#define MS_MESSAGE_BYTES 8192

/* Encode MESSAGE into DATA; returns the length, 0 if SIZE is too small.  */
unsigned ms_message_encode (const peer_message *message, char *data,
                            size_t size);

/* Decode DATA; on success the caller frees MESSAGE with xdr_free.  */
bool ms_message_decode (const char *data, size_t length,
                        peer_message *message);

#endif

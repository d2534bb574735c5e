#include "rpc/codec.h"

#include <string.h>

unsigned
ms_message_encode (const peer_message *message, char *data, size_t size)
{
  XDR xdr;
  unsigned length = 0;

  xdrmem_create (&xdr, data, (u_int)size, XDR_ENCODE);
  if (xdr_peer_message (&xdr, (peer_message *)message))
    length = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return length;
}

bool
ms_message_decode (const char *data, size_t length, peer_message *message)
{
  XDR xdr;
  bool decoded;

  memset (message, 0, sizeof *message);
  xdrmem_create (&xdr, (char *)data, (u_int)length, XDR_DECODE);
  decoded = xdr_peer_message (&xdr, message);
  xdr_destroy (&xdr);
  if (!decoded)
    xdr_free ((xdrproc_t)xdr_peer_message, (char *)message);
  return decoded;
}

#include "fleet/fleet.h"

#include <string.h>

unsigned
ms_digest_encode (const struct fleet_digest *digest, char *data, size_t size)
{
  XDR xdr;
  unsigned length = 0;

  xdrmem_create (&xdr, data, (u_int)size, XDR_ENCODE);
  if (xdr_fleet_digest (&xdr, (struct fleet_digest *)digest))
    length = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return length;
}

bool
ms_digest_decode (const char *data, size_t length, struct fleet_digest *digest)
{
  XDR xdr;
  bool decoded;

  memset (digest, 0, sizeof *digest);
  xdrmem_create (&xdr, (char *)data, (u_int)length, XDR_DECODE);
  decoded = xdr_fleet_digest (&xdr, digest);
  xdr_destroy (&xdr);
  if (!decoded)
    ms_digest_free (digest);
  return decoded;
}

void
ms_digest_free (struct fleet_digest *digest)
{
  xdr_free ((xdrproc_t)xdr_fleet_digest, (char *)digest);
}

#include "fleet/fleet.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Length of the end of a digest that routers of earlier versions do not send:
   USED, LEVEL, KNOWN_FOR, DOUBTED and fourteen empty lists.  */
#define ADDED_BYTES 72

/* Length of an empty list, or of a number.  */
#define EMPTY_LIST_BYTES 4

/* Return the length of what is empty or 0 at the end of DIGEST and left out;
   zeros stand for it when it is decoded.  So parts that are turned off add
   nothing to digests.  */
static unsigned
unsent_bytes (const struct fleet_digest *digest)
{
  const unsigned lengths[] = { digest->doubted,
                               digest->colds.colds_len,
                               digest->returns.returns_len,
                               digest->zone_engines.zone_engines_len,
                               digest->engine_services.engine_services_len,
                               digest->engines.engines_len };
  unsigned count = 0;

  while (count < sizeof lengths / sizeof *lengths && !lengths[count])
    count++;
  return count * EMPTY_LIST_BYTES;
}

unsigned
ms_digest_encode (const struct fleet_digest *digest, char *data, size_t size)
{
  XDR xdr;
  unsigned length = 0;

  xdrmem_create (&xdr, data, (u_int)size, XDR_ENCODE);
  if (xdr_fleet_digest (&xdr, (struct fleet_digest *)digest))
    length = xdr_getpos (&xdr) - unsent_bytes (digest);
  xdr_destroy (&xdr);
  return length;
}

bool
ms_digest_decode (const char *data, size_t length, struct fleet_digest *digest)
{
  XDR xdr;
  bool decoded;
  /* Zeros stand for what a router of an earlier version did not send; at the
     end of a whole digest they are left over.  */
  char *padded = ms_new (length + ADDED_BYTES);

  memset (digest, 0, sizeof *digest);
  memcpy (padded, data, length);
  xdrmem_create (&xdr, padded, (u_int)(length + ADDED_BYTES), XDR_DECODE);
  decoded = xdr_fleet_digest (&xdr, digest);
  xdr_destroy (&xdr);
  free (padded);
  if (!decoded)
    ms_digest_free (digest);
  return decoded;
}

void
ms_digest_free (struct fleet_digest *digest)
{
  xdr_free ((xdrproc_t)xdr_fleet_digest, (char *)digest);
}

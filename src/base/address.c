#include "base/address.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum ms_status
ms_address_parse (const char *text, struct sockaddr_in *address)
{
  const char *colon = strrchr (text, ':');
  char host[INET_ADDRSTRLEN];
  char *port_end;
  unsigned long port;

  memset (address, 0, sizeof *address);
  if (!colon || (size_t)(colon - text) >= sizeof host)
    return ms_fail (MS_INVALID, "\"%s\" is not of the form IP:PORT", text);
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  port = strtoul (colon + 1, &port_end, 10);
  if (*port_end || port_end == colon + 1 || port < 1 || port > 65535
      || inet_pton (AF_INET, host, &address->sin_addr) != 1)
    return ms_fail (MS_INVALID, "\"%s\" is not of the form IP:PORT", text);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  return MS_OK;
}

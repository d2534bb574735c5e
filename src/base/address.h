#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <monsoonspur/status.h>

#include <netinet/in.h>

/* Parse TEXT, an IPv4 address and a port from 1 to 65535 in the form
   "IP:PORT", into ADDRESS.  Host names are not resolved.  Return MS_INVALID if
   TEXT has another form.  */
enum ms_status ms_address_parse (const char *text,
                                 struct sockaddr_in *address);

#endif

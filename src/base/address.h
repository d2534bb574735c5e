#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <monsoonspur/status.h>

#include <netinet/in.h>

/* Parse "IP:PORT"; names are not resolved.  */
enum ms_status ms_address_parse (const char *text,
                                 struct sockaddr_in *address);

#endif

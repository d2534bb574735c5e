#ifndef ROUTER_CALLER_SOCKET_H
#define ROUTER_CALLER_SOCKET_H

#include <stdbool.h>

#include <civetweb.h>

/* Whether a caller has gone away while its request is served.  CivetWeb does
   not tell, nor does it give its socket, so that is found by the caller's
   address.  */

/* The socket of CONNECTION, -1 if it is not found.  */
int ms_caller_socket (const struct mg_connection *connection);

/* Whether the other side of SOCKET has closed; false for -1.  */
bool ms_caller_gone (int socket);

#endif

#ifndef ROUTER_CALLER_SOCKET_H
#define ROUTER_CALLER_SOCKET_H

#include <stdbool.h>

#include <civetweb.h>

/* Detects a caller that disconnects while its request is served.  CivetWeb
   neither reports that nor exposes the connection's socket, so the socket is
   found by comparing the peer address of each open descriptor.  */

/* The socket of CONNECTION, -1 if it is not found; IPv4 only.  */
int ms_caller_socket (const struct mg_connection *connection);

/* Whether the caller has closed or reset the connection on SOCKET; false if
   SOCKET is -1.  */
bool ms_caller_gone (int socket);

#endif

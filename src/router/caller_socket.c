#include "router/caller_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

/* Descriptors from this number on are not searched.  */
#define MAX_SOCKETS 8192

/* Whether SOCKET is connected to the address WANTED.  */
static bool
is_peer (int socket, const struct sockaddr_in *wanted)
{
  struct sockaddr_in peer;
  socklen_t length = sizeof peer;

  return getpeername (socket, (struct sockaddr *)&peer, &length) == 0
         && peer.sin_family == AF_INET && peer.sin_port == wanted->sin_port
         && peer.sin_addr.s_addr == wanted->sin_addr.s_addr;
}

int
ms_caller_socket (const struct mg_connection *connection)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  struct sockaddr_in wanted = { .sin_family = AF_INET };

  wanted.sin_port = htons ((uint16_t)info->remote_port);
  if (inet_pton (AF_INET, info->remote_addr, &wanted.sin_addr) != 1)
    return -1;
  for (int socket = 0; socket < MAX_SOCKETS; socket++)
    if (is_peer (socket, &wanted))
      return socket;
  return -1;
}

bool
ms_caller_gone (int socket)
{
  char byte;
  ssize_t n;

  if (socket < 0)
    return false;
  n = recv (socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

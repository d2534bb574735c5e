/* Print a number from which on 40 ports are free on the addresses that the
   scripts use.  */

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

static int
is_free (const char *ip, int port, int type)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_port = htons ((unsigned short)port) };
  int fd = socket (AF_INET, type, 0);
  int result;

  inet_pton (AF_INET, ip, &a.sin_addr);
  result = bind (fd, (struct sockaddr *)&a, sizeof a) == 0;
  close (fd);
  return result;
}

int
main (void)
{
  static const char *const ips[]
      = { "127.0.0.1",  "127.0.0.31", "127.0.0.32", "127.0.0.33",
          "127.0.0.34", "127.0.0.35", "127.0.0.36", "127.0.0.37",
          "127.0.0.38", "127.0.0.39" };

  for (int i = 0; i < 200; i++)
    {
      int base = 20000 + (int)((unsigned)getpid () + i) % 250 * 40;
      int ok = 1;

      for (int ip = 0; ip < 10 && ok; ip++)
        for (int port = base; port < base + 40 && ok; port++)
          ok = is_free (ips[ip], port, SOCK_STREAM)
               && is_free (ips[ip], port, SOCK_DGRAM);
      if (ok)
        {
          printf ("%d\n", base);
          return 0;
        }
    }
  return 1;
}

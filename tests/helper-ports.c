#include "helper-ports.h"

#include <arpa/inet.h>
#include <sys/socket.h>

guint16
reserve_port (void)
{
  struct sockaddr_in local = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof local;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0 || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
      || bind (fd, (struct sockaddr *) &local, sizeof local) != 0
      || getsockname (fd, (struct sockaddr *) &local, &length) != 0)
    g_error ("can't reserve a loopback port");
  return ntohs (local.sin_port);
}

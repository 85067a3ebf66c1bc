#include "http-listen.h"

#include <arpa/inet.h>
#include <errno.h>

#include "anvil/error.h"

gboolean
anvil_http_listen (struct evhttp *http, guint32 address, guint16 port, GError **error)
{
  struct in_addr network = { .s_addr = htonl (address) };
  char host[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &network, host, sizeof host);
  if (evhttp_bind_socket_with_handle (http, host, port) != NULL)
    return TRUE;
  g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_IO, "can't listen on %s:%u: %s", host, port,
               g_strerror (errno));
  return FALSE;
}

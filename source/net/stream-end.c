#include "net/stream-end.h"

#include <sys/socket.h>

/* Whether a socket whose end was read has no error left to report. */
static gboolean
has_no_error (evutil_socket_t fd)
{
  int error = 0;
  socklen_t size = sizeof error;
  char byte;

  return fd >= 0 && getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0
         && recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) == 0;
}

anvil_stream_state_t
anvil_stream_end_update (anvil_stream_end_t *end, struct bufferevent *stream, short events)
{
  const short failed_write = BEV_EVENT_WRITING | BEV_EVENT_ERROR;

  end->write_failed |= (events & failed_write) == failed_write;
  if (events == failed_write)
    return ANVIL_STREAM_OPEN;
  if ((events & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
    return ANVIL_STREAM_BROKEN;
  if ((events & BEV_EVENT_EOF) == 0)
    return ANVIL_STREAM_OPEN;
  return !end->write_failed && has_no_error (bufferevent_getfd (stream)) ? ANVIL_STREAM_ENDED
                                                                         : ANVIL_STREAM_BROKEN;
}

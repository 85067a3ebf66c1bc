#include "endless.h"

#include <string.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "anvil/log.h"

#define BLOCK_BYTES (16u << 10)
/* Before the name of a place. */
#define FAULT_PREFIX "endless-"

const endless_message_t endless_messages[ENDLESS_N_MESSAGES + 1] = {
  { "header-lines", TRUE, "", "A: b\r\n" },
  { "head", TRUE, "Filler: ", "x" },
  { "no-http", FALSE, "", "x" },
  { "chunk-size", TRUE, "Transfer-Encoding: chunked\r\n\r\n", "0" },
  { "chunk-extension", TRUE, "Transfer-Encoding: chunked\r\n\r\n1;", "x" },
  { "chunks", TRUE, "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n" },
  { "trailers", TRUE, "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n" },
  { "length", TRUE, "Content-Length: 99999999999\r\n\r\n", "x" },
  { "body", TRUE, "\r\n", "x" },
  { "continue", FALSE, "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { NULL, FALSE, NULL, NULL },
};

const endless_message_t *
endless_find_fault (const char *fault)
{
  if (!g_str_has_prefix (fault, FAULT_PREFIX))
    return NULL;
  for (const endless_message_t *message = endless_messages; message->name != NULL; message++)
    {
      if (strcmp (message->name, fault + strlen (FAULT_PREFIX)) == 0)
        return message;
    }
  return NULL;
}

char *
endless_start (const endless_message_t *message, const char *start_line, const char *fields)
{
  return g_strconcat (message->start_line ? start_line : "", message->start_line ? fields : "",
                      message->start, NULL);
}

char *
endless_block (const endless_message_t *message, gsize *length)
{
  GString *block = g_string_new (NULL);

  while (block->len < BLOCK_BYTES)
    g_string_append (block, message->piece);
  *length = block->len;
  return g_string_free (block, FALSE);
}

typedef struct
{
  struct event *writable;
  char *block;
  gsize length;
  /* Bytes of the block that were sent. */
  gsize sent;
} flood_t;

static void
on_writable (evutil_socket_t fd, short unused_what, void *data)
{
  flood_t *flood = data;
  ssize_t sent = send (fd, flood->block + flood->sent, flood->length - flood->sent, MSG_NOSIGNAL);

  /* A failure means that the caller has closed; evhttp notices that and calls on_ended(). */
  if (sent > 0)
    flood->sent = (flood->sent + (gsize) sent) % flood->length;
}

static void
on_ended (struct evhttp_connection *unused_connection, void *data)
{
  flood_t *flood = data;

  event_free (flood->writable);
  g_free (flood->block);
  g_free (flood);
}

void
endless_respond (struct evhttp_request *request,
                 const endless_message_t *message,
                 const char *fields)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (request);
  struct bufferevent *stream = evhttp_connection_get_bufferevent (connection);
  evutil_socket_t fd = bufferevent_getfd (stream);
  /* The end of the process must not look like the end of a body. */
  const struct linger reset = { .l_onoff = 1 };
  char *start = endless_start (message, "HTTP/1.1 200 OK\r\n", fields);
  flood_t *flood = g_new0 (flood_t, 1);

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  if (send (fd, start, strlen (start), MSG_NOSIGNAL) < 0)
    anvil_log (ANVIL_LOG_INFO, "endless", "caller disconnected");
  flood->block = endless_block (message, &flood->length);
  flood->writable = event_new (evhttp_connection_get_base (connection), fd, EV_WRITE | EV_PERSIST,
                               on_writable, flood);
  evhttp_connection_set_closecb (connection, on_ended, flood);
  /* evhttp doesn't read while a request is handled, and would not notice that the caller closes. */
  bufferevent_enable (stream, EV_READ);
  event_add (flood->writable, NULL);
  g_free (start);
}

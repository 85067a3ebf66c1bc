#include "relay/relay-caller-internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "anvil/error.h"
#include "anvil/largest.h"
#include "anvil/log.h"
#include "relay/http-status.h"

/* How long the caller may go on sending after the relay has shut down its side. Closing a socket
 * with unread input resets it, and the caller could lose the last response. */
#define LINGER_TIMEOUT (1 * ANVIL_SECOND)
/* Connections that are closed for others are logged once in so many. */
#define DISPLACED_PER_LOG_LINE 100

static void
request_drop (anvil_relay_request_t *request)
{
  g_free (request->method);
  g_free (request->target);
  g_free (request->host);
  request->callers->buffered_bytes -= evbuffer_get_length (request->body);
  g_string_free (request->headers, TRUE);
  evbuffer_free (request->body);
  g_free (request->id);
  g_free (request->object);
  g_free (request->key);
  g_free (request);
}

static void
pending_response_drop (gpointer data)
{
  pending_response_t *pending = data;

  if (pending->head != NULL)
    evbuffer_free (pending->head);
  if (pending->body != NULL)
    evbuffer_free (pending->body);
  g_free (pending);
}

/* Bytes that leave the output were written to the socket. */
static void
on_output_changed (struct evbuffer *output, const struct evbuffer_cb_info *info, void *data)
{
  anvil_relay_caller_connection_t *connection = data;

  connection->unsent_bytes -= info->n_deleted;
  connection->callers->unsent_bytes -= info->n_deleted;
}

static void
connection_close (anvil_relay_caller_connection_t *connection)
{
  g_hash_table_remove (connection->callers->connections, connection);
  if (connection->partial_request != NULL)
    request_drop (connection->partial_request);
  g_string_free (connection->target, TRUE);
  g_string_free (connection->field_name, TRUE);
  g_string_free (connection->field_value, TRUE);
  g_string_free (connection->hop_by_hop_names, TRUE);
  event_free (connection->header_timer);
  event_free (connection->body_timer);
  event_free (connection->idle_timer);
  connection->callers->unsent_bytes -= connection->unsent_bytes;
  evbuffer_remove_cb (bufferevent_get_output (connection->stream), on_output_changed, connection);
  bufferevent_free (connection->stream);
  g_queue_clear_full (&connection->pending_responses, pending_response_drop);
  g_free (connection);
}

/* The caller has disconnected: notifies the handlers of its unanswered requests. */
static void
on_disconnected (anvil_relay_caller_connection_t *connection)
{
  anvil_relay_callers_t *callers = connection->callers;
  GPtrArray *requests = g_ptr_array_new ();

  for (GList *link = connection->pending_responses.head; link != NULL; link = link->next)
    {
      pending_response_t *pending = link->data;

      if (pending->request == NULL)
        continue;
      pending->request->connection = NULL;
      g_ptr_array_add (requests, pending->request);
    }
  connection_close (connection);
  for (guint i = 0; i < requests->len; i++)
    callers->callbacks.disconnected (callers->context, requests->pdata[i]);
  g_ptr_array_unref (requests);
}

/* Every response has been written: waits for the caller to close, up to LINGER_TIMEOUT. */
static void
start_lingering (anvil_relay_caller_connection_t *connection)
{
  struct timeval timeout = anvil_time_to_timeval (LINGER_TIMEOUT);

  connection->lingering = TRUE;
  event_del (connection->idle_timer);
  shutdown (bufferevent_getfd (connection->stream), SHUT_WR);
  bufferevent_set_timeouts (connection->stream, &timeout, NULL);
  bufferevent_enable (connection->stream, EV_READ);
}

static void
linger_if_flushed (anvil_relay_caller_connection_t *connection)
{
  if (connection->closing && !connection->lingering
      && g_queue_is_empty (&connection->pending_responses)
      && evbuffer_get_length (bufferevent_get_output (connection->stream)) == 0)
    start_lingering (connection);
}

/* Accepts no more requests; the connection closes after the pending responses. */
static void
begin_closing (anvil_relay_caller_connection_t *connection)
{
  connection->closing = TRUE;
  event_del (connection->header_timer);
  event_del (connection->body_timer);
  linger_if_flushed (connection);
}

static void
count_unsent_bytes (anvil_relay_caller_connection_t *connection, gsize length)
{
  anvil_relay_callers_t *callers = connection->callers;

  connection->unsent_bytes += length;
  callers->unsent_bytes += length;
  if (callers->unsent_bytes > callers->options.max_unsent_bytes)
    event_active (callers->unsent_limit_event, EV_TIMEOUT, 0);
}

/* Whether the connection closes after its first pending response. During shutdown it does unless
 * some of another request has arrived. */
static gboolean
closes_after_first (const anvil_relay_caller_connection_t *connection)
{
  const pending_response_t *first = connection->pending_responses.head->data;

  return first->close
         || (connection->callers->shutting_down && connection->pending_responses.length == 1
             && connection->partial_request == NULL
             && evbuffer_get_length (bufferevent_get_input (connection->stream)) == 0);
}

/* Writes the first pending response. Returns whether the connection closes after it. */
static gboolean
write_first_response (anvil_relay_caller_connection_t *connection)
{
  const gboolean close = closes_after_first (connection);
  const anvil_str_t end = anvil_str (close ? "Connection: close\r\n\r\n" : "\r\n");
  pending_response_t *pending = g_queue_pop_head (&connection->pending_responses);

  evbuffer_add (pending->head, end.data, end.length);
  count_unsent_bytes (connection, end.length);
  bufferevent_write_buffer (connection->stream, pending->head);
  bufferevent_write_buffer (connection->stream, pending->body);
  pending_response_drop (pending);
  return close;
}

/* Writes the responses whose predecessors have all been written. */
static void
write_ready_responses (anvil_relay_caller_connection_t *connection)
{
  const pending_response_t *first;

  while ((first = g_queue_peek_head (&connection->pending_responses)) != NULL
         && first->head != NULL)
    {
      if (!write_first_response (connection))
        continue;
      begin_closing (connection);
      return;
    }
  linger_if_flushed (connection);
  if (connection->reading_paused
      && g_queue_get_length (&connection->pending_responses) < MAX_PENDING_RESPONSES)
    {
      connection->reading_paused = FALSE;
      bufferevent_enable (connection->stream, EV_READ);
      caller_connection_read (connection);
    }
}

static pending_response_t *
find_pending_response (anvil_relay_caller_connection_t *connection,
                       const anvil_relay_request_t *request)
{
  for (GList *link = connection->pending_responses.head; link != NULL; link = link->next)
    {
      pending_response_t *pending = link->data;

      if (pending->request == request)
        return pending;
    }
  return NULL;
}

static const char *
reason_phrase (guint status)
{
  switch (status)
    {
#define PHRASE(code, name, text)                                                                   \
  case code:                                                                                       \
    return #text;
      HTTP_STATUS_MAP (PHRASE)
#undef PHRASE
    default:
      return "Status";
    }
}

static gboolean
has_body (guint status)
{
  return status >= 200 && status != 204 && status != 304;
}

/* Stores a response until it can be written; takes the bytes of @body. */
static void
set_response (anvil_relay_caller_connection_t *connection,
              pending_response_t *pending,
              guint status,
              anvil_str_t headers,
              struct evbuffer *body,
              gboolean is_head)
{
  gsize length = body != NULL ? evbuffer_get_length (body) : 0;

  pending->head = evbuffer_new ();
  pending->body = evbuffer_new ();
  evbuffer_add_printf (pending->head, "HTTP/1.1 %u %s\r\n", status, reason_phrase (status));
  evbuffer_add (pending->head, headers.data, headers.length);
  if (has_body (status))
    evbuffer_add_printf (pending->head, "Content-Length: %zu\r\n", length);
  if (body != NULL && has_body (status) && !is_head)
    evbuffer_add_buffer (pending->body, body);
  count_unsent_bytes (connection,
                      evbuffer_get_length (pending->head) + evbuffer_get_length (pending->body));
}

static gint64
measure_unsent_bytes (gconstpointer value)
{
  const anvil_relay_caller_connection_t *connection = value;

  return (gint64) connection->unsent_bytes;
}

/* Closes the connections of callers that don't read while all unsent responses exceed the limit.
 * Runs from the event loop, since it may free any connection. */
static void
on_unsent_limit (evutil_socket_t unused_fd, short unused_events, void *data)
{
  anvil_relay_callers_t *callers = data;

  while (callers->unsent_bytes > callers->options.max_unsent_bytes)
    {
      anvil_relay_caller_connection_t *slowest
          = anvil_find_largest (callers->connections, measure_unsent_bytes);

      anvil_log (ANVIL_LOG_WARNING, "caller",
                 "connection closed, unsent responses exceed their memory bytes=%zu "
                 "all_bytes=%zu limit=%zu",
                 slowest->unsent_bytes, callers->unsent_bytes, callers->options.max_unsent_bytes);
      on_disconnected (slowest);
    }
}

void
anvil_relay_respond (anvil_relay_request_t *request,
                     guint status,
                     anvil_str_t headers,
                     struct evbuffer *body)
{
  anvil_relay_caller_connection_t *connection = request->connection;
  pending_response_t *pending
      = connection != NULL ? find_pending_response (connection, request) : NULL;

  if (pending != NULL)
    {
      pending->close = request->close_after_response;
      pending->request = NULL;
      set_response (connection, pending, status, headers, body, request->is_head);
    }
  request_drop (request);
  if (pending != NULL)
    write_ready_responses (connection);
}

void
caller_connection_reject (anvil_relay_caller_connection_t *connection, guint status)
{
  pending_response_t *pending;

  anvil_log (ANVIL_LOG_NOTICE, "caller", "request rejected status=%u header_bytes=%zu", status,
             connection->header_bytes);
  if (connection->dropping_body)
    {
      begin_closing (connection);
      return;
    }
  pending = g_new0 (pending_response_t, 1);
  pending->close = TRUE;
  set_response (connection, pending, status, (anvil_str_t){ 0 }, NULL, FALSE);
  g_queue_push_tail (&connection->pending_responses, pending);
  connection->closing = TRUE;
  event_del (connection->header_timer);
  event_del (connection->body_timer);
  write_ready_responses (connection);
}

static void
on_read (struct bufferevent *stream, void *data)
{
  anvil_relay_caller_connection_t *connection = data;
  struct evbuffer *input = bufferevent_get_input (stream);

  connection->last_active_at = anvil_clock_now ();
  if (connection->closing)
    evbuffer_drain (input, evbuffer_get_length (input));
  else
    caller_connection_read (connection);
}

static void
on_written (struct bufferevent *stream, void *data)
{
  anvil_relay_caller_connection_t *connection = data;

  connection->last_active_at = anvil_clock_now ();
  linger_if_flushed (connection);
}

/* Whether a response is pending or not fully written. The caller is waiting then, not idle. */
static gboolean
has_pending_output (const anvil_relay_caller_connection_t *connection)
{
  return connection->pending_responses.length > 0
         || evbuffer_get_length (bufferevent_get_output (connection->stream)) > 0;
}

/* Callers measure idle time from the last response and use the limit in force at that time. A timer
 * set on arrival of the request, or under an older configuration, would expire too early and close
 * the connection while the caller sends its next request. So this timer only checks, and is set
 * again for the rest of the time. */
static void
on_idle_timer (evutil_socket_t unused_fd, short unused_events, void *data)
{
  anvil_relay_caller_connection_t *connection = data;
  anvil_time_t now = anvil_clock_now ();
  anvil_time_t idle_timeout = caller_limits (connection)->idle_timeout;
  anvil_time_t since = has_pending_output (connection) ? now : connection->last_active_at;
  struct timeval remaining = anvil_time_to_timeval (since + idle_timeout - now);

  if (now - since < idle_timeout)
    evtimer_add (connection->idle_timer, &remaining);
  else if (connection->partial_request != NULL)
    caller_connection_reject (connection, STATUS_REQUEST_TIMEOUT);
  else
    begin_closing (connection);
}

static void
on_event (struct bufferevent *stream, short events, void *data)
{
  anvil_relay_caller_connection_t *connection = data;

  /* The read time-out is set only while lingering, the write time-out always. */
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
    on_disconnected (connection);
}

/* The headers, or the body, took too long. */
static void
on_request_timeout (evutil_socket_t unused_fd, short unused_events, void *data)
{
  caller_connection_reject (data, STATUS_REQUEST_TIMEOUT);
}

/* Connections that have been idle longest count most, those in use not at all. */
static gint64
measure_idle_time (gconstpointer value)
{
  const anvil_relay_caller_connection_t *connection = value;

  return connection->partial_request == NULL && !has_pending_output (connection)
             ? G_MAXINT64 - connection->last_active_at
             : -1;
}

/* Makes room for a connection. Returns FALSE if there is none. */
static gboolean
make_room (anvil_relay_callers_t *callers)
{
  anvil_relay_caller_connection_t *idle;

  if (g_hash_table_size (callers->connections) < callers->options.max_connections)
    return TRUE;
  idle = anvil_find_largest (callers->connections, measure_idle_time);
  if (idle == NULL)
    return FALSE;
  if (callers->displaced_connections++ % DISPLACED_PER_LOG_LINE == 0)
    anvil_log (ANVIL_LOG_WARNING, "caller",
               "idle connection closed for a new one, limit of connections reached for=%s open=%u "
               "idle_ms=%" G_GINT64_FORMAT " closed=%" G_GUINT64_FORMAT,
               callers->options.name, g_hash_table_size (callers->connections),
               (anvil_clock_now () - idle->last_active_at) / ANVIL_MS,
               callers->displaced_connections);
  connection_close (idle);
  return TRUE;
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int length,
           void *data)
{
  anvil_relay_callers_t *callers = data;
  anvil_relay_caller_connection_t *connection;
  struct timeval idle_timeout;
  int on = 1;

  if (!make_room (callers))
    {
      anvil_log (ANVIL_LOG_WARNING, "caller",
                 "connection closed, limit of connections reached for=%s open=%u",
                 callers->options.name, g_hash_table_size (callers->connections));
      evutil_closesocket (fd);
      return;
    }
  connection = g_new0 (anvil_relay_caller_connection_t, 1);
  connection->callers = callers;
  connection->stream = bufferevent_socket_new (callers->base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->target = g_string_new (NULL);
  connection->field_name = g_string_new (NULL);
  connection->field_value = g_string_new (NULL);
  connection->hop_by_hop_names = g_string_new (NULL);
  connection->header_timer = evtimer_new (callers->base, on_request_timeout, connection);
  connection->body_timer = evtimer_new (callers->base, on_request_timeout, connection);
  connection->idle_timer = evtimer_new (callers->base, on_idle_timer, connection);
  connection->last_active_at = anvil_clock_now ();
  g_queue_init (&connection->pending_responses);
  http_parser_init (&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  g_hash_table_add (callers->connections, connection);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  idle_timeout = anvil_time_to_timeval (caller_limits (connection)->idle_timeout);
  bufferevent_setcb (connection->stream, on_read, on_written, on_event, connection);
  evbuffer_add_cb (bufferevent_get_output (connection->stream), on_output_changed, connection);
  anvil_byte_counts_watch (&callers->byte_counts, connection->stream);
  bufferevent_set_timeouts (connection->stream, NULL, &idle_timeout);
  evtimer_add (connection->idle_timer, &idle_timeout);
  bufferevent_enable (connection->stream, EV_READ | EV_WRITE);
}

static void
on_accept_error (struct evconnlistener *listener, void *data)
{
  anvil_log (ANVIL_LOG_ERROR, "caller", "can't accept a connection error=\"%s\"",
             g_strerror (errno));
}

anvil_relay_callers_t *
anvil_relay_callers_open (struct event_base *base,
                          const anvil_relay_callers_options_t *options,
                          const anvil_relay_caller_callbacks_t *callbacks,
                          void *context,
                          GError **error)
{
  struct sockaddr_in local = { .sin_family = AF_INET,
                               .sin_port = htons (options->port),
                               .sin_addr.s_addr = htonl (options->address) };
  anvil_relay_callers_t *callers = g_new0 (anvil_relay_callers_t, 1);

  callers->base = base;
  callers->options = *options;
  callers->callbacks = *callbacks;
  callers->context = context;
  callers->unsent_limit_event = event_new (base, -1, 0, on_unsent_limit, callers);
  callers->connections = g_hash_table_new (NULL, NULL);
  callers->listener = evconnlistener_new_bind (
      base, on_accept, callers, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      SOMAXCONN, (struct sockaddr *) &local, sizeof local);
  if (callers->listener == NULL)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_IO, "can't listen on port %u for %s: %s",
                   options->port, options->name, g_strerror (errno));
      event_free (callers->unsent_limit_event);
      g_hash_table_unref (callers->connections);
      g_free (callers);
      return NULL;
    }
  evconnlistener_set_error_cb (callers->listener, on_accept_error);
  return callers;
}

static GList *
all_connections (anvil_relay_callers_t *callers)
{
  return g_hash_table_get_keys (callers->connections);
}

void
anvil_relay_callers_close (anvil_relay_callers_t *callers)
{
  GList *connections;

  if (callers == NULL)
    return;
  evconnlistener_free (callers->listener);
  connections = all_connections (callers);
  for (GList *link = connections; link != NULL; link = link->next)
    on_disconnected (link->data);
  g_list_free (connections);
  event_free (callers->unsent_limit_event);
  g_hash_table_unref (callers->connections);
  g_free (callers);
}

void
anvil_relay_callers_begin_shutdown (anvil_relay_callers_t *callers)
{
  callers->shutting_down = TRUE;
}

guint
anvil_relay_callers_count_busy (const anvil_relay_callers_t *callers)
{
  GHashTableIter iter;
  gpointer key;
  guint busy = 0;

  g_hash_table_iter_init (&iter, callers->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const anvil_relay_caller_connection_t *connection = key;

      if (connection->pending_responses.length > 0 || connection->partial_request != NULL
          || evbuffer_get_length (bufferevent_get_output (connection->stream)) > 0)
        busy++;
    }
  return busy;
}

gsize
anvil_relay_callers_buffered_bytes (const anvil_relay_callers_t *callers)
{
  return callers->buffered_bytes;
}

gsize
anvil_relay_callers_unsent_bytes (const anvil_relay_callers_t *callers)
{
  return callers->unsent_bytes;
}

guint
anvil_relay_callers_count_connections (const anvil_relay_callers_t *callers)
{
  return g_hash_table_size (callers->connections);
}

guint64
anvil_relay_callers_count_displaced (const anvil_relay_callers_t *callers)
{
  return callers->displaced_connections;
}

guint32
anvil_relay_request_caller_address (const anvil_relay_request_t *request)
{
  struct sockaddr_in caller = { .sin_family = AF_UNSPEC };
  socklen_t length = sizeof caller;

  if (request->connection == NULL
      || getpeername (bufferevent_getfd (request->connection->stream), (struct sockaddr *) &caller,
                      &length)
             != 0
      || caller.sin_family != AF_INET)
    return 0;
  return ntohl (caller.sin_addr.s_addr);
}

const anvil_byte_counts_t *
anvil_relay_callers_byte_counts (const anvil_relay_callers_t *callers)
{
  return &callers->byte_counts;
}

guint16
anvil_relay_callers_port (const anvil_relay_callers_t *callers)
{
  struct sockaddr_in local = { .sin_port = 0 };
  socklen_t length = sizeof local;

  if (getsockname (evconnlistener_get_fd (callers->listener), (struct sockaddr *) &local, &length)
      != 0)
    return 0;
  return ntohs (local.sin_port);
}

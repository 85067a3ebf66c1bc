#include "relay/relay-caller-internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "anvil/error.h"
#include "anvil/log.h"

/* How long a connection that we end may still send before it is closed: long enough for our last
 * answer to arrive, since closing with unread bytes resets it. */
#define LINGER (1 * ANVIL_SECOND)
#define STATUS_REQUEST_TIMEOUT 408

static void
request_free (anvil_relay_request_t *request)
{
  g_free (request->method);
  g_free (request->target);
  g_free (request->host);
  request->callers->buffered -= evbuffer_get_length (request->body);
  g_string_free (request->headers, TRUE);
  evbuffer_free (request->body);
  g_free (request->id);
  g_free (request->object);
  g_free (request);
}

static void
turn_free (gpointer data)
{
  turn_t *turn = data;

  if (turn->answer != NULL)
    evbuffer_free (turn->answer);
  g_free (turn);
}

static void
connection_free (anvil_relay_caller_connection_t *connection)
{
  g_hash_table_remove (connection->callers->connections, connection);
  if (connection->reading != NULL)
    request_free (connection->reading);
  g_string_free (connection->target, TRUE);
  g_string_free (connection->field, TRUE);
  g_string_free (connection->value, TRUE);
  g_string_free (connection->hop_fields, TRUE);
  event_free (connection->header_timer);
  event_free (connection->idle_timer);
  bufferevent_free (connection->stream);
  g_queue_clear_full (&connection->turns, turn_free);
  g_free (connection);
}

/* The caller is gone: whoever handles its requests is told. */
static void
lose (anvil_relay_caller_connection_t *connection)
{
  anvil_relay_callers_t *callers = connection->callers;
  GPtrArray *orphans = g_ptr_array_new ();

  for (GList *link = connection->turns.head; link != NULL; link = link->next)
    {
      turn_t *turn = link->data;

      if (turn->request == NULL)
        continue;
      turn->request->connection = NULL;
      g_ptr_array_add (orphans, turn->request);
    }
  connection_free (connection);
  for (guint i = 0; i < orphans->len; i++)
    callers->events.disconnected (callers->context, orphans->pdata[i]);
  g_ptr_array_unref (orphans);
}

/* Every answer was written: the caller closes, or is closed after a while. */
static void
linger (anvil_relay_caller_connection_t *connection)
{
  struct timeval patience = anvil_time_to_timeval (LINGER);

  connection->lingering = TRUE;
  event_del (connection->idle_timer);
  shutdown (bufferevent_getfd (connection->stream), SHUT_WR);
  bufferevent_set_timeouts (connection->stream, &patience, NULL);
  bufferevent_enable (connection->stream, EV_READ);
}

static void
end_if_written (anvil_relay_caller_connection_t *connection)
{
  if (connection->ending && !connection->lingering && g_queue_is_empty (&connection->turns)
      && evbuffer_get_length (bufferevent_get_output (connection->stream)) == 0)
    linger (connection);
}

/* Takes no more requests; closes after the answers that are due. */
static void
end (anvil_relay_caller_connection_t *connection)
{
  connection->ending = TRUE;
  event_del (connection->header_timer);
  end_if_written (connection);
}

/* Writes the answers whose turn has come. */
static void
flush (anvil_relay_caller_connection_t *connection)
{
  turn_t *turn;

  while ((turn = g_queue_peek_head (&connection->turns)) != NULL && turn->answer != NULL)
    {
      gboolean last = turn->close;

      bufferevent_write_buffer (connection->stream, turn->answer);
      g_queue_pop_head (&connection->turns);
      turn_free (turn);
      if (!last)
        continue;
      /* What was sent behind it counts as not read and is sent again elsewhere. */
      while ((turn = g_queue_pop_head (&connection->turns)) != NULL)
        {
          anvil_relay_request_t *request = turn->request;

          turn_free (turn);
          if (request == NULL)
            continue;
          request->connection = NULL;
          connection->callers->events.disconnected (connection->callers->context, request);
        }
      end (connection);
      return;
    }
  end_if_written (connection);
  if (connection->paused && g_queue_get_length (&connection->turns) < MAX_PENDING)
    {
      connection->paused = FALSE;
      bufferevent_enable (connection->stream, EV_READ);
      caller_read_more (connection);
    }
}

static turn_t *
find_turn (anvil_relay_caller_connection_t *connection, const anvil_relay_request_t *request)
{
  for (GList *link = connection->turns.head; link != NULL; link = link->next)
    {
      turn_t *turn = link->data;

      if (turn->request == request)
        return turn;
    }
  return NULL;
}

/* Requests behind it were handed on already, and their answers are owed. */
static gboolean
is_last (const anvil_relay_caller_connection_t *connection, const turn_t *turn)
{
  return connection->turns.tail->data == turn;
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

static struct evbuffer *
format_answer (
    guint status, anvil_str_t headers, struct evbuffer *body, gboolean head, gboolean close)
{
  struct evbuffer *out = evbuffer_new ();
  gsize length = body != NULL ? evbuffer_get_length (body) : 0;

  evbuffer_add_printf (out, "HTTP/1.1 %u %s\r\n", status, reason_phrase (status));
  evbuffer_add (out, headers.data, headers.length);
  if (has_body (status))
    evbuffer_add_printf (out, "Content-Length: %zu\r\n", length);
  evbuffer_add_printf (out, close ? "Connection: close\r\n\r\n" : "\r\n");
  if (body != NULL && has_body (status) && !head)
    evbuffer_add_buffer (out, body);
  return out;
}

void
anvil_relay_respond (anvil_relay_request_t *request,
                     guint status,
                     anvil_str_t headers,
                     struct evbuffer *body)
{
  anvil_relay_caller_connection_t *connection = request->connection;
  turn_t *turn = connection != NULL ? find_turn (connection, request) : NULL;

  if (turn != NULL)
    {
      turn->close = request->close_after_response
                    || (connection->callers->leaving && is_last (connection, turn));
      turn->answer = format_answer (status, headers, body, request->is_head, turn->close);
      turn->request = NULL;
    }
  request_free (request);
  if (turn != NULL)
    flush (connection);
}

/* Answers what can't be read as a request, behind the answers that are due, and ends. */
void
caller_reject (anvil_relay_caller_connection_t *connection, guint status)
{
  turn_t *turn = g_new0 (turn_t, 1);

  anvil_log (ANVIL_LOG_NOTICE, "caller", "input refused status=%u header_bytes=%zu", status,
             connection->header_bytes);
  turn->close = TRUE;
  turn->answer = format_answer (status, (anvil_str_t){ 0 }, NULL, FALSE, TRUE);
  g_queue_push_tail (&connection->turns, turn);
  connection->ending = TRUE;
  event_del (connection->header_timer);
  flush (connection);
}

static void
on_read (struct bufferevent *stream, void *data)
{
  anvil_relay_caller_connection_t *connection = data;
  struct evbuffer *input = bufferevent_get_input (stream);

  connection->active_at = anvil_clock_now ();
  if (connection->ending)
    evbuffer_drain (input, evbuffer_get_length (input));
  else
    caller_read_more (connection);
}

static void
on_written (struct bufferevent *stream, void *data)
{
  anvil_relay_caller_connection_t *connection = data;

  connection->active_at = anvil_clock_now ();
  end_if_written (connection);
}

/* An answer is due or on its way: the caller isn't idle, it waits. */
static gboolean
is_owed (const anvil_relay_caller_connection_t *connection)
{
  return connection->turns.length > 0
         || evbuffer_get_length (bufferevent_get_output (connection->stream)) > 0;
}

/* A caller counts its idle time from the last answer, and by the configuration of that moment, so a
 * timer set when the request came, or by an older configuration, would close too soon: while its
 * next request is under way. */
static void
on_idle_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_relay_caller_connection_t *connection = data;
  anvil_time_t now = anvil_clock_now ();
  anvil_time_t idle_timeout = caller_bounds_of (connection)->idle_timeout;
  anvil_time_t since = is_owed (connection) ? now : connection->active_at;
  struct timeval rest = anvil_time_to_timeval (since + idle_timeout - now);

  if (now - since < idle_timeout)
    evtimer_add (connection->idle_timer, &rest);
  else if (connection->reading != NULL)
    caller_reject (connection, STATUS_REQUEST_TIMEOUT);
  else
    end (connection);
}

static void
on_event (struct bufferevent *stream, short what, void *data)
{
  anvil_relay_caller_connection_t *connection = data;

  /* Reading has a time limit only while lingering, writing always. */
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
    lose (connection);
}

static void
on_header_timeout (evutil_socket_t unused_fd, short unused_what, void *data)
{
  caller_reject (data, STATUS_REQUEST_TIMEOUT);
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
  struct timeval idle;
  int on = 1;

  if (g_hash_table_size (callers->connections) >= callers->max_connections)
    {
      anvil_log (ANVIL_LOG_WARNING, "caller", "connection refused, too many are open open=%u",
                 g_hash_table_size (callers->connections));
      evutil_closesocket (fd);
      return;
    }
  connection = g_new0 (anvil_relay_caller_connection_t, 1);
  connection->callers = callers;
  connection->stream = bufferevent_socket_new (callers->base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->target = g_string_new (NULL);
  connection->field = g_string_new (NULL);
  connection->value = g_string_new (NULL);
  connection->hop_fields = g_string_new (NULL);
  connection->header_timer = evtimer_new (callers->base, on_header_timeout, connection);
  connection->idle_timer = evtimer_new (callers->base, on_idle_timer, connection);
  connection->active_at = anvil_clock_now ();
  g_queue_init (&connection->turns);
  http_parser_init (&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  g_hash_table_add (callers->connections, connection);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  idle = anvil_time_to_timeval (caller_bounds_of (connection)->idle_timeout);
  bufferevent_setcb (connection->stream, on_read, on_written, on_event, connection);
  bufferevent_set_timeouts (connection->stream, NULL, &idle);
  evtimer_add (connection->idle_timer, &idle);
  bufferevent_enable (connection->stream, EV_READ | EV_WRITE);
}

static void
on_accept_error (struct evconnlistener *listener, void *data)
{
  anvil_log (ANVIL_LOG_ERROR, "caller", "can't accept error=\"%s\"", g_strerror (errno));
}

anvil_relay_callers_t *
anvil_relay_callers_open (struct event_base *base,
                          guint32 address,
                          guint16 port,
                          const anvil_header_names_t *wire,
                          guint max_connections,
                          gsize max_buffered,
                          const anvil_relay_caller_callbacks_t *events,
                          void *context,
                          GError **error)
{
  struct sockaddr_in local
      = { .sin_family = AF_INET, .sin_port = htons (port), .sin_addr.s_addr = htonl (address) };
  anvil_relay_callers_t *callers = g_new0 (anvil_relay_callers_t, 1);

  callers->base = base;
  callers->wire = wire;
  callers->events = *events;
  callers->context = context;
  callers->max_connections = max_connections;
  callers->max_buffered = max_buffered;
  callers->connections = g_hash_table_new (NULL, NULL);
  callers->listener = evconnlistener_new_bind (
      base, on_accept, callers, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      SOMAXCONN, (struct sockaddr *) &local, sizeof local);
  if (callers->listener == NULL)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_IO, "can't listen for callers on port %u: %s",
                   port, g_strerror (errno));
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
  GList *open;

  if (callers == NULL)
    return;
  evconnlistener_free (callers->listener);
  open = all_connections (callers);
  for (GList *link = open; link != NULL; link = link->next)
    lose (link->data);
  g_list_free (open);
  g_hash_table_unref (callers->connections);
  g_free (callers);
}

void
anvil_relay_callers_begin_shutdown (anvil_relay_callers_t *callers)
{
  callers->leaving = TRUE;
}

guint
anvil_relay_callers_count_busy (const anvil_relay_callers_t *callers)
{
  GHashTableIter iter;
  gpointer key;
  guint unsent = 0;

  g_hash_table_iter_init (&iter, callers->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const anvil_relay_caller_connection_t *connection = key;

      if (connection->turns.length > 0 || connection->reading != NULL
          || evbuffer_get_length (bufferevent_get_output (connection->stream)) > 0)
        unsent++;
    }
  return unsent;
}

gsize
anvil_relay_callers_buffered_bytes (const anvil_relay_callers_t *callers)
{
  return callers->buffered;
}

guint
anvil_relay_callers_count_connections (const anvil_relay_callers_t *callers)
{
  return g_hash_table_size (callers->connections);
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

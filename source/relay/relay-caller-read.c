#include "relay/relay-caller-internal.h"

#include <string.h>

#include "relay/http-field.h"

#define STATUS_BAD_REQUEST 400
#define STATUS_BODY_TOO_LARGE 413
#define STATUS_UNAVAILABLE 503
#define STATUS_HEADERS_TOO_LARGE 431

const anvil_routes_limits_t *
caller_bounds_of (const anvil_relay_caller_connection_t *connection)
{
  return connection->callers->events.limits (connection->callers->context);
}

/* A header that is read may be named once; a second one could be read otherwise behind this entry.
 * Non-zero stops the parser. */
static int
take_once (anvil_relay_caller_connection_t *connection, char **place, anvil_str_t value)
{
  if (*place != NULL)
    {
      connection->fault = STATUS_BAD_REQUEST;
      return 1;
    }
  *place = anvil_str_dup (value);
  return 0;
}

/* Takes the header that has been read whole; non-zero stops the parser. */
static int
take_field (anvil_relay_caller_connection_t *connection)
{
  const anvil_header_names_t *wire = connection->callers->wire;
  anvil_relay_request_t *request = connection->reading;
  anvil_str_t name = { .data = connection->field->str, .length = connection->field->len };
  anvil_str_t value = { .data = connection->value->str, .length = connection->value->len };
  int fault = 0;

  if (!connection->in_value)
    return 0;
  if (!anvil_field_is_valid (name, value))
    {
      connection->fault = STATUS_BAD_REQUEST;
      return 1;
    }
  if (anvil_field_is (name, "Host"))
    fault = take_once (connection, &request->host, value);
  else if (anvil_field_is (name, wire->request_id))
    fault = take_once (connection, &request->id, value);
  else if (anvil_field_is (name, wire->object))
    fault = take_once (connection, &request->object, value);
  else if (anvil_field_is (name, "Connection"))
    g_string_append_printf (connection->hop_fields, ",%s", connection->value->str);

  if (anvil_field_is (name, wire->timeout_ms))
    {
      gint64 milliseconds;

      if (anvil_field_number (value, &milliseconds))
        request->timeout = MAX (milliseconds, 1) * ANVIL_MS;
    }
  else if (!anvil_field_of_connection (name) && !anvil_field_is (name, wire->expected_upstream))
    anvil_field_append (request->headers, name, value);
  g_string_truncate (connection->field, 0);
  g_string_truncate (connection->value, 0);
  connection->in_value = FALSE;
  return fault;
}

/* A header that the caller's Connection header lists; those that requests need are passed on all
 * the same. */
static void
remove_hop_field (void *context, anvil_str_t name)
{
  anvil_relay_caller_connection_t *connection = context;
  const anvil_header_names_t *wire = connection->callers->wire;

  if (name.length > 0 && !anvil_field_is (name, "Host") && !anvil_field_is (name, wire->request_id)
      && !anvil_field_is (name, wire->object))
    anvil_fields_remove (connection->reading->headers, name);
}

/* Counts bytes of the headers; non-zero stops the parser. */
static int
count_header_bytes (anvil_relay_caller_connection_t *connection, size_t length)
{
  connection->header_bytes += length;
  if (connection->header_bytes <= caller_bounds_of (connection)->max_header_bytes)
    return 0;
  connection->fault = STATUS_HEADERS_TOO_LARGE;
  return 1;
}

static int
on_message_begin (http_parser *parser)
{
  anvil_relay_caller_connection_t *connection = parser->data;
  struct timeval patience = anvil_time_to_timeval (caller_bounds_of (connection)->header_timeout);

  connection->reading = g_new0 (anvil_relay_request_t, 1);
  connection->reading->callers = connection->callers;
  connection->reading->headers = g_string_new (NULL);
  connection->reading->body = evbuffer_new ();
  connection->header_bytes = 0;
  connection->in_value = FALSE;
  connection->in_trailers = FALSE;
  g_string_truncate (connection->target, 0);
  g_string_truncate (connection->field, 0);
  g_string_truncate (connection->value, 0);
  g_string_truncate (connection->hop_fields, 0);
  evtimer_add (connection->header_timer, &patience);
  return 0;
}

static int
on_url (http_parser *parser, const char *at, size_t length)
{
  anvil_relay_caller_connection_t *connection = parser->data;

  g_string_append_len (connection->target, at, (gssize) length);
  return count_header_bytes (connection, length);
}

static int
on_header_field (http_parser *parser, const char *at, size_t length)
{
  anvil_relay_caller_connection_t *connection = parser->data;

  if (connection->in_trailers)
    return count_header_bytes (connection, length);
  if (take_field (connection) != 0)
    return 1;
  g_string_append_len (connection->field, at, (gssize) length);
  return count_header_bytes (connection, length);
}

static int
on_header_value (http_parser *parser, const char *at, size_t length)
{
  anvil_relay_caller_connection_t *connection = parser->data;

  if (connection->in_trailers)
    return count_header_bytes (connection, length);
  /* A value goes on in the next piece, at its beginning, or else on a line of its own: such folded
   * lines are read in different ways. */
  if (connection->in_value && connection->value->len > 0 && at != connection->piece)
    {
      connection->fault = STATUS_BAD_REQUEST;
      return 1;
    }
  connection->in_value = TRUE;
  g_string_append_len (connection->value, at, (gssize) length);
  return count_header_bytes (connection, length);
}

static int
on_headers_complete (http_parser *parser)
{
  anvil_relay_caller_connection_t *connection = parser->data;
  const anvil_str_t hop_fields
      = { .data = connection->hop_fields->str, .length = connection->hop_fields->len };

  event_del (connection->header_timer);
  if (take_field (connection) != 0)
    return -1;
  connection->in_trailers = TRUE;
  if (parser->http_major != 1 || connection->reading->host == NULL
      || parser->method == HTTP_CONNECT)
    {
      connection->fault = STATUS_BAD_REQUEST;
      return -1;
    }
  anvil_field_each_token (hop_fields, remove_hop_field, connection);
  if ((parser->flags & F_CONTENTLENGTH) != 0
      && parser->content_length > caller_bounds_of (connection)->max_body_bytes)
    {
      connection->fault = STATUS_BODY_TOO_LARGE;
      return -1;
    }
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  anvil_relay_caller_connection_t *connection = parser->data;
  struct evbuffer *body = connection->reading->body;

  if (evbuffer_get_length (body) + length > caller_bounds_of (connection)->max_body_bytes)
    {
      connection->fault = STATUS_BODY_TOO_LARGE;
      return 1;
    }
  if (connection->callers->buffered + length > connection->callers->max_buffered)
    {
      connection->fault = STATUS_UNAVAILABLE;
      return 1;
    }
  evbuffer_add (body, at, length);
  connection->callers->buffered += length;
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  anvil_relay_caller_connection_t *connection = parser->data;
  anvil_relay_request_t *request = g_steal_pointer (&connection->reading);
  turn_t *turn = g_new0 (turn_t, 1);

  request->connection = connection;
  request->method = g_strdup (http_method_str (parser->method));
  request->target = g_strdup (connection->target->str);
  request->received_at = anvil_clock_now ();
  request->close_after_response = !http_should_keep_alive (parser);
  request->is_head = parser->method == HTTP_HEAD;
  turn->request = request;
  g_queue_push_tail (&connection->turns, turn);
  /* The parser is left before the request is handed on: its answer may end the connection. */
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_url = on_url,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

/* Parses one contiguous piece of the input; FALSE if nothing more is to be read now. */
static gboolean
parse_piece (anvil_relay_caller_connection_t *connection)
{
  anvil_relay_callers_t *callers = connection->callers;
  struct evbuffer *input = bufferevent_get_input (connection->stream);
  struct evbuffer_iovec piece;
  enum http_errno fault;
  size_t parsed;

  if (evbuffer_peek (input, -1, NULL, &piece, 1) < 1 || piece.iov_len == 0)
    return FALSE;
  connection->piece = piece.iov_base;
  parsed
      = http_parser_execute (&connection->parser, &parser_settings, piece.iov_base, piece.iov_len);
  evbuffer_drain (input, parsed);
  fault = HTTP_PARSER_ERRNO (&connection->parser);
  if (fault == HPE_PAUSED)
    {
      turn_t *turn = g_queue_peek_tail (&connection->turns);

      http_parser_pause (&connection->parser, 0);
      if (turn->request->close_after_response)
        connection->ending = TRUE;
      if (g_queue_get_length (&connection->turns) >= MAX_PENDING)
        {
          connection->paused = TRUE;
          bufferevent_disable (connection->stream, EV_READ);
        }
      callers->events.request (callers->context, turn->request);
      return TRUE;
    }
  if (fault == HPE_OK && !connection->parser.upgrade)
    return TRUE;
  caller_reject (connection, connection->fault != 0 ? connection->fault : STATUS_BAD_REQUEST);
  return FALSE;
}

void
caller_read_more (anvil_relay_caller_connection_t *connection)
{
  anvil_relay_callers_t *callers = connection->callers;

  /* A request's answer may end the connection and free it. */
  while (g_hash_table_contains (callers->connections, connection) && !connection->ending
         && !connection->paused)
    {
      if (!parse_piece (connection))
        return;
    }
}

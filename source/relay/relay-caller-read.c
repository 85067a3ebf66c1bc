#include "relay/relay-caller-internal.h"

#include <string.h>

#include "relay/http-field.h"
#include "relay/http-status.h"

/* A body must arrive within the caller's own timeout, but at least this time is allowed: large
 * uploads come over slow links. */
#define MIN_BODY_TIME (30 * ANVIL_SECOND)

const anvil_routes_limits_t *
caller_limits (const anvil_relay_caller_connection_t *connection)
{
  return connection->callers->callbacks.limits (connection->callers->context);
}

/* Stores a header that may occur only once: the upstream might use another occurrence than the
 * relay. Non-zero stops the parser. */
static int
set_once (anvil_relay_caller_connection_t *connection, char **field, anvil_str_t value)
{
  if (*field != NULL)
    {
      connection->error_status = STATUS_BAD_REQUEST;
      return 1;
    }
  *field = anvil_str_dup (value);
  return 0;
}

/* Keeps the key of the caller's tenant. Whether one is needed depends on the configuration. */
static void
add_key (anvil_relay_request_t *request, anvil_str_t value)
{
  const anvil_str_t key = anvil_http_trim_blanks (value);

  if (request->key == NULL)
    request->key = anvil_str_dup (key);
  else if (!anvil_str_equal (anvil_str (request->key), key))
    request->keys_differ = TRUE;
}

/* Handles a header that has been read completely; non-zero stops the parser. */
static int
process_field (anvil_relay_caller_connection_t *connection)
{
  const anvil_header_names_t *header_names = connection->callers->options.header_names;
  anvil_relay_request_t *request = connection->partial_request;
  anvil_str_t name = { .data = connection->field_name->str, .length = connection->field_name->len };
  anvil_str_t value
      = { .data = connection->field_value->str, .length = connection->field_value->len };
  int result = 0;

  if (!connection->in_value)
    return 0;
  if (!anvil_http_field_is_valid (name, value))
    {
      connection->error_status = STATUS_BAD_REQUEST;
      return 1;
    }
  if (anvil_http_field_name_is (name, "Host"))
    result = set_once (connection, &request->host, value);
  else if (anvil_http_field_name_is (name, header_names->request_id))
    result = set_once (connection, &request->id, value);
  else if (anvil_http_field_name_is (name, header_names->object))
    result = set_once (connection, &request->object, value);
  else if (header_names->api_key != NULL && anvil_http_field_name_is (name, header_names->api_key))
    add_key (request, value);
  else if (anvil_http_field_name_is (name, "Connection"))
    g_string_append_printf (connection->hop_by_hop_names, ",%s", connection->field_value->str);

  if (anvil_http_field_name_is (name, header_names->timeout_ms))
    {
      gint64 milliseconds;

      if (anvil_http_field_parse_number (value, &milliseconds))
        request->timeout = MAX (milliseconds, 1) * ANVIL_MS;
    }
  else if (!anvil_http_field_is_hop_by_hop (name)
           && !anvil_http_field_name_is (name, header_names->expected_upstream))
    anvil_http_field_append (request->headers, name, value);
  g_string_truncate (connection->field_name, 0);
  g_string_truncate (connection->field_value, 0);
  connection->in_value = FALSE;
  return result;
}

/* Removes a header that the caller's Connection header lists, unless the relay needs it. */
static void
remove_hop_by_hop_field (void *context, anvil_str_t name)
{
  anvil_relay_caller_connection_t *connection = context;
  const anvil_header_names_t *header_names = connection->callers->options.header_names;

  if (name.length > 0 && !anvil_http_field_name_is (name, "Host")
      && !anvil_http_field_name_is (name, header_names->request_id)
      && !anvil_http_field_name_is (name, header_names->object))
    anvil_http_fields_remove (connection->partial_request->headers, name);
}

/* Adds to the size of the header section; non-zero stops the parser. */
static int
count_header_bytes (anvil_relay_caller_connection_t *connection, size_t length)
{
  connection->header_bytes += length;
  if (connection->header_bytes <= caller_limits (connection)->max_header_bytes)
    return 0;
  connection->error_status = STATUS_HEADERS_TOO_LARGE;
  return 1;
}

static int
on_message_begin (http_parser *parser)
{
  anvil_relay_caller_connection_t *connection = parser->data;
  struct timeval timeout = anvil_time_to_timeval (caller_limits (connection)->header_timeout);

  connection->partial_request = g_new0 (anvil_relay_request_t, 1);
  connection->partial_request->callers = connection->callers;
  connection->partial_request->headers = g_string_new (NULL);
  connection->partial_request->body = evbuffer_new ();
  connection->header_bytes = 0;
  connection->in_value = FALSE;
  connection->in_trailers = FALSE;
  g_string_truncate (connection->target, 0);
  g_string_truncate (connection->field_name, 0);
  g_string_truncate (connection->field_value, 0);
  g_string_truncate (connection->hop_by_hop_names, 0);
  evtimer_add (connection->header_timer, &timeout);
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
  if (process_field (connection) != 0)
    return 1;
  g_string_append_len (connection->field_name, at, (gssize) length);
  return count_header_bytes (connection, length);
}

static int
on_header_value (http_parser *parser, const char *at, size_t length)
{
  anvil_relay_caller_connection_t *connection = parser->data;

  if (connection->in_trailers)
    return count_header_bytes (connection, length);
  /* A continuation at the start of the input belongs to a value that was split by the network. Any
   * other is an obsolete folded line, which recipients interpret differently. */
  if (connection->in_value && connection->field_value->len > 0 && at != connection->input_start)
    {
      connection->error_status = STATUS_BAD_REQUEST;
      return 1;
    }
  connection->in_value = TRUE;
  g_string_append_len (connection->field_value, at, (gssize) length);
  return count_header_bytes (connection, length);
}

static anvil_time_t
body_timeout (const anvil_relay_caller_connection_t *connection)
{
  const anvil_routes_limits_t *limits = caller_limits (connection);

  return limits->max_body_bytes > 0 ? MAX (connection->partial_request->timeout, MIN_BODY_TIME)
                                    : limits->header_timeout;
}

/* Queues the response to the request that is being read, and hands the request over. The parser
 * stops here: the response may free the connection. */
static void
deliver_request (anvil_relay_caller_connection_t *connection)
{
  http_parser *parser = &connection->parser;
  anvil_relay_request_t *request = g_steal_pointer (&connection->partial_request);
  pending_response_t *pending = g_new0 (pending_response_t, 1);

  request->connection = connection;
  request->received_at = anvil_clock_now ();
  request->close_after_response |= !http_should_keep_alive (parser);
  request->is_head = parser->method == HTTP_HEAD;
  pending->request = request;
  g_queue_push_tail (&connection->pending_responses, pending);
  http_parser_pause (parser, 1);
}

/* Delivers a request that its head refuses, without waiting for its body. */
static void
refuse_by_head (anvil_relay_caller_connection_t *connection)
{
  const anvil_relay_caller_callbacks_t *callbacks = &connection->callers->callbacks;
  anvil_relay_request_t *request = connection->partial_request;

  request->method = g_strdup (http_method_str (connection->parser.method));
  request->target = g_strdup (connection->target->str);
  if (callbacks->head != NULL)
    request->refusal = callbacks->head (connection->callers->context, request);
  if (request->refusal == NULL)
    return;
  connection->dropping_body = TRUE;
  connection->dropped_bytes = 0;
  deliver_request (connection);
}

static gboolean
announces_too_long_body (const anvil_relay_caller_connection_t *connection)
{
  return (connection->parser.flags & F_CONTENTLENGTH) != 0
         && connection->parser.content_length > caller_limits (connection)->max_body_bytes;
}

static int
on_headers_complete (http_parser *parser)
{
  anvil_relay_caller_connection_t *connection = parser->data;
  const anvil_str_t listed_names
      = { .data = connection->hop_by_hop_names->str, .length = connection->hop_by_hop_names->len };

  struct timeval body_time;

  event_del (connection->header_timer);
  if (process_field (connection) != 0)
    return -1;
  body_time = anvil_time_to_timeval (body_timeout (connection));
  connection->in_trailers = TRUE;
  if (parser->http_major != 1
      || (connection->partial_request->host == NULL && !connection->callers->options.host_optional)
      || parser->method == HTTP_CONNECT)
    {
      connection->error_status = STATUS_BAD_REQUEST;
      return -1;
    }
  /* An offer of another protocol isn't taken up. The parser would stop behind this request. */
  parser->upgrade = 0;
  evtimer_add (connection->body_timer, &body_time);
  anvil_http_field_foreach_token (listed_names, remove_hop_by_hop_field, connection);
  connection->partial_request->close_after_response = announces_too_long_body (connection);
  refuse_by_head (connection);
  if (!connection->dropping_body && announces_too_long_body (connection))
    {
      connection->error_status = STATUS_BODY_TOO_LARGE;
      return -1;
    }
  return 0;
}

/* Non-zero stops the parser. */
static int
count_dropped_bytes (anvil_relay_caller_connection_t *connection, size_t length)
{
  connection->dropped_bytes += length;
  if (connection->dropped_bytes <= caller_limits (connection)->max_body_bytes)
    return 0;
  connection->error_status = STATUS_BODY_TOO_LARGE;
  return 1;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  anvil_relay_caller_connection_t *connection = parser->data;
  struct evbuffer *body;

  if (connection->dropping_body)
    return count_dropped_bytes (connection, length);
  body = connection->partial_request->body;
  if (evbuffer_get_length (body) + length > caller_limits (connection)->max_body_bytes)
    {
      connection->error_status = STATUS_BODY_TOO_LARGE;
      return 1;
    }
  if (connection->callers->buffered_bytes + length
      > connection->callers->options.max_buffered_bytes)
    {
      connection->error_status = STATUS_UNAVAILABLE;
      return 1;
    }
  evbuffer_add (body, at, length);
  connection->callers->buffered_bytes += length;
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  anvil_relay_caller_connection_t *connection = parser->data;

  event_del (connection->body_timer);
  if (connection->dropping_body)
    connection->dropping_body = FALSE;
  else
    deliver_request (connection);
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

/* Parses one contiguous chunk of the input. Returns FALSE if reading has to stop for now. */
static gboolean
parse_input (anvil_relay_caller_connection_t *connection)
{
  anvil_relay_callers_t *callers = connection->callers;
  struct evbuffer *input = bufferevent_get_input (connection->stream);
  struct evbuffer_iovec chunk;
  enum http_errno parse_error;
  size_t parsed;

  if (evbuffer_peek (input, -1, NULL, &chunk, 1) < 1 || chunk.iov_len == 0)
    return FALSE;
  connection->input_start = chunk.iov_base;
  parsed
      = http_parser_execute (&connection->parser, &parser_settings, chunk.iov_base, chunk.iov_len);
  evbuffer_drain (input, parsed);
  parse_error = HTTP_PARSER_ERRNO (&connection->parser);
  if (parse_error == HPE_PAUSED)
    {
      pending_response_t *pending = g_queue_peek_tail (&connection->pending_responses);

      http_parser_pause (&connection->parser, 0);
      if (pending->request->close_after_response)
        connection->closing = TRUE;
      if (g_queue_get_length (&connection->pending_responses) >= MAX_PENDING_RESPONSES)
        {
          connection->reading_paused = TRUE;
          bufferevent_disable (connection->stream, EV_READ);
        }
      callers->callbacks.request (callers->context, pending->request);
      return TRUE;
    }
  if (parse_error == HPE_OK)
    return TRUE;
  caller_connection_reject (connection, connection->error_status != 0 ? connection->error_status
                                                                      : STATUS_BAD_REQUEST);
  return FALSE;
}

void
caller_connection_read (anvil_relay_caller_connection_t *connection)
{
  anvil_relay_callers_t *callers = connection->callers;

  /* The response to a request may close and free the connection. */
  while (g_hash_table_contains (callers->connections, connection) && !connection->closing
         && !connection->reading_paused)
    {
      if (!parse_input (connection))
        return;
    }
}

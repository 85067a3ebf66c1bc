#include "caller-request.h"

#include <arpa/inet.h>
#include <string.h>

#include <event2/buffer.h>

#include "http-headers.h"

guint32
anvil_caller_request_client_address (struct evhttp_request *http)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (http);
  char *text = NULL;
  ev_uint16_t port;
  struct in_addr address;

  if (connection == NULL)
    return 0;
  evhttp_connection_get_peer (connection, &text, &port);
  if (text == NULL || inet_pton (AF_INET, text, &address) != 1)
    return 0;
  return ntohl (address.s_addr);
}

static anvil_request_error_t
request_error (int status, const char *counter_label, const char *message)
{
  return (anvil_request_error_t){ .status = status,
                                  .counter_label = counter_label,
                                  .message = message };
}

/* The service that the Host header names. The port in the header is ignored. */
static guint
lookup_service (struct evhttp_request *http, const anvil_config_t *config)
{
  const char *text = evhttp_find_header (evhttp_request_get_input_headers (http), "Host");
  anvil_str_t host = anvil_str (text);
  const char *colon = host.length > 0 ? memchr (host.data, ':', host.length) : NULL;

  if (colon != NULL)
    host.length = (gsize) (colon - host.data);
  return host.length > 0 ? anvil_config_lookup_host (config, host) : ANVIL_NO_INDEX;
}

static gboolean
is_safe (enum evhttp_cmd_type method)
{
  return method == EVHTTP_REQ_GET || method == EVHTTP_REQ_HEAD || method == EVHTTP_REQ_OPTIONS;
}

/* The time-out of the request: that of the service, or a shorter one from the caller's header.
 * FALSE if the header is invalid. */
static gboolean
parse_timeout (const struct evkeyvalq *headers, anvil_time_t max_timeout, anvil_time_t *timeout)
{
  const char *text = evhttp_find_header (headers, "Anvil-Timeout-Ms");
  guint64 ms;

  *timeout = max_timeout;
  if (text == NULL)
    return TRUE;
  if (!g_ascii_string_to_unsigned (text, 10, 1, G_MAXUINT32, &ms, NULL))
    return FALSE;
  *timeout = MIN (max_timeout, (anvil_time_t) ms * ANVIL_MS);
  return TRUE;
}

static gboolean
is_valid_key (const char *key)
{
  gsize length = strlen (key);

  if (length == 0 || length > ANVIL_MAX_IDEMPOTENCY_KEY_BYTES)
    return FALSE;
  for (const char *c = key; *c != '\0'; c++)
    {
      if (!g_ascii_isgraph (*c))
        return FALSE;
    }
  return TRUE;
}

static gboolean
validate (struct evhttp_request *http,
          const anvil_config_t *config,
          guint *service,
          anvil_time_t *timeout,
          anvil_request_error_t *error)
{
  const struct evkeyvalq *headers = evhttp_request_get_input_headers (http);
  const char *key = evhttp_find_header (headers, "Idempotency-Key");
  gsize length = evbuffer_get_length (evhttp_request_get_input_buffer (http));

  *service = lookup_service (http, config);
  if (*service == ANVIL_NO_INDEX)
    {
      *error = request_error (HTTP_NOTFOUND, "reason=\"host\"",
                              "the Host header names no configured service");
      return FALSE;
    }
  if (key != NULL && (!is_valid_key (key) || anvil_headers_count (headers, "Idempotency-Key") > 1))
    {
      *error
          = request_error (HTTP_BADREQUEST, "reason=\"key\"",
                           "Idempotency-Key must be a single value of 1 to 128 visible characters");
      return FALSE;
    }
  if (!parse_timeout (headers, config->services[*service].deadline, timeout))
    {
      *error = request_error (HTTP_BADREQUEST, "reason=\"timeout\"",
                              "Anvil-Timeout-Ms must be a positive integer");
      return FALSE;
    }
  if (length > (guint64) config->services[*service].max_request_bytes)
    {
      *error = request_error (HTTP_ENTITYTOOLARGE, "reason=\"body\"",
                              "the request body exceeds the limit of the service");
      return FALSE;
    }
  return TRUE;
}

static void
start_span (anvil_caller_request_t *request, const struct evkeyvalq *headers)
{
  anvil_trace_context_t caller;

  if (!anvil_trace_context_parse (evhttp_find_header (headers, "traceparent"), &caller))
    {
      request->span = anvil_trace_context_new_trace ();
      return;
    }
  request->parent_span_id = caller.span_id;
  request->span = anvil_trace_context_child (&caller);
}

anvil_caller_request_t *
anvil_caller_request_new (guint64 id,
                          struct evhttp_request *http,
                          const anvil_config_t *config,
                          anvil_time_t now,
                          anvil_request_error_t *error)
{
  const struct evkeyvalq *headers = evhttp_request_get_input_headers (http);
  anvil_caller_request_t *request;
  anvil_time_t timeout;
  guint service;

  if (!validate (http, config, &service, &timeout, error))
    return NULL;
  request = g_new0 (anvil_caller_request_t, 1);
  request->id = id;
  request->http = http;
  request->service_name = anvil_str_dup (config->services[service].name);
  request->service_index = service;
  request->method = evhttp_request_get_command (http);
  request->client_address = anvil_caller_request_client_address (http);
  request->idempotent = is_safe (request->method) || config->services[service].idempotent;
  request->idempotency_key = g_strdup (evhttp_find_header (headers, "Idempotency-Key"));
  request->deadline = now + timeout;
  request->body = evbuffer_new ();
  evbuffer_add_buffer (request->body, evhttp_request_get_input_buffer (http));
  request->received_wall_time = anvil_clock_wall ();
  request->received_at = now;
  start_span (request, headers);
  return request;
}

void
anvil_caller_request_drop (anvil_caller_request_t *request)
{
  if (request == NULL)
    return;
  evbuffer_free (request->body);
  g_free (request->service_name);
  g_free (request->idempotency_key);
  g_free (request->upstream_name);
  g_free (request);
}

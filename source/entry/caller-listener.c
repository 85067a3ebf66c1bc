#include "caller-listener.h"

#include <errno.h>
#include <string.h>

#include "anvil/error.h"
#include "anvil/log.h"
#include "caller-response.h"
#include "http-headers.h"
#include "http-listen.h"
#include "lookup-response.h"

#define ALLOWED_METHODS                                                                            \
  (EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_POST | EVHTTP_REQ_PUT        \
   | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH)

struct anvil_caller_listener
{
  struct evhttp *http;
  anvil_caller_listener_options_t options;
};

static gboolean
is_lookup (struct evhttp_request *request)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *path = uri != NULL ? evhttp_uri_get_path (uri) : NULL;

  return evhttp_request_get_command (request) == EVHTTP_REQ_GET && path != NULL
         && strcmp (path, "/v1/entries") == 0;
}

static void
on_request (struct evhttp_request *request, void *data)
{
  anvil_caller_listener_t *listener = data;
  const char *header_error = anvil_headers_validate (evhttp_request_get_input_headers (request));

  anvil_caller_connections_request_received (listener->options.connections, request);
  if (header_error != NULL)
    {
      anvil_metrics_add_counter (listener->options.metrics, "anvil_bad_requests_total",
                                 "reason=\"headers\"", 1);
      anvil_caller_connections_request_finished (listener->options.connections, request);
      anvil_respond_bad_request (request, HTTP_BADREQUEST, header_error);
      return;
    }
  if (is_lookup (request))
    {
      anvil_caller_connections_request_finished (listener->options.connections, request);
      anvil_lookup_respond (request, listener->options.steer, listener->options.metrics);
      return;
    }
  anvil_request_task_accept (listener->options.requests, request);
}

anvil_caller_listener_t *
anvil_caller_listener_open (struct event_base *base,
                            const anvil_entry_settings_t *settings,
                            const anvil_caller_listener_options_t *options,
                            GError **error)
{
  anvil_caller_listener_t *listener = g_new0 (anvil_caller_listener_t, 1);

  listener->options = *options;
  listener->http = evhttp_new (base);
  evhttp_set_default_content_type (listener->http, NULL);
  evhttp_set_allowed_methods (listener->http, ALLOWED_METHODS);
  evhttp_set_max_headers_size (listener->http, settings->max_header_bytes);
  evhttp_set_max_body_size (listener->http, settings->max_body_bytes);
  evhttp_set_timeout (listener->http, settings->idle_timeout_s);
  evhttp_set_bevcb (listener->http, anvil_caller_connections_new_bufferevent, options->connections);
  evhttp_set_gencb (listener->http, on_request, listener);
  if (!anvil_http_listen (listener->http, settings->listen_address, settings->listen_port, error))
    {
      anvil_caller_listener_close (listener);
      return NULL;
    }
  return listener;
}

void
anvil_caller_listener_close (anvil_caller_listener_t *listener)
{
  if (listener == NULL)
    return;
  evhttp_free (listener->http);
  g_free (listener);
}

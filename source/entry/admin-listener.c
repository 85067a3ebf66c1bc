#include "admin-listener.h"

#include <string.h>

#include <event2/buffer.h>

#include "admin-metrics.h"
#include "admin-status.h"
#include "http-headers.h"
#include "http-listen.h"
#include "net/http-json.h"

#define MAX_HEADER_BYTES 8192
#define MAX_BODY_BYTES 1024
#define IDLE_SECONDS 60

struct anvil_admin_listener
{
  struct evhttp *http;
  anvil_admin_listener_options_t options;
};

static gboolean
is_ready (const anvil_admin_listener_t *listener)
{
  return anvil_steer_generation (listener->options.steer) > 0 && !*listener->options.shutting_down;
}

static void
send_text (struct evhttp_request *request, const char *type, const char *text, gsize length)
{
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add (body, text, length);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Content-Type", type);
  evhttp_send_reply (request, HTTP_OK, NULL, body);
  evbuffer_free (body);
}

static void
respond_health (anvil_admin_listener_t *listener, struct evhttp_request *request)
{
  send_text (request, "text/plain", "ok\n", 3);
}

static void
respond_ready (anvil_admin_listener_t *listener, struct evhttp_request *request)
{
  if (is_ready (listener))
    send_text (request, "text/plain", "ready\n", 6);
  else
    anvil_http_json_send_error (request, HTTP_SERVUNAVAIL,
                                *listener->options.shutting_down
                                    ? "this entry is shutting down"
                                    : "no configuration is in force yet");
}

static void
respond_status (anvil_admin_listener_t *listener, struct evhttp_request *request)
{
  anvil_http_json_send (request, HTTP_OK,
                        anvil_admin_status (listener->options.steer, listener->options.settings,
                                            anvil_clock_now (), *listener->options.shutting_down));
}

static void
respond_drain (anvil_admin_listener_t *listener, struct evhttp_request *request)
{
  anvil_http_json_send (request, HTTP_OK,
                        anvil_admin_drain (listener->options.steer, anvil_clock_now (),
                                           *listener->options.shutting_down));
}

static void
respond_config (anvil_admin_listener_t *listener, struct evhttp_request *request)
{
  anvil_str_t head;
  anvil_str_t file;
  guint64 generation = anvil_config_task_current (listener->options.config, &head, &file);
  char text[32];

  if (generation == 0)
    {
      anvil_http_json_send_error (request, HTTP_NOTFOUND, "no configuration is in force yet");
      return;
    }
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, generation);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Anvil-Generation", text);
  send_text (request, "application/yaml", file.data, file.length);
}

static void
respond_traces (anvil_admin_listener_t *listener, struct evhttp_request *request)
{
  GString *text = g_string_new (NULL);

  anvil_trace_ring_render (listener->options.traces, text);
  send_text (request, "application/x-ndjson", text->str, text->len);
  g_string_free (text, TRUE);
}

static void
respond_metrics (anvil_admin_listener_t *listener, struct evhttp_request *request)
{
  const anvil_admin_listener_options_t *options = &listener->options;
  const anvil_metric_sources_t sources = { .steer = options->steer,
                                           .peers = options->peers,
                                           .callers = options->callers,
                                           .ready = is_ready (listener) };
  GString *text = g_string_new (NULL);

  anvil_admin_metrics_render (&sources, options->metrics, anvil_clock_now (), text);
  send_text (request, "text/plain; version=0.0.4", text->str, text->len);
  g_string_free (text, TRUE);
}

static const struct
{
  const char *path;
  void (*respond) (anvil_admin_listener_t *listener, struct evhttp_request *request);
} endpoints[] = {
  { "/healthz", respond_health },   { "/readyz", respond_ready },
  { "/v1/status", respond_status }, { "/v1/config", respond_config },
  { "/v1/drain", respond_drain },   { "/v1/traces", respond_traces },
  { "/metrics", respond_metrics },
};

static void
on_request (struct evhttp_request *request, void *data)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *path = uri != NULL ? evhttp_uri_get_path (uri) : NULL;
  const char *header_error = anvil_headers_validate (evhttp_request_get_input_headers (request));

  if (header_error != NULL)
    {
      evhttp_add_header (evhttp_request_get_output_headers (request), "Connection", "close");
      anvil_http_json_send_error (request, HTTP_BADREQUEST, header_error);
      return;
    }
  for (gsize i = 0; path != NULL && i < G_N_ELEMENTS (endpoints); i++)
    {
      if (strcmp (endpoints[i].path, path) == 0)
        {
          endpoints[i].respond (data, request);
          return;
        }
    }
  anvil_http_json_send_error (request, HTTP_NOTFOUND, "unknown path, see docs/ADMIN.md");
}

anvil_admin_listener_t *
anvil_admin_listener_open (struct event_base *base,
                           const anvil_admin_listener_options_t *options,
                           GError **error)
{
  anvil_admin_listener_t *listener = g_new0 (anvil_admin_listener_t, 1);

  listener->options = *options;
  listener->http = evhttp_new (base);
  evhttp_set_allowed_methods (listener->http, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD);
  evhttp_set_max_headers_size (listener->http, MAX_HEADER_BYTES);
  evhttp_set_max_body_size (listener->http, MAX_BODY_BYTES);
  evhttp_set_timeout (listener->http, IDLE_SECONDS);
  evhttp_set_gencb (listener->http, on_request, listener);
  if (!anvil_http_listen (listener->http, options->settings->admin_address,
                          options->settings->admin_port, error))
    {
      anvil_admin_listener_close (listener);
      return NULL;
    }
  return listener;
}

void
anvil_admin_listener_close (anvil_admin_listener_t *listener)
{
  if (listener == NULL)
    return;
  evhttp_free (listener->http);
  g_free (listener);
}

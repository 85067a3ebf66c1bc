#include "relay/relay-aux-server.h"

#include <arpa/inet.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "anvil/error.h"
#include "anvil/settings.h"

/* Maximum number of entries in a look-up response. */
#define MAX_LOOKUP_ENTRIES 64
/* Idle time-out of a connection, seconds. */
#define IDLE_TIMEOUT_S 10

struct anvil_relay_aux_server
{
  anvil_relay_aux_server_options_t options;
  struct evhttp *lookup_http;
  struct evhttp *readiness_http;
  struct evhttp *metrics_http;
};

static void
respond (struct evhttp_request *request, int status, const char *type, const char *text)
{
  struct evbuffer *body = evbuffer_new ();

  if (type != NULL)
    evhttp_add_header (evhttp_request_get_output_headers (request), "Content-Type", type);
  if (text != NULL)
    evbuffer_add (body, text, strlen (text));
  evhttp_send_reply (request, status, NULL, body);
  evbuffer_free (body);
}

static void
on_ready (struct evhttp_request *request, void *data)
{
  const anvil_relay_aux_server_t *server = data;

  respond (request, server->options.is_ready (server->options.context) ? HTTP_OK : HTTP_SERVUNAVAIL,
           NULL, NULL);
}

static char *
get_caller_region (const anvil_relay_aux_server_t *server, struct evhttp_request *request)
{
  struct evkeyvalq query;
  const char *text = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  char *region;

  if (text == NULL || evhttp_parse_query_str (text, &query) != 0)
    return NULL;
  region = g_strdup (evhttp_find_header (&query, server->options.adapter->lookup_region_parameter));
  evhttp_clear_headers (&query);
  return region;
}

static guint32
get_caller_address (struct evhttp_request *request)
{
  struct in_addr address = { 0 };
  char *text;
  ev_uint16_t port;

  evhttp_connection_get_peer (evhttp_request_get_connection (request), &text, &port);
  inet_pton (AF_INET, text, &address);
  return ntohl (address.s_addr);
}

static void
on_lookup (struct evhttp_request *request, void *data)
{
  anvil_relay_aux_server_t *server = data;
  char *region = get_caller_region (server, request);
  anvil_node_t nodes[MAX_LOOKUP_ENTRIES];
  guint n_nodes = anvil_members_entries_for_caller (
      anvil_slot_broker_members (server->options.slot_broker), anvil_clock_now (),
      anvil_str (region), get_caller_address (request), nodes, MAX_LOOKUP_ENTRIES);
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  char *text;

  for (guint i = 0; i < n_nodes; i++)
    g_ptr_array_add (addresses, anvil_endpoint_format (anvil_node_address (nodes[i]),
                                                       anvil_node_port (nodes[i])));
  anvil_metrics_add_counter (server->options.metrics, "anvil_lookups_total",
                             n_nodes > 0 ? "outcome=\"answered\"" : "outcome=\"no-entry\"", 1);
  if (n_nodes == 0)
    respond (request, HTTP_SERVUNAVAIL, NULL, NULL);
  else
    {
      text = server->options.adapter->format_lookup_response (
          (const char *const *) addresses->pdata, addresses->len,
          server->options.settings->lookup_ttl_s);
      respond (request, HTTP_OK, "application/json", text);
      g_free (text);
    }
  g_ptr_array_unref (addresses);
  g_free (region);
}

static void
on_metrics (struct evhttp_request *request, void *data)
{
  const anvil_relay_aux_server_t *server = data;
  GString *text = g_string_new (NULL);

  server->options.update_gauges (server->options.context);
  anvil_metrics_render (server->options.metrics, text);
  respond (request, HTTP_OK, "text/plain; version=0.0.4", text->str);
  g_string_free (text, TRUE);
}

static struct evhttp *
listen_at (struct event_base *base,
           const anvil_relay_endpoint_t *endpoint,
           const char *path,
           void (*handle) (struct evhttp_request *, void *),
           void *context,
           GError **error)
{
  struct evhttp *http = evhttp_new (base);
  char *host = anvil_endpoint_format (endpoint->address, 0);
  struct evhttp_bound_socket *bound;

  *strrchr (host, ':') = '\0';
  evhttp_set_timeout (http, IDLE_TIMEOUT_S);
  evhttp_set_allowed_methods (http, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD);
  evhttp_set_cb (http, path, handle, context);
  bound = evhttp_bind_socket_with_handle (http, host, endpoint->port);
  if (bound == NULL)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_IO, "can't listen on %s:%u for %s", host,
                   endpoint->port, path);
      g_clear_pointer (&http, evhttp_free);
    }
  g_free (host);
  return http;
}

anvil_relay_aux_server_t *
anvil_relay_aux_server_open (struct event_base *base,
                             const anvil_relay_aux_server_options_t *options,
                             GError **error)
{
  const anvil_relay_settings_t *settings = options->settings;
  anvil_relay_aux_server_t *server = g_new0 (anvil_relay_aux_server_t, 1);

  server->options = *options;
  server->lookup_http = listen_at (base, &settings->lookup_endpoint, options->adapter->lookup_path,
                                   on_lookup, server, error);
  if (server->lookup_http != NULL)
    server->readiness_http = listen_at (base, &settings->readiness_endpoint,
                                        options->adapter->ready_path, on_ready, server, error);
  if (server->readiness_http != NULL)
    server->metrics_http
        = listen_at (base, &settings->metrics_endpoint, "/metrics", on_metrics, server, error);
  if (server->metrics_http != NULL)
    return server;
  anvil_relay_aux_server_close (server);
  return NULL;
}

void
anvil_relay_aux_server_close (anvil_relay_aux_server_t *server)
{
  if (server == NULL)
    return;
  g_clear_pointer (&server->lookup_http, evhttp_free);
  g_clear_pointer (&server->readiness_http, evhttp_free);
  g_clear_pointer (&server->metrics_http, evhttp_free);
  g_free (server);
}

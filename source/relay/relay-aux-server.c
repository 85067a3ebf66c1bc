#include "relay/relay-aux-server.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "anvil/settings.h"
#include "relay/http-status.h"
#include "relay/relay-caller.h"

/* Maximum number of entries in a look-up response. */
#define MAX_LOOKUP_ENTRIES 64
/* One in so many descriptors is for connections of look-ups, of readiness checks, of metrics. */
#define LOOKUP_DESCRIPTORS_DIVISOR 16
#define READINESS_DESCRIPTORS_DIVISOR 64
#define METRICS_DESCRIPTORS_DIVISOR 64
/* One in so many bytes is for responses that haven't been read yet, on each listener. */
#define UNSENT_BYTES_DIVISOR 64

/**
 * listener_t - a listener with one path
 * @respond: responds to a request for @path
 */
typedef struct
{
  anvil_relay_aux_server_t *server;
  anvil_relay_callers_t *callers;
  const char *path;
  void (*respond) (anvil_relay_aux_server_t *server, anvil_relay_request_t *request);
} listener_t;

struct anvil_relay_aux_server
{
  anvil_relay_aux_server_options_t options;
  listener_t lookups;
  listener_t readiness;
  listener_t metrics;
};

/* Requests have no bodies. */
static const anvil_routes_limits_t request_limits = {
  .max_header_bytes = 8u << 10,
  .max_body_bytes = 0,
  .header_timeout = 3 * ANVIL_SECOND,
  .idle_timeout = 10 * ANVIL_SECOND,
};

static const anvil_routes_limits_t *
get_request_limits (void *unused_context)
{
  return &request_limits;
}

/* @type may be NULL if there is no text. */
static void
respond (anvil_relay_request_t *request, guint status, const char *type, const char *text)
{
  struct evbuffer *body = evbuffer_new ();
  char *headers = type != NULL ? g_strdup_printf ("Content-Type: %s\r\n", type) : g_strdup ("");

  if (text != NULL)
    evbuffer_add (body, text, strlen (text));
  anvil_relay_respond (request, status, anvil_str (headers), body);
  evbuffer_free (body);
  g_free (headers);
}

static void
respond_to_readiness_check (anvil_relay_aux_server_t *server, anvil_relay_request_t *request)
{
  respond (request,
           server->options.is_ready (server->options.context) ? HTTP_OK : STATUS_UNAVAILABLE, NULL,
           NULL);
}

static char *
get_caller_region (const anvil_relay_aux_server_t *server, const anvil_relay_request_t *request)
{
  const char *text = strchr (request->target, '?');
  struct evkeyvalq query;
  char *region;

  if (text == NULL || evhttp_parse_query_str (text + 1, &query) != 0)
    return NULL;
  region = g_strdup (evhttp_find_header (&query, server->options.adapter->lookup_region_parameter));
  evhttp_clear_headers (&query);
  return region;
}

static void
respond_to_lookup (anvil_relay_aux_server_t *server, anvil_relay_request_t *request)
{
  char *region = get_caller_region (server, request);
  anvil_node_t nodes[MAX_LOOKUP_ENTRIES];
  guint n_nodes = anvil_members_entries_for_caller (
      anvil_slot_broker_members (server->options.slot_broker), anvil_clock_now (),
      anvil_str (region), anvil_relay_request_caller_address (request), nodes, MAX_LOOKUP_ENTRIES);
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  char *text;

  for (guint i = 0; i < n_nodes; i++)
    g_ptr_array_add (addresses, anvil_endpoint_format (anvil_node_address (nodes[i]),
                                                       anvil_node_port (nodes[i])));
  anvil_metrics_add_counter (server->options.metrics, "anvil_lookups_total",
                             n_nodes > 0 ? "outcome=\"answered\"" : "outcome=\"no-entry\"", 1);
  if (n_nodes == 0)
    respond (request, STATUS_UNAVAILABLE, NULL, NULL);
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
update_connection_gauges (const anvil_relay_aux_server_t *server)
{
  const struct
  {
    const char *labels;
    const listener_t *listener;
  } gauges[] = { { "for=\"look-ups\"", &server->lookups },
                 { "for=\"readiness\"", &server->readiness },
                 { "for=\"metrics\"", &server->metrics } };

  for (gsize i = 0; i < G_N_ELEMENTS (gauges); i++)
    {
      const anvil_relay_callers_t *callers = gauges[i].listener->callers;

      anvil_metrics_set_gauge (server->options.metrics, "anvil_connections", gauges[i].labels,
                               anvil_relay_callers_count_connections (callers));
      anvil_metrics_set_gauge (server->options.metrics, "anvil_displaced_connections",
                               gauges[i].labels,
                               (gdouble) anvil_relay_callers_count_displaced (callers));
    }
}

static void
respond_with_metrics (anvil_relay_aux_server_t *server, anvil_relay_request_t *request)
{
  GString *text = g_string_new (NULL);

  server->options.update_gauges (server->options.context);
  update_connection_gauges (server);
  anvil_metrics_render (server->options.metrics, text);
  respond (request, HTTP_OK, "text/plain; version=0.0.4", text->str);
  g_string_free (text, TRUE);
}

static void
on_request (void *context, anvil_relay_request_t *request)
{
  const listener_t *listener = context;
  const gsize length = strlen (listener->path);

  if (strcmp (request->method, "GET") != 0 && strcmp (request->method, "HEAD") != 0)
    respond (request, STATUS_METHOD_NOT_ALLOWED, NULL, NULL);
  else if (strncmp (request->target, listener->path, length) != 0
           || (request->target[length] != '\0' && request->target[length] != '?'))
    respond (request, STATUS_NOT_FOUND, NULL, NULL);
  else
    listener->respond (listener->server, request);
}

/* Requests are answered as they arrive, so none is unanswered when its caller disconnects. */
static void
on_disconnected (void *unused_context, anvil_relay_request_t *request)
{
  respond (request, STATUS_UNAVAILABLE, NULL, NULL);
}

static const anvil_relay_caller_callbacks_t callbacks
    = { .request = on_request, .disconnected = on_disconnected, .limits = get_request_limits };

static gboolean
listener_open (listener_t *listener,
               struct event_base *base,
               const anvil_relay_endpoint_t *endpoint,
               const char *name,
               guint descriptors_divisor,
               GError **error)
{
  const anvil_relay_settings_t *settings = listener->server->options.settings;
  const anvil_relay_callers_options_t options
      = { .name = name,
          .address = endpoint->address,
          .port = endpoint->port,
          .header_names = &listener->server->options.adapter->header_names,
          .host_optional = TRUE,
          .max_connections = settings->max_descriptors / descriptors_divisor,
          .max_unsent_bytes = settings->memory_bytes / UNSENT_BYTES_DIVISOR };

  listener->callers = anvil_relay_callers_open (base, &options, &callbacks, listener, error);
  return listener->callers != NULL;
}

anvil_relay_aux_server_t *
anvil_relay_aux_server_open (struct event_base *base,
                             const anvil_relay_aux_server_options_t *options,
                             GError **error)
{
  const anvil_relay_settings_t *settings = options->settings;
  anvil_relay_aux_server_t *server = g_new0 (anvil_relay_aux_server_t, 1);

  server->options = *options;
  server->lookups = (listener_t){ .server = server,
                                  .path = options->adapter->lookup_path,
                                  .respond = respond_to_lookup };
  server->readiness = (listener_t){ .server = server,
                                    .path = options->adapter->ready_path,
                                    .respond = respond_to_readiness_check };
  server->metrics
      = (listener_t){ .server = server, .path = "/metrics", .respond = respond_with_metrics };
  if (listener_open (&server->lookups, base, &settings->lookup_endpoint, "look-ups",
                     LOOKUP_DESCRIPTORS_DIVISOR, error)
      && listener_open (&server->readiness, base, &settings->readiness_endpoint, "readiness",
                        READINESS_DESCRIPTORS_DIVISOR, error)
      && listener_open (&server->metrics, base, &settings->metrics_endpoint, "metrics",
                        METRICS_DESCRIPTORS_DIVISOR, error))
    return server;
  anvil_relay_aux_server_close (server);
  return NULL;
}

void
anvil_relay_aux_server_close (anvil_relay_aux_server_t *server)
{
  if (server == NULL)
    return;
  anvil_relay_callers_close (server->lookups.callers);
  anvil_relay_callers_close (server->readiness.callers);
  anvil_relay_callers_close (server->metrics.callers);
  g_free (server);
}

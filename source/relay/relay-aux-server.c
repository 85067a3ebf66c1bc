#include "relay/relay-aux-server.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "anvil/error.h"
#include "anvil/settings.h"

/* Most entries that a look-up names. */
#define MAX_ENTRIES 64
/* Longest idle time of a connection here, seconds. */
#define IDLE_SECONDS 10

struct anvil_relay_aux_server
{
  anvil_relay_aux_server_options_t parts;
  struct evhttp *lookups;
  struct evhttp *readiness;
  struct evhttp *metrics;
};

static void
answer (struct evhttp_request *request, int status, const char *type, const char *text)
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
  const anvil_relay_aux_server_t *service = data;

  answer (request, service->parts.is_ready (service->parts.context) ? HTTP_OK : HTTP_SERVUNAVAIL,
          NULL, NULL);
}

static char *
caller_region (const anvil_relay_aux_server_t *service, struct evhttp_request *request)
{
  struct evkeyvalq query;
  const char *text = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  char *region;

  if (text == NULL || evhttp_parse_query_str (text, &query) != 0)
    return NULL;
  region = g_strdup (evhttp_find_header (&query, service->parts.adapter->lookup_region_parameter));
  evhttp_clear_headers (&query);
  return region;
}

static void
on_lookup (struct evhttp_request *request, void *data)
{
  anvil_relay_aux_server_t *service = data;
  char *region = caller_region (service, request);
  anvil_node_t nodes[MAX_ENTRIES];
  guint n = anvil_members_entries_for_caller (
      anvil_slot_broker_members (service->parts.slot_broker), anvil_clock_now (),
      anvil_str (region), nodes, MAX_ENTRIES);
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  char *text;

  for (guint i = 0; i < n; i++)
    g_ptr_array_add (addresses, anvil_endpoint_format (anvil_node_address (nodes[i]),
                                                       anvil_node_port (nodes[i])));
  anvil_metrics_add_counter (service->parts.counters, "anvil_lookups_total",
                             n > 0 ? "outcome=\"answered\"" : "outcome=\"no-entry\"", 1);
  if (n == 0)
    answer (request, HTTP_SERVUNAVAIL, NULL, NULL);
  else
    {
      text = service->parts.adapter->format_lookup_response ((const char *const *) addresses->pdata,
                                                             addresses->len,
                                                             service->parts.settings->lookup_ttl_s);
      answer (request, HTTP_OK, "application/json", text);
      g_free (text);
    }
  g_ptr_array_unref (addresses);
  g_free (region);
}

static void
on_metrics (struct evhttp_request *request, void *data)
{
  const anvil_relay_aux_server_t *service = data;
  GString *text = g_string_new (NULL);

  service->parts.update_gauges (service->parts.context);
  anvil_metrics_render (service->parts.counters, text);
  answer (request, HTTP_OK, "text/plain; version=0.0.4", text->str);
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
  char *text = anvil_endpoint_format (endpoint->address, 0);
  struct evhttp_bound_socket *bound;

  *strrchr (text, ':') = '\0';
  evhttp_set_timeout (http, IDLE_SECONDS);
  evhttp_set_allowed_methods (http, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD);
  evhttp_set_cb (http, path, handle, context);
  bound = evhttp_bind_socket_with_handle (http, text, endpoint->port);
  if (bound == NULL)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_IO, "can't listen on %s:%u for %s", text,
                   endpoint->port, path);
      g_clear_pointer (&http, evhttp_free);
    }
  g_free (text);
  return http;
}

anvil_relay_aux_server_t *
anvil_relay_aux_server_open (struct event_base *base,
                             const anvil_relay_aux_server_options_t *parts,
                             GError **error)
{
  const anvil_relay_settings_t *settings = parts->settings;
  anvil_relay_aux_server_t *service = g_new0 (anvil_relay_aux_server_t, 1);

  service->parts = *parts;
  service->lookups = listen_at (base, &settings->lookup_endpoint, parts->adapter->lookup_path,
                                on_lookup, service, error);
  if (service->lookups != NULL)
    service->readiness = listen_at (base, &settings->readiness_endpoint, parts->adapter->ready_path,
                                    on_ready, service, error);
  if (service->readiness != NULL)
    service->metrics
        = listen_at (base, &settings->metrics_endpoint, "/metrics", on_metrics, service, error);
  if (service->metrics != NULL)
    return service;
  anvil_relay_aux_server_close (service);
  return NULL;
}

void
anvil_relay_aux_server_close (anvil_relay_aux_server_t *service)
{
  if (service == NULL)
    return;
  g_clear_pointer (&service->lookups, evhttp_free);
  g_clear_pointer (&service->readiness, evhttp_free);
  g_clear_pointer (&service->metrics, evhttp_free);
  g_free (service);
}

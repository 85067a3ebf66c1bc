#include "anvil-upstream-admin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/http.h>

#include "anvil/error.h"
#include "net/http-json.h"

#define MAX_BODY_BYTES (1u << 20)

struct upstream_admin
{
  upstream_context_t *context;
  upstream_fleet_t *fleet;
  struct evhttp *http;
  guint16 port;
};

/* Parses the body of a PUT and passes it to @apply. */
static void
handle_put (struct evhttp_request *request,
            gboolean (*apply) (upstream_admin_t *admin, const json_t *json),
            upstream_admin_t *admin)
{
  GError *error = NULL;
  json_t *json;

  if (evhttp_request_get_command (request) != EVHTTP_REQ_PUT)
    {
      anvil_http_json_send_error (request, HTTP_BADMETHOD, "expected PUT");
      return;
    }
  json = anvil_http_json_parse (evhttp_request_get_input_buffer (request), MAX_BODY_BYTES, &error);
  if (json == NULL)
    {
      anvil_http_json_send_error (request, HTTP_BADREQUEST, error->message);
      g_error_free (error);
      return;
    }
  if (apply (admin, json))
    anvil_http_json_send (request, HTTP_OK, json_pack ("{s:b}", "set", 1));
  else
    anvil_http_json_send_error (request, HTTP_BADREQUEST, "unknown name or value out of range");
  json_decref (json);
}

static gboolean
set_faults (upstream_admin_t *admin, const json_t *json)
{
  return upstream_fleet_set_faults (admin->fleet, json);
}

static gboolean
set_vms (upstream_admin_t *admin, const json_t *json)
{
  return upstream_topology_set_vms (admin->context->topology, json);
}

static void
on_set_faults (struct evhttp_request *request, void *data)
{
  handle_put (request, set_faults, data);
}

static void
on_set_vms (struct evhttp_request *request, void *data)
{
  handle_put (request, set_vms, data);
}

static void
on_get_report (struct evhttp_request *request, void *data)
{
  const upstream_admin_t *admin = data;

  anvil_http_json_send (request, HTTP_OK, upstream_fleet_report (admin->fleet));
}

static guint16
bound_port (struct evhttp_bound_socket *socket)
{
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;

  getsockname (evhttp_bound_socket_get_fd (socket), (struct sockaddr *) &address, &length);
  return ntohs (address.sin_port);
}

upstream_admin_t *
upstream_admin_open (upstream_context_t *context,
                     upstream_fleet_t *fleet,
                     guint32 address,
                     guint16 port,
                     GError **error)
{
  upstream_admin_t *admin = g_new0 (upstream_admin_t, 1);
  struct in_addr network = { .s_addr = htonl (address) };
  struct evhttp_bound_socket *socket;
  char host[INET_ADDRSTRLEN];

  admin->context = context;
  admin->fleet = fleet;
  admin->http = evhttp_new (context->base);
  evhttp_set_max_body_size (admin->http, MAX_BODY_BYTES);
  evhttp_set_cb (admin->http, "/standin/faults", on_set_faults, admin);
  evhttp_set_cb (admin->http, "/standin/vms", on_set_vms, admin);
  evhttp_set_cb (admin->http, "/standin/report", on_get_report, admin);
  inet_ntop (AF_INET, &network, host, sizeof host);
  socket = evhttp_bind_socket_with_handle (admin->http, host, port);
  if (socket == NULL)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_IO, "can't listen on %s:%u: %s", host, port,
                   g_strerror (errno));
      upstream_admin_close (admin);
      return NULL;
    }
  admin->port = bound_port (socket);
  return admin;
}

void
upstream_admin_close (upstream_admin_t *admin)
{
  if (admin == NULL)
    return;
  evhttp_free (admin->http);
  g_free (admin);
}

guint16
upstream_admin_port (const upstream_admin_t *admin)
{
  return admin->port;
}

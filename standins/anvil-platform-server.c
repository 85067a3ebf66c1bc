#include "anvil-platform-server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <string.h>

#include "anvil-platform-faults.h"
#include "anvil-platform-rate.h"
#include "anvil-platform-table.h"
#include "anvil-platform-vms.h"
#include "anvil/error.h"
#include "net/http-json.h"

#define MAX_BODY_BYTES (8u << 20)
#define MAX_HEADERS_BYTES (16u << 10)
#define MAX_NAME_BYTES 128
#define OBJECTS_PATH "/v1/objects/"

typedef struct
{
  guint64 reads;
  guint64 writes;
  guint64 rows_written;
  guint64 shed;
} counts_t;

struct platform_server
{
  struct event_base *base;
  struct evhttp *http;
  guint16 port;
  GRand *random;
  platform_table_t *table;
  GHashTable *objects;
  platform_vm_list_t *vms;
  platform_faults_t faults;
  platform_rate_limiter_t writes;
  platform_rate_limiter_t reads;
  counts_t counts;
  /* Set of delayed_call_t. */
  GHashTable *delayed_calls;
};

/* A call whose execution is delayed by the fault "delay_ms". */
typedef struct
{
  platform_server_t *server;
  struct evhttp_request *request;
  struct event *timer;
} delayed_call_t;

static void
drop_connection (struct evhttp_request *request)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (request);

  if (connection != NULL)
    evhttp_connection_free (connection);
  else
    evhttp_request_free (request);
}

static gboolean
draw_fault (platform_server_t *server, guint percent)
{
  return percent > 0 && (guint) g_rand_int_range (server->random, 0, 100) < percent;
}

/* Sends a response, unless it is lost by a fault. Takes the reference of @json. */
static void
respond (platform_server_t *server, struct evhttp_request *request, int status, json_t *json)
{
  if (!draw_fault (server, server->faults.lose_answers_percent))
    {
      anvil_http_json_send (request, status, json);
      return;
    }
  json_decref (json);
  drop_connection (request);
}

static void
read_rows (platform_server_t *server, struct evhttp_request *request)
{
  const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  struct evkeyvalq parameters = { 0 };
  const char *prefix = NULL;

  if (query != NULL && evhttp_parse_query_str (query, &parameters) == 0)
    prefix = evhttp_find_header (&parameters, "prefix");
  respond (server, request, HTTP_OK,
           platform_table_read (server->table, prefix != NULL ? prefix : ""));
  evhttp_clear_headers (&parameters);
}

static void
commit (platform_server_t *server, struct evhttp_request *request)
{
  GError *error = NULL;
  json_t *json
      = anvil_http_json_parse (evhttp_request_get_input_buffer (request), MAX_BODY_BYTES, &error);
  guint n_rows;

  if (json == NULL)
    {
      anvil_http_json_send_error (request, HTTP_BADREQUEST, error->message);
      g_error_free (error);
      return;
    }
  switch (platform_table_commit (server->table, json, &n_rows))
    {
    case PLATFORM_TABLE_COMMITTED:
      server->counts.rows_written += n_rows;
      respond (server, request, HTTP_OK, json_pack ("{s:b}", "committed", 1));
      break;
    case PLATFORM_TABLE_CONFLICT:
      respond (server, request, 409, json_pack ("{s:b}", "committed", 0));
      break;
    case PLATFORM_TABLE_MALFORMED:
      anvil_http_json_send_error (request, HTTP_BADREQUEST, "malformed transaction");
      break;
    }
  json_decref (json);
}

static gboolean
object_name_valid (const char *name)
{
  gsize length = strlen (name);

  return length > 0 && length <= MAX_NAME_BYTES
         && strspn (name, G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "._-") == length;
}

static void
put_object (platform_server_t *server, struct evhttp_request *request, const char *name)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  gsize length = evbuffer_get_length (body);
  GBytes *bytes = g_bytes_new (evbuffer_pullup (body, -1), length);

  g_hash_table_replace (server->objects, g_strdup (name), bytes);
  respond (server, request, HTTP_OK, json_pack ("{s:b}", "stored", 1));
}

static void
get_object (platform_server_t *server, struct evhttp_request *request, const char *name)
{
  GBytes *bytes = g_hash_table_lookup (server->objects, name);
  struct evbuffer *body;

  if (bytes == NULL)
    {
      respond (server, request, HTTP_NOTFOUND, json_pack ("{s:s}", "error", "no such object"));
      return;
    }
  if (draw_fault (server, server->faults.lose_answers_percent))
    {
      drop_connection (request);
      return;
    }
  body = evbuffer_new ();
  evbuffer_add (body, g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  evhttp_send_reply (request, HTTP_OK, NULL, body);
  evbuffer_free (body);
}

static void
list_vms (platform_server_t *server, struct evhttp_request *request)
{
  if (!server->faults.freeze_vms)
    platform_vm_list_publish (server->vms, anvil_clock_now (), server->faults.vm_lag);
  respond (server, request, HTTP_OK, platform_vm_list_published (server->vms));
}

static const char *
request_path (struct evhttp_request *request)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  return path != NULL ? path : "";
}

static void
execute_call (platform_server_t *server, struct evhttp_request *request)
{
  enum evhttp_cmd_type command = evhttp_request_get_command (request);
  const char *path = request_path (request);

  if (server->faults.down)
    drop_connection (request);
  else if (strcmp (path, "/v1/rows") == 0 && command == EVHTTP_REQ_GET)
    read_rows (server, request);
  else if (strcmp (path, "/v1/commit") == 0 && command == EVHTTP_REQ_POST)
    commit (server, request);
  else if (strcmp (path, "/v1/vms") == 0 && command == EVHTTP_REQ_GET)
    list_vms (server, request);
  else if (g_str_has_prefix (path, OBJECTS_PATH) && object_name_valid (path + strlen (OBJECTS_PATH))
           && command == EVHTTP_REQ_PUT)
    put_object (server, request, path + strlen (OBJECTS_PATH));
  else if (g_str_has_prefix (path, OBJECTS_PATH) && command == EVHTTP_REQ_GET)
    get_object (server, request, path + strlen (OBJECTS_PATH));
  else
    anvil_http_json_send_error (request, HTTP_NOTFOUND, "unknown path or method");
}

static gboolean
check_rate_limit (platform_server_t *server, struct evhttp_request *request)
{
  gboolean write = evhttp_request_get_command (request) != EVHTTP_REQ_GET;

  if (!platform_rate_limiter_allow (write ? &server->writes : &server->reads, anvil_clock_now ()))
    {
      server->counts.shed++;
      return FALSE;
    }
  if (write)
    server->counts.writes++;
  else
    server->counts.reads++;
  return TRUE;
}

static void
delayed_call_drop (gpointer data)
{
  delayed_call_t *delayed = data;

  event_free (delayed->timer);
  g_free (delayed);
}

static void
on_delay_elapsed (evutil_socket_t unused_fd, short unused_what, void *data)
{
  delayed_call_t *delayed = data;

  execute_call (delayed->server, delayed->request);
  g_hash_table_remove (delayed->server->delayed_calls, delayed);
}

static void
delay_call (platform_server_t *server, struct evhttp_request *request)
{
  delayed_call_t *delayed = g_new0 (delayed_call_t, 1);
  struct timeval delay = { .tv_sec = server->faults.delay / ANVIL_SECOND,
                           .tv_usec = server->faults.delay % ANVIL_SECOND };

  delayed->server = server;
  delayed->request = request;
  delayed->timer = evtimer_new (server->base, on_delay_elapsed, delayed);
  evtimer_add (delayed->timer, &delay);
  g_hash_table_add (server->delayed_calls, delayed);
}

static void
on_call (struct evhttp_request *request, void *data)
{
  platform_server_t *server = data;

  if (server->faults.down || draw_fault (server, server->faults.lose_requests_percent))
    drop_connection (request);
  else if (!check_rate_limit (server, request))
    anvil_http_json_send_error (request, 429, "rate limit exceeded");
  else if (server->faults.delay > 0)
    delay_call (server, request);
  else
    execute_call (server, request);
}

/* Returns the body of a PUT, or NULL after an error response was sent. */
static json_t *
parse_put_body (struct evhttp_request *request)
{
  GError *error = NULL;
  json_t *json;

  if (evhttp_request_get_command (request) != EVHTTP_REQ_PUT)
    {
      anvil_http_json_send_error (request, HTTP_BADMETHOD, "expected PUT");
      return NULL;
    }
  json = anvil_http_json_parse (evhttp_request_get_input_buffer (request), MAX_BODY_BYTES, &error);
  if (json == NULL)
    {
      anvil_http_json_send_error (request, HTTP_BADREQUEST, error->message);
      g_error_free (error);
    }
  return json;
}

static void
on_set_vms (struct evhttp_request *request, void *data)
{
  platform_server_t *server = data;
  json_t *json = parse_put_body (request);
  json_t *list;

  if (json == NULL)
    return;
  list = json_object_get (json, "vms");
  if (json_is_array (list))
    {
      platform_vm_list_set (server->vms, anvil_clock_now (), list);
      anvil_http_json_send (request, HTTP_OK, json_pack ("{s:b}", "set", 1));
    }
  else
    anvil_http_json_send_error (request, HTTP_BADREQUEST, "vms must be an array");
  json_decref (json);
}

static void
on_set_faults (struct evhttp_request *request, void *data)
{
  platform_server_t *server = data;
  json_t *json = parse_put_body (request);

  if (json == NULL)
    return;
  /* freeze_vms takes effect on the list as it is visible now. */
  if (!server->faults.freeze_vms)
    platform_vm_list_publish (server->vms, anvil_clock_now (), server->faults.vm_lag);
  if (platform_faults_parse (&server->faults, json))
    anvil_http_json_send (request, HTTP_OK, json_pack ("{s:b}", "set", 1));
  else
    anvil_http_json_send_error (request, HTTP_BADREQUEST, "unknown fault or value out of range");
  json_decref (json);
}

static void
on_get_counts (struct evhttp_request *request, void *data)
{
  const platform_server_t *server = data;
  const counts_t *counts = &server->counts;

  anvil_http_json_send (request, HTTP_OK,
                        json_pack ("{s:I,s:I,s:I,s:I,s:I}", "reads", (json_int_t) counts->reads,
                                   "writes", (json_int_t) counts->writes, "rows_written",
                                   (json_int_t) counts->rows_written, "objects",
                                   (json_int_t) g_hash_table_size (server->objects), "shed",
                                   (json_int_t) counts->shed));
}

static guint16
bound_port (struct evhttp_bound_socket *socket)
{
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;

  getsockname (evhttp_bound_socket_get_fd (socket), (struct sockaddr *) &address, &length);
  return ntohs (address.sin_port);
}

static gboolean
listen_on (platform_server_t *server, guint32 address, guint16 port, GError **error)
{
  struct in_addr network = { .s_addr = htonl (address) };
  struct evhttp_bound_socket *socket;
  char host[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &network, host, sizeof host);
  socket = evhttp_bind_socket_with_handle (server->http, host, port);
  if (socket == NULL)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_IO, "can't listen on %s:%u: %s", host, port,
                   g_strerror (errno));
      return FALSE;
    }
  server->port = bound_port (socket);
  return TRUE;
}

platform_server_t *
platform_server_open (struct event_base *base,
                      const platform_server_options_t *options,
                      GError **error)
{
  platform_server_t *server = g_new0 (platform_server_t, 1);

  server->base = base;
  server->random = g_rand_new_with_seed (options->seed);
  server->table = platform_table_new ();
  server->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  server->vms = platform_vm_list_new ();
  server->delayed_calls = g_hash_table_new_full (NULL, NULL, delayed_call_drop, NULL);
  server->faults.vm_lag = options->vm_lag;
  server->writes.rate_per_s = options->writes_per_s;
  server->reads.rate_per_s = options->reads_per_s;
  server->http = evhttp_new (base);
  evhttp_set_max_body_size (server->http, MAX_BODY_BYTES);
  evhttp_set_max_headers_size (server->http, MAX_HEADERS_BYTES);
  evhttp_set_allowed_methods (server->http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_POST);
  evhttp_set_cb (server->http, "/v1/standin/vms", on_set_vms, server);
  evhttp_set_cb (server->http, "/v1/standin/faults", on_set_faults, server);
  evhttp_set_cb (server->http, "/v1/standin/counts", on_get_counts, server);
  evhttp_set_gencb (server->http, on_call, server);
  if (!listen_on (server, options->address, options->port, error))
    g_clear_pointer (&server, platform_server_close);
  return server;
}

void
platform_server_close (platform_server_t *server)
{
  if (server == NULL)
    return;
  g_hash_table_unref (server->delayed_calls);
  evhttp_free (server->http);
  platform_vm_list_drop (server->vms);
  g_hash_table_unref (server->objects);
  platform_table_drop (server->table);
  g_rand_free (server->random);
  g_free (server);
}

guint16
platform_server_port (const platform_server_t *server)
{
  return server->port;
}

#include "helper-entry.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOCALHOST 0x7f000001u

static const char config_format[]
    = "deployment: test\n"
      "halves:\n  - name: north\n  - name: south\n"
      "regions:\n  - name: west\n    zones: [west-a]\n    clients: [127.0.0.0/8]\n"
      "links: []\n"
      "services:\n"
      "  - name: photos\n    hosts: [photos.example]\n    owner: north\n    idempotent: true\n"
      "    deadline_ms: 2000\n    queue: 2\n    request_kb: 1\n    response_kb: 1\n"
      "    max_request_kb: 64\n    prefer: latency\n"
      "  - name: booking\n    owner: north\n    idempotent: false\n"
      "    deadline_ms: 2000\n    queue: 2\n    request_kb: 1\n    response_kb: 1\n"
      "    max_request_kb: 64\n    prefer: latency\n"
      "upstreams:\n"
      "  - service: photos\n    half: north\n    zone: west-a\n    address: 127.0.0.1\n"
      "    port: %u\n    count: 1\n    slots: 2\n    connections: 9\n"
      "  - service: booking\n    half: north\n    zone: west-a\n    address: 127.0.0.1\n"
      "    port: %u\n    count: 1\n    slots: 2\n    connections: 9\n"
      "seats:\n  - zone: west-a\n    count: 1\n";

static int
listen_on_free_port (guint16 *port)
{
  struct sockaddr_in local = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (LOCALHOST) };
  socklen_t length = sizeof local;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  ck_assert_int_eq (bind (fd, (struct sockaddr *) &local, sizeof local), 0);
  ck_assert_int_eq (listen (fd, 64), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *) &local, &length), 0);
  *port = ntohs (local.sin_port);
  return fd;
}

static void
on_send (void *context, anvil_node_t to, const anvil_message_t *message)
{
}

static void
on_read_rows (void *context)
{
  ((rig_t *) context)->read_requested = TRUE;
}

static void
on_write_row (void *context, const anvil_seat_row_t *next)
{
  rig_t *rig = context;

  rig->seat_row = *next;
  rig->write_requested = TRUE;
}

static void
on_dispatch (void *context, const anvil_request_t *request, const anvil_dispatch_t *dispatch)
{
  anvil_request_task_dispatch (((rig_t *) context)->requests, request, dispatch);
}

static void
on_finish (void *context, guint64 request, anvil_attempt_result_t result)
{
  anvil_request_task_finish (((rig_t *) context)->requests, request, result);
}

static void
on_refuse (void *context, guint64 request, anvil_refusal_reason_t reason, anvil_time_t retry_after)
{
  anvil_request_task_refuse (((rig_t *) context)->requests, request, reason, retry_after);
}

static void
on_fetch_config (void *context, guint64 generation, anvil_node_t peer)
{
}

static const anvil_steer_callbacks_t steer_callbacks = {
  .send = on_send,
  .read_rows = on_read_rows,
  .write_row = on_write_row,
  .dispatch = on_dispatch,
  .finish = on_finish,
  .refuse = on_refuse,
  .fetch_config = on_fetch_config,
};

/* Answers the core's reads and writes like a platform that is always available. */
static void
on_tick (evutil_socket_t fd, short what, void *data)
{
  rig_t *rig = data;
  anvil_time_t now = anvil_clock_now ();

  anvil_steer_tick (rig->steer, now);
  if (rig->read_requested)
    anvil_steer_rows_read (rig->steer, now, &rig->seat_row, rig->seat_row.epoch > 0 ? 1 : 0);
  rig->read_requested = FALSE;
  if (rig->write_requested)
    anvil_steer_row_written (rig->steer, now, &rig->seat_row, ANVIL_ROW_WRITTEN);
  rig->write_requested = FALSE;
}

static void
configure (rig_t *rig)
{
  anvil_vm_t vm = { .name = anvil_str ("entry-0"),
                    .kind = ANVIL_VM_ENTRY,
                    .zone = anvil_str ("west-a"),
                    .address = LOCALHOST,
                    .peer_port = anvil_node_port (rig->settings.node),
                    .caller_port = rig->port };
  anvil_vm_list_t list = { .version = 1, .vms = &vm, .n_vms = 1 };
  guint16 ports[2];
  GError *error = NULL;
  char *text;
  anvil_config_t *config;

  rig->upstream_listeners[RIG_PHOTOS] = listen_on_free_port (&ports[0]);
  rig->upstream_listeners[RIG_BOOKING] = listen_on_free_port (&ports[1]);
  text = g_strdup_printf (config_format, ports[0], ports[1]);
  config = anvil_config_load ("test.yaml", anvil_str (text), &error);
  ck_assert_msg (config != NULL, "%s", error != NULL ? error->message : "");
  anvil_steer_configure (rig->steer, anvil_clock_now (), config, 1);
  anvil_steer_update_vm_list (rig->steer, anvil_clock_now (), &list);
  anvil_config_drop (config);
  g_free (text);
}

static gboolean
has_slots (rig_t *rig)
{
  anvil_upstream_status_t photos;
  anvil_upstream_status_t booking;
  anvil_time_t now = anvil_clock_now ();

  return anvil_steer_upstream_status (rig->steer, now, RIG_PHOTOS, &photos) && photos.owned > 0
         && anvil_steer_upstream_status (rig->steer, now, RIG_BOOKING, &booking)
         && booking.owned > 0;
}

static void
open_request_path (rig_t *rig)
{
  anvil_steer_options_t steer_options = { .node = rig->settings.node,
                                          .incarnation = 1,
                                          .zone = anvil_str ("west-a"),
                                          .caller_port = rig->port,
                                          .seed = 1 };
  anvil_request_task_options_t options;
  anvil_caller_listener_options_t listener_options;
  GError *error = NULL;

  rig->steer = anvil_steer_new (&steer_options, &steer_callbacks, rig);
  rig->upstream_pool = anvil_upstream_pool_open (rig->base, rig->settings.max_header_bytes,
                                                 rig->settings.max_response_bytes);
  rig->callers = anvil_caller_connections_new (rig->base, &rig->limits, rig->metrics);
  options = (anvil_request_task_options_t){ .steer = rig->steer,
                                            .callers = rig->callers,
                                            .upstream_pool = rig->upstream_pool,
                                            .metrics = rig->metrics,
                                            .traces = rig->traces };
  rig->requests = anvil_request_task_new (&options);
  listener_options = (anvil_caller_listener_options_t){ .steer = rig->steer,
                                                        .connections = rig->callers,
                                                        .requests = rig->requests,
                                                        .metrics = rig->metrics };
  rig->listener = anvil_caller_listener_open (rig->base, &rig->settings, &listener_options, &error);
  ck_assert_msg (rig->listener != NULL, "%s", error != NULL ? error->message : "");
}

rig_t *
rig_open (const anvil_caller_limits_t *limits)
{
  const struct timeval interval = { .tv_usec = ANVIL_TICK_INTERVAL };
  rig_t *rig = g_new0 (rig_t, 1);
  int fd = listen_on_free_port (&rig->port);

  close (fd);
  rig->base = event_base_new ();
  rig->settings = (anvil_entry_settings_t){ .listen_address = LOCALHOST,
                                            .listen_port = rig->port,
                                            .node = anvil_node (LOCALHOST, 1),
                                            .max_header_bytes = 4096,
                                            .max_body_bytes = 128 << 10,
                                            .max_response_bytes = 1 << 20,
                                            .idle_timeout_s = 30 };
  rig->limits = limits != NULL ? *limits
                               : (anvil_caller_limits_t){ .read_timeout = RIG_TIMEOUT,
                                                          .max_buffered_bytes = 16 << 20 };
  rig->metrics = anvil_metrics_new ();
  rig->traces = anvil_trace_ring_new (FALSE);
  open_request_path (rig);
  rig->tick = event_new (rig->base, -1, EV_PERSIST, on_tick, rig);
  event_add (rig->tick, &interval);
  configure (rig);
  RIG_WAIT (rig, has_slots (rig));
  return rig;
}

void
rig_close (rig_t *rig)
{
  event_free (rig->tick);
  anvil_request_task_drop (rig->requests);
  anvil_caller_listener_close (rig->listener);
  anvil_upstream_pool_close (rig->upstream_pool);
  event_base_loop (rig->base, EVLOOP_NONBLOCK);
  anvil_caller_connections_drop (rig->callers);
  anvil_steer_drop (rig->steer);
  anvil_trace_ring_drop (rig->traces);
  anvil_metrics_drop (rig->metrics);
  close (rig->upstream_listeners[RIG_PHOTOS]);
  close (rig->upstream_listeners[RIG_BOOKING]);
  event_base_free (rig->base);
  g_free (rig);
}

gboolean
rig_step (rig_t *rig, anvil_time_t deadline)
{
  event_base_loop (rig->base, EVLOOP_NONBLOCK);
  g_usleep (200);
  return anvil_clock_now () < deadline;
}

int
rig_connect (rig_t *rig)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (rig->port),
                            .sin_addr.s_addr = htonl (LOCALHOST) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (connect (fd, (struct sockaddr *) &to, sizeof to), 0);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  return fd;
}

void
rig_send (rig_t *rig, int fd, const char *text)
{
  gsize n_left = strlen (text);
  anvil_time_t deadline = anvil_clock_now () + RIG_TIMEOUT;

  while (n_left > 0)
    {
      ssize_t sent = send (fd, text, n_left, MSG_NOSIGNAL);

      if (sent > 0)
        {
          text += sent;
          n_left -= (gsize) sent;
        }
      else if (errno != EAGAIN)
        return;
      ck_assert (rig_step (rig, deadline));
    }
}

gboolean
rig_readable (int fd)
{
  struct pollfd poller = { .fd = fd, .events = POLLIN };

  return poll (&poller, 1, 0) > 0;
}

gboolean
rig_connection_pending (const rig_t *rig, guint upstream)
{
  return rig_readable (rig->upstream_listeners[upstream]);
}

int
rig_accept (rig_t *rig, guint upstream)
{
  int fd;

  RIG_WAIT (rig, rig_connection_pending (rig, upstream));
  fd = accept (rig->upstream_listeners[upstream], NULL, NULL);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  ck_assert_int_ge (fd, 0);
  return fd;
}

/* Whether a message is complete according to its Content-Length. */
static gboolean
is_complete (const GString *message)
{
  const char *end = strstr (message->str, "\r\n\r\n");
  const char *length = strstr (message->str, "\r\nContent-Length:");
  gsize body = 0;

  if (end == NULL)
    return FALSE;
  if (length != NULL && length < end && strncmp (message->str, "HEAD", 4) != 0)
    body = strtoul (length + strlen ("\r\nContent-Length:"), NULL, 10);
  return message->len >= (gsize) (end - message->str) + 4 + body;
}

char *
rig_read_message (rig_t *rig, int fd)
{
  GString *message = g_string_new (NULL);
  anvil_time_t deadline = anvil_clock_now () + RIG_TIMEOUT;

  while (!is_complete (message))
    {
      char bytes[16384];
      ssize_t n_read = recv (fd, bytes, sizeof bytes, 0);

      if (n_read == 0 || (n_read < 0 && errno != EAGAIN))
        break;
      if (n_read > 0)
        g_string_append_len (message, bytes, n_read);
      else
        ck_assert_msg (rig_step (rig, deadline), "incomplete message: \"%s\"", message->str);
    }
  return g_string_free (message, FALSE);
}

gboolean
rig_peer_closed (int fd)
{
  char bytes[4096];
  ssize_t n_read;

  do
    n_read = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);
  while (n_read > 0);
  return n_read == 0 || errno != EAGAIN;
}

char *
rig_exchange (rig_t *rig, const char *request)
{
  int fd = rig_connect (rig);
  char *response;

  rig_send (rig, fd, request);
  response = rig_read_message (rig, fd);
  close (fd);
  return response;
}

guint
rig_counter (const rig_t *rig, const char *name, const char *labels)
{
  return (guint) anvil_metrics_value (rig->metrics, name, labels);
}

/* Compares the rate of look-ups over HTTP with that of a handler that sends a fixed text. */

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "anvil/config.h"
#include "entry/lookup-response.h"

#define N_ENTRIES 7
#define N_CONNECTIONS 8u
#define N_ROUNDS 5
#define REQUESTS_PER_ROUND 20000u
#define MAX_RESPONSE_BYTES 8192
#define WAKE_UP_INTERVAL_US 50000

static const char fixed_path[] = "/bare";
static const char lookup_path[] = "/v1/entries?service=galeria&client=127.2.1.9";

typedef struct
{
  anvil_steer_t *steer;
  anvil_metrics_t *metrics;
} server_t;

/* Wakes the event loop, which then checks whether the callers have exited. */
static void
on_wake_up (evutil_socket_t fd, short what, void *context)
{
}

static void
respond_fixed (struct evhttp_request *http, void *context)
{
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add_printf (body, "{\"generation\":1}");
  evhttp_send_reply (http, HTTP_OK, NULL, body);
  evbuffer_free (body);
}

static void
respond_lookup (struct evhttp_request *http, void *context)
{
  server_t *server = context;

  anvil_lookup_respond (http, server->steer, server->metrics);
}

static void
ignore_message (void *context, anvil_node_t to, const anvil_message_t *message)
{
}

/* A decision core that knows of as many entries as each deployment has. */
static anvil_steer_t *
new_core (void)
{
  const anvil_steer_callbacks_t callbacks = { .send = ignore_message };
  const anvil_steer_options_t options = {
    .node = 1, .incarnation = 1, .zone = anvil_str ("zapad-a"), .caller_port = 8000, .seed = 1
  };
  anvil_steer_t *steer = anvil_steer_new (&options, &callbacks, NULL);
  anvil_message_t gossip = { .kind = ANVIL_MESSAGE_GOSSIP };
  GError *error = NULL;
  anvil_config_t *config;
  char *text;
  gsize length;

  if (!g_file_get_contents ("examples/labka.yaml", &text, &length, &error))
    g_error ("%s", error->message);
  config
      = anvil_config_load ("labka.yaml", (anvil_str_t){ .data = text, .length = length }, &error);
  if (config == NULL)
    g_error ("%s", error->message);
  anvil_steer_configure (steer, anvil_clock_now (), config, 1);
  for (guint i = 1; i < N_ENTRIES; i++)
    gossip.gossip.members[gossip.gossip.n_members++]
        = (anvil_member_t){ .node = 1 + i,
                            .incarnation = 1,
                            .version = 1,
                            .zone_hash = anvil_str_hash (config->zones[i % config->n_zones].name),
                            .generation = 1,
                            .caller_port = 8000 };
  anvil_steer_receive (steer, anvil_clock_now (), 2, &gossip);
  anvil_config_drop (config);
  g_free (text);
  return steer;
}

static int
connect_to (guint16 port)
{
  const struct sockaddr_in address = { .sin_family = AF_INET,
                                       .sin_port = htons (port),
                                       .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (connect (fd, (const struct sockaddr *) &address, sizeof address) != 0)
    g_error ("can't connect to the server");
  return fd;
}

/* Requests a path on all connections in turn; returns the duration in seconds. */
static gdouble
run_round (const int *connections, const char *path)
{
  char *request = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: entry\r\n\r\n", path);
  anvil_time_t started_at = anvil_clock_now ();
  char response[MAX_RESPONSE_BYTES];

  for (guint i = 0; i < REQUESTS_PER_ROUND; i += N_CONNECTIONS)
    {
      for (guint c = 0; c < N_CONNECTIONS; c++)
        {
          if (write (connections[c], request, strlen (request)) < 0)
            g_error ("can't send a request");
        }
      for (guint c = 0; c < N_CONNECTIONS; c++)
        {
          gssize n = read (connections[c], response, sizeof response);

          if (n < 12 || memcmp (response, "HTTP/1.1 200", 12) != 0)
            g_error ("no response with status 200 for %s", path);
        }
    }
  g_free (request);
  return (gdouble) (anvil_clock_now () - started_at) / ANVIL_SECOND;
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  const gdouble first = *(const gdouble *) a;
  const gdouble second = *(const gdouble *) b;

  return (first > second) - (first < second);
}

static gdouble
median (gdouble *values)
{
  qsort (values, N_ROUNDS, sizeof *values, compare_doubles);
  return values[N_ROUNDS / 2];
}

/* Runs in a child process: measures both handlers in turn. */
static void
run_callers (guint16 port)
{
  int connections[N_CONNECTIONS];
  gdouble fixed_s[N_ROUNDS];
  gdouble lookup_s[N_ROUNDS];

  for (guint c = 0; c < N_CONNECTIONS; c++)
    connections[c] = connect_to (port);
  run_round (connections, fixed_path);
  for (guint i = 0; i < N_ROUNDS; i++)
    {
      fixed_s[i] = run_round (connections, fixed_path);
      lookup_s[i] = run_round (connections, lookup_path);
    }
  printf ("HTTP, %u connections: bare handler %.0f a second, look-up %.0f a second, ratio %.2f\n",
          N_CONNECTIONS, REQUESTS_PER_ROUND / median (fixed_s),
          REQUESTS_PER_ROUND / median (lookup_s), median (fixed_s) / median (lookup_s));
  for (guint c = 0; c < N_CONNECTIONS; c++)
    close (connections[c]);
}

int
main (void)
{
  struct event_base *base = event_base_new ();
  struct evhttp *http = evhttp_new (base);
  struct evhttp_bound_socket *bound = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
  server_t server = { .steer = new_core (), .metrics = anvil_metrics_new () };
  struct event *wake_up = event_new (base, -1, EV_PERSIST, on_wake_up, NULL);
  const struct timeval period = { .tv_usec = WAKE_UP_INTERVAL_US };
  struct sockaddr_in address;
  socklen_t length = sizeof address;
  pid_t callers;

  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *) &address, &length);
  evhttp_set_cb (http, fixed_path, respond_fixed, NULL);
  evhttp_set_cb (http, "/v1/entries", respond_lookup, &server);
  callers = fork ();
  if (callers == 0)
    {
      run_callers (ntohs (address.sin_port));
      exit (EXIT_SUCCESS);
    }
  event_add (wake_up, &period);
  while (waitpid (callers, NULL, WNOHANG) == 0)
    event_base_loop (base, EVLOOP_ONCE);
  event_free (wake_up);
  evhttp_free (http);
  event_base_free (base);
  anvil_steer_drop (server.steer);
  anvil_metrics_drop (server.metrics);
  return EXIT_SUCCESS;
}

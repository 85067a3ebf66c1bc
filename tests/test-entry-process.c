/* The daemon as a process, with the platform's stand-in: readiness, shutdown and settings. */

#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <check.h>
#include <glib/gstdio.h>

#include "anvil/clock.h"
#include "helper-ports.h"

#define TIMEOUT (20 * ANVIL_SECOND)
#define MAX_MESSAGE_BYTES 65536

/* A deployment of one entry and one upstream, which is a listening socket of this test. */
typedef struct
{
  char *directory;
  guint16 platform_port;
  guint16 caller_port;
  guint16 admin_port;
  guint16 peer_port;
  int upstream_listener;
  guint16 upstream_port;
  pid_t platform_pid;
  pid_t entry_pid;
} deployment_t;

static int
listen_on_free_port (guint16 *port)
{
  struct sockaddr_in local = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof local;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert_int_eq (bind (fd, (struct sockaddr *) &local, sizeof local), 0);
  ck_assert_int_eq (listen (fd, 64), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *) &local, &length), 0);
  *port = ntohs (local.sin_port);
  return fd;
}

/* Starts a program of the build. The formatted command line is split at spaces. */
static pid_t start (const char *format, ...) G_GNUC_PRINTF (1, 2);

static pid_t
start (const char *format, ...)
{
  const char *bin = g_getenv ("ANVIL_BIN");
  va_list values;
  char *line;
  char **arguments;
  char *path;
  pid_t pid;

  va_start (values, format);
  line = g_strdup_vprintf (format, values);
  va_end (values);
  arguments = g_strsplit (line, " ", -1);
  path = g_build_filename (bin != NULL ? bin : "build/release/bin", arguments[0], NULL);
  pid = fork ();
  if (pid == 0)
    {
      /* Kills the process if a failing test exits. */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      execv (path, arguments);
      _exit (127);
    }
  g_strfreev (arguments);
  g_free (path);
  g_free (line);
  return pid;
}

static void
set_receive_timeout (int fd)
{
  const struct timeval timeout = { .tv_sec = TIMEOUT / ANVIL_SECOND };

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
}

static int
try_connect (guint16 port)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  set_receive_timeout (fd);
  if (connect (fd, (struct sockaddr *) &to, sizeof to) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Reads up to the end of the stream and closes the socket. */
static char *
read_all (int fd)
{
  char *text = g_malloc0 (MAX_MESSAGE_BYTES);
  gsize length = 0;
  ssize_t n_read;

  while ((n_read = recv (fd, text + length, MAX_MESSAGE_BYTES - 1 - length, 0)) > 0)
    length += (gsize) n_read;
  close (fd);
  return text;
}

/* Reads one request up to the end of its headers. */
static char *
read_request (int fd)
{
  char *text = g_malloc0 (MAX_MESSAGE_BYTES);
  gsize length = 0;

  while (strstr (text, "\r\n\r\n") == NULL)
    {
      ssize_t n_read = recv (fd, text + length, MAX_MESSAGE_BYTES - 1 - length, 0);

      if (n_read <= 0)
        break;
      length += (gsize) n_read;
    }
  return text;
}

/* Sends a request; returns the HTTP status, or 0 if there is no response. */
static guint
send_request (guint16 port, const char *request)
{
  int fd = try_connect (port);
  char *response;
  guint status = 0;

  if (fd < 0)
    return 0;
  send (fd, request, strlen (request), MSG_NOSIGNAL);
  response = read_all (fd);
  if (g_str_has_prefix (response, "HTTP/1.1 "))
    status = (guint) strtoul (response + strlen ("HTTP/1.1 "), NULL, 10);
  g_free (response);
  return status;
}

#define GET(path) "GET " path " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"

static void
wait_for_status (guint16 port, const char *request, guint status)
{
  anvil_time_t deadline = anvil_clock_now () + TIMEOUT;
  guint actual;

  while ((actual = send_request (port, request)) != status)
    {
      ck_assert_msg (anvil_clock_now () < deadline, "status %u, expected %u: %s", actual, status,
                     request);
      g_usleep (20000);
    }
}

static pid_t
start_entry (const deployment_t *deployment, guint drain_seconds)
{
  return start ("anvil-entry --listen 127.0.0.1:%u --admin 127.0.0.1:%u --peer 127.0.0.1:%u "
                "--platform 127.0.0.1:%u --zone west-a --drain-seconds %u --log-level error",
                deployment->caller_port, deployment->admin_port, deployment->peer_port,
                deployment->platform_port, drain_seconds);
}

static void
submit_config (const deployment_t *deployment)
{
  char *text = g_strdup_printf (
      "deployment: test\nhalves:\n  - name: north\n  - name: south\n"
      "regions:\n  - name: west\n    zones: [west-a]\n    clients: [127.0.0.0/8]\nlinks: []\n"
      "services:\n  - name: booking\n    owner: north\n    idempotent: false\n"
      "    deadline_ms: 30000\n    queue: 9\n    request_kb: 1\n    response_kb: 1\n"
      "    max_request_kb: 64\n    prefer: latency\n"
      "upstreams:\n  - service: booking\n    half: north\n    zone: west-a\n"
      "    address: 127.0.0.1\n    port: %u\n    count: 1\n    slots: 2\n    connections: 9\n"
      "seats:\n  - zone: west-a\n    count: 1\n",
      deployment->upstream_port);
  char *path = g_build_filename (deployment->directory, "file.yaml", NULL);
  int status;
  pid_t pid;

  ck_assert (g_file_set_contents (path, text, -1, NULL));
  pid = start ("anvil-config submit %s --platform 127.0.0.1:%u --wait-ms 0", path,
               deployment->platform_port);
  ck_assert_int_eq (waitpid (pid, &status, 0), pid);
  g_unlink (path);
  g_free (path);
  g_free (text);
}

/* Adds the entry's VM to the platform's VM list. */
static void
add_entry_to_vm_list (const deployment_t *deployment)
{
  char *body
      = g_strdup_printf ("{\"vms\":[{\"name\":\"entry-0\",\"kind\":\"entry\",\"state\":\"live\","
                         "\"zone\":\"west-a\",\"address\":\"127.0.0.1\",\"peer_port\":%u,"
                         "\"caller_port\":%u,\"admin_port\":%u}]}",
                         deployment->peer_port, deployment->caller_port, deployment->admin_port);
  char *request = g_strdup_printf ("PUT /v1/standin/vms HTTP/1.1\r\nHost: x\r\n"
                                   "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
                                   strlen (body), body);

  ck_assert_uint_eq (send_request (deployment->platform_port, request), 200);
  g_free (request);
  g_free (body);
}

static deployment_t *
deploy (guint drain_seconds)
{
  deployment_t *deployment = g_new0 (deployment_t, 1);

  deployment->directory = g_dir_make_tmp ("anvil-XXXXXX", NULL);
  deployment->platform_port = reserve_port ();
  deployment->caller_port = reserve_port ();
  deployment->admin_port = reserve_port ();
  deployment->peer_port = reserve_port ();
  deployment->upstream_listener = listen_on_free_port (&deployment->upstream_port);
  set_receive_timeout (deployment->upstream_listener);
  deployment->platform_pid
      = start ("anvil-platform --listen 127.0.0.1:%u --vm-lag-ms 0", deployment->platform_port);
  wait_for_status (deployment->platform_port, GET ("/v1/vms"), 200);
  add_entry_to_vm_list (deployment);
  deployment->entry_pid = start_entry (deployment, drain_seconds);
  wait_for_status (deployment->admin_port, GET ("/healthz"), 200);
  return deployment;
}

static void
stop (deployment_t *deployment)
{
  if (deployment->entry_pid > 0)
    {
      kill (deployment->entry_pid, SIGKILL);
      waitpid (deployment->entry_pid, NULL, 0);
    }
  kill (deployment->platform_pid, SIGKILL);
  waitpid (deployment->platform_pid, NULL, 0);
  close (deployment->upstream_listener);
  g_rmdir (deployment->directory);
  g_free (deployment->directory);
  g_free (deployment);
}

/* Accepts the next request at the upstream and answers polls of its load until then. */
static int
accept_request (const deployment_t *deployment, char **request)
{
  static const char load[] = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 13\r\n\r\n"
                             "{\"running\":0}";

  for (;;)
    {
      int fd = accept (deployment->upstream_listener, NULL, NULL);

      ck_assert_int_ge (fd, 0);
      *request = read_request (fd);
      if (!g_str_has_prefix (*request, "GET /load "))
        return fd;
      send (fd, load, strlen (load), MSG_NOSIGNAL);
      close (fd);
      g_free (*request);
    }
}

static int
post_booking (const deployment_t *deployment)
{
  static const char request[] = "POST /book HTTP/1.1\r\nHost: booking\r\nContent-Length: 0\r\n"
                                "Connection: close\r\n\r\n";
  int fd = try_connect (deployment->caller_port);

  ck_assert_int_ge (fd, 0);
  send (fd, request, strlen (request), MSG_NOSIGNAL);
  return fd;
}

static void
respond_to_booking (int fd)
{
  static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

  ck_assert_int_gt (send (fd, response, strlen (response), MSG_NOSIGNAL), 0);
}

START_TEST (test_entry_is_ready_only_with_a_configuration)
{
  deployment_t *deployment = deploy (30);

  ck_assert_uint_eq (send_request (deployment->admin_port, GET ("/readyz")), 503);
  ck_assert_uint_eq (send_request (deployment->admin_port, GET ("/v1/config")), 404);
  ck_assert_uint_eq (send_request (deployment->caller_port, GET ("/v1/entries?service=booking")),
                     503);
  submit_config (deployment);
  wait_for_status (deployment->admin_port, GET ("/readyz"), 200);
  wait_for_status (deployment->caller_port, GET ("/v1/entries?service=booking"), 200);
  ck_assert_uint_eq (send_request (deployment->admin_port, GET ("/v1/config")), 200);
  ck_assert_uint_eq (send_request (deployment->admin_port, GET ("/v1/status")), 200);
  ck_assert_uint_eq (send_request (deployment->admin_port, GET ("/v1/drain")), 200);
  ck_assert_uint_eq (send_request (deployment->admin_port, GET ("/metrics")), 200);
  ck_assert_uint_eq (send_request (deployment->admin_port, GET ("/v1/nothing")), 404);
  stop (deployment);
}
END_TEST

START_TEST (test_shutdown_waits_for_requests_in_progress)
{
  deployment_t *deployment = deploy (30);
  char *request;
  char *response;
  int caller;
  int upstream;
  int status;

  submit_config (deployment);
  wait_for_status (deployment->admin_port, GET ("/readyz"), 200);
  caller = post_booking (deployment);
  upstream = accept_request (deployment, &request);
  ck_assert (g_str_has_prefix (request, "POST /book "));
  g_free (request);

  kill (deployment->entry_pid, SIGTERM);
  wait_for_status (deployment->admin_port, GET ("/readyz"), 503);
  wait_for_status (deployment->caller_port, GET ("/v1/entries?service=booking"), 503);
  ck_assert_int_eq (waitpid (deployment->entry_pid, &status, WNOHANG), 0);
  respond_to_booking (upstream);
  response = read_all (caller);
  ck_assert_msg (strstr (response, "Anvil-Outcome: answered") != NULL, "\"%s\"", response);
  ck_assert (g_str_has_suffix (response, "\r\n\r\ndone"));
  g_free (response);
  ck_assert_int_eq (waitpid (deployment->entry_pid, &status, 0), deployment->entry_pid);
  ck_assert (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  deployment->entry_pid = 0;
  close (upstream);
  stop (deployment);
}
END_TEST

START_TEST (test_second_signal_aborts_a_shutdown)
{
  deployment_t *deployment = deploy (30);
  char *request;
  int caller;
  int upstream;
  int status;

  submit_config (deployment);
  wait_for_status (deployment->admin_port, GET ("/readyz"), 200);
  caller = post_booking (deployment);
  upstream = accept_request (deployment, &request);
  g_free (request);
  kill (deployment->entry_pid, SIGTERM);
  wait_for_status (deployment->admin_port, GET ("/readyz"), 503);
  kill (deployment->entry_pid, SIGTERM);
  ck_assert_int_eq (waitpid (deployment->entry_pid, &status, 0), deployment->entry_pid);
  ck_assert (WIFEXITED (status) && WEXITSTATUS (status) == 1);
  deployment->entry_pid = 0;
  close (caller);
  close (upstream);
  stop (deployment);
}
END_TEST

START_TEST (test_shutdown_times_out)
{
  deployment_t *deployment = deploy (1);
  char *request;
  int caller;
  int upstream;
  int status;

  submit_config (deployment);
  wait_for_status (deployment->admin_port, GET ("/readyz"), 200);
  caller = post_booking (deployment);
  upstream = accept_request (deployment, &request);
  g_free (request);
  kill (deployment->entry_pid, SIGTERM);
  ck_assert_int_eq (waitpid (deployment->entry_pid, &status, 0), deployment->entry_pid);
  ck_assert (WIFEXITED (status) && WEXITSTATUS (status) == 1);
  deployment->entry_pid = 0;
  close (caller);
  close (upstream);
  stop (deployment);
}
END_TEST

START_TEST (test_invalid_settings_are_rejected)
{
  int status;
  pid_t pid = start ("anvil-entry --listen here --admin 1 --zone z --load-path load");

  ck_assert_int_eq (waitpid (pid, &status, 0), pid);
  ck_assert (WIFEXITED (status) && WEXITSTATUS (status) == 2);
  pid = start ("anvil-entry --listen 127.0.0.1:1 --admin 127.0.0.1:1 --peer 127.0.0.1:2 "
               "--platform 127.0.0.1:3 --zone z");
  ck_assert_int_eq (waitpid (pid, &status, 0), pid);
  ck_assert (WIFEXITED (status) && WEXITSTATUS (status) == 2);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry-process");
  TCase *tcase = tcase_create ("entry-process");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 120);
  tcase_add_test (tcase, test_entry_is_ready_only_with_a_configuration);
  tcase_add_test (tcase, test_shutdown_waits_for_requests_in_progress);
  tcase_add_test (tcase, test_second_signal_aborts_a_shutdown);
  tcase_add_test (tcase, test_shutdown_times_out);
  tcase_add_test (tcase, test_invalid_settings_are_rejected);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Peers that send bytes without end, or open connections without end: the entry stays within its
 * limits, and callers of sound upstreams are served meanwhile. */

#include "helper-fleet.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <glib/gstdio.h>

#include "anvil/clock.h"
#include "standins/endless.h"

/* The entries' memoryMb is 256. */
#define MAX_RESIDENT_BYTES (((gsize) 256 << 20) * 9 / 10)
/* maxFds of the entries, of which 200 are for files. */
#define MAX_DESCRIPTORS (1024 - 200)
#define N_IDLE_CONNECTIONS 1100
#define N_FAULTY_PEERS 6
#define N_RETRIED_REQUESTS 80
#define RETRIED_REQUEST_INTERVAL_US 20000
/* Long enough for the calls to the store to time out, and for what was read to be too old. */
#define STORE_PLAY_TIME (4 * ANVIL_SECOND)
#define PLAY_TIME (1500 * ANVIL_MS)
#define MIN_REQUESTS 100u
/* Until entries that have just started read for each other. */
#define PEERS_TIME_US 3000000
#define SLOW_BYTES_PER_SECOND 200000
#define REQUEST_INTERVAL_US 5000
/* One in so many answers may be lost. */
#define LOST_DIVISOR 100

static fleet_t fleet;
static fleet_entry_t *entry;
static pid_t flooders[N_FAULTY_PEERS];
/* Largest resident set that was seen. */
static gsize resident_bytes;

static void
set_up (void)
{
  memset (flooders, 0, sizeof flooders);
  resident_bytes = 0;
  fleet_open (&fleet);
  fleet_add_upstream (&fleet, "u1", "photos", NULL);
  fleet_add_upstream (&fleet, "u2", "photos", NULL);
  fleet_configure (&fleet, NULL);
  entry = fleet_add_entry (&fleet, "e1", "west-a");
  fleet_wait_ready (entry);
}

static void
tear_down (void)
{
  char *path = g_strdup_printf ("%s/%s.json.log", fleet.directory, entry->name);

  for (guint i = 0; i < N_FAULTY_PEERS; i++)
    {
      if (flooders[i] > 0)
        {
          kill (flooders[i], SIGKILL);
          waitpid (flooders[i], NULL, 0);
        }
    }
  g_unlink (path);
  g_free (path);
  fleet_close (&fleet);
}

/* The resident set of the entry, 0 once it has ended. */
static gsize
read_resident_bytes (void)
{
  char *path = g_strdup_printf ("/proc/%d/statm", entry->pid);
  char *text = NULL;
  char **fields;
  gsize pages = 0;

  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      fields = g_strsplit (text, " ", 3);
      pages = fields[0] != NULL && fields[1] != NULL ? (gsize) atoll (fields[1]) : 0;
      g_strfreev (fields);
    }
  g_free (text);
  g_free (path);
  return pages * (gsize) sysconf (_SC_PAGESIZE);
}

static guint
count_descriptors (void)
{
  char *path = g_strdup_printf ("/proc/%d/fd", entry->pid);
  GDir *directory = g_dir_open (path, 0, NULL);
  guint n = 0;

  ck_assert_ptr_nonnull (directory);
  while (g_dir_read_name (directory) != NULL)
    n++;
  g_dir_close (directory);
  g_free (path);
  return n;
}

/* Ends the test before the entry takes the memory of the machine. */
static void
check_memory (const char *what)
{
  gsize bytes = read_resident_bytes ();

  resident_bytes = MAX (resident_bytes, bytes);
  ck_assert_msg (bytes > 0, "%s: the entry has ended", what);
  ck_assert_msg (bytes <= MAX_RESIDENT_BYTES, "%s: resident set of %zu MB", what, bytes >> 20);
}

/* Requests of a sound caller, one after the other on new connections. */
static void
check_callers_are_served (const char *what, anvil_time_t duration)
{
  const anvil_time_t until = anvil_clock_now () + duration;
  guint lost = 0;
  guint n = 0;

  while (n < MIN_REQUESTS || anvil_clock_now () < until)
    {
      char *id = g_strdup_printf ("%s-%u", what, n++);
      char *response = fleet_request (entry->caller_port, "GET", "/view/1", id);

      lost += fleet_response_status (response) != 200;
      check_memory (what);
      ck_assert_msg (lost * LOST_DIVISOR <= MAX (n, MIN_REQUESTS), "%s: lost %u of %u: \"%s\"",
                     what, lost, n, response);
      g_usleep (REQUEST_INTERVAL_US);
      g_free (response);
      g_free (id);
    }
  printf ("%s: answered %u of %u, resident set %zu MB\n", what, n - lost, n, resident_bytes >> 20);
  fflush (stdout);
}

static void
send_all (int fd, const char *bytes, gsize length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, bytes, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      bytes += sent;
      length -= (gsize) sent;
    }
}

/* Connects again and again, and sends a message without end each time. */
static void
flood_port (guint16 port, const char *start_line, const endless_message_t *message)
{
  char *start = endless_start (message, start_line, "Host: " FLEET_HOST "\r\n");
  gsize length;
  char *block = endless_block (message, &length);

  for (;;)
    {
      int fd = fleet_connect (port);

      if (fd < 0)
        {
          g_usleep (REQUEST_INTERVAL_US);
          continue;
        }
      send_all (fd, start, strlen (start));
      while (send (fd, block, length, MSG_NOSIGNAL) > 0)
        ;
      close (fd);
    }
}

/* @index is the first of the @n processes. */
static void
start_flooders (
    guint index, guint n, guint16 port, const char *start_line, const endless_message_t *message)
{
  for (guint i = index; i < index + n; i++)
    {
      flooders[i] = fork ();
      if (flooders[i] != 0)
        continue;
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      flood_port (port, start_line, message);
    }
}

START_TEST (test_a_store_that_sends_without_end_harms_no_caller)
{
  char *kind = g_strdup_printf ("endless-%s", endless_messages[_i].name);

  fleet_set_store_fault (&fleet, kind, 600000);
  check_callers_are_served (kind, STORE_PLAY_TIME);
  g_free (kind);
}
END_TEST

/* The bytes come steadily, but so slowly that the limit of a response is far. Alone, and with peers
 * that receive what one of them reads. */
START_TEST (test_a_store_that_sends_slowly_without_end_harms_no_caller)
{
  static const char *const peers[] = { "e3", "e4" };

  fleet.entry_store_endpoint = fleet_add_store_proxy (&fleet, SLOW_BYTES_PER_SECOND)->endpoint;
  fleet_kill_entry (entry, SIGKILL);
  entry = fleet_add_entry (&fleet, "e2", "west-a");
  fleet_wait_ready (entry);
  for (gsize i = 0; i < MIN ((gsize) _i, G_N_ELEMENTS (peers)); i++)
    fleet_wait_ready (fleet_add_entry (&fleet, peers[i], "west-a"));
  if (_i > 0)
    g_usleep (PEERS_TIME_US);
  fleet_set_store_fault (&fleet, "endless-body", 600000);
  check_callers_are_served ("slow endless-body", 2 * STORE_PLAY_TIME);
}
END_TEST

/* A killed process closes its connections in order, as at the end of a body without a length. */
START_TEST (test_a_body_that_its_killed_upstream_leaves_unfinished_is_not_whole)
{
  int fd = fleet_connect (entry->caller_port);
  char *response;

  fleet_send (fd, "POST /pay/1?fault=endless-body HTTP/1.1\r\nHost: " FLEET_HOST
                  "\r\nRequest-Id: cut\r\nContent-Length: 0\r\n\r\n");
  g_usleep (50000);
  for (guint i = 0; i < fleet.upstreams->len; i++)
    kill (((standin_t *) fleet.upstreams->pdata[i])->pid, SIGKILL);
  response = fleet_read_response (fd);
  ck_assert_msg (fleet_response_status (response) == 502, "%.100s", response);
  g_free (response);
  close (fd);
}
END_TEST

START_TEST (test_an_upstream_that_sends_without_end_harms_no_caller)
{
  const endless_message_t *message = &endless_messages[_i];
  char *path = g_strdup_printf ("/view/1?fault=endless-%s", message->name);
  pid_t callers = fork ();

  if (callers == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      for (;;)
        g_free (fleet_request (entry->caller_port, "GET", path, "faulty"));
    }
  flooders[0] = callers;
  check_callers_are_served (message->name, PLAY_TIME);
  g_free (path);
}
END_TEST

/* Repeats a request from many callers, which begin one after the other. */
static void
run_callers (const char *path)
{
  for (guint i = 0; i < N_RETRIED_REQUESTS; i++)
    {
      if (fork () != 0)
        continue;
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      g_usleep ((gulong) i * RETRIED_REQUEST_INTERVAL_US);
      for (;;)
        g_free (fleet_request (entry->caller_port, "GET", path, "faulty"));
    }
  for (;;)
    pause ();
}

/* Failed responses are kept until a retry has ended. */
START_TEST (test_large_failed_responses_that_wait_for_a_retry_harm_no_caller)
{
  fleet_add_upstream (&fleet, "u3", "other", "--slots 100");
  fleet_add_upstream (&fleet, "u4", "other", "--slots 100");
  fleet_configure (&fleet,
                   "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"large\"},\"spec\":{"
                   "\"host\":\"" FLEET_HOST "\",\"prefix\":\"/large/\",\"kind\":\"safe\","
                   "\"timeoutMs\":3000,\"targetLatencyMs\":2000,\"priority\":1,"
                   "\"service\":\"other\",\"maxAttempts\":3,\"sticky\":false,"
                   "\"allowedRegions\":[]}}");
  g_usleep (FLEET_RESYNC_TIME);
  flooders[0] = fork ();
  if (flooders[0] == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      run_callers ("/large/1?fault=error&size=9000000&work=1400");
    }
  check_callers_are_served ("saved responses", STORE_PLAY_TIME);
}
END_TEST

START_TEST (test_flooded_ports_for_lookups_readiness_and_metrics_harm_no_caller)
{
  const endless_message_t *message = &endless_messages[_i];

  start_flooders (0, 2, entry->lookup_port, "GET /-/resolve?name=" FLEET_HOST " HTTP/1.1\r\n",
                  message);
  start_flooders (2, 2, entry->readiness_port, "GET /-/ready HTTP/1.1\r\n", message);
  start_flooders (4, 2, entry->metrics_port, "GET /metrics HTTP/1.1\r\n", message);
  check_callers_are_served (message->name, PLAY_TIME);
}
END_TEST

START_TEST (test_flooded_ports_for_callers_and_peers_harm_no_caller)
{
  const endless_message_t *message = &endless_messages[_i];

  start_flooders (0, 3, entry->caller_port, "POST /pay/1 HTTP/1.1\r\n", message);
  start_flooders (3, 3, entry->peer_port, "", message);
  check_callers_are_served (message->name, PLAY_TIME);
}
END_TEST

static guint16
port_of (const fleet_entry_t *of, guint index)
{
  const guint16 ports[]
      = { of->lookup_port, of->readiness_port, of->metrics_port, of->peer_port, of->caller_port };

  return ports[index];
}

#define N_PORTS 5

START_TEST (test_idle_connections_leave_descriptors_to_callers)
{
  static const char *const names[N_PORTS]
      = { "look-ups", "readiness", "metrics", "peers", "callers" };
  static int idle[N_IDLE_CONNECTIONS];
  char *response;

  for (guint i = 0; i < N_IDLE_CONNECTIONS; i++)
    idle[i] = fleet_connect (port_of (entry, (guint) _i));
  g_usleep (500000);
  printf ("%s: %u descriptors\n", names[_i], count_descriptors ());
  fflush (stdout);
  ck_assert_msg (count_descriptors () <= MAX_DESCRIPTORS, "%s: %u descriptors", names[_i],
                 count_descriptors ());
  check_callers_are_served (names[_i], PLAY_TIME);
  response = fleet_request (entry->lookup_port, "GET", "/-/resolve?name=" FLEET_HOST, "lookup");
  ck_assert_msg (fleet_response_status (response) == 200, "look-up: \"%s\"", response);
  g_free (response);
  response = fleet_request (entry->readiness_port, "GET", "/-/ready", "ready");
  ck_assert_msg (fleet_response_status (response) == 200, "readiness: \"%s\"", response);
  g_free (response);
  for (guint i = 0; i < N_IDLE_CONNECTIONS; i++)
    close (idle[i]);
}
END_TEST

static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  getrlimit (RLIMIT_NOFILE, &limit);
  limit.rlim_cur = MIN (limit.rlim_max, (rlim_t) 4 * N_IDLE_CONNECTIONS);
  setrlimit (RLIMIT_NOFILE, &limit);
}

int
main (void)
{
  Suite *suite = suite_create ("relay-endless");
  TCase *tests = tcase_create ("relay-endless");
  TCase *retries = tcase_create ("relay-endless-retries");
  SRunner *runner;
  int failed;

  raise_descriptor_limit ();
  /* What the sanitizer keeps of freed memory isn't the entry's. */
  g_setenv ("ASAN_OPTIONS", "quarantine_size_mb=8:allocator_release_to_os_interval_ms=200", TRUE);
  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 120);
  tcase_add_loop_test (tests, test_a_store_that_sends_without_end_harms_no_caller, 0,
                       ENDLESS_N_MESSAGES);
  tcase_add_loop_test (tests, test_a_store_that_sends_slowly_without_end_harms_no_caller, 0, 3);
  tcase_add_test (tests, test_a_body_that_its_killed_upstream_leaves_unfinished_is_not_whole);
  tcase_add_loop_test (tests, test_an_upstream_that_sends_without_end_harms_no_caller, 0,
                       ENDLESS_N_MESSAGES);
  tcase_add_loop_test (tests, test_flooded_ports_for_lookups_readiness_and_metrics_harm_no_caller,
                       0, ENDLESS_N_MESSAGES);
  tcase_add_loop_test (tests, test_flooded_ports_for_callers_and_peers_harm_no_caller, 0,
                       ENDLESS_N_MESSAGES);
  tcase_add_loop_test (tests, test_idle_connections_leave_descriptors_to_callers, 0, N_PORTS);
  tcase_add_checked_fixture (retries, set_up, tear_down);
  tcase_set_timeout (retries, 120);
  tcase_add_test (retries, test_large_failed_responses_that_wait_for_a_retry_harm_no_caller);
  suite_add_tcase (suite, tests);
  suite_add_tcase (suite, retries);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

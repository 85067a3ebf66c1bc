#include "helper-fleet.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <glib/gstdio.h>
#include <jansson.h>

#include "anvil/clock.h"
#include "helper-fault-proxy.h"
#include "helper-ports.h"

#define MAX_RESPONSE_BYTES (1u << 20)
#define SETTLE_US 100000
#define ROW_POLL_US 2000

guint16
fleet_port (const standin_t *standin)
{
  return (guint16) atoi (strrchr (standin->endpoint, ':') + 1);
}

void
fleet_open_at_era (fleet_t *fleet, guint era)
{
  char *number = g_strdup_printf ("%u", era);
  const char *const arguments[] = { "--era", number, NULL };

  memset (fleet, 0, sizeof *fleet);
  fleet->directory = g_dir_make_tmp ("anvil-fleet-XXXXXX", NULL);
  g_assert_nonnull (fleet->directory);
  fleet->entries = g_ptr_array_new ();
  fleet->upstreams = g_ptr_array_new ();
  fleet->proxies = g_ptr_array_new ();
  standin_open (&fleet->store, "anvil-store", arguments);
  g_free (number);
}

void
fleet_open (fleet_t *fleet)
{
  fleet_open_at_era (fleet, 0);
}

static void
kill_process (pid_t pid)
{
  if (pid <= 0)
    return;
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

static char *
settings_path (const fleet_t *fleet, const fleet_entry_t *entry)
{
  return g_strdup_printf ("%s/%s.json", fleet->directory, entry->name);
}

void
fleet_close (fleet_t *fleet)
{
  for (guint i = 0; i < fleet->entries->len; i++)
    {
      fleet_entry_t *entry = fleet->entries->pdata[i];
      char *path = settings_path (fleet, entry);

      kill_process (entry->pid);
      g_unlink (path);
      g_free (path);
      g_free (entry->name);
      g_free (entry->zone);
      g_free (entry);
    }
  for (guint i = 0; i < fleet->upstreams->len; i++)
    {
      standin_t *upstream = fleet->upstreams->pdata[i];

      kill_process (upstream->pid);
      close (upstream->stderr_fd);
      g_free (upstream);
    }
  kill_process (fleet->store.pid);
  close (fleet->store.stderr_fd);
  for (guint i = 0; i < fleet->proxies->len; i++)
    {
      fleet_proxy_t *proxy = fleet->proxies->pdata[i];

      kill_process (proxy->pid);
      g_free (proxy->endpoint);
      g_free (proxy);
    }
  g_ptr_array_unref (fleet->entries);
  g_ptr_array_unref (fleet->upstreams);
  g_ptr_array_unref (fleet->proxies);
  g_rmdir (fleet->directory);
  g_free (fleet->directory);
}

/* Waits until the store has a row. An entry that reads the table before has no upstream. */
static void
wait_for_row (fleet_t *fleet, const char *table, const char *key)
{
  char *path = g_strdup_printf ("/-/rows-get?table=%s&part=&from=%s", table, key);
  char *name = g_strdup_printf ("\"%s\"", key);
  anvil_time_t until = anvil_clock_now () + FLEET_TIMEOUT_S * ANVIL_SECOND;
  gboolean found = FALSE;

  while (!found && anvil_clock_now () < until)
    {
      char *response = fleet_request (fleet_port (&fleet->store), "GET", path, "rows");

      found = strstr (response, name) != NULL;
      g_free (response);
      if (!found)
        g_usleep (ROW_POLL_US);
    }
  if (!found)
    g_error ("row %s was never written", key);
  g_free (name);
  g_free (path);
}

standin_t *
fleet_add_upstream (fleet_t *fleet, const char *id, const char *service, const char *flags)
{
  standin_t *upstream = g_new0 (standin_t, 1);
  char *line = g_strdup_printf ("--store %s --id %s --service %s --zone west-a %s",
                                fleet->store.endpoint, id, service, flags != NULL ? flags : "");
  char **arguments = g_strsplit (g_strstrip (line), " ", -1);

  standin_open (upstream, "anvil-registrant", (const char *const *) arguments);
  g_ptr_array_add (fleet->upstreams, upstream);
  wait_for_row (fleet, "servers", id);
  g_strfreev (arguments);
  g_free (line);
  return upstream;
}

static void
run_proxy (guint16 target, guint bytes_per_second, int port_fd)
{
  struct event_base *base = event_base_new ();
  fault_proxy_t *proxy = fault_proxy_open (base);
  guint16 port = fault_proxy_port (proxy);

  fault_proxy_set_target (proxy, target);
  if (bytes_per_second > 0)
    fault_proxy_set_rate (proxy, bytes_per_second);
  g_assert (write (port_fd, &port, sizeof port) == sizeof port);
  close (port_fd);
  event_base_dispatch (base);
}

fleet_proxy_t *
fleet_add_store_proxy (fleet_t *fleet, guint bytes_per_second)
{
  fleet_proxy_t *proxy = g_new0 (fleet_proxy_t, 1);
  guint16 port;
  int fds[2];

  g_assert (pipe (fds) == 0);
  proxy->pid = fork ();
  if (proxy->pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      run_proxy (fleet_port (&fleet->store), bytes_per_second, fds[1]);
      _exit (0);
    }
  close (fds[1]);
  g_assert (read (fds[0], &port, sizeof port) == sizeof port);
  close (fds[0]);
  proxy->endpoint = g_strdup_printf ("127.0.0.1:%u", port);
  g_ptr_array_add (fleet->proxies, proxy);
  return proxy;
}

static void
write_settings (const fleet_t *fleet, const fleet_entry_t *entry)
{
  const fleet_entry_t *first = fleet->entries->pdata[0];
  char *path = settings_path (fleet, entry);
  char *text = g_strdup_printf (
      "{\"nodeName\":\"%s\",\"zone\":\"%s\","
      "\"zones\":{\"west-a\":\"west\",\"west-b\":\"west\",\"east-a\":\"east\"},"
      "\"listen\":{\"front\":\"127.0.0.1:%u\",\"ready\":\"127.0.0.1:%u\","
      "\"directory\":\"127.0.0.1:%u\",\"control\":\"127.0.0.1:%u\"},"
      "\"internalPorts\":[%u,%u],\"seeds\":[\"127.0.0.1:%u\"],"
      "\"limits\":{\"memoryMb\":256,\"maxFds\":1024},\"platform\":{\"address\":\"%s\"},"
      "\"bounds\":{\"graceS\":6,\"ttl_max_s\":5,\"retryBudgetRatio\":0.2,"
      "\"retryBudgetExtra\":56,\"budgetWindowS\":10,\"coldLoadFactor\":1.5,\"coldSlack\":5,"
      "\"maxShift\":0.15,\"stableWindowMs\":%d%s}}",
      entry->name, entry->zone, entry->caller_port, entry->readiness_port, entry->lookup_port,
      entry->peer_port, entry->metrics_port, entry->metrics_port, first->peer_port,
      fleet->entry_store_endpoint != NULL ? fleet->entry_store_endpoint : fleet->store.endpoint,
      (int) (FLEET_RESYNC_TIME / ANVIL_MS), fleet->more_bounds != NULL ? fleet->more_bounds : "");

  g_assert (g_file_set_contents (path, text, -1, NULL));
  g_free (text);
  g_free (path);
}

void
fleet_start_entry (fleet_t *fleet, fleet_entry_t *entry)
{
  const char *bin = g_getenv ("ANVIL_BIN");
  char *program = g_build_filename (bin != NULL ? bin : "build/release/bin", "anvil-relay", NULL);
  char *settings = settings_path (fleet, entry);
  char *log = g_strdup_printf ("%s.log", settings);

  entry->pid = fork ();
  if (entry->pid == 0)
    {
      /* Ends the entry with the test program, also if a test fails. */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (g_getenv ("ANVIL_FLEET_LOGS") == NULL)
        log = g_strdup ("/dev/null");
      if (freopen (log, "a", stdout) != NULL)
        execl (program, "anvil-relay", "--settings", settings, (char *) NULL);
      _exit (127);
    }
  g_free (log);
  g_free (settings);
  g_free (program);
}

fleet_entry_t *
fleet_add_entry (fleet_t *fleet, const char *name, const char *zone)
{
  fleet_entry_t *entry = g_new0 (fleet_entry_t, 1);

  entry->name = g_strdup (name);
  entry->zone = g_strdup (zone);
  entry->caller_port = reserve_port ();
  entry->readiness_port = reserve_port ();
  entry->lookup_port = reserve_port ();
  entry->peer_port = reserve_port ();
  entry->metrics_port = reserve_port ();
  g_ptr_array_add (fleet->entries, entry);
  write_settings (fleet, entry);
  fleet_start_entry (fleet, entry);
  return entry;
}

int
fleet_kill_entry (fleet_entry_t *entry, int signal_number)
{
  int status = -1;

  kill (entry->pid, signal_number);
  waitpid (entry->pid, &status, 0);
  entry->pid = 0;
  return status;
}

int
fleet_connect (guint16 port)
{
  const struct timeval timeout = { .tv_sec = FLEET_TIMEOUT_S };
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *) &to, sizeof to) == 0)
    return fd;
  close (fd);
  return -1;
}

void
fleet_send (int fd, const char *format, ...)
{
  va_list values;
  char *text;

  va_start (values, format);
  text = g_strdup_vprintf (format, values);
  va_end (values);
  g_assert (send (fd, text, strlen (text), MSG_NOSIGNAL) == (ssize_t) strlen (text));
  g_free (text);
}

/* The store may be set to not respond. */
#define STORE_TIMEOUT_S 1

/* Length of the whole response, 0 while its headers are incomplete. */
static gsize
response_length (const char *text)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = end != NULL ? strstr (text, "Content-Length: ") : NULL;

  if (end == NULL)
    return 0;
  return (gsize) (end + 4 - text)
         + (length != NULL && length < end ? (gsize) atoi (length + strlen ("Content-Length: "))
                                           : 0);
}

char *
fleet_read_response (int fd)
{
  char *text = g_malloc0 (MAX_RESPONSE_BYTES);
  gsize length = 0;

  /* Headers are read byte by byte, so that nothing of a later response is read. */
  while (response_length (text) == 0 || length < response_length (text))
    {
      gsize left = response_length (text) == 0 ? 1 : response_length (text) - length;
      ssize_t got = recv (fd, text + length, MIN (left, MAX_RESPONSE_BYTES - 1 - length), 0);

      if (got <= 0)
        break;
      length += (gsize) got;
    }
  return text;
}

guint
fleet_response_status (const char *response)
{
  return g_str_has_prefix (response, "HTTP/1.1 ") ? (guint) atoi (response + strlen ("HTTP/1.1 "))
                                                  : 0;
}

guint
fleet_count_responses_of (const fleet_entry_t *entry, const char *id, guint n)
{
  char *stamp = g_strdup_printf ("Server-Stamp: %s\r\n", id);
  int *fds = g_new (int, n);
  guint n_found = 0;

  for (guint i = 0; i < n; i++)
    {
      fds[i] = fleet_connect (entry->caller_port);
      fleet_send (fds[i],
                  "GET /view/1?work=100 HTTP/1.1\r\nHost: " FLEET_HOST
                  "\r\nRequest-Id: request-%u\r\n\r\n",
                  i);
    }
  for (guint i = 0; i < n; i++)
    {
      char *response = fleet_read_response (fds[i]);

      ck_assert_msg (fleet_response_status (response) == 200, "%s", response);
      n_found += strstr (response, stamp) != NULL;
      g_free (response);
      close (fds[i]);
    }
  g_free (stamp);
  g_free (fds);
  return n_found;
}

const char *
fleet_response_body (const char *response)
{
  const char *end = strstr (response, "\r\n\r\n");

  return end != NULL ? end + 4 : "";
}

char *
fleet_request (guint16 port, const char *method, const char *path, const char *id)
{
  int fd = fleet_connect (port);
  char *response;

  if (fd < 0)
    return g_strdup ("");
  fleet_send (fd,
              "%s %s HTTP/1.1\r\nHost: " FLEET_HOST "\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\n"
              "Content-Length: 0\r\nConnection: close\r\n\r\n",
              method, path, id);
  response = fleet_read_response (fd);
  close (fd);
  return response;
}

static gboolean
call_store (fleet_t *fleet, const char *path, const char *body)
{
  const struct timeval timeout = { .tv_sec = STORE_TIMEOUT_S };
  int fd = fleet_connect (fleet_port (&fleet->store));
  gboolean done;
  char *response;

  g_assert (fd >= 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  fleet_send (fd, "POST %s HTTP/1.1\r\nHost: store\r\nContent-Length: %zu\r\n\r\n%s", path,
              strlen (body), body);
  response = fleet_read_response (fd);
  done = fleet_response_status (response) == 200;
  g_free (response);
  close (fd);
  return done;
}

gboolean
fleet_try_put_row (fleet_t *fleet, const char *table, const char *key, const char *value)
{
  gboolean done;
  char *encoded = value != NULL ? g_base64_encode ((const guchar *) value, strlen (value)) : NULL;
  char *body = g_strdup_printf (
      "{\"expect\":[],\"%s\":[{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\","
      "\"value\":\"%s\"}]}",
      value != NULL ? "writes" : "remove", table, key, encoded != NULL ? encoded : "");

  done = call_store (fleet, "/-/rows-tx", body);
  g_free (body);
  g_free (encoded);
  return done;
}

void
fleet_configure_routes (fleet_t *fleet, guint n, const char *last_service)
{
  GString *routes = g_string_new (NULL);

  for (guint i = 0; i < n; i++)
    g_string_append_printf (
        routes,
        "%s{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"more-%u\"},\"spec\":{\"host\":"
        "\"" FLEET_HOST "\",\"prefix\":\"/more-%u/\",\"kind\":\"safe\",\"timeoutMs\":1500,"
        "\"targetLatencyMs\":600,\"priority\":1,\"service\":\"%s\",\"maxAttempts\":3,"
        "\"sticky\":true,\"allowedRegions\":[]}}",
        i > 0 ? "," : "", i, i, i + 1 < n ? "photos" : last_service);
  fleet_configure (fleet, routes->str);
  g_string_free (routes, TRUE);
}

void
fleet_put_row (fleet_t *fleet, const char *table, const char *key, const char *value)
{
  g_assert (fleet_try_put_row (fleet, table, key, value));
}

void
fleet_set_store_fault (fleet_t *fleet, const char *kind, guint for_ms)
{
  char *path = g_strdup_printf ("/fault?kind=%s&for_ms=%u", kind, for_ms);

  g_assert (call_store (fleet, path, ""));
  g_free (path);
}

void
fleet_start_drill (fleet_t *fleet, guint away_ms, guint age_ms, guint rewrite_ms)
{
  char *kind = g_strdup_printf ("drill&age_ms=%u&rewrite_ms=%u&step_ms=20", age_ms, rewrite_ms);

  fleet_set_store_fault (fleet, kind, away_ms);
  g_free (kind);
}

guint
fleet_count_change_reads (fleet_t *fleet, const char *table)
{
  char *path = g_strdup_printf ("/follows?table=%s", table);
  char *response = fleet_request (fleet_port (&fleet->store), "GET", path, "follows");
  json_t *root = json_loads (fleet_response_body (response), 0, NULL);
  guint calls = (guint) json_integer_value (json_object_get (root, "calls"));

  json_decref (root);
  g_free (response);
  g_free (path);
  return calls;
}

void
fleet_configure_raw (fleet_t *fleet, const char *text)
{
  fleet_put_row (fleet, "op", "config", text);
}

#define ROUTE(name, prefix, kind)                                                                  \
  "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"" name                                    \
  "\"},\"spec\":{\"host\":\"" FLEET_HOST "\",\"prefix\":\"" prefix "\",\"kind\":\"" kind           \
  "\",\"timeoutMs\":1500,\"targetLatencyMs\":600,"                                                 \
  "\"priority\":1,\"service\":\"photos\",\"maxAttempts\":3,\"sticky\":true,\"allowedRegions\":[]}" \
  "}"
#define SERVICE(name)                                                                              \
  "{\"resourceKind\":\"services\",\"metadata\":{\"name\":\"" name                                  \
  "\"},\"spec\":{\"healthPath\":\"/health\",\"maxConnections\":330,\"coldStartS\":0.2,"            \
  "\"coldPerS\":100}}"

void
fleet_configure (fleet_t *fleet, const char *more)
{
  char *text = g_strdup_printf (
      "{\"version\":%u,\"resources\":[" ROUTE ("view", "/view/", "safe") "," ROUTE (
          "pay", "/pay/", "unsafe") "," SERVICE ("photos") "," SERVICE ("other") "%s%s]}",
      ++fleet->version, more != NULL ? "," : "", more != NULL ? more : "");

  fleet_configure_raw (fleet, text);
  g_free (text);
}

gint64
fleet_read_metric (const fleet_entry_t *entry, const char *name)
{
  char *response = fleet_request (entry->metrics_port, "GET", "/metrics", "metrics");
  char *line = g_strdup_printf ("\n%s ", name);
  const char *found = strstr (response, line);
  gint64 value = found != NULL ? (gint64) g_ascii_strtod (found + strlen (line), NULL) : -1;

  g_free (line);
  g_free (response);
  return value;
}

guint
fleet_find_holder (const fleet_t *fleet, const char *service)
{
  char *metric = g_strdup_printf ("anvil_held_upstreams{service=\"%s\"}", service);
  const anvil_time_t until = anvil_clock_now () + FLEET_TIMEOUT_S * ANVIL_SECOND;
  guint holder = fleet->entries->len;

  while (holder == fleet->entries->len && anvil_clock_now () < until)
    {
      for (guint i = 0; i < fleet->entries->len && holder == fleet->entries->len; i++)
        {
          if (fleet_read_metric (fleet->entries->pdata[i], metric) > 0)
            holder = i;
        }
      if (holder == fleet->entries->len)
        g_usleep (ROW_POLL_US);
    }
  g_free (metric);
  if (holder == fleet->entries->len)
    g_error ("no entry holds the service %s", service);
  return holder;
}

void
fleet_wait_ready (const fleet_entry_t *entry)
{
  anvil_time_t until = anvil_clock_now () + FLEET_TIMEOUT_S * ANVIL_SECOND;

  while (anvil_clock_now () < until)
    {
      char *response = fleet_request (entry->readiness_port, "GET", "/-/ready", "ready");
      gboolean ready = fleet_response_status (response) == 200;

      g_free (response);
      g_usleep (SETTLE_US);
      if (ready)
        return;
    }
  g_error ("entry %s was never ready", entry->name);
}

guint
fleet_count_runs (fleet_t *fleet, const char *id)
{
  guint runs = 0;

  for (guint i = 0; i < fleet->upstreams->len; i++)
    {
      char *response
          = fleet_request (fleet_port (fleet->upstreams->pdata[i]), "GET", "/runs", "runs");
      json_t *root = json_loads (fleet_response_body (response), 0, NULL);

      runs += (guint) json_integer_value (json_object_get (root, id));
      json_decref (root);
      g_free (response);
    }
  return runs;
}

/* Tests of the upstreams' stand-in, run as a process, with callers in two regions. */

#include <arpa/inet.h>
#include <check.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "anvil/settings.h"
#include "net/http-json.h"
#include "net/http-pool.h"
#include "standin.h"

#define TIMEOUT (20 * ANVIL_SECOND)
#define UPSTREAM "127.91.1.1"
#define NEAR "127.92.1.1"
#define FAR "127.92.2.1"
#define LINK_DELAY (35 * ANVIL_MS)
#define RESPONSE_BYTES 8000

static const char deployment[]
    = "deployment: test\n"
      "halves:\n  - name: left\n"
      "regions:\n"
      "  - name: near\n    zones: [near-a]\n    clients: [127.92.1.0/24]\n"
      "  - name: far\n    zones: [far-a]\n    clients: [127.92.2.0/24]\n"
      "links:\n  - between: [near, far]\n    mbit_per_s: 1\n    delay_ms: 35\n"
      "services:\n"
      "  - name: shop\n    hosts: [shop.example]\n    owner: left\n"
      "    shares:\n      - half: left\n        percent: 100\n"
      "    idempotent: false\n    deadline_ms: 5000\n    queue: 10\n    request_kb: 1\n"
      "    response_kb: 8\n    max_request_kb: 1000\n    prefer: latency\n"
      "upstreams:\n"
      "  - service: shop\n    half: left\n    zone: near-a\n    address: " UPSTREAM "\n"
      "    port: %u\n    count: 1\n    slots: 1\n    connections: 4\n"
      "seats:\n  - zone: near-a\n    count: 1\n";

static struct event_base *base;
static standin_t standin;
static anvil_http_pool_t *admin;
static guint16 port;

/* Returns a port that is free, unless another process takes it before it is used. */
static guint16
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, UPSTREAM, &address.sin_addr);
  ck_assert_int_eq (bind (fd, (struct sockaddr *) &address, sizeof address), 0);
  getsockname (fd, (struct sockaddr *) &address, &length);
  close (fd);
  return ntohs (address.sin_port);
}

static void
set_up (void)
{
  char *file = NULL;
  int fd = g_file_open_tmp ("anvil-upstream-XXXXXX", &file, NULL);
  const char *const arguments[] = { "--config",
                                    file,
                                    "--service-ms",
                                    "shop=60",
                                    "--load-lag-ms",
                                    "1",
                                    "--cold-requests",
                                    "1",
                                    "--cold-factor",
                                    "1",
                                    NULL };
  guint32 address;
  guint16 admin_port;
  char *text;

  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  port = free_port ();
  text = g_strdup_printf (deployment, port);
  ck_assert (g_file_set_contents (file, text, -1, NULL));
  g_free (text);
  close (fd);
  standin_open (&standin, "anvil-upstream", arguments);
  g_remove (file);
  g_free (file);
  ck_assert (anvil_endpoint_parse (standin.endpoint, &address, &admin_port));
  admin = anvil_http_pool_open (base, address, admin_port, TIMEOUT);
}

static void
tear_down (void)
{
  anvil_http_pool_close (admin);
  event_base_free (base);
  ck_assert_int_eq (standin_close (&standin), 0);
}

/* Response of the administration server. */
typedef struct
{
  gboolean done;
  int status;
  json_t *json;
} admin_response_t;

static void
on_admin_response (void *context, const anvil_http_result_t *reply)
{
  admin_response_t *response = context;

  response->done = TRUE;
  response->status = reply->status;
  if (reply->body != NULL)
    response->json = anvil_http_json_parse (reply->body, 1u << 20, NULL);
}

static admin_response_t
admin_call (enum evhttp_cmd_type command, const char *uri, const char *text)
{
  struct evbuffer *body = evbuffer_new ();
  admin_response_t response = { 0 };

  evbuffer_add (body, text, strlen (text));
  anvil_http_pool_call (admin, command, uri, body, on_admin_response, &response);
  while (!response.done)
    event_base_loop (base, EVLOOP_ONCE);
  evbuffer_free (body);
  return response;
}

static int
put_faults (const char *text)
{
  admin_response_t response = admin_call (EVHTTP_REQ_PUT, "/standin/faults", text);

  json_decref (response.json);
  return response.status;
}

static void
set_faults (const char *text)
{
  ck_assert_int_eq (put_faults (text), 200);
}

static json_t *
get_report (void)
{
  admin_response_t response = admin_call (EVHTTP_REQ_GET, "/standin/report", "");

  ck_assert_ptr_nonnull (response.json);
  return response.json;
}

/* A counter in the upstream's report; -1 if the report has none of this name. */
static json_int_t
get_count (const char *name)
{
  json_t *report = get_report ();
  json_t *upstream = json_array_get (json_object_get (report, "upstreams"), 0);
  json_t *value = json_object_get (upstream, name);
  json_int_t number = value != NULL ? json_integer_value (value) : -1;

  json_decref (report);
  return number;
}

static void
wait_for_count (const char *name, json_int_t minimum)
{
  while (get_count (name) < minimum)
    event_base_loop (base, EVLOOP_NONBLOCK);
}

/* A member of a link's report; link 0 goes from near to far, link 1 from far to near. */
static json_int_t
link_member (guint link, const char *name)
{
  json_t *report = get_report ();
  json_t *item = json_array_get (json_object_get (report, "links"), link);
  json_int_t number = json_integer_value (json_object_get (item, name));

  json_decref (report);
  return number;
}

/* A caller's connection, and the response to its last request. */
typedef struct
{
  struct evhttp_connection *connection;
  gboolean done;
  int status;
  char outcome[16];
  char server[64];
  GString *body;
} call_t;

static const char *
header (struct evhttp_request *request, const char *name)
{
  const char *value = evhttp_find_header (evhttp_request_get_input_headers (request), name);

  return value != NULL ? value : "";
}

static void
on_response (struct evhttp_request *request, void *data)
{
  call_t *call = data;
  struct evbuffer *body;

  call->done = TRUE;
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    return;
  body = evhttp_request_get_input_buffer (request);
  call->status = evhttp_request_get_response_code (request);
  g_strlcpy (call->outcome, header (request, "Anvil-Upstream"), sizeof call->outcome);
  g_strlcpy (call->server, header (request, "Anvil-Server"), sizeof call->server);
  g_string_append_len (call->body, (const char *) evbuffer_pullup (body, -1),
                       (gssize) evbuffer_get_length (body));
}

static void
call_send (call_t *call, const char *uri, const char *name, const char *value, gsize body_bytes)
{
  struct evhttp_request *request = evhttp_request_new (on_response, call);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char *filler = g_strnfill (body_bytes, 'x');

  call->done = FALSE;
  call->status = 0;
  g_string_truncate (call->body, 0);
  evhttp_add_header (headers, "Host", "shop");
  if (name != NULL)
    evhttp_add_header (headers, name, value);
  evbuffer_add (evhttp_request_get_output_buffer (request), filler, body_bytes);
  evhttp_make_request (call->connection, request, body_bytes > 0 ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                       uri);
  g_free (filler);
}

static void
call_open (call_t *call, const char *from)
{
  *call = (call_t){ .body = g_string_new (NULL) };
  call->connection = evhttp_connection_base_new (base, NULL, UPSTREAM, port);
  evhttp_connection_set_local_address (call->connection, from);
  evhttp_connection_set_retries (call->connection, 0);
}

static void
call_close (call_t *call)
{
  g_clear_pointer (&call->connection, evhttp_connection_free);
  g_string_free (g_steal_pointer (&call->body), TRUE);
}

static void
call_wait (call_t *call)
{
  while (!call->done)
    event_base_loop (base, EVLOOP_ONCE);
}

/* Sends a request on a new connection; returns its status, 0 without a complete response. */
static int
get_status (const char *uri)
{
  call_t call;
  int status;

  call_open (&call, NEAR);
  call_send (&call, uri, NULL, NULL, 0);
  call_wait (&call);
  status = call.status;
  call_close (&call);
  return status;
}

START_TEST (test_response_is_complete_and_runs_are_counted)
{
  call_t call;
  json_t *report;

  call_open (&call, NEAR);
  for (guint i = 0; i < 2; i++)
    {
      call_send (&call, "/a", "Anvil-Request-Id", "id-7", 0);
      call_wait (&call);
      ck_assert_int_eq (call.status, 200);
      ck_assert_uint_eq (call.body->len, RESPONSE_BYTES);
      ck_assert (g_str_has_prefix (call.body->str, "id-7\n"));
      ck_assert (g_str_has_prefix (call.server, "shop-near-a"));
    }
  call_send (&call, "/a", "Idempotency-Key", "key-1", 1);
  call_wait (&call);
  call_close (&call);
  report = get_report ();
  ck_assert_int_eq (json_integer_value (json_object_get (json_object_get (report, "runs"), "id-7")),
                    2);
  ck_assert_int_eq (
      json_integer_value (json_object_get (json_object_get (report, "runs"), "key-1")), 1);
  ck_assert_uint_eq (json_array_size (json_object_get (report, "duplicates")), 1);
  json_decref (report);
}
END_TEST

/* Starts three requests: one runs, two are queued. */
static void
fill_upstream (call_t calls[3])
{
  set_faults ("{\"*\":{\"slow_factor\":1000}}");
  for (guint i = 0; i < 3; i++)
    {
      call_open (&calls[i], NEAR);
      call_send (&calls[i], "/a", NULL, NULL, 0);
      wait_for_count ("peak_wanted", i + 1);
    }
}

START_TEST (test_released_slot_goes_to_next_queued_request)
{
  call_t calls[3];

  fill_upstream (calls);
  ck_assert_int_eq (get_count ("runs"), 1);
  ck_assert_int_eq (get_count ("over_slots"), 2);
  call_close (&calls[1]);
  wait_for_count ("cancelled", 1);
  call_close (&calls[0]);
  wait_for_count ("runs", 2);
  call_close (&calls[2]);
  wait_for_count ("cancelled", 3);
  ck_assert_int_eq (get_count ("runs"), 2);
}
END_TEST

START_TEST (test_shed_request_is_not_run)
{
  set_faults ("{\"*\":{\"shed\":true}}");
  ck_assert_int_eq (get_status ("/a"), 503);
  ck_assert_int_eq (get_count ("shed"), 1);
  ck_assert_int_eq (get_count ("runs"), 0);
}
END_TEST

START_TEST (test_queue_is_limited)
{
  call_t calls[3];
  call_t fourth;

  fill_upstream (calls);
  call_open (&fourth, NEAR);
  call_send (&fourth, "/a", NULL, NULL, 0);
  call_wait (&fourth);
  ck_assert_int_eq (fourth.status, 503);
  ck_assert_str_eq (fourth.outcome, "shed");
  ck_assert_int_eq (get_count ("shed"), 1);
  call_close (&fourth);
  for (guint i = 3; i > 0; i--)
    call_close (&calls[i - 1]);
  wait_for_count ("cancelled", 3);
  ck_assert_int_eq (get_count ("peak_wanted"), 3);
}
END_TEST

START_TEST (test_connections_are_limited)
{
  call_t calls[3];
  call_t idle;
  call_t late;

  fill_upstream (calls);
  set_faults ("{\"*\":{\"drain\":true}}");
  call_open (&idle, NEAR);
  call_send (&idle, "/a", NULL, NULL, 0);
  call_wait (&idle);
  call_open (&late, NEAR);
  call_send (&late, "/a", NULL, NULL, 0);
  for (guint i = 0; i < 50; i++)
    ck_assert_int_eq (get_count ("drained"), 1);
  call_close (&idle);
  call_wait (&late);
  ck_assert_str_eq (late.outcome, "draining");
  ck_assert_int_eq (get_count ("peak_connections"), 4);
  call_close (&late);
  for (guint i = 0; i < 3; i++)
    call_close (&calls[i]);
}
END_TEST

START_TEST (test_run_stops_at_the_deadline)
{
  call_t call;

  set_faults ("{\"*\":{\"slow_factor\":1000}}");
  call_open (&call, NEAR);
  call_send (&call, "/a", "Anvil-Timeout-Ms", "20", 0);
  call_wait (&call);
  ck_assert_int_eq (call.status, 504);
  ck_assert_str_eq (call.outcome, "expired");
  ck_assert_int_eq (get_count ("expired"), 1);
  call_close (&call);
}
END_TEST

START_TEST (test_drain_rejects_requests_and_is_timed)
{
  call_t call;

  call_open (&call, NEAR);
  set_faults ("{\"*\":{\"slow_factor\":1000}}");
  call_send (&call, "/a", NULL, NULL, 0);
  wait_for_count ("runs", 1);
  set_faults ("{\"*\":{\"drain\":true}}");
  ck_assert_int_eq (get_count ("drain_ms"), -1);
  ck_assert_int_eq (get_status ("/a"), 503);
  ck_assert_int_eq (get_count ("runs"), 1);
  ck_assert_int_eq (get_count ("drained"), 1);
  call_close (&call);
  wait_for_count ("cancelled", 1);
  ck_assert_int_ge (get_count ("drain_ms"), 0);
}
END_TEST

START_TEST (test_requests_with_broken_responses_were_run)
{
  set_faults ("{\"*\":{\"truncate_percent\":100}}");
  ck_assert_int_eq (get_status ("/a"), 0);
  set_faults ("{\"*\":{\"truncate_percent\":0,\"close_percent\":100}}");
  ck_assert_int_eq (get_status ("/a"), 0);
  ck_assert_int_eq (get_count ("runs"), 2);
  set_faults ("{\"*\":{\"close_percent\":0}}");
  ck_assert_int_eq (get_status ("/a"), 200);
}
END_TEST

START_TEST (test_dead_upstream_refuses_connections_until_revived)
{
  set_faults ("{\"*\":{\"dead\":true}}");
  ck_assert_int_eq (get_status ("/a"), 0);
  ck_assert_int_eq (get_count ("runs"), 0);
  set_faults ("{\"*\":{\"dead\":false}}");
  ck_assert_int_eq (get_status ("/a"), 200);
}
END_TEST

START_TEST (test_upstream_is_cold_after_restart)
{
  call_t call;

  ck_assert_int_eq (get_status ("/a"), 200);
  ck_assert_int_eq (get_status ("/a"), 200);
  ck_assert_int_eq (get_count ("cold"), 1);
  ck_assert_int_eq (get_status ("/b"), 200);
  ck_assert_int_eq (get_count ("cold"), 2);
  set_faults ("{\"*\":{\"restart\":true}}");
  call_open (&call, NEAR);
  call_send (&call, "/a", NULL, NULL, 1);
  call_wait (&call);
  call_close (&call);
  ck_assert_int_eq (get_count ("cold"), 3);
  ck_assert_int_eq (get_status ("/a"), 200);
  ck_assert_int_eq (get_count ("cold"), 4);
}
END_TEST

START_TEST (test_link_delays_and_is_metered)
{
  anvil_time_t start;
  call_t call;

  set_faults ("{\"*\":{\"slow_factor\":0.0001}}");
  ck_assert_int_eq (get_status ("/a"), 200);
  ck_assert_int_eq (link_member (0, "bits"), 0);
  call_open (&call, FAR);
  call_send (&call, "/a", NULL, NULL, 30000);
  call_wait (&call);
  ck_assert_int_eq (call.status, 200);
  start = anvil_clock_now ();
  call_send (&call, "/a", NULL, NULL, 0);
  call_wait (&call);
  ck_assert_int_ge (anvil_clock_now () - start, 2 * LINK_DELAY);
  ck_assert_int_ge (link_member (0, "bits"), 64000);
  ck_assert_int_ge (link_member (1, "bits"), 240000);
  ck_assert_int_eq (link_member (1, "overruns"), 0);
  call_send (&call, "/a", NULL, NULL, 200000);
  call_wait (&call);
  ck_assert_int_ge (link_member (1, "overruns"), 1);
  ck_assert_int_gt (link_member (1, "peak_bits_per_s"), 1000000);
  ck_assert_int_eq (link_member (0, "overruns"), 0);
  call_close (&call);
}
END_TEST

static json_t *
get_load_from (const char *uri)
{
  call_t call;
  json_t *load;

  call_open (&call, NEAR);
  call_send (&call, uri, NULL, NULL, 0);
  call_wait (&call);
  load = json_loadb (call.body->str, call.body->len, 0, NULL);
  ck_assert_ptr_nonnull (load);
  call_close (&call);
  return load;
}

static json_t *
get_load (void)
{
  return get_load_from ("/standin/load");
}

static gboolean
load_report_is_draining (void)
{
  json_t *load = get_load ();
  gboolean draining = json_is_true (json_object_get (load, "draining"));

  json_decref (load);
  return draining;
}

static json_int_t
load_report_running (void)
{
  json_t *load = get_load ();
  json_int_t running = json_integer_value (json_object_get (load, "running"));

  json_decref (load);
  return running;
}

START_TEST (test_load_report_is_updated)
{
  call_t calls[3];

  json_decref (get_load_from ("/load"));
  ck_assert_int_eq (load_report_running (), 0);
  ck_assert_int_eq (get_count ("runs"), 0);
  fill_upstream (calls);
  while (load_report_running () != 3)
    ;
  for (guint i = 0; i < 3; i++)
    call_close (&calls[i]);
}
END_TEST

START_TEST (test_load_report_can_be_false_and_frozen)
{
  json_t *load;

  set_faults ("{\"*\":{\"lie_running\":7,\"freeze_load\":true,\"drain\":true}}");
  load = get_load ();
  ck_assert_int_eq (json_integer_value (json_object_get (load, "running")), 7);
  ck_assert_int_eq (json_integer_value (json_object_get (load, "slots")), 1);
  ck_assert (json_is_true (json_object_get (load, "healthy")));
  ck_assert (json_is_false (json_object_get (load, "draining")));
  json_decref (load);
  set_faults ("{\"*\":{\"freeze_load\":false}}");
  while (!load_report_is_draining ())
    ;
  ck_assert_int_eq (get_count ("runs"), 0);
}
END_TEST

START_TEST (test_invalid_faults_are_rejected)
{
  static const char *const bad[] = { "[]",
                                     "{\"nobody\":{}}",
                                     "{\"*\":{\"nonsense\":1}}",
                                     "{\"*\":{\"slow_factor\":0}}",
                                     "{\"*\":{\"shed\":1}}",
                                     "{\"*\":{\"close_percent\":101}}" };

  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    ck_assert_msg (put_faults (bad[i]) == 400, "accepted %s", bad[i]);
  ck_assert_int_eq (get_status ("/a"), 200);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("upstream");
  TCase *tcase = tcase_create ("upstream");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, test_response_is_complete_and_runs_are_counted);
  tcase_add_test (tcase, test_released_slot_goes_to_next_queued_request);
  tcase_add_test (tcase, test_shed_request_is_not_run);
  tcase_add_test (tcase, test_queue_is_limited);
  tcase_add_test (tcase, test_connections_are_limited);
  tcase_add_test (tcase, test_run_stops_at_the_deadline);
  tcase_add_test (tcase, test_drain_rejects_requests_and_is_timed);
  tcase_add_test (tcase, test_requests_with_broken_responses_were_run);
  tcase_add_test (tcase, test_dead_upstream_refuses_connections_until_revived);
  tcase_add_test (tcase, test_upstream_is_cold_after_restart);
  tcase_add_test (tcase, test_link_delays_and_is_metered);
  tcase_add_test (tcase, test_load_report_is_updated);
  tcase_add_test (tcase, test_load_report_can_be_false_and_frozen);
  tcase_add_test (tcase, test_invalid_faults_are_rejected);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

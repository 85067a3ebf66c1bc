/* The platform client against a test server that counts the requests received. */

#include <arpa/inet.h>
#include <check.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "anvil/error.h"
#include "anvil/platform.h"

#define TIMEOUT (300 * ANVIL_MS)
#define COMMITTED "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{\"committed\":true}"

/**
 * scripted_response_t - how the server responds to a request
 * @text: response to send; NULL for none
 * @close: whether to close the connection afterwards
 */
typedef struct
{
  const char *text;
  gboolean close;
} scripted_response_t;

typedef struct
{
  struct event_base *base;
  struct evconnlistener *listener;
  guint16 port;
  const scripted_response_t *responses;
  guint n_responses;
  guint requests;
  guint connections;
  guint open;
  GPtrArray *streams;
} server_t;

static server_t server;
static anvil_platform_t *platform;

static void
stream_close (struct bufferevent *stream)
{
  if (g_ptr_array_remove_fast (server.streams, stream))
    server.open--;
  bufferevent_free (stream);
}

static void
on_stream_event (struct bufferevent *stream, short what, void *unused)
{
  stream_close (stream);
}

static void
on_written (struct bufferevent *stream, void *unused)
{
  stream_close (stream);
}

static void
respond (struct bufferevent *stream)
{
  const scripted_response_t *response
      = &server.responses[MIN (server.requests, server.n_responses - 1)];

  server.requests++;
  if (response->text != NULL)
    bufferevent_write (stream, response->text, strlen (response->text));
  if (response->close && response->text != NULL)
    bufferevent_setcb (stream, NULL, on_written, on_stream_event, NULL);
  else if (response->close)
    stream_close (stream);
}

/* Length of the first request in @text, 0 if it is incomplete. */
static gsize
request_length (const char *text)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = strstr (text, "Content-Length: ");
  gsize total;

  if (end == NULL)
    return 0;
  total = end + 4 - text;
  if (length != NULL && length < end)
    total += strtoul (length + strlen ("Content-Length: "), NULL, 10);
  return strlen (text) >= total ? total : 0;
}

static void
on_readable (struct bufferevent *stream, void *unused)
{
  struct evbuffer *input = bufferevent_get_input (stream);
  gsize length = evbuffer_get_length (input);
  char *text = g_strndup ((const char *) evbuffer_pullup (input, -1), length);
  gsize request_bytes = request_length (text);

  g_free (text);
  if (request_bytes == 0)
    return;
  ck_assert_msg (request_bytes == length, "a second request came before the response to the first");
  evbuffer_drain (input, request_bytes);
  respond (stream);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *unused_address,
           int unused_length,
           void *unused)
{
  struct bufferevent *stream = bufferevent_socket_new (server.base, fd, BEV_OPT_CLOSE_ON_FREE);

  server.connections++;
  server.open++;
  g_ptr_array_add (server.streams, stream);
  bufferevent_setcb (stream, on_readable, NULL, on_stream_event, NULL);
  bufferevent_enable (stream, EV_READ | EV_WRITE);
}

static void
set_up (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;

  signal (SIGPIPE, SIG_IGN);
  server = (server_t){ .base = event_base_new (), .streams = g_ptr_array_new () };
  server.listener = evconnlistener_new_bind (server.base, on_accept, NULL, LEV_OPT_CLOSE_ON_FREE,
                                             -1, (struct sockaddr *) &address, sizeof address);
  ck_assert_ptr_nonnull (server.listener);
  getsockname (evconnlistener_get_fd (server.listener), (struct sockaddr *) &address, &length);
  server.port = ntohs (address.sin_port);
  platform = anvil_platform_open (server.base, INADDR_LOOPBACK, server.port, TIMEOUT);
}

static void
tear_down (void)
{
  anvil_platform_close (platform);
  while (server.streams->len > 0)
    stream_close (g_ptr_array_index (server.streams, 0));
  if (server.listener != NULL)
    evconnlistener_free (server.listener);
  g_ptr_array_unref (server.streams);
  event_base_free (server.base);
}

static void
set_responses (const scripted_response_t *responses, guint n_responses)
{
  server.responses = responses;
  server.n_responses = n_responses;
  server.requests = 0;
}

/* Number of calls that ended, their results, and the error code of the last, -1 for none. */
typedef struct
{
  guint calls;
  guint by_result[ANVIL_COMMIT_UNKNOWN + 1];
  gint code;
  guint n_rows;
  guint n_vms;
} outcome_t;

static void
on_commit (void *context, anvil_commit_result_t result, const GError *error)
{
  outcome_t *outcome = context;

  outcome->calls++;
  outcome->by_result[result]++;
  outcome->code = error != NULL ? error->code : -1;
}

static void
on_rows (void *context, const anvil_row_t *rows, guint n_rows, const GError *error)
{
  outcome_t *outcome = context;

  outcome->calls++;
  outcome->n_rows = n_rows;
  outcome->code = error != NULL ? error->code : -1;
}

static void
on_vms (void *context, const anvil_vm_list_t *list, const GError *error)
{
  outcome_t *outcome = context;

  outcome->calls++;
  outcome->n_vms = list != NULL ? list->n_vms : 0;
  outcome->code = error != NULL ? error->code : -1;
}

static void
run_until (const guint *counter, guint wanted)
{
  while (*counter < wanted)
    event_base_loop (server.base, EVLOOP_ONCE);
}

static void
commit_one (outcome_t *outcome)
{
  const anvil_row_t condition = { .key = anvil_str ("seat/0"), .version = 3 };
  const anvil_row_t write = { .key = anvil_str ("seat/0"), .value = anvil_str ("{}") };

  anvil_platform_commit (platform, &condition, 1, &write, 1, on_commit, outcome);
}

static anvil_commit_result_t
commit_and_wait (void)
{
  outcome_t outcome = { 0 };

  commit_one (&outcome);
  run_until (&outcome.calls, 1);
  for (guint i = 0; i < G_N_ELEMENTS (outcome.by_result); i++)
    {
      if (outcome.by_result[i] > 0)
        return i;
    }
  ck_abort_msg ("no result");
}

START_TEST (test_result_of_each_response_without_retry)
{
  static const struct
  {
    scripted_response_t response;
    anvil_commit_result_t result;
  } cases[] = {
    { { COMMITTED }, ANVIL_COMMIT_DONE },
    { { "HTTP/1.1 409 Conflict\r\nContent-Length: 19\r\n\r\n{\"committed\":false}" },
      ANVIL_COMMIT_CONFLICT },
    { { "HTTP/1.1 429 Slow\r\nContent-Length: 0\r\n\r\n" }, ANVIL_COMMIT_NOT_DONE },
    { { "HTTP/1.1 503 Shed\r\nContent-Length: 0\r\n\r\n" }, ANVIL_COMMIT_NOT_DONE },
    { { "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n" }, ANVIL_COMMIT_NOT_DONE },
    { { "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n" }, ANVIL_COMMIT_UNKNOWN },
    { { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" }, ANVIL_COMMIT_UNKNOWN },
    { { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{\"co" }, ANVIL_COMMIT_UNKNOWN },
    { { "HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n{\"committed\":false}" },
      ANVIL_COMMIT_UNKNOWN },
    { { "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{\"comm", TRUE }, ANVIL_COMMIT_UNKNOWN },
    { { "nonsense\r\n\r\n", TRUE }, ANVIL_COMMIT_UNKNOWN },
    { { NULL, TRUE }, ANVIL_COMMIT_UNKNOWN },
    { { NULL, FALSE }, ANVIL_COMMIT_UNKNOWN },
  };

  set_responses (&cases[_i].response, 1);
  ck_assert_int_eq (commit_and_wait (), cases[_i].result);
  ck_assert_uint_eq (server.requests, 1);
}
END_TEST

START_TEST (test_refused_connection_gives_not_done)
{
  g_clear_pointer (&server.listener, evconnlistener_free);
  ck_assert_int_eq (commit_and_wait (), ANVIL_COMMIT_NOT_DONE);
}
END_TEST

START_TEST (test_call_on_reused_connection_that_closes_is_not_retried)
{
  static const scripted_response_t responses[] = { { COMMITTED }, { NULL, TRUE }, { COMMITTED } };

  set_responses (responses, G_N_ELEMENTS (responses));
  ck_assert_int_eq (commit_and_wait (), ANVIL_COMMIT_DONE);
  ck_assert_int_eq (commit_and_wait (), ANVIL_COMMIT_UNKNOWN);
  ck_assert_uint_eq (server.requests, 2);
  ck_assert_uint_eq (server.connections, 1);
  ck_assert_int_eq (commit_and_wait (), ANVIL_COMMIT_DONE);
  ck_assert_uint_eq (server.requests, 3);
  ck_assert_uint_eq (server.connections, 2);
}
END_TEST

START_TEST (test_connection_closed_while_idle_is_replaced)
{
  static const scripted_response_t responses[] = { { COMMITTED, TRUE }, { COMMITTED } };

  set_responses (responses, G_N_ELEMENTS (responses));
  ck_assert_int_eq (commit_and_wait (), ANVIL_COMMIT_DONE);
  while (server.open > 0)
    event_base_loop (server.base, EVLOOP_ONCE);
  /* The client notices the close in a later iteration of the loop. */
  for (guint i = 0; i < 10; i++)
    event_base_loop (server.base, EVLOOP_NONBLOCK);
  ck_assert_int_eq (commit_and_wait (), ANVIL_COMMIT_DONE);
  ck_assert_uint_eq (server.connections, 2);
}
END_TEST

START_TEST (test_calls_share_at_most_four_connections)
{
  static const scripted_response_t responses[] = { { COMMITTED } };
  outcome_t outcome = { 0 };

  set_responses (responses, G_N_ELEMENTS (responses));
  for (guint i = 0; i < 50; i++)
    commit_one (&outcome);
  run_until (&outcome.calls, 50);
  ck_assert_uint_eq (outcome.by_result[ANVIL_COMMIT_DONE], 50);
  ck_assert_uint_eq (server.requests, 50);
  ck_assert_uint_le (server.connections, 4);
}
END_TEST

START_TEST (test_call_that_times_out_in_the_queue_is_not_sent)
{
  static const scripted_response_t responses[] = { { NULL, FALSE } };
  outcome_t sent = { 0 };
  outcome_t waited = { 0 };

  set_responses (responses, G_N_ELEMENTS (responses));
  for (guint i = 0; i < 4; i++)
    commit_one (&sent);
  run_until (&server.requests, 4);
  /* Should the fifth call start once the others have ended, its connection is refused. */
  g_clear_pointer (&server.listener, evconnlistener_free);
  commit_one (&waited);
  run_until (&sent.calls, 4);
  run_until (&waited.calls, 1);
  ck_assert_uint_eq (sent.by_result[ANVIL_COMMIT_UNKNOWN], 4);
  ck_assert_uint_eq (waited.by_result[ANVIL_COMMIT_NOT_DONE], 1);
  ck_assert_uint_eq (server.requests, 4);
}
END_TEST

START_TEST (test_close_ends_every_call_once)
{
  static const scripted_response_t responses[] = { { NULL, FALSE } };
  outcome_t outcome = { 0 };

  set_responses (responses, G_N_ELEMENTS (responses));
  for (guint i = 0; i < 6; i++)
    commit_one (&outcome);
  run_until (&server.requests, 4);
  g_clear_pointer (&platform, anvil_platform_close);
  ck_assert_uint_eq (outcome.calls, 6);
  ck_assert_uint_eq (outcome.by_result[ANVIL_COMMIT_UNKNOWN], 4);
  ck_assert_uint_eq (outcome.by_result[ANVIL_COMMIT_NOT_DONE], 2);
}
END_TEST

START_TEST (test_too_long_value_is_not_sent)
{
  char *large = g_strnfill (70000, 'x');
  const anvil_row_t write = { .key = anvil_str ("k"), .value = anvil_str (large) };
  outcome_t outcome = { 0 };

  anvil_platform_commit (platform, NULL, 0, &write, 1, on_commit, &outcome);
  run_until (&outcome.calls, 1);
  ck_assert_uint_eq (outcome.by_result[ANVIL_COMMIT_NOT_DONE], 1);
  ck_assert_int_eq (outcome.code, ANVIL_ERROR_INVALID);
  ck_assert_uint_eq (server.connections, 0);
  g_free (large);
}
END_TEST

static char *
format_response (const char *body)
{
  return g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (body), body);
}

static outcome_t
read_rows_from_response (const char *body)
{
  char *text = format_response (body);
  const scripted_response_t responses[] = { { text } };
  outcome_t outcome = { 0 };

  set_responses (responses, 1);
  anvil_platform_read_rows (platform, "seat/", on_rows, &outcome);
  run_until (&outcome.calls, 1);
  g_free (text);
  return outcome;
}

static outcome_t
list_vms_from_response (const char *body)
{
  char *text = format_response (body);
  const scripted_response_t responses[] = { { text } };
  outcome_t outcome = { 0 };

  set_responses (responses, 1);
  anvil_platform_list_vms (platform, on_vms, &outcome);
  run_until (&outcome.calls, 1);
  g_free (text);
  return outcome;
}

#define VM_LIST_START "{\"version\":2,\"vms\":[{\"name\":\"e\",\"zone\":\"z\","

START_TEST (test_malformed_responses_give_errors)
{
  static const char *const rows[] = {
    "",
    "[]",
    "{\"rows\":{}}",
    "{\"rows\":[1]}",
    "{\"rows\":[{\"key\":\"a\",\"version\":1}]}",
    "{\"rows\":[{\"key\":\"a\",\"value\":1,\"version\":1}]}",
    "{\"rows\":[{\"key\":\"a\",\"value\":\"\",\"version\":\"1\"}]}",
    "{\"rows\":[{\"key\":\"a\",\"value\":\"\",\"version\":-1}]}",
    "{\"rows\":[{\"key\":\"\",\"value\":\"\",\"version\":1}]}",
    "{\"rows\":[{\"key\":\"a\",\"value\":\"\",\"version\":1},{}]}",
  };
  static const char *const vms[] = {
    "{\"vms\":[]}",
    "{\"version\":1}",
    VM_LIST_START "\"kind\":\"entry\",\"state\":\"live\"}]}",
    VM_LIST_START "\"kind\":\"entry\",\"state\":\"live\",\"address\":\"localhost\"}]}",
    VM_LIST_START "\"kind\":\"other\",\"state\":\"live\",\"address\":\"127.0.0.1\"}]}",
    VM_LIST_START "\"kind\":\"entry\",\"state\":\"x\",\"address\":\"127.0.0.1\"}]}",
    VM_LIST_START "\"kind\":\"entry\",\"state\":\"live\",\"address\":\"127.0.0.1\","
                  "\"peer_port\":65536}]}",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    ck_assert_msg (read_rows_from_response (rows[i]).code == ANVIL_ERROR_INVALID, "accepted %s",
                   rows[i]);
  for (gsize i = 0; i < G_N_ELEMENTS (vms); i++)
    ck_assert_msg (list_vms_from_response (vms[i]).code == ANVIL_ERROR_INVALID, "accepted %s",
                   vms[i]);
}
END_TEST

START_TEST (test_valid_responses_are_parsed)
{
  outcome_t outcome
      = read_rows_from_response ("{\"rows\":[{\"key\":\"a\",\"value\":\"{}\",\"version\":1},"
                                 "{\"key\":\"b\",\"value\":\"\",\"version\":7}]}");

  ck_assert_int_eq (outcome.code, -1);
  ck_assert_uint_eq (outcome.n_rows, 2);
  outcome
      = list_vms_from_response (VM_LIST_START "\"kind\":\"entry\",\"state\":\"leaving\","
                                              "\"address\":\"127.0.0.9\",\"peer_port\":7000}]}");
  ck_assert_int_eq (outcome.code, -1);
  ck_assert_uint_eq (outcome.n_vms, 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("platform-client");
  TCase *tcase = tcase_create ("platform-client");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 30);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, test_result_of_each_response_without_retry, 0, 13);
  tcase_add_test (tcase, test_refused_connection_gives_not_done);
  tcase_add_test (tcase, test_call_on_reused_connection_that_closes_is_not_retried);
  tcase_add_test (tcase, test_connection_closed_while_idle_is_replaced);
  tcase_add_test (tcase, test_calls_share_at_most_four_connections);
  tcase_add_test (tcase, test_call_that_times_out_in_the_queue_is_not_sent);
  tcase_add_test (tcase, test_close_ends_every_call_once);
  tcase_add_test (tcase, test_too_long_value_is_not_sent);
  tcase_add_test (tcase, test_malformed_responses_give_errors);
  tcase_add_test (tcase, test_valid_responses_are_parsed);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Calls of anvil-load to entries that respond, close the connection early, or are unreachable. */

#include <check.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "tools/anvil-load-call.h"

/*
 * An HTTP server as the entry, a TCP server that sends @raw_response and closes the connection, and
 * a port on which nothing listens.
 */
typedef struct
{
  struct event_base *base;
  struct evhttp *entry;
  struct evconnlistener *raw;
  const char *raw_response;
  guint16 entry_port;
  guint16 raw_port;
  guint16 closed_port;
  guint raw_weight;
  guint closed_weight;
  const char *response_id;
  guint requests;
  load_result_t result;
  gboolean finished;
} fixture_t;

static void
respond_to_lookup (struct evhttp_request *request, void *context)
{
  fixture_t *f = context;
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add_printf (body,
                       "{\"generation\":1,\"ttl_seconds\":5,\"entries\":["
                       "{\"address\":\"127.0.0.1\",\"port\":%u,\"weight\":%u},"
                       "{\"address\":\"127.0.0.1\",\"port\":%u,\"weight\":0},"
                       "{\"address\":\"127.0.0.1\",\"port\":%u,\"weight\":%u}]}",
                       f->closed_port, f->closed_weight, f->entry_port, f->raw_port, f->raw_weight);
  evhttp_send_reply (request, HTTP_OK, "OK", body);
  evbuffer_free (body);
}

static void
respond_to_request (struct evhttp_request *request, void *context)
{
  fixture_t *f = context;
  struct evkeyvalq *in = evhttp_request_get_input_headers (request);
  struct evkeyvalq *out = evhttp_request_get_output_headers (request);
  const char *id = evhttp_find_header (in, "Anvil-Request-Id");

  f->requests++;
  evhttp_add_header (out, "Anvil-Request-Id", f->response_id != NULL ? f->response_id : id);
  evhttp_add_header (out, "Anvil-Outcome", "answered");
  evhttp_send_reply (request, HTTP_OK, "OK", NULL);
}

static void
on_raw_read (struct bufferevent *connection, void *context)
{
  fixture_t *f = context;

  f->requests++;
  evbuffer_add (bufferevent_get_output (connection), f->raw_response, strlen (f->raw_response));
  bufferevent_disable (connection, EV_READ);
}

static void
on_raw_written (struct bufferevent *connection, void *context)
{
  if ((bufferevent_get_enabled (connection) & EV_READ) == 0)
    bufferevent_free (connection);
}

static void
on_raw_event (struct bufferevent *connection, short events, void *context)
{
  bufferevent_free (connection);
}

static void
on_raw_accept (struct evconnlistener *listener,
               evutil_socket_t socket,
               struct sockaddr *address,
               int length,
               void *context)
{
  fixture_t *f = context;
  struct bufferevent *connection = bufferevent_socket_new (f->base, socket, BEV_OPT_CLOSE_ON_FREE);

  bufferevent_setcb (connection, on_raw_read, on_raw_written, on_raw_event, f);
  bufferevent_enable (connection, EV_READ | EV_WRITE);
}

static guint16
get_port (evutil_socket_t socket)
{
  struct sockaddr_in address;
  socklen_t length = sizeof address;

  ck_assert_int_eq (getsockname (socket, (struct sockaddr *) &address, &length), 0);
  return ntohs (address.sin_port);
}

static void
open_fixture (fixture_t *f)
{
  struct sockaddr_in loopback
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct evhttp_bound_socket *bound;
  struct evconnlistener *closed;

  f->base = event_base_new ();
  f->entry = evhttp_new (f->base);
  bound = evhttp_bind_socket_with_handle (f->entry, "127.0.0.1", 0);
  f->entry_port = get_port (evhttp_bound_socket_get_fd (bound));
  evhttp_set_cb (f->entry, "/v1/entries", respond_to_lookup, f);
  evhttp_set_gencb (f->entry, respond_to_request, f);
  f->raw = evconnlistener_new_bind (f->base, on_raw_accept, f, LEV_OPT_CLOSE_ON_FREE, -1,
                                    (struct sockaddr *) &loopback, sizeof loopback);
  f->raw_port = get_port (evconnlistener_get_fd (f->raw));
  closed = evconnlistener_new_bind (f->base, on_raw_accept, f, LEV_OPT_CLOSE_ON_FREE, -1,
                                    (struct sockaddr *) &loopback, sizeof loopback);
  f->closed_port = get_port (evconnlistener_get_fd (closed));
  evconnlistener_free (closed);
}

static void
close_fixture (fixture_t *f)
{
  evconnlistener_free (f->raw);
  evhttp_free (f->entry);
  event_base_free (f->base);
}

static void
on_call_finished (void *context, const load_request_t *request, const load_result_t *result)
{
  fixture_t *f = context;

  f->result = *result;
  f->finished = TRUE;
  event_base_loopexit (f->base, NULL);
}

static load_session_t
make_call (fixture_t *f, guint n_bootstrap, guint32 seed)
{
  anvil_service_t service = { .name = anvil_str ("rezervacie"), .deadline = 5 * ANVIL_SECOND };
  anvil_config_t config = { .services = &service, .n_services = 1 };
  load_entry_t bootstrap[] = { { .address = INADDR_LOOPBACK, .port = f->closed_port },
                               { .address = INADDR_LOOPBACK, .port = f->entry_port } };
  load_session_t session = {
    .base = f->base,
    .config = &config,
    .bootstrap = bootstrap,
    .n_bootstrap = n_bootstrap,
    .rand = g_rand_new_with_seed (seed),
  };
  load_caller_t caller = { .address = 0x7f020105, .cache = load_cache_new (1) };
  load_request_t request = {
    .spec = { .kind = LOAD_TRANSACT, .body_bytes = 100 },
    .id = g_strdup ("id-1"),
    .key = g_strdup ("key-1"),
    .scheduled_at = anvil_clock_now (),
  };

  load_call_start (&session, &caller, request, on_call_finished, f);
  if (!f->finished)
    event_base_dispatch (f->base);
  ck_assert (f->finished);
  /* Let the event loop free the connections. */
  event_base_loop (f->base, EVLOOP_NONBLOCK);
  load_cache_drop (caller.cache);
  g_rand_free (session.rand);
  return session;
}

START_TEST (test_call_skips_an_unreachable_entry)
{
  fixture_t f = { .closed_weight = 100 };
  load_session_t session;

  open_fixture (&f);
  session = make_call (&f, 2, 1);
  ck_assert_int_eq (f.result.outcome, LOAD_ANSWERED);
  ck_assert_uint_eq (f.result.entry.port, f.entry_port);
  ck_assert_uint_ge (session.failovers, 1);
  ck_assert_uint_eq (f.requests, 1);
  close_fixture (&f);
}
END_TEST

START_TEST (test_lookup_tries_every_bootstrap_entry)
{
  /* With these seeds, the look-up starts at one or the other entry. */
  for (guint32 seed = 1; seed <= 8; seed++)
    {
      fixture_t f = { 0 };
      load_session_t session;

      open_fixture (&f);
      session = make_call (&f, 2, seed);
      ck_assert_int_eq (f.result.outcome, LOAD_ANSWERED);
      ck_assert_uint_eq (session.failed_lookups, 0);
      close_fixture (&f);
    }
}
END_TEST

START_TEST (test_call_is_not_sent_if_lookup_fails)
{
  fixture_t f = { 0 };
  load_session_t session;

  open_fixture (&f);
  session = make_call (&f, 1, 1);
  ck_assert_int_eq (f.result.outcome, LOAD_NOT_SENT);
  ck_assert_uint_eq (session.failed_lookups, 1);
  close_fixture (&f);
}
END_TEST

START_TEST (test_call_is_not_retried_after_it_was_sent)
{
  fixture_t f = { .raw_weight = 100, .raw_response = "" };

  open_fixture (&f);
  f.raw_response = "H";
  make_call (&f, 2, 1);
  ck_assert_int_eq (f.result.outcome, LOAD_UNKNOWN);
  ck_assert_uint_eq (f.requests, 1);
  close_fixture (&f);
}
END_TEST

START_TEST (test_call_detects_a_truncated_response)
{
  fixture_t f = { .raw_weight = 100,
                  .raw_response = "HTTP/1.1 200 OK\r\nAnvil-Request-Id: id-1\r\nAnvil-Outcome: "
                                  "answered\r\nContent-Length: 10\r\n\r\nhalf" };

  open_fixture (&f);
  make_call (&f, 2, 1);
  ck_assert_int_eq (f.result.outcome, LOAD_UNKNOWN);
  ck_assert_int_eq (f.result.fault, LOAD_FAULT_TRUNCATED);
  close_fixture (&f);
}
END_TEST

START_TEST (test_call_detects_the_response_of_another_request)
{
  fixture_t f = { .response_id = "id-2" };

  open_fixture (&f);
  make_call (&f, 2, 1);
  ck_assert_int_eq (f.result.fault, LOAD_FAULT_OTHER_REQUEST);
  close_fixture (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("load-call");
  TCase *tcase = tcase_create ("load-call");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_call_skips_an_unreachable_entry);
  tcase_add_test (tcase, test_lookup_tries_every_bootstrap_entry);
  tcase_add_test (tcase, test_call_is_not_sent_if_lookup_fails);
  tcase_add_test (tcase, test_call_is_not_retried_after_it_was_sent);
  tcase_add_test (tcase, test_call_detects_a_truncated_response);
  tcase_add_test (tcase, test_call_detects_the_response_of_another_request);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

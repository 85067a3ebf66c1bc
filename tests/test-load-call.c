/* Calls of anvil-load against entries that answer, break off, or are away. */

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

typedef struct
{
  struct event_base *base;
  struct evhttp *entry;
  struct evconnlistener *raw;
  const char *raw_text;
  guint16 entry_port;
  guint16 raw_port;
  guint16 closed_port;
  guint raw_weight;
  guint closed_weight;
  const char *echo;
  guint requests;
  load_result_t result;
  gboolean ended;
} fixture_t;

static void
answer_lookup (struct evhttp_request *request, void *context)
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
answer_request (struct evhttp_request *request, void *context)
{
  fixture_t *f = context;
  struct evkeyvalq *in = evhttp_request_get_input_headers (request);
  struct evkeyvalq *out = evhttp_request_get_output_headers (request);
  const char *id = evhttp_find_header (in, "Anvil-Request-Id");

  f->requests++;
  evhttp_add_header (out, "Anvil-Request-Id", f->echo != NULL ? f->echo : id);
  evhttp_add_header (out, "Anvil-Outcome", "answered");
  evhttp_send_reply (request, HTTP_OK, "OK", NULL);
}

static void
raw_readable (struct bufferevent *connection, void *context)
{
  fixture_t *f = context;

  f->requests++;
  evbuffer_add (bufferevent_get_output (connection), f->raw_text, strlen (f->raw_text));
  bufferevent_disable (connection, EV_READ);
}

static void
raw_written (struct bufferevent *connection, void *context)
{
  if ((bufferevent_get_enabled (connection) & EV_READ) == 0)
    bufferevent_free (connection);
}

static void
raw_event (struct bufferevent *connection, short what, void *context)
{
  bufferevent_free (connection);
}

static void
raw_accepted (struct evconnlistener *listener,
              evutil_socket_t socket,
              struct sockaddr *address,
              int length,
              void *context)
{
  fixture_t *f = context;
  struct bufferevent *connection = bufferevent_socket_new (f->base, socket, BEV_OPT_CLOSE_ON_FREE);

  bufferevent_setcb (connection, raw_readable, raw_written, raw_event, f);
  bufferevent_enable (connection, EV_READ | EV_WRITE);
}

static guint16
port_of (evutil_socket_t socket)
{
  struct sockaddr_in address;
  socklen_t length = sizeof address;

  ck_assert_int_eq (getsockname (socket, (struct sockaddr *) &address, &length), 0);
  return ntohs (address.sin_port);
}

static void
open_fixture (fixture_t *f)
{
  struct sockaddr_in any = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct evhttp_bound_socket *bound;
  struct evconnlistener *closed;

  f->base = event_base_new ();
  f->entry = evhttp_new (f->base);
  bound = evhttp_bind_socket_with_handle (f->entry, "127.0.0.1", 0);
  f->entry_port = port_of (evhttp_bound_socket_get_fd (bound));
  evhttp_set_cb (f->entry, "/v1/entries", answer_lookup, f);
  evhttp_set_gencb (f->entry, answer_request, f);
  f->raw = evconnlistener_new_bind (f->base, raw_accepted, f, LEV_OPT_CLOSE_ON_FREE, -1,
                                    (struct sockaddr *) &any, sizeof any);
  f->raw_port = port_of (evconnlistener_get_fd (f->raw));
  closed = evconnlistener_new_bind (f->base, raw_accepted, f, LEV_OPT_CLOSE_ON_FREE, -1,
                                    (struct sockaddr *) &any, sizeof any);
  f->closed_port = port_of (evconnlistener_get_fd (closed));
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
call_done (void *context, const load_request_t *request, const load_result_t *result)
{
  fixture_t *f = context;

  f->result = *result;
  f->ended = TRUE;
  event_base_loopexit (f->base, NULL);
}

static load_session_t
make_call (fixture_t *f, guint n_bootstrap, guint32 seed)
{
  anvil_service_t service = { .name = anvil_str ("rezervacie"), .deadline = 5 * ANVIL_SECOND };
  anvil_config_t config = { .services = &service, .n_services = 1 };
  load_entry_t bootstrap[] = { { .address = INADDR_LOOPBACK, .port = f->closed_port },
                               { .address = INADDR_LOOPBACK, .port = f->entry_port } };
  load_session_t client = {
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

  load_call_start (&client, &caller, request, call_done, f);
  if (!f->ended)
    event_base_dispatch (f->base);
  ck_assert (f->ended);
  /* What is left to be freed on the loop. */
  event_base_loop (f->base, EVLOOP_NONBLOCK);
  load_cache_drop (caller.cache);
  g_rand_free (client.rand);
  return client;
}

START_TEST (test_call_skips_an_entry_that_is_away)
{
  fixture_t f = { .closed_weight = 100 };
  load_session_t client;

  open_fixture (&f);
  client = make_call (&f, 2, 1);
  ck_assert_int_eq (f.result.outcome, LOAD_ANSWERED);
  ck_assert_uint_eq (f.result.entry.port, f.entry_port);
  ck_assert_uint_ge (client.failovers, 1);
  ck_assert_uint_eq (f.requests, 1);
  close_fixture (&f);
}
END_TEST

START_TEST (test_call_asks_every_bootstrap_entry)
{
  /* The seeds begin with either entry. */
  for (guint32 seed = 1; seed <= 8; seed++)
    {
      fixture_t f = { 0 };
      load_session_t client;

      open_fixture (&f);
      client = make_call (&f, 2, seed);
      ck_assert_int_eq (f.result.outcome, LOAD_ANSWERED);
      ck_assert_uint_eq (client.failed_lookups, 0);
      close_fixture (&f);
    }
}
END_TEST

START_TEST (test_call_without_any_entry_is_not_sent)
{
  fixture_t f = { 0 };
  load_session_t client;

  open_fixture (&f);
  client = make_call (&f, 1, 1);
  ck_assert_int_eq (f.result.outcome, LOAD_NOT_SENT);
  ck_assert_uint_eq (client.failed_lookups, 1);
  close_fixture (&f);
}
END_TEST

START_TEST (test_call_is_never_sent_twice_once_a_byte_went_out)
{
  fixture_t f = { .raw_weight = 100, .raw_text = "" };

  open_fixture (&f);
  f.raw_text = "H";
  make_call (&f, 2, 1);
  ck_assert_int_eq (f.result.outcome, LOAD_UNKNOWN);
  ck_assert_uint_eq (f.requests, 1);
  close_fixture (&f);
}
END_TEST

START_TEST (test_call_sees_a_truncated_answer)
{
  fixture_t f = { .raw_weight = 100,
                  .raw_text = "HTTP/1.1 200 OK\r\nAnvil-Request-Id: id-1\r\nAnvil-Outcome: "
                              "answered\r\nContent-Length: 10\r\n\r\nhalf" };

  open_fixture (&f);
  make_call (&f, 2, 1);
  ck_assert_int_eq (f.result.outcome, LOAD_UNKNOWN);
  ck_assert_int_eq (f.result.fault, LOAD_FAULT_TRUNCATED);
  close_fixture (&f);
}
END_TEST

START_TEST (test_call_sees_the_answer_of_another_request)
{
  fixture_t f = { .echo = "id-2" };

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

  tcase_add_test (tcase, test_call_skips_an_entry_that_is_away);
  tcase_add_test (tcase, test_call_asks_every_bootstrap_entry);
  tcase_add_test (tcase, test_call_without_any_entry_is_not_sent);
  tcase_add_test (tcase, test_call_is_never_sent_twice_once_a_byte_went_out);
  tcase_add_test (tcase, test_call_sees_a_truncated_answer);
  tcase_add_test (tcase, test_call_sees_the_answer_of_another_request);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Client of the platform's store: rows of other writers don't keep it from reading the rest. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>

#include "anvil/store.h"

#define WAIT_TIMEOUT_S 20

static struct event_base *base;
static struct evhttp *http;
static anvil_store_t *store;
/* Body of the next response, with its length since it may contain any byte. */
static anvil_str_t response;
static GString *keys;
static gboolean failed;
/* Head field of the next response, its status, and what the client told the judge. */
static const char *era_field;
static int status = HTTP_OK;
static guint64 judged_era;
static anvil_store_position_t position;

static void
on_call (struct evhttp_request *request, void *data)
{
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add (body, response.data, response.length);
  if (era_field != NULL)
    evhttp_add_header (evhttp_request_get_output_headers (request), "store-era", era_field);
  evhttp_send_reply (request, status, "OK", body);
  evbuffer_free (body);
}

static void
set_up (void)
{
  struct evhttp_bound_socket *bound;
  struct sockaddr_in address;
  socklen_t length = sizeof address;

  base = event_base_new ();
  http = evhttp_new (base);
  bound = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
  ck_assert_ptr_nonnull (bound);
  ck_assert_int_eq (
      getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *) &address, &length), 0);
  evhttp_set_gencb (http, on_call, NULL);
  store = anvil_store_open (base, INADDR_LOOPBACK, ntohs (address.sin_port));
  keys = g_string_new (NULL);
}

static void
tear_down (void)
{
  anvil_store_close (store);
  evhttp_free (http);
  event_base_free (base);
  g_string_free (keys, TRUE);
}

static void
on_read (void *context, const anvil_store_page_t *page, const GError *error)
{
  failed = error != NULL;
  if (page != NULL)
    position = page->position;
  for (guint i = 0; page != NULL && i < page->n_rows; i++)
    {
      g_string_append_len (keys, page->rows[i].key.data, (gssize) page->rows[i].key.length);
      g_string_append_c (keys, ';');
    }
  event_base_loopbreak (base);
}

/* Reads a table whose rows are @rows, JSON. */
static void
read_rows (const char *rows)
{
  const struct timeval timeout = { .tv_sec = WAIT_TIMEOUT_S };
  char *text = g_strdup_printf ("{\"rows\":[%s],\"rowVersion\":7,\"hasMore\":false}", rows);

  response = anvil_str (text);
  failed = TRUE;
  g_string_truncate (keys, 0);
  anvil_store_read (store, "servers", NULL, NULL, on_read, NULL);
  event_base_loopexit (base, &timeout);
  event_base_dispatch (base);
  g_free (text);
}

#define GOOD_ROW "{\"key\":\"good\",\"value\":\"e30=\"}"

/* Guards against entries that stop following the upstreams because of one row's key. */
START_TEST (test_odd_rows_do_not_hide_the_others)
{
  static const char *const rows[] = {
    "{\"key\":\"a\\u0000b\",\"value\":\"e30=\"}",
    "{\"key\":\"\\u0000\",\"value\":\"e30=\"}",
    "{\"key\":7,\"value\":\"e30=\"}",
    "{\"key\":null}",
    "{}",
    "[]",
    "null",
    "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char *both = g_strconcat (rows[i], "," GOOD_ROW, NULL);

      read_rows (both);
      ck_assert_msg (!failed, "%s", rows[i]);
      ck_assert_str_eq (keys->str, "good;");
      g_free (both);
    }
}
END_TEST

START_TEST (test_lone_surrogates_in_keys_are_replaced)
{
  static const struct
  {
    const char *key;
    const char *expected;
  } cases[] = {
    { "a\\ud800", "a\xef\xbf\xbd" },
    { "\\uDFFFa", "\xef\xbf\xbd"
                  "a" },
    { "\\ud800\\ud800", "\xef\xbf\xbd\xef\xbf\xbd" },
    { "\\ud800\\\\\\ud800", "\xef\xbf\xbd\\\xef\xbf\xbd" },
    { "\\\\ud800\\udc00", "\\ud800\xef\xbf\xbd" },
    { "\\ud83d\\ude00\\ud83d", "\xf0\x9f\x98\x80\xef\xbf\xbd" },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *rows = g_strdup_printf ("{\"key\":\"%s\",\"value\":\"e30=\"}," GOOD_ROW, cases[i].key);
      char *expected = g_strconcat (cases[i].expected, ";good;", NULL);

      read_rows (rows);
      ck_assert_msg (!failed, "%s", cases[i].key);
      ck_assert_str_eq (keys->str, expected);
      g_free (expected);
      g_free (rows);
    }
}
END_TEST

START_TEST (test_values_of_other_types_are_empty)
{
  read_rows (
      "{\"key\":\"a\",\"value\":{}},{\"key\":\"b\"},{\"key\":\"c\",\"value\":\"%%%\"}," GOOD_ROW);
  ck_assert (!failed);
  ck_assert_str_eq (keys->str, "a;b;c;good;");
}
END_TEST

START_TEST (test_a_response_that_is_not_json_fails)
{
  static const char *const rows[] = { "{\"key\":\"a}", "\\ud800", "{\"key\":\"\\u12" };

  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      read_rows (rows[i]);
      ck_assert_msg (failed, "%s", rows[i]);
    }
}
END_TEST

static gboolean
on_era (void *unused_context, guint64 era)
{
  judged_era = era;
  return era >= 4;
}

/* Guards against responses of an earlier era that are taken for the store's present state. */
START_TEST (test_the_era_of_every_response_is_judged)
{
  static const struct
  {
    const char *field;
    int status;
    guint64 era;
    gboolean accepted;
  } cases[] = {
    { "4", HTTP_OK, 4, TRUE },
    { "18446744073709551615", HTTP_OK, G_MAXUINT64, TRUE },
    { "3", HTTP_OK, 3, FALSE },
    { NULL, HTTP_OK, 0, FALSE },
    { "", HTTP_OK, 0, FALSE },
    { "four", HTTP_OK, 0, FALSE },
    { "-4", HTTP_OK, 0, FALSE },
    { "4.0", HTTP_OK, 0, FALSE },
    { "18446744073709551616", HTTP_OK, 0, FALSE },
    { "5", HTTP_SERVUNAVAIL, 5, FALSE },
    { "6", 410, 6, FALSE },
  };

  anvil_store_set_judge (store, on_era, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      era_field = cases[i].field;
      status = cases[i].status;
      judged_era = 1;
      read_rows (GOOD_ROW);
      ck_assert_uint_eq (judged_era, cases[i].era);
      ck_assert_int_eq (failed, !cases[i].accepted);
      if (cases[i].accepted)
        ck_assert_uint_eq (position.era, cases[i].era);
    }
  ck_assert_uint_eq (position.version, 7);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store-client");
  TCase *tests = tcase_create ("store-client");
  SRunner *runner;
  int n_failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_odd_rows_do_not_hide_the_others);
  tcase_add_test (tests, test_lone_surrogates_in_keys_are_replaced);
  tcase_add_test (tests, test_values_of_other_types_are_empty);
  tcase_add_test (tests, test_a_response_that_is_not_json_fails);
  tcase_add_test (tests, test_the_era_of_every_response_is_judged);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  n_failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return n_failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Forwarded requests and responses: what is packed is unpacked unchanged, malformed bytes are
 * rejected. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "relay/forward-codec.h"

static anvil_str_t
bytes_of (const GByteArray *array)
{
  return (anvil_str_t){ .data = (const char *) array->data, .length = array->len };
}

START_TEST (test_a_request_is_unpacked_as_it_was_packed)
{
  const anvil_forwarded_request_t request = { .method = { "GET", 3 },
                                              .target = { "/view/1?a=\0b", 12 },
                                              .id = { "one", 3 },
                                              .headers = { "Host: a\r\n", 9 },
                                              .body = { "\0\xff", 2 } };
  GByteArray *array = g_byte_array_new ();
  anvil_forwarded_request_t read;

  anvil_forwarded_request_pack (&request, array);
  ck_assert (anvil_forwarded_request_unpack (bytes_of (array), &read));
  ck_assert (anvil_str_equal (read.method, request.method));
  ck_assert (anvil_str_equal (read.target, request.target));
  ck_assert (anvil_str_equal (read.id, request.id));
  ck_assert (anvil_str_equal (read.headers, request.headers));
  ck_assert (anvil_str_equal (read.body, request.body));
  for (gsize length = 0; length < array->len; length++)
    ck_assert (!anvil_forwarded_request_unpack (
        (anvil_str_t){ .data = (const char *) array->data, .length = length }, &read));
  g_byte_array_unref (array);
}
END_TEST

START_TEST (test_a_response_is_unpacked_as_it_was_packed)
{
  const anvil_forwarded_response_t response = { .result = ANVIL_RUN_SHED,
                                                .status = 503,
                                                .upstream = G_MAXUINT64,
                                                .upstream_id = { "u", 1 },
                                                .started_at = 1700000000000,
                                                .duration = 5000,
                                                .announcement = { .leaving = TRUE, .pause = 7 },
                                                .reason = { "full", 4 },
                                                .headers = { "A: b\r\n", 6 },
                                                .body = { "whole", 5 } };
  GByteArray *array = g_byte_array_new ();
  anvil_forwarded_response_t read;

  anvil_forwarded_response_pack (&response, array);
  ck_assert (anvil_forwarded_response_unpack (bytes_of (array), &read));
  ck_assert_int_eq (read.result, response.result);
  ck_assert_uint_eq (read.status, response.status);
  ck_assert_uint_eq (read.upstream, response.upstream);
  ck_assert_int_eq (read.started_at, response.started_at);
  ck_assert_int_eq (read.duration, response.duration);
  ck_assert (read.announcement.leaving);
  ck_assert_int_eq (read.announcement.pause, 7);
  ck_assert (anvil_str_equal (read.upstream_id, response.upstream_id));
  ck_assert (anvil_str_equal (read.reason, response.reason));
  ck_assert (anvil_str_equal (read.headers, response.headers));
  ck_assert (anvil_str_equal (read.body, response.body));
  for (gsize length = 0; length < array->len; length++)
    ck_assert (!anvil_forwarded_response_unpack (
        (anvil_str_t){ .data = (const char *) array->data, .length = length }, &read));
  g_byte_array_unref (array);
}
END_TEST

START_TEST (test_values_out_of_range_are_rejected)
{
  const anvil_forwarded_response_t responses[] = {
    { .status = 1000 }, { .duration = -1 }, { .announcement = { .pause = ANVIL_MAX_PAUSE + 1 } }
  };

  for (gsize i = 0; i < G_N_ELEMENTS (responses); i++)
    {
      GByteArray *array = g_byte_array_new ();
      anvil_forwarded_response_t read;

      anvil_forwarded_response_pack (&responses[i], array);
      ck_assert_msg (!anvil_forwarded_response_unpack (bytes_of (array), &read), "response %zu", i);
      g_byte_array_unref (array);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("forward-codec");
  TCase *tests = tcase_create ("forward-codec");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_a_request_is_unpacked_as_it_was_packed);
  tcase_add_test (tests, test_a_response_is_unpacked_as_it_was_packed);
  tcase_add_test (tests, test_values_out_of_range_are_rejected);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

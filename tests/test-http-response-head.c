/* Heads of responses: what the protocol doesn't allow is found, wherever the network splits it. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "net/http-response-head.h"

static const char *const valid[] = {
  "HTTP/1.1 200 OK\r\n\r\n",
  "HTTP/1.1 599 \r\nA: b\r\n\r\n",
  "HTTP/1.0 404 Not Found\r\nContent-Length: 12\r\n\r\n",
  "HTTP/1.1 200\r\nX-Empty:\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nX: \"\xe9\"\t(a)\r\n\r\n",
  "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
  "HTTP/1.1 200 OK\r\nA-Longer-Name-Than-Any-Other: 1\r\n\r\n",
  "HTTP/1.1 200 OK\r\ncontent-length: 999999999999999999\r\n\r\n",
};

static const char *const invalid[] = {
  "HTTP/1.1 000 \r\n\r\n",
  "HTTP/1.1 099 \r\n\r\n",
  "HTTP/1.1 101 Switching Protocols\r\n\r\n",
  "HTTP/1.1 600 \r\n\r\n",
  "HTTP/1.1 999 \r\n\r\n",
  "HTTP/1.1 20\r\n\r\n",
  "HTTP/1.1 2000 OK\r\n\r\n",
  "HTTP/1.1 20x OK\r\n\r\n",
  "HTTP/1.1 -20 OK\r\n\r\n",
  "HTTP/1.1  200 OK\r\n\r\n",
  "HTTP/2.0 200 OK\r\n\r\n",
  "HTTP/1.2 200 OK\r\n\r\n",
  "http/1.1 200 OK\r\n\r\n",
  "ICY 200 OK\r\n\r\n",
  "\r\nHTTP/1.1 200 OK\r\n\r\n",
  "HTTP/1.1 200 OK\n\n",
  "HTTP/1.1 200 OK\r\nA: b\n\r\n",
  "HTTP/1.1 200 OK\r\nA: b\rC: d\r\n\r\n",
  "HTTP/1.1 200 O\x01K\r\n\r\n",
  "HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
  "HTTP/1.1 200 OK\r\n: b\r\n\r\n",
  "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
  "HTTP/1.1 200 OK\r\nA: b\r\n folded\r\n\r\n",
  "HTTP/1.1 200 OK\r\nA: \x7f\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551617\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
  "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
  "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n",
};

/* Feeds a head in two parts; the second one has more bytes behind it, which belong to the body. */
static anvil_http_head_result_t
feed (const char *text, gsize split, anvil_http_head_t *head)
{
  char *rest = g_strconcat (text + split, "body", NULL);
  gsize consumed;
  anvil_http_head_result_t result = anvil_http_head_feed (head, text, split, &consumed);

  if (result == ANVIL_HTTP_HEAD_PARTIAL)
    {
      ck_assert_uint_eq (consumed, split);
      result = anvil_http_head_feed (head, rest, strlen (rest), &consumed);
      if (result == ANVIL_HTTP_HEAD_COMPLETE)
        ck_assert_uint_eq (consumed, strlen (text) - split);
    }
  g_free (rest);
  return result;
}

START_TEST (test_heads_that_the_protocol_allows_are_complete)
{
  for (gsize i = 0; i < G_N_ELEMENTS (valid); i++)
    {
      for (gsize split = 0; split < strlen (valid[i]); split++)
        {
          anvil_http_head_t head = { 0 };

          ck_assert_msg (feed (valid[i], split, &head) == ANVIL_HTTP_HEAD_COMPLETE,
                         "%s, split at %zu: %s", valid[i], split, head.problem);
        }
    }
}
END_TEST

START_TEST (test_heads_that_the_protocol_does_not_allow_are_noticed)
{
  for (gsize i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      for (gsize split = 0; split < strlen (invalid[i]); split++)
        {
          anvil_http_head_t head = { 0 };

          ck_assert_msg (feed (invalid[i], split, &head) == ANVIL_HTTP_HEAD_INVALID,
                         "%s, split at %zu", invalid[i], split);
          ck_assert_ptr_nonnull (head.problem);
        }
    }
}
END_TEST

/* Guards against an upstream that sends interim responses, or the fields of one, without end. */
START_TEST (test_interim_responses_are_limited)
{
  static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
  static const char endless[] = "HTTP/1.1 100 Continue\r\n";
  static const char field[] = "X-Filler: 0123456789\r\n";
  anvil_http_head_t head = { 0 };
  gsize consumed;
  gsize bytes = 0;

  for (guint i = 0; i < ANVIL_HTTP_MAX_INTERIM_RESPONSES; i++)
    ck_assert_int_eq (anvil_http_head_feed (&head, interim, strlen (interim), &consumed),
                      ANVIL_HTTP_HEAD_COMPLETE);
  ck_assert_int_eq (anvil_http_head_feed (&head, interim, strlen (interim), &consumed),
                    ANVIL_HTTP_HEAD_INVALID);
  head = (anvil_http_head_t){ 0 };
  ck_assert_int_eq (anvil_http_head_feed (&head, endless, strlen (endless), &consumed),
                    ANVIL_HTTP_HEAD_PARTIAL);
  while (anvil_http_head_feed (&head, field, strlen (field), &consumed) == ANVIL_HTTP_HEAD_PARTIAL)
    bytes += consumed;
  ck_assert_uint_le (bytes, ANVIL_HTTP_MAX_INTERIM_BYTES);
}
END_TEST

/* The bytes that follow the status line as the protocol has it, RFC 9112, sections 4 and 5. Written
 * with a regular expression, so that it shares no code with what it judges. */
static gboolean
is_allowed (const char *text)
{
  static const char pattern[] = "^HTTP/1\\.[01] (10[02-9]|1[1-9][0-9]|[2-5][0-9][0-9])"
                                "( [\\t\\x20-\\x7e\\x80-\\xff]*)?\\r\\n"
                                "([!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t\\x20-\\x7e\\x80-\\xff]*\\r\\n)*"
                                "\\r\\n";

  return g_regex_match_simple (pattern, text, G_REGEX_RAW, 0);
}

/* Guards against a disagreement with the protocol's text in what nobody thought of. */
START_TEST (test_random_changes_are_judged_as_by_the_protocols_grammar)
{
  static const char base[] = "HTTP/1.1 200 OK\r\nA: b\r\nSome-Name: value\r\n\r\n";
  static const char alphabet[] = "HTP/1.025 \r\n\t:ab\x01\x7f\x80";
  GRand *random = g_rand_new_with_seed (7);

  for (guint i = 0; i < 200000; i++)
    {
      char text[sizeof base];
      anvil_http_head_t head = { 0 };
      anvil_http_head_result_t result;
      gsize consumed;

      memcpy (text, base, sizeof base);
      for (gint n = g_rand_int_range (random, 1, 4); n > 0; n--)
        text[g_rand_int_range (random, 0, (gint32) sizeof base - 1)]
            = alphabet[g_rand_int_range (random, 0, (gint32) sizeof alphabet - 1)];
      result = anvil_http_head_feed (&head, text, strlen (text), &consumed);
      ck_assert_msg ((result == ANVIL_HTTP_HEAD_COMPLETE) == is_allowed (text), "%u: %s", i, text);
    }
  g_rand_free (random);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("http-response-head");
  TCase *tests = tcase_create ("http-response-head");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_heads_that_the_protocol_allows_are_complete);
  tcase_add_test (tests, test_heads_that_the_protocol_does_not_allow_are_noticed);
  tcase_add_test (tests, test_interim_responses_are_limited);
  tcase_add_test (tests, test_random_changes_are_judged_as_by_the_protocols_grammar);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

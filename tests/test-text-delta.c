/* Differences between versions of a text: small for small changes, and never applied wrongly. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "relay/text-delta.h"

#define N_ROUTES 1400
#define MAX_BYTES (8u << 20)
/* A peer that missed eight changes of one route can be sent them: the log of a configuration keeps
 * 32 KB. */
#define MAX_SMALL_DELTA_BYTES 4096
#define N_RANDOM_CHANGES 300
#define N_DAMAGED 500

static GString *
make_text (guint version, guint n_routes, guint changed)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "{\"version\":%u,\"resources\":[", version);
  for (guint i = 0; i < n_routes; i++)
    g_string_append_printf (text,
                            "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"r-%u\"},"
                            "\"spec\":{\"host\":\"h%u.example\",\"prefix\":\"/p%u/\",\"kind\":"
                            "\"safe\",\"timeoutMs\":%u,\"targetLatencyMs\":600,\"priority\":1,"
                            "\"service\":\"%s\",\"maxAttempts\":2,\"sticky\":true,"
                            "\"allowedRegions\":[]}},",
                            i, i % 7, i * 31, 1000 + i % 5, i == changed ? "moved" : "photos");
  g_string_append (text, "{}]}");
  return text;
}

static anvil_str_t
string (const GString *text)
{
  return (anvil_str_t){ .data = text->str, .length = text->len };
}

static anvil_str_t
bytes (const GByteArray *array)
{
  return (anvil_str_t){ .data = (const char *) array->data, .length = array->len };
}

static void
check_round_trip (const GString *from, const GString *to, gsize max_delta_bytes)
{
  GByteArray *delta = g_byte_array_new ();
  GByteArray *result = g_byte_array_new ();

  anvil_text_delta_make (string (from), string (to), delta);
  ck_assert (anvil_text_delta_apply (string (from), bytes (delta), MAX_BYTES, result));
  ck_assert (anvil_str_equal (bytes (result), string (to)));
  ck_assert_uint_le (delta->len, max_delta_bytes);
  g_byte_array_unref (delta);
  g_byte_array_unref (result);
}

START_TEST (test_a_small_change_of_a_large_text_is_small)
{
  const guint changed[] = { 0, 1, N_ROUTES / 2, N_ROUTES - 1 };

  for (guint i = 0; i < G_N_ELEMENTS (changed); i++)
    {
      GString *from = make_text (98 + i, N_ROUTES, G_MAXUINT);
      GString *to = make_text (100, N_ROUTES, changed[i]);

      check_round_trip (from, to, MAX_SMALL_DELTA_BYTES);
      check_round_trip (to, from, MAX_SMALL_DELTA_BYTES);
      g_string_free (from, TRUE);
      g_string_free (to, TRUE);
    }
}
END_TEST

START_TEST (test_texts_that_grow_shrink_and_are_empty)
{
  GString *empty = g_string_new (NULL);
  GString *small = make_text (1, 3, G_MAXUINT);
  GString *large = make_text (2, N_ROUTES, G_MAXUINT);

  check_round_trip (empty, empty, MAX_SMALL_DELTA_BYTES);
  check_round_trip (empty, large, MAX_BYTES);
  check_round_trip (large, empty, MAX_SMALL_DELTA_BYTES);
  check_round_trip (small, large, MAX_BYTES);
  check_round_trip (large, small, MAX_SMALL_DELTA_BYTES);
  g_string_free (empty, TRUE);
  g_string_free (small, TRUE);
  g_string_free (large, TRUE);
}
END_TEST

START_TEST (test_random_changes)
{
  GRand *random = g_rand_new_with_seed (53);
  GString *from = make_text (1, 200, G_MAXUINT);

  for (guint i = 0; i < N_RANDOM_CHANGES; i++)
    {
      GString *to = g_string_new_len (from->str, (gssize) from->len);
      gint at = g_rand_int_range (random, 0, (gint32) to->len);
      gint length = MIN (g_rand_int_range (random, 0, 400), (gint) to->len - at);

      if (g_rand_boolean (random))
        g_string_erase (to, at, length);
      if (g_rand_boolean (random))
        g_string_insert_len (to, at, from->str, g_rand_int_range (random, 0, 700));
      check_round_trip (from, to, MAX_BYTES);
      g_string_free (from, TRUE);
      from = to;
    }
  g_string_free (from, TRUE);
  g_rand_free (random);
}
END_TEST

START_TEST (test_a_difference_from_another_text_is_rejected)
{
  GString *from = make_text (1, 20, G_MAXUINT);
  GString *to = make_text (2, 20, 3);
  GString *other = make_text (1, 20, 4);
  GByteArray *delta = g_byte_array_new ();
  GByteArray *result = g_byte_array_new ();

  anvil_text_delta_make (string (from), string (to), delta);
  ck_assert (!anvil_text_delta_apply (string (other), bytes (delta), MAX_BYTES, result));
  g_byte_array_set_size (result, 0);
  ck_assert (!anvil_text_delta_apply (string (from), bytes (delta), to->len - 1, result));
  g_string_free (from, TRUE);
  g_string_free (to, TRUE);
  g_string_free (other, TRUE);
  g_byte_array_unref (delta);
  g_byte_array_unref (result);
}
END_TEST

START_TEST (test_a_damaged_difference_is_rejected)
{
  GRand *random = g_rand_new_with_seed (53);
  GString *from = make_text (1, 20, G_MAXUINT);
  GString *to = make_text (2, 22, 3);

  for (guint i = 0; i < N_DAMAGED; i++)
    {
      GByteArray *delta = g_byte_array_new ();
      GByteArray *result = g_byte_array_new ();

      anvil_text_delta_make (string (from), string (to), delta);
      if (i % 2 == 0)
        g_byte_array_set_size (delta, (guint) g_rand_int_range (random, 0, (gint32) delta->len));
      else
        delta->data[g_rand_int_range (random, 0, (gint32) delta->len)]
            ^= (guint8) g_rand_int_range (random, 1, 256);
      /* The part that was changed may be one of which no byte is used. */
      if (anvil_text_delta_apply (string (from), bytes (delta), MAX_BYTES, result))
        ck_assert (anvil_str_equal (bytes (result), string (to)));
      g_byte_array_unref (delta);
      g_byte_array_unref (result);
    }
  g_string_free (from, TRUE);
  g_string_free (to, TRUE);
  g_rand_free (random);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("text-delta");
  TCase *tests = tcase_create ("text-delta");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_a_small_change_of_a_large_text_is_small);
  tcase_add_test (tests, test_texts_that_grow_shrink_and_are_empty);
  tcase_add_test (tests, test_random_changes);
  tcase_add_test (tests, test_a_difference_from_another_text_is_rejected);
  tcase_add_test (tests, test_a_damaged_difference_is_rejected);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

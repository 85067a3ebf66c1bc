/* Verdict, sums and tables of anvil-status. */

#include <check.h>
#include <stdlib.h>

#include "tools/anvil-status-sum.h"
#include "tools/anvil-status-view.h"

static const char *const first
    = "{\"node\":\"127.0.10.1:7000\",\"zone\":\"zapad-a\",\"generation\":3,\"ready\":true,"
      "\"leaving\":false,\"busy\":2,\"members\":[],"
      "\"seats\":[{\"seat\":0,\"holder\":\"127.0.10.1:7000\",\"epoch\":2,\"usable\":true,"
      "\"adopted\":false}],"
      "\"upstreams\":[{\"name\":\"galeria-1\",\"service\":\"galeria\",\"half\":\"sever\","
      "\"owned\":2,\"borrowed\":0,\"lent\":0,\"in_flight\":1,\"accepting\":true}],"
      "\"links\":[{\"from\":\"zapad\",\"to\":\"stred\",\"share_bits_per_s\":40,"
      "\"available_bits\":10,\"used_bits\":5}]}";
static const char *const second
    = "{\"node\":\"127.0.10.2:7000\",\"zone\":\"stred-a\",\"generation\":3,\"ready\":true,"
      "\"leaving\":false,\"busy\":0,\"members\":[],"
      "\"seats\":[{\"seat\":0,\"holder\":\"127.0.10.9:7000\",\"epoch\":1,\"usable\":false,"
      "\"adopted\":false}],"
      "\"upstreams\":[{\"name\":\"galeria-1\",\"service\":\"galeria\",\"half\":\"sever\","
      "\"owned\":1,\"borrowed\":0,\"lent\":0,\"in_flight\":1,\"accepting\":false}],"
      "\"links\":[{\"from\":\"zapad\",\"to\":\"stred\",\"share_bits_per_s\":60,"
      "\"available_bits\":40,\"used_bits\":5}]}";

static GArray *
two_entries (void)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (status_entry_t));
  const char *const texts[] = { first, second };

  g_array_set_clear_func (entries, status_entry_clear);
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      status_entry_t entry = { .address = g_strdup ("127.0.10.1:9000") };

      ck_assert (status_entry_parse (&entry, anvil_str (texts[i])));
      g_array_append_val (entries, entry);
    }
  return entries;
}

static json_t *
status_of (GArray *entries, guint index)
{
  return g_array_index (entries, status_entry_t, index).status;
}

START_TEST (test_status_sums_over_entries)
{
  GArray *entries = two_entries ();
  status_sum_t *sum = status_sum_new (entries);
  const status_seat_t *seat = &g_array_index (sum->seats, status_seat_t, 0);
  const status_upstream_t *upstream = &g_array_index (sum->upstreams, status_upstream_t, 0);
  const status_link_t *link = &g_array_index (sum->links, status_link_t, 0);

  ck_assert_uint_eq (sum->seats->len, 1);
  ck_assert_str_eq (seat->holder, "127.0.10.1:7000");
  ck_assert_uint_eq (seat->users, 1);
  ck_assert_int_eq (upstream->owned, 3);
  ck_assert_int_eq (upstream->in_flight, 2);
  ck_assert_uint_eq (upstream->not_accepting, 1);
  ck_assert_str_eq (link->name, "zapad->stred");
  ck_assert_int_eq (link->share_bits_per_s, 100);
  ck_assert_int_eq (link->available_bits, 50);
  status_sum_drop (sum);
  g_array_unref (entries);
}
END_TEST

START_TEST (test_status_verdict)
{
  GArray *entries = two_entries ();
  json_t *seat = json_array_get (json_object_get (status_of (entries, 1), "seats"), 0);

  ck_assert_int_eq (status_view_verdict (entries), STATUS_READY);
  json_object_set_new (status_of (entries, 1), "generation", json_integer (4));
  ck_assert_int_eq (status_view_verdict (entries), STATUS_DEGRADED);
  json_object_set_new (status_of (entries, 1), "generation", json_integer (3));
  json_object_set_new (status_of (entries, 1), "ready", json_false ());
  ck_assert_int_eq (status_view_verdict (entries), STATUS_DEGRADED);
  json_object_set_new (status_of (entries, 1), "ready", json_true ());
  json_object_set_new (status_of (entries, 1), "leaving", json_true ());
  ck_assert_int_eq (status_view_verdict (entries), STATUS_DEGRADED);
  json_object_set_new (status_of (entries, 1), "leaving", json_false ());
  json_object_set_new (seat, "usable", json_true ());
  ck_assert_int_eq (status_view_verdict (entries), STATUS_DEGRADED);
  json_object_set_new (seat, "usable", json_false ());
  ck_assert_int_eq (status_view_verdict (entries), STATUS_READY);
  for (guint i = entries->len; i-- > 0;)
    {
      json_decref (status_of (entries, i));
      g_array_index (entries, status_entry_t, i).status = NULL;
      ck_assert_int_eq (status_view_verdict (entries),
                        i > 0 ? STATUS_DEGRADED : STATUS_NO_RESPONSE);
    }
  g_array_unref (entries);
}
END_TEST

START_TEST (test_status_refuses_invalid_responses)
{
  static const char *const bad[] = { "", "{}", "[]", "{\"node\":1}", "null" };

  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      status_entry_t entry = { 0 };

      ck_assert_msg (!status_entry_parse (&entry, anvil_str (bad[i])), "accepted %s", bad[i]);
      ck_assert_ptr_null (entry.status);
    }
}
END_TEST

START_TEST (test_status_text_reports_faults_and_link_use)
{
  GArray *entries = two_entries ();
  json_t *seat = json_array_get (json_object_get (status_of (entries, 1), "seats"), 0);
  json_t *link = json_array_get (json_object_get (status_of (entries, 1), "links"), 0);
  GArray *before = two_entries ();
  GString *text = g_string_new (NULL);

  json_object_set_new (link, "share_bits_per_s", json_integer (40000000));
  json_object_set_new (link, "used_bits", json_integer (25000005));
  link = json_array_get (json_object_get (status_of (before, 1), "links"), 0);
  json_object_set_new (link, "used_bits", json_integer (20000005));
  json_object_set_new (seat, "usable", json_true ());
  status_view_text (entries, before, ANVIL_SECOND / 2, text);
  ck_assert_ptr_nonnull (g_strstr_len (text->str, -1, "USED TWICE"));
  ck_assert_ptr_nonnull (g_strstr_len (text->str, -1, "taken by some"));
  /* 5 Mbit in half a second, of 40 Mbit/s. */
  ck_assert_ptr_nonnull (g_strstr_len (text->str, -1, "zapad->stred"));
  ck_assert_ptr_nonnull (g_strstr_len (text->str, -1, "  40.0           10.0       75 %"));
  g_array_unref (before);
  g_string_free (text, TRUE);
  g_array_unref (entries);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("status");
  TCase *tcase = tcase_create ("status");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_status_sums_over_entries);
  tcase_add_test (tcase, test_status_verdict);
  tcase_add_test (tcase, test_status_refuses_invalid_responses);
  tcase_add_test (tcase, test_status_text_reports_faults_and_link_use);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

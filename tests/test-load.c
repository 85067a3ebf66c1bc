/* Tests of anvil-load: arrivals, look-ups, histogram, request mix, outcomes and verdict. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "anvil/error.h"
#include "tools/anvil-load-arrivals.h"
#include "tools/anvil-load-cache.h"
#include "tools/anvil-load-histogram.h"
#include "tools/anvil-load-keys.h"
#include "tools/anvil-load-mix.h"
#include "tools/anvil-load-report.h"
#include "tools/anvil-load-tally.h"
#include "tools/anvil-load-upstreams.h"

START_TEST (test_histogram_bounds_the_error_of_a_percentile)
{
  load_histogram_t *histogram = load_histogram_new ();
  anvil_time_t p50;

  ck_assert_int_eq (load_histogram_percentile (histogram, 99), 0);
  for (anvil_time_t i = 1; i <= 100000; i++)
    load_histogram_add (histogram, i);
  p50 = load_histogram_percentile (histogram, 50);
  ck_assert_int_ge (p50, 50000);
  ck_assert_int_le (p50, 50500);
  ck_assert_int_eq (load_histogram_percentile (histogram, 100), 100000);
  ck_assert_int_eq (load_histogram_worst (histogram), 100000);
  load_histogram_drop (histogram);
}
END_TEST

START_TEST (test_histogram_keeps_small_huge_and_negative_durations)
{
  static const anvil_time_t values[]
      = { -5, 0, 1, 127, 128, 255, 256, G_GINT64_CONSTANT (1) << 50 };
  load_histogram_t *histogram = load_histogram_new ();

  for (gsize i = 0; i < G_N_ELEMENTS (values); i++)
    {
      load_histogram_t *single = load_histogram_new ();

      load_histogram_add (single, values[i]);
      ck_assert_int_eq (load_histogram_percentile (single, 50), MAX (values[i], 0));
      load_histogram_drop (single);
      load_histogram_add (histogram, values[i]);
    }
  ck_assert_uint_eq (load_histogram_count (histogram), G_N_ELEMENTS (values));
  ck_assert_int_eq (load_histogram_worst (histogram), G_GINT64_CONSTANT (1) << 50);
  load_histogram_drop (histogram);
}
END_TEST

static guint
count_arrivals (const load_arrivals_options_t *options, guint32 seed, guint *in_burst)
{
  load_arrivals_t *arrivals = load_arrivals_new (options, 0, seed);
  anvil_time_t last = 0;
  guint count = 0;

  *in_burst = 0;
  while (load_arrivals_peek (arrivals) != LOAD_ARRIVALS_END)
    {
      anvil_time_t at = load_arrivals_pop (arrivals);

      ck_assert_int_ge (at, last);
      ck_assert_int_lt (at, options->end);
      *in_burst += at >= options->burst_start && at < options->burst_end ? 1 : 0;
      last = at;
      count++;
    }
  load_arrivals_drop (arrivals);
  return count;
}

START_TEST (test_arrivals_match_rate_and_burst)
{
  const load_arrivals_options_t options = {
    .rate_per_s = 100,
    .burst_factor = 5,
    .burst_start = 40 * ANVIL_SECOND,
    .burst_end = 60 * ANVIL_SECOND,
    .end = 100 * ANVIL_SECOND,
  };
  guint in_burst;
  guint count = count_arrivals (&options, 7, &in_burst);

  /* 80 s at 100/s and 20 s at 500/s, within four standard deviations. */
  ck_assert_uint_ge (in_burst, 9600);
  ck_assert_uint_le (in_burst, 10400);
  ck_assert_uint_ge (count - in_burst, 7640);
  ck_assert_uint_le (count - in_burst, 8360);
}
END_TEST

START_TEST (test_arrivals_are_determined_by_the_seed)
{
  const load_arrivals_options_t options
      = { .rate_per_s = 50, .burst_factor = 1, .end = 10 * ANVIL_SECOND };
  load_arrivals_t *a = load_arrivals_new (&options, 0, 3);
  load_arrivals_t *b = load_arrivals_new (&options, 0, 3);
  load_arrivals_t *c = load_arrivals_new (&options, 0, 4);

  ck_assert_int_ne (load_arrivals_peek (a), load_arrivals_peek (c));
  while (load_arrivals_peek (a) != LOAD_ARRIVALS_END)
    ck_assert_int_eq (load_arrivals_pop (a), load_arrivals_pop (b));
  ck_assert_int_eq (load_arrivals_peek (b), LOAD_ARRIVALS_END);
  load_arrivals_drop (a);
  load_arrivals_drop (b);
  load_arrivals_drop (c);
}
END_TEST

static const char *const lookup_text
    = "{\"generation\":3,\"ttl_seconds\":5,\"entries\":["
      "{\"address\":\"127.0.10.1\",\"port\":8000,\"zone\":\"a\",\"weight\":90},"
      "{\"address\":\"127.0.10.2\",\"port\":8000,\"zone\":\"b\",\"weight\":10},"
      "{\"address\":\"127.0.10.3\",\"port\":8000,\"zone\":\"b\",\"weight\":0}]}";

START_TEST (test_lookup_parse)
{
  static const char *const bad[] = {
    "",
    "{}",
    "[]",
    "{\"generation\":1,\"ttl_seconds\":-1,\"entries\":[]}",
    "{\"generation\":1,\"ttl_seconds\":1,\"entries\":[{\"address\":\"x\",\"port\":1,\"weight\":1}]"
    "}",
    "{\"generation\":1,\"ttl_seconds\":1,\"entries\":[{\"address\":\"1.2.3.4\",\"port\":0,"
    "\"weight\":1}]"
    "}",
    "{\"generation\":1,\"ttl_seconds\":1,\"entries\":[{\"address\":\"1.2.3.4\",\"port\":1,"
    "\"weight\":-1}"
    "]}",
  };
  load_lookup_t lookup;

  ck_assert (load_lookup_parse (&lookup, anvil_str (lookup_text), 1000, NULL));
  ck_assert_uint_eq (lookup.generation, 3);
  ck_assert_int_eq (lookup.expires_at, 1000 + 5 * ANVIL_SECOND);
  ck_assert_uint_eq (lookup.n_entries, 3);
  ck_assert_uint_eq (lookup.entries[1].address, 0x7f000a02);
  ck_assert_uint_eq (lookup.entries[1].port, 8000);
  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      GError *error = NULL;

      ck_assert_msg (!load_lookup_parse (&lookup, anvil_str (bad[i]), 0, &error), "accepted %s",
                     bad[i]);
      ck_assert (g_error_matches (error, ANVIL_ERROR, ANVIL_ERROR_INVALID));
      g_error_free (error);
    }
}
END_TEST

START_TEST (test_lookup_choose_by_weight_then_weight_0)
{
  GRand *rand = g_rand_new_with_seed (1);
  guint counts[3] = { 0 };
  load_lookup_t lookup;

  ck_assert (load_lookup_parse (&lookup, anvil_str (lookup_text), 0, NULL));
  for (guint i = 0; i < 10000; i++)
    counts[load_lookup_choose (&lookup, 0, rand)]++;
  ck_assert_uint_ge (counts[0], 8880);
  ck_assert_uint_le (counts[0], 9120);
  ck_assert_uint_eq (counts[2], 0);
  ck_assert_uint_eq (load_lookup_choose (&lookup, 1, rand), 1);
  ck_assert_uint_eq (load_lookup_choose (&lookup, 3, rand), 2);
  ck_assert_uint_eq (load_lookup_choose (&lookup, 7, rand), LOAD_MAX_ENTRIES);
  g_rand_free (rand);
}
END_TEST

START_TEST (test_cache_expires_with_time_to_live)
{
  load_cache_t *cache = load_cache_new (2);
  load_lookup_t lookup;

  ck_assert (load_lookup_parse (&lookup, anvil_str (lookup_text), 1000, NULL));
  ck_assert_ptr_null (load_cache_get (cache, 0, 1000));
  load_cache_put (cache, 0, &lookup);
  ck_assert_ptr_nonnull (load_cache_get (cache, 0, 1000 + 5 * ANVIL_SECOND - 1));
  ck_assert_ptr_null (load_cache_get (cache, 0, 1000 + 5 * ANVIL_SECOND));
  ck_assert_ptr_null (load_cache_get (cache, 1, 1000));
  load_cache_drop (cache);
}
END_TEST

START_TEST (test_mix_matches_the_kind_of_service)
{
  const anvil_service_t browse = { .idempotent = TRUE, .request_bits = 8192 };
  const anvil_service_t transact = { .request_bits = 8192, .max_request_bytes = 1200 };
  const anvil_service_t upload = { .request_bits = 32 << 20, .max_request_bytes = 5 << 20 };
  load_mix_t *mix = load_mix_new (&browse, 1);
  guint first = 0;
  guint tenth = 0;

  ck_assert_int_eq (load_service_kind (&browse), LOAD_BROWSE);
  ck_assert_int_eq (load_service_kind (&transact), LOAD_TRANSACT);
  ck_assert_int_eq (load_service_kind (&upload), LOAD_UPLOAD);
  for (guint i = 0; i < 50000; i++)
    {
      load_request_spec_t spec = load_mix_next (mix);

      ck_assert_uint_eq (spec.body_bytes, 0);
      first += spec.object == 0 ? 1 : 0;
      tenth += spec.object == 9 ? 1 : 0;
    }
  /* With a Zipf exponent of 0.9, the first object is 10^0.9, about 8, times as popular. */
  ck_assert (first >= 6 * tenth);
  ck_assert (first <= 10 * tenth);
  load_mix_drop (mix);
  mix = load_mix_new (&transact, 1);
  for (guint i = 0; i < 1000; i++)
    {
      load_request_spec_t spec = load_mix_next (mix);

      ck_assert_uint_ge (spec.body_bytes, 512);
      ck_assert_uint_le (spec.body_bytes, 1200);
    }
  load_mix_drop (mix);
}
END_TEST

START_TEST (test_response_classified_by_id_outcome_and_length)
{
  static const struct
  {
    load_response_t response;
    load_outcome_t outcome;
    load_fault_t fault;
  } cases[] = {
    { { "a", { "a", 1 }, "answered", 200, TRUE, 9, 9 }, LOAD_ANSWERED, LOAD_FAULT_NONE },
    { { "a", { "a", 1 }, "answered", 404, TRUE, 1, 9 }, LOAD_ANSWERED, LOAD_FAULT_NONE },
    { { "a", { NULL, 0 }, "refused", 503, TRUE, 0, 9 }, LOAD_REFUSED, LOAD_FAULT_NONE },
    { { "a", { "a", 1 }, "unknown", 504, TRUE, 0, 9 }, LOAD_UNKNOWN, LOAD_FAULT_NONE },
    { { "a", { "b", 1 }, "answered", 200, TRUE, 9, 9 }, LOAD_UNKNOWN, LOAD_FAULT_OTHER_REQUEST },
    { { "a", { "b", 1 }, "refused", 503, TRUE, 0, 9 }, LOAD_UNKNOWN, LOAD_FAULT_OTHER_REQUEST },
    { { "a", { NULL, 0 }, "answered", 200, TRUE, 9, 9 }, LOAD_UNKNOWN, LOAD_FAULT_OTHER_REQUEST },
    { { "a", { "a", 1 }, "answered", 200, FALSE, 9, 9 }, LOAD_UNKNOWN, LOAD_FAULT_TRUNCATED },
    { { "a", { "a", 1 }, "answered", 200, TRUE, 8, 9 }, LOAD_UNKNOWN, LOAD_FAULT_TRUNCATED },
    { { "a", { "a", 1 }, NULL, 200, TRUE, 9, 9 }, LOAD_UNKNOWN, LOAD_FAULT_NO_OUTCOME },
    { { "a", { "a", 1 }, "not_sent", 200, TRUE, 9, 9 }, LOAD_UNKNOWN, LOAD_FAULT_NO_OUTCOME },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      load_fault_t fault;

      ck_assert_int_eq (load_response_classify (&cases[i].response, &fault), cases[i].outcome);
      ck_assert_int_eq (fault, cases[i].fault);
    }
}
END_TEST

START_TEST (test_tally_counts_pending_and_wrong_requests)
{
  load_tally_t tally = { .latency = load_histogram_new (), .started = 5 };

  load_tally_add_outcome (&tally, LOAD_ANSWERED, LOAD_FAULT_NONE, FALSE, 10);
  load_tally_add_outcome (&tally, LOAD_ANSWERED, LOAD_FAULT_NONE, TRUE, 99);
  load_tally_add_outcome (&tally, LOAD_UNKNOWN, LOAD_FAULT_TRUNCATED, FALSE, 99);
  load_tally_add_outcome (&tally, LOAD_REFUSED, LOAD_FAULT_NONE, FALSE, 99);
  ck_assert_uint_eq (load_tally_pending (&tally), 1);
  ck_assert_uint_eq (load_tally_wrong (&tally), 1);
  ck_assert_uint_eq (load_histogram_count (tally.latency), 1);
  ck_assert_int_eq (load_histogram_worst (tally.latency), 10);
  load_histogram_drop (tally.latency);
}
END_TEST

static guint64
runs_from_key_name (void *context, const char *key)
{
  return g_ascii_strtoull (strrchr (key, '-') + 1, NULL, 10);
}

START_TEST (test_keys_compared_with_runs)
{
  /* The number at the end of a key says how often it ran. */
  static const struct
  {
    const char *key;
    gboolean once;
    load_outcome_t outcome;
  } requests[] = {
    { "fine-1", TRUE, LOAD_ANSWERED },       { "sent-again-1", TRUE, LOAD_REFUSED },
    { "sent-again-1", TRUE, LOAD_ANSWERED }, { "lost-1", TRUE, LOAD_UNKNOWN },
    { "twice-2", TRUE, LOAD_ANSWERED },      { "retried-3", FALSE, LOAD_ANSWERED },
    { "refused-1", TRUE, LOAD_REFUSED },     { "unsent-1", FALSE, LOAD_NOT_SENT },
    { "made-up-0", TRUE, LOAD_ANSWERED },    { "really-refused-0", TRUE, LOAD_REFUSED },
  };
  load_keys_t *keys = load_keys_new ();
  load_run_check_t check;

  for (gsize i = 0; i < G_N_ELEMENTS (requests); i++)
    load_keys_record (keys, requests[i].key, 0, requests[i].once, requests[i].outcome,
                      (load_entry_t){ 0 });
  check = load_keys_check_runs (keys, runs_from_key_name, NULL);
  ck_assert (check.known);
  ck_assert_uint_eq (check.runs, 10);
  ck_assert_uint_eq (check.ran_twice, 1);
  ck_assert_uint_eq (check.repeated, 1);
  ck_assert_uint_eq (check.refused_but_ran, 2);
  ck_assert_uint_eq (check.answered_without_run, 1);
  load_keys_drop (keys);
}
END_TEST

START_TEST (test_verdict_fails_for_each_fault)
{
  anvil_service_t service = { .name = anvil_str ("galeria") };
  anvil_config_t config
      = { .deployment = anvil_str ("labka"), .services = &service, .n_services = 1 };
  load_tally_t tally = { .latency = load_histogram_new () };
  load_report_t report = { .config = &config, .tallies = &tally, .run_check = { .known = TRUE } };
  guint64 *const faults[] = { &report.run_check.ran_twice,
                              &report.run_check.refused_but_ran,
                              &report.run_check.answered_without_run,
                              &tally.started,
                              &tally.faults[LOAD_FAULT_OTHER_REQUEST],
                              &tally.faults[LOAD_FAULT_TRUNCATED] };
  load_verdict_t verdict = load_report_verdict (&report, TRUE);

  ck_assert (load_verdict_passed (&verdict));
  for (gsize i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      *faults[i] = 1;
      verdict = load_report_verdict (&report, TRUE);
      ck_assert_msg (!load_verdict_passed (&verdict), "case %zu passed", i);
      *faults[i] = 0;
    }
  report.run_check.known = FALSE;
  verdict = load_report_verdict (&report, TRUE);
  ck_assert (!load_verdict_passed (&verdict));
  verdict = load_report_verdict (&report, FALSE);
  ck_assert (load_verdict_passed (&verdict));
  load_histogram_drop (tally.latency);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("load");
  TCase *tcase = tcase_create ("load");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_histogram_bounds_the_error_of_a_percentile);
  tcase_add_test (tcase, test_histogram_keeps_small_huge_and_negative_durations);
  tcase_add_test (tcase, test_arrivals_match_rate_and_burst);
  tcase_add_test (tcase, test_arrivals_are_determined_by_the_seed);
  tcase_add_test (tcase, test_lookup_parse);
  tcase_add_test (tcase, test_lookup_choose_by_weight_then_weight_0);
  tcase_add_test (tcase, test_cache_expires_with_time_to_live);
  tcase_add_test (tcase, test_mix_matches_the_kind_of_service);
  tcase_add_test (tcase, test_response_classified_by_id_outcome_and_length);
  tcase_add_test (tcase, test_tally_counts_pending_and_wrong_requests);
  tcase_add_test (tcase, test_keys_compared_with_runs);
  tcase_add_test (tcase, test_verdict_fails_for_each_fault);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

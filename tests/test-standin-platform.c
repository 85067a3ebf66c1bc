/* Tests of the platform's stand-in, run as a process and used through the platform client. */

#include <check.h>
#include <event2/buffer.h>
#include <stdlib.h>

#include "anvil/error.h"
#include "anvil/platform.h"
#include "anvil/settings.h"
#include "net/http-pool.h"
#include "standin.h"

#define TIMEOUT (5 * ANVIL_SECOND)

static struct event_base *base;
static standin_t standin;
static anvil_platform_t *platform;
static anvil_http_pool_t *raw_pool;

static void
set_up (void)
{
  static const char *const arguments[]
      = { "--listen", "127.0.0.1:0", "--vm-lag-ms", "0", "--writes-per-s", "100", NULL };
  guint32 address;
  guint16 port;

  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  standin_open (&standin, "anvil-platform", arguments);
  ck_assert (anvil_endpoint_parse (standin.endpoint, &address, &port));
  platform = anvil_platform_open (base, address, port, TIMEOUT);
  raw_pool = anvil_http_pool_open (base, address, port, TIMEOUT);
}

static void
tear_down (void)
{
  anvil_http_pool_close (raw_pool);
  anvil_platform_close (platform);
  event_base_free (base);
  ck_assert_int_eq (standin_close (&standin), 0);
}

/**
 * outcome_t - outcomes of calls
 * @calls: number of calls that ended
 * @by_result: number of commits by their result
 *
 * The other members are of the last call.
 */
typedef struct
{
  guint calls;
  anvil_commit_result_t result;
  guint by_result[ANVIL_COMMIT_UNKNOWN + 1];
  gint code;
  guint n_rows;
  guint64 version;
  char value[64];
  guint n_vms;
  int status;
} outcome_t;

static void
wait_for (const outcome_t *outcome, guint calls)
{
  while (outcome->calls < calls)
    event_base_loop (base, EVLOOP_ONCE);
}

static void
on_raw_response (void *context, const anvil_http_result_t *reply)
{
  outcome_t *outcome = context;

  outcome->calls++;
  outcome->status = reply->status;
}

static int
put (const char *path, const char *text)
{
  struct evbuffer *body = evbuffer_new ();
  outcome_t outcome = { 0 };

  evbuffer_add (body, text, strlen (text));
  anvil_http_pool_call (raw_pool, EVHTTP_REQ_PUT, path, body, on_raw_response, &outcome);
  wait_for (&outcome, 1);
  evbuffer_free (body);
  return outcome.status;
}

static void
set_faults (const char *text)
{
  ck_assert_int_eq (put ("/v1/standin/faults", text), 200);
}

static void
on_commit (void *context, anvil_commit_result_t result, const GError *error)
{
  outcome_t *outcome = context;

  outcome->calls++;
  outcome->result = result;
  outcome->by_result[result]++;
}

static void
on_rows (void *context, const anvil_row_t *rows, guint n_rows, const GError *error)
{
  outcome_t *outcome = context;

  outcome->calls++;
  outcome->n_rows = n_rows;
  outcome->code = error != NULL ? error->code : -1;
  if (n_rows > 0)
    {
      outcome->version = rows[0].version;
      g_snprintf (outcome->value, sizeof outcome->value, "%.*s", ANVIL_STR_ARGS (rows[0].value));
    }
}

static anvil_commit_result_t
commit (const char *key, guint64 version, const char *value)
{
  const anvil_row_t condition = { .key = anvil_str (key), .version = version };
  const anvil_row_t write = { .key = anvil_str (key), .value = anvil_str (value) };
  outcome_t outcome = { 0 };

  anvil_platform_commit (platform, &condition, 1, &write, 1, on_commit, &outcome);
  wait_for (&outcome, 1);
  return outcome.result;
}

static outcome_t
read_rows (const char *prefix)
{
  outcome_t outcome = { 0 };

  anvil_platform_read_rows (platform, prefix, on_rows, &outcome);
  wait_for (&outcome, 1);
  return outcome;
}

START_TEST (test_versions_detect_conflicts_and_continue_after_a_delete)
{
  outcome_t outcome;

  ck_assert_int_eq (commit ("seat/0", 0, "a"), ANVIL_COMMIT_DONE);
  ck_assert_int_eq (commit ("seat/0", 0, "b"), ANVIL_COMMIT_CONFLICT);
  ck_assert_int_eq (commit ("seat/0", 1, "b"), ANVIL_COMMIT_DONE);
  ck_assert_int_eq (commit ("seat/0", 2, NULL), ANVIL_COMMIT_DONE);
  ck_assert_uint_eq (read_rows ("seat/").n_rows, 0);
  ck_assert_int_eq (commit ("seat/0", 2, "c"), ANVIL_COMMIT_CONFLICT);
  ck_assert_int_eq (commit ("seat/0", 0, "c"), ANVIL_COMMIT_DONE);
  outcome = read_rows ("seat/");
  ck_assert_uint_eq (outcome.version, 4);
  ck_assert_str_eq (outcome.value, "c");
}
END_TEST

START_TEST (test_transaction_is_atomic)
{
  const anvil_row_t conditions[]
      = { { .key = anvil_str ("a") }, { .key = anvil_str ("b"), .version = 1 } };
  const anvil_row_t writes[] = { { .key = anvil_str ("a"), .value = anvil_str ("1") },
                                 { .key = anvil_str ("b"), .value = anvil_str ("1") } };
  outcome_t outcome = { 0 };

  anvil_platform_commit (platform, conditions, 2, writes, 2, on_commit, &outcome);
  wait_for (&outcome, 1);
  ck_assert_int_eq (outcome.result, ANVIL_COMMIT_CONFLICT);
  ck_assert_uint_eq (read_rows ("").n_rows, 0);
  anvil_platform_commit (platform, conditions, 1, writes, 2, on_commit, &outcome);
  wait_for (&outcome, 2);
  ck_assert_int_eq (outcome.result, ANVIL_COMMIT_DONE);
  ck_assert_uint_eq (read_rows ("").n_rows, 2);
  ck_assert_uint_eq (read_rows ("b").n_rows, 1);
  ck_assert_uint_eq (read_rows ("a").n_rows, 1);
}
END_TEST

START_TEST (test_call_with_lost_response_takes_effect_and_lost_request_does_not)
{
  set_faults ("{\"lose_answers_percent\":100}");
  ck_assert_int_eq (commit ("a", 0, "1"), ANVIL_COMMIT_UNKNOWN);
  set_faults ("{\"lose_answers_percent\":0,\"lose_requests_percent\":100}");
  ck_assert_int_eq (commit ("b", 0, "1"), ANVIL_COMMIT_UNKNOWN);
  ck_assert_int_eq (read_rows ("").code, ANVIL_ERROR_UNAVAILABLE);
  set_faults ("{\"lose_requests_percent\":0,\"down\":true}");
  ck_assert_int_eq (commit ("c", 0, "1"), ANVIL_COMMIT_UNKNOWN);
  set_faults ("{\"down\":false}");
  ck_assert_uint_eq (read_rows ("").n_rows, 1);
  ck_assert_uint_eq (read_rows ("a").n_rows, 1);
}
END_TEST

START_TEST (test_invalid_faults_change_nothing)
{
  ck_assert_int_eq (put ("/v1/standin/faults", "{\"down\":true,\"nonsense\":1}"), 400);
  ck_assert_int_eq (put ("/v1/standin/faults", "{\"down\":true,\"delay_ms\":-1}"), 400);
  ck_assert_int_eq (put ("/v1/standin/faults", "[]"), 400);
  ck_assert_int_eq (commit ("a", 0, "1"), ANVIL_COMMIT_DONE);
}
END_TEST

static void
on_vms (void *context, const anvil_vm_list_t *list, const GError *error)
{
  outcome_t *outcome = context;

  outcome->calls++;
  ck_assert_msg (list != NULL, "%s", error != NULL ? error->message : "");
  outcome->n_vms = list->n_vms;
  outcome->version = list->version;
}

static outcome_t
list_vms (void)
{
  outcome_t outcome = { 0 };

  anvil_platform_list_vms (platform, on_vms, &outcome);
  wait_for (&outcome, 1);
  return outcome;
}

START_TEST (test_vm_list_lags_and_freezes)
{
  static const char one[] = "{\"vms\":[{\"name\":\"e\",\"kind\":\"entry\",\"state\":\"live\","
                            "\"zone\":\"z\",\"address\":\"127.0.0.1\"}]}";
  outcome_t first = list_vms ();

  set_faults ("{\"vm_lag_ms\":600000}");
  ck_assert_int_eq (put ("/v1/standin/vms", one), 200);
  ck_assert_uint_eq (list_vms ().n_vms, 0);
  set_faults ("{\"freeze_vms\":true,\"vm_lag_ms\":0}");
  ck_assert_uint_eq (list_vms ().n_vms, 0);
  set_faults ("{\"freeze_vms\":false}");
  ck_assert_uint_eq (list_vms ().n_vms, 1);
  ck_assert_uint_gt (list_vms ().version, first.version);
}
END_TEST

START_TEST (test_writes_over_the_rate_limit_are_rejected)
{
  const anvil_row_t write = { .key = anvil_str ("a"), .value = anvil_str ("1") };
  outcome_t outcome = { 0 };
  guint n_committed;

  for (guint i = 0; i < 400; i++)
    anvil_platform_commit (platform, NULL, 0, &write, 1, on_commit, &outcome);
  wait_for (&outcome, 400);
  n_committed = outcome.by_result[ANVIL_COMMIT_DONE];
  ck_assert_uint_gt (outcome.by_result[ANVIL_COMMIT_NOT_DONE], 0);
  ck_assert_uint_eq (outcome.by_result[ANVIL_COMMIT_NOT_DONE] + n_committed, 400);
  ck_assert_uint_eq (read_rows ("a").version, n_committed);
}
END_TEST

static void
on_object (void *context, anvil_str_t body, const GError *error)
{
  outcome_t *outcome = context;

  outcome->calls++;
  outcome->code = error != NULL ? error->code : -1;
  g_snprintf (outcome->value, sizeof outcome->value, "%.*s", ANVIL_STR_ARGS (body));
}

START_TEST (test_object_is_stored_and_read)
{
  outcome_t outcome = { 0 };

  anvil_platform_get_object (platform, "config-1", on_object, &outcome);
  wait_for (&outcome, 1);
  ck_assert_int_eq (outcome.code, ANVIL_ERROR_NOT_FOUND);
  anvil_platform_put_object (platform, "config-1", anvil_str ("text"), on_commit, &outcome);
  wait_for (&outcome, 2);
  ck_assert_int_eq (outcome.result, ANVIL_COMMIT_DONE);
  anvil_platform_get_object (platform, "config-1", on_object, &outcome);
  wait_for (&outcome, 3);
  ck_assert_int_eq (outcome.code, -1);
  ck_assert_str_eq (outcome.value, "text");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("standin-platform");
  TCase *tcase = tcase_create ("standin-platform");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, test_versions_detect_conflicts_and_continue_after_a_delete);
  tcase_add_test (tcase, test_transaction_is_atomic);
  tcase_add_test (tcase, test_call_with_lost_response_takes_effect_and_lost_request_does_not);
  tcase_add_test (tcase, test_invalid_faults_change_nothing);
  tcase_add_test (tcase, test_vm_list_lags_and_freezes);
  tcase_add_test (tcase, test_writes_over_the_rate_limit_are_rejected);
  tcase_add_test (tcase, test_object_is_stored_and_read);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

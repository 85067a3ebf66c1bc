/* Claims of idempotency keys by two entries, with the platform's stand-in as a separate process. */

#include <arpa/inet.h>
#include <check.h>
#include <event2/buffer.h>
#include <stdlib.h>

#include "anvil/settings.h"
#include "entry/claims-task.h"
#include "net/http-pool.h"
#include "standin.h"

#define TIMEOUT (500 * ANVIL_MS)
#define N_ENTRIES 2

static struct event_base *base;
static standin_t standin;
static anvil_platform_t *platform;
static anvil_http_pool_t *control_pool;
static anvil_metrics_t *metrics;
static anvil_claims_task_t *tasks[N_ENTRIES];
static guint64 last_id;

/* The most recent verdict. */
static struct
{
  guint64 id;
  anvil_claim_verdict_t verdict;
  gint status;
} last_verdict;

static void
on_decided (void *unused_context, guint64 id, anvil_claim_verdict_t verdict, gint status)
{
  last_verdict.id = id;
  last_verdict.verdict = verdict;
  last_verdict.status = status;
}

static void
set_up (void)
{
  static const char *const arguments[] = { "--listen", "127.0.0.1:0", NULL };
  guint32 address;
  guint16 port;

  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  metrics = anvil_metrics_new ();
  standin_open (&standin, "anvil-platform", arguments);
  ck_assert (anvil_endpoint_parse (standin.endpoint, &address, &port));
  platform = anvil_platform_open (base, address, port, TIMEOUT);
  control_pool = anvil_http_pool_open (base, address, port, TIMEOUT);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      const anvil_claims_task_options_t options = { .base = base,
                                                    .platform = platform,
                                                    .metrics = metrics,
                                                    .node = anvil_node (INADDR_LOOPBACK + i, 7000),
                                                    .incarnation = 1 };

      tasks[i] = anvil_claims_task_new (&options, on_decided, NULL);
    }
}

static void
tear_down (void)
{
  anvil_http_pool_close (control_pool);
  anvil_platform_close (platform);
  for (guint i = 0; i < N_ENTRIES; i++)
    anvil_claims_task_drop (tasks[i]);
  anvil_metrics_drop (metrics);
  event_base_free (base);
  ck_assert_int_eq (standin_close (&standin), 0);
}

static void
on_control_result (void *context, const anvil_http_result_t *result)
{
  *(int *) context = result->status;
}

static void
set_faults (const char *text)
{
  struct evbuffer *body = evbuffer_new ();
  int status = -1;

  evbuffer_add (body, text, strlen (text));
  anvil_http_pool_call (control_pool, EVHTTP_REQ_PUT, "/v1/standin/faults", body, on_control_result,
                        &status);
  while (status < 0)
    event_base_loop (base, EVLOOP_ONCE);
  ck_assert_int_eq (status, 200);
  evbuffer_free (body);
}

static anvil_claim_verdict_t
claim (guint entry, const char *key)
{
  guint64 id = ++last_id;

  anvil_claims_task_submit (tasks[entry], id, anvil_str ("rezervacie"), anvil_str (key),
                            anvil_clock_now () + 600 * ANVIL_SECOND);
  while (last_verdict.id != id)
    event_base_loop (base, EVLOOP_ONCE);
  return last_verdict.verdict;
}

static void
wait_until_written (guint entry)
{
  while (anvil_claims_task_pending (tasks[entry]) > 0)
    event_base_loop (base, EVLOOP_ONCE);
}

START_TEST (test_repeat_at_another_entry_gets_the_recorded_outcome)
{
  ck_assert_int_eq (claim (0, "deposit"), ANVIL_CLAIM_RUN);
  ck_assert_int_eq (claim (1, "deposit"), ANVIL_CLAIM_UNKNOWN);
  anvil_claims_task_finished (tasks[0], 1, ANVIL_CLAIM_OUTCOME_ANSWERED, 201);
  wait_until_written (0);
  ck_assert_int_eq (claim (1, "deposit"), ANVIL_CLAIM_RECORDED);
  ck_assert_int_eq (last_verdict.status, 201);
  ck_assert_int_eq (claim (0, "deposit"), ANVIL_CLAIM_RECORDED);
}
END_TEST

START_TEST (test_key_of_a_request_not_run_is_claimable_again)
{
  ck_assert_int_eq (claim (0, "deposit"), ANVIL_CLAIM_RUN);
  anvil_claims_task_finished (tasks[0], 1, ANVIL_CLAIM_OUTCOME_NOT_RUN, 0);
  wait_until_written (0);
  ck_assert_int_eq (claim (1, "deposit"), ANVIL_CLAIM_RUN);
  anvil_claims_task_finished (tasks[1], 2, ANVIL_CLAIM_OUTCOME_UNKNOWN, 0);
  ck_assert_int_eq (claim (0, "deposit"), ANVIL_CLAIM_UNKNOWN);
}
END_TEST

START_TEST (test_claim_with_lost_commit_response_is_refused_then_released)
{
  set_faults ("{\"lose_answers_percent\":100}");
  ck_assert_int_eq (claim (0, "deposit"), ANVIL_CLAIM_UNAVAILABLE);
  set_faults ("{\"lose_answers_percent\":0}");
  wait_until_written (0);
  ck_assert_int_eq (claim (1, "deposit"), ANVIL_CLAIM_RUN);
}
END_TEST

START_TEST (test_claim_is_refused_while_the_platform_is_down)
{
  set_faults ("{\"down\":true}");
  ck_assert_int_eq (claim (0, "deposit"), ANVIL_CLAIM_UNAVAILABLE);
  set_faults ("{\"down\":false}");
  wait_until_written (0);
  ck_assert_int_eq (claim (0, "deposit"), ANVIL_CLAIM_RUN);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("claims-task");
  TCase *tcase = tcase_create ("claims-task");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, test_repeat_at_another_entry_gets_the_recorded_outcome);
  tcase_add_test (tcase, test_key_of_a_request_not_run_is_claimable_again);
  tcase_add_test (tcase, test_claim_with_lost_commit_response_is_refused_then_released);
  tcase_add_test (tcase, test_claim_is_refused_while_the_platform_is_down);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Loans of rate units between two entries. */

#include <check.h>
#include <stdlib.h>

#include "steer/steer-internal.h"

#define PEER 2
#define NOW (10 * ANVIL_SECOND)

/* The last message that the core has sent. */
typedef struct
{
  anvil_message_t last;
  guint n_sent;
} sent_t;

static void
keep_sent (void *context, anvil_node_t to, const anvil_message_t *message)
{
  sent_t *sent = context;

  sent->last = *message;
  sent->n_sent++;
}

static anvil_steer_t *
new_core (sent_t *sent)
{
  const anvil_steer_callbacks_t actions = { .send = keep_sent };
  const anvil_steer_options_t options
      = { .node = 1, .incarnation = 1, .zone = anvil_str ("zapad-a"), .seed = 1 };
  const anvil_member_t peer = {
    .node = PEER, .incarnation = 1, .version = 1, .state = ANVIL_MEMBER_ALIVE, .generation = 1
  };
  anvil_steer_t *steer = anvil_steer_new (&options, &actions, sent);
  anvil_config_t *config;
  GError *error = NULL;
  char *text;
  gsize length;

  ck_assert (g_file_get_contents ("examples/labka.yaml", &text, &length, NULL));
  config
      = anvil_config_load ("labka.yaml", (anvil_str_t){ .data = text, .length = length }, &error);
  ck_assert_msg (config != NULL, "%s", error != NULL ? error->message : "");
  anvil_steer_configure (steer, 0, config, 1);
  anvil_member_table_merge (steer->members, NOW, &peer);
  anvil_config_drop (config);
  g_free (text);
  return steer;
}

/* Units that the core lends of a budget. */
static gint64
ask_for (anvil_steer_t *steer, sent_t *sent, const anvil_rate_bucket_t *rate, guint64 generation)
{
  const anvil_loan_request_t ask = { .kind = ANVIL_LOAN_RATE,
                                     .nonce = 7,
                                     .incarnation = 1,
                                     .generation = generation,
                                     .budget_hash = rate->key,
                                     .amount = 1000 };

  anvil_steer_receive_loan_ask (steer, NOW, PEER, &ask);
  ck_assert_int_eq (sent->last.kind, ANVIL_MESSAGE_LOAN_RESPONSE);
  return sent->last.loan_response.amount;
}

START_TEST (test_units_are_handed_over)
{
  sent_t sent = { 0 };
  anvil_steer_t *steer = new_core (&sent);
  anvil_rate_bucket_t *rate = anvil_steer_link_rate (steer, NOW, 0, 1, ANVIL_TRAFFIC_BULK);

  rate->tokens = 10000;
  ck_assert_int_eq (ask_for (steer, &sent, rate, 1), 1000);
  ck_assert_double_eq (rate->tokens, 9000);
  anvil_steer_drop (steer);
}
END_TEST

START_TEST (test_entry_on_another_file_gets_nothing)
{
  sent_t sent = { 0 };
  anvil_steer_t *steer = new_core (&sent);
  anvil_rate_bucket_t *rate = anvil_steer_link_rate (steer, NOW, 0, 1, ANVIL_TRAFFIC_BULK);

  rate->tokens = 10000;
  ck_assert_int_eq (ask_for (steer, &sent, rate, 2), 0);
  ck_assert_double_eq (rate->tokens, 10000);
  anvil_steer_drop (steer);
}
END_TEST

START_TEST (test_entry_that_is_short_itself_lends_nothing)
{
  sent_t sent = { 0 };
  anvil_steer_t *steer = new_core (&sent);
  anvil_rate_bucket_t *rate = anvil_steer_link_rate (steer, NOW, 0, 1, ANVIL_TRAFFIC_BULK);

  rate->tokens = 10000;
  anvil_steer_want_rate (steer, NOW, rate, 20000);
  ck_assert_int_eq (sent.last.kind, ANVIL_MESSAGE_LOAN_REQUEST);
  ck_assert_int_eq (ask_for (steer, &sent, rate, 1), 0);
  ck_assert_double_eq (rate->tokens, 10000);
  anvil_steer_drop (steer);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("loan");
  TCase *tcase = tcase_create ("loan");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_units_are_handed_over);
  tcase_add_test (tcase, test_entry_on_another_file_gets_nothing);
  tcase_add_test (tcase, test_entry_that_is_short_itself_lends_nothing);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Loans of rate units between two entries. */

#include <check.h>
#include <stdlib.h>

#include "steer/steer-internal.h"

#define PEER 2
#define NOW (10 * ANVIL_SECOND)

/* Messages sent by the core. */
typedef struct
{
  anvil_message_t last;
  guint n_sent;
} sent_t;

static void
record_sent (void *context, anvil_node_t to, const anvil_message_t *message)
{
  sent_t *sent = context;

  sent->last = *message;
  sent->n_sent++;
}

static anvil_steer_t *
new_steer (sent_t *sent)
{
  const anvil_steer_callbacks_t actions = { .send = record_sent };
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

/* Requests a loan from the core; returns the units that it lends. */
static gint64
request_loan (anvil_steer_t *steer,
              sent_t *sent,
              const anvil_rate_bucket_t *bucket,
              guint64 generation)
{
  const anvil_loan_request_t request = { .kind = ANVIL_LOAN_RATE,
                                         .nonce = 7,
                                         .incarnation = 1,
                                         .generation = generation,
                                         .budget_hash = bucket->key,
                                         .amount = 1000 };

  anvil_steer_receive_loan_request (steer, NOW, PEER, &request);
  ck_assert_int_eq (sent->last.kind, ANVIL_MESSAGE_LOAN_RESPONSE);
  return sent->last.loan_response.amount;
}

START_TEST (test_units_are_lent)
{
  sent_t sent = { 0 };
  anvil_steer_t *steer = new_steer (&sent);
  anvil_rate_bucket_t *bucket = anvil_steer_link_bucket (steer, NOW, 0, 1, ANVIL_TRAFFIC_BULK);

  bucket->tokens = 10000;
  ck_assert_int_eq (request_loan (steer, &sent, bucket, 1), 1000);
  ck_assert_double_eq (bucket->tokens, 9000);
  anvil_steer_drop (steer);
}
END_TEST

START_TEST (test_entry_with_another_generation_gets_nothing)
{
  sent_t sent = { 0 };
  anvil_steer_t *steer = new_steer (&sent);
  anvil_rate_bucket_t *bucket = anvil_steer_link_bucket (steer, NOW, 0, 1, ANVIL_TRAFFIC_BULK);

  bucket->tokens = 10000;
  ck_assert_int_eq (request_loan (steer, &sent, bucket, 2), 0);
  ck_assert_double_eq (bucket->tokens, 10000);
  anvil_steer_drop (steer);
}
END_TEST

START_TEST (test_entry_that_needs_units_lends_none)
{
  sent_t sent = { 0 };
  anvil_steer_t *steer = new_steer (&sent);
  anvil_rate_bucket_t *bucket = anvil_steer_link_bucket (steer, NOW, 0, 1, ANVIL_TRAFFIC_BULK);

  bucket->tokens = 10000;
  anvil_steer_request_units (steer, NOW, bucket, 20000);
  ck_assert_int_eq (sent.last.kind, ANVIL_MESSAGE_LOAN_REQUEST);
  ck_assert_int_eq (request_loan (steer, &sent, bucket, 1), 0);
  ck_assert_double_eq (bucket->tokens, 10000);
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

  tcase_add_test (tcase, test_units_are_lent);
  tcase_add_test (tcase, test_entry_with_another_generation_gets_nothing);
  tcase_add_test (tcase, test_entry_that_needs_units_lends_none);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

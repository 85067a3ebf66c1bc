/* Messages between entries: a packed message is unpacked unchanged, malformed ones are rejected. */

#include <check.h>
#include <math.h>
#include <stdlib.h>

#include "relay/relay-message.h"

static const anvil_relay_message_t samples[] = {
  { .kind = ANVIL_RELAY_PING,
    .number = 5,
    .info = { .name = { "vm-1", 4 },
              .zone = { "west-a", 6 },
              .incarnation = G_MAXUINT64,
              .caller_port = 80,
              .ready = TRUE,
              .store_ok_for = 3000000,
              .reads_store = TRUE,
              .outdated = TRUE,
              .knows_peers = TRUE,
              .caller_share = 640,
              .config_version = 31,
              .config_proof_age = 900000,
              .store_era = 2,
              .declined_share = 300 },
    .named = { 77, G_MAXUINT64 },
    .n_named = 2 },
  { .kind = ANVIL_RELAY_WITHDRAW, .number = 4 },
  { .kind = ANVIL_RELAY_WITHDRAWN, .number = 4, .waited = TRUE },
  { .kind = ANVIL_RELAY_REQUEST_SLOT,
    .number = 6,
    .task = { .service = { "photos", 6 },
              .region = { "west", 4 },
              .zone = { "west-a", 6 },
              .regions = { { "west", 4 } },
              .n_regions = 1,
              .object = 7,
              .kind = ANVIL_ROUTE_UPLOAD,
              .priority = 1,
              .attempt = 2,
              .excluded = { 8, 9 },
              .n_excluded = 2,
              .body_bytes = 60000,
              .target = -5,
              .deadline = 1500000,
              .route_class = 12,
              .tenant = { "acme", 4 },
              .tenant_priority = 3,
              .quota_paid = TRUE,
              .is_repeat = TRUE } },
  { .kind = ANVIL_RELAY_ADOPT, .number = 6, .upstream = 9 },
  { .kind = ANVIL_RELAY_GRANT,
    .number = 7,
    .grant = { .upstream = 9,
               .upstream_id = { "u", 1 },
               .zone = { "z", 1 },
               .address = 1,
               .port = 2,
               .started_at = 1700000000000,
               .warm = TRUE,
               .row_version = { .era = 3, .version = G_MAXUINT64 } } },
  { .kind = ANVIL_RELAY_REQUEST_QUOTA,
    .number = 1700000000,
    .wants = { { .tenant = { "acme", 4 }, .waiting = 2, .ahead = 90, .used_elsewhere = 4000 },
               { .tenant = { "z", 1 }, .waiting = 1 } },
    .n_wants = 2 },
  { .kind = ANVIL_RELAY_QUOTA,
    .number = 1700000000,
    .lents = { { .tenant = { "acme", 4 }, .wanted = 2, .lent = 92, .use_share = 1000 },
               { .tenant = { "z", 1 }, .wanted = 1, .retry_after = 50000, .use_share = 125 } },
    .n_lents = 2 },
  { .kind = ANVIL_RELAY_REFUSE,
    .number = 9,
    .refused = { .reason = ANVIL_TASK_QUOTA, .retry_after = 50000 } },
  { .kind = ANVIL_RELAY_REFUSE,
    .number = 8,
    .refused = { .reason = ANVIL_TASK_LATE,
                 .retry_after = 100000,
                 .waiting = 3,
                 .running = 2,
                 .slots = 1 } },
  { .kind = ANVIL_RELAY_REQUEST_CONFIG, .number = 31, .whole = TRUE },
  { .kind = ANVIL_RELAY_CONFIG,
    .number = 33,
    .read_version = { .era = 4, .version = 412 },
    .rows = { "changes", 7 },
    .operators_version = { .era = 4, .version = 413 },
    .evacuated = { { "west-a", 6 } },
    .n_evacuated = 1 },
  { .kind = ANVIL_RELAY_FINISHED,
    .number = 9,
    .report = { .result = ANVIL_RUN_INTERRUPTED,
                .duration = 5,
                .still_running = TRUE,
                .request_limit = { .state = ANVIL_REQUEST_LIMIT_NAMED, .per_second = 7.5 } } },
  { .kind = ANVIL_RELAY_CANCEL, .number = 10 },
  { .kind = ANVIL_RELAY_FORWARD,
    .number = 14,
    .task = { .service = { "photos", 6 }, .deadline = 5 },
    .rows = { "request", 7 },
    .sent_at = 123456789 },
  { .kind = ANVIL_RELAY_PONG,
    .number = 15,
    .info = { .config_proof_age = -1, .declined_share = 600, .refused_share = 950 } },
  { .kind = ANVIL_RELAY_RESPONSE, .number = 14, .rows = { "response", 8 } },
  { .kind = ANVIL_RELAY_WARM_OBJECTS,
    .service = { "photos", 6 },
    .objects = { { 1, 2 }, { G_MAXUINT64, 4 } },
    .n_objects = 2 },
  { .kind = ANVIL_RELAY_RETRY_COUNTS,
    .service = { .data = "photos", .length = 6 },
    .retry_counts = { { .origin = 7, .n_attempts = 90, .requests = { 8, 5 }, .retries = { 3 } },
                      { .origin = G_MAXUINT64, .n_attempts = 1, .requests = { [10] = 1 } } },
    .n_retry_counts = 2 },
  { .kind = ANVIL_RELAY_REQUEST_LIMITS,
    .limits = { { 1, 0.25, 5 }, { G_MAXUINT64, 1e300, 0 } },
    .n_limits = 2 },
  { .kind = ANVIL_RELAY_ANNOUNCEMENTS,
    .service = { "photos", 6 },
    .announcements = { { 1, 1700000000000, { .leaving = TRUE } },
                       { G_MAXUINT64, 0, { .pause = ANVIL_MAX_PAUSE } } },
    .n_announcements = 2 },
  { .kind = ANVIL_RELAY_UPDATES,
    .number = 11,
    .era = 3,
    .after_version = { .era = 2, .version = 10 },
    .age = 5,
    .store_ok_for = 6,
    .grace_remaining = 7,
    .digest = G_MAXUINT64,
    .rows = { "rows", 4 },
    .operators_version = { .era = 3, .version = 12 },
    .operators_age = 8,
    .evacuated = { { "west-a", 6 }, { "east-a", 6 } },
    .n_evacuated = 2 },
};

static GByteArray *
pack (const anvil_relay_message_t *message)
{
  GByteArray *bytes = g_byte_array_new ();

  anvil_relay_message_pack (message, message->sent_at, bytes);
  return bytes;
}

START_TEST (test_every_kind_is_unpacked_as_it_was_packed)
{
  for (gsize i = 0; i < G_N_ELEMENTS (samples); i++)
    {
      GByteArray *bytes = pack (&samples[i]);
      anvil_relay_message_t read;
      GByteArray *again;

      ck_assert (anvil_relay_message_unpack (
          (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len }, &read, NULL));
      again = pack (&read);
      ck_assert_uint_eq (bytes->len, again->len);
      ck_assert_mem_eq (bytes->data, again->data, bytes->len);
      g_byte_array_unref (bytes);
      g_byte_array_unref (again);
    }
}
END_TEST

/* As entries of an older version send it during a rolling update. */
START_TEST (test_a_report_without_a_request_limit_is_accepted)
{
  static const char bytes[] = { '\x93', ANVIL_RELAY_FINISHED, 9, '\x93', ANVIL_RUN_FAILED, 5, 0 };
  anvil_relay_message_t read;

  ck_assert (anvil_relay_message_unpack ((anvil_str_t){ .data = bytes, .length = sizeof bytes },
                                         &read, NULL));
  ck_assert_int_eq (read.report.result, ANVIL_RUN_FAILED);
  ck_assert_int_eq (read.report.request_limit.state, ANVIL_REQUEST_LIMIT_UNKNOWN);
}
END_TEST

/* Removes the last items of the array that follows the kind and the number of a message. */
static void
remove_last_items (GByteArray *bytes, guint n_items, guint n_bytes)
{
  /* Behind the header of the outer array and two numbers below 128. */
  bytes->data[3] = (guint8) (bytes->data[3] - n_items);
  g_byte_array_set_size (bytes, bytes->len - n_bytes);
}

START_TEST (test_pings_and_updates_of_older_versions_are_accepted)
{
  const anvil_relay_message_t ping
      = { .kind = ANVIL_RELAY_PING, .number = 1, .info = { .config_version = 5 } };
  const anvil_relay_message_t updates
      = { .kind = ANVIL_RELAY_UPDATES, .number = 1, .operators_version = { .version = 2 } };
  GByteArray *bytes = pack (&ping);
  anvil_relay_message_t read;

  remove_last_items (bytes, 2, 2);
  ck_assert (anvil_relay_message_unpack (
      (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len }, &read, NULL));
  ck_assert_int_eq (read.info.config_version, 5);
  ck_assert_int_lt (read.info.config_proof_age, 0);
  remove_last_items (bytes, 1, 1);
  ck_assert (anvil_relay_message_unpack (
      (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len }, &read, NULL));
  ck_assert_int_eq (read.info.config_version, 0);
  remove_last_items (bytes, 1, 1);
  ck_assert (anvil_relay_message_unpack (
      (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len }, &read, NULL));
  ck_assert (!read.info.knows_peers);
  ck_assert_uint_eq (read.info.caller_share, ANVIL_FULL_CALLER_SHARE);
  remove_last_items (bytes, 1, 1);
  ck_assert (anvil_relay_message_unpack (
      (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len }, &read, NULL));
  /* They hold services from their start. */
  ck_assert (read.info.knows_peers);
  g_byte_array_unref (bytes);
  bytes = pack (&updates);
  /* The age, and the eras, which are 0 without them. */
  remove_last_items (bytes, 4, 4);
  ck_assert (anvil_relay_message_unpack (
      (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len }, &read, NULL));
  ck_assert_uint_eq (read.operators_version.version, 2);
  ck_assert_uint_eq (read.operators_version.era + read.after_version.era + read.era, 0);
  ck_assert_int_eq (read.operators_age, G_MAXINT64);
  remove_last_items (bytes, 2, 2);
  ck_assert (anvil_relay_message_unpack (
      (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len }, &read, NULL));
  ck_assert_uint_eq (read.operators_version.version, 0);
  ck_assert_uint_eq (read.n_evacuated, 0);
  g_byte_array_unref (bytes);
}
END_TEST

START_TEST (test_request_limits_below_zero_or_not_finite_are_rejected)
{
  static const gdouble rates[] = { -1, NAN, INFINITY };

  for (gsize i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      const anvil_relay_message_t message
          = { .kind = ANVIL_RELAY_REQUEST_LIMITS, .limits = { { 1, rates[i], 5 } }, .n_limits = 1 };
      GByteArray *bytes = pack (&message);
      anvil_relay_message_t read;

      ck_assert (!anvil_relay_message_unpack (
          (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len }, &read, NULL));
      g_byte_array_unref (bytes);
    }
}
END_TEST

/* Truncated and corrupted messages are rejected or unpacked as other valid messages. */
START_TEST (test_corrupted_messages_are_rejected_or_valid)
{
  GRand *random = g_rand_new_with_seed (3);
  guint rejected = 0;

  for (guint round = 0; round < 20000; round++)
    {
      GByteArray *bytes = pack (&samples[round % G_N_ELEMENTS (samples)]);
      anvil_relay_message_t read;
      GError *error = NULL;

      if (round % 3 == 0)
        g_byte_array_set_size (bytes, (guint) g_rand_int_range (random, 0, (gint32) bytes->len));
      else
        bytes->data[g_rand_int_range (random, 0, (gint32) bytes->len)]
            = (guint8) g_rand_int_range (random, 0, 256);
      if (!anvil_relay_message_unpack (
              (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len }, &read,
              &error))
        {
          ck_assert_ptr_nonnull (error);
          g_error_free (error);
          rejected++;
        }
      g_byte_array_unref (bytes);
    }
  ck_assert_uint_ge (rejected, 5000);
  g_rand_free (random);
}
END_TEST

START_TEST (test_warm_objects_are_unpacked_as_they_were_packed)
{
  const anvil_warm_object_t objects[] = { { 1, 2 }, { G_MAXUINT64, 3 } };
  GByteArray *bytes = g_byte_array_new ();
  anvil_warm_object_t read[4];

  anvil_warm_objects_pack (objects, 2, bytes);
  ck_assert_uint_eq (bytes->len, 32);
  ck_assert_uint_eq (
      anvil_warm_objects_unpack ((anvil_str_t){ (const char *) bytes->data, 31 }, read, 4), 1);
  ck_assert_uint_eq (
      anvil_warm_objects_unpack ((anvil_str_t){ (const char *) bytes->data, 32 }, read, 1), 1);
  ck_assert_uint_eq (
      anvil_warm_objects_unpack ((anvil_str_t){ (const char *) bytes->data, 32 }, read, 4), 2);
  ck_assert_mem_eq (read, objects, sizeof objects);
  g_byte_array_unref (bytes);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-message");
  TCase *tests = tcase_create ("relay-message");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_every_kind_is_unpacked_as_it_was_packed);
  tcase_add_test (tests, test_a_report_without_a_request_limit_is_accepted);
  tcase_add_test (tests, test_pings_and_updates_of_older_versions_are_accepted);
  tcase_add_test (tests, test_request_limits_below_zero_or_not_finite_are_rejected);
  tcase_add_test (tests, test_corrupted_messages_are_rejected_or_valid);
  tcase_add_test (tests, test_warm_objects_are_unpacked_as_they_were_packed);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

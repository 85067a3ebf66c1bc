/* Follower of a table: calls that the store answers late, or never. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>

#include "relay/table-follower.h"

#define PERIOD (100 * ANVIL_MS)
/* Longer than the usual time-out of a call. */
#define SLOW_RESPONSE_TIME (1200 * ANVIL_MS)
#define WAIT_TIMEOUT (20 * ANVIL_SECOND)
/* By this the loop is late when it makes the first call. */
#define LOOP_DELAY (50 * ANVIL_MS)

#define MAX_AGE (1000 * ANVIL_MS)
#define SLOW_BODY_TIME (2 * ANVIL_SECOND)
#define SLOW_CHUNK_BYTES 1400
#define SLOW_CHUNK_PERIOD (50 * ANVIL_MS)

static struct event_base *base;
static struct evhttp *http;
static anvil_store_t *store;
static anvil_table_follower_t *follower;
/* How late the store answers, and how many calls it never answers. */
static anvil_time_t response_time;
static guint calls_to_lose;
/* How many calls the store holds for SLOW_RESPONSE_TIME, and then closes their connection. */
static guint calls_to_break;
/* How many calls are answered by bytes that come steadily for SLOW_BODY_TIME. */
static guint calls_to_answer_slowly;
static anvil_time_t slow_body_ends_at;
static anvil_time_t lost_at;
static guint n_calls;
static guint n_reads;
static guint n_lost;
static guint n_recovered;
static guint n_rows;
static const char *page;
/* Era that responses name, or NULL. */
static const char *era;
static guint n_full_reads;
/* Eras below this are refused. */
static guint64 least_era;

static const char empty_page[] = "{\"rows\":[],\"rowVersion\":7,\"hasMore\":false}";
static const char page_with_row[]
    = "{\"rows\":[{\"key\":\"a\",\"value\":\"\"}],\"rowVersion\":9,\"hasMore\":false}";

/* Spaces, which JSON may have before its text, and in the end the text. */
static void
send_slow_chunk (evutil_socket_t unused_fd, short unused_what, void *data)
{
  const struct timeval pause = anvil_time_to_timeval (SLOW_CHUNK_PERIOD);
  gboolean last = anvil_clock_now () >= slow_body_ends_at;
  struct evbuffer *chunk = evbuffer_new ();

  if (last)
    evbuffer_add (chunk, empty_page, strlen (empty_page));
  else
    evbuffer_add_printf (chunk, "%*s", SLOW_CHUNK_BYTES, "");
  evhttp_send_reply_chunk (data, chunk);
  evbuffer_free (chunk);
  if (last)
    evhttp_send_reply_end (data);
  else
    event_base_once (base, -1, EV_TIMEOUT, send_slow_chunk, data, &pause);
}

static void
respond (evutil_socket_t unused_fd, short unused_what, void *data)
{
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add (body, page, strlen (page));
  if (era != NULL)
    evhttp_add_header (evhttp_request_get_output_headers (data), "Store-Era", era);
  evhttp_send_reply (data, HTTP_OK, "OK", body);
  evbuffer_free (body);
}

static void
break_connection (evutil_socket_t unused_fd, short unused_what, void *data)
{
  evhttp_connection_free (evhttp_request_get_connection (data));
}

static void
on_call (struct evhttp_request *request, void *unused_data)
{
  const struct timeval delay = anvil_time_to_timeval (response_time);
  const struct timeval hold_time = anvil_time_to_timeval (SLOW_RESPONSE_TIME);

  n_calls++;
  n_full_reads += strstr (evhttp_request_get_uri (request), "rows-get") != NULL;
  if (calls_to_break > 0)
    {
      calls_to_break--;
      event_base_once (base, -1, EV_TIMEOUT, break_connection, request, &hold_time);
    }
  else if (calls_to_answer_slowly > 0)
    {
      calls_to_answer_slowly--;
      slow_body_ends_at = anvil_clock_now () + SLOW_BODY_TIME;
      evhttp_send_reply_start (request, HTTP_OK, "OK");
      send_slow_chunk (-1, 0, request);
    }
  else if (calls_to_lose > 0)
    calls_to_lose--;
  else
    event_base_once (base, -1, EV_TIMEOUT, respond, request, &delay);
}

static void
ignore (void *unused_context)
{
}

static void
on_row (void *unused_context, const anvil_store_row_t *unused_row)
{
  n_rows++;
}

static void
on_lost (void *unused_context)
{
  n_lost++;
  lost_at = anvil_clock_now ();
}

static void
on_recovered (void *unused_context)
{
  n_recovered++;
}

static void
on_read_up_to (void *unused_context, anvil_store_position_t unused_version)
{
  n_reads++;
  event_base_loopbreak (base);
}

static const anvil_table_callbacks_t callbacks = {
  .full_read_started = ignore,
  .row = on_row,
  .full_read_finished = ignore,
  .store_lost = on_lost,
  .store_recovered = on_recovered,
  .read_up_to = on_read_up_to,
};

static void
delay_loop (evutil_socket_t unused_fd, short unused_what, void *unused_data)
{
  g_usleep ((gulong) LOOP_DELAY);
}

static void
set_up (void)
{
  const struct timeval now = { 0 };
  struct evhttp_bound_socket *bound;
  struct sockaddr_in address;
  socklen_t length = sizeof address;

  page = empty_page;
  base = event_base_new ();
  http = evhttp_new (base);
  bound = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
  ck_assert_ptr_nonnull (bound);
  ck_assert_int_eq (
      getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *) &address, &length), 0);
  evhttp_set_gencb (http, on_call, NULL);
  store = anvil_store_open (base, INADDR_LOOPBACK, ntohs (address.sin_port));
  /* The loop reckons timers from the time at which it woke up, so the first call's ends early. */
  event_base_once (base, -1, EV_TIMEOUT, delay_loop, NULL, &now);
  follower = anvil_table_follower_open (base, store, "servers", 0, PERIOD, &callbacks, NULL);
}

static void
tear_down (void)
{
  anvil_table_follower_close (follower);
  anvil_store_close (store);
  evhttp_free (http);
  event_base_free (base);
}

/* Waits for the next read; FALSE if there is none. */
static gboolean
wait_for_read (void)
{
  const struct timeval timeout = anvil_time_to_timeval (WAIT_TIMEOUT);
  guint before = n_reads;

  event_base_loopexit (base, &timeout);
  event_base_dispatch (base);
  return n_reads > before;
}

START_TEST (test_a_store_whose_responses_exceed_the_timeout_is_read)
{
  response_time = SLOW_RESPONSE_TIME;
  for (guint i = 0; i < 3; i++)
    ck_assert (wait_for_read ());
  /* Only the first call was in vain. */
  ck_assert_uint_eq (n_calls, 4);
  ck_assert_uint_eq (n_lost, 1);
  ck_assert_uint_eq (n_recovered, 1);
}
END_TEST

START_TEST (test_a_lost_call_is_repeated_after_the_usual_timeout)
{
  anvil_time_t started_at;

  ck_assert (wait_for_read ());
  calls_to_lose = 1;
  started_at = anvil_clock_now ();
  ck_assert (wait_for_read ());
  ck_assert_uint_eq (n_lost, 1);
  ck_assert_uint_eq (n_recovered, 1);
  ck_assert_int_lt (anvil_clock_now () - started_at, 2 * ANVIL_STORE_CALL_TIMEOUT);
}
END_TEST

/* Else calls would have more time for a while, and a lost one would be noticed late. */
START_TEST (test_a_connection_that_closes_after_the_timeout_is_no_timeout)
{
  anvil_time_t started_at;

  anvil_table_follower_set_hold_time (follower, 2 * SLOW_RESPONSE_TIME);
  ck_assert (wait_for_read ());
  calls_to_break = 1;
  calls_to_lose = 1;
  started_at = anvil_clock_now ();
  ck_assert (wait_for_read ());
  ck_assert_uint_eq (n_calls, 4);
  ck_assert_int_lt (anvil_clock_now () - started_at,
                    SLOW_RESPONSE_TIME + 2 * ANVIL_STORE_CALL_TIMEOUT);
}
END_TEST

/* Else what was read would be too old to be used, although nothing newer can be read in time. */
START_TEST (test_a_response_that_arrives_too_slowly_counts_as_a_lost_store)
{
  anvil_time_t read_at;

  anvil_table_follower_set_max_age (follower, MAX_AGE);
  ck_assert (wait_for_read ());
  read_at = anvil_table_follower_read_at (follower);
  calls_to_answer_slowly = 1;
  ck_assert (wait_for_read ());
  /* The call went on, and its response was read. */
  ck_assert_uint_eq (n_calls, 2);
  ck_assert_uint_eq (n_lost, 1);
  ck_assert_uint_eq (n_recovered, 1);
  ck_assert_int_gt (lost_at - read_at, ANVIL_STORE_CALL_TIMEOUT);
  ck_assert_int_lt (lost_at - read_at, SLOW_BODY_TIME);
}
END_TEST

static void
read_now (evutil_socket_t unused_fd, short unused_what, void *unused_data)
{
  anvil_table_follower_read_now (follower);
}

START_TEST (test_a_response_that_arrives_is_not_requested_again)
{
  ck_assert (wait_for_read ());
  calls_to_answer_slowly = 1;
  n_calls = 0;
  for (guint i = 1; i <= 3; i++)
    {
      const struct timeval time = anvil_time_to_timeval (i * SLOW_BODY_TIME / 4);

      event_base_once (base, -1, EV_TIMEOUT, read_now, NULL, &time);
    }
  ck_assert (wait_for_read ());
  ck_assert_uint_eq (n_calls, 1);
}
END_TEST

START_TEST (test_a_long_poll_without_a_response_is_replaced)
{
  const struct timeval later = anvil_time_to_timeval (2 * PERIOD);
  anvil_time_t started_at;

  ck_assert (wait_for_read ());
  anvil_table_follower_set_hold_time (follower, 2 * SLOW_RESPONSE_TIME);
  calls_to_lose = 1;
  started_at = anvil_clock_now ();
  event_base_once (base, -1, EV_TIMEOUT, read_now, NULL, &later);
  ck_assert (wait_for_read ());
  ck_assert_int_lt (anvil_clock_now () - started_at, ANVIL_STORE_CALL_TIMEOUT);
}
END_TEST

START_TEST (test_rows_older_than_what_is_known_are_not_reported)
{
  ck_assert (wait_for_read ());
  ck_assert_uint_eq (anvil_table_follower_known_version (follower).version, 7);
  page = page_with_row;
  anvil_table_follower_skip_to (follower, (anvil_store_position_t){ .version = 10 });
  ck_assert (wait_for_read ());
  ck_assert_uint_eq (n_rows, 0);
  ck_assert_uint_eq (anvil_table_follower_known_version (follower).version, 10);
  anvil_table_follower_skip_to (follower, (anvil_store_position_t){ .version = 8 });
  ck_assert_uint_eq (anvil_table_follower_known_version (follower).version, 10);
}
END_TEST

START_TEST (test_nothing_is_skipped_before_the_table_has_been_read)
{
  page = page_with_row;
  anvil_table_follower_skip_to (follower, (anvil_store_position_t){ .version = 10 });
  ck_assert_uint_eq (anvil_table_follower_known_version (follower).version, 0);
  ck_assert (wait_for_read ());
  ck_assert_uint_eq (n_rows, 1);
  ck_assert_uint_eq (anvil_table_follower_known_version (follower).version, 9);
}
END_TEST

/* Versions of a later era stand for other contents, whatever their numbers are. */
START_TEST (test_changes_of_a_later_era_are_not_applied_and_the_table_is_read)
{
  era = "1";
  ck_assert (wait_for_read ());
  era = "2";
  page = page_with_row;
  ck_assert (wait_for_read ());
  ck_assert_uint_eq (n_calls, 3);
  ck_assert_uint_eq (n_full_reads, 2);
  ck_assert_uint_eq (n_rows, 1);
  ck_assert_uint_eq (anvil_table_follower_known_version (follower).era, 2);
}
END_TEST

/* Guards against tables that all entries read at once, although the region's reader has told them
 * what it read. */
START_TEST (test_a_table_that_is_known_from_elsewhere_is_not_read)
{
  era = "1";
  ck_assert (wait_for_read ());
  era = "2";
  anvil_table_follower_begin_era (follower, 2, 4 * PERIOD);
  ck_assert_uint_eq (anvil_table_follower_known_version (follower).version, 0);
  anvil_table_follower_skip_to (follower, (anvil_store_position_t){ .era = 1, .version = 90 });
  ck_assert_uint_eq (anvil_table_follower_known_version (follower).version, 0);
  anvil_table_follower_skip_to (follower, (anvil_store_position_t){ .era = 2, .version = 5 });
  ck_assert_uint_eq (anvil_table_follower_known_version (follower).version, 5);
  ck_assert (wait_for_read ());
  ck_assert_uint_eq (n_full_reads, 1);
  ck_assert_uint_eq (anvil_table_follower_known_version (follower).version, 7);
}
END_TEST

START_TEST (test_a_table_of_the_past_era_is_read_after_the_pause)
{
  anvil_time_t started_at;

  era = "1";
  ck_assert (wait_for_read ());
  era = "2";
  started_at = anvil_clock_now ();
  anvil_table_follower_begin_era (follower, 2, 4 * PERIOD);
  /* Not before the pause. */
  anvil_table_follower_read_now (follower);
  ck_assert (wait_for_read ());
  ck_assert_int_ge (anvil_clock_now () - started_at, 4 * PERIOD - LOOP_DELAY);
  ck_assert_uint_eq (n_full_reads, 2);
}
END_TEST

static gboolean
refuse_earlier (void *unused_context, guint64 named)
{
  return named >= least_era;
}

/* One such response says nothing about the store. */
START_TEST (test_a_refused_response_is_requested_again)
{
  anvil_store_set_judge (store, refuse_earlier, NULL);
  era = "2";
  ck_assert (wait_for_read ());
  least_era = 2;
  era = NULL;
  page = page_with_row;
  while (n_calls < 2)
    event_base_loop (base, EVLOOP_ONCE);
  era = "2";
  ck_assert (wait_for_read ());
  ck_assert_uint_eq (n_lost, 0);
  ck_assert_uint_eq (n_rows, 1);
  least_era = 3;
  while (n_lost == 0)
    event_base_loop (base, EVLOOP_ONCE);
  ck_assert_uint_eq (n_rows, 1);
}
END_TEST

static const char first_page[]
    = "{\"rows\":[{\"key\":\"a\",\"value\":\"\"}],\"rowVersion\":9,\"hasMore\":true}";
static anvil_time_t first_page_at;

static void
answer_last_page (void *unused_context, const anvil_store_row_t *unused_row)
{
  first_page_at = anvil_clock_boot ();
  page = empty_page;
}

/* Guards against a table that counts as new as of the end of its read, or of a late answer. */
START_TEST (test_what_was_read_is_as_old_as_the_first_call_for_it)
{
  const anvil_table_callbacks_t paged = {
    .full_read_started = ignore,
    .row = answer_last_page,
    .full_read_finished = ignore,
    .store_lost = on_lost,
    .store_recovered = on_recovered,
    .read_up_to = on_read_up_to,
  };
  anvil_time_t started_at = anvil_clock_boot ();
  anvil_time_t current_at;

  anvil_table_follower_close (follower);
  page = first_page;
  response_time = LOOP_DELAY;
  follower = anvil_table_follower_open (base, store, "servers", 0, PERIOD, &paged, NULL);
  ck_assert_int_eq (anvil_table_follower_current_at (follower), 0);
  ck_assert (wait_for_read ());
  current_at = anvil_table_follower_current_at (follower);
  ck_assert_int_ge (current_at, started_at);
  ck_assert_int_le (current_at, first_page_at - LOOP_DELAY / 2);
  started_at = anvil_clock_boot ();
  page = page_with_row;
  ck_assert (wait_for_read ());
  current_at = anvil_table_follower_current_at (follower);
  ck_assert_int_ge (current_at, started_at);
  ck_assert_int_le (current_at, anvil_clock_boot () - LOOP_DELAY / 2);
  /* An answer of an older version says nothing of what is known. */
  page = empty_page;
  ck_assert (wait_for_read ());
  ck_assert_int_eq (anvil_table_follower_current_at (follower), current_at);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("table-follower");
  TCase *tests = tcase_create ("table-follower");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_a_store_whose_responses_exceed_the_timeout_is_read);
  tcase_add_test (tests, test_a_lost_call_is_repeated_after_the_usual_timeout);
  tcase_add_test (tests, test_a_connection_that_closes_after_the_timeout_is_no_timeout);
  tcase_add_test (tests, test_a_response_that_arrives_too_slowly_counts_as_a_lost_store);
  tcase_add_test (tests, test_a_response_that_arrives_is_not_requested_again);
  tcase_add_test (tests, test_a_long_poll_without_a_response_is_replaced);
  tcase_add_test (tests, test_rows_older_than_what_is_known_are_not_reported);
  tcase_add_test (tests, test_nothing_is_skipped_before_the_table_has_been_read);
  tcase_add_test (tests, test_what_was_read_is_as_old_as_the_first_call_for_it);
  tcase_add_test (tests, test_changes_of_a_later_era_are_not_applied_and_the_table_is_read);
  tcase_add_test (tests, test_a_table_that_is_known_from_elsewhere_is_not_read);
  tcase_add_test (tests, test_a_table_of_the_past_era_is_read_after_the_pause);
  tcase_add_test (tests, test_a_refused_response_is_requested_again);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

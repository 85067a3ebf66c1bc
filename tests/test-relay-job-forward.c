/* Requests that went to their holder along with their slot requests, when the holder stops,
 * restarts or falls silent. The test is the holder: a node of another region that answers pings. */

#include "helper-job.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "anvil/peers.h"
#include "helper-ports.h"
#include "relay/forward-codec.h"
#include "steer/holder-pressure.h"

#define WAIT_TIMEOUT (20 * ANVIL_SECOND)
/* More than the interval of ticks and pings, less than the time for which a silent holder is kept.
 */
#define QUIET_TIME (600 * ANVIL_MS)
#define TICK_INTERVAL (50 * ANVIL_MS)
/* Many more than in the region of the jobs. */
#define N_DISTANT_SLOTS 40
#define RESPONSE_HEADERS "Request-Id: one\r\nServer-Stamp: s\r\n"

/**
 * holder_t - the entry that holds the slots
 * @received: kinds of the messages about tasks, in order
 * @number: number of the last task that came with its request
 */
typedef struct
{
  anvil_peers_t *peers;
  anvil_node_t node;
  guint64 incarnation;
  gboolean leaving;
  gboolean silent;
  guint declined_share;
  guint refused_share;
  GArray *received;
  guint64 number;
} holder_t;

static holder_t holder;

static void
send_message (const anvil_relay_message_t *message)
{
  GByteArray *bytes = g_byte_array_new ();

  anvil_relay_message_pack (message, message->sent_at, bytes);
  anvil_peers_send_relay_message (
      holder.peers, anvil_slot_broker_self (job_fixture.broker),
      (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len });
  g_byte_array_unref (bytes);
}

static void
answer_ping (guint64 number)
{
  anvil_relay_message_t *pong = g_new0 (anvil_relay_message_t, 1);

  pong->kind = ANVIL_RELAY_PONG;
  pong->number = number;
  pong->info = (anvil_member_info_t){ .name = anvil_str ("holder"),
                                      .zone = anvil_str ("east-a"),
                                      .incarnation = holder.incarnation,
                                      .cpu_millicores = 1000,
                                      .ready = TRUE,
                                      .leaving = holder.leaving,
                                      .declined_share = holder.declined_share,
                                      .refused_share = holder.refused_share,
                                      .knows_peers = TRUE,
                                      .caller_share = ANVIL_FULL_CALLER_SHARE };
  send_message (pong);
  g_free (pong);
}

static void
on_message (void *context, anvil_node_t from, anvil_str_t bytes)
{
  anvil_relay_message_t *message = g_new0 (anvil_relay_message_t, 1);

  ck_assert (anvil_relay_message_unpack (bytes, message, NULL));
  switch (message->kind)
    {
    case ANVIL_RELAY_PING:
      if (!holder.silent)
        answer_ping (message->number);
      break;
    case ANVIL_RELAY_FORWARD:
    case ANVIL_RELAY_REQUEST_SLOT:
    case ANVIL_RELAY_CANCEL:
    case ANVIL_RELAY_WITHDRAW:
    case ANVIL_RELAY_GRANT:
      g_array_append_val (holder.received, message->kind);
      if (message->kind == ANVIL_RELAY_FORWARD)
        holder.number = message->number;
      break;
    default:
      break;
    }
  g_free (message);
}

static const anvil_peers_callbacks_t holder_callbacks = { .relay_message_received = on_message };

static gboolean
has_received (anvil_relay_message_kind_t kind)
{
  for (guint i = 0; i < holder.received->len; i++)
    {
      if (g_array_index (holder.received, anvil_relay_message_kind_t, i) == kind)
        return TRUE;
    }
  return FALSE;
}

static guint
count_received (anvil_relay_message_kind_t kind)
{
  guint n = 0;

  for (guint i = 0; i < holder.received->len; i++)
    n += g_array_index (holder.received, anvil_relay_message_kind_t, i) == kind;
  return n;
}

/* Runs the event loop and the ticks of the jobs for a time. */
static void
run_ticks (anvil_time_t time)
{
  const anvil_time_t until = anvil_clock_now () + time;

  while (anvil_clock_now () < until)
    {
      job_run_for (TICK_INTERVAL);
      anvil_relay_jobs_tick (job_fixture.jobs, anvil_clock_now ());
    }
}

static void
wait_for_message (anvil_relay_message_kind_t kind)
{
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;

  while (!has_received (kind) && anvil_clock_now () < until)
    job_run_for (0);
  ck_assert_msg (has_received (kind), "no message of kind %d", (int) kind);
}

static void
wait_for_holder (anvil_node_t node)
{
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;

  while (anvil_slot_broker_holder (job_fixture.broker, "photos") != node
         && anvil_clock_now () < until)
    job_run_for (0);
  ck_assert (anvil_slot_broker_holder (job_fixture.broker, "photos") == node);
}

/* Waits until requests go to the holder along with their slot requests. */
static void
wait_for_forwarding (void)
{
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;
  const anvil_task_t task = { .service = anvil_str ("photos") };

  while (!anvil_slot_broker_may_forward (job_fixture.broker, "photos", &task)
         && anvil_clock_now () < until)
    job_run_for (0);
  ck_assert (anvil_slot_broker_may_forward (job_fixture.broker, "photos", &task));
}

static void
set_up (void)
{
  const anvil_upstream_report_t distant = { .id = anvil_str ("distant"),
                                            .service = anvil_str ("photos"),
                                            .zone = anvil_str ("east-a"),
                                            .address = INADDR_LOOPBACK,
                                            .port = 1,
                                            .slots = N_DISTANT_SLOTS,
                                            .started_at = 1000 };
  GError *error = NULL;

  job_fixture_open ();
  g_hash_table_insert (job_fixture.settings.region_by_zone, "east-a", "east");
  holder
      = (holder_t){ .node = anvil_node (INADDR_LOOPBACK, reserve_port ()),
                    .incarnation = 1,
                    .received = g_array_new (FALSE, FALSE, sizeof (anvil_relay_message_kind_t)) };
  holder.peers = anvil_peers_open (job_fixture.base, holder.node, &holder_callbacks, NULL, &error);
  ck_assert_ptr_nonnull (holder.peers);
  anvil_registry_apply (job_fixture.registry, anvil_clock_now (), &distant);
  anvil_members_add (anvil_slot_broker_members (job_fixture.broker), anvil_clock_now (),
                     holder.node);
  wait_for_holder (holder.node);
  wait_for_forwarding ();
}

static void
tear_down (void)
{
  anvil_peers_close (holder.peers);
  g_array_unref (holder.received);
  job_fixture_close ();
}

/* Has a caller send a request on a route, which goes to the holder. */
static void
forward_request (const char *route)
{
  char *request = g_strdup_printf ("GET /%s/1 HTTP/1.1\r\nHost: shop.example\r\n"
                                   "Request-Id: one\r\n\r\n",
                                   route);

  job_send_text (job_fixture.caller, request);
  wait_for_message (ANVIL_RELAY_FORWARD);
  g_array_set_size (holder.received, 0);
  g_free (request);
}

/* The holder's run of the request ends. */
static void
respond (void)
{
  const anvil_forwarded_response_t response = { .result = ANVIL_RUN_ANSWERED,
                                                .status = 200,
                                                .upstream = 1,
                                                .upstream_id = anvil_str ("distant"),
                                                .started_at = 1000,
                                                .headers = anvil_str (RESPONSE_HEADERS) };
  anvil_relay_message_t *message = g_new0 (anvil_relay_message_t, 1);
  GByteArray *payload = g_byte_array_new ();

  anvil_forwarded_response_pack (&response, payload);
  message->kind = ANVIL_RELAY_RESPONSE;
  message->number = holder.number;
  message->rows = (anvil_str_t){ .data = (const char *) payload->data, .length = payload->len };
  send_message (message);
  g_byte_array_unref (payload);
  g_free (message);
}

static void
say_withdrawn (gboolean waited)
{
  anvil_relay_message_t *message = g_new0 (anvil_relay_message_t, 1);

  message->kind = ANVIL_RELAY_WITHDRAWN;
  message->number = holder.number;
  message->waited = waited;
  send_message (message);
  g_free (message);
}

static void
check_status (const char *status_line)
{
  char bytes[512] = "";

  job_wait_readable (job_fixture.caller);
  ck_assert_int_gt (recv (job_fixture.caller, bytes, sizeof bytes - 1, 0), 0);
  ck_assert_msg (g_str_has_prefix (bytes, status_line), "%s", bytes);
}

/* Guards against a request that is broken off at its upstream because its holder begins to stop. */
START_TEST (test_a_run_goes_on_when_its_holder_stops)
{
  forward_request ("once");
  holder.leaving = TRUE;
  wait_for_message (ANVIL_RELAY_WITHDRAW);
  run_ticks (QUIET_TIME);
  ck_assert (!has_received (ANVIL_RELAY_CANCEL));
  ck_assert (!job_is_readable (job_fixture.caller));
  respond ();
  check_status ("HTTP/1.1 200");
}
END_TEST

/* What the holder has not sent goes to the next one, and isn't an attempt. */
START_TEST (test_a_waiting_request_goes_to_the_next_holder)
{
  kept_grant_t grant;
  int upstream;

  forward_request ("once");
  holder.leaving = TRUE;
  wait_for_message (ANVIL_RELAY_WITHDRAW);
  say_withdrawn (TRUE);
  grant = job_wait_for_grant (0);
  job_deliver (grant, 0);
  upstream = job_accept_attempt (&grant);
  job_send_text (upstream, "HTTP/1.1 200 OK\r\n" RESPONSE_HEADERS "Content-Length: 0\r\n\r\n");
  check_status ("HTTP/1.1 200");
  close (upstream);
}
END_TEST

/* Guards against a second run of a request that may run once. */
START_TEST (test_a_request_that_the_holder_does_not_know_may_have_run)
{
  forward_request ("once");
  holder.leaving = TRUE;
  wait_for_message (ANVIL_RELAY_WITHDRAW);
  say_withdrawn (FALSE);
  check_status ("HTTP/1.1 502");
  ck_assert_uint_eq (job_fixture.grants->len, 0);
}
END_TEST

/* Guards against a request that is broken off because the restart of its holder is noticed only
 * after the new process has taken it. */
START_TEST (test_a_run_of_a_restarted_holder_goes_on)
{
  forward_request ("once");
  holder.incarnation = 2;
  wait_for_message (ANVIL_RELAY_WITHDRAW);
  ck_assert (!has_received (ANVIL_RELAY_CANCEL));
  respond ();
  check_status ("HTTP/1.1 200");
}
END_TEST

/* Guards against a request that is broken off because its holder answers pings late. */
START_TEST (test_a_run_goes_on_while_its_holder_is_silent_for_a_moment)
{
  forward_request ("once");
  holder.silent = TRUE;
  wait_for_holder (anvil_slot_broker_self (job_fixture.broker));
  run_ticks (QUIET_TIME / 2);
  ck_assert (!job_is_readable (job_fixture.caller));
  respond ();
  check_status ("HTTP/1.1 200");
}
END_TEST

START_TEST (test_a_waiting_request_is_repeated_ever_more_rarely)
{
  forward_request ("safe");
  run_ticks (2 * ANVIL_SECOND);
  ck_assert_uint_ge (count_received (ANVIL_RELAY_REQUEST_SLOT), 1);
  ck_assert_uint_le (count_received (ANVIL_RELAY_REQUEST_SLOT), 3);
}
END_TEST

START_TEST (test_a_new_request_is_refused_at_once_while_its_holder_is_busy)
{
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;
  const anvil_peer_t *peer
      = anvil_members_lookup (anvil_slot_broker_members (job_fixture.broker), holder.node);
  anvil_time_t sent_at;

  holder.refused_share = ANVIL_FULL_REFUSED_SHARE;
  while (peer->info.refused_share == 0 && anvil_clock_now () < until)
    job_run_for (0);
  sent_at = anvil_clock_now ();
  job_send_text (job_fixture.caller, "GET /safe/1 HTTP/1.1\r\nHost: shop.example\r\n"
                                     "Request-Id: one\r\n\r\n");
  check_status ("HTTP/1.1 503");
  ck_assert_int_lt (anvil_clock_now () - sent_at, ANVIL_SECOND);
  ck_assert (!has_received (ANVIL_RELAY_FORWARD) && !has_received (ANVIL_RELAY_REQUEST_SLOT));
}
END_TEST

/* Sends a request for a slot that has the task's whole time left, as of @queued ago. */
static void
request_slot_sent_before (guint64 number, anvil_time_t queued)
{
  anvil_relay_message_t *message = g_new0 (anvil_relay_message_t, 1);

  message->kind = ANVIL_RELAY_REQUEST_SLOT;
  message->number = number;
  message->sent_at = anvil_clock_boot () - queued;
  message->task = (anvil_task_t){ .service = anvil_str ("photos"),
                                  .region = anvil_str ("west"),
                                  .zone = anvil_str ("west-a"),
                                  .attempt = 1,
                                  .target = ANVIL_SECOND,
                                  .deadline = 2 * ANVIL_SECOND };
  send_message (message);
  g_free (message);
}

START_TEST (test_a_slot_request_read_after_its_deadline_gets_no_slot)
{
  request_slot_sent_before (1, 0);
  wait_for_message (ANVIL_RELAY_GRANT);
  g_array_set_size (holder.received, 0);
  request_slot_sent_before (2, 3 * ANVIL_SECOND);
  run_ticks (QUIET_TIME);
  ck_assert (!has_received (ANVIL_RELAY_GRANT));
  request_slot_sent_before (3, ANVIL_SECOND);
  wait_for_message (ANVIL_RELAY_GRANT);
}
END_TEST

START_TEST (test_a_silent_holder_is_given_up)
{
  forward_request ("safe");
  holder.silent = TRUE;
  wait_for_holder (anvil_slot_broker_self (job_fixture.broker));
  run_ticks (2 * ANVIL_SECOND);
  job_wait_for_grant (0);
}
END_TEST

/* The holder that stops has no room, the next one may. */
START_TEST (test_a_refusal_of_a_former_holder_does_not_count)
{
  anvil_relay_message_t *refusal = g_new0 (anvil_relay_message_t, 1);

  forward_request ("once");
  holder.leaving = TRUE;
  wait_for_message (ANVIL_RELAY_WITHDRAW);
  refusal->kind = ANVIL_RELAY_REFUSE;
  refusal->number = holder.number;
  refusal->refused.reason = ANVIL_TASK_NO_ROOM;
  send_message (refusal);
  job_wait_for_grant (0);
  g_free (refusal);
}
END_TEST

/* Guards against requests that go along to a holder whose processor time is used up, and wait there
 * until their deadline. */
START_TEST (test_requests_do_not_go_along_to_a_holder_that_declines_them)
{
  const anvil_task_t task = { .service = anvil_str ("photos") };
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;

  holder.declined_share = ANVIL_FULL_DECLINED_SHARE;
  while (anvil_slot_broker_may_forward (job_fixture.broker, "photos", &task)
         && anvil_clock_now () < until)
    job_run_for (0);
  job_send_text (job_fixture.caller, "GET /safe/1 HTTP/1.1\r\nHost: shop.example\r\n"
                                     "Request-Id: one\r\n\r\n");
  wait_for_message (ANVIL_RELAY_REQUEST_SLOT);
  ck_assert (!has_received (ANVIL_RELAY_FORWARD));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-job-forward");
  TCase *tests = tcase_create ("relay-job-forward");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_a_run_goes_on_when_its_holder_stops);
  tcase_add_test (tests, test_a_waiting_request_goes_to_the_next_holder);
  tcase_add_test (tests, test_a_request_that_the_holder_does_not_know_may_have_run);
  tcase_add_test (tests, test_a_run_of_a_restarted_holder_goes_on);
  tcase_add_test (tests, test_a_run_goes_on_while_its_holder_is_silent_for_a_moment);
  tcase_add_test (tests, test_a_waiting_request_is_repeated_ever_more_rarely);
  tcase_add_test (tests, test_a_new_request_is_refused_at_once_while_its_holder_is_busy);
  tcase_add_test (tests, test_a_slot_request_read_after_its_deadline_gets_no_slot);
  tcase_add_test (tests, test_a_silent_holder_is_given_up);
  tcase_add_test (tests, test_a_refusal_of_a_former_holder_does_not_count);
  tcase_add_test (tests, test_requests_do_not_go_along_to_a_holder_that_declines_them);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
